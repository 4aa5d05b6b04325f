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

// brain decides for one sender: the decision module, or a rival.
type brain interface {
	Step(now float64, events []policy.Event, actions []policy.Action) []policy.Action
}

// node is one sender. It feeds and obeys its brain and its guard as internal/sender does.
type node struct {
	w         *World
	index     int
	set       policy.Settings
	brain     brain
	mod       *policy.Sender // the brain, if it is the module
	guard     *storm.Guard   // nil: none
	events    []policy.Event
	actions   []policy.Action
	held      map[uint64]*message
	nextID    uint64
	stepAt    float64 // of the step that is due; +Inf: none
	lastStep  float64
	token     uint32
	lookAt    float64
	downUntil float64
	life      int                  // restarts so far
	idle      map[uint32][]float64 // idle connections by endpoint: when each was used last
	paces     map[int]*dialPace
	calls     map[*call]bool
	sends     []*call
	board     *trial.State // its part in the fleet's trials; nil: none
	news      map[int]trial.Update
	session   uint64 // 0: not yet
}

// dialPace spaces new connections to one partner.
type dialPace struct{ every, next float64 }

// call is one attempt under way, with one message or several.
type call struct {
	node    *node
	life    int
	at      *station
	msgs    []*message
	ids     []uint64
	tries   []int
	sentAt  float64
	timeout float64
	outcome policy.Outcome
	wait    float64
	reached bool
	over    bool
}

func newNode(w *World, index int) *node {
	n := &node{
		w: w, index: index, set: w.p.settings(index), held: map[uint64]*message{}, stepAt: math.Inf(1),
		lastStep: -1, lookAt: math.Inf(1), idle: map[uint32][]float64{}, paces: map[int]*dialPace{}, calls: map[*call]bool{},
	}
	n.think()
	if w.team != nil {
		w.team.join(0, n)
	}
	return n
}

func (n *node) name() string { return "n" + strconv.Itoa(n.index) }

// think gives the node a brain that has learned nothing.
func (n *node) think() {
	p, seed := &n.w.p, n.w.rng.Uint64()
	n.mod, n.guard = nil, nil
	switch p.System {
	case Sliptide, Fleet:
		limits := map[int]float64{}
		for i := range n.w.partners {
			limits[i] = p.limitOf()
		}
		n.guard = storm.New(storm.SettingsFrom(&n.set, limits), seed)
		fallthrough
	case ModuleOnly:
		n.mod = policy.New(n.set, seed)
		n.brain = n.mod
	case Backoff:
		n.brain = rivals.New(rivals.Backoff, n.set, seed)
	case RetryBudget:
		n.brain = rivals.New(rivals.RetryBudget, n.set, seed)
	case Ideal:
		n.brain = rivals.NewIdeal(n.set, n.w)
	}
}

// list is what discovery has told this sender.
func (n *node) list(now float64, only int) {
	ev := policy.Event{Kind: policy.EvList, FullList: only < 0}
	for _, p := range n.w.partners {
		if only >= 0 && p.id != only {
			continue
		}
		for _, s := range p.endpoints {
			l := policy.Endpoint{ID: s.id, State: policy.Ready, Dest: p.id}
			if s.down && n.w.p.DelistsDown {
				l.State = policy.Gone
			}
			ev.List = append(ev.List, l)
		}
	}
	n.guard.UpdateEndpoints(now, ev.List, ev.FullList)
	n.events = append(n.events, ev)
	n.due(now)
}

// due sees that a step comes, a round after the last at the earliest, and not while the process is down.
func (n *node) due(now float64) {
	at := max(now, n.lastStep+n.set.MinStepInterval, n.downUntil)
	if at < n.stepAt {
		n.stepAt = at
		n.w.queue.push(event{at: at, kind: evStep, node: n})
	}
}

