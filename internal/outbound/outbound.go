// Package outbound makes the calls to endpoints over HTTP/1.1 and HTTP/2. It pools the connections to each endpoint and
// maps every response or failure to an outcome. Each HTTP/1.1 connection has a goroutine of its own; HTTP/2 connections
// are those of package h2.
package outbound

import (
	"context"
	"net"
	"sync"
	"time"

	"sliptide/internal/sockets"
	"sliptide/internal/transient"
	"sliptide/policy"
)

// idleMargin is how long before the end of Options.KeepAlive an idle HTTP/1.1 connection is closed; idleTimeout lowers
// it for a short KeepAlive. A longer margin costs new connections to partners that are seldom called.
const idleMargin = 500 * time.Millisecond

// Options configures a Pool.
type Options struct {
	MaxConns    int           // HTTP/1.1 and HTTP/2 connections to all endpoints together
	KeepAlive   time.Duration // idle time after which a peer may close a connection, see idleTimeout
	DialTimeout time.Duration
	X0, X1      int // indexes in policy.Event.Report of the values x0 and x1 of a load report; -1: not used
	// OnDone receives the events with which a call ends, in the order of its items; none for a call that Drop has
	// cancelled. Several goroutines call it, without locks held, and Go may call it before it returns. It must not block.
	OnDone func(*Call, []policy.Event)
	// Partner returns how a destination is reached. If it is nil or returns nil, plain HTTP/1.1 is used. It must return
	// the same pointer until the settings change: another one replaces the connections.
	Partner func(dest int) *Partner
	// OnDialError receives the error of a connection that could not be established, at most once in dialErrorInterval for
	// each endpoint. Errors of destinations without a Partner are not reported. It may be nil.
	OnDialError func(endpoint uint32, addr string, err error)
	// OnConnClosed is called for each HTTP/1.1 connection that is closed, by several goroutines. It must not block; it may
	// be nil.
	OnConnClosed func(CloseEvent)

	dial dialFunc // replaces Partner.Dial in tests; may be nil
}

// dialFunc connects to an address, as Partner.Dial does.
type dialFunc func(ctx context.Context, addr string) (nc net.Conn, proto string, err error)

// dial connects to an endpoint. A transient error on this side says nothing about the endpoint, so dial retries it
// until ctx is done or wanted returns false.
func (p *Pool) dial(ctx context.Context, partner *Partner, addr string,
	wanted func() bool) (nc net.Conn, proto string, err error) {
	dialPartner := p.opt.dial
	if dialPartner == nil {
		dialPartner = partner.Dial
	}
	for {
		nc, proto, err = dialPartner(ctx, addr)
		if err == nil || !transient.IsDialError(err) || !wanted() {
			return nc, proto, err
		}
		select {
		case <-ctx.Done():
			return nil, "", err
		case <-time.After(transient.RetryInterval):
		}
	}
}

// dialErrorInterval is the minimum time between two reported dial errors of one endpoint.
const dialErrorInterval = 10 * time.Second

// Pool holds the connections to all endpoints.
type Pool struct {
	opt         Options
	mu          sync.Mutex           // guards the fields below
	idle        map[uint32][]*conn   // over HTTP/1.1, by endpoint, most recently used last
	open        int                  // connections that count against MaxConns
	muxes       map[uint32]*mux      // by endpoint
	dialErrorAt map[uint32]time.Time // last reported dial error, by endpoint
	// profiles holds how endpoints respond over HTTP/1.1, by endpoint.
	profiles            map[uint32]*responseProfile
	distrustedEndpoints []uint32           // endpoints that have sent unsolicited bytes
	dialPacers          map[int]*dialPacer // by destination; only for paced destinations
}

// NewPool returns a Pool without connections.
func NewPool(opt Options) *Pool {
	return &Pool{
		opt: opt, idle: map[uint32][]*conn{}, muxes: map[uint32]*mux{}, dialErrorAt: map[uint32]time.Time{},
		profiles: map[uint32]*responseProfile{}, dialPacers: map[int]*dialPacer{},
	}
}

// Go starts a call, whose end OnDone receives. It does not block: the call may wait for a connection or for a free
// HTTP/2 stream.
func (p *Pool) Go(c *Call) {
	var partner *Partner
	if p.opt.Partner != nil {
		partner = p.opt.Partner(c.Dest)
	}
	if partner == nil || !partner.HTTP2 {
		p.startHTTP1(c, partner)
		return
	}
	p.mu.Lock()
	m := p.muxes[c.Endpoint]
	old := m
	if m == nil || m.addr != c.Addr || m.partner != partner {
		m = newMux(p, partner, c)
		p.muxes[c.Endpoint] = m
	}
	p.mu.Unlock()
	if old != nil && old != m {
		old.retire()
	}
	m.start(c)
}

// reserveConn counts a new connection against MaxConns. At the limit it closes an idle connection first; without one it
// returns false.
func (p *Pool) reserveConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.opt.MaxConns && !p.evictOldest() {
		return false
	}
	p.open++
	return true
}

func (p *Pool) releaseConn() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// OpenConns returns the number of connections that are open or being dialled.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// reportDialError passes a dial error to OnDialError, unless one of the same endpoint was reported within
// dialErrorInterval.
func (p *Pool) reportDialError(endpoint uint32, addr string, err error) {
	if p.opt.OnDialError == nil {
		return
	}
	p.mu.Lock()
	throttled := time.Since(p.dialErrorAt[endpoint]) < dialErrorInterval
	if !throttled {
		p.dialErrorAt[endpoint] = time.Now()
	}
	p.mu.Unlock()
	if !throttled {
		p.opt.OnDialError(endpoint, addr, err)
	}
}

