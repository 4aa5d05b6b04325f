package policy

// This file holds the state of a Sender and its bookkeeping. The decisions are in policy.go and breaker.go.

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
)

// breakerState is the state of an endpoint's circuit breaker.
type breakerState uint8

const (
	closed breakerState = iota
	open
	ramping // slow start after an outage
)

// rateMeter is an exponentially decaying rate: its value per second at a point of time.
type rateMeter struct{ perSecond, at float64 }

func (m *rateMeter) add(now, n float64) { m.perSecond, m.at = m.rate(now)+n*1000/rateMeterTau, now }

func (m *rateMeter) rate(now float64) float64 {
	return m.perSecond * math.Exp((m.at-now)/rateMeterTau)
}

// tokenBucket is a token bucket: its level, in tokens, at a point of time.
type tokenBucket struct{ level, at float64 }

// refill adds the tokens due since the last call and returns now if there is a whole token, otherwise the time at
// which there will be one. The rate is in tokens per millisecond.
func (b *tokenBucket) refill(now, rate, depth float64) float64 {
	b.level, b.at = min(b.level+rate*(now-b.at), depth), now
	if b.level >= 1 {
		return now
	}
	return now + max((1-b.level)/rate, 1)
}

// latency is a smoothed call latency with its mean deviation, in ms.
type latency struct {
	mean, deviation float64
	samples         int
}

// add adds the latency of a call. The first one sets the mean, and half of it the deviation.
func (l *latency) add(v float64) {
	if l.samples++; l.samples == 1 {
		l.mean, l.deviation = v, v/2
		return
	}
	l.deviation += callGain * (math.Abs(v-l.mean) - l.deviation)
	l.mean += callGain * (v - l.mean)
}

func (l *latency) upperBound(devs float64) float64 { return l.mean + devs*l.deviation }

// route holds the limit, the requested wait and the pace of a destination, or of an endpoint with a limit of its own.
type route struct {
	waitUntil       float64 // end of the requested wait: no call goes out before
	pace            float64 // this sender's pace in calls per second; 0: none known
	allowanceLeft   float64 // share of the allowance left, from the last outcome; 0: not reported
	advertisedLimit float64 // whole limit from the list or a report, in calls per second; 0: none
	limitReported   bool    // advertisedLimit comes from a report
	paceTokens      tokenBucket
	paceCap         float64 // pace cap set by the caller, in calls per second; 0: none
	capTokens       tokenBucket
	rampBudget      tokenBucket // calls to endpoints in an outage or a ramp
	raisedAt        float64     // last time at which raisePace ran
	cutAt           float64     // last time at which a busy sender cut the pace
	heldBack        bool        // the pace has held a message back since the last success
	refusals        int         // in a row since the last success
	failures        int         // calls that failed in a row, refused ones not counted
	unanswered      bool        // the last of them got no answer
	unresponsive    bool        // the last of them was a time-out of the call or of its connection
	refusedSince    float64     // time of the first of them
	lastOK          float64     // when a call last succeeded; until then, when the route was created
	callRate        rateMeter   // calls
	acceptedRate    rateMeter   // calls accepted
	deliveredRate   rateMeter   // messages delivered
	endpoints       []*endpoint
}

// readyEndpoints counts the endpoints of r that are ready.
func (r *route) readyEndpoints() (n int) {
	for _, ep := range r.endpoints {
		if ep.ready {
			n++
		}
	}
	return n
}

// countCall counts a call in the call rate and against the pace and the pace cap.
func (r *route) countCall(now float64) {
	r.callRate.add(now, 1)
	r.capTokens.level--
	if r.pace > 0 {
		r.paceTokens.level--
	}
}

// call is a call in flight, with one message or, where the destination allows it, several.
type call struct {
	ep            *endpoint
	sentAt        float64
	pending       int     // messages without an outcome
	size          int     // messages
	idleTime      float64 // how long its connection had been idle; 0: new or in use
	counted       bool    // its result has been recorded
	firstAttempt  bool    // it was opened by a message's first attempt
	newConnection bool    // it needed a new connection
}

