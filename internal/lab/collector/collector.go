// Package collector is a stand-in for an OpenTelemetry collector, written from the OTLP specification. It receives
// traces and metrics over HTTP and gRPC, stores them in memory, and can simulate faults. "sliptide lab collector"
// prints the traces that arrive. The package is for tests and manual trials; senders do not link it.
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
	_ "google.golang.org/grpc/encoding/gzip" // registers the decompressor for gzip requests
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
)

const maxBodyBytes = 16 << 20 // largest body of a request over HTTP, compressed if it is

// Behaviour configures how a Collector answers. Its zero value accepts every valid request at once.
type Behaviour struct {
	NeverAnswer   bool          // reads requests and never answers
	SlowRead      bool          // reads one byte a second
	AnswerDelay   time.Duration // delay before each answer
	Status        int           // HTTP status; over gRPC InvalidArgument for 400 and Unavailable for others; 0: success
	RetryAfter    time.Duration // wait requested together with Status
	RejectedSpans int64         // number of spans reported as rejected in a partial success; all are stored
	InvalidBody   bool          // answers 200 with a body that is not valid protobuf
	EndlessBody   bool          // answers 200 with a body that does not end; over gRPC as InvalidBody
}

// Collector is a stand-in collector. Its zero value is ready for use; SetBehaviour changes how it answers.
// SetBehaviour, Spans and Metrics are safe for concurrent use.
type Collector struct {
	// OnTraces is called with the traces of each accepted request, concurrently for concurrent requests. It may be nil.
	OnTraces func([]*trace.ResourceSpans)

	mu         sync.Mutex // guards the fields below, except the servers
	behaviour  Behaviour
	spans      []*trace.Span
	metrics    []*metrics.ResourceMetrics // of the last accepted request with metrics
	requests   int
	closed     chan struct{} // Close closes it; nil while the collector does not serve
	httpServer *http.Server
	grpcServer *grpc.Server
}

// ServeHTTP serves OTLP/HTTP on ln until Close.
func (c *Collector) ServeHTTP(ln net.Listener) {
	c.initClosed()
	c.httpServer = &http.Server{Handler: http.HandlerFunc(c.handleHTTP), ReadHeaderTimeout: time.Minute}
	go c.httpServer.Serve(&slowListener{ln, c})
}

// ServeGRPC serves OTLP/gRPC on ln until Close.
func (c *Collector) ServeGRPC(ln net.Listener, opts ...grpc.ServerOption) {
	c.initClosed()
	c.grpcServer = grpc.NewServer(append(opts,
		grpc.ForceServerCodec(rawCodec{}), grpc.UnknownServiceHandler(c.handleGRPC))...)
	go c.grpcServer.Serve(&slowListener{ln, c})
}

func (c *Collector) initClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed == nil {
		c.closed = make(chan struct{})
	}
}

// Close stops the collector and cuts off open requests.
func (c *Collector) Close() {
	c.mu.Lock()
	if c.closed != nil {
		close(c.closed)
		c.closed = nil
	}
	c.mu.Unlock()
	if c.httpServer != nil {
		c.httpServer.Close()
	}
	if c.grpcServer != nil {
		c.grpcServer.Stop()
	}
}

// SetBehaviour replaces the behaviour. Requests that are being answered keep the earlier one; SlowRead applies at once.
func (c *Collector) SetBehaviour(behaviour Behaviour) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behaviour = behaviour
}

// Spans returns all accepted spans.
func (c *Collector) Spans() []*trace.Span {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*trace.Span(nil), c.spans...)
}

// Metrics returns the metrics of the last accepted request with metrics, and the number of requests of any kind.
func (c *Collector) Metrics() (last []*metrics.ResourceMetrics, requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.metrics, c.requests
}

// slowListener accepts connections that are read slowly while Behaviour.SlowRead is set.
type slowListener struct {
	net.Listener
	c *Collector
}

type slowConn struct {
	net.Conn
	c *Collector
}

func (l *slowListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return &slowConn{nc, l.c}, err
}

// Read reads one byte after a second while Behaviour.SlowRead is set. Close ends the wait, and later reads return
// io.EOF.
func (s *slowConn) Read(b []byte) (int, error) {
	s.c.mu.Lock()
	slow, closed := s.c.behaviour.SlowRead, s.c.closed
	s.c.mu.Unlock()
	if closed == nil {
		return 0, io.EOF
	}
	if slow && len(b) > 0 {
		select {
		case <-time.After(time.Second):
		case <-closed:
		}
		b = b[:1]
	}
	return s.Conn.Read(b)
}

