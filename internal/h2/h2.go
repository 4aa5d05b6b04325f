// Package h2 is the client side of one HTTP/2 connection (RFC 9113), on golang.org/x/net/http2's Framer
// and hpack. It carries requests as streams and tells of each how it ended: above all whether the peer
// can have run it. It never sends a request twice, opens no connection, and knows nothing of messages.
//
// A connection has two goroutines, one that reads and one that writes; what they share is under one lock
// that is never held over I/O. Memory is bounded: by the streams that may be open, the size of a body and
// of a head, and the control frames that may wait to be written.
package h2

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	maxFrame    = 16 << 10 // that the peer may send (6.5.2: the least there is)
	maxHead     = 16 << 10 // of an answer's headers, by RFC 9113 6.5.2's count
	windowSize  = 1 << 20  // that a connection's answers may fill (6.9)
	tableSize   = 4096     // of hpack's dynamic tables, both sides
	firstWindow = 65535    // of each direction before SETTINGS say otherwise (6.9.2)
	maxWindow   = 1<<31 - 1
	maxStream   = 1<<31 - 1
	noiseMost   = 400      // control frames a second that the peer may send
	pendingMost = 64 << 10 // bytes of control frames that may wait for a peer that reads nothing
	writeFor    = time.Second
)

// Fate is how a request ended.
type Outcome uint8

// The fates. NeverRan and Refused are proofs that the peer has not run the request (RFC 9113 8.7).
const (
	Answered        Outcome = iota // the whole answer is there
	NeverRan                       // its last byte was not written
	GoneAway                       // a GOAWAY names an earlier stream as the last
	Refused                        // reset with REFUSED_STREAM
	Broken                         // reset, or the connection lost, after its last byte was written: it may have run
	Unresponsive                   // the connection was given up since the peer did not answer a PING: it may have run
	InvalidResponse                // an answer that cannot be read: it may have run
	Cancelled                      // given up by Cancel, and its reset is written: it may have run
)

// String is the fate's name.
func (f Outcome) String() string {
	return [...]string{"answered", "never ran", "gone away", "refused", "broken", "silent", "spoilt", "cancelled"}[f]
}

// Field is one header field; names are in lower case (8.2). Private: no table holds it, so that nobody who
// shares one can guess it.
type Field struct {
	Name      string `json:"name"`
	Value     string `json:"value"`
	Sensitive bool   `json:"-"`
}

// Request is one request. Its body is kept as it is until the request has ended.
type Request struct {
	Method, Scheme, Authority, Path string
	Fields                          []Field
	Body                            []byte
}

// Result is the end of a request.
type Result struct {
	Outcome Outcome
	Status  int // 0: no answer had begun. May be set whatever the fate
	Fields  []Field
	Body    []byte
	Err     error // of Broken, Silent and Spoilt
}

