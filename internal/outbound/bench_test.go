package outbound

import (
	"net"
	"net/http"
	"testing"
	"time"

	"sliptide/policy"
)

// BenchmarkCalls measures the time and the allocations of a call to net/http's server, over each protocol and with 64
// calls in flight.
func BenchmarkCalls(b *testing.B) {
	for name, partner := range map[string]*Partner{
		"http1": nil,
		"h2":    {HTTP2: true, MaxConns: 4, PingAfter: 5 * time.Second, PingTimeout: 2 * time.Second},
	} {
		b.Run(name, func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			var protocols http.Protocols
			protocols.SetHTTP1(true)
			protocols.SetUnencryptedHTTP2(true)
			srv := &http.Server{Protocols: &protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {})}
			go srv.Serve(ln)
			defer srv.Close()
			done := make(chan policy.Outcome, 64)
			pool := NewPool(Options{MaxConns: 100, KeepAlive: 10 * time.Second, DialTimeout: time.Second, X0: -1, X1: -1,
				Partner: func(int) *Partner { return partner },
				OnDone:  func(_ *Call, events []policy.Event) { done <- events[0].Outcome }})
			body := make([]byte, 500)
			b.ReportAllocs()
			inFlight := 0
			for i := range b.N + 64 {
				if inFlight == 64 || i >= b.N {
					if inFlight == 0 {
						break
					}
					if o := <-done; o != policy.OK {
						b.Fatal(o)
					}
					inFlight--
				}
				if i < b.N {
					pool.Go(&Call{
						Endpoint: 1, Addr: ln.Addr().String(),
						Items:  []Item{{ID: uint64(i), Trace: "9b1f03aa5c7e2d41", Key: "5c0f6e1a2b3d4c59", Body: body}},
						SentAt: time.Now(), Timeout: 10 * time.Second,
					})
					inFlight++
				}
			}
		})
	}
}
