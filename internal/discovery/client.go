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

// MaxList is the maximum length of an endpoint list in bytes: some 60,000 endpoints.
const MaxList = 8 << 20

// agentClient calls the agent over one connection, which it opens on demand.
type agentClient struct {
	nc       net.Conn
	connAddr string // where nc leads
	reader   *http1.Reader

	mu           sync.Mutex
	addr         string
	cancelCall   context.CancelFunc // ends the call that is out; nil: none has been made
	maxBodyBytes int                // bytes of an answer
}

func newAgentClient(addr string) *agentClient { return &agentClient{addr: addr, maxBodyBytes: MaxList} }

// host is the agent's address.
func (c *agentClient) currentAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr
}

// move makes all further calls go to another address. The one that is out ends: the
// old agent takes no new connection and may hold a watch for long that tells nothing more.
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

// errMoved is the error of a call whose request was made for an agent that has been moved away from since.
var errAddrChanged = errors.New("the agent's address has changed")

// do makes one call to the agent at host, for which the request was made. After an error the connection is closed:
// the agent may be silent for long, and a late answer must not be taken for that to a later call. Where the address
// has changed since the request was made, nothing is sent: guards against a watch from the old agent's version that
// the new one holds, while what it has counts as told. With a new connection it takes dialTimeout, or the time-out if
// that is longer, at most in all.
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
	if err != nil || m.Close || m.Status/100 != 2 { // a copy of a refusal would be taken for the next answer
		c.close()
	}
	return m, err
}

func (c *agentClient) roundTrip(ctx context.Context, request []byte, timeout time.Duration) (*http1.Message, error) {
	if c.nc == nil {
		nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.connAddr)
		if err != nil {
			return nil, err
		}
		c.nc, c.reader = nc, http1.NewReaderBound(nc, c.maxBodyBytes)
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
	m, err := c.reader.Response()
	nc.SetDeadline(time.Time{}) // an idle connection is looked at
	return m, err
}

func (c *agentClient) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// pause waits, and reports whether the context still stands.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
