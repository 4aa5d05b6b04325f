package sender

import (
	"cmp"
	"slices"

	"sliptide/internal/discovery"
	"sliptide/internal/journal"
	"sliptide/internal/knowledge"
	"sliptide/internal/knowledge/keeper"
	"sliptide/internal/operator"
	"sliptide/internal/outbound"
	"sliptide/policy"
)

const (
	tellMost  = 64    // destinations told in one step: a sender with thousands must not stall on it
	recallFor = 600e3 // milliseconds after the start that what an earlier life knew is at hand
)

// Memory is what a Sender works with to know over restarts. The zero Memory keeps nothing.
type Knowledge struct {
	Writer   *keeper.Writer // takes what is learned; nil: nothing is kept
	Facts    *knowledge.Facts
	Settings operator.Knowledge
}

// memory carries facts between the module, which knows endpoints by number, and the books, which know
// them by name.
type memory struct {
	Knowledge
	usual   float64         // latency of a call, of an earlier life
	heard   map[uint32]bool // endpoints that calls of this life have told of
	touched map[int]bool    // destinations with news since they were told
	round   []int           // of these, those that this round still tells
	roundAt float64         // when the next round is due
}

func (s *Sender) remember(m Knowledge) {
	if m.Writer == nil {
		return
	}
	s.memory = memory{Knowledge: m, heard: map[uint32]bool{}, touched: map[int]bool{}}
	g := m.Facts.AgedGeneral(s.now, m.Settings.HalfLives, &s.set)
	for _, u := range g.ClassLatency {
		s.memory.usual = cmp.Or(s.memory.usual, u.Mean)
	}
	s.mod.RestoreGeneral(g)
}

// recall gives the module what an earlier life knew of the endpoints that a list names for the first
// time, ahead of that list: a told wait binds from this very step on.
func (s *Sender) recall(l *discovery.List) {
	m := &s.memory
	if m.Facts == nil {
		return
	}
	if s.now-s.clock.startMS > recallFor {
		m.Facts = nil // its destinations are not listed any more
		return
	}
	ratings := map[int]float64{}
	ids := map[string]uint32{}
	for _, e := range l.Endpoints {
		if _, known := s.addrs[e.ID]; known || e.State == policy.Gone {
			continue
		}
		ids[e.Name] = e.ID
		rating := 0.0
		if s.set.RatingIsRate {
			rating = e.Rating
		}
		ratings[e.Dest] = max(ratings[e.Dest], rating)
	}
	var facts []policy.DestFacts
	for dest, rating := range ratings {
		if d, ok := m.Facts.AgedDestination(dest, s.now, m.Settings.HalfLives, knowledge.Prior{Rating: rating, TypicalLatency: m.usual}); ok {
			facts = append(facts, numbered(d, ids))
		}
	}
	if len(facts) > 0 {
		slices.SortFunc(facts, func(a, b policy.DestFacts) int { return cmp.Compare(a.Dest, b.Dest) })
		s.events = append(s.events, policy.Event{Kind: policy.EvFacts, Facts: facts})
		s.guard.Restore(s.now, facts)
	}
}

// numbered is d as the module takes it, with the endpoints that ids names.
func numbered(d *knowledge.Destination, ids map[string]uint32) policy.DestFacts {
	f := policy.DestFacts{Dest: d.Dest, SharedRoute: d.SharedRoute, Latency: d.Latency, Admission: d.Admission}
	for _, e := range d.Endpoints {
		if id, ok := ids[e.Name]; ok {
			e.EndpointFacts.ID = id
			f.Endpoints = append(f.Endpoints, e.EndpointFacts)
		}
	}
	return f
}

