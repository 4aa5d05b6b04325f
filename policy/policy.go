package policy

// This file holds the decisions of the module: admission, scheduling, choice of endpoint and rate control.
// Those about outages are in breaker.go, the interface (settings, events, actions) in api.go, the state in
// state.go.
//
// A message passes admission (random refusal by the admission controller of its destination), the queue of
// its destination, a turn for a call slot, a call to one endpoint, and an outcome. Terms:
//
//   - A route is the unit to which a limit and a requested wait apply: a destination, or a single endpoint
//     where endpoints have limits of their own. Pace (token bucket, AIMD) and requested waits are kept per
//     route. Health (circuit breaker, half-open trials, slow start) is kept per endpoint, since an outage
//     may affect only some of them.
//   - A destination is throttled while its own pace, limit or share of call slots holds back messages in
//     its queue. Time in an outage, or in the ramp after it, does not count: the admission controller is
//     idle then, otherwise it would refuse new messages for a backlog that comes from the outage and not
//     from the load.
//   - A small fleet has at most maxSmallFleet senders; a large fleet has more.
//   - A busy sender makes enough calls on a route to find its limit by itself (see canMeasure); a light
//     sender makes fewer. In a small fleet every sender counts as busy.

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// Parameters of the decisions. Each comment names the unit; a value without a unit is a count, a factor or a
// share.
const (
	// Admission control.

	// Control period T, in ms.
	controlPeriod = 1000.0
	// EWMA weight of a new control period in the arrival rate and in the mean waiting time E[X].
	periodGain = 0.3
	// Initial diagonal of the covariance matrix of the recursive least squares (RLS) estimate of theta. A larger
	// value lets the first samples move theta further.
	rlsInitialP = 1.0
	// Initial theta1 of the delay model: without a correction, a delay error persists from one period to the
	// next.
	initialTheta1 = 1.0
	// Initial theta2 of the delay model: admitting every message for one period adds half of the target delay
	// Dref to the delay.
	initialTheta2 = 0.5
	// Lower bound of theta2, by which the control law divides.
	minTheta2 = 0.25
	// Lower bound of the admission probability, as in the controller of Liu et al.
	minAdmission = 0.1
	// Time without arrivals after which a destination's controller starts afresh, in ms.
	controllerResetDelay = 30000.0
	// Lower bound of the target delay Dref, as a share of the tightest aim of the classes. Dref is that aim less
	// the mean call latency of the destination.
	minDrefShare = 0.1

	// Call latency and time-outs.

	// EWMA weight of a call in the latency of a destination or class and in the failure share of an endpoint.
	callGain = 0.2
	// Mean deviations above the mean latency within which a normal call ends.
	latencyDeviations = 4.0
	// Time-out of a call as a multiple of mean + latencyDeviations × deviation, so that slow calls still
	// succeed.
	timeoutMultiple = 3.0
	// Lower bound of the time-out of a call, in ms.
	minCallTimeout = 2500.0
	// Least age of the oldest call in flight at which its endpoint may be suspected, in ms.
	minSuspectAge = 1200.0

	// Pace of a route.

	// Time constant of the rate meters, in ms. It is also the time without a success after which a route that
	// refuses may be unavailable.
	rateMeterTau = 6000.0
	// Largest number of senders whose shares of a limit are big enough for each to measure the limit by itself.
	maxSmallFleet = 8
	// Calls per second on a route above which a sender of a large fleet sees enough to measure the limit by
	// itself.
	minBusyRate = 1.0
	// At a refusal, a busy sender's pace falls to this share of its accepted rate, at most once per round
	// trip.
	busyCutFactor = 0.8
	// Share of its pace by which a busy sender's pace rises per second.
	busyGrowthRate = 0.06
	// The growth of a busy sender's pace is computed from at least this pace, in calls per second.
	minGrowthPace = 2.5
	// Share of its pace by which a light sender's pace falls at a refusal.
	lightCut = 0.5
	// Share by which a light sender's pace rises on success. Where these rises and the cuts by lightCut balance,
	// about four in five calls are accepted.
	lightGrowth = 0.15
	// Time without refusals in which a light sender's pace rises e-fold, in ms.
	paceRecoveryTau = 15000.0
	// Upper bound of the rise of a light sender's pace with time, for each call that the pace allows, as an
	// exponent of e.
	maxRecoveryPerCall = 0.2
	// Pace from which a light sender's first cut starts, in calls per second. A pace above it falls to it before
	// it is cut. Half of it is the lower bound of a cut of a busy sender's pace.
	initialPace = 0.8
	// Lower bound of a light sender's pace, in calls per second.
	minPace = 0.02
	// Fraction of its even share of an advertised limit that a sender of a large fleet uses; the rest is a
	// margin, since calls come at random times.
	evenShareUse = 0.9
	// Bucket depth for an even share of an advertised limit, in calls: what is unused is saved up to this.
	evenShareBurst = 3.0
	// EWMA weight of a report of a limit that differs from the known one by less than limitReportNoise. Only a
	// large fleet smooths reports.
	limitReportGain = 0.3
	// Relative difference from which on a reported limit has changed and is adopted at once.
	limitReportNoise = 0.3
	// Requested wait, in ms, above which the destination is assumed to count refused calls against its limit.
	debtWait = 1200.0
	// Refusals in a row from which the destination is assumed to count refused calls against its limit.
	debtRefusals = 4
	// Fraction of an even share of the advertised limit that the pace falls to where refused calls count
	// against the limit.
	debtPaceShare = 0.8

	// Choice of endpoint: the one of least cost, in units of one call in flight.

	// Upper bound of the cost of an endpoint by its place in the sender's own order, in calls in flight. It is
	// small, so that the order decides only between endpoints that are equal otherwise.
	senderOrderCost = 0.1
	// Scale of the random cost of an endpoint with a limit of its own, in calls per second. The mean cost is
	// this divided by the limit: up to a limit of about this size, chance outweighs the other costs.
	randomRouteCost = 10.0

	// Token buckets and pauses of messages.

	// Depth of a pace's token bucket, as time at the pace in ms; one call at least.
	burstDuration = 500.0
	// Least Retry-After of a refusal, and least pause before the endpoint list is requested again, in ms.
	minRetryAfter = 200.0
	// Pause of a message after its first failed attempt, in ms. It doubles with each further attempt. A refusal
	// causes none.
	initialRetryDelay = 150.0

	// Idle connections that have died unnoticed.

	// Connections idle for less than this, in ms, are not suspected of having died.
	minSuspectIdle = 1000.0
	// EWMA weight of a call on an idle connection in the failing share of such calls.
	staleGain = 0.25
	// Failing share of calls on idle connections above which idle connections are not trusted.
	maxStaleShare = 0.3
	// Part of the failing share of calls on idle connections that is forgotten each time an idle connection is
	// replaced, so that such connections are tried again some day.
	staleDecay = 0.01

	// Scarce connections: a kind of destination accepts too few for all senders of a large fleet.

	// EWMA weight of a message's first connection attempt in the refused share at a kind of destination.
	dialGain = 0.2
	// Refused share of first connection attempts from which on connections are scarce at a kind of destination.
	maxDialFailureShare = 0.45
	// A connection made within this time after a refused one, in ms, shows scarcity: no outage ends so soon.
	scarceSuccessWindow = 3500.0
	// Time for which no idle connection is kept where connections are scarce, in ms.
	scarceDuration = 60000.0

	// Costs and margins.

	// Cost of a call to another zone per unit of CrossZoneFee, in calls in flight.
	crossZoneCost = 20.0
	// Share of its class's dedup window within which a message that may have run is sent again.
	dedupMargin = 0.9
	// Share of MaxHeld above which the messages of least worth are shed.
	maxHeldShare = 0.9
	// Least interval between two log lines about the same event at the same endpoint or destination, in ms.
	minLogInterval = 200.0
	// A held message is answered at least this long before its deadline, in ms.
	answerMargin = 40.0
)

