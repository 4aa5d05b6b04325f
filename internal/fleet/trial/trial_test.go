package trial

import (
	"math"
	"testing"

	"sliptide/internal/storm"
)

// outage returns the throttle of destination 7 during an outage, with a pace of the given rate.
func outage(rate float64) storm.Throttle {
	return storm.Throttle{Dest: 7, Phase: storm.Outage, Paces: []storm.Pace{{Rate: rate}}, DialRate: 1}
}

// newLiveState returns the state of a member that has a session, in a fleet of 100 senders.
func newLiveState() *State {
	s := New(Settings{Senders: 100, SilenceTimeoutMS: 4000})
	s.SetLive(true)
	return s
}

// TestOtherMembersSuspendTrials: a member that does not hold the duty suspends its trials while it receives updates
// that the partner is down, and no longer: it resumes them 4 s (SilenceTimeoutMS) after the last update, and at once
// when the holder publishes that the partner is back.
func TestOtherMembersSuspendTrials(t *testing.T) {
	s := newLiveState()
	if o := s.AdjustThrottle(0, outage(0.5)); o.Paces[0].Rate != 0.5 {
		t.Errorf("without a holder: %v, want a rate of 0.5", o)
	}
	if acts := s.TakeActions(); len(acts) != 1 || !acts[0].Request {
		t.Errorf("actions %v, want one request of the duty", acts)
	}
	s.HandleUpdate(100, 7, Update{Holder: "n2"})
	list := s.ChangedThrottles(100)
	if len(list) != 1 || list[0].Paces[0].Rate != suspendedRate {
		t.Fatalf("another member holds the duty: %v, want one throttle at suspendedRate", list)
	}
	s.HandleUpdate(3000, 7, Update{Holder: "n2", Value: "down 1"})
	if at := s.NextChange(); at != 7000 {
		t.Errorf("trials suspended until %v, want 7000", at)
	}
	if list := s.ChangedThrottles(6999); len(list) != 0 {
		t.Errorf("before the timeout: %v, want no change", list)
	}
	if list := s.ChangedThrottles(7000); len(list) != 1 || list[0].Paces[0].Rate != 0.5 {
		t.Errorf("after the timeout without an update: %v, want one throttle at 0.5", list)
	}
	s.HandleUpdate(7100, 7, Update{Holder: "n2", Value: "down 2"})
	if list := s.ChangedThrottles(7100); len(list) != 1 || list[0].Paces[0].Rate != suspendedRate {
		t.Errorf("after a further update: %v, want one throttle at suspendedRate", list)
	}
	s.HandleUpdate(7200, 7, Update{Holder: "n2", Value: "open 3"})
	if list := s.ChangedThrottles(7200); len(list) != 1 || list[0].Paces[0].Rate != 0.5 {
		t.Errorf("after the partner is back: %v, want one throttle at 0.5", list)
	}
}

// TestNothingSuspendsWithoutFleet: without a session, a holder or a fleet, no trials are suspended.
func TestNothingSuspendsWithoutFleet(t *testing.T) {
	s := newLiveState()
	s.AdjustThrottle(0, outage(0.5))
	s.HandleUpdate(100, 7, Update{Holder: "n2"})
	s.ChangedThrottles(100)
	s.SetLive(false)
	if list := s.ChangedThrottles(200); len(list) != 1 || list[0].Paces[0].Rate != 0.5 {
		t.Errorf("without a session: %v, want one throttle at 0.5", list)
	}
	s.SetLive(true)
	s.ChangedThrottles(300)
	s.HandleUpdate(400, 7, Update{})
	if list := s.ChangedThrottles(400); len(list) != 1 || list[0].Paces[0].Rate != 0.5 {
		t.Errorf("the duty has no holder: %v, want one throttle at 0.5", list)
	}
	var none *State
	if o := none.AdjustThrottle(0, outage(0.5)); o.Paces[0].Rate != 0.5 || none.ChangedThrottles(0) != nil || none.TakeActions() != nil || !math.IsInf(none.NextChange(), 1) {
		t.Errorf("without a fleet: %v, want a rate of 0.5, no changes and no actions", o)
	}
	none.SetLive(true)
	none.HandleUpdate(0, 7, Update{})
	none.CallFailed(0, 7)
}

// TestHolder: the holder makes trials at the paces of all members together. It publishes at intervals that the partner
// is down, and at once that it is back; once the partner is calm it releases the duty.
func TestHolder(t *testing.T) {
	s := newLiveState()
	s.AdjustThrottle(0, outage(0.05))
	s.TakeActions()
	s.HandleUpdate(100, 7, Update{Holder: "n1", HeldLocally: true})
	if list := s.ChangedThrottles(100); len(list) != 1 || math.Abs(list[0].Paces[0].Rate-5) > 1e-9 {
		t.Errorf("the holder's pace: %v, want 5, a hundred times 0.05", list)
	}
	s.CallFailed(200, 7)
	s.CallFailed(300, 7)
	s.CallFailed(1200, 7)
	if acts := s.TakeActions(); len(acts) != 2 || acts[0].Publish != "down 1" || acts[1].Publish != "down 2" {
		t.Errorf("published values %v, want down 1 and down 2", acts)
	}
	o := s.AdjustThrottle(1300, storm.Throttle{Dest: 7, Phase: storm.Returning, Paces: []storm.Pace{{Rate: 0.05}}})
	if acts := s.TakeActions(); len(acts) != 1 || acts[0].Publish != "open 3" || o.Paces[0].Rate != 0.05 {
		t.Errorf("partner back: actions %v, throttle %v; want open 3 published, and a rate of 0.05", acts, o)
	}
	s.AdjustThrottle(20000, storm.Throttle{Dest: 7, Phase: storm.Calm, Paces: []storm.Pace{{}}})
	if acts := s.TakeActions(); len(acts) != 1 || !acts[0].Release {
		t.Errorf("calm: actions %v, want the release of the duty", acts)
	}
	// A member that takes over the duty while the partner is back here publishes that at once.
	s = newLiveState()
	s.AdjustThrottle(0, outage(0.05))
	s.AdjustThrottle(1000, storm.Throttle{Dest: 7, Phase: storm.Returning, Paces: []storm.Pace{{Rate: 0.05}}})
	s.TakeActions()
	s.HandleUpdate(1100, 7, Update{Holder: "n1", HeldLocally: true, Value: "down 9"})
	if acts := s.TakeActions(); len(acts) != 1 || acts[0].Publish != "open 1" {
		t.Errorf("after the takeover: %v, want open 1 published", acts)
	}
}

// TestNames checks that Dest accepts the names that Duty returns, and no duties of other kinds or malformed names.
func TestNames(t *testing.T) {
	for text, want := range map[string]int{Duty(12): 12, "trial/x": -1, "limit/1": -1, "trial/-1": -1} {
		if n, ok := Dest(text); ok != (want >= 0) || ok && n != want {
			t.Errorf("%s: destination %d, accepted %v", text, n, ok)
		}
	}
}
