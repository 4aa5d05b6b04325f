package policy

// This file holds the decisions about outages: when an endpoint counts as failing, which calls go to it
// meanwhile (a circuit breaker with half-open trials), and the slow start (ramp) after it.

import (
	"math"
	"slices"
	"sort"
)

// Parameters of the circuit breakers, with units as in policy.go.
const (
	// Circuit breaker.

	// Time constant in which the extra cost of an endpoint that failed decays, in ms.
	suspicionTau = 1000.0
	// An endpoint with calls in flight and a success within this time, in ms, is up: a connection that it
	// refuses does not count as a failure.
	aliveWindow = 500.0
	// Failures in a row that open a breaker even after recent successes.
	breakerFailures = 4
	// Failing share of calls (EWMA) that opens a breaker.
	breakerFailureShare = 0.8
	// Time without a success on a route, in ms, after which failed calls show an outage of the whole route.
	outageSilence = 1500.0
	// Failed calls in a row on a route that show its outage after outageSilence, if the last one got no answer.
	outageUnanswered = 2
	// Refusals in a row that, without a success for unavailableWindow, show an unavailable destination.
	unavailableRefusals = 4
	// Time since the first of at least unavailableRefusals refusals in a row, in ms, after which they open the
	// breakers of their route.
	unavailableWindow = 2000.0
	// Requested wait, in ms, above which a destination counts as unavailable: waits for a limit are shorter.
	unavailableWait = 3000.0
	// Share of its allowance left above which a route that refuses may be unavailable rather than at its
	// limit.
	minUnusedAllowance = 0.5
	// Probability with which a light sender pauses as after a failure when a route refuses that may be
	// unavailable.
	unavailableSenderShare = 0.6
	// Share of the least pause after a failure that applies after refusals alone, which may come from a limit.
	refusalPauseShare = 0.2

	// Half-open trials.

	// First pause before a trial, and least pause between the trials of one sender, in ms.
	minTrialPause = 500.0
	// Upper bound to which the pause before a trial grows with the number of failed trials, in ms.
	maxTrialBackoff = 2500.0
	// Lower bound of the time-out of a trial, in ms.
	minTrialTimeout = 1000.0
	// Pause before a trial where most senders hold messages for the destination, in ms per sender.
	denseTrialPause = 300.0
	// Least pause after a failure, in ms per sender, up to maxFirstTrialPause.
	trialPausePerSender = 150.0
	// Upper bound of the least pause after a failure, which grows with the number of senders, in ms.
	maxFirstTrialPause = 12000.0
	// Time for which an endpoint off the list is remembered, in ms: it may come back, cold.
	removedEndpointRetention = 60000.0
	// An endpoint with a success within this time, in ms, does not follow a failed one of its route, and a
	// failure that leaves its breaker closed causes no pause.
	recentSuccessWindow = 3000.0
	// Least pause before a trial as a multiple of the outage's age, since the number of senders that hold
	// messages grows with it.
	trialPauseAgeFactor = 2.0
	// Upper bound of the least pause that grows with the outage's age, in ms per sender. It suffices when every
	// sender holds messages.
	maxAgePausePerSender = 600.0
	// Load of the trials of all senders together, as a share of the load that overloads a destination that has
	// just come back and is cold.
	trialOverloadShare = 0.85
	// Share of a pace cap that trials may use where no even share of an advertised limit is known.
	trialPaceShare = 0.2

	// Slow start after an outage.

	// Share that a ramp uses of the load that would overload the destination at its present capacity: other
	// senders ramp at rates of their own.
	rampMargin = 0.65
	// The ramp's budget saves up one call, and the calls of this share of OverloadWindow.
	rampBurstShare = 0.2
	// A ramp takes the rate before the outage as at least this, in calls per second, where there are up to
	// minBaseRateSenders senders.
	minBaseRate = 0.25
	// Factor above which a rise of a reported limit cannot be noise: the pace rises by the same factor.
	limitJump = 1.5
	// Factor on an even share of a reported limit for a ramp: a reported limit is below the capacity.
	reportedLimitTrust = 1.3
	// Factor on an even share of the list's rating for a ramp: the rating may be up to half too high.
	ratingTrust = 0.6
	// Number of senders above which minBaseRate is divided among them.
	minBaseRateSenders = 4.0
	// Weight of each further message in a call in the budget of a ramp or an open breaker, as a share of a call.
	batchItemWeight = 0.25

	// Jitter of pauses.

	// Largest relative deviation of a pause in a small fleet, so that senders that fail together spread out.
	pauseJitter = 0.3
	// Largest relative deviation of a pause in a large fleet, where many senders would come back in step.
	largeFleetJitter = 0.6
)