// Step processes a batch of events in order, dispatches messages once, appends the resulting actions to
// actions and returns that. now is the time of all of them, in ms.
func (s *Sender) Step(now float64, events []Event, actions []Action) []Action {
	s.now, s.actions = now, actions
	s.steps++
	s.sweep()
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case EvList:
			s.updateEndpoints(e)
		case EvFacts:
			s.keepFacts(e.Facts)
		case EvPace:
			s.setPaceCap(e)
		case EvSettings:
			s.applySettings(e.Settings)
		case EvMessage:
			s.admit(e)
		case EvOutcome:
			s.handleOutcome(e)
		case EvWithdrawn:
			if m := s.messages[e.ID]; m != nil && !m.ended {
				s.end(m)
			}
		case EvTimer:
			if e.Token == s.timerToken {
				s.timerAt = math.Inf(1)
			}
		}
	}
	for len(s.timers) > 0 && s.timers[0].at <= now {
		s.checkSendDeadline(heap.Pop(&s.timers).(sendTimer).m)
	}
	if now >= s.subscribeAt {
		s.subscribeAt = math.Inf(1)
		s.actions = append(s.actions, Action{Kind: ActSubscribe})
	}
	s.shed()
	next := min(s.dispatch(), s.subscribeAt)
	if len(s.timers) > 0 {
		next = min(next, s.timers[0].at)
	}
	s.armTimer(next)
	actions, s.actions = s.actions, nil
	return actions
}

