// Package storm detects and damps retry storms. When a partner returns from an outage, clients resubmit all
// messages that were refused meanwhile, and every sender has a backlog: together they far exceed the partner's
// limit. For each destination a Guard tracks calls and submissions (calls that fail together, the first success
// after an outage, resubmissions). During a storm it sets the pace of this sender and the rate at which it may
// open connections, and gives each refused message a Retry-After. These times are reservations
// (reservations.go), so that in no second more clients return than can be served.
//
// The package does not decide what is refused, sent or retried: package policy does. It has no clock, no I/O
// and no goroutine; times are milliseconds on the caller's clock, rates are per second. Without a storm it
// sets no limits, and the sender works as if there were no Guard.
package storm

import (
	"math"
	"math/rand/v2"
	"slices"

	"sliptide/policy"
)

// Parameters; docs/design/storms.md gives the reasons for their values. Times are in milliseconds, rates per second.
const (
	// Failed calls in a row, refused ones not counted, from which a destination may be in an outage.
	outageFailures = 3
	// Shortest time without a success that is an outage, given enough failed calls.
	minOutageSilence = 1500.0
	// Failed calls in a row from which a destination is in an outage even if they are refused calls. A refusal shows
	// that the partner is up, so more are needed, over a longer time. During a return they are no sign of an outage:
	// a partner that has just returned is cold and refuses calls.
	outageRefusals = 8
	// Shortest time without a success that is an outage, if outageRefusals calls have failed.
	minRefusalSilence = 4000.0
	// A requested wait longer than this counts as an outage: all senders that received it return at its end.
	minOutageWait = 3000.0
	// Shortest time from the first success to the end of a return.
	minReturnDuration = 10000.0
	// Longest time that a return or a surge lasts, and that an outage lasts without calls or held messages.
	maxPhaseDuration = 60000.0
	// A storm may end once the held messages can be sent within this time.
	drainTime = 1000.0
	// Factor on the pace for each relapse, see relapseWindow.
	relapseCut = 0.7
	// Lower bound of the factor after several relapses.
	minRelapseFactor = 0.35
	// An outage that begins within this time from the start of the last return is a relapse.
	relapseWindow = 30000.0
	// Time constant of the rate meters.
	meterTau = 3000.0
	// Fraction of submissions that must be resubmissions in a surge.
	surgeFraction = 0.5
	// Fewest resubmissions in a surge, counted as their rate times meterTau.
	minSurgeResubmissions = 5
	// Factor by which resubmissions must exceed this sender's own refusals in a surge: the others were refused elsewhere.
	surgeRefusalMultiple = 2.0
	// A surge may end when its conditions have not held for this long.
	surgeEndDelay = 3000.0
	// Fraction of the pace reserved for resubmissions even if first submissions would fill it.
	minRetryFraction = 0.2
	// Standard deviations kept free below the limit, because calls of many senders may coincide by chance.
	poissonDeviations = 2.5
	// Time from the start of a return after which the pace may grow beyond its base.
	growthDelay = 11000.0
	// Factor per second by which the pace grows while no call is refused: other senders may use less than their share.
	growthPerSecond = 1.1
	// Upper bound of the growth, as a multiple of the base pace.
	maxGrowth = 4.0
	// The pace grows only after this time without a refused call.
	growthQuietTime = 2000.0
	// Factor on the pace when calls are refused during a return: the partner may accept less than its limit.
	refusalCut = 0.8
	// Shortest time between two cuts of the pace for refused calls.
	refusalCutInterval = 1000.0
	// Lower bound of the factor after several cuts for refused calls.
	minRefusalFactor = 0.2
	// Pace without a known limit, as a multiple of the call rate before the storm.
	unknownLimitMultiple = 2.0
	// Lower bound of the pace without a known limit.
	minUnknownPace = 5.0
	// Connections opened per second, as a fraction of the pace.
	dialFraction = 0.5
	// Lower bound of the connections opened per second.
	minDialRate = 1.0
	// Number of refusals remembered.
	maxRefusals = 4096
	// Longest time ahead of a reservation, even if the settings allow more.
	maxHorizon = 60000.0
	// Longest time ahead of a reservation if the settings have no bound.
	defaultHorizon = 2000.0
	// Time between two checks of a storm.
	checkInterval = 250.0
)

// Phase is the state of a destination.
type Phase uint8

