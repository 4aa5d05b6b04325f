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

// mux holds the HTTP/2 connections to one endpoint, and the calls that wait for one of them. Package placing
// decides which connection takes a request. mu guards the fields below it.
type mux struct {
	pool     *Pool
	partner  *Partner
	endpoint uint32
	dest     int
	addr     string

	mu              sync.Mutex
	placement       placing.Pool
	conns           map[int]*h2.Conn // by the ID that placement has given to the connection
	waiting         []*Call          // in order of arrival
	responsesAtDial map[int]int      // value of responses when a connection was added, by its ID
	responses       int              // complete responses received
	http1Only       bool             // the partner chose HTTP/1.1 by ALPN
	heldUntil       time.Time        // end of a requested wait, during which no waiting call is sent
	retired         bool             // replaced by another mux
	dialDueAt       time.Time        // when the connection added last may be dialled, see PaceDials
}

// streamOutcomes maps the end of a stream to the outcome that package policy receives (RFC 9113 8.7). Two cases are not
// in it: a complete response is classified by its status, and a 200 to a single message counts as soon as its header
// section has arrived, however the stream ends.
var streamOutcomes = map[h2.Outcome]policy.Outcome{
	h2.NeverRan:        policy.ConnectFailed, // the last byte was not written
	h2.GoneAway:        policy.Moot,          // graceful shutdown: the peer is healthy, a further attempt may succeed
	h2.Refused:         policy.Moot,          // no free stream: no rate limit, must not cut the pace as Full does
	h2.Broken:          policy.Reset,         // the call may have run
	h2.Unresponsive:    policy.Timeout,       // the call may have run, and the peer does not respond
	h2.Cancelled:       policy.Timeout,       // cancelled by this side
	h2.InvalidResponse: policy.Error,         // there was a response, but a malformed one
}

func newMux(p *Pool, partner *Partner, c *Call) *mux {
	return &mux{
		pool: p, partner: partner, endpoint: c.Endpoint, dest: c.Dest, addr: c.Addr,
		conns: map[int]*h2.Conn{}, responsesAtDial: map[int]int{},
		placement: placing.Pool{Settings: placing.Settings{
			MaxConns: max(partner.MaxConns, 1), DialThreshold: 0.9, ExpectedStreams: 100, IdleTimeout: float64(p.opt.KeepAlive.Milliseconds()),
		}},
	}
}

// start accepts a call. It does not block.
func (m *mux) start(c *Call) {
	remaining := time.Until(c.SentAt.Add(c.Timeout))
	c.mu.Lock()
	c.timer = time.AfterFunc(max(remaining, 0), func() { m.expire(c) })
	c.mu.Unlock()
	m.mu.Lock()
	if m.http1Only {
		m.mu.Unlock()
		m.pool.startHTTP1(c, m.partner)
		return
	}
	m.waiting = append(m.waiting, c)
	callbacks := m.dispatch()
	m.mu.Unlock()
	runAll(callbacks)
}

func runAll(callbacks []func()) {
	for _, callback := range callbacks {
		callback()
	}
}

// dispatch gives waiting calls to connections with free streams, and dials further connections if needed. The lock
// must be held; the callbacks that it returns must be called without the lock.
func (m *mux) dispatch() (callbacks []func()) {
	for len(m.waiting) > 0 && !time.Now().Before(m.heldUntil) {
		c := m.waiting[0]
		if c.state.Load() != stateWaiting { // dropped or timed out
			m.waiting = m.waiting[1:]
			continue
		}
		pc := m.placement.Pick()
		if pc == nil {
			break
		}
		m.waiting = m.waiting[1:]
		if c.startForbidden() {
			callbacks = append(callbacks, func() { m.pool.dropForbidden(c) })
			continue
		}
		if !c.tryStart() {
			continue
		}
		hc := m.conns[pc.ID]
		s, ok := hc.Start(m.newRequest(c), func(r h2.Result) { m.streamEnded(c, r) })
		m.updatePlacement(pc, hc)
		if !ok { // the connection takes no more streams: nothing was written
			callbacks = append(callbacks, func() { m.pool.finish(c, policy.Moot) })
			continue
		}
		c.mu.Lock()
		c.stream = s
		cancelOnStart := c.cancelOnStart
		c.mu.Unlock()
		if cancelOnStart {
			callbacks = append(callbacks, s.Cancel)
		}
	}
	for m.placement.ShouldDial(len(m.waiting)) && !m.retired {
		if !m.pool.reserveConn() {
			if m.placement.Len() == 0 {
				callbacks = append(callbacks, m.failWaiting(policy.ConnectFailed)...)
			}
			break
		}
		pc := m.placement.Add()
		m.responsesAtDial[pc.ID] = m.responses
		wait := m.pool.dialTurn(m.dest)
		m.dialDueAt = time.Now().Add(wait)
		time.AfterFunc(wait, func() { m.dial(pc.ID) })
	}
	return callbacks
}

