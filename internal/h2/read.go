package h2

import (
	"bufio"
	"errors"
	"fmt"
	"strconv"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const readBufferSize = 4 << 10 // bytes

// readLoop reads and handles the peer's frames until the connection is lost.
func (c *Conn) readLoop() {
	// The Framer reads each frame in two parts, which would be two system calls without a buffer.
	fr := http2.NewFramer(nil, bufio.NewReaderSize(c.nc, readBufferSize))
	fr.SetMaxReadFrameSize(maxFrameSize)
	fr.SetReuseFrames()
	fr.ReadMetaHeaders = hpack.NewDecoder(hpackTableSize, nil)
	fr.MaxHeaderListSize = maxHeaderListSize
	for first := true; ; first = false {
		f, err := fr.ReadFrame()
		var se http2.StreamError
		switch {
		case errors.As(err, &se): // malformed headers (8.1.1) are an error of the stream, not of the connection
			c.rejectResponse(se.StreamID, se.Code, err)
			if c.overheadExceeded() {
				c.failWithGoAway(http2.ErrCodeEnhanceYourCalm, ErrFrameFlood)
				return
			}
			continue
		case err != nil:
			c.failWithGoAway(errorCode(err), fmt.Errorf("h2: read: %w", err))
			return
		}
		if _, ok := f.(*http2.SettingsFrame); first && !ok { // 3.4
			c.failWithGoAway(http2.ErrCodeProtocol, errors.New("h2: the peer's first frame is not SETTINGS"))
			return
		}
		if code, err := c.handleFrame(f); err != nil {
			c.failWithGoAway(code, err)
			return
		}
	}
}

// errorCode returns the error code of the GOAWAY that follows a read error.
func errorCode(err error) http2.ErrCode {
	var ce http2.ConnectionError
	if errors.As(err, &ce) {
		return http2.ErrCode(ce)
	}
	return http2.ErrCodeProtocol
}

// failWithGoAway queues a GOAWAY (5.4.1) and ends the connection at once. The GOAWAY is best effort: it is sent
// only if writeLoop takes it before the connection is closed.
func (c *Conn) failWithGoAway(code http2.ErrCode, err error) {
	c.mu.Lock()
	if c.lost == nil {
		c.queueFrame(func() error { return c.framer.WriteGoAway(0, code, nil) }, true)
	}
	c.mu.Unlock()
	c.terminate(err)
}

// overheadExceeded counts a received frame that carries nothing of a final response, and reports whether the peer
// sends too many of them or leaves too many control frames unread. Floods of SETTINGS, PING, empty DATA or
// RST_STREAM cost the peer little and this side much (10.5).
func (c *Conn) overheadExceeded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.overheadSince) > time.Second {
		c.overheadFrames, c.overheadSince = 0, now
	}
	c.overheadFrames++
	return c.overheadFrames > maxOverheadFrames || c.controlBytes > maxPendingControlBytes
}

// handleFrame handles one frame. An error that it returns ends the connection, with the error code for GOAWAY.
func (c *Conn) handleFrame(f http2.Frame) (http2.ErrCode, error) {
	c.mu.Lock()
	c.lastReadAt = time.Now()
	c.mu.Unlock()
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		return c.handleHeaders(f)
	case *http2.DataFrame:
		return c.handleData(f)
	}
	if c.overheadExceeded() {
		return http2.ErrCodeEnhanceYourCalm, ErrFrameFlood
	}
	switch f := f.(type) {
	case *http2.SettingsFrame:
		return c.handleSettings(f)
	case *http2.WindowUpdateFrame:
		return c.handleWindowUpdate(f)
	case *http2.RSTStreamFrame:
		c.handleReset(f)
	case *http2.GoAwayFrame:
		c.handleGoAway(f)
	case *http2.PingFrame:
		c.handlePing(f)
	case *http2.PushPromiseFrame: // 8.4: push is disabled by SETTINGS_ENABLE_PUSH
		return http2.ErrCodeProtocol, errors.New("h2: PUSH_PROMISE received although push is disabled")
	}
	return 0, nil // PRIORITY and unknown frame types are ignored (5.5)
}

