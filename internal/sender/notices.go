package sender

import (
	"math"

	"sliptide/internal/discovery"
	"sliptide/internal/journal"
	"sliptide/policy"
)

// This file ends messages that were not delivered, and sends their notices. With copies, a successor that does not know of
// the end may send the message, or end it in another way. A notice that this could contradict waits until holders have the
// record of the end, at most until the message's deadline.

// queuedNotice is a notice that is to be sent.
type queuedNotice struct {
	entry      *journal.Entry
	limits     bool   // the class of the message limits what a successor may do after its end
	seq        uint64 // number of the batch with the record of the end; 0: set by the next sendCopies
	fromBefore bool   // an earlier process, or a lost sender, has ended the message
}

// endWithNotice ends an accepted message with a notice. Its journal entry is kept until the notice is accepted.
func (s *Sender) endWithNotice(e *journal.Entry, ending int, retryAfterMS float64) {
	s.endInClass(e, s.classNamed(e.Class), ending, retryAfterMS)
}

// endInClass is endWithNotice for a message that was accepted under a class definition that may have changed since.
func (s *Sender) endInClass(e *journal.Entry, class policy.Class, ending int, retryAfterMS float64) {
	s.journal.OweNotice(e, ending, int64(retryAfterMS))
	s.queueNotice(queuedNotice{entry: e, limits: attemptLimits(&class, class.Deadline)})
}

// resumeNotice sends the notice of a message that an earlier process, or a lost sender, has ended.
func (s *Sender) resumeNotice(e *journal.Entry) {
	class := s.classNamed(e.Class)
	s.queueNotice(queuedNotice{entry: e, limits: attemptLimits(&class, class.Deadline), fromBefore: true})
}

func (s *Sender) queueNotice(n queuedNotice) {
	s.pendingNotices[n.entry.Num] = n.entry
	s.queuedNotices = append(s.queuedNotices, n)
}

// releaseNotices sends the queued notices that need not wait any longer, in each step before the journal is written.
func (s *Sender) releaseNotices() {
	queued := s.queuedNotices
	s.queuedNotices = queued[:0]
	unacknowledged := 0
	for _, n := range queued {
		switch overdue := s.now >= float64(n.entry.Deadline); {
		case s.pendingNotices[n.entry.Num] != n.entry: // a successor has taken it over
			continue
		case s.noticeMayBeSent(&n):
		case !overdue:
			s.queuedNotices = append(s.queuedNotices, n)
			continue
		case n.limits && n.entry.Ending == journal.EndingReturned:
			// A successor may have sent the message: its client must not submit it again.
			s.journal.OweNotice(n.entry, journal.EndingAbandoned, 0)
			unacknowledged++
		}
		s.sendNotice(&n)
	}
	clear(queued[len(s.queuedNotices):])
	if unacknowledged > 0 {
		s.log.Warn().Int("messages", unacknowledged).Msg("copies: too few holders know of the ends of messages in time: these are given up, not handed back")
	}
}

// noticeMayBeSent reports whether no successor can contradict a notice: without the lease on the journal, a successor may
// have the message already; with it, a successor may come that does not know of the end.
func (s *Sender) noticeMayBeSent(n *queuedNotice) bool {
	c := s.copies
	switch {
	case c == nil:
		return true
	case !c.leaseHeld:
		return false
	case !n.limits:
		return true
	}
	required := min(c.requiredFor(n.entry.Class), c.maxHolders())
	return n.seq != 0 && c.owner.Committed(required) >= n.seq
}

// nextOverdueNotice returns the earliest deadline of a message whose notice is queued, in milliseconds of the sender's
// clock; +Inf: none is queued.
func (s *Sender) nextOverdueNotice() float64 {
	next := math.Inf(1)
	for i := range s.queuedNotices {
		next = min(next, float64(s.queuedNotices[i].entry.Deadline))
	}
	return next
}

// sendNotice sends a notice. It does not block.
func (s *Sender) sendNotice(n *queuedNotice) {
	e := n.entry
	if !n.fromBefore {
		s.noteLateness(e)
		s.observer.logNotice(e, "posted", s.now)
	}
	s.notify(discovery.Notice{Num: e.Num, Trace: e.Trace, Returned: e.Ending == journal.EndingReturned, RetryMS: e.RetryMS})
}

// handleAckedNotices ends the entries of messages whose notices were accepted.
func (s *Sender) handleAckedNotices(nums []uint64) {
	for _, num := range nums {
		if e := s.pendingNotices[num]; e != nil {
			delete(s.pendingNotices, num)
			s.observer.logNotice(e, "acknowledged", s.now)
			s.journal.End(e, int64(s.now))
		}
	}
}
