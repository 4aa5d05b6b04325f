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
func TestAVerdictWrittenInTimeStands(t *testing.T) {
	t.Parallel()
	var late atomic.Bool
	r := newRig(t, 100, &hooks{wrote: func() { late.Store(true) }})
	r.now = func() time.Time {
		if late.Load() {
			return time.Now().Add(2 * patience)
		}
		return time.Now()
	}
	g := r.visit()
	g.say(request("m"))
	if res := g.hear(t); res.StatusCode != 202 {
		t.Fatalf("answer %d", res.StatusCode)
	}
	late.Store(false)
	g.say(request("n")) // in the sender's line behind a withdrawal of the first, had there been one
	g.hear(t)
	r.leave()
	if !r.journaled()["m"] {
		t.Error("the message that its client heard was taken on is in no journal")
	}
}

// A verdict that comes when its client is about to go is not told: the message is withdrawn, and refused.
func TestALateVerdictIsARefusal(t *testing.T) {
	t.Parallel()
	var reads atomic.Int32
	r := newRig(t, 100, &hooks{})
	r.now = func() time.Time {
		if reads.Add(1) > 1 { // the first is of its arrival
			return time.Now().Add(2 * patience)
		}
		return time.Now()
	}
	g := r.visit()
	g.say(request("m"))
	if res := g.hear(t); res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
		t.Errorf("answer %d, Retry-After %q, want a 503 that says when to come again", res.StatusCode, res.Header.Get("Retry-After"))
	}
	r.leave()
	if r.journaled()["m"] {
		t.Error("the message that was refused is in the journal")
	}
}

// shut ends the server as a SIGTERM does.
func (r *rig) shut() {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patient)
	defer cancel()
	r.RefuseMessages()
	r.snd.Stop()
	r.ln.Close()
	r.Shutdown(ctx)
	r.snd.ClientsGone()
}

// leave ends the server, and the sender with it.
func (r *rig) leave() {
	r.t.Helper()
	r.shut()
	<-r.snd.Done()
}

// A request arrives in the very moment in which a connection that rests is closed. It is not served, and the
// close is clean: a reset would take an answer along that is still on its way, and looks like a lost request.
func TestRequestCrossesTheCloseOfAnIdleConnection(t *testing.T) {
	t.Parallel()
	var g *guest
	r := newRig(t, 100, &hooks{closing: func(net.Conn) { g.say(request("crossing")) }})
	g = r.rested("m", 3)
	r.leave()
	r.cleanEnd(g)
	if r.journaled()["crossing"] {
		t.Error("a request that came after the close was taken on")
	}
}

// The same on a new connection that is drained by hand: its first request is read, and has to be answered.
func TestRequestCrossesTheCloseOfASilentConnection(t *testing.T) {
	t.Parallel()
	var g *guest
	r := newRig(t, 100, &hooks{closing: func(net.Conn) { g.say(request("crossing")) }})
	g = r.visit()
	r.until("the connection is there", func() bool { return r.inState(silent) == 1 })
	r.Drain()
	if res := g.hear(t); res.StatusCode != 503 {
		t.Errorf("a first request that came at the close is answered %d", res.StatusCode)
	}
	r.cleanEnd(g)
	r.Undrain()
}

// inState counts connections; the server's lock is held.
func (r *rig) inState(state int) (n int) {
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
func (r *rig) until(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(patient); ; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		done := ok()
		r.mu.Unlock()
		if done {
			return
		}
		if time.Now().After(end) {
			r.t.Fatal(what)
		}
	}
}

// More bytes come while the answer that closes the connection is on its way: it arrives whole, and then the end.
func TestBytesAfterARequestDoNotCutItsAnswer(t *testing.T) {
	t.Parallel()
	var g *guest
	r := newRig(t, 100, &hooks{closing: func(net.Conn) { g.say(strings.Repeat("more ", 1000)) }})
	g = r.visit()
	g.say(strings.Replace(request("m"), "Host:", "Connection: close\r\nHost:", 1))
	if res := g.hear(t); res.StatusCode != 202 {
		t.Errorf("answer %d", res.StatusCode)
	}
	r.cleanEnd(g)
	for _, c := range []struct {
		text string
		want int
	}{
		{"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\nbegin", 413},
		{"no request at all\r\n\r\n", 400},
		{"POST /api HTTP/1.1\r\nHost: a\r\n\r\nbody of no length", 411},
	} {
		g = r.visit()
		g.say(c.text)
		if res := g.hear(t); res.StatusCode != c.want {
			t.Errorf("answer %d, want %d", res.StatusCode, c.want)
		}
		r.cleanEnd(g)
	}
}

