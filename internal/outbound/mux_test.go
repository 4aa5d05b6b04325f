package outbound

import (
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"sliptide/internal/standin"
	"sliptide/policy"
)

// What the end of a stream means to the decision module: the table of docs/design/http2.md, row by row.
func TestFatesToOutcomes(t *testing.T) {
	for name, row := range map[string]struct {
		reply  standin.Reply
		items  int
		want   policy.Outcome
		wait   float64
		closed bool
	}{
		"delivered":                          {reply: standin.Reply{Status: 200}, want: policy.OK},
		"a 200 head and no end, one message": {reply: standin.Reply{Status: 200, Body: "x", Cut: true}, want: policy.OK},
		"a 200 head and a cut, one message":  {reply: standin.Reply{Status: 200, Body: "x", Cut: true, Hangup: true}, want: policy.OK},
		"a 200 head and a cut, two messages": {reply: standin.Reply{Status: 200, Body: "[", Cut: true, Hangup: true}, items: 2, want: policy.Reset},
		"a 200 without names, two messages":  {reply: standin.Reply{Status: 200, Body: "[]"}, items: 2, want: policy.Error},
		"accepted, two messages":             {reply: standin.Reply{Status: 200, Body: `[{"id":"a","state":"accepted"},{"id":"b","state":"accepted"}]`}, items: 2, want: policy.OK},
		"error":                              {reply: standin.Reply{Status: 500}, want: policy.Error},
		"told a wait":                        {reply: standin.Reply{Status: 429, Fields: map[string]string{"retry-after": "1.5"}}, want: policy.Full, wait: 1500},
		"over":                               {reply: standin.Reply{Status: 410}, want: policy.Moot, closed: true},
		"refused":                            {reply: standin.Reply{Reset: http2.ErrCodeRefusedStream}, want: policy.Moot},
		"reset":                              {reply: standin.Reply{Reset: http2.ErrCodeInternal}, want: policy.Reset},
		"lost":                               {reply: standin.Reply{Hangup: true}, want: policy.Reset},
		"silent":                             {reply: standin.Reply{Silence: true}, want: policy.Timeout},
		"a lying length":                     {reply: standin.Reply{Status: 503, Body: "x", Fields: map[string]string{"content-length": "9"}}, want: policy.Error},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := (&standin.H2{On: func(*standin.Request) standin.Reply { return row.reply }}).Listen()
			t.Cleanup(p.Close)
			ended := make(chan []policy.Event, 2)
			pool := NewPool(Options{MaxConns: 4, KeepAlive: time.Second, DialTimeout: 5 * time.Second, X0: -1, X1: -1,
				Partner: func(int) *Partner { return &Partner{HTTP2: true, MaxConns: 1} },
				OnDone:  func(_ *Call, events []policy.Event) { ended <- events }})
			c := &Call{Endpoint: 1, Addr: p.Addr(), SentAt: time.Now(), Timeout: time.Second, Items: []Item{{ID: 1, Trace: "a", Body: []byte("b")}}}
			if row.items == 2 {
				c.Items = append(c.Items, Item{ID: 2, Trace: "b"})
			}
			pool.Go(c)
			for _, e := range <-ended {
				if e.Outcome != row.want || e.RequestedWait != row.wait || e.Final != row.closed {
					t.Errorf("%v, wait %v, closed %t", e.Outcome, e.RequestedWait, e.Final)
				}
			}
			if c.Drop() {
				t.Error("a call that is over can be dropped")
			}
		})
	}
}

// A partner that floods, and one that reads nothing, cost the calls to another nothing: all of these are
// answered in their time, while the two are at it.
func TestBadPartnersHarmNoOther(t *testing.T) {
	start := func(p *standin.H2) *standin.H2 {
		t.Cleanup(p.Listen().Close)
		return p
	}
	stop := make(chan struct{})
	good := start(&standin.H2{})
	floods := start(&standin.H2{Raw: func(nc net.Conn, fr *http2.Framer) {
		for fr.WritePing(false, [8]byte{}) == nil {
		}
	}})
	deaf := start(&standin.H2{Raw: func(net.Conn, *http2.Framer) { <-stop }})
	t.Cleanup(func() { close(stop) })
	type end struct {
		endpoint uint32
		outcome  policy.Outcome
	}
	ended := make(chan end, 100)
	partner := &Partner{HTTP2: true, MaxConns: 2, PingAfter: time.Second, PingTimeout: time.Second}
	pool := NewPool(Options{MaxConns: 20, KeepAlive: time.Second, DialTimeout: 5 * time.Second, X0: -1, X1: -1,
		Partner: func(int) *Partner { return partner },
		OnDone:  func(c *Call, events []policy.Event) { ended <- end{c.Endpoint, events[0].Outcome} }})
	call := func(endpoint uint32, addr string, timeout time.Duration, size int) {
		pool.Go(&Call{Endpoint: endpoint, Addr: addr, SentAt: time.Now(), Timeout: timeout, Items: []Item{{ID: 1, Trace: "t", Body: make([]byte, size)}}})
	}
	bad := 0
	for range 300 {
		if bad < 20 {
			call(2, floods.Addr(), 3*time.Second, 60000)
			call(3, deaf.Addr(), 3*time.Second, 60000)
			bad += 2
		}
		call(1, good.Addr(), 3*time.Second, 100)
		for e := range ended {
			if e.endpoint == 1 {
				if e.outcome != policy.OK {
					t.Fatalf("a call to the good partner ends with %v", e.outcome)
				}
				break
			}
			bad--
		}
	}
	for ; bad > 0; bad-- { // and each of theirs ends too
		if e := <-ended; e.outcome == policy.OK {
			t.Error("a bad partner answers")
		}
	}
}
