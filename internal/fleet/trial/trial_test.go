package trial

import (
	"math"
	"testing"

	"sliptide/internal/storm"
)

func outage(rate float64) storm.Throttle {
	return storm.Throttle{Dest: 7, Phase: storm.Outage, Paces: []storm.Pace{{Rate: rate}}, DialRate: 1}
}

func newLiveState() *State {
	s := New(Settings{Senders: 100, SilenceTimeoutMS: 4000})
	s.SetLive(true)
	return s
}

// TestOthersWait: one that does not hold the trial waits while it hears that the partner is down, and no longer.
func TestOthersWait(t *testing.T) {
	s := newLiveState()
	if o := s.AdjustThrottle(0, outage(0.5)); o.Paces[0].Rate != 0.5 {
		t.Errorf("with nobody's word: %v", o)
	}
	if acts := s.TakeActions(); len(acts) != 1 || !acts[0].Request {
		t.Errorf("acts %v", acts)
	}
	s.HandleUpdate(100, 7, Update{Holder: "n2"})
	list := s.ChangedThrottles(100)
	if len(list) != 1 || list[0].Paces[0].Rate != suspendedRate {
		t.Fatalf("another holds it: %v", list)
	}
	s.HandleUpdate(3000, 7, Update{Holder: "n2", Word: "down 1"})
	if at := s.NextChange(); at != 7000 {
		t.Errorf("it waits until %v", at)
	}
	if list := s.ChangedThrottles(6999); len(list) != 0 {
		t.Errorf("before the bound: %v", list)
	}
	if list := s.ChangedThrottles(7000); len(list) != 1 || list[0].Paces[0].Rate != 0.5 {
		t.Errorf("after the bound without a word: %v", list)
	}
	s.HandleUpdate(7100, 7, Update{Holder: "n2", Word: "down 2"})
	if list := s.ChangedThrottles(7100); len(list) != 1 || list[0].Paces[0].Rate != suspendedRate {
		t.Errorf("a word again: %v", list)
	}
	s.HandleUpdate(7200, 7, Update{Holder: "n2", Word: "open 3"})
	if list := s.ChangedThrottles(7200); len(list) != 1 || list[0].Paces[0].Rate != 0.5 {
		t.Errorf("the partner is back: %v", list)
	}
}

// TestNobodySilences: without a session, a holder, or a fleet, nothing is held back.
func TestNothingSuspendsWithoutFleet(t *testing.T) {
	s := newLiveState()
	s.AdjustThrottle(0, outage(0.5))
	s.HandleUpdate(100, 7, Update{Holder: "n2"})
	s.ChangedThrottles(100)
	s.SetLive(false)
	if list := s.ChangedThrottles(200); len(list) != 1 || list[0].Paces[0].Rate != 0.5 {
		t.Errorf("the session is over: %v", list)
	}
	s.SetLive(true)
	s.ChangedThrottles(300)
	s.HandleUpdate(400, 7, Update{})
	if list := s.ChangedThrottles(400); len(list) != 1 || list[0].Paces[0].Rate != 0.5 {
		t.Errorf("nobody holds it: %v", list)
	}
	var none *State
	if o := none.AdjustThrottle(0, outage(0.5)); o.Paces[0].Rate != 0.5 || none.ChangedThrottles(0) != nil || none.TakeActions() != nil || !math.IsInf(none.NextChange(), 1) {
		t.Errorf("without a fleet: %v", o)
	}
	none.SetLive(true)
	none.HandleUpdate(0, 7, Update{})
	none.CallFailed(0, 7)
}

// TestHolder: the holder tries at the others' parts, up to a bound, tells that the partner is down now and then, and
// that it is back at once.
func TestHolder(t *testing.T) {
	s := newLiveState()
	s.AdjustThrottle(0, outage(0.05))
	s.TakeActions()
	s.HandleUpdate(100, 7, Update{Holder: "n1", HeldLocally: true})
	if list := s.ChangedThrottles(100); len(list) != 1 || math.Abs(list[0].Paces[0].Rate-5) > 1e-9 {
		t.Errorf("the holder's pace: %v", list)
	}
	s.CallFailed(200, 7)
	s.CallFailed(300, 7)
	s.CallFailed(1200, 7)
	if acts := s.TakeActions(); len(acts) != 2 || acts[0].Publish != "down 1" || acts[1].Publish != "down 2" {
		t.Errorf("words %v", acts)
	}
	o := s.AdjustThrottle(1300, storm.Throttle{Dest: 7, Phase: storm.Returning, Paces: []storm.Pace{{Rate: 0.05}}})
	if acts := s.TakeActions(); len(acts) != 1 || acts[0].Publish != "open 3" || o.Paces[0].Rate != 0.05 {
		t.Errorf("back: %v, %v", acts, o)
	}
	s.AdjustThrottle(20000, storm.Throttle{Dest: 7, Phase: storm.Calm, Paces: []storm.Pace{{}}})
	if acts := s.TakeActions(); len(acts) != 1 || !acts[0].Release {
		t.Errorf("calm: %v", acts)
	}
	// One that takes the duty over while it sees the partner back says so.
	s = newLiveState()
	s.AdjustThrottle(0, outage(0.05))
	s.AdjustThrottle(1000, storm.Throttle{Dest: 7, Phase: storm.Returning, Paces: []storm.Pace{{Rate: 0.05}}})
	s.TakeActions()
	s.HandleUpdate(1100, 7, Update{Holder: "n1", HeldLocally: true, Word: "down 9"})
	if acts := s.TakeActions(); len(acts) != 1 || acts[0].Publish != "open 1" {
		t.Errorf("taken over: %v", acts)
	}
}

func TestNames(t *testing.T) {
	for text, want := range map[string]int{Duty(12): 12, "trial/x": -1, "limit/1": -1, "trial/-1": -1} {
		if n, ok := Dest(text); ok != (want >= 0) || ok && n != want {
			t.Errorf("%s: %d, %v", text, n, ok)
		}
	}
}
