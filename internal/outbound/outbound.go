// Package outbound makes the calls to endpoints: one goroutine a connection, a
// pool of idle connections for each endpoint, and the outcome that each answer
// or failure stands for.
package outbound

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fastjson"

	"sliptide/internal/h2"
	"sliptide/internal/http1"
	"sliptide/policy"
)

// idleMargin is kept from the time at which an idle connection is closed. A longer
// one costs new connections to partners that are seldom called.
const idleMargin = 500 * time.Millisecond

// restWithin bounds the time from an answer's first byte to its last. One that has begun and does
// not go on is spoilt; waiting for the call's own time-out would hold its slot for seconds.
const restWithin = 400 * time.Millisecond

// interimMost bounds the 1xx answers ahead of the real one.
const interimMost = 8

// Item is one message of a call.
type Item struct {
	ID         uint64
	Attempt    int
	Trace, Key string
	Body       []byte
}

// The states of a call's first byte.
const (
	waiting = iota
	begun
	dropped
)

// Call is one call to an endpoint: a message, several, or a probe (no items).
type Call struct {
	Endpoint uint32
	Addr     string
	Dest     int
	Items    []Item
	SentAt   time.Time
	Timeout  time.Duration
	// May is asked immediately before the first byte; where it says no, the call never runs. nil: it may.
	May func() bool
	// Until is the latest moment at which the request may be written; zero: no bound but the time-out. Guards
	// against a repeat that waits for its connection, and arrives when the partner has forgotten the first.
	Until time.Time

	state atomic.Int32

	mu    sync.Mutex // over the rest
	given bool       // up, before its time: its messages are in doubt, whatever its answer says
	nc    net.Conn   // that it is on, over HTTP/1.1
	// of HTTP/2 alone
	timer  *time.Timer
	stream *h2.Stream
	late   bool // it was to end before its stream was there
}

// Drop gives up a call that has not written its first byte, and reports whether
// it did. The call then never ran, and nobody else reports it.
func (c *Call) Drop() bool { return c.state.CompareAndSwap(waiting, dropped) }

// GiveUp ends a call that has begun, with its connection or stream: each of its messages may have run. What has been
// read of its answer counts for nothing, except that it was turned away. It does not block.
func (c *Call) GiveUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.given, c.late = true, true
	if c.nc != nil {
		c.nc.Close()
	}
	if c.stream != nil {
		c.stream.Cancel()
	}
}

// Given reports whether the call was given up.
func (c *Call) Given() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.given
}

// on notes the connection that the call goes out on; false: it was given up before.
func (c *Call) on(nc net.Conn) bool {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn() // whose Close waits for nobody
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nc = nc
	return !c.given
}

// off lets go of the connection, which the call may close no more; true: it was given up.
func (c *Call) off() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nc = nil
	return c.given
}

// barred reports whether the call may not begin any more.
func (c *Call) barred() bool {
	return c.May != nil && !c.May() || !c.Until.IsZero() && !time.Now().Before(c.Until)
}

