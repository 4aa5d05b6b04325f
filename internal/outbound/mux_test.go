package outbound

import (
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"sliptide/internal/standin"
	"sliptide/policy"
)

// TestStreamOutcomes checks the outcome of each end of a stream, row by row of the table in docs/design/http2.md, and
// that a call that has ended cannot be dropped.
func TestStreamOutcomes(t *testing.T) {
	for name, row := range map[string]struct {
		reply standin.Reply
		items int
		want  policy.Outcome
		wait  float64
		final bool
	}{
		"delivered":                               {reply: standin.Reply{Status: 200}, want: policy.OK},
		"200 without an end, one message":         {reply: standin.Reply{Status: 200, Body: "x", Truncate: true}, want: policy.OK},
		"200, then connection lost, one message":  {reply: standin.Reply{Status: 200, Body: "x", Truncate: true, CloseConn: true}, want: policy.OK},
		"200, then connection lost, two messages": {reply: standin.Reply{Status: 200, Body: "[", Truncate: true, CloseConn: true}, items: 2, want: policy.Reset},
		"200 that names no message, two messages": {reply: standin.Reply{Status: 200, Body: "[]"}, items: 2, want: policy.Error},
		"accepted, two messages":                  {reply: standin.Reply{Status: 200, Body: `[{"id":"a","state":"accepted"},{"id":"b","state":"accepted"}]`}, items: 2, want: policy.OK},
		"error":                                   {reply: standin.Reply{Status: 500}, want: policy.Error},
		"requested wait":                          {reply: standin.Reply{Status: 429, Fields: map[string]string{"retry-after": "1.5"}}, want: policy.Full, wait: 1500},
		"over":                                    {reply: standin.Reply{Status: 410}, want: policy.Moot, final: true},
		"refused":                                 {reply: standin.Reply{ResetCode: http2.ErrCodeRefusedStream}, want: policy.Moot},
		"reset":                                   {reply: standin.Reply{ResetCode: http2.ErrCodeInternal}, want: policy.Reset},
		"lost":                                    {reply: standin.Reply{CloseConn: true}, want: policy.Reset},
		"silent":                                  {reply: standin.Reply{NoAnswer: true}, want: policy.Timeout},
		"wrong content-length":                    {reply: standin.Reply{Status: 503, Body: "x", Fields: map[string]string{"content-length": "9"}}, want: policy.Error},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := (&standin.H2Partner{Handler: func(*standin.Request) standin.Reply { return row.reply }}).Listen()
			t.Cleanup(p.Close)
			ended := make(chan []policy.Event, 2)
			pool := NewPool(Options{MaxConns: 4, KeepAlive: time.Second, DialTimeout: 5 * time.Second, X0: -1, X1: -1,
				Partner: func(int) *Partner { return &Partner{HTTP2: true, MaxConns: 1} },
				OnDone:  func(_ *Call, events []policy.Event) { ended <- events }})
			c := &Call{
				Endpoint: 1, Addr: p.Addr(), SentAt: time.Now(), Timeout: time.Second,
				Items: []Item{{ID: 1, Trace: "a", Body: []byte("b")}},
			}
			if row.items == 2 {
				c.Items = append(c.Items, Item{ID: 2, Trace: "b"})
			}
			pool.Go(c)
			for _, e := range <-ended {
				if e.Outcome != row.want || e.RequestedWait != row.wait || e.Final != row.final {
					t.Errorf("outcome %v, requested wait %v ms, final %t; want those of the row", e.Outcome, e.RequestedWait, e.Final)
				}
			}
			if c.Drop() {
				t.Error("Drop of an ended call succeeded")
			}
		})
	}
}

// Guards against a partner that floods the sender with PINGs, or that reads nothing, and so delays calls to other
// partners: all calls to a healthy partner succeed within their time-out meanwhile.
func TestMisbehavingPartnersDoNotDelayOthers(t *testing.T) {
	start := func(p *standin.H2Partner) *standin.H2Partner {
		t.Cleanup(p.Listen().Close)
		return p
	}
	stop := make(chan struct{})
	healthy := start(&standin.H2Partner{})
	flooding := start(&standin.H2Partner{RawHandler: func(nc net.Conn, fr *http2.Framer) {
		for fr.WritePing(false, [8]byte{}) == nil {
		}
	}})
	notReading := start(&standin.H2Partner{RawHandler: func(net.Conn, *http2.Framer) { <-stop }})
	t.Cleanup(func() { close(stop) })
	type callEnd struct {
		endpoint uint32
		outcome  policy.Outcome
	}
	ended := make(chan callEnd, 100)
	partner := &Partner{HTTP2: true, MaxConns: 2, PingAfter: time.Second, PingTimeout: time.Second}
	pool := NewPool(Options{MaxConns: 20, KeepAlive: time.Second, DialTimeout: 5 * time.Second, X0: -1, X1: -1,
		Partner: func(int) *Partner { return partner },
		OnDone:  func(c *Call, events []policy.Event) { ended <- callEnd{c.Endpoint, events[0].Outcome} }})
	call := func(endpoint uint32, addr string, timeout time.Duration, size int) {
		pool.Go(&Call{
			Endpoint: endpoint, Addr: addr, SentAt: time.Now(), Timeout: timeout,
			Items: []Item{{ID: 1, Trace: "t", Body: make([]byte, size)}},
		})
	}
	outstanding := 0
	for range 300 {
		if outstanding < 20 {
			call(2, flooding.Addr(), 3*time.Second, 60000)
			call(3, notReading.Addr(), 3*time.Second, 60000)
			outstanding += 2
		}
		call(1, healthy.Addr(), 3*time.Second, 100)
		for e := range ended {
			if e.endpoint == 1 {
				if e.outcome != policy.OK {
					t.Fatalf("outcome of a call to the healthy partner: %v, want OK", e.outcome)
				}
				break
			}
			outstanding--
		}
	}
	for ; outstanding > 0; outstanding-- { // the calls to the other two end too
		if e := <-ended; e.outcome == policy.OK {
			t.Error("a call to a misbehaving partner succeeded")
		}
	}
}
