package policy

// The decisions of sliptide. The interface (settings, events, actions) is in api.go.
//
// A message goes: intake (random refusal by the destination's controller), its destination's queue, a
// slot turn, a call to one endpoint, an outcome. Words used below:
//
//   - A route is what a limit and a told wait hit: a destination, or one endpoint where these have limits
//     of their own. Pace (token bucket, AIMD) and waits are kept per route; health (circuit breaker,
//     half-open trials, slow start) per endpoint, since an outage may take only some of them.
//   - A destination waits while it holds messages that its own pace, limit or share of slots keeps back.
//     Time in an outage or in the ramp after it is not waiting for a slot: the controller rests then, or
//     it would refuse fresh traffic for a backlog that the outage, not the load, has made.

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// Tuned values. All times are milliseconds; all rates are per second.
const (
	period      = 1000.0 // T, the controller's period
	gain        = 0.3    // EWMA weight of a new period in arrival rate and E[X]
	rlsP0       = 1.0    // p0: how freely the first samples move theta
	theta1Start = 1.0    // a delay error lasts, without a correction
	theta2Start = 0.5    // admitting all for a period adds half a Dref
	theta2Floor = 0.25
	minAdmit    = 0.1     // the paper's clamp
	ageAfter    = 30000.0 // an idle destination's controller starts afresh
	drefShare   = 0.1     // Dref is at least this share of the aim
	latGain     = 0.2     // EWMA weight of a call's latency
	latDevs     = 4.0     // mean deviations that a usual call stays under
	timeoutOf   = 3.0     // a time-out is so many times mean + 4 deviations; slow calls still work
	timeoutLo   = 2500.0  // and never under this
	suspectLo   = 1200.0  // the oldest call out this long at least before its endpoint is suspect
	meterTau    = 6000.0  // memory of the rate meters
	fewSenders  = 8       // so few share a limit in parts that each can measure
	paceBusy    = 1.0     // calls a second on a route over which a sender sees enough to judge it by itself:
	cutTo       = 0.8     // its pace falls to this part of what is taken on, once a round trip,
	growShare   = 0.06    // and rises by this part a second
	growLow     = 2.5     // of a pace of so much at least
	cutBy       = 0.5     // a light sender's pace falls by this on `full`
	growBy      = 0.15    // and rises by this on success: four in five calls are taken on when both balance
	recoverIn   = 15000.0 // a pace rises e-fold in this time without refusals
	recoverBy   = 0.2     // but by no more than this for each call that it allows
	paceFirst   = 0.8     // a pace of which nothing is known starts here at the first `full`
	paceLeast   = 0.02
	evenPart    = 0.9    // many senders keep to this part of an even share of a told limit, as calls come by
	evenDepth   = 3.0    // chance, and what of it is not used is saved up for so many calls
	toldGain    = 0.3    // EWMA weight of a report of a limit,
	toldNoise   = 0.3    // unless it differs by more than this part: then the limit has changed
	starveWait  = 1200.0 // a told wait over this is a debt: refusals count there. It, or
	starveAfter = 4      // so many refusals in a row, bring a pace to
	starveShare = 0.8    // this times an even share of a told limit
	equalsCost  = 0.1    // weight of a sender's own order among equals, under all that makes endpoints differ
	routeCrowd  = 10.0   // a limit of so many calls a second is shared by chance rather than by cost
	burstFor    = 500.0  // token bucket depth, as time at the pace
	retryLo     = 200.0  // least retry-after of a refusal, and pause before the list is asked for again
	retryDelay  = 150.0  // first pause of a message after a failed attempt
	staleLeast  = 1000.0 // idle connections younger than this are not doubted
	staleGain   = 0.25   // EWMA weight of a call on an idle connection
	staleShare  = 0.3    // failing share of such calls above which they are not trusted
	staleForget = 0.01
	dialGain    = 0.2     // EWMA weight of a message's first connection to a kind of destination
	dialShort   = 0.45    // failing share of these above which connections are short there
	dialSoon    = 3500.0  // or a success that comes so soon after a connection was turned away
	dialFor     = 60000.0 // how long none is kept idle then
	doubtFor    = 1000.0  // an endpoint that failed is passed over for its siblings about so long
	aliveFor    = 500.0   // an endpoint that succeeded so lately, with calls out, is not down
	openAfter   = 4       // failures in a row that open a breaker, where successes were seen lately
	openShare   = 0.8     // failing share (EWMA) that opens it
	shutAfter   = 4       // refusals in a row, without success for shutFor, that mean shut,
	shutFor     = 2000.0
	shutWait    = 3000.0 // or a told wait over this: waits at a limit are short
	leftShut    = 0.5    // share of its allowance left at which one that refuses may be shut:
	doubtShare  = 0.6    // this share of light senders takes it so
	shutPause   = 0.2    // part of the first pause after refusals alone
	trialLo     = 500.0  // first pause before a trial
	trialHi     = 2500.0
	trialLeast  = 1000.0  // time-out of a trial at least
	trialDense  = 300.0   // for each sender, where most of them hold something
	trialFew    = 150.0   // for each sender, where many try: the first pause is this times their number,
	trialFirst  = 12000.0 // up to this
	forgetAfter = 60000.0 // an endpoint that left the list is remembered so long: it may come back, cold
	followAfter = 3000.0  // an endpoint that succeeded so lately does not follow a failed one of its route
	trialAge    = 2.0     // senders that hold something for an outage grow with its age: so does the pause,
	trialPer    = 600.0   // up to this times the number of senders, which is enough when all hold something
	trialMargin = 0.85    // part of what tips a destination in its first cold moment that all trials make up
	capTrials   = 0.2     // share of a pace from outside that trials may take
	rampMargin  = 0.65    // share of what fail-back allows that is used; other senders ramp at their own
	rampDepth   = 0.2     // the ramp's budget saves up this part of TipAfter
	baseLeast   = 0.25    // own rate before an outage is taken as this at least, for
	toldJump    = 1.5     // a told limit that rises by this is no noise
	toldSure    = 1.3     // a limit that was told is under the capacity: the ramp may rely on more of it
	ratedSure   = 0.6     // a rating of the list may be up to half too high; an outage's ramp relies on so much
	baseFew     = 4.0     // so many senders; more share it
	itemWeight  = 0.25    // a further message in a call, as a share of a call
	crossCost   = 20.0    // a point of G that a call to another zone costs, in calls out there
	spanMargin  = 0.9     // share of a key's memory span that is used
	holdShare   = 0.9     // share of the holding room above which the least worth is given back
	logGap      = 200.0   // between two log lines
	jitter      = 0.3     // pauses of senders that fail together differ by up to this part either way,
	jitterMany  = 0.6     // or this, where many would come back in step
	lastMoment  = 40.0    // a held message is answered so long before its time at the latest
)

