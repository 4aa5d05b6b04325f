package world

import (
	"math"

	"sliptide/policy"
)

// partner is one destination. Its endpoints share its capacity and, unless they have limits of their own, its limit.
type partner struct {
	world           *World
	id              int
	endpoints       []*endpoint
	limiters        []*limiter // one, or one for each endpoint
	limit           float64
	downCount       int           // endpoints that are down
	returnedAt      float64       // end of the last outage of all endpoints: the warm-up starts then
	overloadedSince float64       // +Inf: not overloaded
	overloads       int           // collapses so far
	busyUntil       float64       // when the queued work is done (fluid queue)
	downUntil       float64       // end of the last outage, up to which the answers of RequestsWait request a wait
	lastSecond      slidingWindow // calls that arrived, for checkOverload
}

// endpoint is one endpoint of a partner.
type endpoint struct {
	id      uint32
	partner *partner
	limiter *limiter
	down    bool
	conns   int
}

// slidingWindow holds the times of the events of the last second.
type slidingWindow struct {
	at []float64
}

// add records an event and returns the number of events in the last second.
func (w *slidingWindow) add(now float64) int {
	expired := 0
	for expired < len(w.at) && w.at[expired] <= now-1000 {
		expired++
	}
	w.at = append(w.at[:copy(w.at, w.at[expired:])], now)
	return len(w.at)
}

// limiter enforces a stated limit on the calls in any second, or in fixed windows.
type limiter struct {
	rate        float64 // calls per second
	lastSecond  slidingWindow
	window      float64 // length of the fixed windows; 0: any second
	count       int     // calls in the current window
	windowStart float64 // of the current window
}

// admit returns 0 if it admits a call, and otherwise the wait in milliseconds that the refusal requests. Refused calls
// do not count towards the limit.
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

// newPartner returns a partner that is up and warm. Endpoint IDs start at 1 and are unique over all partners.
func newPartner(w *World, id int) *partner {
	p := &partner{world: w, id: id, limit: w.params.partnerLimit(), returnedAt: math.Inf(-1), overloadedSince: math.Inf(1)}
	limiterCount := 1
	if w.params.OwnLimits {
		limiterCount = w.params.Endpoints
	}
	for range limiterCount {
		p.limiters = append(p.limiters, &limiter{rate: p.limit / float64(limiterCount), window: w.params.LimitWindow})
	}
	for i := range w.params.Endpoints {
		p.endpoints = append(p.endpoints, &endpoint{id: uint32(id*w.params.Endpoints+i) + 1, partner: p,
			limiter: p.limiters[i%limiterCount]})
	}
	return p
}

// capacity returns the calls per second that the partner can process now.
func (p *partner) capacity(now float64) float64 {
	share := 1.0
	if p.world.params.WarmUpDuration > 0 {
		share = min(p.world.params.ColdCapacity+
			(1-p.world.params.ColdCapacity)*(now-p.returnedAt)/p.world.params.WarmUpDuration, 1)
	}
	return max(p.limit*p.world.params.Headroom*share, 0.1)
}

// goDown takes a share of the endpoints, rounded up, down for the given time in milliseconds.
func (p *partner) goDown(now, length, share float64) {
	n := int(math.Ceil(share * float64(len(p.endpoints))))
	for _, e := range p.endpoints[:n] {
		if !e.down {
			e.down = true
			p.downCount++
		}
	}
	p.downUntil = now + length
	p.world.queue.push(event{at: now + length, kind: evReturn, arg: p.id})
	if p.world.params.DelistsDown {
		p.world.sendListUpdates(now, p.id)
	}
}

// comeBack ends an outage; the partner starts cold if all of its endpoints were down.
func (p *partner) comeBack(now float64) {
	if p.downUntil > now+1e-6 { // a later outage has begun meanwhile
		return
	}
	if p.downCount == len(p.endpoints) {
		p.returnedAt = now
	}
	for _, e := range p.endpoints {
		e.down = false
	}
	p.downCount, p.busyUntil, p.overloadedSince = 0, now, math.Inf(1)
	if p.world.params.DelistsDown {
		p.world.sendListUpdates(now, p.id)
	}
}

// handleCall returns the outcome of a call that reaches the endpoint, the wait that its answer requests, and the
// delay until the answer is written (+Inf: no answer). An answer that refuses a call over the limit or the queue takes
// 5 ms at most. In a call that is processed, each message after the first adds 2 ms.
func (e *endpoint) handleCall(now float64, items int) (o policy.Outcome, requestedWait, delay float64) {
	p := e.partner
	p.world.countersFor(now, p).Calls++
	n := p.lastSecond.add(now)
	latency := p.world.latency.Rand()
	if e.down {
		switch p.world.params.OutageKind {
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
	if e.down { // this call made the partner collapse
		return policy.Reset, 0, 1
	}
	if requestedWait = e.limiter.admit(now); requestedWait > 0 {
		return policy.Full, math.Ceil(requestedWait), min(latency, 5)
	}
	c := p.capacity(now)
	p.busyUntil = max(p.busyUntil, now)
	if p.busyUntil-now > p.world.params.MaxQueue {
		return policy.Full, 0, min(latency, 5)
	}
	p.busyUntil += 1000 / c
	return policy.OK, 0, p.busyUntil - now + latency + 2*float64(items-1)
}

// checkOverload makes the partner collapse if it has been overloaded for OverloadWindow, given the number of calls that
// arrived in the last second. All of its endpoints go down then.
func (p *partner) checkOverload(now float64, lastSecond int) {
	if p.world.params.OverloadOutage <= 0 || float64(lastSecond) <= p.world.params.OverloadMultiple*p.capacity(now) {
		p.overloadedSince = math.Inf(1)
		return
	}
	p.overloadedSince = min(p.overloadedSince, now)
	if now-p.overloadedSince >= p.world.params.OverloadWindow {
		p.overloads++
		p.goDown(now, p.world.params.OverloadOutage, 1)
	}
}

// loadReport returns the load report of an answer, nil if answers carry none. The limit is at index 1, as in
// senderSettings; senders ignore the value at index 0.
func (e *endpoint) loadReport() []float64 {
	if !e.partner.world.params.ReportsLimit {
		return nil
	}
	return []float64{0.5, e.limiter.rate}
}
