package outbound

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"sliptide/policy"
)

// Guards against a retry that is written after WriteBy, when the partner's dedup window has passed: the connection is
// never established, is established late, or the call waits too long for its turn to dial. Each must end as Moot.
func TestRetryAfterWriteByIsNotWritten(t *testing.T) {
	const window = 100 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ended := make(chan []policy.Event, 1)
	p := NewPool(Options{MaxConns: 4, KeepAlive: time.Second, DialTimeout: time.Minute, X0: -1, X1: -1,
		OnDone: func(_ *Call, events []policy.Event) { ended <- events }})
	wantMoot := func(name string, c *Call) {
		t.Helper()
		select {
		case events := <-ended:
			if events[0].Outcome != policy.Moot {
				t.Errorf("%s: outcome %v, want Moot (not sent)", name, events[0].Outcome)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: the call has not ended within 5 s", name)
		}
	}
	call := func(addr string) *Call {
		return &Call{Endpoint: 1, Addr: addr, Items: []Item{{ID: 1, Trace: "t"}}, SentAt: time.Now(), Timeout: time.Minute,
			WriteBy: time.Now().Add(window)}
	}
	fullAddr := listenWithFullBacklog(t)
	c := call(fullAddr)
	p.Go(c)
	wantMoot("connection never established", c)

	c = call(ln.Addr().String())
	c.MayStart = func() bool { // called once the connection is there: as if it had been established late
		c.WriteBy = time.Now()
		return true
	}
	p.Go(c)
	wantMoot("connection established late", c)
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()

	p = NewPool(Options{MaxConns: 4, KeepAlive: time.Second, DialTimeout: time.Minute, X0: -1, X1: -1,
		OnDone: func(_ *Call, events []policy.Event) { ended <- events }})
	p.PaceDials(0, 4) // a turn every 250 ms, later than WriteBy; the next call takes the first
	p.Go(&Call{
		Endpoint: 2, Addr: ln.Addr().String(), Items: []Item{{ID: 2, Trace: "u"}}, SentAt: time.Now(), Timeout: time.Minute,
	})
	c = call(ln.Addr().String())
	p.Go(c)
	wantMoot("late turn to dial", c)
}

// listenWithFullBacklog returns the address of a listener that accepts no connection and whose backlog is full.
func listenWithFullBacklog(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*syscall.SockaddrInet4).Port}).String()
	for range 8 {
		nc, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { nc.Close() })
	}
	t.Fatal("the listen backlog is not full after 8 connections")
	return ""
}