// recordResult counts the result of a call for its endpoint and route.
func (s *Sender) recordResult(c *call, outcome Outcome, wait float64) {
	s.learnStaleness(c, outcome)
	s.learnScarcity(c, outcome)
	switch {
	case outcome == OK:
		s.recordSuccess(c)
	case outcome == Full:
		s.handleRefusal(c.ep, wait, c.sentAt)
	case c.idleTime > minSuspectIdle && s.staleShare > maxStaleShare: // the idle connection was at fault
	case s.connectionRefused(c, outcome) && s.now-c.ep.lastOK < aliveWindow && len(c.ep.calls) > 0:
		// Other calls succeed: connections are scarce, the endpoint is up.
	default:
		s.recordFailure(c, outcome)
	}
}

// recordSuccess counts a call that succeeded. It begins the ramp if the endpoint returns from an outage: the
// answer to a call that was sent before the outage, or that comes within a requested wait, is no return.
func (s *Sender) recordSuccess(c *call) {
	ep, r := c.ep, c.ep.route
	returned := ep.breaker == open && c.sentAt >= ep.openedAt && s.now >= r.waitUntil
	if s.returnsUnseen(ep) {
		s.beginOutage(r)
		returned = true
	}
	r.refusals, r.failures, r.lastOK, ep.lastOK = 0, 0, s.now, s.now
	r.acceptedRate.add(s.now, 1)
	ep.failures, ep.timeoutBackoff, ep.unresponsive = 0, 1, false
	ep.failureShare *= 1 - callGain
	s.raisePace(r, lightGrowth)
	if returned {
		s.beginRamp(ep)
	}
}

// beginRamp begins the slow start of ep.
func (s *Sender) beginRamp(ep *endpoint) {
	s.resetRampBudget(ep.route)
	ep.breaker, ep.rampStart, ep.failureShare = ramping, s.now, 0
	if s.usesEvenShare(ep.route) {
		// Trials are far apart: on average the endpoint has been back for half the time since the last one.
		ep.rampStart -= min((s.now-ep.lastFailure)/2, s.settings.OverloadWindow/2)
	}
	s.logBreaker(ep, "ramp")
	s.counters.RampsBegun++
}

// resetRampBudget empties the ramp budget of r, unless an endpoint there draws from it.
func (s *Sender) resetRampBudget(r *route) {
	if !slices.ContainsFunc(r.endpoints, isRamping) {
		r.rampBudget = tokenBucket{0, s.now}
	}
}

// recordFailure counts a call that failed, and opens the breaker if that shows an outage.
func (s *Sender) recordFailure(c *call, outcome Outcome) {
	ep, r := c.ep, c.ep.route
	ep.failures++
	r.failures++
	ep.lastFailure, ep.unanswered, ep.answeredError = s.now, outcome != Error, outcome == Error
	ep.failureShare += callGain * (1 - ep.failureShare)
	ep.unresponsive = !s.connectionRefused(c, outcome) && (outcome == Timeout || outcome == ConnectFailed)
	r.unanswered, r.unresponsive = ep.unanswered, ep.unresponsive
	if outcome == Timeout {
		ep.timeoutBackoff = min(ep.timeoutBackoff*2, 4)
	}
	if s.showsOutage(c, outcome) {
		s.openBreaker(ep)
	} else if ep.lastOK < s.now-recentSuccessWindow { // no recent sign that the endpoint is up
		ep.nextTrial = s.now + s.jittered(s.minFailurePause())
	}
}

