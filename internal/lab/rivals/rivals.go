// Package rivals implements other retry algorithms, against which the lab compares the decision module. They follow
// the publications of their authors, and take the same events and return the same actions as the module:
//
//   - Backoff: exponential back-off with full jitter (M. Brooker, "Exponential Backoff And Jitter", AWS
//     Architecture Blog, 2015): a failed attempt is repeated after U(0, min(cap, base 2^n)).
//   - RetryBudget: Backoff under gRPC's retry throttling (gRFC A6): a bucket of 10 tokens for each destination; each
//     failure takes one token, each success adds 0.1; no attempt is repeated while half of the tokens or fewer are
//     left. The standard retry mode of the AWS SDKs works in a similar way.
//   - Ideal: a sender that knows the partner's state and shares one exact pace with all other senders. No real sender
//     can do this: it is the upper bound of what the partner allows.
//
// All of them honour the waits that partners request. They are used in the lab only.
package rivals

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"sliptide/policy"
)

// Kind is a retry algorithm.
type Kind uint8

const (
	Backoff Kind = iota
	RetryBudget
	ideal
)

const (
	baseBackoffMS    = 100.0
	maxBackoffMS     = 5000.0
	callTimeoutMS    = 2500.0 // shorter if the message's deadline is earlier
	retryAfterMS     = 1000.0 // Retry-After of refused messages, unless MaxRetryAfter is lower
	maxTokens        = 10.0   // of a destination's retry budget, which starts full
	tokensPerSuccess = 0.1
)

// Oracle informs ideal senders of what no real sender can know. Package world implements it.
type Oracle interface {
	// NextCallTime returns when the destination may be called next, and reserves the call if that is now.
	NextCallTime(now float64, dest int) float64
	// EndpointUp reports whether an endpoint is up.
	EndpointUp(endpoint uint32) bool
}

// Sender is one sender that uses a rival algorithm. It is not safe for concurrent use.
type Sender struct {
	kind       Kind
	settings   policy.Settings
	rng        *rand.Rand
	oracle     Oracle
	dests      map[int]*dest
	messages   map[uint64]*message
	waiting    []*message // not in flight; sendDue sorts them by notBefore
	inFlight   int        // calls
	timerToken uint32
	timerAt    float64 // +Inf: no timer is set
	actions    []policy.Action
}

// dest is the state of one destination.
type dest struct {
	endpoints []uint32 // ready endpoints
	tokens    float64  // of the retry budget
	waitUntil float64  // end of the wait that the partner requested
}

type message struct {
	id         uint64
	dest       *dest
	destID     int
	deadline   float64
	notBefore  float64
	attempts   int
	inFlight   bool
	mayHaveRun bool
}

// New returns a sender that uses the algorithm kind.
func New(kind Kind, set policy.Settings, seed uint64) *Sender {
	return &Sender{kind: kind, settings: set, rng: rand.New(rand.NewPCG(seed, 0x71)), dests: map[int]*dest{},
		messages: map[uint64]*message{}, timerAt: math.Inf(1)}
}

// NewIdeal returns an ideal sender, which is informed by o.
func NewIdeal(set policy.Settings, o Oracle) *Sender {
	s := New(ideal, set, 1)
	s.oracle = o
	return s
}

// Step handles a batch of events and appends the resulting actions to actions, as policy.Sender does. now is in
// milliseconds.
func (s *Sender) Step(now float64, events []policy.Event, actions []policy.Action) []policy.Action {
	s.actions = actions
	for i := range events {
		switch e := &events[i]; e.Kind {
		case policy.EvList:
			s.updateEndpoints(e)
		case policy.EvMessage:
			m := &message{id: e.ID, dest: s.dest(e.Dest), destID: e.Dest, deadline: now + e.Remaining,
				notBefore: now, attempts: e.Attempts, mayHaveRun: e.MayHaveRun}
			s.messages[m.id] = m
			s.waiting = append(s.waiting, m)
		case policy.EvOutcome:
			s.handleOutcome(now, e)
		case policy.EvTimer:
			s.timerAt = math.Inf(1)
		}
	}
	s.sendDue(now)
	return s.actions
}

// dest returns the state of a destination, which it creates at the first use.
func (s *Sender) dest(id int) *dest {
	d := s.dests[id]
	if d == nil {
		d = &dest{tokens: maxTokens}
		s.dests[id] = d
	}
	return d
}

