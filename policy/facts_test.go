package policy

import (
	"math"
	"reflect"
	"testing"
)

// reborn is a rig whose sender has taken up what r's knows, as after a restart that took no time.
func (r *rig) reborn(eps []Endpoint, dests []int, before ...Event) *rig {
	r.t.Helper()
	n := &rig{t: r.t, s: New(r.s.set, 8), now: r.now, attempts: map[uint64]int{}, on: map[uint64]uint32{}}
	var facts []DestFacts
	for _, d := range dests {
		f, ok := r.s.Facts(d)
		if !ok {
			r.t.Fatalf("no facts of %d", d)
		}
		facts = append(facts, f)
	}
	n.s.RestoreGeneral(r.s.GeneralFacts())
	n.step(append(before, Event{Kind: EvFacts, Facts: facts}, Event{Kind: EvList, FullList: true, List: eps})...)
	return n
}

func sends(actions []Action) (n int) {
	for _, a := range actions {
		if a.Kind == ActSend || a.Kind == ActProbe {
			n++
		}
	}
	return n
}

// What is told and taken up again is told the same.
func TestFactsRoundTrip(t *testing.T) {
	set := testSettings()
	set.AllowanceIndex, set.LimitIndex = 0, 1
	eps := []Endpoint{{ID: 1, State: Ready, Kind: 2, Dest: 1}, {ID: 2, State: Ready, Kind: 2, Dest: 1}, {ID: 3, State: Ready, Kind: 1, Dest: 2}, {ID: 4, State: Ready, Kind: 1, Dest: 2}}
	r := newRig(t, set, eps...)
	for i, o := range []Outcome{OK, OK, Error, Full, Timeout, OK, Timeout, Timeout, Timeout, Timeout, Timeout} {
		for dest := range 2 {
			id := uint64(10*i + dest + 1)
			r.message(id, clsSafe, dest+1, 0)
			if r.attempts[id] > 0 {
				e := r.outcome(id, o, 0)
				e.Report = []float64{0.5, 12}
				r.step(e)
			}
			r.run(r.now + 200)
		}
	}
	n := r.reborn(eps, []int{1, 2})
	for dest := 1; dest <= 2; dest++ {
		was, _ := r.s.Facts(dest)
		is, _ := n.s.Facts(dest)
		if dest == 1 && (was.SharedRoute == nil || was.SharedRoute.AdvertisedLimit != 12) || dest == 2 && (was.SharedRoute != nil || was.Endpoints[0].OwnRoute == nil) {
			t.Errorf("facts %+v", was)
		}
		if was.Latency.N == 0 || !reflect.DeepEqual(was, is) {
			t.Errorf("destination %d:\nwas %+v %+v\n is %+v %+v", dest, was, was.SharedRoute, is, is.SharedRoute)
		}
	}
	if g := n.s.GeneralFacts(); !reflect.DeepEqual(g, r.s.GeneralFacts()) || g.ClassLatency[0].N == 0 {
		t.Errorf("general %+v", g)
	}
}

// A wait that was told before a restart binds after it: for new messages and for restored ones, which are
// there before any list is.
func TestWaitOutlastsRestart(t *testing.T) {
	for _, kind := range []int{1, 2} { // a limit of its own, and a shared one
		eps := []Endpoint{{ID: 1, State: Ready, Kind: kind, Dest: 1}}
		r := newRig(t, testSettings(), eps...)
		r.message(1, clsSafe, 1, 0)
		r.reply(1, Full, 1500)
		told := r.now
		r.now += 600
		n := r.reborn(eps, []int{1}, Event{Kind: EvMessage, ID: 7, Dest: 1, Remaining: 15000, Restored: true, Attempts: 1})
		if sends(n.last) > 0 {
			t.Fatalf("kind %d: a restored message is sent in the wait", kind)
		}
		if sends(n.message(8, clsSafe, 1, 0))+sends(n.run(told+1499)) > 0 {
			t.Fatalf("kind %d: sent in the wait", kind)
		}
		if sends(n.run(told+2500)) == 0 {
			t.Fatalf("kind %d: nothing sent after the wait", kind)
		}
	}
}

