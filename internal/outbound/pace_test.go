package outbound

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"sliptide/internal/standin"
	"sliptide/policy"
)

// accepts is a listener that notes when each connection comes.
type accepts struct {
	net.Listener
	mu sync.Mutex
	at []time.Time
}

func (a *accepts) Accept() (net.Conn, error) {
	nc, err := a.Listener.Accept()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.at = append(a.at, time.Now())
	}
	return nc, err
}

func (a *accepts) times() []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]time.Time(nil), a.at...)
}

func listen(t *testing.T) *accepts {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &accepts{Listener: ln}
}

const every = 80 * time.Millisecond // between two connections, at the pace of these tests

// Calls that come at once to a partner that has come back open their connections one after the other. The n-th
// comes n turns after the first at the earliest, however slow the machine.
func TestDialsArePaced(t *testing.T) {
	for _, h2 := range []bool{false, true} {
		const endpoints = 4
		ended := make(chan policy.Outcome, endpoints)
		p := NewPool(Options{MaxConns: 16, KeepAlive: time.Minute, DialTimeout: 5 * time.Second, X0: -1, X1: -1,
			Partner: func(int) *Partner {
				if !h2 {
					return nil
				}
				return &Partner{HTTP2: true, MaxConns: 1}
			},
			OnDone: func(_ *Call, e []policy.Event) { ended <- e[0].Outcome }})
		p.PaceDials(7, float64(time.Second/every))
		var lns []*accepts
		for range endpoints {
			ln := listen(t)
			lns = append(lns, ln)
			if h2 {
				s := &standin.H2{On: func(*standin.Request) standin.Reply { return standin.Reply{Status: 200} }}
				s.Start(ln)
				t.Cleanup(s.Close)
			} else {
				s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
				go s.Serve(ln)
				t.Cleanup(func() { s.Close() })
			}
		}
		began := time.Now()
		for i, ln := range lns {
			p.Go(&Call{Endpoint: uint32(i + 1), Dest: 7, Addr: ln.Addr().String(), SentAt: began, Timeout: 10 * time.Second, Items: []Item{{ID: 1, Trace: "a"}}})
		}
		for range endpoints {
			if o := <-ended; o != policy.OK {
				t.Errorf("outcome %v", o)
			}
		}
		for i, ln := range lns {
			at := ln.times()
			if len(at) != 1 || at[0].Sub(began) < time.Duration(i)*every {
				t.Errorf("HTTP/2 %t: connections of endpoint %d after %v, the first turn is after %v", h2, i+1, at[0].Sub(began), time.Duration(i)*every)
			}
		}
	}
}

// A call whose turn is later than its time never ran, and says nothing of the partner; one that waits for its
// turn takes a connection that becomes idle before; and without a pace there are no turns.
func TestTurnsAreNoFailures(t *testing.T) {
	ln := listen(t)
	release := make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	ended := make(chan policy.Outcome, 4)
	p := NewPool(Options{MaxConns: 16, KeepAlive: time.Minute, DialTimeout: 5 * time.Second, X0: -1, X1: -1,
		OnDone: func(_ *Call, e []policy.Event) { ended <- e[0].Outcome }})
	p.PaceDials(7, 4)
	call := func(timeout time.Duration) {
		p.Go(&Call{Endpoint: 1, Dest: 7, Addr: ln.Addr().String(), SentAt: time.Now(), Timeout: timeout, Items: []Item{{ID: 1, Trace: "a"}}})
	}
	call(10 * time.Second)
	call(20 * time.Millisecond)
	if o := <-ended; o != policy.Moot {
		t.Errorf("its turn never came: outcome %v", o)
	}
	call(10 * time.Second)
	close(release)
	for range 2 {
		if o := <-ended; o != policy.OK {
			t.Errorf("outcome %v", o)
		}
	}
	if n := len(ln.times()); n != 1 {
		t.Errorf("%d connections, one was idle before the next turn", n)
	}
	p.PaceDials(7, 0)
	if wait := p.dialTurn(7); wait != 0 {
		t.Errorf("a turn after %v without a pace", wait)
	}
}