// The phases of a destination.
const (
	Calm      Phase = iota // no storm
	Outage                 // its calls fail together
	Returning              // it has answered after an outage, and the backlog is being sent
	Surge                  // no outage was observed, but clients resubmit messages that other senders refused
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"calm", "outage", "returning", "surge"}[p]
}

// Settings configure a Guard.
type Settings struct {
	Senders       int             // number of senders that share the limits
	MaxRetryAfter float64         // upper bound of Retry-After in milliseconds; 0 = none, see defaultHorizon
	Limits        map[int]float64 // configured limit by destination, in calls per second; 0 or absent = none
	LimitIndex    int             // index of the limit in the report of a call; -1: none
	RatingIsRate  bool            // Endpoint.Rating is a rate in calls per second
	OwnLimits     []bool          // by kind: each endpoint has a limit of its own
}

// Throttle limits the traffic to a destination during a storm. A Rate or DialRate of 0 means no limit.
type Throttle struct {
	Dest     int
	Paces    []Pace
	DialRate float64 // connections per second that may be opened to its endpoints
	Phase    Phase
	Held     int // messages held for the destination
}

// Pace is the maximum rate of evenly spaced calls on one route.
type Pace struct {
	Endpoint uint32  // 0: the route that the destination's endpoints share
	Rate     float64 // calls per second
}

// Guard tracks all destinations of one sender. A nil Guard detects no storms. It is not safe for concurrent use.
type Guard struct {
	settings  Settings
	rng       *rand.Rand
	dests     map[int]*dest
	endpoints map[uint32]*endpoint
	active    map[int]*dest // those that Throttles checks: not calm, or with failed calls
	refusals  refusalLog
	stats     Stats
	changed   bool    // a throttle has changed since the last call of Throttles
	checkAt   float64 // when the next check of a storm is due
}

// Stats holds the counters of a Guard.
type Stats struct {
	Storms     int // storms that began
	Reserved   int // refusals whose Retry-After is a reservation
	Unreserved int // refusals for which no slot was free
	OnTime     int // refused messages resubmitted after their Retry-After, or at most half a slot before its end
	Early      int // refused messages resubmitted earlier
}

type endpoint struct {
	dest     *dest
	ownLimit bool
	limit    float64 // advertised limit of its own; 0 = none
}

// dest is the state of one destination.
type dest struct {
	id                  int
	phase               Phase
	phaseStart          float64
	lastOK              float64
	failures            int // failed calls in a row
	refusedCalls        int // those of failures that the partner refused
	lastFailure         float64
	lastFailureEndpoint uint32
	relapses            int
	paceFactor          float64 // factor on the pace from growth and from cuts for refused calls
	lastRefusedCall     float64
	lastCut             float64 // when a refused call last lowered paceFactor
	successRate         rateMeter
	unanswered          bool    // the last failed call got no answer
	returnedAt          float64 // start of the last return
	lastSurge           float64 // when the conditions of a surge last held
	waitUntil           float64 // end of the requested wait: nothing is sent before it
	advertisedLimit     float64 // advertised limit that the endpoints share; 0 = none
	rateBeforeStorm     float64 // call rate of this sender before the storm
	callRate            rateMeter
	firstRate           rateMeter // first submissions
	resubmitRate        rateMeter // resubmissions
	refusalRate         rateMeter // messages that this sender refused
	held                int       // messages held by this sender
	ownLimitEndpoints   []uint32  // ready endpoints with a limit of their own
	reservations        *reservations
	throttled           bool // a throttle is in force, or its end is not yet reported
	changed             bool // the throttle has changed since the last call of Throttles
	checkAt             float64
	reserveFrom         float64 // earliest time of reservations: those of a previous process run may lie before it
}

// rateMeter measures a rate per second with exponential decay.
type rateMeter struct{ rate, updatedAt float64 }

func (m *rateMeter) add(now, n float64) { m.rate, m.updatedAt = m.get(now)+n*1000/meterTau, now }

func (m *rateMeter) get(now float64) float64 { return m.rate * math.Exp((m.updatedAt-now)/meterTau) }

