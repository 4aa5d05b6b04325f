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

// conn is one HTTP/1.1 connection; its goroutine serves one call after another. While it is in Pool.idle, its fields
// are accessed under the pool's lock, otherwise by its goroutine alone.
type conn struct {
	pool        *Pool
	partner     *Partner
	endpoint    uint32
	addr        string
	nc          net.Conn
	reader      *http1.Reader
	calls       chan *Call  // closed to end the goroutine
	usedAt      time.Time   // when it last became idle
	reusableAt  time.Time   // end of the settle time after the last response
	firstByteAt time.Time   // when the last response began to arrive
	responses   int         // complete responses that it has carried
	reason      CloseReason // why calls was closed; written before that, with the pool's lock held
	writeBuf    []byte
	parser      fastjson.Parser
}

// run dials for c and serves calls until the connection ends.
func (cn *conn) run(c *Call) {
	defer func() {
		cn.pool.mu.Lock()
		cn.pool.open--
		cn.pool.mu.Unlock()
	}()
	if !cn.dial(c) {
		return
	}
	defer cn.nc.Close()
	for cn.serve(c) {
		if c = cn.nextCall(); c == nil {
			cn.reportClosed(cn.reason)
			return
		}
	}
}

// nextCall waits for the next call of an idle connection. It returns nil if the connection is to be closed.
func (cn *conn) nextCall() *Call {
	timer := time.NewTimer(cn.pool.idleTimeout())
	defer timer.Stop()
	select {
	case c := <-cn.calls:
		return c
	case <-timer.C:
		if cn.pool.removeIdle(cn) {
			return nil
		}
		return <-cn.calls
	}
}

// dial establishes the connection for c. If it fails, it ends c and returns false.
func (cn *conn) dial(c *Call) bool {
	deadline := time.Now().Add(min(cn.pool.opt.DialTimeout, time.Until(c.SentAt.Add(c.Timeout))))
	ctx, cancel := context.WithDeadline(context.Background(), c.capAtWriteBy(deadline))
	defer cancel()
	partner := cn.partner
	if partner == nil {
		partner = &Partner{}
	} else if partner.TLS != nil && partner.HTTP2 { // it chose HTTP/1.1 when HTTP/2 was offered
		http1Only := *partner
		http1Only.HTTP2 = false
		partner = &http1Only
	}
	nc, _, err := cn.pool.dial(ctx, partner, cn.addr, func() bool { return c.state.Load() == stateWaiting })
	if err != nil && cn.pool.dropForbidden(c) { // ended by WriteBy or MayStart, which says nothing about the endpoint
		return false
	}
	if err != nil {
		if cn.partner != nil {
			cn.pool.reportDialError(cn.endpoint, cn.addr, err)
		}
		cn.pool.failUnsent(c, policy.ConnectFailed)
		return false
	}
	cn.nc, cn.reader = nc, http1.NewReader(nc)
	return true
}

// serve makes one call and reports whether the connection can take another. If so, serve has added it to the idle
// connections. If a reused connection turns out unusable before the request is written, another one makes the call.
func (cn *conn) serve(c *Call) bool {
	if cn.responses > 0 && !cn.stillIdle() {
		cn.pool.startHTTP1(c, cn.partner)
		return false
	}
	deadline := c.SentAt.Add(c.Timeout)
	cn.nc.SetDeadline(deadline)
	cn.writeBuf = c.appendRequest(cn.writeBuf[:0])
	if forbidden := c.startForbidden(); forbidden || !c.tryStart() {
		dropped := forbidden && c.Drop()
		cn.pool.addIdle(cn) // the call was dropped while it waited for the connection, which can still be used
		if dropped {        // reported last: the next call, which this outcome may release, must find the connection idle
			cn.pool.finish(c, policy.Moot)
		}
		return true
	}
	cn.nc.SetWriteDeadline(c.capAtWriteBy(deadline))
	if !c.attach(cn.nc) { // abandoned meanwhile; nothing was written
		cn.nc.Close()
		cn.reportClosed(CloseAbandoned)
		cn.pool.finish(c, policy.ConnectFailed)
		return false
	}
	if n, err := cn.nc.Write(cn.writeBuf); err != nil {
		cn.nc.Close()
		c.detach()
		cn.reportClosed(CloseWriteFailed)
		if n < len(cn.writeBuf) { // the last byte was not written: it never ran
			cn.pool.finish(c, policy.ConnectFailed)
		} else {
			cn.pool.finish(c, policy.Reset)
		}
		return false
	}
	writtenAt := time.Now()
	resp, err := cn.readResponse(deadline)
	responseTime := cn.firstByteAt.Sub(writtenAt)
	abandoned := c.detach()
	if resp.Status == http.StatusOK && cn.isMismatched(c, responseTime) {
		cn.nc.Close()
		cn.pool.markSuspect(cn.endpoint)
		cn.reportClosed(CloseMismatch)
		cn.pool.finish(c, policy.Error) // it may have run: its own response is still outstanding
		return false
	}
	events, complete := cn.responseEvents(c, resp, err)
	reason, reusable := cn.checkReuse(c, resp, err, abandoned, complete, responseTime)
	// The connection is closed or made idle before the outcome is reported: a further attempt
	// must not run while this one is open, and a call that the outcome releases must find this
	// connection idle, or it opens a new one.
	if reusable {
		cn.pool.addIdle(cn)
	} else {
		cn.nc.Close()
		cn.reportClosed(reason)
	}
	cn.pool.opt.OnDone(c, events)
	return reusable
}

