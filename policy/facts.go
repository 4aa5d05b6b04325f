package policy

// This file tells what a Sender has learned and takes it up again in a later life. It is bookkeeping: it
// copies state out and in, and decides nothing. Times are on the caller's clock; what they mean in a later
// life, and how much of it still holds, is the caller's matter (internal/knowledge).

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

// RouteFacts are what is known of a limit: a destination's, or an endpoint's where routes are apart.
type RouteFacts struct {
	WaitUntil       float64 // told: nothing goes before; 0 = none
	AdvertisedLimit float64 // the whole limit in calls a second, as told; 0 = none
	LimitReported   bool    // by the partner, not only by the list
	Pace            float64 // own pace in calls a second; 0 = none
	LastOK          float64 // when a call last succeeded
	CallRate        float64 // calls a second of late,
	AcceptedRate    float64 // those taken on,
	DeliveredRate   float64 // and messages delivered
}

// LatencyFacts are a smoothed latency, its mean deviation, and the calls that they come from.
type LatencyFacts struct {
	Mean, Dev float64
	N         int
}

// ControlFacts are a destination's admission controller.
type AdmissionFacts struct {
	LastArrival float64 // when a message last came
	Lambda      float64 // messages a millisecond; 0 = not known
	EX          float64
	Theta       [2]float64
	P           [2][2]float64
	Pam         float64
	Pa          float64
}

// EndpointFacts are what is known of one endpoint.
type EndpointFacts struct {
	ID               uint32
	Health           Health
	Failures         int     // failures in a row
	LastFailure      float64 // the last of them
	FailureShare     float64
	Unresponsive     bool // the last failure was silence,
	Unanswered       bool // no answer,
	AnsweredError    bool // or an answer
	FailedTrials     int
	OpenedAt         float64
	NextTrial        float64
	RampStart        float64
	RateBeforeOutage float64 // own delivered rate before the outage
	LastOK           float64 // -Inf: never
	OwnRoute         *RouteFacts
}

// DestFacts are what is known of one destination.
type DestFacts struct {
	Dest        int
	SharedRoute *RouteFacts // the limit that its endpoints share; nil where each has its own
	Latency     LatencyFacts
	Admission   AdmissionFacts
	Endpoints   []EndpointFacts // by rising ID
}

// DialFacts are how connecting to one kind of destination fares.
type DialFacts struct {
	FailureShare float64
	ScarceUntil  float64
}

// GeneralFacts are what belongs to no one destination.
type GeneralFacts struct {
	ClassLatency []LatencyFacts // by class
	Dials        []DialFacts    // by kind
	StaleShare   float64        // failing share of calls on idle connections
	MinStaleIdle float64        // shortest idle time of those that failed; 0 = none
}

// FreshControl is a controller that has learned nothing: the prior of a remembered one.
func InitialAdmission() AdmissionFacts {
	var c controller
	c.reset(0)
	return c.facts()
}

// Facts tells what is known of a destination, and false if there is none of that number.
func (s *Sender) Facts(dest int) (DestFacts, bool) {
	d := s.dests[dest]
	if d == nil {
		return DestFacts{}, false
	}
	f := DestFacts{Dest: dest, Latency: d.lat.facts(), Admission: d.ctl.facts()}
	if d.shared != nil {
		f.SharedRoute = d.shared.facts(s.now)
	}
	f.Endpoints = make([]EndpointFacts, 0, len(d.eps))
	for _, ep := range d.eps {
		e := EndpointFacts{
			ID: ep.id, Health: Health(ep.state), Failures: ep.fails, LastFailure: ep.failAt, FailureShare: ep.failShare,
			Unresponsive: ep.hung, Unanswered: ep.mute, AnsweredError: ep.leaks, FailedTrials: ep.trials, OpenedAt: ep.openAt,
			NextTrial: ep.nextTrial, RampStart: ep.rampAt, RateBeforeOutage: ep.base, LastOK: ep.lastOK,
		}
		if ep.route != d.shared {
			e.OwnRoute = ep.route.facts(s.now)
		}
		f.Endpoints = append(f.Endpoints, e)
	}
	return f, true
}

// GeneralFacts tells what belongs to no one destination.
func (s *Sender) GeneralFacts() GeneralFacts {
	g := GeneralFacts{StaleShare: s.stale}
	if !math.IsInf(s.staleGap, 0) {
		g.MinStaleIdle = s.staleGap
	}
	for i := range s.usual {
		g.ClassLatency = append(g.ClassLatency, s.usual[i].facts())
	}
	for i := range s.dials {
		g.Dials = append(g.Dials, DialFacts{s.dials[i].failed, s.dials[i].shortUntil})
	}
	return g
}

