package world

import (
	"math"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"

	"sliptide/policy"
)

// Second holds the counters of partner 0 for one second of a run.
type Second struct {
	Submitted int // new messages
	Delivered int
	Calls     int // calls that reached the partner
	Retries   int // resubmissions by clients
	Refusals  int // of messages, by senders; calls that the partner refuses do not count
}

// Run holds the results of a run, over all partners unless a field says otherwise. Latencies are milliseconds from a
// message's first submission to its delivery.
type Run struct {
	Seed            uint64
	Events          uint64
	Seconds         []Second // of partner 0
	Submitted       int
	Delivered       int
	Retries         int                     // as in Second
	Refusals        int                     // as in Second
	RanTwice        int                     // messages that ran more than once
	Overloads       int                     // overload collapses, over all partners
	Limit           float64                 // of partner 0, at the end of the run
	AffectedLatency *hdrhistogram.Histogram // of messages to partner 0
	OtherLatency    *hdrhistogram.Histogram // of messages to all other partners
}

// World is one run of the emulator. It is not safe for concurrent use.
type World struct {
	params        Params
	queue         queue
	rng           *rand.Rand
	latency       distuv.LogNormal
	partners      []*partner
	endpoints     map[uint32]*endpoint
	senders       []*sender
	lastKey       uint64
	result        Run
	otherPartners Second          // counters of all other partners, over the whole run
	idealNextCall map[int]float64 // by partner: when ideal senders may make the next call
	fleet         *fleet          // nil unless System is Fleet
}

// New returns a world at time zero.
func New(p Params, seed uint64) *World {
	src := rand.NewPCG(seed, 0x1ab)
	w := &World{params: p, rng: rand.New(src), endpoints: map[uint32]*endpoint{}, idealNextCall: map[int]float64{}}
	// A log-normal distribution with the mean p.Latency: service times have a long tail and are never negative.
	w.latency = distuv.LogNormal{Mu: math.Log(p.Latency) - p.LatencySigma*p.LatencySigma/2, Sigma: p.LatencySigma,
		Src: rand.NewPCG(seed, 0x1a7)}
	w.result = Run{Seed: seed, Seconds: make([]Second, int(p.Duration()/1000)+1), Limit: p.partnerLimit(),
		AffectedLatency: hdrhistogram.New(1, 600_000, 3), OtherLatency: hdrhistogram.New(1, 600_000, 3)}
	for i := range p.Partners {
		pa := newPartner(w, i)
		w.partners = append(w.partners, pa)
		for _, e := range pa.endpoints {
			w.endpoints[e.id] = e
		}
	}
	if p.System == Fleet {
		w.fleet = newFleet(w)
	}
	for i := range p.Senders {
		w.senders = append(w.senders, newSender(w, i))
	}
	for _, s := range w.senders {
		s.receiveList(0, -1)
	}
	w.queue.push(event{at: 1, kind: evNewMessage})
	if p.Outage > 0 {
		w.queue.push(event{at: p.BeforeOutage, kind: evOutage})
		for i := range min(p.Restarts, p.Senders) {
			w.queue.push(event{at: p.BeforeOutage + p.Outage/2, kind: evRestart, sender: w.senders[i]})
		}
		if p.RelapseDelay > 0 {
			w.queue.push(event{at: p.ReturnTime() + p.RelapseDelay, kind: evOutage, duration: p.RelapseDuration})
		}
	}
	return w
}

// Run runs the simulation and returns its results. It calls stop every 2^14 events and ends early if that returns
// true; stop may be nil.
func (w *World) Run(stop func() bool) *Run {
	length := w.params.Duration()
	for len(w.queue.heap) > 0 {
		e := w.queue.pop()
		if e.at > length {
			break
		}
		w.result.Events++
		if w.result.Events%(1<<14) == 0 && stop != nil && stop() {
			break
		}
		w.dispatch(&e)
	}
	for _, p := range w.partners {
		w.result.Overloads += p.overloads
	}
	return &w.result
}

// dispatch handles an event. It ignores a sender's step or timer that another one has replaced.
func (w *World) dispatch(e *event) {
	now := e.at
	switch e.kind {
	case evNewMessage:
		w.createNext(now)
	case evSubmit:
		w.submit(now, e.msg)
	case evStep:
		if e.at == e.sender.stepAt {
			e.sender.step(now)
		}
	case evTimer:
		if uint32(e.arg) == e.sender.timerToken {
			e.sender.events = append(e.sender.events, policy.Event{Kind: policy.EvTimer, Token: e.sender.timerToken})
			e.sender.scheduleStep(now)
		}
	case evGuardDue:
		e.sender.guardDueAt = now
		e.sender.scheduleStep(now)
	case evDialled:
		w.finishDial(now, e.call)
	case evCallArrives:
		w.callArrives(now, e.call)
	case evCallEnds:
		e.call.sender.callEnded(now, e.call)
	case evOutage:
		length := e.duration
		if length == 0 {
			length = w.params.Outage
		}
		w.partners[0].goDown(now, length, w.params.OutageShare)
	case evReturn:
		w.partnerReturns(now, w.partners[e.arg])
	case evList:
		e.sender.receiveList(now, e.arg)
	case evFleet:
		e.do(now)
	case evRestart:
		e.sender.restart(now, 600)
	}
}

