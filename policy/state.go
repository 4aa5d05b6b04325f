package policy

// This file holds the state of a Sender and its bookkeeping; it decides nothing. See policy.go.

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

type breaker uint8

const (
	closed breaker = iota
	open
	ramping
)

// meter is an exponentially decaying rate a second.
type meter struct{ v, at float64 }

func (m *meter) add(now, n float64) { m.v, m.at = m.get(now)+n*1000/meterTau, now }

func (m *meter) get(now float64) float64 {
	return m.v * math.Exp((m.at-now)/meterTau)
}

// bucket is a token bucket; fill tops it up and tells when it holds a whole token.
type bucket struct{ v, at float64 }

func (b *bucket) fill(now, rate, depth float64) float64 {
	b.v, b.at = min(b.v+rate*(now-b.at), depth), now
	if b.v >= 1 {
		return now
	}
	return now + max((1-b.v)/rate, 1)
}

// latency is a smoothed call latency with its mean deviation.
type latency struct {
	mean, dev float64
	n         int
}

func (l *latency) add(v float64) {
	if l.n++; l.n == 1 {
		l.mean, l.dev = v, v/2
		return
	}
	l.dev += latGain * (math.Abs(v-l.mean) - l.dev)
	l.mean += latGain * (v - l.mean)
}

func (l *latency) high(devs float64) float64 { return l.mean + devs*l.dev }

// route is what a limit, a told wait and a pace belong to.
type route struct {
	waitUntil float64 // told: nothing goes before
	limit     float64 // own pace in calls a second; 0 = none known
	left      float64 // share of its allowance left, as told by a report
	told      float64 // whole limit as told by the list or a report; 0 = none
	reported  bool    // by a report
	tokens    bucket
	cap       float64 // pace from outside, calls a second; 0 = none
	capTokens bucket
	grownAt   float64
	cutAt     float64
	bound     bool // the pace held a message back since it last grew
	fulls     int  // refusals since the last success
	fullSince float64
	lastOK    float64
	tried     meter // calls
	accepted  meter // calls taken on
	delivered meter // messages delivered
	endpoints []*endpoint
}

// listed counts the endpoints of r that are ready.
func (r *route) listed() (n int) {
	for _, ep := range r.endpoints {
		if ep.ready {
			n++
		}
	}
	return n
}

// count books a call.
func (r *route) count(now float64) {
	r.tried.add(now, 1)
	r.capTokens.v--
	if r.limit > 0 {
		r.tokens.v--
	}
}

// call is one call out, with one message or, where a destination allows, several.
type call struct {
	ep     *endpoint
	sentAt float64
	left   int // messages without an outcome
	size   int
	idle   float64 // how long its connection had been idle; 0 = new or in use
	told   bool    // its fate has been counted
	first  bool    // it opened with a message's first attempt
	dials  bool    // it needed a new connection
}

type endpoint struct {
	id     uint32
	dest   *dest
	route  *route
	kind   int // position in Sender.dials
	zone   int
	toll   float64
	batch  int
	stream int // calls that a connection carries
	ready  bool
	calls  []*call // out, oldest first
	step   *call   // the call that this step's sends to it share
	stepN  uint64
	conns  int
	usedAt float64
	goneAt float64 // when it left the list; 0 = listed
	awayAt float64 // when a connection was last turned away
	lastOK float64

	state     breaker
	fails     int     // failures in a row
	failAt    float64 // the last of them
	mute      bool    // and it was no answer
	leaks     bool    // it was an answer: an open breaker lets some calls through
	failShare float64 // EWMA
	stretch   float64 // factor on time-outs after time-outs
	hung      bool    // the last failure was silence
	trials    int
	openAt    float64
	nextTrial float64
	base      float64 // own delivered rate before the outage
	rampAt    float64
	budget    bucket
}

// dials is what is known of connecting to one kind of destination.
type dials struct {
	failed     float64 // share that fails (EWMA)
	shortUntil float64
	endpoints  []*endpoint
}

