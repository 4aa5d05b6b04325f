// Package h2 implements the client side of one HTTP/2 connection (RFC 9113) on top of the Framer of
// golang.org/x/net/http2 and hpack. It sends each request on a stream of its own and reports how the request
// ended, above all whether the peer may have run it. It never retries a request, does not dial, and does
// not depend on the sender's message types. Section numbers in comments refer to RFC 9113 unless stated
// otherwise.
//
// One goroutine per connection reads, one writes, and one sends PINGs if Options.ReadIdleTimeout is set. They
// share state under one lock, which is never held during I/O. Memory is bounded by the limits on open streams,
// body size, header list size and pending control frames.
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
	maxFrameSize           = 16 << 10    // payload bytes of a received frame; the smallest value that 6.5.2 permits
	maxHeaderListSize      = 16 << 10    // bytes of the headers of a response, counted as in 6.5.2
	connWindowSize         = 1 << 20     // bytes of the connection's receive window (6.9)
	hpackTableSize         = 4096        // bytes of the dynamic table, in both directions
	defaultWindowSize      = 65535       // bytes of a flow-control window before SETTINGS and WINDOW_UPDATE (6.9.2)
	maxWindowSize          = 1<<31 - 1   // bytes; the largest flow-control window (6.9.1)
	maxStreamID            = 1<<31 - 1   // the largest stream identifier (5.1.1)
	maxOverheadFrames      = 400         // received frames per second that carry no response, see overheadExceeded
	maxPendingControlBytes = 64 << 10    // bytes of queued control frames, which grow if the peer stops reading
	writeTimeout           = time.Second // of one write, after which the connection is closed
)

// Outcome is the way in which a request ended.
type Outcome uint8

// Outcomes of a request. After NeverRan, GoneAway and Refused the peer has certainly not run the request (8.7);
// after Broken, Unresponsive, InvalidResponse and Cancelled it may have.
const (
	Answered        Outcome = iota // the response is complete
	NeverRan                       // the last byte of the request was not written
	GoneAway                       // a GOAWAY named an earlier stream as the last one processed
	Refused                        // the peer reset the stream with REFUSED_STREAM
	Broken                         // reset by the peer, or connection lost, when the request may have arrived
	Unresponsive                   // the connection was closed because the peer did not answer a PING
	InvalidResponse                // the response is malformed, too large or incomplete
	Cancelled                      // ended by Cancel; the reset has been written or the connection is closed
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"answered", "never ran", "gone away", "refused", "broken", "unresponsive", "invalid response", "cancelled"}[o]
}

// Field is one header field. Name is in lower case (8.2). A Sensitive field is never indexed by hpack, so that
// others who share the compression context cannot guess its value.
type Field struct {
	Name      string `json:"name"`
	Value     string `json:"value"`
	Sensitive bool   `json:"-"`
}

// Request is one request. The caller must not change Body until the request has ended.
type Request struct {
	Method, Scheme, Authority, Path string
	Fields                          []Field
	Body                            []byte
}

// Result describes how a request ended.
type Result struct {
	Outcome Outcome
	Status  int     // 0 if no response headers were received; may be set with any outcome
	Fields  []Field // of the response; only with Answered
	Body    []byte  // only with Answered
	Err     error   // cause of a failure; nil if the request was answered, may be nil after Cancel
}

