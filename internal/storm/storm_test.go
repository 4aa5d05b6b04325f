package storm

import (
	"math"
	"math/rand/v2"
	"testing"

	"sliptide/policy"
)

const (
	horizon = 10000.0
	forty   = 40.0 // the partner's limit in calls a second
)

// rig is a Guard with one destination of four endpoints that share a limit.
type rig struct {
	*Guard
	now float64
}

func newRig(senders int) *rig {
	r := &rig{New(Settings{Senders: senders, MaxRetryAfter: horizon, LimitIndex: 0}, 7), 1000}
	var list []policy.Endpoint
	for id := uint32(1); id <= 4; id++ {
		list = append(list, policy.Endpoint{ID: id, State: policy.Ready, Dest: 7})
	}
	r.UpdateEndpoints(r.now, list, true)
	return r
}

// call ends a call to an endpoint.
func (r *rig) call(ep uint32, o policy.Outcome, wait float64) {
	r.RecordOutcome(r.now, &policy.Event{Kind: policy.EvOutcome, Endpoint: ep, Outcome: o, RequestedWait: wait, Report: []float64{forty}})
}

// down makes calls fail until the guard has seen it.
func (r *rig) down(t *testing.T) {
	t.Helper()
	r.call(1, policy.OK, 0)
	for range 4 {
		r.now += 600
		r.call(2, policy.ConnectFailed, 0)
	}
	r.expect(t, Outage)
}

// back is the first success.
func (r *rig) back(t *testing.T) {
	t.Helper()
	r.call(3, policy.OK, 0)
	r.expect(t, Returning)
}

func (r *rig) expect(t *testing.T, want Phase) {
	t.Helper()
	if got := r.Phase(7); got != want {
		t.Fatalf("at %.0f: %v, want %v", r.now, got, want)
	}
}

// pace is what Orders says of the destination's one route, and the connections.
func (r *rig) pace(t *testing.T) (rate, dials float64) {
	t.Helper()
	o := r.Throttles(r.now)
	if len(o) != 1 || len(o[0].Paces) != 1 || o[0].Dest != 7 {
		t.Fatalf("orders %+v, want one for destination 7", o)
	}
	return o[0].Paces[0].Rate, o[0].DialRate
}

// In calm nothing is said: the ordinary path is as without a Guard.
func TestCalmSaysNothing(t *testing.T) {
	r := newRig(3)
	for i := range 1000 {
		r.now += 20
		r.RecordArrival(r.now, 7, uint64(i+1), false)
		r.call(1, []policy.Outcome{policy.OK, policy.Full, policy.Error}[i%3], 0)
		if after := r.RetryAfter(r.now, 7, uint64(i+1), 5000, 321); after != 321 {
			t.Fatalf("told %v in calm", after)
		}
		if o := r.Throttles(r.now); len(o) > 0 {
			t.Fatalf("orders %+v in calm", o)
		}
	}
	if !math.IsInf(r.NextDue(), 1) {
		t.Error("a look is due in calm")
	}
}

// The pace stands before the return, so that the first second is within it; it ends once what was held is out.
func TestOutageReturnAndCalm(t *testing.T) {
	r := newRig(3)
	r.down(t)
	rate, dials := r.pace(t)
	if all := 3 * (rate + 1); all > forty+1e-9 || all < 0.9*forty {
		t.Errorf("three senders at %.2f a second each are %.1f in the worst second, limit %v", rate, all, forty)
	}
	if dials < 1 || dials > rate {
		t.Errorf("%.2f connections a second at a pace of %.2f", dials, rate)
	}
	r.AdjustHeld(r.now, 7, 100)
	r.now += 15000
	r.back(t)
	r.now += minReturnDuration + 1
	r.Throttles(r.now)
	r.expect(t, Returning) // 100 messages wait
	r.AdjustHeld(r.now, 7, -95)
	r.now += checkInterval + 1
	if rate, dials = r.pace(t); rate != 0 || dials != 0 {
		t.Errorf("after the storm a pace of %v and %v connections a second", rate, dials)
	}
	r.expect(t, Calm)
}

// A partner that comes back, falls over and comes back is given less each time, down to a floor.
func TestRelapseLowersThePace(t *testing.T) {
	r := newRig(3)
	r.down(t)
	last, _ := r.pace(t)
	for i := range 6 {
		r.now += 3000
		r.back(t)
		r.Throttles(r.now)
		r.now += 2000
		for range 3 {
			r.now += 500
			r.call(1, policy.Timeout, 0)
		}
		r.expect(t, Outage)
		rate, _ := r.pace(t)
		if i < 2 && rate > 0.75*last {
			t.Errorf("relapse %d: pace %.2f after %.2f", i+1, rate, last)
		}
		last = rate
	}
	if full := forty/3 - 1; last < minRelapseFactor*full*0.99 {
		t.Errorf("pace %.2f fell under its floor", last)
	}
}

