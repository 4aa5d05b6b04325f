package sender

import (
	"sliptide/internal/discovery"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

// This file implements the sender's side of an upgrade. A new version of the program, the successor, starts in the same
// state directory while the running version serves. To partners both are one sender, so only one of them may send. The
// successor serves clients at once and journals the messages that it accepts, but gives its module no endpoints until
// the running version has exited. Then it takes over the other's journal and knowledge, as after a restart, and gives
// its module the endpoint lists that came meanwhile, in order. The running version, when stopped with a successor
// waiting, begins no further call and exits when its calls in progress have ended; the messages that it still holds go
// to the successor.

// upgradeTakeover carries what a successor receives when the running version has exited.
type upgradeTakeover struct {
	knowledge Knowledge
	done      chan error
}

// TakeOver makes a successor the active sender after the running version has released the state directory. knowledge is
// that version's knowledge, read again from the directory. The endpoints that operators disabled there must have been
// applied before, by ApplyDisabled. TakeOver returns when all has been applied. It returns ErrStopped if the sender has
// stopped, or an error if the journal can't be read: then nothing has been applied, and it may be called again.
func (s *Sender) TakeOver(knowledge Knowledge) error {
	t := &upgradeTakeover{knowledge: knowledge, done: make(chan error, 1)}
	s.post(input{upgrade: t})
	select {
	case err := <-t.done:
		return err
	case <-s.done:
		return ErrStopped
	}
}

// handleUpgradeTakeover makes a successor the active sender. After an error it is still a successor. For an active
// sender it does nothing.
func (s *Sender) handleUpgradeTakeover(t *upgradeTakeover) error {
	if !s.successor {
		return nil
	}
	entries, err := s.journal.TakeOver()
	if err != nil {
		return err
	}
	s.successor = false
	s.dropDuplicates()
	noticesBefore := len(s.pendingNotices)
	for _, e := range entries {
		s.restore(e)
	}
	s.setKnowledge(t.knowledge)
	lists := s.heldLists
	s.heldLists = nil
	for i := range lists {
		s.handleList(&lists[i])
	}
	s.log.Info().Int("restored", len(entries)).Int("ended", len(s.pendingNotices)-noticesBefore).Int("lists", len(lists)).Msg("took over from the previous version")
	return nil
}

// dropDuplicates drops the messages whose IDs the running version had taken, too. Only a version that takes no lock on
// the IDs leaves any. The messages of the running version stay, since it may have sent them.
func (s *Sender) dropDuplicates() {
	for _, m := range s.messages {
		if s.journal.IsLive(m.Entry) {
			continue
		}
		s.log.Warn().Str("trace", m.Trace).Msg("upgrade: both versions accepted a message with this ID; the earlier version's is kept")
		s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: m.Num})
		s.observeMessageEnd(m.Entry, telemetry.EndingWithdrawn, 0)
		s.dropUnsent(m.call)
		s.forget(m)
	}
}

// holdList keeps an endpoint list for the module until the successor takes over. Messages for its destinations are
// accepted from now on, and operators can disable its endpoints.
func (s *Sender) holdList(l *discovery.List) {
	for _, e := range l.Endpoints {
		s.endpointIDs[e.Name] = e.ID
		if e.State != 0 && len(s.listedDests) < MaxDestinations {
			s.listedDests[e.Dest] = true
		}
	}
	s.heldLists = append(s.heldLists, *l)
}