// showsOutage reports whether a failed call, which has been counted, shows an outage or that one goes on. A
// light sender has few successes to weigh a failure against, and hundreds of light senders would try again at
// once. So with few recent successes, few failures open the breaker. Drawback: one lost call delays the next.
func (s *Sender) showsOutage(c *call, outcome Outcome) bool {
	ep := c.ep
	successes := int(ep.route.acceptedRate.rate(s.now) * rateMeterTau / 1000)
	if c.idleTime > minSuspectIdle ||
		s.connectionRefused(c, outcome) && s.now < s.dialStats[ep.kind].scarceUntil {
		successes++ // the idle connection may be at fault, or connections are scarce
	}
	// In a small fleet one error answer in a ramp is no new outage: starting the ramp again for each would
	// keep the backlog from an endpoint that works.
	reopen := ep.breaker == open ||
		ep.breaker == ramping && (ep.failures > 1 || ep.unanswered || !s.smallFleet())
	return reopen || ep.failures >= breakerFailures || ep.failures > successes && !s.smallFleet() ||
		ep.failureShare > breakerFailureShare || s.routeFails(ep.route)
}

// openBreaker opens the breaker of ep, or postpones its next trial. It keeps the rate before the outage,
// from a part of which the ramp starts. A ramp that fails continues the outage before it.
func (s *Sender) openBreaker(ep *endpoint) {
	if ep.breaker == closed {
		s.leaveClosed(ep)
	} else if ep.breaker == open {
		ep.failedTrials++
	}
	ep.breaker = open
	senders := s.senders()
	minPause := s.minFailurePause()
	if ep.failures == 0 { // opened by refusals alone, which may come from a limit
		minPause *= refusalPauseShare
	}
	pause := max(min(minTrialPause*math.Pow(1.5, float64(ep.failedTrials)), maxTrialBackoff), minPause)
	from := max(s.now, ep.route.waitUntil) // senders with a requested wait come back at its end
	pause = max(pause, min(trialPauseAgeFactor*(from-ep.openedAt), maxAgePausePerSender*senders))
	// Where this sender holds several messages, most senders hold some.
	pause = max(pause, senders*denseTrialPause*min(float64(len(ep.dest.queue)-1)/2, 1))
	ep.nextTrial = s.advanceTrial(ep.route, from+s.jittered(pause))
	for _, other := range ep.dest.endpoints { // endpoints of one destination recover and are overloaded together
		s.followBreaker(other, ep)
	}
}

// leaveClosed opens the breaker of ep, which is closed.
func (s *Sender) leaveClosed(ep *endpoint) {
	ep.rateBeforeOutage = ep.route.deliveredRate.perSecond / float64(max(ep.route.readyEndpoints(), 1))
	ep.failedTrials, ep.openedAt, ep.timeoutBackoff = 0, s.now, 1
	s.resetRampBudget(ep.route)
	ep.breaker = open
	s.logBreaker(ep, "breaker open")
	s.counters.BreakersOpened++
}

// routeFails reports whether the calls on r fail together, at whichever endpoint. Few failures show it: a
// sender begins few calls to endpoints that it suspects, and none while it hands over.
func (s *Sender) routeFails(r *route) bool {
	return s.now-r.lastOK >= outageSilence &&
		(r.failures >= breakerFailures || r.failures >= outageUnanswered && r.unanswered)
}

// returnsUnseen reports whether a success at ep, which is about to be recorded, ends an outage that opened no
// breaker: calls were unanswered, and more messages wait than a cold destination can take.
func (s *Sender) returnsUnseen(ep *endpoint) bool {
	r := ep.route
	if ep.breaker != closed || !r.unresponsive || r.failures == 0 || s.now-r.lastOK < outageSilence {
		return false
	}
	rate := s.rampRate(ep, s.settings.ColdCapacity) * float64(max(r.readyEndpoints(), 1))
	return float64(len(ep.dest.queue)) > 1+rate*s.settings.OverloadWindow
}

