package sender

import (
	"sync"

	"sliptide/internal/fleet/trial"
	"sliptide/internal/storm"
	"sliptide/policy"
)

// Fleet is the fleet of which a sender is a member. No method blocks.
type Fleet interface {
	Request(duty, zone string)     // requests a duty, or a place in its queue
	Release(duty string, end bool) // gives a duty up; end: no member needs it any longer
	Publish(duty, value string)    // publishes the value of a duty that this member holds
	Token(duty string) uint64      // the fencing token of a duty that this member holds now; 0 if it does not
	HeldDuties() int               // the number of duties held now
	Live() bool                    // whether this member's view of the fleet can be relied on now
}

// trials is a sender's part in the half-open trials that a fleet shares. Updates of duties arrive on a goroutine of the
// fleet; the latest of each duty is kept for the next step, so that neither side blocks the other.
type trials struct {
	state   *trial.State
	fleet   Fleet
	mu      sync.Mutex
	updates map[int]trial.Update // by destination; guarded by mu
}

// UpdateDuty queues an update of a duty for the next step. It does not block and is safe for concurrent use.
func (s *Sender) UpdateDuty(duty string, u trial.Update) {
	dest, ok := trial.Dest(duty)
	if s.trials == nil || !ok {
		return
	}
	t := s.trials
	t.mu.Lock()
	t.updates[dest] = u
	t.mu.Unlock()
	s.Wake()
}

// SetFleet makes the sender a member of a fleet. It is called before Run.
func (s *Sender) SetFleet(f Fleet) { s.fleet = f }

// ShareTrials makes the sender share trials with the fleet. It is called before Run.
func (s *Sender) ShareTrials(f Fleet, set trial.Settings) {
	s.trials = &trials{state: trial.New(set), fleet: f, updates: map[int]trial.Update{}}
}

// step passes the queued updates to the state of the trials.
func (t *trials) step(now float64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	updates := t.updates
	t.updates = map[int]trial.Update{}
	t.mu.Unlock()
	t.state.SetLive(t.fleet.Live())
	for dest, update := range updates {
		t.state.HandleUpdate(now, dest, update)
	}
}

// requestDuties requests, releases and updates duties as the shared trials demand.
func (t *trials) requestDuties(zone string) {
	if t == nil {
		return
	}
	for _, a := range t.state.TakeActions() {
		name := trial.Duty(a.Dest)
		switch {
		case a.Request:
			t.fleet.Request(name, zone)
		case a.Release:
			t.fleet.Release(name, false)
		case a.Publish != "" && t.fleet.Token(name) != 0:
			t.fleet.Publish(name, a.Publish)
		}
	}
}

// stormThrottles returns the changed throttles of storm control, as adjusted by the fleet's shared trials.
func (s *Sender) stormThrottles() []storm.Throttle {
	list := s.stormGuard.Throttles(s.now)
	if s.trials == nil {
		return list
	}
	s.trials.step(s.now)
	for i := range list {
		list[i] = s.trials.state.AdjustThrottle(s.now, list[i])
	}
	list = append(list, s.trials.state.ChangedThrottles(s.now)...)
	s.trials.requestDuties(s.zoneName())
	return list
}

func (s *Sender) zoneName() string {
	if s.settings.Zone >= 0 && s.settings.Zone < len(s.settings.Zones) {
		return s.settings.Zones[s.settings.Zone]
	}
	return ""
}

// recordFailedCall reports a failed call to the shared trials.
func (s *Sender) recordFailedCall(dest int, e *policy.Event) {
	if s.trials != nil && e.Kind == policy.EvOutcome && e.Outcome != policy.OK && e.Outcome != policy.Moot {
		s.trials.state.CallFailed(s.now, dest)
	}
}
