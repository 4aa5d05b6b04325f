package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	clientTimeout  = 400 * time.Millisecond // a client gives up after this time without an answer
	crowdSize      = 30                     // further clients of a sender in a run with a crowd
	crowdPause     = time.Second            // mean pause of such a client between two messages
	steadyPause    = 80 * time.Millisecond  // mean pause of any other client
	steadyClients  = 4
	maxIdleConns   = 150 // open connections without a request
	idleConnPeriod = 20 * time.Millisecond
)

// openIdleConns keeps opening connections that carry no request, and closes the oldest above maxIdleConns.
func (n *soakNode) openIdleConns(stop <-chan struct{}) {
	var held []net.Conn
	defer func() {
		for _, nc := range held {
			nc.Close()
		}
	}()
	for {
		if nc, err := net.Dial("tcp", n.rig.addr); err == nil {
			held = append(held, nc)
		}
		if len(held) > maxIdleConns {
			held[0].Close()
			held = held[1:]
		}
		select {
		case <-stop:
			return
		case <-time.After(idleConnPeriod):
		}
	}
}

// soakClient submits messages, one at a time, on a connection that it uses for as long as it stays open.
type soakClient struct {
	node     *soakNode
	rng      *rand.Rand
	name     string
	pause    time.Duration // mean pause between two messages
	nc       net.Conn
	dialedAt time.Time
	rd       *bufio.Reader
	used     bool // the connection has carried a request
}

func (c *soakClient) run(stop <-chan struct{}) {
	defer c.close()
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(c.pause/10 + time.Duration(c.rng.Int64N(int64(2*c.pause)))):
		}
		c.submit(fmt.Sprintf("m-%s-%d", c.name, k))
	}
}

func (c *soakClient) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// errUnanswered reports a connection that was closed without an answer.
var errUnanswered = errors.New("connection closed without an answer")

// submit submits one message. If a reused connection closes without an answer, it submits once more on a new one.
func (c *soakClient) submit(id string) {
	class := []string{"note", "pay"}[c.rng.IntN(2)]
	expiresIn := time.Duration(700+c.rng.IntN(int(soakMaxExpiry/time.Millisecond)-700)) * time.Millisecond
	sentAt := time.Now()
	c.node.submitted(id, class, c.node.index, sentAt.Add(expiresIn))
	request := strings.Join([]string{"POST /api HTTP/1.1", "Host: app.svc", "X-Trace-Id: " + id, "X-Qos: " + class, "X-Customer: acme",
		fmt.Sprintf("X-Expires-In: %.3f", expiresIn.Seconds()), "Idempotency-Key: key-" + id, "Content-Length: 4",
		fmt.Sprintf("X-Route-To: dest=%d", 20+c.rng.IntN(3)), "", "body"}, "\r\n")
	for {
		reused := c.nc != nil && c.used
		status, err := c.send(request)
		switch {
		case err == nil:
			c.node.submissionAnswered(id, status)
			return
		case reused && errors.Is(err, errUnanswered): // the request may have crossed the sender's close of an idle connection
			continue
		case errors.Is(err, errUnanswered):
			c.node.unanswered(id, c.node.index, c.dialedAt)
		}
		return
	}
}

// send writes a request and reads the status of its answer.
func (c *soakClient) send(request string) (int, error) {
	if c.nc == nil {
		c.dialedAt = time.Now()
		nc, err := net.DialTimeout("tcp", c.node.rig.addr, clientTimeout)
		if err != nil {
			return 0, err
		}
		c.nc, c.rd, c.used = nc, bufio.NewReader(nc), false
	}
	c.nc.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := c.nc.Write([]byte(request)); err != nil {
		c.close()
		return 0, errUnanswered
	}
	resp, err := http.ReadResponse(c.rd, nil)
	if err != nil {
		c.close()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err // the client gives up; it has received no 202
		}
		return 0, errUnanswered
	}
	resp.Body.Close()
	c.used = true
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, nil
}