// A request whose bytes are still coming when the process is told to end gets 503 when it is whole, or when it does
// not come whole; neither is taken on, and the server does not leave before.
func TestShutdownAnswersWhatIsBeingRead(t *testing.T) {
	t.Parallel()
	r := newRig(t, 100, &hooks{})
	rest, half := r.visit(), r.visit()
	text := request("m")
	rest.say(text[:40])
	half.say(text[:40])
	r.until("both are being read", func() bool { return r.inState(reading) == 2 })
	r.RefuseMessages()
	rest.say(text[40:])
	r.mu.Lock()
	for c := range r.conns { // of the two, who has not come whole: as if it had been coming for long
		c.mu.Lock()
		if c.state == reading {
			c.since = c.since.Add(-awayReading)
		}
		c.mu.Unlock()
	}
	r.mu.Unlock()
	r.quiet()
	r.mu.Lock()
	for c := range r.conns {
		c.mu.Lock()
		if c.state == reading && !c.asked {
			t.Error("a request that does not come whole is not asked to end")
		}
		c.mu.Unlock()
	}
	r.mu.Unlock()
	done := make(chan struct{})
	go func() { r.leave(); close(done) }()
	for _, g := range []*guest{rest, half} {
		if res := g.hear(t); res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
			t.Errorf("answer %d, Retry-After %q", res.StatusCode, res.Header.Get("Retry-After"))
		}
		r.cleanEnd(g)
	}
	<-done
	if r.journaled()["m"] {
		t.Error("a request that came whole after the stop was taken on")
	}
}

// SIGTERM comes between a new connection and its first request: the client has time to write it, and is answered 503.
// One that goes on saying nothing hears 503, which answers a request that crosses the close, and a clean end.
func TestANewConnectionAtTheShutdown(t *testing.T) {
	t.Parallel()
	r := newRig(t, 100, &hooks{})
	g, mute := r.visit(), r.visit()
	r.until("both are there", func() bool { return r.inState(silent) == 2 })
	r.RefuseMessages()
	r.quiet()
	r.mu.Lock()
	for c := range r.conns {
		c.mu.Lock()
		if c.asked {
			t.Error("a new connection is closed before its client can write")
		}
		c.mu.Unlock()
	}
	r.mu.Unlock()
	g.say(request("m"))
	if res := g.hear(t); res.StatusCode != 503 {
		t.Errorf("answer %d", res.StatusCode)
	}
	r.shut()
	if res := mute.hear(t); res.StatusCode != 503 {
		t.Errorf("one that says nothing hears %d", res.StatusCode)
	}
	r.cleanEnd(mute)
}

// A connection is accepted while the server waits for the others to end. It is answered before the server leaves.
func TestAcceptedWhileShuttingDown(t *testing.T) {
	t.Parallel()
	inside, let := make(chan struct{}), make(chan struct{})
	r := newRig(t, 100, &hooks{accepted: func() { close(inside); <-let }})
	g := r.visit()
	g.say(request("m"))
	<-inside // accepted by the system, and not yet among the server's
	r.RefuseMessages()
	r.ln.Close()
	ctx, cancel := context.WithTimeout(context.Background(), patient)
	defer cancel()
	if r.quiet() {
		t.Error("the server would leave while a connection is being accepted")
	}
	close(let)
	r.Shutdown(ctx)
	if res := g.hear(t); res.StatusCode != 503 {
		t.Errorf("answer %d", res.StatusCode)
	}
}

// Clients that go on sending on every connection up to the end are read, and dropped, and hold nobody up.
func TestClientsThatGoOnAfterTheHalfClose(t *testing.T) {
	t.Parallel()
	r := newRig(t, 100, &hooks{})
	g := r.rested("m", 2)
	r.shut() // returns although the client does not close
	r.cleanEnd(g)
	for range 3 {
		if err := g.say(request("after")); err != nil {
			t.Fatalf("a connection that lingers is reset: %v", err)
		}
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), patient)
	defer cancel()
	r.WaitClosed(ctx)
	if took := time.Since(begun); took > 2*lingerFor {
		t.Errorf("a client that does not close holds the server up for %v", took)
	}
	<-r.snd.Done()
	if r.journaled()["after"] {
		t.Error("a request that came after the half-close was taken on")
	}
}

// Those that linger give their places up where these are needed: clients that never close cannot keep others out,
// whether they are silent or send without end.
func TestLingeringGivesItsPlaceUp(t *testing.T) {
	const room = 16
	for name, after := range map[string]func(*guest){
		"silent": func(*guest) {},
		"flood": func(g *guest) {
			for g.say(strings.Repeat("x", 4096)) == nil {
			}
		},
	} {
		r := newRig(t, room, &hooks{})
		for range 2 * room {
			g := r.visit()
			g.say("nonsense\r\n\r\n")
			g.hear(t)
			go after(g)
		}
		begun := time.Now()
		g := r.visit()
		g.say(request("m"))
		if res := g.hear(t); res.StatusCode != 202 {
			t.Errorf("%s: answer %d", name, res.StatusCode)
		}
		if took := time.Since(begun); took > patience {
			t.Errorf("%s: answered after %v among those that linger", name, took)
		}
	}
}

// Answers leave at once: no socket of a client holds small writes back.
func TestNoDelayAtClients(t *testing.T) {
	t.Parallel()
	delays := make(chan bool, 1)
	r := newRig(t, 100, &hooks{halved: func(nc net.Conn) { delays <- delayed(t, nc.(*net.TCPConn)) }})
	g := r.visit()
	g.say("nonsense\r\n\r\n")
	g.hear(t)
	if <-delays {
		t.Error("TCP_NODELAY is not set")
	}
}
