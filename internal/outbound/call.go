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
	// MayStart is asked immediately before the first byte; where it says no, the call never runs. nil: it may.
	MayStart func() bool
	// WriteBy is the latest moment at which the request may be written; zero: no bound but the time-out. Guards
	// against a repeat that waits for its connection, and arrives when the partner has forgotten the first.
	WriteBy time.Time
	// NewConn asks for a new connection over HTTP/1.1. An endpoint answers a message that it knows at once, as a copy of
	// an earlier answer would come.
	NewConn bool

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

// Abandon ends a call that has begun, with its connection or stream: each of its messages may have run. What has been
// read of its answer counts for nothing, except that it was turned away. It does not block.
func (c *Call) Abandon() {
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

// Abandoned reports whether the call was given up.
func (c *Call) Abandoned() bool {
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
	return c.MayStart != nil && !c.MayStart() || !c.WriteBy.IsZero() && !time.Now().Before(c.WriteBy)
}

// earlier is at, or Until where that comes first.
func (c *Call) earlier(at time.Time) time.Time {
	if !c.WriteBy.IsZero() && c.WriteBy.Before(at) {
		return c.WriteBy
	}
	return at
}

func (c *Call) begin() bool { return c.state.CompareAndSwap(waiting, begun) }
