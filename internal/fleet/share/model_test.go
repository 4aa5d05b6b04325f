package share

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model: members with clocks that run fast or slow, links that delay, lose and reorder, members that are cut off and
// stopped, and a duty that is handed on. At every step the sum of what all may send is held against the limit.

const ms = int64(time.Millisecond)

var terms = Terms{Members: 5, Length: 2000 * ms, Raise: 600 * ms, Drift: 0.05}

type world struct {
	rng     *rand.Rand
	now     int64
	limit   float64
	nodes   []*node
	holder  int // who holds the duty; -1: nobody
	token   uint64
	until   int64 // of the holder's lease
	frames  []frame
	loss    bool
	breach  string
	guards  Break
	reports int
	demands func(w *world, i int) float64
}

type node struct {
	rate    float64
	offset  int64
	m       *Member
	h       *Holder
	token   uint64
	cut     int64 // until then
	stopped int64
}

type frame struct {
	at       int64
	from, to int
	report   *Report
	answer   *Answer
}

func newWorld(seed uint64, t Terms, limit float64, guards Break) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 3)), limit: limit, holder: -1, guards: guards}
	for range t.Members {
		n := &node{rate: 1 + t.Drift*(2*w.rng.Float64()-1), offset: w.rng.Int64N(1e12), m: NewMember(t)}
		n.m.Limit(limit)
		n.m.Break = guards
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) local(n *node) int64 { return n.offset + int64(float64(w.now)*n.rate) }

// hand gives the duty to a member, once nobody holds it any more.
func (w *world) hand(to int, t Terms) {
	w.holder, w.token = to, w.token+1
	n := w.nodes[to]
	n.token, n.h = w.token, NewHolder(t, w.token, w.local(n))
	n.h.Break = w.guards
	w.until = 1 << 62
}

// fall ends the holder's lease without its knowledge of anything but that.
func (w *world) fall() { w.holder = -1 }

func (w *world) send(f frame) {
	if w.loss && w.rng.IntN(4) == 0 {
		return
	}
	f.at = w.now + w.rng.Int64N(20*ms)
	if w.loss && w.rng.IntN(5) == 0 {
		f.at += w.rng.Int64N(3000 * ms)
	}
	w.frames = append(w.frames, f)
}

func (w *world) step(dt int64) {
	w.now += dt
	for i, n := range w.nodes {
		if w.now < n.stopped || w.holder < 0 || !n.m.Due(w.local(n), w.demands(w, i)) {
			continue
		}
		r := n.m.Report(w.local(n), w.demands(w, i))
		w.reports++
		w.send(frame{from: i, to: w.holder, report: &r})
	}
	var later, due []frame
	for _, f := range w.frames {
		if f.at > w.now || w.now < w.nodes[f.to].stopped {
			later = append(later, f)
		} else {
			due = append(due, f)
		}
	}
	w.frames = later
	for _, f := range due {
		if w.now < w.nodes[f.to].cut || w.now < w.nodes[f.from].cut {
			continue
		}
		n := w.nodes[f.to]
		switch {
		case f.answer != nil:
			n.m.Take(w.local(n), *f.answer)
		case n.h != nil && w.holder == f.to:
			if a, ok := n.h.Report(w.local(n), fmt.Sprint(f.from), *f.report); ok {
				w.send(frame{from: f.to, to: f.from, answer: &a})
			}
		}
	}
	w.judge()
}

func (w *world) judge() {
	sum := 0.0
	for _, n := range w.nodes {
		rate, _ := n.m.Rate(w.local(n))
		sum += rate
	}
	if sum > w.limit*(1+1e-9) && w.breach == "" {
		w.breach = fmt.Sprintf("%v: all may send %.3f a second, the limit is %.0f", time.Duration(w.now), sum, w.limit)
	}
}

// play plays 40 s with faults of those kinds: a member cut off, one stopped, frames lost and late, the duty handed on.
func play(seed uint64, terms Terms, guards Break, kinds ...int) *world {
	w := newWorld(seed, terms, 40, guards)
	busy := make([]float64, terms.Members)
	w.demands = func(w *world, i int) float64 { return busy[i] }
	nextFault, lossUntil, handAt := int64(1000*ms), int64(0), int64(0)
	for w.now < 40_000*ms && w.breach == "" {
		if w.now%(700*ms) == 0 { // demand moves wholly
			clear(busy)
			busy[w.rng.IntN(len(busy))] = 60
			busy[w.rng.IntN(len(busy))] += 20
		}
		if w.holder < 0 && w.now >= handAt {
			w.hand(w.rng.IntN(len(w.nodes)), terms)
		}
		if w.now >= nextFault {
			nextFault = w.now + (200+w.rng.Int64N(1500))*ms
			n, span := w.nodes[w.rng.IntN(len(w.nodes))], (50+w.rng.Int64N(2500))*ms
			switch kinds[w.rng.IntN(len(kinds))] {
			case 0:
				n.cut = w.now + span
			case 1:
				n.stopped = w.now + span
			case 2:
				lossUntil = w.now + span
			case 3:
				if w.holder >= 0 {
					w.fall()
					handAt = w.now + w.rng.Int64N(100*ms)
				}
			}
		}
		w.loss = w.now < lossUntil
		w.step(10 * ms)
	}
	return w
}

