package outbound

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/valyala/fastjson"

	"sliptide/internal/http1"
	"sliptide/internal/sockets"
	"sliptide/policy"
)

// restWithin bounds the time from an answer's first byte to its last. One that has begun and does
// not go on is spoilt; waiting for the call's own time-out would hold its slot for seconds.
const restWithin = 400 * time.Millisecond

// interimMost bounds the 1xx answers ahead of the real one.
const interimMost = 8

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
	freeAt   time.Time   // when it has rested after its last answer
	begunAt  time.Time   // when the last answer began to arrive
	answers  int         // whole answers that it has carried
	reason   CloseReason // why calls was closed; written before that, under the pool's lock
	wbuf     []byte
	parser   fastjson.Parser
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
			k.closed(k.reason)
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
	nc, _, err := k.pool.dial(ctx, partner, k.addr, func() bool { return c.state.Load() == waiting })
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

// serve makes one call and reports whether the connection can take another, for
// which it is parked then.
func (k *conn) serve(c *Call) bool {
	if k.answers > 0 && !k.stillQuiet() {
		k.pool.single(c, k.partner)
		return false
	}
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
		k.closed(CloseAbandoned)
		k.pool.end(c, policy.ConnectFailed)
		return false
	}
	if n, err := k.nc.Write(k.wbuf); err != nil {
		k.nc.Close()
		c.off()
		k.closed(CloseWriteFailed)
		if n < len(k.wbuf) { // the last byte was not written: it never ran
			k.pool.end(c, policy.ConnectFailed)
		} else {
			k.pool.end(c, policy.Reset)
		}
		return false
	}
	written := time.Now()
	m, err := k.response(deadline)
	took := k.begunAt.Sub(written)
	given := c.off()
	if m.Status == http.StatusOK && k.mismatched(c, took) {
		k.nc.Close()
		k.pool.suspect(k.endpoint)
		k.closed(CloseMismatch)
		k.pool.end(c, policy.Error) // it may have run: its own answer is still to come
		return false
	}
	events, whole := k.read(c, m, err)
	reason, more := k.afterAnswer(c, m, err, given, whole, took)
	// Both before it is reported: a further attempt must not find this one open, and a call
	// that the outcome sets free must find this connection, or it opens a new one.
	if more {
		k.pool.park(k)
	} else {
		k.nc.Close()
		k.closed(reason)
	}
	k.pool.opt.OnDone(c, events)
	return more
}

// stillQuiet looks at a kept connection once more, right before a request is written to it, and closes one that is not
// as it was when the call was given to it.
func (k *conn) stillQuiet() bool {
	reason := CloseByPeer
	switch sockets.Check(k.nc) {
	case sockets.Idle:
		return true
	case sockets.Unsolicited:
		reason = CloseUnsolicited
		k.pool.mu.Lock()
		k.pool.noteUnsolicited(k.endpoint)
		k.pool.mu.Unlock()
	}
	k.nc.Close()
	k.closed(reason)
	return false
}

// afterAnswer reports whether the connection can take a further call, and if not, why it is closed. whole: an answer to
// several messages has named each of them; took: until it began.
func (k *conn) afterAnswer(c *Call, m *http1.Message, err error, given, whole bool, took time.Duration) (reason CloseReason, more bool) {
	switch {
	case given:
		return CloseAbandoned, false
	case errors.Is(err, errSpoilt):
		return CloseMalformed, false
	case err != nil:
		return CloseBroken, false
	}
	k.answers++
	k.pool.mu.Lock()
	defer k.pool.mu.Unlock()
	switch {
	case m.Close:
		return CloseRequested, false
	case k.rd.Buffered(): // it came with the answer, and can end no later call
		return CloseTrailingBytes, false
	case !whole:
		k.pool.profileOf(k.endpoint).suspectUntil = time.Now().Add(suspectFor)
		return CloseMismatch, false
	case m.Status != http.StatusOK: // a copy of it could not be told from the next call's answer by its time
		return CloseOtherStatus, false
	case k.pool.distrusted(k.endpoint):
		return CloseDistrusted, false
	}
	k.pool.learn(c, took)
	if len(c.Items) > 0 && k.pool.paceUnknown(k.endpoint) {
		return CloseResponseTimeUnknown, false
	}
	return 0, true
}

// response reads the real answer. What begins before the deadline and is no answer is errSpoilt.
func (k *conn) response(deadline time.Time) (*http1.Message, error) {
	for range interimMost {
		k.nc.SetReadDeadline(deadline)
		if err := k.rd.Wait(); err != nil {
			return &http1.Message{}, err
		}
		k.begunAt = time.Now()
		if rest := k.begunAt.Add(restWithin); rest.Before(deadline) {
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

// read turns an answer, or the lack of one, into the call's events. whole is false where an answer to several messages
// leaves some out.
func (k *conn) read(c *Call, m *http1.Message, err error) (events []policy.Event, whole bool) {
	single := len(c.Items) <= 1
	if err != nil && !(single && m.Status == http.StatusOK) {
		o := policy.Reset
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded), c.Abandoned():
			o = policy.Timeout
		case errors.Is(err, errSpoilt):
			o = policy.Error // the endpoint and the connection were there: neither a break nor silence
		}
		return c.events(answer{outcome: o}), true
	}
	get := func(name string) string { return string(m.Headers.Get(name)) }
	a := k.pool.answer(m.Status, get, single)
	if single || m.Status != http.StatusOK {
		return c.events(a), true
	}
	return each(&k.parser, c, m.Body, a)
}
