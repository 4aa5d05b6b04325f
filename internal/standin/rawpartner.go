package standin

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Answers that tests write with RawCall.Write.
const (
	AnswerOK          = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	AnswerUnavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// RawCall is a request that a RawPartner has read. The test writes the answers to its connection itself.
type RawCall struct {
	ID      string // message ID; empty for a batch or a probe
	Conn    int    // the connection's number, from 1
	NetConn net.Conn
	request *http.Request
}

// Write writes raw bytes to the connection. It ignores errors: a test may write to a connection that has ended.
func (c *RawCall) Write(text string) { c.NetConn.Write([]byte(text)) }

// URI returns the request's path and query.
func (c *RawCall) URI() string { return c.request.URL.RequestURI() }

// RawPartner reads requests and leaves the answers to the test, which may send them out of order, twice or not at all.
type RawPartner struct {
	Addr        string
	Calls       chan *RawCall // the requests of all connections
	ClosedConns chan int      // numbers of the connections that have ended

	mu    sync.Mutex // guards conns
	conns []net.Conn // all connections so far
}

// NewRawPartner starts a RawPartner that runs until the test ends.
func NewRawPartner(t testing.TB) *RawPartner {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &RawPartner{Addr: ln.Addr().String(), Calls: make(chan *RawCall, 100), ClosedConns: make(chan int, 100)}
	t.Cleanup(func() {
		ln.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, nc := range p.conns {
			nc.Close()
		}
	})
	go p.accept(ln)
	return p
}

// accept reads the requests of each new connection until the listener is closed.
func (p *RawPartner) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns = append(p.conns, nc)
		number := len(p.conns)
		p.mu.Unlock()
		go p.readRequests(nc, number)
	}
}

// readRequests passes the requests of a connection to Calls, and its number to ClosedConns when it ends.
func (p *RawPartner) readRequests(nc net.Conn, number int) {
	defer func() { p.ClosedConns <- number }()
	r := bufio.NewReader(nc)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if n := q.ContentLength; n > 0 {
			if _, err := r.Discard(int(n)); err != nil {
				return
			}
		}
		p.Calls <- &RawCall{ID: q.Header.Get("X-Trace-Id"), Conn: number, NetConn: nc, request: q}
	}
}
