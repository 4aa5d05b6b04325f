package sender

import (
	"sliptide/internal/journal"
	"sliptide/internal/outbound"
	"sliptide/policy"
)

// This file decides what a successor must know of a message before this sender acts on it, and what a successor assumes
// where it may not know. A class limits what may follow an attempt that may have run:
//
//   - unsafe: no further attempt, and the message may not be returned.
//   - keyed with ZoneScope: further attempts in the zone of the first only, and the message may not be returned.
//   - keyed: further attempts within DedupWindow of the first only.
//
// Where a limit can matter to a successor, holders must have the record of an attempt before it begins.

// longAgo is the earliest time of an attempt, in milliseconds of the sender's clock; 0 stands for no attempt.
const longAgo = 1

// mustAwaitHolders reports whether a call must not begin before the records of its messages are copied: if it has a
// message whose acceptance is not confirmed yet, or one whose attempt a successor must know of.
func (s *Sender) mustAwaitHolders(call *outbound.Call) bool {
	for i := range call.Items {
		m := s.messages[call.Items[i].ID]
		if m != nil && (!m.Confirmed || s.attemptLimitsSuccessor(m)) {
			return true
		}
	}
	return false
}

// attemptLimitsSuccessor reports whether an attempt of m that begins now limits what a successor may do with m. The
// class under which m was accepted decides.
func (s *Sender) attemptLimitsSuccessor(m *message) bool {
	return attemptLimits(&s.settings.Classes[m.class], float64(m.Deadline)-s.now)
}

// attemptLimits reports whether an attempt of a message of a class limits later attempts. left, in milliseconds, is the
// time from the attempt to the message's deadline: a dedup window that lasts so long allows any later attempt.
func attemptLimits(class *policy.Class, left float64) bool {
	switch class.Effect {
	case policy.Unsafe:
		return true
	case policy.Keyed:
		return class.ZoneScope || class.DedupWindow < left
	default:
		return false
	}
}

// mayReturn reports whether a message of a class may be returned to its client after an attempt that may have run.
func mayReturn(class *policy.Class) bool {
	return class.Effect == policy.Safe || class.Effect == policy.Keyed && !class.ZoneScope
}

// unsentEnding returns the ending of an undelivered message that this sender is not to send: it is returned to its client,
// unless an attempt of the lost owner forbids that.
func (s *Sender) unsentEnding(e *journal.Entry) int {
	if class := s.classNamed(e.Class); e.MayHaveRunAt != 0 && !mayReturn(&class) {
		return journal.EndingAbandoned
	}
	return journal.EndingReturned
}

// classNamed returns the present definition of a class. One that this process does not know counts as unsafe.
func (s *Sender) classNamed(name string) policy.Class {
	if i, class := s.ClassOf([]byte(name)); i >= 0 {
		return class
	}
	return policy.Class{Name: name, Effect: policy.Unsafe}
}

// assumeAttempt makes an entry that is taken over one that may have run, if the copies found may lack an attempt that
// limits what may be done with it. It reports whether it did so. The time assumed is the earliest possible one.
func (s *Sender) assumeAttempt(e *journal.Entry) bool {
	class := s.classNamed(e.Class)
	knownAt, outcomeKnown := e.MayHaveRunAt, !e.OutcomeUnknown
	switch {
	case !attemptLimits(&class, class.Deadline):
		return false
	case knownAt != 0 && (!class.ZoneScope || outcomeKnown):
		return false // later attempts kept to the limits of this one
	}
	if class.ZoneScope {
		// An attempt without an outcome may turn out never to have run, and a later one may have gone to another zone.
		e.MayHaveRunZone = policy.UnknownZone
	}
	if knownAt == 0 {
		earliest := min(e.Deadline-int64(class.Deadline), int64(s.now))
		e.MayHaveRunAt = max(earliest, longAgo)
	}
	return true
}
