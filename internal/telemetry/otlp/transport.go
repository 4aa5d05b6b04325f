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

const answerMost = 64 << 10 // bytes of a collector's answer that are read

// signal is what is sent.
type signal int

const (
	traces signal = iota
	measurements
)

var (
	paths   = [...]string{"/v1/traces", "/v1/metrics"}
	methods = [...]string{"/opentelemetry.proto.collector.trace.v1.TraceService/Export", "/opentelemetry.proto.collector.metrics.v1.MetricsService/Export"}
)

// verdict is what a collector made of a request (OTLP specification, "OTLP/HTTP Response" and "OTLP/gRPC Response").
type verdict struct {
	rejected int64         // spans or points that it did not take, though it took the rest
	again    bool          // it may take the same later:
	after    time.Duration // not before this; 0: it does not say
	err      error         // nil: taken
}

// transport brings a request to a collector. There are two: HTTP and gRPC.
type transport interface {
	send(ctx context.Context, s signal, body []byte) verdict
	close()
}

// Target is where and how a collector is reached.
type Target struct {
	URL     string // http://host:port or https://host:port, with a path for HTTP if not the usual one
	GRPC    bool
	Gzip    bool
	TLS     *tls.Config // of https
	Headers map[string]string
	Timeout time.Duration // of one request
}

func newTransport(t Target) (transport, error) {
	u, err := url.Parse(t.URL)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, fmt.Errorf("endpoint %q: not http://host:port or https://host:port", t.URL)
	}
	if t.GRPC {
		return newGRPC(t, u)
	}
	base := strings.TrimSuffix(u.String(), "/")
	return &overHTTP{t: t, base: base, client: &http.Client{
		Timeout:   t.Timeout,
		Transport: &http.Transport{TLSClientConfig: t.TLS, MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, ResponseHeaderTimeout: t.Timeout},
		// A collector that sends elsewhere is wrongly set up: what it holds must not go where nobody named.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

type overHTTP struct {
	t      Target
	base   string
	client *http.Client
}

func (h *overHTTP) close() { h.client.CloseIdleConnections() }

func (h *overHTTP) send(ctx context.Context, s signal, body []byte) verdict {
	ctx, cancel := context.WithTimeout(ctx, h.t.Timeout)
	defer cancel()
	if h.t.Gzip {
		var b bytes.Buffer
		z := gzip.NewWriter(&b)
		z.Write(body)
		z.Close()
		body = b.Bytes()
	}
	q, err := http.NewRequestWithContext(ctx, "POST", h.base+paths[s], bytes.NewReader(body))
	if err != nil {
		return verdict{err: err}
	}
	q.Header.Set("Content-Type", "application/x-protobuf")
	if h.t.Gzip {
		q.Header.Set("Content-Encoding", "gzip")
	}
	for k, v := range h.t.Headers {
		q.Header.Set(k, v)
	}
	resp, err := h.client.Do(q)
	if err != nil {
		return verdict{again: true, err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, answerMost))
	switch code := resp.StatusCode; {
	case code >= 200 && code < 300 && err == nil:
		return verdict{rejected: rejected(s, text)}
	case code >= 200 && code < 300: // taken, as far as it said
		return verdict{}
	case code == 429 || code == 502 || code == 503 || code == 504:
		return verdict{again: true, after: retryAfter(resp.Header.Get("Retry-After")), err: errors.New(resp.Status)}
	}
	return verdict{err: errors.New(resp.Status)}
}

// retryAfter reads whole or decimal seconds, or a date (RFC 9110 10.2.3).
func retryAfter(v string) time.Duration {
	if f, err := strconv.ParseFloat(v, 64); err == nil && f > 0 && f < 1e6 {
		return time.Duration(f * float64(time.Second))
	}
	if at, err := http.ParseTime(v); err == nil {
		return max(time.Until(at), 0)
	}
	return 0
}

// rejected is what a partial success says. An answer that can't be read says nothing.
func rejected(s signal, text []byte) int64 {
	if s == traces {
		var r colltrace.ExportTraceServiceResponse
		if proto.Unmarshal(text, &r) == nil {
			return max(r.GetPartialSuccess().GetRejectedSpans(), 0)
		}
		return 0
	}
	var r collmetrics.ExportMetricsServiceResponse
	if proto.Unmarshal(text, &r) == nil {
		return max(r.GetPartialSuccess().GetRejectedDataPoints(), 0)
	}
	return 0
}

type overGRPC struct {
	t    Target
	conn *grpc.ClientConn
}

func newGRPC(t Target, u *url.URL) (transport, error) {
	creds := insecure.NewCredentials()
	if u.Scheme == "https" {
		creds = credentials.NewTLS(t.TLS)
	}
	opts := []grpc.DialOption{grpc.WithTransportCredentials(creds), grpc.WithUserAgent("sliptide"), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(raw{}), grpc.MaxCallRecvMsgSize(answerMost))}
	conn, err := grpc.NewClient("passthrough:///"+u.Host, opts...)
	if err != nil {
		return nil, fmt.Errorf("endpoint %q: %w", t.URL, err)
	}
	return &overGRPC{t, conn}, nil
}

func (g *overGRPC) close() { g.conn.Close() }

func (g *overGRPC) send(ctx context.Context, s signal, body []byte) verdict {
	ctx, cancel := context.WithTimeout(ctx, g.t.Timeout)
	defer cancel()
	if len(g.t.Headers) > 0 {
		ctx = metadata.NewOutgoingContext(ctx, metadata.New(g.t.Headers))
	}
	var opts []grpc.CallOption
	if g.t.Gzip {
		opts = append(opts, grpc.UseCompressor(ggzip.Name))
	}
	var answer []byte
	err := g.conn.Invoke(ctx, methods[s], &body, &answer, opts...)
	if err == nil {
		return verdict{rejected: rejected(s, answer)}
	}
	v := verdict{err: err}
	st := status.Convert(err)
	for _, d := range st.Details() {
		if r, ok := d.(*errdetails.RetryInfo); ok {
			v.after, v.again = r.GetRetryDelay().AsDuration(), true
		}
	}
	switch st.Code() {
	case codes.Canceled, codes.DeadlineExceeded, codes.Aborted, codes.OutOfRange, codes.Unavailable, codes.DataLoss:
		v.again = true
	}
	return v
}

// raw passes bytes through as they are: requests are encoded before they come here.
type raw struct{}

func (raw) Marshal(v any) ([]byte, error)   { return *v.(*[]byte), nil }
func (raw) Unmarshal(b []byte, v any) error { *v.(*[]byte) = append([]byte(nil), b...); return nil }
func (raw) Name() string                    { return "proto" }
