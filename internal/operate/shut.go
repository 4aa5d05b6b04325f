package operate

import "sliptide/policy"

// Shut is the set of endpoints that a lost sender kept away from, by hand or since a list said that they drain, while
// this sender, its heir, still has messages of it: they count as draining here, too, until then. Times are those of
// the caller's clock, in milliseconds. The zero value is empty and ready for use.
type TakeoverDrains struct{ until map[string]float64 }

// maxShut bounds how many are kept; of more, those that come first stay.
const maxShut = 4096

// Add keeps an endpoint shut until then, or longer if it is already.
func (s *TakeoverDrains) Add(id string, until float64) {
	if s.until == nil {
		s.until = map[string]float64{}
	}
	if _, known := s.until[id]; known || len(s.until) < maxShut {
		s.until[id] = max(s.until[id], until)
	}
}

// State is the state that an endpoint has while it is shut.
func (s *TakeoverDrains) EffectiveState(id string, listed policy.EndpointState, now float64) policy.EndpointState {
	if listed == policy.Ready && s.until[id] > now {
		return policy.Draining
	}
	return listed
}

// Over takes those out whose time is up, and returns them.
func (s *TakeoverDrains) Expire(now float64) (ids []string) {
	for id, until := range s.until {
		if until <= now {
			ids = append(ids, id)
			delete(s.until, id)
		}
	}
	return ids
}

// Next is when the next one's time is up; false: there is none.
func (s *TakeoverDrains) NextExpiry() (at float64, due bool) {
	for _, until := range s.until {
		if !due || until < at {
			at, due = until, true
		}
	}
	return at, due
}
