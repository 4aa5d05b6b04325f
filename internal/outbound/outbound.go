// Package outbound makes the calls to endpoints: one goroutine a connection, a
// pool of idle connections for each endpoint, and the outcome that each answer
// or failure stands for.
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

// idleMargin is kept from the time at which an idle connection is closed. A longer
// one costs new connections to partners that are seldom called.
const idleMargin = 500 * time.Millisecond

// Options are what a Pool needs to know.
type Options struct {
	MaxConns    int
	KeepAlive   time.Duration // how long a connection may stand idle
	DialTimeout time.Duration
	X0, X1      int // positions in a report; -1 = absent
	// OnDone takes the events that a call ends with, in the order of its items. It must not be held up.
	OnDone func(*Call, []policy.Event)
	// Partner says how a destination is reached; nil, or a nil answer: plain HTTP/1.1.
	Partner func(dest int) *Partner
	// OnDialError is told why a connection could not be had, once in troubleGap for an endpoint; it may be nil.
	OnDialError func(endpoint uint32, addr string, err error)
	// OnConnClosed is told of each connection over HTTP/1.1 that is closed. It must not be held up; it may be nil.
	OnConnClosed func(CloseEvent)

	dial dialFunc // in place of a Partner's Dial, in tests; nil: none
}

// dialFunc connects to an address, as a Partner's Dial does.
type dialFunc func(ctx context.Context, addr string) (nc net.Conn, proto string, err error)

// dial connects to an endpoint, or returns why it has refused. What fails on this side, for a moment, says nothing of the
// endpoint: it is tried again while ctx stands and wanted says so.
func (p *Pool) dial(ctx context.Context, partner *Partner, addr string, wanted func() bool) (nc net.Conn, proto string, err error) {
	connect := p.opt.dial
	if connect == nil {
		connect = partner.Dial
	}
	for {
		nc, proto, err = connect(ctx, addr)
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

// troubleGap is the time between two words on one endpoint.
const troubleGap = 10 * time.Second

// Pool holds the connections to all endpoints.
type Pool struct {
	opt  Options
	mu   sync.Mutex
	idle map[uint32][]*conn // by endpoint, last used last
	open int
	mux  map[uint32]*mux // by endpoint
	told map[uint32]time.Time
	// profiles is how endpoints answer over HTTP/1.1.
	profiles  map[uint32]*answerProfile
	offenders []uint32          // endpoints that have sent what nobody asked for
	pace      map[int]*dialPace // by destination, of those whose connections are paced
}

// NewPool returns a Pool without connections.
func NewPool(opt Options) *Pool {
	return &Pool{opt: opt, idle: map[uint32][]*conn{}, mux: map[uint32]*mux{}, told: map[uint32]time.Time{}, profiles: map[uint32]*answerProfile{}, pace: map[int]*dialPace{}}
}

// Go starts a call on an idle connection or a new one. It does not block.
func (p *Pool) Go(c *Call) {
	var partner *Partner
	if p.opt.Partner != nil {
		partner = p.opt.Partner(c.Dest)
	}
	if partner == nil || !partner.HTTP2 {
		p.single(c, partner)
		return
	}
	p.mu.Lock()
	m := p.mux[c.Endpoint]
	old := m
	if m == nil || m.addr != c.Addr || m.partner != partner {
		m = newMux(p, partner, c)
		p.mux[c.Endpoint] = m
	}
	p.mu.Unlock()
	if old != nil && old != m {
		old.retire()
	}
	m.start(c)
}

// reserve takes room for a connection.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.opt.MaxConns && !p.evict() {
		return false
	}
	p.open++
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// OpenConns is how many connections there are or come up.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// complain tells why an endpoint could not be reached, where somebody listens.
func (p *Pool) complain(endpoint uint32, addr string, err error) {
	if p.opt.OnDialError == nil {
		return
	}
	p.mu.Lock()
	soon := time.Since(p.told[endpoint]) < troubleGap
	if !soon {
		p.told[endpoint] = time.Now()
	}
	p.mu.Unlock()
	if !soon {
		p.opt.OnDialError(endpoint, addr, err)
	}
}

// single makes a call over HTTP/1.1, which carries one at a time on a connection.
func (p *Pool) single(c *Call, partner *Partner) {
	if p.onIdle(c, partner) {
		return
	}
	wait := p.dialTurn(c.Dest)
	switch {
	case wait <= 0:
		p.connect(c, partner)
	case wait >= time.Until(c.SentAt.Add(c.Timeout)): // its time is up before its turn: it never ran
		go p.fail(c, policy.Moot)
	default: // a connection that has become idle meanwhile is as good
		time.AfterFunc(wait, func() {
			if c.state.Load() == waiting && !p.onIdle(c, partner) {
				p.connect(c, partner)
			}
		})
	}
}

// onIdle gives a call to a connection that stands idle, if there is one. A call that has to be believed goes out on a
// new one, where no earlier answer can be taken for its own.
func (p *Pool) onIdle(c *Call, partner *Partner) bool {
	if c.NewConn {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := len(p.idle[c.Endpoint]) - 1; i >= 0; i-- {
		list := p.idle[c.Endpoint]
		k := list[i]
		if now.Before(k.freeAt) {
			continue
		}
		p.idle[c.Endpoint] = append(list[:i:i], list[i+1:]...)
		// An idle connection that its endpoint has closed (a crash, a restart) would turn a
		// call that never ran into a reset, which may have run.
		reason, usable := p.usable(k, c, partner)
		if usable {
			k.calls <- c // holds one, and none is under way to a connection that was idle
			return true
		}
		k.end(reason)
	}
	return false
}

// usable reports whether an idle connection can take a call, and if not, why it is closed.
func (p *Pool) usable(k *conn, c *Call, partner *Partner) (CloseReason, bool) {
	switch {
	case k.addr != c.Addr || k.partner != partner:
		return CloseReplaced, false
	case time.Since(k.usedAt) >= p.fresh():
		return CloseIdle, false
	}
	switch sockets.Check(k.nc) {
	case sockets.Closed:
		return CloseByPeer, false
	case sockets.Unsolicited:
		p.noteUnsolicited(k.endpoint)
		return CloseUnsolicited, false
	}
	if p.distrusted(k.endpoint) {
		return CloseDistrusted, false
	}
	return 0, true
}

// end makes an idle connection close. The pool's lock is held.
func (k *conn) end(reason CloseReason) {
	k.reason = reason
	close(k.calls)
}

// connect makes a call on a new connection, if there is room for one.
func (p *Pool) connect(c *Call, partner *Partner) {
	if !p.reserve() {
		go p.fail(c, policy.ConnectFailed)
		return
	}
	k := &conn{pool: p, partner: partner, endpoint: c.Endpoint, addr: c.Addr, calls: make(chan *Call, 1)}
	go k.run(c)
}

// fresh is how long an idle connection is used: inside the time at which the
// other side may close it, by more than a request takes to get there.
func (p *Pool) fresh() time.Duration {
	return max(p.opt.KeepAlive-idleMargin, p.opt.KeepAlive/2)
}

// evict closes the connection that is idle the longest. The lock is held.
func (p *Pool) evict() bool {
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].usedAt.Before(oldest.usedAt)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.endpoint] = p.idle[oldest.endpoint][1:]
	oldest.end(CloseEvicted)
	return true
}