// take is a message handed in.
func (n *node) take(now float64, m *message) {
	again := n.w.p.MarksRetries && m.tries > 1
	n.guard.RecordArrival(now, m.partner, m.key, again)
	if n.downUntil > now || n.set.MaxHeld > 0 && len(n.held) >= n.set.MaxHeld {
		n.w.refused(now, m, n.comeBack(now, m, min(1000, max(n.set.MaxRetryAfter, 1))))
		return
	}
	n.nextID++
	m.id, m.attempts, m.doubt = n.nextID, 0, false
	n.hold(now, m)
	n.events = append(n.events, policy.Event{Kind: policy.EvMessage, ID: m.id, Remaining: m.until - now, Resubmitted: again, Dest: m.partner})
	n.due(now)
}

func (n *node) hold(now float64, m *message) {
	n.held[m.id] = m
	n.guard.AdjustHeld(now, m.partner, 1)
}

func (n *node) forget(now float64, m *message) {
	if _, ok := n.held[m.id]; !ok {
		return
	}
	delete(n.held, m.id)
	n.guard.AdjustHeld(now, m.partner, -1)
}

func (n *node) comeBack(now float64, m *message, least float64) float64 {
	return n.guard.RetryAfter(now, m.partner, m.key, max(m.until-now, 0), least)
}

// step lets the brain decide, and carries out what it does.
func (n *node) step(now float64) {
	n.stepAt, n.lastStep = math.Inf(1), now
	for _, o := range n.trials(now, n.guard.Throttles(now)) {
		for _, p := range o.Paces {
			n.events = append(n.events, policy.Event{Kind: policy.EvPace, Dest: o.Dest, Endpoint: p.Endpoint, Pace: p.Rate})
		}
		n.paceDials(o.Dest, o.DialRate)
	}
	n.actions = n.brain.Step(now, n.events, n.actions[:0])
	n.events = n.events[:0]
	n.sends = n.sends[:0]
	for i := range n.actions {
		n.act(now, &n.actions[i])
	}
	for _, c := range n.sends {
		n.start(now, c)
	}
	if at := min(n.guard.NextDue(), n.board.NextChange()); at < n.lookAt || n.lookAt <= now {
		if n.lookAt = at; !math.IsInf(at, 1) {
			n.w.queue.push(event{at: max(at, now+1), kind: evLook, node: n})
		}
	}
}

// paceDials is Pool.PaceDials: a pace that changes goes on from the turns that are taken.
func (n *node) paceDials(partner int, perSecond float64) {
	if perSecond <= 0 {
		delete(n.paces, partner)
		return
	}
	d := n.paces[partner]
	if d == nil {
		d = &dialPace{}
		n.paces[partner] = d
	}
	d.every = 1000 / perSecond
}

func (n *node) act(now float64, a *policy.Action) {
	switch a.Kind {
	case policy.ActSend:
		if m := n.held[a.ID]; m != nil && m.call == nil {
			n.send(now, m, a)
		}
	case policy.ActRefuse, policy.ActFail:
		m := n.held[a.ID]
		if m == nil {
			return
		}
		n.forget(now, m)
		after := a.After
		if a.Kind == policy.ActFail { // given up: its client does not hand it in again
			return
		}
		n.w.refused(now, m, n.comeBack(now, m, after))
	case policy.ActTimer:
		n.token = a.Token
		n.w.queue.push(event{at: now + a.After, kind: evTimer, node: n, n: int(a.Token)})
	case policy.ActCloseIdle:
		n.hangUp(a.Endpoint)
	}
}

// send enters an attempt. Sends of one step to one endpoint share a call.
func (n *node) send(now float64, m *message, a *policy.Action) {
	var c *call
	for _, v := range n.sends {
		if v.at.id == a.Endpoint && len(v.msgs) < n.set.Kinds[0].Batch {
			c = v
		}
	}
	if c == nil {
		c = &call{node: n, life: n.life, at: n.w.stations[a.Endpoint], sentAt: now}
		n.sends = append(n.sends, c)
	}
	c.msgs, c.ids, c.tries = append(c.msgs, m), append(c.ids, m.id), append(c.tries, m.attempts)
	c.timeout = max(c.timeout, a.After)
	m.attempts++
	m.call = c
}

