package policy

// This file exports what a Sender has learned and restores it in a later run. It copies state and decides nothing.
// Times are on the caller's clock; converting and ageing them for a later run is up to the caller
// (internal/knowledge).

import (
	"math"
	"slices"
)

// Health is the state of an endpoint's circuit breaker.
type Health uint8

// The states.
const (
	Healthy Health = Health(closed)
	Broken  Health = Health(open)
	Ramping Health = Health(ramping)
)

// RouteFacts holds what is known of a route: a destination, or an endpoint with a limit of its own.
type RouteFacts struct {
	WaitUntil       float64 // end of the requested wait; 0: none
	AdvertisedLimit float64 // whole limit in calls per second; 0: none
	LimitReported   bool    // by the partner, not only by the list
	Pace            float64 // this sender's pace in calls per second; 0: none
	LastOK          float64 // when a call last succeeded; until then, when the route became known
	CallRate        float64 // recent calls per second
	AcceptedRate    float64 // recent accepted calls per second
	DeliveredRate   float64 // recent deliveries of messages per second
}

// LatencyFacts holds a smoothed latency, its mean deviation in ms and the number of calls behind it.
type LatencyFacts struct {
	Mean, Dev float64
	N         int
}

// AdmissionFacts holds the state of a destination's admission controller.
type AdmissionFacts struct {
	LastArrival float64       // when a message last arrived
	Lambda      float64       // arrival rate in messages per millisecond; 0: unknown
	EX          float64       // E[X], mean waiting time per delivery, in ms
	Theta       [2]float64    // model parameters
	P           [2][2]float64 // RLS covariance
	Pam         float64       // predicted admission probability
	Pa          float64       // admission probability
}

// EndpointFacts holds what is known of one endpoint.
type EndpointFacts struct {
	ID               uint32
	Health           Health
	Failures         int         // in a row
	LastFailure      float64     // time of the last failure
	FailureShare     float64     // failing share of calls (EWMA)
	Unresponsive     bool        // the last failure was a time-out of the call or of its connection
	Unanswered       bool        // the last failure came without an answer
	AnsweredError    bool        // the last failure was an error answer
	FailedTrials     int         // since the breaker opened
	OpenedAt         float64     // when the breaker opened
	NextTrial        float64     // earliest time of the next trial
	RampStart        float64     // when the ramp began
	RateBeforeOutage float64     // this sender's delivered rate before the outage, in messages per second
	LastOK           float64     // when a call last succeeded; -Inf: never
	OwnRoute         *RouteFacts // nil where the limit is the destination's
}

// DestFacts holds what is known of one destination.
type DestFacts struct {
	Dest        int
	SharedRoute *RouteFacts // limit that its endpoints share; nil where each has its own
	Latency     LatencyFacts
	Admission   AdmissionFacts
	Endpoints   []EndpointFacts // by ascending ID
}

// DialFacts holds how connecting to one kind of destination succeeds.
type DialFacts struct {
	FailureShare float64 // refused share of first connection attempts
	ScarceUntil  float64 // no idle connection is kept until then
}

// GeneralFacts holds what does not belong to a single destination.
type GeneralFacts struct {
	ClassLatency []LatencyFacts // by class
	Dials        []DialFacts    // by kind
	StaleShare   float64        // failing share of calls on idle connections
	MinStaleIdle float64        // shortest idle time of those that failed, in ms; 0: none
}

// InitialAdmission returns the state of an admission controller that has learned nothing: the prior with which a
// restored one is blended.
func InitialAdmission() AdmissionFacts {
	var c admissionController
	c.reset(0)
	return c.facts()
}

