package outbound

import (
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sliptide/internal/h2"
)

// Item is one message of a call.
type Item struct {
	ID         uint64
	Attempt    int    // 0: the first
	Trace, Key string // sent as X-Trace-Id and Idempotency-Key; without a Key, no Idempotency-Key is sent
	Body       []byte
}

// The states of a call. It leaves stateWaiting once. Whoever changes it to stateStarted may write its first byte, or
// report its end without a byte written. Whoever changes it to stateDropped reports its end; such a call never starts.
const (
	stateWaiting = iota
	stateStarted
	stateDropped
)

// Call is one call to an endpoint, with one message, several messages, or none (a probe).
type Call struct {
	Endpoint uint32
	Addr     string
	Dest     int
	Items    []Item
	SentAt   time.Time // Timeout and the reported latency count from here
	Timeout  time.Duration
	// MayStart is called immediately before the first byte is written, and over HTTP/1.1 after a failed dial. If it
	// returns false, the call never runs and ends as Moot. It must not block or call methods of the Pool, whose locks may
	// be held. It may be nil.
	MayStart func() bool
	// WriteBy is the latest time at which the request may be written; zero: no limit but the time-out. A call that has
	// not started by then never runs and ends as Moot: a retry that waits for its connection must not arrive after the
	// partner has forgotten the first attempt.
	WriteBy time.Time
	// NewConn requires a new connection over HTTP/1.1. An endpoint responds at once to a message that it already knows,
	// and on a reused connection that response could not be told from a copy of an earlier one.
	NewConn bool

	state atomic.Int32

	mu        sync.Mutex // guards the fields below
	abandoned bool       // Abandon was called before the end of the call
	nc        net.Conn   // HTTP/1.1 connection that carries the call
	// HTTP/2 only
	timer         *time.Timer
	stream        *h2.Stream
	cancelOnStart bool // the call was abandoned or has timed out: a stream that is opened later is cancelled at once
}

// Drop cancels a call that has not started, and reports whether it did. The call then
// never ran, and only the caller of Drop reports its end.
func (c *Call) Drop() bool { return c.state.CompareAndSwap(stateWaiting, stateDropped) }

// Abandon ends a call that has started, by closing its connection or cancelling its stream: each of its messages may
// have run. OnDone still receives what a response says that has already been read; Abandoned then tells the receiver
// not to rely on a success. A refusal still proves that the call never ran. Abandon does not block.
func (c *Call) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned, c.cancelOnStart = true, true
	if c.nc != nil {
		c.nc.Close()
	}
	if c.stream != nil {
		c.stream.Cancel()
	}
}

// Abandoned reports whether Abandon was called.
func (c *Call) Abandoned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned
}

// attach records the connection that carries the call. It returns false if the call was already abandoned.
func (c *Call) attach(nc net.Conn) bool {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn() // its Close does not wait for the peer, as that of tls.Conn may
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nc = nc
	return !c.abandoned
}

// detach releases the connection, so that Abandon no longer closes it, and reports whether the call was abandoned.
func (c *Call) detach() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nc = nil
	return c.abandoned
}

// startForbidden reports whether MayStart or WriteBy forbids the call to start.
func (c *Call) startForbidden() bool {
	return c.MayStart != nil && !c.MayStart() || !c.WriteBy.IsZero() && !time.Now().Before(c.WriteBy)
}

// capAtWriteBy returns deadline, or WriteBy if that is earlier.
func (c *Call) capAtWriteBy(deadline time.Time) time.Time {
	if !c.WriteBy.IsZero() && c.WriteBy.Before(deadline) {
		return c.WriteBy
	}
	return deadline
}

// tryStart reports whether the call was waiting, and marks it as started if so.
func (c *Call) tryStart() bool { return c.state.CompareAndSwap(stateWaiting, stateStarted) }