// start puts a call on an idle connection, or on a new one when that is its turn.
func (n *node) start(now float64, c *call) {
	n.calls[c] = true
	idle := n.idle[c.at.id]
	for len(idle) > 0 {
		used := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		n.idle[c.at.id] = idle
		if c.at.down && n.w.p.OutageKind != NeverAnswers || now-used > n.set.KeepAlive-500 {
			c.at.conns--
			continue // closed meanwhile, which shows
		}
		n.w.queue.push(event{at: now + 0.2, kind: evReach, call: c})
		return
	}
	at := now
	if d := n.paces[c.at.partner.id]; d != nil {
		at = max(now, d.next)
		d.next = at + d.every
	}
	if at-now >= c.timeout {
		n.w.end(now, c, policy.Moot, 0, 0)
		return
	}
	n.w.queue.push(event{at: at + n.w.p.DialTime, kind: evDialled, call: c})
}

func (n *node) hangUp(endpoint uint32) {
	n.w.stations[endpoint].conns -= len(n.idle[endpoint])
	delete(n.idle, endpoint)
}

// ended takes the end of a call.
func (n *node) ended(now float64, c *call) {
	if c.over || c.life != n.life {
		return
	}
	c.over = true
	delete(n.calls, c)
	if c.reached && (c.outcome == policy.OK || c.outcome == policy.Full || c.outcome == policy.Error) {
		n.idle[c.at.id] = append(n.idle[c.at.id], now)
	} else if c.reached {
		c.at.conns--
	}
	var rep []float64
	if c.outcome == policy.OK || c.outcome == policy.Full || c.outcome == policy.Error {
		rep = c.at.report()
	}
	for i, m := range c.msgs {
		e := policy.Event{Kind: policy.EvOutcome, ID: c.ids[i], Endpoint: c.at.id, Attempt: c.tries[i], Outcome: c.outcome,
			RequestedWait: c.wait, Latency: now - c.sentAt, Report: rep}
		n.events = append(n.events, e)
		n.guard.RecordOutcome(now, &e)
		n.tried(now, c.at.partner.id, &e)
		if m.call == c {
			m.call = nil
		}
		if n.held[c.ids[i]] != m {
			continue
		}
		if c.outcome == policy.OK {
			n.forget(now, m)
			n.w.delivered(now, m)
		} else if !c.outcome.NeverRan() && !m.doubt {
			m.doubt, m.doubtAt = true, c.sentAt
		}
	}
	n.due(now)
}

// restart kills the sender and starts it again: its journal and what it knew come back, its clock runs on.
func (n *node) restart(now, gap float64) {
	var facts []policy.DestFacts
	if n.mod != nil {
		for _, p := range n.w.partners {
			if f, ok := n.mod.Facts(p.id); ok {
				facts = append(facts, f)
			}
		}
	}
	if n.w.team != nil {
		n.w.team.lost(now, n.session)
		n.session = 0
	}
	n.life++
	n.downUntil = now + gap
	n.events = n.events[:0]
	for c := range n.calls {
		for _, m := range c.msgs { // it was out when the process ended: it may have run
			if m.call == c {
				m.call = nil
				if !m.doubt {
					m.doubt, m.doubtAt = true, c.sentAt
				}
			}
		}
		if c.reached {
			c.at.conns--
		}
	}
	clear(n.calls)
	for id := range n.idle {
		n.hangUp(id)
	}
	clear(n.paces)
	n.think()
	if n.w.team != nil {
		n.w.team.join(now+gap, n)
	}
	n.guard.Restore(now+gap, facts)
	n.stepAt, n.lookAt = math.Inf(1), math.Inf(1)
	if n.mod != nil {
		n.events = append(n.events, policy.Event{Kind: policy.EvFacts, Facts: facts})
	}
	n.list(now+gap, -1)
	ids := make([]uint64, 0, len(n.held))
	for id := range n.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		m := n.held[id]
		n.guard.AdjustHeld(now, m.partner, 1)
		e := policy.Event{Kind: policy.EvMessage, ID: id, Remaining: m.until - now - gap, Dest: m.partner, Restored: true, Attempts: m.attempts, MayHaveRun: m.doubt}
		if m.doubt {
			e.MayHaveRunAge = now + gap - m.doubtAt
		}
		n.events = append(n.events, e)
	}
}
