package duty

import (
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sliptide/internal/fleet/pb"
)

func open(member string, incarnation, boot, seq uint64) *pb.Command {
	return &pb.Command{What: &pb.Command_Open{Open: &pb.Open{
		Member: member, Incarnation: incarnation, Boot: boot, Seq: seq}}}
}

func acquire(session uint64, duty string) *pb.Command {
	return &pb.Command{What: &pb.Command_Acquire{Acquire: &pb.Acquire{Session: session, Duty: duty}}}
}

func release(session uint64, duty string, token uint64) *pb.Command {
	return &pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: session, Duty: duty, Token: token}}}
}

func expire(session, term uint64) *pb.Command {
	return &pb.Command{What: &pb.Command_Expire{Expire: &pb.Expire{Session: session, Term: term}}}
}

func handOver(duty, to string) *pb.Command {
	return &pb.Command{What: &pb.Command_HandOver{HandOver: &pb.HandOver{Duty: duty, To: to}}}
}

func publish(session uint64, duty string, token uint64, word string) *pb.Command {
	return &pb.Command{What: &pb.Command_Say{Say: &pb.Say{Session: session, Duty: duty, Token: token, Word: word}}}
}

// drawCommand draws an arbitrary command; many are invalid in the state.
func drawCommand(t *rapid.T, s *State, index uint64) *pb.Command {
	session := rapid.Uint64Range(0, index).Draw(t, "session")
	if ids := s.Sessions(); len(ids) > 0 && rapid.Bool().Draw(t, "live") {
		session = rapid.SampledFrom(ids).Draw(t, "of")
	}
	duty := fmt.Sprint("d", rapid.IntRange(0, 5).Draw(t, "duty"))
	member := fmt.Sprint("m", rapid.IntRange(0, 4).Draw(t, "member"))
	token := uint64(0)
	if d := s.viewByName(duty); d != nil && rapid.IntRange(0, 3).Draw(t, "right") > 0 {
		token, session = d.Token, d.Session
	}
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0, 1:
		return open(member, rapid.Uint64Range(1, 2).Draw(t, "incarnation"), rapid.Uint64Range(1, 3).Draw(t, "boot"),
			rapid.Uint64Range(1, 3).Draw(t, "seq"))
	case 2, 3:
		return acquire(session, duty)
	case 4:
		return release(session, duty, token)
	case 5:
		return expire(session, 1)
	case 6:
		return handOver(duty, member)
	}
	return publish(session, duty, token, "w")
}

// TestAnyCommands checks for arbitrary commands that a duty has at most one holder, whose session exists, that every
// grant has a higher token than all before, that the counts of duties are right, and that a state restored from a
// snapshot has the same results as the original.
func TestAnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(map[uint64]string{1: "m0"})
		granted := map[string]uint64{}
		highest := uint64(0)
		n := rapid.IntRange(1, 120).Draw(t, "n")
		for i := range n {
			index := uint64(i + 1)
			c := drawCommand(t, s, index)
			b, err := s.Marshal()
			if err != nil {
				t.Fatal(err)
			}
			restored, err := Unmarshal(b)
			if err != nil {
				t.Fatal(err)
			}
			r, restoredResult := s.Apply(index, 1, c), restored.Apply(index, 1, c)
			if !errors.Is(restoredResult.Err, r.Err) || r.Session != restoredResult.Session ||
				len(r.Changed) != len(restoredResult.Changed) {
				t.Fatalf("%v: result %v, restored from a snapshot %v", c, r, restoredResult)
			}
			held := map[uint64]int{}
			for _, d := range s.Duties() {
				if d.Session != 0 && s.Session(d.Session) == nil {
					t.Fatalf("%v: the session of its holder has ended", d)
				}
				if d.Token != granted[d.Name] && d.Session != 0 {
					if d.Token <= highest {
						t.Fatalf("%v: granted with a token not above the highest one, %d", d, highest)
					}
					highest, granted[d.Name] = d.Token, d.Token
				}
				held[d.Session]++
			}
			planned := 0
			for id, v := range s.sessions {
				if v.dutyCount != held[id] {
					t.Fatalf("session %d has a count of %d duties and holds %d", id, v.dutyCount, held[id])
				}
				planned += v.plannedChange
			}
			if planned != 0 {
				t.Fatalf("the planned changes of all sessions add up to %d, want 0", planned)
			}
		}
	})
}

