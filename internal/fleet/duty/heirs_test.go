package duty

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"sliptide/internal/fleet/pb"
)

// log applies commands one after the other.
type stateLog struct {
	t     *testing.T
	state *State
	index uint64
}

func (l *stateLog) apply(c *pb.Command) Result {
	l.t.Helper()
	l.index++
	r := l.state.Apply(l.index, 1, c)
	if r.Err != nil {
		l.t.Fatalf("%v: %v", c, r.Err)
	}
	return r
}

func (l *stateLog) join(member string, incarnation, boot uint64) uint64 {
	return l.apply(open(member, incarnation, boot, 1)).Session
}

func (l *stateLog) keep(session uint64, member string, holders ...string) {
	d := l.state.duties[JournalDuty(member)]
	l.apply(&pb.Command{What: &pb.Command_Keep{Keep: &pb.Keep{Session: session, Duty: d.Name, Token: d.Token, Holders: holders}}})
}

func (l *stateLog) holder(member string) string {
	if d := l.state.viewByName(JournalDuty(member)); d != nil {
		return d.Holder
	}
	return ""
}

// TestHeirsDoNotWaitForEachOther: two members that keep each other's copies are lost, and are back with empty disks. Each
// was the heir of the other, neither held its own journal, and both waited for good. A keeper that holds its own journal
// goes first; an heir that does not may hand on without voiding the copies, and the owner itself comes before who keeps
// none.
func TestSuccessorsDoNotWaitForEachOther(t *testing.T) {
	l := &stateLog{t: t, state: New(nil)}
	a, b, c := l.join("a", 1, 1), l.join("b", 2, 1), l.join("c", 3, 1)
	for _, m := range []struct {
		id   uint64
		name string
	}{{a, "a"}, {b, "b"}, {c, "c"}} {
		l.apply(acquire(m.id, JournalDuty(m.name)))
	}
	l.keep(a, "a", "b", "c")
	l.keep(b, "b", "a")
	l.apply(acquire(b, JournalDuty("a")))
	l.apply(acquire(c, JournalDuty("a")))
	l.apply(acquire(a, JournalDuty("b")))
	// Both are lost at once, and come back before their heirs are done.
	l.apply(expire(b, 1))
	l.apply(expire(a, 1))
	if h := l.holder("a"); h != "c" {
		t.Fatalf("the heir of a is %q; b does not hold its own journal", h)
	}
	a, b = l.join("a", 11, 1), l.join("b", 12, 1)
	l.apply(acquire(a, JournalDuty("a")))
	l.apply(acquire(a, JournalDuty("b")))
	l.apply(acquire(b, JournalDuty("b")))
	// a, which keeps b's copies by the agreement, holds b's journal and not its own: it hands on.
	if h := l.holder("b"); h != "a" {
		t.Fatalf("the heir of b is %q", h)
	}
	d := l.state.duties[JournalDuty("b")]
	l.apply(&pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: a, Duty: d.Name, Token: d.Token, Keep: true}}})
	if h := l.holder("b"); h != "b" {
		t.Errorf("after it was handed on, b's journal is held by %q", h)
	}
	if !slices.Equal(l.state.duties[JournalDuty("b")].CopyHolders, []string{"a"}) {
		t.Errorf("handing on has voided the copies: %v", l.state.duties[JournalDuty("b")].CopyHolders)
	}
}

// TestAgain: what is handed in again and what is taken over meet in the order of the log, over a snapshot, too.
func TestResubmittedKeys(t *testing.T) {
	l := &stateLog{t: t, state: New(nil)}
	a, b, c := l.join("a", 1, 1), l.join("b", 2, 1), l.join("c", 3, 1)
	l.apply(acquire(a, JournalDuty("a")))
	l.keep(a, "a", "b")
	l.apply(acquire(b, JournalDuty("a")))
	resubmit := func(session uint64, keys ...uint64) []uint64 {
		return l.apply(&pb.Command{What: &pb.Command_Again{Again: &pb.Again{Session: session, Keys: keys}}}).Keys
	}
	if has := resubmit(c, 7); len(has) != 0 {
		t.Errorf("handed in again before the taking over: %v", has)
	}
	resubmit(a, 8) // at the owner itself, which is lost later: its heir has it
	l.apply(expire(a, 1))
	d := l.state.duties[JournalDuty("a")]
	adopt := &pb.Command{What: &pb.Command_Adopt{Adopt: &pb.Adopt{Session: b, Duty: d.Name, Token: d.Token, Incarnation: 1, Upto: 9, Keys: []uint64{7, 8, 9}}}}
	for range 2 { // its answer may be lost
		if r := l.apply(adopt); !slices.Equal(r.Keys, []uint64{7}) {
			t.Errorf("elsewhere: %v, want 7", r.Keys)
		}
	}
	snapshot, err := l.state.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	if l.state, err = Unmarshal(snapshot); err != nil {
		t.Fatal(err)
	}
	if has := resubmit(c, 7, 8, 9, 10); !slices.Equal(has, []uint64{8, 9}) {
		t.Errorf("handed in again after the taking over: an heir has %v, want 8 and 9", has)
	}
	if got := TakeoverByToken(l.state.LastAdoption("a"), d.Token); got.GetBy() != "b" || !proto.Equal(got, &pb.Agreed{Token: d.Token, By: "b", Elsewhere: []uint64{7}}) {
		t.Errorf("agreed: %v", got)
	}
	// Later takings over of the same owner leave it known, for a while.
	token := d.Token
	for boot := uint64(2); boot < 2+maxEarlierTakeovers+2; boot++ {
		a = l.join("a", 1, boot)
		l.apply(acquire(a, JournalDuty("a")))
		if h := l.holder("a"); h != "a" {
			l.apply(release(b, JournalDuty("a"), l.state.duties[JournalDuty("a")].Token))
		}
		l.keep(a, "a", "b")
		l.apply(acquire(b, JournalDuty("a")))
		l.apply(expire(a, 1))
		d = l.state.duties[JournalDuty("a")]
		l.apply(&pb.Command{What: &pb.Command_Adopt{Adopt: &pb.Adopt{Session: b, Duty: d.Name, Token: d.Token, Incarnation: 1, Upto: 9 + boot}}})
		if known := TakeoverByToken(l.state.LastAdoption("a"), token) != nil; known != (boot-1 <= maxEarlierTakeovers) {
			t.Errorf("after %d more: known %v", boot-1, known)
		}
	}
	for key := range uint64(MaxKeys + 10) {
		resubmit(c, 1000+key)
	}
	if n := len(l.state.resubmitted.order); n != MaxKeys || len(l.state.resubmitted.memberOf) != MaxKeys {
		t.Errorf("%d keys are known", n)
	}
}
