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

const readBuffer = 4 << 10

// readLoop takes the peer's frames until the connection is lost.
func (c *Conn) readLoop() {
	// A frame is read in two parts: without a buffer each would be a system call.
	fr := http2.NewFramer(nil, bufio.NewReaderSize(c.nc, readBuffer))
	fr.SetMaxReadFrameSize(maxFrame)
	fr.SetReuseFrames()
	fr.ReadMetaHeaders = hpack.NewDecoder(tableSize, nil)
	fr.MaxHeaderListSize = maxHead
	for first := true; ; first = false {
		f, err := fr.ReadFrame()
		var se http2.StreamError
		switch {
		case errors.As(err, &se): // a head that makes no sense (8.1.1): the stream's fault, not the connection's
			c.spoil(se.StreamID, se.Code, err)
			if c.noisy() {
				c.fail(http2.ErrCodeEnhanceYourCalm, ErrFrameFlood)
				return
			}
			continue
		case err != nil:
			c.fail(codeOf(err), fmt.Errorf("h2: read: %w", err))
			return
		}
		if _, ok := f.(*http2.SettingsFrame); first && !ok { // 3.4
			c.fail(http2.ErrCodeProtocol, errors.New("h2: the peer does not begin with SETTINGS"))
			return
		}
		if code, err := c.frameIn(f); err != nil {
			c.fail(code, err)
			return
		}
	}
}

// codeOf is what a GOAWAY says of an error of the reader.
func codeOf(err error) http2.ErrCode {
	var ce http2.ConnectionError
	if errors.As(err, &ce) {
		return http2.ErrCode(ce)
	}
	return http2.ErrCodeProtocol
}

// fail ends the connection with a GOAWAY, as far as it can still be written (5.4.1).
func (c *Conn) fail(code http2.ErrCode, err error) {
	c.mu.Lock()
	if c.lost == nil {
		c.put(func() error { return c.framer.WriteGoAway(0, code, nil) }, true)
	}
	c.mu.Unlock()
	c.lose(err)
}

// noisy counts a frame that carries nothing, and reports whether there are too many of them: floods of
// SETTINGS, PING, empty DATA or resets cost the peer little and us much (10.5).
func (c *Conn) noisy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.noiseAt) > time.Second {
		c.noise, c.noiseAt = 0, now
	}
	c.noise++
	return c.noise > noiseMost || c.control > pendingMost
}

// frameIn takes one frame; an error is the connection's.
func (c *Conn) frameIn(f http2.Frame) (http2.ErrCode, error) {
	c.mu.Lock()
	c.heardAt = time.Now()
	c.mu.Unlock()
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		return c.headersIn(f)
	case *http2.DataFrame:
		return c.dataIn(f)
	}
	if c.noisy() {
		return http2.ErrCodeEnhanceYourCalm, ErrFrameFlood
	}
	switch f := f.(type) {
	case *http2.SettingsFrame:
		return c.settingsIn(f)
	case *http2.WindowUpdateFrame:
		return c.windowIn(f)
	case *http2.RSTStreamFrame:
		c.resetIn(f)
	case *http2.GoAwayFrame:
		c.goAwayIn(f)
	case *http2.PingFrame:
		c.pingIn(f)
	case *http2.PushPromiseFrame: // 8.4: it was switched off
		return http2.ErrCodeProtocol, errors.New("h2: PUSH_PROMISE")
	}
	return 0, nil // PRIORITY and what is unknown (5.5)
}

func (c *Conn) changed() {
	if c.opt.OnChange != nil {
		c.opt.OnChange(c)
	}
}

// settingsIn takes what the peer sets (6.5.2). A lowered stream limit ends no stream: it binds new ones.
func (c *Conn) settingsIn(f *http2.SettingsFrame) (http2.ErrCode, error) {
	c.mu.Lock()
	if f.IsAck() {
		c.mu.Unlock()
		return 0, nil
	}
	if !c.settled { // until it says otherwise (6.5.2: no limit at first); a bound of ours instead
		c.limit = 1000
	}
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		switch s.ID {
		case http2.SettingMaxConcurrentStreams:
			c.limit = min(s.Val, 1000)
		case http2.SettingInitialWindowSize: // 6.9.2: it moves the windows of open streams too
			by := int64(s.Val) - c.first
			c.first = int64(s.Val)
			for _, st := range c.streams {
				if st.window += by; st.window > maxWindow {
					return http2.ConnectionError(http2.ErrCodeFlowControl)
				}
			}
		case http2.SettingMaxFrameSize:
			c.frame = int(min(s.Val, 64<<10))
		case http2.SettingHeaderTableSize:
			c.encoder.SetMaxDynamicTableSize(min(s.Val, tableSize))
		}
		return nil
	})
	if err != nil {
		c.mu.Unlock()
		return codeOf(err), fmt.Errorf("h2: SETTINGS: %w", err)
	}
	if !c.settled {
		c.settled = true
		f.ForeachSetting(func(s http2.Setting) error {
			if len(c.told) < 16 {
				c.told = append(c.told, s)
			}
			return nil
		})
		close(c.ready)
	}
	c.put(c.framer.WriteSettingsAck, true)
	for _, s := range c.streams {
		c.writeBody(s)
	}
	c.mu.Unlock()
	c.changed()
	return 0, nil
}

