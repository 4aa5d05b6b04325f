package main

import (
	"fmt"
	"math/rand/v2"
	"os/exec"
	"sync"
	"time"
)

// Tolerances of the checks, for what is in flight on sockets. A sender that has been restarted may be late until
// restartSlack after it is ready.
const (
	endTolerance  = 350 * time.Millisecond // a message that ends later than this past its deadline counts as lost
	inFlightGrace = 100 * time.Millisecond // for which a call may cross a requested wait or an earlier attempt's end
	newConnWindow = 400 * time.Millisecond // after SIGTERM, in which new connections still come

	maxUnansweredPerUpgrade = 2 // new connections that an upgrade may leave unanswered
)

// soakMessage records the events of one message.
type soakMessage struct {
	class    string
	sender   int
	deadline time.Time
	accepted bool      // the client received 202
	refused  bool      // the client received 429 or 503
	attempt  *soakCall // in flight; nil: none
	effects  int
	endedAt  time.Time // the first delivery or notice
	notices  int       // not checked
}

// soakCall is one attempt at an endpoint.
type soakCall struct {
	id   string
	done chan struct{}
	once sync.Once
}

// outage is a span in which a sender was unavailable. It ends restartSlack after the sender is ready, when late
// messages count again; it has not ended yet if to is zero.
type outage struct{ from, to time.Time }

// soak is the state of one run: what clients, endpoints and the discovery agent observed, and the violations found.
type soak struct {
	mu              sync.Mutex
	rng             *rand.Rand
	mix             soakMix
	startedAt       time.Time
	msgs            map[string]*soakMessage
	acceptedIDs     map[int][]string     // by sender, in the order of their answers
	waitUntil       map[[2]int]time.Time // by sender and destination: no calls before
	waitRequestedAt map[[2]int]time.Time
	outages         map[int][]outage
	terminatedAt    map[int]time.Time // by sender: the last series of signals to stop
	killing         map[int]bool      // by sender: a process has received SIGKILL and has not ended yet
	killedAt        map[int]time.Time // by sender: when a process last ended by SIGKILL
	upgrading       map[int]bool      // by sender: the last process to stop had a successor
	leftUnanswered  map[int]int       // by sender: new connections closed without an answer in its last upgrade

	violations           []string
	calls                int
	upgrades             int
	unansweredInUpgrades int
}

func newSoak(seed uint64) *soak {
	return &soak{rng: rand.New(rand.NewPCG(seed, 34)), mix: soakMixes[seed%uint64(len(soakMixes))], startedAt: time.Now(), msgs: map[string]*soakMessage{}, acceptedIDs: map[int][]string{},
		waitUntil: map[[2]int]time.Time{}, waitRequestedAt: map[[2]int]time.Time{}, outages: map[int][]outage{},
		terminatedAt: map[int]time.Time{}, killing: map[int]bool{}, killedAt: map[int]time.Time{}, upgrading: map[int]bool{}, leftUnanswered: map[int]int{}}
}

// draw returns a new random source for one request, derived from the seed.
func (s *soak) draw() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.rng.Uint64(), 1))
}

// violation records a violation of the guarantees.
func (s *soak) violation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addViolation(format, args...)
}

// addViolation is violation for callers that hold the lock.
func (s *soak) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%7.3f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// submitted records a message that a client is about to submit.
func (s *soak) submitted(id, class string, sender int, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.msgs[id] = &soakMessage{class: class, sender: sender, deadline: deadline}
}

// submissionAnswered records the status that the client received.
func (s *soak) submissionAnswered(id string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.msgs[id]
	switch {
	case status == 202:
		m.accepted = true
		s.acceptedIDs[m.sender] = append(s.acceptedIDs[m.sender], id)
	case status == 429 || status == 503:
		m.refused = true
		if m.effects > 0 {
			s.addViolation("%s: refused, but took effect", id)
		}
	default:
		s.addViolation("%s: submission answered with unexpected status %d", id, status)
	}
}

// attemptStarted records an attempt. An earlier one may have been abandoned a moment ago: it has inFlightGrace to end.
func (s *soak) attemptStarted(e *soakEndpoint, q soakRequest) *soakCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	c := &soakCall{id: q.id, done: make(chan struct{})}
	m := s.msgs[q.id]
	if m == nil {
		s.addViolation("%s: called, but no client has submitted it", q.id)
		return c
	}
	if earlier := m.attempt; earlier != nil {
		s.mu.Unlock()
		select {
		case <-earlier.done:
		case <-time.After(inFlightGrace):
			s.violation("%s: two attempts in flight at once", q.id)
		}
		s.mu.Lock()
	}
	m.attempt = c
	route := [2]int{e.sender, e.dest}
	if requestedAt := s.waitRequestedAt[route]; q.at.Sub(requestedAt) > inFlightGrace && q.at.Before(s.waitUntil[route]) && !s.unavailableSince(e.sender, requestedAt) {
		s.addViolation("%s: called %v before the end of a requested wait", q.id, s.waitUntil[route].Sub(q.at))
	}
	if m.refused {
		s.addViolation("%s: refused, but called", q.id)
	}
	return c
}