// stillIdle checks a reused connection again, right before a request is written to it. It closes the connection if the
// peer has closed it or sent bytes since the call was given to it.
func (cn *conn) stillIdle() bool {
	reason := CloseByPeer
	switch sockets.Check(cn.nc) {
	case sockets.Idle:
		return true
	case sockets.Unsolicited:
		reason = CloseUnsolicited
		cn.pool.mu.Lock()
		cn.pool.noteUnsolicited(cn.endpoint)
		cn.pool.mu.Unlock()
	}
	cn.nc.Close()
	cn.reportClosed(reason)
	return false
}

// checkReuse reports whether the connection can take a further call after a response, and if not, why it is closed.
// complete is false if the response to a bulk call has left out a message. responseTime is the time from the last byte
// of the request to the first byte of the response.
func (cn *conn) checkReuse(c *Call, resp *http1.Message, err error, abandoned, complete bool,
	responseTime time.Duration) (reason CloseReason, reusable bool) {
	switch {
	case abandoned:
		return CloseAbandoned, false
	case errors.Is(err, errMalformed):
		return CloseMalformed, false
	case err != nil:
		return CloseBroken, false
	}
	cn.responses++
	cn.pool.mu.Lock()
	defer cn.pool.mu.Unlock()
	switch {
	case resp.Close:
		return CloseRequested, false
	case cn.reader.Buffered(): // on a reused connection these bytes would be taken for the response to the next call
		return CloseTrailingBytes, false
	case !complete:
		cn.pool.profileOf(cn.endpoint).suspectUntil = time.Now().Add(suspectDuration)
		return CloseMismatch, false
	case resp.Status != http.StatusOK: // only a 200 is checked by isMismatched: a copy of this would end the next call
		return CloseOtherStatus, false
	case cn.pool.distrusted(cn.endpoint):
		return CloseDistrusted, false
	}
	cn.pool.learnResponseTime(c, responseTime)
	if len(c.Items) > 0 && cn.pool.responseTimeUnknown(cn.endpoint) {
		return CloseResponseTimeUnknown, false
	}
	return 0, true
}

// readResponse reads the final response. One that begins before the deadline but cannot be parsed, is too large or
// stalls gives errMalformed. The message is never nil.
func (cn *conn) readResponse(deadline time.Time) (*http1.Message, error) {
	for range maxInterimResponses {
		cn.nc.SetReadDeadline(deadline)
		if err := cn.reader.Wait(); err != nil {
			return &http1.Message{}, err
		}
		cn.firstByteAt = time.Now()
		if readDeadline := cn.firstByteAt.Add(responseReadTimeout); readDeadline.Before(deadline) {
			cn.nc.SetReadDeadline(readDeadline)
		}
		resp, err := cn.reader.ReadResponse()
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
func (cn *conn) responseEvents(c *Call, resp *http1.Message, err error) (events []policy.Event, complete bool) {
	single := len(c.Items) <= 1
	if err != nil && !(single && resp.Status == http.StatusOK) { // a 200 to one message counts once its status is read
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
	result := cn.pool.classify(resp.Status, get, single)
	if single || resp.Status != http.StatusOK {
		return c.eventsFor(result), true
	}
	return parseBulk(&cn.parser, c, resp.Body, result)
}
