package sender

import (
	"github.com/cespare/xxhash/v2"

	"sliptide/policy"
)

// keyHash identifies a message over all its submissions by its idempotency key, which stays when the ID changes; 0: it
// has no key.
func keyHash(key []byte) uint64 {
	if len(key) == 0 {
		return 0
	}
	return xxhash.Sum64(key)
}

// refusalRetryAfter returns the Retry-After for the client of a refused message. left is the time until the message's
// deadline and least the result without a storm; all are in milliseconds.
func (s *Sender) refusalRetryAfter(dest int, key []byte, left, least float64) float64 {
	if !s.settings.SendsRetryAfter {
		return least
	}
	return s.stormGuard.RetryAfter(s.now, dest, keyHash(key), left, least)
}

// applyStormThrottles applies the changed throttles of storm control before a step: paces go to the module, dial rates
// to the connection pool.
func (s *Sender) applyStormThrottles() {
	for _, t := range s.stormThrottles() {
		for _, p := range t.Paces {
			s.events = append(s.events, policy.Event{Kind: policy.EvPace, Dest: t.Dest, Endpoint: p.Endpoint, Pace: p.Rate})
		}
		s.pool.PaceDials(t.Dest, t.DialRate)
		s.observeStorm(&t)
		st := s.stormGuard.Stats()
		s.log.Info().Int("dest", t.Dest).Stringer("phase", t.Phase).Interface("paces", t.Paces).Float64("dials", t.DialRate).
			Int("held", t.Held).Int("promised", st.Reserved).Int("overbooked", st.Unreserved).
			Int("kept", st.OnTime).Int("early", st.Early).Msg("storm")
	}
}
