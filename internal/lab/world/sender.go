package world

import (
	"math"
	"slices"
	"strconv"

	"sliptide/internal/fleet/trial"
	"sliptide/internal/lab/rivals"
	"sliptide/internal/storm"
	"sliptide/policy"
)

// decider decides when one sender calls: the decision module or a rival.
type decider interface {
	Step(now float64, events []policy.Event, actions []policy.Action) []policy.Action
}

// sender is one sender. It passes events to its decider and its guard and executes their decisions, as internal/sender
// does.
type sender struct {
	world        *World
	index        int
	settings     policy.Settings
	decider      decider
	module       *policy.Sender // the decider, if it is the module
	guard        *storm.Guard   // nil: none, which its methods accept
	events       []policy.Event
	actions      []policy.Action
	held         map[uint64]*message
	nextID       uint64
	stepAt       float64 // time of the next step; +Inf: none is due
	lastStep     float64 // time of the last step
	timerToken   uint32
	guardDueAt   float64              // time of the pending evGuardDue; +Inf: none
	downUntil    float64              // end of the downtime of the last restart
	incarnation  int                  // number of restarts so far
	idle         map[uint32][]float64 // idle connections by endpoint, as times of last use
	dialPaces    map[int]*dialPace
	calls        map[*call]bool       // in flight or waiting for a connection
	newCalls     []*call              // of the current step, not started yet
	trialState   *trial.State         // shared trials of the fleet; nil: none, which its methods accept
	trialUpdates map[int]trial.Update // by partner: not passed to trialState yet
	session      uint64               // ID of the session in the fleet; 0: not open
}

// dialPace limits the rate of new connections to one partner: dials are interval ms apart, and the next one starts at
// the time next at the earliest.
type dialPace struct{ interval, next float64 }

// call is one attempt, with one or more messages.
type call struct {
	sender        *sender
	incarnation   int
	endpoint      *endpoint
	msgs          []*message
	ids           []uint64 // IDs of msgs when the call was made
	attempts      []int    // attempts of msgs before this one
	sentAt        float64
	timeout       float64
	outcome       policy.Outcome
	requestedWait float64
	connected     bool // the call has a connection
	ended         bool
}

// newSender returns a sender that has no endpoint list yet. In a fleet its session opens later.
func newSender(w *World, index int) *sender {
	s := &sender{
		world: w, index: index, settings: w.params.senderSettings(index), held: map[uint64]*message{}, stepAt: math.Inf(1),
		lastStep: -1, guardDueAt: math.Inf(1), idle: map[uint32][]float64{},
		dialPaces: map[int]*dialPace{}, calls: map[*call]bool{},
	}
	s.resetDecider()
	if w.fleet != nil {
		w.fleet.openSession(0, s)
	}
	return s
}

func (s *sender) name() string { return "n" + strconv.Itoa(s.index) }

// resetDecider replaces the decider and the guard by new ones without learned state.
func (s *sender) resetDecider() {
	p, seed := &s.world.params, s.world.rng.Uint64()
	s.module, s.guard = nil, nil
	switch p.System {
	case Sliptide, Fleet:
		limits := map[int]float64{}
		for i := range s.world.partners {
			limits[i] = p.partnerLimit()
		}
		s.guard = storm.New(storm.SettingsFrom(&s.settings, limits), seed)
		fallthrough
	case ModuleOnly:
		s.module = policy.New(s.settings, seed)
		s.decider = s.module
	case Backoff:
		s.decider = rivals.New(rivals.Backoff, s.settings, seed)
	case RetryBudget:
		s.decider = rivals.New(rivals.RetryBudget, s.settings, seed)
	case Ideal:
		s.decider = rivals.NewIdeal(s.settings, s.world)
	}
}

// receiveList handles an endpoint list from discovery: the full list, or the endpoints of one partner if onlyPartner is
// not negative.
func (s *sender) receiveList(now float64, onlyPartner int) {
	ev := policy.Event{Kind: policy.EvList, FullList: onlyPartner < 0}
	for _, p := range s.world.partners {
		if onlyPartner >= 0 && p.id != onlyPartner {
			continue
		}
		for _, e := range p.endpoints {
			l := policy.Endpoint{ID: e.id, State: policy.Ready, Dest: p.id}
			if e.down && s.world.params.DelistsDown {
				l.State = policy.Gone
			}
			ev.List = append(ev.List, l)
		}
	}
	s.guard.UpdateEndpoints(now, ev.List, ev.FullList)
	s.events = append(s.events, ev)
	s.scheduleStep(now)
}

// scheduleStep schedules the next step: at least MinStepInterval after the last one, and not while the process is down.
func (s *sender) scheduleStep(now float64) {
	at := max(now, s.lastStep+s.settings.MinStepInterval, s.downUntil)
	if at < s.stepAt {
		s.stepAt = at
		s.world.queue.push(event{at: at, kind: evStep, sender: s})
	}
}