// endpoint holds the calls, connections and health of an endpoint of a destination.
type endpoint struct {
	id             uint32
	dest           *destination
	route          *route
	kind           int // index in Sender.dialStats
	zone           int
	zoneFee        float64
	maxBatch       int // messages that a call may carry
	streamsPerConn int // calls that a connection carries
	ready          bool
	calls          []*call // in flight, oldest first
	stepCall       *call   // call that the messages sent here in the same step share
	stepSeq        uint64  // step of stepCall
	conns          int     // open connections, as far as known
	lastUsed       float64 // when a connection was last used
	removedAt      float64 // when it left the list; 0: listed
	connRefusedAt  float64 // when a connection was last refused; -Inf: never
	lastOK         float64 // when a call last succeeded; -Inf: never

	breaker          breakerState
	failures         int     // in a row
	lastFailure      float64 // time of the last failure
	unanswered       bool    // the last failure came without an answer
	answeredError    bool    // the last failure was an error answer: a small fleet still sends some calls
	failureShare     float64 // failing share of calls (EWMA)
	timeoutBackoff   float64 // factor on time-outs: 1 to 4, doubled by each time-out
	unresponsive     bool    // the last failure was a time-out of the call or of its connection
	failedTrials     int     // since the breaker opened
	openedAt         float64 // start of the outage: when the breaker left the closed state
	nextTrial        float64 // earliest time of the next trial
	rateBeforeOutage float64 // this sender's delivered rate before the outage, in messages per second
	rampStart        float64 // when the ramp began
}

// dialStats records how connecting to one kind of destination succeeds.
type dialStats struct {
	failureShare float64 // share of first attempts whose new connection was refused at once (EWMA)
	scarceUntil  float64 // no idle connection is kept until then
	endpoints    []*endpoint
}

// destination holds the endpoints, queue and admission controller of a destination.
type destination struct {
	id            int
	endpoints     []*endpoint
	sharedRoute   *route // nil where endpoints have limits of their own
	queue         []*message
	callsInFlight int
	virtualTime   float64 // slot time received, as in start-time fair queueing
	latency       latency
	admission     admissionController
	waiting       bool    // in Sender.waiting
	throttled     bool    // its own pace, limit or share of slots holds its messages back
	unavailable   bool    // every endpoint is suspected or not ready: the controller is idle
	accruedAt     float64 // when its waiting time was last added up
}

// message is a message that has been accepted and has not ended, or has ended with an attempt in flight.
type message struct {
	id             uint64
	class          *Class
	classIndex     int
	key            uint64
	dest           *destination
	arrived        float64
	aimAt          float64 // until when a delivery earns its full worth
	deadline       float64
	attempts       int
	inFlight       *call   // call of its attempt in flight; nil: none
	mayHaveRunAt   float64 // when the first attempt that may have run was sent; negative: none has
	mayHaveRunZone int     // zone of that attempt's endpoint
	notBefore      float64 // end of its pause after a failed attempt
	heldInOutage   bool    // held through an outage: its wait says nothing about the load
	ended          bool
	shed           bool // chosen by shed, which removes its messages from their queue all at once
}

// keyQueue holds the messages of one key, in order.
type keyQueue struct {
	messages    []*message
	pausedUntil float64  // no other message of the key is sent before
	pausedFor   *message // message whose attempt the key is paused for
}

// sendTimer is due at the send deadline that a message had when the timer was set.
type sendTimer struct {
	at  float64
	seq uint64
	m   *message
}

// timerHeap orders send timers by time, then by creation.
type timerHeap []sendTimer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(sendTimer)) }
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// Sender makes the decisions of one sender. It is not safe for concurrent use.
type Sender struct {
	settings      Settings
	rng           *rand.Rand
	now           float64             // of the current step
	minAim        float64             // tightest aim of the classes; +Inf: none has one
	messages      map[uint64]*message // accepted and not ended, or ended with an attempt in flight
	destinations  map[int]*destination
	endpoints     map[uint32]*endpoint
	keyQueues     map[uint64]*keyQueue
	removed       []*endpoint    // off the list, oldest first
	pausedKeys    []uint64       // keys without messages, in the order in which they became empty
	waiting       []*destination // destinations with messages queued
	classLatency  []latency      // by class
	dialStats     []dialStats    // by kind
	staleShare    float64        // failing share of calls on idle connections (EWMA)
	minStaleIdle  float64        // shortest idle time of those that failed; +Inf: none
	held          int            // messages accepted and not ended
	halted        bool           // no attempt may begin
	calls         []*call        // in flight
	suspectCalls  int            // slots held by suspected endpoints
	slotsInUse    int
	virtualTime   float64 // slot time up to which turns have been given, as in start-time fair queueing
	steps         uint64
	timers        timerHeap
	timerSeq      uint64
	timerAt       float64 // when the timer of timerToken fires; +Inf: none is set
	timerToken    uint32
	subscribeAt   float64            // when the list is requested next; +Inf: not planned
	loggedAt      map[logKey]float64 // when an event was last logged
	counters      Counters
	actions       []Action           // of the current step
	restoredFacts map[int]*DestFacts // facts of an earlier run for the lists of this step, by destination
}

