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

// ClientsGone tells a stopping sender that nothing more is handed in, nor will a client be found gone that it would
// have to withdraw a message of: until then it stays.
func (s *Sender) ClientsGone() { s.post(input{clientsGone: true}) }

// left reports whether a stopping sender may leave.
func (s *Sender) exitDue() bool {
	return !s.stopRequestedAt.IsZero() && s.mayExit(time.Since(s.stopRequestedAt))
}

// mayLeave reports whether a sender may leave that was told to stop so long ago.
func (s *Sender) mayExit(age time.Duration) bool {
	if s.handingOver && len(s.calls) == 0 {
		return true
	}
	return age >= stopTimeout || s.clientsGone && len(s.calls) == 0 && (age >= stopSendWindow || len(s.messages) == 0)
}

// leave books what has happened up to the last moment, for the next life: outcomes that came after the last step, and
// that a call which still waits for its connection will never run. Guards against a message that was delivered, or
// surely was not sent, and of which the journal says that it may have run: the next life would repeat it, or give
// it up where its class forbids that. What was handed in and is in no journal is left: its client is refused.
func (s *Sender) shutDown() {
	s.updateNow()
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
		s.dropUnsent(c)
	}
	s.failWaits()
	if err := s.journal.Flush(); err != nil {
		s.log.Error().Err(err).Msg("leaving: the last outcomes are not in the journal")
	}
}

// stopping reports whether the stop began that long ago.
func (s *Sender) stoppedFor(d time.Duration) bool {
	return !s.stopRequestedAt.IsZero() && time.Since(s.stopRequestedAt) >= d
}