// Step takes one batch of events in order, makes one pass that sends, and appends the actions.
func (s *Sender) Step(now float64, events []Event, actions []Action) []Action {
	s.now, s.out = now, actions
	s.steps++
	s.sweep()
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case EvList:
			s.list(e)
		case EvFacts:
			s.recall(e.Facts)
		case EvPace:
			s.cap(e)
		case EvSettings:
			s.retune(e.Settings)
		case EvMessage:
			s.take(e)
		case EvOutcome:
			s.outcome(e)
		case EvWithdrawn:
			if m := s.msgs[e.ID]; m != nil && !m.ended {
				s.end(m)
			}
		case EvTimer:
			if e.Token == s.token {
				s.armed = math.Inf(1)
			}
		}
	}
	for len(s.wakes) > 0 && s.wakes[0].at <= now {
		s.due(heap.Pop(&s.wakes).(wake).m)
	}
	if now >= s.askAt {
		s.askAt = math.Inf(1)
		s.out = append(s.out, Action{Kind: ActSubscribe})
	}
	s.relieve()
	next := min(s.pass(), s.askAt)
	if len(s.wakes) > 0 {
		next = min(next, s.wakes[0].at)
	}
	s.arm(next)
	actions, s.out = s.out, nil
	return actions
}

// list follows the list of endpoints. An endpoint that drains or is gone gets nothing new from this very
// step on, well inside the grace.
func (s *Sender) list(e *Event) {
	if e.Failed {
		if s.set.Subscribe {
			s.askAt = s.now + retryLo*(1+4*s.rng.Float64())
		}
		return
	}
	if e.FullList {
		s.keepOnly(e.List)
	}
	for _, l := range e.List {
		if l.State == Gone {
			s.retire(s.eps[l.ID])
			continue
		}
		ep := s.eps[l.ID]
		if ep == nil {
			ep = s.newEndpoint(l)
			s.inherit(ep)
			s.recallEndpoint(ep)
			if r := ep.route; s.set.RatingIsRate && r.told == 0 && l.Rating > 0 && !math.IsInf(l.Rating, 0) {
				r.told, r.limit = l.Rating, l.Rating
				if s.shared(r) { // many start in one moment: a call is saved up by each on average, not by each
					r.limit, r.tokens.v = evenPart*s.even(r), 2*s.rng.Float64()
				}
			}
		}
		ep.ready, ep.goneAt = l.State == Ready, 0
	}
}

// inherit keeps a new endpoint from taking at once all that an outage of its route has made wait: the
// destination behind it is as cold as behind the others.
func (s *Sender) inherit(ep *endpoint) {
	for _, o := range ep.route.endpoints {
		if o.state == open {
			s.follow(ep, o)
		} else if o != ep && o.ready {
			ep.state = closed
			return
		}
	}
}

