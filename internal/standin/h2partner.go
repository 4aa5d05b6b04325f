// Package standin holds partners that the project writes itself, for tests and measurements: they speak
// by frames, misbehave as they are told, and keep a ledger of every effect. No part of the sender uses them.
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

const maxFrameSize = 16 << 10 // bytes of a frame

// Request is one that the partner has in full.
type Request struct {
	Stream uint32
	Conn   int // by number, from 1
	Path   string
	Fields map[string]string
	Body   []byte
}

// Reply is what the partner does about a request.
type Reply struct {
	Status    int               // 0: no answer
	Fields    map[string]string // of the answer
	Body      string
	ResetCode http2.ErrCode // with NoReply false and Status 0: a reset with this code
	NoAnswer  bool          // nothing at all
	GoAway    bool          // a GOAWAY that names this stream as the last, before the answer
	CloseConn bool          // the connection is closed, after the answer if there is one
	Truncate  bool          // and in the middle of it
	NotRun    bool          // the effect does not happen: the request is refused before it ran
}

// H2 is an HTTP/2 partner by prior knowledge (RFC 9113 3.3), with TLS if its listener has it.
type H2Partner struct {
	// On says what becomes of a request, from the goroutine of its connection. Nil: 200.
	Handler func(*Request) Reply
	// Limit is SETTINGS_MAX_CONCURRENT_STREAMS; Window the initial window; 0: none is sent.
	MaxStreams, InitialWindow uint32
	// Raw takes a connection in place of all else, after the preface and SETTINGS of both sides.
	RawHandler func(nc net.Conn, fr *http2.Framer)
	// Delay is the time that an answer takes.
	Delay time.Duration

	ln             net.Listener
	mu             sync.Mutex
	conns          map[*h2Conn]bool
	connCount      int
	effects        map[string]int // ledger: effects by message id
	settingsAcks   int            // of SETTINGS
	maxOpenStreams int            // streams open at once on one connection
}

// Start serves ln until Close.
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
			k := &h2Conn{p: p, nc: nc, number: p.connCount, incomplete: map[uint32]*Request{}}
			p.conns[k] = true
			p.mu.Unlock()
			go k.serve()
		}
	}()
}

// Listen serves a loopback address of its own until Close. It panics where a test could not go on.
func (p *H2Partner) Listen() *H2Partner {
	p.Start(must(net.Listen("tcp", "127.0.0.1:0")))
	return p
}

// Addr is where it listens.
func (p *H2Partner) Addr() string { return p.ln.Addr().String() }

// Close ends the listener and all connections.
func (p *H2Partner) Close() {
	p.ln.Close()
	p.eachConn(func(k *h2Conn) { k.nc.Close() })
}

func (p *H2Partner) eachConn(f func(*h2Conn)) {
	p.mu.Lock()
	var conns []*h2Conn
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, k := range conns {
		f(k)
	}
}

// Set sends SETTINGS_MAX_CONCURRENT_STREAMS on every connection, new ones too.
func (p *H2Partner) SetMaxStreams(limit uint32) {
	p.mu.Lock()
	p.MaxStreams = limit
	p.mu.Unlock()
	p.eachConn(func(k *h2Conn) {
		k.write(func(fr *http2.Framer) {
			fr.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: limit})
		})
	})
}

// Each writes frames on every connection.
func (p *H2Partner) WriteFrames(f func(fr *http2.Framer)) { p.eachConn(func(k *h2Conn) { k.write(f) }) }

// Runs is how often a message took effect.
func (p *H2Partner) EffectCount(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.effects[id]
}

// Acks is how many of its SETTINGS were acknowledged.
func (p *H2Partner) SettingsAcks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settingsAcks
}

// Stats are the connections seen, the messages that took effect, and the most streams on one connection.
func (p *H2Partner) Stats() (conns, messages, maxStreams int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount, len(p.effects), p.maxOpenStreams
}

// Ledger calls f with each message's id and how often it took effect.
func (p *H2Partner) ForEachEffect(f func(id string, count int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.effects {
		f(id, n)
	}
}

type h2Conn struct {
	p          *H2Partner
	nc         net.Conn
	number     int
	reader     *http2.Framer
	incomplete map[uint32]*Request

	mu           sync.Mutex // over writing
	writer       *http2.Framer
	encoder      *hpack.Encoder
	headerBlock  bytes.Buffer
	openStreams  int
	goAwayStream uint32 // of a GOAWAY that was sent; 0: none
}

func (k *h2Conn) write(f func(*http2.Framer)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.writer != nil {
		k.nc.SetWriteDeadline(time.Now().Add(time.Second))
		f(k.writer)
	}
}

func (k *h2Conn) serve() {
	defer func() {
		k.nc.Close()
		k.p.mu.Lock()
		delete(k.p.conns, k)
		k.p.mu.Unlock()
	}()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(k.nc, preface); err != nil || string(preface) != http2.ClientPreface {
		return
	}
	k.reader = http2.NewFramer(nil, k.nc)
	k.reader.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	k.mu.Lock()
	k.writer = http2.NewFramer(k.nc, nil)
	k.writer.AllowIllegalWrites = true
	k.encoder = hpack.NewEncoder(&k.headerBlock)
	k.p.mu.Lock()
	var settings []http2.Setting
	if k.p.MaxStreams > 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: k.p.MaxStreams})
	}
	if k.p.InitialWindow > 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingInitialWindowSize, Val: k.p.InitialWindow})
	}
	k.p.mu.Unlock()
	k.writer.WriteSettings(settings...)
	k.mu.Unlock()
	if k.p.RawHandler != nil {
		k.p.RawHandler(k.nc, k.writer)
		return
	}
	for k.handleFrame() {
	}
}

