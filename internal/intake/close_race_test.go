package intake

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Each test forces one of the races of docs/design/crossings.md: a request, an answer or a signal that arrives just as
// a connection is being closed.

// Guards against the loss of an accepted message: the answer 202 was written in time, but the goroutine then read the
// clock late and withdrew the message.
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
	client := r.connect()
	client.send(request("m"))
	if res := client.readResponse(t); res.StatusCode != 202 {
		t.Fatalf("answer %d, want 202", res.StatusCode)
	}
	late.Store(false)
	client.send(request("n")) // its answer comes only after a withdrawal of the first message, had there been one
	client.readResponse(t)
	r.terminateAndWait()
	if !r.journaledTraces()["m"] {
		t.Error("message m was answered 202 and is not in the journal")
	}
}

// Guards against a message that is accepted twice: a decision that comes after the client's time-out must not be sent,
// since the client may already be resubmitting the message to another sender. The message is withdrawn and refused with
// 503.
func TestLateAcceptanceIsRefused(t *testing.T) {
	t.Parallel()
	var reads atomic.Int32
	r := newRig(t, 100, &hooks{})
	r.now = func() time.Time {
		if reads.Add(1) > 1 { // the first read is the time of arrival
			return time.Now().Add(2 * clientTimeout)
		}
		return time.Now()
	}
	client := r.connect()
	client.send(request("m"))
	if res := client.readResponse(t); res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
		t.Errorf("answer %d, Retry-After %q, want 503 with Retry-After", res.StatusCode, res.Header.Get("Retry-After"))
	}
	r.terminateAndWait()
	if r.journaledTraces()["m"] {
		t.Error("message m was refused and is in the journal")
	}
}

// terminate stops the server the way a SIGTERM does.
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

// terminateAndWait stops the server and waits until the sender has stopped too.
func (r *rig) terminateAndWait() {
	r.t.Helper()
	r.terminate()
	<-r.sender.Done()
}

// A request arrives just as its idle connection is closed. It must not be served, and the close must be clean: a reset
// could destroy an answer that is still on its way, and to the client it looks as if a request was lost.
func TestRequestDuringCloseOfIdleConnection(t *testing.T) {
	t.Parallel()
	var client *testClient
	r := newRig(t, 100, &hooks{closing: func(net.Conn) { client.send(request("crossing")) }})
	client = r.connectAndIdle("m", 3)
	r.terminateAndWait()
	r.expectCleanClose(client)
	if r.journaledTraces()["crossing"] {
		t.Error("a request that arrived after the close was accepted")
	}
}

// The first request on a new connection arrives just as a drain closes the connection. The request must be answered.
func TestRequestDuringCloseOfSilentConnection(t *testing.T) {
	t.Parallel()
	var client *testClient
	r := newRig(t, 100, &hooks{closing: func(net.Conn) { client.send(request("crossing")) }})
	client = r.connect()
	r.waitUntil("no connection in state silent", func() bool { return r.countInState(silent) == 1 })
	r.Drain()
	if res := client.readResponse(t); res.StatusCode != 503 {
		t.Errorf("first request, sent during the close: answer %d, want 503", res.StatusCode)
	}
	r.expectCleanClose(client)
	r.Undrain()
}

// countInState counts the connections in that state. The caller holds the server's lock.
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

// waitUntil waits until ok returns true, and fails the test after testTimeout. It calls ok under the server's lock.
func (r *rig) waitUntil(failure string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		met := ok()
		r.mu.Unlock()
		if met {
			return
		}
		if time.Now().After(end) {
			r.t.Fatal(failure)
		}
	}
}

// More bytes arrive while the answer that closes the connection is on its way. The client must receive the whole answer
// and then a clean close: a close with unread bytes would reset the connection.
func TestExtraBytesDoNotTruncateResponse(t *testing.T) {
	t.Parallel()
	var client *testClient
	r := newRig(t, 100, &hooks{closing: func(net.Conn) { client.send(strings.Repeat("more ", 1000)) }})
	client = r.connect()
	client.send(strings.Replace(request("m"), "Host:", "Connection: close\r\nHost:", 1))
	if res := client.readResponse(t); res.StatusCode != 202 {
		t.Errorf("answer %d, want 202", res.StatusCode)
	}
	r.expectCleanClose(client)
	for _, c := range []struct {
		text string
		want int
	}{
		{"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\nbegin", 413},
		{"no request at all\r\n\r\n", 400},
		{"POST /api HTTP/1.1\r\nHost: a\r\n\r\nbody of no length", 411},
	} {
		client = r.connect()
		client.send(c.text)
		if res := client.readResponse(t); res.StatusCode != c.want {
			t.Errorf("answer %d, want %d", res.StatusCode, c.want)
		}
		r.expectCleanClose(client)
	}
}

