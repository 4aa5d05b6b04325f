// Package metric holds the counters, gauges and exponential histograms that a sender exports. One goroutine updates and
// reads them; there is no locking.
package metric

import "math"

// MaxBuckets is the maximum number of buckets of a histogram. A histogram that would need more halves its resolution.
const MaxBuckets = 160

const (
	maxScale = 20  // not used at present: a histogram starts at scale 4, and its scale only decreases
	minScale = -10 // at this scale three buckets cover all values
)

// Histogram is an exponential histogram of positive values (OpenTelemetry metrics data model, "ExponentialHistogram"):
// bucket i holds the values in (base^i, base^(i+1)], base = 2^(2^-scale).
type Histogram struct {
	Scale     int
	Offset    int // index of Counts[0]
	Counts    []uint64
	ZeroCount uint64
	Count     uint64
	Sum       float64
	Min       float64
	Max       float64
}

// NewHistogram returns an empty histogram of scale 4, whose buckets are 4% wide: finer ones are of no use for
// durations.
func NewHistogram() *Histogram { return &Histogram{Scale: 4} }

// index returns the index of the bucket that holds v at a scale.
func index(v float64, scale int) int {
	return int(math.Ceil(math.Log2(v)*math.Exp2(float64(scale)))) - 1
}

// Add records a value. It ignores NaN and infinities. Values that are not positive, and the smallest positive float64,
// are counted as zero.
func (h *Histogram) Add(v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return
	}
	if h.Count == 0 {
		h.Min, h.Max = v, v
	}
	h.Count++
	h.Sum += v
	h.Min, h.Max = min(h.Min, v), max(h.Max, v)
	if v <= math.SmallestNonzeroFloat64 {
		h.ZeroCount++
		return
	}
	i := index(v, h.Scale)
	if len(h.Counts) == 0 {
		h.Offset, h.Counts = i, []uint64{1}
		return
	}
	for max(i, h.Offset+len(h.Counts)-1)-min(i, h.Offset) >= MaxBuckets && h.Scale > minScale {
		h.halve()
		i = index(v, h.Scale)
	}
	for i < h.Offset {
		h.Counts = append([]uint64{0}, h.Counts...)
		h.Offset--
	}
	for i >= h.Offset+len(h.Counts) {
		h.Counts = append(h.Counts, 0)
	}
	h.Counts[i-h.Offset]++
}

// halve merges neighbouring pairs of buckets, which lowers the scale by one.
func (h *Histogram) halve() {
	first := h.Offset >> 1
	last := (h.Offset + len(h.Counts) - 1) >> 1
	joined := make([]uint64, last-first+1)
	for i, n := range h.Counts {
		joined[(h.Offset+i)>>1-first] += n
	}
	h.Offset, h.Counts = first, joined
	h.Scale--
}