// destination returns the destination of that number, creating it if needed.
func (s *Sender) destination(id int) *destination {
	d := s.destinations[id]
	if d == nil {
		d = &destination{id: id}
		d.admission.reset(s.now)
		s.destinations[id] = d
	}
	return d
}

// enqueue puts m at the end of its destination's queue, and the destination among the waiting ones.
func (s *Sender) enqueue(m *message) {
	d := m.dest
	d.queue = append(d.queue, m)
	if !d.waiting {
		d.waiting = true
		d.accruedAt = s.now
		d.virtualTime = max(d.virtualTime, s.virtualTime)
		s.waiting = append(s.waiting, d)
	}
}

// end ends a message. One with an attempt in flight is kept until its outcome.
func (s *Sender) end(m *message) {
	m.ended = true
	s.held--
	s.dequeue(m)
	s.forgetMessage(m)
}

// dequeue removes m from its destination's queue, unless m was shed: dropShed removes those all at once.
func (s *Sender) dequeue(m *message) {
	if m.shed {
		return
	}
	m.dest.queue = remove(m.dest.queue, m)
}

// forgetMessage removes a message that has ended and has no attempt in flight, also from the queue of its key.
func (s *Sender) forgetMessage(m *message) {
	if !m.ended || m.inFlight != nil {
		return
	}
	delete(s.messages, m.id)
	if q := s.keyQueues[m.key]; m.key != 0 && q != nil {
		q.messages = remove(q.messages, m)
		switch {
		case len(q.messages) > 0:
		case q.pausedUntil <= s.now:
			delete(s.keyQueues, m.key)
		default:
			s.pausedKeys = append(s.pausedKeys, m.key)
		}
	}
	s.dropDestination(m.dest)
}

// admissionController is the admission control of Liu et al. for one destination.
type admissionController struct {
	periodStart float64
	lastArrival float64
	arrivals    int           // in this period
	lambda      float64       // arrival rate in messages per millisecond
	waitingTime float64       // time for which the destination was throttled, in ms
	delivered   float64       // deliveries in that time
	ex          float64       // E[X], mean waiting time per delivery, in ms
	delaySum    float64       // queueing delays of the messages sent in this period
	sent        int           // messages sent in this period
	theta       [2]float64    // model parameters
	p           [2][2]float64 // RLS covariance
	y, u        float64       // relative delay error and correction of the last period
	hasPrevious bool          // y and u hold the values of the last period
	pam         float64       // predicted admission probability
	pa          float64       // admission probability
}

// reset starts the controller afresh: it admits everything.
func (c *admissionController) reset(now float64) {
	*c = admissionController{
		periodStart: now, lastArrival: now, pa: 1, pam: 1, theta: [2]float64{initialTheta1, initialTheta2},
	}
	c.p[0][0], c.p[1][1] = rlsInitialP, rlsInitialP
}