type dest struct {
	id      int
	eps     []*endpoint
	shared  *route
	queue   []*message
	out     int     // calls
	turn    float64 // slot time had, as in start-time fair queueing
	lat     latency
	ctl     controller
	listed  bool // in Sender.waiting
	blocked bool // its own pace or share holds its messages back
	sick    bool // no endpoint but in outage or ramp
	accAt   float64
}

type message struct {
	id        uint64
	class     *Class
	kind      int // its class's position
	key       uint64
	dest      *dest
	arrived   float64
	aimAt     float64
	deadline  float64
	attempts  int
	out       *call
	doubtAt   float64 // first send that may have run; <0 = none
	doubtZone int
	notBefore float64
	sick      bool // was held through an outage: its wait says nothing of the load
	ended     bool
	picked    bool // given back by relieve, which takes all that it picks off their queue at once
}

// keyQueue is the order of the messages of one key.
type keyQueue struct {
	line  []*message
	rest  float64
	owner *message // whose attempt the key rests for
}

type wake struct {
	at float64
	n  uint64
	m  *message
}

type wakes []wake

func (w wakes) Len() int           { return len(w) }
func (w wakes) Less(i, j int) bool { return w[i].at < w[j].at || w[i].at == w[j].at && w[i].n < w[j].n }
func (w wakes) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *wakes) Push(x any)        { *w = append(*w, x.(wake)) }
func (w *wakes) Pop() any {
	old := *w
	x := old[len(old)-1]
	*w = old[:len(old)-1]
	return x
}

// Sender decides for one sender. It is not safe for concurrent use.
type Sender struct {
	set      Settings
	rng      *rand.Rand
	now      float64
	aim      float64             // the tightest of the classes
	msgs     map[uint64]*message // taken and not ended, or ended with an attempt out
	dests    map[int]*dest
	eps      map[uint32]*endpoint
	keys     map[uint64]*keyQueue
	gone     []*endpoint // off the list, oldest first
	resting  []uint64    // keys without messages, by the end of their rest
	waiting  []*dest     // with messages queued
	usual    []latency
	dials    []dials // by kind
	stale    float64 // share of calls on idle connections that fail (EWMA)
	staleGap float64 // shortest idle time of those that failed
	held     int
	halted   bool    // no attempt may begin
	calls    []*call // out
	doubtful int     // slots that suspect endpoints hold
	busy     int     // slots
	turns    float64 // where the turns stand
	steps    uint64
	wakes    wakes
	wakeN    uint64
	armed    float64 // when the timer of token comes
	token    uint32
	askAt    float64
	logAt    float64
	out      []Action
	recalled map[int]*DestFacts // of an earlier life, for the lists of this step; by destination
}

func (s *Sender) destOf(id int) *dest {
	d := s.dests[id]
	if d == nil {
		d = &dest{id: id}
		d.ctl.reset(s.now)
		s.dests[id] = d
	}
	return d
}

func (s *Sender) enqueue(m *message) {
	d := m.dest
	d.queue = append(d.queue, m)
	if !d.listed {
		d.listed = true
		d.accAt = s.now
		d.turn = max(d.turn, s.turns)
		s.waiting = append(s.waiting, d)
	}
}

// end forgets a message; one with an attempt out is kept for its outcome.
func (s *Sender) end(m *message) {
	m.ended = true
	s.held--
	s.unqueue(m)
	s.settle(m)
}

func (s *Sender) unqueue(m *message) {
	if m.picked {
		return
	}
	m.dest.queue = without(m.dest.queue, m)
}

// settle takes a message that is over and has no attempt out from the books and from its key's line.
func (s *Sender) settle(m *message) {
	if !m.ended || m.out != nil {
		return
	}
	delete(s.msgs, m.id)
	if q := s.keys[m.key]; m.key != 0 && q != nil {
		q.line = without(q.line, m)
		switch {
		case len(q.line) > 0:
		case q.rest <= s.now:
			delete(s.keys, m.key)
		default:
			s.resting = append(s.resting, m.key)
		}
	}
	s.dropDest(m.dest)
}

// log tells staff of a change of state, a few lines a second at most.
func (s *Sender) log(what string, dest int, ep uint32) {
	if s.now-s.logAt < logGap {
		return
	}
	s.logAt = s.now
	s.out = append(s.out, Action{Kind: ActLog, Text: fmt.Sprintf("%s dest=%d endpoint=%d", what, dest, ep)})
}

