package sender

import (
	"sync"

	"sliptide/internal/fleet/trial"
	"sliptide/internal/storm"
	"sliptide/policy"
)

// Fleet is what a sender needs of the fleet that it is a member of. None of its calls waits.
type Fleet interface {
	Request(duty, zone string)
	Release(duty string, end bool)
	Publish(duty, word string)
	Token(duty string) uint64 // the fencing token of a duty that is held at this moment, 0 if it is not
	HeldDuties() int          // how many are held at this moment
	Live() bool               // whether what is heard of the fleet can be relied on at this moment
}

// trials is a sender's part in the trials that a fleet shares. News of duties come on a goroutine of the fleet's
// and wait here, the last of each, for the next step: the fleet waits for no sender, nor a sender for the fleet.
type trials struct {
	state   *trial.Board
	fleet   Fleet
	mu      sync.Mutex
	updates map[int]trial.News
}

// Heard takes news of a duty.
func (s *Sender) UpdateDuty(duty string, n trial.News) {
	dest, ok := trial.Dest(duty)
	if s.trials == nil || !ok {
		return
	}
	t := s.trials
	t.mu.Lock()
	t.updates[dest] = n
	t.mu.Unlock()
	s.Wake()
}

// Join gives the sender the fleet, before Run.
func (s *Sender) SetFleet(f Fleet) { s.fleet = f }

// ShareTrials gives it its part in the trials that the fleet shares, before Run.
func (s *Sender) ShareTrials(f Fleet, set trial.Settings) {
	s.trials = &trials{state: trial.New(set), fleet: f, updates: map[int]trial.News{}}
}

func (t *trials) step(now float64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	news := t.updates
	t.updates = map[int]trial.News{}
	t.mu.Unlock()
	t.state.Live(t.fleet.Live())
	for dest, n := range news {
		t.state.Heard(now, dest, n)
	}
}

// act carries out what the board asks about duties.
func (t *trials) requestDuties(zone string) {
	if t == nil {
		return
	}
	for _, a := range t.state.Acts() {
		name := trial.Duty(a.Dest)
		switch {
		case a.Want:
			t.fleet.Request(name, zone)
		case a.Leave:
			t.fleet.Release(name, false)
		case a.Say != "" && t.fleet.Token(name) != 0:
			t.fleet.Publish(name, a.Say)
		}
	}
}

// weatherOrders are what storms ask, as the fleet's trials change it.
func (s *Sender) stormOrders() []storm.Order {
	list := s.stormGuard.Orders(s.now)
	if s.trials == nil {
		return list
	}
	s.trials.step(s.now)
	for i := range list {
		list[i] = s.trials.state.Ordered(s.now, list[i])
	}
	list = append(list, s.trials.state.Changed(s.now)...)
	s.trials.requestDuties(s.zoneName())
	return list
}

func (s *Sender) zoneName() string {
	if s.settings.Zone >= 0 && s.settings.Zone < len(s.settings.Zones) {
		return s.settings.Zones[s.settings.Zone]
	}
	return ""
}

// tried tells the fleet's trials of a call that failed.
func (s *Sender) recordFailedCall(dest int, e *policy.Event) {
	if s.trials != nil && e.Kind == policy.EvOutcome && e.Outcome != policy.OK && e.Outcome != policy.Moot {
		s.trials.state.Tried(s.now, dest)
	}
}
