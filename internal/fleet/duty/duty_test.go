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
	return &pb.Command{What: &pb.Command_Open{Open: &pb.Open{Member: member, Incarnation: incarnation, Boot: boot, Seq: seq}}}
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

func say(session uint64, duty string, token uint64, word string) *pb.Command {
	return &pb.Command{What: &pb.Command_Say{Say: &pb.Say{Session: session, Duty: duty, Token: token, Word: word}}}
}

// draw is any command, of which many make no sense.
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
		return open(member, rapid.Uint64Range(1, 2).Draw(t, "incarnation"), rapid.Uint64Range(1, 3).Draw(t, "boot"), rapid.Uint64Range(1, 3).Draw(t, "seq"))
	case 2, 3:
		return acquire(session, duty)
	case 4:
		return release(session, duty, token)
	case 5:
		return expire(session, 1)
	case 6:
		return handOver(duty, member)
	}
	return say(session, duty, token, "w")
}

// TestAnyCommands: whatever is agreed on, a duty has one holder with a session that goes on, each grant has a higher
// token than all before, the counts of duties are right, and a snapshot goes on as the original does.
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
			r, r2 := s.Apply(index, 1, c), restored.Apply(index, 1, c)
			if !errors.Is(r2.Err, r.Err) || r.Session != r2.Session || len(r.Changed) != len(r2.Changed) {
				t.Fatalf("%v: %v, from a snapshot %v", c, r, r2)
			}
			held := map[uint64]int{}
			for _, d := range s.Duties() {
				if d.Session != 0 && s.Session(d.Session) == nil {
					t.Fatalf("%v: its holder's session is over", d)
				}
				if d.Token != granted[d.Name] && d.Session != 0 {
					if d.Token <= highest {
						t.Fatalf("%v: granted with a token that is not above %d", d, highest)
					}
					highest, granted[d.Name] = d.Token, d.Token
				}
				held[d.Session]++
			}
			planned := 0
			for id, v := range s.sessions {
				if v.dutyCount != held[id] {
					t.Fatalf("session %d counts %d duties and holds %d", id, v.dutyCount, held[id])
				}
				planned += v.plannedChange
			}
			if planned != 0 {
				t.Fatalf("what is to be handed over does not add up: %d", planned)
			}
		}
	})
}

// TestLateCopies: a command that comes once more, late, takes nothing from anybody.
func TestDelayedDuplicates(t *testing.T) {
	s := New(nil)
	s.Apply(1, 1, open("a", 1, 1, 1))
	s.Apply(2, 1, open("a", 1, 1, 2)) // the first was given up
	if r := s.Apply(3, 1, open("a", 1, 1, 1)); !errors.Is(r.Err, ErrSessionEnded) || s.Session(2) == nil {
		t.Errorf("a late copy of the first wish: %v, session %v", r, s.Session(2))
	}
	if r := s.Apply(4, 1, open("a", 1, 1, 2)); r.Session != 2 || r.Opened != 0 {
		t.Errorf("the same wish once more: %+v", r)
	}
	if r := s.Apply(5, 1, open("a", 9, 1, 1)); !errors.Is(r.Err, ErrNameInUse) {
		t.Errorf("another folder: %v", r.Err)
	}
	s.Apply(6, 1, open("b", 2, 1, 1))
	s.Apply(7, 1, acquire(2, "d"))
	s.Apply(8, 1, acquire(6, "d"))
	token := s.viewByName("d").Token
	s.Apply(9, 1, release(2, "d", token))
	if r := s.Apply(10, 1, release(2, "d", token)); !errors.Is(r.Err, ErrStaleToken) || s.viewByName("d").Holder != "b" {
		t.Errorf("a release that comes twice: %v, %v", r.Err, s.viewByName("d"))
	}
	if r := s.Apply(11, 1, say(2, "d", token, "w")); !errors.Is(r.Err, ErrStaleToken) {
		t.Errorf("a word with an old token: %v", r.Err)
	}
	// What a voter that led in an earlier term says of lapsed sessions is void.
	if r := s.Apply(12, 2, expire(6, 1)); r.Err == nil || s.Session(6) == nil {
		t.Errorf("an end proposed in another term: %v", r.Err)
	}
}

