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
	board *trial.Board
	fleet Fleet
	mu    sync.Mutex
	news  map[int]trial.News
}

// Heard takes news of a duty.
func (s *Sender) UpdateDuty(duty string, n trial.News) {
	dest, ok := trial.Dest(duty)
	if s.trials == nil || !ok {
		return
	}
	t := s.trials
	t.mu.Lock()
	t.news[dest] = n
	t.mu.Unlock()
	s.Wake()
}

// Join gives the sender the fleet, before Run.
func (s *Sender) SetFleet(f Fleet) { s.fleet = f }

// ShareTrials gives it its part in the trials that the fleet shares, before Run.
func (s *Sender) ShareTrials(f Fleet, set trial.Settings) {
	s.trials = &trials{board: trial.New(set), fleet: f, news: map[int]trial.News{}}
}

func (t *trials) step(now float64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	news := t.news
	t.news = map[int]trial.News{}
	t.mu.Unlock()
	t.board.Live(t.fleet.Live())
	for dest, n := range news {
		t.board.Heard(now, dest, n)
	}
}

// act carries out what the board asks about duties.
func (t *trials) act(zone string) {
	if t == nil {
		return
	}
	for _, a := range t.board.Acts() {
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
func (s *Sender) weatherOrders() []storm.Throttle {
	list := s.guard.Throttles(s.now)
	if s.trials == nil {
		return list
	}
	s.trials.step(s.now)
	for i := range list {
		list[i] = s.trials.board.Ordered(s.now, list[i])
	}
	list = append(list, s.trials.board.Changed(s.now)...)
	s.trials.act(s.zoneName())
	return list
}

func (s *Sender) zoneName() string {
	if s.set.Zone >= 0 && s.set.Zone < len(s.set.Zones) {
		return s.set.Zones[s.set.Zone]
	}
	return ""
}

// tried tells the fleet's trials of a call that failed.
func (s *Sender) tried(dest int, e *policy.Event) {
	if s.trials != nil && e.Kind == policy.EvOutcome && e.Outcome != policy.OK && e.Outcome != policy.Moot {
		s.trials.board.Tried(s.now, dest)
	}
}
