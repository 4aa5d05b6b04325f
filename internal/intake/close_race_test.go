package intake

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Each test forces one crossing of docs/design/crossings.md.

// The clock is read late after an answer was written in time: the client has heard 202, so the message stays.
func TestAcceptanceWrittenInTimeStands(t *testing.T) {
	t.Parallel()
	var late atomic.Bool
	r := newRig(t, 100, &hooks{wrote: func() { late.Store(true) }})
	r.now = func() time.Time {
		if late.Load() {
			return time.Now().Add(2 * clientTimeout)
		}
		return time.Now()
	}
	g := r.connect()
	g.send(request("m"))
	if res := g.readResponse(t); res.StatusCode != 202 {
		t.Fatalf("answer %d", res.StatusCode)
	}
	late.Store(false)
	g.send(request("n")) // in the sender's line behind a withdrawal of the first, had there been one
	g.readResponse(t)
	r.terminateAndWait()
	if !r.journaledTraces()["m"] {
		t.Error("the message that its client heard was taken on is in no journal")
	}
}

// A verdict that comes when its client is about to go is not told: the message is withdrawn, and refused.
func TestLateAcceptanceIsRefused(t *testing.T) {
	t.Parallel()
	var reads atomic.Int32
	r := newRig(t, 100, &hooks{})
	r.now = func() time.Time {
		if reads.Add(1) > 1 { // the first is of its arrival
			return time.Now().Add(2 * clientTimeout)
		}
		return time.Now()
	}
	g := r.connect()
	g.send(request("m"))
	if res := g.readResponse(t); res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
		t.Errorf("answer %d, Retry-After %q, want a 503 that says when to come again", res.StatusCode, res.Header.Get("Retry-After"))
	}
	r.terminateAndWait()
	if r.journaledTraces()["m"] {
		t.Error("the message that was refused is in the journal")
	}
}

// shut ends the server as a SIGTERM does.
func (r *rig) terminate() {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r.RefuseMessages()
	r.sender.Stop()
	r.ln.Close()
	r.Shutdown(ctx)
	r.sender.ClientsGone()
}

// leave ends the server, and the sender with it.
func (r *rig) terminateAndWait() {
	r.t.Helper()
	r.terminate()
	<-r.sender.Done()
}

// A request arrives in the very moment in which a connection that rests is closed. It is not served, and the
// close is clean: a reset would take an answer along that is still on its way, and looks like a lost request.
func TestRequestDuringCloseOfIdleConnection(t *testing.T) {
	t.Parallel()
	var g *testClient
	r := newRig(t, 100, &hooks{closing: func(net.Conn) { g.send(request("crossing")) }})
	g = r.connectAndIdle("m", 3)
	r.terminateAndWait()
	r.expectCleanClose(g)
	if r.journaledTraces()["crossing"] {
		t.Error("a request that came after the close was taken on")
	}
}

// The same on a new connection that is drained by hand: its first request is read, and has to be answered.
func TestRequestDuringCloseOfSilentConnection(t *testing.T) {
	t.Parallel()
	var g *testClient
	r := newRig(t, 100, &hooks{closing: func(net.Conn) { g.send(request("crossing")) }})
	g = r.connect()
	r.waitUntil("the connection is there", func() bool { return r.countInState(silent) == 1 })
	r.Drain()
	if res := g.readResponse(t); res.StatusCode != 503 {
		t.Errorf("a first request that came at the close is answered %d", res.StatusCode)
	}
	r.expectCleanClose(g)
	r.Undrain()
}