func (c *Conn) notifyChange() {
	if c.opt.OnChange != nil {
		c.opt.OnChange(c)
	}
}

// handleSettings applies the peer's SETTINGS (6.5.2). A lowered stream limit applies to new streams only; open
// ones continue.
func (c *Conn) handleSettings(f *http2.SettingsFrame) (http2.ErrCode, error) {
	c.mu.Lock()
	if f.IsAck() {
		c.mu.Unlock()
		return 0, nil
	}
	if !c.settingsReceived { // 6.5.2 has no limit unless SETTINGS set one; 1000 bounds the memory on this side
		c.streamLimit = 1000
	}
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		switch s.ID {
		case http2.SettingMaxConcurrentStreams:
			c.streamLimit = min(s.Val, 1000)
		case http2.SettingInitialWindowSize: // 6.9.2: it changes the windows of open streams, too
			delta := int64(s.Val) - c.initialSendWindow
			c.initialSendWindow = int64(s.Val)
			for _, st := range c.streams {
				if st.sendWindow += delta; st.sendWindow > maxWindowSize {
					return http2.ConnectionError(http2.ErrCodeFlowControl)
				}
			}
		case http2.SettingMaxFrameSize:
			c.maxSendFrame = int(min(s.Val, 64<<10))
		case http2.SettingHeaderTableSize:
			c.encoder.SetMaxDynamicTableSize(min(s.Val, hpackTableSize))
		}
		return nil
	})
	if err != nil {
		c.mu.Unlock()
		return errorCode(err), fmt.Errorf("h2: invalid SETTINGS: %w", err)
	}
	if !c.settingsReceived {
		c.settingsReceived = true
		f.ForeachSetting(func(s http2.Setting) error {
			if len(c.peerSettings) < 16 {
				c.peerSettings = append(c.peerSettings, s)
			}
			return nil
		})
		close(c.ready)
	}
	c.queueFrame(c.framer.WriteSettingsAck, true)
	for _, s := range c.streams {
		c.queueBody(s)
	}
	c.mu.Unlock()
	c.notifyChange()
	return 0, nil
}

// handleWindowUpdate enlarges the send window of the connection or of a stream (6.9.1).
func (c *Conn) handleWindowUpdate(f *http2.WindowUpdateFrame) (http2.ErrCode, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.StreamID == 0 {
		if c.sendWindow += int64(f.Increment); c.sendWindow > maxWindowSize {
			return http2.ErrCodeFlowControl, errors.New("h2: WINDOW_UPDATE overflows the connection's window")
		}
		for _, s := range c.streams {
			c.queueBody(s)
		}
		return 0, nil
	}
	if s := c.streams[f.StreamID]; s != nil && !s.resetting {
		if s.sendWindow += int64(f.Increment); s.sendWindow > maxWindowSize {
			c.queueReset(s, http2.ErrCodeFlowControl, Result{
				Outcome: InvalidResponse, Err: errors.New("h2: WINDOW_UPDATE overflows the stream's window"),
			})
			return 0, nil
		}
		c.queueBody(s)
	}
	return 0, nil
}

// handlePing answers the peer's PING, or records its answer to a PING of pingLoop (6.7).
func (c *Conn) handlePing(f *http2.PingFrame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.IsAck() {
		c.pingSentAt = time.Time{}
		return
	}
	c.queueFrame(func() error { return c.framer.WritePing(true, f.Data) }, true)
}

