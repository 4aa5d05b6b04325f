package sender

import (
	"math"
	"time"
)

// This file stops a sender.

// Stop makes the sender refuse new messages and exit. Messages held are still sent for up to stopSendWindow, and calls
// in progress may end within stopTimeout; the next process finds the remaining messages in the journal.
func (s *Sender) Stop() { s.post(input{stop: &stopRequest{at: time.Now()}}) }

// HandOver stops the sender in favour of a waiting successor: no further call begins, and it exits when the calls in
// progress have ended and the requested waits are on disk or over, or stopTimeout after requestedAt, when the process was
// asked to stop. The successor finds the remaining messages in the journal.
func (s *Sender) HandOver(requestedAt time.Time) {
	s.post(input{stop: &stopRequest{at: requestedAt, handOver: true}})
}

// stopRequest asks the sender to stop.
type stopRequest struct {
	at       time.Time // the time limits of the stop count from then
	handOver bool      // a successor is waiting
}

// Done returns a channel that is closed when the sender has exited.
func (s *Sender) Done() <-chan struct{} { return s.done }

// ClientsGone tells a stopping sender that no submission or withdrawal will follow. Until then it does not exit, unless
// stopTimeout passes or it hands over to a successor.
func (s *Sender) ClientsGone() { s.post(input{clientsGone: true}) }

// sendingEnded reports whether a stopping sender begins no further call: it hands over to a successor, or stopSendWindow
// has passed. Messages that reach their deadline still end.
func (s *Sender) sendingEnded() bool { return s.handingOver || s.stoppedFor(stopSendWindow) }

// exitDue reports whether a stopping sender may exit now.
func (s *Sender) exitDue() bool {
	return !s.stopRequestedAt.IsZero() && s.mayExit(time.Since(s.stopRequestedAt))
}

// mayExit reports whether the sender may exit when the stop was requested age ago.
func (s *Sender) mayExit(age time.Duration) bool {
	if s.handingOver && len(s.calls) == 0 && !s.waitUnsaved() {
		return true
	}
	return age >= stopTimeout || s.clientsGone && len(s.calls) == 0 && (age >= stopSendWindow || len(s.messages) == 0)
}

// waitUnsaved reports whether a requested wait is in force that is not on disk yet. A successor would not know of it.
func (s *Sender) waitUnsaved() bool { return s.knowledge.Writer.UnsavedUntil() > s.clock.Now() }

// shutDown journals, for the next process, the outcomes that came after the last step, and that unsent calls never ran.
// It closes the connections of the calls that are still in progress.
// Without this the journal would say of messages that were delivered, or surely not sent, that they may have run: the
// next process would repeat them, or abandon them where their class forbids repeats. Queued submissions that are not in
// the journal are left: their clients are refused.
func (s *Sender) shutDown() {
	s.updateNow()
	s.logExit()
	for {
		select {
		case in := <-s.inputs:
			if in.call != nil || in.ackedNotices != nil || in.withdrawn != 0 {
				s.handleInput(in)
			}
			continue
		default:
		}
		break
	}
	for c := range s.calls {
		if !s.dropUnsent(c) {
			c.Abandon() // the next process may repeat its messages once no connection carries them
		}
	}
	s.failHolderWaits()
	if err := s.journal.Flush(); err != nil {
		s.log.Error().Err(err).Msg("stopping: the last outcomes could not be written to the journal")
	}
}

// logExit logs what the sender leaves to the next process, and the time until the first of it is due.
func (s *Sender) logExit() {
	firstDueMS := math.Inf(1)
	for _, m := range s.messages {
		firstDueMS = min(firstDueMS, float64(m.Deadline)-s.now)
	}
	e := s.log.Info().Int("held", len(s.messages)).Int("calls", len(s.calls)).Int("notices", len(s.pendingNotices)).
		Bool("handing_over", s.handingOver)
	if len(s.messages) > 0 {
		e = e.Float64("first_due_ms", firstDueMS)
	}
	e.Msg("sending has ended")
	for c := range s.calls {
		s.log.Info().Int("dest", c.Dest).Uint32("endpoint", c.Endpoint).Int("messages", len(c.Items)).
			Float64("age_ms", float64(time.Since(c.SentAt))/1e6).Msg("a call is in progress at the exit")
	}
}

// stoppedFor reports whether a stop was requested at least that long ago.
func (s *Sender) stoppedFor(d time.Duration) bool {
	return !s.stopRequestedAt.IsZero() && time.Since(s.stopRequestedAt) >= d
}
