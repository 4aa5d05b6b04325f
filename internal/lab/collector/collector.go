// Package collector is a stand-in for an OpenTelemetry collector, written from the OTLP specification: it takes
// traces and metrics over HTTP and gRPC, keeps what it got, and misbehaves as told. "sliptide lab collector"
// shows what arrives. It is for tests and for trying things out, never part of a sender.
package collector

import (
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	collmetrics "go.opentelemetry.io/proto/slim/otlp/collector/metrics/v1"
	colltrace "go.opentelemetry.io/proto/slim/otlp/collector/trace/v1"
	metrics "go.opentelemetry.io/proto/slim/otlp/metrics/v1"
	trace "go.opentelemetry.io/proto/slim/otlp/trace/v1"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	_ "google.golang.org/grpc/encoding/gzip" // requests may be compressed
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
)

const bodyMost = 16 << 20

// Mood is how a collector behaves.
type Mood struct {
	Hole    bool          // accepts, reads and never answers
	Sip     bool          // reads a byte a second
	Slow    time.Duration // before each answer
	Status  int           // answers this HTTP status, or what stands for it over gRPC
	Retry   time.Duration // and tells this wait
	Reject  int64         // takes all but so many spans, and says so
	Garbage bool          // answers 200 with what is no protobuf
	Endless bool          // and with a body that does not end
}

// Collector is one stand-in. Change its mood by Set.
type Collector struct {
	Got func([]*trace.ResourceSpans) // told of each request with traces that it took; may be nil

	mu      sync.Mutex
	mood    Mood
	spans   []*trace.Span
	metrics []*metrics.ResourceMetrics
	asked   int
	gone    chan struct{}
	srv     *http.Server
	rpc     *grpc.Server
}

// ServeHTTP serves OTLP/HTTP on ln until Close.
func (c *Collector) ServeHTTP(ln net.Listener) {
	c.init()
	c.srv = &http.Server{Handler: http.HandlerFunc(c.overHTTP), ReadHeaderTimeout: time.Minute}
	go c.srv.Serve(&sipping{ln, c})
}

// ServeGRPC serves OTLP/gRPC on ln until Close.
func (c *Collector) ServeGRPC(ln net.Listener, opts ...grpc.ServerOption) {
	c.init()
	c.rpc = grpc.NewServer(append(opts, grpc.ForceServerCodec(raw{}), grpc.UnknownServiceHandler(c.overGRPC))...)
	go c.rpc.Serve(&sipping{ln, c})
}

func (c *Collector) init() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone == nil {
		c.gone = make(chan struct{})
	}
}

// Close ends it; open requests are cut off.
func (c *Collector) Close() {
	c.mu.Lock()
	if c.gone != nil {
		close(c.gone)
		c.gone = nil
	}
	c.mu.Unlock()
	if c.srv != nil {
		c.srv.Close()
	}
	if c.rpc != nil {
		c.rpc.Stop()
	}
}

// Set changes its mood.
func (c *Collector) Set(m Mood) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mood = m
}

// Spans is all spans that it took.
func (c *Collector) Spans() []*trace.Span {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*trace.Span(nil), c.spans...)
}

// Metrics is what it last took of metrics, and how often it was asked in all.
func (c *Collector) Metrics() (last []*metrics.ResourceMetrics, asked int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.metrics, c.asked
}

// sipping makes connections that are read slowly, if the mood is such.
type sipping struct {
	net.Listener
	c *Collector
}

type sip struct {
	net.Conn
	c *Collector
}

func (l *sipping) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return &sip{nc, l.c}, err
}

func (s *sip) Read(b []byte) (int, error) {
	s.c.mu.Lock()
	slow, gone := s.c.mood.Sip, s.c.gone
	s.c.mu.Unlock()
	if gone == nil {
		return 0, io.EOF
	}
	if slow && len(b) > 0 {
		select {
		case <-time.After(time.Second):
		case <-gone:
		}
		b = b[:1]
	}
	return s.Conn.Read(b)
}

// now is the mood for one request, and what ends it.
func (c *Collector) now() (Mood, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	return c.mood, c.gone
}