// beginOutage opens the breakers of all endpoints of r that are closed. Their next trials are due at once.
func (s *Sender) beginOutage(r *route) {
	for _, ep := range r.endpoints {
		if ep.breaker == closed {
			s.leaveClosed(ep)
			ep.nextTrial = s.now
		}
	}
}

// shareOutage puts an endpoint that has become ready under the outage of its route, or under the ramp after
// it, unless another ready endpoint is healthy or its own last success is later. Where the others are merely
// suspected of an outage, a trial goes first. Otherwise it would receive the whole backlog at once, and the
// destination behind it is as cold as behind the others.
func (s *Sender) shareOutage(ep *endpoint) {
	restored := s.restored(ep)
	if ep.breaker != closed || restored && math.IsInf(ep.lastOK, -1) {
		return
	}
	var failed *endpoint
	suspects := 0
	for _, other := range ep.route.endpoints {
		switch {
		case other == ep:
		case s.inOutage(other) && ep.lastOK < other.openedAt:
			if failed == nil || failed.breaker == ramping && other.breaker == open ||
				other.rampStart > failed.rampStart {
				failed = other
			}
		case other.ready && s.suspected(other):
			suspects++
		case other.ready:
			return
		}
	}
	switch {
	case failed == nil && suspects > 0 && !restored:
		s.leaveClosed(ep)
		ep.nextTrial = s.now
		return
	case failed == nil:
		return
	}
	ep.breaker, ep.failedTrials, ep.failures = failed.breaker, 0, 0
	ep.rateBeforeOutage, ep.openedAt, ep.rampStart = failed.rateBeforeOutage, failed.openedAt, failed.rampStart
	ep.nextTrial, ep.answeredError = failed.nextTrial, failed.answeredError
	s.logBreaker(ep, "shares outage")
}

// inOutage reports whether ep is in an outage, or in the ramp after it. One that is not ready is called no
// more: its last outage counts while it is remembered.
func (s *Sender) inOutage(ep *endpoint) bool {
	switch {
	case ep.breaker == open:
		return ep.ready || s.now-ep.lastFailure < removedEndpointRetention
	case ep.breaker == ramping:
		return s.rampProgress(ep) < 1
	}
	return false
}

// followBreaker puts an endpoint without a recent success under the breaker of one that failed on its route:
// in a large fleet, and in a small one where all calls on the route fail. In a large fleet, endpoints with
// limits of their own mostly fail together, and a held message fits any of them: a failed trial at one
// postpones the others, otherwise all that come back receive the sum of the trials. Drawback: one that comes
// back alone waits up to one first pause longer.
func (s *Sender) followBreaker(ep, failed *endpoint) {
	switch {
	case s.smallFleet() && (ep.route != failed.route || ep.breaker == open || !s.routeFails(ep.route)):
	case ep.route != failed.route:
		if ep.breaker == open {
			ep.nextTrial = max(ep.nextTrial, min(failed.nextTrial, s.now+s.minFailurePause()*(1+largeFleetJitter)))
		}
	case ep.breaker == open:
		ep.nextTrial = max(ep.nextTrial, failed.nextTrial)
	case s.now-ep.lastOK > recentSuccessWindow || s.routeFails(ep.route):
		ep.breaker, ep.failedTrials = open, 0
		ep.rateBeforeOutage, ep.openedAt, ep.nextTrial = failed.rateBeforeOutage, failed.openedAt, failed.nextTrial
	}
}

// advanceTrial returns at, the time of a trial, brought forward where an even share or a pace cap is known:
// the trials of all senders together then stay below the load that overloads the destination at the moment
// it comes back, or within a part of the caps.
func (s *Sender) advanceTrial(r *route, at float64) float64 {
	rate := trialPaceShare * r.paceCap
	if s.usesEvenShare(r) {
		rate = trialOverloadShare * s.settings.OverloadMultiple * s.settings.ColdCapacity * s.evenShare(r)
	}
	if rate <= 0 {
		return at
	}
	return min(at, max(s.now, r.waitUntil)+s.jittered(max(minTrialPause, 1000/rate)))
}

