// Package discovery speaks with the platform's agent: it follows the list of
// endpoints and hands in the notices of messages that end undelivered.
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

// MaxList is the length in bytes of the longest list of endpoints that is read: some 60,000 endpoints.
const MaxList = 8 << 20

// client is one connection to the agent, opened at need.
type client struct {
	nc net.Conn
	at string // where nc leads
	rd *http1.Reader

	mu        sync.Mutex
	addr      string
	interrupt context.CancelFunc // ends the call that is out; nil: none has been made
	maxBody   int                // bytes of an answer
}

func newClient(addr string) *client { return &client{addr: addr, maxBody: MaxList} }

// host is the agent's address.
func (c *client) host() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr
}

// move makes all further calls go to another address. The one that is out ends: the
// old agent takes no new connection and may hold a watch for long that tells nothing more.
func (c *client) move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.addr {
		return
	}
	c.addr = addr
	if c.interrupt != nil {
		c.interrupt()
	}
}

// errMoved is the error of a call whose request was made for an agent that has been moved away from since.
var errMoved = errors.New("the agent's address has changed")

// do makes one call to the agent at host, for which the request was made. After an error the connection is closed:
// the agent may be silent for long, and a late answer must not be taken for that to a later call. Where the address
// has changed since the request was made, nothing is sent: guards against a watch from the old agent's version that
// the new one holds, while what it has counts as told. With a new connection it takes dialTimeout, or the time-out if
// that is longer, at most in all.
func (c *client) do(ctx context.Context, host string, request []byte, timeout time.Duration) (*http1.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, max(timeout, dialTimeout))
	defer cancel()
	c.mu.Lock()
	moved := host != c.addr
	c.interrupt = cancel
	c.mu.Unlock()
	if moved {
		return nil, errMoved
	}
	if host != c.at || c.nc != nil && sockets.Check(c.nc) != sockets.Idle {
		c.close()
		c.at = host
	}
	m, err := c.try(ctx, request, timeout)
	if err != nil || m.Close || m.Status/100 != 2 { // a copy of a refusal would be taken for the next answer
		c.close()
	}
	return m, err
}

func (c *client) try(ctx context.Context, request []byte, timeout time.Duration) (*http1.Message, error) {
	if c.nc == nil {
		nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.at)
		if err != nil {
			return nil, err
		}
		c.nc, c.rd = nc, http1.NewReaderBound(nc, c.maxBody)
	}
	nc := c.nc
	end, _ := ctx.Deadline()
	if soon := time.Now().Add(timeout); soon.Before(end) {
		end = soon
	}
	nc.SetDeadline(end)
	defer context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if _, err := nc.Write(request); err != nil {
		return nil, err
	}
	m, err := c.rd.Response()
	nc.SetDeadline(time.Time{}) // an idle connection is looked at
	return m, err
}

func (c *client) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// pause waits, and reports whether the context still stands.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