// failWaiting ends all waiting calls, none of which ran. The lock must be held; the callbacks that it returns must be
// called without the lock.
func (m *mux) failWaiting(outcome policy.Outcome) (callbacks []func()) {
	for _, c := range m.waiting {
		if c.tryStart() {
			callbacks = append(callbacks, func() { m.pool.finish(c, outcome) })
		}
	}
	m.waiting = nil
	return callbacks
}

// updatePlacement copies the stream limit, the open streams and the phase of a connection to its placing entry. The
// lock must be held.
func (m *mux) updatePlacement(pc *placing.Conn, hc *h2.Conn) {
	state := hc.State()
	pc.Limit, pc.Active = state.Limit, state.Active
	if state.Draining || state.Lost != nil {
		pc.Phase = placing.Draining
	} else if state.Open {
		pc.Phase = placing.Open
	}
}

// connChanged is called when the stream limit or the open streams of a connection have changed, or when it has ended.
func (m *mux) connChanged(id int, hc *h2.Conn) {
	m.mu.Lock()
	pc := m.placement.Get(id)
	if pc == nil {
		m.mu.Unlock()
		return
	}
	m.conns[id] = hc // registered here, since SETTINGS may arrive before h2.New returns
	m.updatePlacement(pc, hc)
	pc.UsedAt = nowMS()
	var callbacks []func()
	if hc.State().Lost != nil {
		// If no response has been received since this connection was added, its loss counts as a failed dial: waiting
		// calls must not dial again and again to a partner that accepts connections and closes them.
		noResponses := m.responsesAtDial[id] == m.responses
		m.removeConn(id)
		if noResponses && m.placement.Len() == 0 {
			callbacks = m.failWaiting(policy.ConnectFailed)
		}
	}
	callbacks = append(callbacks, m.dispatch()...)
	if pc.Phase == placing.Draining || m.retired {
		m.closeUnused()
	}
	m.mu.Unlock()
	runAll(callbacks)
}

// removeConn removes a connection from the mux and from the pool's count. The lock must be held.
func (m *mux) removeConn(id int) {
	m.placement.Remove(id)
	delete(m.conns, id)
	delete(m.responsesAtDial, id)
	m.pool.releaseConn()
}

// processStart is the origin of nowMS, which counts milliseconds by the monotonic clock.
var processStart = time.Now()

func nowMS() float64 { return float64(time.Since(processStart)) / float64(time.Millisecond) }

// closeUnused closes the connections without open streams that are draining or have been idle too long. The lock must
// be held.
func (m *mux) closeUnused() {
	for _, pc := range m.placement.Closable(nowMS()) {
		if hc := m.conns[pc.ID]; hc != nil {
			hc.Close()
		}
	}
}

// dial establishes the connection with the given ID. The peer's SETTINGS must have been received within DialTimeout. If
// the dial fails and no other connection is left, all waiting calls fail.
func (m *mux) dial(id int) {
	ctx, cancel := context.WithTimeout(context.Background(), m.pool.opt.DialTimeout)
	defer cancel()
	nc, proto, err := m.pool.dial(ctx, m.partner, m.addr, func() bool { return true })
	if err != nil {
		m.pool.reportDialError(m.endpoint, m.addr, err)
	}
	if err == nil && proto != "h2" { // the partner chose HTTP/1.1 by ALPN (RFC 7301)
		nc.Close()
		m.fallBackToHTTP1(id)
		return
	}
	if err != nil {
		m.mu.Lock()
		m.removeConn(id)
		var callbacks []func()
		if m.placement.Len() == 0 {
			callbacks = m.failWaiting(policy.ConnectFailed)
		}
		callbacks = append(callbacks, m.dispatch()...)
		m.mu.Unlock()
		runAll(callbacks)
		return
	}
	hc := h2.New(nc, h2.Options{
		MaxBody: http1.MaxBody, BodyTimeout: responseReadTimeout, ReadIdleTimeout: m.partner.PingAfter, PingTimeout: m.partner.PingTimeout,
		OnChange: func(hc *h2.Conn) { m.connChanged(id, hc) },
	})
	select { // a connection is usable only once the peer has sent its SETTINGS
	case <-ctx.Done():
	case <-hc.Ready():
		go m.watchIdle(id, hc)
		return
	case <-hc.Done():
		return
	}
	m.pool.reportDialError(m.endpoint, m.addr, errors.New("HTTP/2: no SETTINGS received within the dial time-out"))
	hc.Abort(errors.New("HTTP/2: no SETTINGS received within the dial time-out"))
}

// watchIdle periodically closes the unused connections of the mux, until hc ends.
func (m *mux) watchIdle(id int, hc *h2.Conn) {
	ticker := time.NewTicker(max(m.pool.idleTimeout()/2, 10*time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-hc.Done():
			return
		case <-ticker.C:
			m.mu.Lock()
			m.closeUnused()
			m.mu.Unlock()
		}
	}
}

