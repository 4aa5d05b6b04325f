package outbound

import (
	"testing"
	"time"

	"sliptide/internal/sockets"
	"sliptide/internal/standin"
	"sliptide/policy"
)

// line is a Pool with one partner; its calls are made one after the other.
type line struct {
	*Pool
	t       *testing.T
	partner *standin.RawPartner
	ended   chan []policy.Event
	closed  chan CloseEvent
}

func newLine(t *testing.T) *line {
	l := &line{t: t, partner: standin.NewRawPartner(t), ended: make(chan []policy.Event, 10), closed: make(chan CloseEvent, 10)}
	l.Pool = NewPool(Options{MaxConns: 4, KeepAlive: time.Minute, DialTimeout: time.Second, X0: -1, X1: -1,
		OnDone: func(_ *Call, events []policy.Event) { l.ended <- events }, OnConnClosed: func(c CloseEvent) { l.closed <- c }})
	return l
}

// call sends a message for each id, and returns the request as the partner has read it.
func (l *line) call(ids ...string) *standin.RawCall {
	c := &Call{Endpoint: 1, Addr: l.partner.Addr, SentAt: time.Now(), Timeout: 5 * time.Second}
	for i, id := range ids {
		c.Items = append(c.Items, Item{ID: uint64(i), Trace: id})
	}
	l.Go(c)
	return <-l.partner.Calls
}

// answered sends one message and has it answered; it returns the connection's number.
func (l *line) answered(text string) int {
	c := l.call("m")
	c.Write(text)
	<-l.ended
	return c.Conn
}

// kept returns the idle connection, once the partner's bytes have arrived where any are awaited.
func (l *line) kept(want sockets.Condition) *conn {
	l.mu.Lock()
	k := l.idle[1][0]
	l.mu.Unlock()
	for sockets.Check(k.nc) != want {
		time.Sleep(time.Millisecond)
	}
	return k
}

func (l *line) wantClosed(reason CloseReason) {
	l.t.Helper()
	if c := <-l.closed; c.Reason != reason {
		l.t.Errorf("closed: %v, want %v", c.Reason, reason)
	}
}

// Guards against an endpoint that repeats answers late, when its copies look like the next call's answer.
func TestEndpointThatRepeatsAnAnswerGetsOneCallAConnection(t *testing.T) {
	l := newLine(t)
	c := l.call("first")
	c.Write(standin.OK)
	<-l.ended
	c.Write(standin.OK)
	l.kept(sockets.Unsolicited)
	for want := 2; want < 4; want++ {
		if n := l.answered(standin.OK); n != want {
			t.Errorf("on connection %d, want %d", n, want)
		}
	}
	l.wantClosed(CloseUnsolicited)
	l.wantClosed(CloseDistrusted)
}

// Guards against a copy that arrives after a kept connection was chosen, and before the request is written.
func TestCopyBeforeTheRequestMovesTheCallToANewConnection(t *testing.T) {
	l := newLine(t)
	first := l.call("first")
	first.Write(standin.OK)
	<-l.ended
	k := l.kept(sockets.Idle)
	if !l.unpark(k) {
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
func TestAnswerThatNamesOtherMessagesEndsItsConnection(t *testing.T) {
	l := newLine(t)
	c := l.call("a", "b")
	body := `[{"id":"x","state":"accepted"},{"id":"b","state":"accepted"}]`
	c.Write("HTTP/1.1 200 OK\r\nContent-Length: 61\r\n\r\n" + body)
	if got := <-l.ended; got[0].Outcome != policy.Error || got[1].Outcome != policy.OK {
		t.Errorf("%v and %v with an answer of %d bytes", got[0].Outcome, got[1].Outcome, len(body))
	}
	l.wantClosed(CloseMismatch)
}

// Guards against a copy of a refusal, which would send a message again while it is out.
func TestConnectionEndsAfterARefusal(t *testing.T) {
	l := newLine(t)
	l.answered(standin.Full)
	l.wantClosed(CloseOtherStatus)
}

// Guards against a repeat whose answer comes at once, as a copy would, and is not believed.
func TestRepeatInDoubtGoesOutOnANewConnection(t *testing.T) {
	l := newLine(t)
	l.answered(standin.OK)
	l.kept(sockets.Idle)
	l.Go(&Call{Endpoint: 1, Addr: l.partner.Addr, SentAt: time.Now(), Timeout: 5 * time.Second, NewConn: true, Items: []Item{{ID: 1, Attempt: 1, Trace: "again"}}})
	if c := <-l.partner.Calls; c.Conn != 2 {
		t.Errorf("on connection %d", c.Conn)
	}
}

// Guards against a usual answer time that one fast answer ends, or that a slow spell makes call true answers copies.
func TestEarlyFollowsTheFastAnswers(t *testing.T) {
	var m answerProfile
	for range 20 {
		m.learn(200 * time.Millisecond)
	}
	m.learn(time.Millisecond)
	if !m.early(20 * time.Millisecond) {
		t.Errorf("a usual answer takes %v after one fast answer", m.usual)
	}
	for range 10 {
		m.learn(600 * time.Millisecond)
	}
	if m.early(100 * time.Millisecond) {
		t.Errorf("a usual answer takes %v after ten slow ones", m.usual)
	}
}

// Guards against a connection that is kept before anything is known of its endpoint's pace: each copy would be believed.
func TestConnectionIsNotKeptBeforeItsEndpointsPaceIsKnown(t *testing.T) {
	l := newLine(t)
	l.Go(&Call{Endpoint: 1, Addr: l.partner.Addr, SentAt: time.Now(), Timeout: 5 * time.Second, Items: []Item{{ID: 1, Attempt: 1, Trace: "again"}}})
	(<-l.partner.Calls).Write(standin.OK) // at once, as to a message that it knows
	<-l.ended
	l.wantClosed(CloseResponseTimeUnknown)
}

// Guards against connections that carry one call each for noise that comes with an answer, and can end no later call.
func TestBytesBehindAnAnswerCostItsConnectionAlone(t *testing.T) {
	l := newLine(t)
	l.answered(standin.OK + "noise")
	l.wantClosed(CloseTrailingBytes)
	l.answered(standin.OK)
	l.kept(sockets.Idle)
	if n := l.answered(standin.OK); n != 2 {
		t.Errorf("on connection %d, want the kept one", n)
	}
}