// earlier is at, or Until where that comes first.
func (c *Call) earlier(at time.Time) time.Time {
	if !c.Until.IsZero() && c.Until.Before(at) {
		return c.Until
	}
	return at
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

func (c *Call) begin() bool { return c.state.CompareAndSwap(waiting, begun) }

// Options are what a Pool needs to know.
type Options struct {
	MaxConns    int
	KeepAlive   time.Duration // how long a connection may stand idle
	DialTimeout time.Duration
	X0, X1      int // positions in a report; -1 = absent
	// Done takes the events that a call ends with, in the order of its items. It must not be held up.
	Done func(*Call, []policy.Event)
	// Partner says how a destination is reached; nil, or a nil answer: plain HTTP/1.1.
	Partner func(dest int) *Partner
	// Trouble is told why a connection could not be had, once in troubleGap for an endpoint; it may be nil.
	Trouble func(endpoint uint32, addr string, err error)
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
	pace map[int]*dialPace // by destination, of those whose connections are paced
}

// NewPool returns a Pool without connections.
func NewPool(opt Options) *Pool {
	return &Pool{opt: opt, idle: map[uint32][]*conn{}, mux: map[uint32]*mux{}, told: map[uint32]time.Time{}, pace: map[int]*dialPace{}}
}

// conn is one connection; its goroutine serves one call after another.
type conn struct {
	pool     *Pool
	partner  *Partner
	endpoint uint32
	addr     string
	nc       net.Conn
	rd       *http1.Reader
	calls    chan *Call // closed to end the goroutine
	usedAt   time.Time
	wbuf     []byte
	parser   fastjson.Parser
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

// Open is how many connections there are or come up.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// complain tells why an endpoint could not be reached, where somebody listens.
func (p *Pool) complain(endpoint uint32, addr string, err error) {
	if p.opt.Trouble == nil {
		return
	}
	p.mu.Lock()
	soon := time.Since(p.told[endpoint]) < troubleGap
	if !soon {
		p.told[endpoint] = time.Now()
	}
	p.mu.Unlock()
	if !soon {
		p.opt.Trouble(endpoint, addr, err)
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

// onIdle gives a call to a connection that stands idle, if there is one.
func (p *Pool) onIdle(c *Call, partner *Partner) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[c.Endpoint]; len(list) > 0; list = p.idle[c.Endpoint] {
		k := list[len(list)-1]
		p.idle[c.Endpoint] = list[:len(list)-1]
		// An idle connection that its endpoint has closed (a crash, a restart) would turn a
		// call that never ran into a reset, which may have run.
		if k.addr == c.Addr && k.partner == partner && time.Since(k.usedAt) < p.fresh() && alive(k.nc) {
			k.calls <- c // holds one, and none is under way to a connection that was idle
			return true
		}
		close(k.calls)
	}
	return false
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
	close(oldest.calls)
	return true
}

// HangUp closes the idle connections to an endpoint.
func (p *Pool) HangUp(endpoint uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.idle[endpoint] {
		close(k.calls)
	}
	delete(p.idle, endpoint)
	if m := p.mux[endpoint]; m != nil {
		go m.hangUp()
	}
}

// park puts k among the idle connections. The last call's deadline goes with it:
// once it has passed, alive would take the connection for dead.
func (p *Pool) park(k *conn) {
	k.nc.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	k.usedAt = time.Now()
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

// alive reports whether the other side has neither closed the connection nor
// sent anything unasked.
func alive(nc net.Conn) bool {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// run dials for c and serves calls until the connection ends.
func (k *conn) run(c *Call) {
	defer func() {
		k.pool.mu.Lock()
		k.pool.open--
		k.pool.mu.Unlock()
	}()
	if !k.dial(c) {
		return
	}
	defer k.nc.Close()
	for k.serve(c) {
		if c = k.next(); c == nil {
			return
		}
	}
}

// next is the next call of a connection that was parked; nil: it is to be closed.
func (k *conn) next() *Call {
	timer := time.NewTimer(k.pool.fresh())
	defer timer.Stop()
	select {
	case c := <-k.calls:
		return c
	case <-timer.C:
		if k.pool.unpark(k) {
			return nil
		}
		return <-k.calls
	}
}

func (k *conn) dial(c *Call) bool {
	limit := time.Now().Add(min(k.pool.opt.DialTimeout, time.Until(c.SentAt.Add(c.Timeout))))
	ctx, cancel := context.WithDeadline(context.Background(), c.earlier(limit))
	defer cancel()
	partner := k.partner
	if partner == nil {
		partner = &Partner{}
	} else if partner.TLS != nil && partner.HTTP2 { // it chose HTTP/1.1 when it was asked for more
		one := *partner
		one.HTTP2 = false
		partner = &one
	}
	nc, _, err := partner.Dial(ctx, k.addr)
	if err != nil && k.pool.withheld(c) { // its own bound came first: that says nothing of the endpoint
		return false
	}
	if err != nil {
		if k.partner != nil {
			k.pool.complain(k.endpoint, k.addr, err)
		}
		k.pool.fail(c, policy.ConnectFailed)
		return false
	}
	k.nc, k.rd = nc, http1.NewReader(nc)
	return true
}

// fail ends a call of which no byte was written.
func (p *Pool) fail(c *Call, o policy.Outcome) {
	if c.begin() {
		p.end(c, o)
	}
}

// end reports one outcome for all messages of a call.
func (p *Pool) end(c *Call, o policy.Outcome) {
	p.opt.Done(c, c.events(answer{outcome: o}))
}

// serve makes one call and reports whether the connection can take another, for
// which it is parked then.
func (k *conn) serve(c *Call) bool {
	deadline := c.SentAt.Add(c.Timeout)
	k.nc.SetDeadline(deadline)
	k.wbuf = c.append(k.wbuf[:0])
	if barred := c.barred(); barred || !c.begin() {
		dropped := barred && c.Drop()
		k.pool.park(k) // the call was dropped while it waited for the connection, which is as good as any
		if dropped {   // told last: the next call, which this outcome may set free, has to find the connection
			k.pool.end(c, policy.Moot)
		}
		return true
	}
	k.nc.SetWriteDeadline(c.earlier(deadline))
	if !c.on(k.nc) {
		k.nc.Close()
		k.pool.end(c, policy.ConnectFailed)
		return false
	}
	if n, err := k.nc.Write(k.wbuf); err != nil {
		k.nc.Close()
		c.off()
		if n < len(k.wbuf) { // the last byte was not written: it never ran
			k.pool.end(c, policy.ConnectFailed)
		} else {
			k.pool.end(c, policy.Reset)
		}
		return false
	}
	m, err := k.response(deadline)
	given := c.off()
	more := err == nil && !given && !m.Close && !k.rd.Buffered()
	events := k.read(c, m, err)
	// Both before it is reported: a further attempt must not find this one open, and a call
	// that the outcome sets free must find this connection, or it opens a new one.
	if more {
		k.pool.park(k)
	} else {
		k.nc.Close()
	}
	k.pool.opt.Done(c, events)
	return more
}

// response reads the real answer. What begins before the deadline and is no answer is errSpoilt.
func (k *conn) response(deadline time.Time) (*http1.Message, error) {
	for range interimMost {
		k.nc.SetReadDeadline(deadline)
		if err := k.rd.Wait(); err != nil {
			return &http1.Message{}, err
		}
		if rest := time.Now().Add(restWithin); rest.Before(deadline) {
			k.nc.SetReadDeadline(rest)
		}
		m, err := k.rd.Response()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, http1.ErrMalformed), errors.Is(err, http1.ErrTooLarge):
			return m, errSpoilt
		case err != nil || m.Status >= 200:
			return m, err
		}
	}
	return &http1.Message{}, errSpoilt
}

var errSpoilt = errors.New("answer that cannot be read")

// read turns an answer, or the lack of one, into the call's events.
func (k *conn) read(c *Call, m *http1.Message, err error) []policy.Event {
	single := len(c.Items) <= 1
	if err != nil && !(single && m.Status == 200) {
		o := policy.Reset
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded), c.Given():
			o = policy.Timeout
		case errors.Is(err, errSpoilt):
			o = policy.Error // the endpoint and the connection were there: neither a break nor silence
		}
		return c.events(answer{outcome: o})
	}
	get := func(name string) string { return string(m.Headers.Get(name)) }
	a := k.pool.answer(m.Status, get, single)
	if single || m.Status != 200 {
		return c.events(a)
	}
	return each(&k.parser, c, m.Body, a)
}
