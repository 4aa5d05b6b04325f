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

// start starts a collector and a pipe to it.
func start(t *testing.T, overGRPC bool, m collector.Mood, change func(*Options)) (*collector.Collector, *Exporter) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &collector.Collector{}
	c.Set(m)
	if overGRPC {
		c.ServeGRPC(ln)
	} else {
		c.ServeHTTP(ln)
	}
	t.Cleanup(c.Close)
	o := Options{Target: Target{URL: "http://" + ln.Addr().String(), GRPC: overGRPC, Gzip: true, Timeout: 5 * time.Second, Headers: map[string]string{"x-tenant": "a"}},
		Resource: []metric.Attr{{Key: "service.name", Value: "sliptide"}}, QueueBytes: 256 << 10, SampledShare: 1, MetricsInterval: time.Hour,
		Assembler: telemetry.Settings{Classes: []policy.Class{{Name: "note", Aim: 1000}}}, NowMS: func() float64 { return float64(time.Now().UnixMilli()) }}
	if change != nil {
		change(&o)
	}
	p, err := NewExporter(o)
	if err != nil {
		t.Fatal(err)
	}
	return c, p
}

// record records n messages with one call each.
func record(p *Exporter, from, n int) {
	now := float64(time.Now().UnixMilli())
	for i := range n {
		num := uint64(from + i)
		p.Push(telemetry.Record{Kind: telemetry.KindAccepted, Num: num, Dest: 7, At: now, Until: now + 20000, Text: fmt.Sprint("id-", num)})
		p.Push(telemetry.Record{Kind: telemetry.KindCallStarted, Num: num, Dest: 7, At: now})
		p.Push(telemetry.Record{Kind: telemetry.KindCallEnded, Num: num, Dest: 7, At: now + 20, Until: now, Text: "127.0.0.1:1"})
		p.Push(telemetry.Record{Kind: telemetry.KindMessageEnded, Num: num, Dest: 7, At: now + 20})
	}
}

// end closes a pipe within a time, and returns its counts, which must add up.
func end(t *testing.T, p *Exporter, within time.Duration) Counts {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	p.Close(ctx)
	n := p.Counts()
	if n.Sent+n.Dropped != n.Recorded {
		t.Errorf("sent %d and dropped %d are not the %d recorded", n.Sent, n.Dropped, n.Recorded)
	}
	return n
}

func both(t *testing.T, f func(t *testing.T, overGRPC bool)) {
	for _, overGRPC := range []bool{false, true} {
		t.Run(map[bool]string{false: "http", true: "grpc"}[overGRPC], func(t *testing.T) {
			t.Parallel()
			f(t, overGRPC)
		})
	}
}

// All that is recorded arrives, as whole traces, with the metrics.
func TestHealthyCollector(t *testing.T) {
	both(t, func(t *testing.T, overGRPC bool) {
		c, p := start(t, overGRPC, collector.Mood{}, nil)
		record(p, 0, 500)
		if n := end(t, p, patient); n.Sent != 500 {
			t.Errorf("%+v", n)
		}
		traces, err := collector.Whole(c.Spans())
		if err != nil || len(traces) != 500 {
			t.Fatalf("%d traces, %v", len(traces), err)
		}
		for _, spans := range traces {
			if len(spans) != 2 {
				t.Fatalf("%d spans", len(spans))
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

const patient = 10 * time.Second

// What a collector says of a request decides whether it is sent again; nothing is sent twice that was taken.
func TestAnswers(t *testing.T) {
	both(t, func(t *testing.T, overGRPC bool) {
		for name, row := range map[string]struct {
			mood     collector.Mood
			sent     uint64
			rejected uint64
			again    bool
		}{
			"400":                {mood: collector.Mood{Status: 400}},
			"503":                {mood: collector.Mood{Status: 503}, again: true},
			"503 with a wait":    {mood: collector.Mood{Status: 503, Retry: 20 * time.Second}, again: true},
			"partial success":    {mood: collector.Mood{Reject: 3}, sent: 10, rejected: 3},
			"garbage in a 200":   {mood: collector.Mood{Garbage: true}, sent: 10},
			"a body without end": {mood: collector.Mood{Endless: true}, sent: 10},
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				_, p := start(t, overGRPC, row.mood, nil)
				v := p.way.send(context.Background(), traces, request(p.resRaw, nil))
				if v.again != row.again || row.mood.Retry > 0 && v.after != row.mood.Retry || (v.err == nil) != (row.sent > 0) {
					t.Errorf("%+v", v)
				}
				record(p, 0, 10)
				n := end(t, p, patient)
				if n.Sent != row.sent || n.Recorded != 10 || n.RejectedItems < row.rejected {
					t.Errorf("%+v, want %d sent, %d rejected", n, row.sent, row.rejected)
				}
			})
		}
	})
}

// A collector that never answers, reads a byte a second, or is not there at all: pushing costs the same, memory
// stays within the queue, what does not fit is dropped and counted, and the end comes in its time.
func TestDeadCollectorCostsNothing(t *testing.T) {
	both(t, func(t *testing.T, overGRPC bool) {
		for name, mood := range map[string]collector.Mood{"hole": {Hole: true}, "sip": {Sip: true}, "absent": {}} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				c, p := start(t, overGRPC, mood, func(o *Options) { o.QueueBytes = 64 << 10; o.Target.Timeout = time.Minute })
				if name == "absent" {
					c.Close()
				}
				for i := range 40 {
					record(p, i*100, 100)
				}
				p.mu.Lock()
				held := p.bytes
				p.mu.Unlock()
				if held > 64<<10 {
					t.Errorf("%d bytes wait", held)
				}
				began := time.Now()
				n := end(t, p, 300*time.Millisecond)
				if took := time.Since(began); took > 3*time.Second { // a bound, not a speed: the request had a minute
					t.Errorf("closing took %v", took)
				}
				if n.Sent != 0 || n.Recorded+n.DroppedRecords/4 == 0 || n.Dropped != n.Recorded {
					t.Errorf("%+v", n)
				}
			})
		}
	})
}