// beginRequest counts a request. It returns the behaviour for it and a channel that Close closes.
func (c *Collector) beginRequest() (Behaviour, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	return c.behaviour, c.closed
}

// waitToAnswer waits as long as behaviour delays the answer. It returns false if the request gets no answer.
func waitToAnswer(ctx context.Context, behaviour *Behaviour, closed <-chan struct{}) bool {
	if behaviour.NeverAnswer {
		select {
		case <-ctx.Done():
		case <-closed:
		}
		return false
	}
	if behaviour.AnswerDelay > 0 {
		select {
		case <-time.After(behaviour.AnswerDelay):
		case <-ctx.Done():
			return false
		case <-closed:
			return false
		}
	}
	return true
}

// handleHTTP answers a request as the behaviour says. It takes a request to any path but /v1/traces for metrics.
func (c *Collector) handleHTTP(w http.ResponseWriter, r *http.Request) {
	behaviour, closed := c.beginRequest()
	var reader io.Reader = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if r.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(reader)
		if err != nil {
			w.WriteHeader(400)
			return
		}
		reader = z
	}
	body, err := io.ReadAll(reader)
	if err != nil || r.Method != "POST" || r.Header.Get("Content-Type") != "application/x-protobuf" {
		w.WriteHeader(400)
		return
	}
	if !waitToAnswer(r.Context(), &behaviour, closed) {
		panic(http.ErrAbortHandler)
	}
	switch {
	case behaviour.Status != 0:
		if behaviour.RetryAfter > 0 {
			w.Header().Set("Retry-After", fmt.Sprint(behaviour.RetryAfter.Seconds()))
		}
		w.WriteHeader(behaviour.Status)
		return
	case behaviour.InvalidBody:
		w.Write([]byte("\xff\xff\xffgarbage"))
		return
	case behaviour.EndlessBody:
		for r.Context().Err() == nil {
			if _, err := w.Write(make([]byte, 1<<16)); err != nil {
				return
			}
		}
		return
	}
	answer, err := c.accept(r.URL.Path == "/v1/traces", body, behaviour.RejectedSpans)
	if err != nil {
		w.WriteHeader(400)
		return
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	w.Write(answer)
}

// handleGRPC answers a request as the behaviour says. It takes a call of any method but the trace service's Export for
// metrics.
func (c *Collector) handleGRPC(_ any, stream grpc.ServerStream) error {
	behaviour, closed := c.beginRequest()
	method, _ := grpc.MethodFromServerStream(stream)
	var body []byte
	if err := stream.RecvMsg(&body); err != nil {
		return err
	}
	if !waitToAnswer(stream.Context(), &behaviour, closed) {
		return status.Error(codes.Unavailable, "gone")
	}
	switch {
	case behaviour.Status == 400:
		return status.Error(codes.InvalidArgument, "as told")
	case behaviour.Status != 0:
		s := status.New(codes.Unavailable, "as told")
		if behaviour.RetryAfter > 0 {
			s, _ = s.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(behaviour.RetryAfter)})
		}
		return s.Err()
	case behaviour.InvalidBody || behaviour.EndlessBody:
		answer := []byte("\xff\xff\xffgarbage")
		return stream.SendMsg(&answer)
	}
	answer, err := c.accept(method == "/opentelemetry.proto.collector.trace.v1.TraceService/Export",
		body, behaviour.RejectedSpans)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	return stream.SendMsg(&answer)
}

// accept stores the content of a request and returns the encoded answer, which reports reject spans as rejected. It
// fails if body is not valid, or has a scope without a name.
func (c *Collector) accept(isTrace bool, body []byte, reject int64) ([]byte, error) {
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
	if c.OnTraces != nil {
		c.OnTraces(r.ResourceSpans)
	}
	answer := &colltrace.ExportTraceServiceResponse{}
	if reject > 0 {
		answer.PartialSuccess = &colltrace.ExportTracePartialSuccess{
			RejectedSpans: reject, ErrorMessage: "as told"}
	}
	return proto.Marshal(answer)
}

// rawCodec passes bytes through undecoded, since one handler serves all methods and decodes by the method's name.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return *v.(*[]byte), nil }
func (rawCodec) Unmarshal(b []byte, v any) error {
	*v.(*[]byte) = append([]byte(nil), b...)
	return nil
}
func (rawCodec) Name() string { return "proto" }