// take admits or refuses a message that was handed in.
func (s *Sender) take(e *Event) {
	if s.msgs[e.ID] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(s.set.Classes) || !(e.Remaining > 0) {
		s.out = append(s.out, Action{Kind: ActRefuse, ID: e.ID})
		return
	}
	c, d := &s.set.Classes[e.Class], s.destOf(e.Dest)
	left := min(e.Remaining, c.Deadline)
	m := &message{id: e.ID, class: c, kind: e.Class, dest: d, arrived: s.now, doubtAt: -1}
	m.deadline = s.now + left
	m.aimAt = m.deadline - c.Deadline + c.Aim
	if s.set.MarksResubmissions && !e.Resubmitted && !e.Restored || !s.set.MarksResubmissions && !e.Restored && left <= c.Aim {
		m.aimAt = s.now + c.Aim // fresh: its client has little patience, it has not waited
	}
	s.account(d)
	d.ctl.arrive(s.now)
	s.control(d)
	s.msgs[m.id] = m
	s.held++
	if c.Ordered && e.Key != 0 {
		s.join(m, e.Key)
	}
	if e.Restored { // its intake was decided in an earlier life; what its attempts allow is not over
		m.attempts = e.Attempts
		if e.MayHaveRun {
			m.doubtAt, m.doubtZone = s.now-e.MayHaveRunAge, e.MayHaveRunZone
		}
		if m.attempts >= s.set.MaxAttempts || m.doubtAt >= 0 && c.Effect == Unsafe || s.lastSend(m) <= s.now {
			s.finish(m)
			return
		}
	} else if d.blocked && s.rng.Float64() >= d.ctl.pa {
		s.refuse(m)
		return
	}
	s.enqueue(m)
	s.wake(m)
}

// lastSend is the last moment at which m may still be sent.
func (s *Sender) lastSend(m *message) float64 {
	at := m.deadline - max(s.callTime(m), lastMoment)
	if m.doubtAt >= 0 && m.class.Effect == Keyed {
		at = min(at, m.doubtAt+m.class.DedupWindow*spanMargin)
	}
	return at
}

// due is the late-refusal timer: a held message whose time left is under a usual call is answered unsent.
func (s *Sender) due(m *message) {
	if m.ended || m.out != nil {
		return
	}
	if s.lastSend(m) > s.now {
		s.wake(m)
		return
	}
	s.finish(m)
}

// finish gives the final answer that the message's attempts allow.
func (s *Sender) finish(m *message) {
	if m.doubtAt < 0 || m.class.Effect == Safe || m.class.Effect == Keyed && !m.class.ZoneScope {
		s.refuse(m)
		return
	}
	s.out = append(s.out, Action{Kind: ActFail, ID: m.id})
	s.end(m)
}

func (s *Sender) refuse(m *message) {
	after := 0.0
	if s.set.SendsRetryAfter {
		after = min(s.set.MaxRetryAfter, max(m.dest.ctl.ex*float64(len(m.dest.queue)), retryLo))
	}
	s.out = append(s.out, Action{Kind: ActRefuse, ID: m.id, After: after})
	s.end(m)
}

// relieve gives back the messages of least worth when the holding room is nearly used up, from the longest
// queue first: one destination's outage must not get the others' messages turned away. Harm: a backlog that
// would have drained in time is cut; only above holdShare.
func (s *Sender) relieve() {
	excess := s.held - int(holdShare*float64(s.set.MaxHeld))
	if s.set.MaxHeld <= 0 || excess <= 0 {
		return
	}
	for i, n := range shorten(s.waiting, excess) {
		d := s.waiting[i]
		for _, m := range s.leastWorth(d.queue, n) {
			s.finish(m)
		}
		s.compact(d)
	}
}

// update closes a period: predictor (eq. 4), RLS (eqs. 9, 10) and control law (eq. 11) with n=1, m=0, d=1.
// The error is taken relative to Dref. oldest is the age of the oldest held message, which stands in for
// the delay when nothing was sent: a silent destination's samples would come only at its time-outs.
func (c *controller) update(now, dref, oldest float64, acting bool) {
	elapsed := now - c.since
	if elapsed < period {
		return
	}
	rate := float64(c.arrivals) / elapsed
	if c.lambda == 0 {
		c.lambda = rate
	}
	c.lambda += gain * (rate - c.lambda)
	d := oldest
	if c.sent > 0 {
		d = c.delays / float64(c.sent)
	}
	arrived := c.arrivals > 0
	c.since, c.arrivals, c.delays, c.sent = now, 0, 0, 0
	if !acting {
		c.rest()
		return
	}
	if c.done > 0 {
		x := c.waited / c.done
		if c.ex == 0 {
			c.ex = x
		}
		c.ex += gain * (x - c.ex)
		c.waited, c.done = 0, 0
	} else {
		c.ex = max(c.ex, c.waited)
	}
	if arrived && c.ex > 0 { // no arrivals keep the last Pa
		c.pam = (dref - c.ex) / (c.lambda * dref * c.ex)
	}
	y := (d - dref) / dref
	if c.primed {
		c.learn(y)
	}
	c.y, c.u, c.primed = y, -c.theta[0]*y/c.theta[1], true
	c.pa = min(max(c.pam+c.u, minAdmit), 1)
}

// control closes a due period of d's controller.
func (s *Sender) control(d *dest) {
	if math.IsInf(s.aim, 1) {
		return
	}
	was := d.ctl.pa
	d.ctl.update(s.now, max(s.aim-d.lat.mean, drefShare*s.aim), d.oldest(s.now), d.blocked)
	if was == 1 && d.ctl.pa < 1 {
		s.log("refusing", d.id, 0)
	}
}