// attemptEnded records that an attempt is no longer in flight.
func (s *soak) attemptEnded(c *soakCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.msgs[c.id]; m != nil && m.attempt == c {
		m.attempt = nil
	}
	c.once.Do(func() { close(c.done) })
}

// takeEffect records that a message takes effect, and reports whether it is the first time.
func (s *soak) takeEffect(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.msgs[id]
	if m == nil {
		return false
	}
	if m.effects++; m.effects > 1 && m.class == "pay" {
		s.addViolation("%s: took effect twice, which its class forbids", id)
	}
	return m.effects == 1
}

// messageDelivered records that the partner sent a 200 as the answer to a message.
func (s *soak) messageDelivered(id string) { s.messageEnded(id) }

// noticeReceived records a notice.
func (s *soak) noticeReceived(id string) {
	s.messageEnded(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.msgs[id]; m != nil {
		m.notices++
	}
}

// messageEnded records the first end of a message, by a delivery or a notice.
func (s *soak) messageEnded(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.msgs[id]; m == nil {
		s.addViolation("%s: ended, but no client has submitted it", id)
	} else if m.endedAt.IsZero() {
		m.endedAt = time.Now()
	}
}

// waitRequested records that an endpoint is about to request a wait.
func (s *soak) waitRequested(e *soakEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	route := [2]int{e.sender, e.dest}
	s.waitRequestedAt[route], s.waitUntil[route] = time.Now(), time.Now().Add(soakRetryAfter)
}

// senderStopping records that a sender is about to be stopped or killed.
func (s *soak) senderStopping(sender int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages[sender] = append(s.outages[sender], outage{from: time.Now()})
	s.upgrading[sender] = false
}

// aboutToTerminate records that a process of a sender is about to receive signals to stop.
func (s *soak) aboutToTerminate(sender int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.terminatedAt[sender] = time.Now()
}

// kill sends SIGKILL to a process of a sender and waits for its end. Until then it may accept new connections.
func (s *soak) kill(sender int, proc *exec.Cmd, exited <-chan struct{}) {
	s.mu.Lock()
	s.killing[sender] = true
	s.mu.Unlock()
	proc.Process.Kill()
	<-exited
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killing[sender], s.killedAt[sender] = false, time.Now()
}

// upgradeStarting records that the process which is about to stop has a successor.
func (s *soak) upgradeStarting(sender int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upgrading[sender], s.leftUnanswered[sender] = true, 0
	s.upgrades++
}

// unanswered records that a new connection, dialled at the given time, was closed without an answer to its request. Only
// a SIGKILL excuses it, or that the connection was dialled later than the load balancer would after SIGTERM. An upgrade
// may leave a few in the queue of the old listener.
func (s *soak) unanswered(id string, sender int, dialedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	terminated := s.terminatedAt[sender]
	switch {
	case s.killing[sender], !s.killedAt[sender].Before(dialedAt):
	case s.upgrading[sender]:
		s.unansweredInUpgrades++
		if s.leftUnanswered[sender]++; s.leftUnanswered[sender] > maxUnansweredPerUpgrade {
			s.addViolation("%s: sent on a new connection, the %d. that this upgrade of n%d closed without an answer", id, s.leftUnanswered[sender], sender)
		}
	case len(s.outages[sender]) > 0 && s.outages[sender][len(s.outages[sender])-1].to.IsZero() && dialedAt.After(terminated.Add(newConnWindow)):
	default:
		s.addViolation("%s: sent on a new connection, which was closed without an answer %v after a SIGTERM", id, time.Since(terminated))
	}
}

// senderReady records that a sender is ready again.
func (s *soak) senderReady(sender int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.outages[sender]
	list[len(list)-1].to = time.Now().Add(restartSlack)
}

// unavailableSince reports whether a sender was unavailable at any time after at. The lock is held.
func (s *soak) unavailableSince(sender int, at time.Time) bool {
	for _, o := range s.outages[sender] {
		if o.to.IsZero() || o.to.After(at) {
			return true
		}
	}
	return false
}

// judge checks the accepted messages after the run, when all of them should have ended, and adds the violations. It
// returns how many messages were accepted and how many took effect more than once.
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
			s.addViolation("%s: lost: accepted, but neither delivered nor ended by a notice", id)
		case m.endedAt.After(latest):
			s.addViolation("%s: lost: ended %v past the latest permitted time", id, m.endedAt.Sub(latest))
		}
	}
	return accepted, repeated
}