// Get returns the value of the first field with the given name, or "" if there is none.
func (r *Result) Get(name string) string {
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Options configures a connection.
type Options struct {
	MaxBody         int           // bytes of a response body
	BodyTimeout     time.Duration // from the headers of a response to its end; 0 disables it
	ReadIdleTimeout time.Duration // without a received frame while streams are open, before a PING; 0 disables PINGs
	PingTimeout     time.Duration // for the reply to a PING
	// OnChange is called when the stream limit or the state of the connection has changed: a stream has
	// ended, SETTINGS or GOAWAY was received, or the connection is lost. The connection's goroutines, and Abort,
	// call it without holding the lock.
	OnChange func(*Conn)
}

// State is a snapshot of a connection's capacity.
type State struct {
	Open     bool  // SETTINGS have been received and new streams are accepted
	Limit    int   // maximum number of open streams
	Active   int   // open streams
	Draining bool  // GOAWAY was received, or Close was called; new streams are not accepted
	Lost     error // reason why the connection ended, nil while it is up
}

// Conn is the client side of one HTTP/2 connection.
type Conn struct {
	nc  net.Conn
	opt Options

	mu                sync.Mutex   // guards the fields below, except the channels
	writeBuf          bytes.Buffer // frames that are queued for writeLoop
	framer            *http2.Framer
	encoder           *hpack.Encoder
	headerBlock       bytes.Buffer  // output of encoder
	queuedBytes       int64         // total ever added to writeBuf
	writtenBytes      int64         // total ever written to nc
	marks             []writeMark   // in order of offset
	controlBytes      int           // size of the control frames in writeBuf
	wake              chan struct{} // tells writeLoop that frames are queued
	writing           bool          // writeLoop has taken bytes whose write is not yet recorded
	writeDone         *sync.Cond    // signalled when writing becomes false
	closing           bool          // Close was called: the connection ends once writeBuf is written
	streams           map[uint32]*Stream
	nextID            uint32
	streamLimit       uint32 // maximum number of open streams
	settingsReceived  bool
	peerSettings      []http2.Setting // the peer's first SETTINGS
	sendWindow        int64           // bytes of request bodies that the peer accepts on the connection
	initialSendWindow int64           // bytes that it accepts on a new stream
	maxSendFrame      int             // bytes of payload per frame sent
	draining          bool            // GOAWAY was received
	lastStreamID      uint32          // from GOAWAY
	lost              error
	lastReadAt        time.Time
	pingSentAt        time.Time // of the unanswered PING; zero if there is none
	overheadFrames    int       // counted since overheadSince, less the credit for useful frames
	overheadSince     time.Time
	receivedBytes     int           // bytes of DATA since the last WINDOW_UPDATE for the connection
	done              chan struct{} // closed when the connection is lost
	ready             chan struct{} // closed by the first SETTINGS
	closeOnce         sync.Once
}

// writeMark marks the offset in the written bytes at which a stream's request or reset is complete.
type writeMark struct {
	offset int64
	stream *Stream
	reset  bool // the mark is for RST_STREAM, otherwise for the last byte of the request
}

// Stream is one request in progress. The lock of its Conn guards its fields.
type Stream struct {
	conn            *Conn
	id              uint32
	onDone          func(Result)
	unqueuedBody    []byte // rest of the body, held back by flow control
	sendWindow      int64
	fullySent       bool // the last byte of the request is written
	resetting       bool // RST_STREAM is queued; result holds the outcome
	result          Result
	contentLength   int // from the headers of the response; -1 if absent
	headersReceived bool
	bodyTimer       *time.Timer
}

// Errors of a connection.
var (
	ErrClosed      = errors.New("h2: connection closed")
	ErrPingTimeout = errors.New("h2: peer did not answer a PING in time")
	ErrFrameFlood  = errors.New("h2: too many frames that carry nothing of a final response, or too many unread control frames")
)

// New starts an HTTP/2 connection on nc and takes ownership of nc. The connection preface is sent at once
// (3.4). Start accepts no request until the peer's SETTINGS have been received.
func New(nc net.Conn, opt Options) *Conn {
	c := &Conn{
		nc: nc, opt: opt, wake: make(chan struct{}, 1), streams: map[uint32]*Stream{}, nextID: 1, streamLimit: 100,
		sendWindow: defaultWindowSize, initialSendWindow: defaultWindowSize, maxSendFrame: maxFrameSize,
		lastReadAt: time.Now(), done: make(chan struct{}), ready: make(chan struct{}),
	}
	c.writeDone = sync.NewCond(&c.mu)
	c.framer = http2.NewFramer(&c.writeBuf, nil)
	c.encoder = hpack.NewEncoder(&c.headerBlock)
	c.encoder.SetMaxDynamicTableSizeLimit(hpackTableSize)
	c.mu.Lock()
	c.writeBuf.WriteString(http2.ClientPreface)
	c.queuedBytes += int64(len(http2.ClientPreface))
	c.queueFrame(func() error {
		return c.framer.WriteSettings(
			http2.Setting{ID: http2.SettingEnablePush, Val: 0},
			http2.Setting{ID: http2.SettingMaxFrameSize, Val: maxFrameSize},
			http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: maxHeaderListSize},
		)
	}, true)
	c.queueFrame(func() error { return c.framer.WriteWindowUpdate(0, connWindowSize-defaultWindowSize) }, true)
	c.mu.Unlock()
	go c.writeLoop()
	go c.readLoop()
	if opt.ReadIdleTimeout > 0 {
		go c.pingLoop()
	}
	return c
}

