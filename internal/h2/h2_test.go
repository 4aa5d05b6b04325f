package h2_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"sliptide/internal/h2"
	"sliptide/internal/standin"
)

const patient = 10 * time.Second

var bounds = h2.Options{MaxBody: 64 << 10, BodyTimeout: 300 * time.Millisecond}

func partner(t *testing.T, p *standin.H2) *standin.H2 {
	t.Cleanup(p.Listen().Close)
	return p
}

func dial(t *testing.T, addr string, opt h2.Options) *h2.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c := h2.New(nc, opt)
	t.Cleanup(func() { c.Abort(h2.ErrClosed) })
	select {
	case <-c.Ready():
	case <-time.After(patient):
		t.Fatal("no SETTINGS")
	}
	return c
}

func request(id, body string) *h2.Request {
	return &h2.Request{Method: "POST", Scheme: "http", Authority: "x", Path: "/inbox", Body: []byte(body),
		Fields: []h2.Field{{Name: "x-trace-id", Value: id}}}
}

// ask starts a request; its end comes on the channel.
func ask(t *testing.T, c *h2.Conn, id, body string) (*h2.Stream, <-chan h2.Result) {
	t.Helper()
	end := make(chan h2.Result, 2)
	s, ok := c.Start(request(id, body), func(r h2.Result) { end <- r })
	if !ok {
		t.Fatalf("%s: no stream", id)
	}
	return s, end
}

func await(t *testing.T, end <-chan h2.Result) h2.Result {
	t.Helper()
	select {
	case r := <-end:
		return r
	case <-time.After(patient):
		t.Fatal("no end")
		return h2.Result{}
	}
}

func want(t *testing.T, end <-chan h2.Result, fate h2.Outcome) h2.Result {
	t.Helper()
	r := await(t, end)
	if r.Outcome != fate {
		t.Errorf("%v (%v), want %v", r.Outcome, r.Err, fate)
	}
	return r
}

// Many requests at once on one connection, bodies larger than every window, heads longer than a frame.
func TestCarries(t *testing.T) {
	p := partner(t, &standin.H2{Limit: 100, Window: 1000, On: func(r *standin.Request) standin.Reply {
		return standin.Reply{Status: 200, Body: string(r.Body), Fields: map[string]string{"retry-after": "1.5", "x-long": r.Fields["x-long"]}}
	}})
	c := dial(t, p.Addr(), bounds)
	var ends []<-chan h2.Result
	for i := range 60 {
		r := request(fmt.Sprint(i), strings.Repeat(string(rune('a'+i%26)), i*1000))
		if i%10 == 0 {
			r.Fields = append(r.Fields, h2.Field{Name: "x-long", Value: strings.Repeat("l", 200)})
		}
		end := make(chan h2.Result, 1)
		if _, ok := c.Start(r, func(r h2.Result) { end <- r }); !ok {
			t.Fatal("no stream")
		}
		ends = append(ends, end)
	}
	for i, end := range ends {
		r := want(t, end, h2.Answered)
		if r.Status != 200 || len(r.Body) != i*1000 || i > 0 && r.Body[0] != byte('a'+i%26) || r.Get("retry-after") != "1.5" || i%10 == 0 && len(r.Get("x-long")) != 200 {
			t.Errorf("%d: %d, %d bytes", i, r.Status, len(r.Body))
		}
	}
	if conns, n, _ := p.Stats(); conns != 1 || n != 60 {
		t.Errorf("%d connections, %d messages", conns, n)
	}
}

// An independent peer: net/http's own server.
func TestNetHTTP(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Protocols: &protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Set("Trailer", "X-T")
		w.Header().Set("X-Proto", q.Proto)
		w.Write(body)
		w.Header().Set("X-T", "end")
	})}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	c := dial(t, ln.Addr().String(), bounds)
	for i := range 50 {
		_, end := ask(t, c, fmt.Sprint(i), strings.Repeat("b", i*1300))
		if r := want(t, end, h2.Answered); r.Status != 200 || len(r.Body) != i*1300 || r.Get("x-proto") != "HTTP/2.0" {
			t.Errorf("%d: %d %d bytes", i, r.Status, len(r.Body))
		}
	}
}

