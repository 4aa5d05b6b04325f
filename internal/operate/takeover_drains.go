package operate

import "sliptide/policy"

// TakeoverDrains is the set of endpoints that a lost sender avoided because an operator had disabled them or a list
// reported them as draining. While this sender, its successor, still holds messages of the lost sender, they count as
// draining here too. Times are in milliseconds of the caller's clock. The zero value is empty and ready for use.
type TakeoverDrains struct{ until map[string]float64 }

// maxTakeoverDrains bounds the number of endpoints in the set; Add ignores further ones.
const maxTakeoverDrains = 4096

// Add makes an endpoint count as draining until the given time, or until the time already set if that is later.
func (s *TakeoverDrains) Add(id string, until float64) {
	if s.until == nil {
		s.until = map[string]float64{}
	}
	if _, known := s.until[id]; known || len(s.until) < maxTakeoverDrains {
		s.until[id] = max(s.until[id], until)
	}
}

// EffectiveState returns the state of an endpoint at now, given its state listed by discovery: draining if it is listed
// as ready and counts as draining until later than now, otherwise unchanged.
func (s *TakeoverDrains) EffectiveState(id string, listed policy.EndpointState, now float64) policy.EndpointState {
	if listed == policy.Ready && s.until[id] > now {
		return policy.Draining
	}
	return listed
}

// Expire removes the endpoints whose time is over by now, and returns them.
func (s *TakeoverDrains) Expire(now float64) (ids []string) {
	for id, until := range s.until {
		if until <= now {
			ids = append(ids, id)
			delete(s.until, id)
		}
	}
	return ids
}

// NextExpiry returns the earliest time at which an endpoint expires; due is false if the set is empty.
func (s *TakeoverDrains) NextExpiry() (at float64, due bool) {
	for _, until := range s.until {
		if !due || until < at {
			at, due = until, true
		}
	}
	return at, due
}
