package outbound

import (
	"testing"
	"time"

	"sliptide/internal/sockets"
	"sliptide/internal/standin"
	"sliptide/policy"
)

// poolTest is a Pool with one partner, for tests that make one call after another.
type poolTest struct {
	*Pool
	t       *testing.T
	partner *standin.RawPartner
	ended   chan []policy.Event
	closed  chan CloseEvent
}

func newPoolTest(t *testing.T) *poolTest {
	pt := &poolTest{
		t: t, partner: standin.NewRawPartner(t), ended: make(chan []policy.Event, 10), closed: make(chan CloseEvent, 10),
	}
	pt.Pool = NewPool(Options{MaxConns: 4, KeepAlive: time.Minute, DialTimeout: time.Second, X0: -1, X1: -1,
		OnDone: func(_ *Call, events []policy.Event) { pt.ended <- events }, OnConnClosed: func(c CloseEvent) { pt.closed <- c }})
	return pt
}

// call makes one call with a message for each id, and returns the request as the partner has read it.
func (pt *poolTest) call(ids ...string) *standin.RawCall {
	c := &Call{Endpoint: 1, Addr: pt.partner.Addr, SentAt: time.Now(), Timeout: 5 * time.Second}
	for i, id := range ids {
		c.Items = append(c.Items, Item{ID: uint64(i), Trace: id})
	}
	pt.Go(c)
	return <-pt.partner.Calls
}

// callAndAnswer sends one message, writes the response, and returns the number of the connection that carried the call.
func (pt *poolTest) callAndAnswer(response string) int {
	c := pt.call("m")
	c.Write(response)
	<-pt.ended
	return c.Conn
}

// waitIdle waits until sockets.Check reports the condition for the idle connection, and returns the connection.
func (pt *poolTest) waitIdle(want sockets.Condition) *conn {
	pt.mu.Lock()
	cn := pt.idle[1][0]
	pt.mu.Unlock()
	for sockets.Check(cn.nc) != want {
		time.Sleep(time.Millisecond)
	}
	return cn
}

func (pt *poolTest) wantClosed(reason CloseReason) {
	pt.t.Helper()
	if c := <-pt.closed; c.Reason != reason {
		pt.t.Errorf("connection closed: %v, want: %v", c.Reason, reason)
	}
}

// Guards against an endpoint that sends a response twice, late: the copy would be taken for the response to the next
// call. The connection with the copy is closed, and each further connection to the endpoint carries a single call.
func TestUnsolicitedResponseLimitsConnectionsToOneCall(t *testing.T) {
	pt := newPoolTest(t)
	c := pt.call("first")
	c.Write(standin.AnswerOK)
	<-pt.ended
	c.Write(standin.AnswerOK)
	pt.waitIdle(sockets.Unsolicited)
	for want := 2; want < 4; want++ {
		if n := pt.callAndAnswer(standin.AnswerOK); n != want {
			t.Errorf("call on connection %d, want %d", n, want)
		}
	}
	pt.wantClosed(CloseUnsolicited)
	pt.wantClosed(CloseDistrusted)
}

// Guards against a copy of a response that arrives after an idle connection was chosen for a call, and before the
// request is written. The call must move to a new connection.
func TestUnsolicitedResponseBeforeRequestMovesCallToNewConnection(t *testing.T) {
	pt := newPoolTest(t)
	first := pt.call("first")
	first.Write(standin.AnswerOK)
	<-pt.ended
	cn := pt.waitIdle(sockets.Idle)
	if !pt.removeIdle(cn) { // stands for the choice of the connection for a call
		t.Fatal("the connection is not among the idle ones")
	}
	first.Write(standin.AnswerOK)
	for sockets.Check(cn.nc) != sockets.Unsolicited {
		time.Sleep(time.Millisecond)
	}
	cn.calls <- &Call{
		Endpoint: 1, Addr: pt.partner.Addr, SentAt: time.Now(), Timeout: 5 * time.Second, Items: []Item{{ID: 1, Trace: "second"}},
	}
	if c := <-pt.partner.Calls; c.ID != "second" || c.Conn != 2 {
		t.Errorf("call %q on connection %d, want \"second\" on 2", c.ID, c.Conn)
	}
	pt.wantClosed(CloseUnsolicited)
}

