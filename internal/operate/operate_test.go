package operate

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"sliptide/policy"
)

// An endpoint taken out drains whatever the list says of it, until it is put back; one that is gone
// stays gone. Calls may be repeated.
func TestTakenOutDrains(t *testing.T) {
	var o DisabledSet
	for range 2 {
		if err := o.Set("s-1", true); err != nil {
			t.Fatal(err)
		}
	}
	for listed, want := range map[policy.EndpointState]policy.EndpointState{
		policy.Ready: policy.Draining, policy.Draining: policy.Draining, policy.Gone: policy.Gone,
	} {
		if got := o.EffectiveState("s-1", listed); got != want {
			t.Errorf("listed %d: %d, want %d", listed, got, want)
		}
	}
	if o.EffectiveState("s-2", policy.Ready) != policy.Ready {
		t.Error("an endpoint that is not out drains")
	}
	o.Set("s-1", false)
	o.Set("s-1", false)
	if o.EffectiveState("s-1", policy.Ready) != policy.Ready || o.Len() != 0 {
		t.Error("put back, it still drains")
	}
}

// What is kept over an upgrade reads back as it was; what this version did not write is refused, not
// taken for an empty set.
func TestTextForm(t *testing.T) {
	var o DisabledSet
	for _, id := range []string{"s-b", "s-a", "10.1.0.18:9000"} {
		o.Set(id, true)
	}
	back, err := Parse(o.Encode())
	if err != nil || strings.Join(back.IDs(), " ") != "10.1.0.18:9000 s-a s-b" {
		t.Fatalf("%v %v", back.IDs(), err)
	}
	if empty, err := Parse(nil); err != nil || empty.Len() != 0 {
		t.Errorf("no file: %v %v", empty.IDs(), err)
	}
	if none, err := Parse([]byte(header)); err != nil || none.Len() != 0 {
		t.Errorf("none out: %v %v", none.IDs(), err)
	}
	for _, bad := range []string{"s-1\n", header + "s-1", header + "two words\n", header + "\n", header[:10]} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%q: read without an error", bad)
		}
	}
}

// Bad ids and a full set are a no with its reason; nothing changes.
func TestBadIDs(t *testing.T) {
	var o DisabledSet
	for _, id := range []string{"", "a b", "tab\t", strings.Repeat("x", MaxIDLength+1), "é"} {
		if err := o.Set(id, true); !errors.Is(err, ErrMalformedID) {
			t.Errorf("%q: %v", id, err)
		}
	}
	for i := range MaxDisabled {
		if err := o.Set(fmt.Sprint("s-", i), true); err != nil {
			t.Fatal(err)
		}
	}
	if err := o.Set("one-more", true); !errors.Is(err, ErrTooManyDisabled) || o.Has("one-more") {
		t.Errorf("over the bound: %v", err)
	}
	if err := o.Set("s-0", true); err != nil {
		t.Errorf("again, at the bound: %v", err)
	}
	if len(o.Encode()) > MaxEncodedSize {
		t.Errorf("text of %d bytes, bound %d", len(o.Encode()), MaxEncodedSize)
	}
}
