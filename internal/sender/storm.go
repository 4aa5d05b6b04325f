package sender

import (
	"github.com/cespare/xxhash/v2"

	"sliptide/policy"
)

// keyHash identifies a message over all its submissions by its idempotency key, which stays when the ID changes.
func keyHash(key []byte) uint64 {
	if len(key) == 0 {
		return 0
	}
	return xxhash.Sum64(key)
}

// refusalRetryAfter returns the Retry-After, in milliseconds, for the client of a refused message.
func (s *Sender) refusalRetryAfter(dest int, key []byte, left, least float64) float64 {
	if !s.settings.SendsRetryAfter {
		return least
	}
	return s.stormGuard.RetryAfter(s.now, dest, keyHash(key), left, least)
}

// applyStormOrders executes the orders of storm control before a step: paces go to the module, dial rates to the
// connection pool.
func (s *Sender) applyStormOrders() {
	for _, o := range s.stormOrders() {
		for _, p := range o.Paces {
			s.events = append(s.events, policy.Event{Kind: policy.EvPace, Dest: o.Dest, Endpoint: p.Endpoint, Pace: p.Rate})
		}
		s.pool.PaceDials(o.Dest, o.DialRate)
		s.observeStorm(&o)
		st := s.stormGuard.Stats()
		s.log.Info().Int("dest", o.Dest).Stringer("phase", o.Phase).Interface("paces", o.Paces).Float64("dials", o.DialRate).
			Int("held", o.Held).Int("promised", st.Reserved).Int("overbooked", st.Unreserved).
			Int("kept", st.OnTime).Int("early", st.Early).Msg("storm")
	}
}
