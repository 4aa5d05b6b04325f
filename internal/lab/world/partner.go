package world

import (
	"math"

	"sliptide/policy"
)

// partner is one destination. Its endpoints share its capacity and, unless they have limits of their own, its
// limit.
type partner struct {
	w               *World
	id              int
	endpoints       []*endpoint
	limiters        []*limiter // one, or one for each endpoint
	limit           float64
	downCount       int // endpoints that are down
	returnedAt      float64
	overloadedSince float64 // over its tipping point since
	overloads       int     // outages that are over by themselves
	busyUntil       float64 // its work is done then: a fluid queue
	downUntil       float64 // told to those that ask while it is down
	lastSecond      slidingWindow
}

// station is one endpoint.
type endpoint struct {
	id      uint32
	partner *partner
	limiter *limiter
	down    bool
	conns   int
}

// window counts what came in the last second.
type slidingWindow struct {
	at []float64
}

func (w *slidingWindow) add(now float64) int {
	expired := 0
	for expired < len(w.at) && w.at[expired] <= now-1000 {
		expired++
	}
	w.at = append(w.at[:copy(w.at, w.at[expired:])], now)
	return len(w.at)
}

// limiter is a stated limit: calls in any second, or in spans.
type limiter struct {
	rate        float64
	lastSecond  slidingWindow
	window      float64
	count       int
	windowStart float64
}

// take counts a call; wait > 0: it is over the limit, and is told that. A call that is refused uses nothing up.
func (l *limiter) admit(now float64) (requestedWait float64) {
	if l.window <= 0 {
		if n := l.lastSecond.add(now); float64(n) > l.rate {
			l.lastSecond.at = l.lastSecond.at[:n-1]
			return 300
		}
		return 0
	}
	if from := math.Floor(now/l.window) * l.window; from != l.windowStart {
		l.windowStart, l.count = from, 0
	}
	if float64(l.count) >= l.rate*l.window/1000 {
		return l.windowStart + l.window - now
	}
	l.count++
	return 0
}

func newPartner(w *World, id int) *partner {
	p := &partner{w: w, id: id, limit: w.params.partnerLimit(), returnedAt: math.Inf(-1), overloadedSince: math.Inf(1)}
	routes := 1
	if w.params.OwnLimits {
		routes = w.params.Endpoints
	}
	for range routes {
		p.limiters = append(p.limiters, &limiter{rate: p.limit / float64(routes), window: w.params.LimitWindow})
	}
	for i := range w.params.Endpoints {
		p.endpoints = append(p.endpoints, &endpoint{id: uint32(id*w.params.Endpoints+i) + 1, partner: p, limiter: p.limiters[i%routes]})
	}
	return p
}

// capacity is the calls a second that the partner can do now.
func (p *partner) capacity(now float64) float64 {
	share := 1.0
	if p.w.params.WarmUpDuration > 0 {
		share = min(p.w.params.ColdCapacity+(1-p.w.params.ColdCapacity)*(now-p.returnedAt)/p.w.params.WarmUpDuration, 1)
	}
	return max(p.limit*p.w.params.Headroom*share, 0.1)
}

// fall takes endpoints down for a while.
func (p *partner) goDown(now, length, share float64) {
	n := int(math.Ceil(share * float64(len(p.endpoints))))
	for _, e := range p.endpoints[:n] {
		if !e.down {
			e.down = true
			p.downCount++
		}
	}
	p.downUntil = now + length
	p.w.queue.push(event{at: now + length, kind: evReturn, n: p.id})
	if p.w.params.DelistsDown {
		p.w.sendListUpdates(now, p.id)
	}
}

// rise brings the partner back, cold.
func (p *partner) comeBack(now float64) {
	if p.downUntil > now+1e-6 { // it has fallen again meanwhile
		return
	}
	if p.downCount == len(p.endpoints) {
		p.returnedAt = now
	}
	for _, e := range p.endpoints {
		e.down = false
	}
	p.downCount, p.busyUntil, p.overloadedSince = 0, now, math.Inf(1)
	if p.w.params.DelistsDown {
		p.w.sendListUpdates(now, p.id)
	}
}

// answer is how a call fares that reaches an endpoint, and how long until its answer is written.
func (e *endpoint) handleCall(now float64, items int) (o policy.Outcome, requestedWait, delay float64) {
	p := e.partner
	p.w.countersFor(now, p).Calls++
	n := p.lastSecond.add(now)
	latency := p.w.latency.Rand()
	if e.down {
		switch p.w.params.OutageKind {
		case RefusesConnections:
			return policy.ConnectFailed, 0, 0
		case NeverAnswers:
			return policy.Timeout, 0, math.Inf(1)
		case AnswersErrors:
			return policy.Error, 0, latency
		default:
			return policy.Full, max(p.downUntil-now, 1), latency
		}
	}
	p.checkOverload(now, n)
	if e.down { // that was the call too many
		return policy.Reset, 0, 1
	}
	if requestedWait = e.limiter.admit(now); requestedWait > 0 {
		return policy.Full, math.Ceil(requestedWait), min(latency, 5)
	}
	c := p.capacity(now)
	p.busyUntil = max(p.busyUntil, now)
	if p.busyUntil-now > p.w.params.MaxQueue {
		return policy.Full, 0, min(latency, 5)
	}
	p.busyUntil += 1000 / c
	return policy.OK, 0, p.busyUntil - now + latency + 2*float64(items-1)
}

// tip pushes the partner over if it has had too much for too long.
func (p *partner) checkOverload(now float64, lastSecond int) {
	if p.w.params.OverloadOutage <= 0 || float64(lastSecond) <= p.w.params.OverloadMultiple*p.capacity(now) {
		p.overloadedSince = math.Inf(1)
		return
	}
	p.overloadedSince = min(p.overloadedSince, now)
	if now-p.overloadedSince >= p.w.params.OverloadWindow {
		p.overloads++
		p.goDown(now, p.w.params.OverloadOutage, 1)
	}
}

// report is what an answer tells of the limit.
func (e *endpoint) loadReport() []float64 {
	if !e.partner.w.params.ReportsLimit {
		return nil
	}
	return []float64{0.5, e.limiter.rate}
}