// RecallGeneral takes up what belongs to no one destination, before the first Step.
func (s *Sender) RestoreGeneral(g GeneralFacts) {
	for i := range min(len(g.ClassLatency), len(s.usual)) {
		s.usual[i].recall(g.ClassLatency[i])
	}
	for i := range min(len(g.Dials), len(s.dials)) {
		s.dials[i].failed, s.dials[i].shortUntil = g.Dials[i].FailureShare, g.Dials[i].ScarceUntil
	}
	if s.stale = g.StaleShare; g.MinStaleIdle > 0 {
		s.staleGap = g.MinStaleIdle
	}
}

// recall keeps the facts of an event until this step's lists have named the endpoints that they are of.
func (s *Sender) recall(list []DestFacts) {
	s.recalled = map[int]*DestFacts{}
	for i := range list {
		s.recalled[list[i].Dest] = &list[i]
		s.bind(&list[i])
	}
}

// bind makes waits that were told to another sender, whose messages this one takes over, binding where the
// destination is known already.
func (s *Sender) bind(f *DestFacts) {
	d := s.dests[f.Dest]
	if d == nil {
		return
	}
	if d.shared != nil && f.SharedRoute != nil {
		d.shared.waitUntil = max(d.shared.waitUntil, f.SharedRoute.WaitUntil)
	}
	for _, ep := range d.eps {
		i := slices.IndexFunc(f.Endpoints, func(e EndpointFacts) bool { return e.ID == ep.id })
		if i >= 0 && f.Endpoints[i].OwnRoute != nil && ep.route != d.shared {
			ep.route.waitUntil = max(ep.route.waitUntil, f.Endpoints[i].OwnRoute.WaitUntil)
		}
	}
}

// recallEndpoint gives a new endpoint what is known of it and, if it is the first there, its destination.
func (s *Sender) recallEndpoint(ep *endpoint) {
	f := s.recalled[ep.dest.id]
	if f == nil {
		return
	}
	if d := ep.dest; len(d.eps) == 1 {
		d.lat.recall(f.Latency)
		d.ctl.recall(f.Admission, s.now)
		if d.shared != nil && f.SharedRoute != nil {
			d.shared.recall(f.SharedRoute, s.now)
		}
	}
	i := slices.IndexFunc(f.Endpoints, func(e EndpointFacts) bool { return e.ID == ep.id })
	if i < 0 {
		return
	}
	e := &f.Endpoints[i]
	ep.state, ep.fails, ep.failAt, ep.failShare = breaker(min(e.Health, Ramping)), e.Failures, e.LastFailure, e.FailureShare
	ep.hung, ep.mute, ep.leaks, ep.trials = e.Unresponsive, e.Unanswered, e.AnsweredError, e.FailedTrials
	ep.openAt, ep.nextTrial, ep.rampAt, ep.base, ep.lastOK = e.OpenedAt, e.NextTrial, e.RampStart, e.RateBeforeOutage, e.LastOK
	// Its ramp goes on, but what it saved up of its budget is taken as spent.
	ep.budget = bucket{0, s.now}
	if ep.route != ep.dest.shared && e.OwnRoute != nil {
		ep.route.recall(e.OwnRoute, s.now)
	}
}

func (r *route) facts(now float64) *RouteFacts {
	f := &RouteFacts{
		AdvertisedLimit: r.told, LimitReported: r.reported, Pace: r.limit, LastOK: r.lastOK,
		CallRate: r.tried.get(now), AcceptedRate: r.accepted.get(now), DeliveredRate: r.delivered.get(now),
	}
	if r.waitUntil > now {
		f.WaitUntil = r.waitUntil
	}
	return f
}

func (r *route) recall(f *RouteFacts, now float64) {
	r.waitUntil, r.told, r.reported, r.limit, r.lastOK = f.WaitUntil, f.AdvertisedLimit, f.LimitReported, f.Pace, f.LastOK
	r.tried, r.accepted, r.delivered = meter{f.CallRate, now}, meter{f.AcceptedRate, now}, meter{f.DeliveredRate, now}
	r.grownAt = now
}

func (l *latency) facts() LatencyFacts { return LatencyFacts{l.mean, l.dev, l.n} }

func (l *latency) recall(f LatencyFacts) {
	if f.N > 0 {
		l.mean, l.dev, l.n = f.Mean, f.Dev, f.N
	}
}

func (c *controller) facts() AdmissionFacts {
	return AdmissionFacts{LastArrival: c.seen, Lambda: c.lambda, EX: c.ex, Theta: c.theta, P: c.p, Pam: c.pam, Pa: c.pa}
}

// recall starts a period with what is known; the error and correction of the last one are not.
func (c *controller) recall(f AdmissionFacts, now float64) {
	arrivals := c.arrivals // restored messages may have come first
	c.reset(now)
	if c.arrivals = arrivals; arrivals == 0 {
		c.seen = min(f.LastArrival, now)
	}
	c.lambda, c.ex, c.theta, c.p = f.Lambda, f.EX, f.Theta, f.P
	c.pam, c.pa = f.Pam, min(max(f.Pa, minAdmit), 1)
	c.theta[1] = max(c.theta[1], theta2Floor)
}
