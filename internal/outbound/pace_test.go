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

// timedListener is a listener that records when it accepts each connection.
type timedListener struct {
	net.Listener
	mu         sync.Mutex
	acceptedAt []time.Time
}

func (l *timedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.acceptedAt = append(l.acceptedAt, time.Now())
	}
	return nc, err
}

func (l *timedListener) acceptTimes() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.acceptedAt...)
}

func listenTimed(t *testing.T) *timedListener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &timedListener{Listener: ln}
}

const dialInterval = 80 * time.Millisecond // between two dials in these tests

// Guards against connections that are opened all at once by calls that start at the same time, as after an outage.
// Counted from 0, connection n is accepted n intervals after the start at the earliest, however slow the machine.
func TestPaceDialsSpacesConnections(t *testing.T) {
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
		p.PaceDials(7, float64(time.Second/dialInterval))
		var lns []*timedListener
		for range endpoints {
			ln := listenTimed(t)
			lns = append(lns, ln)
			if h2 {
				s := &standin.H2Partner{Handler: func(*standin.Request) standin.Reply { return standin.Reply{Status: 200} }}
				s.Start(ln)
				t.Cleanup(s.Close)
			} else {
				s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
				go s.Serve(ln)
				t.Cleanup(func() { s.Close() })
			}
		}
		start := time.Now()
		for i, ln := range lns {
			p.Go(&Call{
				Endpoint: uint32(i + 1), Dest: 7, Addr: ln.Addr().String(), SentAt: start, Timeout: 10 * time.Second,
				Items: []Item{{ID: 1, Trace: "a"}},
			})
		}
		for range endpoints {
			if o := <-ended; o != policy.OK {
				t.Errorf("outcome %v, want OK", o)
			}
		}
		for i, ln := range lns {
			at := ln.acceptTimes()
			if len(at) != 1 || at[0].Sub(start) < time.Duration(i)*dialInterval {
				t.Errorf("HTTP/2 %t: connection to endpoint %d after %v, want %v or later",
					h2, i+1, at[0].Sub(start), time.Duration(i)*dialInterval)
			}
		}
	}
}

// Guards against a call that fails, or counts against the partner, because of the pacing of dials. A call that times
// out before its turn never ran; one that waits takes a connection that becomes idle first; without pacing no call
// waits.
func TestWaitingForPacedDialIsNotAFailure(t *testing.T) {
	ln := listenTimed(t)
	release := make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	ended := make(chan policy.Outcome, 4)
	p := NewPool(Options{MaxConns: 16, KeepAlive: time.Minute, DialTimeout: 5 * time.Second, X0: -1, X1: -1,
		OnDone: func(_ *Call, e []policy.Event) { ended <- e[0].Outcome }})
	p.PaceDials(7, 4) // a turn every 250 ms
	call := func(timeout time.Duration) {
		p.Go(&Call{
			Endpoint: 1, Dest: 7, Addr: ln.Addr().String(), SentAt: time.Now(), Timeout: timeout,
			Items: []Item{{ID: 1, Trace: "a"}},
		})
	}
	call(10 * time.Second)
	call(20 * time.Millisecond)
	if o := <-ended; o != policy.Moot {
		t.Errorf("call that timed out before its turn: outcome %v, want Moot", o)
	}
	call(10 * time.Second)
	close(release)
	for range 2 {
		if o := <-ended; o != policy.OK {
			t.Errorf("outcome %v, want OK", o)
		}
	}
	if n := len(ln.acceptTimes()); n != 1 {
		t.Errorf("%d connections, want 1, which was idle before the next turn", n)
	}
	p.PaceDials(7, 0)
	if wait := p.dialTurn(7); wait != 0 {
		t.Errorf("turn after %v without pacing, want 0", wait)
	}
}