// Guards against a response to a bulk call that belongs to another call: a message that it does not name may have run,
// and the connection is closed.
func TestBulkResponseForOtherMessagesClosesConnection(t *testing.T) {
	pt := newPoolTest(t)
	c := pt.call("a", "b")
	body := `[{"id":"x","state":"accepted"},{"id":"b","state":"accepted"}]`
	c.Write("HTTP/1.1 200 OK\r\nContent-Length: 61\r\n\r\n" + body)
	if got := <-pt.ended; got[0].Outcome != policy.Error || got[1].Outcome != policy.OK {
		t.Errorf("outcomes %v and %v, want Error and OK, after a response of %d bytes", got[0].Outcome, got[1].Outcome, len(body))
	}
	pt.wantClosed(CloseMismatch)
}

// Guards against a copy of a refusal, taken for the response to the next call: its message would be sent again while
// the call still runs.
func TestConnectionIsClosedAfterNon200Response(t *testing.T) {
	pt := newPoolTest(t)
	pt.callAndAnswer(standin.AnswerUnavailable)
	pt.wantClosed(CloseOtherStatus)
}

// Guards against a retry whose response comes at once and is taken for a copy of an earlier response: with NewConn, the
// call opens a connection although another is idle.
func TestNewConnBypassesIdleConnections(t *testing.T) {
	pt := newPoolTest(t)
	pt.callAndAnswer(standin.AnswerOK)
	pt.waitIdle(sockets.Idle)
	pt.Go(&Call{
		Endpoint: 1, Addr: pt.partner.Addr, SentAt: time.Now(), Timeout: 5 * time.Second, NewConn: true,
		Items: []Item{{ID: 1, Attempt: 1, Trace: "again"}},
	})
	if c := <-pt.partner.Calls; c.Conn != 2 {
		t.Errorf("call on connection %d, want 2", c.Conn)
	}
}

// Guards against a typical response time that collapses after one fast response, or that rises so far in a slow period
// that later responses are taken for copies.
func TestTypicalTimeFollowsFastResponses(t *testing.T) {
	var profile responseProfile
	for range 20 {
		profile.learn(200 * time.Millisecond)
	}
	profile.learn(time.Millisecond)
	if !profile.isEarly(20 * time.Millisecond) {
		t.Errorf("20 ms is not early: typical response time %v after one fast response", profile.typicalTime)
	}
	for range 10 {
		profile.learn(600 * time.Millisecond)
	}
	if profile.isEarly(100 * time.Millisecond) {
		t.Errorf("100 ms is early: typical response time %v after ten slow responses", profile.typicalTime)
	}
}

// Guards against a connection that is reused before the typical response time of its endpoint is known: a copy of an
// earlier response could not be detected.
func TestConnectionIsClosedWhileResponseTimeIsUnknown(t *testing.T) {
	pt := newPoolTest(t)
	pt.Go(&Call{
		Endpoint: 1, Addr: pt.partner.Addr, SentAt: time.Now(), Timeout: 5 * time.Second,
		Items: []Item{{ID: 1, Attempt: 1, Trace: "again"}},
	})
	(<-pt.partner.Calls).Write(standin.AnswerOK) // at once, as to a message that the partner already knows
	<-pt.ended
	pt.wantClosed(CloseResponseTimeUnknown)
}

// Guards against distrust of an endpoint for extra bytes that arrive with a response, and so cannot end a later call:
// only their connection is closed.
func TestTrailingBytesCloseOnlyTheirConnection(t *testing.T) {
	pt := newPoolTest(t)
	pt.callAndAnswer(standin.AnswerOK + "noise")
	pt.wantClosed(CloseTrailingBytes)
	pt.callAndAnswer(standin.AnswerOK)
	pt.waitIdle(sockets.Idle)
	if n := pt.callAndAnswer(standin.AnswerOK); n != 2 {
		t.Errorf("call on connection %d, want 2, the idle one", n)
	}
}