// behave does what the mood has for a request before its answer; false: there is none.
func behave(ctx context.Context, m *Mood, gone <-chan struct{}) bool {
	if m.Hole {
		select {
		case <-ctx.Done():
		case <-gone:
		}
		return false
	}
	if m.Slow > 0 {
		select {
		case <-time.After(m.Slow):
		case <-ctx.Done():
			return false
		case <-gone:
			return false
		}
	}
	return true
}

func (c *Collector) overHTTP(w http.ResponseWriter, q *http.Request) {
	m, gone := c.now()
	var in io.Reader = http.MaxBytesReader(w, q.Body, bodyMost)
	if q.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(in)
		if err != nil {
			w.WriteHeader(400)
			return
		}
		in = z
	}
	body, err := io.ReadAll(in)
	if err != nil || q.Method != "POST" || q.Header.Get("Content-Type") != "application/x-protobuf" {
		w.WriteHeader(400)
		return
	}
	if !behave(q.Context(), &m, gone) {
		panic(http.ErrAbortHandler)
	}
	switch {
	case m.Status != 0:
		if m.Retry > 0 {
			w.Header().Set("Retry-After", fmt.Sprint(m.Retry.Seconds()))
		}
		w.WriteHeader(m.Status)
		return
	case m.Garbage:
		w.Write([]byte("\xff\xff\xffgarbage"))
		return
	case m.Endless:
		for q.Context().Err() == nil {
			if _, err := w.Write(make([]byte, 1<<16)); err != nil {
				return
			}
		}
		return
	}
	answer, err := c.take(q.URL.Path == "/v1/traces", body, m.Reject)
	if err != nil {
		w.WriteHeader(400)
		return
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	w.Write(answer)
}

func (c *Collector) overGRPC(_ any, st grpc.ServerStream) error {
	m, gone := c.now()
	method, _ := grpc.MethodFromServerStream(st)
	var body []byte
	if err := st.RecvMsg(&body); err != nil {
		return err
	}
	if !behave(st.Context(), &m, gone) {
		return status.Error(codes.Unavailable, "gone")
	}
	switch {
	case m.Status == 400:
		return status.Error(codes.InvalidArgument, "as told")
	case m.Status != 0:
		s := status.New(codes.Unavailable, "as told")
		if m.Retry > 0 {
			s, _ = s.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(m.Retry)})
		}
		return s.Err()
	case m.Garbage || m.Endless:
		answer := []byte("\xff\xff\xffgarbage")
		return st.SendMsg(&answer)
	}
	answer, err := c.take(method == "/opentelemetry.proto.collector.trace.v1.TraceService/Export", body, m.Reject)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	return st.SendMsg(&answer)
}

// take keeps what a request brings, and is its answer.
func (c *Collector) take(isTrace bool, body []byte, reject int64) ([]byte, error) {
	if !isTrace {
		var r collmetrics.ExportMetricsServiceRequest
		if err := proto.Unmarshal(body, &r); err != nil {
			return nil, err
		}
		c.mu.Lock()
		c.metrics = r.ResourceMetrics
		c.mu.Unlock()
		return proto.Marshal(&collmetrics.ExportMetricsServiceResponse{})
	}
	var r colltrace.ExportTraceServiceRequest
	if err := proto.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	c.mu.Lock()
	for _, rs := range r.ResourceSpans {
		for _, ss := range rs.ScopeSpans {
			if ss.Scope.GetName() == "" {
				c.mu.Unlock()
				return nil, errors.New("a scope without a name")
			}
			c.spans = append(c.spans, ss.Spans...)
		}
	}
	c.mu.Unlock()
	if c.Got != nil {
		c.Got(r.ResourceSpans)
	}
	answer := &colltrace.ExportTraceServiceResponse{}
	if reject > 0 {
		answer.PartialSuccess = &colltrace.ExportTracePartialSuccess{RejectedSpans: reject, ErrorMessage: "as told"}
	}
	return proto.Marshal(answer)
}

// raw passes bytes through: what a method takes is known by its name.
type raw struct{}

func (raw) Marshal(v any) ([]byte, error)   { return *v.(*[]byte), nil }
func (raw) Unmarshal(b []byte, v any) error { *v.(*[]byte) = append([]byte(nil), b...); return nil }
func (raw) Name() string                    { return "proto" }
