package sender

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/discovery"
	"sliptide/internal/journal"
	"sliptide/internal/statedir"
	"sliptide/policy"
)

// testSender is a Sender whose steps the test runs itself. It has one endpoint at most, for destination 3.
type testSender struct {
	*Sender
	t       *testing.T
	dir     string
	journal *journal.Journal
	notices chan discovery.Notice
}

// testClasses has a class of each effect. Tests select one by its index.
var testClasses = []policy.Class{
	{Name: "safe", Aim: 2000, Deadline: 20000, Worth: 1, LateWorth: 0.5, Effect: policy.Safe},
	{Name: "keyed", Aim: 2000, Deadline: 20000, Worth: 1, LateWorth: 0.5, Effect: policy.Keyed, DedupWindow: 2000},
	{Name: "unsafe", Aim: 2000, Deadline: 20000, Worth: 1, LateWorth: 0.5, Effect: policy.Unsafe},
}

// testSettings returns the settings of one sender that sends up to five messages in a call.
func testSettings() policy.Settings {
	return policy.Settings{
		Senders: 1, CallSlots: 10, MaxAttempts: 6, MaxHeld: 100, KeepAlive: 10000, DialTimeout: 1500, WarmUpDuration: 10000, ColdCapacity: 0.25,
		OverloadMultiple: 1.5, OverloadWindow: 3000, SendsRetryAfter: true, MaxRetryAfter: 2000, AllowanceIndex: -1, LimitIndex: -1, MinStepInterval: 1,
		Kinds: []policy.DestKind{{Batch: 5}}, Classes: testClasses,
	}
}

// newTestSender opens the journal in dir. addr is the endpoint of destination 3, empty for none.
func newTestSender(t *testing.T, dir, addr string, set policy.Settings) *testSender {
	t.Helper()
	s := &testSender{t: t, dir: dir, notices: make(chan discovery.Notice, 100)}
	j, restored, err := journal.Open(dir, statedir.NewSpace(1<<20).Account())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	s.journal = j
	s.Sender = New(Options{Settings: set, Seed: 1, MaxConns: 10, Journal: j, Restored: restored, Clock: NewClock(), Log: zerolog.Nop(),
		Notify: func(n discovery.Notice) { s.notices <- n }})
	if addr != "" {
		s.listEndpoint(addr)
	}
	return s
}

// listEndpoint lists the endpoint of destination 3 as ready.
func (s *testSender) listEndpoint(addr string) { s.listEndpointAs(policy.Ready, addr) }

// listEndpointAs lists the endpoint of destination 3 in the given state.
func (s *testSender) listEndpointAs(state policy.EndpointState, addr string) {
	s.handleList(&discovery.List{Full: true, Endpoints: []discovery.Endpoint{{Endpoint: policy.Endpoint{ID: 1, Dest: 3, State: state}, Name: "e", Addr: addr}}})
}

// runStep runs one step at the present time.
func (s *testSender) runStep() {
	s.updateNow()
	s.step()
}

// submit submits a message for the next step.
func (s *testSender) submit(trace string, class int, left time.Duration) chan Verdict {
	sub := &submission{msg: &Message{Trace: []byte(trace), Key: []byte("k-" + trace), Class: class, Dest: 3, Remaining: left, Body: []byte(trace)}, received: time.Now(), verdict: make(chan Verdict, 1)}
	s.handleSubmission(sub)
	return sub.verdict
}

// held returns the message with an ID, nil if none is held.
func (s *testSender) held(trace string) *message {
	for _, m := range s.messages {
		if m.Trace == trace {
			return m
		}
	}
	return nil
}

// delivered reports whether a message that was accepted has ended without a notice.
func (s *testSender) delivered(trace string) bool {
	for _, e := range s.pendingNotices {
		if e.Trace == trace {
			return false
		}
	}
	return s.held(trace) == nil && s.journal.IDTaken(trace)
}

// await handles inputs and runs steps until ok returns true. After testTimeout the test fails with the text what.
func (s *testSender) await(what string, ok func() bool) {
	s.t.Helper()
	for end := time.After(testTimeout); !ok(); {
		select {
		case in := <-s.inputs:
			s.updateNow()
			s.handleInput(in)
		case <-time.After(time.Millisecond):
		case <-end:
			s.t.Fatal(what)
		}
		s.runStep()
	}
}

const testTimeout = 10 * time.Second

// listen returns a listener that is closed with the test.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.(*net.TCPListener)
}
