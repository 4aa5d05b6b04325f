package sender

import (
	"github.com/cespare/xxhash/v2"

	"sliptide/policy"
)

// keyHash names a message over all its tries: its idempotency key, which stays when the id changes.
func keyHash(key []byte) uint64 {
	if len(key) == 0 {
		return 0
	}
	return xxhash.Sum64(key)
}

// comeBack is when the client of a refused message should come again.
func (s *Sender) comeBack(dest int, key []byte, left, least float64) float64 {
	if !s.set.SendsRetryAfter {
		return least
	}
	return s.guard.RetryAfter(s.now, dest, keyHash(key), left, least)
}

// weather carries out what storms ask, ahead of a step: the module learns the paces, the pool how many
// connections may be opened.
func (s *Sender) weather() {
	for _, o := range s.weatherOrders() {
		for _, p := range o.Paces {
			s.events = append(s.events, policy.Event{Kind: policy.EvPace, Dest: o.Dest, Endpoint: p.Endpoint, Pace: p.Rate})
		}
		s.pool.PaceDials(o.Dest, o.DialRate)
		s.observeStorm(&o)
		st := s.guard.Stats()
		s.log.Info().Int("dest", o.Dest).Stringer("phase", o.Phase).Interface("paces", o.Paces).Float64("dials", o.DialRate).
			Int("held", o.Held).Int("promised", st.Reserved).Int("overbooked", st.Unreserved).
			Int("kept", st.OnTime).Int("early", st.Early).Msg("storm")
	}
}