// A collector that comes back gets what was recorded meanwhile, and each trace once.
func TestCollectorThatComesBack(t *testing.T) {
	both(t, func(t *testing.T, overGRPC bool) {
		c, p := start(t, overGRPC, collector.Mood{Status: 503}, nil)
		record(p, 0, 50)
		for end := time.Now().Add(patient); ; { // it has refused at least once
			if _, asked := c.Metrics(); asked > 0 {
				break
			}
			if time.Now().After(end) {
				t.Fatal("nothing is sent")
			}
			time.Sleep(time.Millisecond)
		}
		c.Set(collector.Mood{})
		record(p, 50, 50)
		for end := time.Now().Add(patient); p.Counts().Sent < 100 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		end(t, p, patient)
		if traces, err := collector.Whole(c.Spans()); err != nil || len(traces) != 100 {
			t.Errorf("%d traces, %v", len(traces), err)
		}
	})
}

// A collector that restarts again and again: the loss is counted exactly, and what was counted as sent has arrived.
func TestCollectorThatRestarts(t *testing.T) {
	both(t, func(t *testing.T, overGRPC bool) {
		c, p := start(t, overGRPC, collector.Mood{}, nil)
		addr := strings.TrimPrefix(p.opt.Target.URL, "http://")
		arrived := map[string]bool{}
		gather := func() {
			for _, s := range c.Spans() {
				arrived[string(s.TraceId)] = true
			}
		}
		for round := range 6 {
			record(p, round*100, 100)
			for end := time.Now().Add(time.Second); len(c.Spans()) == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			c.Close()
			gather()
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
		n := end(t, p, patient)
		gather()
		c.Close()
		if n.Recorded != 600 || uint64(len(arrived)) < n.Sent {
			t.Errorf("%+v, %d arrived", n, len(arrived))
		}
	})
}

// A certificate with another name, or of nobody known: nothing is sent, all of it is counted, and it is told.
func TestWrongCertificate(t *testing.T) {
	both(t, func(t *testing.T, overGRPC bool) {
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
			_, p := start(t, overGRPC, collector.Mood{}, func(o *Options) {
				o.Target.URL, o.Target.TLS = "https://"+ln.Addr().String(), &tls.Config{RootCAs: ca.Pool(), ServerName: "collector.example"}
			})
			record(p, 0, 10)
			if n := end(t, p, patient); (n.Sent == 10) != (name == "right") {
				t.Errorf("%s: %+v", name, n)
			}
		}
	})
}

// The file goes before the environment, and what makes no sense is told.
func TestConfigure(t *testing.T) {
	env := map[string]string{"OTEL_EXPORTER_OTLP_ENDPOINT": "http://c:1", "OTEL_EXPORTER_OTLP_PROTOCOL": "grpc", "OTEL_EXPORTER_OTLP_HEADERS": "api-key=a%20b, x=1",
		"OTEL_EXPORTER_OTLP_TIMEOUT": "250", "OTEL_RESOURCE_ATTRIBUTES": "deployment.environment=test,service.name=other", "OTEL_SERVICE_NAME": "named"}
	get := func(k string) string { return env[k] }
	o, err := Configure(operator.Telemetry{Headers: []operator.Pair{{Name: "x", Value: "2"}}, Timeout: time.Second}, "n0", get)
	if err != nil || o.Target.URL != "http://c:1" || !o.Target.GRPC || !o.Target.Gzip || o.Target.Timeout != 250*time.Millisecond ||
		o.Target.Headers["api-key"] != "a b" || o.Target.Headers["x"] != "2" || !strings.Contains(fmt.Sprint(o.Resource), "{deployment.environment test}") {
		t.Errorf("%+v, %v", o, err)
	}
	o, err = Configure(operator.Telemetry{Endpoint: "http://d:2", Protocol: "http/protobuf", Compression: "none"}, "n0", get)
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
			t.Errorf("%s=%s: %v", k, v, err)
		}
	}
	if _, err := newTransport(Target{URL: "collector:4317"}); err == nil {
		t.Error("an endpoint without a scheme passes")
	}
	var none *Exporter
	none.Close(context.Background())
	if none.Records() != nil {
		t.Error("a pipe that is not there records")
	}
}
