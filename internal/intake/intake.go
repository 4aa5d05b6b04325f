// Package intake is the HTTP server that clients call. It reads and validates the messages that they submit, passes
// them to the sender and answers with the sender's decision.
package intake

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/http1"
	"sliptide/internal/sender"
	"sliptide/policy"
)

const (
	idleTimeout         = 30 * time.Second        // for a connection between requests
	minIdleAge          = 2 * time.Second         // minimum age in state idle before eviction
	minSingleUseAge     = 20 * time.Millisecond   // minimum age in state idleSingleUse before eviction
	minReadingAge       = 100 * time.Millisecond  // minimum age in state reading before eviction: clients write at once
	firstByteTimeout    = 2 * time.Second         // from accept to the first byte
	minSilentAge        = 100 * time.Millisecond  // minimum age in state silent before eviction: clients write at once
	firstRequestTimeout = 2500 * time.Millisecond // from accept to the end of the first request; its answer is due in 3 s
	readTimeout         = 2 * time.Second         // for a later request, from its first byte to its end
	writeTimeout        = time.Second             // for an answer
	finalReadTimeout    = 10 * time.Millisecond   // for a request that arrives just as its connection is asked to close
	lingerTimeout       = time.Second             // for reading after the half-close
	shortLingerTimeout  = 50 * time.Millisecond   // for reading after the half-close while the slot is needed
	maxLingerBytes      = 256 << 10               // read after the half-close
	clientTimeout       = 400 * time.Millisecond  // a client stops waiting for its answer after this time
	pollInterval        = 5 * time.Millisecond    // between checks of a waiting loop; also after an accept error
	acceptLogInterval   = time.Second             // minimum time between two log lines on accept errors
	maxReservedSlots    = 16                      // slots kept free for new connections; fewer on a small server
	drainInterval       = 50 * time.Millisecond   // between two checks of all connections during a drain
	drainSilentDelay    = 200 * time.Millisecond  // a drain or shutdown closes a silent new connection after this time
	drainReadingDelay   = time.Second             // a drain or shutdown ends an incomplete request after this time
)

// Server accepts clients' connections and answers their requests.
type Server struct {
	settings   *policy.Settings
	sender     *sender.Sender
	log        zerolog.Logger
	slots      *quota // one for each connection
	ready      atomic.Bool
	refusing   atomic.Bool   // no further message is accepted
	drainCount atomic.Uint64 // incremented by Drain and Undrain: odd during a drain, which it identifies

	bodies       *bodyMemory
	lastEviction time.Time // used by reserveSlot only
	now          func() time.Time

	mu          sync.Mutex
	conns       map[*clientConn]bool
	acceptLoops int // running calls of Serve
}

// The states of a connection, in order of eviction. Closing a connection that was used once costs its client nothing;
// the client of a silent connection may be about to send its first request. Connections in the states serving and
// closing are not evicted. Many clients submit one message and keep their connection open for good: idleSingleUse is
// the state of these.
const (
	idleSingleUse = iota // between requests, with fewer than two messages accepted
	reading              // a request is arriving
	silent               // no byte has arrived yet
	idle                 // between requests, with two or more messages accepted
	serving              // a request is being answered
	closing              // half-closed: further bytes are read and discarded
)

// minAges holds, by state, how long a connection stays in its state before it may be evicted.
var minAges = [...]time.Duration{
	silent: minSilentAge, reading: minReadingAge, idleSingleUse: minSingleUseAge, idle: minIdleAge,
}

// clientConn is a connection from a client.
type clientConn struct {
	nc             net.Conn
	reader         *http1.Reader
	writeBuf       []byte
	acceptedAt     time.Time
	hadRequest     bool
	accepted       int        // number of accepted messages
	mu             sync.Mutex // guards the fields below and the read deadline of nc
	state          int
	since          time.Time // when the connection entered its state
	closeRequested bool      // the connection closes unless a request is arriving
}

// Limits bounds what clients can use at a time.
type Limits struct {
	Conns     int   // connections
	BodyBytes int64 // memory of the requests that do not fit into the buffers of their connections
}

// New returns a Server that serves clients within the limits.
func New(settings *policy.Settings, sender *sender.Sender, limits Limits, log zerolog.Logger) *Server {
	s := &Server{
		settings: settings, sender: sender, log: log, slots: newQuota(int64(limits.Conns)),
		conns: map[*clientConn]bool{}, now: time.Now,
	}
	s.bodies = newBodyMemory(limits.BodyBytes, s.evictReading)
	return s
}

// SetReady makes the server accept messages, and lets /up answer 200.
func (s *Server) SetReady() { s.ready.Store(true) }

// Available reports whether clients should send to this process: it is ready, and neither stopping nor draining.
func (s *Server) Available() bool {
	return s.ready.Load() && !s.refusing.Load() && s.drainCount.Load()%2 == 0
}

