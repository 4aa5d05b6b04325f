package ledger

import (
	"testing"
	"time"
)

// TestEachBreachIsFound: the judge finds each breach of what is promised, and passes what is kept and what only looks like
// a breach.
func TestEachBreachIsFound(t *testing.T) {
	t0 := time.Unix(1e9, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	take := func(b *Book, unsafe bool) {
		b.Offered("m", 1, unsafe)
		b.Answered("m", true, at(4000))
	}
	call := func(b *Book, by, ms int) {
		b.Called(at(ms), by, "m")
		b.Effect(at(ms), "m")
		b.Over(at(ms+20), "m", true)
	}
	for _, c := range []struct {
		name string
		play func(b *Book)
		want func(v Verdict) bool
		kept bool
	}{
		{"delivered", func(b *Book) { take(b, true); call(b, 1, 10) }, func(v Verdict) bool { return v.Taken == 1 }, true},
		{"nobody ends it", func(b *Book) { take(b, false) }, func(v Verdict) bool { return v.Lost == 1 }, false},
		{"late, another is lost", func(b *Book) { take(b, false); b.Lost(at(3900), 2, nil); b.Notice(at(4600), "m") }, func(v Verdict) bool { return v.Late == 1 }, false},
		{"late, its sender is lost", func(b *Book) { take(b, false); b.Lost(at(3900), 1, nil); b.Notice(at(4600), "m") }, func(v Verdict) bool { return len(v.Over) == 1 && len(v.Settled) == 1 }, true},
		{"late, its heir is lost", func(b *Book) { take(b, false); b.Lost(at(3900), 2, []int{1}); b.Notice(at(4600), "m") }, func(v Verdict) bool { return len(v.Over) == 1 }, true},
		{"late, its sender was lost long before", func(b *Book) { take(b, false); b.Lost(at(100), 1, nil); b.Notice(at(5200), "m") }, func(v Verdict) bool { return v.Late == 1 }, false},
		{"late, its sender is lost after its time", func(b *Book) { take(b, false); b.Lost(at(4400), 1, nil); b.Notice(at(4600), "m") }, func(v Verdict) bool { return v.Late == 1 }, false},
		{"twice, which is forbidden", func(b *Book) { take(b, true); call(b, 1, 10); call(b, 2, 900) }, func(v Verdict) bool { return v.Twice == 1 && v.EndedMore == 1 }, false},
		{"twice, which is allowed", func(b *Book) { take(b, false); call(b, 1, 10); call(b, 2, 900) }, func(v Verdict) bool { return v.Repeated == 1 && v.ByHeirs == 1 }, true},
		{"two attempts out", func(b *Book) { take(b, false); b.Called(at(5), 2, "m"); call(b, 1, 10) }, func(v Verdict) bool { return v.Both == 1 }, false},
		{"refused and sent", func(b *Book) {
			b.Offered("r", 1, false)
			b.Answered("r", false, t0)
			b.Effect(at(9), "r")
			take(b, false)
			call(b, 1, 10)
		}, func(v Verdict) bool { return v.Sent == 1 }, false},
		{"inside its wait", func(b *Book) { take(b, false); b.Told(at(0), 1, at(-20), at(1000)); call(b, 1, 500) }, func(v Verdict) bool { return v.InWait == 1 }, false},
		{"after its wait", func(b *Book) { take(b, false); b.Told(at(0), 1, at(-20), at(1000)); call(b, 1, 1001) }, func(v Verdict) bool { return v.Taken == 1 }, true},
		{"a wait that a restart ended", func(b *Book) {
			take(b, false)
			b.Told(at(0), 1, at(-20), at(1000))
			b.Killed(at(50), 1, nil)
			call(b, 1, 500)
		}, func(v Verdict) bool { return v.Taken == 1 }, true},
		{"an heir inside the lost one's wait", func(b *Book) {
			take(b, false)
			b.Told(at(0), 1, at(-20), at(2000))
			b.Lost(at(200), 1, nil)
			call(b, 2, 1500)
		}, func(v Verdict) bool { return v.InWait == 1 && len(v.First) == 1 }, false},
		{"a wait told as the machine went", func(b *Book) {
			take(b, false)
			b.Lost(at(200), 1, nil)
			b.Told(at(210), 1, at(190), at(2000))
			call(b, 2, 1500)
		}, func(v Verdict) bool { return v.Taken == 1 }, true},
	} {
		b := New()
		c.play(b)
		if v := b.Judge(); !c.want(v) || v.Broken() == c.kept {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}
