package sender

import (
	"sliptide/internal/discovery"
	"sliptide/internal/journal"
	"sliptide/policy"
)

// This file keeps away from where nothing may be sent: what this sender knows of that goes with the copies of its
// journal, and what a lost sender knew binds its heir.

// drainHold is how long, in milliseconds, an heir keeps away from an endpoint that the lost sender's list said drains:
// its own list says so within seconds, too.
const drainHold = 30e3

func (s *Sender) holdByHand(id string, out bool) {
	h := journal.Hold{Kind: journal.HoldDisabled, Endpoint: id}
	if out {
		h.Until = journal.Forever
	}
	s.journal.SetHold(h, int64(s.now))
}

func (s *Sender) holdListed(e *discovery.Endpoint) {
	if s.copies == nil || e.State == policy.Gone {
		return
	}
	h := journal.Hold{Kind: journal.HoldDrain, Dest: e.Dest, Endpoint: e.Name}
	if e.State != policy.Ready {
		h.Until = int64(s.now + drainHold)
	}
	s.journal.SetHold(h, int64(s.now))
}

// bringHolds takes what the owner knew into the copies of this journal, by this sender's clock.
func (s *Sender) bringHolds(h *heirOf, shift int64) {
	h.holds = nil
	for _, x := range journal.ReplayHolds(h.LongestCopy.Records) {
		if x.Until != journal.Forever {
			x.Until += shift
		}
		if x.Until > int64(s.now) {
			h.holds = append(h.holds, x)
			if x.Kind == journal.HoldWait { // the others end with the messages that are taken over
				s.journal.SetHold(x, int64(s.now))
			}
		}
	}
}

// heed makes waits bind that a lost owner was told: for all messages of this sender from this step on.
func (s *Sender) heed(holds []journal.Hold) {
	var facts []policy.DestFacts
	for _, x := range holds {
		if x.Kind != journal.HoldWait || float64(x.Until) <= s.now {
			continue
		}
		told := &policy.RouteFacts{WaitUntil: float64(x.Until)}
		f := policy.DestFacts{Dest: x.Dest, Admission: policy.InitialAdmission()}
		if id, named := s.names[x.Endpoint]; x.Endpoint == "" {
			f.SharedRoute = told
		} else if _, listed := s.addrs[id]; named && listed {
			f.Endpoints = []policy.EndpointFacts{{ID: id, OwnRoute: told}}
		}
		facts = append(facts, f)
		for c := range s.calls { // what has not begun would reach the partner inside its wait
			if c.Dest == x.Dest && (x.Endpoint == "" || s.addrs[c.Endpoint].Name == x.Endpoint) {
				s.drop(c)
			}
		}
	}
	if len(facts) > 0 {
		s.events = append(s.events, policy.Event{Kind: policy.EvFacts, Facts: facts})
	}
}

// heedListed makes waits that the journal keeps bind at what a list names: after a restart the module learns of them here.
func (s *Sender) heedListed(list []policy.Endpoint) {
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
	s.heed(holds)
}

// keepShut keeps away from endpoints that a lost owner kept away from, as long as this sender has messages of it.
func (s *Sender) keepShut(holds []journal.Hold, till float64) {
	for _, x := range holds {
		if x.Kind == journal.HoldWait || till <= s.now {
			continue
		}
		s.shut.Add(x.Endpoint, min(till, float64(x.Until)))
		s.relist(x.Endpoint)
		s.log.Info().Str("endpoint", x.Endpoint).Msg("copies: nothing goes to this endpoint while messages of the lost sender are left, as it kept away from it")
	}
}

// reopen puts endpoints back that need not be kept away from any more.
func (s *Sender) reopen() {
	for _, id := range s.shut.Over(s.now) {
		s.relist(id)
	}
}

// relist tells the module of an endpoint anew.
func (s *Sender) relist(name string) {
	if e, listed := s.addrs[s.names[name]]; listed && e.Name == name {
		s.takeList(&discovery.List{Endpoints: []discovery.Endpoint{e}})
	}
}
