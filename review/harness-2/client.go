package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// message is one message of a client.
type message struct {
	id, key, class string
	dest           int
	sentAt         time.Time
	left           time.Duration // X-Expires-In
	status         int           // of the answer; 0: none
	err            string
}

// clients hands in messages over connections that are kept.
type clients struct {
	rec  *record
	addr string
	http *http.Client

	mu   sync.Mutex
	sent []*message
	wg   sync.WaitGroup
}

// clientPatience is how long a client waits for its answer.
const clientPatience = 400 * time.Millisecond

func newClients(rec *record, addr string) *clients {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: clientPatience}).DialContext, DisableCompression: true,
	}
	return &clients{rec: rec, addr: addr, http: &http.Client{Transport: transport, Timeout: clientPatience}}
}

func randomHex(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// send hands in one message and waits for the answer.
func (c *clients) send(class string, dest int, left time.Duration, body []byte) *message {
	m := &message{id: randomHex(8), key: randomHex(16), class: class, dest: dest, sentAt: time.Now(), left: left}
	c.mu.Lock()
	c.sent = append(c.sent, m)
	c.mu.Unlock()
	req, err := http.NewRequest("POST", "http://"+c.addr+"/api", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("X-Trace-Id", m.id)
	req.Header.Set("X-Qos", class)
	req.Header.Set("X-Customer", "acme")
	req.Header.Set("X-Expires-In", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	req.Header.Set("Idempotency-Key", m.key)
	req.Header.Set("X-Route-To", fmt.Sprintf("dest=%d", dest))
	resp, err := c.http.Do(req)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		m.err = err.Error()
		c.rec.printf("message %s dest=%d: no answer: %v", m.id, dest, err)
		return m
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	m.status = resp.StatusCode
	c.rec.printf("message %s dest=%d: %d", m.id, dest, m.status)
	return m
}

// sendAsync is send on a goroutine of its own.
func (c *clients) sendAsync(class string, dest int, left time.Duration, body []byte) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.send(class, dest, left, body)
	}()
}

// messages returns all messages handed in so far.
func (c *clients) messages() []*message {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*message(nil), c.sent...)
}

// counts returns the number of messages by status of their answer.
func counts(list []*message) map[int]int {
	n := map[int]int{}
	for _, m := range list {
		n[m.status]++
	}
	return n
}
