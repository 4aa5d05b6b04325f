package duty

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"sliptide/internal/fleet/pb"
)

// log applies commands one after the other.
type log struct {
	t     *testing.T
	s     *State
	index uint64
}

func (l *log) do(c *pb.Command) Result {
	l.t.Helper()
	l.index++
	r := l.s.Apply(l.index, 1, c)
	if r.Err != nil {
		l.t.Fatalf("%v: %v", c, r.Err)
	}
	return r
}

func (l *log) join(member string, incarnation, boot uint64) uint64 {
	return l.do(open(member, incarnation, boot, 1)).Session
}

func (l *log) keep(session uint64, member string, holders ...string) {
	d := l.s.duties[Own(member)]
	l.do(&pb.Command{What: &pb.Command_Keep{Keep: &pb.Keep{Session: session, Duty: d.Name, Token: d.Token, Holders: holders}}})
}

func (l *log) holder(member string) string {
	if d := l.s.shown(Own(member)); d != nil {
		return d.Holder
	}
	return ""
}

// TestHeirsDoNotWaitForEachOther: two members that keep each other's copies are lost, and are back with empty disks. Each
// was the heir of the other, neither held its own journal, and both waited for good. A keeper that holds its own journal
// goes first; an heir that does not may hand on without voiding the copies, and the owner itself comes before who keeps
// none.
func TestHeirsDoNotWaitForEachOther(t *testing.T) {
	l := &log{t: t, s: New(nil)}
	a, b, c := l.join("a", 1, 1), l.join("b", 2, 1), l.join("c", 3, 1)
	for _, m := range []struct {
		id   uint64
		name string
	}{{a, "a"}, {b, "b"}, {c, "c"}} {
		l.do(acquire(m.id, Own(m.name)))
	}
	l.keep(a, "a", "b", "c")
	l.keep(b, "b", "a")
	l.do(acquire(b, Own("a")))
	l.do(acquire(c, Own("a")))
	l.do(acquire(a, Own("b")))
	// Both are lost at once, and come back before their heirs are done.
	l.do(expire(b, 1))
	l.do(expire(a, 1))
	if h := l.holder("a"); h != "c" {
		t.Fatalf("the heir of a is %q; b does not hold its own journal", h)
	}
	a, b = l.join("a", 11, 1), l.join("b", 12, 1)
	l.do(acquire(a, Own("a")))
	l.do(acquire(a, Own("b")))
	l.do(acquire(b, Own("b")))
	// a, which keeps b's copies by the agreement, holds b's journal and not its own: it hands on.
	if h := l.holder("b"); h != "a" {
		t.Fatalf("the heir of b is %q", h)
	}
	d := l.s.duties[Own("b")]
	l.do(&pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: a, Duty: d.Name, Token: d.Token, Keep: true}}})
	if h := l.holder("b"); h != "b" {
		t.Errorf("after it was handed on, b's journal is held by %q", h)
	}
	if !slices.Equal(l.s.duties[Own("b")].Holders, []string{"a"}) {
		t.Errorf("handing on has voided the copies: %v", l.s.duties[Own("b")].Holders)
	}
}

// TestAgain: what is handed in again and what is taken over meet in the order of the log, over a snapshot, too.
func TestAgain(t *testing.T) {
	l := &log{t: t, s: New(nil)}
	a, b, c := l.join("a", 1, 1), l.join("b", 2, 1), l.join("c", 3, 1)
	l.do(acquire(a, Own("a")))
	l.keep(a, "a", "b")
	l.do(acquire(b, Own("a")))
	again := func(session uint64, keys ...uint64) []uint64 {
		return l.do(&pb.Command{What: &pb.Command_Again{Again: &pb.Again{Session: session, Keys: keys}}}).Keys
	}
	if has := again(c, 7); len(has) != 0 {
		t.Errorf("handed in again before the taking over: %v", has)
	}
	again(a, 8) // at the owner itself, which is lost later: its heir has it
	l.do(expire(a, 1))
	d := l.s.duties[Own("a")]
	adopt := &pb.Command{What: &pb.Command_Adopt{Adopt: &pb.Adopt{Session: b, Duty: d.Name, Token: d.Token, Incarnation: 1, Upto: 9, Keys: []uint64{7, 8, 9}}}}
	for range 2 { // its answer may be lost
		if r := l.do(adopt); !slices.Equal(r.Keys, []uint64{7}) {
			t.Errorf("elsewhere: %v, want 7", r.Keys)
		}
	}
	text, err := l.s.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	if l.s, err = Unmarshal(text); err != nil {
		t.Fatal(err)
	}
	if has := again(c, 7, 8, 9, 10); !slices.Equal(has, []uint64{8, 9}) {
		t.Errorf("handed in again after the taking over: an heir has %v, want 8 and 9", has)
	}
	if got := Agreed(l.s.Adopted("a"), d.Token); got.GetBy() != "b" || !proto.Equal(got, &pb.Agreed{Token: d.Token, By: "b", Elsewhere: []uint64{7}}) {
		t.Errorf("agreed: %v", got)
	}
	// Later takings over of the same owner leave it known, for a while.
	token := d.Token
	for boot := uint64(2); boot < 2+maxBefore+2; boot++ {
		a = l.join("a", 1, boot)
		l.do(acquire(a, Own("a")))
		if h := l.holder("a"); h != "a" {
			l.do(release(b, Own("a"), l.s.duties[Own("a")].Token))
		}
		l.keep(a, "a", "b")
		l.do(acquire(b, Own("a")))
		l.do(expire(a, 1))
		d = l.s.duties[Own("a")]
		l.do(&pb.Command{What: &pb.Command_Adopt{Adopt: &pb.Adopt{Session: b, Duty: d.Name, Token: d.Token, Incarnation: 1, Upto: 9 + boot}}})
		if known := Agreed(l.s.Adopted("a"), token) != nil; known != (boot-1 <= maxBefore) {
			t.Errorf("after %d more: known %v", boot-1, known)
		}
	}
	for key := range uint64(MaxKeys + 10) {
		again(c, 1000+key)
	}
	if n := len(l.s.again.line); n != MaxKeys || len(l.s.again.by) != MaxKeys {
		t.Errorf("%d keys are known", n)
	}
}
