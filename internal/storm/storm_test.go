package storm

import (
	"math"
	"math/rand/v2"
	"testing"

	"sliptide/policy"
)

const (
	maxRetryAfter = 10000.0
	partnerLimit  = 40.0 // calls per second
)

// rig is a Guard with one destination, number 7, whose four endpoints share a limit.
type rig struct {
	*Guard
	now float64
}

func newRig(senders int) *rig {
	r := &rig{New(Settings{Senders: senders, MaxRetryAfter: maxRetryAfter, LimitIndex: 0}, 7), 1000}
	var list []policy.Endpoint
	for id := uint32(1); id <= 4; id++ {
		list = append(list, policy.Endpoint{ID: id, State: policy.Ready, Dest: 7})
	}
	r.UpdateEndpoints(r.now, list, true)
	return r
}

// endCall records the outcome of a call to an endpoint, with a report of the partner's limit.
func (r *rig) endCall(ep uint32, outcome policy.Outcome, wait float64) {
	r.RecordOutcome(r.now, &policy.Event{
		Kind: policy.EvOutcome, Endpoint: ep, Outcome: outcome, RequestedWait: wait, Report: []float64{partnerLimit},
	})
}

// causeOutage makes calls fail until the Guard detects an outage.
func (r *rig) causeOutage(t *testing.T) {
	t.Helper()
	r.endCall(1, policy.OK, 0)
	for range 4 {
		r.now += 600
		r.endCall(2, policy.ConnectFailed, 0)
	}
	r.expectPhase(t, Outage)
}

// endOutage records the first success after an outage.
func (r *rig) endOutage(t *testing.T) {
	t.Helper()
	r.endCall(3, policy.OK, 0)
	r.expectPhase(t, Returning)
}

func (r *rig) expectPhase(t *testing.T, want Phase) {
	t.Helper()
	if got := r.Phase(7); got != want {
		t.Fatalf("at %.0f: %v, want %v", r.now, got, want)
	}
}

// throttle returns the pace and the dial rate from Throttles, which must report one route of the destination. Both are
// 0 when a storm has ended.
func (r *rig) throttle(t *testing.T) (rate, dialRate float64) {
	t.Helper()
	throttles := r.Throttles(r.now)
	if len(throttles) != 1 || len(throttles[0].Paces) != 1 || throttles[0].Dest != 7 {
		t.Fatalf("throttles %+v, want one with one pace, for destination 7", throttles)
	}
	return throttles[0].Paces[0].Rate, throttles[0].DialRate
}

// Without a storm a Guard sets no limits, returns Retry-After as package policy gave it and needs no checks.
func TestNoThrottleInCalm(t *testing.T) {
	r := newRig(3)
	for i := range 1000 {
		r.now += 20
		r.RecordArrival(r.now, 7, uint64(i+1), false)
		r.endCall(1, []policy.Outcome{policy.OK, policy.Full, policy.Error}[i%3], 0)
		if wait := r.RetryAfter(r.now, 7, uint64(i+1), 5000, 321); wait != 321 {
			t.Fatalf("Retry-After %v ms without a storm, want 321", wait)
		}
		if throttles := r.Throttles(r.now); len(throttles) > 0 {
			t.Fatalf("throttles %+v without a storm", throttles)
		}
	}
	if !math.IsInf(r.NextDue(), 1) {
		t.Error("a check is due without a storm")
	}
}

// The pace applies before the outage ends, so that the first second of the return is within the limit. The storm
// lasts longer than minReturnDuration while many messages are held, and ends once they can be sent within drainTime.
func TestOutageReturnAndCalm(t *testing.T) {
	r := newRig(3)
	r.causeOutage(t)
	rate, dialRate := r.throttle(t)
	if total := 3 * (rate + 1); total > partnerLimit+1e-9 || total < 0.9*partnerLimit {
		t.Errorf("three senders at %.2f calls per second make %.1f calls in the worst second, want 0.9 to 1 of the limit %v",
			rate, total, partnerLimit)
	}
	if dialRate < 1 || dialRate > rate {
		t.Errorf("%.2f connections per second at a pace of %.2f, want 1 at least and the pace at most", dialRate, rate)
	}
	r.AdjustHeld(r.now, 7, 100)
	r.now += 15000
	r.endOutage(t)
	r.now += minReturnDuration + 1
	r.Throttles(r.now)
	r.expectPhase(t, Returning) // 100 messages are still held
	r.AdjustHeld(r.now, 7, -95)
	r.now += checkInterval + 1
	if rate, dialRate = r.throttle(t); rate != 0 || dialRate != 0 {
		t.Errorf("after the storm: pace %v and %v connections per second, want none", rate, dialRate)
	}
	r.expectPhase(t, Calm)
}

