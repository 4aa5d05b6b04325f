package sender

import (
	"time"

	"sliptide/internal/discovery"
	"sliptide/internal/journal"
	"sliptide/internal/outbound"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

// This file ends things: calls, attempts, and messages with their notices.

// takeOutcome books the end of a call.
func (s *Sender) handleOutcome(c *outbound.Call, events []policy.Event) {
	delete(s.calls, c)
	if c.Given() { // see leaderEnds
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
		if e.Outcome != policy.Moot { // one that was not sent tells nothing
			s.recordCall(c)
		}
		s.stormGuard.Outcome(s.now, e)
		s.recordFailedCall(c.Dest, e)
		m := s.messages[e.ID]
		if m == nil || m.call != c {
			continue
		}
		m.call = nil
		s.observeEnded(c, e)
		if e.Outcome == policy.OK || e.Final {
			end := telemetry.Delivered
			if e.Outcome != policy.OK {
				end = telemetry.Closed
			}
			s.observeOver(m.Entry, end, 0)
			s.complete(m)
			continue
		}
		s.journal.Outcome(m.Entry, !e.Outcome.NeverRan())
	}
}

// hold keeps calls back that still wait for their connection when a wait is told:
// they would reach the destination inside it.
func (s *Sender) dropCallsWithin(requested *outbound.Call) {
	ownLimits := s.hasOwnLimits(requested.Endpoint)
	for c := range s.calls {
		if c.Dest == requested.Dest && (!ownLimits || c.Endpoint == requested.Endpoint) {
			s.dropUnsent(c)
		}
	}
}

// drop gives up a call that has not begun, and reports whether it did; its messages learn at once that it never ran.
func (s *Sender) dropUnsent(c *outbound.Call) bool {
	if c == nil || !c.Drop() {
		return false
	}
	s.handleOutcome(c, c.Dropped())
	return true
}

// cutShort ends attempts whose time is up in a call that goes on for others: a
// message with little time left would otherwise be out beyond its deadline with
// the rest of a bulk call, and its end would come too late.
func (s *Sender) endExpiredAttempts() {
	for c := range s.calls {
		if len(c.Items) < 2 {
			continue // its connection ends it
		}
		for i := range c.Items {
			m := s.messages[c.Items[i].ID]
			if m == nil || m.call != c || m.attemptDeadline > s.now {
				continue
			}
			if s.dropUnsent(c) { // it still waits for its connection, and would take along what is ended by then
				break
			}
			m.call = nil
			s.abandonIfFirst(c, m)
			s.journal.Outcome(m.Entry, true)
			s.events = append(s.events, policy.Event{
				Kind: policy.EvOutcome, ID: m.Num, Attempt: c.Items[i].Attempt, Endpoint: c.Endpoint,
				Outcome: policy.Timeout, Latency: float64(time.Since(c.SentAt)) / 1e6,
			})
			s.observeEnded(c, &s.events[len(s.events)-1])
		}
	}
}

func (s *Sender) handleAckedNotices(nums []uint64) {
	for _, num := range nums {
		if e := s.pendingNotices[num]; e != nil {
			delete(s.pendingNotices, num)
			s.journal.End(e)
		}
	}
}

// over forgets a message to which nothing more is owed.
func (s *Sender) complete(m *message) {
	s.journal.End(m.Entry)
	s.ended.add(m.Trace, s.now)
	s.forget(m)
}

// leaderEnds gives a call of several up whose first message ends, or is no longer out with it, before the answer.
// Guards against an answer that a partner writes to a call that it knows by that message: it names the others as
// accepted, and may count for nothing. They are in doubt from here on, whichever comes first, the end or the answer.
// lead makes this rare.
func (s *Sender) abandonIfFirst(c *outbound.Call, m *message) {
	if c != nil && len(c.Items) > 1 && c.Items[0].ID == m.Num {
		c.GiveUp()
	}
}

func (s *Sender) forget(m *message) {
	s.abandonIfFirst(m.call, m)
	delete(s.messages, m.Num)
	delete(s.numByTrace, m.Trace)
	s.stormGuard.Held(s.now, m.Dest, -1)
}

// owe ends a message that was taken on by a notice. It is over once that is taken.
func (s *Sender) endWithNotice(e *journal.Entry, ending int, after float64) {
	s.journal.Owe(e, ending, int64(after))
	s.pendingNotices[e.Num] = e
	s.sendNotice(e)
}

func (s *Sender) sendNotice(e *journal.Entry) {
	s.notify(discovery.Notice{Num: e.Num, Trace: e.Trace, HandedBack: e.Ending == journal.HandedBack, RetryMS: e.RetryMS})
}
