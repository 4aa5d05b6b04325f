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
	idleFor      = 30 * time.Second        // a connection between requests
	idleLeast    = 2 * time.Second         // one may be closed for want of room after this
	onceLeast    = 20 * time.Millisecond   // or this, if it has not handed in two messages
	readLeast    = 100 * time.Millisecond  // a request that takes so long to arrive gives its place up: clients write it whole
	firstFor     = 2 * time.Second         // a new one says nothing for so long
	firstLeast   = 100 * time.Millisecond  // and may be closed for want of room after this: clients write at once
	firstWhole   = 2500 * time.Millisecond // its first request is there by then; an answer is owed within 3 s
	readFor      = 2 * time.Second         // a later request, from its first byte
	writeFor     = time.Second             // an answer
	lastLook     = 10 * time.Millisecond
	lingerFor    = time.Second            // what a client still sends is read so long after the half-close,
	lingerShort  = 50 * time.Millisecond  // or this, where its place is needed,
	lingerMost   = 256 << 10              // and no more bytes of it
	patience     = 400 * time.Millisecond // how long a client waits for its answer
	acceptPause  = 5 * time.Millisecond
	acceptReport = time.Second            // between two lines on connections that can't be accepted
	headroom     = 16                     // places that are kept free where there are many
	awayEvery    = 50 * time.Millisecond  // while clients are sent away, connections are looked at so often;
	awaySilent   = 200 * time.Millisecond // a new one that says nothing for so long is closed,
	awayReading  = time.Second            // and one whose request has not come whole in so long
)

// Server accepts clients' connections.
type Server struct {
	set   *policy.Settings
	snd   *sender.Sender
	log   zerolog.Logger
	room  chan struct{} // one token for each connection
	ready atomic.Bool
	stop  atomic.Bool   // nothing more is taken on
	away  atomic.Uint64 // odd while clients are sent away by hand: the number of that drain

	relieved time.Time // of makeRoom alone
	now      func() time.Time

	mu        sync.Mutex
	conns     map[*client]bool
	accepting int // loops of Serve
}

// The states of a connection, in the order in which it may be closed for want of room. One
// that has asked once costs its client nothing; one that is silent may be about to ask.
const (
	once    = iota // idle, and has not handed in two messages: many ask once and keep their connection for good
	reading        // a request arrives
	silent         // nothing has come yet
	idle           // between requests
	serving        // a request is being answered
	closing        // half-closed: what still comes is read and dropped
)

// least is how long a connection is in its state before it may be closed for want of room.
var least = [...]time.Duration{silent: firstLeast, reading: readLeast, once: onceLeast, idle: idleLeast}

// client is one connection.
type client struct {
	nc    net.Conn
	rd    *http1.Reader
	out   []byte
	begun time.Time
	begin bool       // it has had a request
	had   int        // messages handed in
	mu    sync.Mutex // over the three below and the read deadline
	state int
	since time.Time // of its state
	asked bool      // to close, if nothing is on its way
}

// New returns a Server with room for that many connections.
func New(set *policy.Settings, snd *sender.Sender, room int, log zerolog.Logger) *Server {
	return &Server{set: set, snd: snd, log: log, room: make(chan struct{}, room), conns: map[*client]bool{}, now: time.Now}
}

// SetReady makes /up answer 200.
func (s *Server) SetReady() { s.ready.Store(true) }

// Available reports whether this process takes clients: it is ready, and neither stops nor sends them away.
func (s *Server) Available() bool { return s.ready.Load() && !s.stop.Load() && s.away.Load()%2 == 0 }

// Drain sends clients away, as an operator asks: /up answers 503, so that the front sends no more, each
// answer closes its connection, and connections without a request are closed. What comes meanwhile is
// still taken on: the front goes on sending for a while, and a client's kept connection until it closes.
func (s *Server) Drain() {
	for {
		n := s.away.Load()
		if n%2 == 1 {
			return
		}
		if s.away.CompareAndSwap(n, n+1) {
			go s.sendAway(n + 1)
			return
		}
	}
}

// Undrain takes clients again.
func (s *Server) Undrain() {
	for {
		n := s.away.Load()
		if n%2 == 0 || s.away.CompareAndSwap(n, n+1) {
			return
		}
	}
}

// sendAway closes connections that carry no request while that drain lasts: idle ones at once, a silent
// new one once its client has had time to write, one whose request does not come whole after a while.
func (s *Server) sendAway(drain uint64) {
	for s.away.Load() == drain {
		s.mu.Lock()
		for c := range s.conns {
			c.askAway()
		}
		s.mu.Unlock()
		time.Sleep(awayEvery)
	}
}

