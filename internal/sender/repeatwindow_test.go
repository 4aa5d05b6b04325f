package sender

import (
	"testing"
	"time"

	"sliptide/internal/outbound"
	"sliptide/policy"
)

// A repeat of an attempt that may have run carries the end of the partner's dedup window, which begins with the first
// such attempt: written later, the partner would execute it again. First attempts, and classes that are safe to repeat,
// carry no limit.
func TestRepeatCarriesWindowEnd(t *testing.T) {
	s := newTestSender(t, t.TempDir(), listen(t).Addr().String(), testSettings())
	s.submit("keyed", 1, 20*time.Second)
	s.submit("safe", 0, 20*time.Second)
	s.runStep()
	only := func() *outbound.Call {
		t.Helper()
		if len(s.calls) != 1 {
			t.Fatalf("%d calls, want one with both messages", len(s.calls))
		}
		for c := range s.calls {
			return c
		}
		return nil
	}
	first := only()
	if !first.WriteBy.IsZero() {
		t.Errorf("a first attempt must be written by %v, want no limit", first.WriteBy)
	}
	began := time.UnixMilli(s.held("keyed").MayHaveRunAt)
	if !began.Equal(time.UnixMilli(0)) {
		t.Fatalf("recorded as possibly delivered before its call has ended: %v", began)
	}
	var events []policy.Event
	for _, it := range first.Items {
		events = append(events, policy.Event{Kind: policy.EvOutcome, ID: it.ID, Endpoint: 1, Outcome: policy.Reset})
	}
	s.handleInput(input{call: first, events: events})
	s.runStep()
	m, safe := s.held("keyed"), s.held("safe")
	s.await("the message is not repeated", func() bool { return m.call != nil })
	window := float64(m.MayHaveRunAt) + testClasses[1].DedupWindow
	left := window - s.now - float64(time.Until(m.call.WriteBy))/1e6
	if m.call.WriteBy.IsZero() || left <= 0 || left > testClasses[1].DedupWindow {
		t.Errorf("the repeat may be written until %v, %g ms before the end of the window, want a limit within the window",
			m.call.WriteBy, left)
	}
	if _, bound := s.repeatDeadline(safe); bound || safe.MayHaveRunAt == 0 {
		t.Error("a message that is safe to repeat has a limit, or is not recorded as possibly delivered")
	}
}
