// Package admin serves the operators' address: HTTP/1.1, one call a connection, every answer within a
// second whatever the load. 2xx is yes, 4xx and 5xx are no, with a reason in one line of text.
//
//	GET  /ready              yes while this process takes clients
//	POST /endpoints/disable  body ID: the endpoint counts as draining for this sender until enabled
//	POST /endpoints/enable   body ID: it may serve again
//	POST /drain              send clients away
//	POST /undrain            back to work
//
// A caller that sends nothing, or half a call, is cut off when its time is up and holds nothing after.
// Connections are bounded: where all places are held, the caller that has waited longest without a whole
// call gives its place up to the newcomer.
package admin

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/http1"
	"sliptide/internal/operate"
)

// Bounds of the address.
const (
	CallTimeout = 600 * time.Millisecond  // a whole call must have come by then, from the accept
	answerFor   = 250 * time.Millisecond  // and its answer written within this
	MaxConns    = 16                      // connections at once
	maxBody     = operate.MaxIDLength + 2 // an id, with a line end
	acceptRest  = 5 * time.Millisecond    // after an accept that failed: descriptors may be short
)

// ErrBusy is the error of a call that could not be carried out in its time.
var ErrBusy = errors.New("the sender did not take the call in time")

// Calls are what the address does. Each must return well within CallWithin; an error is a no.
type Handlers struct {
	Ready   func() bool
	Disable func(id string) error
	Enable  func(id string) error
	Drain   func()
	Undrain func()
}

// Server is the operators' address.
type Server struct {
	calls Handlers
	log   zerolog.Logger
	room  chan struct{}
	wg    sync.WaitGroup

	mu      sync.Mutex
	reading []net.Conn // whose call has not come whole, oldest first
}

// New returns a Server that carries out calls.
func New(calls Handlers, log zerolog.Logger) *Server {
	return &Server{calls: calls, log: log, room: make(chan struct{}, MaxConns)}
}

// Serve accepts connections until the listener is closed, then waits for those that are open.
func (s *Server) Serve(ln net.Listener) {
	defer s.wg.Wait()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.Warn().Err(err).Msg("admin: accept")
			time.Sleep(acceptRest)
			continue
		}
		s.place()
		s.mu.Lock()
		s.reading = append(s.reading, nc)
		s.mu.Unlock()
		s.wg.Add(1)
		go s.serve(nc)
	}
}

// place takes a place for a newcomer. Where none is free, the oldest caller still without a whole call is
// cut off: each place is free within CallWithin anyway, and a silent crowd must not keep an operator out.
func (s *Server) place() {
	for {
		select {
		case s.room <- struct{}{}:
			return
		default:
		}
		s.mu.Lock()
		if len(s.reading) > 0 {
			s.reading[0].SetReadDeadline(time.Unix(1, 0))
			s.reading = s.reading[1:]
		}
		s.mu.Unlock()
		select {
		case s.room <- struct{}{}:
			return
		case <-time.After(acceptRest):
		}
	}
}

// whole notes that a connection's call has come, or never will.
func (s *Server) whole(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.reading {
		if c == nc {
			s.reading = append(s.reading[:i], s.reading[i+1:]...)
			return
		}
	}
}

func (s *Server) serve(nc net.Conn) {
	defer func() {
		nc.Close()
		<-s.room
		s.wg.Done()
	}()
	begun := time.Now()
	nc.SetReadDeadline(begun.Add(CallTimeout))
	m, err := http1.NewReader(nc).ReadRequest()
	s.whole(nc)
	var a answer
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return // it sent nothing, or not all: nobody waits for an answer that could say anything
	case errors.Is(err, http1.ErrTooLarge):
		a = answer{413, "a call's body is an endpoint id at most"}
	case errors.Is(err, http1.ErrNoLength) && m.Headers.Get("Transfer-Encoding") != nil:
		a = answer{411, "a call's body goes with Content-Length"}
	case errors.Is(err, http1.ErrNoLength): // RFC 9112, 6.3: a request without either has no body
		a = s.route(m)
	case err != nil:
		a = answer{400, "not an HTTP/1.1 request"}
	default:
		a = s.route(m)
	}
	b := http1.AppendStatusLine(nil, a.status)
	b = http1.AppendHeader(b, "Connection", "close")
	b = http1.AppendHeader(b, "Content-Type", "text/plain")
	b = http1.AppendBody(b, []byte(a.text+"\n"))
	nc.SetWriteDeadline(time.Now().Add(answerFor))
	nc.Write(b)
	if a.status >= 300 {
		s.log.Info().Int("status", a.status).Str("reason", a.text).Msg("admin: a call was refused")
	}
}

type answer struct {
	status int
	text   string
}

// route carries out one call.
func (s *Server) route(m *http1.Message) answer {
	path, _, _ := bytes.Cut(m.Path, []byte("?"))
	method := "POST"
	if string(path) == "/ready" {
		method = "GET"
	}
	switch string(path) {
	case "/ready", "/endpoints/disable", "/endpoints/enable", "/drain", "/undrain":
	default:
		return answer{404, "no such call: /ready, /endpoints/disable, /endpoints/enable, /drain, /undrain"}
	}
	if string(m.Method) != method {
		return answer{405, method + " is the method of " + string(path)}
	}
	if len(m.Body) > maxBody {
		return answer{413, "a call's body is an endpoint id at most"}
	}
	switch string(path) {
	case "/ready":
		if !s.calls.Ready() {
			return answer{503, "not taking clients"}
		}
		return answer{200, "ready"}
	case "/drain":
		s.calls.Drain()
		return answer{200, "sending clients away"}
	case "/undrain":
		s.calls.Undrain()
		return answer{200, "taking clients"}
	}
	id := string(bytes.TrimSpace(m.Body))
	if err := operate.CheckID(id); err != nil {
		return answer{400, err.Error()}
	}
	do, done := s.calls.Disable, "taken out: "
	if string(path) == "/endpoints/enable" {
		do, done = s.calls.Enable, "may serve again: "
	}
	switch err := do(id); {
	case errors.Is(err, operate.ErrNeverListed):
		return answer{404, err.Error() + ": " + id}
	case errors.Is(err, operate.ErrTooManyDisabled):
		return answer{409, err.Error()}
	case err != nil:
		return answer{503, err.Error()}
	}
	return answer{200, done + id}
}