// updateEndpoints applies a list of endpoints. An endpoint that drains or is gone receives nothing new from
// this step on, well within the drain grace period. A list that is sent on request only and could not be
// fetched is requested again after a random pause.
func (s *Sender) updateEndpoints(e *Event) {
	if e.Failed {
		if s.settings.Subscribe {
			s.subscribeAt = s.now + minRetryAfter*(1+4*s.rng.Float64())
		}
		return
	}
	if e.FullList {
		s.retainListed(e.List)
	}
	var newlyReady []*endpoint
	for _, listed := range e.List {
		if listed.State == Gone {
			s.retire(s.endpoints[listed.ID])
			continue
		}
		ep := s.endpoints[listed.ID]
		if ep != nil && ep.dest.id != listed.Dest { // another machine has taken over the name
			s.forgetEndpoint(ep)
			ep = nil
		}
		if ep == nil {
			ep = s.addEndpoint(listed)
			s.restoreEndpoint(ep)
			if r := ep.route; s.settings.RatingIsRate && r.advertisedLimit == 0 &&
				listed.Rating > 0 && !math.IsInf(listed.Rating, 0) {
				r.advertisedLimit, r.pace = listed.Rating, listed.Rating
				if s.usesEvenShare(r) {
					// Many senders start at the same moment: the initial level is random, one call on average.
					r.pace, r.paceTokens.level = evenShareUse*s.evenShare(r), 2*s.rng.Float64()
				}
			}
		}
		if listed.State == Ready && !ep.ready {
			newlyReady = append(newlyReady, ep)
		}
		ep.ready, ep.removedAt = listed.State == Ready, 0
	}
	for _, ep := range newlyReady { // after the whole list, which may name the endpoints that failed last
		s.shareOutage(ep)
	}
}

// admit accepts or refuses a new or restored message. It ignores one that it already knows.
func (s *Sender) admit(e *Event) {
	if s.messages[e.ID] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(s.settings.Classes) || !(e.Remaining > 0) {
		s.actions = append(s.actions, Action{Kind: ActRefuse, ID: e.ID})
		return
	}
	c, d := &s.settings.Classes[e.Class], s.destination(e.Dest)
	remaining := min(e.Remaining, c.Deadline)
	m := &message{id: e.ID, class: c, classIndex: e.Class, dest: d, arrived: s.now, mayHaveRunAt: -1}
	m.deadline = s.now + remaining
	m.aimAt = m.deadline - c.Deadline + c.Aim
	if s.settings.MarksResubmissions && !e.Resubmitted && !e.Restored ||
		!s.settings.MarksResubmissions && !e.Restored && remaining <= c.Aim {
		// The message is new and has not waited: if little time is left, its client is impatient. Where clients
		// mark no resubmissions, one that has at most its aim left counts as new.
		m.aimAt = s.now + c.Aim
	}
	s.accrueWait(d)
	d.admission.countArrival(s.now)
	s.updateController(d)
	s.messages[m.id] = m
	s.held++
	if c.Ordered && e.Key != 0 {
		s.joinKey(m, e.Key)
	}
	if e.Restored { // accepted in an earlier run: only its attempts and its deadline can end it here
		m.attempts = e.Attempts
		if e.MayHaveRun {
			m.mayHaveRunAt, m.mayHaveRunZone = s.now-e.MayHaveRunAge, e.MayHaveRunZone
		}
		if m.attempts >= s.settings.MaxAttempts || m.mayHaveRunAt >= 0 && c.Effect == Unsafe ||
			m.mayHaveRunAt >= 0 && c.ZoneScope && m.mayHaveRunZone == UnknownZone || s.sendDeadline(m) <= s.now {
			s.endUndelivered(m)
			return
		}
	} else if d.throttled && s.rng.Float64() >= d.admission.pa {
		s.refuse(m)
		return
	}
	s.enqueue(m)
	s.setSendTimer(m)
}

// sendDeadline returns the last moment at which m may still be sent.
func (s *Sender) sendDeadline(m *message) float64 {
	at := m.deadline - max(s.callTime(m), answerMargin)
	if m.mayHaveRunAt >= 0 && m.class.Effect == Keyed {
		at = min(at, m.mayHaveRunAt+m.class.DedupWindow*dedupMargin)
	}
	return at
}

// checkSendDeadline handles a send timer: a held message that is past its send deadline is answered without
// a further attempt. The deadline moves with the call latency, so the timer may have to be set again.
func (s *Sender) checkSendDeadline(m *message) {
	if m.ended || m.inFlight != nil {
		return
	}
	if s.sendDeadline(m) > s.now {
		s.setSendTimer(m)
		return
	}
	s.endUndelivered(m)
}

// endUndelivered gives the final answer that the attempts of m allow: a refusal, which promises that m never
// ran or may be repeated safely, otherwise a failure, since m may have run.
func (s *Sender) endUndelivered(m *message) {
	if m.mayHaveRunAt < 0 || m.class.Effect == Safe || m.class.Effect == Keyed && !m.class.ZoneScope {
		s.refuse(m)
		return
	}
	s.actions = append(s.actions, Action{Kind: ActFail, ID: m.id})
	s.end(m)
}

// refuse hands m back undelivered. Where clients are given a Retry-After, it is the time in which the queue
// of the destination drains, between minRetryAfter and MaxRetryAfter.
func (s *Sender) refuse(m *message) {
	after := 0.0
	if s.settings.SendsRetryAfter {
		after = min(s.settings.MaxRetryAfter, max(m.dest.admission.ex*float64(len(m.dest.queue)), minRetryAfter))
	}
	s.actions = append(s.actions, Action{Kind: ActRefuse, ID: m.id, After: after})
	s.end(m)
}

