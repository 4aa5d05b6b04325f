// Package admin serves the operators' address: HTTP/1.1, one request per connection, each answered within one second
// under any load. 2xx reports success; 4xx and 5xx report failure, with the reason in one line of text.
//
//	GET  /ready              200 while this process accepts clients, otherwise 503
//	POST /endpoints/disable  body: an endpoint id; the endpoint counts as draining for this sender until enabled
//	POST /endpoints/enable   body: an endpoint id; the endpoint may serve again
//	POST /drain              turn clients away
//	POST /undrain            accept clients again
//
// A connection that does not send a whole request in time is closed, which frees its slot. The number of connections
// is bounded: if all slots are in use, a new connection evicts the oldest one whose request is incomplete.
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

// Limits of the server.
const (
	CallTimeout      = 600 * time.Millisecond  // for reading a whole request, once its connection has a slot
	answerTimeout    = 250 * time.Millisecond  // for writing the answer
	MaxConns         = 16                      // connections at once
	maxBody          = operate.MaxIDLength + 2 // an id and a line end
	acceptRetryDelay = 5 * time.Millisecond    // pause after a failed accept (no free descriptor), or without a free slot
)

// ErrBusy reports that the sender did not carry out a call in time.
var ErrBusy = errors.New("the sender did not take the call in time")

// Handlers carry out the calls. They are called concurrently. Each must return well within CallTimeout; an error
// becomes an answer of 4xx or 5xx.
type Handlers struct {
	Ready   func() bool
	Disable func(id string) error
	Enable  func(id string) error
	Drain   func()
	Undrain func()
}

// Server serves the operators' address.
type Server struct {
	handlers Handlers
	log      zerolog.Logger
	slots    chan struct{}
	wg       sync.WaitGroup

	mu         sync.Mutex
	incomplete []net.Conn // connections whose request is incomplete, oldest first
}

// New returns a Server that passes calls to the handlers.
func New(handlers Handlers, log zerolog.Logger) *Server {
	return &Server{handlers: handlers, log: log, slots: make(chan struct{}, MaxConns)}
}

// Serve accepts connections until the listener is closed, then waits until the open ones have ended.
func (s *Server) Serve(ln net.Listener) {
	defer s.wg.Wait()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.Warn().Err(err).Msg("admin: accepting a connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.acquireSlot()
		s.mu.Lock()
		s.incomplete = append(s.incomplete, nc)
		s.mu.Unlock()
		s.wg.Add(1)
		go s.serve(nc)
	}
}

// acquireSlot waits for a slot for a new connection. If none is free, it expires the read deadline of the oldest
// connection whose request is incomplete: its slot would become free after CallTimeout anyway, but silent
// connections must not keep an operator out until then.
func (s *Server) acquireSlot() {
	for {
		select {
		case s.slots <- struct{}{}:
			return
		default:
		}
		s.mu.Lock()
		if len(s.incomplete) > 0 {
			s.incomplete[0].SetReadDeadline(time.Unix(1, 0))
			s.incomplete = s.incomplete[1:]
		}
		s.mu.Unlock()
		select {
		case s.slots <- struct{}{}:
			return
		case <-time.After(acceptRetryDelay):
		}
	}
}

// requestDone removes a connection from incomplete, once its request has been read or has failed.
func (s *Server) requestDone(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.incomplete {
		if c == nc {
			s.incomplete = append(s.incomplete[:i], s.incomplete[i+1:]...)
			return
		}
	}
}

// serve answers the request of one connection, then closes the connection and frees its slot.
func (s *Server) serve(nc net.Conn) {
	defer func() {
		nc.Close()
		<-s.slots
		s.wg.Done()
	}()
	start := time.Now()
	nc.SetReadDeadline(start.Add(CallTimeout))
	m, err := http1.NewReader(nc).ReadRequest()
	s.requestDone(nc)
	var a answer
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return // the request is incomplete, so there is nothing to answer
	case errors.Is(err, http1.ErrTooLarge):
		a = answer{413, "a call's body is an endpoint id at most"}
	case errors.Is(err, http1.ErrNoLength) && m.Headers.Get("Transfer-Encoding") != nil:
		a = answer{411, "a call's body goes with Content-Length"}
	case errors.Is(err, http1.ErrNoLength): // no Transfer-Encoding either, so it has no body (RFC 9112, 6.3)
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
	nc.SetWriteDeadline(time.Now().Add(answerTimeout))
	nc.Write(b)
	if a.status >= 300 {
		s.log.Info().Int("status", a.status).Str("reason", a.text).Msg("admin: request refused")
	}
}

type answer struct {
	status int
	text   string
}

// route carries out one request and returns its answer.
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
		if !s.handlers.Ready() {
			return answer{503, "not taking clients"}
		}
		return answer{200, "ready"}
	case "/drain":
		s.handlers.Drain()
		return answer{200, "sending clients away"}
	case "/undrain":
		s.handlers.Undrain()
		return answer{200, "taking clients"}
	}
	id := string(bytes.TrimSpace(m.Body))
	if err := operate.CheckID(id); err != nil {
		return answer{400, err.Error()}
	}
	handle, confirmation := s.handlers.Disable, "taken out: "
	if string(path) == "/endpoints/enable" {
		handle, confirmation = s.handlers.Enable, "may serve again: "
	}
	switch err := handle(id); {
	case errors.Is(err, operate.ErrNeverListed):
		return answer{404, err.Error() + ": " + id}
	case errors.Is(err, operate.ErrTooManyDisabled):
		return answer{409, err.Error()}
	case err != nil:
		return answer{503, err.Error()}
	}
	return answer{200, confirmation + id}
}
