package sender

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sliptide/internal/outbound"
)

// bulkPeer takes calls of several messages and answers each when told to, naming all as accepted.
type bulkPeer struct {
	*httptest.Server
	called chan []string
	answer chan struct{}
	closed chan struct{} // the sender has closed a call's connection
}

func newBulkPeer(t *testing.T) *bulkPeer {
	p := &bulkPeer{called: make(chan []string, 10), answer: make(chan struct{}), closed: make(chan struct{}, 10)}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var items []struct{ ID string }
		json.NewDecoder(q.Body).Decode(&items)
		var ids, ends []string
		for _, it := range items {
			ids = append(ids, it.ID)
			ends = append(ends, fmt.Sprintf(`{"id":%q,"state":"accepted"}`, it.ID))
		}
		p.called <- ids
		select {
		case <-p.answer:
			io.WriteString(w, "["+strings.Join(ends, ",")+"]")
		case <-q.Context().Done():
			p.closed <- struct{}{}
		}
	}))
	t.Cleanup(p.Server.Close)
	return p
}

// answerNow answers the call that is out, if it is still there to be answered.
func (p *bulkPeer) answerNow() {
	select {
	case p.answer <- struct{}{}:
	case <-p.closed:
	}
}

// leaderAndOther makes a call that a message with little time left leads, since its client has surely been answered.
func leaderAndOther(t *testing.T) (b *bench, p *bulkPeer, leader, other *message) {
	t.Helper()
	p = newBulkPeer(t)
	b = newBench(t, t.TempDir(), "", benchSettings())
	b.dests[3] = true
	b.hand("leader", 0, 1500*time.Millisecond)
	b.next() // nobody is listed yet
	leader = b.msgs[b.traces["leader"]]
	leader.takenAt -= 2 * heardIn
	b.hand("other", 2, 20*time.Second)
	other = b.msgs[b.traces["other"]]
	b.list(p.Listener.Addr().String())
	b.next()
	select {
	case ids := <-p.called:
		if len(ids) != 2 || ids[0] != "leader" {
			t.Fatalf("the call has %v", ids)
		}
	case <-time.After(patient):
		t.Fatal("no call")
	}
	return b, p, leader, other
}

func (b *bench) inDoubt(m *message) {
	b.t.Helper()
	if m.MayHaveRunAt == 0 {
		b.t.Errorf("%s is taken for delivered, or not in doubt: %+v", m.Trace, m.Entry)
	}
}

// The first message of a call ends, and only then comes the answer, which names the others as accepted.
func TestTheLeaderEndsBeforeTheAnswer(t *testing.T) {
	b, p, _, other := leaderAndOther(t)
	b.await("the leader does not end", func() bool { return len(b.notices) > 0 })
	p.answerNow()
	b.await("the call does not end", func() bool { return len(b.calls) == 0 })
	b.inDoubt(other)
}

// The answer is read first, but the leader's end is stepped before it is taken.
func TestTheAnswerIsReadBeforeTheLeaderEnds(t *testing.T) {
	b, p, leader, other := leaderAndOther(t)
	p.answer <- struct{}{}
	for end := time.Now().Add(patient); len(b.in) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no answer")
		}
	}
	leader.cutAt = 0 // its time is up, and the answer waits to be taken
	b.next()
	b.await("the call does not end", func() bool { return len(b.calls) == 0 })
	b.inDoubt(other)
}

// The client of the leader is found gone while the call is out.
func TestTheLeaderIsWithdrawn(t *testing.T) {
	b, p, leader, other := leaderAndOther(t)
	b.take(input{gone: leader.Num})
	p.answerNow()
	b.await("the call does not end", func() bool { return len(b.calls) == 0 })
	b.inDoubt(other)
}

// Any other message of a call ends without the rest.
func TestAnotherThanTheLeaderEnds(t *testing.T) {
	b, p, leader, other := leaderAndOther(t)
	other.cutAt = 0
	b.next()
	if other.call != nil || leader.call == nil || leader.call.Abandoned() {
		t.Fatal("the call is given up, or holds on to what has ended")
	}
	p.answer <- struct{}{}
	b.await("the call does not end", func() bool { return len(b.calls) == 0 })
	if !b.past.ids["leader"] {
		t.Error("the leader is not delivered")
	}
}

// A call is given up before it has a connection's write before it: nothing is written any more.
func TestGivenUpBeforeItsWrite(t *testing.T) {
	ln := listen(t)
	b := newBench(t, t.TempDir(), "", benchSettings())
	c := &outbound.Call{Endpoint: 1, Addr: ln.Addr().String(), Dest: 3, SentAt: time.Now(), Timeout: patient,
		Items: []outbound.Item{{ID: 7, Trace: "a"}, {ID: 8, Trace: "b"}}}
	c.MayStart = func() bool { c.Abandon(); return true }
	b.pool.Go(c)
	in := <-b.in
	for _, e := range in.events {
		if !e.Outcome.NeverRan() {
			t.Errorf("outcome %v of what was not written", e.Outcome)
		}
	}
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetReadDeadline(time.Now().Add(patient))
	if n, err := nc.Read(make([]byte, 1)); n > 0 || err == nil || isTimeout(err) {
		t.Errorf("%d bytes, %v, want a close with nothing written", n, err)
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
