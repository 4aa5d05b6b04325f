package otlp

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"sliptide/internal/lab/collector"
	"sliptide/internal/operator"
	"sliptide/internal/standin"
	"sliptide/internal/telemetry"
	"sliptide/internal/telemetry/metric"
	"sliptide/policy"
)

// startExporter starts a collector and an Exporter that sends to it.
func startExporter(t *testing.T, overGRPC bool, behaviour collector.Behaviour, adjust func(*Options)) (*collector.Collector, *Exporter) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &collector.Collector{}
	c.SetBehaviour(behaviour)
	if overGRPC {
		c.ServeGRPC(ln)
	} else {
		c.ServeHTTP(ln)
	}
	t.Cleanup(c.Close)
	o := Options{Target: Target{URL: "http://" + ln.Addr().String(), GRPC: overGRPC, Gzip: true, Timeout: 5 * time.Second, Headers: map[string]string{"x-tenant": "a"}},
		Resource: []metric.Attr{{Key: "service.name", Value: "sliptide"}}, QueueBytes: 256 << 10, SampledShare: 1, MetricsInterval: time.Hour,
		Assembler: telemetry.Settings{Classes: []policy.Class{{Name: "note", Aim: 1000}}}, NowMS: func() float64 { return float64(time.Now().UnixMilli()) }}
	if adjust != nil {
		adjust(&o)
	}
	e, err := NewExporter(o)
	if err != nil {
		t.Fatal(err)
	}
	return c, e
}

// recordMessages records n delivered messages with one call each.
func recordMessages(e *Exporter, from, n int) {
	now := float64(time.Now().UnixMilli())
	for i := range n {
		num := uint64(from + i)
		e.Push(telemetry.Record{Kind: telemetry.KindAccepted, Num: num, Dest: 7, At: now, Until: now + 20000, Text: fmt.Sprint("id-", num)})
		e.Push(telemetry.Record{Kind: telemetry.KindCallStarted, Num: num, Dest: 7, At: now})
		e.Push(telemetry.Record{Kind: telemetry.KindCallEnded, Num: num, Dest: 7, At: now + 20, Until: now, Text: "127.0.0.1:1"})
		e.Push(telemetry.Record{Kind: telemetry.KindMessageEnded, Num: num, Dest: 7, At: now + 20})
	}
}

// closeExporter closes an Exporter with a timeout and returns its counts, which must add up.
func closeExporter(t *testing.T, e *Exporter, timeout time.Duration) Counts {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	e.Close(ctx)
	n := e.Counts()
	if n.Sent+n.Dropped != n.Recorded {
		t.Errorf("sent %d and dropped %d traces do not add up to %d recorded", n.Sent, n.Dropped, n.Recorded)
	}
	return n
}

func forEachTransport(t *testing.T, f func(t *testing.T, overGRPC bool)) {
	for _, overGRPC := range []bool{false, true} {
		t.Run(map[bool]string{false: "http", true: "grpc"}[overGRPC], func(t *testing.T) {
			t.Parallel()
			f(t, overGRPC)
		})
	}
}

// A healthy collector receives a trace with a single root for every recorded message, and the metrics. One of the
// traces is checked for both of its spans.
func TestHealthyCollector(t *testing.T) {
	forEachTransport(t, func(t *testing.T, overGRPC bool) {
		c, e := startExporter(t, overGRPC, collector.Behaviour{}, nil)
		recordMessages(e, 0, 500)
		if n := closeExporter(t, e, closeTimeout); n.Sent != 500 {
			t.Errorf("%+v", n)
		}
		traces, err := collector.GroupTraces(c.Spans())
		if err != nil || len(traces) != 500 {
			t.Fatalf("%d traces, error %v; want 500 and none", len(traces), err)
		}
		for _, spans := range traces {
			if len(spans) != 2 {
				t.Fatalf("a trace with %d spans, want 2", len(spans))
			}
			break
		}
		m, _ := c.Metrics()
		text := fmt.Sprint(m)
		for _, name := range []string{"http.client.request.duration", "sliptide.delivery.duration", "sliptide.messages.over", "sliptide.telemetry.traces", "service.name"} {
			if !strings.Contains(text, name) {
				t.Errorf("no %s among the metrics", name)
			}
		}
	})
}

const closeTimeout = 10 * time.Second

