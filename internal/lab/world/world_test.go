package world

import (
	"math"
	"reflect"
	"testing"
)

// baseParams returns parameters of a partner that is down for 15 s, with three senders; half of the clients retry at
// once.
func baseParams() Params {
	return Params{System: Sliptide, Senders: 3, Partners: 1, Endpoints: 1, Load: 140, Limit: 200, Headroom: 1.25, MaxQueue: 2000,
		Latency: 30, LatencySigma: 0.3, AnnouncedWarmUp: 9000, WarmUpDuration: 9000, ColdCapacity: 0.25, OverloadMultiple: 1.5,
		OverloadWindow: 3000, DialTime: 1, BeforeOutage: 5000, Outage: 15000, OutageShare: 1, OutageKind: RefusesConnections,
		AfterOutage: 14000, MaxSubmissions: 3, HonourShare: 0.5, ImmediateRetryDelay: 50, MarksRetries: true, ReturnBurst: 1,
		Deadline: 20000, Aim: 4000, CallSlots: 20, MaxHeld: 200, MaxRetryAfter: 5000, Batch: 1, MaxListDelay: 1000}
}

// callsAfterReturn returns, for the first eleven seconds after the return, the number of seconds with more calls than
// the limit, the calls of the busiest second, and all calls.
func callsAfterReturn(p Params, r *Run) (secondsOver, maxCalls, calls int) {
	back := int(p.ReturnTime() / 1000)
	for i := back; i < back+11; i++ {
		c := r.Seconds[i].Calls
		calls += c
		maxCalls = max(maxCalls, c)
		if float64(c) > r.Limit {
			secondsOver++
		}
	}
	return secondsOver, maxCalls, calls
}

// Parameters and seed determine a run.
func TestRunDependsOnParamsAndSeedOnly(t *testing.T) {
	a, b, c := New(baseParams(), 5).Run(nil), New(baseParams(), 5).Run(nil), New(baseParams(), 6).Run(nil)
	if !reflect.DeepEqual(a.Seconds, b.Seconds) || a.Events != b.Events {
		t.Error("two runs with the same seed differ")
	}
	if reflect.DeepEqual(a.Seconds, c.Seconds) {
		t.Error("runs with different seeds are the same")
	}
}

// returnCases holds the cases that the storm guard must handle: kinds of outages, of retry behaviour and of returns.
var returnCases = map[string]func(*Params){
	"base parameters":                func(*Params) {},
	"clients honour Retry-After":     func(p *Params) { p.HonourShare = 1 },
	"clients retry at once":          func(p *Params) { p.HonourShare = 0 },
	"clients back off":               func(p *Params) { p.HonourShare, p.BackoffShare = 0, 1 },
	"retries are not marked":         func(p *Params) { p.MarksRetries = false },
	"burst of three seconds of load": func(p *Params) { p.ReturnBurst = 3 },
	"no answers":                     func(p *Params) { p.OutageKind = NeverAnswers },
	"errors":                         func(p *Params) { p.OutageKind = AnswersErrors },
	"answers request the wait":       func(p *Params) { p.OutageKind = RequestsWait },
	"one endpoint of four":           func(p *Params) { p.Endpoints, p.OutageShare = 4, 0.25 },
	"second outage":                  func(p *Params) { p.RelapseDelay, p.RelapseDuration = 3000, 3000 },
	"23% of its capacity when cold":  func(p *Params) { p.ColdCapacity = 0.23 },
	"lower limit after the return":   func(p *Params) { p.LimitMultipleAfter, p.ReportsLimit = 0.5, true },
	"one sender restarted":           func(p *Params) { p.Restarts = 1 },
	"removed from the list":          func(p *Params) { p.DelistsDown, p.Endpoints = true, 2 },
	"limit per endpoint":             func(p *Params) { p.OwnLimits, p.Endpoints, p.ReportsLimit = true, 4, true },
	"bulk calls":                     func(p *Params) { p.Batch = 5 },
	"limit in fixed windows":         func(p *Params) { p.LimitWindow = 1000 },
	"thirty senders":                 func(p *Params) { p.Senders = 30 },
	"two hundred senders":            func(p *Params) { p.Senders = 200 },
	"collapses under overload":       func(p *Params) { p.OverloadOutage = 4000 },
}

// In each of the first eleven seconds after its return, calls to a partner stay within its stated limit, and the
// senders do call it. It does not collapse under overload.
func TestReturnsStayWithinTheLimit(t *testing.T) {
	for name, change := range returnCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := baseParams()
			change(&p)
			for seed := range uint64(3) {
				r := New(p, seed).Run(nil)
				secondsOver, maxCalls, calls := callsAfterReturn(p, r)
				if secondsOver > 0 {
					t.Errorf("seed %d: %d seconds exceed the limit of %v calls, the worst with %d calls",
						seed, secondsOver, r.Limit, maxCalls)
				}
				if calls < int(r.Limit) {
					t.Errorf("seed %d: %d calls in the first eleven seconds, want at least %v", seed, calls, int(r.Limit))
				}
				if r.Overloads > 0 {
					t.Errorf("seed %d: partner collapsed under overload %d times", seed, r.Overloads)
				}
			}
		})
	}
}

