package knowledge

import (
	"math"
	"time"

	"sliptide/internal/operator"
	"sliptide/policy"
)

const (
	// Facts of less weight are dropped. A weighted StaleShare below it counts as 0.
	minWeight = 1.0 / 64
	// Below this weight an outage is taken to be over; if it is not, the first call detects it again.
	minHealthWeight = 1.0 / 4
	// Weight down to which a limit or a pace is kept when there is no prior to blend it with.
	minLimitWeight = 1.0 / 8
	// Weight down to which a limit counts as reported by the partner, and an arrival rate as known.
	minReliableWeight = 1.0 / 2
	// Upper bound of valid rates: of calls per second, and of arrivals (AdmissionFacts.Lambda) per millisecond.
	maxRate = 1e9
	// Upper bound of valid latencies and durations, in milliseconds, and of the values of an admission controller.
	maxMS = 1e9
	// A fact whose time is further in the future than this, in milliseconds, has no known age: the clock was wrong
	// when the fact was learned, or is wrong now.
	maxClockSkew = 60e3
)

// Prior holds the values that apply where nothing was learned.
type Prior struct {
	Rating         float64 // rating of the destination in the endpoint list, calls per second; 0 = none
	TypicalLatency float64 // typical latency of a call in milliseconds; 0 = unknown
}

// Weight returns the weight of a fact of that age in milliseconds: 2^(-age/half-life), and 1 for a negative age. A fact
// more than maxClockSkew in the future is of unknown age, because the clock was wrong then or is wrong now: it weighs
// as much as after one half-life.
func Weight(age float64, halfLife time.Duration) float64 {
	if age < -maxClockSkew {
		return 0.5
	}
	return math.Exp2(-max(age, 0) / max(float64(halfLife)/1e6, 1))
}

// blend returns the weighted mean of a fact and its prior. The mean is geometric, because limits, rates and times
// differ by factors. If one of the two is not positive, blend returns the fact.
func blend(fact, prior, weight float64) float64 {
	if prior <= 0 || fact <= 0 {
		return fact
	}
	return math.Exp(weight*math.Log(fact) + (1-weight)*math.Log(prior))
}

// End returns the end of a wait at the time now. It is at most the requested duration after now, so that a clock that
// was set back does not prolong the wait.
func (w Wait) End(now float64) float64 {
	return min(float64(w.Until), now+float64(w.Until-w.ReceivedAt))
}

// Expire removes waits that have ended, and facts about destinations, endpoints, classes and kinds of a weight below
// minWeight.
func (f *Facts) Expire(now float64, h operator.HalfLives) {
	for route, w := range f.Waits {
		if w.End(now) <= now {
			delete(f.Waits, route)
		}
	}
	maxHalfLife := max(h.Limit, h.Pace, h.Health, h.Latency, h.Admission)
	for n, d := range f.Dests {
		if Weight(now-d.LearnedAt, maxHalfLife) < minWeight {
			delete(f.Dests, n)
			continue
		}
		kept := make([]Endpoint, 0, len(d.Endpoints))
		for _, e := range d.Endpoints {
			if Weight(now-e.LearnedAt, max(h.Limit, h.Pace, h.Health)) >= minWeight {
				kept = append(kept, e)
			}
		}
		if len(kept) < len(d.Endpoints) {
			trimmed := *d
			trimmed.Endpoints = kept
			f.Dests[n] = &trimmed
		}
	}
	for name, u := range f.ClassLatency {
		if Weight(now-u.LearnedAt, h.Latency) < minWeight {
			delete(f.ClassLatency, name)
		}
	}
	for name, d := range f.Dials {
		if Weight(now-d.LearnedAt, h.Connections) < minWeight {
			delete(f.Dials, name)
		}
	}
}