// A partner that fails again when its clients return needs fewer calls: the first two relapses each lower the pace by a
// quarter at least. After six it is still at its lower bound or above, so that the backlog can be sent.
func TestRelapseLowersPace(t *testing.T) {
	r := newRig(3)
	r.causeOutage(t)
	last, _ := r.throttle(t)
	for i := range 6 {
		r.now += 3000
		r.endOutage(t)
		r.Throttles(r.now)
		r.now += 2000
		for range 3 {
			r.now += 500
			r.endCall(1, policy.Timeout, 0)
		}
		r.expectPhase(t, Outage)
		rate, _ := r.throttle(t)
		if i < 2 && rate > 0.75*last {
			t.Errorf("relapse %d: pace %.2f after %.2f, want three quarters at most", i+1, rate, last)
		}
		last = rate
	}
	if basePace := partnerLimit/3 - 1; last < minRelapseFactor*basePace*0.99 {
		t.Errorf("pace %.2f after six relapses is below its lower bound", last)
	}
}

// A limit that the partner has lowered during the outage, or lowers during the return, applies from the answer that
// reports it.
func TestLoweredLimitAppliesAtOnce(t *testing.T) {
	r := newRig(3)
	r.causeOutage(t)
	r.throttle(t)
	r.RecordOutcome(r.now, &policy.Event{
		Kind: policy.EvOutcome, Endpoint: 1, Outcome: policy.OK, Report: []float64{partnerLimit / 4},
	})
	if rate, _ := r.throttle(t); 3*rate > partnerLimit/4 {
		t.Errorf("pace %.2f: three senders exceed the new limit %v", rate, partnerLimit/4)
	}
	r.RecordOutcome(r.now, &policy.Event{
		Kind: policy.EvOutcome, Endpoint: 2, Outcome: policy.OK, Report: []float64{partnerLimit / 8},
	})
	if rate, _ := r.throttle(t); 3*rate > partnerLimit/8 { // during the return
		t.Errorf("pace %.2f: three senders exceed the second new limit %v", rate, partnerLimit/8)
	}
}

// A partner that has just returned is cold and refuses calls: this is no relapse, but lowers the pace.
func TestRefusedCallsDuringReturnAreNoRelapse(t *testing.T) {
	r := newRig(3)
	r.causeOutage(t)
	r.now += 5000
	r.endOutage(t)
	paceBefore, _ := r.throttle(t)
	for range 60 {
		r.now += 100
		r.endCall(1, policy.Full, 0)
		r.expectPhase(t, Returning)
	}
	if paceAfter, _ := r.throttle(t); paceAfter > 0.5*paceBefore || paceAfter < 0.1*paceBefore {
		t.Errorf("pace %.2f after six seconds of refused calls, %.2f before, want a tenth to a half of it",
			paceAfter, paceBefore)
	}
}

// Messages restored from the journal count as held before an endpoint list contains their destination. Otherwise the
// storm would end while the backlog is still unsent.
func TestRestoredMessagesAreHeld(t *testing.T) {
	g := New(Settings{Senders: 3, LimitIndex: -1, Limits: map[int]float64{7: partnerLimit}}, 1)
	g.AdjustHeld(0, 7, 100)
	r := &rig{g, 0}
	r.Restore(r.now, []policy.DestFacts{{Dest: 7, Endpoints: []policy.EndpointFacts{{ID: 1, Health: policy.Broken}}}})
	r.UpdateEndpoints(r.now, []policy.Endpoint{{ID: 1, State: policy.Ready, Dest: 7}}, true)
	r.endCall(1, policy.OK, 0)
	r.now += minReturnDuration + 1
	r.Throttles(r.now)
	r.expectPhase(t, Returning)
}

