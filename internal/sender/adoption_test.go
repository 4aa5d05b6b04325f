package sender

import (
	"fmt"
	"testing"
	"time"

	"sliptide/internal/fleet/pb"
	"sliptide/policy"
)

// restart ends the process of a sender, in order unless killed is set, and starts the next one.
func (s *testSender) restart(killed bool) *testSender {
	s.t.Helper()
	return s.restartWith(testSettings(), killed)
}

// restartWith is restart with other settings.
func (s *testSender) restartWith(set policy.Settings, killed bool) *testSender {
	s.t.Helper()
	if !killed {
		s.shutDown()
	}
	s.journal.Close()
	next := newTestSender(s.t, s.dir, "", set)
	next.listedDests[3] = true
	return next
}

// acceptUncopied accepts a message while the sender has no lease.
func (s *testSender) acceptUncopied(trace string) {
	s.t.Helper()
	verdict := s.submit(trace, 2, 15*time.Second)
	s.await("no verdict", func() bool { return len(verdict) > 0 })
	if v := <-verdict; !v.Accepted {
		s.t.Fatalf("verdict %+v, want an acceptance", v)
	}
}

// Guards against messages that are dropped after a later restart because their numbers belong to an earlier takeover.
func TestMessageAcceptedBeforeLeaseIsKept(t *testing.T) {
	set := CopySettings{Required: 1, Timeout: 20 * time.Millisecond, AcceptUncopied: true}
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprintf("killed %t", killed), func(t *testing.T) {
			s := newTestSender(t, t.TempDir(), "", testSettings())
			s.listedDests[3] = true
			f := prepareTestCopies(s, set)
			for i := range 5 {
				trace := fmt.Sprint("ended-", i)
				s.acceptUncopied(trace)
				s.complete(s.held(trace))
			}
			s.acceptUncopied("taken over")
			f.view.Adoptions = map[string]*pb.Adoption{"a": {Incarnation: 1, Upto: s.Sender.journal.LastNumber(), By: "b"}}
			adoptions := f.view.Adoptions
			restart := func() {
				s = s.restart(killed)
				f = prepareTestCopies(s, set)
				f.view.Adoptions, f.acknowledge = adoptions, true
			}
			useLease := func() {
				f.grantLease("b")
				s.await("the sender does not use its lease", func() bool { return s.copies.owner.Epoch() == testToken })
			}
			for run := range 3 {
				restart()
				useLease()
				if s.held("taken over") != nil {
					t.Error("a message that a successor has taken over is still held")
				}
				restart() // nothing was accepted since the last start
				f.acknowledge = false
				trace := fmt.Sprint("accepted in run ", run)
				s.acceptUncopied(trace)
				f.acknowledge = true
				useLease()
				m := s.held(trace)
				if m == nil {
					t.Fatalf("%s, which no other member has, is dropped", trace)
				}
				s.complete(m)
				s.runStep()
			}
		})
	}
}

// Guards against a takeover that covers no number of the messages taken over, so that their owner, once back, sends them too.
func TestCopiesAfterRestartTellHighestNumber(t *testing.T) {
	for _, killed := range []bool{false, true} {
		s := newTestSender(t, t.TempDir(), "", testSettings())
		s.listedDests[3] = true
		for i := range 3 {
			s.submit(fmt.Sprint("m", i), 2, 15*time.Second)
		}
		s.runStep()
		s = s.restart(killed)
		f := enableTestCopies(s, CopySettings{Required: 1, Timeout: 20 * time.Millisecond}, "b")
		for _, c := range f.sent {
			if last := s.Sender.journal.LastNumber(); c.Upto < last {
				t.Errorf("killed %t: a copy tells %d as the highest number, want %d, that of a message in it", killed, c.Upto, last)
			}
		}
	}
}
