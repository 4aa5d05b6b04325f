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

// peer is an endpoint that gives each call one answer and counts its connections.
func peer(t *testing.T, answers ...string) (addr string, conns <-chan int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	seen := make(chan int, len(answers))
	go func() {
		for n := 1; ; n++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			for r := bufio.NewReader(nc); len(answers) > 0; {
				if _, err := http.ReadRequest(r); err != nil {
					break
				}
				fmt.Fprint(nc, answers[0])
				answers = answers[1:]
				seen <- n
			}
			nc.Close()
		}
	}()
	return ln.Addr().String(), seen
}

func TestProbesReportsAndIdleTime(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT x1=25, y=9, x0=0.4\r\nContent-Length: 0\r\n\r\n"
	addr, conns := peer(t, ok, ok, "HTTP/1.1 503 No\r\nRetry-After: 1.25\r\nContent-Length: 0\r\n\r\n")
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
		if i == 2 { // an idle connection is closed before its time is up
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

// An answer that cannot be read ends its call at once, as an error that may have run (a
// single 200 is true whatever follows), and no later call hears the rest of it.
func TestSpoiltAnswers(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for name, row := range map[string]struct {
		answer  string
		outcome policy.Outcome
		conn    int // of the next call
	}{
		"noise":                {"\x00\x07\xffnoise", policy.Error, 2},
		"head without end":     {"HTTP/1.1 500 No\r\nX: y", policy.Error, 2},
		"a true 200":           {"HTTP/1.1 200 OK\r\nX: y", policy.OK, 2},
		"3 GB":                 {"HTTP/1.1 503 No\r\nContent-Length: 3000000000\r\n\r\nx", policy.Error, 2},
		"short of its length":  {"HTTP/1.1 429 No\r\nRetry-After: 9\r\nContent-Length: 50\r\n\r\nx", policy.Error, 2},
		"answers ahead":        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + ok, policy.OK, 1},
		"a protocol unasked":   {"HTTP/1.1 101 Switching Protocols\r\n\r\n", policy.Error, 2},
		"a second copy":        {ok + ok, policy.OK, 2},
		"noise behind":         {ok + "noise", policy.OK, 2},
		"report of nonsense":   {"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT x0=0.1, x1=zz\r\nContent-Length: 0\r\n\r\n", policy.OK, 1},
		"report beyond reason": {"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT x0=-1, x1=25\r\nContent-Length: 0\r\n\r\n", policy.OK, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, conns := peer(t, row.answer, ok)
			ended := make(chan []policy.Event, 1)
			p := NewPool(Options{MaxConns: 4, KeepAlive: time.Minute, DialTimeout: time.Second, X0: 0, X1: 1,
				OnDone: func(_ *Call, events []policy.Event) { ended <- events }})
			for i, want := range []policy.Outcome{row.outcome, policy.OK} {
				p.Go(&Call{Endpoint: 1, Addr: addr, SentAt: time.Now(), Timeout: 5 * time.Second, Items: []Item{{ID: 1, Trace: "t"}}})
				if e := (<-ended)[0]; e.Outcome != want || e.Report != nil || e.RequestedWait != 0 || e.Latency > 2000 {
					t.Errorf("call %d: %+v, want outcome %d", i, e, want)
				}
				if n := <-conns; n != []int{1, row.conn}[i] {
					t.Errorf("call %d on connection %d", i, n)
				}
			}
		})
	}
}

// A call that was dropped is not made, and one that has begun is not dropped.
func TestDrop(t *testing.T) {
	addr, conns := peer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	ended := make(chan *Call, 2)
	p := NewPool(Options{MaxConns: 4, KeepAlive: time.Minute, DialTimeout: time.Second, X0: -1, X1: -1,
		OnDone: func(c *Call, _ []policy.Event) { ended <- c }})
	dropped := &Call{Endpoint: 1, Addr: addr, SentAt: time.Now(), Timeout: time.Second}
	if !dropped.Drop() {
		t.Error("a call that waits was not dropped")
	}
	p.Go(dropped)
	for p.idleCount(1) == 0 { // its connection is as good as any
	}
	made := &Call{Endpoint: 1, Addr: addr, SentAt: time.Now(), Timeout: 5 * time.Second}
	p.Go(made)
	if c := <-ended; c != made || made.Drop() || <-conns != 1 {
		t.Error("the dropped call ended, the other was dropped after its end, or its connection was wasted")
	}
}

// A call that the end of another sets free finds that one's connection.
func TestOutcomeComesAfterItsConnectionIsFree(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	addr, conns := peer(t, ok, ok)
	var p *Pool
	left := 1
	p = NewPool(Options{MaxConns: 4, KeepAlive: time.Minute, DialTimeout: time.Second, X0: -1, X1: -1,
		OnDone: func(*Call, []policy.Event) {
			if left--; left == 0 {
				p.Go(&Call{Endpoint: 1, Addr: addr, SentAt: time.Now(), Timeout: time.Second})
			}
		}})
	p.Go(&Call{Endpoint: 1, Addr: addr, SentAt: time.Now(), Timeout: time.Second})
	if a, b := <-conns, <-conns; a != 1 || b != 1 {
		t.Errorf("calls on connections %d and %d", a, b)
	}
}

// An idle connection outlives the deadline of the call that it last carried.
func TestConnectionOutlivesItsCallsDeadline(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	addr, conns := peer(t, ok, ok)
	ended := make(chan bool, 1)
	p := NewPool(Options{MaxConns: 4, KeepAlive: time.Minute, DialTimeout: time.Second, X0: -1, X1: -1,
		OnDone: func(*Call, []policy.Event) { ended <- true }})
	for i := range 2 {
		c := &Call{Endpoint: 1, Addr: addr, SentAt: time.Now(), Timeout: 200 * time.Millisecond}
		p.Go(c)
		<-ended
		if n := <-conns; n != 1 {
			t.Errorf("call %d on connection %d", i, n)
		}
		<-time.After(time.Until(c.SentAt.Add(c.Timeout + time.Millisecond))) // its deadline passes
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

// TestWithheld: a call that may not run any more when its connection is there is never written, and says so once the
// connection is parked: a call that this outcome sets free finds it, where it opened a second one before.
func TestWithheld(t *testing.T) {
	addr, conns := peer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	ended := make(chan []policy.Event, 1)
	var p *Pool
	p = NewPool(Options{MaxConns: 4, KeepAlive: time.Second, DialTimeout: time.Second, X0: -1, X1: -1,
		OnDone: func(_ *Call, events []policy.Event) {
			if n := p.idleCount(7); n != 1 {
				t.Errorf("%v is told with %d connections parked, want 1", events[0].Outcome, n)
			}
			ended <- events
		}})
	for _, may := range []bool{false, true} {
		c := &Call{Endpoint: 7, Addr: addr, SentAt: time.Now(), Timeout: time.Second, Items: []Item{{ID: 3, Trace: "t"}}, MayStart: func() bool { return may }}
		p.Go(c)
		if got := (<-ended)[0].Outcome; may != (got == policy.OK) || !may && got != policy.Moot {
			t.Errorf("may run %v: %v", may, got)
		}
	}
	if n := <-conns; n != 1 {
		t.Errorf("the call that may run came on connection %d", n)
	}
}