// controller is Liu et al.'s admission control for one destination.
type controller struct {
	since    float64
	seen     float64
	arrivals int
	lambda   float64 // messages a millisecond
	waited   float64 // time waiting, and deliveries completed in it
	done     float64
	ex       float64
	delays   float64
	sent     int
	theta    [2]float64
	p        [2][2]float64
	y, u     float64
	primed   bool // y and u hold the last period's values
	pam      float64
	pa       float64
}

func (c *controller) reset(now float64) {
	*c = controller{since: now, seen: now, pa: 1, pam: 1, theta: [2]float64{theta1Start, theta2Start}}
	c.p[0][0], c.p[1][1] = rlsP0, rlsP0
}

// without takes v from list, which keeps its order.
func without[T comparable](list []T, v T) []T {
	if i := slices.Index(list, v); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// New returns a Sender that starts from the settings; its random numbers come from the seed alone.
func New(set Settings, seed uint64) *Sender {
	s := &Sender{
		set:      set,
		aim:      math.Inf(1),
		rng:      rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		msgs:     map[uint64]*message{},
		dests:    map[int]*dest{},
		eps:      map[uint32]*endpoint{},
		keys:     map[uint64]*keyQueue{},
		dials:    make([]dials, max(len(set.Kinds), 1)),
		armed:    math.Inf(1),
		askAt:    math.Inf(1),
		logAt:    math.Inf(-1),
		staleGap: math.Inf(1),
	}
	s.retune(&set)
	if set.Subscribe {
		s.askAt = math.Inf(-1)
	}
	return s
}

// retune takes settings read anew. Classes only grow, so that a message under way keeps its class and its
// position; the attempts allowed hold for all from here on.
func (s *Sender) retune(set *Settings) {
	s.set.Classes, s.set.MaxAttempts = set.Classes, set.MaxAttempts
	for len(s.usual) < len(set.Classes) {
		s.usual = append(s.usual, latency{})
	}
	s.aim = math.Inf(1)
	for _, c := range set.Classes {
		if c.Aim > 0 {
			s.aim = min(s.aim, c.Aim)
		}
	}
}

// account books the waiting time of d up to now.
func (s *Sender) account(d *dest) {
	if d.blocked {
		d.ctl.waited += s.now - d.accAt
	}
	d.accAt = s.now
}

// cap sets the pace that a route is given from outside. It starts at any point of the time between two calls:
// senders that are given theirs in one moment must not call in step.
func (s *Sender) cap(e *Event) {
	r := (*route)(nil)
	if ep := s.eps[e.Endpoint]; ep != nil {
		r = ep.route
	} else if d := s.dests[e.Dest]; d != nil && e.Endpoint == 0 {
		r = d.shared
	}
	if r == nil {
		return
	}
	if r.cap == 0 {
		r.capTokens = bucket{s.rng.Float64(), s.now}
	}
	r.cap = e.Pace
	for _, ep := range r.endpoints {
		if ep.state == open {
			ep.nextTrial = s.trialBy(r, ep.nextTrial)
		}
	}
}

// newEndpoint enters an endpoint into its destination, and its route if it is the first there.
func (s *Sender) newEndpoint(l Endpoint) *endpoint {
	kind := DestKind{Batch: 1}
	if l.Kind < len(s.set.Kinds) {
		kind = s.set.Kinds[l.Kind]
	}
	d := s.destOf(l.Dest)
	ep := &endpoint{id: l.ID, dest: d, zone: l.Zone, batch: max(kind.Batch, 1), stretch: 1, lastOK: math.Inf(-1), awayAt: math.Inf(-1)}
	ep.stream = max(cmp.Or(l.Streams, s.set.StreamsPerConn), 1)
	ep.route = d.shared
	if kind.OwnLimits || ep.route == nil {
		ep.route = &route{lastOK: s.now, tokens: bucket{1, s.now}}
		if !kind.OwnLimits {
			d.shared = ep.route
		}
	}
	if l.Zone < len(s.set.ZoneFees) {
		ep.toll = s.set.ZoneFees[l.Zone]
	}
	ep.route.endpoints = append(ep.route.endpoints, ep)
	d.eps = append(d.eps, ep)
	slices.SortFunc(d.eps, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	s.eps[l.ID] = ep
	if ep.kind = l.Kind; ep.kind < 0 || ep.kind >= len(s.dials) {
		ep.kind = 0
	}
	s.dials[ep.kind].endpoints = append(s.dials[ep.kind].endpoints, ep)
	return ep
}

// worth is what m would still earn if it were sent now.
func (s *Sender) worth(m *message) float64 {
	c := m.class
	done := s.now + s.callTime(m)
	if done <= m.aimAt || c.Deadline <= c.Aim {
		return c.Worth
	}
	late := done - m.aimAt
	if s.set.WorthHalves {
		return c.Worth * max(c.LateWorth, math.Exp2(-late/max(c.Aim, 1)))
	}
	return c.Worth * max(c.LateWorth, 1-(1-c.LateWorth)*late/(c.Deadline-c.Aim))
}

// callTime is the smoothed latency of a call for m: the destination's, or its class's while unknown.
func (s *Sender) callTime(m *message) float64 {
	if m.dest.lat.n > 0 {
		return m.dest.lat.mean
	}
	return s.usual[m.kind].mean
}

func (c *controller) learn(y float64) {
	f := [2]float64{c.y, c.u}
	pf := [2]float64{c.p[0][0]*f[0] + c.p[0][1]*f[1], c.p[1][0]*f[0] + c.p[1][1]*f[1]}
	k := 1 / (1 + f[0]*pf[0] + f[1]*pf[1])
	for i := range 2 {
		for j := range 2 {
			c.p[i][j] -= k * pf[i] * pf[j]
		}
	}
	miss := y - f[0]*c.theta[0] - f[1]*c.theta[1]
	pf = [2]float64{c.p[0][0]*f[0] + c.p[0][1]*f[1], c.p[1][0]*f[0] + c.p[1][1]*f[1]}
	c.theta[0] += pf[0] * miss
	c.theta[1] = max(c.theta[1]+pf[1]*miss, theta2Floor)
}

// wake sets the late-refusal timer of m.
func (s *Sender) wake(m *message) {
	s.wakeN++
	heap.Push(&s.wakes, wake{at: s.lastSend(m), n: s.wakeN, m: m})
}

// arm asks for a timer where none is due by then.
func (s *Sender) arm(next float64) {
	if next < s.armed {
		s.armed = max(next, s.now+1)
		s.token++
		s.out = append(s.out, Action{Kind: ActTimer, Token: s.token, After: s.armed - s.now})
	}
}

// startCall enters a call to ep that m opens.
func (s *Sender) startCall(m *message, ep *endpoint) *call {
	c := &call{ep: ep, sentAt: s.now, first: m.attempts == 0}
	ep.step, ep.stepN = c, s.steps
	if s.now-ep.usedAt > s.set.KeepAlive && len(ep.calls) == 0 {
		ep.conns = 0
	}
	if len(ep.calls) == 0 && ep.conns > 0 {
		c.idle = s.now - ep.usedAt
	}
	ep.calls = append(ep.calls, c)
	s.calls = append(s.calls, c)
	m.dest.out++
	s.busy++
	return c
}

// connect books the connection that c takes.
func (s *Sender) connect(c *call) {
	ep, streams := c.ep, c.ep.stream
	c.dials = len(ep.calls) > ep.conns*streams
	ep.conns, ep.usedAt = max(ep.conns, (len(ep.calls)+streams-1)/streams), s.now
}

// hangUp closes the idle connections to ep.
func (s *Sender) hangUp(ep *endpoint) {
	s.out = append(s.out, Action{Kind: ActCloseIdle, Endpoint: ep.id})
	ep.conns = 0
}

// release frees the slot of a call of which every message has its outcome.
func (s *Sender) release(c *call) {
	s.busy--
	c.ep.dest.out--
	c.ep.calls = without(c.ep.calls, c)
	s.calls = without(s.calls, c)
}

// stillWaiting takes destinations without a queue off the list of those that wait, and returns a copy of it.
func (s *Sender) stillWaiting() []*dest {
	kept := s.waiting[:0]
	for _, d := range s.waiting {
		if len(d.queue) == 0 {
			s.account(d)
			d.listed, d.blocked = false, false
			d.ctl.rest()
			continue
		}
		kept = append(kept, d)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	return slices.Clone(kept)
}

// join puts m at the end of its key's line.
func (s *Sender) join(m *message, key uint64) {
	q := s.keys[key]
	if q == nil {
		q = &keyQueue{}
		s.keys[key] = q
	}
	m.key, q.line = key, append(q.line, m)
}

// oldest is the age of the oldest held message that no outage has kept.
func (d *dest) oldest(now float64) float64 {
	for _, m := range d.queue {
		if !m.sick {
			return now - m.arrived
		}
	}
	return 0
}

// keepOnly retires the endpoints that a full list does not hold.
func (s *Sender) keepOnly(list []Endpoint) {
	listed := make(map[uint32]bool, len(list))
	for _, l := range list {
		listed[l.ID] = true
	}
	for _, d := range s.dests {
		for _, ep := range d.eps {
			if !listed[ep.id] {
				s.retire(ep)
			}
		}
	}
}

// retire marks an endpoint that left the list. It is remembered for forgetAfter: one that left in an outage
// may be listed again when it comes back cold.
func (s *Sender) retire(ep *endpoint) {
	if ep != nil && ep.goneAt == 0 {
		ep.ready, ep.goneAt = false, s.now
		s.gone = append(s.gone, ep)
	}
}

// forget takes an endpoint from the books; calls out there keep it until they end.
func (s *Sender) forget(ep *endpoint) {
	delete(s.eps, ep.id)
	ep.dest.eps = without(ep.dest.eps, ep)
	ep.route.endpoints = without(ep.route.endpoints, ep)
	k := &s.dials[ep.kind]
	k.endpoints = without(k.endpoints, ep)
	s.dropDest(ep.dest)
}

// dropDest forgets a destination without endpoints, messages and calls.
func (s *Sender) dropDest(d *dest) {
	if len(d.eps) == 0 && len(d.queue) == 0 && d.out == 0 && s.dests[d.id] == d {
		delete(s.dests, d.id)
	}
}

// sweep forgets endpoints that are gone for long, and keys whose rest is over and that no message holds.
func (s *Sender) sweep() {
	s.recalled = nil
	for len(s.gone) > 0 && (s.gone[0].goneAt == 0 || s.now-s.gone[0].goneAt > forgetAfter) {
		if ep := s.gone[0]; ep.goneAt > 0 && s.eps[ep.id] == ep {
			s.forget(s.gone[0])
		}
		s.gone[0] = nil // or the list's array would keep it
		s.gone = s.gone[1:]
	}
	for len(s.resting) > 0 {
		q := s.keys[s.resting[0]]
		if q != nil && q.rest > s.now {
			return
		}
		if q != nil && len(q.line) == 0 {
			delete(s.keys, s.resting[0])
		}
		s.resting = s.resting[1:]
	}
}

// markSick marks the messages that an outage of d keeps.
func (d *dest) markSick() {
	for _, m := range d.queue {
		m.sick = m.sick || d.sick
	}
}

// field is a value of a report, 0 if it is absent.
func field(rep []float64, i int) float64 {
	if i < 0 || i >= len(rep) {
		return 0
	}
	return rep[i]
}

// senders is how many share a limit.
func (s *Sender) senders() float64 { return float64(max(s.set.Senders, 1)) }

// between draws evenly from a range.
func (s *Sender) between(lo, hi float64) float64 { return lo + (hi-lo)*s.rng.Float64() }

// arrive counts a message handed in; an idle controller starts afresh.
func (c *controller) arrive(now float64) {
	if now-c.seen > ageAfter {
		c.reset(now)
	}
	c.seen = now
	c.arrivals++
}

// rest admits all and forgets E[X]: no message of the destination waits.
func (c *controller) rest() {
	c.pa, c.pam, c.ex, c.waited, c.done, c.primed = 1, 1, 0, 0, 0, false
}