// windowIn opens a window (6.9.1).
func (c *Conn) windowIn(f *http2.WindowUpdateFrame) (http2.ErrCode, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.StreamID == 0 {
		if c.window += int64(f.Increment); c.window > maxWindow {
			return http2.ErrCodeFlowControl, errors.New("h2: the connection's window is too large")
		}
		for _, s := range c.streams {
			c.writeBody(s)
		}
		return 0, nil
	}
	if s := c.streams[f.StreamID]; s != nil && !s.closing {
		if s.window += int64(f.Increment); s.window > maxWindow {
			c.reset(s, http2.ErrCodeFlowControl, Result{Outcome: InvalidResponse, Err: errors.New("h2: the stream's window is too large")})
			return 0, nil
		}
		c.writeBody(s)
	}
	return 0, nil
}

func (c *Conn) pingIn(f *http2.PingFrame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.IsAck() {
		c.pingAt = time.Time{}
		return
	}
	c.put(func() error { return c.framer.WritePing(true, f.Data) }, true)
}

// goAwayIn takes the end of the connection (6.8). Streams behind the last one that the peer names have
// not been run and never will be; the rest go on. A second GOAWAY may name an earlier one, never a later.
func (c *Conn) goAwayIn(f *http2.GoAwayFrame) {
	c.mu.Lock()
	if !c.draining || f.LastStreamID < c.lastID {
		c.lastID = f.LastStreamID
	}
	c.draining = true
	var ends []func()
	for id, s := range c.streams {
		if id > c.lastID {
			ends = append(ends, c.finish(s, Result{Outcome: GoneAway, Err: fmt.Errorf("h2: GOAWAY %v", f.ErrCode)}))
		}
	}
	c.mu.Unlock()
	for _, end := range ends {
		end()
	}
	c.changed()
}

// resetIn takes the peer's reset of a stream (6.4).
func (c *Conn) resetIn(f *http2.RSTStreamFrame) {
	c.mu.Lock()
	s := c.streams[f.StreamID]
	if s == nil {
		c.mu.Unlock()
		return
	}
	r := Result{Outcome: Broken, Err: fmt.Errorf("h2: reset by the peer: %v", f.ErrCode)}
	switch {
	case f.ErrCode == http2.ErrCodeRefusedStream && !s.headed: // 8.7
		r.Outcome = Refused
	case !s.sent && !s.headed && len(s.rest) > 0: // END_STREAM was not even queued
		r.Outcome = NeverRan
	}
	end := c.finish(s, r)
	c.mu.Unlock()
	end()
	c.changed()
}

// spoil ends a stream whose answer cannot be read.
func (c *Conn) spoil(id uint32, code http2.ErrCode, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.streams[id]; s != nil && !s.closing {
		c.reset(s, code, Result{Outcome: InvalidResponse, Err: err})
	}
}