// TestDelayedDuplicates guards against commands that are delivered a second time, late: they must take nothing away
// from a session or a holder that came later. A member whose name is in use with another state directory is refused.
func TestDelayedDuplicates(t *testing.T) {
	s := New(nil)
	s.Apply(1, 1, open("a", 1, 1, 1))
	s.Apply(2, 1, open("a", 1, 1, 2)) // the first request timed out
	if r := s.Apply(3, 1, open("a", 1, 1, 1)); !errors.Is(r.Err, ErrSessionEnded) || s.Session(2) == nil {
		t.Errorf("delayed duplicate of the first request: %v, session %v; want ErrSessionEnded, and the session kept", r, s.Session(2))
	}
	if r := s.Apply(4, 1, open("a", 1, 1, 2)); r.Session != 2 || r.Opened != 0 {
		t.Errorf("repeated request: %+v, want session 2, which is not opened again", r)
	}
	if r := s.Apply(5, 1, open("a", 9, 1, 1)); !errors.Is(r.Err, ErrNameInUse) {
		t.Errorf("other state directory: %v, want ErrNameInUse", r.Err)
	}
	s.Apply(6, 1, open("b", 2, 1, 1))
	s.Apply(7, 1, acquire(2, "d"))
	s.Apply(8, 1, acquire(6, "d"))
	token := s.viewByName("d").Token
	s.Apply(9, 1, release(2, "d", token))
	if r := s.Apply(10, 1, release(2, "d", token)); !errors.Is(r.Err, ErrStaleToken) || s.viewByName("d").Holder != "b" {
		t.Errorf("repeated release: error %v, duty %v; want ErrStaleToken, and b as the holder", r.Err, s.viewByName("d"))
	}
	if r := s.Apply(11, 1, publish(2, "d", token, "w")); !errors.Is(r.Err, ErrStaleToken) {
		t.Errorf("value published with a stale token: %v, want ErrStaleToken", r.Err)
	}
	// An end of a session that was proposed by a leader of an earlier term is void.
	if r := s.Apply(12, 2, expire(6, 1)); r.Err == nil || s.Session(6) == nil {
		t.Errorf("expiry proposed in an earlier term: %v, want an error, and the session kept", r.Err)
	}
}

// TestSpread checks that duties spread evenly as members join, that each member that joins moves no more than its fair
// share and one, and that only the duties of a member that leaves are granted anew, after which at most two others move
// for balance. It guards against duties that move back and forth.
func TestSpread(t *testing.T) {
	s := New(nil)
	index := uint64(0)
	apply := func(c *pb.Command) Result { index++; return s.Apply(index, 1, c) }
	const duties = 60
	join := func(name string) uint64 {
		id := apply(open(name, 1, 1, 1)).Session
		for d := range duties {
			apply(acquire(id, fmt.Sprint("d", d)))
		}
		return id
	}
	// completeTransfers releases duties to the requested members, as holders do, and returns their number.
	completeTransfers := func() (moved int) {
		for pending := true; pending; {
			pending = false
			for _, d := range s.Duties() {
				if d.Wanted != "" {
					apply(release(d.Session, d.Name, d.Token))
					apply(acquire(d.Session, d.Name))
					moved, pending = moved+1, true
				}
			}
			if moved > 10*duties {
				t.Fatal("duties move back and forth")
			}
		}
		return moved
	}
	dutyRange := func() (lo, hi int) {
		lo = duties
		for _, v := range s.sessions {
			lo, hi = min(lo, v.dutyCount), max(hi, v.dutyCount)
		}
		return lo, hi
	}
	join("a")
	for n, name := range []string{"b", "c", "d", "e"} {
		join(name)
		moved := completeTransfers()
		if lo, hi := dutyRange(); hi-lo > 1 {
			t.Errorf("with %d members: between %d and %d duties each, want a difference of at most 1", n+2, lo, hi)
		}
		if fair := duties / (n + 2); moved > fair+1 {
			t.Errorf("member %d joined: %d duties moved, want at most one more than its fair share, %d", n+2, moved, fair)
		}
	}
	removedSession := s.sessionOf["c"]
	holderBefore := map[string]string{}
	for _, d := range s.Duties() {
		holderBefore[d.Name] = d.Holder
	}
	apply(expire(removedSession, 1))
	for _, d := range s.Duties() {
		if holderBefore[d.Name] != "c" && d.Holder != holderBefore[d.Name] {
			t.Errorf("%s moved from %s to %s when c left, want only the duties of c to move", d.Name, holderBefore[d.Name], d.Holder)
		}
	}
	if n := completeTransfers(); n > 2 {
		t.Errorf("%d duties moved after those of c were granted anew, want at most 2", n)
	}
}

