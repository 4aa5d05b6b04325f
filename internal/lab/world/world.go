package world

import (
	"math"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"

	"sliptide/policy"
)

// Second is what one second of a run saw at partner 0.
type Second struct {
	Submitted int // new messages for it
	Delivered int
	Calls     int // that reached it
	Retries   int // second tries by clients
	Refusals  int
}

// Run is what a run has come to. Latencies are milliseconds from a message's first hand-in to its delivery.
type Run struct {
	Seed            uint64
	Events          uint64
	Seconds         []Second // of partner 0
	Submitted       int
	Delivered       int
	Retries         int
	Refusals        int
	RunTwice        int // messages that ran more than once
	Overloads       int // times that a partner was pushed over
	Limit           float64
	AffectedLatency *hdrhistogram.Histogram // of partner 0
	OtherLatency    *hdrhistogram.Histogram // of all others
}

// World is one run of the emulator.
type World struct {
	p        Params
	queue    queue
	rng      *rand.Rand
	latency  distuv.LogNormal
	partners []*partner
	stations map[uint32]*station
	nodes    []*node
	keys     uint64
	run      Run
	other    Second // where what befalls other partners is counted
	oracle   map[int]float64
	team     *team // nil: each sender is alone
}

// New returns a world in which nothing has happened yet.
func New(p Params, seed uint64) *World {
	src := rand.NewPCG(seed, 0x1ab)
	w := &World{p: p, rng: rand.New(src), stations: map[uint32]*station{}, oracle: map[int]float64{}}
	// A log-normal of that mean: service times have a tail, and no negative ones.
	w.latency = distuv.LogNormal{Mu: math.Log(p.Latency) - p.LatencySigma*p.LatencySigma/2, Sigma: p.LatencySigma, Src: rand.NewPCG(seed, 0x1a7)}
	w.run = Run{Seed: seed, Seconds: make([]Second, int(p.Duration()/1000)+1), Limit: p.limitOf(),
		AffectedLatency: hdrhistogram.New(1, 600_000, 3), OtherLatency: hdrhistogram.New(1, 600_000, 3)}
	for i := range p.Partners {
		pa := newPartner(w, i)
		w.partners = append(w.partners, pa)
		for _, s := range pa.endpoints {
			w.stations[s.id] = s
		}
	}
	if p.System == Fleet {
		w.team = newTeam(w)
	}
	for i := range p.Senders {
		w.nodes = append(w.nodes, newNode(w, i))
	}
	for _, n := range w.nodes {
		n.list(0, -1)
	}
	w.queue.push(event{at: 1, kind: evArrive})
	if p.Outage > 0 {
		w.queue.push(event{at: p.BeforeOutage, kind: evOutage})
		for i := range min(p.Restarts, p.Senders) {
			w.queue.push(event{at: p.BeforeOutage + p.Outage/2, kind: evRestart, node: w.nodes[i]})
		}
		if p.RelapseDelay > 0 {
			w.queue.push(event{at: p.ReturnTime() + p.RelapseDelay, kind: evOutage, v: p.RelapseDuration})
		}
	}
	return w
}

// Run lets the time pass, and returns what has come of it. stop is asked now and then; it may be nil.
func (w *World) Run(stop func() bool) *Run {
	length := w.p.Duration()
	for len(w.queue.list) > 0 {
		e := w.queue.pop()
		if e.at > length {
			break
		}
		w.run.Events++
		if w.run.Events%(1<<14) == 0 && stop != nil && stop() {
			break
		}
		w.happen(&e)
	}
	for _, p := range w.partners {
		w.run.Overloads += p.fallen
	}
	return &w.run
}

func (w *World) happen(e *event) {
	now := e.at
	switch e.kind {
	case evArrive:
		w.arrive(now)
	case evHandIn:
		w.handIn(now, e.msg)
	case evStep:
		if e.at == e.node.stepAt {
			e.node.step(now)
		}
	case evTimer:
		if uint32(e.n) == e.node.token {
			e.node.events = append(e.node.events, policy.Event{Kind: policy.EvTimer, Token: e.node.token})
			e.node.due(now)
		}
	case evLook:
		e.node.lookAt = now
		e.node.due(now)
	case evDialled:
		w.dialled(now, e.call)
	case evReach:
		w.reach(now, e.call)
	case evEnd:
		e.call.node.ended(now, e.call)
	case evOutage:
		length := e.v
		if length == 0 {
			length = w.p.Outage
		}
		w.partners[0].fall(now, length, w.p.OutageShare)
	case evReturn:
		w.returned(now, w.partners[e.n])
	case evNews:
		e.node.list(now, e.n)
	case evFleet:
		e.do(now)
	case evRestart:
		e.node.restart(now, 600)
	}
}

