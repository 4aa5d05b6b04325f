package share

import "testing"

// TestForgottenAnswer: an answer whose time is over is forgotten, but its member may take it still, late, and be back at
// its even part: an earlier one that it told of does not bind it then.
func TestExpiredAnswerMayStillBeApplied(t *testing.T) {
	terms := Terms{Members: 2, BindDuration: 2000, RaiseDuration: 600}
	h := NewHolder(terms, 1, 0)
	now := int64(1000)
	h.HandleReport(now, "b", Report{At: now, Demand: 1000, Limit: 40})
	low, _ := h.HandleReport(now, "a", Report{At: now, Limit: 40})
	if low.Rate >= terms.EvenShare(40) {
		t.Fatalf("a wants nothing and gets %v", low.Rate)
	}
	report := Report{At: now, Demand: 30, Limit: 40, Token: 1, Stamp: low.Stamp}
	if a, ok := h.HandleReport(now+500, "a", report); !ok || a.Rate < terms.EvenShare(40) {
		t.Fatalf("a wants 30 and gets %v", a.Rate) // it is on its way to a for long
	}
	h.HandleReport(now+1150, "b", Report{At: now + 1150, Demand: 1000, Limit: 40}) // here it is forgotten
	report.Demand = 0
	h.HandleReport(now+1200, "a", report) // told before it came; it may have come since, and be over
	if b, _ := h.HandleReport(now+1300, "b", Report{At: now + 1300, Demand: 1000, Limit: 40}); b.Rate > terms.EvenShare(40) {
		t.Errorf("b is lent %v, and a may send %v", b.Rate, terms.EvenShare(40))
	}
}
