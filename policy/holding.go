package policy

// This file tells why messages wait, for those who watch a sender. It reads and decides nothing: no bucket is
// filled and no mark is set by it.

// Hold is why what a destination holds has not been sent.
type WaitCause uint8

// The reasons, the one that is nearest to a call last.
const (
	CauseNoEndpoint    WaitCause = iota // no endpoint is ready
	CauseRequestedWait                  // a wait that the partner told
	CauseBreaker                        // an outage, the ramp after it, or the pause after a failure
	CausePaceCap                        // the pace from outside
	CausePace                           // its own pace
	CauseSlot                           // all call slots are taken
	CauseRetry                          // the messages' own pauses, or the order of their keys
)

// EachWaiting calls f for each destination that holds messages, with the reason at the endpoint that is nearest
// to a call.
func (s *Sender) EachWaiting(f func(dest int, why WaitCause)) {
	for _, d := range s.waiting {
		if len(d.queue) == 0 {
			continue
		}
		why := CauseNoEndpoint
		for _, ep := range d.eps {
			if ep.ready {
				why = max(why, s.holdAt(ep))
			}
		}
		f(d.id, why)
	}
}

// Overview counts the endpoints whose breaker is open or whose ramp goes on, and adds up the limits that are told.
func (s *Sender) Overview() (broken, warming int, told float64) {
	for _, d := range s.dests {
		if d.shared != nil {
			told += d.shared.told
		}
		for _, ep := range d.eps {
			switch ep.state {
			case open:
				broken++
			case ramping:
				warming++
			}
			if ep.route != d.shared {
				told += ep.route.told
			}
		}
	}
	return broken, warming, told
}

func (s *Sender) holdAt(ep *endpoint) WaitCause {
	r := ep.route
	switch {
	case r.waitUntil > s.now:
		return CauseRequestedWait
	case ep.state != closed || ep.fails > 0 && ep.nextTrial > s.now:
		return CauseBreaker
	case r.cap > 0 && r.capTokens.v+r.cap/1000*(s.now-r.capTokens.at) < 1:
		return CausePaceCap
	case r.limit > 0 && r.tokens.v+r.limit/1000*(s.now-r.tokens.at) < 1:
		return CausePace
	case s.busy >= s.set.CallSlots || ep.dest.out >= max(s.set.CallSlots-1, 1):
		return CauseSlot
	}
	return CauseRetry
}