// State returns the current capacity of the connection.
func (c *Conn) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{
		Open: c.acceptsStreams(), Limit: int(c.streamLimit), Active: len(c.streams),
		Draining: c.draining || c.closing, Lost: c.lost,
	}
}

// acceptsStreams reports whether new streams may be opened at all. A stream opened after the GOAWAY of Close
// would end with the connection and be reported as a request that may have run. The lock must be held.
func (c *Conn) acceptsStreams() bool {
	return c.settingsReceived && !c.draining && !c.closing && c.lost == nil && c.nextID < maxStreamID-2
}

// queueFrame appends the frames that write produces to writeBuf and wakes writeLoop. control says that they
// are control frames, which are limited by maxPendingControlBytes. The lock must be held.
func (c *Conn) queueFrame(write func() error, control bool) {
	before := c.writeBuf.Len()
	if err := write(); err != nil { // not expected, since all frames queued are valid; the connection is unusable
		go c.terminate(fmt.Errorf("h2: queue frame: %w", err))
		return
	}
	n := c.writeBuf.Len() - before
	c.queuedBytes += int64(n)
	if control {
		c.controlBytes += n
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Start opens a stream for req. onDone is called once, without the lock, when the request has ended. If Start
// returns false, the connection accepts no stream now, nothing of req was written, and onDone is not called.
func (c *Conn) Start(req *Request, onDone func(Result)) (*Stream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acceptsStreams() || len(c.streams) >= int(c.streamLimit) {
		return nil, false
	}
	s := &Stream{
		conn: c, id: c.nextID, onDone: onDone, sendWindow: c.initialSendWindow, contentLength: -1, unqueuedBody: req.Body,
	}
	c.nextID += 2
	if len(c.streams) == 0 { // ReadIdleTimeout applies only while streams are open
		c.lastReadAt = time.Now()
	}
	c.streams[s.id] = s
	c.queueHeaders(s, req)
	if len(req.Body) == 0 {
		c.marks = append(c.marks, writeMark{offset: c.queuedBytes, stream: s})
	} else {
		c.queueBody(s)
	}
	return s, true
}

// queueHeaders queues HEADERS and, if the header block exceeds one frame, CONTINUATION (6.10). The lock must be held.
func (c *Conn) queueHeaders(s *Stream, req *Request) {
	c.headerBlock.Reset()
	c.encoder.WriteField(hpack.HeaderField{Name: ":method", Value: req.Method})
	c.encoder.WriteField(hpack.HeaderField{Name: ":scheme", Value: req.Scheme})
	c.encoder.WriteField(hpack.HeaderField{Name: ":authority", Value: req.Authority})
	c.encoder.WriteField(hpack.HeaderField{Name: ":path", Value: req.Path})
	for _, f := range req.Fields { // sensitive fields stay out of the dynamic tables of both sides (RFC 7541 7.1.3)
		c.encoder.WriteField(hpack.HeaderField{Name: f.Name, Value: f.Value, Sensitive: f.Sensitive})
	}
	if len(req.Body) > 0 {
		c.encoder.WriteField(hpack.HeaderField{Name: "content-length", Value: strconv.Itoa(len(req.Body))})
	}
	block := c.headerBlock.Bytes()
	n := min(len(block), c.maxSendFrame)
	c.queueFrame(func() error {
		return c.framer.WriteHeaders(http2.HeadersFrameParam{
			StreamID: s.id, BlockFragment: block[:n], EndHeaders: n == len(block), EndStream: len(req.Body) == 0,
		})
	}, false)
	for block = block[n:]; len(block) > 0; block = block[n:] {
		n = min(len(block), c.maxSendFrame)
		c.queueFrame(func() error { return c.framer.WriteContinuation(s.id, n == len(block), block[:n]) }, false)
	}
}

// queueBody queues as much of the body as flow control permits (6.9). The lock must be held.
func (c *Conn) queueBody(s *Stream) {
	for len(s.unqueuedBody) > 0 && !s.resetting {
		n := int(min(int64(len(s.unqueuedBody)), s.sendWindow, c.sendWindow, int64(c.maxSendFrame)))
		if n <= 0 {
			return
		}
		s.sendWindow -= int64(n)
		c.sendWindow -= int64(n)
		chunk := s.unqueuedBody[:n]
		s.unqueuedBody = s.unqueuedBody[n:]
		// The peer may answer each DATA frame with two WINDOW_UPDATE frames, which do not count as a flood.
		c.overheadFrames = max(c.overheadFrames-2, -maxOverheadFrames)
		c.queueFrame(func() error { return c.framer.WriteData(s.id, len(s.unqueuedBody) == 0, chunk) }, false)
		if len(s.unqueuedBody) == 0 {
			c.marks = append(c.marks, writeMark{offset: c.queuedBytes, stream: s})
		}
	}
}

// Cancel resets the stream. The request ends as Cancelled once the reset is written, or as NeverRan if its last
// byte was not written, unless it ends in another way first.
func (s *Stream) Cancel() { s.cancel(Result{Outcome: Cancelled}) }

// cancel resets the stream, which ends with r under the conditions of Cancel.
func (s *Stream) cancel(r Result) {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[s.id] == s && !s.resetting && c.lost == nil {
		c.queueReset(s, http2.ErrCodeCancel, r)
	}
}

// queueReset queues RST_STREAM; the stream ends with r when it is written. The lock must be held.
func (c *Conn) queueReset(s *Stream, code http2.ErrCode, r Result) {
	s.resetting = true
	if r.Status == 0 {
		r.Status = s.result.Status
	}
	s.result = r
	c.queueFrame(func() error { return c.framer.WriteRSTStream(s.id, code) }, true)
	c.marks = append(c.marks, writeMark{offset: c.queuedBytes, stream: s, reset: true})
}

// finish removes a stream and returns a function that passes r to its onDone, to be called without the lock.
// The lock must be held.
func (c *Conn) finish(s *Stream, r Result) func() {
	if c.streams[s.id] != s {
		return func() {}
	}
	delete(c.streams, s.id)
	if s.bodyTimer != nil {
		s.bodyTimer.Stop()
	}
	if r.Status == 0 {
		r.Status = s.result.Status
	}
	return func() { s.onDone(r) }
}

// Close ends the connection once a GOAWAY has been written or its write has failed. Streams that are still open
// then end as they do when the connection is lost.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost == nil && !c.closing {
		c.closing = true
		c.queueFrame(func() error { return c.framer.WriteGoAway(0, http2.ErrCodeNo, nil) }, true)
	}
}

