package sender

import "time"

// This file ends a sender.

// Stop makes the sender take on nothing more, let its calls end, and leave.
func (s *Sender) Stop() { s.post(input{stop: true}) }

// HandOver stops the sender for an heir that waits: no further call begins, and it leaves as soon as the
// calls out have ended. What it holds is in the journal, for the heir.
func (s *Sender) HandOver() { s.post(input{stop: true, handOver: true}) }

// Done is closed when the sender has left.
func (s *Sender) Done() <-chan struct{} { return s.done }

// left reports whether a stopping sender may leave.
func (s *Sender) left() bool {
	if s.stopAt.IsZero() {
		return false
	}
	age := time.Since(s.stopAt)
	if s.handing && len(s.calls) == 0 {
		return true
	}
	return age >= stopAfter || age >= stopLeast && len(s.calls) == 0 && (age >= sendFor || len(s.msgs) == 0)
}

// stopping reports whether the stop began that long ago.
func (s *Sender) stopping(d time.Duration) bool {
	return !s.stopAt.IsZero() && time.Since(s.stopAt) >= d
}