// returned brings a partner back. New work that has waited elsewhere comes in a clump.
func (w *World) returned(now float64, p *partner) {
	first := p.id == 0 && math.Abs(now-w.p.ReturnTime()) < 1e-6
	if first && w.p.LimitMultipleAfter > 0 {
		p.limit *= w.p.LimitMultipleAfter
		for _, l := range p.limits {
			l.rate *= w.p.LimitMultipleAfter
		}
		w.run.Limit = p.limit
	}
	p.rise(now)
	if first {
		for range int(w.p.ReturnBurst * w.p.Load / float64(w.p.Partners)) {
			w.born(now, 0)
		}
	}
}

// spread lets the news of a partner reach each sender at its own time.
func (w *World) spread(now float64, partner int) {
	for _, n := range w.nodes {
		w.queue.push(event{at: now + w.rng.Float64()*w.p.MaxListDelay, kind: evNews, node: n, n: partner})
	}
}

// dialled brings a connection up, if the endpoint is there and has room.
func (w *World) dialled(now float64, c *call) {
	s := c.at
	switch {
	case c.life != c.node.life:
	case s.down && w.p.OutageKind == NeverAnswers:
		w.end(now, c, policy.ConnectFailed, 0, min(c.node.set.DialTimeout, c.timeout))
	case s.down && w.p.OutageKind == RefusesConnections, w.p.MaxConns > 0 && s.conns >= w.p.MaxConns:
		w.end(now, c, policy.ConnectFailed, 0, 0)
	default:
		s.conns++
		c.reached = true
		w.reach(now, c)
	}
}

// reach is a call's last byte at its endpoint.
func (w *World) reach(now float64, c *call) {
	if c.life != c.node.life {
		return
	}
	c.reached = true
	o, wait, after := c.at.answer(now, len(c.msgs))
	if o == policy.OK {
		for _, m := range c.msgs {
			if m.runs++; m.runs == 2 {
				w.run.RunTwice++
			}
		}
	}
	if limit := c.sentAt + c.timeout - now; after > limit {
		o, wait, after = policy.Timeout, 0, max(limit, 0)
	}
	w.end(now, c, o, wait, after)
}

// end lets a call end at its sender after a time.
func (w *World) end(now float64, c *call, o policy.Outcome, wait, after float64) {
	c.outcome, c.wait = o, wait
	w.queue.push(event{at: now + after, kind: evEnd, call: c})
}

// delivered is a message's end.
func (w *World) delivered(now float64, m *message) {
	if m.done {
		return
	}
	m.done = true
	w.run.Delivered++
	w.counts(now, w.partners[m.partner]).Delivered++
	h := w.run.OtherLatency
	if m.partner == 0 {
		h = w.run.AffectedLatency
	}
	h.RecordValue(int64(math.Round(max(now-m.born, 1))))
}

// counts is where what befalls a partner now is counted.
func (w *World) counts(now float64, p *partner) *Second {
	if i := int(now / 1000); p.id == 0 && i < len(w.run.Seconds) {
		return &w.run.Seconds[i]
	}
	return &w.other
}

// Turn tells the ideal sender when it may call a partner: as fast as the partner can take it, by one who knows
// its state and all other senders. Such a sender cannot be built; it is the physical limit.
func (w *World) NextCallTime(now float64, dest int) (at float64) {
	p := w.partners[dest]
	if p.downs == len(p.endpoints) {
		return max(p.waitUntil, now+1)
	}
	next := w.oracle[dest]
	if next > now {
		return next
	}
	w.oracle[dest] = max(next, now-2) + 1000/min(p.limit, p.capacity(now))
	return now
}

// Up tells the ideal sender whether an endpoint is up.
func (w *World) EndpointUp(endpoint uint32) bool { return !w.stations[endpoint].down }