// A limit that has fallen during the outage binds from the answer that tells it.
func TestFallenLimitBindsAtOnce(t *testing.T) {
	r := newRig(3)
	r.down(t)
	r.pace(t)
	r.RecordOutcome(r.now, &policy.Event{Kind: policy.EvOutcome, Endpoint: 1, Outcome: policy.OK, Report: []float64{forty / 4}})
	if rate, _ := r.pace(t); 3*rate > forty/4 {
		t.Errorf("pace %.2f, three of which are over the new limit %v", rate, forty/4)
	}
	r.RecordOutcome(r.now, &policy.Event{Kind: policy.EvOutcome, Endpoint: 2, Outcome: policy.OK, Report: []float64{forty / 8}})
	if rate, _ := r.pace(t); 3*rate > forty/8 { // while the return is under way
		t.Errorf("pace %.2f, three of which are over the newest limit %v", rate, forty/8)
	}
}

// A partner that is back and cold refuses calls: that is no relapse, but lowers the pace.
func TestRefusedCallsOnAReturnAreNoRelapse(t *testing.T) {
	r := newRig(3)
	r.down(t)
	r.now += 5000
	r.back(t)
	before, _ := r.pace(t)
	for range 60 {
		r.now += 100
		r.call(1, policy.Full, 0)
		r.expect(t, Returning)
	}
	if after, _ := r.pace(t); after > 0.5*before || after < 0.1*before {
		t.Errorf("pace %.2f after six seconds of refusals, %.2f before", after, before)
	}
}

// What a journal brings back is held before its destination is listed.
func TestRestoredMessagesAreHeld(t *testing.T) {
	g := New(Settings{Senders: 3, LimitIndex: -1, Limits: map[int]float64{7: forty}}, 1)
	g.AdjustHeld(0, 7, 100)
	r := &rig{g, 0}
	r.Restore(r.now, []policy.DestFacts{{Dest: 7, Endpoints: []policy.EndpointFacts{{ID: 1, Health: policy.Broken}}}})
	r.UpdateEndpoints(r.now, []policy.Endpoint{{ID: 1, State: policy.Ready, Dest: 7}}, true)
	r.call(1, policy.OK, 0)
	r.now += minReturnDuration + 1
	r.Throttles(r.now)
	r.expect(t, Returning)
}

// A partner's own wait binds whatever ours says: shorter or longer, renewed, told by one endpoint of four, or by
// a bulk answer, whose messages each bring it.
func TestToldWaitIsNeverShortened(t *testing.T) {
	for _, row := range []struct {
		name  string
		least float64
		waits []float64
	}{
		{"shorter than ours", 2000, []float64{500}},
		{"longer than ours", 200, []float64{4000}},
		{"renewed again and again", 200, []float64{1000, 2000, 5000, 3000}},
		{"longer than half of what clients may be told", 200, []float64{8000}},
		{"a bulk answer", 200, []float64{2500, 2500, 2500, 2500, 2500}},
		{"longer than any client may be told", 200, []float64{60000}},
	} {
		r := newRig(3)
		r.down(t)
		end := 0.0
		for _, w := range row.waits {
			r.call(1, policy.Full, w) // the other three have told nothing
			end = max(end, r.now+w)
			if row.name != "a bulk answer" {
				r.now += 100
			}
		}
		for i := range 200 {
			at := r.now + r.RetryAfter(r.now, 7, uint64(i+1), 1e6, row.least)
			if at < min(end, r.now+horizon) || at < r.now+row.least || at > r.now+horizon {
				t.Fatalf("%s: told to come at %.0f; wait until %.0f, least %v", row.name, at-r.now, end-r.now, row.least)
			}
		}
	}
}

// Clients that all come to the millisecond when told: no second gets more than the budget, and where none is
// left it is said, counted and spread.
func TestPromisesStayWithinTheBudget(t *testing.T) {
	for _, senders := range []int{1, 3, 30, 200} {
		r := newRig(senders)
		r.down(t)
		rate, _ := r.pace(t)
		var booked []float64
		for key := uint64(1); r.Stats().Unreserved < 50; key++ {
			if key > 10000 {
				t.Fatalf("%d senders: no end of places", senders)
			}
			n := r.Stats().Reserved
			after := r.RetryAfter(r.now, 7, key, 1e6, 200)
			if after < 200 || after > horizon {
				t.Fatalf("told %v", after)
			}
			if r.Stats().Reserved > n {
				booked = append(booked, r.now+after)
			}
		}
		for _, from := range booked {
			n := 0
			for _, at := range booked {
				if at >= from && at < from+1000-slotMS {
					n++
				}
			}
			if float64(n) > max(rate, 1) {
				t.Fatalf("%d senders: %d promised for one second at a pace of %.2f", senders, n, rate)
			}
		}
		if want := math.Floor(rate * (horizon - 500) / 1000 * 0.8); float64(len(booked)) < want {
			t.Errorf("%d senders: only %d places in %v ms at %.2f a second", senders, len(booked), horizon, rate)
		}
	}
}

