// Package storm sees retry storms and damps them. When a partner comes back from an outage, all that was turned
// away is handed in again, and every sender has a backlog: the sum is far over what the partner has stated. For
// each destination a Guard follows what calls and clients do (calls that fail together, the moment of return,
// second tries and refusals that are handed in again), and while there is a storm it says three things: the
// pace that this sender keeps, the connections that it may open a second, and for each refusal when its client
// should come again, as a reservation (book.go), so that no second is promised to more than can be served.
//
// It decides nothing of what is refused, sent or repeated: that is package policy's. It has no clock, no I/O
// and no goroutine; times are milliseconds on the caller's clock, rates are per second. In calm it says
// nothing, and the ordinary path is as if there were no Guard.
package storm

import (
	"math"
	"math/rand/v2"
	"slices"

	"sliptide/policy"
)

// Tuned values. docs/design/storms.md says why each is what it is.
const (
	failTogether = 3       // so many calls that fail, without a success between them,
	silentFor    = 1500.0  // and none for so long, are an outage
	fullTogether = 8       // refused calls show that somebody is there: so many, without a success between them
	fullFor      = 4000.0  // and none for so long, are an outage, unless it has just come back: it is cold then
	longWait     = 3000.0  // a told wait of so long is one, too: all that were told it come back at its end
	settleLeast  = 10000.0 // a return is watched at least so long after the first success,
	settleMost   = 60000.0 // and at most
	drainIn      = 1000.0  // it is over once what is held would go out in this time
	fallCut      = 0.7     // each relapse in one storm lowers the pace to this part,
	fallLeast    = 0.35    // down to this
	relapse      = 30000.0 // an outage so soon after a return is a relapse
	meterTau     = 3000.0  // memory of the rate meters
	surgeShare   = 0.5     // share of second tries from which it is a surge:
	surgeLeast   = 5       // so many of them at least (as a rate times meterTau),
	surgeForeign = 2.0     // and so many times the refusals of this sender's own: they were turned away elsewhere
	surgeFor     = 3000.0  // a surge is over when it has not shown for so long
	retryShare   = 0.2     // part of the pace that second tries are promised even where first tries would fill it
	chance       = 2.5     // standard deviations kept free where many senders call by chance
	growAfter    = 11000.0 // so long after the return a pace may grow again, by
	growBy       = 1.1     // this a second, as long as nothing is refused: other senders may need less than their part,
	growTo       = 4.0     // up to this times it
	quietFor     = 2000.0  // without a refused call
	cutBy        = 0.8     // refused calls lower it, once in
	cutEvery     = 1000.0  // this time: what the partner takes may be less than it has stated,
	cutLeast     = 0.2     // down to this part
	unknownTimes = 2.0     // without a stated limit: this times the own rate before,
	unknownLeast = 5.0     // and at least so much
	dialShare    = 0.5     // connections a second, as part of the pace,
	dialLeast    = 1.0     // and at least
	asksMost     = 4096    // refusals that are remembered, at most
	horizonMost  = 60000.0 // a reservation lies no further ahead, whatever the settings allow
	horizonNone  = 2000.0  // and so far where they say nothing
	lookEvery    = 250.0   // between two looks at a storm
)

// Phase is what a destination goes through.
type Phase uint8

// The phases.
const (
	Calm      Phase = iota
	Outage          // its calls fail together
	Returning       // it has answered since, and what has piled up goes out
	Surge           // it was not seen to fail, but second tries pour in that others turned away
)

// String is the phase in a word.
func (p Phase) String() string {
	return [...]string{"calm", "outage", "returning", "surge"}[p]
}

// Settings are what a Guard starts with.
type Settings struct {
	Senders       int
	MaxRetryAfter float64         // bound of what clients are told; 0 = none
	Limits        map[int]float64 // calls a second that the operators state, by destination
	LimitIndex    int             // position of the limit in a report; -1: none
	RatingIsRate  bool            // Endpoint.Rating is a rate in calls a second
	OwnLimits     []bool          // by kind: endpoints are limited each for itself
}

// Order is what a storm asks of the sender. A zero Pace or Dials means none is asked.
type Throttle struct {
	Dest     int
	Paces    []Pace
	DialRate float64 // connections a second that may be opened to its endpoints
	Phase    Phase
	Held     int // messages held there
}

// Pace is the most that goes to one route: calls a second, evenly spaced.
type Pace struct {
	Endpoint uint32 // 0: the limit that the destination's endpoints share
	Rate     float64
}