// shed ends the messages of least worth undelivered when the capacity for held messages is nearly used up,
// from the longest queue first, so that an outage of one destination does not cause refusals for the others.
// Drawback: a backlog that would have drained in time is cut, though only above maxHeldShare.
func (s *Sender) shed() {
	excess := s.held - int(maxHeldShare*float64(s.settings.MaxHeld))
	if s.settings.MaxHeld <= 0 || excess <= 0 {
		return
	}
	for i, n := range shedCounts(s.waiting, excess) {
		d := s.waiting[i]
		for _, m := range s.leastWorth(d.queue, n) {
			s.endUndelivered(m)
		}
		s.dropShed(d)
	}
}

// update ends a control period: predictor (eq. 4), RLS (eqs. 9, 10) and control law (eq. 11) of Liu et al.
// with n=1, m=0, d=1. The error is relative to Dref. oldest is the age of the oldest held message, which
// replaces the delay when nothing was sent: a silent destination would yield samples only at its time-outs.
// active says that the destination is throttled; otherwise everything is admitted. Times are in ms.
func (c *admissionController) update(now, dref, oldest float64, active bool) {
	elapsed := now - c.periodStart
	if elapsed < controlPeriod {
		return
	}
	rate := float64(c.arrivals) / elapsed
	if c.lambda == 0 {
		c.lambda = rate
	}
	c.lambda += periodGain * (rate - c.lambda)
	delay := oldest
	if c.sent > 0 {
		delay = c.delaySum / float64(c.sent)
	}
	arrived := c.arrivals > 0
	c.periodStart, c.arrivals, c.delaySum, c.sent = now, 0, 0, 0
	if !active {
		c.admitAll()
		return
	}
	if c.delivered > 0 {
		x := c.waitingTime / c.delivered
		if c.ex == 0 {
			c.ex = x
		}
		c.ex += periodGain * (x - c.ex)
		c.waitingTime, c.delivered = 0, 0
	} else { // no delivery yet in this waiting time, so E[X] is at least as long
		c.ex = max(c.ex, c.waitingTime)
	}
	if arrived && c.ex > 0 { // without arrivals the last value is kept
		c.pam = (dref - c.ex) / (c.lambda * dref * c.ex)
	}
	y := (delay - dref) / dref
	if c.hasPrevious {
		c.updateTheta(y)
	}
	c.y, c.u, c.hasPrevious = y, -c.theta[0]*y/c.theta[1], true
	c.pa = min(max(c.pam+c.u, minAdmission), 1)
}

// updateController ends the control period of d if it is due. Without an aim of any class there is no target
// delay, and no period ends.
func (s *Sender) updateController(d *destination) {
	if math.IsInf(s.minAim, 1) {
		return
	}
	previous := d.admission.pa
	d.admission.update(s.now, max(s.minAim-d.latency.mean, minDrefShare*s.minAim),
		d.firstAge(s.now), d.throttled)
	if previous == 1 && d.admission.pa < 1 {
		s.logRefusing(d)
	}
}

// dispatch gives the free call slots to the waiting destinations in turn, fewest calls in flight first, and
// returns the time at which the next dispatch could do more.
func (s *Sender) dispatch() float64 {
	next := math.Inf(1)
	candidates := s.pruneWaiting()
	if s.halted {
		candidates = nil
	}
	s.suspectCalls = 0
	for _, c := range s.calls {
		if s.suspected(c.ep) {
			s.suspectCalls++
		}
	}
	for len(candidates) > 0 {
		d := slices.MinFunc(candidates, func(a, b *destination) int {
			return cmp.Or(a.callsInFlight-b.callsInFlight, cmp.Compare(a.virtualTime, b.virtualTime))
		})
		at := s.serve(d)
		if at > s.now || len(d.queue) == 0 {
			next = min(next, at)
			candidates = remove(candidates, d)
		}
	}
	for _, d := range s.waiting {
		s.accrueWait(d)
		// In an outage of the whole destination no message waits for a slot and the backlog does not come from
		// load: the controller stays idle. Drawback: a long outage fills the capacity for held messages.
		d.unavailable = true
		for _, ep := range d.endpoints {
			d.unavailable = d.unavailable && (!ep.ready || s.suspected(ep))
		}
		d.markHeldInOutage()
		shareUsed := d.callsInFlight*max(len(s.waiting), 1) >= s.settings.CallSlots
		d.throttled = len(d.queue) > 0 && !d.unavailable && (s.slotsInUse < s.settings.CallSlots || shareUsed)
		s.updateController(d)
	}
	return next
}

