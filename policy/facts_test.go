package policy

import (
	"math"
	"reflect"
	"testing"
)

// restarted returns a rig whose sender has restored r's facts of dests, as after a restart that took no time. The
// events in before precede the facts and the list in its first step.
func (r *rig) restarted(eps []Endpoint, dests []int, before ...Event) *rig {
	r.t.Helper()
	next := &rig{t: r.t, s: New(r.s.settings, 8), now: r.now,
		attempts: map[uint64]int{}, lastEndpoint: map[uint64]uint32{}}
	var facts []DestFacts
	for _, d := range dests {
		f, ok := r.s.Facts(d)
		if !ok {
			r.t.Fatalf("no facts of destination %d", d)
		}
		facts = append(facts, f)
	}
	next.s.RestoreGeneral(r.s.GeneralFacts())
	next.step(append(before, Event{Kind: EvFacts, Facts: facts}, Event{Kind: EvList, FullList: true, List: eps})...)
	return next
}

// countSends returns the number of calls in actions, probes included.
func countSends(actions []Action) (n int) {
	for _, a := range actions {
		if a.Kind == ActSend || a.Kind == ActProbe {
			n++
		}
	}
	return n
}

// A restart must lose no fact: restored facts are exported again as they were.
func TestFactsRoundTrip(t *testing.T) {
	set := testSettings()
	set.AllowanceIndex, set.LimitIndex = 0, 1
	eps := []Endpoint{
		{ID: 1, State: Ready, Kind: 2, Dest: 1}, {ID: 2, State: Ready, Kind: 2, Dest: 1},
		{ID: 3, State: Ready, Kind: 1, Dest: 2}, {ID: 4, State: Ready, Kind: 1, Dest: 2},
	}
	r := newRig(t, set, eps...)
	for i, o := range []Outcome{OK, OK, Error, Full, Timeout, OK, Timeout, Timeout, Timeout, Timeout, Timeout} {
		for dest := range 2 {
			id := uint64(10*i + dest + 1)
			r.message(id, classSafe, dest+1, 0)
			if r.attempts[id] > 0 {
				e := r.outcome(id, o, 0)
				e.Report = []float64{0.5, 12}
				r.step(e)
			}
			r.run(r.now + 200)
		}
	}
	restarted := r.restarted(eps, []int{1, 2})
	for dest := 1; dest <= 2; dest++ {
		before, _ := r.s.Facts(dest)
		after, _ := restarted.s.Facts(dest)
		if dest == 1 && (before.SharedRoute == nil || before.SharedRoute.AdvertisedLimit != 12) ||
			dest == 2 && (before.SharedRoute != nil || before.Endpoints[0].OwnRoute == nil) {
			t.Errorf("facts %+v, want the limit at the shared route of destination 1 and own routes at 2", before)
		}
		if before.Latency.N == 0 || !reflect.DeepEqual(before, after) {
			t.Errorf("destination %d:\nbefore %+v %+v\nafter  %+v %+v",
				dest, before, before.SharedRoute, after, after.SharedRoute)
		}
	}
	if g := restarted.s.GeneralFacts(); !reflect.DeepEqual(g, r.s.GeneralFacts()) || g.ClassLatency[0].N == 0 {
		t.Errorf("general facts %+v, want those from before with a latency of the first class", g)
	}
}

// A wait requested before a restart applies after it: to new messages, and to restored ones, which arrive before any
// list.
func TestWaitOutlastsRestart(t *testing.T) {
	for _, kind := range []int{1, 2} { // endpoints with limits of their own, and a shared limit
		eps := []Endpoint{{ID: 1, State: Ready, Kind: kind, Dest: 1}}
		r := newRig(t, testSettings(), eps...)
		r.message(1, classSafe, 1, 0)
		r.reply(1, Full, 1500)
		waitStart := r.now
		r.now += 600
		restarted := r.restarted(eps, []int{1},
			Event{Kind: EvMessage, ID: 7, Dest: 1, Remaining: 15000, Restored: true, Attempts: 1})
		if countSends(restarted.lastActions) > 0 {
			t.Fatalf("kind %d: a restored message is sent during the wait", kind)
		}
		if countSends(restarted.message(8, classSafe, 1, 0))+countSends(restarted.run(waitStart+1499)) > 0 {
			t.Fatalf("kind %d: a message is sent during the wait", kind)
		}
		if countSends(restarted.run(waitStart+2500)) == 0 {
			t.Fatalf("kind %d: nothing sent after the wait", kind)
		}
	}
}