// frame takes one frame and reports whether the connection goes on.
func (k *h2Conn) handleFrame() bool {
	f, err := k.reader.ReadFrame()
	if err != nil {
		var se http2.StreamError
		return errors.As(err, &se)
	}
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		if k.goAwayStream > 0 && f.StreamID > k.goAwayStream { // 6.8: it is not run, as it was said
			return true
		}
		r := &Request{Stream: f.StreamID, Conn: k.number, Path: f.PseudoValue("path"), Fields: map[string]string{}}
		for _, h := range f.RegularFields() {
			r.Fields[h.Name] = h.Value
		}
		k.incomplete[f.StreamID] = r
		k.p.mu.Lock()
		k.openStreams++
		k.p.maxOpenStreams = max(k.p.maxOpenStreams, k.openStreams)
		k.p.mu.Unlock()
		if f.StreamEnded() {
			return k.handleRequest(r)
		}
	case *http2.DataFrame:
		if r := k.incomplete[f.StreamID]; r != nil {
			r.Body = append(r.Body, f.Data()...)
			if n := uint32(len(f.Data())); n > 0 {
				k.write(func(fr *http2.Framer) { fr.WriteWindowUpdate(0, n); fr.WriteWindowUpdate(f.StreamID, n) })
			}
			if f.StreamEnded() {
				return k.handleRequest(r)
			}
		}
	case *http2.RSTStreamFrame:
		if k.incomplete[f.StreamID] != nil {
			delete(k.incomplete, f.StreamID)
			k.streamClosed()
		}
	case *http2.SettingsFrame:
		if f.IsAck() {
			k.p.mu.Lock()
			k.p.settingsAcks++
			k.p.mu.Unlock()
			return true
		}
		k.write(func(fr *http2.Framer) { fr.WriteSettingsAck() })
	case *http2.PingFrame:
		if !f.IsAck() {
			k.write(func(fr *http2.Framer) { fr.WritePing(true, f.Data) })
		}
	case *http2.GoAwayFrame:
		return false
	}
	return true
}

func (k *h2Conn) streamClosed() {
	k.p.mu.Lock()
	k.openStreams--
	k.p.mu.Unlock()
}

// whole takes a request that is there in full: from here on it has run, unless the reply says otherwise.
func (k *h2Conn) handleRequest(r *Request) bool {
	delete(k.incomplete, r.Stream)
	reply := Reply{Status: 200}
	if k.p.Handler != nil {
		reply = k.p.Handler(r)
	}
	if !reply.NotRun {
		k.p.mu.Lock()
		k.p.effects[r.Fields["x-trace-id"]]++
		k.p.mu.Unlock()
	}
	if reply.NoAnswer {
		return true
	}
	if reply.GoAway && k.goAwayStream == 0 {
		k.goAwayStream = r.Stream
		for id := range k.incomplete { // whose bodies are still to come
			if id > k.goAwayStream {
				delete(k.incomplete, id)
				k.streamClosed()
			}
		}
		k.write(func(fr *http2.Framer) { fr.WriteGoAway(r.Stream, http2.ErrCodeNo, nil) })
	}
	answer := func() {
		k.write(func(fr *http2.Framer) {
			if reply.Status == 0 {
				fr.WriteRSTStream(r.Stream, reply.ResetCode)
				return
			}
			k.headerBlock.Reset()
			k.encoder.WriteField(hpack.HeaderField{Name: ":status", Value: strconv.Itoa(reply.Status)})
			for name, v := range reply.Fields {
				k.encoder.WriteField(hpack.HeaderField{Name: name, Value: v})
			}
			body := []byte(reply.Body)
			block := k.headerBlock.Bytes()
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
		k.streamClosed()
	}
	if reply.CloseConn {
		if reply.Status != 0 {
			answer()
		}
		return false
	}
	if k.p.Delay > 0 {
		time.AfterFunc(k.p.Delay, answer)
	} else {
		answer()
	}
	return true
}