// AgedDestination returns the facts about a destination as they apply now, blended with the prior by their weight,
// and false if nothing is known. Its endpoints have names but no IDs: the caller sets these.
func (f *Facts) AgedDestination(dest int, now float64, h operator.HalfLives, prior Prior) (*Destination, bool) {
	d := f.Dests[dest]
	destWaitEnd := f.waitEnd(Route{Dest: dest}, now)
	if d == nil {
		d = &Destination{Dest: dest, LearnedAt: now, Admission: policy.InitialAdmission()}
		if destWaitEnd == 0 && !f.hasEndpointWaits(dest) {
			return nil, false
		}
	}
	aged := &Destination{Dest: dest, LearnedAt: d.LearnedAt, SharedRoute: &policy.RouteFacts{LastOK: now}}
	if d.SharedRoute != nil {
		aged.SharedRoute = agedRoute(d.SharedRoute, d.LearnedAt, now, h, prior)
	}
	aged.SharedRoute.WaitUntil = destWaitEnd
	aged.Latency = agedLatency(d.Latency, now-d.LearnedAt, h, prior.TypicalLatency)
	aged.Admission = agedAdmission(d.Admission, now, Weight(now-d.LearnedAt, h.Admission))
	known := map[string]bool{}
	for _, e := range d.Endpoints {
		known[e.Name] = true
		aged.Endpoints = append(aged.Endpoints, f.agedEndpoint(e, dest, destWaitEnd, now, h, prior))
	}
	for route, w := range f.Waits { // endpoints of which nothing is known but a wait
		if route.Dest == dest && route.Endpoint != "" && !known[route.Endpoint] {
			e := Endpoint{Name: route.Endpoint, LearnedAt: float64(w.ReceivedAt)}
			e.LastOK = math.Inf(-1)
			aged.Endpoints = append(aged.Endpoints, f.agedEndpoint(e, dest, destWaitEnd, now, h, prior))
		}
	}
	return aged, true
}

// hasEndpointWaits reports whether a wait applies to a single endpoint of a destination.
func (f *Facts) hasEndpointWaits(dest int) bool {
	for route := range f.Waits {
		if route.Dest == dest && route.Endpoint != "" {
			return true
		}
	}
	return false
}

// waitEnd returns the end of a route's wait, 0 if none applies.
func (f *Facts) waitEnd(route Route, now float64) float64 {
	if w, ok := f.Waits[route]; ok {
		if end := w.End(now); end > now {
			return end
		}
	}
	return 0
}

// agedEndpoint returns the facts about an endpoint as they apply now. The destination's wait applies to it too: it
// must hold even if new settings have since given the endpoint a limit of its own.
func (f *Facts) agedEndpoint(e Endpoint, dest int, destWaitEnd, now float64, h operator.HalfLives, prior Prior) Endpoint {
	ownRoute := &policy.RouteFacts{LastOK: now}
	if e.OwnRoute != nil {
		ownRoute = agedRoute(e.OwnRoute, e.LearnedAt, now, h, prior)
	}
	ownRoute.WaitUntil = max(destWaitEnd, f.waitEnd(Route{dest, e.Name}, now))
	e.EndpointFacts = agedHealth(e.EndpointFacts, e.LearnedAt, now, Weight(now-e.LearnedAt, h.Health))
	e.OwnRoute = ownRoute
	return e
}

// agedRoute returns the facts about a route as they apply now. The limit is blended with the list's rating, the pace
// with that limit. Without these, both are kept down to minLimitWeight: having no limit at all would be the wrong
// prior, and the first answer reports the true one.
func agedRoute(f *policy.RouteFacts, learnedAt, now float64, h operator.HalfLives, prior Prior) *policy.RouteFacts {
	age := now - learnedAt
	weight := Weight(age, h.Limit)
	aged := &policy.RouteFacts{LastOK: min(f.LastOK, now)}
	if limit := validOrZero(f.AdvertisedLimit, 0, maxRate); limit > 0 && (prior.Rating > 0 || weight >= minLimitWeight) {
		aged.AdvertisedLimit, aged.LimitReported =
			blend(limit, prior.Rating, weight), f.LimitReported && weight >= minReliableWeight
	}
	weight = Weight(age, h.Pace)
	if pace := validOrZero(f.Pace, 0, maxRate); pace > 0 && (aged.AdvertisedLimit > 0 || weight >= minLimitWeight) {
		aged.Pace = blend(pace, aged.AdvertisedLimit, weight)
	}
	if aged.Pace == 0 {
		aged.Pace = aged.AdvertisedLimit
	}
	// Measured rates decay towards 0, as fast as the pace that they support.
	aged.CallRate, aged.AcceptedRate, aged.DeliveredRate = weight*validOrZero(f.CallRate, 0, maxRate),
		weight*validOrZero(f.AcceptedRate, 0, maxRate), weight*validOrZero(f.DeliveredRate, 0, maxRate)
	return aged
}

