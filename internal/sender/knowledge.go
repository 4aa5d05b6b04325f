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
	maxDestsPerWrite     = 64    // destinations written in one step: a sender with thousands must not stall on them
	maxLoggedAgeMS       = 1e9   // an age that is unknown is logged as this
	restoreFactsWindowMS = 600e3 // how long after the start newly listed endpoints get the earlier process's knowledge
)

// Knowledge is what a Sender needs to keep its knowledge over restarts. The zero value keeps nothing.
type Knowledge struct {
	Writer   *keeper.Writer   // stores what is learned; nil: nothing is kept
	Facts    *knowledge.Facts // as stored by the earlier process
	Settings operator.Knowledge
}

// knowledgeState transfers facts between the module, which identifies endpoints by number, and the stored knowledge,
// which identifies them by name.
type knowledgeState struct {
	Knowledge
	usualLatencyMS    float64         // mean latency of the first class with a known one in the earlier process; 0: none
	observedEndpoints map[uint32]bool // endpoints about which a call of this process has provided facts
	changedDests      map[int]bool    // destinations with changes since their last write
	unwrittenDests    []int           // destinations that are left in the present round of writes
	nextWriteAt       float64         // when the next round is due, by the sender's clock
	hungEndpoints     map[uint32]bool // endpoints with calls that hang
	counters          policy.Counters // of the module at the last round
	saveSoon          bool            // an outage has begun or ended since the last round
}

// setKnowledge sets the knowledge to keep, and gives the module the earlier process's facts that belong to no single
// destination.
func (s *Sender) setKnowledge(k Knowledge) {
	if k.Writer == nil {
		return
	}
	s.knowledge = knowledgeState{Knowledge: k, observedEndpoints: map[uint32]bool{}, changedDests: map[int]bool{}}
	g := k.Facts.AgedGeneral(s.now, k.Settings.HalfLives, &s.settings)
	for _, u := range g.ClassLatency {
		s.knowledge.usualLatencyMS = cmp.Or(s.knowledge.usualLatencyMS, u.Mean)
	}
	s.module.RestoreGeneral(g)
}

// restoreFacts gives the module the earlier process's knowledge of endpoints that a list names for the first time. It
// comes before the list, so that a requested wait is honoured from this step on.
func (s *Sender) restoreFacts(l *discovery.List) {
	k := &s.knowledge
	if k.Facts == nil {
		return
	}
	if s.now-s.clock.startMS > restoreFactsWindowMS {
		k.Facts = nil // destinations that are not listed by now are not expected any more
		return
	}
	ratings := map[int]float64{}
	ids := map[string]uint32{}
	for _, e := range l.Endpoints {
		if _, known := s.endpoints[e.ID]; known || e.State == policy.Gone {
			continue
		}
		ids[e.Name] = e.ID
		rating := 0.0
		if s.settings.RatingIsRate {
			rating = e.Rating
		}
		ratings[e.Dest] = max(ratings[e.Dest], rating)
	}
	var facts []policy.DestFacts
	for dest, rating := range ratings {
		if d, ok := k.Facts.AgedDestination(dest, s.now, k.Settings.HalfLives, knowledge.Prior{Rating: rating, TypicalLatency: k.usualLatencyMS}); ok {
			facts = append(facts, withEndpointIDs(d, ids))
		}
	}
	if len(facts) > 0 {
		slices.SortFunc(facts, func(a, b policy.DestFacts) int { return cmp.Compare(a.Dest, b.Dest) })
		s.events = append(s.events, policy.Event{Kind: policy.EvFacts, Facts: facts})
		s.stormGuard.Restore(s.now, facts)
		s.logRestored(facts)
	}
}

var healthNames = [...]string{policy.Healthy: "healthy", policy.Broken: "broken", policy.Ramping: "ramping"}

// logRestored logs the endpoints that the earlier process left in an outage, in the slow start after one, or with failed
// calls.
func (s *Sender) logRestored(facts []policy.DestFacts) {
	for i := range facts {
		for j := range facts[i].Endpoints {
			e := &facts[i].Endpoints[j]
			if e.Health == policy.Healthy && e.Failures == 0 {
				continue
			}
			s.log.Info().Int("dest", facts[i].Dest).Uint32("endpoint", e.ID).Str("health", healthNames[min(e.Health, policy.Ramping)]).
				Int("failures", e.Failures).Bool("unanswered", e.Unanswered).Float64("ok_ago_ms", min(s.now-e.LastOK, maxLoggedAgeMS)).
				Msg("restored an endpoint")
		}
	}
}

// withEndpointIDs converts d for the module, with those of its endpoints that are in ids.
func withEndpointIDs(d *knowledge.Destination, ids map[string]uint32) policy.DestFacts {
	f := policy.DestFacts{Dest: d.Dest, SharedRoute: d.SharedRoute, Latency: d.Latency, Admission: d.Admission}
	for _, e := range d.Endpoints {
		if id, ok := ids[e.Name]; ok {
			e.EndpointFacts.ID = id
			f.Endpoints = append(f.Endpoints, e.EndpointFacts)
		}
	}
	return f
}

