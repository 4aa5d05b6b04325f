package sender

import (
	"slices"
	"time"

	"sliptide/internal/fleet/duty"
	"sliptide/internal/outbound"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

// This file makes answers to clients, and calls, wait until holders have acknowledged their records.

// holderWait is a wait for the acknowledgement of a batch of records by its holders.
type holderWait struct {
	seq         uint64    // number of the batch; 0: set by the next sendCopies
	required    int       // holders that must acknowledge the batch
	deadline    time.Time // when the wait ends unsatisfied
	claims      []*claim  // that the fleet must have answered as well
	submissions []*pendingSubmission
	calls       []*outbound.Call
	done        func(acknowledged bool) // called at the end of the wait; nil: none
}

// awaitHolders queues the answers and calls of a step until the holders have acknowledged the batch, and until the
// fleet has answered about resubmitted messages. Those that need not wait stay in submissions and newCalls.
func (s *Sender) awaitHolders(seq uint64) {
	c := s.copies
	s.proposeClaim()
	first, deadline := len(c.waits), time.Now().Add(c.settings.Timeout)
	waitFor := func(required int, claims []*claim) *holderWait {
		for i := first; i < len(c.waits); i++ {
			if c.waits[i].required == required && slices.Equal(c.waits[i].claims, claims) {
				return &c.waits[i]
			}
		}
		c.waits = append(c.waits, holderWait{seq: seq, required: required, claims: claims, deadline: deadline})
		return &c.waits[len(c.waits)-1]
	}
	s.submissions = slices.DeleteFunc(s.submissions, func(p *pendingSubmission) bool {
		if !p.refused {
			wait := waitFor(c.requiredFor(p.entry.Class), s.openClaims(p.entry.Num))
			wait.submissions = append(wait.submissions, p)
		}
		return !p.refused
	})
	s.newCalls = slices.DeleteFunc(s.newCalls, func(call *outbound.Call) bool {
		if !s.mustAwaitHolders(call) {
			return false
		}
		s.calls[call] = true
		required := 0
		var nums []uint64
		for i := range call.Items {
			if m := s.messages[call.Items[i].ID]; m != nil {
				required, nums = max(required, c.requiredFor(m.Class)), append(nums, m.Num)
			}
		}
		wait := waitFor(required, s.openClaims(nums...))
		wait.calls = append(wait.calls, call)
		return true
	})
}

// requiredFor returns how many holders must acknowledge a message of a class.
func (c *copier) requiredFor(class string) int {
	if n, set := c.settings.RequiredByClass[class]; set {
		return n
	}
	return c.settings.Required
}

// maxRequired returns the highest number that any class requires, since adopted messages may be of every class.
func (c *copier) maxRequired() int {
	n := c.settings.Required
	for _, v := range c.settings.RequiredByClass {
		n = max(n, v)
	}
	return n
}

// mayStart reports whether the calls of a wait that has ended may start. Without the acknowledgement of its records that
// is left to AcceptUncopied, but never for a message whose attempt a successor must know of.
func (s *Sender) mayStart(wait *holderWait, call *outbound.Call, acknowledged bool) bool {
	if acknowledged {
		return true
	}
	if !s.copies.settings.AcceptUncopied {
		return false
	}
	limitsSuccessor := slices.ContainsFunc(call.Items, func(item outbound.Item) bool {
		m := s.messages[item.ID]
		return m != nil && s.attemptLimitsSuccessor(m)
	})
	return !limitsSuccessor || s.successorKnows(wait)
}

// successorKnows reports whether every successor will know the records of a wait: all holders have acknowledged them,
// though these are fewer than required.
func (s *Sender) successorKnows(wait *holderWait) bool {
	c := s.copies
	return c.leaseHeld && wait.seq != 0 && c.owner.Committed(min(wait.required, c.maxHolders())) >= wait.seq
}

// maxHolders returns how many holders a successor may find: those that the fleet has agreed on, and those that this
// sender has requested.
func (c *copier) maxHolders() int {
	agreed := c.fleet.View().Journals[c.settings.Name].GetHolders()
	n := len(agreed)
	for _, name := range c.requestedHolders {
		if !slices.Contains(agreed, name) {
			n++
		}
	}
	return n
}

// answerConfirmed answers the submissions whose confirmation this step has written and sent.
func (s *Sender) answerConfirmed() {
	for _, p := range s.copies.confirmed {
		p.verdict <- Verdict{Accepted: true, Num: p.entry.Num}
	}
	s.copies.confirmed = s.copies.confirmed[:0]
}

// settleHolderWaits ends the waits that are satisfied and those that have timed out.
func (s *Sender) settleHolderWaits() {
	c := s.copies
	now := time.Now()
	waits := c.waits
	c.waits = nil
	for _, wait := range waits {
		acknowledged := wait.seq != 0 && c.leaseHeld && c.owner.Committed(wait.required) >= wait.seq && allAnswered(wait.claims)
		if !acknowledged && now.Before(wait.deadline) {
			c.waits = append(c.waits, wait)
			continue
		}
		s.endHolderWait(&wait, acknowledged)
	}
}

// failHolderWaits ends all waits, unsatisfied, when the sender exits.
func (s *Sender) failHolderWaits() {
	if s.copies == nil {
		return
	}
	waits := s.copies.waits
	s.copies.waits = nil
	for i := range waits {
		s.endHolderWait(&waits[i], false)
	}
	s.answerConfirmed()
}

// endHolderWait ends a wait: it confirms the submissions if their records were acknowledged or AcceptUncopied is set, and
// starts the calls that may start; otherwise it refuses and drops them. It always refuses messages that a successor
// holds.
func (s *Sender) endHolderWait(wait *holderWait, acknowledged bool) {
	if wait.done != nil {
		wait.done(acknowledged)
	}
	accept := acknowledged || s.copies.settings.AcceptUncopied
	if !acknowledged {
		s.copies.shortCount += uint64(len(wait.submissions))
	}
	for _, p := range wait.submissions {
		m := s.messages[p.entry.Num]
		switch {
		case m == nil: // already ended
			p.verdict <- Verdict{RetryAfterMS: maxBusyRetryMS}
		case m.claim.has(m.Entry): // a successor holds it; this sender has sent nothing
			s.revoke(m, telemetry.CauseCapacity)
			p.verdict <- Verdict{TakenOver: true}
		case accept:
			s.journal.Confirm(m.Entry)
			s.copies.confirmed = append(s.copies.confirmed, p)
		default:
			s.revoke(m, telemetry.CauseCapacity)
			p.verdict <- Verdict{RetryAfterMS: s.busyRetryAfter(), TooFewHolders: true}
		}
	}
	for _, call := range wait.calls {
		if s.mayStart(wait, call, acknowledged) && s.calls[call] && !s.anyTakenOver(call) {
			s.startCall(call)
		} else {
			s.dropUnsent(call)
			s.stepDue = true
		}
	}
}

// revoke withdraws a message whose client is about to receive a refusal.
func (s *Sender) revoke(m *message, why telemetry.Cause) {
	s.observeMessageEnd(m.Entry, telemetry.EndingNotAccepted, 0)
	s.observeRefused(m.Dest, why)
	s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: m.Num})
	s.stepDue = true
	s.dropUnsent(m.call)
	s.journal.Revoke(m.Entry)
	s.forget(m)
}

// startCall starts a call. With copies, a call with messages is written only while the lease on this sender's journal
// is held: the lease may end while the call waits for its connection or the process is suspended.
func (s *Sender) startCall(call *outbound.Call) {
	if c := s.copies; c != nil && len(call.Items) > 0 {
		name, epoch := duty.JournalDuty(c.settings.Name), c.owner.Epoch()
		call.MayStart = func() bool { return epoch != 0 && c.fleet.Token(name) == epoch }
	}
	s.pool.Go(call)
}
