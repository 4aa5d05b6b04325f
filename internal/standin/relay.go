package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay is a TCP relay with faults, one for each link of a test: it can hold back either direction, delay, break
// all connections, half-close them and refuse new ones.
type Relay struct {
	ln     net.Listener
	target string

	mu         sync.Mutex
	changed    *sync.Cond
	blocked    [2]bool // towards the target, and back
	addedDelay time.Duration
	refuseNew  bool
	closed     bool
	carried    int64
	conns      map[net.Conn]bool
}

// Bytes is what it has carried, both ways.
func (r *Relay) BytesCarried() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.carried
}

// Directions of a Relay.
const (
	ToTarget   = 0 // from who dials to the target
	FromTarget = 1
)

// NewRelay returns a Relay to target, on an address of its own.
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

// Addr is where it listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Hold holds back what goes in a direction, or lets it go on.
func (r *Relay) Block(direction int, blocked bool) {
	r.update(func() { r.blocked[direction] = blocked })
}

// Cut holds back both directions, or lets them go on.
func (r *Relay) BlockBoth(blocked bool) { r.update(func() { r.blocked = [2]bool{blocked, blocked} }) }

// Delay delays what goes either way.
func (r *Relay) SetDelay(d time.Duration) { r.update(func() { r.addedDelay = d }) }

// Refuse closes new connections at once, or takes them again.
func (r *Relay) RefuseNew(refuse bool) { r.update(func() { r.refuseNew = refuse }) }

// Break ends all connections.
func (r *Relay) CloseConns() {
	r.update(func() {
		for c := range r.conns {
			c.Close()
		}
	})
}

// HalfClose ends all connections in one direction alone: the target, or who dialled, reads an end and may go on
// writing.
func (r *Relay) HalfClose() {
	r.update(func() {
		for c := range r.conns {
			if t, ok := c.(*net.TCPConn); ok {
				t.CloseWrite()
			}
		}
	})
}

// Close ends everything.
func (r *Relay) Close() {
	r.ln.Close()
	r.update(func() { r.closed, r.blocked = true, [2]bool{} })
	r.CloseConns()
}

func (r *Relay) update(f func()) {
	r.mu.Lock()
	f()
	r.mu.Unlock()
	r.changed.Broadcast()
}

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