// agedLatency blends a mean latency with the typical one and reduces the number of samples by their weight.
func agedLatency(f policy.LatencyFacts, age float64, h operator.HalfLives, typical float64) policy.LatencyFacts {
	weight := Weight(age, h.Latency)
	n := int(math.Round(weight * float64(min(max(f.N, 0), 100))))
	mean := validOrZero(f.Mean, 0, maxMS)
	if n < 1 || mean == 0 {
		return policy.LatencyFacts{}
	}
	return policy.LatencyFacts{Mean: blend(mean, typical, weight), Dev: validOrZero(f.Dev, 0, maxMS), N: n}
}

// agedAdmission blends the state of an admission controller (theta, its covariance, the admission probabilities) with
// that of a new one.
func agedAdmission(f policy.AdmissionFacts, now, weight float64) policy.AdmissionFacts {
	aged := policy.InitialAdmission()
	blendInto := func(target *float64, v float64) {
		if !math.IsNaN(v) && math.Abs(v) <= maxMS {
			*target += weight * (v - *target)
		}
	}
	for i := range 2 {
		blendInto(&aged.Theta[i], f.Theta[i])
		for j := range 2 {
			blendInto(&aged.P[i][j], f.P[i][j])
		}
	}
	blendInto(&aged.Pam, f.Pam)
	blendInto(&aged.Pa, f.Pa)
	blendInto(&aged.EX, validOrZero(f.EX, 0, maxMS))
	if weight >= minReliableWeight {
		aged.Lambda = validOrZero(f.Lambda, 0, maxRate)
	}
	aged.LastArrival = min(f.LastArrival, now)
	return aged
}

// agedHealth keeps the times of an outage, a trial or a ramp, which therefore continue. The rate before the outage,
// from which a ramp starts, decays: a lower rate is the safe choice. Below minHealthWeight the endpoint is healthy
// and nothing is known about it.
func agedHealth(f policy.EndpointFacts, learnedAt, now, weight float64) policy.EndpointFacts {
	aged := policy.EndpointFacts{LastOK: min(f.LastOK, now)}
	if f.Health > policy.Ramping || weight < minHealthWeight {
		return aged
	}
	aged = f
	aged.OwnRoute = nil
	aged.Failures, aged.FailedTrials = min(max(f.Failures, 0), 1000), min(max(f.FailedTrials, 0), 1000)
	aged.FailureShare = weight * validOrZero(f.FailureShare, 0, 1)
	aged.RateBeforeOutage = weight * validOrZero(f.RateBeforeOutage, 0, maxRate)
	aged.LastOK, aged.LastFailure, aged.OpenedAt, aged.RampStart =
		min(f.LastOK, now), min(f.LastFailure, now), min(f.OpenedAt, now), min(f.RampStart, now)
	aged.NextTrial = min(f.NextTrial, now+max(f.NextTrial-learnedAt, 0))
	return aged
}

// AgedGeneral returns the facts that belong to no destination as they apply now, for the classes and kinds in settings.
func (f *Facts) AgedGeneral(now float64, h operator.HalfLives, settings *policy.Settings) policy.GeneralFacts {
	general := policy.GeneralFacts{
		ClassLatency: make([]policy.LatencyFacts, len(settings.Classes)), Dials: make([]policy.DialFacts, len(settings.Kinds)),
	}
	for i, c := range settings.Classes {
		if u, ok := f.ClassLatency[c.Name]; ok {
			general.ClassLatency[i] = agedLatency(u.LatencyFacts, now-u.LearnedAt, h, 0)
		}
	}
	for i, k := range settings.Kinds {
		if d, ok := f.Dials[k.Name]; ok {
			general.Dials[i].FailureShare = Weight(now-d.LearnedAt, h.Connections) * validOrZero(d.FailureShare, 0, 1)
			general.Dials[i].ScarceUntil = min(d.ScarceUntil, now+max(d.ScarceUntil-d.LearnedAt, 0))
		}
	}
	general.StaleShare = Weight(now-f.Staleness.LearnedAt, h.Connections) * validOrZero(f.Staleness.StaleShare, 0, 1)
	if general.StaleShare >= minWeight {
		general.MinStaleIdle = validOrZero(f.Staleness.MinStaleIdle, 0, maxMS)
	} else {
		general.StaleShare = 0
	}
	return general
}
