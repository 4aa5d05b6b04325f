package standin

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Answers of a RawPartner that tests share.
const (
	AnswerOK          = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	AnswerUnavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// RawCall is one request that a RawPartner has read, on a connection that the test writes to as it likes.
type RawCall struct {
	ID      string // of a single message; empty of others
	Conn    int    // the connection's number, from 1
	NetConn net.Conn
	request *http.Request
}

// Write writes bytes to the connection, whoever they answer.
func (c *RawCall) Write(text string) { c.NetConn.Write([]byte(text)) }

// URI is the request's path and query.
func (c *RawCall) URI() string { return c.request.URL.RequestURI() }

// RawPartner reads requests and leaves all that is written back to the test: answers out of turn, twice or not at all.
type RawPartner struct {
	Addr        string
	Calls       chan *RawCall
	ClosedConns chan int // numbers of connections that the sender has closed

	mu    sync.Mutex
	conns []net.Conn
}

// NewRawPartner starts a RawPartner, which ends with the test.
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
