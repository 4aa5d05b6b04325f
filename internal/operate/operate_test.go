package operate

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"sliptide/policy"
)

// A disabled endpoint counts as draining, whatever the list reports, until it is enabled again; one that is gone
// stays gone. Repeated calls are not errors.
func TestDisabledEndpointDrains(t *testing.T) {
	var set DisabledSet
	for range 2 {
		if err := set.Set("s-1", true); err != nil {
			t.Fatal(err)
		}
	}
	for listed, want := range map[policy.EndpointState]policy.EndpointState{
		policy.Ready: policy.Draining, policy.Draining: policy.Draining, policy.Gone: policy.Gone,
	} {
		if got := set.EffectiveState("s-1", listed); got != want {
			t.Errorf("state %d in the list: effective state %d, want %d", listed, got, want)
		}
	}
	if set.EffectiveState("s-2", policy.Ready) != policy.Ready {
		t.Error("an endpoint that is not disabled counts as draining")
	}
	set.Set("s-1", false)
	set.Set("s-1", false)
	if set.EffectiveState("s-1", policy.Ready) != policy.Ready || set.Len() != 0 {
		t.Error("after being enabled, the endpoint still counts as draining")
	}
}

// The text form is read back unchanged. Malformed text is an error, not an empty set: otherwise a damaged file would
// enable disabled endpoints.
func TestTextForm(t *testing.T) {
	var set DisabledSet
	for _, id := range []string{"s-b", "s-a", "10.1.0.18:9000"} {
		set.Set(id, true)
	}
	parsed, err := Parse(set.Encode())
	if err != nil || strings.Join(parsed.IDs(), " ") != "10.1.0.18:9000 s-a s-b" {
		t.Fatalf("parsed ids %v, error %v; want 10.1.0.18:9000 s-a s-b and none", parsed.IDs(), err)
	}
	if empty, err := Parse(nil); err != nil || empty.Len() != 0 {
		t.Errorf("empty text: ids %v, error %v; want neither", empty.IDs(), err)
	}
	if none, err := Parse([]byte(fileHeader)); err != nil || none.Len() != 0 {
		t.Errorf("header alone: ids %v, error %v; want neither", none.IDs(), err)
	}
	for _, malformed := range []string{"s-1\n", fileHeader + "s-1", fileHeader + "two words\n", fileHeader + "\n", fileHeader[:10]} {
		if _, err := Parse([]byte(malformed)); err == nil {
			t.Errorf("%q: parsed without an error", malformed)
		}
	}
}

// A malformed id, and a further one in a full set, are refused with the matching error, and the set is unchanged. The
// text form of a full set does not exceed MaxEncodedSize.
func TestRefusedIDs(t *testing.T) {
	var set DisabledSet
	for _, id := range []string{"", "a b", "tab\t", strings.Repeat("x", MaxIDLength+1), "é"} {
		if err := set.Set(id, true); !errors.Is(err, ErrMalformedID) {
			t.Errorf("%q: error %v, want ErrMalformedID", id, err)
		}
	}
	for i := range MaxDisabled {
		if err := set.Set(fmt.Sprint("s-", i), true); err != nil {
			t.Fatal(err)
		}
	}
	if err := set.Set("one-more", true); !errors.Is(err, ErrTooManyDisabled) || set.Has("one-more") {
		t.Errorf("one over MaxDisabled: error %v, want ErrTooManyDisabled and the id not in the set", err)
	}
	if err := set.Set("s-0", true); err != nil {
		t.Errorf("repeated call at MaxDisabled: %v", err)
	}
	if len(set.Encode()) > MaxEncodedSize {
		t.Errorf("text form of %d bytes, want %d at most", len(set.Encode()), MaxEncodedSize)
	}
}