// askAway asks a connection to close that carries no request: one that rests at once, a new one that is silent once its
// client has had time to write, one whose request does not come whole after a while. Guards against a new client that
// finds its connection closed with no answer as its first request arrives.
func (c *client) askAway() {
	c.askToClose(once, 0)
	c.askToClose(idle, 0)
	c.askToClose(silent, awaySilent)
	c.askToClose(reading, awayReading)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) {
	s.loop(1)
	defer s.loop(-1)
	var reported time.Time
	for {
		s.makeRoom()
		nc, err := ln.Accept()
		if err != nil {
			<-s.room
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if time.Since(reported) >= acceptReport {
				reported = time.Now()
				s.log.Warn().Err(err).Msg("accept")
			}
			time.Sleep(acceptPause) // out of descriptors: some will be free again
			continue
		}
		c := &client{nc: nc, rd: http1.NewReader(nc), begun: time.Now()}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) loop(n int) {
	s.mu.Lock()
	s.accepting += n
	s.mu.Unlock()
}

// makeRoom takes a place for one more connection. Where hardly one is left it closes those
// that need theirs least, so that no client can hold them all, and so soon that a client
// who comes in a crowd is served while it still waits.
func (s *Server) makeRoom() {
	for {
		keep := min(headroom, cap(s.room)/8)
		if free := cap(s.room) - len(s.room); free <= keep && time.Since(s.relieved) >= acceptPause {
			s.relieve(2*keep + 1 - free)
			s.relieved = time.Now()
		}
		select {
		case s.room <- struct{}{}:
			return
		case <-time.After(acceptPause):
		}
	}
}

// relieve asks connections to close until so many are about to: first those that have asked
// once, then those whose request does not come whole, those that never said a word, idle
// ones. No more than are needed: a client may be about to write on any of them.
func (s *Server) relieve(need int) {
	type candidate struct {
		c     *client
		state int
		since time.Time
	}
	var list []candidate
	now := time.Now()
	s.mu.Lock()
	for c := range s.conns {
		c.mu.Lock()
		if c.state == closing {
			c.nc.SetReadDeadline(c.since.Add(lingerShort))
			need--
		} else if c.asked {
			need--
		} else if c.state != serving && now.Sub(c.since) >= least[c.state] {
			list = append(list, candidate{c, c.state, c.since})
		}
		c.mu.Unlock()
	}
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Or(a.state-b.state, a.since.Compare(b.since)) })
	for _, v := range list[:min(len(list), max(need, 0))] {
		v.c.askToClose(v.state, least[v.state])
	}
}

// askToClose wakes a connection that has been in that state for so long. Under the lock,
// or the deadline could hit a request that has just begun to arrive.
func (c *client) askToClose(state int, least time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.asked && c.state == state && time.Since(c.since) >= least {
		c.asked = true
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// wait returns when a request begins to arrive. One that arrives just as the
// connection is asked to close is still served.
func (c *client) wait() error {
	switch {
	case !c.begin:
		c.enter(silent, c.begun.Add(firstFor))
	case c.had < 2:
		c.enter(once, time.Now().Add(idleFor))
	default:
		c.enter(idle, time.Now().Add(idleFor))
	}
	err := c.rd.Wait()
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.nc.SetReadDeadline(time.Now().Add(lastLook))
		err = c.rd.Wait()
	}
	if !c.begin {
		c.enter(reading, c.begun.Add(firstWhole))
	} else {
		c.enter(reading, time.Now().Add(readFor))
	}
	return err
}

// enter changes the connection's state, in which it may read until the deadline.
func (c *client) enter(state int, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since, c.asked = state, time.Now(), false
	c.nc.SetReadDeadline(deadline)
}

// RefuseMessages makes the server answer 503 to all that is handed in from now on.
func (s *Server) RefuseMessages() { s.stop.Store(true) }

// Shutdown closes the connections on which nothing is under way, and returns when nothing more can be handed in: no
// listener is accepted from, and what had been read is answered. A connection is closed by a half-close first; what
// a client still sends on it is read and dropped, and it may stay so beyond Shutdown, until its client closes too.
// The listeners must be closed before or while it runs. One whose request does not come whole is answered 503.
func (s *Server) Shutdown(ctx context.Context) { poll(ctx, s.quiet) }

// poll returns when ok, or when the context ends.
func poll(ctx context.Context, ok func() bool) {
	for !ok() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(acceptPause):
		}
	}
}

