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

const testTimeout = 10 * time.Second

var testOptions = h2.Options{MaxBody: 64 << 10, BodyTimeout: 300 * time.Millisecond}

func startPartner(t *testing.T, p *standin.H2Partner) *standin.H2Partner {
	t.Cleanup(p.Listen().Close)
	return p
}

// dial connects to addr and waits until the connection is ready: the peer's SETTINGS have arrived.
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
	case <-time.After(testTimeout):
		t.Fatal("no SETTINGS in time")
	}
	return c
}

func newRequest(id, body string) *h2.Request {
	return &h2.Request{Method: "POST", Scheme: "http", Authority: "x", Path: "/inbox", Body: []byte(body),
		Fields: []h2.Field{{Name: "x-trace-id", Value: id}}}
}

// startRequest starts a request, whose result is sent on the returned channel.
func startRequest(t *testing.T, c *h2.Conn, id, body string) (*h2.Stream, <-chan h2.Result) {
	t.Helper()
	results := make(chan h2.Result, 2)
	s, ok := c.Start(newRequest(id, body), func(r h2.Result) { results <- r })
	if !ok {
		t.Fatalf("request %s: Start accepted no stream", id)
	}
	return s, results
}

func awaitResult(t *testing.T, results <-chan h2.Result) h2.Result {
	t.Helper()
	select {
	case r := <-results:
		return r
	case <-time.After(testTimeout):
		t.Fatal("the request has not ended in time")
		return h2.Result{}
	}
}

func wantOutcome(t *testing.T, results <-chan h2.Result, outcome h2.Outcome) h2.Result {
	t.Helper()
	r := awaitResult(t, results)
	if r.Outcome != outcome {
		t.Errorf("outcome %v (%v), want %v", r.Outcome, r.Err, outcome)
	}
	return r
}

// Guards against mixed-up or truncated bodies and headers when many requests share a connection, with bodies larger
// than the flow-control windows and long headers.
func TestConcurrentRequests(t *testing.T) {
	p := startPartner(t, &standin.H2Partner{MaxStreams: 100, InitialWindow: 1000, Handler: func(r *standin.Request) standin.Reply {
		return standin.Reply{Status: 200, Body: string(r.Body), Fields: map[string]string{"retry-after": "1.5", "x-long": r.Fields["x-long"]}}
	}})
	c := dial(t, p.Addr(), testOptions)
	var results []<-chan h2.Result
	for i := range 60 {
		r := newRequest(fmt.Sprint(i), strings.Repeat(string(rune('a'+i%26)), i*1000))
		if i%10 == 0 {
			r.Fields = append(r.Fields, h2.Field{Name: "x-long", Value: strings.Repeat("l", 200)})
		}
		result := make(chan h2.Result, 1)
		if _, ok := c.Start(r, func(r h2.Result) { result <- r }); !ok {
			t.Fatal("Start accepted no stream")
		}
		results = append(results, result)
	}
	for i, result := range results {
		r := wantOutcome(t, result, h2.Answered)
		if r.Status != 200 || len(r.Body) != i*1000 || i > 0 && r.Body[0] != byte('a'+i%26) || r.Get("retry-after") != "1.5" || i%10 == 0 && len(r.Get("x-long")) != 200 {
			t.Errorf("request %d: status %d, %d bytes; want 200, and the body and headers of the request", i, r.Status, len(r.Body))
		}
	}
	if conns, n, _ := p.Stats(); conns != 1 || n != 60 {
		t.Errorf("%d connections with %d messages, want 1 with 60", conns, n)
	}
}

// Checks interoperability with an independent implementation, the server of net/http, also for responses with an
// interim response and a trailer.
func TestNetHTTPServer(t *testing.T) {
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
	c := dial(t, ln.Addr().String(), testOptions)
	for i := range 50 {
		_, result := startRequest(t, c, fmt.Sprint(i), strings.Repeat("b", i*1300))
		if r := wantOutcome(t, result, h2.Answered); r.Status != 200 || len(r.Body) != i*1300 || r.Get("x-proto") != "HTTP/2.0" {
			t.Errorf("request %d: status %d, %d bytes; want 200, and the body of the request over HTTP/2.0", i, r.Status, len(r.Body))
		}
	}
}

