package world

import (
	"math"

	"sliptide/policy"
)

// partner is one destination. Its endpoints share its capacity and, unless they have limits of their own, its
// limit.
type partner struct {
	w         *World
	id        int
	endpoints []*station
	limits    []*limiter // one, or one for each endpoint
	limit     float64
	downs     int // endpoints that are down
	backAt    float64
	hotSince  float64 // over its tipping point since
	fallen    int     // outages that are over by themselves
	busyUntil float64 // its work is done then: a fluid queue
	waitUntil float64 // told to those that ask while it is down
	rate      window
}

// station is one endpoint.
type station struct {
	id      uint32
	partner *partner
	limiter *limiter
	down    bool
	conns   int
}

// window counts what came in the last second.
type window struct {
	at []float64
}

func (r *window) add(now float64) int {
	drop := 0
	for drop < len(r.at) && r.at[drop] <= now-1000 {
		drop++
	}
	r.at = append(r.at[:copy(r.at, r.at[drop:])], now)
	return len(r.at)
}

// limiter is a stated limit: calls in any second, or in spans.
type limiter struct {
	rate float64
	win  window
	span float64
	n    int
	from float64
}

// take counts a call; wait > 0: it is over the limit, and is told that. A call that is refused uses nothing up.
func (l *limiter) take(now float64) (wait float64) {
	if l.span <= 0 {
		if n := l.win.add(now); float64(n) > l.rate {
			l.win.at = l.win.at[:n-1]
			return 300
		}
		return 0
	}
	if from := math.Floor(now/l.span) * l.span; from != l.from {
		l.from, l.n = from, 0
	}
	if float64(l.n) >= l.rate*l.span/1000 {
		return l.from + l.span - now
	}
	l.n++
	return 0
}

func newPartner(w *World, id int) *partner {
	p := &partner{w: w, id: id, limit: w.p.limitOf(), backAt: math.Inf(-1), hotSince: math.Inf(1)}
	routes := 1
	if w.p.OwnLimits {
		routes = w.p.Endpoints
	}
	for range routes {
		p.limits = append(p.limits, &limiter{rate: p.limit / float64(routes), span: w.p.LimitWindow})
	}
	for i := range w.p.Endpoints {
		p.endpoints = append(p.endpoints, &station{id: uint32(id*w.p.Endpoints+i) + 1, partner: p, limiter: p.limits[i%routes]})
	}
	return p
}

// capacity is the calls a second that the partner can do now.
func (p *partner) capacity(now float64) float64 {
	share := 1.0
	if p.w.p.WarmUpDuration > 0 {
		share = min(p.w.p.ColdCapacity+(1-p.w.p.ColdCapacity)*(now-p.backAt)/p.w.p.WarmUpDuration, 1)
	}
	return max(p.limit*p.w.p.Headroom*share, 0.1)
}

// fall takes endpoints down for a while.
func (p *partner) fall(now, length, share float64) {
	n := int(math.Ceil(share * float64(len(p.endpoints))))
	for _, s := range p.endpoints[:n] {
		if !s.down {
			s.down = true
			p.downs++
		}
	}
	p.waitUntil = now + length
	p.w.queue.push(event{at: now + length, kind: evReturn, n: p.id})
	if p.w.p.DelistsDown {
		p.w.spread(now, p.id)
	}
}

// rise brings the partner back, cold.
func (p *partner) rise(now float64) {
	if p.waitUntil > now+1e-6 { // it has fallen again meanwhile
		return
	}
	if p.downs == len(p.endpoints) {
		p.backAt = now
	}
	for _, s := range p.endpoints {
		s.down = false
	}
	p.downs, p.busyUntil, p.hotSince = 0, now, math.Inf(1)
	if p.w.p.DelistsDown {
		p.w.spread(now, p.id)
	}
}

// answer is how a call fares that reaches an endpoint, and how long until its answer is written.
func (s *station) answer(now float64, items int) (o policy.Outcome, wait, after float64) {
	p := s.partner
	p.w.counts(now, p).Calls++
	n := p.rate.add(now)
	latency := p.w.latency.Rand()
	if s.down {
		switch p.w.p.OutageKind {
		case RefusesConnections:
			return policy.ConnectFailed, 0, 0
		case NeverAnswers:
			return policy.Timeout, 0, math.Inf(1)
		case AnswersErrors:
			return policy.Error, 0, latency
		default:
			return policy.Full, max(p.waitUntil-now, 1), latency
		}
	}
	p.tip(now, n)
	if s.down { // that was the call too many
		return policy.Reset, 0, 1
	}
	if wait = s.limiter.take(now); wait > 0 {
		return policy.Full, math.Ceil(wait), min(latency, 5)
	}
	c := p.capacity(now)
	p.busyUntil = max(p.busyUntil, now)
	if p.busyUntil-now > p.w.p.MaxQueue {
		return policy.Full, 0, min(latency, 5)
	}
	p.busyUntil += 1000 / c
	return policy.OK, 0, p.busyUntil - now + latency + 2*float64(items-1)
}

// tip pushes the partner over if it has had too much for too long.
func (p *partner) tip(now float64, lastSecond int) {
	if p.w.p.OverloadOutage <= 0 || float64(lastSecond) <= p.w.p.OverloadMultiple*p.capacity(now) {
		p.hotSince = math.Inf(1)
		return
	}
	p.hotSince = min(p.hotSince, now)
	if now-p.hotSince >= p.w.p.OverloadWindow {
		p.fallen++
		p.fall(now, p.w.p.OverloadOutage, 1)
	}
}

// report is what an answer tells of the limit.
func (s *station) report() []float64 {
	if !s.partner.w.p.ReportsLimit {
		return nil
	}
	return []float64{0.5, s.limiter.rate}
}