// startHTTP1 makes a call over HTTP/1.1, where a connection carries one call at a time.
func (p *Pool) startHTTP1(c *Call, partner *Partner) {
	if p.startOnIdleConn(c, partner) {
		return
	}
	wait := p.dialTurn(c.Dest)
	switch {
	case wait <= 0:
		p.startOnNewConn(c, partner)
	case wait >= time.Until(c.SentAt.Add(c.Timeout)): // the call times out before its turn to dial: it never ran
		go p.failUnsent(c, policy.Moot)
	default: // a connection that has become idle in the meantime is used instead
		time.AfterFunc(wait, func() {
			if c.state.Load() == stateWaiting && !p.startOnIdleConn(c, partner) {
				p.startOnNewConn(c, partner)
			}
		})
	}
}

// startOnIdleConn gives a call to an idle connection, if there is one. A call that requires a new connection never gets
// an idle one, where the response to an earlier call could be taken for its own.
func (p *Pool) startOnIdleConn(c *Call, partner *Partner) bool {
	if c.NewConn {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := len(p.idle[c.Endpoint]) - 1; i >= 0; i-- {
		idle := p.idle[c.Endpoint]
		cn := idle[i]
		if now.Before(cn.reusableAt) {
			continue
		}
		p.idle[c.Endpoint] = append(idle[:i:i], idle[i+1:]...)
		// On a connection that its endpoint has closed (a crash, a restart), a call that
		// never ran would end as a reset, which may have run.
		reason, usable := p.usable(cn, c, partner)
		if usable {
			cn.calls <- c // does not block: it has space for one call, and an idle connection has none pending
			return true
		}
		cn.closeIdle(reason)
	}
	return false
}

// usable reports whether an idle connection can take a call, and if not, the reason to close it. The lock must be held.
func (p *Pool) usable(cn *conn, c *Call, partner *Partner) (CloseReason, bool) {
	switch {
	case cn.addr != c.Addr || cn.partner != partner:
		return CloseReplaced, false
	case time.Since(cn.usedAt) >= p.idleTimeout():
		return CloseIdle, false
	}
	switch sockets.Check(cn.nc) {
	case sockets.Closed:
		return CloseByPeer, false
	case sockets.Unsolicited:
		p.noteUnsolicited(cn.endpoint)
		return CloseUnsolicited, false
	}
	if p.distrusted(cn.endpoint) {
		return CloseDistrusted, false
	}
	return 0, true
}

// closeIdle ends the goroutine of an idle connection, which closes it. The pool's lock must be held, and the caller
// removes the connection from the idle ones.
func (cn *conn) closeIdle(reason CloseReason) {
	cn.reason = reason
	close(cn.calls)
}

// startOnNewConn makes a call on a new connection. If the connection limit allows none, the call ends as ConnectFailed.
func (p *Pool) startOnNewConn(c *Call, partner *Partner) {
	if !p.reserveConn() {
		go p.failUnsent(c, policy.ConnectFailed)
		return
	}
	cn := &conn{pool: p, partner: partner, endpoint: c.Endpoint, addr: c.Addr, calls: make(chan *Call, 1)}
	go cn.run(c)
}

// idleTimeout returns how long an idle connection may be reused. It ends before the
// peer may close the connection, by more than a request takes to arrive.
func (p *Pool) idleTimeout() time.Duration {
	return max(p.opt.KeepAlive-idleMargin, p.opt.KeepAlive/2)
}

// evictOldest closes the HTTP/1.1 connection that has been idle the longest, and reports whether there was an idle one.
// The lock must be held.
func (p *Pool) evictOldest() bool {
	var oldest *conn
	for _, idle := range p.idle {
		if len(idle) > 0 && (oldest == nil || idle[0].usedAt.Before(oldest.usedAt)) {
			oldest = idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.endpoint] = p.idle[oldest.endpoint][1:]
	oldest.closeIdle(CloseEvicted)
	return true
}

// CloseIdleConns closes the idle connections to an endpoint.
func (p *Pool) CloseIdleConns(endpoint uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.idle[endpoint] {
		cn.closeIdle(CloseByCaller)
	}
	delete(p.idle, endpoint)
	if m := p.muxes[endpoint]; m != nil {
		go m.closeIdleConns()
	}
}

// addIdle adds cn to the idle connections. It clears the deadline of the last call:
// once that has passed, sockets.Check would report the connection as closed.
func (p *Pool) addIdle(cn *conn) {
	cn.nc.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	cn.usedAt = time.Now()
	cn.reusableAt = cn.usedAt.Add(p.profileOf(cn.endpoint).settleTime())
	p.idle[cn.endpoint] = append(p.idle[cn.endpoint], cn)
}

// removeIdle removes cn from the idle connections. It returns false if cn is not one of them any more, because it has
// been given a call or is to be closed.
func (p *Pool) removeIdle(cn *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[cn.endpoint]
	for i := range idle {
		if idle[i] == cn {
			p.idle[cn.endpoint] = append(idle[:i:i], idle[i+1:]...)
			return true
		}
	}
	return false
}

// failUnsent ends a call of which no byte was written, unless it has been dropped.
func (p *Pool) failUnsent(c *Call, outcome policy.Outcome) {
	if c.tryStart() {
		p.finish(c, outcome)
	}
}

// finish reports one outcome for all messages of a call.
func (p *Pool) finish(c *Call, outcome policy.Outcome) {
	p.opt.OnDone(c, c.eventsFor(itemResult{outcome: outcome}))
}

// dropForbidden ends a call that MayStart or WriteBy forbids to start, and reports whether it is such a call.
func (p *Pool) dropForbidden(c *Call) bool {
	if !c.startForbidden() {
		return false
	}
	if c.Drop() {
		p.finish(c, policy.Moot)
	}
	return true
}
