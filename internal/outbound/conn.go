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

// responseReadTimeout limits the time from the first byte of a response to its last. A response that
// stalls counts as malformed; waiting for the call's own time-out would hold its slot for seconds.
const responseReadTimeout = 400 * time.Millisecond

// maxInterimResponses limits the 1xx responses before the final one.
const maxInterimResponses = 8

// conn is one HTTP/1.1 connection; its goroutine serves one call after another.
type conn struct {
	pool        *Pool
	partner     *Partner
	endpoint    uint32
	addr        string
	nc          net.Conn
	reader      *http1.Reader
	calls       chan *Call // closed to end the goroutine
	usedAt      time.Time
	reusableAt  time.Time   // end of the settle time after the last response
	firstByteAt time.Time   // when the last response began to arrive
	answers     int         // complete responses that it has carried
	reason      CloseReason // why calls was closed; written before that, with the pool's lock held
	writeBuf    []byte
	parser      fastjson.Parser
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
		if c = k.nextCall(); c == nil {
			k.reportClosed(k.reason)
			return
		}
	}
}

// nextCall waits for the next call of an idle connection. It returns nil if the connection is to be closed.
func (k *conn) nextCall() *Call {
	timer := time.NewTimer(k.pool.idleTimeout())
	defer timer.Stop()
	select {
	case c := <-k.calls:
		return c
	case <-timer.C:
		if k.pool.removeIdle(k) {
			return nil
		}
		return <-k.calls
	}
}

func (k *conn) dial(c *Call) bool {
	deadline := time.Now().Add(min(k.pool.opt.DialTimeout, time.Until(c.SentAt.Add(c.Timeout))))
	ctx, cancel := context.WithDeadline(context.Background(), c.capAtWriteBy(deadline))
	defer cancel()
	partner := k.partner
	if partner == nil {
		partner = &Partner{}
	} else if partner.TLS != nil && partner.HTTP2 { // it chose HTTP/1.1 when HTTP/2 was offered
		http1Only := *partner
		http1Only.HTTP2 = false
		partner = &http1Only
	}
	nc, _, err := k.pool.dial(ctx, partner, k.addr, func() bool { return c.state.Load() == stateWaiting })
	if err != nil && k.pool.dropForbidden(c) { // WriteBy or MayStart ended it first: that says nothing about the endpoint
		return false
	}
	if err != nil {
		if k.partner != nil {
			k.pool.reportDialError(k.endpoint, k.addr, err)
		}
		k.pool.failUnsent(c, policy.ConnectFailed)
		return false
	}
	k.nc, k.reader = nc, http1.NewReader(nc)
	return true
}

// serve makes one call and reports whether the connection can take another; it is
// among the idle connections then.
func (k *conn) serve(c *Call) bool {
	if k.answers > 0 && !k.stillIdle() {
		k.pool.startHTTP1(c, k.partner)
		return false
	}
	deadline := c.SentAt.Add(c.Timeout)
	k.nc.SetDeadline(deadline)
	k.writeBuf = c.appendRequest(k.writeBuf[:0])
	if forbidden := c.startForbidden(); forbidden || !c.tryStart() {
		dropped := forbidden && c.Drop()
		k.pool.addIdle(k) // the call was dropped while it waited for the connection, which can still be used
		if dropped {      // reported last: the next call, which this outcome may release, must find the connection idle
			k.pool.finish(c, policy.Moot)
		}
		return true
	}
	k.nc.SetWriteDeadline(c.capAtWriteBy(deadline))
	if !c.attach(k.nc) {
		k.nc.Close()
		k.reportClosed(CloseAbandoned)
		k.pool.finish(c, policy.ConnectFailed)
		return false
	}
	if n, err := k.nc.Write(k.writeBuf); err != nil {
		k.nc.Close()
		c.detach()
		k.reportClosed(CloseWriteFailed)
		if n < len(k.writeBuf) { // the last byte was not written: it never ran
			k.pool.finish(c, policy.ConnectFailed)
		} else {
			k.pool.finish(c, policy.Reset)
		}
		return false
	}
	writtenAt := time.Now()
	resp, err := k.readResponse(deadline)
	responseTime := k.firstByteAt.Sub(writtenAt)
	abandoned := c.detach()
	if resp.Status == http.StatusOK && k.isMismatched(c, responseTime) {
		k.nc.Close()
		k.pool.markSuspect(k.endpoint)
		k.reportClosed(CloseMismatch)
		k.pool.finish(c, policy.Error) // it may have run: its own response is still outstanding
		return false
	}
	events, complete := k.responseEvents(c, resp, err)
	reason, reusable := k.checkReuse(c, resp, err, abandoned, complete, responseTime)
	// The connection is closed or made idle before the outcome is reported: a further attempt
	// must not run while this one is open, and a call that the outcome releases must find this
	// connection idle, or it opens a new one.
	if reusable {
		k.pool.addIdle(k)
	} else {
		k.nc.Close()
		k.reportClosed(reason)
	}
	k.pool.opt.OnDone(c, events)
	return reusable
}