// What each end of a stream proves.
func TestFates(t *testing.T) {
	for name, row := range map[string]struct {
		reply  standin.Reply
		want   h2.Outcome
		status int
	}{
		"answered":                 {standin.Reply{Status: 503}, h2.Answered, 503},
		"refused":                  {standin.Reply{Reset: http2.ErrCodeRefusedStream, Uncounted: true}, h2.Refused, 0},
		"reset after it was sent":  {standin.Reply{Reset: http2.ErrCodeInternal}, h2.Broken, 0},
		"cancelled by the peer":    {standin.Reply{Reset: http2.ErrCodeCancel}, h2.Broken, 0},
		"connection closed":        {standin.Reply{Hangup: true}, h2.Broken, 0},
		"closed in the answer":     {standin.Reply{Status: 500, Body: "half", Cut: true, Hangup: true}, h2.Broken, 500},
		"an answer without an end": {standin.Reply{Status: 200, Body: "half", Cut: true}, h2.InvalidResponse, 200},
		"a lying length":           {standin.Reply{Status: 500, Body: "ab", Fields: map[string]string{"content-length": "3"}}, h2.InvalidResponse, 500},
		"a length that is none":    {standin.Reply{Status: 500, Fields: map[string]string{"content-length": "x"}}, h2.InvalidResponse, 500},
		"no status":                {standin.Reply{Status: 99}, h2.InvalidResponse, 0},
		"too large a body":         {standin.Reply{Status: 500, Body: strings.Repeat("x", 65537)}, h2.InvalidResponse, 500},
		"too large a head":         {standin.Reply{Status: 500, Fields: map[string]string{"x": strings.Repeat("x", 15000), "y": strings.Repeat("y", 5000)}}, h2.InvalidResponse, 0},
		"a GOAWAY that names it":   {standin.Reply{Status: 200, GoAway: true}, h2.Answered, 200},
	} {
		t.Run(name, func(t *testing.T) {
			p := partner(t, &standin.H2{On: func(r *standin.Request) standin.Reply { return row.reply }})
			c := dial(t, p.Addr(), bounds)
			_, end := ask(t, c, "m", "body")
			if r := want(t, end, row.want); r.Status != row.status {
				t.Errorf("status %d, want %d", r.Status, row.status)
			}
			if len(end) > 0 {
				t.Error("ended twice")
			}
		})
	}
}

// GOAWAY first names every stream and then the true last one: those behind it never ran, those before go on.
func TestGoAwayTwice(t *testing.T) {
	p := partner(t, &standin.H2{On: func(r *standin.Request) standin.Reply { return standin.Reply{Silence: true} }})
	c := dial(t, p.Addr(), bounds)
	var ends []<-chan h2.Result
	for i := range 4 {
		_, end := ask(t, c, fmt.Sprint(i), "x")
		ends = append(ends, end)
	}
	p.Each(func(fr *http2.Framer) { fr.WriteGoAway(1<<31-1, http2.ErrCodeNo, nil) })
	for !c.State().Draining {
		runtime.Gosched()
	}
	if _, ok := c.Start(request("new", ""), nil); ok {
		t.Error("a new stream after GOAWAY")
	}
	if n := c.State().Active; n != 4 {
		t.Errorf("%d streams go on, want 4", n)
	}
	p.Each(func(fr *http2.Framer) { fr.WriteGoAway(3, http2.ErrCodeNo, nil) })
	want(t, ends[2], h2.GoneAway)
	want(t, ends[3], h2.GoneAway)
	if n := c.State().Active; n != 2 {
		t.Errorf("%d streams go on, want 2", n)
	}
	p.Close() // GOAWAY, then the connection goes: the first two may have run
	want(t, ends[0], h2.Broken)
	want(t, ends[1], h2.Broken)
}

// The limit is lowered in mid-run, to none, and raised again: what is open goes on, nothing new begins.
func TestLimitLowered(t *testing.T) {
	p := partner(t, &standin.H2{Limit: 3, On: func(r *standin.Request) standin.Reply {
		return standin.Reply{Silence: string(r.Body) == "hang", Status: 200}
	}})
	c := dial(t, p.Addr(), bounds)
	_, a := ask(t, c, "a", "hang")
	ask(t, c, "b", "hang")
	for _, limit := range []uint32{1, 0} {
		p.Set(limit)
		for c.State().Limit != int(limit) {
			runtime.Gosched()
		}
		if _, ok := c.Start(request("c", ""), nil); ok {
			t.Fatalf("a stream over a limit of %d", limit)
		}
	}
	if len(a) > 0 || c.State().Active != 2 {
		t.Error("an open stream was ended by a lower limit")
	}
	p.Set(4)
	for c.State().Limit != 4 {
		runtime.Gosched()
	}
	_, end := ask(t, c, "d", "")
	want(t, end, h2.Answered)
}

