package outbound

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"sliptide/internal/h2"
	"sliptide/internal/h2/placing"
	"sliptide/internal/http1"
	"sliptide/policy"
)

// mux is the HTTP/2 connections to one endpoint, and the calls that wait for one of them. Where a request
// goes is decided by package placing; what its end means is fates.
type mux struct {
	pool     *Pool
	partner  *Partner
	endpoint uint32
	dest     int
	addr     string

	mu      sync.Mutex
	place   placing.Pool
	conns   map[int]*h2.Conn
	waiting []*Call
	born    map[int]int // answers so far when a connection was dialled
	answers int         // whole ones
	plain   bool        // the partner chose HTTP/1.1 by ALPN
	until   time.Time   // of a told wait: nothing that waits is sent
	closing bool
	dialAt  time.Time // the turn of the connection that was wanted last
}

// fates is what the end of a stream means to the decision module (RFC 9113 8.7; the protocol page's table).
// A whole answer means what its status says. An answer with 200 for a single message is true as soon as its
// head is there, whatever comes of the stream.
var fates = map[h2.Fate]policy.Outcome{
	h2.NeverRan:  policy.ConnectFailed, // the last byte was not written
	h2.GoneAway:  policy.Moot,          // the peer closes in good order: nothing is wrong with it, another connection may take it
	h2.Refused:   policy.Moot,          // no stream for it now: that is no rate, and must not cut the pace as Full does
	h2.Broken:    policy.Reset,         // it may have run
	h2.Silent:    policy.Timeout,       // it may have run, and the peer says nothing
	h2.Cancelled: policy.Timeout,       // given up by us
	h2.Spoilt:    policy.Error,         // answered, if in no way that can be read
}

func newMux(p *Pool, partner *Partner, c *Call) *mux {
	return &mux{
		pool: p, partner: partner, endpoint: c.Endpoint, dest: c.Dest, addr: c.Addr, conns: map[int]*h2.Conn{}, born: map[int]int{},
		place: placing.Pool{Set: placing.Settings{
			MaxConns: max(partner.MaxConns, 1), Ahead: 0.9, Expect: 100, IdleFor: float64(p.opt.KeepAlive.Milliseconds()),
		}},
	}
}

// start takes a call. It does not block.
func (m *mux) start(c *Call) {
	left := time.Until(c.SentAt.Add(c.Timeout))
	c.mu.Lock()
	c.timer = time.AfterFunc(max(left, 0), func() { m.expire(c) })
	c.mu.Unlock()
	m.mu.Lock()
	if m.plain {
		m.mu.Unlock()
		m.pool.single(c, m.partner)
		return
	}
	m.waiting = append(m.waiting, c)
	ends := m.advance()
	m.mu.Unlock()
	run(ends)
}

func run(list []func()) {
	for _, f := range list {
		f()
	}
}

// advance gives waiting calls to connections with room, and dials where that is wanted. The lock is held;
// what it returns is to be called without it.
func (m *mux) advance() (ends []func()) {
	for len(m.waiting) > 0 && !time.Now().Before(m.until) {
		c := m.waiting[0]
		if c.state.Load() != waiting { // dropped, or its time was up
			m.waiting = m.waiting[1:]
			continue
		}
		pc := m.place.Place()
		if pc == nil {
			break
		}
		m.waiting = m.waiting[1:]
		if c.barred() {
			ends = append(ends, func() { m.pool.withheld(c) })
			continue
		}
		if !c.begin() {
			continue
		}
		k := m.conns[pc.ID]
		s, ok := k.Start(m.request(c), func(r h2.Result) { m.ended(c, r) })
		m.note(pc, k)
		if !ok { // the peer has changed its mind since: nothing was written
			ends = append(ends, func() { m.pool.end(c, policy.Moot) })
			continue
		}
		c.mu.Lock()
		c.stream = s
		late := c.late
		c.mu.Unlock()
		if late {
			ends = append(ends, s.Cancel)
		}
	}
	for m.place.WantsDial(len(m.waiting)) && !m.closing {
		if !m.pool.reserve() {
			if m.place.Len() == 0 {
				ends = append(ends, m.failAll(policy.ConnectFailed)...)
			}
			break
		}
		pc := m.place.Dial()
		m.born[pc.ID] = m.answers
		wait := m.pool.dialTurn(m.dest)
		m.dialAt = time.Now().Add(wait)
		time.AfterFunc(wait, func() { m.dial(pc.ID) })
	}
	return ends
}