// terminate ends the connection and all its streams. Requests whose last byte was not written end as NeverRan.
// It waits for a write in progress and counts its bytes first: otherwise a request that was sent would be
// reported as NeverRan.
func (c *Conn) terminate(err error) {
	c.mu.Lock()
	if c.lost != nil {
		c.mu.Unlock()
		return
	}
	c.lost = err
	c.mu.Unlock()
	// Close before reporting any result: a retry must not overlap with a stream that is still open.
	underlyingConn(c.nc).Close()
	c.mu.Lock()
	for c.writing {
		c.writeDone.Wait()
	}
	var callbacks []func()
	for _, s := range c.streams {
		r := Result{Outcome: Broken, Err: err}
		switch {
		case s.resetting && s.result.Outcome != Cancelled:
			r = s.result
		case !s.fullySent:
			r.Outcome = NeverRan
		case s.resetting:
			r = s.result
		case errors.Is(err, ErrPingTimeout):
			r.Outcome = Unresponsive
		}
		callbacks = append(callbacks, c.finish(s, r))
	}
	c.mu.Unlock()
	c.closeOnce.Do(func() { close(c.done) })
	for _, callback := range callbacks {
		callback()
	}
	if c.opt.OnChange != nil {
		c.opt.OnChange(c)
	}
}

