package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// soakEndpoint is an endpoint of one partner as one sender reaches it, with faults drawn from the soak's seed.
type soakEndpoint struct {
	soak   *soak
	sender int
	dest   int
	ln     net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// soakAct is what an endpoint does with a request.
type soakAct int

const (
	actAnswer soakAct = iota // 200
	actRepeat                // 200, and a copy of it later
	actFull                  // 503
	actWait                  // 503 that tells a wait
	actError                 // 500, which has run
	actReset                 // the connection ends, it has run
	actDrop                  // the connection ends, it has not run
	actHang                  // nothing more comes on this connection, it has run
	actNoise                 // 200, and bytes behind it that are no answer
	actHalf                  // a first line alone, then the end
)

// soakMix is how many of a hundred requests each act gets.
type soakMix map[soakAct]int

// soakMixes are played in turn: all faults, and repeated answers with some refusals alone, under which most is delivered.
var soakMixes = []soakMix{
	{actAnswer: 66, actRepeat: 16, actFull: 4, actWait: 1, actError: 3, actReset: 3, actDrop: 2, actHang: 1, actNoise: 2, actHalf: 2},
	{actAnswer: 64, actRepeat: 30, actFull: 6},
}

// runs reports whether the message takes effect.
func (a soakAct) runs() bool { return a != actFull && a != actWait && a != actDrop }

// delivers reports whether the sender is told that the message is taken on.
func (a soakAct) delivers() bool {
	return a == actAnswer || a == actRepeat || a == actNoise || a == actHalf
}

func (m soakMix) draw(rng *rand.Rand) soakAct {
	n := rng.IntN(100)
	for act := actAnswer; act <= actHalf; act++ {
		if n -= m[act]; n < 0 {
			return act
		}
	}
	return actAnswer
}

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

// soakRequest is one request, or the end of its connection.
type soakRequest struct {
	id string // empty: a probe
	at time.Time
}

// read reads requests ahead, so that the end of the connection is seen while one is served.
func (e *soakEndpoint) read(nc net.Conn, requests chan<- soakRequest) {
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

// serve answers the requests of one connection, one at a time, with what the seed draws.
func (e *soakEndpoint) serve(nc net.Conn) {
	requests := make(chan soakRequest, 4)
	go e.read(nc, requests)
	defer func() {
		nc.Close()
		e.mu.Lock()
		delete(e.conns, nc)
		e.mu.Unlock()
		for range requests { // what the reader still holds
		}
	}()
	var stale string // a copy to be written as the next request arrives
	for q := range requests {
		io.WriteString(nc, stale)
		stale = ""
		if q.id == "" {
			io.WriteString(nc, okAnswer)
			continue
		}
		rng := e.soak.draw()
		act := e.soak.mix.draw(rng)
		c := e.soak.called(e, q)
		if act.runs() && !e.soak.effect(q.id) {
			act = actAnswer // the partner knows it: a repeat is answered at once
		} else if !e.work(requests, time.Duration(40+rng.IntN(120))*time.Millisecond) {
			e.soak.over(c)
			return
		}
		if act == actHang {
			for range requests { // until the sender ends it
			}
			e.soak.over(c)
			return
		}
		text, more := answerOf(act, rng)
		if act == actWait {
			e.soak.tellWait(e)
		}
		e.soak.over(c)
		if _, err := io.WriteString(nc, text); err == nil && act.delivers() {
			e.soak.delivered(q.id)
		}
		if !more {
			return
		}
		if act == actRepeat {
			if when := rng.IntN(3); when == 0 {
				stale = okAnswer
			} else {
				time.AfterFunc(time.Duration(rng.IntN(10+when*when*30))*time.Millisecond, func() { io.WriteString(nc, okAnswer) })
			}
		}
	}
}

// work takes the time of a call, and reports whether the connection is still there then.
func (e *soakEndpoint) work(requests <-chan soakRequest, d time.Duration) bool {
	select {
	case _, open := <-requests:
		if open {
			e.soak.breach("a further request on a connection that carries a call")
		}
		return false
	case <-time.After(d):
		return true
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// soakWait is the wait that an endpoint tells.
const soakWait = 700 * time.Millisecond

// answerOf is what an act writes, and whether the connection goes on.
func answerOf(act soakAct, rng *rand.Rand) (text string, more bool) {
	switch act {
	case actFull:
		return "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", true
	case actWait:
		return fmt.Sprintf("HTTP/1.1 503 Full\r\nRetry-After: %.3f\r\nContent-Length: 0\r\n\r\n", soakWait.Seconds()), true
	case actError:
		return "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", true
	case actReset, actDrop:
		return "", false
	case actNoise:
		return okAnswer + "HTTP/1.1 2"[:1+rng.IntN(9)], true
	case actHalf:
		return "HTTP/1.1 200 OK\r\n", false
	}
	return okAnswer, true
}
