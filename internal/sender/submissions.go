package sender

import (
	"slices"
	"time"

	"sliptide/internal/journal"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

// This file accepts or refuses submitted messages and answers their clients.

// Submit submits a message and waits for its verdict, usually that of the next step. The message's slices must not
// change until then.
func (s *Sender) Submit(m *Message, received time.Time) Verdict {
	sub := &submission{msg: m, received: received, verdict: make(chan Verdict, 1)}
	select {
	case s.inputs <- input{submission: sub}:
	case <-s.done:
		return Verdict{RetryAfterMS: maxBusyRetryMS}
	}
	return s.awaitVerdict(sub)
}

// awaitVerdict waits for the verdict on a queued submission. A verdict given before the sender exited counts: otherwise
// a message that is in the journal could be answered as refused.
func (s *Sender) awaitVerdict(sub *submission) Verdict {
	select {
	case v := <-sub.verdict:
		return v
	case <-s.done:
	}
	select {
	case v := <-sub.verdict: // given before the exit
		return v
	default: // no step has decided on the submission, and none will
		return Verdict{RetryAfterMS: maxBusyRetryMS}
	}
}

// Withdraw reports that the client of an accepted message did not receive the answer.
func (s *Sender) Withdraw(num uint64) { s.post(input{withdrawn: num}) }

// withdraw ends a message whose client did not receive the answer. Its ID stays taken if the message may have run or may
// still do so: its client may submit it again under the same ID.
func (s *Sender) withdraw(m *message) {
	s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: m.Num})
	s.dropUnsent(m.call)
	s.observeMessageEnd(m.Entry, telemetry.EndingWithdrawn, 0)
	if m.call != nil || m.MayHaveRunAt != 0 {
		s.journal.End(m.Entry, int64(s.now))
	} else {
		s.journal.Revoke(m.Entry)
	}
	s.forget(m)
}

// handleSubmission refuses a message at once, or journals it and passes it to the module, which decides on it in
// the coming step. While the other process of an upgrade accepts messages, it defers the message.
func (s *Sender) handleSubmission(sub *submission) {
	left := float64(sub.msg.Remaining-time.Since(sub.received)) / 1e6
	if verdict, refused := s.refusalOf(sub.msg, left); refused {
		sub.verdict <- verdict
		return
	}
	if !s.lockIDs() {
		s.deferred = append(s.deferred, sub)
		return
	}
	if s.journal.IDTaken(string(sub.msg.Trace)) { // by the other process
		sub.verdict <- Verdict{Duplicate: true}
		return
	}
	s.accept(sub, left)
}

// refusalOf returns the verdict on a message that is refused at once; refused is false for any other. left is the time
// until its deadline in milliseconds.
func (s *Sender) refusalOf(m *Message, left float64) (verdict Verdict, refused bool) {
	switch {
	case s.journal.IDTaken(string(m.Trace)):
		// Every submission has an ID of its own, so this is not a client's retry. It gets no number: if its answer
		// were lost, the first message would be withdrawn although its client is owed an end.
		return Verdict{Duplicate: true}, true
	case s.misdirected(m.Dest):
		s.observeRefused(m.Dest, telemetry.CauseNoRoute)
		return s.misdirection(m.Dest), true
	case !s.listedDests[m.Dest]: // it could only be held until its deadline
		s.observeRefused(m.Dest, telemetry.CauseNoRoute)
		return Verdict{NoRoute: true, RetryAfterMS: s.busyRetryAfter()}, true
	case !s.stopRequestedAt.IsZero(), s.journalFailed, left <= 0, s.lacksLease(), s.settings.MaxHeld > 0 && len(s.messages) >= s.settings.MaxHeld, !s.journal.HasSpace(len(m.Body)):
		s.stormGuard.RecordArrival(s.now, m.Dest, keyHash(m.Key), m.Resubmitted)
		s.observeRefused(m.Dest, s.refusalCause())
		return Verdict{RetryAfterMS: s.refusalRetryAfter(m.Dest, m.Key, max(left, 0), s.busyRetryAfter()), TooFewHolders: s.lacksLease()}, true
	}
	return Verdict{}, false
}