// TestNeverOverTheLimit: whoever is cut off, stopped or replaced, and however demand moves, the sum of what all members
// may send is at most the limit at every moment. SLIPTIDE_SCHEDULES sets how many schedules.
func TestNeverOverTheLimit(t *testing.T) {
	if os.Getenv("SLIPTIDE_SCHEDULES") == "" {
		flag.Set("rapid.checks", "60")
	} else {
		flag.Set("rapid.checks", os.Getenv("SLIPTIDE_SCHEDULES"))
	}
	flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		if w := play(rapid.Uint64().Draw(t, "seed"), terms, 0, 0, 1, 2, 3); w.breach != "" {
			t.Fatal(w.breach)
		}
	})
}

// TestForgottenAnswer: an answer whose time is over is forgotten, but its member may take it still, late, and be back at
// its even part: an earlier one that it told of does not bind it then.
func TestForgottenAnswer(t *testing.T) {
	if w := play(0xdf8695eca, terms, 0, 0, 1, 2, 3); w.breach != "" {
		t.Error(w.breach)
	}
}

// TestGuards takes each guard out in turn: some schedule must show it.
func TestGuards(t *testing.T) {
	for name, c := range map[string]struct {
		guard Break
		kinds []int
	}{
		"what binds counts from the report":              {BreakBind, []int{0, 1, 2}},
		"what is lent counts from the answer":            {BreakRaise, []int{0, 1, 2}},
		"members are relied on that did not say so":      {BreakConfirm, []int{0, 1, 2}},
		"a holder that takes over divides at once":       {BreakWait, []int{3}},
		"answers of older tokens are taken":              {BreakToken, []int{2, 3}},
		"nobody allows for clocks that are fast or slow": {BreakDrift, []int{0, 1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			with := terms
			if c.guard == BreakDrift {
				with.Drift = 0.2
			}
			for seed := range uint64(400) {
				if w := play(seed, with, 0, c.kinds...); w.breach != "" {
					t.Fatalf("with all guards in: %s", w.breach)
				}
				if w := play(seed, with, c.guard, c.kinds...); w.breach != "" {
					t.Logf("found by schedule %d: %s", seed, w.breach)
					return
				}
			}
			t.Error("400 schedules do not find that the guard is out")
		})
	}
}

// goodput plays 30 s of a load, and returns what was sent with shares, in even parts, and by an oracle that knows all
// demand at once, each as part of the load, and how long a member that wakes waits for its due.
func goodput(n int, limit float64, load func(now int64, i int) float64) (shared, even, oracle, reports float64) {
	t := Terms{Members: n, Length: 2000 * ms, Raise: 600 * ms, Drift: 0.05}
	w := newWorld(uint64(n), t, limit, 0)
	w.hand(0, t)
	const dt = 10 * ms
	backlogS, backlogE := make([]float64, n), make([]float64, n)
	backlogO, asked := 0.0, 0.0
	w.demands = func(w *world, i int) float64 { return load(w.now, i) + backlogS[i] }
	hold := 2.0 // seconds of load that a backlog may be: what waits longer is given up
	for w.now < 33_000*ms {
		w.step(dt)
		sec := float64(dt) / 1e9
		counts := w.now > 3000*ms
		for i, node := range w.nodes {
			in := load(w.now, i) * sec
			rate, _ := node.m.Rate(w.local(node))
			serve := func(b *float64, rate float64, sum *float64) {
				*b = min(*b+in, max(hold*load(w.now, i), *b))
				out := min(*b, rate*sec)
				*b -= out
				if counts {
					*sum += out
				}
			}
			serve(&backlogS[i], rate, &shared)
			serve(&backlogE[i], t.Even(limit), &even)
			backlogO += in
			if counts {
				asked += in
			}
		}
		out := min(backlogO, limit*sec)
		backlogO = min(backlogO-out, hold*limit)
		if counts {
			oracle += out
		}
	}
	return shared / asked, even / asked, oracle / asked, float64(w.reports) / (float64(w.now) / 1e9)
}

// TestGoodput: shares come to what an oracle would send, within a few hundredths, where even parts leave much unsent.
func TestGoodput(t *testing.T) {
	sizes := []int{3, 30}
	if os.Getenv("SLIPTIDE_MEASURE") != "" {
		sizes = append(sizes, 300)
	}
	const limit = 40.0
	for _, n := range sizes {
		for _, c := range []struct {
			name  string
			least float64 // of the oracle's
			load  func(now int64, i int) float64
		}{
			{"even demand", 0.97, func(_ int64, i int) float64 { return 0.9 * limit / float64(n) }},
			{"one has six tenths", 0.97, func(_ int64, i int) float64 {
				if i == 1 {
					return 0.6 * 0.9 * limit
				}
				return 0.4 * 0.9 * limit / float64(n-1)
			}},
			{"a third has all", 0.97, func(_ int64, i int) float64 {
				if i%3 == 1 {
					return 0.9 * limit / float64((n+1)/3)
				}
				return 0
			}},
			{"it moves each second", 0.9, func(now int64, i int) float64 {
				if int(now/(1000*ms))%n == i {
					return 0.9 * limit
				}
				return 0
			}},
		} {
			shared, even, oracle, reports := goodput(n, limit, c.load)
			t.Logf("%3d members, %-18s: shared %.3f, even parts %.3f, oracle %.3f; shared is %.3f of the oracle's; %.0f reports a second", n, c.name, shared, even, oracle, shared/oracle, reports)
			if shared < c.least*oracle || shared < even-0.02 {
				t.Errorf("%d members, %s: %.3f, the oracle sends %.3f, even parts %.3f", n, c.name, shared, oracle, even)
			}
		}
	}
}