// stillIdle checks a reused connection again, right before a request is written to it. It closes the connection if the
// peer has closed it or sent bytes since the call was given to it.
func (k *conn) stillIdle() bool {
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
	k.reportClosed(reason)
	return false
}

// checkReuse reports whether the connection can take a further call after a response, and if not, why it is closed.
// complete is false if the response to a bulk call has left out a message. responseTime is the time to the first byte.
func (k *conn) checkReuse(c *Call, resp *http1.Message, err error, abandoned, complete bool,
	responseTime time.Duration) (reason CloseReason, reusable bool) {
	switch {
	case abandoned:
		return CloseAbandoned, false
	case errors.Is(err, errMalformed):
		return CloseMalformed, false
	case err != nil:
		return CloseBroken, false
	}
	k.answers++
	k.pool.mu.Lock()
	defer k.pool.mu.Unlock()
	switch {
	case resp.Close:
		return CloseRequested, false
	case k.reader.Buffered(): // the bytes arrived with the response, and cannot end a later call
		return CloseTrailingBytes, false
	case !complete:
		k.pool.profileOf(k.endpoint).suspectUntil = time.Now().Add(suspectDuration)
		return CloseMismatch, false
	case resp.Status != http.StatusOK: // its copy could not be told from the response to the next call by the response time
		return CloseOtherStatus, false
	case k.pool.distrusted(k.endpoint):
		return CloseDistrusted, false
	}
	k.pool.learnResponseTime(c, responseTime)
	if len(c.Items) > 0 && k.pool.responseTimeUnknown(k.endpoint) {
		return CloseResponseTimeUnknown, false
	}
	return 0, true
}

// readResponse reads the final response. One that begins before the deadline but cannot be parsed, or stalls, gives
// errMalformed.
func (k *conn) readResponse(deadline time.Time) (*http1.Message, error) {
	for range maxInterimResponses {
		k.nc.SetReadDeadline(deadline)
		if err := k.reader.Wait(); err != nil {
			return &http1.Message{}, err
		}
		k.firstByteAt = time.Now()
		if readDeadline := k.firstByteAt.Add(responseReadTimeout); readDeadline.Before(deadline) {
			k.nc.SetReadDeadline(readDeadline)
		}
		resp, err := k.reader.Response()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, http1.ErrMalformed), errors.Is(err, http1.ErrTooLarge):
			return resp, errMalformed
		case err != nil || resp.Status >= 200:
			return resp, err
		}
	}
	return &http1.Message{}, errMalformed
}

var errMalformed = errors.New("malformed response")

// responseEvents converts a response, or the error in its place, to the call's events. complete is false if the
// response to a bulk call leaves out a message.
func (k *conn) responseEvents(c *Call, resp *http1.Message, err error) (events []policy.Event, complete bool) {
	single := len(c.Items) <= 1
	if err != nil && !(single && resp.Status == http.StatusOK) {
		outcome := policy.Reset
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded), c.Abandoned():
			outcome = policy.Timeout
		case errors.Is(err, errMalformed):
			outcome = policy.Error // the endpoint responded over a working connection: neither a reset nor a time-out
		}
		return c.eventsFor(itemResult{outcome: outcome}), true
	}
	get := func(name string) string { return string(resp.Headers.Get(name)) }
	result := k.pool.classify(resp.Status, get, single)
	if single || resp.Status != http.StatusOK {
		return c.eventsFor(result), true
	}
	return parseBulk(&k.parser, c, resp.Body, result)
}