// handleGoAway handles the peer's announcement that it will close the connection (6.8). Streams after the last
// one that it names have not been and will not be processed; the others continue. A further GOAWAY may name an
// earlier stream, never a later one.
func (c *Conn) handleGoAway(f *http2.GoAwayFrame) {
	c.mu.Lock()
	if !c.draining || f.LastStreamID < c.lastStreamID {
		c.lastStreamID = f.LastStreamID
	}
	c.draining = true
	var callbacks []func()
	for id, s := range c.streams {
		if id > c.lastStreamID {
			callbacks = append(callbacks, c.finish(s, Result{
				Outcome: GoneAway, Err: fmt.Errorf("h2: GOAWAY received: %v", f.ErrCode),
			}))
		}
	}
	c.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
	c.notifyChange()
}

// handleReset handles RST_STREAM (6.4).
func (c *Conn) handleReset(f *http2.RSTStreamFrame) {
	c.mu.Lock()
	s := c.streams[f.StreamID]
	if s == nil {
		c.mu.Unlock()
		return
	}
	r := Result{Outcome: Broken, Err: fmt.Errorf("h2: stream reset by the peer: %v", f.ErrCode)}
	switch {
	case f.ErrCode == http2.ErrCodeRefusedStream && !s.headersReceived: // 8.7
		r.Outcome = Refused
	case !s.fullySent && !s.headersReceived && len(s.unqueuedBody) > 0: // END_STREAM was not even queued
		r.Outcome = NeverRan
	}
	callback := c.finish(s, r)
	c.mu.Unlock()
	callback()
	c.notifyChange()
}

// rejectResponse resets a stream whose response is invalid.
func (c *Conn) rejectResponse(id uint32, code http2.ErrCode, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.streams[id]; s != nil && !s.resetting {
		c.queueReset(s, code, Result{Outcome: InvalidResponse, Err: err})
	}
}

// handleHeaders handles the headers of a final response, of an interim (1xx) response, or trailers (8.1).
func (c *Conn) handleHeaders(f *http2.MetaHeadersFrame) (http2.ErrCode, error) {
	c.mu.Lock()
	s := c.streams[f.StreamID]
	if s == nil || s.resetting { // the stream has ended; the headers were decoded only to keep the hpack table up to date
		idleStream := f.StreamID >= c.nextID || f.StreamID%2 == 0
		c.mu.Unlock()
		if idleStream { // 5.1: the stream was never opened
			return http2.ErrCodeProtocol, errors.New("h2: HEADERS received on an idle stream")
		}
		if c.overheadExceeded() {
			return http2.ErrCodeEnhanceYourCalm, ErrFrameFlood
		}
		return 0, nil
	}
	if s.headersReceived { // trailers
		if !f.StreamEnded() {
			c.queueReset(s, http2.ErrCodeProtocol, Result{
				Outcome: InvalidResponse, Err: errors.New("h2: trailers without END_STREAM"),
			})
			c.mu.Unlock()
			return 0, nil
		}
		callback := c.finishAnswered(s)
		c.mu.Unlock()
		callback()
		c.notifyChange()
		return 0, nil
	}
	status, err := strconv.Atoi(f.PseudoValue("status"))
	switch {
	case f.Truncated:
		err = errors.New("h2: response headers too large")
	case err != nil || status < 100 || status > 999 || status == 101:
		err = fmt.Errorf("h2: invalid response status %.20q", f.PseudoValue("status"))
	case status < 200 && f.StreamEnded():
		err = errors.New("h2: interim response ends the stream")
	}
	if err != nil {
		c.queueReset(s, http2.ErrCodeProtocol, Result{Outcome: InvalidResponse, Err: err})
		c.mu.Unlock()
		return 0, nil
	}
	if status < 200 {
		c.mu.Unlock()
		if c.overheadExceeded() {
			return http2.ErrCodeEnhanceYourCalm, ErrFrameFlood
		}
		return 0, nil
	}
	s.headersReceived = true
	s.result.Status = status
	fields := f.RegularFields()
	s.result.Fields = make([]Field, 0, len(fields))
	for _, h := range fields {
		s.result.Fields = append(s.result.Fields, Field{Name: h.Name, Value: h.Value})
		if h.Name == "content-length" {
			n, err := strconv.Atoi(h.Value)
			if err != nil || n < 0 || s.contentLength >= 0 && s.contentLength != n {
				c.queueReset(s, http2.ErrCodeProtocol, Result{
					Outcome: InvalidResponse, Err: fmt.Errorf("h2: invalid or conflicting content-length %.20q", h.Value),
				})
				c.mu.Unlock()
				return 0, nil
			}
			s.contentLength = n
		}
	}
	if f.StreamEnded() {
		callback := c.finishAnswered(s)
		c.mu.Unlock()
		callback()
		c.notifyChange()
		return 0, nil
	}
	if c.opt.BodyTimeout > 0 {
		s.bodyTimer = time.AfterFunc(c.opt.BodyTimeout, func() {
			s.cancel(Result{Outcome: InvalidResponse, Err: errors.New("h2: response body not complete in time")})
		})
	}
	c.mu.Unlock()
	return 0, nil
}