// Drain moves clients away from this process, at an operator's request: /up answers 503, so that the load balancer
// stops sending, each answer closes its connection, and connections without a request are closed. Messages that
// arrive meanwhile are still accepted: the load balancer goes on sending for a while, and so does a client on a
// persistent connection until that closes.
func (s *Server) Drain() {
	for {
		n := s.drainCount.Load()
		if n%2 == 1 {
			return
		}
		if s.drainCount.CompareAndSwap(n, n+1) {
			go s.drainConns(n + 1)
			return
		}
	}
}

// Undrain ends a drain: /up answers 200 again and connections are kept open.
func (s *Server) Undrain() {
	for {
		n := s.drainCount.Load()
		if n%2 == 0 || s.drainCount.CompareAndSwap(n, n+1) {
			return
		}
	}
}

// drainConns runs until the drain with that number ends, and meanwhile asks connections that carry no request to close.
func (s *Server) drainConns(drainNum uint64) {
	for s.drainCount.Load() == drainNum {
		s.mu.Lock()
		for c := range s.conns {
			c.requestCloseIfUnused()
		}
		s.mu.Unlock()
		time.Sleep(drainInterval)
	}
}

// requestCloseIfUnused asks a connection that carries no request to close: an idle one at once, a new one only after
// its client has had time to write a request, and one whose request is incomplete after drainReadingDelay. Without
// the delay a new client could find its connection closed, without an answer, as its first request arrives.
func (c *clientConn) requestCloseIfUnused() {
	c.requestClose(idleSingleUse, 0)
	c.requestClose(idle, 0)
	c.requestClose(silent, drainSilentDelay)
	c.requestClose(reading, drainReadingDelay)
}

// Serve accepts connections from ln until it is closed. Only one Serve may run at a time, since reserveSlot does not
// lock lastEviction.
func (s *Server) Serve(ln net.Listener) {
	s.addAcceptLoops(1)
	defer s.addAcceptLoops(-1)
	var lastLogged time.Time
	for {
		s.reserveSlot()
		nc, err := ln.Accept()
		if err != nil {
			s.slots.release(1)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if time.Since(lastLogged) >= acceptLogInterval {
				lastLogged = time.Now()
				s.log.Warn().Err(err).Msg("cannot accept a client connection, retrying")
			}
			time.Sleep(pollInterval) // file descriptors may be exhausted until another connection closes
			continue
		}
		c := &clientConn{nc: nc, reader: http1.NewReader(nc), acceptedAt: time.Now()}
		c.reader.SetMemory(s.bodies)
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) addAcceptLoops(n int) {
	s.mu.Lock()
	s.acceptLoops += n
	s.mu.Unlock()
}

// awaitRequest returns when a request begins to arrive. A request that arrives just as the connection is asked to close
// is still served.
func (c *clientConn) awaitRequest() error {
	switch {
	case !c.hadRequest:
		c.setState(silent, c.acceptedAt.Add(firstByteTimeout))
	case c.accepted < 2:
		c.setState(idleSingleUse, time.Now().Add(idleTimeout))
	default:
		c.setState(idle, time.Now().Add(idleTimeout))
	}
	err := c.reader.Wait()
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.nc.SetReadDeadline(time.Now().Add(finalReadTimeout))
		err = c.reader.Wait()
	}
	if !c.hadRequest {
		c.setState(reading, c.acceptedAt.Add(firstRequestTimeout))
	} else {
		c.setState(reading, time.Now().Add(readTimeout))
	}
	return err
}

// setState changes the connection's state and sets the read deadline for that state.
func (c *clientConn) setState(state int, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since, c.closeRequested = state, time.Now(), false
	c.nc.SetReadDeadline(deadline)
}

// RefuseMessages makes the server answer 503 to every message that is submitted from now on.
func (s *Server) RefuseMessages() { s.refusing.Store(true) }

// Shutdown closes the connections that carry no request, and returns when no more messages can be submitted: no Serve
// is running and every request that was read is answered. A request that stays incomplete is answered 503 after
// RefuseMessages, otherwise 408. The listeners must be closed before or during Shutdown.
//
// A connection is half-closed first. What the client still sends is read and discarded, which may go on after Shutdown
// has returned, until the client closes its side too.
func (s *Server) Shutdown(ctx context.Context) { poll(ctx, s.closeUnused) }

// poll returns when ok returns true, or when the context ends.
func poll(ctx context.Context, ok func() bool) {
	for !ok() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

// closeUnused asks all connections that carry no request to close, and reports whether no message can be submitted any
// more: no Serve is running and all connections are half-closed. Serve registers an accepted connection before it can
// return, so that none is overlooked.
func (s *Server) closeUnused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := s.acceptLoops == 0
	for c := range s.conns {
		c.requestCloseIfUnused()
		done = done && c.isClosing()
	}
	return done
}

// WaitClosed returns when every connection is closed, by its client or after lingerTimeout, or when the context ends.
func (s *Server) WaitClosed(ctx context.Context) {
	poll(ctx, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 0
	})
}

// isClosing reports whether the connection is half-closed: no further request on it is served.
func (c *clientConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == closing
}

