package scale

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// relay forwards connections to an address and counts their bytes. While it is cut, it closes open and new
// connections.
type relay struct {
	listener    net.Listener
	target      string
	bytes       atomic.Int64 // forwarded so far, in both directions
	mu          sync.Mutex   // guards the fields below
	cut         bool
	connections map[net.Conn]bool // open, of both ends
}

// newRelay starts a relay to an address, on a free port.
func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, connections: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

// close stops the listener and closes all connections.
func (r *relay) close() {
	r.listener.Close()
	r.setCut(true)
}

// setCut cuts the relay, or restores it.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut = cut; cut {
		for c := range r.connections {
			c.Close()
		}
	}
}

// track registers a connection. If the relay is cut, it closes the connection and returns false.
func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		c.Close()
		return false
	}
	r.connections[c] = true
	return true
}

func (r *relay) untrack(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
}

// accept forwards new connections until the listener is closed.
func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.track(client) {
			go r.forward(client)
		}
	}
}

// forward connects to the target and copies bytes in both directions until either connection ends.
func (r *relay) forward(client net.Conn) {
	defer r.untrack(client)
	server, err := net.Dial("tcp", r.target)
	if err != nil || !r.track(server) {
		return
	}
	defer r.untrack(server)
	done := make(chan struct{}, 2)
	copyBytes := func(to, from net.Conn) {
		io.Copy(countingWriter{to, &r.bytes}, from)
		to.Close()
		done <- struct{}{}
	}
	go copyBytes(client, server)
	go copyBytes(server, client)
	<-done
	client.Close()
	server.Close()
	<-done
}

// countingWriter adds the number of bytes written to a total.
type countingWriter struct {
	io.Writer
	total *atomic.Int64
}

func (c countingWriter) Write(p []byte) (int, error) {
	n, err := c.Writer.Write(p)
	c.total.Add(int64(n))
	return n, err
}
