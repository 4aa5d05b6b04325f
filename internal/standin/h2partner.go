// Package standin provides stand-ins for partners, networks and certificate authorities, for tests and measurements.
// The partners inject faults as the test requests; H2Partner also counts how often each message takes effect. The
// sender uses none of them, and they use no package of the sender; both use the frame format of golang.org/x/net/http2.
package standin

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const maxFrameSize = 16 << 10 // largest payload of the frames that the partner sends, in bytes

// Request is a request that the partner has received in full.
type Request struct {
	Stream uint32
	Conn   int // number of the connection, from 1
	Path   string
	Fields map[string]string // header fields, without pseudo-header fields
	Body   []byte
}

// Reply is how the partner handles a request.
type Reply struct {
	Status    int               // 0: a reset instead of an answer
	Fields    map[string]string // of the answer
	Body      string
	ResetCode http2.ErrCode // of the reset that is sent if Status is 0
	NoAnswer  bool          // sends neither an answer nor a reset; GoAway and CloseConn have no effect then
	GoAway    bool          // sends a GOAWAY with this stream as the last one, before the answer
	CloseConn bool          // closes the connection, after the answer if Status is not 0
	Truncate  bool          // leaves out the end of the stream after the answer
	NotRun    bool          // the message does not take effect
}

// H2Partner is an HTTP/2 partner with prior knowledge (RFC 9113, section 3.3), over TLS if its listener uses it.
type H2Partner struct {
	// Handler returns the reply to a request. It runs on the goroutine of the connection. Nil: always 200.
	Handler func(*Request) Reply
	// MaxStreams is SETTINGS_MAX_CONCURRENT_STREAMS, InitialWindow is SETTINGS_INITIAL_WINDOW_SIZE. 0: not sent.
	MaxStreams, InitialWindow uint32
	// RawHandler, if set, handles connections instead of the partner, which has read the client's preface and sent its
	// SETTINGS frame by then. It runs on a goroutine for each connection, which is closed when it returns.
	RawHandler func(nc net.Conn, fr *http2.Framer)
	// Delay is the time from a request to its answer, unless the reply closes the connection.
	Delay time.Duration

	ln             net.Listener
	mu             sync.Mutex       // guards the fields below, and MaxStreams once the partner has started
	conns          map[*h2Conn]bool // open
	connCount      int
	effects        map[string]int // how often each message took effect, by ID
	settingsAcks   int            // SETTINGS acknowledgements received
	maxOpenStreams int            // highest number of streams open at once on one connection
}

// Start accepts connections on ln until Close.
func (p *H2Partner) Start(ln net.Listener) {
	p.ln, p.conns, p.effects = ln, map[*h2Conn]bool{}, map[string]int{}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.connCount++
			c := &h2Conn{partner: p, nc: nc, number: p.connCount, incomplete: map[uint32]*Request{}}
			p.conns[c] = true
			p.mu.Unlock()
			go c.serve()
		}
	}()
}

// Listen starts the partner on a free loopback port and returns it. It panics on errors.
func (p *H2Partner) Listen() *H2Partner {
	p.Start(must(net.Listen("tcp", "127.0.0.1:0")))
	return p
}

// Addr returns the listener's address.
func (p *H2Partner) Addr() string { return p.ln.Addr().String() }

// Close closes the listener and all connections.
func (p *H2Partner) Close() {
	p.ln.Close()
	p.eachConn(func(c *h2Conn) { c.nc.Close() })
}

// eachConn calls f for every open connection.
func (p *H2Partner) eachConn(f func(*h2Conn)) {
	p.mu.Lock()
	var conns []*h2Conn
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

// SetMaxStreams changes SETTINGS_MAX_CONCURRENT_STREAMS, on existing and new connections.
func (p *H2Partner) SetMaxStreams(limit uint32) {
	p.mu.Lock()
	p.MaxStreams = limit
	p.mu.Unlock()
	p.eachConn(func(c *h2Conn) {
		c.write(func(fr *http2.Framer) {
			fr.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: limit})
		})
	})
}

