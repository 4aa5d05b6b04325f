package sender

import (
	"testing"
	"time"

	"sliptide/internal/outbound"
	"sliptide/policy"
)

// A repeat of what may have run carries the end of its partner's window with it, from the first attempt that may have
// run; a first attempt, and a class that may be repeated at will, carry none.
func TestRepeatCarriesWindowEnd(t *testing.T) {
	b := newTestSender(t, t.TempDir(), listen(t).Addr().String(), testSettings())
	b.submit("keyed", 1, 20*time.Second)
	b.submit("safe", 0, 20*time.Second)
	b.nextStep()
	only := func() *outbound.Call {
		t.Helper()
		if len(b.calls) != 1 {
			t.Fatalf("%d calls, want both messages in one", len(b.calls))
		}
		for c := range b.calls {
			return c
		}
		return nil
	}
	first := only()
	if !first.WriteBy.IsZero() {
		t.Errorf("a first attempt is bound: %v", first.WriteBy)
	}
	began := time.UnixMilli(b.messages[b.numByTrace["keyed"]].MayHaveRunAt)
	if !began.Equal(time.UnixMilli(0)) {
		t.Fatalf("in doubt before its call has ended: %v", began)
	}
	var events []policy.Event
	for _, it := range first.Items {
		events = append(events, policy.Event{Kind: policy.EvOutcome, ID: it.ID, Endpoint: 1, Outcome: policy.Reset})
	}
	b.handleInput(input{call: first, events: events})
	b.nextStep()
	m, safe := b.messages[b.numByTrace["keyed"]], b.messages[b.numByTrace["safe"]]
	b.await("no repeat", func() bool { return m.call != nil })
	window := float64(m.MayHaveRunAt) + testClasses[1].DedupWindow
	left := window - b.now - float64(time.Until(m.call.WriteBy))/1e6
	if m.call.WriteBy.IsZero() || left <= 0 || left > testClasses[1].DedupWindow {
		t.Errorf("the repeat may be written until %v, %g ms before the window's end", m.call.WriteBy, left)
	}
	if _, bound := b.repeatDeadline(safe); bound || safe.MayHaveRunAt == 0 {
		t.Error("a class that may be repeated at will is bound")
	}
}
