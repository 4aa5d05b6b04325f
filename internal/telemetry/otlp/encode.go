// Package otlp writes traces and metrics as OTLP (opentelemetry-proto 1.x) and brings them to a collector, over
// HTTP with protobuf or over gRPC. Its goroutines are its own: whoever hands something over never waits, and what
// a collector does not take in time is dropped and counted.
package otlp

import (
	"math"

	collmetrics "go.opentelemetry.io/proto/slim/otlp/collector/metrics/v1"
	common "go.opentelemetry.io/proto/slim/otlp/common/v1"
	metrics "go.opentelemetry.io/proto/slim/otlp/metrics/v1"
	resource "go.opentelemetry.io/proto/slim/otlp/resource/v1"
	trace "go.opentelemetry.io/proto/slim/otlp/trace/v1"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"sliptide/internal/telemetry"
	"sliptide/internal/telemetry/metric"
)

// The numbers of fields, from the .proto files.
const (
	requestResource = 1 // of both requests: resource_spans, resource_metrics
	resourceItself  = 1 // of ResourceSpans
	resourceScopes  = 2
	scopeItself     = 1 // of ScopeSpans
)

var scope = &common.InstrumentationScope{Name: "sliptide"}

func nanos(ms float64) uint64 { return uint64(math.Max(ms, 0) * 1e6) }

func attributes(list []metric.Attr) []*common.KeyValue {
	out := make([]*common.KeyValue, len(list))
	for i, a := range list {
		out[i] = &common.KeyValue{Key: a.Key, Value: &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: a.Value}}}
	}
	return out
}

// spans is a trace as part of a ScopeSpans message. Parts can be strung together (protobuf encoding, "Last One
// Wins": repeated fields are joined), so that a trace is encoded once, when it is over.
func spans(t *telemetry.Trace) ([]byte, error) {
	ss := &trace.ScopeSpans{Spans: make([]*trace.Span, len(t.Spans))}
	for i := range t.Spans {
		s := &t.Spans[i]
		p := &trace.Span{TraceId: t.ID[:], SpanId: s.ID[:], Name: s.Name, Kind: trace.Span_SPAN_KIND_INTERNAL,
			StartTimeUnixNano: nanos(s.Start), EndTimeUnixNano: nanos(s.End), Attributes: attributes(s.Attrs)}
		if s.ParentID != [8]byte{} {
			p.ParentSpanId = s.ParentID[:]
		}
		switch {
		case i == 0:
			p.Kind = trace.Span_SPAN_KIND_SERVER
		case s.ClientCall:
			p.Kind = trace.Span_SPAN_KIND_CLIENT
		}
		if s.Failed {
			p.Status = &trace.Status{Code: trace.Status_STATUS_CODE_ERROR, Message: s.Status}
		}
		ss.Spans[i] = p
	}
	return proto.Marshal(ss)
}

// request is an ExportTraceServiceRequest of such parts.
func request(res []byte, parts [][]byte) []byte {
	who, _ := proto.Marshal(scope)
	inner := protowire.AppendTag(nil, scopeItself, protowire.BytesType)
	inner = protowire.AppendBytes(inner, who)
	for _, p := range parts {
		inner = append(inner, p...)
	}
	rs := protowire.AppendTag(nil, resourceItself, protowire.BytesType)
	rs = protowire.AppendBytes(rs, res)
	rs = protowire.AppendTag(rs, resourceScopes, protowire.BytesType)
	rs = protowire.AppendBytes(rs, inner)
	return protowire.AppendBytes(protowire.AppendTag(nil, requestResource, protowire.BytesType), rs)
}

func resourceOf(list []metric.Attr) *resource.Resource {
	return &resource.Resource{Attributes: attributes(list)}
}

// measures is an ExportMetricsServiceRequest of all series, cumulative since start.
func measures(res *resource.Resource, points []*metric.Series, start, now float64) ([]byte, error) {
	sm := &metrics.ScopeMetrics{Scope: scope}
	var m *metrics.Metric
	for _, p := range points {
		if m == nil || m.Name != p.Name {
			m = &metrics.Metric{Name: p.Name, Unit: p.Unit, Description: p.Description}
			sm.Metrics = append(sm.Metrics, m)
		}
		add(m, p, nanos(start), nanos(now))
	}
	return proto.Marshal(&collmetrics.ExportMetricsServiceRequest{ResourceMetrics: []*metrics.ResourceMetrics{{Resource: res, ScopeMetrics: []*metrics.ScopeMetrics{sm}}}})
}

// add puts a series into its metric.
func add(m *metrics.Metric, p *metric.Series, start, now uint64) {
	if h := p.Histogram; h != nil {
		e := m.GetExponentialHistogram()
		if e == nil {
			e = &metrics.ExponentialHistogram{AggregationTemporality: metrics.AggregationTemporality_AGGREGATION_TEMPORALITY_CUMULATIVE}
			m.Data = &metrics.Metric_ExponentialHistogram{ExponentialHistogram: e}
		}
		e.DataPoints = append(e.DataPoints, &metrics.ExponentialHistogramDataPoint{
			Attributes: attributes(p.Attrs), StartTimeUnixNano: start, TimeUnixNano: now, Count: h.Count, Sum: &h.Sum, Scale: int32(h.Scale),
			ZeroCount: h.ZeroCount, Min: &h.Min, Max: &h.Max,
			Positive: &metrics.ExponentialHistogramDataPoint_Buckets{Offset: int32(h.Offset), BucketCounts: h.Counts},
		})
		return
	}
	dp := &metrics.NumberDataPoint{Attributes: attributes(p.Attrs), StartTimeUnixNano: start, TimeUnixNano: now, Value: &metrics.NumberDataPoint_AsDouble{AsDouble: p.Value}}
	if p.Kind == metric.Gauge {
		g := m.GetGauge()
		if g == nil {
			g = &metrics.Gauge{}
			m.Data = &metrics.Metric_Gauge{Gauge: g}
		}
		g.DataPoints = append(g.DataPoints, dp)
		return
	}
	s := m.GetSum()
	if s == nil {
		s = &metrics.Sum{IsMonotonic: true, AggregationTemporality: metrics.AggregationTemporality_AGGREGATION_TEMPORALITY_CUMULATIVE}
		m.Data = &metrics.Metric_Sum{Sum: s}
	}
	s.DataPoints = append(s.DataPoints, dp)
}