// fallBackToHTTP1 makes the waiting calls, and all later calls of this mux, over HTTP/1.1.
func (m *mux) fallBackToHTTP1(id int) {
	m.mu.Lock()
	m.removeConn(id)
	m.http1Only = true
	calls := m.waiting
	m.waiting = nil
	m.mu.Unlock()
	for _, c := range calls {
		m.pool.startHTTP1(c, m.partner)
	}
}

// expire ends a call that has timed out. One that still waits never ran: no connection was established, the peer
// allowed no further stream, or a requested wait held it.
func (m *mux) expire(c *Call) {
	if c.tryStart() {
		m.mu.Lock()
		outcome := policy.ConnectFailed
		switch {
		case len(m.conns) > 0:
			outcome = policy.Full
		case time.Now().Before(m.dialDueAt): // delayed by the pacing of dials, which says nothing about the partner
			outcome = policy.Moot
		}
		for i, waiting := range m.waiting {
			if waiting == c {
				m.waiting = append(m.waiting[:i:i], m.waiting[i+1:]...)
				break
			}
		}
		m.mu.Unlock()
		m.pool.finish(c, outcome)
		return
	}
	c.mu.Lock()
	c.cancelOnStart = true
	s := c.stream
	c.mu.Unlock()
	if s != nil {
		s.Cancel()
	}
}

// closeIdleConns closes the connections without open streams.
func (m *mux) closeIdleConns() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, hc := range m.conns {
		if pc := m.placement.Get(id); pc != nil && hc.State().Active == 0 {
			pc.Phase = placing.Draining
			hc.Close()
		}
	}
}

// retire ends the waiting calls, closes the idle connections, and lets the others close once they are idle: the
// endpoint has a new address or other partner settings.
func (m *mux) retire() {
	m.mu.Lock()
	m.retired, m.placement.Settings.IdleTimeout = true, 0
	callbacks := m.failWaiting(policy.Moot)
	m.closeUnused()
	m.mu.Unlock()
	runAll(callbacks)
}

// streamEnded converts the end of a stream to the call's events, and reports them.
func (m *mux) streamEnded(c *Call, r h2.Result) {
	c.mu.Lock()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	if r.Outcome == h2.Answered {
		m.mu.Lock()
		m.responses++
		m.mu.Unlock()
	}
	single := len(c.Items) <= 1
	if r.Outcome != h2.Answered && !(single && r.Status == 200) {
		m.pool.opt.OnDone(c, c.eventsFor(itemResult{outcome: streamOutcomes[r.Outcome]}))
		return
	}
	result := m.pool.classify(r.Status, r.Get, single)
	if result.requestedWait > 0 {
		m.holdWaiting(time.Duration(result.requestedWait) * time.Millisecond)
	}
	if single || r.Status != 200 {
		m.pool.opt.OnDone(c, c.eventsFor(result))
		return
	}
	var parser fastjson.Parser
	events, _ := parseBulk(&parser, c, r.Body, result) // a stream has its own response: a message left out is no mismatch
	m.pool.opt.OnDone(c, events)
}

// holdWaiting holds the calls that wait for a stream during a requested wait. The stream whose response requested
// it is free at once, and the next waiting call would take it before the sender has been informed of the wait and
// has dropped that call.
func (m *mux) holdWaiting(wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until := time.Now().Add(wait); until.After(m.heldUntil) {
		m.heldUntil = until
	}
	time.AfterFunc(wait+time.Millisecond, func() {
		m.mu.Lock()
		callbacks := m.dispatch()
		m.mu.Unlock()
		runAll(callbacks)
	})
}

// newRequest returns the HTTP/2 request of a call, with the fields that appendRequest writes over HTTP/1.1.
func (m *mux) newRequest(c *Call) *h2.Request {
	r := &h2.Request{Method: "POST", Scheme: "http", Authority: m.addr}
	if m.partner.TLS != nil {
		r.Scheme = "https"
		if m.partner.ServerName != "" {
			r.Authority = m.partner.ServerName
		}
	}
	expires := h2.Field{
		Name: "x-expires-in", Value: strconv.FormatFloat(max(time.Until(c.SentAt.Add(c.Timeout)).Seconds(), 0.001), 'f', 3, 64),
	}
	switch len(c.Items) {
	case 0:
		r.Method, r.Path = "GET", "/alive"
	case 1:
		item := &c.Items[0]
		r.Path, r.Body = "/inbox", item.Body
		r.Fields = make([]h2.Field, 0, 3)
		r.Fields = append(r.Fields, h2.Field{Name: "x-trace-id", Value: item.Trace, Sensitive: true})
		if item.Key != "" {
			r.Fields = append(r.Fields, h2.Field{Name: "idempotency-key", Value: item.Key, Sensitive: true})
		}
		r.Fields = append(r.Fields, expires)
	default:
		r.Path, r.Body = "/inbox/bulk", c.bulkBody()
		r.Fields = append(r.Fields, h2.Field{Name: "content-type", Value: "application/json"}, expires)
	}
	return r
}