// serve makes one call for d if it may, or adds messages to a call that this step began. It returns s.now if
// it sent any, otherwise the earliest time at which it could: +Inf if that takes another event.
func (s *Sender) serve(d *destination) float64 {
	var best *endpoint
	next, bestCost := math.Inf(1), 0.0
	for i, ep := range d.endpoints {
		at := s.nextCallAt(ep)
		if at > s.now {
			next = min(next, at)
			continue
		}
		// A new connection, another zone and a zone fee cost extra; calls in flight and an empty bucket mean
		// delay.
		cost := float64(len(ep.calls)) + 10*ep.zoneFee - 0.2*min(ep.route.paceTokens.level, 3)
		if len(ep.calls) >= ep.conns*ep.streamsPerConn || s.now-ep.lastUsed > 0.9*s.settings.KeepAlive {
			cost += 0.7
		}
		if ep.zone != s.settings.Zone {
			cost += 0.2 + crossZoneCost*s.settings.CrossZoneFee
		}
		if !s.smallFleet() {
			// Each sender has its own order among equal endpoints, or all would fill the queue of the same one.
			cost += senderOrderCost * float64((i+s.settings.Index)%len(d.endpoints)) / float64(len(d.endpoints))
		}
		if len(ep.route.endpoints) < len(d.endpoints) && !s.smallFleet() {
			// Endpoints with small limits of their own are chosen by limit and chance, or all senders would choose
			// alike.
			cost += s.rng.ExpFloat64() * randomRouteCost / max(ep.route.advertisedLimit, 1)
		}
		if ep.breaker == open {
			cost += float64(ep.failedTrials)
		}
		if s.suspected(ep) {
			// An endpoint that is not suspected goes first: the fault may lie with this one or on the way to it. The
			// penalty decays, or one failure would idle the endpoint for as long as the other one has a queue.
			penalty := 5.0
			if ep.breaker == closed && len(ep.calls) == 0 {
				penalty *= math.Exp((ep.lastFailure - s.now) / suspicionTau)
			}
			cost += penalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = ep, cost
		}
	}
	if best == nil {
		return next
	}
	joins := best.stepCall != nil && best.stepSeq == s.steps && best.stepCall.size < best.maxBatch
	if !joins && s.slotsInUse >= s.settings.CallSlots {
		return math.Inf(1)
	}
	free := best.maxBatch
	if joins {
		free -= best.stepCall.size
	}
	sent, messageAt, callTime := 0, 0.0, 0.0
	for sent < free {
		m, at := s.chooseMessage(d, best)
		if m == nil {
			messageAt = at
			break
		}
		callTime = s.callTime(m)
		s.send(m, best)
		sent++
	}
	if sent == 0 {
		return min(next, messageAt)
	}
	// Turns are weighted by slot time; the messages of a call share the time of one slot. This protects short
	// calls and large batches from slow destinations where slots are few. Drawback: a slow destination waits
	// longer.
	s.virtualTime = max(s.virtualTime, d.virtualTime)
	d.virtualTime = s.virtualTime + callTime/float64(sent)
	return s.now
}

// chooseMessage returns the message of d that is worth most at target now, or nil and the time at which one
// may be sent there: +Inf if that takes another event.
func (s *Sender) chooseMessage(d *destination, target *endpoint) (*message, float64) {
	var best *message
	next, bestRank := math.Inf(1), 0.0
	for _, m := range d.queue {
		if m.notBefore > s.now {
			next = min(next, m.notBefore)
			continue
		}
		if s.sendDeadline(m) <= s.now ||
			m.mayHaveRunAt >= 0 && m.class.ZoneScope && m.mayHaveRunZone != target.zone {
			continue
		}
		if m.key != 0 {
			q := s.keyQueues[m.key]
			if q.messages[0] != m {
				continue
			}
			if q.pausedUntil > s.now && q.pausedFor != m {
				next = min(next, q.pausedUntil)
				continue
			}
		}
		rank := s.worth(m)
		if s.now+s.callTime(m) > m.aimAt {
			rank *= 0.6 // a message that misses its aim anyway yields to those that can meet theirs
		}
		if target.breaker == open && target.unresponsive && m.class.Effect == Unsafe {
			rank *= 0.01 // a lost trial cannot be repeated
		}
		if best == nil || rank > bestRank || rank == bestRank && m.deadline < best.deadline {
			best, bestRank = m, rank
		}
	}
	return best, next
}

