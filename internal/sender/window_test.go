package sender

import (
	"testing"
	"time"

	"sliptide/internal/outbound"
	"sliptide/policy"
)

// A repeat of what may have run carries the end of its partner's window with it, from the first attempt that may have
// run; a first attempt, and a class that may be repeated at will, carry none.
func TestARepeatCarriesItsWindow(t *testing.T) {
	b := newBench(t, t.TempDir(), listen(t).Addr().String(), benchSettings())
	b.hand("keyed", 1, 20*time.Second)
	b.hand("safe", 0, 20*time.Second)
	b.next()
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
	began := time.UnixMilli(b.msgs[b.traces["keyed"]].MayHaveRunAt)
	if !began.Equal(time.UnixMilli(0)) {
		t.Fatalf("in doubt before its call has ended: %v", began)
	}
	var events []policy.Event
	for _, it := range first.Items {
		events = append(events, policy.Event{Kind: policy.EvOutcome, ID: it.ID, Endpoint: 1, Outcome: policy.Reset})
	}
	b.take(input{call: first, events: events})
	b.next()
	m, safe := b.msgs[b.traces["keyed"]], b.msgs[b.traces["safe"]]
	b.await("no repeat", func() bool { return m.call != nil })
	window := float64(m.MayHaveRunAt) + benchClasses[1].DedupWindow
	left := window - b.now - float64(time.Until(m.call.WriteBy))/1e6
	if m.call.WriteBy.IsZero() || left <= 0 || left > benchClasses[1].DedupWindow {
		t.Errorf("the repeat may be written until %v, %g ms before the window's end", m.call.WriteBy, left)
	}
	if _, bound := b.repeatUntil(safe); bound || safe.MayHaveRunAt == 0 {
		t.Error("a class that may be repeated at will is bound")
	}
}