// A stream that is given up is reset before its end is told; one whose body found no window never ran.
func TestCancel(t *testing.T) {
	p := partner(t, &standin.H2{Window: 10, On: func(r *standin.Request) standin.Reply { return standin.Reply{Silence: true} }})
	c := dial(t, p.Addr(), bounds)
	s, end := ask(t, c, "a", "short")
	for p.Runs("a") == 0 {
		runtime.Gosched()
	}
	s.Cancel()
	s.Cancel()
	want(t, end, h2.Cancelled)
	p = partner(t, &standin.H2{Raw: func(nc net.Conn, fr *http2.Framer) { // no window is ever opened
		fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
		io.Copy(io.Discard, nc)
	}})
	c = dial(t, p.Addr(), bounds)
	s, end = ask(t, c, "b", strings.Repeat("x", 70000))
	s.Cancel()
	want(t, end, h2.NeverRan)
	if len(end) > 0 || c.State().Active != 0 {
		t.Error("its stream is not free again")
	}
}

// A partner that says nothing is found by a PING, and its streams may have run.
func TestSilentPartner(t *testing.T) {
	opt := bounds
	opt.ReadIdleTimeout, opt.PingTimeout = 50*time.Millisecond, 50*time.Millisecond
	p := partner(t, &standin.H2{Raw: func(nc net.Conn, _ *http2.Framer) { io.Copy(io.Discard, nc) }})
	c := dial(t, p.Addr(), opt)
	time.Sleep(200 * time.Millisecond) // idle: no PING, no loss
	if c.State().Lost != nil {
		t.Fatal("an idle connection is lost")
	}
	_, end := ask(t, c, "a", "body")
	want(t, end, h2.Unresponsive)
}

// A partner that reads nothing costs its own connection and no other, and memory stays bounded.
func TestReadsNothing(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	p := partner(t, &standin.H2{Raw: func(nc net.Conn, _ *http2.Framer) { <-hold }})
	opt := bounds
	opt.ReadIdleTimeout, opt.PingTimeout = 50*time.Millisecond, 50*time.Millisecond
	c := dial(t, p.Addr(), opt)
	var ends []<-chan h2.Result
	for i := range 100 {
		end := make(chan h2.Result, 1)
		if _, ok := c.Start(request(fmt.Sprint(i), strings.Repeat("x", 60000)), func(r h2.Result) { end <- r }); ok {
			ends = append(ends, end)
		}
	}
	fates := map[h2.Outcome]int{}
	for _, end := range ends {
		fates[await(t, end).Outcome]++
	}
	// The window of 65,535 bytes lets one of them out whole; no other has its last byte written.
	if fates[h2.Unresponsive] != 1 || fates[h2.NeverRan] != len(ends)-1 || len(ends) != 100 {
		t.Errorf("%v of %d", fates, len(ends))
	}
}

// A connection that is being closed takes nothing: a request behind its GOAWAY would pass for one that may have run.
func TestCloseTakesNothing(t *testing.T) {
	p := partner(t, &standin.H2{})
	for range 50 {
		c := dial(t, p.Addr(), bounds)
		c.Close()
		if _, ok := c.Start(request("m", ""), func(h2.Result) {}); ok || c.State().Open {
			t.Fatal("a stream on a connection that is being closed")
		}
		<-c.Done()
	}
}

