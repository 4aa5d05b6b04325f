package sender

import (
	"testing"
	"time"

	"sliptide/internal/journal"
	"sliptide/internal/statedir"
	"sliptide/policy"
)

// nextLife is what the journal of a sender that has left holds.
func (b *bench) nextLife() map[string]*journal.Entry {
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

// A verdict is given, and the sender leaves, before who handed the message in looks: the verdict counts.
func TestAVerdictGivenBeforeTheEndCounts(t *testing.T) {
	b := newBench(t, t.TempDir(), "", benchSettings())
	close(b.done)
	for range 100 { // where both are ready, select picks by chance
		o := &order{verdict: make(chan Verdict, 1)}
		o.verdict <- Verdict{Accepted: true, Num: 7}
		if v := b.verdictOn(o); !v.Accepted {
			t.Fatal("a message that was taken on is answered as refused")
		}
	}
	if v := b.verdictOn(&order{verdict: make(chan Verdict, 1)}); v.Accepted || v.RetryAfter <= 0 {
		t.Errorf("a message that no step saw: %+v, want a refusal that says when to come again", v)
	}
}

// A client is found gone after the sender was told to stop and had nothing left to do: the withdrawal must not be
// lost, or the next life sends what its client was told nothing of and hands in again.
func TestWithdrawnAfterTheStop(t *testing.T) {
	b := newBench(t, t.TempDir(), listen(t).Addr().String(), benchSettings())
	verdict := b.hand("m", 0, 20*time.Second)
	b.next()
	num := (<-verdict).Num
	b.take(input{stop: true})
	for c := range b.calls {
		delete(b.calls, c) // its call has ended
	}
	if b.mayLeave(sendFor) {
		t.Fatal("the sender leaves while its clients are still being answered")
	}
	b.Withdraw(num)
	b.ClientsGone()
	b.await("the sender stays", func() bool { return b.mayLeave(sendFor) })
	b.leave()
	if b.nextLife()["m"] != nil {
		t.Error("the next life has a message that was withdrawn")
	}
}

// An outcome, the platform's yes to a notice and a withdrawal come in after the last step: all are in the journal.
func TestWhatComesAfterTheLastStepIsBooked(t *testing.T) {
	ln := listen(t)
	b := newBench(t, t.TempDir(), ln.Addr().String(), benchSettings())
	delivered := b.hand("delivered", 2, 20*time.Second)
	b.next()
	<-delivered
	m := b.msgs[b.traces["delivered"]]
	if m == nil || m.call == nil {
		t.Fatal("no call went out")
	}
	c := m.call
	b.list("") // nowhere to go for the others
	gone, told := b.hand("gone", 0, 20*time.Second), b.hand("told", 0, 20*time.Second)
	b.next()
	n, e := (<-gone).Num, b.msgs[(<-told).Num]
	b.drop(e.call)
	b.forget(e)
	b.owe(e.Entry, journal.EndingReturned, 0)
	b.next()
	b.post(input{call: c, events: []policy.Event{{Kind: policy.EvOutcome, ID: m.Num, Endpoint: 1, Outcome: policy.OK}}})
	b.AckNotices([]uint64{e.Num})
	b.Withdraw(n)
	b.leave()
	for name, e := range b.nextLife() {
		t.Errorf("the next life still has %s: %+v", name, e)
	}
}

// A call waits for its connection when the sender leaves: it will never run, so the next life may send the message,
// also of a class that forbids what may have run to be repeated.
func TestACallWithoutConnectionNeverRan(t *testing.T) {
	b := newBench(t, t.TempDir(), "", benchSettings())
	b.pool.PaceDials(3, 1)
	ln := listen(t)
	b.list(ln.Addr().String())
	b.hand("begun", 2, 20*time.Second)
	b.next()
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetReadDeadline(time.Now().Add(patient))
	if _, err := nc.Read(make([]byte, 1)); err != nil { // it has begun
		t.Fatal(err)
	}
	b.hand("waiting", 2, 20*time.Second)
	b.next()
	if len(b.calls) != 2 {
		t.Fatalf("%d calls, want one that has begun and one that waits", len(b.calls))
	}
	b.leave()
	next := b.nextLife()
	if e := next["begun"]; e == nil || e.MayHaveRunAt == 0 {
		t.Errorf("begun: %+v, want one that may have run", e)
	}
	if e := next["waiting"]; e == nil || e.MayHaveRunAt != 0 || e.Attempts != 1 {
		t.Errorf("waiting: %+v, want one that surely has not run, and an attempt that counts", e)
	}
}

// What waits to be handed in when the sender leaves is not taken on, and its client hears so.
func TestHandedInAtTheEnd(t *testing.T) {
	b := newBench(t, t.TempDir(), "", benchSettings())
	answer := make(chan Verdict)
	go func() {
		answer <- b.Submit(&Message{Trace: []byte("m"), Key: []byte("k"), Dest: 3, Remaining: time.Second}, time.Now())
	}()
	for len(b.in) == 0 {
		time.Sleep(time.Millisecond)
	}
	b.leave()
	close(b.done)
	if v := <-answer; v.Accepted || v.RetryAfter <= 0 {
		t.Errorf("%+v, want a refusal that says when to come again", v)
	}
	if b.nextLife()["m"] != nil {
		t.Error("it is in the journal")
	}
}
