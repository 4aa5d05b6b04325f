package world

import (
	"math"
	"reflect"
	"testing"
)

// base is a partner that is down for 15 s under three senders, half of the clients deaf.
func base() Params {
	return Params{System: Sliptide, Senders: 3, Partners: 1, Endpoints: 1, Load: 140, Limit: 200, Headroom: 1.25, MaxQueue: 2000,
		Latency: 30, LatencySigma: 0.3, AnnouncedWarmUp: 9000, WarmUpDuration: 9000, ColdCapacity: 0.25, OverloadMultiple: 1.5, OverloadWindow: 3000, DialTime: 1, BeforeOutage: 5000,
		Outage: 15000, OutageShare: 1, OutageKind: RefusesConnections, AfterOutage: 14000, MaxTries: 3, HonourShare: 0.5, ImmediateRetryDelay: 50, MarksRetries: true, ReturnBurst: 1,
		Deadline: 20000, Aim: 4000, CallSlots: 20, MaxHeld: 200, MaxRetryAfter: 5000, Batch: 1, MaxListDelay: 1000}
}

// over counts the seconds with more calls than the limit, of the first eleven from the return.
func over(p Params, r *Run) (n, most, calls int) {
	back := int(p.ReturnTime() / 1000)
	for i := back; i < back+11; i++ {
		c := r.Seconds[i].Calls
		calls += c
		most = max(most, c)
		if float64(c) > r.Limit {
			n++
		}
	}
	return n, most, calls
}

// A run is its parameters and its seed.
func TestSameSeedSameRun(t *testing.T) {
	a, b, c := New(base(), 5).Run(nil), New(base(), 5).Run(nil), New(base(), 6).Run(nil)
	if !reflect.DeepEqual(a.Seconds, b.Seconds) || a.Events != b.Events {
		t.Error("the same seed gives another run")
	}
	if reflect.DeepEqual(a.Seconds, c.Seconds) {
		t.Error("another seed gives the same run")
	}
}

// hard are the cases that a storm guard exists for: each way down, each habit, and each way back.
var hard = map[string]func(*Params){
	"as it is":                     func(*Params) {},
	"clients honour what is told":  func(p *Params) { p.HonourShare = 1 },
	"clients are deaf":             func(p *Params) { p.HonourShare = 0 },
	"clients back off":             func(p *Params) { p.HonourShare, p.BackoffShare = 0, 1 },
	"second tries are not marked":  func(p *Params) { p.MarksRetries = false },
	"a clump of three seconds":     func(p *Params) { p.ReturnBurst = 3 },
	"silent":                       func(p *Params) { p.OutageKind = NeverAnswers },
	"errors":                       func(p *Params) { p.OutageKind = AnswersErrors },
	"tells the wait to its return": func(p *Params) { p.OutageKind = RequestsWait },
	"one endpoint of four":         func(p *Params) { p.Endpoints, p.OutageShare = 4, 0.25 },
	"falls once more":              func(p *Params) { p.RelapseDelay, p.RelapseDuration = 3000, 3000 },
	"23% of its capacity":          func(p *Params) { p.ColdCapacity = 0.23 },
	"its limit has fallen":         func(p *Params) { p.LimitMultipleAfter, p.ReportsLimit = 0.5, true },
	"one sender restarted":         func(p *Params) { p.Restarts = 1 },
	"off the list meanwhile":       func(p *Params) { p.DelistsDown, p.Endpoints = true, 2 },
	"limits of each endpoint":      func(p *Params) { p.OwnLimits, p.Endpoints, p.ReportsLimit = true, 4, true },
	"bulk calls":                   func(p *Params) { p.Batch = 5 },
	"limit in spans":               func(p *Params) { p.LimitWindow = 1000 },
	"thirty senders":               func(p *Params) { p.Senders = 30 },
	"two hundred senders":          func(p *Params) { p.Senders = 200 },
	"falls over what is too much":  func(p *Params) { p.OverloadOutage = 4000 },
}

// From its first second back a partner is never called more than it has stated; nor is it left alone.
func TestReturnsStayWithinTheLimit(t *testing.T) {
	for name, change := range hard {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := base()
			change(&p)
			for seed := range uint64(3) {
				r := New(p, seed).Run(nil)
				n, most, calls := over(p, r)
				if n > 0 {
					t.Errorf("seed %d: %d seconds over the limit of %v, up to %d calls", seed, n, r.Limit, most)
				}
				if calls < int(r.Limit) {
					t.Errorf("seed %d: %d calls in eleven seconds", seed, calls)
				}
				if r.Overloads > 0 {
					t.Errorf("seed %d: pushed over %d times", seed, r.Overloads)
				}
			}
		})
	}
}