// failAll ends all calls that wait: none of them ran.
func (m *mux) failAll(o policy.Outcome) (ends []func()) {
	for _, c := range m.waiting {
		if c.begin() {
			ends = append(ends, func() { m.pool.end(c, o) })
		}
	}
	m.waiting = nil
	return ends
}

// note takes over what a connection can take now.
func (m *mux) note(pc *placing.Conn, k *h2.Conn) {
	st := k.State()
	pc.Limit, pc.Active = st.Limit, st.Active
	if st.Draining || st.Lost != nil {
		pc.Phase = placing.Draining
	} else if st.Open {
		pc.Phase = placing.Open
	}
}

// changed follows a connection: its limit, its streams, its end.
func (m *mux) changed(id int, k *h2.Conn) {
	m.mu.Lock()
	pc := m.place.Get(id)
	if pc == nil {
		m.mu.Unlock()
		return
	}
	m.conns[id] = k // SETTINGS may come before dial has entered it
	m.note(pc, k)
	pc.UsedAt = nowMS()
	var ends []func()
	if k.State().Lost != nil {
		// One that was of no use is a dial that failed: calls that wait must not dial again and again to a
		// partner that accepts and closes.
		useless := m.born[id] == m.answers
		m.drop(id)
		if useless && m.place.Len() == 0 {
			ends = m.failAll(policy.ConnectFailed)
		}
	}
	ends = append(ends, m.advance()...)
	if pc.Phase == placing.Draining || m.closing {
		m.reap()
	}
	m.mu.Unlock()
	run(ends)
}

// drop takes a connection out of the books. The lock is held.
func (m *mux) drop(id int) {
	m.place.Drop(id)
	delete(m.conns, id)
	delete(m.born, id)
	m.pool.release()
}

// started is a moment of this process, from which nowMS counts by the monotonic clock.
var started = time.Now()

func nowMS() float64 { return float64(time.Since(started)) / float64(time.Millisecond) }

// reap closes connections that are of no more use, and looks again when the next may be.
func (m *mux) reap() {
	for _, pc := range m.place.Idle(nowMS()) {
		if k := m.conns[pc.ID]; k != nil {
			k.Close()
		}
	}
}

// dial brings a connection up.
func (m *mux) dial(id int) {
	ctx, cancel := context.WithTimeout(context.Background(), m.pool.opt.DialTimeout)
	defer cancel()
	nc, proto, err := m.pool.dial(ctx, m.partner, m.addr, func() bool { return true })
	if err != nil {
		m.pool.complain(m.endpoint, m.addr, err)
	}
	if err == nil && proto != "h2" { // the partner picked HTTP/1.1 (RFC 7301)
		nc.Close()
		m.fallBack(id)
		return
	}
	if err != nil {
		m.mu.Lock()
		m.drop(id)
		var ends []func()
		if m.place.Len() == 0 {
			ends = m.failAll(policy.ConnectFailed)
		}
		ends = append(ends, m.advance()...)
		m.mu.Unlock()
		run(ends)
		return
	}
	k := h2.New(nc, h2.Options{
		MaxBody: http1.MaxBody, RestIn: restWithin, PingAfter: m.partner.PingAfter, PingFor: m.partner.PingTimeout,
		Changed: func(k *h2.Conn) { m.changed(id, k) },
	})
	select { // a peer that accepts and says nothing is no connection
	case <-ctx.Done():
	case <-k.Settled():
		go m.watchIdle(id, k)
		return
	case <-k.Done():
		return
	}
	m.pool.complain(m.endpoint, m.addr, errors.New("no SETTINGS in time"))
	k.Abort(errors.New("no SETTINGS in time"))
}

// watchIdle closes a connection that has not been used for the time that one may stand idle.
func (m *mux) watchIdle(id int, k *h2.Conn) {
	t := time.NewTicker(max(m.pool.fresh()/2, 10*time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-k.Done():
			return
		case <-t.C:
			m.mu.Lock()
			m.reap()
			m.mu.Unlock()
		}
	}
}