// WriteFrames calls f with the framer of every connection.
func (p *H2Partner) WriteFrames(f func(fr *http2.Framer)) { p.eachConn(func(c *h2Conn) { c.write(f) }) }

// EffectCount returns how often the message with an ID, the value of its x-trace-id field, took effect.
func (p *H2Partner) EffectCount(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.effects[id]
}

// SettingsAcks returns the number of SETTINGS frames that the sender has acknowledged.
func (p *H2Partner) SettingsAcks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settingsAcks
}

// Stats returns the number of connections accepted and of messages that took effect, and the highest number of streams
// open at once on one connection.
func (p *H2Partner) Stats() (conns, messages, maxStreams int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount, len(p.effects), p.maxOpenStreams
}

// ForEachEffect calls f with each message's ID and how often it took effect.
func (p *H2Partner) ForEachEffect(f func(id string, count int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.effects {
		f(id, n)
	}
}

// h2Conn is one connection to an H2Partner. Only the goroutine of serve uses reader, incomplete and goAwayStream.
type h2Conn struct {
	partner    *H2Partner
	nc         net.Conn
	number     int
	reader     *http2.Framer
	incomplete map[uint32]*Request // requests that have not been received in full, by stream

	mu           sync.Mutex    // guards writer, encoder and headerBlock; the partner's mu guards openStreams
	writer       *http2.Framer // nil until the SETTINGS frame is sent
	encoder      *hpack.Encoder
	headerBlock  bytes.Buffer
	openStreams  int
	goAwayStream uint32 // last stream of the GOAWAY that was sent; 0: none
}

// write calls f with the framer, whose writes fail after a second. It does nothing if the SETTINGS frame, which must be
// the first one, has not been sent yet.
func (c *h2Conn) write(f func(*http2.Framer)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writer != nil {
		c.nc.SetWriteDeadline(time.Now().Add(time.Second))
		f(c.writer)
	}
}

// serve reads the client's preface, sends the SETTINGS frame and handles frames until the connection ends.
func (c *h2Conn) serve() {
	defer func() {
		c.nc.Close()
		c.partner.mu.Lock()
		delete(c.partner.conns, c)
		c.partner.mu.Unlock()
	}()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c.nc, preface); err != nil || string(preface) != http2.ClientPreface {
		return
	}
	c.reader = http2.NewFramer(nil, c.nc)
	c.reader.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	c.mu.Lock()
	c.writer = http2.NewFramer(c.nc, nil)
	c.writer.AllowIllegalWrites = true
	c.encoder = hpack.NewEncoder(&c.headerBlock)
	c.partner.mu.Lock()
	var settings []http2.Setting
	if c.partner.MaxStreams > 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: c.partner.MaxStreams})
	}
	if c.partner.InitialWindow > 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingInitialWindowSize, Val: c.partner.InitialWindow})
	}
	c.partner.mu.Unlock()
	c.writer.WriteSettings(settings...)
	c.mu.Unlock()
	if c.partner.RawHandler != nil {
		c.partner.RawHandler(c.nc, c.writer)
		return
	}
	for c.handleFrame() {
	}
}