// underlyingConn returns the connection below TLS. tls.Conn.Close may block for seconds on sending close_notify
// to a peer that does not read.
func underlyingConn(nc net.Conn) net.Conn {
	if t, ok := nc.(*tls.Conn); ok {
		return t.NetConn()
	}
	return nc
}

// Ready returns a channel that is closed when the peer's first SETTINGS have been received.
func (c *Conn) Ready() <-chan struct{} { return c.ready }

// Abort ends the connection at once, with err as the reason of the loss.
func (c *Conn) Abort(err error) { c.terminate(err) }

// Done returns a channel that is closed when the connection is lost.
func (c *Conn) Done() <-chan struct{} { return c.done }

// writeLoop writes the queued frames and records which requests are fully sent.
func (c *Conn) writeLoop() {
	var buf []byte
	for {
		select {
		case <-c.wake:
		case <-c.done:
			return
		}
		c.mu.Lock()
		if c.lost != nil { // terminate reports queued requests as not written, so they must not be written any more
			c.mu.Unlock()
			return
		}
		buf = append(buf[:0], c.writeBuf.Bytes()...)
		c.writeBuf.Reset()
		c.controlBytes = 0
		c.writing = true
		closing := c.closing
		c.mu.Unlock()
		var err error
		if len(buf) > 0 {
			var n int
			c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // the connection ends if the peer stops reading
			n, err = c.nc.Write(buf)
			c.recordWritten(int64(n))
		}
		c.mu.Lock()
		c.writing = false
		c.writeDone.Broadcast()
		c.mu.Unlock()
		switch {
		case err != nil:
			c.terminate(fmt.Errorf("h2: write: %w", err))
			return
		case closing:
			c.terminate(ErrClosed)
			return
		}
	}
}

// recordWritten adds n to the bytes written and handles the marks that they reach.
func (c *Conn) recordWritten(n int64) {
	c.mu.Lock()
	c.writtenBytes += n
	var callbacks []func()
	for len(c.marks) > 0 && c.marks[0].offset <= c.writtenBytes {
		m := c.marks[0]
		c.marks = c.marks[1:]
		if !m.reset {
			m.stream.fullySent = true
			continue
		}
		r := m.stream.result
		if !m.stream.fullySent && r.Outcome == Cancelled {
			r.Outcome = NeverRan // reset before END_STREAM (8.1): the peer never received a complete request
		}
		callbacks = append(callbacks, c.finish(m.stream, r))
	}
	c.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
	if len(callbacks) > 0 && c.opt.OnChange != nil {
		c.opt.OnChange(c)
	}
}

// pingLoop checks with PING (6.7) that the peer still responds while streams are open.
func (c *Conn) pingLoop() {
	t := time.NewTicker(max(min(c.opt.ReadIdleTimeout, c.opt.PingTimeout)/4, 5*time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-t.C:
		}
		c.mu.Lock()
		now := time.Now()
		timedOut := !c.pingSentAt.IsZero() && now.Sub(c.pingSentAt) > c.opt.PingTimeout
		if c.pingSentAt.IsZero() && len(c.streams) > 0 && now.Sub(c.lastReadAt) > c.opt.ReadIdleTimeout {
			c.pingSentAt = now
			c.queueFrame(func() error { return c.framer.WritePing(false, [8]byte{'s', 'l', 'i', 'p'}) }, true)
		}
		c.mu.Unlock()
		if timedOut {
			c.terminate(ErrPingTimeout)
			return
		}
	}
}

// PeerSettings returns the settings of the peer's first SETTINGS frame by name (6.5.2), at most 16 of them.
func (c *Conn) PeerSettings() []Field {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Field, len(c.peerSettings))
	for i, s := range c.peerSettings {
		list[i] = Field{Name: s.ID.String(), Value: strconv.FormatUint(uint64(s.Val), 10)}
	}
	return list
}