// pass gives the free slots to the waiting destinations in turn, fewest calls out first, and returns when
// the next pass could do more.
func (s *Sender) pass() float64 {
	next := math.Inf(1)
	ready := s.stillWaiting()
	if s.halted {
		ready = nil
	}
	s.doubtful = 0
	for _, c := range s.calls {
		if s.suspect(c.ep) {
			s.doubtful++
		}
	}
	for len(ready) > 0 {
		d := slices.MinFunc(ready, func(a, b *dest) int { return cmp.Or(a.out-b.out, cmp.Compare(a.turn, b.turn)) })
		at := s.serve(d)
		if at > s.now || len(d.queue) == 0 {
			next = min(next, at)
			ready = without(ready, d)
		}
	}
	for _, d := range s.waiting {
		s.account(d)
		// Rest: in an outage of the whole destination nothing waits for a slot, and no load has made the backlog.
		// Harm: a long outage fills the holding room.
		d.sick = true
		for _, ep := range d.eps {
			d.sick = d.sick && (!ep.ready || s.suspect(ep))
		}
		d.markSick()
		ownSlots := d.out*max(len(s.waiting), 1) >= s.set.CallSlots
		d.blocked = len(d.queue) > 0 && !d.sick && (s.busy < s.set.CallSlots || ownSlots)
		s.control(d)
	}
	return next
}

// serve makes one call for d if it may, and returns s.now if it did, else when it could at the earliest.
func (s *Sender) serve(d *dest) float64 {
	var best *endpoint
	next, bestCost := math.Inf(1), 0.0
	for i, ep := range d.eps {
		at := s.freeAt(ep)
		if at > s.now {
			next = min(next, at)
			continue
		}
		// A new connection, a foreign zone and a toll cost; calls out there and an empty bucket mean delay.
		cost := float64(len(ep.calls)) + 10*ep.toll - 0.2*min(ep.route.tokens.v, 3)
		if len(ep.calls) >= ep.conns*ep.stream || s.now-ep.usedAt > 0.9*s.set.KeepAlive {
			cost += 0.7
		}
		if ep.zone != s.set.Zone {
			cost += 0.2 + crossCost*s.set.CrossZoneFee
		}
		if !s.few() { // among equals each sender has its own first, or all would fill the same one's queue
			cost += equalsCost * float64((i+s.set.Index)%len(d.eps)) / float64(len(d.eps))
		}
		if len(ep.route.endpoints) < len(d.eps) && !s.few() {
			// Routes apart with small limits: by chance and limit, or all senders would choose alike.
			cost += s.rng.ExpFloat64() * routeCrowd / max(ep.route.told, 1)
		}
		if ep.state == open {
			cost += float64(ep.trials)
		}
		if s.suspect(ep) {
			// A sibling without doubts goes first: the fault may be this endpoint's or the way to it. Not for good,
			// or one failure idles it as long as the sibling has a queue.
			doubt := 5.0
			if ep.state == closed && len(ep.calls) == 0 {
				doubt *= math.Exp((ep.failAt - s.now) / doubtFor)
			}
			cost += doubt
		}
		if best == nil || cost < bestCost {
			best, bestCost = ep, cost
		}
	}
	if best == nil {
		return next
	}
	joins := best.step != nil && best.stepN == s.steps && best.step.size < best.batch
	if !joins && s.busy >= s.set.CallSlots {
		return math.Inf(1)
	}
	room := best.batch
	if joins {
		room -= best.step.size
	}
	sent, later, took := 0, 0.0, 0.0
	for sent < room {
		m, at := s.choose(d, best)
		if m == nil {
			later = at
			break
		}
		took = s.callTime(m)
		s.send(m, best)
		sent++
	}
	if sent == 0 {
		return min(next, later)
	}
	// Turns are weighed by slot time: a call takes one for each message that it carries. Guards short and full
	// calls against slow destinations where slots are few; harm: a slow destination waits longer.
	s.turns = max(s.turns, d.turn)
	d.turn = s.turns + took/float64(sent)
	return s.now
}

// choose returns the message of d that is worth most at ep now, or when one may be sent there.
func (s *Sender) choose(d *dest, ep *endpoint) (*message, float64) {
	var best *message
	next, bestRank := math.Inf(1), 0.0
	for _, m := range d.queue {
		if m.notBefore > s.now {
			next = min(next, m.notBefore)
			continue
		}
		if s.lastSend(m) <= s.now || m.doubtAt >= 0 && m.class.ZoneScope && m.doubtZone != ep.zone {
			continue
		}
		if m.key != 0 {
			q := s.keys[m.key]
			if q.line[0] != m {
				continue
			}
			if q.rest > s.now && q.owner != m {
				next = min(next, q.rest)
				continue
			}
		}
		rank := s.worth(m)
		if s.now+s.callTime(m) > m.aimAt {
			rank *= 0.6 // an aim that is out of reach can wait for those that are in reach
		}
		if ep.state == open && ep.hung && m.class.Effect == Unsafe {
			rank *= 0.01 // a trial may be lost for good
		}
		if best == nil || rank > bestRank || rank == bestRank && m.deadline < best.deadline {
			best, bestRank = m, rank
		}
	}
	return best, next
}

