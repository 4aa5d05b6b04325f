package share

import "testing"

// TestExpiredAnswerMayStillBeApplied: the holder removes an expired answer, but its member may still receive it late
// and then be at its even part. An earlier answer that the member confirmed must not count as binding then.
func TestExpiredAnswerMayStillBeApplied(t *testing.T) {
	terms := Terms{Members: 2, BindDuration: 2000, RaiseDuration: 600}
	h := NewHolder(terms, 1, 0)
	now := int64(1000)
	h.HandleReport(now, "b", Report{At: now, Demand: 1000, Limit: 40})
	low, _ := h.HandleReport(now, "a", Report{At: now, Limit: 40})
	if low.Rate >= terms.EvenShare(40) {
		t.Fatalf("a has no demand and gets %v, want less than its even part", low.Rate)
	}
	report := Report{At: now, Demand: 30, Limit: 40, Token: 1, Stamp: low.Stamp}
	if a, ok := h.HandleReport(now+500, "a", report); !ok || a.Rate < terms.EvenShare(40) {
		t.Fatalf("a has a demand of 30 and gets %v, want at least its even part", a.Rate) // the answer is delayed on its way to a
	}
	h.HandleReport(now+1150, "b", Report{At: now + 1150, Demand: 1000, Limit: 40}) // here the holder removes the expired answer
	report.Demand = 0
	h.HandleReport(now+1200, "a", report) // reported before the answer arrived; it may have arrived and lapsed since
	if b, _ := h.HandleReport(now+1300, "b", Report{At: now + 1300, Demand: 1000, Limit: 40}); b.Rate > terms.EvenShare(40) {
		t.Errorf("b gets %v although a may send its even part, %v; want at most the same for b", b.Rate, terms.EvenShare(40))
	}
}
