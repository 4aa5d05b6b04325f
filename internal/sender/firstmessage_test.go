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

// bulkPartner receives bulk calls and answers each on demand, with all messages accepted.
type bulkPartner struct {
	*httptest.Server
	calls  chan []string
	answer chan struct{}
	closed chan struct{} // the sender closed the connection of a call
}

// newBulkPartner starts a bulkPartner that is closed with the test.
func newBulkPartner(t *testing.T) *bulkPartner {
	p := &bulkPartner{calls: make(chan []string, 10), answer: make(chan struct{}), closed: make(chan struct{}, 10)}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var items []struct{ ID string }
		json.NewDecoder(r.Body).Decode(&items)
		var ids, ends []string
		for _, it := range items {
			ids = append(ids, it.ID)
			ends = append(ends, fmt.Sprintf(`{"id":%q,"state":"accepted"}`, it.ID))
		}
		p.calls <- ids
		select {
		case <-p.answer:
			io.WriteString(w, "["+strings.Join(ends, ",")+"]")
		case <-r.Context().Done():
			p.closed <- struct{}{}
		}
	}))
	t.Cleanup(p.Server.Close)
	return p
}

// answerNow answers the call in progress, unless its connection was closed.
func (p *bulkPartner) answerNow() {
	select {
	case p.answer <- struct{}{}:
	case <-p.closed:
	}
}

// startBulkCall starts a call of two messages. The first has little time left; it is first because its client has
// surely been answered, while the other was accepted in the same step.
func startBulkCall(t *testing.T) (s *testSender, p *bulkPartner, first, other *message) {
	t.Helper()
	p = newBulkPartner(t)
	s = newTestSender(t, t.TempDir(), "", testSettings())
	s.listedDests[3] = true
	s.submit("leader", 0, 1500*time.Millisecond)
	s.runStep() // no endpoint is listed yet
	first = s.held("leader")
	first.acceptedAt -= 2 * disconnectDetectionMS
	s.submit("other", 2, 20*time.Second)
	other = s.held("other")
	s.listEndpoint(p.Listener.Addr().String())
	s.runStep()
	select {
	case ids := <-p.calls:
		if len(ids) != 2 || ids[0] != "leader" {
			t.Fatalf("the call has messages %v, want the first message and another", ids)
		}
	case <-time.After(testTimeout):
		t.Fatal("no call received")
	}
	return s, p, first, other
}

// wantMayHaveRun checks that m is recorded as possibly delivered.
func (s *testSender) wantMayHaveRun(m *message) {
	s.t.Helper()
	if m.MayHaveRunAt == 0 {
		s.t.Errorf("%s is not recorded as possibly delivered: %+v", m.Trace, m.Entry)
	}
}

// The first message of a call ends before the answer, which names the others as accepted. A partner that identifies a
// call by its first message may have discarded the call: the others must not count as delivered.
func TestFirstMessageEndsBeforeAnswer(t *testing.T) {
	s, p, _, other := startBulkCall(t)
	s.await("the first message does not end", func() bool { return len(s.notices) > 0 })
	p.answerNow()
	s.await("the call does not end", func() bool { return len(s.calls) == 0 })
	s.wantMayHaveRun(other)
}

// The answer is read first, but a step ends the first message before the answer is handled. The others must not count
// as delivered either.
func TestAnswerIsReadBeforeFirstMessageEnds(t *testing.T) {
	s, p, first, other := startBulkCall(t)
	p.answer <- struct{}{}
	for end := time.Now().Add(testTimeout); len(s.inputs) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no answer received")
		}
	}
	first.attemptDeadline = 0 // it times out while the answer is queued
	s.runStep()
	s.await("the call does not end", func() bool { return len(s.calls) == 0 })
	s.wantMayHaveRun(other)
}

// The client of the first message is found to be gone during the call. The others must not count as delivered.
func TestFirstMessageIsWithdrawn(t *testing.T) {
	s, p, first, other := startBulkCall(t)
	s.handleInput(input{withdrawn: first.Num})
	p.answerNow()
	s.await("the call does not end", func() bool { return len(s.calls) == 0 })
	s.wantMayHaveRun(other)
}

// The end of any other message than the first must not end the call: the first is still delivered.
func TestOtherThanFirstMessageEnds(t *testing.T) {
	s, p, first, other := startBulkCall(t)
	other.attemptDeadline = 0
	s.runStep()
	if other.call != nil || first.call == nil || first.call.Abandoned() {
		t.Fatal("the call is abandoned, or still has the message that ended")
	}
	p.answer <- struct{}{}
	s.await("the call does not end", func() bool { return len(s.calls) == 0 })
	if !s.delivered("leader") {
		t.Error("the first message is not delivered")
	}
}

// A call that is abandoned right before it is written must not be written.
func TestCallAbandonedBeforeWrite(t *testing.T) {
	ln := listen(t)
	s := newTestSender(t, t.TempDir(), "", testSettings())
	c := &outbound.Call{Endpoint: 1, Addr: ln.Addr().String(), Dest: 3, SentAt: time.Now(), Timeout: testTimeout,
		Items: []outbound.Item{{ID: 7, Trace: "a"}, {ID: 8, Trace: "b"}}}
	c.MayStart = func() bool { c.Abandon(); return true }
	s.pool.Go(c)
	in := <-s.inputs
	for _, e := range in.events {
		if !e.Outcome.NeverRan() {
			t.Errorf("outcome %v of a call that was not written", e.Outcome)
		}
	}
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := nc.Read(make([]byte, 1)); n > 0 || err == nil || isTimeout(err) {
		t.Errorf("read %d bytes, %v, want a close with nothing written", n, err)
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
