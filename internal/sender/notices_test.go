package sender

import (
	"fmt"
	"testing"
	"time"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/journal"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

// returnMessage ends a held message undelivered before its time, as the module does when its attempts run out.
func (s *testSender) returnMessage(trace string) {
	m := s.held(trace)
	s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: m.Num})
	s.abandon(m, journal.EndingReturned, telemetry.EndingReturned, 0)
	s.runStep()
}

// newSenderWithMessage returns a sender that has copies at "b" and holds the message "m", accepted and copied.
func newSenderWithMessage(t *testing.T, class int, left time.Duration, acceptUncopied bool) (*testSender, *testFleet) {
	t.Helper()
	s := newTestSender(t, t.TempDir(), "", limitSettings())
	s.listEndpointAs(policy.Draining, listen(t).Addr().String())
	f := enableTestCopies(s, CopySettings{Required: 1, Timeout: 20 * time.Millisecond, AcceptUncopied: acceptUncopied}, "b")
	acceptLater(s, f, "m", class, left)
	return s, f
}

// Guards against a message that is returned to its client and run by a successor, which does not know of its end.
func TestReturnWaitsForHolders(t *testing.T) {
	for i, class := range limitClasses() {
		for _, acceptUncopied := range []bool{false, true} {
			t.Run(fmt.Sprint(class.Name, " take ", acceptUncopied), func(t *testing.T) {
				s, f := newSenderWithMessage(t, i, 15*time.Second, acceptUncopied)
				s.returnMessage("m")
				if got := len(s.notices) > 0; got == class.limits {
					t.Fatalf("notice sent at once: %t, want %t", got, !class.limits)
				}
				f.acknowledge = true
				s.await("no notice although the holders acknowledge the end", func() bool { return len(s.notices) > 0 })
				if n := <-s.notices; !n.Returned {
					t.Error("the message is given up, not returned")
				}
			})
		}
	}
}

// Guards against two ends of a message: its owner, without the lease, ends it while a successor sends it. At its deadline
// it ends all the same, for there may be no successor; it is not returned where a successor may have sent it.
func TestReturnWithoutLeaseWaitsForDeadline(t *testing.T) {
	for i, class := range limitClasses() {
		t.Run(class.Name, func(t *testing.T) {
			s, f := newSenderWithMessage(t, i, 400*time.Millisecond, true)
			f.loseLease()
			s.runStep()
			s.returnMessage("m")
			s.await("no notice at the deadline", func() bool { return len(s.notices) > 0 })
			n := <-s.notices
			e := s.pendingNotices[n.Num]
			if early := float64(e.Deadline) - s.now; early > 0 {
				t.Errorf("the notice comes %.0f ms before the deadline, without the lease", early)
			}
			if late := s.now - float64(e.Deadline); late > 50 {
				t.Errorf("the notice comes %.0f ms after the deadline", late)
			}
			if n.Returned == class.limits {
				t.Errorf("returned %t, want %t", n.Returned, !class.limits)
			}
		})
	}
}

// Guards against a notice that is lost, or contradicts a successor's, when the lease is held again.
func TestReturnAfterLeaseIsHeldAgain(t *testing.T) {
	for _, adopted := range []bool{false, true} {
		s, f := newSenderWithMessage(t, 3, 15*time.Second, false)
		f.loseLease()
		s.runStep()
		s.returnMessage("m")
		f.acknowledge = true
		if adopted {
			f.view.Adoptions = map[string]*pb.Adoption{"a": {Incarnation: 1, Upto: s.journal.LastNumber(), By: "b"}}
		}
		f.grantLease("b")
		if adopted {
			s.await("the message is still held", func() bool { return len(s.pendingNotices) == 0 && len(s.queuedNotices) == 0 })
			if len(s.notices) > 0 {
				t.Error("a notice is sent for a message that a successor has taken over")
			}
			continue
		}
		s.await("no notice", func() bool { return len(s.notices) > 0 })
		if n := <-s.notices; !n.Returned {
			t.Error("the message is given up, not returned")
		}
	}
}

// Guards against a return that the next process sends at once, without the lease or the holders' acknowledgement.
func TestReturnWaitsForHoldersAfterRestart(t *testing.T) {
	for _, killed := range []bool{false, true} {
		s, _ := newSenderWithMessage(t, 3, 15*time.Second, false)
		s.returnMessage("m")
		s = s.restartWith(limitSettings(), killed)
		f := prepareTestCopies(s, CopySettings{Required: 1, Timeout: 20 * time.Millisecond})
		s.runStep()
		f.grantLease("b")
		s.runStep()
		s.runStep()
		if len(s.notices) > 0 {
			t.Fatalf("killed %t: the notice is sent before a holder has the record of the end", killed)
		}
		f.acknowledge = true
		s.await("no notice although the holder acknowledges its copy", func() bool { return len(s.notices) > 0 })
		if n := <-s.notices; !n.Returned {
			t.Errorf("killed %t: the message is given up, not returned", killed)
		}
	}
}
