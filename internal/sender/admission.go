package sender

import (
	"errors"
	"time"

	"sliptide/internal/journal"
)

// This file keeps the two processes of an upgrade from accepting the same ID. A step that accepts messages locks the IDs
// until the journal is written. While the other process holds the lock, submissions are deferred to a later step.

// idLockRetryInterval is the time between attempts to lock the IDs while submissions are deferred.
const idLockRetryInterval = time.Millisecond

// lockIDs locks the IDs for this step and reports whether it did.
func (s *Sender) lockIDs() bool {
	err := s.journal.LockIDs()
	failed := err != nil && !errors.Is(err, journal.ErrIDsLocked)
	if failed && !s.idLockFailed {
		s.log.Error().Err(err).Msg("the IDs of accepted messages cannot be checked: no message is accepted")
	}
	s.idLockFailed = failed
	return err == nil
}

// unlockIDs ends the lock after a step, unless accepted messages are only partly on disk.
func (s *Sender) unlockIDs() {
	if !s.journal.Torn() {
		s.journal.UnlockIDs()
	}
}

// handleDeferred handles the deferred submissions again, and refuses those whose clients wait no longer.
func (s *Sender) handleDeferred() {
	deferred := s.deferred
	s.deferred = nil
	for _, sub := range deferred {
		if time.Since(sub.received) >= clientAnswerTimeout {
			sub.verdict <- Verdict{RetryAfterMS: maxBusyRetryMS}
			continue
		}
		s.handleSubmission(sub)
	}
}
