package sender

import (
	"slices"
	"time"

	"sliptide/internal/journal"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

// This file takes messages on: what is handed in, and the answer that its client hears.

// Take hands in a message and waits for the verdict, which comes with the next step.
// The message's slices must stay as they are until then.
func (s *Sender) Submit(m *Message, received time.Time) Verdict {
	o := &order{msg: m, received: received, verdict: make(chan Verdict, 1)}
	select {
	case s.in <- input{order: o}:
	case <-s.done:
		return Verdict{RetryAfter: lateLeast}
	}
	return s.verdictOn(o)
}

// verdictOn waits for the verdict on an order that the sender has. One that was given before the sender left counts:
// guards against a message that is in the journal and is answered as refused.
func (s *Sender) verdictOn(o *order) Verdict {
	select {
	case v := <-o.verdict:
		return v
	case <-s.done:
	}
	select {
	case v := <-o.verdict: // both were ready
		return v
	default: // no step has seen it, and none will
		return Verdict{RetryAfter: lateLeast}
	}
}

// Withdraw tells that the client of a message was not told that it was taken on.
func (s *Sender) Withdraw(num uint64) { s.post(input{gone: num}) }

func (s *Sender) takeOrder(o *order) {
	m := o.msg
	left := float64(m.Remaining-time.Since(o.received)) / 1e6
	switch _, held := s.traces[string(m.Trace)]; {
	case held, s.past.ids[string(m.Trace)]:
		// Every hand-in has an id of its own, so this is no client's of ours. It must not share the
		// fate of the first: were its answer unheard, a message that is owed an end would be withdrawn.
		o.verdict <- Verdict{Duplicate: true}
		return
	case s.misdirected(m.Dest):
		s.observeRefused(m.Dest, telemetry.CauseRoute)
		o.verdict <- s.misdirection(m.Dest)
		return
	case !s.dests[m.Dest]: // nothing could be done with it but hold it until its time is up
		s.observeRefused(m.Dest, telemetry.CauseRoute)
		o.verdict <- Verdict{NoRoute: true, RetryAfter: s.busyRetry()}
		return
	case !s.stopAt.IsZero(), s.halted, left <= 0, s.copyRefuses(), s.set.MaxHeld > 0 && len(s.msgs) >= s.set.MaxHeld, !s.journal.HasSpace(len(m.Body)):
		s.guard.RecordArrival(s.now, m.Dest, keyHash(m.Key), m.Resubmitted)
		s.observeRefused(m.Dest, s.whyNot())
		o.verdict <- Verdict{RetryAfter: s.comeBack(m.Dest, m.Key, max(left, 0), s.busyRetry()), TooFewHolders: s.copyRefuses()}
		return
	}
	s.guard.RecordArrival(s.now, m.Dest, keyHash(m.Key), m.Resubmitted)
	s.guard.AdjustHeld(s.now, m.Dest, 1)
	e := &journal.Entry{
		Num: s.journal.NextNumber(), Trace: string(m.Trace), Key: string(m.Key), Class: s.set.Classes[m.Class].Name,
		OrderingKey: m.OrderingKey, Dest: m.Dest, Resubmitted: m.Resubmitted, Deadline: int64(s.now + left), Body: slices.Clone(m.Body),
	}
	if m.Tenant < len(s.set.Tenants) {
		e.Tenant = s.set.Tenants[m.Tenant].Name
	}
	if s.observer.On() {
		e.TraceParent = parent(m.TraceParent).Text()
	}
	s.journal.Accept(e)
	s.msgs[e.Num] = &message{Entry: e, class: m.Class, takenAt: s.now, claim: s.claimFor(m)}
	s.traces[e.Trace] = e.Num
	s.observeTaken(e, m.Class, false)
	s.orders = append(s.orders, &taking{order: o, entry: e})
	s.events = append(s.events, policy.Event{
		Kind: policy.EvMessage, ID: e.Num, Class: m.Class, Tenant: m.Tenant, Key: m.OrderingKey, Remaining: left,
		Resubmitted: m.Resubmitted, Dest: m.Dest,
	})
}

// busyRetry is when to come again where there is no room.
func (s *Sender) busyRetry() float64 { return min(lateLeast, max(s.set.MaxRetryAfter, 1)) }

// answer gives the verdicts of this step.
func (s *Sender) answer(kept bool) {
	torn := !kept && s.journal.Torn()
	waiting := s.orders[:0]
	for _, t := range s.orders {
		switch {
		case torn && time.Since(t.received) < verdictWithin: // neither is true yet: the next life might find its record
			waiting = append(waiting, t)
		case t.refused:
			t.verdict <- Verdict{RetryAfter: t.after}
		case !kept: // it is in no journal: the module must not hold it
			s.observeOver(t.entry, telemetry.NotTaken, 0)
			s.observeRefused(t.entry.Dest, telemetry.CauseRoom)
			s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: t.entry.Num})
			s.again = true
			if m := s.msgs[t.entry.Num]; m != nil {
				s.journal.End(m.Entry)
				s.forget(m)
			}
			t.verdict <- Verdict{RetryAfter: lateLeast}
		default:
			t.verdict <- Verdict{Accepted: true, Num: t.entry.Num}
		}
	}
	clear(s.orders[len(waiting):])
	s.orders = waiting
}

// verdictWithin is how long a client waits for its answer: a later one is heard by nobody.
const verdictWithin = 400 * time.Millisecond

// finish ends a message undelivered. One of this step is refused by its answer,
// any other, which was taken on, ends with a notice.
func (s *Sender) finish(a *policy.Action) {
	m := s.msgs[a.ID]
	if m == nil {
		return
	}
	after := a.After
	if a.Kind == policy.ActRefuse {
		after = s.comeBack(m.Dest, []byte(m.Key), max(float64(m.Deadline)-s.now, 0), after)
	}
	for _, t := range s.orders {
		if t.entry == m.Entry {
			t.refused, t.after = true, after
			s.observeOver(m.Entry, telemetry.NotTaken, 0)
			s.observeRefused(m.Dest, telemetry.CauseLoad)
			s.journal.End(m.Entry)
			s.forget(m)
			return
		}
	}
	s.drop(m.call)
	s.past.add(m.Trace, s.now)
	s.forget(m)
	ending := journal.EndingAbandoned
	if a.Kind == policy.ActRefuse {
		ending = journal.EndingReturned
	}
	s.observeOver(m.Entry, [...]telemetry.End{journal.EndingAbandoned: telemetry.GivenUp, journal.EndingReturned: telemetry.HandedBack}[ending], after)
	s.owe(m.Entry, ending, after)
}
