package sender

import (
	"sliptide/internal/discovery"
	"sliptide/internal/journal"
	"sliptide/policy"
)

// This file handles holds: destinations and endpoints to which nothing may be sent. A sender's holds are copied with
// its journal, so that a member that takes over its messages honours them.

// adoptedDrainMS is how long an endpoint that was last listed as draining is avoided by a successor, counted from the
// list of the lost sender. The successor's own list shows the drain within seconds.
const adoptedDrainMS = 30e3

func (s *Sender) recordDisabled(id string, disabled bool) {
	h := journal.Hold{Kind: journal.HoldDisabled, Endpoint: id}
	if disabled {
		h.Until = journal.Forever
	}
	s.journal.SetHold(h, int64(s.now))
}

// recordDraining records, for a successor, whether a listed endpoint is draining.
func (s *Sender) recordDraining(e *discovery.Endpoint) {
	if s.copies == nil || e.State == policy.Gone {
		return
	}
	h := journal.Hold{Kind: journal.HoldDrain, Dest: e.Dest, Endpoint: e.Name}
	if e.State != policy.Ready {
		h.Until = int64(s.now + adoptedDrainMS)
	}
	s.journal.SetHold(h, int64(s.now))
}

// importHolds sets t.holds to those holds of the lost owner that are still in force, and copies its requested waits
// into this sender's journal. offset, in milliseconds, converts the owner's times to this sender's clock.
func (s *Sender) importHolds(t *takeover, offset int64) {
	t.holds = nil
	for _, hold := range journal.ReplayHolds(t.LongestCopy.Records) {
		if hold.Until != journal.Forever {
			hold.Until += offset
		}
		if hold.Until > int64(s.now) {
			t.holds = append(t.holds, hold)
			if hold.Kind == journal.HoldWait { // other holds end with the messages that are taken over
				s.journal.SetHold(hold, int64(s.now))
			}
		}
	}
}

// honourWaits applies requested waits, of a lost owner or from the journal, to all messages from this step on.
func (s *Sender) honourWaits(holds []journal.Hold) {
	var facts []policy.DestFacts
	for _, hold := range holds {
		if hold.Kind != journal.HoldWait || float64(hold.Until) <= s.now {
			continue
		}
		wait := &policy.RouteFacts{WaitUntil: float64(hold.Until)}
		f := policy.DestFacts{Dest: hold.Dest, Admission: policy.InitialAdmission()}
		if id, named := s.endpointIDs[hold.Endpoint]; hold.Endpoint == "" {
			f.SharedRoute = wait
		} else if _, listed := s.endpoints[id]; named && listed {
			f.Endpoints = []policy.EndpointFacts{{ID: id, OwnRoute: wait}}
		}
		facts = append(facts, f)
		for c := range s.calls { // an unsent call would reach the partner during the wait
			if c.Dest == hold.Dest && (hold.Endpoint == "" || s.endpoints[c.Endpoint].Name == hold.Endpoint) {
				s.dropUnsent(c)
			}
		}
	}
	if len(facts) > 0 {
		s.events = append(s.events, policy.Event{Kind: policy.EvFacts, Facts: facts})
	}
}

// honourListedWaits applies the journal's requested waits to the destinations of a list. After a restart the module
// learns of the waits here.
func (s *Sender) honourListedWaits(list []policy.Endpoint) {
	if s.copies == nil {
		return
	}
	dests := map[int]bool{}
	for i := range list {
		dests[list[i].Dest] = true
	}
	var holds []journal.Hold
	for _, h := range s.journal.Holds() {
		if dests[h.Dest] {
			holds = append(holds, h)
		}
	}
	s.honourWaits(holds)
}

// avoidEndpoints avoids the endpoints that a lost owner avoided, each until its hold ends, but not beyond until, in
// milliseconds of the sender's clock.
func (s *Sender) avoidEndpoints(holds []journal.Hold, until float64) {
	for _, hold := range holds {
		if hold.Kind == journal.HoldWait || until <= s.now {
			continue
		}
		s.avoided.Add(hold.Endpoint, min(until, float64(hold.Until)))
		s.reapplyEndpoint(hold.Endpoint)
		s.log.Info().Str("endpoint", hold.Endpoint).Msg("copies: avoiding an endpoint that the lost sender avoided, while messages taken over from that sender are held")
	}
}

// readmitEndpoints uses endpoints again that need not be avoided any longer.
func (s *Sender) readmitEndpoints() {
	for _, id := range s.avoided.Expire(s.now) {
		s.reapplyEndpoint(id)
	}
}