// Staying within the limit does not cost goodput: it has recovered once the partner is warm, for any number of senders.
func TestGoodputRecovers(t *testing.T) {
	for _, row := range []struct {
		senders int
		down    OutageKind
	}{{3, RefusesConnections}, {30, RefusesConnections}, {200, RefusesConnections}, {3, RequestsWait}} {
		p := baseParams()
		p.Senders, p.OutageKind = row.senders, row.down
		for seed := range uint64(3) {
			r := New(p, seed).Run(nil)
			done, at := 0, int(p.ReturnTime()/1000)+9
			for _, s := range r.Seconds[at : at+4] {
				done += s.Delivered
			}
			if float64(done)/4 < 0.95*p.Load {
				t.Errorf("%+v, seed %d: %.0f messages delivered per second from the tenth second on, want 0.95 of the load, %v",
					row, seed, float64(done)/4, p.Load)
			}
		}
	}
}

// The check of the limit can fail: senders that only back off exceed the limit and overload a partner.
func TestLimitExceededWithoutGuard(t *testing.T) {
	p := baseParams()
	p.System, p.Senders = Backoff, 30
	if n, _, _ := callsAfterReturn(p, New(p, 1).Run(nil)); n == 0 {
		t.Error("30 senders that only back off stay within the limit")
	}
	p.OverloadOutage = 4000
	if r := New(p, 1).Run(nil); r.Overloads == 0 {
		t.Error("30 senders that only back off do not overload the partner")
	}
	p = baseParams()
	p.System, p.Senders = ModuleOnly, 30
	maxSecondsOver := 0
	for seed := range uint64(6) {
		n, _, _ := callsAfterReturn(p, New(p, seed).Run(nil))
		maxSecondsOver = max(maxSecondsOver, n)
	}
	if maxSecondsOver == 0 {
		t.Error("the module without a guard stays within the limit with 30 senders and six seeds")
	}
}

// An outage of one partner changes the p99 latency of the others by less than 5%.
func TestStormDoesNotSlowOtherPartners(t *testing.T) {
	p := baseParams()
	p.Partners, p.Load, p.Limit = 5, 200, 100
	withoutOutage := p
	withoutOutage.Outage = 0
	var withOutageP99, withoutOutageP99 int64
	for seed := range uint64(5) {
		withOutageP99 += New(p, seed).Run(nil).OtherLatency.ValueAtQuantile(99)
		withoutOutageP99 += New(withoutOutage, seed).Run(nil).OtherLatency.ValueAtQuantile(99)
	}
	if math.Abs(float64(withOutageP99-withoutOutageP99)) > 0.05*float64(withoutOutageP99) {
		t.Errorf("p99 latency of the other partners, summed over five seeds: %d ms with the outage, %d ms without; want a difference of at most 0.05 of the latter",
			withOutageP99, withoutOutageP99)
	}
}

// No message is counted twice, and no sender holds more than MaxHeld, although two senders restart while the partner
// does not answer. Delivered and held messages together are at most the submitted ones plus those that ran more than
// once.
func TestEachMessageEndsOnce(t *testing.T) {
	for _, sys := range []System{Sliptide, ModuleOnly, Backoff, RetryBudget, Ideal} {
		p := baseParams()
		p.System, p.Restarts, p.OutageKind = sys, 2, NeverAnswers
		w := New(p, 3)
		r := w.Run(nil)
		held := 0
		for _, n := range w.senders {
			if len(n.held) > p.MaxHeld {
				t.Errorf("%s: a sender holds %d messages, maximum %d", sys, len(n.held), p.MaxHeld)
			}
			held += len(n.held)
		}
		if r.Delivered == 0 || r.Delivered+held > r.Submitted+r.RanTwice {
			t.Errorf("%s: %d messages delivered and %d held, of %d submitted", sys, r.Delivered, held, r.Submitted)
		}
	}
}

// Over 20 s the limiter admits calls at the stated rate and no more, without windows and in fixed ones of 1 s and 5 s.
// The wait that a refusal requests ends with a fixed window.
func TestLimiter(t *testing.T) {
	for _, window := range []float64{0, 1000, 5000} {
		l := limiter{rate: 10, window: window}
		admitted := 0
		for at := 0.0; at < 20000; at += 7 {
			wait := l.admit(at)
			if wait == 0 {
				admitted++
			} else if window > 0 && math.Mod(at+wait, window) > 1e-6 && window-math.Mod(at+wait, window) > 1e-6 {
				t.Fatalf("window %v ms: requested wait ends at %v, not at the end of a window", window, at+wait)
			}
		}
		if admitted < 195 || admitted > 201 {
			t.Errorf("window %v ms: %d calls admitted in 20 s at 10 per second, want 195 to 201", window, admitted)
		}
	}
}

// The queue returns events by time, and events of equal time in the order of creation.
func TestQueueOrder(t *testing.T) {
	var q queue
	for i := range 1000 {
		q.push(event{at: float64((i * 7919) % 100), arg: i})
	}
	last := event{at: -1}
	for len(q.heap) > 0 {
		e := q.pop()
		if e.at < last.at || e.at == last.at && e.arg < last.arg {
			t.Fatalf("event %d at %v follows event %d at %v", e.arg, e.at, last.arg, last.at)
		}
		last = e
	}
}

// BenchmarkRun measures a run with the base parameters, and reports the simulated events per second.
func BenchmarkRun(b *testing.B) {
	var events uint64
	for i := range b.N {
		events += New(baseParams(), uint64(i)).Run(nil).Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}
