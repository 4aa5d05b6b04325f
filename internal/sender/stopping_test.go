package sender

import (
	"io"
	"testing"
	"time"

	"sliptide/internal/journal"
	"sliptide/internal/statedir"
	"sliptide/policy"
)

// reopenJournal returns the entries in the journal of a sender that has exited.
func (s *testSender) reopenJournal() map[string]*journal.Entry {
	s.t.Helper()
	j, restored, err := journal.Open(s.dir, statedir.NewSpace(1<<20).Account())
	if err != nil {
		s.t.Fatal(err)
	}
	defer j.Close()
	held := map[string]*journal.Entry{}
	for _, e := range restored {
		held[e.Trace] = e
	}
	return held
}

// A verdict that was given before the sender exited counts, even if the submitter reads it later: a message that is in
// the journal must not be answered as refused.
func TestVerdictGivenBeforeExitIsReturned(t *testing.T) {
	s := newTestSender(t, t.TempDir(), "", testSettings())
	close(s.done)
	for range 100 { // select chooses at random if both channels are ready
		sub := &submission{verdict: make(chan Verdict, 1)}
		sub.verdict <- Verdict{Accepted: true, Num: 7}
		if v := s.awaitVerdict(sub); !v.Accepted {
			t.Fatal("a message whose verdict is an acceptance is answered as refused")
		}
	}
	if v := s.awaitVerdict(&submission{verdict: make(chan Verdict, 1)}); v.Accepted || v.RetryAfterMS <= 0 {
		t.Errorf("a message that no step handled: %+v, want a refusal with a Retry-After", v)
	}
}

// A client is found to be gone after the stop request, when the sender has nothing left to do. The withdrawal must not
// be lost: the next process would send a message that its client, without an answer, submits again.
func TestWithdrawalAfterStop(t *testing.T) {
	s := newTestSender(t, t.TempDir(), listen(t).Addr().String(), testSettings())
	verdict := s.submit("m", 0, 20*time.Second)
	s.runStep()
	num := (<-verdict).Num
	s.handleInput(input{stop: &stopRequest{at: time.Now()}})
	for c := range s.calls {
		delete(s.calls, c) // as if the call had ended
	}
	if s.mayExit(stopSendWindow) {
		t.Fatal("the sender exits while its clients are still being answered")
	}
	s.Withdraw(num)
	s.ClientsGone()
	s.await("the sender does not exit", func() bool { return s.mayExit(stopSendWindow) })
	s.shutDown()
	if s.reopenJournal()["m"] != nil {
		t.Error("the journal has a message that was withdrawn")
	}
}

// An outcome, the acceptance of a notice and a withdrawal that arrive after the last step must all reach the journal.
func TestInputsAfterLastStepAreJournalled(t *testing.T) {
	ln := listen(t)
	s := newTestSender(t, t.TempDir(), ln.Addr().String(), testSettings())
	delivered := s.submit("delivered", 2, 20*time.Second)
	s.runStep()
	<-delivered
	m := s.held("delivered")
	if m == nil || m.call == nil {
		t.Fatal("no call in progress")
	}
	c := m.call
	s.listEndpoint("") // no address: the other messages are not sent
	withdrawn, notified := s.submit("gone", 0, 20*time.Second), s.submit("told", 0, 20*time.Second)
	s.runStep()
	n, e := (<-withdrawn).Num, s.messages[(<-notified).Num]
	s.dropUnsent(e.call)
	s.forget(e)
	s.endWithNotice(e.Entry, journal.EndingReturned, 0)
	s.runStep()
	s.post(input{call: c, events: []policy.Event{{Kind: policy.EvOutcome, ID: m.Num, Endpoint: 1, Outcome: policy.OK}}})
	s.AckNotices([]uint64{e.Num})
	s.Withdraw(n)
	s.shutDown()
	for name, e := range s.reopenJournal() {
		t.Errorf("the journal still has %s: %+v", name, e)
	}
}