// minFailurePause returns the least pause after a failure, in ms. It grows with the number of senders, which
// may all fail alike.
func (s *Sender) minFailurePause() float64 {
	return min(trialPausePerSender*float64(s.settings.Senders), maxFirstTrialPause)
}

// suspected reports whether ep may be failing: it is in an outage or a ramp, has failed, or its oldest call
// takes far too long, or the last call on its route got no answer and none has succeeded for a while. A
// single error answer does not count: it may happen anywhere.
func (s *Sender) suspected(ep *endpoint) bool {
	r := ep.route
	if ep.breaker != closed || ep.failures > 1 || ep.failures == 1 && ep.unanswered ||
		r.failures > 0 && r.unanswered && s.now-r.lastOK >= outageSilence {
		return true
	}
	return s.hangs(ep)
}

// hangs reports whether the oldest call that was sent to ep since its last success takes far too long.
func (s *Sender) hangs(ep *endpoint) bool {
	limit := max(minSuspectAge, 1.5*ep.dest.latency.upperBound(latencyDeviations))
	i := sort.Search(len(ep.calls), func(i int) bool { return ep.calls[i].sentAt > ep.lastOK })
	return i < len(ep.calls) && s.now-ep.calls[i].sentAt > limit
}

func isRamping(ep *endpoint) bool { return ep.breaker == ramping }

// rampProgress returns how far the ramp of ep has come: 1 at its end.
func (s *Sender) rampProgress(ep *endpoint) float64 {
	return (s.now - ep.rampStart) / max(s.settings.WarmUpDuration, 1)
}

// nextRampCallAt returns when an endpoint of r that is in an outage or a ramp may next be called. These
// endpoints share a budget: the capacity behind them is the destination's.
func (s *Sender) nextRampCallAt(r *route) float64 {
	rate := 0.0
	for _, ep := range r.endpoints {
		switch {
		case !ep.ready:
		case ep.breaker == ramping:
			rate += s.rampRate(ep, s.settings.ColdCapacity+(1-s.settings.ColdCapacity)*min(s.rampProgress(ep), 1))
		case ep.breaker == open && ep.answeredError:
			rate += s.rampRate(ep, s.settings.ColdCapacity)
		}
	}
	return r.rampBudget.refill(s.now, rate, 1+rate*s.settings.OverloadWindow*rampBurstShare)
}

// rampRate returns the rate, in calls per millisecond, at which this sender may call ep if its destination
// has this share of its capacity.
func (s *Sender) rampRate(ep *endpoint, share float64) float64 {
	r := ep.route
	ready := float64(max(r.readyEndpoints(), 1))
	ownRate := max(ep.rateBeforeOutage, minBaseRate*min(1, minBaseRateSenders/s.senders()), r.paceCap/ready)
	if s.smallFleet() || s.usesEvenShare(r) {
		// An even share of the advertised limit may be far above the sender's rate before the outage. A reported
		// limit is below the capacity, a rating may be above it.
		trust := ratingTrust
		if r.limitReported {
			trust = reportedLimitTrust
		}
		ownRate = max(ownRate, trust*s.evenShare(r)/ready)
	}
	return ownRate * share * s.settings.OverloadMultiple * rampMargin / 1000
}

// EachHung calls visit for each endpoint that has a call which takes far too long, once for each call there.
func (s *Sender) EachHung(visit func(dest int, endpoint uint32)) {
	for _, c := range s.calls {
		if s.hangs(c.ep) {
			visit(c.ep.dest.id, c.ep.id)
		}
	}
}

// jittered returns a random pause around the given one, to spread senders that fail together; wider in a
// large fleet.
func (s *Sender) jittered(pause float64) float64 {
	if s.smallFleet() {
		return s.uniform(pause*(1-pauseJitter), pause*(1+pauseJitter))
	}
	return s.uniform(pause*(1-largeFleetJitter), pause*(1+largeFleetJitter))
}