// First tries go before second ones: what they take of the pace is not promised, down to a part of it.
func TestFirstTriesShrinkTheBudget(t *testing.T) {
	promised := func(fresh int) int {
		r := newRig(3)
		r.down(t)
		for range fresh {
			r.now += 10
			r.RecordArrival(r.now, 7, 0, false)
		}
		for key := uint64(1); r.Stats().Unreserved < 5; key++ {
			r.RetryAfter(r.now, 7, key, 1e6, 200)
		}
		return r.Stats().Reserved
	}
	alone, crowded := promised(0), promised(300)
	if crowded*2 > alone || crowded == 0 {
		t.Errorf("%d places without first tries, %d under many", alone, crowded)
	}
}

// A client that comes too early frees its place; one whose time is up before any place is free takes none.
func TestPlacesAreNotWasted(t *testing.T) {
	r := newRig(3)
	r.down(t)
	for key := uint64(1); r.Stats().Unreserved == 0; key++ {
		r.RetryAfter(r.now, 7, key, 1e6, 200)
	}
	n := r.Stats()
	r.RetryAfter(r.now, 7, 9999, 150, 200)
	if s := r.Stats(); s.Reserved != n.Reserved {
		t.Error("a place went to a message whose time is up before it")
	}
	r.RecordArrival(r.now, 7, 3, false) // ignores what it was told
	r.RetryAfter(r.now, 7, 3, 1e6, 200)
	if s := r.Stats(); s.Early != 1 || s.Reserved != n.Reserved+1 {
		t.Errorf("stats %+v after %+v: the place of one that came early was not free", s, n)
	}
}

// A sender that saw nothing of the outage learns of the storm from what others have turned away.
func TestSurgeWithoutAnOutage(t *testing.T) {
	r := newRig(3)
	r.call(1, policy.OK, 0)
	for range 200 {
		r.now += 20
		r.RecordArrival(r.now, 7, 0, true)
	}
	r.expect(t, Surge)
	if rate, _ := r.pace(t); rate > forty/3 {
		t.Errorf("pace %.2f", rate)
	}
	r.now += surgeEndDelay + checkInterval
	r.pace(t)
	r.expect(t, Calm)

	own := newRig(3) // its own refusals come back: that is load, and the module's matter
	own.call(1, policy.OK, 0)
	for i := range 200 {
		own.now += 20
		own.RetryAfter(own.now, 7, uint64(i+1), 5000, 200)
		own.RecordArrival(own.now, 7, uint64(i+1), true)
	}
	own.expect(t, Calm)
}

// Three senders that saw the outage at different moments, one that saw nothing and one restarted in the middle
// pace themselves alike, each to its own part.
func TestSendersThatSawDifferentThings(t *testing.T) {
	var sum float64
	for i := range 3 {
		r := newRig(5)
		r.now += float64(i) * 3000
		r.down(t)
		rate, _ := r.pace(t)
		sum += rate + 1
	}
	blind := newRig(5)
	blind.call(1, policy.OK, 0)
	for range 200 {
		blind.now += 20
		blind.RecordArrival(blind.now, 7, 0, true)
	}
	rate, _ := blind.pace(t)
	sum += rate + 1

	again := newRig(5)
	again.Restore(again.now, []policy.DestFacts{{Dest: 7, SharedRoute: &policy.RouteFacts{AdvertisedLimit: forty, WaitUntil: again.now + 900},
		Endpoints: []policy.EndpointFacts{{ID: 1, Health: policy.Broken, LastOK: math.Inf(-1)}, {ID: 2, Health: policy.Broken}}}})
	again.expect(t, Outage)
	rate, _ = again.pace(t)
	sum += rate + 1
	if sum > forty+1e-9 {
		t.Errorf("together %.1f in the worst second, limit %v", sum, forty)
	}
	// What the earlier life has promised may still be kept: nothing is promised before that is over.
	if after := again.RetryAfter(again.now, 7, 1, 1e6, 200); after < horizon-2*slotMS {
		t.Errorf("promised %v ms after a restart", after)
	}
	again.back(t)
}