// updateEndpoints updates the ready endpoints of the listed destinations.
func (s *Sender) updateEndpoints(e *policy.Event) {
	for _, l := range e.List {
		d := s.dest(l.Dest)
		i := slices.Index(d.endpoints, l.ID)
		switch {
		case l.State == policy.Ready && i < 0:
			d.endpoints = append(d.endpoints, l.ID)
		case l.State != policy.Ready && i >= 0:
			d.endpoints = slices.Delete(d.endpoints, i, i+1)
		}
	}
}

// handleOutcome handles the end of an attempt. A failed message waits for its next attempt, or is refused if the
// algorithm allows none.
func (s *Sender) handleOutcome(now float64, e *policy.Event) {
	m := s.messages[e.ID]
	if m == nil {
		return
	}
	s.inFlight--
	m.inFlight = false
	d := m.dest
	if e.RequestedWait > 0 {
		d.waitUntil = max(d.waitUntil, now+e.RequestedWait+1)
	}
	if e.Outcome == policy.OK {
		d.tokens = min(d.tokens+tokensPerSuccess, maxTokens)
		delete(s.messages, m.id)
		return
	}
	d.tokens = max(d.tokens-1, 0)
	m.mayHaveRun = m.mayHaveRun || !e.Outcome.NeverRan()
	if m.attempts >= s.settings.MaxAttempts && s.kind != ideal || s.kind == RetryBudget && d.tokens <= maxTokens/2 {
		s.refuse(m)
		return
	}
	m.notBefore = now
	if s.kind != ideal {
		m.notBefore += s.rng.Float64() * min(maxBackoffMS, baseBackoffMS*math.Exp2(float64(m.attempts)))
	}
	s.waiting = append(s.waiting, m)
}

// refuse returns a message to its client undelivered.
func (s *Sender) refuse(m *message) {
	delete(s.messages, m.id)
	s.actions = append(s.actions, policy.Action{Kind: policy.ActRefuse, ID: m.id, After: min(retryAfterMS, s.settings.MaxRetryAfter)})
}

// sendDue sends the messages that are due, refuses those within 40 ms of their deadline, and sets the timer for the
// others.
func (s *Sender) sendDue(now float64) {
	slices.SortStableFunc(s.waiting, func(a, b *message) int { return cmp.Compare(a.notBefore, b.notBefore) })
	nextDue := math.Inf(1)
	remaining := s.waiting[:0]
	for _, m := range s.waiting {
		at := max(m.notBefore, m.dest.waitUntil)
		switch {
		case m.deadline-now <= 40:
			s.refuse(m)
			continue
		case at > now, s.inFlight >= s.settings.CallSlots, len(m.dest.endpoints) == 0:
			nextDue = min(nextDue, max(at, now+1))
			if at <= now { // no free slot or no endpoint: the event that changes this causes a step, too
				nextDue = min(nextDue, now+100)
			}
			nextDue = min(nextDue, m.deadline-40)
		case s.oracle != nil:
			if at = s.oracle.NextCallTime(now, m.destID); at > now {
				nextDue = min(nextDue, at)
				break
			}
			fallthrough
		default:
			s.send(now, m)
			continue
		}
		remaining = append(remaining, m)
	}
	s.waiting = remaining
	if nextDue < s.timerAt {
		s.timerAt = max(nextDue, now+1)
		s.timerToken++
		s.actions = append(s.actions, policy.Action{Kind: policy.ActTimer, Token: s.timerToken, After: s.timerAt - now})
	}
}

// send sends a message to a random endpoint of its destination. An ideal sender replaces an endpoint that is down by
// one that is up, if there is one.
func (s *Sender) send(now float64, m *message) {
	ep := m.dest.endpoints[s.rng.IntN(len(m.dest.endpoints))]
	for i := 0; s.oracle != nil && !s.oracle.EndpointUp(ep) && i < len(m.dest.endpoints); i++ {
		ep = m.dest.endpoints[i]
	}
	m.attempts++
	m.inFlight = true
	s.inFlight++
	s.actions = append(s.actions, policy.Action{Kind: policy.ActSend, ID: m.id, Endpoint: ep, After: min(callTimeoutMS, m.deadline-now)})
}