// nextCallAt returns when ep may next be called, after requested waits, back-off, pace, breaker, ramp and
// bulkhead: s.now, a later time, or +Inf if that takes another event. It brings the pace and the token
// buckets up to date, and ends a ramp that is over.
func (s *Sender) nextCallAt(ep *endpoint) float64 {
	if !ep.ready {
		return math.Inf(1)
	}
	r := ep.route
	if r.waitUntil > s.now {
		return r.waitUntil
	}
	if ep.stepCall != nil && ep.stepSeq == s.steps && ep.stepCall.size < ep.maxBatch {
		return s.now // joins a call that the limits have already counted
	}
	inFlight := len(ep.calls)
	switch ep.breaker {
	case closed:
		if ep.failures > 0 && ep.nextTrial > s.now {
			return ep.nextTrial
		}
	case open:
		if ep.answeredError && s.smallFleet() {
			// The endpoint answers, if mostly with errors. Calls that even a cold destination can take go on: each
			// may be the one that is accepted, which shows at once that the outage is over.
			if at := s.nextRampCallAt(r); at > s.now {
				return at
			}
			break
		}
		if inFlight > 0 {
			return math.Inf(1)
		}
		for _, other := range ep.dest.endpoints { // the trial of another endpoint in an outage goes first
			if other == ep || other.route != r && s.smallFleet() || other.breaker != open || len(other.calls) == 0 {
				continue
			}
			if other.calls[len(other.calls)-1].sentAt >= other.nextTrial-1 {
				return math.Inf(1)
			}
		}
		if ep.nextTrial > s.now {
			return ep.nextTrial
		}
	case ramping:
		if s.rampProgress(ep) >= 1 {
			ep.breaker = closed
			s.logBreaker(ep, "warm")
			break
		}
		if at := s.nextRampCallAt(r); at > s.now {
			return at
		}
	}
	// Bulkhead: a destination may hold all slots but one. A suspected endpoint (failing, in outage or ramp, or
	// with its oldest call far over its usual latency) may hold a fifth of the slots, and all suspected ones
	// together a third, so that hung calls leave slots to the healthy. Slowness, silence and pauses are treated
	// alike. Drawback: it slows an endpoint whose call latencies differ widely.
	if ep.dest.callsInFlight >= max(s.settings.CallSlots-1, 1) {
		return math.Inf(1)
	}
	if s.suspected(ep) && (inFlight >= max(s.settings.CallSlots/5, 1) ||
		s.suspectCalls >= max(s.settings.CallSlots/3, 1)) {
		return math.Inf(1)
	}
	if r.pace > 0 {
		r.pace = max(r.pace, r.paceCap) // a pace cut by an outage says less than a known limit
		depth := max(1, r.pace*burstDuration/1000)
		if s.usesEvenShare(r) {
			depth = evenShareBurst
		}
		if at := r.paceTokens.refill(s.now, r.pace/1000, depth); at > s.now {
			r.heldBack = true
			return at
		}
	}
	if r.paceCap > 0 { // calls under a cap are evenly spaced: bursts of many senders would add up
		return r.capTokens.refill(s.now, r.paceCap/1000, 1)
	}
	return s.now
}

// send calls ep with m. Messages sent to one endpoint in the same step share a call up to the endpoint's
// batch size. The call times out at the deadline of its message at the latest.
func (s *Sender) send(m *message, ep *endpoint) {
	d := m.dest
	c := ep.stepCall
	if c == nil || ep.stepSeq != s.steps || c.size >= ep.maxBatch {
		c = s.startCall(m, ep)
		if s.suspected(ep) {
			s.suspectCalls++
		}
		ep.route.countCall(s.now)
		if ep.breaker != closed {
			ep.route.rampBudget.level--
		}
		if c.idleTime >= s.minStaleIdle && s.staleShare > maxStaleShare {
			s.closeIdle(ep)
			c.idleTime = 0
			s.staleShare *= 1 - staleDecay
		}
		s.useConnection(c)
	} else if ep.breaker != closed {
		ep.route.rampBudget.level -= batchItemWeight
	}
	c.pending++
	c.size++
	if m.attempts == 0 && !m.heldInOutage {
		s.accrueWait(d)
		d.admission.delaySum += s.now - m.arrived
		d.admission.sent++
	}
	m.attempts, m.inFlight = m.attempts+1, c
	s.dequeue(m)
	timeout := max(timeoutMultiple*d.latency.upperBound(latencyDeviations), minCallTimeout) * ep.timeoutBackoff
	if ep.breaker == open { // an unanswered trial must end soon, so that the next can find the endpoint back
		timeout = max(timeoutMultiple*d.latency.upperBound(latencyDeviations), minTrialTimeout) *
			min(ep.timeoutBackoff, 2)
	}
	s.actions = append(s.actions, Action{
		Kind: ActSend, ID: m.id, Endpoint: ep.id, After: min(timeout, m.deadline-s.now),
	})
}

