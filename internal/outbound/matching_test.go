package outbound

import (
	"testing"
	"time"

	"sliptide/internal/sockets"
	"sliptide/internal/standin"
	"sliptide/policy"
)

// line is a Pool with one partner; its calls are made one after the other.
type poolTest struct {
	*Pool
	t       *testing.T
	partner *standin.RawPartner
	ended   chan []policy.Event
	closed  chan CloseEvent
}

func newPoolTest(t *testing.T) *poolTest {
	l := &poolTest{t: t, partner: standin.NewRawPartner(t), ended: make(chan []policy.Event, 10), closed: make(chan CloseEvent, 10)}
	l.Pool = NewPool(Options{MaxConns: 4, KeepAlive: time.Minute, DialTimeout: time.Second, X0: -1, X1: -1,
		OnDone: func(_ *Call, events []policy.Event) { l.ended <- events }, OnConnClosed: func(c CloseEvent) { l.closed <- c }})
	return l
}

// call sends a message for each id, and returns the request as the partner has read it.
func (l *poolTest) call(ids ...string) *standin.RawCall {
	c := &Call{Endpoint: 1, Addr: l.partner.Addr, SentAt: time.Now(), Timeout: 5 * time.Second}
	for i, id := range ids {
		c.Items = append(c.Items, Item{ID: uint64(i), Trace: id})
	}
	l.Go(c)
	return <-l.partner.Calls
}

// answered sends one message and has it answered; it returns the connection's number.
func (l *poolTest) callAndAnswer(response string) int {
	c := l.call("m")
	c.Write(response)
	<-l.ended
	return c.Conn
}

// kept returns the idle connection, once the partner's bytes have arrived where any are awaited.
func (l *poolTest) waitIdle(want sockets.Condition) *conn {
	l.mu.Lock()
	k := l.idle[1][0]
	l.mu.Unlock()
	for sockets.Check(k.nc) != want {
		time.Sleep(time.Millisecond)
	}
	return k
}

func (l *poolTest) wantClosed(reason CloseReason) {
	l.t.Helper()
	if c := <-l.closed; c.Reason != reason {
		l.t.Errorf("closed: %v, want %v", c.Reason, reason)
	}
}

// Guards against an endpoint that repeats answers late, when its copies look like the next call's answer.
func TestUnsolicitedResponseLimitsConnectionsToOneCall(t *testing.T) {
	l := newPoolTest(t)
	c := l.call("first")
	c.Write(standin.OK)
	<-l.ended
	c.Write(standin.OK)
	l.waitIdle(sockets.Unsolicited)
	for want := 2; want < 4; want++ {
		if n := l.callAndAnswer(standin.OK); n != want {
			t.Errorf("on connection %d, want %d", n, want)
		}
	}
	l.wantClosed(CloseUnsolicited)
	l.wantClosed(CloseDistrusted)
}

// Guards against a copy that arrives after a kept connection was chosen, and before the request is written.
func TestUnsolicitedResponseBeforeRequestMovesCallToNewConnection(t *testing.T) {
	l := newPoolTest(t)
	first := l.call("first")
	first.Write(standin.OK)
	<-l.ended
	k := l.waitIdle(sockets.Idle)
	if !l.removeIdle(k) {
		t.Fatal("the connection is not idle")
	}
	first.Write(standin.OK)
	for sockets.Check(k.nc) != sockets.Unsolicited {
		time.Sleep(time.Millisecond)
	}
	k.calls <- &Call{Endpoint: 1, Addr: l.partner.Addr, SentAt: time.Now(), Timeout: 5 * time.Second, Items: []Item{{ID: 1, Trace: "second"}}}
	if c := <-l.partner.Calls; c.ID != "second" || c.Conn != 2 {
		t.Errorf("call for %q on connection %d", c.ID, c.Conn)
	}
	l.wantClosed(CloseUnsolicited)
}

// Guards against an answer to several messages that is another call's: each may have run, and the connection ends.
func TestBulkResponseForOtherMessagesClosesConnection(t *testing.T) {
	l := newPoolTest(t)
	c := l.call("a", "b")
	body := `[{"id":"x","state":"accepted"},{"id":"b","state":"accepted"}]`
	c.Write("HTTP/1.1 200 OK\r\nContent-Length: 61\r\n\r\n" + body)
	if got := <-l.ended; got[0].Outcome != policy.Error || got[1].Outcome != policy.OK {
		t.Errorf("%v and %v with an answer of %d bytes", got[0].Outcome, got[1].Outcome, len(body))
	}
	l.wantClosed(CloseMismatch)
}

// Guards against a copy of a refusal, which would send a message again while it is out.
func TestConnectionIsClosedAfterNon200Response(t *testing.T) {
	l := newPoolTest(t)
	l.callAndAnswer(standin.Full)
	l.wantClosed(CloseOtherStatus)
}

// Guards against a repeat whose answer comes at once, as a copy would, and is not believed.
func TestNewConnBypassesIdleConnections(t *testing.T) {
	l := newPoolTest(t)
	l.callAndAnswer(standin.OK)
	l.waitIdle(sockets.Idle)
	l.Go(&Call{Endpoint: 1, Addr: l.partner.Addr, SentAt: time.Now(), Timeout: 5 * time.Second, NewConn: true, Items: []Item{{ID: 1, Attempt: 1, Trace: "again"}}})
	if c := <-l.partner.Calls; c.Conn != 2 {
		t.Errorf("on connection %d", c.Conn)
	}
}

// Guards against a usual answer time that one fast answer ends, or that a slow spell makes call true answers copies.
func TestTypicalTimeFollowsFastResponses(t *testing.T) {
	var profile responseProfile
	for range 20 {
		profile.learn(200 * time.Millisecond)
	}
	profile.learn(time.Millisecond)
	if !profile.isEarly(20 * time.Millisecond) {
		t.Errorf("a usual answer takes %v after one fast answer", profile.typicalTime)
	}
	for range 10 {
		profile.learn(600 * time.Millisecond)
	}
	if profile.isEarly(100 * time.Millisecond) {
		t.Errorf("a usual answer takes %v after ten slow ones", profile.typicalTime)
	}
}

// Guards against a connection that is kept before anything is known of its endpoint's pace: each copy would be believed.
func TestConnectionIsClosedWhileResponseTimeIsUnknown(t *testing.T) {
	l := newPoolTest(t)
	l.Go(&Call{Endpoint: 1, Addr: l.partner.Addr, SentAt: time.Now(), Timeout: 5 * time.Second, Items: []Item{{ID: 1, Attempt: 1, Trace: "again"}}})
	(<-l.partner.Calls).Write(standin.OK) // at once, as to a message that it knows
	<-l.ended
	l.wantClosed(CloseResponseTimeUnknown)
}

// Guards against connections that carry one call each for noise that comes with an answer, and can end no later call.
func TestTrailingBytesCloseOnlyTheirConnection(t *testing.T) {
	l := newPoolTest(t)
	l.callAndAnswer(standin.OK + "noise")
	l.wantClosed(CloseTrailingBytes)
	l.callAndAnswer(standin.OK)
	l.waitIdle(sockets.Idle)
	if n := l.callAndAnswer(standin.OK); n != 2 {
		t.Errorf("on connection %d, want the kept one", n)
	}
}