// freeAt is when ep may next be called: after told waits, back-off, pace, breaker, ramp and bulkhead.
func (s *Sender) freeAt(ep *endpoint) float64 {
	if !ep.ready {
		return math.Inf(1)
	}
	r := ep.route
	if r.waitUntil > s.now {
		return r.waitUntil
	}
	if ep.step != nil && ep.stepN == s.steps && ep.step.size < ep.batch {
		return s.now // joins a call that is paid for
	}
	out := len(ep.calls)
	switch ep.state {
	case closed:
		if ep.fails > 0 && ep.nextTrial > s.now {
			return ep.nextTrial
		}
	case open:
		if ep.leaks && s.few() {
			// It answers, if mostly with errors: what a cold destination can take in any case goes on, since each call
			// may be the one that is taken on, and shows at once that the outage is over.
			if at := s.rampAt(ep, s.set.ColdCapacity); at > s.now {
				return at
			}
			break
		}
		if out > 0 {
			return math.Inf(1)
		}
		for _, o := range ep.dest.eps {
			if o == ep || o.route != r && s.few() || o.state != open || len(o.calls) == 0 {
				continue
			}
			if o.calls[len(o.calls)-1].sentAt >= o.nextTrial-1 {
				return math.Inf(1)
			}
		}
		if ep.nextTrial > s.now {
			return ep.nextTrial
		}
	case ramping:
		t := (s.now - ep.rampAt) / max(s.set.WarmUpDuration, 1)
		if t >= 1 {
			ep.state = closed
			s.log("warm", ep.dest.id, ep.id)
			break
		}
		share := s.set.ColdCapacity + (1-s.set.ColdCapacity)*t
		if at := s.rampAt(ep, share); at > s.now {
			return at
		}
	}
	// Bulkhead: a suspect endpoint (failing, in outage or ramp, or its oldest call far over its usual latency)
	// may hold a few slots only, and all of them together a third, so that hung calls do not starve the
	// healthy. It answers slowness, silence and pauses alike; it harms an endpoint whose calls differ widely.
	if ep.dest.out >= max(s.set.CallSlots-1, 1) {
		return math.Inf(1)
	}
	if s.suspect(ep) && (out >= max(s.set.CallSlots/5, 1) || s.doubtful >= max(s.set.CallSlots/3, 1)) {
		return math.Inf(1)
	}
	if r.limit > 0 {
		r.limit = max(r.limit, r.cap) // what an outage has left of it counts for little beside a known limit
		depth := max(1, r.limit*burstFor/1000)
		if s.shared(r) {
			depth = evenDepth
		}
		if at := r.tokens.fill(s.now, r.limit/1000, depth); at > s.now {
			r.bound = true
			return at
		}
	}
	if r.cap > 0 { // a pace from outside, evenly spaced: burst upon burst of many senders would add up
		return r.capTokens.fill(s.now, r.cap/1000, 1)
	}
	return s.now
}

// rampAt is when ep may next be called if its destination has this share of its capacity.
func (s *Sender) rampAt(ep *endpoint, share float64) float64 {
	r := ep.route
	own := max(ep.base, baseLeast*min(1, baseFew/s.senders()), r.cap/float64(max(r.listed(), 1)))
	if s.few() || s.shared(r) { // its part of a told limit, which is under the capacity, may be much more
		sure := ratedSure
		if r.reported {
			sure = toldSure
		}
		own = max(own, sure*s.even(r)/float64(max(r.listed(), 1)))
	}
	rate := own * share * s.set.OverloadMultiple * rampMargin / 1000
	return ep.budget.fill(s.now, rate, 1+rate*s.set.OverloadWindow*rampDepth)
}

func (s *Sender) suspect(ep *endpoint) bool {
	if ep.state != closed || ep.fails > 1 || ep.fails == 1 && ep.mute { // one answered error may happen anywhere
		return true
	}
	return len(ep.calls) > 0 && ep.lastOK < ep.calls[0].sentAt &&
		s.now-ep.calls[0].sentAt > max(suspectLo, 1.5*ep.dest.lat.high(latDevs))
}

// send calls ep with m; sends of one step to one endpoint share a call as far as it allows.
func (s *Sender) send(m *message, ep *endpoint) {
	d := m.dest
	c := ep.step
	if c == nil || ep.stepN != s.steps || c.size >= ep.batch {
		c = s.startCall(m, ep)
		if s.suspect(ep) {
			s.doubtful++
		}
		ep.route.count(s.now)
		if ep.state != closed {
			ep.budget.v--
		}
		if c.idle >= s.staleGap && s.stale > staleShare {
			s.hangUp(ep)
			c.idle = 0
			s.stale *= 1 - staleForget
		}
		s.connect(c)
	} else if ep.state != closed {
		ep.budget.v -= itemWeight
	}
	c.left++
	c.size++
	if m.attempts == 0 && !m.sick {
		s.account(d)
		d.ctl.delays += s.now - m.arrived
		d.ctl.sent++
	}
	m.attempts, m.out = m.attempts+1, c
	s.unqueue(m)
	limit := max(timeoutOf*d.lat.high(latDevs), timeoutLo) * ep.stretch
	if ep.state == open { // the sooner a silent one is over, the sooner the next may find it back
		limit = max(timeoutOf*d.lat.high(latDevs), trialLeast) * min(ep.stretch, 2)
	}
	s.out = append(s.out, Action{Kind: ActSend, ID: m.id, Endpoint: ep.id, After: min(limit, m.deadline-s.now)})
}