// accept accepts or refuses a submitted message.
func (s *sender) accept(now float64, m *message) {
	resubmitted := s.world.params.MarksRetries && m.submissions > 1
	s.guard.RecordArrival(now, m.partner, m.key, resubmitted)
	if s.downUntil > now || s.settings.MaxHeld > 0 && len(s.held) >= s.settings.MaxHeld {
		s.world.recordRefusal(now, m, s.retryAfter(now, m, min(1000, max(s.settings.MaxRetryAfter, 1))))
		return
	}
	s.nextID++
	m.id, m.attempts, m.mayHaveRun = s.nextID, 0, false
	s.hold(now, m)
	s.events = append(s.events, policy.Event{Kind: policy.EvMessage, ID: m.id, Remaining: m.deadline - now,
		Resubmitted: resubmitted, Dest: m.partner})
	s.scheduleStep(now)
}

func (s *sender) hold(now float64, m *message) {
	s.held[m.id] = m
	s.guard.AdjustHeld(now, m.partner, 1)
}

func (s *sender) release(now float64, m *message) {
	if _, ok := s.held[m.id]; !ok {
		return
	}
	delete(s.held, m.id)
	s.guard.AdjustHeld(now, m.partner, -1)
}

func (s *sender) retryAfter(now float64, m *message, minWait float64) float64 {
	return s.guard.RetryAfter(now, m.partner, m.key, max(m.deadline-now, 0), minWait)
}

// step passes the pending events and the changed throttles to the decider, executes its actions, and schedules the next
// time that the guard or a shared trial is due.
func (s *sender) step(now float64) {
	s.stepAt, s.lastStep = math.Inf(1), now
	for _, throttle := range s.adjustThrottles(now, s.guard.Throttles(now)) {
		for _, p := range throttle.Paces {
			s.events = append(s.events, policy.Event{Kind: policy.EvPace, Dest: throttle.Dest, Endpoint: p.Endpoint, Pace: p.Rate})
		}
		s.paceDials(throttle.Dest, throttle.DialRate)
	}
	s.actions = s.decider.Step(now, s.events, s.actions[:0])
	s.events = s.events[:0]
	s.newCalls = s.newCalls[:0]
	for i := range s.actions {
		s.execute(now, &s.actions[i])
	}
	for _, c := range s.newCalls {
		s.startCall(now, c)
	}
	if at := min(s.guard.NextDue(), s.trialState.NextChange()); at < s.guardDueAt || s.guardDueAt <= now {
		if s.guardDueAt = at; !math.IsInf(at, 1) {
			s.world.queue.push(event{at: max(at, now+1), kind: evGuardDue, sender: s})
		}
	}
}

// paceDials sets the rate of new connections to a partner; 0 removes it. As with Pool.PaceDials of the real sender,
// dials that are already scheduled keep their times when the rate changes.
func (s *sender) paceDials(partner int, perSecond float64) {
	if perSecond <= 0 {
		delete(s.dialPaces, partner)
		return
	}
	pace := s.dialPaces[partner]
	if pace == nil {
		pace = &dialPace{}
		s.dialPaces[partner] = pace
	}
	pace.interval = 1000 / perSecond
}

// execute executes one action of the decider. Calls that it adds to newCalls are started at the end of the step.
func (s *sender) execute(now float64, a *policy.Action) {
	switch a.Kind {
	case policy.ActSend:
		if m := s.held[a.ID]; m != nil && m.call == nil {
			s.send(now, m, a)
		}
	case policy.ActRefuse, policy.ActFail:
		m := s.held[a.ID]
		if m == nil {
			return
		}
		s.release(now, m)
		after := a.After
		if a.Kind == policy.ActFail { // abandoned: the client does not resubmit it
			return
		}
		s.world.recordRefusal(now, m, s.retryAfter(now, m, after))
	case policy.ActTimer:
		s.timerToken = a.Token
		s.world.queue.push(event{at: now + a.After, kind: evTimer, sender: s, arg: int(a.Token)})
	case policy.ActCloseIdle:
		s.closeIdle(a.Endpoint)
	}
}

// send adds an attempt to a new call. Attempts of one step to the same endpoint share a call up to the batch size.
func (s *sender) send(now float64, m *message, a *policy.Action) {
	var c *call
	for _, v := range s.newCalls {
		if v.endpoint.id == a.Endpoint && len(v.msgs) < s.settings.Kinds[0].Batch {
			c = v
		}
	}
	if c == nil {
		c = &call{sender: s, incarnation: s.incarnation, endpoint: s.world.endpoints[a.Endpoint], sentAt: now}
		s.newCalls = append(s.newCalls, c)
	}
	c.msgs, c.ids, c.attempts = append(c.msgs, m), append(c.ids, m.id), append(c.attempts, m.attempts)
	c.timeout = max(c.timeout, a.After)
	m.attempts++
	m.call = c
}