// One endpoint that has come back of several that are down is a healthy part: no storm.
func TestHealthyDestinationIsNotRecalledAsDown(t *testing.T) {
	r := newRig(3)
	r.Restore(r.now, []policy.DestFacts{{Dest: 7, Endpoints: []policy.EndpointFacts{{ID: 1, Health: policy.Broken}, {ID: 2}}}})
	r.expect(t, Calm)
}

// A destination of which nothing more is tried is calm after a while, stays so, and costs no looks.
func TestForgottenOutage(t *testing.T) {
	r := newRig(3)
	r.down(t)
	for range 1000 {
		r.now += checkInterval
		r.Throttles(r.now)
	}
	r.expect(t, Calm)
	if s := r.Stats(); s.Storms != 1 || !math.IsInf(r.NextDue(), 1) {
		t.Errorf("%d storms, next look at %v", s.Storms, r.NextDue())
	}
}

// One unanswered call is an outage to a sender that calls seldom, once its successes are too old to speak
// against it; to one that calls often it is nothing.
func TestOneUnansweredCall(t *testing.T) {
	for rate, want := range map[float64]Phase{1: Outage, 50: Calm} {
		r := newRig(3)
		for range 100 {
			r.now += 1000 / rate
			r.call(1, policy.OK, 0)
		}
		r.call(1, policy.ConnectFailed, 0)
		for end := r.now + 5000; r.now < end; r.now += 100 {
			if rate == 50 {
				r.call(2, policy.OK, 0)
			}
			r.Throttles(r.now)
		}
		r.expect(t, want)
	}
}

// Endpoints with limits of their own are paced each for itself.
func TestOwnLimits(t *testing.T) {
	g := New(Settings{Senders: 3, MaxRetryAfter: horizon, LimitIndex: -1, RatingIsRate: true, OwnLimits: []bool{true}}, 1)
	g.UpdateEndpoints(0, []policy.Endpoint{{ID: 1, State: policy.Ready, Dest: 7, Rating: 30}, {ID: 2, State: policy.Ready, Dest: 7, Rating: 12}}, true)
	for i := range 4 {
		g.RecordOutcome(float64(i)*1000, &policy.Event{Kind: policy.EvOutcome, Endpoint: uint32(1 + i%2), Outcome: policy.Timeout})
	}
	o := g.Throttles(4000)
	if len(o) != 1 || len(o[0].Paces) != 2 || 3*(o[0].Paces[0].Rate+1) > 30.001 || 3*(o[0].Paces[1].Rate+1) > 12.001 {
		t.Fatalf("%+v", o)
	}
}

// The part of each of many senders leaves room for chance: evenly spaced calls of random phase are over the
// limit in hardly any second.
func TestManySendersByChance(t *testing.T) {
	for _, senders := range []int{3, 30, 200, 1000} {
		g := New(Settings{Senders: senders}, 1)
		rng := rand.New(rand.NewPCG(1, uint64(senders)))
		over, seconds, total := 0, 2000, 0
		rate := g.routePace(g.destFor(7, 0), 100, 1)
		counts := make([]int, seconds)
		for range senders {
			for at := rng.Float64() / rate; at < float64(seconds); at += 1 / rate {
				counts[int(at)]++
			}
		}
		for _, n := range counts {
			total += n
			if n > 100 {
				over++
			}
		}
		if over > seconds/100 || float64(total)/float64(seconds) < 70 {
			t.Errorf("%d senders: %d of %d seconds over the limit of 100, %.1f on average", senders, over, seconds, float64(total)/float64(seconds))
		}
	}
}

// Whatever happens in whatever order, what is told is within its bounds and no window is overbooked.
func FuzzGuard(f *testing.F) {
	f.Add([]byte("abcabcabcxyzxyz"), uint8(3))
	f.Fuzz(func(t *testing.T, script []byte, senders uint8) {
		r := newRig(int(senders))
		for i, b := range script {
			r.now += float64(b) * 3
			switch key := uint64(b%16) + 1; b % 7 {
			case 0, 1:
				r.call(uint32(b%5), policy.Outcome(b%8), float64(b%3)*400)
			case 2:
				r.RecordArrival(r.now, 7, key, b&64 != 0)
			case 3:
				r.AdjustHeld(r.now, 7, int(int8(b)))
			case 4:
				r.Throttles(r.now)
			default:
				least := float64(b)
				if after := r.RetryAfter(r.now, 7, key, float64(i)*100, least); after < least || after > horizon {
					t.Fatalf("told %v, least %v", after, least)
				}
			}
		}
		if len(r.refusals.byKey) > maxRefusals {
			t.Fatal("unbounded")
		}
	})
}
