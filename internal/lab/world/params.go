// Package world is the lab's emulator: a discrete-event simulation, on a virtual clock, of senders, their clients
// and the partners that they call. The senders run the real decision module (package policy) and the real storm
// guard (package storm), driven as internal/sender drives them; connections, journal and processes are modelled.
// A run is determined by its Params and seed.
//
// The package counts what happens and evaluates nothing. It reads no files and starts no goroutines.
package world

import "sliptide/policy"

// System names the algorithm by which senders decide when to call.
type System string

const (
	Sliptide    System = "sliptide" // decision module and storm guard
	Fleet       System = "fleet"    // decision module and storm guard; the trials of a partner that is down are shared
	ModuleOnly  System = "before"   // decision module without a storm guard
	Backoff     System = "backoff"  // exponential back-off with full jitter
	RetryBudget System = "budget"   // Backoff under a token bucket of retries
	Ideal       System = "ideal"    // senders that know the partner's state and keep only to its limit and capacity
)

// OutageKind is how a partner that is down treats calls.
type OutageKind string

const (
	RefusesConnections OutageKind = "refuse" // connections are refused
	NeverAnswers       OutageKind = "silent" // nothing answers
	AnswersErrors      OutageKind = "error"  // each call is answered with status 500
	RequestsWait       OutageKind = "wait"   // each answer requests a wait until the partner's return
)

// Params holds the parameters of one run: one point of an experiment's grid. Times are in milliseconds, rates are
// per second, shares run from 0 to 1.
type Params struct {
	System           System
	Senders          int
	Partners         int
	Endpoints        int     // of each partner
	Load             float64 // new messages, summed over all partners
	Limit            float64 // limit that each partner states for the calls of all senders; 0: its load / 0.7
	LimitWindow      float64 // length of the limit's windows; a refusal requests a wait to the window's end; 0: any second
	ReportsLimit     bool    // each answer reports the limit; otherwise only the contract states it
	Headroom         float64 // capacity of a partner as a multiple of its limit
	MaxQueue         float64 // longest queueing delay at a partner, which refuses calls that would wait longer
	Latency          float64 // mean of a call's log-normal latency
	LatencySigma     float64 // standard deviation of the latency's logarithm
	AnnouncedWarmUp  float64 // warm-up time that the senders are configured with
	WarmUpDuration   float64 // time that the partner takes to warm up
	ColdCapacity     float64 // share of its capacity that the partner has at its return
	OverloadMultiple float64 // load, as a multiple of the capacity, above which a partner is overloaded
	OverloadWindow   float64 // a partner that is overloaded for this long collapses
	OverloadOutage   float64 // how long a collapsed partner is down; 0: partners do not collapse
	MaxConns         int     // connections that an endpoint accepts; 0: unlimited
	DialTime         float64 // time to open a connection

	BeforeOutage       float64 // length of the run before partner 0 goes down
	Outage             float64 // how long partner 0 is down; 0: it stays up
	OutageShare        float64 // share of its endpoints that go down
	OutageKind         OutageKind
	AfterOutage        float64 // length of the run after the return of partner 0
	LimitMultipleAfter float64 // limit of partner 0 after its return, as a multiple of the limit before; 0: unchanged
	RelapseDelay       float64 // time from the return of partner 0 to a second outage; 0: none
	RelapseDuration    float64 // length of the second outage
	Restarts           int     // senders that are killed in the middle of the outage and start again
	DelistsDown        bool    // discovery removes endpoints from its list while they are down
	MaxListDelay       float64 // list updates reach each sender within this time

	MaxSubmissions      int     // how often a client submits a message at most
	HonourShare         float64 // share of clients that honour Retry-After
	BackoffShare        float64 // share of clients that back off on their own; the others retry at once
	ImmediateRetryDelay float64 // delay of clients that retry at once
	MarksRetries        bool    // clients mark resubmitted messages
	ReturnBurst         float64 // new messages for partner 0 at the moment of its return, in seconds of its load

	Deadline      float64 // of a message, from its first submission
	Aim           float64 // time within which the delivery of a message earns its full worth
	CallSlots     int     // concurrent calls of a sender
	MaxHeld       int     // messages that a sender may hold
	MaxRetryAfter float64 // longest Retry-After to clients
	Batch         int     // messages per call, at most; 0: 1
	OwnLimits     bool    // each endpoint has a limit of its own: an equal share of its partner's
}

// senderSettings returns the settings of the sender with the given index. Of the partners' behaviour senders know the
// cold capacity and the overload thresholds as they are, and the length of the warm-up as announced.
func (p *Params) senderSettings(index int) policy.Settings {
	limitIndex := -1
	if p.ReportsLimit {
		limitIndex = 1
	}
	return policy.Settings{
		Index: index, Senders: p.Senders, Zones: []string{"a"}, MinStepInterval: 1,
		Classes: []policy.Class{{Name: "note", Aim: p.Aim, Deadline: p.Deadline, Worth: 1, LateWorth: 0.4,
			Effect: policy.Keyed, DedupWindow: p.Deadline}},
		Tenants:   []policy.Tenant{{Name: "acme", Quota: 1e6}},
		Kinds:     []policy.DestKind{{Name: "one", OwnLimits: p.OwnLimits, Batch: max(p.Batch, 1)}},
		CallSlots: p.CallSlots, WorthHalves: true, OverShareWorth: 1, AllowanceIndex: -1,
		LimitIndex: limitIndex, MarksResubmissions: p.MarksRetries,
		SendsRetryAfter: true, MaxRetryAfter: p.MaxRetryAfter, MaxAttempts: 6, MaxHeld: p.MaxHeld, StreamsPerConn: 1,
		KeepAlive: 15000, DialTimeout: 500, AnswerSlack: 20, DrainGrace: 500,
		WarmUpDuration: p.AnnouncedWarmUp, ColdCapacity: p.ColdCapacity,
		OverloadMultiple: p.OverloadMultiple, OverloadWindow: p.OverloadWindow,
	}
}

// partnerLimit returns the limit of each partner before any outage, in calls per second of all senders.
func (p *Params) partnerLimit() float64 {
	if p.Limit > 0 {
		return p.Limit
	}
	return p.Load / float64(p.Partners) / 0.7
}

// Duration returns the length of the run.
func (p *Params) Duration() float64 { return p.BeforeOutage + p.Outage + p.AfterOutage }

// ReturnTime returns when partner 0 comes back from its first outage.
func (p *Params) ReturnTime() float64 { return p.BeforeOutage + p.Outage }
