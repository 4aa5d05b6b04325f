package trial

import (
	"math"
	"testing"

	"sliptide/internal/storm"
)

func outage(rate float64) storm.Throttle {
	return storm.Throttle{Dest: 7, Phase: storm.Outage, Paces: []storm.Pace{{Rate: rate}}, DialRate: 1}
}

func board() *Board {
	b := New(Settings{Senders: 100, Bound: 4000})
	b.Live(true)
	return b
}

// TestOthersWait: one that does not hold the trial waits while it hears that the partner is down, and no longer.
func TestOthersWait(t *testing.T) {
	b := board()
	if o := b.Ordered(0, outage(0.5)); o.Paces[0].Rate != 0.5 {
		t.Errorf("with nobody's word: %v", o)
	}
	if acts := b.Acts(); len(acts) != 1 || !acts[0].Want {
		t.Errorf("acts %v", acts)
	}
	b.Heard(100, 7, News{Holder: "n2"})
	list := b.Changed(100)
	if len(list) != 1 || list[0].Paces[0].Rate != hushed {
		t.Fatalf("another holds it: %v", list)
	}
	b.Heard(3000, 7, News{Holder: "n2", Word: "down 1"})
	if at := b.Next(); at != 7000 {
		t.Errorf("it waits until %v", at)
	}
	if list := b.Changed(6999); len(list) != 0 {
		t.Errorf("before the bound: %v", list)
	}
	if list := b.Changed(7000); len(list) != 1 || list[0].Paces[0].Rate != 0.5 {
		t.Errorf("after the bound without a word: %v", list)
	}
	b.Heard(7100, 7, News{Holder: "n2", Word: "down 2"})
	if list := b.Changed(7100); len(list) != 1 || list[0].Paces[0].Rate != hushed {
		t.Errorf("a word again: %v", list)
	}
	b.Heard(7200, 7, News{Holder: "n2", Word: "open 3"})
	if list := b.Changed(7200); len(list) != 1 || list[0].Paces[0].Rate != 0.5 {
		t.Errorf("the partner is back: %v", list)
	}
}

// TestNobodySilences: without a session, a holder, or a fleet, nothing is held back.
func TestNobodySilences(t *testing.T) {
	b := board()
	b.Ordered(0, outage(0.5))
	b.Heard(100, 7, News{Holder: "n2"})
	b.Changed(100)
	b.Live(false)
	if list := b.Changed(200); len(list) != 1 || list[0].Paces[0].Rate != 0.5 {
		t.Errorf("the session is over: %v", list)
	}
	b.Live(true)
	b.Changed(300)
	b.Heard(400, 7, News{})
	if list := b.Changed(400); len(list) != 1 || list[0].Paces[0].Rate != 0.5 {
		t.Errorf("nobody holds it: %v", list)
	}
	var none *Board
	if o := none.Ordered(0, outage(0.5)); o.Paces[0].Rate != 0.5 || none.Changed(0) != nil || none.Acts() != nil || !math.IsInf(none.Next(), 1) {
		t.Errorf("without a fleet: %v", o)
	}
	none.Live(true)
	none.Heard(0, 7, News{})
	none.Tried(0, 7)
}

// TestHolder: the holder tries at the others' parts, up to a bound, tells that the partner is down now and then, and
// that it is back at once.
func TestHolder(t *testing.T) {
	b := board()
	b.Ordered(0, outage(0.05))
	b.Acts()
	b.Heard(100, 7, News{Holder: "n1", Mine: true})
	if list := b.Changed(100); len(list) != 1 || math.Abs(list[0].Paces[0].Rate-5) > 1e-9 {
		t.Errorf("the holder's pace: %v", list)
	}
	b.Tried(200, 7)
	b.Tried(300, 7)
	b.Tried(1200, 7)
	if acts := b.Acts(); len(acts) != 2 || acts[0].Say != "down 1" || acts[1].Say != "down 2" {
		t.Errorf("words %v", acts)
	}
	o := b.Ordered(1300, storm.Throttle{Dest: 7, Phase: storm.Returning, Paces: []storm.Pace{{Rate: 0.05}}})
	if acts := b.Acts(); len(acts) != 1 || acts[0].Say != "open 3" || o.Paces[0].Rate != 0.05 {
		t.Errorf("back: %v, %v", acts, o)
	}
	b.Ordered(20000, storm.Throttle{Dest: 7, Phase: storm.Calm, Paces: []storm.Pace{{}}})
	if acts := b.Acts(); len(acts) != 1 || !acts[0].Leave {
		t.Errorf("calm: %v", acts)
	}
	// One that takes the duty over while it sees the partner back says so.
	b = board()
	b.Ordered(0, outage(0.05))
	b.Ordered(1000, storm.Throttle{Dest: 7, Phase: storm.Returning, Paces: []storm.Pace{{Rate: 0.05}}})
	b.Acts()
	b.Heard(1100, 7, News{Holder: "n1", Mine: true, Word: "down 9"})
	if acts := b.Acts(); len(acts) != 1 || acts[0].Say != "open 1" {
		t.Errorf("taken over: %v", acts)
	}
}

func TestNames(t *testing.T) {
	for text, want := range map[string]int{Duty(12): 12, "trial/x": -1, "limit/1": -1, "trial/-1": -1} {
		if n, ok := Dest(text); ok != (want >= 0) || ok && n != want {
			t.Errorf("%s: %d, %v", text, n, ok)
		}
	}
}
