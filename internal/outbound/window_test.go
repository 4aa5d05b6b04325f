package outbound

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"sliptide/policy"
)

// A repeat waits for its connection while the partner's window for repeats passes. It must not be written then, be it
// that the connection never comes, that it comes late, or that the request waits for a turn to connect.
func TestARepeatAfterItsWindowIsNotWritten(t *testing.T) {
	const window = 100 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ended := make(chan []policy.Event, 1)
	p := NewPool(Options{MaxConns: 4, KeepAlive: time.Second, DialTimeout: time.Minute, X0: -1, X1: -1,
		OnDone: func(_ *Call, events []policy.Event) { ended <- events }})
	end := func(name string, c *Call) {
		t.Helper()
		select {
		case ev := <-ended:
			if ev[0].Outcome != policy.Moot {
				t.Errorf("%s: outcome %v, want that it was not sent", name, ev[0].Outcome)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: the call does not end", name)
		}
	}
	call := func(addr string) *Call {
		return &Call{Endpoint: 1, Addr: addr, Items: []Item{{ID: 1, Trace: "t"}}, SentAt: time.Now(), Timeout: time.Minute,
			WriteBy: time.Now().Add(window)}
	}
	full := backlogged(t)
	c := call(full)
	p.Go(c)
	end("a connection that does not come up", c)

	c = call(ln.Addr().String())
	c.MayStart = func() bool { // asked with the connection there: as if it had taken so long
		c.WriteBy = time.Now()
		return true
	}
	p.Go(c)
	end("a connection that comes up late", c)
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()

	p = NewPool(Options{MaxConns: 4, KeepAlive: time.Second, DialTimeout: time.Minute, X0: -1, X1: -1,
		OnDone: func(_ *Call, events []policy.Event) { ended <- events }})
	p.PaceDials(0, 4)
	p.Go(&Call{Endpoint: 2, Addr: ln.Addr().String(), Items: []Item{{ID: 2, Trace: "u"}}, SentAt: time.Now(), Timeout: time.Minute})
	c = call(ln.Addr().String())
	p.Go(c)
	end("a turn to connect that comes late", c)
}

// backlogged is the address of a listener that takes no connection: its line is full, and nobody accepts.
func backlogged(t *testing.T) string {
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
	t.Fatal("its line is never full")
	return ""
}
