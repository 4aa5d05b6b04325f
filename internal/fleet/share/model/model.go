// Package model runs the sharing of a limit in a world of faults: members with clocks that run fast or slow, links that
// delay, lose and reorder, members that are cut off and stopped, and a duty that is handed on. At every step the sum of
// what all may send is held against the limit. It is for tests and figures; nothing of the program uses it.
package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sliptide/internal/fleet/share"
)

const ms = int64(time.Millisecond)

var terms = share.Terms{Members: 5, BindDuration: 2000 * ms, RaiseDuration: 600 * ms, Drift: 0.05}

type World struct {
	rng     *rand.Rand
	now     int64
	limit   float64
	nodes   []*node
	holder  int // who holds the duty; -1: nobody
	token   uint64
	frames  []frame
	loss    bool
	breach  string
	guards  share.Break
	reports int
	demands func(w *World, i int) float64
}

type node struct {
	rate    float64
	offset  int64
	m       *share.Member
	h       *share.Holder
	cut     int64 // until then
	stopped int64
}

type frame struct {
	at       int64
	from, to int
	report   *share.Report
	answer   *share.Answer
}

func newWorld(seed uint64, t share.Terms, limit float64, guards share.Break) *World {
	w := &World{rng: rand.New(rand.NewPCG(seed, 3)), limit: limit, holder: -1, guards: guards}
	for range t.Members {
		n := &node{rate: 1 + t.Drift*(2*w.rng.Float64()-1), offset: w.rng.Int64N(1e12), m: share.NewMember(t)}
		n.m.SetLimit(limit)
		n.m.Break = guards
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *World) local(n *node) int64 { return n.offset + int64(float64(w.now)*n.rate) }

// hand gives the duty to a member, once nobody holds it any more.
func (w *World) hand(to int, t share.Terms) {
	w.holder, w.token = to, w.token+1
	n := w.nodes[to]
	n.h = share.NewHolder(t, w.token, w.local(n))
	n.h.Break = w.guards
}

// fall ends the holder's lease without its knowledge of anything but that.
func (w *World) fall() { w.holder = -1 }

func (w *World) send(f frame) {
	if w.loss && w.rng.IntN(4) == 0 {
		return
	}
	f.at = w.now + w.rng.Int64N(20*ms)
	if w.loss && w.rng.IntN(5) == 0 {
		f.at += w.rng.Int64N(3000 * ms)
	}
	w.frames = append(w.frames, f)
}

func (w *World) step(dt int64) {
	w.now += dt
	for i, n := range w.nodes {
		if w.now < n.stopped || w.holder < 0 || !n.m.ReportDue(w.local(n), w.demands(w, i)) {
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
			n.m.HandleAnswer(w.local(n), *f.answer)
		case n.h != nil && w.holder == f.to:
			if a, ok := n.h.HandleReport(w.local(n), fmt.Sprint(f.from), *f.report); ok {
				w.send(frame{from: f.to, to: f.from, answer: &a})
			}
		}
	}
	w.judge()
}

func (w *World) judge() {
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
func play(seed uint64, terms share.Terms, guards share.Break, kinds ...int) *World {
	w := newWorld(seed, terms, 40, guards)
	busy := make([]float64, terms.Members)
	w.demands = func(w *World, i int) float64 { return busy[i] }
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

// goodput plays 30 s of a load, and returns what was sent with shares, in even parts, and by an oracle that knows all
// demand at once, each as part of the load, and how long a member that wakes waits for its due.
func goodput(n int, limit float64, load func(now int64, i int) float64) (shared, even, oracle, reports float64) {
	t := share.Terms{Members: n, BindDuration: 2000 * ms, RaiseDuration: 600 * ms, Drift: 0.05}
	w := newWorld(uint64(n), t, limit, 0)
	w.hand(0, t)
	const dt = 10 * ms
	backlogS, backlogE := make([]float64, n), make([]float64, n)
	backlogO, asked := 0.0, 0.0
	w.demands = func(w *World, i int) float64 { return load(w.now, i) + backlogS[i] }
	hold := 2.0 // seconds of load that a backlog may be: what waits longer is given up
	for w.now < 33_000*ms {
		w.step(dt)
		sec := float64(dt) / 1e9
		counts := w.now > 3000*ms
		if w.now == 3000*ms { // what piled up before the first shares does not count
			clear(backlogS)
			clear(backlogE)
			backlogO = 0
		}
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
			serve(&backlogE[i], t.EvenShare(limit), &even)
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
