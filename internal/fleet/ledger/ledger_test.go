package ledger

import (
	"testing"
	"time"
)

// TestEachViolationIsFound checks that Judge finds each violation of a guarantee, and passes runs that keep all
// guarantees, including those that only look like violations.
func TestEachViolationIsFound(t *testing.T) {
	t0 := time.Unix(1e9, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	accept := func(l *Ledger, unsafe bool) {
		l.Submitted("m", 1, unsafe)
		l.Answered("m", true, at(4000))
	}
	call := func(l *Ledger, by, ms int) {
		l.CallStarted(at(ms), by, "m")
		l.TookEffect(at(ms), "m")
		l.CallEnded(at(ms+20), "m", true)
	}
	for _, c := range []struct {
		name string
		play func(b *Ledger)
		want func(v Verdict) bool
		kept bool // the run violates no guarantee
	}{
		{"delivered", func(l *Ledger) {
			accept(l, true)
			call(l, 1, 10)
		}, func(v Verdict) bool { return v.Accepted == 1 }, true},
		{"never ended", func(l *Ledger) { accept(l, false) }, func(v Verdict) bool { return v.Lost == 1 }, false},
		{"late, another sender is lost", func(l *Ledger) {
			accept(l, false)
			l.SenderLost(at(3900), 2, nil)
			l.NoticeReceived(at(4600), "m")
		}, func(v Verdict) bool { return v.Late == 1 }, false},
		{"late, its sender is lost", func(l *Ledger) {
			accept(l, false)
			l.SenderLost(at(3900), 1, nil)
			l.NoticeReceived(at(4600), "m")
		}, func(v Verdict) bool { return len(v.TakeoverDelays) == 1 && len(v.Settlements) == 1 }, true},
		{"late, its successor is lost", func(l *Ledger) {
			accept(l, false)
			l.SenderLost(at(3900), 2, []int{1})
			l.NoticeReceived(at(4600), "m")
		}, func(v Verdict) bool { return len(v.TakeoverDelays) == 1 }, true},
		{"late, its sender was lost long before", func(l *Ledger) {
			accept(l, false)
			l.SenderLost(at(100), 1, nil)
			l.NoticeReceived(at(5200), "m")
		}, func(v Verdict) bool { return v.Late == 1 }, false},
		{"late, its sender is lost after the deadline", func(l *Ledger) {
			accept(l, false)
			l.SenderLost(at(4400), 1, nil)
			l.NoticeReceived(at(4600), "m")
		}, func(v Verdict) bool { return v.Late == 1 }, false},
		{"repeated, which is forbidden", func(l *Ledger) {
			accept(l, true)
			call(l, 1, 10)
			call(l, 2, 900)
		}, func(v Verdict) bool { return v.ForbiddenRepeats == 1 && v.MultipleEnds == 1 }, false},
		{"repeated, which is allowed", func(l *Ledger) {
			accept(l, false)
			call(l, 1, 10)
			call(l, 2, 900)
		}, func(v Verdict) bool { return v.Repeated == 1 && v.BySuccessors == 1 }, true},
		{"overlapping attempts", func(l *Ledger) {
			accept(l, false)
			l.CallStarted(at(5), 2, "m")
			call(l, 1, 10)
		}, func(v Verdict) bool { return v.Overlapping == 1 }, false},
		{"refused but sent", func(l *Ledger) {
			l.Submitted("r", 1, false)
			l.Answered("r", false, t0)
			l.TookEffect(at(9), "r")
			accept(l, false)
			call(l, 1, 10)
		}, func(v Verdict) bool { return v.RefusedSent == 1 }, false},
		{"sent during a requested wait", func(l *Ledger) {
			accept(l, false)
			l.WaitRequested(at(0), 1, at(-20), at(1000))
			call(l, 1, 500)
		}, func(v Verdict) bool { return v.SentInWait == 1 }, false},
		{"sent after a requested wait", func(l *Ledger) {
			accept(l, false)
			l.WaitRequested(at(0), 1, at(-20), at(1000))
			call(l, 1, 1001)
		}, func(v Verdict) bool { return v.Accepted == 1 }, true},
		{"a wait ended by a restart", func(l *Ledger) {
			accept(l, false)
			l.WaitRequested(at(0), 1, at(-20), at(1000))
			l.SenderKilled(at(50), 1, nil)
			call(l, 1, 500)
		}, func(v Verdict) bool { return v.Accepted == 1 }, true},
		{"successor sends during the lost sender's wait", func(l *Ledger) {
			accept(l, false)
			l.WaitRequested(at(0), 1, at(-20), at(2000))
			l.SenderLost(at(200), 1, nil)
			call(l, 2, 1500)
		}, func(v Verdict) bool { return v.SentInWait == 1 && len(v.FirstCalls) == 1 }, false},
		{"a wait requested of the sender that is back, whose earlier message a successor has", func(l *Ledger) {
			accept(l, false)
			l.SenderLost(at(200), 1, nil)
			l.WaitRequested(at(800), 1, at(780), at(2000))
			l.SenderLost(at(1400), 1, nil)
			call(l, 2, 1500)
		}, func(v Verdict) bool { return v.BySuccessors == 1 }, true},
		{"a wait requested while the machine is lost", func(l *Ledger) {
			accept(l, false)
			l.SenderLost(at(200), 1, nil)
			l.WaitRequested(at(210), 1, at(190), at(2000))
			call(l, 2, 1500)
		}, func(v Verdict) bool { return v.Accepted == 1 }, true},
	} {
		l := New()
		c.play(l)
		if v := l.Judge(); !c.want(v) || v.Violated() == c.kept {
			t.Errorf("%s: verdict %+v is not the expected one", c.name, v)
		}
	}
}
