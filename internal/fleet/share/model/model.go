// Package model simulates the sharing of a limit under faults: members with clocks that run fast or slow, links that
// delay, lose and reorder frames, members that are cut off or stopped, and a duty that moves between members. At every
// step it compares the sum of all members' rates with the limit. It is for tests and measurements; the program does not
// use it.
package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sliptide/internal/fleet/share"
)

const ms = int64(time.Millisecond)

var terms = share.Terms{Members: 5, BindDuration: 2000 * ms, RaiseDuration: 600 * ms, Drift: 0.05}

// World is a simulated fleet whose members share one limit.
type World struct {
	rng       *rand.Rand
	now       int64
	limit     float64
	nodes     []*node
	holder    int // index of the node that holds the duty; -1: none
	token     uint64
	frames    []frame
	lossy     bool
	violation string
	skip      share.Skip
	reports   int
	demand    func(w *World, i int) float64
}

type node struct {
	clockRate    float64 // of its clock against the simulated time
	clockOffset  int64
	member       *share.Member
	holder       *share.Holder // nil: it has never held the duty
	cutUntil     int64         // cut off until this time
	stoppedUntil int64         // stopped until this time
}

type frame struct {
	at       int64
	from, to int
	report   *share.Report
	answer   *share.Answer
}

func newWorld(seed uint64, t share.Terms, limit float64, skip share.Skip) *World {
	w := &World{rng: rand.New(rand.NewPCG(seed, 3)), limit: limit, holder: -1, skip: skip}
	for range t.Members {
		n := &node{clockRate: 1 + t.Drift*(2*w.rng.Float64()-1), clockOffset: w.rng.Int64N(1e12), member: share.NewMember(t)}
		n.member.SetLimit(limit)
		n.member.Skip = skip
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *World) localTime(n *node) int64 { return n.clockOffset + int64(float64(w.now)*n.clockRate) }

// grantDuty gives the duty to a member. It is called when the duty has no holder.
func (w *World) grantDuty(to int, t share.Terms) {
	w.holder, w.token = to, w.token+1
	n := w.nodes[to]
	n.holder = share.NewHolder(t, w.token, w.localTime(n))
	n.holder.Skip = w.skip
}

// endLease ends the holder's lease. Its state as a holder stays, but it no longer answers reports.
func (w *World) endLease() { w.holder = -1 }

func (w *World) send(f frame) {
	if w.lossy && w.rng.IntN(4) == 0 {
		return
	}
	f.at = w.now + w.rng.Int64N(20*ms)
	if w.lossy && w.rng.IntN(5) == 0 {
		f.at += w.rng.Int64N(3000 * ms)
	}
	w.frames = append(w.frames, f)
}

func (w *World) step(dt int64) {
	w.now += dt
	for i, n := range w.nodes {
		if w.now < n.stoppedUntil || w.holder < 0 || !n.member.ReportDue(w.localTime(n), w.demand(w, i)) {
			continue
		}
		r := n.member.Report(w.localTime(n), w.demand(w, i))
		w.reports++
		w.send(frame{from: i, to: w.holder, report: &r})
	}
	var later, due []frame
	for _, f := range w.frames {
		if f.at > w.now || w.now < w.nodes[f.to].stoppedUntil {
			later = append(later, f)
		} else {
			due = append(due, f)
		}
	}
	w.frames = later
	for _, f := range due {
		if w.now < w.nodes[f.to].cutUntil || w.now < w.nodes[f.from].cutUntil {
			continue
		}
		n := w.nodes[f.to]
		switch {
		case f.answer != nil:
			n.member.HandleAnswer(w.localTime(n), *f.answer)
		case n.holder != nil && w.holder == f.to:
			if a, ok := n.holder.HandleReport(w.localTime(n), fmt.Sprint(f.from), *f.report); ok {
				w.send(frame{from: f.to, to: f.from, answer: &a})
			}
		}
	}
	w.checkTotal()
}

func (w *World) checkTotal() {
	sum := 0.0
	for _, n := range w.nodes {
		rate, _ := n.member.Rate(w.localTime(n))
		sum += rate
	}
	if sum > w.limit*(1+1e-9) && w.violation == "" {
		w.violation = fmt.Sprintf("%v: all members together may send %.3f per second, the limit is %.0f", time.Duration(w.now), sum, w.limit)
	}
}

// runSchedule simulates 40 s with faults of the given kinds: a member cut off (0), one stopped (1), frames lost and
// late (2), the duty moved to another member (3).
func runSchedule(seed uint64, terms share.Terms, skip share.Skip, kinds ...int) *World {
	w := newWorld(seed, terms, 40, skip)
	demands := make([]float64, terms.Members)
	w.demand = func(w *World, i int) float64 { return demands[i] }
	nextFault, lossUntil, grantAt := int64(1000*ms), int64(0), int64(0)
	for w.now < 40_000*ms && w.violation == "" {
		if w.now%(700*ms) == 0 { // all demand moves to one or two members
			clear(demands)
			demands[w.rng.IntN(len(demands))] = 60
			demands[w.rng.IntN(len(demands))] += 20
		}
		if w.holder < 0 && w.now >= grantAt {
			w.grantDuty(w.rng.IntN(len(w.nodes)), terms)
		}
		if w.now >= nextFault {
			nextFault = w.now + (200+w.rng.Int64N(1500))*ms
			n, duration := w.nodes[w.rng.IntN(len(w.nodes))], (50+w.rng.Int64N(2500))*ms
			switch kinds[w.rng.IntN(len(kinds))] {
			case 0:
				n.cutUntil = w.now + duration
			case 1:
				n.stoppedUntil = w.now + duration
			case 2:
				lossUntil = w.now + duration
			case 3:
				if w.holder >= 0 {
					w.endLease()
					grantAt = w.now + w.rng.Int64N(100*ms)
				}
			}
		}
		w.lossy = w.now < lossUntil
		w.step(10 * ms)
	}
	return w
}

// goodput simulates 33 s of a load and measures the last 30 s. It returns what was sent with shares, with even parts,
// and by an oracle that knows all demand at once, each as a fraction of the load, and the number of reports per second
// over all 33 s.
func goodput(n int, limit float64, load func(now int64, i int) float64) (shared, even, oracle, reports float64) {
	t := share.Terms{Members: n, BindDuration: 2000 * ms, RaiseDuration: 600 * ms, Drift: 0.05}
	w := newWorld(uint64(n), t, limit, 0)
	w.grantDuty(0, t)
	const dt = 10 * ms
	sharedBacklog, evenBacklog := make([]float64, n), make([]float64, n)
	oracleBacklog, offered := 0.0, 0.0
	w.demand = func(w *World, i int) float64 { return load(w.now, i) + sharedBacklog[i] }
	maxBacklogSeconds := 2.0 // a backlog of more seconds of the load, or for the oracle of the limit, is abandoned
	for w.now < 33_000*ms {
		w.step(dt)
		seconds := float64(dt) / 1e9
		counted := w.now > 3000*ms
		if w.now == 3000*ms { // the backlog from before the first shares does not count
			clear(sharedBacklog)
			clear(evenBacklog)
			oracleBacklog = 0
		}
		for i, node := range w.nodes {
			in := load(w.now, i) * seconds
			rate, _ := node.member.Rate(w.localTime(node))
			serve := func(b *float64, rate float64, sum *float64) {
				*b = min(*b+in, max(maxBacklogSeconds*load(w.now, i), *b))
				out := min(*b, rate*seconds)
				*b -= out
				if counted {
					*sum += out
				}
			}
			serve(&sharedBacklog[i], rate, &shared)
			serve(&evenBacklog[i], t.EvenShare(limit), &even)
			oracleBacklog += in
			if counted {
				offered += in
			}
		}
		out := min(oracleBacklog, limit*seconds)
		oracleBacklog = min(oracleBacklog-out, maxBacklogSeconds*limit)
		if counted {
			oracle += out
		}
	}
	return shared / offered, even / offered, oracle / offered, float64(w.reports) / (float64(w.now) / 1e9)
}