// Checks the outcome and the status that are reported, once, for each way in which a stream can end.
func TestOutcomes(t *testing.T) {
	for name, tc := range map[string]struct {
		reply  standin.Reply
		want   h2.Outcome
		status int
	}{
		"answered":                 {standin.Reply{Status: 503}, h2.Answered, 503},
		"refused":                  {standin.Reply{ResetCode: http2.ErrCodeRefusedStream, NotRun: true}, h2.Refused, 0},
		"reset after sending":      {standin.Reply{ResetCode: http2.ErrCodeInternal}, h2.Broken, 0},
		"cancelled by the peer":    {standin.Reply{ResetCode: http2.ErrCodeCancel}, h2.Broken, 0},
		"connection closed":        {standin.Reply{CloseConn: true}, h2.Broken, 0},
		"closed during response":   {standin.Reply{Status: 500, Body: "half", Truncate: true, CloseConn: true}, h2.Broken, 500},
		"response without an end":  {standin.Reply{Status: 200, Body: "half", Truncate: true}, h2.InvalidResponse, 200},
		"content-length mismatch":  {standin.Reply{Status: 500, Body: "ab", Fields: map[string]string{"content-length": "3"}}, h2.InvalidResponse, 500},
		"invalid content-length":   {standin.Reply{Status: 500, Fields: map[string]string{"content-length": "x"}}, h2.InvalidResponse, 500},
		"invalid status":           {standin.Reply{Status: 99}, h2.InvalidResponse, 0},
		"body too large":           {standin.Reply{Status: 500, Body: strings.Repeat("x", 65537)}, h2.InvalidResponse, 500},
		"headers too large":        {standin.Reply{Status: 500, Fields: map[string]string{"x": strings.Repeat("x", 15000), "y": strings.Repeat("y", 5000)}}, h2.InvalidResponse, 0},
		"GOAWAY naming the stream": {standin.Reply{Status: 200, GoAway: true}, h2.Answered, 200},
	} {
		t.Run(name, func(t *testing.T) {
			p := startPartner(t, &standin.H2Partner{Handler: func(r *standin.Request) standin.Reply { return tc.reply }})
			c := dial(t, p.Addr(), testOptions)
			_, result := startRequest(t, c, "m", "body")
			if r := wantOutcome(t, result, tc.want); r.Status != tc.status {
				t.Errorf("status %d, want %d", r.Status, tc.status)
			}
			if len(result) > 0 {
				t.Error("the request ended twice")
			}
		})
	}
}

// The first GOAWAY names all streams, the second the actual last one: streams after it end as GoneAway, streams up
// to it continue.
func TestGoAwayTwice(t *testing.T) {
	received := make(chan struct{}, 4)
	p := startPartner(t, &standin.H2Partner{Handler: func(r *standin.Request) standin.Reply {
		received <- struct{}{}
		return standin.Reply{NoAnswer: true}
	}})
	c := dial(t, p.Addr(), testOptions)
	var results []<-chan h2.Result
	for i := range 4 {
		_, result := startRequest(t, c, fmt.Sprint(i), "x")
		results = append(results, result)
	}
	for range 4 { // a request that is not written yet when its connection ends has never run
		<-received
	}
	p.WriteFrames(func(fr *http2.Framer) { fr.WriteGoAway(1<<31-1, http2.ErrCodeNo, nil) })
	for !c.State().Draining {
		runtime.Gosched()
	}
	if _, ok := c.Start(newRequest("new", ""), nil); ok {
		t.Error("Start accepted a stream after GOAWAY")
	}
	if n := c.State().Active; n != 4 {
		t.Errorf("%d streams are open, want 4", n)
	}
	p.WriteFrames(func(fr *http2.Framer) { fr.WriteGoAway(3, http2.ErrCodeNo, nil) })
	wantOutcome(t, results[2], h2.GoneAway)
	wantOutcome(t, results[3], h2.GoneAway)
	if n := c.State().Active; n != 2 {
		t.Errorf("%d streams are open, want 2", n)
	}
	p.Close() // the connection ends after GOAWAY: the first two requests may have run
	wantOutcome(t, results[0], h2.Broken)
	wantOutcome(t, results[1], h2.Broken)
}

