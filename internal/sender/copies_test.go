package sender

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"sliptide/internal/fleet"
	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
	"sliptide/policy"
)

// testFleet is a CopyFleet that consists of the tested sender, "a", and of holders that the test scripts.
type testFleet struct {
	Fleet
	sender      *testSender
	view        fleet.View
	acknowledge bool // the holders acknowledge what they get
	sent        []*pb.Copy
}

const testToken = 7 // of the duty of the tested sender's journal

func (f *testFleet) Request(string, string)                       {}
func (f *testFleet) View() *fleet.View                            { return &f.view }
func (f *testFleet) Incarnation() uint64                          { return 1 }
func (f *testFleet) Propose(*pb.Command, func(*pb.Answer, error)) {}
func (f *testFleet) Token(name string) uint64                     { return f.view.Journals["a"].GetToken() }
func (f *testFleet) SendCopy(to string, frame *pb.Frame) {
	c := frame.GetCopy()
	if c == nil {
		return
	}
	f.sent = append(f.sent, c)
	if f.acknowledge {
		f.sender.ReceiveCopyFrame(to, &pb.Frame{What: &pb.Frame_Copied{Copied: &pb.Copied{Owner: "a", Epoch: c.Epoch, Seq: c.Seq}}})
	}
}

// grantLease makes the sender hold the lease on its own journal, with the given holders.
func (f *testFleet) grantLease(holders ...string) {
	f.view = fleet.View{Session: 1, Adoptions: f.view.Adoptions, Journals: map[string]*pb.Duty{
		"a": {Name: duty.JournalDuty("a"), Session: 1, Token: testToken, Holders: holders},
	}}
	for _, name := range append([]string{"a"}, holders...) {
		f.view.Present = append(f.view.Present, &pb.Present{Name: name})
	}
}

func (f *testFleet) loseLease() { f.view = fleet.View{Adoptions: f.view.Adoptions} }

// enableTestCopies makes a sender copy its journal to holders that have all of it, but acknowledge nothing from now on.
func enableTestCopies(s *testSender, set CopySettings, holders ...string) *testFleet {
	f := prepareTestCopies(s, set)
	f.acknowledge = true
	f.grantLease(holders...)
	s.await("the holders have no copy", func() bool {
		return !slices.ContainsFunc(holders, func(name string) bool { return !s.copies.owner.Synced(name) }) && s.copies.owner.Epoch() == testToken
	})
	f.acknowledge = false
	return f
}

// prepareTestCopies makes a sender copy its journal once it gets the lease. Two copies are wanted.
func prepareTestCopies(s *testSender, set CopySettings) *testFleet {
	f := &testFleet{sender: s}
	set.Name, set.Count = "a", 2
	s.EnableCopies(f, set)
	return f
}

// newRecordingPartner starts an endpoint that accepts each call, and returns its address and the IDs that it gets.
func newRecordingPartner(t *testing.T) (addr string, ids chan string) {
	ids = make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Trace-Id"); id != "" {
			ids <- id
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), ids
}

// Guards against a call that a successor repeats although its class forbids it: no holder knows of the attempt.
func TestUnrepeatableCallWaitsForHolders(t *testing.T) {
	set := testSettings()
	set.Kinds = []policy.DestKind{{Batch: 1}}
	redefined := set
	redefined.Classes = slices.Clone(set.Classes)
	redefined.Classes[2].Effect = policy.Safe
	for name, trouble := range map[string]func(*testSender, *testFleet){
		"holders silent":                      func(*testSender, *testFleet) {},
		"class redefined":                     func(s *testSender, _ *testFleet) { s.handleSettings(&redefined) },
		"a further holder is agreed on":       func(_ *testSender, f *testFleet) { f.grantLease("b", "c", "d") },
		"one holder is left, which is silent": func(_ *testSender, f *testFleet) { f.grantLease("b") },
	} {
		t.Run(name, func(t *testing.T) {
			addr, ids := newRecordingPartner(t)
			s := newTestSender(t, t.TempDir(), addr, set)
			f := enableTestCopies(s, CopySettings{Required: 1, Timeout: 20 * time.Millisecond, AcceptUncopied: true}, "b", "c")
			unsafe, safe := s.submit("unsafe", 2, 15*time.Second), s.submit("safe", 0, 15*time.Second)
			s.runStep()
			trouble(s, f)
			s.await("the messages are not accepted", func() bool { return len(unsafe) > 0 && len(safe) > 0 })
			if !(<-unsafe).Accepted || !(<-safe).Accepted {
				t.Fatal("a message is refused although it may be accepted without copies")
			}
			s.await("the call is not dropped and tried again", func() bool { return s.held("unsafe") == nil || s.held("unsafe").Attempts >= 3 })
			if id := <-ids; id != "safe" || len(ids) > 0 {
				t.Fatalf("call for %q, and %d more; want one for the message that may be repeated alone", id, len(ids))
			}
			f.acknowledge = true
			s.await("the message is not sent once the holders acknowledge its attempt", func() bool { return len(ids) > 0 })
		})
	}
}