// New returns a Guard without any storm.
func New(settings Settings, seed uint64) *Guard {
	settings.Senders = max(settings.Senders, 1)
	return &Guard{
		settings: settings, rng: rand.New(rand.NewPCG(seed, 0x5f0e1c)),
		dests: map[int]*dest{}, endpoints: map[uint32]*endpoint{}, active: map[int]*dest{},
		refusals: refusalLog{byKey: map[uint64]refusal{}}, checkAt: math.Inf(1),
	}
}

// SettingsFrom returns the settings of a Guard for a sender with these settings and configured limits.
func SettingsFrom(settings *policy.Settings, limits map[int]float64) Settings {
	s := Settings{
		Senders: settings.Senders, MaxRetryAfter: settings.MaxRetryAfter, Limits: limits,
		LimitIndex: settings.LimitIndex, RatingIsRate: settings.RatingIsRate,
	}
	for _, k := range settings.Kinds {
		s.OwnLimits = append(s.OwnLimits, k.OwnLimits)
	}
	return s
}

// Stats returns the counters.
func (g *Guard) Stats() Stats {
	if g == nil {
		return Stats{}
	}
	return g.stats
}

// Phase returns the phase of a destination. g must not be nil.
func (g *Guard) Phase(id int) Phase {
	if d := g.dests[id]; d != nil {
		return d.phase
	}
	return Calm
}

// UpdateEndpoints applies an update of the endpoint list, in the form that package policy receives. A full list
// removes all endpoints that it does not contain.
func (g *Guard) UpdateEndpoints(now float64, list []policy.Endpoint, full bool) {
	if g == nil {
		return
	}
	if full {
		named := make(map[uint32]bool, len(list))
		for i := range list {
			named[list[i].ID] = true
		}
		for id := range g.endpoints {
			if !named[id] {
				g.removeEndpoint(id)
			}
		}
	}
	for i := range list {
		l := &list[i]
		if l.State == policy.Gone {
			g.removeEndpoint(l.ID)
			continue
		}
		e := g.endpoints[l.ID]
		if e != nil && e.dest.id != l.Dest {
			g.removeEndpoint(l.ID)
			e = nil
		}
		if e == nil {
			e = &endpoint{dest: g.destFor(l.Dest, now),
				ownLimit: l.Kind >= 0 && l.Kind < len(g.settings.OwnLimits) && g.settings.OwnLimits[l.Kind]}
			g.endpoints[l.ID] = e
			if e.ownLimit {
				e.dest.ownLimitEndpoints = append(e.dest.ownLimitEndpoints, l.ID)
			}
			if g.settings.RatingIsRate && l.Rating > 0 && !math.IsInf(l.Rating, 0) {
				g.setLimit(e, l.Rating, true)
			}
		}
		if e.ownLimit && l.State != policy.Ready {
			e.dest.ownLimitEndpoints = without(e.dest.ownLimitEndpoints, l.ID)
		} else if e.ownLimit && !slices.Contains(e.dest.ownLimitEndpoints, l.ID) {
			e.dest.ownLimitEndpoints = append(e.dest.ownLimitEndpoints, l.ID)
		}
		g.markChanged(e.dest)
	}
}

// markChanged makes Throttles report a destination's throttle again, if it has one.
func (g *Guard) markChanged(d *dest) {
	if d.throttled {
		d.changed, g.changed = true, true
	}
}

// watch adds a destination to those that Throttles checks.
func (g *Guard) watch(d *dest) {
	g.active[d.id] = d
	g.checkAt = min(g.checkAt, d.checkAt)
}

// setLimit sets an advertised limit. A limit from the endpoint list does not replace one that the partner reported.
func (g *Guard) setLimit(e *endpoint, limit float64, fromList bool) {
	target := &e.dest.advertisedLimit
	if e.ownLimit {
		target = &e.limit
	}
	if !fromList || *target == 0 {
		if *target != limit {
			g.markChanged(e.dest)
		}
		*target = limit
	}
}

func (g *Guard) removeEndpoint(id uint32) {
	e := g.endpoints[id]
	if e == nil {
		return
	}
	delete(g.endpoints, id)
	e.dest.ownLimitEndpoints = without(e.dest.ownLimitEndpoints, id)
	g.markChanged(e.dest)
}

