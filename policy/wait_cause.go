package policy

// This file reports why messages wait and how endpoints are. It only reads the state: it refills no bucket and sets
// no mark.

// WaitCause is the reason why the messages queued for a destination have not been sent.
type WaitCause uint8

// The causes, ordered by how near they are to a call: the nearest is last.
const (
	CauseNoEndpoint    WaitCause = iota // no endpoint is ready
	CauseRequestedWait                  // a wait requested by the partner
	CauseBreaker                        // an outage, the ramp after it, or the pause after a failure
	CausePaceCap                        // the pace cap set by the caller
	CausePace                           // the route's own pace
	CauseSlot                           // all call slots, or all that one destination may hold, are in use
	CauseRetry                          // none of these: mostly the messages' own pauses, or the order of their keys
)

// EachWaiting calls visit for each destination with queued messages, with the cause at the endpoint that is nearest
// to a call.
func (s *Sender) EachWaiting(visit func(dest int, cause WaitCause)) {
	for _, d := range s.waiting {
		if len(d.queue) == 0 {
			continue
		}
		cause := CauseNoEndpoint
		for _, ep := range d.endpoints {
			if ep.ready {
				cause = max(cause, s.causeAt(ep))
			}
		}
		visit(d.id, cause)
	}
}

// Overview returns the number of endpoints whose breaker is open, the number of those that are ramping, and the sum
// of the advertised limits of all routes in calls per second.
func (s *Sender) Overview() (openCount, rampingCount int, limitSum float64) {
	for _, d := range s.destinations {
		if d.sharedRoute != nil {
			limitSum += d.sharedRoute.advertisedLimit
		}
		for _, ep := range d.endpoints {
			switch ep.breaker {
			case open:
				openCount++
			case ramping:
				rampingCount++
			}
			if ep.route != d.sharedRoute {
				limitSum += ep.route.advertisedLimit
			}
		}
	}
	return openCount, rampingCount, limitSum
}

// causeAt returns why ep, which is ready, is not called.
func (s *Sender) causeAt(ep *endpoint) WaitCause {
	r := ep.route
	switch {
	case r.waitUntil > s.now:
		return CauseRequestedWait
	case ep.breaker != closed || ep.failures > 0 && ep.nextTrial > s.now:
		return CauseBreaker
	case r.paceCap > 0 && r.capTokens.level+r.paceCap/1000*(s.now-r.capTokens.at) < 1:
		return CausePaceCap
	case r.pace > 0 && r.paceTokens.level+r.pace/1000*(s.now-r.paceTokens.at) < 1:
		return CausePace
	case s.slotsInUse >= s.settings.CallSlots || ep.dest.callsInFlight >= max(s.settings.CallSlots-1, 1):
		return CauseSlot
	}
	return CauseRetry
}