// Guard follows all destinations of one sender. A nil Guard sees no storm. It is not safe for concurrent use.
type Guard struct {
	set    Settings
	rng    *rand.Rand
	dests  map[int]*dest
	eps    map[uint32]*endpoint
	stormy map[int]*dest // not calm, or with an order to give
	asks   asks
	stats  Stats
	news   bool    // an order is to be given
	lookAt float64 // the next look at a storm
}

// Stats count what a Guard has seen and given.
type Stats struct {
	Storms     int // outages and surges that began
	Reserved   int // come-back times that are reservations
	Unreserved int // refusals for which no second was free
	OnTime     int // refusals handed in again when told or later,
	Early      int // and before that
}

type endpoint struct {
	dest  *dest
	apart bool
	limit float64 // its own, as told
}

// dest is what is known of one destination.
type dest struct {
	id       int
	phase    Phase
	since    float64 // of the phase
	lastOK   float64
	fails    int // in a row
	fulls    int // of these, refused calls
	failAt   float64
	failEp   uint32
	falls    int
	grown    float64 // what the pace has grown to, as a multiple
	fullAt   float64 // the last refused call
	cutAt    float64 // and when one last lowered the pace
	oks      meter
	mute     bool    // the last failure was no answer
	backAt   float64 // the last return
	surgeAt  float64 // second tries poured in last
	waits    float64 // told: nothing is sent before
	told     float64 // limit that all endpoints share, as told; 0 = none
	before   float64 // own rate of calls before the storm
	calls    meter
	fresh    meter // first tries handed in
	again    meter // second tries
	refused  meter // refusals of this sender
	held     int
	eps      []uint32 // with limits of their own
	book     *book
	ordered  bool // an order stands
	dirty    bool // and is to be told anew
	lookAt   float64
	blockTil float64 // what an earlier life may have promised
}

// meter is an exponentially decaying rate a second.
type meter struct{ v, at float64 }

func (m *meter) add(now, n float64) { m.v, m.at = m.get(now)+n*1000/meterTau, now }

func (m *meter) get(now float64) float64 { return m.v * math.Exp((m.at-now)/meterTau) }

// New returns a Guard in calm.
func New(set Settings, seed uint64) *Guard {
	set.Senders = max(set.Senders, 1)
	return &Guard{
		set: set, rng: rand.New(rand.NewPCG(seed, 0x5f0e1c)), dests: map[int]*dest{}, eps: map[uint32]*endpoint{},
		stormy: map[int]*dest{}, asks: asks{at: map[uint64]ask{}}, lookAt: math.Inf(1),
	}
}

// SettingsOf is what a Guard needs of a sender's settings, with the limits that the operators state.
func SettingsFrom(set *policy.Settings, limits map[int]float64) Settings {
	s := Settings{Senders: set.Senders, MaxRetryAfter: set.MaxRetryAfter, Limits: limits, LimitIndex: set.LimitIndex, RatingIsRate: set.RatingIsRate}
	for _, k := range set.Kinds {
		s.OwnLimits = append(s.OwnLimits, k.OwnLimits)
	}
	return s
}

// Stats returns the counts so far.
func (g *Guard) Stats() Stats {
	if g == nil {
		return Stats{}
	}
	return g.stats
}

// Phase is what a destination goes through.
func (g *Guard) Phase(id int) Phase {
	if d := g.dests[id]; d != nil {
		return d.phase
	}
	return Calm
}

// Listed takes news of the list of endpoints, as the decision module gets it.
func (g *Guard) UpdateEndpoints(now float64, list []policy.Endpoint, full bool) {
	if g == nil {
		return
	}
	if full {
		named := make(map[uint32]bool, len(list))
		for i := range list {
			named[list[i].ID] = true
		}
		for id := range g.eps {
			if !named[id] {
				g.remove(id)
			}
		}
	}
	for i := range list {
		l := &list[i]
		if l.State == policy.Gone {
			g.remove(l.ID)
			continue
		}
		e := g.eps[l.ID]
		if e == nil {
			e = &endpoint{dest: g.dest(l.Dest, now), apart: l.Kind >= 0 && l.Kind < len(g.set.OwnLimits) && g.set.OwnLimits[l.Kind]}
			g.eps[l.ID] = e
			if e.apart {
				e.dest.eps = append(e.dest.eps, l.ID)
			}
			if g.set.RatingIsRate && l.Rating > 0 && !math.IsInf(l.Rating, 0) {
				g.tell(e, l.Rating, true)
			}
		}
		if e.apart && l.State != policy.Ready {
			e.dest.eps = without(e.dest.eps, l.ID)
		} else if e.apart && !slices.Contains(e.dest.eps, l.ID) {
			e.dest.eps = append(e.dest.eps, l.ID)
		}
		g.tellAnew(e.dest)
	}
}