// Floods and frames that break the rules end the connection, soon, and its streams as may have run.
func TestRuleBreakers(t *testing.T) {
	block := func(fields ...hpack.HeaderField) []byte {
		var b strings.Builder
		e := hpack.NewEncoder(&b)
		for _, f := range fields {
			e.WriteField(f)
		}
		return []byte(b.String())
	}
	ok := hpack.HeaderField{Name: ":status", Value: "200"}
	for name, misbehave := range map[string]func(fr *http2.Framer) error{
		"SETTINGS flood":   func(fr *http2.Framer) error { return fr.WriteSettings() },
		"PING flood":       func(fr *http2.Framer) error { return fr.WritePing(false, [8]byte{}) },
		"empty DATA flood": func(fr *http2.Framer) error { return fr.WriteData(1, false, nil) },
		"reset flood":      func(fr *http2.Framer) error { return fr.WriteRSTStream(99, http2.ErrCodeCancel) },
		"1xx flood": func(fr *http2.Framer) error {
			return fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, EndHeaders: true, BlockFragment: block(hpack.HeaderField{Name: ":status", Value: "103"})})
		},
		"CONTINUATION flood": func(fr *http2.Framer) error {
			fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block(ok)})
			for range 10000 {
				if err := fr.WriteContinuation(1, false, block(hpack.HeaderField{Name: "x", Value: strings.Repeat("y", 1000)})); err != nil {
					return err
				}
			}
			return nil
		},
		"window overflow": func(fr *http2.Framer) error { return fr.WriteWindowUpdate(0, 1<<31-1) },
		"push": func(fr *http2.Framer) error {
			return fr.WritePushPromise(http2.PushPromiseParam{StreamID: 1, PromiseID: 2, BlockFragment: block(ok), EndHeaders: true})
		},
		"DATA on an idle stream": func(fr *http2.Framer) error { return fr.WriteData(77, false, []byte("x")) },
		"HEADERS on a server's": func(fr *http2.Framer) error {
			return fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 2, EndHeaders: true, BlockFragment: block(ok)})
		},
		"no hpack": func(fr *http2.Framer) error {
			return fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, EndHeaders: true, BlockFragment: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff}})
		},
		"a frame that is too long": func(fr *http2.Framer) error { return fr.WriteRawFrame(http2.FrameData, 0, 1, make([]byte, 20000)) },
		"a window of 2^31": func(fr *http2.Framer) error {
			return fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 31})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := partner(t, &standin.H2{Raw: func(nc net.Conn, fr *http2.Framer) {
				nc.SetDeadline(time.Now().Add(patient))
				buf := make([]byte, 4096)
				for n, total := 0, 0; total < 150; total += n { // the request is there
					var err error
					if n, err = nc.Read(buf); err != nil {
						return
					}
				}
				go io.Copy(io.Discard, nc)
				for range 20000 {
					if misbehave(fr) != nil {
						return
					}
				}
				<-time.After(patient) // it would go on for ever
			}})
			c := dial(t, p.Addr(), bounds)
			_, end := ask(t, c, "m", strings.Repeat("b", 100))
			if r := await(t, end); r.Outcome != h2.Broken && r.Outcome != h2.InvalidResponse {
				t.Errorf("%v %v", r.Outcome, r.Err)
			}
			select {
			case <-c.Done():
			case <-time.After(patient):
				t.Error("the connection goes on")
			}
		})
	}
}

// What the peer still sends on a stream that is over harms nothing.
func TestLateFrames(t *testing.T) {
	p := partner(t, &standin.H2{On: func(r *standin.Request) standin.Reply { return standin.Reply{Status: 200} }})
	c := dial(t, p.Addr(), bounds)
	_, end := ask(t, c, "a", "")
	want(t, end, h2.Answered)
	p.Each(func(fr *http2.Framer) {
		fr.WriteData(1, false, []byte("late"))
		fr.WriteWindowUpdate(1, 5)
		fr.WriteRSTStream(1, http2.ErrCodeCancel)
		fr.WriteRawFrame(0xbb, 0, 1, []byte("unknown"))
	})
	_, end = ask(t, c, "b", "")
	want(t, end, h2.Answered)
}

// Whatever bytes a peer sends, every request ends, once, and nothing panics.
func FuzzPeer(f *testing.F) {
	f.Add([]byte{0, 0, 0, 4, 0, 0, 0, 0, 0}, []byte{0, 0, 1, 1, 5, 0, 0, 0, 1, 0x88})
	f.Add([]byte{0, 0, 0, 4, 0, 0, 0, 0, 0}, []byte{0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, first, then []byte) {
		here, there := net.Pipe()
		go io.Copy(io.Discard, there)
		c := h2.New(here, bounds)
		there.Write(first)
		ends := make(chan h2.Result, 10)
		started := 0
		for range 2 {
			if _, ok := c.Start(request("m", "body"), func(r h2.Result) { ends <- r }); ok {
				started++
			}
		}
		there.SetWriteDeadline(time.Now().Add(time.Second))
		there.Write(then)
		there.Close()
		select {
		case <-c.Done():
		case <-time.After(patient):
			t.Fatal("not lost")
		}
		for range started {
			await(t, ends)
		}
		if len(ends) > 0 {
			t.Fatal("ended twice")
		}
	})
}