// Get is the value of a field, empty if there is none.
func (r *Result) Get(name string) string {
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Options bound a connection.
type Options struct {
	MaxBody         int           // bytes of an answer
	BodyTimeout     time.Duration // from an answer's head to its end
	ReadIdleTimeout time.Duration // of silence with streams open; 0: never
	PingTimeout     time.Duration // that the answer to a PING may take
	// Changed tells that the stream limit or the use of the connection has changed: a stream has ended,
	// SETTINGS or GOAWAY came, or it is lost. It is called without the lock, by the connection's goroutines.
	OnChange func(*Conn)
}

// State is what a Conn can take.
type State struct {
	Open     bool // the peer's SETTINGS are there and it takes new streams
	Limit    int  // streams that may be open
	Active   int
	Draining bool // GOAWAY: streams go on, none is new
	Lost     error
}

// Conn is one connection.
type Conn struct {
	nc  net.Conn
	opt Options

	mu        sync.Mutex
	out       bytes.Buffer // frames that wait to be written
	framer    *http2.Framer
	encoder   *hpack.Encoder
	block     bytes.Buffer // of the encoder
	queued    int64        // bytes put into out, ever
	written   int64        // bytes written, ever
	marks     []mark       // by rising offset
	control   int          // bytes of control frames in out
	wake      chan struct{}
	writing   bool       // bytes are with the kernel, or on their way
	idle      *sync.Cond // writing has ended
	leaving   bool       // Close: lost once all is written
	streams   map[uint32]*Stream
	nextID    uint32
	limit     uint32
	settled   bool
	told      []http2.Setting // by the peer, first
	window    int64           // for all streams' bodies
	first     int64           // window of a new stream
	frame     int             // bytes that a frame to the peer may have
	draining  bool
	lastID    uint32 // of GOAWAY
	lost      error
	heardAt   time.Time
	pingAt    time.Time // of the one that is out; zero: none
	noise     int
	noiseAt   time.Time
	received  int // bytes of bodies since the window was opened again
	ended     chan struct{}
	ready     chan struct{} // closed by the first SETTINGS
	closeOnce sync.Once
}

// mark is what happens when all up to an offset is written.
type mark struct {
	offset int64
	stream *Stream
	reset  bool // the stream's reset, else its last byte
}

// Stream is one request on its way.
type Stream struct {
	conn    *Conn
	id      uint32
	done    func(Result)
	rest    []byte // of the body, that no window has room for yet
	window  int64
	sent    bool // its last byte is written
	closing bool // its reset waits to be written; result says what it ended as
	result  Result
	length  int // that the answer's head tells; -1: none
	headed  bool
	timer   *time.Timer
}

// Errors of a connection.
var (
	ErrClosed      = errors.New("h2: closed")
	ErrPingTimeout = errors.New("h2: no answer to a PING")
	ErrFrameFlood  = errors.New("h2: too many control frames")
)

// New starts a connection on nc, which is the Conn's from here on. The first frames go out at once
// (3.4); no request is taken until the peer's SETTINGS have come.
func New(nc net.Conn, opt Options) *Conn {
	c := &Conn{
		nc: nc, opt: opt, wake: make(chan struct{}, 1), streams: map[uint32]*Stream{}, nextID: 1, limit: 100,
		window: firstWindow, first: firstWindow, frame: maxFrame, heardAt: time.Now(), ended: make(chan struct{}), ready: make(chan struct{}),
	}
	c.idle = sync.NewCond(&c.mu)
	c.framer = http2.NewFramer(&c.out, nil)
	c.encoder = hpack.NewEncoder(&c.block)
	c.encoder.SetMaxDynamicTableSizeLimit(tableSize)
	c.mu.Lock()
	c.out.WriteString(http2.ClientPreface)
	c.queued += int64(len(http2.ClientPreface))
	c.put(func() error {
		return c.framer.WriteSettings(
			http2.Setting{ID: http2.SettingEnablePush, Val: 0},
			http2.Setting{ID: http2.SettingMaxFrameSize, Val: maxFrame},
			http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: maxHead},
		)
	}, true)
	c.put(func() error { return c.framer.WriteWindowUpdate(0, windowSize-firstWindow) }, true)
	c.mu.Unlock()
	go c.writeLoop()
	go c.readLoop()
	if opt.ReadIdleTimeout > 0 {
		go c.pingLoop()
	}
	return c
}

// State is what the connection can take now.
func (c *Conn) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{
		Open: c.takes(), Limit: int(c.limit), Active: len(c.streams), Draining: c.draining || c.leaving, Lost: c.lost,
	}
}

// takes reports whether there are new streams at all. One that begins behind the GOAWAY of Close would be
// cut off with the connection and pass for a request that may have run. The lock is held.
func (c *Conn) takes() bool {
	return c.settled && !c.draining && !c.leaving && c.lost == nil && c.nextID < maxStream-2
}

