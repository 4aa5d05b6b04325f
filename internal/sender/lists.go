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
func (s *Sender) SetDisabled(id string, out bool) error { return s.takeOutOrder(id, out, false) }

// Follow takes an endpoint out or puts it back as another process of this sender did: named or not.
func (s *Sender) ApplyDisabled(id string, out bool) error { return s.takeOutOrder(id, out, true) }

func (s *Sender) takeOutOrder(id string, out, known bool) error {
	o := &outOrder{id: id, out: out, known: known, done: make(chan error, 1)}
	s.post(input{out: o})
	select {
	case err := <-o.done:
		return err
	case <-s.done:
		return errStopped
	}
}

// takeOut carries out an order by hand: the module hears of the endpoint as if listed anew.
func (s *Sender) takeOut(o *outOrder) error {
	id, named := s.names[o.id]
	if !named && !o.known && !s.out.Has(o.id) { // one taken out in an earlier life may not be listed yet
		return operate.ErrNeverListed
	}
	if err := s.out.Set(o.id, o.out); err != nil {
		return err
	}
	s.holdByHand(o.id, o.out)
	s.log.Info().Str("endpoint", o.id).Bool("out", o.out).Msg("endpoint taken out by hand, or put back")
	if e, listed := s.addrs[id]; named && listed {
		s.takeList(&discovery.List{Endpoints: []discovery.Endpoint{e}})
	}
	return nil
}

// reportFull logs, once, that a destination is not served since no more are known.
func (s *Sender) reportFull(dest int) {
	if s.full {
		return
	}
	s.full = true
	s.log.Error().Int("dest", dest).Int("destinations_allowed", MaxDestinations).Msg("too many destinations: messages for this and further ones are refused")
}

func (s *Sender) takeList(l *discovery.List) {
	if s.heir {
		s.holdList(l)
		return
	}
	s.recall(l)
	ev := policy.Event{Kind: policy.EvList, FullList: l.Full}
	listed := make(map[uint32]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		s.names[e.Name] = e.ID
		if e.State != policy.Gone {
			s.addrs[e.ID] = e
		}
		s.holdListed(&e)
		e.State = s.shut.State(e.Name, s.out.State(e.Name, e.State), s.now)
		if s.partner != nil {
			if p := s.partner(e.Dest); p != nil && p.HTTP2 {
				e.Endpoint.Streams = s.streams
			}
		}
		ev.List = append(ev.List, e.Endpoint)
		listed[e.ID] = e.State == policy.Ready
		if e.State != policy.Gone {
			if len(s.dests) < MaxDestinations {
				s.dests[e.Dest] = true
			} else if !s.dests[e.Dest] {
				s.reportFull(e.Dest)
			}
		}
	}
	s.guard.UpdateEndpoints(s.now, ev.List, ev.FullList)
	s.events = append(s.events, ev)
	s.heedListed(ev.List)
	s.hushNew()
	for c := range s.calls {
		// Nothing new may reach an endpoint that drains or is gone, and a call that still
		// waits for its connection is new.
		if ready, named := listed[c.Endpoint]; !ready && (named || l.Full) {
			s.drop(c)
		}
	}
}
