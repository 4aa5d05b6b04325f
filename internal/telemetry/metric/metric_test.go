package metric

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Every value is counted in its bucket at each scale, and halving the resolution loses no value. Values that are not
// positive, and the smallest positive float64, are counted as zero; NaN and infinities are ignored.
func TestHistogram(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, spread := range []float64{0.1, 1, 5, 30} {
		h := NewHistogram()
		var values []float64
		for range 2000 {
			v := math.Exp(rng.NormFloat64() * spread)
			values = append(values, v)
			h.Add(v)
		}
		base := math.Exp2(math.Exp2(-float64(h.Scale)))
		var total uint64
		for i, n := range h.Counts {
			lo, hi := math.Pow(base, float64(h.Offset+i)), math.Pow(base, float64(h.Offset+i+1))
			var want uint64
			for _, v := range values {
				if v > lo*(1-1e-12) && v <= hi*(1+1e-12) {
					want++
				}
			}
			if n != want {
				t.Fatalf("spread %v: bucket (%v, %v] holds %d, want %d", spread, lo, hi, n, want)
			}
			total += n
		}
		if total != 2000 || h.Count != 2000 || len(h.Counts) > MaxBuckets {
			t.Errorf("spread %v: %d of %d values in %d buckets; want 2,000 of 2,000 in MaxBuckets at most", spread, total, h.Count, len(h.Counts))
		}
	}
	h := NewHistogram()
	for _, v := range []float64{0, -1, math.NaN(), math.Inf(1), 5e-324, 1.7e308} {
		h.Add(v)
	}
	if h.Count != 4 || h.ZeroCount != 3 || len(h.Counts) != 1 || h.Min != -1 {
		t.Errorf("%+v", h)
	}
}

// A Registry holds a bounded number of series and counts the values of the others. When full, it still updates the
// series that it holds.
func TestRegistryIsBounded(t *testing.T) {
	s, d := NewRegistry(), &Descriptor{Name: "n"}
	for i := range 3 * maxSeries {
		s.Add(d, 1, Attr{"k", string(rune(i + 1000))})
	}
	if len(s.AllSeries()) != maxSeries || s.Overflow != 2*maxSeries {
		t.Errorf("%d series, %d values discarded; want maxSeries and twice as many", len(s.AllSeries()), s.Overflow)
	}
	s.Add(d, 1, Attr{"k", string(rune(1000))})
	if s.AllSeries()[0].Value != 2 {
		t.Error("a full Registry does not update an existing series")
	}
}
