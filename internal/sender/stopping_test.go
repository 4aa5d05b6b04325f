package sender

import (
	"testing"
	"time"

	"sliptide/internal/journal"
	"sliptide/internal/statedir"
	"sliptide/policy"
)

// reopenJournal returns the entries in the journal of a sender that has exited.
func (b *testSender) reopenJournal() map[string]*journal.Entry {
	b.t.Helper()
	j, restored, err := journal.Open(b.dir, statedir.NewSpace(1<<20).Account())
	if err != nil {
		b.t.Fatal(err)
	}
	defer j.Close()
	held := map[string]*journal.Entry{}
	for _, e := range restored {
		held[e.Trace] = e
	}
	return held
}

// A verdict that was given before the sender exited counts, even if the submitter reads it later.
func TestVerdictGivenBeforeExitIsReturned(t *testing.T) {
	b := newTestSender(t, t.TempDir(), "", testSettings())
	close(b.done)
	for range 100 { // select chooses at random if both channels are ready
		sub := &submission{verdict: make(chan Verdict, 1)}
		sub.verdict <- Verdict{Accepted: true, Num: 7}
		if v := b.awaitVerdict(sub); !v.Accepted {
			t.Fatal("an accepted message is answered as refused")
		}
	}
	if v := b.awaitVerdict(&submission{verdict: make(chan Verdict, 1)}); v.Accepted || v.RetryAfter <= 0 {
		t.Errorf("a message that no step handled: %+v, want a refusal with a Retry-After", v)
	}
}

// A client is found to be gone after the stop request, when the sender has nothing left to do. The withdrawal must not be
// lost: the next process would send a message that its client, without an answer, submits again.
func TestWithdrawalAfterStop(t *testing.T) {
	b := newTestSender(t, t.TempDir(), listen(t).Addr().String(), testSettings())
	verdict := b.submit("m", 0, 20*time.Second)
	b.runStep()
	num := (<-verdict).Num
	b.handleInput(input{stop: true})
	for c := range b.calls {
		delete(b.calls, c) // as if the call had ended
	}
	if b.mayExit(stopSendWindow) {
		t.Fatal("the sender exits while its clients are still being answered")
	}
	b.Withdraw(num)
	b.ClientsGone()
	b.await("the sender does not exit", func() bool { return b.mayExit(stopSendWindow) })
	b.shutDown()
	if b.reopenJournal()["m"] != nil {
		t.Error("the journal has a message that was withdrawn")
	}
}

// An outcome, the acceptance of a notice and a withdrawal that arrive after the last step must all reach the journal.
func TestInputsAfterLastStepAreJournalled(t *testing.T) {
	ln := listen(t)
	b := newTestSender(t, t.TempDir(), ln.Addr().String(), testSettings())
	delivered := b.submit("delivered", 2, 20*time.Second)
	b.runStep()
	<-delivered
	m := b.messages[b.numByTrace["delivered"]]
	if m == nil || m.call == nil {
		t.Fatal("no call in progress")
	}
	c := m.call
	b.listEndpoint("") // no address: the other messages are not sent
	withdrawn, notified := b.submit("gone", 0, 20*time.Second), b.submit("told", 0, 20*time.Second)
	b.runStep()
	n, e := (<-withdrawn).Num, b.messages[(<-notified).Num]
	b.dropUnsent(e.call)
	b.forget(e)
	b.endWithNotice(e.Entry, journal.EndingReturned, 0)
	b.runStep()
	b.post(input{call: c, events: []policy.Event{{Kind: policy.EvOutcome, ID: m.Num, Endpoint: 1, Outcome: policy.OK}}})
	b.AckNotices([]uint64{e.Num})
	b.Withdraw(n)
	b.shutDown()
	for name, e := range b.reopenJournal() {
		t.Errorf("the journal still has %s: %+v", name, e)
	}
}

// A call that waits for its connection when the sender exits never runs, so the next process may send its message, also
// of a class that forbids repeats.
func TestCallWithoutConnectionNeverRan(t *testing.T) {
	b := newTestSender(t, t.TempDir(), "", testSettings())
	b.pool.PaceDials(3, 1)
	ln := listen(t)
	b.listEndpoint(ln.Addr().String())
	b.submit("begun", 2, 20*time.Second)
	b.runStep()
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := nc.Read(make([]byte, 1)); err != nil { // the call has begun
		t.Fatal(err)
	}
	b.submit("waiting", 2, 20*time.Second)
	b.runStep()
	if len(b.calls) != 2 {
		t.Fatalf("%d calls, want one that has begun and one that waits for a connection", len(b.calls))
	}
	b.shutDown()
	next := b.reopenJournal()
	if e := next["begun"]; e == nil || e.MayHaveRunAt == 0 {
		t.Errorf("begun: %+v, want an entry that may have run", e)
	}
	if e := next["waiting"]; e == nil || e.MayHaveRunAt != 0 || e.Attempts != 1 {
		t.Errorf("waiting: %+v, want an entry that has surely not run, with one attempt", e)
	}
}

// A submission that is still queued when the sender exits is refused.
func TestSubmissionDuringExitIsRefused(t *testing.T) {
	b := newTestSender(t, t.TempDir(), "", testSettings())
	answer := make(chan Verdict)
	go func() {
		answer <- b.Submit(&Message{Trace: []byte("m"), Key: []byte("k"), Dest: 3, Remaining: time.Second}, time.Now())
	}()
	for len(b.inputs) == 0 {
		time.Sleep(time.Millisecond)
	}
	b.shutDown()
	close(b.done)
	if v := <-answer; v.Accepted || v.RetryAfter <= 0 {
		t.Errorf("%+v, want a refusal with a Retry-After", v)
	}
	if b.reopenJournal()["m"] != nil {
		t.Error("the refused message is in the journal")
	}
}
