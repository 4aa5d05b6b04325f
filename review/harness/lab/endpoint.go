package lab

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one message that an endpoint has run.
type Run struct {
	Trace, Key, Body string
	At               time.Time
	Endpoint         string
}

// Answer is what an endpoint does with a call.
type Answer struct {
	After      time.Duration // pause before the answer
	Status     int           // 0: never answers
	RetryAfter string        // seconds; empty: none
}

// Endpoint is a stand-in for one endpoint of a partner.
type Endpoint struct {
	Name, Addr string

	lab    *Lab
	server *http.Server
	mu     sync.Mutex
	answer func(trace string) Answer
	runs   []Run
}

// NewEndpoint starts an Endpoint on a free port, or on addr if that is not empty. It answers 200 at once.
func (l *Lab) NewEndpoint(name, addr string) *Endpoint {
	if addr == "" {
		addr = l.Host + ":0"
	}
	var ln net.Listener
	var err error
	if !WaitFor(3*time.Second, func() bool { ln, err = net.Listen("tcp", addr); return err == nil }) {
		l.Fail("endpoint %s: %v", name, err)
	}
	e := &Endpoint{Name: name, Addr: ln.Addr().String(), lab: l, answer: func(string) Answer { return Answer{Status: 200} }}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /inbox", e.serve)
	e.server = &http.Server{Handler: mux}
	go e.server.Serve(ln)
	l.AtEnd(e.Stop)
	return e
}

// Stop ends the endpoint's process: its connections break and new ones are refused.
func (e *Endpoint) Stop() { e.server.Close() }

// Answer sets what the endpoint does from now on.
func (e *Endpoint) Answer(f func(trace string) Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer = f
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the call's last byte has not arrived
	}
	trace := r.Header.Get("X-Trace-Id")
	e.mu.Lock()
	a := e.answer(trace)
	ran := a.Status == 200 || a.Status == 500 || a.Status == 0
	if ran {
		e.runs = append(e.runs, Run{Trace: trace, Key: r.Header.Get("Idempotency-Key"), Body: string(body), At: time.Now(), Endpoint: e.Name})
	}
	e.mu.Unlock()
	e.lab.Note("endpoint %s: call with %s (%d bytes) from %s, ran %v, answer %d after %v", e.Name, trace, len(body), r.RemoteAddr, ran, a.Status, a.After)
	if a.Status == 0 {
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(a.After):
	case <-r.Context().Done():
		return
	}
	if a.RetryAfter != "" {
		w.Header().Set("Retry-After", a.RetryAfter)
	}
	w.Header().Set("Content-Length", strconv.Itoa(0))
	w.WriteHeader(a.Status)
}

// Runs returns what the endpoint has run of a message; of all messages if trace is empty.
func (e *Endpoint) Runs(trace string) (list []Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if trace == "" || r.Trace == trace {
			list = append(list, r)
		}
	}
	return list
}
