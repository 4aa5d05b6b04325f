package knowledge

import (
	"math"
	"time"

	"sliptide/internal/operator"
	"sliptide/policy"
)

const (
	least       = 1.0 / 64 // what weighs less is dropped
	healthLeast = 1.0 / 4  // an outage of which less is left is over, or seen anew at the first call
	limitLeast  = 1.0 / 8  // a limit without a prior is kept so long
	sureLeast   = 1.0 / 2  // a told limit counts as reported so long
	maxRate     = 1e9      // calls a second
	maxMS       = 1e9      // milliseconds of a latency or a length of time
	ahead       = 60e3     // a fact so far in the future was learned by a clock that is wrong
)

// Prior is what is held to be so where nothing was learned.
type Prior struct {
	Rating         float64 // calls a second that the list gives the destination; 0 = none
	TypicalLatency float64 // milliseconds, usual latency of a call; 0 = not known
}

// Weight is what a fact of that age in milliseconds still counts: 2^(-age/half-life). One from the
// future is of unknown age, since the clock was wrong then or is now: it weighs as after one half-life.
func Weight(age float64, halfLife time.Duration) float64 {
	if age < -ahead {
		return 0.5
	}
	return math.Exp2(-max(age, 0) / max(float64(halfLife)/1e6, 1))
}

// blend weighs a positive fact against its prior, in proportion: limits, rates and times are scales.
func blend(fact, prior, weight float64) float64 {
	if prior <= 0 || fact <= 0 {
		return fact
	}
	return math.Exp(weight*math.Log(fact) + (1-weight)*math.Log(prior))
}

// End is when a wait is over by a clock that stands at now: it binds for its whole length at most, so
// that a clock set back makes no wait longer than it was told.
func (w Wait) End(now float64) float64 {
	return min(float64(w.Until), now+float64(w.Until-w.ReceivedAt))
}

// Expire drops waits that are over and what weighs next to nothing.
func (b *Facts) Expire(now float64, h operator.HalfLives) {
	for k, w := range b.Waits {
		if w.End(now) <= now {
			delete(b.Waits, k)
		}
	}
	longest := max(h.Limit, h.Pace, h.Health, h.Latency, h.Control)
	for n, d := range b.Dests {
		if Weight(now-d.LearnedAt, longest) < least {
			delete(b.Dests, n)
			continue
		}
		fresh := make([]Endpoint, 0, len(d.Endpoints))
		for _, e := range d.Endpoints {
			if Weight(now-e.LearnedAt, max(h.Limit, h.Pace, h.Health)) >= least {
				fresh = append(fresh, e)
			}
		}
		if len(fresh) < len(d.Endpoints) {
			kept := *d
			kept.Endpoints = fresh
			b.Dests[n] = &kept
		}
	}
	for name, u := range b.ClassLatency {
		if Weight(now-u.LearnedAt, h.Latency) < least {
			delete(b.ClassLatency, name)
		}
	}
	for name, d := range b.Dials {
		if Weight(now-d.LearnedAt, h.Connections) < least {
			delete(b.Dials, name)
		}
	}
}

// Recall returns what is still to be held of a destination, blended with the prior by its weight, and
// false if nothing is known. The endpoints keep their names; their IDs are the caller's to set.
func (b *Facts) AgedDestination(dest int, now float64, h operator.HalfLives, prior Prior) (*Destination, bool) {
	d := b.Dests[dest]
	wait := b.waitOf(Route{Dest: dest}, now)
	if d == nil {
		d = &Destination{Dest: dest, LearnedAt: now, Admission: policy.InitialAdmission()}
		if wait == 0 && !b.waitsApart(dest) {
			return nil, false
		}
	}
	r := &Destination{Dest: dest, LearnedAt: d.LearnedAt, SharedRoute: &policy.RouteFacts{LastOK: now}}
	if d.SharedRoute != nil {
		r.SharedRoute = agedRoute(d.SharedRoute, d.LearnedAt, now, h, prior)
	}
	r.SharedRoute.WaitUntil = wait
	r.Latency = agedLatency(d.Latency, now-d.LearnedAt, h, prior.TypicalLatency)
	r.Admission = agedControl(d.Admission, now, Weight(now-d.LearnedAt, h.Control))
	known := map[string]bool{}
	for _, e := range d.Endpoints {
		known[e.Name] = true
		r.Endpoints = append(r.Endpoints, b.recallEndpoint(e, dest, wait, now, h, prior))
	}
	for k, w := range b.Waits { // told by an endpoint of which nothing else is known
		if k.Dest == dest && k.Endpoint != "" && !known[k.Endpoint] {
			e := Endpoint{Name: k.Endpoint, LearnedAt: float64(w.ReceivedAt)}
			e.LastOK = math.Inf(-1)
			r.Endpoints = append(r.Endpoints, b.recallEndpoint(e, dest, wait, now, h, prior))
		}
	}
	return r, true
}

func (b *Facts) waitsApart(dest int) bool {
	for k := range b.Waits {
		if k.Dest == dest && k.Endpoint != "" {
			return true
		}
	}
	return false
}

// waitOf is the end of a route's wait, 0 if none binds.
func (b *Facts) waitOf(r Route, now float64) float64 {
	if w, ok := b.Waits[r]; ok {
		if end := w.End(now); end > now {
			return end
		}
	}
	return 0
}