// outcome takes the end of an attempt.
func (s *Sender) outcome(e *Event) {
	m := s.msgs[e.ID]
	if m == nil || m.out == nil || e.Attempt != m.attempts-1 {
		return
	}
	c, d := m.out, m.dest
	m.out = nil
	if c.left--; c.left == 0 {
		s.release(c)
		if len(c.ep.calls) == 0 && s.now < s.dials[c.ep.kind].shortUntil {
			s.hangUp(c.ep)
		}
	}
	if e.RequestedWait > 0 { // each message of a call may be told its own
		c.ep.route.waitUntil = max(c.ep.route.waitUntil, s.now+e.RequestedWait+1)
	}
	s.report(c.ep.route, e.Report)
	if !c.told && e.Outcome != Moot {
		c.told = true
		s.health(c, e.Outcome, e.RequestedWait)
	}
	if e.Outcome == OK {
		c.ep.route.delivered.add(s.now, 1)
		d.lat.add(e.Latency)
		s.usual[m.kind].add(e.Latency)
		if d.blocked {
			d.ctl.done++
		}
	}
	if !e.Outcome.NeverRan() && e.Outcome != OK {
		if m.doubtAt < 0 {
			m.doubtAt, m.doubtZone = c.sentAt, c.ep.zone
		}
		if q := s.keys[m.key]; m.key != 0 && q != nil && e.Outcome != Error {
			q.rest, q.owner = max(q.rest, s.now+s.set.KeyPause), m
		}
	}
	switch {
	case m.ended:
		s.settle(m)
	case e.Final || e.Outcome == OK:
		s.end(m)
	case m.doubtAt >= 0 && m.class.Effect == Unsafe, m.attempts >= s.set.MaxAttempts, s.lastSend(m) <= s.now:
		s.finish(m)
	default:
		if e.Outcome != Full {
			m.notBefore = s.now + s.around(retryDelay*math.Exp2(float64(m.attempts-1)))
		}
		s.enqueue(m)
		s.wake(m)
	}
}

// report takes what a destination told of its limit.
func (s *Sender) report(r *route, rep []float64) {
	r.left = field(rep, s.set.AllowanceIndex)
	if x1 := field(rep, s.set.LimitIndex); x1 > 0 && !math.IsInf(x1, 0) {
		if r.reported && x1 > toldJump*r.told { // a squeeze is over: the pace follows as it did when the limit fell
			r.limit *= x1 / r.told
		}
		if !s.few() && r.reported && math.Abs(x1-r.told) < toldNoise*r.told {
			x1 = r.told + toldGain*(x1-r.told)
		}
		r.told, r.reported = x1, true
		if s.shared(r) {
			r.limit = evenPart * s.even(r)
		}
		if r.limit == 0 || r.limit > x1 {
			r.limit = x1
		}
		if s.few() { // a limit that is back must not be crept up to from what was left of it meanwhile
			r.limit = max(r.limit, s.even(r)/2)
		}
	}
}

// health counts the fate of a call for its endpoint and route.
func (s *Sender) health(c *call, o Outcome, wait float64) {
	ep, sentAt := c.ep, c.sentAt
	r := ep.route
	s.staleness(c, o)
	s.dialled(c, o)
	switch {
	case o == OK:
		r.fulls, r.lastOK, ep.lastOK = 0, s.now, s.now
		r.accepted.add(s.now, 1)
		ep.fails, ep.stretch, ep.hung = 0, 1, false
		ep.failShare *= 1 - latGain
		s.grow(r, growBy)
		if ep.state == open {
			ep.state, ep.rampAt, ep.budget = ramping, s.now, bucket{0, s.now}
			if s.shared(r) { // trials are far apart: it has been back for half the time since the last, on average
				ep.rampAt -= min((s.now-ep.failAt)/2, s.set.OverloadWindow/2)
			}
			ep.failShare = 0
			s.log("ramp", ep.dest.id, ep.id)
		}
	case o == Full:
		s.refused(ep, wait, sentAt)
	case c.idle > staleLeast && s.stale > staleShare: // its connection was at fault
	default:
		if s.turnedAway(c, o) && s.now-ep.lastOK < aliveFor && len(ep.calls) > 0 {
			return // others succeed: its connections, not the endpoint, are short
		}
		ep.fails++
		ep.failAt, ep.mute, ep.leaks = s.now, o != Error, o == Error
		ep.failShare += latGain * (1 - ep.failShare)
		ep.hung = !s.turnedAway(c, o) && (o == Timeout || o == ConnectFailed)
		if o == Timeout {
			ep.stretch = min(ep.stretch*2, 4)
		}
		// A light sender has no successes to weigh a failure against, and hundreds of its like would try again
		// at once: few successes lately, few failures open. Harm: one lost call delays its next there.
		seen := int(r.accepted.get(s.now) * meterTau / 1000)
		if c.idle > staleLeast || s.turnedAway(c, o) && s.now < s.dials[ep.kind].shortUntil {
			seen++ // its idle connection may be at fault, or room for one was short
		}
		// One answered error in a ramp is no new outage: beginning it again for each would keep what waits from an
		// endpoint that works.
		worse := ep.state == open || ep.state == ramping && (ep.fails > 1 || ep.mute || !s.few())
		if worse || ep.fails >= openAfter || ep.fails > seen && !s.few() || ep.failShare > openShare {
			s.open(ep)
		} else if ep.lastOK < s.now-followAfter { // nothing says that it is up
			ep.nextTrial = s.now + s.around(s.fewPause())
		}
	}
}

