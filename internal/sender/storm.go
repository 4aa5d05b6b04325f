package sender

import (
	"github.com/cespare/xxhash/v2"

	"sliptide/internal/discovery"
	"sliptide/internal/storm"
	"sliptide/policy"
)

// guard is the storm guard as the sender uses it. Without one, all of it does nothing.
type guard struct{ *storm.Guard }

// GuardSettings are what a storm guard needs of the module's settings.
func GuardSettings(set *policy.Settings, limits map[int]float64) storm.Settings {
	g := storm.Settings{Senders: set.Senders, MaxRetryAfter: set.MaxRetryAfter, Limits: limits, X1: set.X1, Rated: set.Rated}
	for _, k := range set.Kinds {
		g.OwnLimits = append(g.OwnLimits, k.OwnLimits)
	}
	return g
}

// keyHash names a message over all its tries: its idempotency key, which stays when the id changes.
func keyHash(key []byte) uint64 {
	if len(key) == 0 {
		return 0
	}
	return xxhash.Sum64(key)
}

func (g guard) arrived(now float64, m *Message) {
	if g.Guard != nil {
		g.Arrived(now, m.Dest, keyHash(m.Key), m.Again)
	}
}

func (g guard) held(now float64, dest, by int) {
	if g.Guard != nil {
		g.Held(now, dest, by)
	}
}

func (g guard) listed(now float64, list []policy.Endpoint, full bool) {
	if g.Guard != nil {
		g.Listed(now, list, full)
	}
}

func (g guard) recall(now float64, facts []policy.DestFacts) {
	if g.Guard != nil {
		g.Recall(now, facts)
	}
}

func (g guard) outcome(now float64, e *policy.Event) {
	if g.Guard != nil && e.Kind == policy.EvOutcome {
		g.Outcome(now, e)
	}
}

// comeBack is when the client of a refused message should come again.
func (s *Sender) comeBack(dest int, key []byte, left, least float64) float64 {
	if s.guard.Guard == nil || !s.set.TellsRetry {
		return least
	}
	return s.guard.Refused(s.now, dest, keyHash(key), left, least)
}

// weather carries out what storms ask, ahead of a step: the module learns the paces, the pool how many
// connections may be opened.
func (s *Sender) weather() {
	if s.guard.Guard == nil {
		return
	}
	for _, o := range s.guard.Orders(s.now) {
		for _, p := range o.Paces {
			s.events = append(s.events, policy.Event{Kind: policy.EvPace, Dest: o.Dest, Endpoint: p.Endpoint, Pace: p.Rate})
		}
		s.pool.PaceDials(o.Dest, o.Dials)
		s.watchStorm(&o)
		st := s.guard.Stats()
		s.log.Info().Int("dest", o.Dest).Stringer("phase", o.Phase).Interface("paces", o.Paces).Float64("dials", o.Dials).
			Int("held", o.Held).Int("promised", st.Promised).Int("overbooked", st.Overbooked).
			Int("kept", st.Kept).Int("early", st.Early).Msg("storm")
	}
}

// endpoints is the entries as the guard takes them.
func endpoints(l *discovery.List) []policy.Endpoint {
	list := make([]policy.Endpoint, len(l.Entries))
	for i := range l.Entries {
		list[i] = l.Entries[i].Endpoint
	}
	return list
}