// serve answers the requests of a connection until it closes, and then frees its slot.
func (s *Server) serve(c *clientConn) {
	defer func() {
		c.reader.Release()
		c.nc.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.slots.release(1)
	}()
	for s.serveRequest(c) {
	}
	c.reader.Release()
	c.linger()
}

// serveRequest serves one request and reports whether the connection stays open.
func (s *Server) serveRequest(c *clientConn) bool {
	if err := c.awaitRequest(); err != nil {
		// The first request of a new connection may arrive while the connection is being closed: this answers it.
		if !c.hadRequest && errors.Is(err, os.ErrDeadlineExceeded) {
			c.writeResponse(&response{status: 503, retryAfterMS: stoppingRetryMS}, false)
		}
		return false
	}
	req, err := c.reader.ReadRequest()
	received := s.now()
	c.setState(serving, time.Time{})
	c.hadRequest = true
	if err != nil {
		return s.rejectUnreadable(c, err)
	}
	r := s.route(req, received)
	if r.messageNum != 0 {
		c.accepted++
		// The client is about to give up and to resubmit the message to another sender, so that it has to be refused.
		// The clock is read before the answer is written, not after: a message whose acceptance reached its client
		// must not be withdrawn.
		if s.now().Sub(received) > clientTimeout {
			s.withdraw(&r)
			r = response{status: 503, retryAfterMS: stoppingRetryMS}
		}
	}
	keepAlive := !req.Close && !s.refusing.Load() && s.drainCount.Load()%2 == 0 && !r.closeConn
	if err := c.writeResponse(&r, keepAlive); err != nil {
		s.withdraw(&r)
		return false
	}
	return keepAlive
}

// withdraw takes back an accepted message whose client was not told of the acceptance: the client may resubmit it to
// another sender.
func (s *Server) withdraw(r *response) {
	if r.messageNum != 0 {
		s.sender.Withdraw(r.messageNum)
	}
}

// rejectUnreadable answers a request that could not be read, if an answer is possible. It returns false: the connection
// must be closed.
func (s *Server) rejectUnreadable(c *clientConn, err error) bool {
	r := response{}
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		r.status = 413
	case errors.Is(err, http1.ErrNoLength):
		r.status = 411
	case errors.Is(err, http1.ErrNoMemory): // nothing is wrong with the request: the client may submit it again
		r = response{status: 503, retryAfterMS: stoppingRetryMS}
	case errors.Is(err, http1.ErrMalformed):
		r.status = 400
	case errors.Is(err, os.ErrDeadlineExceeded) && s.refusing.Load(): // the client may submit it to another sender
		r = response{status: 503, retryAfterMS: stoppingRetryMS}
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.status = 408
	default:
		return false
	}
	c.writeResponse(&r, false)
	return false
}

// linger half-closes the connection and discards what the client still sends, up to lingerTimeout and maxLingerBytes.
// Closing at once would reset the connection if bytes are unread or arrive at that moment (a request on an idle
// connection, the rest of a refused one), and the client could lose an answer that is still on its way.
func (c *clientConn) linger() {
	c.mu.Lock()
	c.state, c.since, c.closeRequested = closing, time.Now(), false
	c.nc.SetReadDeadline(c.since.Add(lingerTimeout))
	c.mu.Unlock()
	if tc, ok := c.nc.(interface{ CloseWrite() error }); ok && tc.CloseWrite() != nil {
		return // the client has closed the connection
	}
	var b [4096]byte
	for n := 0; n < maxLingerBytes; {
		k, err := c.nc.Read(b[:])
		if err != nil {
			return
		}
		n += k
	}
}

// response is the answer to a request.
type response struct {
	status       int
	retryAfterMS float64 // value of Retry-After in milliseconds; 0 = no such header
	allow        string
	text         string
	closeConn    bool
	messageNum   uint64 // number of the accepted message; 0 = none was accepted
	// servedBy lists the senders that serve the message's destination if this one does not.
	servedBy []string
}

// writeResponse writes an answer; without keepAlive it tells the client that the connection closes.
func (c *clientConn) writeResponse(r *response, keepAlive bool) error {
	b := http1.AppendStatusLine(c.writeBuf[:0], r.status)
	if r.retryAfterMS > 0 {
		b = http1.AppendSeconds(b, "Retry-After", r.retryAfterMS)
	}
	if len(r.servedBy) > 0 {
		b = http1.AppendHeader(b, "X-Belongs-To", strings.Join(r.servedBy, ", "))
	}
	if r.allow != "" {
		b = http1.AppendHeader(b, "Allow", r.allow)
	}
	if !keepAlive {
		b = http1.AppendHeader(b, "Connection", "close")
	}
	if r.text != "" {
		b = http1.AppendHeader(b, "Content-Type", "text/plain")
		r.text += "\n"
	}
	c.writeBuf = http1.AppendBody(b, []byte(r.text))
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.nc.Write(c.writeBuf)
	return err
}