// fallBack gives the calls that wait to HTTP/1.1, and all that come for a while.
func (m *mux) fallBack(id int) {
	m.mu.Lock()
	m.drop(id)
	m.plain = true
	calls := m.waiting
	m.waiting = nil
	m.mu.Unlock()
	for _, c := range calls {
		m.pool.single(c, m.partner)
	}
}

// expire ends a call whose time is up. One that still waits never ran: for a connection that does not come,
// or for a stream of a peer that has no room.
func (m *mux) expire(c *Call) {
	if c.begin() {
		m.mu.Lock()
		o := policy.ConnectFailed
		switch {
		case len(m.conns) > 0:
			o = policy.Full
		case time.Now().Before(m.dialAt): // our own pace kept it, and says nothing of the partner
			o = policy.Moot
		}
		for i, w := range m.waiting {
			if w == c {
				m.waiting = append(m.waiting[:i:i], m.waiting[i+1:]...)
				break
			}
		}
		m.mu.Unlock()
		m.pool.end(c, o)
		return
	}
	c.mu.Lock()
	c.late = true
	s := c.stream
	c.mu.Unlock()
	if s != nil {
		s.Cancel()
	}
}

// hangUp closes the connections that carry nothing.
func (m *mux) hangUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, k := range m.conns {
		if pc := m.place.Get(id); pc != nil && k.State().Active == 0 {
			pc.Phase = placing.Draining
			k.Close()
		}
	}
}

// retire closes what is idle now and the rest when it is: the partner is reached in another way from here on.
func (m *mux) retire() {
	m.mu.Lock()
	m.closing, m.place.Set.IdleFor = true, 0
	ends := m.failAll(policy.Moot)
	m.reap()
	m.mu.Unlock()
	run(ends)
}

// ended turns the end of a stream into the call's events.
func (m *mux) ended(c *Call, r h2.Result) {
	c.mu.Lock()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	if r.Fate == h2.Answered {
		m.mu.Lock()
		m.answers++
		m.mu.Unlock()
	}
	single := len(c.Items) <= 1
	if r.Fate != h2.Answered && !(single && r.Status == 200) {
		m.pool.opt.OnDone(c, c.events(answer{outcome: fates[r.Fate]}))
		return
	}
	a := m.pool.answer(r.Status, r.Get, single)
	if a.wait > 0 {
		m.hold(time.Duration(a.wait) * time.Millisecond)
	}
	if single || r.Status != 200 {
		m.pool.opt.OnDone(c, c.events(a))
		return
	}
	var parser fastjson.Parser
	events, _ := each(&parser, c, r.Body, a) // a stream carries the answer to its own request alone
	m.pool.opt.OnDone(c, events)
}

// hold keeps back what waits for a stream when a wait is told. The stream that told it is free at once, and
// the next in line would take it before the sender has heard of the wait and withdrawn it.
func (m *mux) hold(wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until := time.Now().Add(wait); until.After(m.until) {
		m.until = until
	}
	time.AfterFunc(wait+time.Millisecond, func() {
		m.mu.Lock()
		ends := m.advance()
		m.mu.Unlock()
		run(ends)
	})
}

// request is the call as HTTP/2 carries it.
func (m *mux) request(c *Call) *h2.Request {
	r := &h2.Request{Method: "POST", Scheme: "http", Authority: m.addr}
	if m.partner.TLS != nil {
		r.Scheme = "https"
		if m.partner.ServerName != "" {
			r.Authority = m.partner.ServerName
		}
	}
	expires := h2.Field{Name: "x-expires-in", Value: strconv.FormatFloat(max(time.Until(c.SentAt.Add(c.Timeout)).Seconds(), 0.001), 'f', 3, 64)}
	switch len(c.Items) {
	case 0:
		r.Method, r.Path = "GET", "/alive"
	case 1:
		it := &c.Items[0]
		r.Path, r.Body = "/inbox", it.Body
		r.Fields = make([]h2.Field, 0, 3)
		r.Fields = append(r.Fields, h2.Field{Name: "x-trace-id", Value: it.Trace, Private: true})
		if it.Key != "" {
			r.Fields = append(r.Fields, h2.Field{Name: "idempotency-key", Value: it.Key, Private: true})
		}
		r.Fields = append(r.Fields, expires)
	default:
		r.Path, r.Body = "/inbox/bulk", c.bulk()
		r.Fields = append(r.Fields, h2.Field{Name: "content-type", Value: "application/json"}, expires)
	}
	return r
}