// A wait that the partner requests is a lower bound of Retry-After, up to maxRetryAfter: shorter or longer than this
// sender's own, repeated, requested by one endpoint of four, or in a bulk answer, where each message carries it.
func TestRequestedWaitIsNeverShortened(t *testing.T) {
	for _, row := range []struct {
		name    string
		minWait float64
		waits   []float64
	}{
		{"shorter than the own wait", 2000, []float64{500}},
		{"longer than the own wait", 200, []float64{4000}},
		{"requested repeatedly", 200, []float64{1000, 2000, 5000, 3000}},
		{"longer than half of the maximum", 200, []float64{8000}},
		{"bulk answer", 200, []float64{2500, 2500, 2500, 2500, 2500}},
		{"longer than the maximum", 200, []float64{60000}},
	} {
		r := newRig(3)
		r.causeOutage(t)
		end := 0.0
		for _, wait := range row.waits {
			r.endCall(1, policy.Full, wait) // the other three endpoints request none
			end = max(end, r.now+wait)
			if row.name != "bulk answer" {
				r.now += 100
			}
		}
		for i := range 200 {
			at := r.now + r.RetryAfter(r.now, 7, uint64(i+1), 1e6, row.minWait)
			if at < min(end, r.now+maxRetryAfter) || at < r.now+row.minWait || at > r.now+maxRetryAfter {
				t.Fatalf("%s: Retry-After %.0f ms, requested wait %.0f ms, own wait %v ms",
					row.name, at-r.now, end-r.now, row.minWait)
			}
		}
	}
}

// If all clients return exactly at the end of their Retry-After, no second gets more messages than the budget. Refusals
// without a free slot are counted, and their Retry-After stays within its bounds.
func TestReservationsStayWithinBudget(t *testing.T) {
	for _, senders := range []int{1, 3, 30, 200} {
		r := newRig(senders)
		r.causeOutage(t)
		rate, _ := r.throttle(t)
		var reservedAt []float64
		for key := uint64(1); r.Stats().Unreserved < 50; key++ {
			if key > 10000 {
				t.Fatalf("%d senders: no refusal without a slot after 10000", senders)
			}
			n := r.Stats().Reserved
			wait := r.RetryAfter(r.now, 7, key, 1e6, 200)
			if wait < 200 || wait > maxRetryAfter {
				t.Fatalf("Retry-After %v ms, want 200 to maxRetryAfter", wait)
			}
			if r.Stats().Reserved > n {
				reservedAt = append(reservedAt, r.now+wait)
			}
		}
		for _, from := range reservedAt {
			n := 0
			for _, at := range reservedAt {
				if at >= from && at < from+1000-slotMS { // from may lie anywhere in its slot
					n++
				}
			}
			if float64(n) > max(rate, 1) {
				t.Fatalf("%d senders: %d reservations in one second at a pace of %.2f, want no more than the pace, or one",
					senders, n, rate)
			}
		}
		if want := math.Floor(rate * (maxRetryAfter - 500) / 1000 * 0.8); float64(len(reservedAt)) < want {
			t.Errorf("%d senders: only %d reservations in %v ms at %.2f per second, want four fifths of the budget",
				senders, len(reservedAt), maxRetryAfter, rate)
		}
	}
}

// First submissions take precedence over resubmissions: the pace that they use is not reserved, except for
// minRetryFraction of it.
func TestFirstSubmissionsReduceBudget(t *testing.T) {
	reservations := func(first int) int {
		r := newRig(3)
		r.causeOutage(t)
		for range first {
			r.now += 10
			r.RecordArrival(r.now, 7, 0, false)
		}
		for key := uint64(1); r.Stats().Unreserved < 5; key++ {
			r.RetryAfter(r.now, 7, key, 1e6, 200)
		}
		return r.Stats().Reserved
	}
	without, with := reservations(0), reservations(300)
	if with*2 > without || with == 0 {
		t.Errorf("%d reservations without first submissions, %d with many, want half as many at most, but some",
			without, with)
	}
}