// The response of the collector decides whether a request can be retried, after which wait, and whether its traces
// count as sent: they do after a 200, even with an invalid body or rejected spans.
func TestCollectorResponses(t *testing.T) {
	forEachTransport(t, func(t *testing.T, overGRPC bool) {
		for name, row := range map[string]struct {
			behaviour collector.Behaviour
			sent      uint64
			rejected  uint64
			retryable bool
		}{
			"400":               {behaviour: collector.Behaviour{Status: 400}},
			"503":               {behaviour: collector.Behaviour{Status: 503}, retryable: true},
			"503, Retry-After":  {behaviour: collector.Behaviour{Status: 503, RetryAfter: 20 * time.Second}, retryable: true},
			"partial success":   {behaviour: collector.Behaviour{RejectedSpans: 3}, sent: 10, rejected: 3},
			"200, invalid body": {behaviour: collector.Behaviour{InvalidBody: true}, sent: 10},
			"endless body":      {behaviour: collector.Behaviour{EndlessBody: true}, sent: 10},
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				_, e := startExporter(t, overGRPC, row.behaviour, nil)
				result := e.transport.send(context.Background(), tracesSignal, encodeTraceRequest(e.resourceBytes, nil))
				if result.retryable != row.retryable || row.behaviour.RetryAfter > 0 && result.retryAfter != row.behaviour.RetryAfter || (result.err == nil) != (row.sent > 0) {
					t.Errorf("%+v", result)
				}
				recordMessages(e, 0, 10)
				n := closeExporter(t, e, closeTimeout)
				if n.Sent != row.sent || n.Recorded != 10 || n.RejectedItems < row.rejected {
					t.Errorf("%+v, want %d sent, at least %d rejected", n, row.sent, row.rejected)
				}
			})
		}
	})
}

// With a collector that never answers, reads one byte a second or is absent, pushing does not block, the queue stays
// within its bound, traces that do not fit are dropped and counted, and Close returns in time.
func TestUnresponsiveCollectorDoesNotBlock(t *testing.T) {
	forEachTransport(t, func(t *testing.T, overGRPC bool) {
		for name, behaviour := range map[string]collector.Behaviour{"hole": {NeverAnswer: true}, "sip": {SlowRead: true}, "absent": {}} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				c, e := startExporter(t, overGRPC, behaviour, func(o *Options) { o.QueueBytes = 64 << 10; o.Target.Timeout = time.Minute })
				if name == "absent" {
					c.Close()
				}
				for i := range 40 {
					recordMessages(e, i*100, 100)
				}
				e.mu.Lock()
				queued := e.queuedBytes
				e.mu.Unlock()
				if queued > 64<<10 {
					t.Errorf("%d bytes are queued, more than 64 KiB", queued)
				}
				began := time.Now()
				n := closeExporter(t, e, 300*time.Millisecond)
				if took := time.Since(began); took > 3*time.Second { // far below the request's timeout of a minute
					t.Errorf("closing took %v, want 3 s at most", took)
				}
				if n.Sent != 0 || n.Recorded+n.DroppedRecords/4 == 0 || n.Dropped != n.Recorded {
					t.Errorf("%+v", n)
				}
			})
		}
	})
}

// A collector that recovers receives what was recorded meanwhile, and each trace once.
func TestCollectorRecovers(t *testing.T) {
	forEachTransport(t, func(t *testing.T, overGRPC bool) {
		c, e := startExporter(t, overGRPC, collector.Behaviour{Status: 503}, nil)
		recordMessages(e, 0, 50)
		for end := time.Now().Add(closeTimeout); ; { // until the collector has refused a request
			if _, requests := c.Metrics(); requests > 0 {
				break
			}
			if time.Now().After(end) {
				t.Fatal("no request reached the collector")
			}
			time.Sleep(time.Millisecond)
		}
		c.SetBehaviour(collector.Behaviour{})
		recordMessages(e, 50, 50)
		for end := time.Now().Add(closeTimeout); e.Counts().Sent < 100 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		closeExporter(t, e, closeTimeout)
		if traces, err := collector.GroupTraces(c.Spans()); err != nil || len(traces) != 100 {
			t.Errorf("%d traces, error %v; want 100, each span once", len(traces), err)
		}
	})
}

// With a collector that restarts repeatedly, every trace is counted as either sent or dropped, and at least as many
// arrive as are counted as sent.
func TestCollectorRestarts(t *testing.T) {
	forEachTransport(t, func(t *testing.T, overGRPC bool) {
		c, e := startExporter(t, overGRPC, collector.Behaviour{}, nil)
		addr := strings.TrimPrefix(e.options.Target.URL, "http://")
		arrived := map[string]bool{}
		collectArrived := func() {
			for _, s := range c.Spans() {
				arrived[string(s.TraceId)] = true
			}
		}
		for round := range 6 {
			recordMessages(e, round*100, 100)
			for end := time.Now().Add(time.Second); len(c.Spans()) == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			c.Close()
			collectArrived()
			c = &collector.Collector{}
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			if overGRPC {
				c.ServeGRPC(ln)
			} else {
				c.ServeHTTP(ln)
			}
		}
		n := closeExporter(t, e, closeTimeout)
		collectArrived()
		c.Close()
		if n.Recorded != 600 || uint64(len(arrived)) < n.Sent {
			t.Errorf("%+v, %d arrived; want 600 recorded, and no more sent than arrived", n, len(arrived))
		}
	})
}