// Guards against messages that are never sent because fewer holders are left than their class requires.
func TestUnrepeatableCallNeedsNoFurtherHoldersThanThereAre(t *testing.T) {
	set := testSettings()
	set.Kinds = []policy.DestKind{{Batch: 1}}
	for _, holders := range [][]string{{}, {"b"}} {
		addr, ids := newRecordingPartner(t)
		s := newTestSender(t, t.TempDir(), addr, set)
		f := enableTestCopies(s, CopySettings{Required: 2, Timeout: 20 * time.Millisecond, AcceptUncopied: true}, holders...)
		f.acknowledge = true
		s.submit("unsafe", 2, 15*time.Second)
		s.await("the message is not sent", func() bool { return len(ids) > 0 })
	}
}

// Guards against a call that starts after the lease is lost, or at the end of the process, without its holders.
func TestUnrepeatableCallDoesNotStartWithoutLease(t *testing.T) {
	set := testSettings()
	set.Kinds = []policy.DestKind{{Batch: 1}}
	for name, end := range map[string]func(*testSender, *testFleet){
		"lease lost": func(s *testSender, f *testFleet) {
			f.loseLease()
			s.await("the wait does not end", func() bool { return len(s.copies.waits) == 0 })
		},
		"process stops": func(s *testSender, _ *testFleet) { s.shutDown() },
	} {
		t.Run(name, func(t *testing.T) {
			addr, ids := newRecordingPartner(t)
			s := newTestSender(t, t.TempDir(), addr, set)
			f := enableTestCopies(s, CopySettings{Required: 1, Timeout: 50 * time.Millisecond, AcceptUncopied: true}, "b")
			s.submit("unsafe", 2, 15*time.Second)
			s.runStep()
			if s.held("unsafe").call == nil {
				t.Fatal("no call waits for the holders")
			}
			end(s, f)
			if m := s.held("unsafe"); m.call != nil || m.MayHaveRun() || len(ids) > 0 {
				t.Errorf("a call has begun: in progress %t, may have run %t, %d calls", m.call != nil, m.MayHaveRun(), len(ids))
			}
		})
	}
}

// Guards against calls of a sender that is back without its lease, whose messages a successor has or may have: no attempt
// begins and none is used up, whatever pace storm control sets meanwhile. With the lease they are sent.
func TestNoAttemptBeginsWithoutLease(t *testing.T) {
	for _, acceptUncopied := range []bool{false, true} {
		for i, class := range limitClasses() {
			t.Run(fmt.Sprint(class.Name, " take ", acceptUncopied), func(t *testing.T) {
				s := newTestSender(t, t.TempDir(), "", limitSettings())
				s.listedDests[3] = true
				s.submit("m", i, 15*time.Second)
				s.runStep()
				s = s.restartWith(limitSettings(), true)
				f := prepareTestCopies(s, CopySettings{Required: 1, Timeout: 20 * time.Millisecond, AcceptUncopied: acceptUncopied})
				addr, ids := newRecordingPartner(t)
				s.listEndpoint(addr)
				for range 5 {
					s.events = append(s.events, policy.Event{Kind: policy.EvPace, Dest: 3, Pace: 1e9})
					s.runStep()
				}
				if m := s.held("m"); m == nil || m.Attempts > 0 || len(s.calls) > 0 || len(ids) > 0 {
					t.Fatalf("%+v, %d calls, want a message without an attempt", m, len(s.calls))
				}
				f.acknowledge = true
				f.grantLease("b")
				s.await("the message is not sent with the lease", func() bool { return len(ids) > 0 })
			})
		}
	}
}