// The peer lowers its stream limit while streams are open, down to 0, and raises it again: open streams continue,
// and no new one starts above the limit.
func TestStreamLimitLowered(t *testing.T) {
	p := startPartner(t, &standin.H2Partner{MaxStreams: 3, Handler: func(r *standin.Request) standin.Reply {
		return standin.Reply{NoAnswer: string(r.Body) == "hang", Status: 200}
	}})
	c := dial(t, p.Addr(), testOptions)
	_, resultA := startRequest(t, c, "a", "hang")
	startRequest(t, c, "b", "hang")
	for _, limit := range []uint32{1, 0} {
		p.SetMaxStreams(limit)
		for c.State().Limit != int(limit) {
			runtime.Gosched()
		}
		if _, ok := c.Start(newRequest("c", ""), nil); ok {
			t.Fatalf("Start accepted a stream above the limit of %d", limit)
		}
	}
	if len(resultA) > 0 || c.State().Active != 2 {
		t.Error("lowering the limit ended an open stream")
	}
	p.SetMaxStreams(4)
	for c.State().Limit != 4 {
		runtime.Gosched()
	}
	_, resultD := startRequest(t, c, "d", "")
	wantOutcome(t, resultD, h2.Answered)
}

// A stream that is cancelled, even twice, ends as Cancelled if its request was sent, and as NeverRan if flow control
// held its body back.
func TestCancel(t *testing.T) {
	p := startPartner(t, &standin.H2Partner{InitialWindow: 10, Handler: func(r *standin.Request) standin.Reply { return standin.Reply{NoAnswer: true} }})
	c := dial(t, p.Addr(), testOptions)
	s, result := startRequest(t, c, "a", "short")
	for p.EffectCount("a") == 0 {
		runtime.Gosched()
	}
	s.Cancel()
	s.Cancel()
	wantOutcome(t, result, h2.Cancelled)
	p = startPartner(t, &standin.H2Partner{RawHandler: func(nc net.Conn, fr *http2.Framer) { // never opens a window
		fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
		io.Copy(io.Discard, nc)
	}})
	c = dial(t, p.Addr(), testOptions)
	s, result = startRequest(t, c, "b", strings.Repeat("x", 70000))
	s.Cancel()
	wantOutcome(t, result, h2.NeverRan)
	if len(result) > 0 || c.State().Active != 0 {
		t.Error("the cancelled stream is still open or ended twice")
	}
}

// A partner that answers nothing is detected by PING, and its open request ends as Unresponsive: it may have run.
func TestUnresponsivePartner(t *testing.T) {
	opt := testOptions
	opt.ReadIdleTimeout, opt.PingTimeout = 50*time.Millisecond, 50*time.Millisecond
	p := startPartner(t, &standin.H2Partner{RawHandler: func(nc net.Conn, _ *http2.Framer) { io.Copy(io.Discard, nc) }})
	c := dial(t, p.Addr(), opt)
	time.Sleep(200 * time.Millisecond) // no PING is sent while no stream is open
	if c.State().Lost != nil {
		t.Fatal("a connection without streams was closed")
	}
	_, result := startRequest(t, c, "a", "body")
	wantOutcome(t, result, h2.Unresponsive)
}

// Guards against requests that never end because their partner reads nothing, and against ones that count as sent
// although flow control held their bodies back: only one may end as Unresponsive, the others as NeverRan.
func TestPartnerReadsNothing(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	p := startPartner(t, &standin.H2Partner{RawHandler: func(nc net.Conn, _ *http2.Framer) { <-release }})
	opt := testOptions
	opt.ReadIdleTimeout, opt.PingTimeout = 50*time.Millisecond, 50*time.Millisecond
	c := dial(t, p.Addr(), opt)
	var results []<-chan h2.Result
	for i := range 100 {
		result := make(chan h2.Result, 1)
		if _, ok := c.Start(newRequest(fmt.Sprint(i), strings.Repeat("x", 60000)), func(r h2.Result) { result <- r }); ok {
			results = append(results, result)
		}
	}
	outcomes := map[h2.Outcome]int{}
	for _, result := range results {
		outcomes[awaitResult(t, result).Outcome]++
	}
	// The initial window of 65,535 bytes admits one complete body of 60,000 bytes; no other request is fully sent.
	if outcomes[h2.Unresponsive] != 1 || outcomes[h2.NeverRan] != len(results)-1 || len(results) != 100 {
		t.Errorf("outcomes %v of %d requests, want 100, all but one of them NeverRan, the other Unresponsive", outcomes, len(results))
	}
}