// If the collector's certificate has another name, the traces do not all count as sent, and the counts add up. With the
// right name all are sent.
func TestWrongCertificate(t *testing.T) {
	forEachTransport(t, func(t *testing.T, overGRPC bool) {
		ca, until := standin.NewAuthority("test CA"), time.Now().Add(time.Hour)
		for name, cert := range map[string]tls.Certificate{"other name": ca.IssueCertificate("other.example", until), "right": ca.IssueCertificate("collector.example", until)} {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			c := &collector.Collector{}
			cfg := &tls.Config{Certificates: []tls.Certificate{cert}, NextProtos: []string{"h2"}}
			if overGRPC {
				c.ServeGRPC(ln, grpc.Creds(credentials.NewTLS(cfg)))
			} else {
				cfg.NextProtos = nil
				c.ServeHTTP(tls.NewListener(ln, cfg))
			}
			t.Cleanup(c.Close)
			_, e := startExporter(t, overGRPC, collector.Behaviour{}, func(o *Options) {
				o.Target.URL, o.Target.TLS = "https://"+ln.Addr().String(), &tls.Config{RootCAs: ca.Pool(), ServerName: "collector.example"}
			})
			recordMessages(e, 0, 10)
			if n := closeExporter(t, e, closeTimeout); (n.Sent == 10) != (name == "right") {
				t.Errorf("certificate with %s: %+v, want 10 sent with the right name only", name, n)
			}
		}
	})
}

// The settings take precedence over the environment, except for the timeout. Invalid variables are refused with an
// error that names them. An endpoint without a scheme is refused, and a nil Exporter records nothing.
func TestConfigure(t *testing.T) {
	env := map[string]string{"OTEL_EXPORTER_OTLP_ENDPOINT": "http://c:1", "OTEL_EXPORTER_OTLP_PROTOCOL": "grpc", "OTEL_EXPORTER_OTLP_HEADERS": "api-key=a%20b, x=1",
		"OTEL_EXPORTER_OTLP_TIMEOUT": "250", "OTEL_RESOURCE_ATTRIBUTES": "deployment.environment=test,service.name=other", "OTEL_SERVICE_NAME": "named"}
	getenv := func(k string) string { return env[k] }
	o, err := Configure(operator.Telemetry{Headers: []operator.Pair{{Name: "x", Value: "2"}}, Timeout: time.Second}, "n0", getenv)
	if err != nil || o.Target.URL != "http://c:1" || !o.Target.GRPC || !o.Target.Gzip || o.Target.Timeout != 250*time.Millisecond ||
		o.Target.Headers["api-key"] != "a b" || o.Target.Headers["x"] != "2" || !strings.Contains(fmt.Sprint(o.Resource), "{deployment.environment test}") {
		t.Errorf("%+v, %v", o, err)
	}
	o, err = Configure(operator.Telemetry{Endpoint: "http://d:2", Protocol: "http/protobuf", Compression: "none"}, "n0", getenv)
	if err != nil || o.Target.URL != "http://d:2" || o.Target.GRPC || o.Target.Gzip {
		t.Errorf("%+v, %v", o, err)
	}
	for k, v := range map[string]string{"OTEL_EXPORTER_OTLP_PROTOCOL": "http/json", "OTEL_EXPORTER_OTLP_COMPRESSION": "zstd", "OTEL_EXPORTER_OTLP_TIMEOUT": "5s", "OTEL_EXPORTER_OTLP_HEADERS": "novalue"} {
		_, err := Configure(operator.Telemetry{}, "n0", func(key string) string {
			if key == k {
				return v
			}
			return ""
		})
		if err == nil || !strings.Contains(err.Error(), k) || !strings.Contains(err.Error(), "allowed") {
			t.Errorf("%s=%s: error %v, want one that names the variable and what is allowed", k, v, err)
		}
	}
	if _, err := newTransport(Target{URL: "collector:4317"}); err == nil {
		t.Error("an endpoint without a scheme is accepted")
	}
	var none *Exporter
	none.Close(context.Background())
	if none.Records() != nil {
		t.Error("a nil Exporter records")
	}
}