// A ramp goes on where it was: after a restart in its middle no more is sent than without one.
func TestRampOutlastsRestart(t *testing.T) {
	eps := []Endpoint{{ID: 1, State: Ready, Kind: 2, Dest: 1}}
	sent := func(restart, facts bool) int {
		r := newRig(t, testSettings(), eps...)
		id := uint64(0)
		load := func(to float64, answer Outcome) (n int) {
			for r.now < to {
				id++
				r.message(id, clsSafe, 1, 0)
				for m := range id {
					if msg := r.s.msgs[m+1]; msg != nil && msg.out != nil {
						n++
						r.reply(m+1, answer, 0)
					}
				}
				r.now += 50
				r.step(Event{Kind: EvTimer, Token: r.s.token})
			}
			return n
		}
		load(r.now+8000, OK)
		load(r.now+3000, ConnectFailed)
		for r.s.eps[1].state != ramping {
			load(r.now+100, OK)
		}
		load(r.now+500, OK)
		if restart {
			dests := []int{1}
			if !facts {
				dests = nil
			}
			was := r.s.eps[1].rampAt
			r = r.reborn(eps, dests)
			if facts && (r.s.eps[1].state != ramping || r.s.eps[1].rampAt != was) {
				t.Fatal("the ramp is lost")
			}
		}
		return load(r.now+2000, OK)
	}
	without, with, forgotten := sent(false, false), sent(true, true), sent(true, false)
	if with > without+without/5+1 || forgotten <= with {
		t.Errorf("calls in 2 s of a ramp: %d without a restart, %d after one, %d after one that forgot", without, with, forgotten)
	}
	t.Logf("calls in 2 s of a ramp: %d without a restart, %d after one, %d after one that forgot", without, with, forgotten)
}

// A broken endpoint stays broken until the trial that was due, and a healthy sibling does not heal it.
func TestTrialOutlastsRestart(t *testing.T) {
	eps := []Endpoint{{ID: 1, State: Ready, Kind: 2, Dest: 1}, {ID: 2, State: Ready, Kind: 2, Dest: 1}}
	r := newRig(t, testSettings(), eps...)
	ep := r.s.eps[2]
	r.s.now = r.now
	ep.fails, ep.mute, ep.failAt = 5, true, r.now
	r.s.open(ep)
	due := ep.nextTrial
	n := r.reborn(eps, []int{1})
	if got := n.s.eps[2]; got.state != open || got.nextTrial != due || n.s.eps[1].state != closed {
		t.Errorf("state %v, trial at %v, want %v", got.state, got.nextTrial, due)
	}
	for id := uint64(1); id < 5; id++ {
		if n.message(id, clsSafe, 1, 0); n.on[id] == 2 {
			t.Error("the broken endpoint is called before its trial")
		}
	}
}

// Facts of what no list names, or of a step before, change nothing.
func TestFactsNeedTheirList(t *testing.T) {
	eps := []Endpoint{{ID: 1, State: Ready, Kind: 2, Dest: 1}}
	r := newRig(t, testSettings())
	r.step(Event{Kind: EvFacts, Facts: []DestFacts{{Dest: 1, SharedRoute: &RouteFacts{WaitUntil: math.Inf(1)}}}})
	r.step(Event{Kind: EvList, FullList: true, List: eps})
	if _, ok := r.s.Facts(9); ok {
		t.Error("facts of a destination that there is not")
	}
	if sends(r.message(1, clsSafe, 1, 0)) != 1 {
		t.Error("facts of an earlier step bind")
	}
}

// A limit that fell tenfold while the sender was down: the first answer that tells it brings the pace down, so
// what was remembered costs a second's burst at most.
func TestLimitFellMeanwhile(t *testing.T) {
	set := testSettings()
	set.AllowanceIndex, set.LimitIndex = 0, 1
	eps := []Endpoint{{ID: 1, State: Ready, Kind: 2, Dest: 1}}
	r := newRig(t, set, eps...)
	r.message(1, clsSafe, 1, 0)
	e := r.outcome(1, OK, 0)
	e.Report = []float64{0.5, 50}
	r.step(e)
	n := r.reborn(eps, []int{1})
	if got := n.s.dests[1].shared.limit; got != 50 {
		t.Fatalf("remembered pace %v", got)
	}
	n.message(2, clsSafe, 1, 0)
	e = n.outcome(2, Full, 0)
	e.Report = []float64{0, 5}
	n.step(e)
	if got := n.s.dests[1].shared; got.limit > 5 || got.told != 5 {
		t.Errorf("pace %v, limit %v after the first answer", got.limit, got.told)
	}
	sent := 0
	for id := uint64(10); id < 60; id++ {
		sent += sends(n.message(id, clsSafe, 1, 0))
	}
	if sent > 3 { // half a second of five a second, and one that is under way
		t.Errorf("%d calls at once", sent)
	}
}