// No stream starts after Close: a request sent after its GOAWAY would be reported as one that may have run.
func TestNoStreamsAfterClose(t *testing.T) {
	p := startPartner(t, &standin.H2Partner{})
	for range 50 {
		c := dial(t, p.Addr(), testOptions)
		c.Close()
		if _, ok := c.Start(newRequest("m", ""), func(h2.Result) {}); ok || c.State().Open {
			t.Fatal("a closing connection accepts streams")
		}
		<-c.Done()
	}
}

// Frame floods and protocol violations end the connection within testTimeout, and its request as Broken or
// InvalidResponse.
func TestProtocolViolations(t *testing.T) {
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
		"HEADERS on an even stream": func(fr *http2.Framer) error {
			return fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 2, EndHeaders: true, BlockFragment: block(ok)})
		},
		"invalid hpack": func(fr *http2.Framer) error {
			return fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, EndHeaders: true, BlockFragment: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff}})
		},
		"oversized frame": func(fr *http2.Framer) error { return fr.WriteRawFrame(http2.FrameData, 0, 1, make([]byte, 20000)) },
		"initial window of 2^31": func(fr *http2.Framer) error {
			return fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 31})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPartner(t, &standin.H2Partner{RawHandler: func(nc net.Conn, fr *http2.Framer) {
				nc.SetDeadline(time.Now().Add(testTimeout))
				buf := make([]byte, 4096)
				for n, total := 0, 0; total < 150; total += n { // until the request, with its body of 100 bytes, has arrived
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
				<-time.After(testTimeout) // keep the connection open
			}})
			c := dial(t, p.Addr(), testOptions)
			_, result := startRequest(t, c, "m", strings.Repeat("b", 100))
			if r := awaitResult(t, result); r.Outcome != h2.Broken && r.Outcome != h2.InvalidResponse {
				t.Errorf("outcome %v (%v), want Broken or InvalidResponse", r.Outcome, r.Err)
			}
			select {
			case <-c.Done():
			case <-time.After(testTimeout):
				t.Error("the connection is still open")
			}
		})
	}
}

// Frames that arrive for a stream that has ended do not affect the connection.
func TestLateFrames(t *testing.T) {
	p := startPartner(t, &standin.H2Partner{Handler: func(r *standin.Request) standin.Reply { return standin.Reply{Status: 200} }})
	c := dial(t, p.Addr(), testOptions)
	_, result := startRequest(t, c, "a", "")
	wantOutcome(t, result, h2.Answered)
	p.WriteFrames(func(fr *http2.Framer) {
		fr.WriteData(1, false, []byte("late"))
		fr.WriteWindowUpdate(1, 5)
		fr.WriteRSTStream(1, http2.ErrCodeCancel)
		fr.WriteRawFrame(0xbb, 0, 1, []byte("unknown"))
	})
	_, result = startRequest(t, c, "b", "")
	wantOutcome(t, result, h2.Answered)
}

// FuzzPeer checks that, whatever bytes a peer sends, every request ends exactly once and nothing panics.
func FuzzPeer(f *testing.F) {
	f.Add([]byte{0, 0, 0, 4, 0, 0, 0, 0, 0}, []byte{0, 0, 1, 1, 5, 0, 0, 0, 1, 0x88})
	f.Add([]byte{0, 0, 0, 4, 0, 0, 0, 0, 0}, []byte{0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, first, then []byte) {
		local, remote := net.Pipe()
		go io.Copy(io.Discard, remote)
		c := h2.New(local, testOptions)
		remote.Write(first)
		results := make(chan h2.Result, 10)
		started := 0
		for range 2 {
			if _, ok := c.Start(newRequest("m", "body"), func(r h2.Result) { results <- r }); ok {
				started++
			}
		}
		remote.SetWriteDeadline(time.Now().Add(time.Second))
		remote.Write(then)
		remote.Close()
		select {
		case <-c.Done():
		case <-time.After(testTimeout):
			t.Fatal("the connection is still open")
		}
		for range started {
			awaitResult(t, results)
		}
		if len(results) > 0 {
			t.Fatal("a request ended twice")
		}
	})
}
