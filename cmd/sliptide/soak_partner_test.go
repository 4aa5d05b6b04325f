package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// soakEndpoint is a partner's endpoint that serves one sender, with faults drawn from the seed of the run.
type soakEndpoint struct {
	soak   *soak
	sender int
	dest   int
	ln     net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool

	hungUntil atomic.Int64 // Unix time in nanoseconds until which it answers nothing
}

// hangUntil makes the endpoint answer nothing until then.
func (e *soakEndpoint) hangUntil(at time.Time) { e.hungUntil.Store(at.UnixNano()) }

// soakBehaviour is how an endpoint handles a request.
type soakBehaviour int

const (
	respondOK                soakBehaviour = iota // 200
	respondTwice                                  // 200, and a copy of the answer later
	respondUnavailable                            // 503
	respondRetryAfter                             // 503 with Retry-After
	respondError                                  // 500, after the message took effect
	closeAfterEffect                              // closes the connection after the message took effect
	closeBeforeEffect                             // closes the connection before the message takes effect
	neverRespond                                  // leaves the connection open after the message took effect
	respondWithTrailingBytes                      // 200, followed by bytes that are no answer
	respondPartially                              // the status line alone, then closes the connection
)

// soakMix is the percentage of requests that each behaviour gets.
type soakMix map[soakBehaviour]int

// soakMixes are used in turn: one with all faults, and one with only duplicate answers and some refusals, under which
// most messages are delivered.
var soakMixes = []soakMix{
	{respondOK: 66, respondTwice: 16, respondUnavailable: 4, respondRetryAfter: 1, respondError: 3, closeAfterEffect: 3, closeBeforeEffect: 2, neverRespond: 1, respondWithTrailingBytes: 2, respondPartially: 2},
	{respondOK: 64, respondTwice: 30, respondUnavailable: 6},
}

// hasEffect reports whether the message takes effect.
func (b soakBehaviour) hasEffect() bool {
	return b != respondUnavailable && b != respondRetryAfter && b != closeBeforeEffect
}

// accepts reports whether the sender receives at least the status line of a 200.
func (b soakBehaviour) accepts() bool {
	return b == respondOK || b == respondTwice || b == respondWithTrailingBytes || b == respondPartially
}

func (m soakMix) draw(rng *rand.Rand) soakBehaviour {
	n := rng.IntN(100)
	for behaviour := respondOK; behaviour <= respondPartially; behaviour++ {
		if n -= m[behaviour]; n < 0 {
			return behaviour
		}
	}
	return respondOK
}

// newSoakEndpoint starts an endpoint that serves until the end of the test.
func newSoakEndpoint(t *testing.T, s *soak, sender, dest int) *soakEndpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &soakEndpoint{soak: s, sender: sender, dest: dest, ln: ln, conns: map[net.Conn]bool{}}
	go e.accept()
	t.Cleanup(func() {
		ln.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		for nc := range e.conns {
			nc.Close()
		}
	})
	return e
}

func (e *soakEndpoint) accept() {
	for {
		nc, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[nc] = true
		e.mu.Unlock()
		go e.serve(nc)
	}
}

// soakRequest is one request that an endpoint has read.
type soakRequest struct {
	id string // empty for a probe
	at time.Time
}

// readRequests reads requests ahead of serve, so that a close of the connection is seen while a request is served.
func (e *soakEndpoint) readRequests(nc net.Conn, requests chan<- soakRequest) {
	defer close(requests)
	r := bufio.NewReader(nc)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		requests <- soakRequest{id: q.Header.Get("X-Trace-Id"), at: time.Now()}
	}
}

// serve answers the requests of one connection, one at a time, each with a behaviour drawn at random.
func (e *soakEndpoint) serve(nc net.Conn) {
	requests := make(chan soakRequest, 4)
	go e.readRequests(nc, requests)
	defer func() {
		nc.Close()
		e.mu.Lock()
		delete(e.conns, nc)
		e.mu.Unlock()
		for range requests { // unblocks the reader
		}
	}()
	var pendingCopy string // copy of an answer, written when the next request arrives
	for q := range requests {
		io.WriteString(nc, pendingCopy)
		pendingCopy = ""
		if q.id == "" {
			io.WriteString(nc, okResponse)
			continue
		}
		rng := e.soak.draw()
		behaviour := e.soak.mix.draw(rng)
		c := e.soak.attemptStarted(e, q)
		if behaviour.hasEffect() && !e.soak.takeEffect(q.id) {
			behaviour = respondOK // the partner deduplicates: a repeat is answered at once
		} else if !e.process(requests, time.Duration(40+rng.IntN(120))*time.Millisecond) {
			e.soak.attemptEnded(c)
			return
		}
		if behaviour == neverRespond {
			for range requests { // until the sender closes the connection
			}
			e.soak.attemptEnded(c)
			return
		}
		text, keepAlive := responseText(behaviour, rng)
		if behaviour == respondRetryAfter {
			e.soak.waitRequested(e)
		}
		e.soak.attemptEnded(c)
		if _, err := io.WriteString(nc, text); err == nil && behaviour.accepts() {
			e.soak.messageDelivered(q.id)
		}
		if !keepAlive {
			return
		}
		if behaviour == respondTwice {
			if variant := rng.IntN(3); variant == 0 {
				pendingCopy = okResponse
			} else {
				time.AfterFunc(time.Duration(rng.IntN(10+variant*variant*30))*time.Millisecond, func() { io.WriteString(nc, okResponse) })
			}
		}
	}
}

// process waits for the duration of a call, longer while the endpoint hangs, and reports whether the connection is still open then.
func (e *soakEndpoint) process(requests <-chan soakRequest, d time.Duration) bool {
	d = max(d, time.Until(time.Unix(0, e.hungUntil.Load())))
	select {
	case _, open := <-requests:
		if open {
			e.soak.violation("a second request on a connection with a call in flight")
		}
		return false
	case <-time.After(d):
		return true
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// soakRetryAfter is the wait that an endpoint requests.
const soakRetryAfter = 700 * time.Millisecond

// responseText returns the bytes that a behaviour writes, and whether the connection stays open.
func responseText(behaviour soakBehaviour, rng *rand.Rand) (text string, keepAlive bool) {
	switch behaviour {
	case respondUnavailable:
		return "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", true
	case respondRetryAfter:
		return fmt.Sprintf("HTTP/1.1 503 Full\r\nRetry-After: %.3f\r\nContent-Length: 0\r\n\r\n", soakRetryAfter.Seconds()), true
	case respondError:
		return "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", true
	case closeAfterEffect, closeBeforeEffect:
		return "", false
	case respondWithTrailingBytes:
		return okResponse + "HTTP/1.1 2"[:1+rng.IntN(9)], true
	case respondPartially:
		return "HTTP/1.1 200 OK\r\n", false
	}
	return okResponse, true
}
