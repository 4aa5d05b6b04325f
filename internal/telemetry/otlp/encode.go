// Package otlp encodes traces and metrics as OTLP (opentelemetry-proto 1.x) and sends them to a collector, over HTTP
// with protobuf or over gRPC. It does so in its own goroutines and never blocks the caller. Traces that the collector
// does not accept in time are dropped and counted.
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

// Field numbers from the .proto files.
const (
	requestResourceField = 1 // resource_spans of ExportTraceServiceRequest
	resourceField        = 1 // resource of ResourceSpans
	scopesField          = 2 // scope_spans of ResourceSpans
	scopeField           = 1 // scope of ScopeSpans
)

var scope = &common.InstrumentationScope{Name: "sliptide"}

func unixNanos(ms float64) uint64 { return uint64(math.Max(ms, 0) * 1e6) }

func keyValues(list []metric.Attr) []*common.KeyValue {
	out := make([]*common.KeyValue, len(list))
	for i, a := range list {
		out[i] = &common.KeyValue{Key: a.Key, Value: &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: a.Value}}}
	}
	return out
}

// encodeSpans encodes a trace as part of a ScopeSpans message. Encoded parts can be concatenated, since protobuf then
// joins their repeated fields (protobuf encoding, "Last One Wins"), so that each trace is encoded only once, when it
// has ended.
func encodeSpans(t *telemetry.Trace) ([]byte, error) {
	ss := &trace.ScopeSpans{Spans: make([]*trace.Span, len(t.Spans))}
	for i := range t.Spans {
		s := &t.Spans[i]
		p := &trace.Span{TraceId: t.ID[:], SpanId: s.ID[:], Name: s.Name, Kind: trace.Span_SPAN_KIND_INTERNAL,
			StartTimeUnixNano: unixNanos(s.Start), EndTimeUnixNano: unixNanos(s.End), Attributes: keyValues(s.Attrs)}
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

// encodeTraceRequest returns an encoded ExportTraceServiceRequest with the parts that encodeSpans returned.
func encodeTraceRequest(resource []byte, parts [][]byte) []byte {
	scopeBytes, _ := proto.Marshal(scope)
	scopeSpans := protowire.AppendTag(nil, scopeField, protowire.BytesType)
	scopeSpans = protowire.AppendBytes(scopeSpans, scopeBytes)
	for _, p := range parts {
		scopeSpans = append(scopeSpans, p...)
	}
	resourceSpans := protowire.AppendTag(nil, resourceField, protowire.BytesType)
	resourceSpans = protowire.AppendBytes(resourceSpans, resource)
	resourceSpans = protowire.AppendTag(resourceSpans, scopesField, protowire.BytesType)
	resourceSpans = protowire.AppendBytes(resourceSpans, scopeSpans)
	return protowire.AppendBytes(protowire.AppendTag(nil, requestResourceField, protowire.BytesType), resourceSpans)
}

func newResource(list []metric.Attr) *resource.Resource {
	return &resource.Resource{Attributes: keyValues(list)}
}

// encodeMetrics returns an encoded ExportMetricsServiceRequest with all series, cumulative since startMS. The series of
// one metric must follow each other, as AllSeries returns them.
func encodeMetrics(res *resource.Resource, series []*metric.Series, startMS, nowMS float64) ([]byte, error) {
	sm := &metrics.ScopeMetrics{Scope: scope}
	var m *metrics.Metric
	for _, p := range series {
		if m == nil || m.Name != p.Name {
			m = &metrics.Metric{Name: p.Name, Unit: p.Unit, Description: p.Description}
			sm.Metrics = append(sm.Metrics, m)
		}
		addSeries(m, p, unixNanos(startMS), unixNanos(nowMS))
	}
	return proto.Marshal(&collmetrics.ExportMetricsServiceRequest{ResourceMetrics: []*metrics.ResourceMetrics{{Resource: res, ScopeMetrics: []*metrics.ScopeMetrics{sm}}}})
}

// addSeries adds the data point of a series to its metric.
func addSeries(m *metrics.Metric, p *metric.Series, start, now uint64) {
	if h := p.Histogram; h != nil {
		e := m.GetExponentialHistogram()
		if e == nil {
			e = &metrics.ExponentialHistogram{AggregationTemporality: metrics.AggregationTemporality_AGGREGATION_TEMPORALITY_CUMULATIVE}
			m.Data = &metrics.Metric_ExponentialHistogram{ExponentialHistogram: e}
		}
		e.DataPoints = append(e.DataPoints, &metrics.ExponentialHistogramDataPoint{
			Attributes: keyValues(p.Attrs), StartTimeUnixNano: start, TimeUnixNano: now, Count: h.Count, Sum: &h.Sum, Scale: int32(h.Scale),
			ZeroCount: h.ZeroCount, Min: &h.Min, Max: &h.Max,
			Positive: &metrics.ExponentialHistogramDataPoint_Buckets{Offset: int32(h.Offset), BucketCounts: h.Counts},
		})
		return
	}
	dp := &metrics.NumberDataPoint{Attributes: keyValues(p.Attrs), StartTimeUnixNano: start, TimeUnixNano: now, Value: &metrics.NumberDataPoint_AsDouble{AsDouble: p.Value}}
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