// recallEndpoint ages what is known of an endpoint. The destination's wait binds it too: if the
// settings have made a route apart of it meanwhile, what its destination told still holds.
func (b *Facts) recallEndpoint(e Endpoint, dest int, wait, now float64, h operator.HalfLives, prior Prior) Endpoint {
	apart := &policy.RouteFacts{LastOK: now}
	if e.OwnRoute != nil {
		apart = agedRoute(e.OwnRoute, e.LearnedAt, now, h, prior)
	}
	apart.WaitUntil = max(wait, b.waitOf(Route{dest, e.Name}, now))
	e.EndpointFacts = agedHealth(e.EndpointFacts, e.LearnedAt, now, Weight(now-e.LearnedAt, h.Health))
	e.OwnRoute = apart
	return e
}

// agedRoute blends a limit and a pace with the list's rating. Without one, they stay until they weigh
// next to nothing: the first answer tells better, and no limit at all would be the wrong prior.
func agedRoute(f *policy.RouteFacts, at, now float64, h operator.HalfLives, prior Prior) *policy.RouteFacts {
	age := now - at
	w := Weight(age, h.Limit)
	r := &policy.RouteFacts{LastOK: min(f.LastOK, now)}
	if told := finite(f.AdvertisedLimit, 0, maxRate); told > 0 && (prior.Rating > 0 || w >= limitLeast) {
		r.AdvertisedLimit, r.LimitReported = blend(told, prior.Rating, w), f.LimitReported && w >= sureLeast
	}
	w = Weight(age, h.Pace)
	if pace := finite(f.Pace, 0, maxRate); pace > 0 && (r.AdvertisedLimit > 0 || w >= limitLeast) {
		r.Pace = blend(pace, r.AdvertisedLimit, w)
	}
	if r.Pace == 0 {
		r.Pace = r.AdvertisedLimit
	}
	// Rates of late fade by themselves, as fast as the pace that they stand for.
	r.CallRate, r.AcceptedRate, r.DeliveredRate = w*finite(f.CallRate, 0, maxRate), w*finite(f.AcceptedRate, 0, maxRate), w*finite(f.DeliveredRate, 0, maxRate)
	return r
}

func agedLatency(f policy.LatencyFacts, age float64, h operator.HalfLives, usual float64) policy.LatencyFacts {
	w := Weight(age, h.Latency)
	n := int(math.Round(w * float64(min(max(f.N, 0), 100))))
	mean := finite(f.Mean, 0, maxMS)
	if n < 1 || mean == 0 {
		return policy.LatencyFacts{}
	}
	return policy.LatencyFacts{Mean: blend(mean, usual, w), Dev: finite(f.Dev, 0, maxMS), N: n}
}

// agedControl blends theta, its covariance and the admitted share with those of a fresh controller.
func agedControl(f policy.AdmissionFacts, now, w float64) policy.AdmissionFacts {
	r := policy.InitialAdmission()
	mix := func(to *float64, v float64) {
		if !math.IsNaN(v) && math.Abs(v) <= maxMS {
			*to += w * (v - *to)
		}
	}
	for i := range 2 {
		mix(&r.Theta[i], f.Theta[i])
		for j := range 2 {
			mix(&r.P[i][j], f.P[i][j])
		}
	}
	mix(&r.Pam, f.Pam)
	mix(&r.Pa, f.Pa)
	mix(&r.EX, finite(f.EX, 0, maxMS))
	if w >= sureLeast {
		r.Lambda = finite(f.Lambda, 0, maxRate)
	}
	r.LastArrival = min(f.LastArrival, now)
	return r
}

// agedHealth keeps an outage, a trial or a ramp where it was: these are times, and go on by themselves.
// The rate before the outage, which the ramp starts from, fades: less is the safe side. What is left of
// an outage that is long past is a healthy endpoint of which nothing is known.
func agedHealth(f policy.EndpointFacts, at, now, w float64) policy.EndpointFacts {
	r := policy.EndpointFacts{LastOK: min(f.LastOK, now)}
	if f.Health > policy.Ramping || w < healthLeast {
		return r
	}
	r = f
	r.OwnRoute = nil
	r.Failures, r.FailedTrials = min(max(f.Failures, 0), 1000), min(max(f.FailedTrials, 0), 1000)
	r.FailureShare = w * finite(f.FailureShare, 0, 1)
	r.RateBeforeOutage = w * finite(f.RateBeforeOutage, 0, maxRate)
	r.LastOK, r.LastFailure, r.OpenedAt, r.RampStart = min(f.LastOK, now), min(f.LastFailure, now), min(f.OpenedAt, now), min(f.RampStart, now)
	r.NextTrial = min(f.NextTrial, now+max(f.NextTrial-at, 0))
	return r
}

// RecallGeneral returns what is still to be held beside destinations, for these classes and kinds.
func (b *Facts) AgedGeneral(now float64, h operator.HalfLives, set *policy.Settings) policy.GeneralFacts {
	g := policy.GeneralFacts{ClassLatency: make([]policy.LatencyFacts, len(set.Classes)), Dials: make([]policy.DialFacts, len(set.Kinds))}
	for i, c := range set.Classes {
		if u, ok := b.ClassLatency[c.Name]; ok {
			g.ClassLatency[i] = agedLatency(u.LatencyFacts, now-u.LearnedAt, h, 0)
		}
	}
	for i, k := range set.Kinds {
		if d, ok := b.Dials[k.Name]; ok {
			g.Dials[i].FailureShare = Weight(now-d.LearnedAt, h.Connections) * finite(d.FailureShare, 0, 1)
			g.Dials[i].ScarceUntil = min(d.ScarceUntil, now+max(d.ScarceUntil-d.LearnedAt, 0))
		}
	}
	g.StaleShare = Weight(now-b.Staleness.LearnedAt, h.Connections) * finite(b.Staleness.StaleShare, 0, 1)
	if g.StaleShare >= least {
		g.MinStaleIdle = finite(b.Staleness.MinStaleIdle, 0, maxMS)
	} else {
		g.StaleShare = 0
	}
	return g
}