// headersIn takes the head of an answer, of a 1xx ahead of it, or trailers (8.1).
func (c *Conn) headersIn(f *http2.MetaHeadersFrame) (http2.ErrCode, error) {
	c.mu.Lock()
	s := c.streams[f.StreamID]
	if s == nil || s.closing { // of a stream that is over: what it holds has been decoded, which is all it needs
		idle := f.StreamID >= c.nextID || f.StreamID%2 == 0
		c.mu.Unlock()
		if idle { // 5.1: nobody opened it
			return http2.ErrCodeProtocol, errors.New("h2: HEADERS on an idle stream")
		}
		if c.noisy() {
			return http2.ErrCodeEnhanceYourCalm, ErrFrameFlood
		}
		return 0, nil
	}
	if s.headed { // trailers
		if !f.StreamEnded() {
			c.reset(s, http2.ErrCodeProtocol, Result{Outcome: InvalidResponse, Err: errors.New("h2: HEADERS in the middle of an answer")})
			c.mu.Unlock()
			return 0, nil
		}
		end := c.answered(s)
		c.mu.Unlock()
		end()
		c.changed()
		return 0, nil
	}
	status, err := strconv.Atoi(f.PseudoValue("status"))
	switch {
	case f.Truncated:
		err = errors.New("h2: the answer's head is too large")
	case err != nil || status < 100 || status > 999 || status == 101:
		err = fmt.Errorf("h2: status %.20q", f.PseudoValue("status"))
	case status < 200 && f.StreamEnded():
		err = errors.New("h2: a 1xx answer that ends the stream")
	}
	if err != nil {
		c.reset(s, http2.ErrCodeProtocol, Result{Outcome: InvalidResponse, Err: err})
		c.mu.Unlock()
		return 0, nil
	}
	if status < 200 {
		c.mu.Unlock()
		if c.noisy() {
			return http2.ErrCodeEnhanceYourCalm, ErrFrameFlood
		}
		return 0, nil
	}
	s.headed = true
	s.result.Status = status
	fields := f.RegularFields()
	s.result.Fields = make([]Field, 0, len(fields))
	for _, h := range fields {
		s.result.Fields = append(s.result.Fields, Field{Name: h.Name, Value: h.Value})
		if h.Name == "content-length" {
			n, err := strconv.Atoi(h.Value)
			if err != nil || n < 0 || s.length >= 0 && s.length != n {
				c.reset(s, http2.ErrCodeProtocol, Result{Outcome: InvalidResponse, Err: fmt.Errorf("h2: content-length %.20q", h.Value)})
				c.mu.Unlock()
				return 0, nil
			}
			s.length = n
		}
	}
	if f.StreamEnded() {
		end := c.answered(s)
		c.mu.Unlock()
		end()
		c.changed()
		return 0, nil
	}
	if c.opt.BodyTimeout > 0 {
		s.timer = time.AfterFunc(c.opt.BodyTimeout, func() {
			s.giveUp(Result{Outcome: InvalidResponse, Err: errors.New("h2: an answer that does not end")})
		})
	}
	c.mu.Unlock()
	return 0, nil
}

// dataIn takes a part of an answer's body, and opens the windows again for what came (6.9).
func (c *Conn) dataIn(f *http2.DataFrame) (http2.ErrCode, error) {
	c.mu.Lock()
	s := c.streams[f.StreamID]
	n := int(f.Length) // with padding (6.1)
	if c.received += n; c.received >= windowSize/2 {
		by := uint32(c.received)
		c.received = 0
		c.put(func() error { return c.framer.WriteWindowUpdate(0, by) }, true)
	}
	if s == nil || s.closing {
		idle := f.StreamID >= c.nextID || f.StreamID%2 == 0
		c.mu.Unlock()
		if idle {
			return http2.ErrCodeProtocol, errors.New("h2: DATA on an idle stream")
		}
		if c.noisy() {
			return http2.ErrCodeEnhanceYourCalm, ErrFrameFlood
		}
		return 0, nil
	}
	var err error
	switch {
	case !s.headed:
		err = errors.New("h2: DATA before HEADERS")
	case len(s.result.Body)+len(f.Data()) > c.opt.MaxBody:
		err = errors.New("h2: the answer's body is too large")
	}
	if err != nil {
		c.reset(s, http2.ErrCodeProtocol, Result{Outcome: InvalidResponse, Err: err})
		c.mu.Unlock()
		return 0, nil
	}
	s.result.Body = append(s.result.Body, f.Data()...)
	if f.StreamEnded() {
		end := c.answered(s)
		c.mu.Unlock()
		end()
		c.changed()
		return 0, nil
	}
	if n > 0 {
		c.put(func() error { return c.framer.WriteWindowUpdate(f.StreamID, uint32(n)) }, true)
	}
	c.mu.Unlock()
	if len(f.Data()) == 0 && c.noisy() {
		return http2.ErrCodeEnhanceYourCalm, ErrFrameFlood
	}
	return 0, nil
}

// answered ends a stream whose answer is whole, unless its length lies (8.1.1). A request that the peer
// answered before it had it all is reset (8.1). The lock is held.
func (c *Conn) answered(s *Stream) func() {
	if s.length >= 0 && s.length != len(s.result.Body) {
		c.reset(s, http2.ErrCodeProtocol, Result{Outcome: InvalidResponse, Err: fmt.Errorf("h2: content-length %d with %d bytes", s.length, len(s.result.Body))})
		return func() {}
	}
	r := s.result
	r.Outcome = Answered
	c.noise = max(c.noise-4, -noiseMost)
	if len(s.rest) > 0 {
		c.reset(s, http2.ErrCodeNo, r)
		return func() {}
	}
	return c.finish(s, r)
}
