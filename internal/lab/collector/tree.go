package collector

import (
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	trace "go.opentelemetry.io/proto/slim/otlp/trace/v1"
)

const waterfallColumns = 40 // width of the waterfall chart, in characters

// GroupTraces returns spans grouped by trace ID in hexadecimal. It fails if a trace does not have exactly one root
// (a span whose parent is not among the spans) or if a span occurs twice.
func GroupTraces(spans []*trace.Span) (map[string][]*trace.Span, error) {
	traces := map[string][]*trace.Span{}
	seen := map[string]bool{}
	for _, s := range spans {
		id := hex.EncodeToString(s.TraceId)
		key := id + hex.EncodeToString(s.SpanId)
		if seen[key] {
			return traces, fmt.Errorf("trace %s: span %x (%s) occurs twice", id, s.SpanId, s.Name)
		}
		seen[key] = true
		traces[id] = append(traces[id], s)
	}
	for id, list := range traces {
		roots := 0
		for _, s := range list {
			if !seen[id+hex.EncodeToString(s.ParentSpanId)] {
				roots++
			}
		}
		if roots != 1 {
			return traces, fmt.Errorf("trace %s has %d roots in %d spans, want one root", id, roots, len(list))
		}
	}
	return traces, nil
}

// WriteTree writes the spans of one trace, at least one, as a tree, each with its bar in a waterfall chart. It leaves
// out spans more than 16 levels below their root.
func WriteTree(w io.Writer, spans []*trace.Span) {
	byID := map[string]bool{}
	first, last := ^uint64(0), uint64(0)
	for _, s := range spans {
		byID[string(s.SpanId)] = true
		first, last = min(first, s.StartTimeUnixNano), max(last, s.EndTimeUnixNano)
	}
	fmt.Fprintf(w, "trace %x  %v\n", spans[0].TraceId, time.Duration(last-first).Round(time.Millisecond))
	list := slices.Clone(spans)
	slices.SortStableFunc(list, func(a, b *trace.Span) int { return int(int64(a.StartTimeUnixNano) - int64(b.StartTimeUnixNano)) })
	var writeChildren func(parent []byte, depth int)
	writeChildren = func(parent []byte, depth int) {
		for _, s := range list {
			root := depth == 0 && !byID[string(s.ParentSpanId)]
			if !root && (depth == 0 || string(s.ParentSpanId) != string(parent)) {
				continue
			}
			fmt.Fprintf(w, "  %-30s |%s| %8v", strings.Repeat("  ", depth)+s.Name, waterfall(s, first, last),
				time.Duration(s.EndTimeUnixNano-s.StartTimeUnixNano).Round(time.Millisecond))
			for _, a := range s.Attributes {
				fmt.Fprintf(w, " %s=%s", strings.TrimPrefix(a.Key, "sliptide."), a.Value.GetStringValue())
			}
			fmt.Fprintln(w)
			if depth < 16 {
				writeChildren(s.SpanId, depth+1)
			}
		}
	}
	writeChildren(nil, 0)
}

// waterfall returns the bar of a span on the time axis of its trace, which runs from first to last in Unix nanoseconds.
// The bar of a span with an error consists of x.
func waterfall(s *trace.Span, first, last uint64) string {
	length := max(float64(last-first), 1)
	from := min(int(float64(s.StartTimeUnixNano-first)/length*waterfallColumns), waterfallColumns-1)
	to := max(int(float64(s.EndTimeUnixNano-first)/length*waterfallColumns), from+1)
	mark := "="
	if s.Status.GetCode() == trace.Status_STATUS_CODE_ERROR {
		mark = "x"
	}
	return strings.Repeat(" ", from) + strings.Repeat(mark, to-from) + strings.Repeat(" ", max(waterfallColumns-to, 0))
}