// startCall makes a call on an idle connection, or dials when the dial pace permits. The call ends as moot if its
// timeout would pass before the dial starts.
func (s *sender) startCall(now float64, c *call) {
	s.calls[c] = true
	idle := s.idle[c.endpoint.id]
	for len(idle) > 0 {
		used := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		s.idle[c.endpoint.id] = idle
		if c.endpoint.down && s.world.params.OutageKind != NeverAnswers || now-used > s.settings.KeepAlive-500 {
			c.endpoint.conns--
			continue // the partner has closed this connection, and the sender has noticed
		}
		s.world.queue.push(event{at: now + 0.2, kind: evCallArrives, call: c})
		return
	}
	at := now
	if d := s.dialPaces[c.endpoint.partner.id]; d != nil {
		at = max(now, d.next)
		d.next = at + d.interval
	}
	if at-now >= c.timeout {
		s.world.endCall(now, c, policy.Moot, 0, 0)
		return
	}
	s.world.queue.push(event{at: at + s.world.params.DialTime, kind: evDialled, call: c})
}

func (s *sender) closeIdle(endpoint uint32) {
	s.world.endpoints[endpoint].conns -= len(s.idle[endpoint])
	delete(s.idle, endpoint)
}

// callEnded handles the end of a call: it keeps or drops the connection, passes the outcome of each message to the
// decider and the guard, and releases the messages that are delivered.
func (s *sender) callEnded(now float64, c *call) {
	if c.ended || c.incarnation != s.incarnation {
		return
	}
	c.ended = true
	delete(s.calls, c)
	if c.connected && (c.outcome == policy.OK || c.outcome == policy.Full || c.outcome == policy.Error) {
		s.idle[c.endpoint.id] = append(s.idle[c.endpoint.id], now)
	} else if c.connected {
		c.endpoint.conns--
	}
	var report []float64
	if c.outcome == policy.OK || c.outcome == policy.Full || c.outcome == policy.Error {
		report = c.endpoint.loadReport()
	}
	for i, m := range c.msgs {
		e := policy.Event{Kind: policy.EvOutcome, ID: c.ids[i], Endpoint: c.endpoint.id, Attempt: c.attempts[i],
			Outcome: c.outcome, RequestedWait: c.requestedWait, Latency: now - c.sentAt, Report: report}
		s.events = append(s.events, e)
		s.guard.RecordOutcome(now, &e)
		s.reportFailure(now, c.endpoint.partner.id, &e)
		if m.call == c {
			m.call = nil
		}
		if s.held[c.ids[i]] != m {
			continue
		}
		if c.outcome == policy.OK {
			s.release(now, m)
			s.world.recordDelivery(now, m)
		} else if !c.outcome.NeverRan() && !m.mayHaveRun {
			m.mayHaveRun, m.mayHaveRunAt = true, c.sentAt
		}
	}
	s.scheduleStep(now)
}

// restart kills the sender and starts it again after a downtime in milliseconds. The new process run restores the
// journal and the stored knowledge; the sender's clock continues over the downtime.
func (s *sender) restart(now, downtime float64) {
	var facts []policy.DestFacts
	if s.module != nil {
		for _, p := range s.world.partners {
			if f, ok := s.module.Facts(p.id); ok {
				facts = append(facts, f)
			}
		}
	}
	if s.world.fleet != nil {
		s.world.fleet.expireSession(now, s.session)
		s.session = 0
	}
	s.incarnation++
	s.downUntil = now + downtime
	s.events = s.events[:0]
	for c := range s.calls {
		for _, m := range c.msgs { // the call was in flight when the process ended: the message may have run
			if m.call == c {
				m.call = nil
				if !m.mayHaveRun {
					m.mayHaveRun, m.mayHaveRunAt = true, c.sentAt
				}
			}
		}
		if c.connected {
			c.endpoint.conns--
		}
	}
	clear(s.calls)
	for id := range s.idle {
		s.closeIdle(id)
	}
	clear(s.dialPaces)
	s.resetDecider()
	if s.world.fleet != nil {
		s.world.fleet.openSession(now+downtime, s)
	}
	s.guard.Restore(now+downtime, facts)
	s.stepAt, s.guardDueAt = math.Inf(1), math.Inf(1)
	if s.module != nil {
		s.events = append(s.events, policy.Event{Kind: policy.EvFacts, Facts: facts})
	}
	s.receiveList(now+downtime, -1)
	ids := make([]uint64, 0, len(s.held))
	for id := range s.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		m := s.held[id]
		s.guard.AdjustHeld(now, m.partner, 1)
		e := policy.Event{Kind: policy.EvMessage, ID: id, Remaining: m.deadline - now - downtime,
			Dest: m.partner, Restored: true, Attempts: m.attempts, MayHaveRun: m.mayHaveRun}
		if m.mayHaveRun {
			e.MayHaveRunAge = now + downtime - m.mayHaveRunAt
		}
		s.events = append(s.events, e)
	}
}
