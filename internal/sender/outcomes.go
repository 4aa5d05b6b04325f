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
func (s *Sender) takeOutcome(c *outbound.Call, events []policy.Event) {
	delete(s.calls, c)
	if c.Abandoned() { // see leaderEnds
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
			s.hold(c)
			s.noteWait(c, e.RequestedWait)
		}
		if e.Outcome != policy.Moot { // one that was not sent tells nothing
			s.noteCall(c)
		}
		s.guard.RecordOutcome(s.now, e)
		s.tried(c.Dest, e)
		m := s.msgs[e.ID]
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
			s.over(m)
			continue
		}
		s.journal.EndAttempt(m.Entry, !e.Outcome.NeverRan())
	}
}

// hold keeps calls back that still wait for their connection when a wait is told:
// they would reach the destination inside it.
func (s *Sender) hold(told *outbound.Call) {
	apart := s.apart(told.Endpoint)
	for c := range s.calls {
		if c.Dest == told.Dest && (!apart || c.Endpoint == told.Endpoint) {
			s.drop(c)
		}
	}
}

// drop gives up a call that has not begun, and reports whether it did; its messages learn at once that it never ran.
func (s *Sender) drop(c *outbound.Call) bool {
	if c == nil || !c.Drop() {
		return false
	}
	s.takeOutcome(c, c.DroppedEvents())
	return true
}

// cutShort ends attempts whose time is up in a call that goes on for others: a
// message with little time left would otherwise be out beyond its deadline with
// the rest of a bulk call, and its end would come too late.
func (s *Sender) cutShort() {
	for c := range s.calls {
		if len(c.Items) < 2 {
			continue // its connection ends it
		}
		for i := range c.Items {
			m := s.msgs[c.Items[i].ID]
			if m == nil || m.call != c || m.cutAt > s.now {
				continue
			}
			if s.drop(c) { // it still waits for its connection, and would take along what is ended by then
				break
			}
			m.call = nil
			s.leaderEnds(c, m)
			s.journal.EndAttempt(m.Entry, true)
			s.events = append(s.events, policy.Event{
				Kind: policy.EvOutcome, ID: m.Num, Attempt: c.Items[i].Attempt, Endpoint: c.Endpoint,
				Outcome: policy.Timeout, Latency: float64(time.Since(c.SentAt)) / 1e6,
			})
			s.observeEnded(c, &s.events[len(s.events)-1])
		}
	}
}

func (s *Sender) takeTold(nums []uint64) {
	for _, num := range nums {
		if e := s.owed[num]; e != nil {
			delete(s.owed, num)
			s.journal.End(e)
		}
	}
}

// over forgets a message to which nothing more is owed.
func (s *Sender) over(m *message) {
	s.journal.End(m.Entry)
	s.past.add(m.Trace, s.now)
	s.forget(m)
}

// leaderEnds gives a call of several up whose first message ends, or is no longer out with it, before the answer.
// Guards against an answer that a partner writes to a call that it knows by that message: it names the others as
// accepted, and may count for nothing. They are in doubt from here on, whichever comes first, the end or the answer.
// lead makes this rare.
func (s *Sender) leaderEnds(c *outbound.Call, m *message) {
	if c != nil && len(c.Items) > 1 && c.Items[0].ID == m.Num {
		c.Abandon()
	}
}

func (s *Sender) forget(m *message) {
	s.leaderEnds(m.call, m)
	delete(s.msgs, m.Num)
	delete(s.traces, m.Trace)
	s.guard.AdjustHeld(s.now, m.Dest, -1)
}

// owe ends a message that was taken on by a notice. It is over once that is taken.
func (s *Sender) owe(e *journal.Entry, ending int, after float64) {
	s.journal.OweNotice(e, ending, int64(after))
	s.owed[e.Num] = e
	s.notify(e)
}

func (s *Sender) notify(e *journal.Entry) {
	s.notices(discovery.Notice{Num: e.Num, Trace: e.Trace, Returned: e.Ending == journal.EndingReturned, RetryMS: e.RetryMS})
}