// The limit is not kept by silence: when the partner is warm, its goodput is back, however many senders.
func TestGoodputIsBack(t *testing.T) {
	for _, row := range []struct {
		senders int
		down    OutageKind
	}{{3, RefusesConnections}, {30, RefusesConnections}, {200, RefusesConnections}, {3, RequestsWait}} {
		p := base()
		p.Senders, p.OutageKind = row.senders, row.down
		for seed := range uint64(3) {
			r := New(p, seed).Run(nil)
			done, at := 0, int(p.ReturnTime()/1000)+9
			for _, s := range r.Seconds[at : at+4] {
				done += s.Delivered
			}
			if float64(done)/4 < 0.95*p.Load {
				t.Errorf("%+v, seed %d: %.0f delivered a second in the tenth and on, load %v", row, seed, float64(done)/4, p.Load)
			}
		}
	}
}

// The check of the limit can fail: senders that only back off break the limit, and push a partner over.
func TestLimitIsBrokenWithoutAGuard(t *testing.T) {
	p := base()
	p.System, p.Senders = Backoff, 30
	if n, _, _ := over(p, New(p, 1).Run(nil)); n == 0 {
		t.Error("thirty senders that back off stay within the limit")
	}
	p.OverloadOutage = 4000
	if r := New(p, 1).Run(nil); r.Overloads == 0 {
		t.Error("nothing pushes this partner over")
	}
	p = base()
	p.System, p.Senders = ModuleOnly, 30
	worst := 0
	for seed := range uint64(6) {
		n, _, _ := over(p, New(p, seed).Run(nil))
		worst = max(worst, n)
	}
	if worst == 0 {
		t.Error("the module alone stays within the limit with thirty senders in six seeds")
	}
}

// A storm at one partner leaves the others as they are: their p99 moves by less than 5%.
func TestStormLeavesOthersAlone(t *testing.T) {
	p := base()
	p.Partners, p.Load, p.Limit = 5, 200, 100
	calm := p
	calm.Outage = 0
	var with, without int64
	for seed := range uint64(5) {
		with += New(p, seed).Run(nil).OtherLatency.ValueAtQuantile(99)
		without += New(calm, seed).Run(nil).OtherLatency.ValueAtQuantile(99)
	}
	if math.Abs(float64(with-without)) > 0.05*float64(without) {
		t.Errorf("p99 of the others, over five seeds: %d ms with the storm, %d without", with, without)
	}
}

// Each message ends at most once, no sender holds more than it may, and no keyed message is lost sight of.
func TestEachMessageEndsOnce(t *testing.T) {
	for _, sys := range []System{Sliptide, ModuleOnly, Backoff, RetryBudget, Ideal} {
		p := base()
		p.System, p.Restarts, p.OutageKind = sys, 2, NeverAnswers
		w := New(p, 3)
		r := w.Run(nil)
		held := 0
		for _, n := range w.nodes {
			if len(n.held) > p.MaxHeld {
				t.Errorf("%s: a sender holds %d", sys, len(n.held))
			}
			held += len(n.held)
		}
		if r.Delivered == 0 || r.Delivered+held > r.Submitted+r.RunTwice {
			t.Errorf("%s: %d delivered and %d held of %d", sys, r.Delivered, held, r.Submitted)
		}
	}
}

// The limiter lets a stated rate through and no more, in any second or in spans.
func TestLimiter(t *testing.T) {
	for _, span := range []float64{0, 1000, 5000} {
		l := limiter{rate: 10, span: span}
		taken := 0
		for at := 0.0; at < 20000; at += 7 {
			wait := l.take(at)
			if wait == 0 {
				taken++
			} else if span > 0 && math.Mod(at+wait, span) > 1e-6 && span-math.Mod(at+wait, span) > 1e-6 {
				t.Fatalf("span %v: told to wait until %v", span, at+wait)
			}
		}
		if taken < 195 || taken > 201 {
			t.Errorf("span %v: %d calls taken in 20 s at 10 a second", span, taken)
		}
	}
}

// The queue gives events by time, and equal times in the order of their making.
func TestQueueOrder(t *testing.T) {
	var q queue
	for i := range 1000 {
		q.push(event{at: float64((i * 7919) % 100), n: i})
	}
	last := event{at: -1}
	for len(q.list) > 0 {
		e := q.pop()
		if e.at < last.at || e.at == last.at && e.n < last.n {
			t.Fatalf("%v/%d after %v/%d", e.at, e.n, last.at, last.n)
		}
		last = e
	}
}

func BenchmarkRun(b *testing.B) {
	var events uint64
	for i := range b.N {
		events += New(base(), uint64(i)).Run(nil).Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}
