package sender

import (
	"sliptide/internal/discovery"
	"sliptide/internal/operate"
	"sliptide/policy"
)

// This file takes news of endpoints: by the list, and by hand.

// List takes news of the list of endpoints.
func (s *Sender) UpdateEndpoints(l discovery.List) { s.post(input{list: &l}) }

// TakeOut takes an endpoint out by hand (out) or puts it back. It returns once the module holds to it:
// nothing new goes there from then on. An endpoint that no list has named is operate.ErrNeverListed.
func (s *Sender) SetDisabled(id string, disabled bool) error {
	return s.requestDisable(id, disabled, false)
}

// Follow takes an endpoint out or puts it back as another process of this sender did: named or not.
func (s *Sender) ApplyDisabled(id string, disabled bool) error {
	return s.requestDisable(id, disabled, true)
}

func (s *Sender) requestDisable(id string, disabled, replicated bool) error {
	o := &disableRequest{id: id, disabled: disabled, replicated: replicated, done: make(chan error, 1)}
	s.post(input{disable: o})
	select {
	case err := <-o.done:
		return err
	case <-s.done:
		return errStopped
	}
}

// takeOut carries out an order by hand: the module hears of the endpoint as if listed anew.
func (s *Sender) handleDisable(o *disableRequest) error {
	id, named := s.endpointIDs[o.id]
	if !named && !o.replicated && !s.disabled.Has(o.id) { // one taken out in an earlier life may not be listed yet
		return operate.ErrNeverListed
	}
	if err := s.disabled.Set(o.id, o.disabled); err != nil {
		return err
	}
	s.recordDisabled(o.id, o.disabled)
	s.log.Info().Str("endpoint", o.id).Bool("out", o.disabled).Msg("endpoint taken out by hand, or put back")
	if e, listed := s.endpoints[id]; named && listed {
		s.handleList(&discovery.List{Entries: []discovery.Endpoint{e}})
	}
	return nil
}

// reportFull logs, once, that a destination is not served since no more are known.
func (s *Sender) logDestLimit(dest int) {
	if s.destLimitLogged {
		return
	}
	s.destLimitLogged = true
	s.log.Error().Int("dest", dest).Int("destinations_allowed", MaxDestinations).Msg("too many destinations: messages for this and further ones are refused")
}

func (s *Sender) handleList(l *discovery.List) {
	if s.successor {
		s.holdList(l)
		return
	}
	s.recall(l)
	ev := policy.Event{Kind: policy.EvList, FullList: l.Full}
	listed := make(map[uint32]bool, len(l.Entries))
	for _, e := range l.Entries {
		s.endpointIDs[e.Name] = e.ID
		if e.State != policy.Gone {
			s.endpoints[e.ID] = e
		}
		s.recordDraining(&e)
		e.State = s.avoided.State(e.Name, s.disabled.State(e.Name, e.State), s.now)
		if s.partner != nil {
			if p := s.partner(e.Dest); p != nil && p.HTTP2 {
				e.Endpoint.Streams = s.http2Streams
			}
		}
		ev.List = append(ev.List, e.Endpoint)
		listed[e.ID] = e.State == policy.Ready
		if e.State != policy.Gone {
			if len(s.listedDests) < MaxDestinations {
				s.listedDests[e.Dest] = true
			} else if !s.listedDests[e.Dest] {
				s.logDestLimit(e.Dest)
			}
		}
	}
	s.stormGuard.Listed(s.now, ev.List, ev.FullList)
	s.events = append(s.events, ev)
	s.honourListedWaits(ev.List)
	s.suspendListed()
	for c := range s.calls {
		// Nothing new may reach an endpoint that drains or is gone, and a call that still
		// waits for its connection is new.
		if ready, named := listed[c.Endpoint]; !ready && (named || l.Full) {
			s.dropUnsent(c)
		}
	}
}