// A ramp continues after a restart in its middle: at most a fifth more is sent than without a restart, and less than
// after a restart without facts, whose sender takes the endpoint to be healthy.
func TestRampOutlastsRestart(t *testing.T) {
	eps := []Endpoint{{ID: 1, State: Ready, Kind: 2, Dest: 1}}
	sent := func(restart, facts bool) int {
		r := newRig(t, testSettings(), eps...)
		id := uint64(0)
		drive := func(to float64, answer Outcome) (n int) {
			for r.now < to {
				id++
				r.message(id, classSafe, 1, 0)
				for m := range id {
					if msg := r.s.messages[m+1]; msg != nil && msg.inFlight != nil {
						n++
						r.reply(m+1, answer, 0)
					}
				}
				r.now += 50
				r.step(Event{Kind: EvTimer, Token: r.s.timerToken})
			}
			return n
		}
		drive(r.now+8000, OK)
		drive(r.now+3000, ConnectFailed)
		for r.s.endpoints[1].breaker != ramping {
			drive(r.now+100, OK)
		}
		drive(r.now+500, OK)
		if restart {
			dests := []int{1}
			if !facts {
				dests = nil
			}
			rampStart := r.s.endpoints[1].rampStart
			r = r.restarted(eps, dests)
			if facts && (r.s.endpoints[1].breaker != ramping || r.s.endpoints[1].rampStart != rampStart) {
				t.Fatal("the ramp does not continue after the restart")
			}
		}
		return drive(r.now+2000, OK)
	}
	uninterrupted, restored, withoutFacts := sent(false, false), sent(true, true), sent(true, false)
	if restored > uninterrupted+uninterrupted/5+1 || withoutFacts <= restored {
		t.Errorf("calls in 2 s of a ramp: %d without a restart, %d after one, want a fifth more at most; %d without facts",
			uninterrupted, restored, withoutFacts)
	}
	t.Logf("calls in 2 s of a ramp: %d without a restart, %d after one, %d after one without facts",
		uninterrupted, restored, withoutFacts)
}

// An endpoint with an open breaker keeps the time of its trial over a restart while another endpoint is healthy, and is
// not called before.
func TestTrialOutlastsRestart(t *testing.T) {
	eps := []Endpoint{{ID: 1, State: Ready, Kind: 2, Dest: 1}, {ID: 2, State: Ready, Kind: 2, Dest: 1}}
	r := newRig(t, testSettings(), eps...)
	ep := r.s.endpoints[2]
	r.s.now = r.now
	ep.failures, ep.unanswered, ep.lastFailure = 5, true, r.now
	r.s.openBreaker(ep)
	due := ep.nextTrial
	restarted := r.restarted(eps, []int{1})
	if got := restarted.s.endpoints[2]; got.breaker != open || got.nextTrial != due ||
		restarted.s.endpoints[1].breaker != closed {
		t.Errorf("breaker %v, trial at %v, want open and %v; endpoint 1 must be closed", got.breaker, got.nextTrial, due)
	}
	for id := uint64(1); id < 5; id++ {
		if restarted.message(id, classSafe, 1, 0); restarted.lastEndpoint[id] == 2 {
			t.Error("the endpoint is called before its trial is due")
		}
	}
}

// Facts have no effect on endpoints that are first listed in a later step, and there are none of a destination that is
// not listed.
func TestFactsApplyToListedEndpointsOnly(t *testing.T) {
	eps := []Endpoint{{ID: 1, State: Ready, Kind: 2, Dest: 1}}
	r := newRig(t, testSettings())
	r.step(Event{Kind: EvFacts, Facts: []DestFacts{{Dest: 1, SharedRoute: &RouteFacts{WaitUntil: math.Inf(1)}}}})
	r.step(Event{Kind: EvList, FullList: true, List: eps})
	if _, ok := r.s.Facts(9); ok {
		t.Error("Facts returns facts of a destination that is not listed")
	}
	if countSends(r.message(1, classSafe, 1, 0)) != 1 {
		t.Error("facts of an earlier step take effect")
	}
}

// When a limit has fallen tenfold while the sender was down, the first answer that reports it reduces the restored pace
// to it at once, and a burst of messages that follows leads to three calls at most.
func TestLimitFellWhileDown(t *testing.T) {
	set := testSettings()
	set.AllowanceIndex, set.LimitIndex = 0, 1
	eps := []Endpoint{{ID: 1, State: Ready, Kind: 2, Dest: 1}}
	r := newRig(t, set, eps...)
	r.message(1, classSafe, 1, 0)
	e := r.outcome(1, OK, 0)
	e.Report = []float64{0.5, 50}
	r.step(e)
	restarted := r.restarted(eps, []int{1})
	if got := restarted.s.destinations[1].sharedRoute.pace; got != 50 {
		t.Fatalf("restored pace %v, want 50", got)
	}
	restarted.message(2, classSafe, 1, 0)
	e = restarted.outcome(2, Full, 0)
	e.Report = []float64{0, 5}
	restarted.step(e)
	if got := restarted.s.destinations[1].sharedRoute; got.pace > 5 || got.advertisedLimit != 5 {
		t.Errorf("pace %v, limit %v after the first answer, want 5 at most, and 5", got.pace, got.advertisedLimit)
	}
	sent := 0
	for id := uint64(10); id < 60; id++ {
		sent += countSends(restarted.message(id, classSafe, 1, 0))
	}
	if sent > 3 { // half a second at 5 per second, and one call in flight
		t.Errorf("%d calls at once, want 3 at most", sent)
	}
}