// TestBounds checks that sessions, duties and names beyond the limits are refused, as are unknown commands, that a duty
// has no more than MaxCandidates candidates, and that the snapshot of a full state stays small enough. An invalid
// snapshot is refused.
func TestBounds(t *testing.T) {
	s := New(nil)
	index := uint64(0)
	apply := func(c *pb.Command) Result { index++; return s.Apply(index, 1, c) }
	for i := range MaxSessions {
		if r := apply(open(fmt.Sprint("m", i), 1, 1, 1)); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	if r := apply(open("one more", 1, 1, 1)); !errors.Is(r.Err, ErrFull) {
		t.Errorf("session beyond MaxSessions: %v, want ErrFull", r.Err)
	}
	for i := range MaxDuties {
		apply(acquire(1, fmt.Sprint("d", i)))
	}
	if r := apply(acquire(1, "one more")); !errors.Is(r.Err, ErrFull) {
		t.Errorf("duty beyond MaxDuties: %v, want ErrFull", r.Err)
	}
	if r := apply(acquire(1, string(make([]byte, MaxNameBytes+1)))); !errors.Is(r.Err, ErrInvalidName) {
		t.Errorf("name longer than MaxNameBytes: %v, want ErrInvalidName", r.Err)
	}
	for id := uint64(2); id < 100; id++ {
		apply(acquire(id, "d0"))
	}
	if n := len(s.duties["d0"].Candidates); n != MaxCandidates {
		t.Errorf("%d candidates, want MaxCandidates", n)
	}
	b, _ := s.Marshal()
	if len(b) > 2<<20 {
		t.Errorf("a snapshot of a full state has %d bytes, want at most 2 MiB", len(b))
	}
	if r := apply(&pb.Command{}); !errors.Is(r.Err, ErrUnknownCommand) {
		t.Errorf("unknown command: %v, want ErrUnknownCommand", r.Err)
	}
	if _, err := Unmarshal([]byte{0xff}); err == nil || proto.Unmarshal(b, &pb.State{}) != nil {
		t.Error("an invalid snapshot is accepted, or a valid one is not a State message")
	}
}

// TestJournalDutyStaysWithCopyHolders checks that a journal duty is never moved for balance, and that it goes only to
// holders of its copies until they are taken over, not to its owner with an empty disk. It guards against a deadlock
// that appeared when 50 machines were lost: the own journal duty of a successor was moved to the very owner that
// waited for that successor.
func TestJournalDutyStaysWithCopyHolders(t *testing.T) {
	s := New(nil)
	index := uint64(0)
	apply := func(c *pb.Command) Result { index++; return s.Apply(index, 1, c) }
	a := apply(open("a", 1, 1, 1)).Session
	b := apply(open("b", 2, 1, 1)).Session
	c := apply(open("c", 3, 1, 1)).Session
	journal := JournalDuty("a")
	apply(acquire(a, journal))
	for i := range 4 {
		apply(acquire(a, fmt.Sprint("d", i)))
	}
	apply(&pb.Command{What: &pb.Command_Keep{Keep: &pb.Keep{
		Session: a, Duty: journal, Token: s.viewByName(journal).Token, Holders: []string{"b"}}}})
	apply(acquire(c, journal))
	apply(acquire(b, journal))
	if w := s.viewByName(journal).Wanted; w != "" {
		t.Errorf("a journal duty is to be transferred to %s, want no transfer", w)
	}
	if r := apply(handOver(journal, "c")); !errors.Is(r.Err, ErrJournalDuty) {
		t.Errorf("hand-over of a journal duty: %v, want ErrJournalDuty", r.Err)
	}
	apply(expire(a, 1))
	if h := s.viewByName(journal); h.Holder != "b" {
		t.Fatalf("the successor is %v, want b, which keeps the copies", h)
	}
	returned := apply(open("a", 9, 1, 1)).Session // with an empty disk
	apply(acquire(returned, journal))
	apply(expire(b, 1))
	if h := s.viewByName(journal); h.Holder == "" {
		t.Fatal("the journal duty has no holder")
	}
	// b is back and a candidate again: it precedes the owner.
	current := s.viewByName(journal)
	b = apply(open("b", 2, 2, 1)).Session
	apply(acquire(b, journal))
	apply(expire(current.Session, 1))
	if h := s.viewByName(journal); h.Holder != "b" {
		t.Errorf("the successor is %v, want b", h)
	}
	apply(release(b, journal, s.viewByName(journal).Token)) // takeover complete
	if h := s.viewByName(journal); len(h.Holders) != 0 || h.Holder == "b" {
		t.Errorf("after the takeover: %v, want no copy holders, and a holder other than b", h)
	}
}