// A call that waits for its connection when the sender exits never runs, so the next process may send its message, also
// of a class that forbids repeats.
func TestCallWithoutConnectionNeverRan(t *testing.T) {
	s := newTestSender(t, t.TempDir(), "", testSettings())
	s.pool.PaceDials(3, 1) // the second call waits a second for its connection
	ln := listen(t)
	s.listEndpoint(ln.Addr().String())
	s.submit("begun", 2, 20*time.Second)
	s.runStep()
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := nc.Read(make([]byte, 1)); err != nil { // the call has begun
		t.Fatal(err)
	}
	s.submit("waiting", 2, 20*time.Second)
	s.runStep()
	if len(s.calls) != 2 {
		t.Fatalf("%d calls, want one that has begun and one that waits for a connection", len(s.calls))
	}
	s.shutDown()
	next := s.reopenJournal()
	if e := next["begun"]; e == nil || e.MayHaveRunAt == 0 {
		t.Errorf("begun: %+v, want an entry that may have run", e)
	}
	if e := next["waiting"]; e == nil || e.MayHaveRunAt != 0 || e.Attempts != 1 {
		t.Errorf("waiting: %+v, want an entry that has surely not run, with one attempt", e)
	}
}

// A submission that is still queued when the sender exits is refused and leaves nothing in the journal.
func TestSubmissionDuringExitIsRefused(t *testing.T) {
	s := newTestSender(t, t.TempDir(), "", testSettings())
	answer := make(chan Verdict)
	go func() {
		answer <- s.Submit(&Message{Trace: []byte("m"), Key: []byte("k"), Dest: 3, Remaining: time.Second}, time.Now())
	}()
	for len(s.inputs) == 0 {
		time.Sleep(time.Millisecond)
	}
	s.shutDown()
	close(s.done)
	if v := <-answer; v.Accepted || v.RetryAfterMS <= 0 {
		t.Errorf("%+v, want a refusal with a Retry-After", v)
	}
	if s.reopenJournal()["m"] != nil {
		t.Error("the refused message is in the journal")
	}
}

// Guards against messages that have no end since the module has lost track of them.
func TestMessageUnknownToModuleEnds(t *testing.T) {
	s := newTestSender(t, t.TempDir(), "", testSettings())
	s.listEndpointAs(policy.Draining, listen(t).Addr().String())
	verdict := s.submit("lost", 1, 300*time.Millisecond)
	s.runStep()
	if !(<-verdict).Accepted {
		t.Fatal("the message is refused")
	}
	s.module.Step(s.now, []policy.Event{{Kind: policy.EvWithdrawn, ID: s.held("lost").Num}}, nil)
	s.await("the message has no notice", func() bool { return len(s.notices) > 0 })
	if late := s.now - float64(s.pendingNotices[(<-s.notices).Num].Deadline); late > 300 {
		t.Errorf("the notice comes %.0f ms after the deadline, want 300 at most", late)
	}
}

// Guards against messages that the module orders to be sent while a stopping sender begins no calls, and that never end.
func TestMessageDueWhileNoCallBeginsEnds(t *testing.T) {
	for name, stop := range map[string]func(s *testSender){
		"handing over":     func(s *testSender) { s.handleInput(input{stop: &stopRequest{at: time.Now(), handOver: true}}) },
		"send window over": func(s *testSender) { s.stopRequestedAt = time.Now().Add(-stopSendWindow) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSender(t, t.TempDir(), "", testSettings())
			s.listEndpointAs(policy.Draining, listen(t).Addr().String())
			verdict := s.submit("due", 1, 300*time.Millisecond)
			s.runStep()
			if !(<-verdict).Accepted {
				t.Fatal("the message is refused")
			}
			stop(s)
			s.listEndpointAs(policy.Ready, s.endpoints[1].Addr) // from here on the module may send
			s.await("the message has no notice", func() bool { return len(s.notices) > 0 })
			if late := s.now - float64(s.pendingNotices[(<-s.notices).Num].Deadline); late > 0 {
				t.Errorf("the notice comes %.0f ms after the deadline", late)
			}
		})
	}
}

// Guards against two attempts at once: a successor repeats a message while the old process still has its call open.
func TestCallInProgressIsClosedAtExit(t *testing.T) {
	ln := listen(t)
	s := newTestSender(t, t.TempDir(), ln.Addr().String(), testSettings())
	s.submit("hangs", 1, 20*time.Second)
	s.runStep()
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := conn.Read(make([]byte, 1)); err != nil { // the call has begun
		t.Fatal(err)
	}
	s.shutDown()
	conn.SetReadDeadline(time.Now().Add(time.Second)) // sooner than the call times out
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("the connection of the call is still open: %v", err)
	}
	if e := s.reopenJournal()["hangs"]; e == nil || e.MayHaveRunAt == 0 {
		t.Errorf("%+v, want an entry that may have run", e)
	}
}
