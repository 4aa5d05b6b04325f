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
	endWithin    = 350 * time.Millisecond
	waitCrossing = 100 * time.Millisecond
)

// soakMessage is what befell one message.
type soakMessage struct {
	class   string
	sender  int
	until   time.Time // its time is up
	taken   bool      // its client heard 202
	refused bool      // or a refusal
	out     *soakCall // the attempt that is out
	effects int
	ended   time.Time // the first delivery or notice
	notices int
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
	mu       sync.Mutex
	rng      *rand.Rand
	mix      soakMix
	began    time.Time
	msgs     map[string]*soakMessage
	waits    map[[2]int]time.Time // by sender and destination, from when on it binds to when
	told     map[[2]int]time.Time
	away     map[int][]outage
	breaches []string
	calls    int
}

func newSoak(seed uint64) *soak {
	return &soak{rng: rand.New(rand.NewPCG(seed, 34)), mix: soakMixes[seed%uint64(len(soakMixes))], began: time.Now(), msgs: map[string]*soakMessage{},
		waits: map[[2]int]time.Time{}, told: map[[2]int]time.Time{}, away: map[int][]outage{}}
}

// draw is a source of its own for one request.
func (s *soak) draw() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.rng.Uint64(), 1))
}

func (s *soak) breach(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken(format, args...)
}

// broken notes a breach. The lock is held.
func (s *soak) broken(format string, args ...any) {
	s.breaches = append(s.breaches, fmt.Sprintf("%7.3f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// offered notes a message that a client is about to hand in.
func (s *soak) offered(id, class string, sender int, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.msgs[id] = &soakMessage{class: class, sender: sender, until: until}
}

// answered notes what its client heard.
func (s *soak) answered(id string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.msgs[id]
	switch {
	case status == 202:
		m.taken = true
	case status == 429 || status == 503:
		m.refused = true
		if m.effects > 0 {
			s.broken("%s: refused, and has run", id)
		}
	default:
		s.broken("%s: answered %d", id, status)
	}
}

// called notes an attempt. An earlier one may have been given up a moment ago: its end is waited for.
func (s *soak) called(e *soakEndpoint, q soakRequest) *soakCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	c := &soakCall{id: q.id, done: make(chan struct{})}
	m := s.msgs[q.id]
	if m == nil {
		s.broken("%s: sent, and no client has handed it in", q.id)
		return c
	}
	if earlier := m.out; earlier != nil {
		s.mu.Unlock()
		select {
		case <-earlier.done:
		case <-time.After(waitCrossing):
			s.breach("%s: two attempts out at once", q.id)
		}
		s.mu.Lock()
	}
	m.out = c
	route := [2]int{e.sender, e.dest}
	if told := s.told[route]; q.at.Sub(told) > waitCrossing && q.at.Before(s.waits[route]) && !s.awaySince(e.sender, told) {
		s.broken("%s: called %v before the end of a wait", q.id, s.waits[route].Sub(q.at))
	}
	if m.refused {
		s.broken("%s: refused, and called", q.id)
	}
	return c
}

// over notes that an attempt is out no more.
func (s *soak) over(c *soakCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.msgs[c.id]; m != nil && m.out == c {
		m.out = nil
	}
	c.once.Do(func() { close(c.done) })
}

// effect notes that a message runs, and reports whether it is the first time.
func (s *soak) effect(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.msgs[id]
	if m == nil {
		return false
	}
	if m.effects++; m.effects > 1 && m.class == "pay" {
		s.broken("%s: ran twice, which its class forbids", id)
	}
	return m.effects == 1
}

// delivered notes a 200 that went out as a message's own answer.
func (s *soak) delivered(id string) { s.end(id) }

// noticed notes a notice.
func (s *soak) noticed(id string) {
	s.end(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.msgs[id]; m != nil {
		m.notices++
	}
}

func (s *soak) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.msgs[id]; m == nil {
		s.broken("%s: ended, and no client has handed it in", id)
	} else if m.ended.IsZero() {
		m.ended = time.Now()
	}
}

// tellWait notes a wait as it is told.
func (s *soak) tellWait(e *soakEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	route := [2]int{e.sender, e.dest}
	s.told[route], s.waits[route] = time.Now(), time.Now().Add(soakWait)
}

// leave notes that a sender is told to end, or killed; back, that it is ready again.
func (s *soak) leave(sender int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away[sender] = append(s.away[sender], outage{from: time.Now()})
}

func (s *soak) back(sender int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.away[sender]
	list[len(list)-1].to = time.Now().Add(restartSlack)
}

// awaySince reports whether a sender has been away after a moment. The lock is held.
func (s *soak) awaySince(sender int, at time.Time) bool {
	for _, o := range s.away[sender] {
		if o.to.IsZero() || o.to.After(at) {
			return true
		}
	}
	return false
}

// judge adds what is broken at the end, when all should be over.
func (s *soak) judge() (taken, repeated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, m := range s.msgs {
		if m.effects > 1 {
			repeated++
		}
		if !m.taken {
			continue
		}
		taken++
		limit := m.until.Add(endWithin)
		for _, o := range s.away[m.sender] {
			if !o.from.After(limit) && o.to.After(limit) {
				limit = o.to
			}
		}
		switch {
		case m.ended.IsZero():
			s.broken("%s: lost: taken on, neither delivered nor ended by a notice", id)
		case m.ended.After(limit):
			s.broken("%s: lost: ended %v late", id, m.ended.Sub(limit))
		}
	}
	return taken, repeated
}