// Facts returns what is known of a destination, and false if there is none with that number.
func (s *Sender) Facts(dest int) (DestFacts, bool) {
	d := s.destinations[dest]
	if d == nil {
		return DestFacts{}, false
	}
	f := DestFacts{Dest: dest, Latency: d.latency.facts(), Admission: d.admission.facts()}
	if d.sharedRoute != nil {
		f.SharedRoute = d.sharedRoute.facts(s.now)
	}
	f.Endpoints = make([]EndpointFacts, 0, len(d.endpoints))
	for _, ep := range d.endpoints {
		e := EndpointFacts{
			ID: ep.id, Health: Health(ep.breaker), Failures: ep.failures, LastFailure: ep.lastFailure,
			FailureShare: ep.failureShare, Unresponsive: ep.unresponsive, Unanswered: ep.unanswered,
			AnsweredError: ep.answeredError, FailedTrials: ep.failedTrials, OpenedAt: ep.openedAt,
			NextTrial: ep.nextTrial, RampStart: ep.rampStart, RateBeforeOutage: ep.rateBeforeOutage, LastOK: ep.lastOK,
		}
		if s.hangs(ep) { // its outcome may come too late for the next run
			e.Failures, e.LastFailure = e.Failures+1, s.now
			e.Unresponsive, e.Unanswered, e.AnsweredError = true, true, false
		}
		if ep.route != d.sharedRoute {
			e.OwnRoute = ep.route.facts(s.now)
		}
		f.Endpoints = append(f.Endpoints, e)
	}
	return f, true
}

// GeneralFacts returns what does not belong to a single destination.
func (s *Sender) GeneralFacts() GeneralFacts {
	g := GeneralFacts{StaleShare: s.staleShare}
	if !math.IsInf(s.minStaleIdle, 0) {
		g.MinStaleIdle = s.minStaleIdle
	}
	for i := range s.classLatency {
		g.ClassLatency = append(g.ClassLatency, s.classLatency[i].facts())
	}
	for i := range s.dialStats {
		g.Dials = append(g.Dials, DialFacts{s.dialStats[i].failureShare, s.dialStats[i].scarceUntil})
	}
	return g
}

// RestoreGeneral restores what does not belong to a single destination. Call it before the first Step.
func (s *Sender) RestoreGeneral(g GeneralFacts) {
	for i := range min(len(g.ClassLatency), len(s.classLatency)) {
		s.classLatency[i].restore(g.ClassLatency[i])
	}
	for i := range min(len(g.Dials), len(s.dialStats)) {
		s.dialStats[i].failureShare, s.dialStats[i].scarceUntil = g.Dials[i].FailureShare, g.Dials[i].ScarceUntil
	}
	if s.staleShare = g.StaleShare; g.MinStaleIdle > 0 {
		s.minStaleIdle = g.MinStaleIdle
	}
}

// keepFacts keeps the facts of an event for the endpoints that lists later in this step name, and applies the
// requested waits to those already known.
func (s *Sender) keepFacts(list []DestFacts) {
	s.restoredFacts = map[int]*DestFacts{}
	for i := range list {
		s.restoredFacts[list[i].Dest] = &list[i]
		s.applyWaits(&list[i])
	}
}

// applyWaits applies waits requested from another sender, whose messages this one takes over, where the destination
// is already known.
func (s *Sender) applyWaits(f *DestFacts) {
	d := s.destinations[f.Dest]
	if d == nil {
		return
	}
	if d.sharedRoute != nil && f.SharedRoute != nil {
		d.sharedRoute.waitUntil = max(d.sharedRoute.waitUntil, f.SharedRoute.WaitUntil)
	}
	for _, ep := range d.endpoints {
		i := slices.IndexFunc(f.Endpoints, func(e EndpointFacts) bool { return e.ID == ep.id })
		if i >= 0 && f.Endpoints[i].OwnRoute != nil && ep.route != d.sharedRoute {
			ep.route.waitUntil = max(ep.route.waitUntil, f.Endpoints[i].OwnRoute.WaitUntil)
		}
	}
}