// handleOutcome processes the end of an attempt. It ignores an outcome that is not of the attempt in flight.
func (s *Sender) handleOutcome(e *Event) {
	m := s.messages[e.ID]
	if m == nil || m.inFlight == nil || e.Attempt != m.attempts-1 {
		return
	}
	c, d := m.inFlight, m.dest
	m.inFlight = nil
	if c.pending--; c.pending == 0 {
		s.endCall(c)
		if len(c.ep.calls) == 0 && s.now < s.dialStats[c.ep.kind].scarceUntil {
			s.closeIdle(c.ep)
		}
	}
	if e.RequestedWait > 0 { // each message of a call may come with its own wait
		c.ep.route.waitUntil = max(c.ep.route.waitUntil, s.now+e.RequestedWait+1)
	}
	s.applyReport(c.ep.route, e.Report)
	if !c.counted && e.Outcome != Moot {
		c.counted = true
		s.recordResult(c, e.Outcome, e.RequestedWait)
	}
	if e.Outcome == OK {
		c.ep.route.deliveredRate.add(s.now, 1)
		d.latency.add(e.Latency)
		s.classLatency[m.classIndex].add(e.Latency)
		if d.throttled {
			d.admission.delivered++
		}
	}
	if !e.Outcome.NeverRan() && e.Outcome != OK {
		if m.mayHaveRunAt < 0 {
			m.mayHaveRunAt, m.mayHaveRunZone = c.sentAt, c.ep.zone
		}
		if q := s.keyQueues[m.key]; m.key != 0 && q != nil && e.Outcome != Error {
			q.pausedUntil, q.pausedFor = max(q.pausedUntil, s.now+s.settings.KeyPause), m
		}
	}
	switch {
	case m.ended:
		s.forgetMessage(m)
	case e.Final || e.Outcome == OK:
		s.end(m)
	case m.mayHaveRunAt >= 0 && m.class.Effect == Unsafe, m.attempts >= s.settings.MaxAttempts,
		s.sendDeadline(m) <= s.now:
		s.endUndelivered(m)
	default:
		if e.Outcome != Full {
			m.notBefore = s.now + s.jittered(initialRetryDelay*math.Exp2(float64(m.attempts-1)))
		}
		s.enqueue(m)
		s.setSendTimer(m)
	}
}

// applyReport records the allowance left and the limit that a destination reports, and adapts the pace.
func (s *Sender) applyReport(r *route, values []float64) {
	r.allowanceLeft = reportField(values, s.settings.AllowanceIndex)
	if limit := reportField(values, s.settings.LimitIndex); limit > 0 && !math.IsInf(limit, 0) {
		if r.limitReported && limit > limitJump*r.advertisedLimit { // the pace follows a rise as it follows a fall
			r.pace *= limit / r.advertisedLimit
		}
		if !s.smallFleet() && r.limitReported &&
			math.Abs(limit-r.advertisedLimit) < limitReportNoise*r.advertisedLimit {
			limit = r.advertisedLimit + limitReportGain*(limit-r.advertisedLimit)
		}
		r.advertisedLimit, r.limitReported = limit, true
		if s.usesEvenShare(r) {
			r.pace = evenShareUse * s.evenShare(r)
		}
		if r.pace == 0 || r.pace > limit {
			r.pace = limit
		}
		if s.smallFleet() { // growth alone would take too long to reach a limit that has risen again
			r.pace = max(r.pace, s.evenShare(r)/2)
		}
	}
}

// learnStaleness learns whether connections die while idle: calls on them then go unanswered or break
// although the endpoint works. A connection idle for longer than the shortest idle time that failed is then
// replaced.
func (s *Sender) learnStaleness(c *call, outcome Outcome) {
	c.ep.lastUsed = s.now
	if c.idleTime < minSuspectIdle {
		return
	}
	switch outcome {
	case OK:
		s.staleShare *= 1 - staleGain
		if s.staleShare < maxStaleShare {
			s.minStaleIdle = math.Inf(1)
		}
	case Timeout, Reset, Cancelled:
		s.staleShare += staleGain * (1 - s.staleShare)
		s.minStaleIdle = min(s.minStaleIdle, c.idleTime)
	}
}

// connectionRefused reports whether a connection was refused at once, rather than left unanswered.
func (s *Sender) connectionRefused(c *call, outcome Outcome) bool {
	return outcome == ConnectFailed && s.now-c.sentAt < s.settings.DialTimeout/2
}

// learnScarcity learns, for each kind of destination, whether connections are scarce there: first attempts
// of messages then fail to connect, whatever the destination, and idle connections keep other senders out.
// In a large fleet, no idle connection is kept at that kind for a while then. Drawback: an outage of most of
// a kind looks the same and costs handshakes.
func (s *Sender) learnScarcity(c *call, outcome Outcome) {
	kind := &s.dialStats[c.ep.kind]
	refused := s.connectionRefused(c, outcome)
	// An outage does not end so soon after a refused connection; scarcity does.
	recovered := outcome == OK && c.newConnection && s.now-c.ep.connRefusedAt < scarceSuccessWindow
	if refused {
		c.ep.connRefusedAt = s.now
	}
	if c.firstAttempt && c.newConnection {
		kind.failureShare *= 1 - dialGain
		if refused {
			kind.failureShare += dialGain
		}
	}
	if s.smallFleet() || !recovered && (!refused || kind.failureShare < maxDialFailureShare) {
		return
	}
	newlyScarce := s.now >= kind.scarceUntil
	kind.scarceUntil = s.now + scarceDuration
	for _, ep := range kind.endpoints {
		if newlyScarce && ep.breaker == open && ep.failedTrials == 0 && !ep.unresponsive {
			ep.breaker, ep.failures = closed, 0 // it was short of connections, not down
		}
		if ep.conns > 0 && len(ep.calls) == 0 {
			s.closeIdle(ep)
		}
	}
}