// partnerReturns brings a partner back. At the end of partner 0's first outage its new limit takes effect, and a
// burst of new messages arrives, which stands for messages that were kept back upstream.
func (w *World) partnerReturns(now float64, p *partner) {
	first := p.id == 0 && math.Abs(now-w.params.ReturnTime()) < 1e-6
	if first && w.params.LimitMultipleAfter > 0 {
		p.limit *= w.params.LimitMultipleAfter
		for _, l := range p.limiters {
			l.rate *= w.params.LimitMultipleAfter
		}
		w.result.Limit = p.limit
	}
	p.comeBack(now)
	if first {
		for range int(w.params.ReturnBurst * w.params.Load / float64(w.params.Partners)) {
			w.createMessage(now, 0)
		}
	}
}

// sendListUpdates sends the endpoint list of a partner to each sender, with a random delay for each.
func (w *World) sendListUpdates(now float64, partner int) {
	for _, s := range w.senders {
		w.queue.push(event{at: now + w.rng.Float64()*w.params.MaxListDelay, kind: evList, sender: s, arg: partner})
	}
}

// finishDial ends a dial. It fails if the endpoint has no connection left, or is down in a way that allows none; an
// endpoint that answers with errors or requests a wait still accepts connections. The dial of a sender that has
// restarted since is dropped.
func (w *World) finishDial(now float64, c *call) {
	e := c.endpoint
	switch {
	case c.incarnation != c.sender.incarnation:
	case e.down && w.params.OutageKind == NeverAnswers:
		w.endCall(now, c, policy.ConnectFailed, 0, min(c.sender.settings.DialTimeout, c.timeout))
	case e.down && w.params.OutageKind == RefusesConnections, w.params.MaxConns > 0 && e.conns >= w.params.MaxConns:
		w.endCall(now, c, policy.ConnectFailed, 0, 0)
	default:
		e.conns++
		c.connected = true
		w.callArrives(now, c)
	}
}

// callArrives handles the last byte of a call at its endpoint. A call whose answer would come after its timeout ends
// with Timeout, although its messages may have run.
func (w *World) callArrives(now float64, c *call) {
	if c.incarnation != c.sender.incarnation {
		return
	}
	c.connected = true
	o, requestedWait, delay := c.endpoint.handleCall(now, len(c.msgs))
	if o == policy.OK {
		for _, m := range c.msgs {
			if m.runs++; m.runs == 2 {
				w.result.RanTwice++
			}
		}
	}
	if remaining := c.sentAt + c.timeout - now; delay > remaining {
		o, requestedWait, delay = policy.Timeout, 0, max(remaining, 0)
	}
	w.endCall(now, c, o, requestedWait, delay)
}

// endCall schedules the end of a call at its sender, after a delay in milliseconds.
func (w *World) endCall(now float64, c *call, o policy.Outcome, requestedWait, delay float64) {
	c.outcome, c.requestedWait = o, requestedWait
	w.queue.push(event{at: now + delay, kind: evCallEnds, call: c})
}

// recordDelivery counts the first delivery of a message.
func (w *World) recordDelivery(now float64, m *message) {
	if m.delivered {
		return
	}
	m.delivered = true
	w.result.Delivered++
	w.countersFor(now, w.partners[m.partner]).Delivered++
	h := w.result.OtherLatency
	if m.partner == 0 {
		h = w.result.AffectedLatency
	}
	h.RecordValue(int64(math.Round(max(now-m.createdAt, 1))))
}

// countersFor returns the counters for events at a partner now.
func (w *World) countersFor(now float64, p *partner) *Second {
	if i := int(now / 1000); p.id == 0 && i < len(w.result.Seconds) {
		return &w.result.Seconds[i]
	}
	return &w.otherPartners
}

// NextCallTime returns when an ideal sender may call a partner, and reserves the call if that is now. All ideal
// senders together call at the partner's limit or capacity, whichever is lower. They know the partner's state and
// each other's calls, as no real sender can: their goodput is the upper bound.
func (w *World) NextCallTime(now float64, dest int) (at float64) {
	p := w.partners[dest]
	if p.downCount == len(p.endpoints) {
		return max(p.downUntil, now+1)
	}
	next := w.idealNextCall[dest]
	if next > now {
		return next
	}
	// A delay of up to 2 ms is made up for: senders step at most once a millisecond, and late steps would lower the rate.
	w.idealNextCall[dest] = max(next, now-2) + 1000/min(p.limit, p.capacity(now))
	return now
}

// EndpointUp reports whether an endpoint is up.
func (w *World) EndpointUp(endpoint uint32) bool { return !w.endpoints[endpoint].down }