// TestSpread: duties spread evenly as members come, one that goes leaves its own alone to be handed on, and nothing
// moves once they are even.
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
	// settle hands over what is to be, as holders do, and counts it.
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
				t.Fatal("duties go to and fro")
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
			t.Errorf("with %d members: from %d to %d duties", n+2, lo, hi)
		}
		if fair := duties / (n + 2); moved > fair+1 {
			t.Errorf("member %d came: %d duties moved, its part is %d", n+2, moved, fair)
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
			t.Errorf("%s moved from %s to %s though c went", d.Name, holderBefore[d.Name], d.Holder)
		}
	}
	if n := completeTransfers(); n > 2 {
		t.Errorf("%d duties moved after c's were handed on", n)
	}
}

// TestBounds: more than the bounds allow is refused, and loses nothing.
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
		t.Errorf("session: %v", r.Err)
	}
	for i := range MaxDuties {
		apply(acquire(1, fmt.Sprint("d", i)))
	}
	if r := apply(acquire(1, "one more")); !errors.Is(r.Err, ErrFull) {
		t.Errorf("duty: %v", r.Err)
	}
	if r := apply(acquire(1, string(make([]byte, MaxNameBytes+1)))); !errors.Is(r.Err, ErrInvalidName) {
		t.Errorf("name: %v", r.Err)
	}
	for id := uint64(2); id < 100; id++ {
		apply(acquire(id, "d0"))
	}
	if n := len(s.duties["d0"].Candidates); n != MaxCandidates {
		t.Errorf("%d in line", n)
	}
	b, _ := s.Marshal()
	if len(b) > 2<<20 {
		t.Errorf("a snapshot of %d bytes", len(b))
	}
	if r := apply(&pb.Command{}); !errors.Is(r.Err, ErrUnknownCommand) {
		t.Errorf("unknown command: %v", r.Err)
	}
	if _, err := Unmarshal([]byte{0xff}); err == nil || proto.Unmarshal(b, &pb.State{}) != nil {
		t.Error("snapshots")
	}
}

// TestJournalsStay: a journal's duty does not move for balance's sake, and while its copies are not taken over only
// those who keep them inherit it, not its owner with an empty disk. It was found by losing 50 machines: an heir of
// one journal had its own moved away, to the very owner that waited for the heir.
func TestJournalDutyStaysWithCopyHolders(t *testing.T) {
	s := New(nil)
	index := uint64(0)
	apply := func(c *pb.Command) Result { index++; return s.Apply(index, 1, c) }
	a := apply(open("a", 1, 1, 1)).Session
	b := apply(open("b", 2, 1, 1)).Session
	c := apply(open("c", 3, 1, 1)).Session
	own := JournalDuty("a")
	apply(acquire(a, own))
	for i := range 4 {
		apply(acquire(a, fmt.Sprint("d", i)))
	}
	apply(&pb.Command{What: &pb.Command_Keep{Keep: &pb.Keep{Session: a, Duty: own, Token: s.viewByName(own).Token, Holders: []string{"b"}}}})
	apply(acquire(c, own))
	apply(acquire(b, own))
	if w := s.viewByName(own).Wanted; w != "" {
		t.Errorf("a journal is to move to %s", w)
	}
	if r := apply(handOver(own, "c")); !errors.Is(r.Err, ErrJournalDuty) {
		t.Errorf("by hand: %v", r.Err)
	}
	apply(expire(a, 1))
	if h := s.viewByName(own); h.Holder != "b" {
		t.Fatalf("its heir is %v, b keeps its copies", h)
	}
	back := apply(open("a", 9, 1, 1)).Session // with an empty disk
	apply(acquire(back, own))
	apply(expire(b, 1))
	if h := s.viewByName(own); h.Holder == "" {
		t.Fatal("nobody")
	}
	// b comes back, and is in line again: it goes before the owner.
	held := s.viewByName(own)
	b = apply(open("b", 2, 2, 1)).Session
	apply(acquire(b, own))
	apply(expire(held.Session, 1))
	if h := s.viewByName(own); h.Holder != "b" {
		t.Errorf("the heir is %v", h)
	}
	apply(release(b, own, s.viewByName(own).Token)) // done
	if h := s.viewByName(own); len(h.Holders) != 0 || h.Holder == "b" {
		t.Errorf("after the heir is done: %v", h)
	}
}