// staleness learns whether connections die while idle: calls on them then go unanswered (or break) though
// the endpoint is well. Past the shortest idle time that failed, a fresh connection is used instead.
func (s *Sender) staleness(c *call, o Outcome) {
	c.ep.usedAt = s.now
	if c.idle < staleLeast {
		return
	}
	switch o {
	case OK:
		s.stale *= 1 - staleGain
		if s.stale < staleShare {
			s.staleGap = math.Inf(1)
		}
	case Timeout, Reset, Cancelled:
		s.stale += staleGain * (1 - s.stale)
		s.staleGap = min(s.staleGap, c.idle)
	}
}

// turnedAway tells a connection that was refused at once from one that found nobody.
func (s *Sender) turnedAway(c *call, o Outcome) bool {
	return o == ConnectFailed && s.now-c.sentAt < s.set.DialTimeout/2
}

// dialled learns for each kind of destination whether connections are short there: first tries of messages
// then fail to connect, whatever the destination, and idle connections keep other senders out. None is kept
// at that kind for a while, then. Harm: an outage of most of a kind looks alike and costs handshakes.
func (s *Sender) dialled(c *call, o Outcome) {
	k := &s.dials[c.ep.kind]
	away := s.turnedAway(c, o)
	soon := o == OK && c.dials && s.now-c.ep.awayAt < dialSoon // no outage ends so soon, room comes and goes
	if away {
		c.ep.awayAt = s.now
	}
	if c.first && c.dials {
		k.failed *= 1 - dialGain
		if away {
			k.failed += dialGain
		}
	}
	if s.few() || !soon && (!away || k.failed < dialShort) {
		return
	}
	learnt := s.now >= k.shortUntil
	k.shortUntil = s.now + dialFor
	for _, ep := range k.endpoints {
		if learnt && ep.state == open && ep.trials == 0 && !ep.hung {
			ep.state, ep.fails = closed, 0 // it had no room
		}
		if ep.conns > 0 && len(ep.calls) == 0 {
			s.hangUp(ep)
		}
	}
}

// refused learns from `full`. A busy sender's pace follows what is taken on; a light one's starts low, halves
// and may fall to seconds between calls, so that all paces together come near the limit, whatever their
// number. The next call is spread by chance. Long waits, or refusals only for a while, mean shut: then cold.
func (s *Sender) refused(ep *endpoint, wait, sentAt float64) {
	r := ep.route
	if r.fulls++; r.fulls == 1 {
		r.fullSince = s.now
	}
	s.grow(r, 0)
	even := s.even(r)
	switch {
	case s.shared(r): // the report that came with it says more than the refusal
	case s.busyOn(r): // it sees enough to tell what is taken on
		if sentAt >= r.cutAt {
			r.cutAt = s.now
			took := r.accepted.get(s.now)
			if r.limit > 0 {
				took = min(max(took, r.limit/2), r.limit)
			}
			r.limit = max(took*cutTo, paceFirst/2)
			if s.set.LimitIndex >= 0 { // a rating of the list may be far off, a report is not
				r.limit = max(r.limit, even/2)
			}
		}
	case s.set.LimitIndex >= 0 && r.told > 0 && (wait > starveWait || r.fulls >= starveAfter):
		r.limit = max(even*starveShare, paceLeast) // refusals that count may use the limit up
	default:
		if r.limit == 0 || r.limit > paceFirst { // it held nothing back
			r.limit = paceFirst
		}
		r.limit = max(r.limit*(1-cutBy), paceLeast)
	}
	// A shut destination looks like one at its limit to who meets it once; but much of its allowance is left, if
	// that is told. By chance a part of those that know of no success waits as after a failure, or most calls on
	// a return are by these. Harm: late at a mere limit, or where a report is late.
	room := s.rng.Float64() - 0.5
	shut := s.now-r.lastOK > meterTau && (s.set.AllowanceIndex < 0 || r.left > leftShut)
	if shut && !s.busyOn(r) && s.rng.Float64() < doubtShare {
		room = min(room, 1-r.limit*s.around(s.fewPause())/1000)
	}
	r.tokens = bucket{min(r.tokens.v, room), s.now}
	if ep.state == open || ep.fails > 0 && !s.few() {
		s.open(ep)
	} else if wait > shutWait && !s.few() || r.fulls >= shutAfter && s.now-max(r.fullSince, r.lastOK) > shutFor {
		for _, o := range r.endpoints {
			s.open(o)
		}
	}
}

