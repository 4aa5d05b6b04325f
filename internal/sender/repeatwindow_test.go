package sender

import (
	"testing"
	"time"

	"sliptide/internal/outbound"
	"sliptide/policy"
)

// A repeat of an attempt that may have run carries the end of the partner's idempotency window, which begins with the first
// such attempt. First attempts, and classes that are safe to repeat, carry no limit.
func TestRepeatCarriesWindowEnd(t *testing.T) {
	b := newTestSender(t, t.TempDir(), listen(t).Addr().String(), testSettings())
	b.submit("keyed", 1, 20*time.Second)
	b.submit("safe", 0, 20*time.Second)
	b.runStep()
	only := func() *outbound.Call {
		t.Helper()
		if len(b.calls) != 1 {
			t.Fatalf("%d calls, want one with both messages", len(b.calls))
		}
		for c := range b.calls {
			return c
		}
		return nil
	}
	first := only()
	if !first.WriteBy.IsZero() {
		t.Errorf("a first attempt is limited to %v", first.WriteBy)
	}
	began := time.UnixMilli(b.messages[b.numByTrace["keyed"]].MayHaveRunAt)
	if !began.Equal(time.UnixMilli(0)) {
		t.Fatalf("recorded as possibly delivered before its call has ended: %v", began)
	}
	var events []policy.Event
	for _, it := range first.Items {
		events = append(events, policy.Event{Kind: policy.EvOutcome, ID: it.ID, Endpoint: 1, Outcome: policy.Reset})
	}
	b.handleInput(input{call: first, events: events})
	b.runStep()
	m, safe := b.messages[b.numByTrace["keyed"]], b.messages[b.numByTrace["safe"]]
	b.await("the message is not repeated", func() bool { return m.call != nil })
	window := float64(m.MayHaveRunAt) + testClasses[1].DedupWindow
	left := window - b.now - float64(time.Until(m.call.WriteBy))/1e6
	if m.call.WriteBy.IsZero() || left <= 0 || left > testClasses[1].DedupWindow {
		t.Errorf("the repeat may be written until %v, %g ms before the end of the window", m.call.WriteBy, left)
	}
	if _, bound := b.repeatDeadline(safe); bound || safe.MayHaveRunAt == 0 {
		t.Error("a class that is safe to repeat is limited")
	}
}
