package outbound

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"testing"
	"time"

	"sliptide/policy"
)

// startPeer starts an endpoint that gives each call the next response. conns receives the number of the connection,
// from 1, for each call.
func startPeer(t *testing.T, responses ...string) (addr string, conns <-chan int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	connNumbers := make(chan int, len(responses))
	go func() {
		for n := 1; ; n++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			for r := bufio.NewReader(nc); len(responses) > 0; {
				if _, err := http.ReadRequest(r); err != nil {
					break
				}
				fmt.Fprint(nc, responses[0])
				responses = responses[1:]
				connNumbers <- n
			}
			nc.Close()
		}
	}()
	return ln.Addr().String(), connNumbers
}

// Guards against events that lose the load report, the requested wait or the identity of the attempt, and against a
// call on a connection whose idle time is over.
func TestProbesLoadReportsAndIdleTimeout(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT x1=25, y=9, x0=0.4\r\nContent-Length: 0\r\n\r\n"
	addr, conns := startPeer(t, ok, ok, "HTTP/1.1 503 No\r\nRetry-After: 1.25\r\nContent-Length: 0\r\n\r\n")
	ended := make(chan []policy.Event, 1)
	p := NewPool(Options{MaxConns: 4, KeepAlive: 200 * time.Millisecond, DialTimeout: time.Second, X0: 0, X1: 1,
		OnDone: func(_ *Call, events []policy.Event) { ended <- events }})
	for i, want := range []policy.Event{
		{Kind: policy.EvProbe, Endpoint: 7, Outcome: policy.OK, Report: []float64{0.4, 25}},
		{Kind: policy.EvOutcome, Endpoint: 7, ID: 3, Attempt: 2, Outcome: policy.OK, Report: []float64{0.4, 25}},
		{Kind: policy.EvOutcome, Endpoint: 7, ID: 3, Attempt: 2, Outcome: policy.Full, RequestedWait: 1250},
	} {
		c := &Call{Endpoint: 7, Addr: addr, SentAt: time.Now(), Timeout: time.Second}
		if i > 0 {
			c.Items = []Item{{ID: 3, Attempt: 2, Trace: "t"}}
		}
		if i == 2 { // wait until the pool closes the idle connection, before its keep-alive time ends
			for p.openCount() > 0 {
			}
		}
		p.Go(c)
		got := (<-ended)[0]
		got.Latency = 0
		if n := <-conns; !reflect.DeepEqual(got, want) || n != []int{1, 1, 2}[i] {
			t.Errorf("call %d on connection %d: %+v, want %+v", i, n, got, want)
		}
	}
}

// Guards against a malformed response that holds its call until the time-out, or whose rest is read as the response to
// a later call. The call ends at once, as Error; a 200 to a single message counts whatever follows. A load report with
// an invalid value and the requested wait of a truncated response are ignored.
func TestMalformedResponses(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for name, row := range map[string]struct {
		response string
		outcome  policy.Outcome
		nextConn int // number of the connection of the next call
	}{
		"noise":                              {"\x00\x07\xffnoise", policy.Error, 2},
		"head without an end":                {"HTTP/1.1 500 No\r\nX: y", policy.Error, 2},
		"200 without an end":                 {"HTTP/1.1 200 OK\r\nX: y", policy.OK, 2},
		"body of 3 GB":                       {"HTTP/1.1 503 No\r\nContent-Length: 3000000000\r\n\r\nx", policy.Error, 2},
		"body shorter than announced":        {"HTTP/1.1 429 No\r\nRetry-After: 9\r\nContent-Length: 50\r\n\r\nx", policy.Error, 2},
		"interim responses":                  {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + ok, policy.OK, 1},
		"unrequested protocol switch":        {"HTTP/1.1 101 Switching Protocols\r\n\r\n", policy.Error, 2},
		"response twice":                     {ok + ok, policy.OK, 2},
		"noise after a response":             {ok + "noise", policy.OK, 2},
		"load report with a malformed value": {"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT x0=0.1, x1=zz\r\nContent-Length: 0\r\n\r\n", policy.OK, 1},
		"load report with a negative value":  {"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT x0=-1, x1=25\r\nContent-Length: 0\r\n\r\n", policy.OK, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, conns := startPeer(t, row.response, ok)
			ended := make(chan []policy.Event, 1)
			p := NewPool(Options{MaxConns: 4, KeepAlive: time.Minute, DialTimeout: time.Second, X0: 0, X1: 1,
				OnDone: func(_ *Call, events []policy.Event) { ended <- events }})
			for i, want := range []policy.Outcome{row.outcome, policy.OK} {
				p.Go(&Call{
					Endpoint: 1, Addr: addr, SentAt: time.Now(), Timeout: 5 * time.Second, Items: []Item{{ID: 1, Trace: "t"}},
				})
				if e := (<-ended)[0]; e.Outcome != want || e.Report != nil || e.RequestedWait != 0 || e.Latency > 2000 {
					t.Errorf("call %d: %+v, want outcome %d at once, without load report and requested wait", i, e, want)
				}
				if n := <-conns; n != []int{1, row.nextConn}[i] {
					t.Errorf("call %d on connection %d, want 1 for call 0 and the row's nextConn for call 1", i, n)
				}
			}
		})
	}
}

