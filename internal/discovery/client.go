// Package discovery is the client of the platform's discovery agent: it follows the list of endpoints and posts the
// notices of messages that ended undelivered.
package discovery

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"sliptide/internal/http1"
	"sliptide/internal/sockets"
)

const dialTimeout = time.Second

// MaxListBytes is the maximum length of an endpoint list in bytes: some 60,000 endpoints.
const MaxListBytes = 8 << 20

// agentClient calls the agent over one connection, which it opens on demand. Only one goroutine may use it, except for
// currentAddr and setAddr, which are safe for concurrent use.
type agentClient struct {
	nc       net.Conn
	connAddr string // the address that nc is connected to
	reader   *http1.Reader

	mu           sync.Mutex
	addr         string
	cancelCall   context.CancelFunc // cancels the current or last call; nil before the first
	maxBodyBytes int                // maximum length of an answer's body; not changed after the first call
}

func newAgentClient(addr string) *agentClient {
	return &agentClient{addr: addr, maxBodyBytes: MaxListBytes}
}

// currentAddr returns the agent's address.
func (c *agentClient) currentAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr
}

// setAddr makes all further calls go to another address and cancels a call in progress: the old agent may accept no new
// connection and may hold a watch for its whole duration without reporting any further change.
func (c *agentClient) setAddr(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.addr {
		return
	}
	c.addr = addr
	if c.cancelCall != nil {
		c.cancelCall()
	}
}

// errAddrChanged is returned by a call whose request was made for an address that is no longer the agent's.
var errAddrChanged = errors.New("the agent's address has changed")

// call sends a request that was made for the agent at addr and returns the answer. It takes at most timeout on an open
// connection, and at most the longer of timeout and dialTimeout on a new one.
//
// After an error the connection is closed, so that a late answer is not taken for the answer to a later call. If the
// agent's address has changed since the request was made, nothing is sent: a watch from a version of the old agent
// would make the new agent wait, while its endpoints already count as known to this sender.
func (c *agentClient) call(ctx context.Context, addr string, request []byte, timeout time.Duration) (*http1.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, max(timeout, dialTimeout))
	defer cancel()
	c.mu.Lock()
	addrChanged := addr != c.addr
	c.cancelCall = cancel
	c.mu.Unlock()
	if addrChanged {
		return nil, errAddrChanged
	}
	if addr != c.connAddr || c.nc != nil && sockets.Check(c.nc) != sockets.Idle {
		c.close()
		c.connAddr = addr
	}
	m, err := c.roundTrip(ctx, request, timeout)
	if err != nil || m.Close || m.Status/100 != 2 { // a duplicate of an error answer would be taken for the next answer
		c.close()
	}
	return m, err
}

// roundTrip sends a request on the open connection, or on a new one, and reads the answer.
func (c *agentClient) roundTrip(ctx context.Context, request []byte, timeout time.Duration) (*http1.Message, error) {
	if c.nc == nil {
		nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.connAddr)
		if err != nil {
			return nil, err
		}
		c.nc, c.reader = nc, http1.NewReaderLimit(nc, c.maxBodyBytes)
	}
	nc := c.nc
	deadline, _ := ctx.Deadline()
	if limit := time.Now().Add(timeout); limit.Before(deadline) {
		deadline = limit
	}
	nc.SetDeadline(deadline)
	defer context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if _, err := nc.Write(request); err != nil {
		return nil, err
	}
	m, err := c.reader.ReadResponse()
	nc.SetDeadline(time.Time{}) // an expired deadline would make sockets.Check fail on the idle connection
	return m, err
}

func (c *agentClient) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// sleep waits for d or until the context ends. It reports whether the whole time has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
