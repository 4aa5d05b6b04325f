// Package intake serves clients: it reads what they hand in, checks it, and
// answers with the sender's verdict.
package intake

import (
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"slices"
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
	idleTimeout         = 30 * time.Second        // a connection between requests
	minIdleAge          = 2 * time.Second         // one may be closed for want of room after this
	minSingleUseAge     = 20 * time.Millisecond   // or this, if it has not handed in two messages
	minReadingAge       = 100 * time.Millisecond  // a request that takes so long to arrive gives its place up: clients write it whole
	firstByteTimeout    = 2 * time.Second         // a new one says nothing for so long
	minSilentAge        = 100 * time.Millisecond  // and may be closed for want of room after this: clients write at once
	firstRequestTimeout = 2500 * time.Millisecond // its first request is there by then; an answer is owed within 3 s
	readTimeout         = 2 * time.Second         // a later request, from its first byte
	writeTimeout        = time.Second             // an answer
	finalReadTimeout    = 10 * time.Millisecond
	lingerTimeout       = time.Second            // what a client still sends is read so long after the half-close,
	shortLingerTimeout  = 50 * time.Millisecond  // or this, where its place is needed,
	maxLingerBytes      = 256 << 10              // and no more bytes of it
	clientTimeout       = 400 * time.Millisecond // how long a client waits for its answer
	pollInterval        = 5 * time.Millisecond
	acceptLogInterval   = time.Second            // between two lines on connections that can't be accepted
	maxReservedSlots    = 16                     // places that are kept free where there are many
	drainInterval       = 50 * time.Millisecond  // while clients are sent away, connections are looked at so often;
	drainSilentDelay    = 200 * time.Millisecond // a new one that says nothing for so long is closed,
	drainReadingDelay   = time.Second            // and one whose request has not come whole in so long
)

// Server accepts clients' connections.
type Server struct {
	settings   *policy.Settings
	sender     *sender.Sender
	log        zerolog.Logger
	slots      chan struct{} // one token for each connection
	ready      atomic.Bool
	refusing   atomic.Bool   // nothing more is taken on
	drainCount atomic.Uint64 // odd while clients are sent away by hand: the number of that drain

	lastEviction time.Time // of makeRoom alone
	now          func() time.Time

	mu          sync.Mutex
	conns       map[*clientConn]bool
	acceptLoops int // loops of Serve
}

// The states of a connection, in the order in which it may be closed for want of room. One
// that has asked once costs its client nothing; one that is silent may be about to ask.
const (
	idleSingleUse = iota // idle, and has not handed in two messages: many ask once and keep their connection for good
	reading              // a request arrives
	silent               // nothing has come yet
	idle                 // between requests
	serving              // a request is being answered
	closing              // half-closed: what still comes is read and dropped
)

// least is how long a connection is in its state before it may be closed for want of room.
var minAges = [...]time.Duration{silent: minSilentAge, reading: minReadingAge, idleSingleUse: minSingleUseAge, idle: minIdleAge}

// client is one connection.
type clientConn struct {
	nc             net.Conn
	reader         *http1.Reader
	writeBuf       []byte
	acceptedAt     time.Time
	hadRequest     bool       // it has had a request
	submitted      int        // messages handed in
	mu             sync.Mutex // over the three below and the read deadline
	state          int
	since          time.Time // of its state
	closeRequested bool      // to close, if nothing is on its way
}

// New returns a Server with room for that many connections.
func New(settings *policy.Settings, sender *sender.Sender, maxConns int, log zerolog.Logger) *Server {
	return &Server{settings: settings, sender: sender, log: log, slots: make(chan struct{}, maxConns), conns: map[*clientConn]bool{}, now: time.Now}
}

// SetReady makes /up answer 200.
func (s *Server) SetReady() { s.ready.Store(true) }

// Available reports whether this process takes clients: it is ready, and neither stops nor sends them away.
func (s *Server) Available() bool {
	return s.ready.Load() && !s.refusing.Load() && s.drainCount.Load()%2 == 0
}

