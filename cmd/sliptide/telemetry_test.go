package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	trace "go.opentelemetry.io/proto/slim/otlp/trace/v1"

	"sliptide/internal/lab/collector"
)

// startCollector starts a stand-in collector, over gRPC or HTTP, and returns it with the telemetry element of an
// operators' file that exports to it.
func startCollector(t *testing.T, overGRPC bool) (*collector.Collector, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &collector.Collector{}
	protocol := "http/protobuf"
	if overGRPC {
		protocol = "grpc"
		c.ServeGRPC(ln)
	} else {
		c.ServeHTTP(ln)
	}
	t.Cleanup(c.Close)
	return c, fmt.Sprintf(`<telemetry enabled="true" endpoint="http://%s" protocol="%s" every="1s" share="100"/>`, ln.Addr(), protocol)
}

// awaitTraces waits until at least n complete traces have arrived, and returns all of them.
func awaitTraces(t *testing.T, c *collector.Collector, n int) map[string][]*trace.Span {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		traces, err := collector.GroupTraces(c.Spans())
		if err != nil {
			t.Fatal(err)
		}
		if len(traces) >= n {
			return traces
		}
		if time.Now().After(end) {
			t.Fatalf("not in time: %d complete traces, want %d", len(traces), n)
		}
		time.Sleep(time.Millisecond)
	}
}

// attribute returns the value of a span's string attribute, or the empty string.
func attribute(s *trace.Span, key string) string {
	for _, a := range s.Attributes {
		if a.Key == key {
			return a.Value.GetStringValue()
		}
	}
	return ""
}

// The collector receives one complete trace for a message, in the trace context given by its client, even if a SIGKILL
// ended the process meanwhile. No trace that has arrived contains a body or an idempotency key.
func TestEachMessageIsOneTrace(t *testing.T) {
	for _, overGRPC := range []bool{false, true} {
		t.Run(fmt.Sprint("grpc ", overGRPC), func(t *testing.T) {
			c, file := startCollector(t, overGRPC)
			r := newRigWithOperatorFile(t, file, nil, "one")
			for i := range 20 {
				r.mustSubmit(fmt.Sprint("plain-", i), 0, 20, "secret body")
				r.expectCallFor(fmt.Sprint("plain-", i)).respond(200)
			}
			const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
			q, _ := http.NewRequest("POST", "http://"+r.addr+"/api", strings.NewReader("secret body"))
			for k, v := range map[string]string{"X-Trace-Id": "known", "X-Qos": "note", "X-Customer": "acme", "Idempotency-Key": "secret-key",
				"X-Expires-In": "20", "X-Route-To": "dest=0", "traceparent": parent} {
				q.Header.Set(k, v)
			}
			resp, err := http.DefaultClient.Do(q)
			if err != nil || resp.StatusCode != 202 {
				t.Fatal(resp, err)
			}
			resp.Body.Close()
			r.expectCallFor("known") // in progress when the process is killed
			r.kill(syscall.SIGKILL)
			r.start()
			repeat := r.nextCall()
			for ; repeat.id() != "known"; repeat = r.nextCall() { // its delivery was not journalled before the SIGKILL
				repeat.respond(200)
			}
			repeat.respond(200)
			r.kill(syscall.SIGTERM) // the remaining traces are sent on exit
			traces := awaitTraces(t, c, 1)
			known := traces["4bf92f3577b34da6a3ce929d0e0e4736"]
			if len(known) < 2 || fmt.Sprintf("%x", known[0].ParentSpanId) != "00f067aa0ba902b7" || attribute(known[0], "sliptide.restored_with_attempts") != "1" ||
				attribute(known[0], "sliptide.end") != "delivered" {
				t.Errorf("trace of the message that was restored after the kill: %v; want its client's parent span, one attempt before the kill and its delivery", known)
			}
			if text := fmt.Sprint(c.Spans()); strings.Contains(text, "secret") {
				t.Errorf("a body or a key is among the attributes")
			}
		})
	}
}

// Each of 31 messages has a trace. That of the message that is answered 500, 429 and 200 has these three attempts in
// order and the requested wait. The collector also receives the metrics of connections, waits and breakers.
func TestTraceHasAttemptsAndWaits(t *testing.T) {
	c, file := startCollector(t, false)
	r := newRigWithOperatorFile(t, file, nil, "one")
	for i := range 30 {
		id := fmt.Sprint("b", i)
		r.mustSubmit(id, 0, 20, "x")
		r.expectCallFor(id).respond(200)
	}
	r.mustSubmit("a", 0, 20, "x")
	r.expectCallFor("a").respond(500)
	r.expectCallFor("a").respond(429, "Retry-After", "0.2")
	r.expectCallFor("a").respond(200)
	traces := awaitTraces(t, c, 31)
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		m, _ := c.Metrics()
		if text := fmt.Sprint(m); strings.Contains(text, "http.client.open_connections") && strings.Contains(text, "sliptide.wait.duration") && strings.Contains(text, "sliptide.breakers.open") {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the metrics of connections, waits and breakers have not all arrived: %v", m)
		}
	}
	for _, spans := range traces {
		if attribute(spans[0], "messaging.message.id") != "a" {
			continue
		}
		var tree strings.Builder
		collector.WriteTree(&tree, spans)
		t.Log(tree.String())
		var outcomes, waits []string
		for _, s := range spans[1:] {
			if o := attribute(s, "sliptide.outcome"); o != "" {
				outcomes = append(outcomes, o)
			} else {
				waits = append(waits, attribute(s, "sliptide.wait.cause"))
			}
		}
		if fmt.Sprint(outcomes) != "[error turned_away delivered]" || !strings.Contains(fmt.Sprint(waits), "told_wait") {
			t.Errorf("outcomes %v, waits %v; want error, turned_away and delivered, and a wait told_wait", outcomes, waits)
		}
		return
	}
	t.Error("message a has no trace")
}

// With a collector that accepts connections and never answers, the sender delivers messages and stops in time.
func TestUnresponsiveCollectorDelaysNothing(t *testing.T) {
	c, file := startCollector(t, true)
	c.SetBehaviour(collector.Behaviour{NeverAnswer: true})
	r := newRigWithOperatorFile(t, file, nil, "one")
	for i := range 50 {
		id := fmt.Sprint("m", i)
		r.mustSubmit(id, 0, 20, "x")
		r.expectCallFor(id).respond(200)
	}
	stopAt := time.Now()
	r.kill(syscall.SIGTERM)
	if took := time.Since(stopAt); took > 3700*time.Millisecond { // SIGKILL would follow then
		t.Errorf("the stop took %v, want 3.7 s at most", took)
	}
}