// tellAnew sees that a standing order is given again.
func (g *Guard) tellAnew(d *dest) {
	if d.ordered {
		d.dirty, g.news = true, true
	}
}

// follow puts a destination among those that are looked at.
func (g *Guard) follow(d *dest) {
	g.stormy[d.id] = d
	g.lookAt = min(g.lookAt, d.lookAt)
}

// tell takes a limit; one of the list (first) does not stand against one that the partner told.
func (g *Guard) tell(e *endpoint, limit float64, first bool) {
	at := &e.dest.told
	if e.apart {
		at = &e.limit
	}
	if !first || *at == 0 {
		if *at != limit {
			g.tellAnew(e.dest)
		}
		*at = limit
	}
}

func (g *Guard) remove(id uint32) {
	e := g.eps[id]
	if e == nil {
		return
	}
	delete(g.eps, id)
	e.dest.eps = without(e.dest.eps, id)
	g.tellAnew(e.dest)
}

func without(list []uint32, v uint32) []uint32 {
	if i := slices.Index(list, v); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// dest is the destination of that number. What is calm and empty costs its entry alone: it has no book.
func (g *Guard) dest(id int, now float64) *dest {
	d := g.dests[id]
	if d == nil {
		d = &dest{id: id, lastOK: now, grown: 1, backAt: math.Inf(-1), surgeAt: math.Inf(-1)}
		g.dests[id] = d
	}
	return d
}

// Recall takes up what an earlier life knew of destinations, ahead of the list that names them: an outage or a
// return that went on then goes on now. What that life had promised is not known any more; as long as it may
// bind, nothing is promised before it.
func (g *Guard) Restore(now float64, facts []policy.DestFacts) {
	if g == nil {
		return
	}
	for i := range facts {
		f := &facts[i]
		broken, ramping, lastOK, rampAt := 0, 0, math.Inf(-1), 0.0
		for j := range f.Endpoints {
			e := &f.Endpoints[j]
			switch e.Health {
			case policy.Broken:
				broken++
			case policy.Ramping:
				ramping++
				rampAt = max(rampAt, e.RampStart)
			}
			lastOK = max(lastOK, e.LastOK)
		}
		if len(f.Endpoints) == 0 || broken+ramping < len(f.Endpoints) {
			continue
		}
		d := g.dest(f.Dest, now)
		if f.SharedRoute != nil {
			d.told, d.before, d.waits = f.SharedRoute.AdvertisedLimit, f.SharedRoute.AcceptedRate, f.SharedRoute.WaitUntil
		}
		g.enter(d, Outage, now)
		d.lastOK = min(lastOK, now)
		if ramping > 0 {
			g.enter(d, Returning, now)
			d.since = min(max(rampAt, now-settleLeast), now)
			d.backAt = d.since
		}
		d.blockTil = now + g.horizon()
	}
}

// enter begins a phase.
func (g *Guard) enter(d *dest, p Phase, now float64) {
	if d.phase == Calm && p != Calm {
		g.stats.Storms++
		d.before = max(d.before, d.calls.get(now))
	}
	if p == Outage && now-d.backAt > relapse {
		d.falls = 0
	}
	d.phase, d.since, d.lookAt, d.grown = p, now, now, 1
	d.ordered = true
	g.tellAnew(d)
	if p == Calm {
		d.book, d.before = nil, 0
	}
	g.follow(d)
}

// Outcome takes the end of an attempt that was sent; it passes over whatever is no EvOutcome.
func (g *Guard) RecordOutcome(now float64, e *policy.Event) {
	if g == nil || e.Kind != policy.EvOutcome || e.Outcome == policy.Moot {
		return
	}
	ep := g.eps[e.Endpoint]
	if ep == nil {
		return
	}
	d := ep.dest
	if x := g.set.LimitIndex; x >= 0 && x < len(e.Report) && e.Report[x] > 0 && !math.IsInf(e.Report[x], 0) {
		g.tell(ep, e.Report[x], false)
	}
	if e.RequestedWait > 0 && !ep.apart {
		d.waits = max(d.waits, now+e.RequestedWait)
	}
	d.calls.add(now, 1)
	if e.RequestedWait > longWait && !ep.apart && d.phase != Outage {
		g.fall(d, now)
	}
	if e.Outcome == policy.OK {
		d.fails, d.fulls, d.lastOK = 0, 0, now
		d.oks.add(now, 1)
		if d.phase == Outage {
			d.backAt = now
			g.enter(d, Returning, now)
		}
		return
	}
	if d.fails > 0 && d.failAt == now && d.failEp == e.Endpoint {
		return // the messages of one call fail as one
	}
	d.fails++
	d.failAt, d.failEp = now, e.Endpoint
	if e.Outcome == policy.Full {
		d.fulls++
		d.fullAt = now
		if d.phase == Returning && now-d.cutAt >= cutEvery {
			d.grown, d.cutAt = max(min(d.grown, 1)*cutBy, cutLeast), now
			g.tellAnew(d)
		}
	}
	silent := now - d.lastOK
	d.mute = e.Outcome == policy.ConnectFailed || e.Outcome == policy.Timeout || e.Outcome == policy.Reset
	if d.mute && d.phase == Calm { // it may show only with time
		g.follow(d)
	}
	dead := d.dead(now)
	shut := d.phase != Returning && d.fails >= fullTogether && silent >= fullFor
	if d.phase != Outage && (dead || shut) {
		g.fall(d, now)
	}
}

// dead tells whether calls fail together. A sender that calls seldom has few successes to weigh a failure
// against, and would see an outage only when it is over: no answer where few calls were answered lately is enough.
func (d *dest) dead(now float64) bool {
	n := d.fails - d.fulls
	return now-d.lastOK >= silentFor && (n >= failTogether || n > 0 && d.mute && float64(n) > d.oks.get(now)*meterTau/1000)
}

// fall begins an outage. One that follows a return soon is a relapse: the partner could not take what it got.
func (g *Guard) fall(d *dest, now float64) {
	if now-d.backAt <= relapse {
		d.falls++
	}
	g.enter(d, Outage, now)
}

// Arrived takes a message that was handed in. key names the message over all its tries, 0 if nothing does.
func (g *Guard) RecordArrival(now float64, id int, key uint64, again bool) {
	if g == nil {
		return
	}
	d := g.dests[id]
	if d == nil {
		return
	}
	if a, ok := g.asks.take(key); ok {
		again = true
		if now >= a.until-slot/2 {
			g.stats.OnTime++
		} else {
			g.stats.Early++
			if d.book != nil && a.booked {
				d.book.free(a.until)
			}
		}
	}
	if !again {
		d.fresh.add(now, 1)
		return
	}
	d.again.add(now, 1)
	pour := d.again.get(now)
	if pour*meterTau/1000 < surgeLeast || pour < surgeShare*(pour+d.fresh.get(now)) ||
		pour < surgeForeign*d.refused.get(now) || pour < g.part(d) {
		return
	}
	d.surgeAt = now
	if d.phase == Calm {
		g.enter(d, Surge, now)
	}
}

// Held says by how much the number of messages that the sender holds for a destination has changed. What the
// journal brings back counts before any list has named its destination: a storm that seems to hold nothing is
// over too soon, and the backlog goes out at once.
func (g *Guard) AdjustHeld(now float64, id, by int) {
	if g == nil {
		return
	}
	if d := g.dests[id]; d != nil || by > 0 {
		d = g.dest(id, now)
		d.held = max(d.held+by, 0)
	}
}

// Refused says after how many milliseconds the client of a refused message should come again. least is what the
// decision module says; in calm that is the answer. left is how long the message may still be delivered: one
// that would come too late takes nobody's place. The answer is never under least but for the bound on it.
func (g *Guard) RetryAfter(now float64, id int, key uint64, left, least float64) float64 {
	if g == nil || g.dests[id] == nil {
		return least
	}
	d := g.dests[id]
	d.refused.add(now, 1)
	after, booked := least, false
	if d.phase != Calm {
		after, booked = g.comeBack(d, now, left, least)
	}
	g.asks.put(key, ask{now + after, booked})
	return after
}

// comeBack reserves the earliest moment that is free.
func (g *Guard) comeBack(d *dest, now, left, least float64) (after float64, booked bool) {
	horizon := g.horizon()
	if d.book == nil {
		d.book = &book{}
	}
	earliest := max(now+least, d.waits, d.blockTil-slot)
	if at, ok := d.book.reserve(now, earliest, now+min(horizon, left)-slot, g.room(d, now)); ok {
		g.stats.Reserved++
		return min(at+slot*g.rng.Float64()-now, horizon), true
	}
	g.stats.Unreserved++
	lo := min(max(least, horizon/2, earliest-now), horizon) // a told wait binds those without a place, too
	return lo + (horizon-lo)*g.rng.Float64(), false
}

// horizon is how far ahead clients may be told to come again.
func (g *Guard) horizon() float64 {
	if g.set.MaxRetryAfter <= 0 {
		return horizonNone
	}
	return min(g.set.MaxRetryAfter, horizonMost)
}

// room is the retry budget: how many second tries a second may be promised, which is what first tries leave of
// the pace, and a part of it in any case.
func (g *Guard) room(d *dest, now float64) float64 {
	rate := g.part(d)
	return max(rate-d.fresh.get(now), retryShare*rate)
}

// part is the pace of this sender at a destination, over all its routes.
func (g *Guard) part(d *dest) (rate float64) {
	for _, p := range g.paces(d) {
		rate += p.Rate
	}
	return rate
}

// paces is what may go to each route of a destination while there is a storm.
func (g *Guard) paces(d *dest) []Pace {
	stated := g.set.Limits[d.id]
	if len(d.eps) == 0 {
		return []Pace{{0, g.rate(d, stricter(d.told, stated), 1)}}
	}
	var list []Pace
	for _, id := range d.eps {
		limit := stricter(g.eps[id].limit, stated/float64(len(d.eps)))
		list = append(list, Pace{id, g.rate(d, limit, len(d.eps))})
	}
	return list
}

// stricter is the lower of two limits of which 0 is none.
func stricter(a, b float64) float64 {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// rate is this sender's part of a limit. Few senders space their calls evenly: each may be one call over in any
// second, and that call is kept free. Many senders with less than a call a second each add up by chance, and the
// deviations of a Poisson count are kept free. Which of the two leaves more is right.
func (g *Guard) rate(d *dest, limit float64, routes int) float64 {
	n := float64(g.set.Senders)
	cut := max(math.Pow(fallCut, float64(d.falls)), fallLeast)
	if limit <= 0 {
		return max(unknownTimes*d.before, unknownLeast) / float64(routes) * cut
	}
	root := (math.Sqrt(chance*chance+4*limit) - chance) / 2
	return min(max(limit/n-1, root*root/n)*cut*d.grown, limit)
}

// Orders returns what has changed since the last call: paces and connections while there is a storm, and once
// their end. It is called ahead of each step of the decision module.
func (g *Guard) Throttles(now float64) (list []Throttle) {
	if g == nil || !g.news && now < g.lookAt { // a step costs nothing for storms that stand
		return nil
	}
	g.news, g.lookAt = false, math.Inf(1)
	for id, d := range g.stormy {
		if now >= d.lookAt {
			d.lookAt = now + lookEvery
			g.look(d, now)
		}
		if d.dirty {
			list = append(list, g.order(d))
		}
		if d.phase == Calm && d.fails == 0 {
			delete(g.stormy, id)
			continue
		}
		g.lookAt = min(g.lookAt, d.lookAt)
	}
	slices.SortFunc(list, func(a, b Throttle) int { return a.Dest - b.Dest })
	return list
}

// order is what is asked at a destination now.
func (g *Guard) order(d *dest) Throttle {
	d.dirty = false
	o := Throttle{Dest: d.id, Phase: d.phase, Held: d.held, Paces: g.paces(d)}
	if d.phase != Calm {
		o.DialRate = max(dialShare*g.part(d), dialLeast)
		return o
	}
	d.ordered = false
	for i := range o.Paces {
		o.Paces[i].Rate = 0
	}
	return o
}

// look ends a storm whose time has come.
func (g *Guard) look(d *dest, now float64) {
	age := now - d.since
	drained := float64(d.held) <= max(g.part(d)*drainIn/1000, 1)
	switch d.phase {
	case Returning:
		most := 1.0
		if age >= growAfter {
			most = growTo
		}
		if now-d.fullAt >= quietFor && d.grown < most {
			d.grown = min(d.grown*math.Pow(growBy, lookEvery/1000), most)
			g.tellAnew(d)
		}
		if age >= settleMost || age >= settleLeast && drained {
			g.enter(d, Calm, now)
		}
	case Surge:
		if now-d.surgeAt >= surgeFor && drained || age >= settleMost {
			g.enter(d, Calm, now)
		}
	case Calm:
		if d.dead(now) {
			g.fall(d, now)
		}
	case Outage: // of which nothing is tried any more: the next call tells
		if now-max(d.failAt, d.since) >= settleMost && d.held == 0 {
			d.fails, d.fulls = 0, 0 // or it would be an outage again at the next look
			g.enter(d, Calm, now)
		}
	}
}

// Next is when Orders is due again, +Inf if never.
func (g *Guard) NextDue() float64 {
	if g == nil {
		return math.Inf(1)
	}
	return g.lookAt
}