func without(list []uint32, v uint32) []uint32 {
	if i := slices.Index(list, v); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// destFor returns the state of a destination and creates it if needed. A destination without a storm has no
// reservations, to save memory.
func (g *Guard) destFor(id int, now float64) *dest {
	d := g.dests[id]
	if d == nil {
		d = &dest{id: id, lastOK: now, paceFactor: 1, returnedAt: math.Inf(-1), lastSurge: math.Inf(-1)}
		g.dests[id] = d
	}
	return d
}

// Restore applies the facts about destinations that a previous process run has kept. It is called before
// UpdateEndpoints gets the list that contains these destinations. An outage or a return continues if all known
// endpoints of a destination are broken or ramping. The reservations of the previous run are lost, so none is made for
// the time that they may cover.
func (g *Guard) Restore(now float64, facts []policy.DestFacts) {
	if g == nil {
		return
	}
	for i := range facts {
		f := &facts[i]
		broken, ramping, lastOK, rampStart := 0, 0, math.Inf(-1), 0.0
		for j := range f.Endpoints {
			e := &f.Endpoints[j]
			switch e.Health {
			case policy.Broken:
				broken++
			case policy.Ramping:
				ramping++
				rampStart = max(rampStart, e.RampStart)
			}
			lastOK = max(lastOK, e.LastOK)
		}
		if len(f.Endpoints) == 0 || broken+ramping < len(f.Endpoints) {
			continue
		}
		d := g.destFor(f.Dest, now)
		if f.SharedRoute != nil {
			d.advertisedLimit, d.rateBeforeStorm, d.waitUntil =
				f.SharedRoute.AdvertisedLimit, f.SharedRoute.AcceptedRate, f.SharedRoute.WaitUntil
		}
		g.enterPhase(d, Outage, now)
		d.lastOK = min(lastOK, now)
		if ramping > 0 {
			g.enterPhase(d, Returning, now)
			d.phaseStart = min(max(rampStart, now-minReturnDuration), now)
			d.returnedAt = d.phaseStart
		}
		d.reserveFrom = now + g.horizon()
	}
}

// enterPhase starts a phase of a destination.
func (g *Guard) enterPhase(d *dest, phase Phase, now float64) {
	if d.phase == Calm && phase != Calm {
		g.stats.Storms++
		d.rateBeforeStorm = max(d.rateBeforeStorm, d.callRate.get(now))
	}
	if phase == Outage && now-d.returnedAt > relapseWindow {
		d.relapses = 0
	}
	d.phase, d.phaseStart, d.checkAt, d.paceFactor = phase, now, now, 1
	d.throttled = true
	g.markChanged(d)
	if phase == Calm {
		d.reservations, d.rateBeforeStorm = nil, 0
	}
	g.watch(d)
}

// RecordOutcome records the outcome of an attempt that was sent. It ignores events other than EvOutcome, and the
// outcome Moot.
func (g *Guard) RecordOutcome(now float64, e *policy.Event) {
	if g == nil || e.Kind != policy.EvOutcome || e.Outcome == policy.Moot {
		return
	}
	ep := g.endpoints[e.Endpoint]
	if ep == nil {
		return
	}
	d := ep.dest
	if x := g.settings.LimitIndex; x >= 0 && x < len(e.Report) && e.Report[x] > 0 && !math.IsInf(e.Report[x], 0) {
		g.setLimit(ep, e.Report[x], false)
	}
	if e.RequestedWait > 0 && !ep.ownLimit {
		d.waitUntil = max(d.waitUntil, now+e.RequestedWait)
	}
	d.callRate.add(now, 1)
	if e.RequestedWait > minOutageWait && !ep.ownLimit && d.phase != Outage {
		g.beginOutage(d, now)
	}
	if e.Outcome == policy.OK {
		d.failures, d.refusedCalls, d.lastOK = 0, 0, now
		d.successRate.add(now, 1)
		// The answer to a call that was sent before the outage is no return.
		if d.phase == Outage && now-e.Latency >= d.phaseStart {
			d.returnedAt = now
			g.enterPhase(d, Returning, now)
		}
		return
	}
	if d.failures > 0 && d.lastFailure == now && d.lastFailureEndpoint == e.Endpoint {
		return // the messages of one call are one failure
	}
	d.failures++
	d.lastFailure, d.lastFailureEndpoint = now, e.Endpoint
	if e.Outcome == policy.Full {
		d.refusedCalls++
		d.lastRefusedCall = now
		if d.phase == Returning && now-d.lastCut >= refusalCutInterval {
			d.paceFactor, d.lastCut = max(min(d.paceFactor, 1)*refusalCut, minRefusalFactor), now
			g.markChanged(d)
		}
	}
	silence := now - d.lastOK
	d.unanswered = e.Outcome == policy.ConnectFailed || e.Outcome == policy.Timeout || e.Outcome == policy.Reset
	if d.unanswered && d.phase == Calm { // whether it is an outage may depend on time alone
		g.watch(d)
	}
	failing := d.failing(now)
	refusing := d.phase != Returning && d.failures >= outageRefusals && silence >= minRefusalSilence
	if d.phase != Outage && (failing || refusing) {
		g.beginOutage(d, now)
	}
}

// failing reports whether the destination's calls fail together. A sender with a low call rate would collect
// outageFailures only after the outage is over. For such a sender it is enough that the last failed call got no answer
// and that the failed calls, refused ones not counted, outnumber the recent successes.
func (d *dest) failing(now float64) bool {
	n := d.failures - d.refusedCalls
	return now-d.lastOK >= minOutageSilence &&
		(n >= outageFailures || n > 0 && d.unanswered && float64(n) > d.successRate.get(now)*meterTau/1000)
}

// beginOutage starts an outage. Soon after a return it is a relapse: the partner could not handle the load.
func (g *Guard) beginOutage(d *dest, now float64) {
	if now-d.returnedAt <= relapseWindow {
		d.relapses++
	}
	g.enterPhase(d, Outage, now)
}

// RecordArrival records a message that a client has submitted. key identifies the message across all its submissions;
// 0 = unknown. resubmitted is whether the client has marked it as a resubmission; a message whose key belongs to a
// remembered refusal counts as one in any case.
func (g *Guard) RecordArrival(now float64, id int, key uint64, resubmitted bool) {
	if g == nil {
		return
	}
	d := g.dests[id]
	if d == nil {
		return
	}
	if r, ok := g.refusals.pop(key); ok {
		resubmitted = true
		if now >= r.retryAt-slotMS/2 {
			g.stats.OnTime++
		} else {
			g.stats.Early++
			if d.reservations != nil && r.reserved {
				d.reservations.release(r.retryAt)
			}
		}
	}
	if !resubmitted {
		d.firstRate.add(now, 1)
		return
	}
	d.resubmitRate.add(now, 1)
	// A surge needs enough resubmissions, a large enough fraction of them, more than this sender's own refusals explain,
	// and more than its pace.
	rate := d.resubmitRate.get(now)
	if rate*meterTau/1000 < minSurgeResubmissions || rate < surgeFraction*(rate+d.firstRate.get(now)) ||
		rate < surgeRefusalMultiple*d.refusalRate.get(now) || rate < g.totalPace(d) {
		return
	}
	d.lastSurge = now
	if d.phase == Calm {
		g.enterPhase(d, Surge, now)
	}
}

// AdjustHeld changes the number of messages that the sender holds for a destination. Messages restored from the
// journal count even before an endpoint list contains their destination: otherwise a storm would seem drained and
// end too early, and the backlog would be sent at once.
func (g *Guard) AdjustHeld(now float64, id, delta int) {
	if g == nil {
		return
	}
	if d := g.dests[id]; d != nil || delta > 0 {
		d = g.destFor(id, now)
		d.held = max(d.held+delta, 0)
	}
}

// RetryAfter records a refusal and returns the time in milliseconds after which the client should resubmit the
// message. minWait is the time that package policy gives. Without a storm the result is minWait. In a storm it is at
// least minWait, but never more than the horizon. remaining is the time to the message's deadline in milliseconds: no
// slot after the deadline is reserved.
func (g *Guard) RetryAfter(now float64, id int, key uint64, remaining, minWait float64) float64 {
	if g == nil || g.dests[id] == nil {
		return minWait
	}
	d := g.dests[id]
	d.refusalRate.add(now, 1)
	wait, reserved := minWait, false
	if d.phase != Calm {
		wait, reserved = g.scheduleRetry(d, now, remaining, minWait)
	}
	g.refusals.add(key, refusal{now + wait, reserved})
	return wait
}

// scheduleRetry reserves the earliest free slot and returns the time until it, with up to one slot of random delay.
// Without a free slot it returns a random time in the second half of the horizon.
func (g *Guard) scheduleRetry(d *dest, now, remaining, minWait float64) (wait float64, reserved bool) {
	horizon := g.horizon()
	if d.reservations == nil {
		d.reservations = &reservations{}
	}
	// Right after a restart, reserveFrom-slotMS is the last slot within the horizon.
	earliest := max(now+minWait, d.waitUntil, d.reserveFrom-slotMS)
	if at, ok := d.reservations.reserve(now, earliest, now+min(horizon, remaining)-slotMS, g.retryBudget(d, now)); ok {
		g.stats.Reserved++
		return min(at+slotMS*g.rng.Float64()-now, horizon), true
	}
	g.stats.Unreserved++
	lower := min(max(minWait, horizon/2, earliest-now), horizon) // a requested wait applies even without a slot
	return lower + (horizon-lower)*g.rng.Float64(), false
}

// horizon returns the longest Retry-After during a storm, in milliseconds.
func (g *Guard) horizon() float64 {
	if g.settings.MaxRetryAfter <= 0 {
		return defaultHorizon
	}
	return min(g.settings.MaxRetryAfter, maxHorizon)
}

// retryBudget returns how many resubmissions per second may be reserved: the part of the pace that first
// submissions leave, and at least minRetryFraction of it.
func (g *Guard) retryBudget(d *dest, now float64) float64 {
	rate := g.totalPace(d)
	return max(rate-d.firstRate.get(now), minRetryFraction*rate)
}

// Throttles checks the storms that are due, and returns the throttles that have changed since the last call, sorted by
// destination. A storm that has ended is reported once, with zero rates. The caller calls Throttles before each step of
// package policy.
func (g *Guard) Throttles(now float64) (list []Throttle) {
	if g == nil || !g.changed && now < g.checkAt { // a step costs nothing while no storm changes
		return nil
	}
	g.changed, g.checkAt = false, math.Inf(1)
	for id, d := range g.active {
		if now >= d.checkAt {
			d.checkAt = now + checkInterval
			g.check(d, now)
		}
		if d.changed {
			list = append(list, g.throttle(d))
		}
		if d.phase == Calm && d.failures == 0 {
			delete(g.active, id)
			continue
		}
		g.checkAt = min(g.checkAt, d.checkAt)
	}
	slices.SortFunc(list, func(a, b Throttle) int { return a.Dest - b.Dest })
	return list
}

// throttle returns the current throttle of a destination and marks it as reported.
func (g *Guard) throttle(d *dest) Throttle {
	d.changed = false
	t := Throttle{Dest: d.id, Phase: d.phase, Held: d.held, Paces: g.paces(d)}
	if d.phase != Calm {
		t.DialRate = max(dialFraction*g.totalPace(d), minDialRate)
		return t
	}
	d.throttled = false
	for i := range t.Paces {
		t.Paces[i].Rate = 0
	}
	return t
}

// check moves a destination to the next phase when it is due, and lets the pace of a return grow.
func (g *Guard) check(d *dest, now float64) {
	age := now - d.phaseStart
	drained := float64(d.held) <= max(g.totalPace(d)*drainTime/1000, 1)
	switch d.phase {
	case Returning:
		maxFactor := 1.0
		if age >= growthDelay {
			maxFactor = maxGrowth
		}
		if now-d.lastRefusedCall >= growthQuietTime && d.paceFactor < maxFactor {
			d.paceFactor = min(d.paceFactor*math.Pow(growthPerSecond, checkInterval/1000), maxFactor)
			g.markChanged(d)
		}
		if age >= maxPhaseDuration || age >= minReturnDuration && drained {
			g.enterPhase(d, Calm, now)
		}
	case Surge:
		if now-d.lastSurge >= surgeEndDelay && drained || age >= maxPhaseDuration {
			g.enterPhase(d, Calm, now)
		}
	case Calm:
		if d.failing(now) {
			g.beginOutage(d, now)
		}
	case Outage: // no calls for maxPhaseDuration: the next call will show whether the outage continues
		if now-max(d.lastFailure, d.phaseStart) >= maxPhaseDuration && d.held == 0 {
			d.failures, d.refusedCalls = 0, 0 // otherwise the next check would start an outage again
			g.enterPhase(d, Calm, now)
		}
	}
}

// NextDue returns when Throttles is due again, +Inf if never.
func (g *Guard) NextDue() float64 {
	if g == nil {
		return math.Inf(1)
	}
	return g.checkAt
}