// inState counts connections; the server's lock is held.
func (r *rig) countInState(state int) (n int) {
	for c := range r.conns {
		c.mu.Lock()
		if c.state == state {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// until waits for what is under the server's lock.
func (r *rig) waitUntil(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		met := ok()
		r.mu.Unlock()
		if met {
			return
		}
		if time.Now().After(end) {
			r.t.Fatal(what)
		}
	}
}

// More bytes come while the answer that closes the connection is on its way: it arrives whole, and then the end.
func TestExtraBytesDoNotTruncateResponse(t *testing.T) {
	t.Parallel()
	var g *testClient
	r := newRig(t, 100, &hooks{closing: func(net.Conn) { g.send(strings.Repeat("more ", 1000)) }})
	g = r.connect()
	g.send(strings.Replace(request("m"), "Host:", "Connection: close\r\nHost:", 1))
	if res := g.readResponse(t); res.StatusCode != 202 {
		t.Errorf("answer %d", res.StatusCode)
	}
	r.expectCleanClose(g)
	for _, c := range []struct {
		text string
		want int
	}{
		{"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\nbegin", 413},
		{"no request at all\r\n\r\n", 400},
		{"POST /api HTTP/1.1\r\nHost: a\r\n\r\nbody of no length", 411},
	} {
		g = r.connect()
		g.send(c.text)
		if res := g.readResponse(t); res.StatusCode != c.want {
			t.Errorf("answer %d, want %d", res.StatusCode, c.want)
		}
		r.expectCleanClose(g)
	}
}

// A request whose bytes are still coming when the process is told to end gets 503 when it is whole, or when it does
// not come whole; neither is taken on, and the server does not leave before.
func TestShutdownAnswersPartialRequests(t *testing.T) {
	t.Parallel()
	r := newRig(t, 100, &hooks{})
	completed, partial := r.connect(), r.connect()
	text := request("m")
	completed.send(text[:40])
	partial.send(text[:40])
	r.waitUntil("both are being read", func() bool { return r.countInState(reading) == 2 })
	r.RefuseMessages()
	completed.send(text[40:])
	r.mu.Lock()
	for c := range r.conns { // of the two, who has not come whole: as if it had been coming for long
		c.mu.Lock()
		if c.state == reading {
			c.since = c.since.Add(-drainReadingDelay)
		}
		c.mu.Unlock()
	}
	r.mu.Unlock()
	r.closeUnused()
	r.mu.Lock()
	for c := range r.conns {
		c.mu.Lock()
		if c.state == reading && !c.closeRequested {
			t.Error("a request that does not come whole is not asked to end")
		}
		c.mu.Unlock()
	}
	r.mu.Unlock()
	done := make(chan struct{})
	go func() { r.terminateAndWait(); close(done) }()
	for _, g := range []*testClient{completed, partial} {
		if res := g.readResponse(t); res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
			t.Errorf("answer %d, Retry-After %q", res.StatusCode, res.Header.Get("Retry-After"))
		}
		r.expectCleanClose(g)
	}
	<-done
	if r.journaledTraces()["m"] {
		t.Error("a request that came whole after the stop was taken on")
	}
}

// SIGTERM comes between a new connection and its first request: the client has time to write it, and is answered 503.
// One that goes on saying nothing hears 503, which answers a request that crosses the close, and a clean end.
func TestNewConnectionDuringShutdown(t *testing.T) {
	t.Parallel()
	r := newRig(t, 100, &hooks{})
	g, silentClient := r.connect(), r.connect()
	r.waitUntil("both are there", func() bool { return r.countInState(silent) == 2 })
	r.RefuseMessages()
	r.closeUnused()
	r.mu.Lock()
	for c := range r.conns {
		c.mu.Lock()
		if c.closeRequested {
			t.Error("a new connection is closed before its client can write")
		}
		c.mu.Unlock()
	}
	r.mu.Unlock()
	g.send(request("m"))
	if res := g.readResponse(t); res.StatusCode != 503 {
		t.Errorf("answer %d", res.StatusCode)
	}
	r.terminate()
	if res := silentClient.readResponse(t); res.StatusCode != 503 {
		t.Errorf("one that says nothing hears %d", res.StatusCode)
	}
	r.expectCleanClose(silentClient)
}

// A connection is accepted while the server waits for the others to end. It is answered before the server leaves.
func TestAcceptedWhileShuttingDown(t *testing.T) {
	t.Parallel()
	entered, proceed := make(chan struct{}), make(chan struct{})
	r := newRig(t, 100, &hooks{accepted: func() { close(entered); <-proceed }})
	g := r.connect()
	g.send(request("m"))
	<-entered // accepted by the system, and not yet among the server's
	r.RefuseMessages()
	r.ln.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if r.closeUnused() {
		t.Error("the server would leave while a connection is being accepted")
	}
	close(proceed)
	r.Shutdown(ctx)
	if res := g.readResponse(t); res.StatusCode != 503 {
		t.Errorf("answer %d", res.StatusCode)
	}
}

// Clients that go on sending on every connection up to the end are read, and dropped, and hold nobody up.
func TestClientsSendingAfterHalfClose(t *testing.T) {
	t.Parallel()
	r := newRig(t, 100, &hooks{})
	g := r.connectAndIdle("m", 2)
	r.terminate() // returns although the client does not close
	r.expectCleanClose(g)
	for range 3 {
		if err := g.send(request("after")); err != nil {
			t.Fatalf("a connection that lingers is reset: %v", err)
		}
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r.WaitClosed(ctx)
	if took := time.Since(start); took > 2*lingerTimeout {
		t.Errorf("a client that does not close holds the server up for %v", took)
	}
	<-r.sender.Done()
	if r.journaledTraces()["after"] {
		t.Error("a request that came after the half-close was taken on")
	}
}

// Those that linger give their places up where these are needed: clients that never close cannot keep others out,
// whether they are silent or send without end.
func TestLingeringConnectionsYieldSlots(t *testing.T) {
	const maxConns = 16
	for name, behave := range map[string]func(*testClient){
		"silent": func(*testClient) {},
		"flood": func(g *testClient) {
			for g.send(strings.Repeat("x", 4096)) == nil {
			}
		},
	} {
		r := newRig(t, maxConns, &hooks{})
		for range 2 * maxConns {
			g := r.connect()
			g.send("nonsense\r\n\r\n")
			g.readResponse(t)
			go behave(g)
		}
		start := time.Now()
		g := r.connect()
		g.send(request("m"))
		if res := g.readResponse(t); res.StatusCode != 202 {
			t.Errorf("%s: answer %d", name, res.StatusCode)
		}
		if took := time.Since(start); took > clientTimeout {
			t.Errorf("%s: answered after %v among those that linger", name, took)
		}
	}
}

// Answers leave at once: no socket of a client holds small writes back.
func TestClientSocketsSetNoDelay(t *testing.T) {
	t.Parallel()
	nagle := make(chan bool, 1)
	r := newRig(t, 100, &hooks{halfClosed: func(nc net.Conn) { nagle <- nagleEnabled(t, nc.(*net.TCPConn)) }})
	g := r.connect()
	g.send("nonsense\r\n\r\n")
	g.readResponse(t)
	if <-nagle {
		t.Error("TCP_NODELAY is not set")
	}
}