// A client that returns early frees its reservation. A message whose deadline is before the first free slot gets
// none.
func TestReservationsAreNotWasted(t *testing.T) {
	r := newRig(3)
	r.causeOutage(t)
	for key := uint64(1); r.Stats().Unreserved == 0; key++ {
		r.RetryAfter(r.now, 7, key, 1e6, 200)
	}
	before := r.Stats()
	r.RetryAfter(r.now, 7, 9999, 150, 200)
	if after := r.Stats(); after.Reserved != before.Reserved {
		t.Error("a slot after the message's deadline was reserved")
	}
	r.RecordArrival(r.now, 7, 3, false) // before its Retry-After
	r.RetryAfter(r.now, 7, 3, 1e6, 200)
	if after := r.Stats(); after.Early != 1 || after.Reserved != before.Reserved+1 {
		t.Errorf("stats %+v after %+v: the reservation of a client that returned early was not free", after, before)
	}
}

// A sender that did not observe the outage detects the storm by resubmissions of messages that others refused.
func TestSurgeWithoutOutage(t *testing.T) {
	r := newRig(3)
	r.endCall(1, policy.OK, 0)
	for range 200 {
		r.now += 20
		r.RecordArrival(r.now, 7, 0, true)
	}
	r.expectPhase(t, Surge)
	if rate, _ := r.throttle(t); rate > partnerLimit/3 {
		t.Errorf("pace %.2f, want at most a third of the limit", rate)
	}
	r.now += surgeEndDelay + checkInterval
	r.throttle(t)
	r.expectPhase(t, Calm)

	own := newRig(3) // resubmissions after its own refusals are overload, which package policy handles
	own.endCall(1, policy.OK, 0)
	for i := range 200 {
		own.now += 20
		own.RetryAfter(own.now, 7, uint64(i+1), 5000, 200)
		own.RecordArrival(own.now, 7, uint64(i+1), true)
	}
	own.expectPhase(t, Calm)
}

// Three senders that detect the outage at different times, one that does not observe it and one that restarts
// during it together stay within the limit.
func TestSendersWithDifferentObservations(t *testing.T) {
	var sum float64
	for i := range 3 {
		r := newRig(5)
		r.now += float64(i) * 3000
		r.causeOutage(t)
		rate, _ := r.throttle(t)
		sum += rate + 1
	}
	unaware := newRig(5)
	unaware.endCall(1, policy.OK, 0)
	for range 200 {
		unaware.now += 20
		unaware.RecordArrival(unaware.now, 7, 0, true)
	}
	rate, _ := unaware.throttle(t)
	sum += rate + 1

	restarted := newRig(5)
	restarted.Restore(restarted.now, []policy.DestFacts{{
		Dest: 7, SharedRoute: &policy.RouteFacts{AdvertisedLimit: partnerLimit, WaitUntil: restarted.now + 900},
		Endpoints: []policy.EndpointFacts{{ID: 1, Health: policy.Broken, LastOK: math.Inf(-1)}, {ID: 2, Health: policy.Broken}},
	}})
	restarted.expectPhase(t, Outage)
	rate, _ = restarted.throttle(t)
	sum += rate + 1
	if sum > partnerLimit+1e-9 {
		t.Errorf("together %.1f calls in the worst second, limit %v", sum, partnerLimit)
	}
	// Clients may still return by reservations of the previous run: none is made for that time.
	if wait := restarted.RetryAfter(restarted.now, 7, 1, 1e6, 200); wait < maxRetryAfter-2*slotMS {
		t.Errorf("Retry-After %v ms after a restart, want nearly maxRetryAfter", wait)
	}
	restarted.endOutage(t)
}

// A destination with a healthy endpoint is not restored as in an outage, even if its other endpoints are broken.
func TestPartialOutageIsNotRestored(t *testing.T) {
	r := newRig(3)
	r.Restore(r.now, []policy.DestFacts{{Dest: 7, Endpoints: []policy.EndpointFacts{{ID: 1, Health: policy.Broken}, {ID: 2}}}})
	r.expectPhase(t, Calm)
}