// CloseIdleConns closes the idle connections to an endpoint.
func (p *Pool) CloseIdleConns(endpoint uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.idle[endpoint] {
		k.end(CloseByCaller)
	}
	delete(p.idle, endpoint)
	if m := p.mux[endpoint]; m != nil {
		go m.hangUp()
	}
}

// park puts k among the idle connections. The last call's deadline goes with it:
// once it has passed, Look would take the connection for dead.
func (p *Pool) park(k *conn) {
	k.nc.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	k.usedAt = time.Now()
	k.freeAt = k.usedAt.Add(p.profileOf(k.endpoint).settle())
	p.idle[k.endpoint] = append(p.idle[k.endpoint], k)
}

// unpark takes k from the idle connections; false: a call is on its way to it.
func (p *Pool) unpark(k *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[k.endpoint]
	for i := range list {
		if list[i] == k {
			p.idle[k.endpoint] = append(list[:i:i], list[i+1:]...)
			return true
		}
	}
	return false
}

// fail ends a call of which no byte was written.
func (p *Pool) fail(c *Call, o policy.Outcome) {
	if c.begin() {
		p.end(c, o)
	}
}

// end reports one outcome for all messages of a call.
func (p *Pool) end(c *Call, o policy.Outcome) {
	p.opt.OnDone(c, c.events(answer{outcome: o}))
}

// withheld drops a call that may not run any more, and reports whether it did.
func (p *Pool) withheld(c *Call) bool {
	if !c.barred() {
		return false
	}
	if c.Drop() {
		p.end(c, policy.Moot)
	}
	return true
}