// Two requests are incomplete when the process is told to stop: one is completed later, the other is not. Both must be
// answered 503, neither may be accepted, and the server must not stop before both are answered.
func TestShutdownAnswersPartialRequests(t *testing.T) {
	t.Parallel()
	r := newRig(t, 100, &hooks{})
	completed, partial := r.connect(), r.connect()
	text := request("m")
	completed.send(text[:40])
	partial.send(text[:40])
	r.waitUntil("not two connections in state reading", func() bool { return r.countInState(reading) == 2 })
	r.RefuseMessages()
	completed.send(text[40:])
	r.mu.Lock()
	for c := range r.conns { // as if the incomplete request had begun to arrive drainReadingDelay ago
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
			t.Error("a connection with an incomplete request is not asked to close")
		}
		c.mu.Unlock()
	}
	r.mu.Unlock()
	done := make(chan struct{})
	go func() { r.terminateAndWait(); close(done) }()
	for _, client := range []*testClient{completed, partial} {
		if res := client.readResponse(t); res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
			t.Errorf("answer %d, Retry-After %q, want 503 with Retry-After", res.StatusCode, res.Header.Get("Retry-After"))
		}
		r.expectCleanClose(client)
	}
	<-done
	if r.journaledTraces()["m"] {
		t.Error("a request that was completed after the stop was accepted")
	}
}

// SIGTERM arrives between a new connection and its first request. The client must have time to write the request, which
// is answered 503. A client that sends nothing gets a 503 too, which answers a request sent during the close, and then
// a clean close.
func TestNewConnectionDuringShutdown(t *testing.T) {
	t.Parallel()
	r := newRig(t, 100, &hooks{})
	client, silentClient := r.connect(), r.connect()
	r.waitUntil("not two connections in state silent", func() bool { return r.countInState(silent) == 2 })
	r.RefuseMessages()
	r.closeUnused()
	r.mu.Lock()
	for c := range r.conns {
		c.mu.Lock()
		if c.closeRequested {
			t.Error("a new connection is asked to close before its client can write")
		}
		c.mu.Unlock()
	}
	r.mu.Unlock()
	client.send(request("m"))
	if res := client.readResponse(t); res.StatusCode != 503 {
		t.Errorf("answer %d, want 503", res.StatusCode)
	}
	r.terminate()
	if res := silentClient.readResponse(t); res.StatusCode != 503 {
		t.Errorf("silent client: answer %d, want 503", res.StatusCode)
	}
	r.expectCleanClose(silentClient)
}

// A connection is accepted while the server waits for the others to close. It must be answered before the server stops.
func TestAcceptedWhileShuttingDown(t *testing.T) {
	t.Parallel()
	entered, proceed := make(chan struct{}), make(chan struct{})
	r := newRig(t, 100, &hooks{accepted: func() { close(entered); <-proceed }})
	client := r.connect()
	client.send(request("m"))
	<-entered // accepted by the kernel, and not yet registered by the server
	r.RefuseMessages()
	r.ln.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if r.closeUnused() {
		t.Error("the server would stop while a connection is being accepted")
	}
	close(proceed)
	r.Shutdown(ctx)
	if res := client.readResponse(t); res.StatusCode != 503 {
		t.Errorf("answer %d, want 503", res.StatusCode)
	}
}

// What clients send after the half-close must be read and discarded without a reset, and must not delay the shutdown.
func TestClientsSendingAfterHalfClose(t *testing.T) {
	t.Parallel()
	r := newRig(t, 100, &hooks{})
	client := r.connectAndIdle("m", 2)
	r.terminate() // returns although the client does not close
	r.expectCleanClose(client)
	for range 3 {
		if err := client.send(request("after")); err != nil {
			t.Fatalf("a half-closed connection was reset: %v", err)
		}
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r.WaitClosed(ctx)
	if took := time.Since(start); took > 2*lingerTimeout {
		t.Errorf("a client that does not close its connection delayed the shutdown for %v, want twice lingerTimeout at most", took)
	}
	<-r.sender.Done()
	if r.journaledTraces()["after"] {
		t.Error("a request that arrived after the half-close was accepted")
	}
}

// Half-closed connections must give up their slots when new clients need them: clients that never close their side
// must not keep others out, whether they are silent or send without end.
func TestLingeringConnectionsYieldSlots(t *testing.T) {
	const maxConns = 16
	for name, behave := range map[string]func(*testClient){
		"silent": func(*testClient) {},
		"flood": func(client *testClient) {
			for client.send(strings.Repeat("x", 4096)) == nil {
			}
		},
	} {
		r := newRig(t, maxConns, &hooks{})
		for range 2 * maxConns {
			client := r.connect()
			client.send("nonsense\r\n\r\n")
			client.readResponse(t)
			go behave(client)
		}
		start := time.Now()
		client := r.connect()
		client.send(request("m"))
		if res := client.readResponse(t); res.StatusCode != 202 {
			t.Errorf("%s: answer %d, want 202", name, res.StatusCode)
		}
		if took := time.Since(start); took > clientTimeout {
			t.Errorf("%s: answered only after %v, later than the client's time-out, while half-closed connections held all slots", name, took)
		}
	}
}

// Answers must be sent at once: clients' sockets have TCP_NODELAY set, so that the kernel does not delay small writes.
func TestClientSocketsSetNoDelay(t *testing.T) {
	t.Parallel()
	nagle := make(chan bool, 1)
	r := newRig(t, 100, &hooks{halfClosed: func(nc net.Conn) { nagle <- nagleEnabled(t, nc.(*net.TCPConn)) }})
	client := r.connect()
	client.send("nonsense\r\n\r\n")
	client.readResponse(t)
	if <-nagle {
		t.Error("TCP_NODELAY is not set")
	}
}
