package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of the rules on sockets: an end is late past endWithin, a wait binds after waitCrossing, and a sender that has
// been restarted owes nothing until restartSlack after it is ready.
const (
	endTolerance  = 350 * time.Millisecond
	inFlightGrace = 100 * time.Millisecond
)

// soakMessage is what befell one message.
type soakMessage struct {
	class    string
	sender   int
	deadline time.Time // its time is up
	accepted bool      // its client heard 202
	refused  bool      // or a refusal
	attempt  *soakCall // the attempt that is out
	effects  int
	endedAt  time.Time // the first delivery or notice
	notices  int
}

// soakCall is one attempt at an endpoint.
type soakCall struct {
	id   string
	done chan struct{}
	once sync.Once
}

// outage is when a sender was away, up to when it owes its ends again; zero: not yet.
type outage struct{ from, to time.Time }

// soak is one run: what clients, endpoints and the platform saw, and what is broken by it.
type soak struct {
	mu              sync.Mutex
	rng             *rand.Rand
	mix             soakMix
	startedAt       time.Time
	msgs            map[string]*soakMessage
	waitUntil       map[[2]int]time.Time // by sender and destination, from when on it binds to when
	waitRequestedAt map[[2]int]time.Time
	outages         map[int][]outage
	violations      []string
	calls           int
}

func newSoak(seed uint64) *soak {
	return &soak{rng: rand.New(rand.NewPCG(seed, 34)), mix: soakMixes[seed%uint64(len(soakMixes))], startedAt: time.Now(), msgs: map[string]*soakMessage{},
		waitUntil: map[[2]int]time.Time{}, waitRequestedAt: map[[2]int]time.Time{}, outages: map[int][]outage{}}
}

// draw is a source of its own for one request.
func (s *soak) draw() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.rng.Uint64(), 1))
}

func (s *soak) violation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addViolation(format, args...)
}

// broken notes a breach. The lock is held.
func (s *soak) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%7.3f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// offered notes a message that a client is about to hand in.
func (s *soak) submitted(id, class string, sender int, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.msgs[id] = &soakMessage{class: class, sender: sender, deadline: until}
}

// answered notes what its client heard.
func (s *soak) submissionAnswered(id string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.msgs[id]
	switch {
	case status == 202:
		m.accepted = true
	case status == 429 || status == 503:
		m.refused = true
		if m.effects > 0 {
			s.addViolation("%s: refused, and has run", id)
		}
	default:
		s.addViolation("%s: answered %d", id, status)
	}
}

// called notes an attempt. An earlier one may have been given up a moment ago: its end is waited for.
func (s *soak) attemptStarted(e *soakEndpoint, q soakRequest) *soakCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	c := &soakCall{id: q.id, done: make(chan struct{})}
	m := s.msgs[q.id]
	if m == nil {
		s.addViolation("%s: sent, and no client has handed it in", q.id)
		return c
	}
	if earlier := m.attempt; earlier != nil {
		s.mu.Unlock()
		select {
		case <-earlier.done:
		case <-time.After(inFlightGrace):
			s.violation("%s: two attempts out at once", q.id)
		}
		s.mu.Lock()
	}
	m.attempt = c
	route := [2]int{e.sender, e.dest}
	if requestedAt := s.waitRequestedAt[route]; q.at.Sub(requestedAt) > inFlightGrace && q.at.Before(s.waitUntil[route]) && !s.unavailableSince(e.sender, requestedAt) {
		s.addViolation("%s: called %v before the end of a wait", q.id, s.waitUntil[route].Sub(q.at))
	}
	if m.refused {
		s.addViolation("%s: refused, and called", q.id)
	}
	return c
}

// over notes that an attempt is out no more.
func (s *soak) attemptEnded(c *soakCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.msgs[c.id]; m != nil && m.attempt == c {
		m.attempt = nil
	}
	c.once.Do(func() { close(c.done) })
}

// effect notes that a message runs, and reports whether it is the first time.
func (s *soak) takeEffect(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.msgs[id]
	if m == nil {
		return false
	}
	if m.effects++; m.effects > 1 && m.class == "pay" {
		s.addViolation("%s: ran twice, which its class forbids", id)
	}
	return m.effects == 1
}

// delivered notes a 200 that went out as a message's own answer.
func (s *soak) messageDelivered(id string) { s.messageEnded(id) }

// noticed notes a notice.
func (s *soak) noticeReceived(id string) {
	s.messageEnded(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.msgs[id]; m != nil {
		m.notices++
	}
}

func (s *soak) messageEnded(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.msgs[id]; m == nil {
		s.addViolation("%s: ended, and no client has handed it in", id)
	} else if m.endedAt.IsZero() {
		m.endedAt = time.Now()
	}
}

// tellWait notes a wait as it is told.
func (s *soak) waitRequested(e *soakEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	route := [2]int{e.sender, e.dest}
	s.waitRequestedAt[route], s.waitUntil[route] = time.Now(), time.Now().Add(soakRetryAfter)
}

// leave notes that a sender is told to end, or killed; back, that it is ready again.
func (s *soak) senderStopping(sender int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages[sender] = append(s.outages[sender], outage{from: time.Now()})
}

func (s *soak) senderReady(sender int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.outages[sender]
	list[len(list)-1].to = time.Now().Add(restartSlack)
}

// awaySince reports whether a sender has been away after a moment. The lock is held.
func (s *soak) unavailableSince(sender int, at time.Time) bool {
	for _, o := range s.outages[sender] {
		if o.to.IsZero() || o.to.After(at) {
			return true
		}
	}
	return false
}

// judge adds what is broken at the end, when all should be over.
func (s *soak) judge() (accepted, repeated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, m := range s.msgs {
		if m.effects > 1 {
			repeated++
		}
		if !m.accepted {
			continue
		}
		accepted++
		latest := m.deadline.Add(endTolerance)
		for _, o := range s.outages[m.sender] {
			if !o.from.After(latest) && o.to.After(latest) {
				latest = o.to
			}
		}
		switch {
		case m.endedAt.IsZero():
			s.addViolation("%s: lost: taken on, neither delivered nor ended by a notice", id)
		case m.endedAt.After(latest):
			s.addViolation("%s: lost: ended %v late", id, m.endedAt.Sub(latest))
		}
	}
	return accepted, repeated
}
