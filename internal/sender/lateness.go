package sender

import "sliptide/internal/journal"

// This file reports messages that ended past their deadline.

// lateEndings sums up the messages that ended past their deadline since the last report. The zero value is empty and
// ready for use.
type lateEndings struct {
	count    int
	latestMS float64 // by how much the latest of them was late, in milliseconds
	trace    string  // ID of that message
}

// add counts a message that ended lateMS milliseconds past its deadline.
func (l *lateEndings) add(trace string, lateMS float64) {
	if l.count == 0 || lateMS > l.latestMS {
		l.latestMS, l.trace = lateMS, trace
	}
	l.count++
}

// minLatenessMS is the least lateness that counts, in milliseconds: a call that times out at its message's deadline ends
// the message a little later.
const minLatenessMS = 50.0

// noteLateness counts a message that ends with a notice now, if that is later than minLatenessMS past its deadline.
func (s *Sender) noteLateness(e *journal.Entry) {
	if lateMS := s.now - float64(e.Deadline); lateMS > minLatenessMS {
		s.lateEndings.add(e.Trace, lateMS)
		s.lateEndingCount++
	}
}

// reportLateEndings logs the messages that ended past their deadline since the last report, in one line.
func (s *Sender) reportLateEndings() {
	late := s.lateEndings
	if late.count == 0 {
		return
	}
	s.lateEndings = lateEndings{}
	s.log.Warn().Int("messages", late.count).Float64("late_ms", late.latestMS).Str("trace", late.trace).
		Msg("messages ended past their deadline")
}