// Drain sends clients away, as an operator asks: /up answers 503, so that the front sends no more, each
// answer closes its connection, and connections without a request are closed. What comes meanwhile is
// still taken on: the front goes on sending for a while, and a client's kept connection until it closes.
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

// Undrain takes clients again.
func (s *Server) Undrain() {
	for {
		n := s.drainCount.Load()
		if n%2 == 0 || s.drainCount.CompareAndSwap(n, n+1) {
			return
		}
	}
}

// sendAway closes connections that carry no request while that drain lasts: idle ones at once, a silent
// new one once its client has had time to write, one whose request does not come whole after a while.
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

// askAway asks a connection to close that carries no request: one that rests at once, a new one that is silent once its
// client has had time to write, one whose request does not come whole after a while. Guards against a new client that
// finds its connection closed with no answer as its first request arrives.
func (c *clientConn) requestCloseIfUnused() {
	c.requestClose(idleSingleUse, 0)
	c.requestClose(idle, 0)
	c.requestClose(silent, drainSilentDelay)
	c.requestClose(reading, drainReadingDelay)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) {
	s.addAcceptLoops(1)
	defer s.addAcceptLoops(-1)
	var lastLogged time.Time
	for {
		s.reserveSlot()
		nc, err := ln.Accept()
		if err != nil {
			<-s.slots
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if time.Since(lastLogged) >= acceptLogInterval {
				lastLogged = time.Now()
				s.log.Warn().Err(err).Msg("accept")
			}
			time.Sleep(pollInterval) // out of descriptors: some will be free again
			continue
		}
		c := &clientConn{nc: nc, reader: http1.NewReader(nc), acceptedAt: time.Now()}
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

// makeRoom takes a place for one more connection. Where hardly one is left it closes those
// that need theirs least, so that no client can hold them all, and so soon that a client
// who comes in a crowd is served while it still waits.
func (s *Server) reserveSlot() {
	for {
		reserved := min(maxReservedSlots, cap(s.slots)/8)
		if free := cap(s.slots) - len(s.slots); free <= reserved && time.Since(s.lastEviction) >= pollInterval {
			s.evict(2*reserved + 1 - free)
			s.lastEviction = time.Now()
		}
		select {
		case s.slots <- struct{}{}:
			return
		case <-time.After(pollInterval):
		}
	}
}

// relieve asks connections to close until so many are about to: first those that have asked
// once, then those whose request does not come whole, those that never said a word, idle
// ones. No more than are needed: a client may be about to write on any of them.
func (s *Server) evict(need int) {
	type candidate struct {
		c     *clientConn
		state int
		since time.Time
	}
	var candidates []candidate
	now := time.Now()
	s.mu.Lock()
	for c := range s.conns {
		c.mu.Lock()
		if c.state == closing {
			c.nc.SetReadDeadline(c.since.Add(shortLingerTimeout))
			need--
		} else if c.closeRequested {
			need--
		} else if c.state != serving && now.Sub(c.since) >= minAges[c.state] {
			candidates = append(candidates, candidate{c, c.state, c.since})
		}
		c.mu.Unlock()
	}
	s.mu.Unlock()
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(a.state-b.state, a.since.Compare(b.since)) })
	for _, v := range candidates[:min(len(candidates), max(need, 0))] {
		v.c.requestClose(v.state, minAges[v.state])
	}
}

