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
type bulkPartner struct {
	*httptest.Server
	called chan []string
	answer chan struct{}
	closed chan struct{} // the sender has closed a call's connection
}

func newBulkPartner(t *testing.T) *bulkPartner {
	p := &bulkPartner{called: make(chan []string, 10), answer: make(chan struct{}), closed: make(chan struct{}, 10)}
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
func (p *bulkPartner) answerNow() {
	select {
	case p.answer <- struct{}{}:
	case <-p.closed:
	}
}

// leaderAndOther makes a call that a message with little time left leads, since its client has surely been answered.
func startBulkCall(t *testing.T) (b *testSender, p *bulkPartner, first, other *message) {
	t.Helper()
	p = newBulkPartner(t)
	b = newTestSender(t, t.TempDir(), "", testSettings())
	b.listedDests[3] = true
	b.submit("leader", 0, 1500*time.Millisecond)
	b.nextStep() // nobody is listed yet
	first = b.messages[b.numByTrace["leader"]]
	first.acceptedAt -= 2 * disconnectDetectionMS
	b.submit("other", 2, 20*time.Second)
	other = b.messages[b.numByTrace["other"]]
	b.listEndpoint(p.Listener.Addr().String())
	b.nextStep()
	select {
	case ids := <-p.called:
		if len(ids) != 2 || ids[0] != "leader" {
			t.Fatalf("the call has %v", ids)
		}
	case <-time.After(testTimeout):
		t.Fatal("no call")
	}
	return b, p, first, other
}

func (b *testSender) expectMayHaveRun(m *message) {
	b.t.Helper()
	if m.MayHaveRunAt == 0 {
		b.t.Errorf("%s is taken for delivered, or not in doubt: %+v", m.Trace, m.Entry)
	}
}

// The first message of a call ends, and only then comes the answer, which names the others as accepted.
func TestFirstMessageEndsBeforeAnswer(t *testing.T) {
	b, p, _, other := startBulkCall(t)
	b.await("the leader does not end", func() bool { return len(b.notices) > 0 })
	p.answerNow()
	b.await("the call does not end", func() bool { return len(b.calls) == 0 })
	b.expectMayHaveRun(other)
}

// The answer is read first, but the leader's end is stepped before it is taken.
func TestAnswerIsReadBeforeFirstMessageEnds(t *testing.T) {
	b, p, first, other := startBulkCall(t)
	p.answer <- struct{}{}
	for end := time.Now().Add(testTimeout); len(b.inputs) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no answer")
		}
	}
	first.attemptDeadline = 0 // its time is up, and the answer waits to be taken
	b.nextStep()
	b.await("the call does not end", func() bool { return len(b.calls) == 0 })
	b.expectMayHaveRun(other)
}

// The client of the leader is found gone while the call is out.
func TestFirstMessageIsWithdrawn(t *testing.T) {
	b, p, first, other := startBulkCall(t)
	b.handleInput(input{withdrawn: first.Num})
	p.answerNow()
	b.await("the call does not end", func() bool { return len(b.calls) == 0 })
	b.expectMayHaveRun(other)
}

// Any other message of a call ends without the rest.
func TestOtherThanFirstMessageEnds(t *testing.T) {
	b, p, first, other := startBulkCall(t)
	other.attemptDeadline = 0
	b.nextStep()
	if other.call != nil || first.call == nil || first.call.Abandoned() {
		t.Fatal("the call is given up, or holds on to what has ended")
	}
	p.answer <- struct{}{}
	b.await("the call does not end", func() bool { return len(b.calls) == 0 })
	if !b.ended.ids["leader"] {
		t.Error("the leader is not delivered")
	}
}

// A call is given up before it has a connection's write before it: nothing is written any more.
func TestCallAbandonedBeforeWrite(t *testing.T) {
	ln := listen(t)
	b := newTestSender(t, t.TempDir(), "", testSettings())
	c := &outbound.Call{Endpoint: 1, Addr: ln.Addr().String(), Dest: 3, SentAt: time.Now(), Timeout: testTimeout,
		Items: []outbound.Item{{ID: 7, Trace: "a"}, {ID: 8, Trace: "b"}}}
	c.MayStart = func() bool { c.Abandon(); return true }
	b.pool.Go(c)
	in := <-b.inputs
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
	nc.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := nc.Read(make([]byte, 1)); n > 0 || err == nil || isTimeout(err) {
		t.Errorf("%d bytes, %v, want a close with nothing written", n, err)
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