// TestDrop checks that a call that is dropped before it starts is not made, that its connection serves the next call,
// and that a call that has ended cannot be dropped.
func TestDrop(t *testing.T) {
	addr, conns := startPeer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	ended := make(chan *Call, 2)
	p := NewPool(Options{MaxConns: 4, KeepAlive: time.Minute, DialTimeout: time.Second, X0: -1, X1: -1,
		OnDone: func(c *Call, _ []policy.Event) { ended <- c }})
	dropped := &Call{Endpoint: 1, Addr: addr, SentAt: time.Now(), Timeout: time.Second}
	if !dropped.Drop() {
		t.Error("Drop of a waiting call failed")
	}
	p.Go(dropped)
	for p.idleCount(1) == 0 { // its connection becomes idle and can be used
	}
	sent := &Call{Endpoint: 1, Addr: addr, SentAt: time.Now(), Timeout: 5 * time.Second}
	p.Go(sent)
	if c := <-ended; c != sent || sent.Drop() || <-conns != 1 {
		t.Error("the dropped call was reported, the other could be dropped after its end, or the idle connection was not reused")
	}
}

// Guards against an outcome that is reported before its connection is idle: a call that OnDone starts would open a
// second connection.
func TestConnectionIsIdleBeforeOutcomeIsReported(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	addr, conns := startPeer(t, ok, ok)
	var p *Pool
	remaining := 1
	p = NewPool(Options{MaxConns: 4, KeepAlive: time.Minute, DialTimeout: time.Second, X0: -1, X1: -1,
		OnDone: func(*Call, []policy.Event) {
			if remaining--; remaining == 0 {
				p.Go(&Call{Endpoint: 1, Addr: addr, SentAt: time.Now(), Timeout: time.Second})
			}
		}})
	p.Go(&Call{Endpoint: 1, Addr: addr, SentAt: time.Now(), Timeout: time.Second})
	if a, b := <-conns, <-conns; a != 1 || b != 1 {
		t.Errorf("calls on connections %d and %d, want both on 1", a, b)
	}
}

// Guards against an idle connection that is closed when the deadline of the last call on it passes.
func TestIdleConnectionOutlivesCallDeadline(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	addr, conns := startPeer(t, ok, ok)
	ended := make(chan bool, 1)
	p := NewPool(Options{MaxConns: 4, KeepAlive: time.Minute, DialTimeout: time.Second, X0: -1, X1: -1,
		OnDone: func(*Call, []policy.Event) { ended <- true }})
	for i := range 2 {
		c := &Call{Endpoint: 1, Addr: addr, SentAt: time.Now(), Timeout: 200 * time.Millisecond}
		p.Go(c)
		<-ended
		if n := <-conns; n != 1 {
			t.Errorf("call %d on connection %d, want 1", i, n)
		}
		<-time.After(time.Until(c.SentAt.Add(c.Timeout + time.Millisecond))) // until the deadline of the call has passed
	}
}

func (p *Pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func (p *Pool) idleCount(endpoint uint32) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[endpoint])
}

// Guards against a call that is written although MayStart returns false once its connection is there, and against an
// outcome that is reported before that connection is idle: a call that OnDone started then opened a second connection.
func TestForbiddenCallIsNeverWritten(t *testing.T) {
	addr, conns := startPeer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	ended := make(chan []policy.Event, 1)
	var p *Pool
	p = NewPool(Options{MaxConns: 4, KeepAlive: time.Second, DialTimeout: time.Second, X0: -1, X1: -1,
		OnDone: func(_ *Call, events []policy.Event) {
			if n := p.idleCount(7); n != 1 {
				t.Errorf("outcome %v is reported with %d idle connections, want 1", events[0].Outcome, n)
			}
			ended <- events
		}})
	for _, mayStart := range []bool{false, true} {
		c := &Call{
			Endpoint: 7, Addr: addr, SentAt: time.Now(), Timeout: time.Second, Items: []Item{{ID: 3, Trace: "t"}},
			MayStart: func() bool { return mayStart },
		}
		p.Go(c)
		if got := (<-ended)[0].Outcome; mayStart != (got == policy.OK) || !mayStart && got != policy.Moot {
			t.Errorf("MayStart %t: outcome %v, want OK if true, Moot if false", mayStart, got)
		}
	}
	if n := <-conns; n != 1 {
		t.Errorf("the allowed call came on connection %d, want 1", n)
	}
}
