// Package rivals holds other ways to send, for the lab to measure the decision module against. They are written
// from what their authors publish, take the module's events and answer with its actions:
//
//   - Backoff: exponential back-off with full jitter (M. Brooker, "Exponential Backoff And Jitter", AWS
//     Architecture Blog, 2015): a failed attempt is repeated after U(0, min(cap, base 2^n)).
//   - Budget: the same under gRPC's retry throttling (gRFC A6): a bucket of 10 tokens for each destination, each
//     failure takes one, each success gives 0.1; at half or under no attempt is repeated. The AWS SDKs' standard
//     mode is of the same kind.
//   - Ideal: a sender that knows the partner's state and shares one exact pace with all others. It cannot be
//     built; it shows what the partner would allow.
//
// Each holds what a told wait keeps back, as every sender must. None is used outside the lab.
package rivals

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"sliptide/policy"
)

// Kind is a way to send.
type Kind uint8

// The kinds.
const (
	Backoff Kind = iota
	RetryBudget
	ideal
)

const (
	base       = 100.0 // milliseconds
	ceiling    = 5000.0
	timeout    = 2500.0
	retryAfter = 1000.0
	maxTokens  = 10.0
	tokenRatio = 0.1
)

// Oracle knows what no sender can: package world.
type Oracle interface {
	NextCallTime(now float64, dest int) float64
	EndpointUp(endpoint uint32) bool
}

// Sender is one rival. It is not safe for concurrent use.
type Sender struct {
	kind   Kind
	set    policy.Settings
	rng    *rand.Rand
	oracle Oracle
	dests  map[int]*dest
	msgs   map[uint64]*message
	line   []*message // not out, by the time that each may go
	busy   int
	token  uint32
	armed  float64
	out    []policy.Action
}

type dest struct {
	eps    []uint32
	tokens float64
	waits  float64
}

type message struct {
	id       uint64
	dest     *dest
	num      int
	deadline float64
	at       float64
	attempts int
	out      bool
	doubt    bool
}

// New returns a rival of a kind.
func New(kind Kind, set policy.Settings, seed uint64) *Sender {
	return &Sender{kind: kind, set: set, rng: rand.New(rand.NewPCG(seed, 0x71)), dests: map[int]*dest{}, msgs: map[uint64]*message{}, armed: math.Inf(1)}
}

// NewIdeal returns an ideal sender.
func NewIdeal(set policy.Settings, o Oracle) *Sender {
	s := New(ideal, set, 1)
	s.oracle = o
	return s
}

// Step takes one batch of events and appends the actions, as policy.Sender does.
func (s *Sender) Step(now float64, events []policy.Event, actions []policy.Action) []policy.Action {
	s.out = actions
	for i := range events {
		switch e := &events[i]; e.Kind {
		case policy.EvList:
			s.list(e)
		case policy.EvMessage:
			m := &message{id: e.ID, dest: s.dest(e.Dest), num: e.Dest, deadline: now + e.Remaining, at: now, attempts: e.Attempts, doubt: e.MayHaveRun}
			s.msgs[m.id] = m
			s.line = append(s.line, m)
		case policy.EvOutcome:
			s.outcome(now, e)
		case policy.EvTimer:
			s.armed = math.Inf(1)
		}
	}
	s.pass(now)
	return s.out
}

func (s *Sender) dest(id int) *dest {
	d := s.dests[id]
	if d == nil {
		d = &dest{tokens: maxTokens}
		s.dests[id] = d
	}
	return d
}

func (s *Sender) list(e *policy.Event) {
	for _, l := range e.List {
		d := s.dest(l.Dest)
		i := slices.Index(d.eps, l.ID)
		switch {
		case l.State == policy.Ready && i < 0:
			d.eps = append(d.eps, l.ID)
		case l.State != policy.Ready && i >= 0:
			d.eps = slices.Delete(d.eps, i, i+1)
		}
	}
}

func (s *Sender) outcome(now float64, e *policy.Event) {
	m := s.msgs[e.ID]
	if m == nil {
		return
	}
	s.busy--
	m.out = false
	d := m.dest
	if e.RequestedWait > 0 {
		d.waits = max(d.waits, now+e.RequestedWait+1)
	}
	if e.Outcome == policy.OK {
		d.tokens = min(d.tokens+tokenRatio, maxTokens)
		delete(s.msgs, m.id)
		return
	}
	d.tokens = max(d.tokens-1, 0)
	m.doubt = m.doubt || !e.Outcome.NeverRan()
	if m.attempts >= s.set.MaxAttempts && s.kind != ideal || s.kind == RetryBudget && d.tokens <= maxTokens/2 {
		s.refuse(m)
		return
	}
	m.at = now
	if s.kind != ideal {
		m.at += s.rng.Float64() * min(ceiling, base*math.Exp2(float64(m.attempts)))
	}
	s.line = append(s.line, m)
}

// refuse hands a message back.
func (s *Sender) refuse(m *message) {
	delete(s.msgs, m.id)
	s.out = append(s.out, policy.Action{Kind: policy.ActRefuse, ID: m.id, After: min(retryAfter, s.set.MaxRetryAfter)})
}

// pass sends what may go.
func (s *Sender) pass(now float64) {
	slices.SortStableFunc(s.line, func(a, b *message) int { return cmp.Compare(a.at, b.at) })
	next := math.Inf(1)
	keep := s.line[:0]
	for _, m := range s.line {
		at := max(m.at, m.dest.waits)
		switch {
		case m.deadline-now <= 40:
			s.refuse(m)
			continue
		case at > now, s.busy >= s.set.CallSlots, len(m.dest.eps) == 0:
			next = min(next, max(at, now+1))
			if at <= now { // an end of a call frees a slot, and is an event; a list is one
				next = min(next, now+100)
			}
			next = min(next, m.deadline-40)
		case s.oracle != nil:
			if at = s.oracle.NextCallTime(now, m.num); at > now {
				next = min(next, at)
				break
			}
			fallthrough
		default:
			s.send(now, m)
			continue
		}
		keep = append(keep, m)
	}
	s.line = keep
	if next < s.armed {
		s.armed = max(next, now+1)
		s.token++
		s.out = append(s.out, policy.Action{Kind: policy.ActTimer, Token: s.token, After: s.armed - now})
	}
}

func (s *Sender) send(now float64, m *message) {
	ep := m.dest.eps[s.rng.IntN(len(m.dest.eps))]
	for i := 0; s.oracle != nil && !s.oracle.EndpointUp(ep) && i < len(m.dest.eps); i++ {
		ep = m.dest.eps[i]
	}
	m.attempts++
	m.out = true
	s.busy++
	s.out = append(s.out, policy.Action{Kind: policy.ActSend, ID: m.id, Endpoint: ep, After: min(timeout, m.deadline-now)})
}