// handleRefusal learns from the outcome Full. A busy sender's pace follows its accepted rate. A light
// sender's pace starts low, halves and may fall to seconds between calls, so that all paces together come
// near the limit whatever the number of senders. The next call is spread at random. Long requested waits,
// or refusals alone for a while, mean that the destination is unavailable: the breaker opens, and it is
// cold when it comes back.
func (s *Sender) handleRefusal(ep *endpoint, wait, sentAt float64) {
	r := ep.route
	if r.refusals++; r.refusals == 1 {
		r.refusedSince = s.now
	}
	s.raisePace(r, 0)
	share := s.evenShare(r)
	switch {
	case s.usesEvenShare(r): // the report in the answer says more than the refusal
	case s.canMeasure(r): // its own calls show the rate that is accepted
		if sentAt >= r.cutAt {
			r.cutAt = s.now
			accepted := r.acceptedRate.rate(s.now)
			if r.pace > 0 {
				accepted = min(max(accepted, r.pace/2), r.pace)
			}
			r.pace = max(accepted*busyCutFactor, initialPace/2)
			if s.settings.LimitIndex >= 0 { // a report is accurate; a rating of the list may be far off
				r.pace = max(r.pace, share/2)
			}
		}
	case s.settings.LimitIndex >= 0 && r.advertisedLimit > 0 && (wait > debtWait || r.refusals >= debtRefusals):
		r.pace = max(share*debtPaceShare, minPace) // refused calls may use up the limit
	default:
		if r.pace == 0 || r.pace > initialPace { // the pace held nothing back
			r.pace = initialPace
		}
		r.pace = max(r.pace*(1-lightCut), minPace)
	}
	// To a sender that meets it once, an unavailable destination looks like one at its limit, but much of its
	// allowance, if reported, is left. A random part of the light senders without a recent success waits as
	// after a failure; otherwise most calls to a destination that comes back would come from these. Drawback:
	// calls are delayed at a mere limit, or where a report is late.
	tokens := s.rng.Float64() - 0.5
	unavailable := s.now-r.lastOK > rateMeterTau &&
		(s.settings.AllowanceIndex < 0 || r.allowanceLeft > minUnusedAllowance)
	if unavailable && !s.canMeasure(r) && s.rng.Float64() < unavailableSenderShare {
		tokens = min(tokens, 1-r.pace*s.jittered(s.minFailurePause())/1000)
	}
	r.paceTokens = tokenBucket{min(r.paceTokens.level, tokens), s.now}
	if ep.breaker == open || ep.failures > 0 && !s.smallFleet() {
		s.openBreaker(ep)
	} else if wait > unavailableWait ||
		r.refusals >= unavailableRefusals && s.now-max(r.refusedSince, r.lastOK) > unavailableWindow {
		for _, other := range r.endpoints {
			s.openBreaker(other)
			if wait > unavailableWait && s.smallFleet() { // it says when it is back: few senders may all try then
				other.nextTrial = r.waitUntil
			}
		}
	}
}

// evenShare returns a sender's even share of an advertised limit, in calls per second.
func (s *Sender) evenShare(r *route) float64 { return r.advertisedLimit / s.senders() }

// usesEvenShare reports whether answers report the route's limit and too many senders share it for each to
// find its share by its own calls: a sender that calls once in two seconds learns of a refusal long after
// others have made up for it. All keep to an even share then. Drawback: what one sender leaves unused is
// lost to the others, up to 1 - evenShareUse plus the random differences in how many messages each
// receives.
func (s *Sender) usesEvenShare(r *route) bool {
	return !s.smallFleet() && s.settings.LimitIndex >= 0 && r.advertisedLimit > 0
}

// smallFleet reports whether there are so few senders that each one's own traffic shows the state of a
// destination.
func (s *Sender) smallFleet() bool { return s.settings.Senders <= maxSmallFleet }

// canMeasure reports whether the sender's own calls show a route's limit: few senders share it, or this one
// calls often.
func (s *Sender) canMeasure(r *route) bool {
	return s.smallFleet() || r.callRate.rate(s.now) > minBusyRate
}

// raisePace raises the pace of a route that does not use an even share. A busy sender's pace rises on success
// if it held messages back, by the time since raisePace last ran, 1 s at most. A light sender's pace rises
// with time, and on success by the share growth if it held messages back. growth is 0 at a refusal. Where
// answers report limits, the advertised limit is the upper bound.
func (s *Sender) raisePace(r *route, growth float64) {
	if r.pace > 0 && !s.usesEvenShare(r) {
		elapsed := s.now - r.raisedAt
		if s.canMeasure(r) {
			if r.heldBack && growth > 0 {
				r.pace += min(elapsed, 1000) / 1000 * busyGrowthRate * max(r.pace, minGrowthPace)
			}
		} else {
			if r.heldBack {
				r.pace *= 1 + growth
			}
			r.pace *= math.Exp(min(elapsed/paceRecoveryTau, elapsed*r.pace/1000*maxRecoveryPerCall))
		}
		if s.settings.LimitIndex >= 0 && r.advertisedLimit > 0 {
			r.pace = min(r.pace, r.advertisedLimit)
		}
	}
	r.heldBack, r.raisedAt = r.heldBack && growth == 0, s.now
}