// put appends frames to what waits to be written. The lock is held.
func (c *Conn) put(write func() error, control bool) {
	before := c.out.Len()
	if err := write(); err != nil { // what is written here is always legal; were it not, the connection is of no use
		go c.lose(fmt.Errorf("h2: %w", err))
		return
	}
	n := c.out.Len() - before
	c.queued += int64(n)
	if control {
		c.control += n
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Start opens a stream for req. done is called once, without the lock, when it has ended; not if Start
// returns false: the connection takes no stream now, and nothing of req was written.
func (c *Conn) Start(req *Request, done func(Result)) (*Stream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.takes() || len(c.streams) >= int(c.limit) {
		return nil, false
	}
	s := &Stream{conn: c, id: c.nextID, done: done, window: c.first, length: -1, rest: req.Body}
	c.nextID += 2
	if len(c.streams) == 0 { // silence counts from here
		c.heardAt = time.Now()
	}
	c.streams[s.id] = s
	c.writeHead(s, req)
	if len(req.Body) == 0 {
		c.marks = append(c.marks, mark{offset: c.queued, stream: s})
	} else {
		c.writeBody(s)
	}
	return s, true
}

// writeHead queues HEADERS and, where they are long, CONTINUATION (6.10).
func (c *Conn) writeHead(s *Stream, req *Request) {
	c.block.Reset()
	c.encoder.WriteField(hpack.HeaderField{Name: ":method", Value: req.Method})
	c.encoder.WriteField(hpack.HeaderField{Name: ":scheme", Value: req.Scheme})
	c.encoder.WriteField(hpack.HeaderField{Name: ":authority", Value: req.Authority})
	c.encoder.WriteField(hpack.HeaderField{Name: ":path", Value: req.Path})
	for _, f := range req.Fields { // what is private stays out of both sides' tables (RFC 7541 7.1.3)
		c.encoder.WriteField(hpack.HeaderField{Name: f.Name, Value: f.Value, Sensitive: f.Sensitive})
	}
	if len(req.Body) > 0 {
		c.encoder.WriteField(hpack.HeaderField{Name: "content-length", Value: strconv.Itoa(len(req.Body))})
	}
	text := c.block.Bytes()
	n := min(len(text), c.frame)
	c.put(func() error {
		return c.framer.WriteHeaders(http2.HeadersFrameParam{
			StreamID: s.id, BlockFragment: text[:n], EndHeaders: n == len(text), EndStream: len(req.Body) == 0,
		})
	}, false)
	for text = text[n:]; len(text) > 0; text = text[n:] {
		n = min(len(text), c.frame)
		c.put(func() error { return c.framer.WriteContinuation(s.id, n == len(text), text[:n]) }, false)
	}
}

// writeBody queues as much of the body as the windows have room for (6.9).
func (c *Conn) writeBody(s *Stream) {
	for len(s.rest) > 0 && !s.closing {
		n := int(min(int64(len(s.rest)), s.window, c.window, int64(c.frame)))
		if n <= 0 {
			return
		}
		s.window -= int64(n)
		c.window -= int64(n)
		part := s.rest[:n]
		s.rest = s.rest[n:]
		c.noise = max(c.noise-2, -noiseMost) // each may bring two WINDOW_UPDATE, which are no flood
		c.put(func() error { return c.framer.WriteData(s.id, len(s.rest) == 0, part) }, false)
		if len(s.rest) == 0 {
			c.marks = append(c.marks, mark{offset: c.queued, stream: s})
		}
	}
}

// Cancel gives the request up: it is reset, and ends as Cancelled once that is written, if no other end
// comes first. A request of which the last byte was not written ends as NeverRan.
func (s *Stream) Cancel() { s.giveUp(Result{Outcome: Cancelled}) }

func (s *Stream) giveUp(r Result) {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[s.id] == s && !s.closing && c.lost == nil {
		c.reset(s, http2.ErrCodeCancel, r)
	}
}

// reset queues the stream's reset; it ends as r when that is written. The lock is held.
func (c *Conn) reset(s *Stream, code http2.ErrCode, r Result) {
	s.closing = true
	if r.Status == 0 {
		r.Status = s.result.Status
	}
	s.result = r
	c.put(func() error { return c.framer.WriteRSTStream(s.id, code) }, true)
	c.marks = append(c.marks, mark{offset: c.queued, stream: s, reset: true})
}

// finish takes a stream out; the call that is returned tells its end, and must be made without the lock.
func (c *Conn) finish(s *Stream, r Result) func() {
	if c.streams[s.id] != s {
		return func() {}
	}
	delete(c.streams, s.id)
	if s.timer != nil {
		s.timer.Stop()
	}
	if r.Status == 0 {
		r.Status = s.result.Status
	}
	return func() { s.done(r) }
}

// Close ends the connection once a GOAWAY is written, or can't be. Streams that are open then end as a loss
// ends them.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost == nil && !c.leaving {
		c.leaving = true
		c.put(func() error { return c.framer.WriteGoAway(0, http2.ErrCodeNo, nil) }, true)
	}
}