// noteWait tells of a wait that was just heard.
func (s *Sender) noteWait(c *outbound.Call, wait float64) {
	r := knowledge.Route{Dest: c.Dest}
	if s.apart(c.Endpoint) {
		r.Endpoint = s.addrs[c.Endpoint].Name
	}
	// Its end is rounded up: the partner counts from when its answer was written.
	until := int64(s.now+wait) + 1
	s.journal.SetHold(journal.Hold{Kind: journal.HoldWait, Dest: r.Dest, Endpoint: r.Endpoint, Until: until}, int64(s.now))
	if s.memory.Writer != nil {
		s.memory.Writer.AddWait(knowledge.Wait{Route: r, ReceivedAt: int64(s.now), Until: until})
	}
}

// apart reports whether an endpoint is a route of its own.
func (s *Sender) apart(id uint32) bool {
	kind := s.addrs[id].Kind
	return kind < len(s.set.Kinds) && s.set.Kinds[kind].OwnLimits
}

// noteCall notes that a call's end has told something of its endpoint.
func (s *Sender) noteCall(c *outbound.Call) {
	if s.memory.Writer != nil {
		s.memory.heard[c.Endpoint] = true
		s.memory.touched[c.Dest] = true
	}
}

// tell gives the keeper what has changed, a bounded part in each step. What no call of this life has
// told of is left as the earlier life wrote it, or its age would be lost.
func (s *Sender) tell(all bool) {
	m := &s.memory
	if m.Writer == nil || len(m.round) == 0 && (len(m.touched) == 0 || !all && s.now < m.roundAt) {
		return
	}
	var general *knowledge.Facts
	if len(m.round) == 0 {
		m.roundAt = s.now + float64(m.Settings.WriteEvery.Milliseconds())
		general = s.general()
	}
	if len(m.round) == 0 || all {
		for dest := range m.touched {
			m.round = append(m.round, dest)
		}
		clear(m.touched)
	}
	n := min(len(m.round), tellMost)
	if all {
		n = len(m.round)
	}
	list := make([]*knowledge.Destination, 0, n)
	for _, dest := range m.round[:n] {
		if f, ok := s.mod.Facts(dest); ok {
			list = append(list, s.named(f))
		}
	}
	if m.round = m.round[n:]; len(m.round) == 0 {
		m.round = nil
	}
	m.Writer.AddFacts(list, general)
}

// tellAt is when facts are due to be told; false if there are none.
func (s *Sender) tellAt() (float64, bool) {
	m := &s.memory
	if len(m.round) > 0 {
		return s.now, true
	}
	return m.roundAt, len(m.touched) > 0
}

// named is f as the books take it.
func (s *Sender) named(f policy.DestFacts) *knowledge.Destination {
	d := &knowledge.Destination{Dest: f.Dest, LearnedAt: s.now, SharedRoute: f.SharedRoute, Latency: f.Latency, Admission: f.Admission}
	for _, e := range f.Endpoints {
		if name := s.addrs[e.ID].Name; name != "" && s.memory.heard[e.ID] {
			d.Endpoints = append(d.Endpoints, knowledge.Endpoint{Name: name, LearnedAt: s.now, EndpointFacts: e})
		}
	}
	slices.SortFunc(d.Endpoints, func(a, b knowledge.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

// general is what belongs to no one destination, by the names of classes and kinds.
func (s *Sender) general() *knowledge.Facts {
	g, b := s.mod.GeneralFacts(), knowledge.New("")
	for i, u := range g.ClassLatency {
		if u.N > 0 {
			b.ClassLatency[s.set.Classes[i].Name] = knowledge.ClassLatency{LearnedAt: s.now, LatencyFacts: u}
		}
	}
	for i, d := range g.Dials {
		if i < len(s.set.Kinds) && (d.FailureShare > 0 || d.ScarceUntil > 0) {
			b.Dials[s.set.Kinds[i].Name] = knowledge.Dials{LearnedAt: s.now, DialFacts: d}
		}
	}
	b.Staleness = knowledge.Staleness{LearnedAt: s.now, StaleShare: g.StaleShare, MinStaleIdle: g.MinStaleIdle}
	return b
}
