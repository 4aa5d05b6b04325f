// Package world is the lab's emulator: senders, their clients and the partners that they call, as discrete
// events on a virtual clock. The senders are the real decision module (package policy) and the real storm guard
// (package storm), fed and obeyed as internal/sender does it; what they would be on sockets (connections,
// journal, processes) is modelled. A run is a function of its Params and seed.
//
// It measures and judges nothing beyond counting; it reads no file and starts no goroutine.
package world

import "sliptide/policy"

// System names what the senders decide by.
type System string

// The systems.
const (
	Sliptide    System = "sliptide" // module and storm guard
	Fleet       System = "fleet"    // module and storm guard, with the trials of a partner that is down shared out
	ModuleOnly  System = "before"   // the module alone
	Backoff     System = "backoff"  // exponential back-off with full jitter
	RetryBudget System = "budget"   // the same under a token bucket of retries
	Ideal       System = "ideal"    // all that the partner can take, by a sender that knows everything
)

// Down is how a partner is down.
type OutageKind string

// The ways.
const (
	RefusesConnections OutageKind = "refuse" // connections are refused
	NeverAnswers       OutageKind = "silent" // nothing answers
	AnswersErrors      OutageKind = "error"  // each call is answered 500
	RequestsWait       OutageKind = "wait"   // each call is told the wait until the return
)

// Params are one point of an experiment's grid. Times are milliseconds, rates are per second, shares run from
// 0 to 1.
type Params struct {
	System           System
	Senders          int
	Partners         int
	Endpoints        int     // of each partner
	Load             float64 // new messages, over all partners
	Limit            float64 // calls that each partner states, over all senders; 0: its load / 0.7
	LimitWindow      float64 // the limit is counted in spans of this length, and a wait told to their end; 0: over any second
	ReportsLimit     bool    // the limit is told in each answer; else it stands in the contract alone
	Headroom         float64 // what a partner can do, as a multiple of its limit
	MaxQueue         float64 // how much work may wait there
	Latency          float64
	LatencySigma     float64 // of the logarithm of the latency
	AnnouncedWarmUp  float64 // what the senders are told of its warming up
	WarmUpDuration   float64 // and what it takes
	ColdCapacity     float64
	OverloadMultiple float64 // load, as a multiple of what it can do, that
	OverloadWindow   float64 // after so long pushes a partner over;
	OverloadOutage   float64 // it is down for so long then; 0: it does not fall
	MaxConns         int     // connections that an endpoint holds; 0: any number
	DialTime         float64

	BeforeOutage       float64 // before the outage of partner 0
	Outage             float64
	OutageShare        float64 // of its endpoints
	OutageKind         OutageKind
	AfterOutage        float64 // that the run goes on from its return
	LimitMultipleAfter float64 // its limit then, as a multiple
	RelapseDelay       float64 // it falls once more so long after its return; 0: it does not,
	RelapseDuration    float64 // and for so long
	Restarts           int     // senders that are killed in the middle of the outage
	DelistsDown        bool    // discovery takes what is down off its list, and puts it back
	MaxListDelay       float64 // its news reaches each sender within this time

	MaxTries            int
	HonourShare         float64 // share of clients that come when they were told,
	BackoffShare        float64 // and of those that back off by their own measure; the rest comes at once:
	ImmediateRetryDelay float64
	MarksRetries        bool    // second tries are marked
	ReturnBurst         float64 // new messages for partner 0 at the moment of its return, as seconds of its load

	Deadline      float64
	Aim           float64
	CallSlots     int
	MaxHeld       int
	MaxRetryAfter float64
	Batch         int
	OwnLimits     bool // endpoints have limits of their own
}

// settings are what the senders start with.
func (p *Params) settings(index int) policy.Settings {
	x1 := -1
	if p.ReportsLimit {
		x1 = 1
	}
	return policy.Settings{
		Index: index, Senders: p.Senders, Zones: []string{"a"}, MinStepInterval: 1,
		Classes:   []policy.Class{{Name: "note", Aim: p.Aim, Deadline: p.Deadline, Worth: 1, LateWorth: 0.4, Effect: policy.Keyed, DedupWindow: p.Deadline}},
		Tenants:   []policy.Tenant{{Name: "acme", Quota: 1e6}},
		Kinds:     []policy.DestKind{{Name: "one", OwnLimits: p.OwnLimits, Batch: max(p.Batch, 1)}},
		CallSlots: p.CallSlots, WorthHalves: true, OverShareWorth: 1, AllowanceIndex: -1, LimitIndex: x1, MarksResubmissions: p.MarksRetries,
		SendsRetryAfter: true, MaxRetryAfter: p.MaxRetryAfter, MaxAttempts: 6, MaxHeld: p.MaxHeld, StreamsPerConn: 1,
		KeepAlive: 15000, DialTimeout: 500, AnswerSlack: 20, DrainGrace: 500, WarmUpDuration: p.AnnouncedWarmUp, ColdCapacity: p.ColdCapacity,
		OverloadMultiple: p.OverloadMultiple, OverloadWindow: p.OverloadWindow,
	}
}

// limitOf is the limit of each partner.
func (p *Params) limitOf() float64 {
	if p.Limit > 0 {
		return p.Limit
	}
	return p.Load / float64(p.Partners) / 0.7
}

// Length is how long a run goes on.
func (p *Params) Duration() float64 { return p.BeforeOutage + p.Outage + p.AfterOutage }

// Back is when partner 0 is back.
func (p *Params) ReturnTime() float64 { return p.BeforeOutage + p.Outage }
