package sender

import (
	"sliptide/internal/discovery"
	"sliptide/internal/operate"
	"sliptide/policy"
)

// This file handles updates of endpoints: endpoint lists, and endpoints disabled or enabled by an operator.

// UpdateEndpoints applies an update of the endpoint list.
func (s *Sender) UpdateEndpoints(l discovery.List) { s.post(input{list: &l}) }

// SetDisabled disables or enables an endpoint for an operator. It returns when the change is in force: no new call goes
// to a disabled endpoint from then on. If no list has named the endpoint and it is not disabled yet, it returns
// operate.ErrNeverListed.
func (s *Sender) SetDisabled(id string, disabled bool) error {
	return s.requestDisable(id, disabled, false)
}

// ApplyDisabled repeats a change that another process of this sender made, also for an endpoint that was never listed.
func (s *Sender) ApplyDisabled(id string, disabled bool) error {
	return s.requestDisable(id, disabled, true)
}

func (s *Sender) requestDisable(id string, disabled, replicated bool) error {
	req := &disableRequest{id: id, disabled: disabled, replicated: replicated, done: make(chan error, 1)}
	s.post(input{disable: req})
	select {
	case err := <-req.done:
		return err
	case <-s.done:
		return ErrStopped
	}
}

// handleDisable executes a disable request.
func (s *Sender) handleDisable(req *disableRequest) error {
	if _, named := s.endpointIDs[req.id]; !named && !req.replicated && !s.disabled.Has(req.id) { // one disabled in an earlier process may not be listed yet
		return operate.ErrNeverListed
	}
	if err := s.disabled.Set(req.id, req.disabled); err != nil {
		return err
	}
	s.recordDisabled(req.id, req.disabled)
	s.log.Info().Str("endpoint", req.id).Bool("out", req.disabled).Msg("endpoint disabled or enabled by an operator")
	s.reapplyEndpoint(req.id)
	return nil
}

// reapplyEndpoint passes an endpoint to the module again, as last listed, after a change of what this sender may use. It
// does nothing for an endpoint that is gone: only discovery lists it again.
func (s *Sender) reapplyEndpoint(name string) {
	e, known := s.endpoints[s.endpointIDs[name]]
	if known && e.Name == name && e.State != policy.Gone {
		s.handleList(&discovery.List{Endpoints: []discovery.Endpoint{e}})
	}
}

// dropCallsElsewhere drops the unsent calls to an endpoint that is listed for another destination than they are for, or at
// another address.
func (s *Sender) dropCallsElsewhere(e *discovery.Endpoint) {
	if e.State == policy.Gone || e.Addr == "" {
		return
	}
	for c := range s.calls {
		if c.Endpoint == e.ID && (c.Dest != e.Dest || c.Addr != e.Addr) {
			s.dropUnsent(c)
		}
	}
}

// recordListed records an endpoint as listed. One that is gone keeps its other properties, for the outcomes of its calls.
func (s *Sender) recordListed(e *discovery.Endpoint) {
	s.endpointIDs[e.Name] = e.ID
	if e.State == policy.Gone {
		s.recordGone(e.ID)
		return
	}
	s.endpoints[e.ID] = *e
}

func (s *Sender) recordGone(id uint32) {
	if e, known := s.endpoints[id]; known {
		e.State = policy.Gone
		s.endpoints[id] = e
	}
}

// recordUnlistedGone records that a whole list lacks all endpoints but those in listed.
func (s *Sender) recordUnlistedGone(listed map[uint32]bool) {
	for id := range s.endpoints {
		if _, named := listed[id]; !named {
			s.recordGone(id)
		}
	}
}

// logDestLimit logs, once, that a destination is not served because of MaxDestinations.
func (s *Sender) logDestLimit(dest int) {
	if s.destLimitLogged {
		return
	}
	s.destLimitLogged = true
	s.log.Error().Int("dest", dest).Int("destinations_allowed", MaxDestinations).Msg("destination limit reached: messages for this and further destinations are refused")
}

// handleList passes an endpoint list to the module, with disabled and avoided endpoints as draining, and drops the
// unsent calls to endpoints that are not ready any more. A successor holds the list until it takes over.
func (s *Sender) handleList(l *discovery.List) {
	if s.successor {
		s.holdList(l)
		return
	}
	s.restoreFacts(l)
	ev := policy.Event{Kind: policy.EvList, FullList: l.Full}
	listed := make(map[uint32]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		s.dropCallsElsewhere(&e)
		s.recordListed(&e)
		s.recordDraining(&e)
		e.State = s.avoided.EffectiveState(e.Name, s.disabled.EffectiveState(e.Name, e.State), s.now)
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
	if l.Full {
		s.recordUnlistedGone(listed)
	}
	s.stormGuard.UpdateEndpoints(s.now, ev.List, ev.FullList)
	s.events = append(s.events, ev)
	s.honourListedWaits(ev.List)
	for c := range s.calls {
		// An endpoint that is draining or gone must receive no new call; an unsent call is new.
		if ready, named := listed[c.Endpoint]; !ready && (named || l.Full) {
			s.dropUnsent(c)
		}
	}
}
