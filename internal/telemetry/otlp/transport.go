package otlp

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	collmetrics "go.opentelemetry.io/proto/slim/otlp/collector/metrics/v1"
	colltrace "go.opentelemetry.io/proto/slim/otlp/collector/trace/v1"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	ggzip "google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

const maxResponseBytes = 64 << 10 // maximum length of a collector's response that is read

// signal is the kind of telemetry data that a request carries.
type signal int

const (
	tracesSignal signal = iota
	metricsSignal
)

// The paths and methods of the requests, by signal.
var (
	httpPaths   = [...]string{"/v1/traces", "/v1/metrics"}
	grpcMethods = [...]string{"/opentelemetry.proto.collector.trace.v1.TraceService/Export", "/opentelemetry.proto.collector.metrics.v1.MetricsService/Export"}
)

// sendResult is the result of a request (OTLP specification, "OTLP/HTTP Response" and "OTLP/gRPC Response").
type sendResult struct {
	rejected   int64         // spans or data points rejected by a collector that accepted the rest (partial success)
	retryable  bool          // the collector may accept the same request later
	retryAfter time.Duration // minimum wait before a retry; 0: none requested
	err        error         // nil: accepted
}

// transport sends requests to a collector, over HTTP or gRPC.
type transport interface {
	send(ctx context.Context, s signal, body []byte) sendResult
	close()
}

// Target is the address of a collector and the options of the connection to it.
type Target struct {
	// URL is http://host:port or https://host:port. For HTTP it may have a path, to which the standard paths are
	// appended.
	URL     string
	GRPC    bool
	Gzip    bool
	TLS     *tls.Config // used for https
	Headers map[string]string
	Timeout time.Duration // of one request
}

// newTransport returns a transport to the target. It does not connect yet.
func newTransport(target Target) (transport, error) {
	u, err := url.Parse(target.URL)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, fmt.Errorf("endpoint %q: invalid URL; allowed: http://host:port, https://host:port", target.URL)
	}
	if target.GRPC {
		return newGRPCTransport(target, u)
	}
	baseURL := strings.TrimSuffix(u.String(), "/")
	return &httpTransport{target: target, baseURL: baseURL, client: &http.Client{
		Timeout:   target.Timeout,
		Transport: &http.Transport{TLSClientConfig: target.TLS, MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, ResponseHeaderTimeout: target.Timeout},
		// Redirects are not followed: telemetry must not go to a host that was not configured.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

type httpTransport struct {
	target  Target
	baseURL string
	client  *http.Client
}

func (h *httpTransport) close() { h.client.CloseIdleConnections() }

// send implements transport.
func (h *httpTransport) send(ctx context.Context, s signal, body []byte) sendResult {
	ctx, cancel := context.WithTimeout(ctx, h.target.Timeout)
	defer cancel()
	if h.target.Gzip {
		var b bytes.Buffer
		z := gzip.NewWriter(&b)
		z.Write(body)
		z.Close()
		body = b.Bytes()
	}
	req, err := http.NewRequestWithContext(ctx, "POST", h.baseURL+httpPaths[s], bytes.NewReader(body))
	if err != nil {
		return sendResult{err: err}
	}
	req.Header.Set("Content-Type", "application/x-protobuf")
	if h.target.Gzip {
		req.Header.Set("Content-Encoding", "gzip")
	}
	for k, v := range h.target.Headers {
		req.Header.Set(k, v)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return sendResult{retryable: true, err: err}
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch code := resp.StatusCode; {
	case code >= 200 && code < 300 && err == nil:
		return sendResult{rejected: rejectedItems(s, content)}
	case code >= 200 && code < 300: // accepted, but the response could not be read in full
		return sendResult{}
	case code == 429 || code == 502 || code == 503 || code == 504:
		return sendResult{retryable: true, retryAfter: parseRetryAfter(resp.Header.Get("Retry-After")), err: errors.New(resp.Status)}
	}
	return sendResult{err: errors.New(resp.Status)}
}

// parseRetryAfter parses a Retry-After header: a date or seconds (RFC 9110 10.2.3); decimal fractions are accepted too.
func parseRetryAfter(v string) time.Duration {
	if f, err := strconv.ParseFloat(v, 64); err == nil && f > 0 && f < 1e6 {
		return time.Duration(f * float64(time.Second))
	}
	if at, err := http.ParseTime(v); err == nil {
		return max(time.Until(at), 0)
	}
	return 0
}

// rejectedItems returns the number of items that a partial-success response reports as rejected, 0 if it cannot be
// decoded.
func rejectedItems(s signal, response []byte) int64 {
	if s == tracesSignal {
		var r colltrace.ExportTraceServiceResponse
		if proto.Unmarshal(response, &r) == nil {
			return max(r.GetPartialSuccess().GetRejectedSpans(), 0)
		}
		return 0
	}
	var r collmetrics.ExportMetricsServiceResponse
	if proto.Unmarshal(response, &r) == nil {
		return max(r.GetPartialSuccess().GetRejectedDataPoints(), 0)
	}
	return 0
}

type grpcTransport struct {
	target Target
	conn   *grpc.ClientConn
}

func newGRPCTransport(target Target, u *url.URL) (transport, error) {
	creds := insecure.NewCredentials()
	if u.Scheme == "https" {
		creds = credentials.NewTLS(target.TLS)
	}
	opts := []grpc.DialOption{grpc.WithTransportCredentials(creds), grpc.WithUserAgent("sliptide"), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(rawCodec{}), grpc.MaxCallRecvMsgSize(maxResponseBytes))}
	conn, err := grpc.NewClient("passthrough:///"+u.Host, opts...)
	if err != nil {
		return nil, fmt.Errorf("endpoint %q: %w", target.URL, err)
	}
	return &grpcTransport{target, conn}, nil
}

func (g *grpcTransport) close() { g.conn.Close() }

// send implements transport.
func (g *grpcTransport) send(ctx context.Context, s signal, body []byte) sendResult {
	ctx, cancel := context.WithTimeout(ctx, g.target.Timeout)
	defer cancel()
	if len(g.target.Headers) > 0 {
		ctx = metadata.NewOutgoingContext(ctx, metadata.New(g.target.Headers))
	}
	var opts []grpc.CallOption
	if g.target.Gzip {
		opts = append(opts, grpc.UseCompressor(ggzip.Name))
	}
	var response []byte
	err := g.conn.Invoke(ctx, grpcMethods[s], &body, &response, opts...)
	if err == nil {
		return sendResult{rejected: rejectedItems(s, response)}
	}
	result := sendResult{err: err}
	st := status.Convert(err)
	for _, d := range st.Details() {
		if r, ok := d.(*errdetails.RetryInfo); ok {
			result.retryAfter, result.retryable = r.GetRetryDelay().AsDuration(), true
		}
	}
	switch st.Code() {
	case codes.Canceled, codes.DeadlineExceeded, codes.Aborted, codes.OutOfRange, codes.Unavailable, codes.DataLoss:
		result.retryable = true
	}
	return result
}

// rawCodec is a gRPC codec that passes bytes through unchanged: requests are already encoded.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return *v.(*[]byte), nil }
func (rawCodec) Unmarshal(b []byte, v any) error {
	*v.(*[]byte) = append([]byte(nil), b...)
	return nil
}
func (rawCodec) Name() string { return "proto" }
