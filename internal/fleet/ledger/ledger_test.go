package ledger

import (
	"testing"
	"time"
)

// TestEachBreachIsFound: the judge finds each breach of what is promised, and passes what is kept and what only looks like
// a breach.
func TestEachViolationIsFound(t *testing.T) {
	t0 := time.Unix(1e9, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	accept := func(b *Ledger, unsafe bool) {
		b.Submitted("m", 1, unsafe)
		b.Answered("m", true, at(4000))
	}
	call := func(b *Ledger, by, ms int) {
		b.CallStarted(at(ms), by, "m")
		b.TookEffect(at(ms), "m")
		b.CallEnded(at(ms+20), "m", true)
	}
	for _, c := range []struct {
		name string
		play func(b *Ledger)
		want func(v Verdict) bool
		kept bool
	}{
		{"delivered", func(b *Ledger) { accept(b, true); call(b, 1, 10) }, func(v Verdict) bool { return v.Accepted == 1 }, true},
		{"nobody ends it", func(b *Ledger) { accept(b, false) }, func(v Verdict) bool { return v.Lost == 1 }, false},
		{"late, another is lost", func(b *Ledger) { accept(b, false); b.SenderLost(at(3900), 2, nil); b.NoticeReceived(at(4600), "m") }, func(v Verdict) bool { return v.Late == 1 }, false},
		{"late, its sender is lost", func(b *Ledger) { accept(b, false); b.SenderLost(at(3900), 1, nil); b.NoticeReceived(at(4600), "m") }, func(v Verdict) bool { return len(v.TakeoverDelays) == 1 && len(v.Settlements) == 1 }, true},
		{"late, its heir is lost", func(b *Ledger) {
			accept(b, false)
			b.SenderLost(at(3900), 2, []int{1})
			b.NoticeReceived(at(4600), "m")
		}, func(v Verdict) bool { return len(v.TakeoverDelays) == 1 }, true},
		{"late, its sender was lost long before", func(b *Ledger) { accept(b, false); b.SenderLost(at(100), 1, nil); b.NoticeReceived(at(5200), "m") }, func(v Verdict) bool { return v.Late == 1 }, false},
		{"late, its sender is lost after its time", func(b *Ledger) { accept(b, false); b.SenderLost(at(4400), 1, nil); b.NoticeReceived(at(4600), "m") }, func(v Verdict) bool { return v.Late == 1 }, false},
		{"twice, which is forbidden", func(b *Ledger) { accept(b, true); call(b, 1, 10); call(b, 2, 900) }, func(v Verdict) bool { return v.ForbiddenRepeats == 1 && v.MultipleEnds == 1 }, false},
		{"twice, which is allowed", func(b *Ledger) { accept(b, false); call(b, 1, 10); call(b, 2, 900) }, func(v Verdict) bool { return v.Repeated == 1 && v.BySuccessors == 1 }, true},
		{"two attempts out", func(b *Ledger) { accept(b, false); b.CallStarted(at(5), 2, "m"); call(b, 1, 10) }, func(v Verdict) bool { return v.Overlapping == 1 }, false},
		{"refused and sent", func(b *Ledger) {
			b.Submitted("r", 1, false)
			b.Answered("r", false, t0)
			b.TookEffect(at(9), "r")
			accept(b, false)
			call(b, 1, 10)
		}, func(v Verdict) bool { return v.RefusedSent == 1 }, false},
		{"inside its wait", func(b *Ledger) { accept(b, false); b.WaitRequested(at(0), 1, at(-20), at(1000)); call(b, 1, 500) }, func(v Verdict) bool { return v.SentInWait == 1 }, false},
		{"after its wait", func(b *Ledger) { accept(b, false); b.WaitRequested(at(0), 1, at(-20), at(1000)); call(b, 1, 1001) }, func(v Verdict) bool { return v.Accepted == 1 }, true},
		{"a wait that a restart ended", func(b *Ledger) {
			accept(b, false)
			b.WaitRequested(at(0), 1, at(-20), at(1000))
			b.SenderKilled(at(50), 1, nil)
			call(b, 1, 500)
		}, func(v Verdict) bool { return v.Accepted == 1 }, true},
		{"an heir inside the lost one's wait", func(b *Ledger) {
			accept(b, false)
			b.WaitRequested(at(0), 1, at(-20), at(2000))
			b.SenderLost(at(200), 1, nil)
			call(b, 2, 1500)
		}, func(v Verdict) bool { return v.SentInWait == 1 && len(v.FirstCalls) == 1 }, false},
		{"a wait told as the machine went", func(b *Ledger) {
			accept(b, false)
			b.SenderLost(at(200), 1, nil)
			b.WaitRequested(at(210), 1, at(190), at(2000))
			call(b, 2, 1500)
		}, func(v Verdict) bool { return v.Accepted == 1 }, true},
	} {
		b := New()
		c.play(b)
		if v := b.Judge(); !c.want(v) || v.Violated() == c.kept {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}