// askToClose wakes a connection that has been in that state for so long. Under the lock,
// or the deadline could hit a request that has just begun to arrive.
func (c *clientConn) requestClose(state int, minAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeRequested && c.state == state && time.Since(c.since) >= minAge {
		c.closeRequested = true
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// wait returns when a request begins to arrive. One that arrives just as the
// connection is asked to close is still served.
func (c *clientConn) awaitRequest() error {
	switch {
	case !c.hadRequest:
		c.setState(silent, c.acceptedAt.Add(firstByteTimeout))
	case c.submitted < 2:
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

// enter changes the connection's state, in which it may read until the deadline.
func (c *clientConn) setState(state int, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since, c.closeRequested = state, time.Now(), false
	c.nc.SetReadDeadline(deadline)
}

// RefuseMessages makes the server answer 503 to all that is handed in from now on.
func (s *Server) RefuseMessages() { s.refusing.Store(true) }

// Shutdown closes the connections on which nothing is under way, and returns when nothing more can be handed in: no
// listener is accepted from, and what had been read is answered. A connection is closed by a half-close first; what
// a client still sends on it is read and dropped, and it may stay so beyond Shutdown, until its client closes too.
// The listeners must be closed before or while it runs. One whose request does not come whole is answered 503.
func (s *Server) Shutdown(ctx context.Context) { poll(ctx, s.closeUnused) }

// poll returns when ok, or when the context ends.
func poll(ctx context.Context, ok func() bool) {
	for !ok() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

// quiet asks all connections to close that carry nothing, and reports whether none is left on which anything can be
// handed in. A connection that has been accepted is among them before its loop can end.
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

// WaitClosed returns when every connection is closed, by its client or because it has lingered long enough.
func (s *Server) WaitClosed(ctx context.Context) {
	poll(ctx, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 0
	})
}

// closes reports whether nothing more is served on the connection.
func (c *clientConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == closing
}

func (s *Server) serve(c *clientConn) {
	defer func() {
		c.nc.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		<-s.slots
	}()
	for s.serveRequest(c) {
	}
	c.linger()
}

// next serves one request and reports whether the connection goes on.
func (s *Server) serveRequest(c *clientConn) bool {
	if err := c.awaitRequest(); err != nil {
		if !c.hadRequest && errors.Is(err, os.ErrDeadlineExceeded) { // a first request that crosses the close has its answer
			c.writeResponse(&response{status: 503, retryAfterMS: stoppingRetryMS}, false)
		}
		return false
	}
	req, err := c.reader.Request()
	received := s.now()
	c.setState(serving, time.Time{})
	c.hadRequest = true
	if err != nil {
		return s.rejectUnreadable(c, err)
	}
	r := s.route(req, received)
	if r.messageNum != 0 {
		c.submitted++
		// The clock is read before the answer is written: a verdict that is written in time stands, however late that
		// is found out afterwards. Guards against a message that its client heard was taken on, and that is withdrawn.
		if s.now().Sub(received) > clientTimeout { // its client is about to go, and comes again elsewhere: a refusal is due
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

// unheard takes a message back whose client was not told that it was taken on:
// it may hand the message in again elsewhere.
func (s *Server) withdraw(r *response) {
	if r.messageNum != 0 {
		s.sender.Withdraw(r.messageNum)
	}
}

// bad answers a request that could not be read, and ends the connection.
func (s *Server) rejectUnreadable(c *clientConn, err error) bool {
	r := response{}
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		r.status = 413
	case errors.Is(err, http1.ErrNoLength):
		r.status = 411
	case errors.Is(err, http1.ErrMalformed):
		r.status = 400
	case errors.Is(err, os.ErrDeadlineExceeded) && s.refusing.Load(): // it may come whole elsewhere
		r = response{status: 503, retryAfterMS: stoppingRetryMS}
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.status = 408
	default:
		return false
	}
	c.writeResponse(&r, false)
	return false
}

// linger ends a connection on this side and reads on for a moment, serving nothing. Guards against a close over bytes
// that are unread, or that arrive in the moment of the close (a request on a connection that rested, the rest of
// one that was refused): it would reset the connection, and an answer that is still under way could be lost with it.
func (c *clientConn) linger() {
	c.mu.Lock()
	c.state, c.since, c.closeRequested = closing, time.Now(), false
	c.nc.SetReadDeadline(c.since.Add(lingerTimeout))
	c.mu.Unlock()
	if tc, ok := c.nc.(interface{ CloseWrite() error }); ok && tc.CloseWrite() != nil {
		return // the client has gone
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

// response is what a request is answered with.
type response struct {
	status       int
	retryAfterMS float64 // milliseconds; 0 = none told
	allow        string
	text         string
	closeConn    bool
	messageNum   uint64 // of the message that was taken on
	// belongs are the senders that serve the message's destination, where this one does not.
	servedBy []string
}

func (c *clientConn) writeResponse(r *response, keepAlive bool) error {
	b := http1.AppendStatus(c.writeBuf[:0], r.status)
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