// handleFrame reads and handles one frame, and reports whether the connection stays open.
func (c *h2Conn) handleFrame() bool {
	f, err := c.reader.ReadFrame()
	if err != nil {
		var se http2.StreamError
		return errors.As(err, &se)
	}
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		if c.goAwayStream > 0 && f.StreamID > c.goAwayStream { // RFC 9113, section 6.8: the request is not processed
			return true
		}
		r := &Request{Stream: f.StreamID, Conn: c.number, Path: f.PseudoValue("path"), Fields: map[string]string{}}
		for _, h := range f.RegularFields() {
			r.Fields[h.Name] = h.Value
		}
		c.incomplete[f.StreamID] = r
		c.partner.mu.Lock()
		c.openStreams++
		c.partner.maxOpenStreams = max(c.partner.maxOpenStreams, c.openStreams)
		c.partner.mu.Unlock()
		if f.StreamEnded() {
			return c.handleRequest(r)
		}
	case *http2.DataFrame:
		if r := c.incomplete[f.StreamID]; r != nil {
			r.Body = append(r.Body, f.Data()...)
			if n := uint32(len(f.Data())); n > 0 {
				c.write(func(fr *http2.Framer) { fr.WriteWindowUpdate(0, n); fr.WriteWindowUpdate(f.StreamID, n) })
			}
			if f.StreamEnded() {
				return c.handleRequest(r)
			}
		}
	case *http2.RSTStreamFrame:
		if c.incomplete[f.StreamID] != nil {
			delete(c.incomplete, f.StreamID)
			c.streamClosed()
		}
	case *http2.SettingsFrame:
		if f.IsAck() {
			c.partner.mu.Lock()
			c.partner.settingsAcks++
			c.partner.mu.Unlock()
			return true
		}
		c.write(func(fr *http2.Framer) { fr.WriteSettingsAck() })
	case *http2.PingFrame:
		if !f.IsAck() {
			c.write(func(fr *http2.Framer) { fr.WritePing(true, f.Data) })
		}
	case *http2.GoAwayFrame:
		return false
	}
	return true
}

// streamClosed counts a stream as no longer open.
func (c *h2Conn) streamClosed() {
	c.partner.mu.Lock()
	c.openStreams--
	c.partner.mu.Unlock()
}

// handleRequest handles a complete request, and reports whether the connection stays open. The message takes effect
// unless the reply says otherwise.
func (c *h2Conn) handleRequest(r *Request) bool {
	delete(c.incomplete, r.Stream)
	reply := Reply{Status: 200}
	if c.partner.Handler != nil {
		reply = c.partner.Handler(r)
	}
	if !reply.NotRun {
		c.partner.mu.Lock()
		c.partner.effects[r.Fields["x-trace-id"]]++
		c.partner.mu.Unlock()
	}
	if reply.NoAnswer {
		return true
	}
	if reply.GoAway && c.goAwayStream == 0 {
		c.goAwayStream = r.Stream
		for id := range c.incomplete { // requests whose bodies are incomplete
			if id > c.goAwayStream {
				delete(c.incomplete, id)
				c.streamClosed()
			}
		}
		c.write(func(fr *http2.Framer) { fr.WriteGoAway(r.Stream, http2.ErrCodeNo, nil) })
	}
	answer := func() {
		c.write(func(fr *http2.Framer) {
			if reply.Status == 0 {
				fr.WriteRSTStream(r.Stream, reply.ResetCode)
				return
			}
			c.headerBlock.Reset()
			c.encoder.WriteField(hpack.HeaderField{Name: ":status", Value: strconv.Itoa(reply.Status)})
			for name, v := range reply.Fields {
				c.encoder.WriteField(hpack.HeaderField{Name: name, Value: v})
			}
			body := []byte(reply.Body)
			block := c.headerBlock.Bytes()
			n := min(len(block), maxFrameSize)
			fr.WriteHeaders(http2.HeadersFrameParam{StreamID: r.Stream, BlockFragment: block[:n], EndHeaders: n == len(block), EndStream: len(body) == 0 && !reply.Truncate})
			for block = block[n:]; len(block) > 0; block = block[n:] {
				n = min(len(block), maxFrameSize)
				fr.WriteContinuation(r.Stream, n == len(block), block[:n])
			}
			for len(body) > 0 {
				n = min(len(body), maxFrameSize)
				fr.WriteData(r.Stream, !reply.Truncate && n == len(body), body[:n])
				body = body[n:]
			}
		})
		c.streamClosed()
	}
	if reply.CloseConn {
		if reply.Status != 0 {
			answer()
		}
		return false
	}
	if c.partner.Delay > 0 {
		time.AfterFunc(c.partner.Delay, answer)
	} else {
		answer()
	}
	return true
}