// handleData appends DATA to the body of a response and returns the flow-control credit for it (6.9).
func (c *Conn) handleData(f *http2.DataFrame) (http2.ErrCode, error) {
	c.mu.Lock()
	s := c.streams[f.StreamID]
	n := int(f.Length) // padding counts towards flow control (6.1)
	if c.receivedBytes += n; c.receivedBytes >= connWindowSize/2 {
		increment := uint32(c.receivedBytes)
		c.receivedBytes = 0
		c.queueFrame(func() error { return c.framer.WriteWindowUpdate(0, increment) }, true)
	}
	if s == nil || s.resetting {
		idleStream := f.StreamID >= c.nextID || f.StreamID%2 == 0
		c.mu.Unlock()
		if idleStream {
			return http2.ErrCodeProtocol, errors.New("h2: DATA received on an idle stream")
		}
		if c.overheadExceeded() {
			return http2.ErrCodeEnhanceYourCalm, ErrFrameFlood
		}
		return 0, nil
	}
	var err error
	switch {
	case !s.headersReceived:
		err = errors.New("h2: DATA received before HEADERS")
	case len(s.result.Body)+len(f.Data()) > c.opt.MaxBody:
		err = errors.New("h2: response body too large")
	}
	if err != nil {
		c.queueReset(s, http2.ErrCodeProtocol, Result{Outcome: InvalidResponse, Err: err})
		c.mu.Unlock()
		return 0, nil
	}
	s.result.Body = append(s.result.Body, f.Data()...)
	if f.StreamEnded() {
		callback := c.finishAnswered(s)
		c.mu.Unlock()
		callback()
		c.notifyChange()
		return 0, nil
	}
	if n > 0 {
		c.queueFrame(func() error { return c.framer.WriteWindowUpdate(f.StreamID, uint32(n)) }, true)
	}
	c.mu.Unlock()
	if len(f.Data()) == 0 && c.overheadExceeded() {
		return http2.ErrCodeEnhanceYourCalm, ErrFrameFlood
	}
	return 0, nil
}

// finishAnswered ends a stream whose response is complete, or resets it if the body does not match
// content-length (8.1.1). It also resets a stream whose request was answered before its body was fully sent
// (8.1); this request still ends as Answered. The lock must be held; the returned function must be called without it.
func (c *Conn) finishAnswered(s *Stream) func() {
	if s.contentLength >= 0 && s.contentLength != len(s.result.Body) {
		c.queueReset(s, http2.ErrCodeProtocol, Result{
			Outcome: InvalidResponse,
			Err:     fmt.Errorf("h2: content-length is %d, but the body has %d bytes", s.contentLength, len(s.result.Body)),
		})
		return func() {}
	}
	r := s.result
	r.Outcome = Answered
	c.overheadFrames = max(c.overheadFrames-4, -maxOverheadFrames) // a response gives credit for 4 such frames
	if len(s.unqueuedBody) > 0 {
		c.queueReset(s, http2.ErrCodeNo, r)
		return func() {}
	}
	return c.finish(s, r)
}