// even is a sender's part of a told limit.
func (s *Sender) even(r *route) float64 { return r.told / s.senders() }

// shared tells whether answers report a route's limit and too many share it for each to find its part by its
// own calls: a sender that calls once in two seconds learns of a refusal long after others made up for it.
// All keep to an even part then. Harm: what one leaves unused is lost to the others, up to 1 - evenPart and
// the chance in who gets how many messages.
func (s *Sender) shared(r *route) bool { return !s.few() && s.set.LimitIndex >= 0 && r.told > 0 }

// few tells whether so few send that each one's own traffic shows what a destination does.
func (s *Sender) few() bool { return s.set.Senders <= fewSenders }

// busyOn tells whether the sender's own calls say enough of a route's limit: few share it, or it calls often.
func (s *Sender) busyOn(r *route) bool {
	return s.few() || r.tried.get(s.now) > paceBusy
}

// grow raises a pace with time and, where it held messages back, with success, up to a limit that was told.
func (s *Sender) grow(r *route, by float64) {
	if r.limit > 0 && !s.shared(r) {
		dt := s.now - r.grownAt
		if s.busyOn(r) {
			if r.bound && by > 0 {
				r.limit += min(dt, 1000) / 1000 * growShare * max(r.limit, growLow)
			}
		} else {
			if r.bound {
				r.limit *= 1 + by
			}
			r.limit *= math.Exp(min(dt/recoverIn, dt*r.limit/1000*recoverBy))
		}
		if s.set.LimitIndex >= 0 && r.told > 0 {
			r.limit = min(r.limit, r.told)
		}
	}
	r.bound, r.grownAt = r.bound && by == 0, s.now
}

// open opens the breaker of ep, or puts its next trial off. The rate before the outage is kept: the ramp
// back starts from a part of it.
func (s *Sender) open(ep *endpoint) {
	if ep.state == closed {
		ep.base = ep.route.delivered.v / float64(max(ep.route.listed(), 1))
		ep.trials, ep.openAt, ep.stretch = 0, s.now, 1
		ep.budget = bucket{0, s.now}
		s.log("breaker open", ep.dest.id, ep.id)
	} else if ep.state == open {
		ep.trials++
	}
	ep.state = open
	n := s.senders()
	least := s.fewPause()
	if ep.fails == 0 { // taken for shut by refusals alone: it may be a limit
		least *= shutPause
	}
	pause := max(min(trialLo*math.Pow(1.5, float64(ep.trials)), trialHi), least)
	from := max(s.now, ep.route.waitUntil) // all that were told a wait come back at its end
	pause = max(pause, min(trialAge*(from-ep.openAt), trialPer*n))
	pause = max(pause, n*trialDense*min(float64(len(ep.dest.queue)-1)/2, 1)) // several here: most hold some
	ep.nextTrial = s.trialBy(ep.route, from+s.around(pause))
	for _, o := range ep.dest.eps { // they come back, and are pushed over, together
		s.follow(o, ep)
	}
}

// trialBy puts a trial forward where the limit is known: all senders' trials together stay under what tips
// the destination in the moment that it is back.
func (s *Sender) trialBy(r *route, at float64) float64 {
	rate := capTrials * r.cap
	if s.shared(r) {
		rate = trialMargin * s.set.OverloadMultiple * s.set.ColdCapacity * s.even(r)
	}
	if rate <= 0 {
		return at
	}
	return min(at, max(s.now, r.waitUntil)+s.around(max(trialLo, 1000/rate)))
}

// around spreads the pauses of senders that fail together: the more there are, the wider.
func (s *Sender) around(v float64) float64 {
	if s.few() {
		return s.between(v*(1-jitter), v*(1+jitter))
	}
	return s.between(v*(1-jitterMany), v*(1+jitterMany))
}

// fewPause is the least pause after a failure where many senders fail alike.
func (s *Sender) fewPause() float64 { return min(trialFew*float64(s.set.Senders), trialFirst) }

// follow puts an endpoint without a success lately under the breaker of one that failed on its route. Routes
// apart mostly fail together, and a held message fits each: a failed trial at one puts off the others, or all
// that return get the sum. Harm: a route that is back alone waits up to a first pause longer.
func (s *Sender) follow(o, failed *endpoint) {
	switch {
	case s.few():
	case o.route != failed.route:
		if o.state == open {
			o.nextTrial = max(o.nextTrial, min(failed.nextTrial, s.now+s.fewPause()*(1+jitterMany)))
		}
	case o.state == open:
		o.nextTrial = max(o.nextTrial, failed.nextTrial)
	case s.now-o.lastOK > followAfter:
		o.state, o.trials = open, 0
		o.base, o.openAt, o.nextTrial = failed.base, failed.openAt, failed.nextTrial
	}
}