// remove removes v from list and keeps the order.
func remove[T comparable](list []T, v T) []T {
	if i := slices.Index(list, v); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// New returns a Sender with the given settings. All its random numbers derive from the seed.
func New(set Settings, seed uint64) *Sender {
	s := &Sender{
		settings:     set,
		minAim:       math.Inf(1),
		rng:          rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		messages:     map[uint64]*message{},
		destinations: map[int]*destination{},
		endpoints:    map[uint32]*endpoint{},
		keyQueues:    map[uint64]*keyQueue{},
		dialStats:    make([]dialStats, max(len(set.Kinds), 1)),
		timerAt:      math.Inf(1),
		subscribeAt:  math.Inf(1),
		loggedAt:     map[logKey]float64{},
		minStaleIdle: math.Inf(1),
	}
	s.applySettings(&set)
	if set.Subscribe {
		s.subscribeAt = math.Inf(-1)
	}
	return s
}

// applySettings applies settings that were read again. The list of classes only grows, so a message in progress keeps
// its class and index. The new number of attempts applies to all messages.
func (s *Sender) applySettings(set *Settings) {
	s.settings.Classes, s.settings.MaxAttempts = set.Classes, set.MaxAttempts
	for len(s.classLatency) < len(set.Classes) {
		s.classLatency = append(s.classLatency, latency{})
	}
	s.minAim = math.Inf(1)
	for _, c := range set.Classes {
		if c.Aim > 0 {
			s.minAim = min(s.minAim, c.Aim)
		}
	}
}

// accrueWait adds the time since the last call to the waiting time of d if d was throttled in it.
func (s *Sender) accrueWait(d *destination) {
	if d.throttled {
		d.admission.waitingTime += s.now - d.accruedAt
	}
	d.accruedAt = s.now
}

// setPaceCap sets the pace cap of a route and brings forward the trials that it allows. The bucket of a new cap
// starts at a random level: senders that receive their caps at the same moment must not call in step.
func (s *Sender) setPaceCap(e *Event) {
	r := (*route)(nil)
	if ep := s.endpoints[e.Endpoint]; ep != nil {
		r = ep.route
	} else if d := s.destinations[e.Dest]; d != nil && e.Endpoint == 0 {
		r = d.sharedRoute
	}
	if r == nil {
		return
	}
	if r.paceCap == 0 {
		r.capTokens = tokenBucket{s.rng.Float64(), s.now}
	}
	r.paceCap = e.Pace
	for _, ep := range r.endpoints {
		if ep.breaker == open {
			ep.nextTrial = s.advanceTrial(r, ep.nextTrial)
		}
	}
}

// addEndpoint adds an endpoint to its destination, and a route if it is the first one there or has a limit of its
// own.
func (s *Sender) addEndpoint(listed Endpoint) *endpoint {
	kind := DestKind{Batch: 1}
	if listed.Kind < len(s.settings.Kinds) {
		kind = s.settings.Kinds[listed.Kind]
	}
	d := s.destination(listed.Dest)
	ep := &endpoint{
		id: listed.ID, dest: d, zone: listed.Zone, maxBatch: max(kind.Batch, 1), timeoutBackoff: 1,
		lastOK: math.Inf(-1), connRefusedAt: math.Inf(-1),
	}
	ep.streamsPerConn = max(cmp.Or(listed.Streams, s.settings.StreamsPerConn), 1)
	ep.route = d.sharedRoute
	if kind.OwnLimits || ep.route == nil {
		ep.route = &route{lastOK: s.now, paceTokens: tokenBucket{1, s.now}}
		if !kind.OwnLimits {
			d.sharedRoute = ep.route
		}
	}
	if listed.Zone < len(s.settings.ZoneFees) {
		ep.zoneFee = s.settings.ZoneFees[listed.Zone]
	}
	ep.route.endpoints = append(ep.route.endpoints, ep)
	d.endpoints = append(d.endpoints, ep)
	slices.SortFunc(d.endpoints, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	s.endpoints[listed.ID] = ep
	if ep.kind = listed.Kind; ep.kind < 0 || ep.kind >= len(s.dialStats) {
		ep.kind = 0
	}
	s.dialStats[ep.kind].endpoints = append(s.dialStats[ep.kind].endpoints, ep)
	return ep
}

// worth returns what m would earn if it were sent now and took the usual call time.
func (s *Sender) worth(m *message) float64 {
	c := m.class
	done := s.now + s.callTime(m)
	if done <= m.aimAt || c.Deadline <= c.Aim {
		return c.Worth
	}
	late := done - m.aimAt
	if s.settings.WorthHalves {
		return c.Worth * max(c.LateWorth, math.Exp2(-late/max(c.Aim, 1)))
	}
	return c.Worth * max(c.LateWorth, 1-(1-c.LateWorth)*late/(c.Deadline-c.Aim))
}

// callTime returns the smoothed latency of a call for m: of its destination, or of its class while that is unknown;
// 0 if neither is known.
func (s *Sender) callTime(m *message) float64 {
	if m.dest.latency.samples > 0 {
		return m.dest.latency.mean
	}
	return s.classLatency[m.classIndex].mean
}

// updateTheta is the RLS step for the relative delay error y, which follows the error and the correction of the last
// period.
func (c *admissionController) updateTheta(y float64) {
	f := [2]float64{c.y, c.u}
	pf := [2]float64{c.p[0][0]*f[0] + c.p[0][1]*f[1], c.p[1][0]*f[0] + c.p[1][1]*f[1]}
	k := 1 / (1 + f[0]*pf[0] + f[1]*pf[1])
	for i := range 2 {
		for j := range 2 {
			c.p[i][j] -= k * pf[i] * pf[j]
		}
	}
	predictionError := y - f[0]*c.theta[0] - f[1]*c.theta[1]
	pf = [2]float64{c.p[0][0]*f[0] + c.p[0][1]*f[1], c.p[1][0]*f[0] + c.p[1][1]*f[1]}
	c.theta[0] += pf[0] * predictionError
	c.theta[1] = max(c.theta[1]+pf[1]*predictionError, minTheta2)
}

// setSendTimer sets the timer of m's send deadline.
func (s *Sender) setSendTimer(m *message) {
	s.timerSeq++
	heap.Push(&s.timers, sendTimer{at: s.sendDeadline(m), seq: s.timerSeq, m: m})
}

// armTimer requests a timer for next, at least 1 ms ahead, unless an earlier one is set. The timer before it no
// longer counts, as its token is no longer the current one.
func (s *Sender) armTimer(next float64) {
	if next < s.timerAt {
		s.timerAt = max(next, s.now+1)
		s.timerToken++
		s.actions = append(s.actions, Action{Kind: ActTimer, Token: s.timerToken, After: s.timerAt - s.now})
	}
}

// startCall records a new call to ep that m opens.
func (s *Sender) startCall(m *message, ep *endpoint) *call {
	c := &call{ep: ep, sentAt: s.now, firstAttempt: m.attempts == 0}
	ep.stepCall, ep.stepSeq = c, s.steps
	if s.now-ep.lastUsed > s.settings.KeepAlive && len(ep.calls) == 0 {
		ep.conns = 0
	}
	if len(ep.calls) == 0 && ep.conns > 0 {
		c.idleTime = s.now - ep.lastUsed
	}
	ep.calls = append(ep.calls, c)
	s.calls = append(s.calls, c)
	m.dest.callsInFlight++
	s.slotsInUse++
	return c
}

// useConnection records the connection that c, just begun, uses: a new one if all known ones are full.
func (s *Sender) useConnection(c *call) {
	ep, streams := c.ep, c.ep.streamsPerConn
	c.newConnection = len(ep.calls) > ep.conns*streams
	ep.conns, ep.lastUsed = max(ep.conns, (len(ep.calls)+streams-1)/streams), s.now
}

// closeIdle closes the idle connections to ep. No call may be in flight there but one just begun.
func (s *Sender) closeIdle(ep *endpoint) {
	s.actions = append(s.actions, Action{Kind: ActCloseIdle, Endpoint: ep.id})
	ep.conns = 0
}

// endCall frees the slot of a call whose messages all have an outcome.
func (s *Sender) endCall(c *call) {
	s.slotsInUse--
	c.ep.dest.callsInFlight--
	c.ep.calls = remove(c.ep.calls, c)
	s.calls = remove(s.calls, c)
}

// pruneWaiting removes destinations with an empty queue from the waiting list, lets their controllers admit
// everything and returns a copy of the list, which the caller may change.
func (s *Sender) pruneWaiting() []*destination {
	kept := s.waiting[:0]
	for _, d := range s.waiting {
		if len(d.queue) == 0 {
			s.accrueWait(d)
			d.waiting, d.throttled = false, false
			d.admission.admitAll()
			continue
		}
		kept = append(kept, d)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	return slices.Clone(kept)
}

// joinKey puts m at the end of its key's queue.
func (s *Sender) joinKey(m *message, key uint64) {
	q := s.keyQueues[key]
	if q == nil {
		q = &keyQueue{}
		s.keyQueues[key] = q
	}
	m.key, q.messages = key, append(q.messages, m)
}

// firstAge returns the age of the first message in the queue that was not held in an outage, 0 if there is none. It
// is the oldest one, but for messages queued again after an attempt.
func (d *destination) firstAge(now float64) float64 {
	for _, m := range d.queue {
		if !m.heldInOutage {
			return now - m.arrived
		}
	}
	return 0
}

// retainListed retires the endpoints that a full list does not contain.
func (s *Sender) retainListed(list []Endpoint) {
	listed := make(map[uint32]bool, len(list))
	for _, l := range list {
		listed[l.ID] = true
	}
	for _, d := range s.destinations {
		for _, ep := range d.endpoints {
			if !listed[ep.id] {
				s.retire(ep)
			}
		}
	}
}

// retire marks an endpoint that left the list. It is remembered for removedEndpointRetention: one that left in an
// outage may be listed again, cold.
func (s *Sender) retire(ep *endpoint) {
	if ep != nil && ep.removedAt == 0 {
		ep.ready, ep.removedAt = false, s.now
		s.removed = append(s.removed, ep)
	}
}

// forgetEndpoint removes an endpoint. Calls in flight there refer to it until they end.
func (s *Sender) forgetEndpoint(ep *endpoint) {
	delete(s.endpoints, ep.id)
	s.forgetLogged(logKey{endpoint: ep.id, dest: ep.dest.id})
	ep.dest.endpoints = remove(ep.dest.endpoints, ep)
	ep.route.endpoints = remove(ep.route.endpoints, ep)
	kind := &s.dialStats[ep.kind]
	kind.endpoints = remove(kind.endpoints, ep)
	s.dropDestination(ep.dest)
}

// dropDestination removes a destination that has no endpoints, messages or calls.
func (s *Sender) dropDestination(d *destination) {
	if len(d.endpoints) == 0 && len(d.queue) == 0 && d.callsInFlight == 0 && s.destinations[d.id] == d {
		delete(s.destinations, d.id)
		s.forgetLogged(logKey{dest: d.id})
	}
}

// sweep removes endpoints that left the list long ago, keys whose pause is over and that no message holds, and the
// facts of the last step.
func (s *Sender) sweep() {
	s.restoredFacts = nil
	for len(s.removed) > 0 && (s.removed[0].removedAt == 0 || s.now-s.removed[0].removedAt > removedEndpointRetention) {
		if ep := s.removed[0]; ep.removedAt > 0 && s.endpoints[ep.id] == ep {
			s.forgetEndpoint(s.removed[0])
		}
		s.removed[0] = nil // otherwise the underlying array would retain it
		s.removed = s.removed[1:]
	}
	for len(s.pausedKeys) > 0 {
		q := s.keyQueues[s.pausedKeys[0]]
		if q != nil && q.pausedUntil > s.now {
			return
		}
		if q != nil && len(q.messages) == 0 {
			delete(s.keyQueues, s.pausedKeys[0])
		}
		s.pausedKeys = s.pausedKeys[1:]
	}
}

// markHeldInOutage marks the messages of d if d is unavailable. The mark stays until they end.
func (d *destination) markHeldInOutage() {
	for _, m := range d.queue {
		m.heldInOutage = m.heldInOutage || d.unavailable
	}
}

// reportField returns a value of a report, 0 if it is absent.
func reportField(values []float64, index int) float64 {
	if index < 0 || index >= len(values) {
		return 0
	}
	return values[index]
}

// senders returns the number of senders that share a limit.
func (s *Sender) senders() float64 { return float64(max(s.settings.Senders, 1)) }

// uniform returns a random value between lo and hi.
func (s *Sender) uniform(lo, hi float64) float64 { return lo + (hi-lo)*s.rng.Float64() }

// countArrival counts an incoming message. A controller that was idle for long starts afresh.
func (c *admissionController) countArrival(now float64) {
	if now-c.lastArrival > controllerResetDelay {
		c.reset(now)
	}
	c.lastArrival = now
	c.arrivals++
}

// admitAll makes the controller admit everything and forget E[X]: nothing throttles the destination.
func (c *admissionController) admitAll() {
	c.pa, c.pam, c.ex, c.waitingTime, c.delivered, c.hasPrevious = 1, 1, 0, 0, 0, false
}