// accept journals a message and passes it to the module. left is the time until its deadline in milliseconds.
func (s *Sender) accept(sub *submission, left float64) {
	m := sub.msg
	s.stormGuard.RecordArrival(s.now, m.Dest, keyHash(m.Key), m.Resubmitted)
	s.stormGuard.AdjustHeld(s.now, m.Dest, 1)
	e := &journal.Entry{
		Num: s.journal.NextNumber(), Trace: string(m.Trace), Key: string(m.Key), Class: s.settings.Classes[m.Class].Name,
		OrderingKey: m.OrderingKey, Dest: m.Dest, Resubmitted: m.Resubmitted, Deadline: int64(s.now + left), Body: slices.Clone(m.Body),
	}
	if m.Tenant < len(s.settings.Tenants) {
		e.Tenant = s.settings.Tenants[m.Tenant].Name
	}
	if s.observer.Enabled() {
		e.TraceParent = parseParent(m.TraceParent).Header()
	}
	s.journal.Accept(e)
	s.messages[e.Num] = &message{Entry: e, class: m.Class, acceptedAt: s.now, claim: s.claimFor(m)}
	s.watchDeadline(s.messages[e.Num])
	s.observeAccepted(e, m.Class, false)
	s.submissions = append(s.submissions, &pendingSubmission{submission: sub, entry: e})
	s.events = append(s.events, policy.Event{
		Kind: policy.EvMessage, ID: e.Num, Class: m.Class, Tenant: m.Tenant, Key: m.OrderingKey, Remaining: left,
		Resubmitted: m.Resubmitted, Dest: m.Dest,
	})
}

// busyRetryAfter is the Retry-After, in milliseconds, of a refusal for lack of capacity.
func (s *Sender) busyRetryAfter() float64 {
	return min(maxBusyRetryMS, max(s.settings.MaxRetryAfter, 1))
}

// answerSubmissions gives the verdicts of this step, except those that wait for holders. journalled reports whether the
// journal was written.
func (s *Sender) answerSubmissions(journalled bool) {
	torn := !journalled && s.journal.Torn()
	unsettled := s.submissions[:0]
	for _, p := range s.submissions {
		switch {
		case torn && time.Since(p.received) < clientAnswerTimeout: // undecided: a restart may find its record on disk
			unsettled = append(unsettled, p)
		case p.refused:
			p.verdict <- Verdict{RetryAfterMS: p.retryAfterMS}
		case !journalled: // not in the journal: the module must not keep it
			s.observeMessageEnd(p.entry, telemetry.EndingNotAccepted, 0)
			s.observeRefused(p.entry.Dest, telemetry.CauseCapacity)
			s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: p.entry.Num})
			s.stepDue = true
			if m := s.messages[p.entry.Num]; m != nil {
				s.journal.Revoke(m.Entry)
				s.forget(m)
			}
			p.verdict <- Verdict{RetryAfterMS: maxBusyRetryMS}
		default:
			p.verdict <- Verdict{Accepted: true, Num: p.entry.Num}
		}
	}
	clear(s.submissions[len(unsettled):])
	s.submissions = unsettled
}

// clientAnswerTimeout is how long a client waits for its answer; later answers reach no client.
const clientAnswerTimeout = 400 * time.Millisecond

// endUndelivered ends a message that was not delivered: one that is to get its verdict in this step is refused, any
// other ends with a notice.
func (s *Sender) endUndelivered(a *policy.Action) {
	m := s.messages[a.ID]
	if m == nil {
		return
	}
	retryAfterMS := a.After
	if a.Kind == policy.ActRefuse {
		retryAfterMS = s.refusalRetryAfter(m.Dest, []byte(m.Key), max(float64(m.Deadline)-s.now, 0), retryAfterMS)
	}
	for _, p := range s.submissions {
		if p.entry == m.Entry {
			p.refused, p.retryAfterMS = true, retryAfterMS
			s.observeMessageEnd(m.Entry, telemetry.EndingNotAccepted, 0)
			s.observeRefused(m.Dest, telemetry.CauseLoad)
			s.journal.Revoke(m.Entry)
			s.forget(m)
			return
		}
	}
	if a.Kind == policy.ActRefuse {
		s.abandon(m, journal.EndingReturned, telemetry.EndingReturned, retryAfterMS)
		return
	}
	s.abandon(m, journal.EndingAbandoned, telemetry.EndingAbandoned, retryAfterMS)
}