// restoreEndpoint restores a new endpoint from the facts of this step, if any, and its destination too if the
// endpoint is the first one there.
func (s *Sender) restoreEndpoint(ep *endpoint) {
	f := s.restoredFacts[ep.dest.id]
	if f == nil {
		return
	}
	if d := ep.dest; len(d.endpoints) == 1 {
		d.latency.restore(f.Latency)
		d.admission.restore(f.Admission, s.now)
		if d.sharedRoute != nil && f.SharedRoute != nil {
			d.sharedRoute.restore(f.SharedRoute, s.now)
		}
	}
	i := slices.IndexFunc(f.Endpoints, func(e EndpointFacts) bool { return e.ID == ep.id })
	if i < 0 {
		return
	}
	e := &f.Endpoints[i]
	ep.breaker, ep.failures, ep.lastFailure, ep.failureShare =
		breakerState(min(e.Health, Ramping)), e.Failures, e.LastFailure, e.FailureShare
	ep.unresponsive, ep.unanswered, ep.answeredError, ep.failedTrials =
		e.Unresponsive, e.Unanswered, e.AnsweredError, e.FailedTrials
	ep.openedAt, ep.nextTrial, ep.rampStart, ep.rateBeforeOutage, ep.lastOK =
		e.OpenedAt, e.NextTrial, e.RampStart, e.RateBeforeOutage, e.LastOK
	r := ep.route
	r.rampBudget = tokenBucket{0, s.now} // a ramp continues, but with an empty budget
	if r != ep.dest.sharedRoute && e.OwnRoute != nil {
		r.restore(e.OwnRoute, s.now)
	}
	if e.Failures > 0 {
		r.failures += e.Failures
		r.unanswered, r.unresponsive = r.unanswered || e.Unanswered, r.unresponsive || e.Unresponsive
	}
}

// restored reports whether the facts of this step include ep.
func (s *Sender) restored(ep *endpoint) bool {
	f := s.restoredFacts[ep.dest.id]
	return f != nil && slices.ContainsFunc(f.Endpoints, func(e EndpointFacts) bool { return e.ID == ep.id })
}

// facts exports the route. A requested wait that is over is left out.
func (r *route) facts(now float64) *RouteFacts {
	f := &RouteFacts{
		AdvertisedLimit: r.advertisedLimit, LimitReported: r.limitReported, Pace: r.pace, LastOK: r.lastOK,
		CallRate: r.callRate.rate(now), AcceptedRate: r.acceptedRate.rate(now), DeliveredRate: r.deliveredRate.rate(now),
	}
	if r.waitUntil > now {
		f.WaitUntil = r.waitUntil
	}
	return f
}

// restore sets the route to the facts; the rates count as measured now.
func (r *route) restore(f *RouteFacts, now float64) {
	r.waitUntil, r.advertisedLimit, r.limitReported, r.pace, r.lastOK =
		f.WaitUntil, f.AdvertisedLimit, f.LimitReported, f.Pace, f.LastOK
	r.callRate, r.acceptedRate, r.deliveredRate =
		rateMeter{f.CallRate, now}, rateMeter{f.AcceptedRate, now}, rateMeter{f.DeliveredRate, now}
	r.raisedAt = now
}

func (l *latency) facts() LatencyFacts { return LatencyFacts{l.mean, l.deviation, l.samples} }

func (l *latency) restore(f LatencyFacts) {
	if f.N > 0 {
		l.mean, l.deviation, l.samples = f.Mean, f.Dev, f.N
	}
}

func (c *admissionController) facts() AdmissionFacts {
	return AdmissionFacts{
		LastArrival: c.lastArrival, Lambda: c.lambda, EX: c.ex, Theta: c.theta, P: c.p, Pam: c.pam, Pa: c.pa,
	}
}

// restore starts a control period from the facts, which do not contain the error and the correction of the period
// before.
func (c *admissionController) restore(f AdmissionFacts, now float64) {
	arrivals := c.arrivals // restored messages may have arrived before the endpoint list
	c.reset(now)
	if c.arrivals = arrivals; arrivals == 0 {
		c.lastArrival = min(f.LastArrival, now)
	}
	c.lambda, c.ex, c.theta, c.p = f.Lambda, f.EX, f.Theta, f.P
	c.pam, c.pa = f.Pam, min(max(f.Pa, minAdmission), 1)
	c.theta[1] = max(c.theta[1], minTheta2)
}