// recordWait records a wait that a partner has just requested, in the journal and the knowledge.
func (s *Sender) recordWait(c *outbound.Call, wait float64) {
	r := knowledge.Route{Dest: c.Dest}
	if s.hasOwnLimits(c.Endpoint) {
		r.Endpoint = s.endpoints[c.Endpoint].Name
	}
	// Its end is rounded up, so that it is never early; the partner counts from the time at which it wrote its answer.
	until := int64(s.now+wait) + 1
	s.journal.SetHold(journal.Hold{Kind: journal.HoldWait, Dest: r.Dest, Endpoint: r.Endpoint, Until: until}, int64(s.now))
	if s.knowledge.Writer != nil {
		s.knowledge.Writer.AddWait(knowledge.Wait{Route: r, ReceivedAt: int64(s.now), Until: until})
	}
}

// hasOwnLimits reports whether an endpoint is of a kind whose endpoints have limits of their own.
func (s *Sender) hasOwnLimits(id uint32) bool {
	kind := s.endpoints[id].Kind
	return kind < len(s.settings.Kinds) && s.settings.Kinds[kind].OwnLimits
}

// recordCall notes that knowledge of the endpoint and the destination of an ended call has changed.
func (s *Sender) recordCall(c *outbound.Call) {
	if s.knowledge.Writer != nil {
		s.knowledge.observedEndpoints[c.Endpoint] = true
		s.knowledge.changedDests[c.Dest] = true
	}
}

// recordHungCalls notes that calls without an answer for long are part of what the next process must know: their
// outcomes may come too late for it. It reports whether an endpoint has such a call that had none before.
func (s *Sender) recordHungCalls() (found bool) {
	k := &s.knowledge
	var hung map[uint32]bool // most steps find none
	s.module.EachHung(func(dest int, endpoint uint32) {
		if hung == nil {
			hung = map[uint32]bool{}
		}
		hung[endpoint] = true
		if !k.hungEndpoints[endpoint] {
			found = true
			k.observedEndpoints[endpoint] = true
			k.changedDests[dest] = true
		}
	})
	k.hungEndpoints = hung
	return found
}

// writeKnowledge passes changed facts to the writer, a bounded number in each step unless all is set. Endpoints about
// which no call of this process has provided facts stay as the earlier process wrote them; the age of their facts would
// be lost otherwise.
func (s *Sender) writeKnowledge(all bool) {
	k := &s.knowledge
	if k.Writer == nil {
		return
	}
	if s.recordHungCalls() || s.module.Counters() != k.counters { // a killed process must leave its outages to the next one
		k.saveSoon, k.nextWriteAt = true, min(k.nextWriteAt, s.now)
	}
	if len(k.unwrittenDests) == 0 && (len(k.changedDests) == 0 || !all && s.now < k.nextWriteAt) {
		return
	}
	var general *knowledge.Facts
	if len(k.unwrittenDests) == 0 {
		k.nextWriteAt = s.now + float64(k.Settings.WriteInterval.Milliseconds())
		general = s.generalFacts()
	}
	if len(k.unwrittenDests) == 0 || all {
		for dest := range k.changedDests {
			k.unwrittenDests = append(k.unwrittenDests, dest)
		}
		clear(k.changedDests)
	}
	n := min(len(k.unwrittenDests), maxDestsPerWrite)
	if all {
		n = len(k.unwrittenDests)
	}
	list := make([]*knowledge.Destination, 0, n)
	for _, dest := range k.unwrittenDests[:n] {
		if f, ok := s.module.Facts(dest); ok {
			list = append(list, s.withEndpointNames(f))
		}
	}
	if k.unwrittenDests = k.unwrittenDests[n:]; len(k.unwrittenDests) == 0 {
		k.unwrittenDests = nil
	}
	k.Writer.AddFacts(list, general)
	if k.saveSoon && len(k.unwrittenDests) == 0 {
		k.saveSoon, k.counters = false, s.module.Counters()
		k.Writer.SaveSoon()
	}
}

// nextKnowledgeWrite returns when changed facts are due to be written; false if there are none.
func (s *Sender) nextKnowledgeWrite() (float64, bool) {
	k := &s.knowledge
	if len(k.unwrittenDests) > 0 {
		return s.now, true
	}
	return k.nextWriteAt, len(k.changedDests) > 0
}

// withEndpointNames converts f for the stored knowledge.
func (s *Sender) withEndpointNames(f policy.DestFacts) *knowledge.Destination {
	d := &knowledge.Destination{Dest: f.Dest, LearnedAt: s.now, SharedRoute: f.SharedRoute, Latency: f.Latency, Admission: f.Admission}
	for _, e := range f.Endpoints {
		if name := s.endpoints[e.ID].Name; name != "" && s.knowledge.observedEndpoints[e.ID] {
			d.Endpoints = append(d.Endpoints, knowledge.Endpoint{Name: name, LearnedAt: s.now, EndpointFacts: e})
		}
	}
	slices.SortFunc(d.Endpoints, func(a, b knowledge.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

// generalFacts returns the facts that belong to no single destination, by the names of classes and kinds.
func (s *Sender) generalFacts() *knowledge.Facts {
	g, f := s.module.GeneralFacts(), knowledge.New("")
	for i, u := range g.ClassLatency {
		if u.N > 0 {
			f.ClassLatency[s.settings.Classes[i].Name] = knowledge.ClassLatency{LearnedAt: s.now, LatencyFacts: u}
		}
	}
	for i, d := range g.Dials {
		if i < len(s.settings.Kinds) && (d.FailureShare > 0 || d.ScarceUntil > 0) {
			f.Dials[s.settings.Kinds[i].Name] = knowledge.Dials{LearnedAt: s.now, DialFacts: d}
		}
	}
	f.Staleness = knowledge.Staleness{LearnedAt: s.now, StaleShare: g.StaleShare, MinStaleIdle: g.MinStaleIdle}
	return f
}
