package duty

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"sliptide/internal/fleet/pb"
)

// stateLog applies commands with consecutive log indices.
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

func (l *stateLog) setCopyHolders(session uint64, member string, copyHolders ...string) {
	d := l.state.duties[JournalDuty(member)]
	l.apply(&pb.Command{What: &pb.Command_Keep{Keep: &pb.Keep{
		Session: session, Duty: d.Name, Token: d.Token, Holders: copyHolders}}})
}

func (l *stateLog) holder(member string) string {
	if d := l.state.viewByName(JournalDuty(member)); d != nil {
		return d.Holder
	}
	return ""
}

// TestSuccessorsDoNotWaitForEachOther guards against a deadlock: two members that keep each other's copies are lost
// and return with empty disks. Each became the successor of the other, neither held its own journal, and both waited
// forever. A copy holder that holds its own journal must precede one that does not, a successor without its own
// journal may transfer the duty without voiding the copies, and the owner precedes members that keep no copies.
func TestSuccessorsDoNotWaitForEachOther(t *testing.T) {
	l := &stateLog{t: t, state: New(nil)}
	a, b, c := l.join("a", 1, 1), l.join("b", 2, 1), l.join("c", 3, 1)
	for _, m := range []struct {
		id   uint64
		name string
	}{{a, "a"}, {b, "b"}, {c, "c"}} {
		l.apply(acquire(m.id, JournalDuty(m.name)))
	}
	l.setCopyHolders(a, "a", "b", "c")
	l.setCopyHolders(b, "b", "a")
	l.apply(acquire(b, JournalDuty("a")))
	l.apply(acquire(c, JournalDuty("a")))
	l.apply(acquire(a, JournalDuty("b")))
	// Both are lost at once, and return before their successors are done.
	l.apply(expire(b, 1))
	l.apply(expire(a, 1))
	if h := l.holder("a"); h != "c" {
		t.Fatalf("the successor of a is %q, want c: b does not hold its own journal", h)
	}
	a, b = l.join("a", 11, 1), l.join("b", 12, 1)
	l.apply(acquire(a, JournalDuty("a")))
	l.apply(acquire(a, JournalDuty("b")))
	l.apply(acquire(b, JournalDuty("b")))
	// a is recorded as a holder of b's copies, and holds b's journal but not its own: it transfers the duty.
	if h := l.holder("b"); h != "a" {
		t.Fatalf("the successor of b is %q, want a", h)
	}
	d := l.state.duties[JournalDuty("b")]
	l.apply(&pb.Command{What: &pb.Command_Release{Release: &pb.Release{
		Session: a, Duty: d.Name, Token: d.Token, Keep: true}}})
	if h := l.holder("b"); h != "b" {
		t.Errorf("after the transfer, b's journal is held by %q, want b", h)
	}
	if !slices.Equal(l.state.duties[JournalDuty("b")].CopyHolders, []string{"a"}) {
		t.Errorf("the transfer has voided the copies: holders %v, want a", l.state.duties[JournalDuty("b")].CopyHolders)
	}
}

// TestResubmittedKeys checks that resubmissions and takeovers of the same messages are resolved by their order in the
// log, also after a snapshot: of the two, the later one is told of the earlier, so that a message is not sent by both.
// Only a limited number of earlier takeovers and of resubmitted keys is kept.
func TestResubmittedKeys(t *testing.T) {
	l := &stateLog{t: t, state: New(nil)}
	a, b, c := l.join("a", 1, 1), l.join("b", 2, 1), l.join("c", 3, 1)
	l.apply(acquire(a, JournalDuty("a")))
	l.setCopyHolders(a, "a", "b")
	l.apply(acquire(b, JournalDuty("a")))
	resubmit := func(session uint64, keys ...uint64) []uint64 {
		return l.apply(&pb.Command{What: &pb.Command_Again{Again: &pb.Again{Session: session, Keys: keys}}}).Keys
	}
	if takenOver := resubmit(c, 7); len(takenOver) != 0 {
		t.Errorf("resubmitted before the takeover: %v reported as taken over", takenOver)
	}
	resubmit(a, 8) // at the owner itself, which is lost later: its successor has the message
	l.apply(expire(a, 1))
	d := l.state.duties[JournalDuty("a")]
	adopt := &pb.Command{What: &pb.Command_Adopt{Adopt: &pb.Adopt{
		Session: b, Duty: d.Name, Token: d.Token, Incarnation: 1, Upto: 9, Keys: []uint64{7, 8, 9}}}}
	for range 2 { // the answer may be lost
		if r := l.apply(adopt); !slices.Equal(r.Keys, []uint64{7}) {
			t.Errorf("resubmitted elsewhere: %v, want 7", r.Keys)
		}
	}
	snapshot, err := l.state.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	if l.state, err = Unmarshal(snapshot); err != nil {
		t.Fatal(err)
	}
	if takenOver := resubmit(c, 7, 8, 9, 10); !slices.Equal(takenOver, []uint64{8, 9}) {
		t.Errorf("resubmitted after the takeover: %v reported as taken over, want 8 and 9", takenOver)
	}
	if got := TakeoverByToken(l.state.LastAdoption("a"), d.Token); got.GetBy() != "b" ||
		!proto.Equal(got, &pb.Agreed{Token: d.Token, By: "b", Elsewhere: []uint64{7}}) {
		t.Errorf("takeover: %v, want one by b, with key 7 resubmitted elsewhere", got)
	}
	// A takeover remains known after a limited number of later takeovers from the same owner.
	token := d.Token
	for boot := uint64(2); boot < 2+maxEarlierTakeovers+2; boot++ {
		a = l.join("a", 1, boot)
		l.apply(acquire(a, JournalDuty("a")))
		if h := l.holder("a"); h != "a" {
			l.apply(release(b, JournalDuty("a"), l.state.duties[JournalDuty("a")].Token))
		}
		l.setCopyHolders(a, "a", "b")
		l.apply(acquire(b, JournalDuty("a")))
		l.apply(expire(a, 1))
		d = l.state.duties[JournalDuty("a")]
		l.apply(&pb.Command{What: &pb.Command_Adopt{Adopt: &pb.Adopt{
			Session: b, Duty: d.Name, Token: d.Token, Incarnation: 1, Upto: 9 + boot}}})
		if known := TakeoverByToken(l.state.LastAdoption("a"), token) != nil; known != (boot-1 <= maxEarlierTakeovers) {
			t.Errorf("after %d later takeovers: known %v, want it to be known up to maxEarlierTakeovers later ones", boot-1, known)
		}
	}
	for key := range uint64(MaxKeys + 10) {
		resubmit(c, 1000+key)
	}
	if n := len(l.state.resubmitted.order); n != MaxKeys || len(l.state.resubmitted.memberOf) != MaxKeys {
		t.Errorf("%d keys are known, want MaxKeys", n)
	}
}
