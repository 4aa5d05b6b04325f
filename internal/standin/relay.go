package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay is a TCP relay that injects faults into one link: it can block either direction, delay data, close or
// half-close all connections and refuse new ones.
type Relay struct {
	ln     net.Listener
	target string

	mu         sync.Mutex // guards the fields below
	changed    *sync.Cond // signals that update has changed them
	blocked    [2]bool    // by direction
	addedDelay time.Duration
	refuseNew  bool
	closed     bool
	carried    int64             // bytes, in both directions
	conns      map[net.Conn]bool // open, of both sides
}

// BytesCarried returns the number of bytes relayed in both directions.
func (r *Relay) BytesCarried() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.carried
}

// Directions of a Relay.
const (
	ToTarget   = 0 // from the dialling side to the target
	FromTarget = 1
)

// NewRelay starts a Relay to target on a free loopback port.
func NewRelay(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{ln: ln, target: target, conns: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	go r.serve()
	return r, nil
}

// Addr returns the address to dial.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Block blocks the data in one direction, or unblocks it. Blocked data is relayed when the direction is unblocked.
func (r *Relay) Block(direction int, blocked bool) {
	r.update(func() { r.blocked[direction] = blocked })
}

// BlockBoth blocks or unblocks both directions.
func (r *Relay) BlockBoth(blocked bool) { r.update(func() { r.blocked = [2]bool{blocked, blocked} }) }

// SetDelay sets the delay of each chunk of data, of up to 16 KiB, in both directions. Each chunk waits for the one
// before it, so that the delay also limits the throughput.
func (r *Relay) SetDelay(d time.Duration) { r.update(func() { r.addedDelay = d }) }

// RefuseNew closes new connections at once, or accepts them again.
func (r *Relay) RefuseNew(refuse bool) { r.update(func() { r.refuseNew = refuse }) }

// CloseConns closes all connections.
func (r *Relay) CloseConns() {
	r.update(func() {
		for c := range r.conns {
			c.Close()
		}
	})
}

// HalfClose closes the writing direction of all connections, to both sides: each side reads the end of the stream and
// may go on writing. The relay cannot pass that data on, and closes the connections when it arrives.
func (r *Relay) HalfClose() {
	r.update(func() {
		for c := range r.conns {
			if t, ok := c.(*net.TCPConn); ok {
				t.CloseWrite()
			}
		}
	})
}

// Close closes the listener and all connections.
func (r *Relay) Close() {
	r.ln.Close()
	r.update(func() { r.closed, r.blocked = true, [2]bool{} })
	r.CloseConns()
}

// update changes the relay's state by f, which runs with mu held, and wakes the goroutines that wait for a change.
func (r *Relay) update(f func()) {
	r.mu.Lock()
	f()
	r.mu.Unlock()
	r.changed.Broadcast()
}

// serve relays new connections until the listener is closed.
func (r *Relay) serve() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		refuse := r.refuseNew || r.closed
		r.mu.Unlock()
		if refuse {
			c.Close()
			continue
		}
		go r.relay(c)
	}
}

// relay connects to the target, and relays data in both directions until either connection ends.
func (r *Relay) relay(c net.Conn) {
	t, err := net.Dial("tcp", r.target)
	if err != nil {
		c.Close()
		return
	}
	r.update(func() { r.conns[c], r.conns[t] = true, true })
	var both sync.WaitGroup
	both.Add(2)
	pipe := func(from, to net.Conn, direction int) {
		defer both.Done()
		r.copy(from, to, direction)
		to.Close()
		from.Close()
	}
	go pipe(c, t, ToTarget)
	go pipe(t, c, FromTarget)
	both.Wait()
	r.update(func() { delete(r.conns, c); delete(r.conns, t) })
}

// copy copies data in one direction until reading or writing fails. It holds data back while the direction is blocked.
func (r *Relay) copy(from io.Reader, to io.Writer, direction int) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			r.mu.Lock()
			for r.blocked[direction] && !r.closed {
				r.changed.Wait()
			}
			delay := r.addedDelay
			r.carried += int64(n)
			r.mu.Unlock()
			if delay > 0 {
				time.Sleep(delay)
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
