package sender

import (
	"time"

	"sliptide/internal/outbound"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

// This file handles the ends of calls, attempts and messages.

// handleOutcome handles the end of a call and the outcomes of its attempts.
func (s *Sender) handleOutcome(c *outbound.Call, events []policy.Event) {
	delete(s.calls, c)
	if c.Abandoned() { // its answer may be void, see abandonIfFirst
		for i := range events {
			if events[i].Outcome == policy.OK {
				events[i].Outcome = policy.Timeout
			}
		}
	}
	s.events = append(s.events, events...)
	for i := range events {
		e := &events[i]
		if e.RequestedWait > 0 {
			s.dropCallsWithin(c)
			s.recordWait(c, e.RequestedWait)
		}
		if e.Outcome != policy.Moot { // an unsent call tells nothing about its endpoint
			s.recordCall(c)
		}
		s.stormGuard.RecordOutcome(s.now, e)
		s.recordFailedCall(c.Dest, e)
		m := s.messages[e.ID]
		if m == nil || m.call != c {
			continue
		}
		m.call = nil
		s.observeAttemptEnd(c, e)
		if e.Outcome == policy.OK || e.Final {
			end := telemetry.EndingDelivered
			if e.Outcome != policy.OK {
				end = telemetry.EndingClosed
			}
			s.observeMessageEnd(m.Entry, end, 0)
			s.complete(m)
			continue
		}
		s.journal.EndAttempt(m.Entry, !e.Outcome.NeverRan())
	}
}

// dropCallsWithin drops unsent calls that the wait requested by a partner covers: they would reach the destination
// during the wait.
func (s *Sender) dropCallsWithin(requested *outbound.Call) {
	ownLimits := s.hasOwnLimits(requested.Endpoint)
	for c := range s.calls {
		if c.Dest == requested.Dest && (!ownLimits || c.Endpoint == requested.Endpoint) {
			s.dropUnsent(c)
		}
	}
}

// dropUnsent drops a call that has not begun and records that it never ran. It reports whether the call was dropped.
func (s *Sender) dropUnsent(c *outbound.Call) bool {
	if c == nil || !c.Drop() {
		return false
	}
	s.handleOutcome(c, c.DroppedEvents())
	return true
}

// endExpiredAttempts ends attempts that have timed out in a call that continues for other messages. Otherwise a message
// with little time left would stay in a bulk call beyond its deadline, and its notice would come too late.
func (s *Sender) endExpiredAttempts() {
	for c := range s.calls {
		if len(c.Items) < 2 {
			continue // the connection's timeout ends it
		}
		for i := range c.Items {
			m := s.messages[c.Items[i].ID]
			if m == nil || m.call != c || m.attemptDeadline > s.now {
				continue
			}
			if s.dropUnsent(c) { // an unsent call would still send the message after its end
				break
			}
			m.call = nil
			s.abandonIfFirst(c, m)
			s.journal.EndAttempt(m.Entry, true)
			s.events = append(s.events, policy.Event{
				Kind: policy.EvOutcome, ID: m.Num, Attempt: c.Items[i].Attempt, Endpoint: c.Endpoint,
				Outcome: policy.Timeout, Latency: float64(time.Since(c.SentAt)) / 1e6,
			})
			s.observeAttemptEnd(c, &s.events[len(s.events)-1])
		}
	}
}

// complete ends a message that needs no notice.
func (s *Sender) complete(m *message) {
	s.journal.End(m.Entry, int64(s.now))
	s.forget(m)
}

// abandonIfFirst abandons a bulk call whose first message ends, or leaves the call, before the answer. A partner may
// identify a call by its first message; its answer may then be void for the other messages too, although it names them
// as accepted. They are treated as possibly delivered from then on, even if the answer has arrived but is
// not handled yet. chooseFirst makes this rare.
func (s *Sender) abandonIfFirst(c *outbound.Call, m *message) {
	if c != nil && len(c.Items) > 1 && c.Items[0].ID == m.Num {
		c.Abandon()
	}
}

// forget drops a message from the messages held. Its journal entry is not changed.
func (s *Sender) forget(m *message) {
	s.abandonIfFirst(m.call, m)
	delete(s.messages, m.Num)
	s.stormGuard.AdjustHeld(s.now, m.Dest, -1)
}
