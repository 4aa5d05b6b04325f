package sender

import (
	"sliptide/internal/discovery"
	"sliptide/internal/operate"
)

// A new version of the program may start while this one serves, in the same lasting folder: the heir. The
// two are one sender to the partners, so that only one of them may send at a time: the heir takes clients
// at once and journals what it takes on, but tells its module of no endpoint until the present one has
// left. Then it takes over the present one's journal and knowledge, as the next life of a restart would,
// and its module hears of the lists that came meanwhile, in order. The present one, told to stop while an
// heir waits, begins no further call and leaves as soon as its calls out have ended: what it still holds
// is the heir's from then on.

// takeOver is what the heir is given when the present version has left.
type takeOver struct {
	memory Knowledge
	out    operate.Out
	done   chan error
}

// TakeOver makes an heir the sender, once the present version has left the folder: memory is what that one
// knew, read anew, and out the endpoints taken out by hand as the folder keeps them. It returns when the
// module holds all of it.
func (s *Sender) TakeOver(memory Knowledge, out operate.Out) error {
	t := &takeOver{memory: memory, out: out, done: make(chan error, 1)}
	s.post(input{takeOver: t})
	select {
	case err := <-t.done:
		return err
	case <-s.done:
		return errStopped
	}
}

func (s *Sender) takeTakeOver(t *takeOver) error {
	if !s.heir {
		return nil
	}
	entries, err := s.journal.TakeOver()
	if err != nil {
		return err
	}
	s.heir = false
	for _, e := range entries {
		s.restore(e)
	}
	s.remember(t.memory)
	s.out = t.out
	lists := s.waiting
	s.waiting = nil
	for i := range lists {
		s.takeList(&lists[i])
	}
	s.log.Info().Int("restored", len(entries)).Int("lists", len(lists)).Msg("took over from the version before")
	return nil
}

// holdList keeps a list for the module until the heir takes over. Its destinations are served from now
// on, and its endpoints count as named for calls by hand.
func (s *Sender) holdList(l *discovery.List) {
	for _, e := range l.Endpoints {
		s.names[e.Name] = e.ID
		if e.State != 0 && len(s.dests) < MaxDestinations {
			s.dests[e.Dest] = true
		}
	}
	s.waiting = append(s.waiting, *l)
}