// quiet asks all connections to close that carry nothing, and reports whether none is left on which anything can be
// handed in. A connection that has been accepted is among them before its loop can end.
func (s *Server) quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	quiet := s.accepting == 0
	for c := range s.conns {
		c.askAway()
		quiet = quiet && c.closes()
	}
	return quiet
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
func (c *client) closes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == closing
}

func (s *Server) serve(c *client) {
	defer func() {
		c.nc.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		<-s.room
	}()
	for s.next(c) {
	}
	c.linger()
}

// next serves one request and reports whether the connection goes on.
func (s *Server) next(c *client) bool {
	if err := c.wait(); err != nil {
		if !c.begin && errors.Is(err, os.ErrDeadlineExceeded) { // a first request that crosses the close has its answer
			c.answer(&response{status: 503, retry: stopRetry}, false)
		}
		return false
	}
	m, err := c.rd.Request()
	received := s.now()
	c.enter(serving, time.Time{})
	c.begin = true
	if err != nil {
		return s.bad(c, err)
	}
	r := s.route(m, received)
	if r.num != 0 {
		c.had++
		// The clock is read before the answer is written: a verdict that is written in time stands, however late that
		// is found out afterwards. Guards against a message that its client heard was taken on, and that is withdrawn.
		if s.now().Sub(received) > patience { // its client is about to go, and comes again elsewhere: a refusal is due
			s.unheard(&r)
			r = response{status: 503, retry: stopRetry}
		}
	}
	keep := !m.Close && !s.stop.Load() && s.away.Load()%2 == 0 && !r.close
	if err := c.answer(&r, keep); err != nil {
		s.unheard(&r)
		return false
	}
	return keep
}

// unheard takes a message back whose client was not told that it was taken on:
// it may hand the message in again elsewhere.
func (s *Server) unheard(r *response) {
	if r.num != 0 {
		s.snd.Withdraw(r.num)
	}
}

// bad answers a request that could not be read, and ends the connection.
func (s *Server) bad(c *client, err error) bool {
	r := response{}
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		r.status = 413
	case errors.Is(err, http1.ErrNoLength):
		r.status = 411
	case errors.Is(err, http1.ErrMalformed):
		r.status = 400
	case errors.Is(err, os.ErrDeadlineExceeded) && s.stop.Load(): // it may come whole elsewhere
		r = response{status: 503, retry: stopRetry}
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.status = 408
	default:
		return false
	}
	c.answer(&r, false)
	return false
}

// linger ends a connection on this side and reads on for a moment, serving nothing. Guards against a close over bytes
// that are unread, or that arrive in the moment of the close (a request on a connection that rested, the rest of
// one that was refused): it would reset the connection, and an answer that is still under way could be lost with it.
func (c *client) linger() {
	c.mu.Lock()
	c.state, c.since, c.asked = closing, time.Now(), false
	c.nc.SetReadDeadline(c.since.Add(lingerFor))
	c.mu.Unlock()
	if tc, ok := c.nc.(interface{ CloseWrite() error }); ok && tc.CloseWrite() != nil {
		return // the client has gone
	}
	var b [4096]byte
	for n := 0; n < lingerMost; {
		k, err := c.nc.Read(b[:])
		if err != nil {
			return
		}
		n += k
	}
}

// response is what a request is answered with.
type response struct {
	status int
	retry  float64 // milliseconds; 0 = none told
	allow  string
	text   string
	close  bool
	num    uint64 // of the message that was taken on
	// belongs are the senders that serve the message's destination, where this one does not.
	belongs []string
}

func (c *client) answer(r *response, keep bool) error {
	b := http1.AppendStatus(c.out[:0], r.status)
	if r.retry > 0 {
		b = http1.AppendSeconds(b, "Retry-After", r.retry)
	}
	if len(r.belongs) > 0 {
		b = http1.AppendHeader(b, "X-Belongs-To", strings.Join(r.belongs, ", "))
	}
	if r.allow != "" {
		b = http1.AppendHeader(b, "Allow", r.allow)
	}
	if !keep {
		b = http1.AppendHeader(b, "Connection", "close")
	}
	if r.text != "" {
		b = http1.AppendHeader(b, "Content-Type", "text/plain")
		r.text += "\n"
	}
	c.out = http1.AppendBody(b, []byte(r.text))
	c.nc.SetWriteDeadline(time.Now().Add(writeFor))
	_, err := c.nc.Write(c.out)
	return err
}
