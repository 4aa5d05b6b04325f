package sender

import (
	"math"

	"sliptide/internal/journal"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

// This file ends messages that the module has not ended in time. The module ends each message by its deadline, or with
// the outcome of its last attempt; this is the safeguard for one that it has lost track of.

// overdueGraceMS is how long past its deadline a message may stay held, in milliseconds: an outcome that ends it may be
// on its way.
const overdueGraceMS = 100.0

// watchDeadline makes endOverdue look at a message that is held from now on.
func (s *Sender) watchDeadline(m *message) {
	s.overdueCheckAt = min(s.overdueCheckAt, float64(m.Deadline)+overdueGraceMS)
}

// endOverdue ends the messages that are still held overdueGraceMS past their deadline, after a step of the module.
func (s *Sender) endOverdue() {
	if s.now < s.overdueCheckAt {
		return
	}
	s.overdueCheckAt = math.Inf(1)
	for _, m := range s.messages {
		if s.now < float64(m.Deadline)+overdueGraceMS {
			s.watchDeadline(m)
			continue
		}
		s.log.Error().Uint64("num", m.Num).Str("trace", m.Trace).Int("dest", m.Dest).Int("attempts", m.Attempts).
			Bool("in_progress", m.call != nil).Float64("late_ms", s.now-float64(m.Deadline)).
			Msg("a message was held past its deadline; it is ended now")
		s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: m.Num})
		s.stepDue = true
		s.abandon(m, journal.EndingAbandoned, telemetry.EndingAbandoned, 0)
	}
}

// abandon ends an accepted message that was not delivered, with a notice.
func (s *Sender) abandon(m *message, ending int, observed telemetry.Ending, retryAfterMS float64) {
	s.dropUnsent(m.call)
	s.forget(m)
	s.observeMessageEnd(m.Entry, observed, retryAfterMS)
	s.endInClass(m.Entry, s.settings.Classes[m.class], ending, retryAfterMS)
}