// lose ends the connection and all its streams: those whose last byte was not written never ran. What
// the writer has in hand just then must be counted first, or a request that is out would pass for one
// that is not.
func (c *Conn) lose(err error) {
	c.mu.Lock()
	if c.lost != nil {
		c.mu.Unlock()
		return
	}
	c.lost = err
	c.mu.Unlock()
	// Closed before anybody hears of it: a further attempt must not find this one's stream open.
	raw(c.nc).Close()
	c.mu.Lock()
	for c.writing {
		c.idle.Wait()
	}
	var ends []func()
	for _, s := range c.streams {
		r := Result{Outcome: Broken, Err: err}
		switch {
		case s.closing && s.result.Outcome != Cancelled:
			r = s.result
		case !s.sent:
			r.Outcome = NeverRan
		case s.closing:
			r = s.result
		case errors.Is(err, ErrPingTimeout):
			r.Outcome = Unresponsive
		}
		ends = append(ends, c.finish(s, r))
	}
	c.mu.Unlock()
	c.closeOnce.Do(func() { close(c.ended) })
	for _, end := range ends {
		end()
	}
	if c.opt.OnChange != nil {
		c.opt.OnChange(c)
	}
}

// raw is the connection under TLS: tls.Conn's own Close may wait seconds to say goodbye to a peer that
// reads nothing.
func raw(nc net.Conn) net.Conn {
	if t, ok := nc.(*tls.Conn); ok {
		return t.NetConn()
	}
	return nc
}

// Settled is closed when the peer's first SETTINGS have come.
func (c *Conn) Ready() <-chan struct{} { return c.ready }

// Abort ends the connection at once, as a loss for that reason.
func (c *Conn) Abort(why error) { c.lose(why) }

// Done is closed when the connection is lost.
func (c *Conn) Done() <-chan struct{} { return c.ended }

// writeLoop writes what is queued, and notes of which streams the last byte is out.
func (c *Conn) writeLoop() {
	var text []byte
	for {
		select {
		case <-c.wake:
		case <-c.ended:
			return
		}
		c.mu.Lock()
		if c.lost != nil { // from here on its streams are told that what waits was not written
			c.mu.Unlock()
			return
		}
		text = append(text[:0], c.out.Bytes()...)
		c.out.Reset()
		c.control = 0
		c.writing = true
		leaving := c.leaving
		c.mu.Unlock()
		var err error
		if len(text) > 0 {
			var n int
			c.nc.SetWriteDeadline(time.Now().Add(writeFor)) // a peer that reads nothing is lost
			n, err = c.nc.Write(text)
			c.wrote(int64(n))
		}
		c.mu.Lock()
		c.writing = false
		c.idle.Broadcast()
		c.mu.Unlock()
		switch {
		case err != nil:
			c.lose(fmt.Errorf("h2: write: %w", err))
			return
		case leaving:
			c.lose(ErrClosed)
			return
		}
	}
}

// wrote notes that so many more bytes are out.
func (c *Conn) wrote(n int64) {
	c.mu.Lock()
	c.written += n
	var ends []func()
	for len(c.marks) > 0 && c.marks[0].offset <= c.written {
		m := c.marks[0]
		c.marks = c.marks[1:]
		if !m.reset {
			m.stream.sent = true
			continue
		}
		r := m.stream.result
		if !m.stream.sent && r.Outcome == Cancelled {
			r.Outcome = NeverRan // a reset before END_STREAM (8.1): there was no whole request
		}
		ends = append(ends, c.finish(m.stream, r))
	}
	c.mu.Unlock()
	for _, end := range ends {
		end()
	}
	if len(ends) > 0 && c.opt.OnChange != nil {
		c.opt.OnChange(c)
	}
}

// pingLoop looks whether a peer with streams open is still there (6.7).
func (c *Conn) pingLoop() {
	t := time.NewTicker(max(min(c.opt.ReadIdleTimeout, c.opt.PingTimeout)/4, 5*time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-c.ended:
			return
		case <-t.C:
		}
		c.mu.Lock()
		now := time.Now()
		late := !c.pingAt.IsZero() && now.Sub(c.pingAt) > c.opt.PingTimeout
		if c.pingAt.IsZero() && len(c.streams) > 0 && now.Sub(c.heardAt) > c.opt.ReadIdleTimeout {
			c.pingAt = now
			c.put(func() error { return c.framer.WritePing(false, [8]byte{'s', 'l', 'i', 'p'}) }, true)
		}
		c.mu.Unlock()
		if late {
			c.lose(ErrPingTimeout)
			return
		}
	}
}

// PeerSettings are the settings that the peer told first, by name (6.5.2).
func (c *Conn) PeerSettings() []Field {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Field, len(c.told))
	for i, s := range c.told {
		list[i] = Field{Name: s.ID.String(), Value: strconv.FormatUint(uint64(s.Val), 10)}
	}
	return list
}
