// Package trial decides who makes the first calls to a partner that is down. One member of the fleet holds the
// duty trial/PARTNER and tries; the others hold their own trials back while they hear from it, and go on by
// themselves once they do not. A Board is one member's part in that, over all partners.
//
// It is pure: no clock, no I/O, no goroutine. Times are milliseconds on the caller's clock, rates calls a second.
// It changes nothing but the paces that internal/storm asks of the decision module while a partner is down, and
// never for longer than Bound without a word: a fleet without a holder, a quorum or this member's own session
// leaves every sender as it is without a fleet.
package trial

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"sliptide/internal/fleet/duty"
	"sliptide/internal/storm"
)

const (
	kind           = "trial"
	suspendedRate  = 1e-3   // a pace that holds every trial back, yet is one: 0 would be none
	maxTrialRate   = 10.0   // the holder's pace at most: a trial each half second, by the share that trials may take
	downIntervalMS = 1000.0 // between two words that the partner is down still
)

// The words.
const (
	Down = "down"
	Open = "open"
)

// Duty is the name of a partner's duty.
func Duty(dest int) string { return duty.Partner(kind, dest) }

// Dest is the partner of a duty, false if the duty is of another kind.
func Dest(name string) (int, bool) { return duty.PartnerOf(kind, name) }

// News is what is heard of a duty.
type Update struct {
	Holder      string // empty: nobody
	HeldLocally bool   // this member holds it
	Word        string // the holder's last, with a number that grows
}

// Settings are what a Board starts with.
type Settings struct {
	Senders          int
	SilenceTimeoutMS float64
}

// Act is what a member is to do about a partner's duty.
type Action struct {
	Dest    int
	Request bool   // be in line for it,
	Release bool   // or give it up
	Publish string // or tell this word
}

// Board is one member's part in the trials of all partners. A nil Board holds nothing back.
type State struct {
	settings    Settings
	partners    map[int]*partner
	actions     []Action
	sessionHeld bool // the session holds
}

type partner struct {
	phase       storm.Phase
	outageSince float64 // of the outage
	update      Update
	updatedAt   float64 // when a word last came that the partner is down, or the outage began
	publishedAt float64
	wordNumber  int
	suspended   bool // as last told
	raised      bool
	throttle    storm.Throttle
}

// New returns a Board that has heard of nothing.
func New(set Settings) *State {
	set.Senders = max(set.Senders, 1)
	return &State{settings: set, partners: map[int]*partner{}}
}

// Ordered takes what storms ask at a partner, and returns what is asked in its place.
func (s *State) AdjustThrottle(now float64, t storm.Throttle) storm.Throttle {
	if s == nil {
		return t
	}
	p := s.partners[t.Dest]
	if p == nil {
		if t.Phase != storm.Outage {
			return t
		}
		p = &partner{publishedAt: math.Inf(-1)}
		s.partners[t.Dest] = p
	}
	previous := p.phase
	p.phase, p.throttle = t.Phase, t
	switch {
	case t.Phase == storm.Outage && previous != storm.Outage:
		p.outageSince, p.updatedAt = now, now
		s.actions = append(s.actions, Action{Dest: t.Dest, Request: true})
	case t.Phase != storm.Outage && previous == storm.Outage && p.update.HeldLocally:
		s.publish(t.Dest, p, now, Open)
	}
	if t.Phase == storm.Calm {
		s.actions = append(s.actions, Action{Dest: t.Dest, Release: true})
		delete(s.partners, t.Dest)
	}
	return s.adjust(now, p)
}

// Tried takes a failed call to a partner: the holder tells that it is down still.
func (s *State) CallFailed(now float64, dest int) {
	if s == nil {
		return
	}
	if p := s.partners[dest]; p != nil && p.update.HeldLocally && p.phase == storm.Outage && now-p.publishedAt >= downIntervalMS {
		s.publish(dest, p, now, Down)
	}
}

func (s *State) publish(dest int, p *partner, now float64, word string) {
	p.wordNumber++
	p.publishedAt = now
	s.actions = append(s.actions, Action{Dest: dest, Publish: word + " " + strconv.Itoa(p.wordNumber)})
}

// Heard takes news of a partner's duty.
func (s *State) HandleUpdate(now float64, dest int, update Update) {
	if s == nil {
		return
	}
	p := s.partners[dest]
	if p == nil {
		return // a partner that is well here
	}
	if update.Holder != p.update.Holder || update.Word != p.update.Word {
		p.updatedAt = now // a new holder is given time for its first word
	}
	if update.HeldLocally && !p.update.HeldLocally && p.phase != storm.Outage {
		s.publish(dest, p, now, Open) // the last holder went while the partner came back
	}
	p.update = update
}

// Live takes whether this member's session holds: without it nothing that was heard can be relied on.
func (s *State) SetLive(live bool) {
	if s != nil {
		s.sessionHeld = live
	}
}

// Changed returns the orders that time or news have changed since they were given.
func (s *State) ChangedThrottles(now float64) (list []storm.Throttle) {
	if s == nil {
		return nil
	}
	for _, p := range s.partners {
		if suspended, raised := s.trialState(now, p); suspended != p.suspended || raised != p.raised {
			list = append(list, s.adjust(now, p))
		}
	}
	slices.SortFunc(list, func(x, y storm.Throttle) int { return x.Dest - y.Dest })
	return list
}

// Acts returns what is to be done about duties, and forgets it.
func (s *State) TakeActions() []Action {
	if s == nil {
		return nil
	}
	actions := s.actions
	s.actions = nil
	return actions
}

// Next is when Changed may have something by time alone, +Inf if never.
func (s *State) NextChange() float64 {
	next := math.Inf(1)
	if s == nil {
		return next
	}
	for _, p := range s.partners {
		if p.suspended {
			next = min(next, p.updatedAt+s.settings.SilenceTimeoutMS)
		}
	}
	return next
}

// state tells whether trials are held back here, and whether this member makes those of the fleet.
func (s *State) trialState(now float64, p *partner) (suspended, raised bool) {
	if p.phase != storm.Outage || !s.sessionHeld {
		return false, false
	}
	if p.update.HeldLocally {
		return false, true
	}
	open := strings.HasPrefix(p.update.Word, Open)
	return p.update.Holder != "" && !open && now < p.updatedAt+s.settings.SilenceTimeoutMS, false
}

// adjusted is the order as it stands with what is known of the duty.
func (s *State) adjust(now float64, p *partner) storm.Throttle {
	p.suspended, p.raised = s.trialState(now, p)
	t := p.throttle
	if !p.suspended && !p.raised {
		return t
	}
	t.Paces = slices.Clone(t.Paces)
	for i := range t.Paces {
		pace := &t.Paces[i]
		if p.suspended {
			pace.Rate = min(pace.Rate, suspendedRate)
		} else if fleetRate := pace.Rate * float64(s.settings.Senders); pace.Rate > 0 { // the others' parts, which they leave unused
			pace.Rate = max(pace.Rate, min(fleetRate, maxTrialRate))
		}
	}
	return t
}