// An outage without further calls ends after a while, does not start again, and needs no more checks.
func TestIdleOutageEnds(t *testing.T) {
	r := newRig(3)
	r.causeOutage(t)
	for range 1000 {
		r.now += checkInterval
		r.Throttles(r.now)
	}
	r.expectPhase(t, Calm)
	if s := r.Stats(); s.Storms != 1 || !math.IsInf(r.NextDue(), 1) {
		t.Errorf("%d storms, want 1; next check at %v, want none", s.Storms, r.NextDue())
	}
}

// One unanswered call is an outage for a sender with a low call rate, once its last successes are old enough. For a
// sender with a high call rate, whose other calls succeed, it is not.
func TestOneUnansweredCall(t *testing.T) {
	for rate, want := range map[float64]Phase{1: Outage, 50: Calm} {
		r := newRig(3)
		for range 100 {
			r.now += 1000 / rate
			r.endCall(1, policy.OK, 0)
		}
		r.endCall(1, policy.ConnectFailed, 0)
		for end := r.now + 5000; r.now < end; r.now += 100 {
			if rate == 50 {
				r.endCall(2, policy.OK, 0)
			}
			r.Throttles(r.now)
		}
		r.expectPhase(t, want)
	}
}

// Each endpoint with a limit of its own has a pace of its own.
func TestOwnLimits(t *testing.T) {
	g := New(Settings{Senders: 3, MaxRetryAfter: maxRetryAfter, LimitIndex: -1, RatingIsRate: true,
		OwnLimits: []bool{true}}, 1)
	g.UpdateEndpoints(0, []policy.Endpoint{{ID: 1, State: policy.Ready, Dest: 7, Rating: 30}, {ID: 2, State: policy.Ready, Dest: 7, Rating: 12}}, true)
	for i := range 4 {
		g.RecordOutcome(float64(i)*1000, &policy.Event{Kind: policy.EvOutcome, Endpoint: uint32(1 + i%2), Outcome: policy.Timeout})
	}
	throttles := g.Throttles(4000)
	if len(throttles) != 1 || len(throttles[0].Paces) != 2 ||
		3*(throttles[0].Paces[0].Rate+1) > 30.001 || 3*(throttles[0].Paces[1].Rate+1) > 12.001 {
		t.Fatalf("throttles %+v, want one with two paces, each within a third of its endpoint's limit", throttles)
	}
}

// The calls of many senders, each evenly spaced at a random phase, exceed the limit in at most one of a hundred
// seconds, and use at least 70 % of it on average.
func TestManySendersStayWithinLimit(t *testing.T) {
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
			t.Errorf("%d senders: %d of %d seconds over the limit of 100, want 1 in 100 at most; %.1f calls on average, want 70 at least",
				senders, over, seconds, float64(total)/float64(seconds))
		}
	}
}

// Under any sequence of events, Retry-After stays within its bounds and the log of refusals within its size.
func FuzzGuard(f *testing.F) {
	f.Add([]byte("abcabcabcxyzxyz"), uint8(3))
	f.Fuzz(func(t *testing.T, script []byte, senders uint8) {
		r := newRig(int(senders))
		for i, b := range script {
			r.now += float64(b) * 3
			switch key := uint64(b%16) + 1; b % 7 {
			case 0, 1:
				r.endCall(uint32(b%5), policy.Outcome(b%8), float64(b%3)*400)
			case 2:
				r.RecordArrival(r.now, 7, key, b&64 != 0)
			case 3:
				r.AdjustHeld(r.now, 7, int(int8(b)))
			case 4:
				r.Throttles(r.now)
			default:
				minWait := float64(b)
				if wait := r.RetryAfter(r.now, 7, key, float64(i)*100, minWait); wait < minWait || wait > maxRetryAfter {
					t.Fatalf("Retry-After %v ms is out of bounds, minimum %v ms", wait, minWait)
				}
			}
		}
		if len(r.refusals.byKey) > maxRefusals {
			t.Fatal("more than maxRefusals refusals are remembered")
		}
	})
}
