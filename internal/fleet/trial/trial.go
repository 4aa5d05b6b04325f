// Package trial decides which member makes the trial calls to a partner that is down. One member of the fleet holds
// the duty trial/PARTNER and makes the trials; the others suspend their own trials while they receive its updates, and
// resume them when the updates stop. A State is one member's part in that, for all partners.
//
// It is pure: no clock, no I/O, no goroutine. Times are milliseconds on the caller's clock, rates calls per second.
// It changes only the paces that internal/storm requests of the decision module while a partner is down. Without an
// update it suspends trials for at most SilenceTimeoutMS. Without a holder, a quorum or this member's own session,
// every sender behaves as it does without a fleet.
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
	suspendedRate  = 1e-3   // a pace that suspends all trials; a rate of 0 would set no pace
	maxTrialRate   = 10.0   // the holder's pace is raised to at most this; its fraction for trials allows one per 500 ms
	downIntervalMS = 1000.0 // shortest time from a published value to the next "down"
)

// A holder publishes one of these as the value of its duty, followed by a number that grows.
const (
	Down = "down" // the partner is still down
	Open = "open" // the outage is over
)

// Duty returns the name of a partner's duty.
func Duty(dest int) string { return duty.PartnerDuty(kind, dest) }

// Dest returns the partner of a duty, false if the duty is of another kind.
func Dest(name string) (int, bool) { return duty.ParsePartnerDuty(kind, name) }

// Update is a reported state of a duty.
type Update struct {
	Holder      string // empty: none
	HeldLocally bool   // this member is the holder
	Value       string // the holder's latest published value, with its number
}

// Settings configure a State.
type Settings struct {
	Senders          int     // number of senders in the fleet; less than 1 counts as 1
	SilenceTimeoutMS float64 // suspended trials resume this long after the last change of the holder or its value
}

// Action is what the member is to do about a partner's duty: one of the last three fields is set.
type Action struct {
	Dest    int
	Request bool   // request the duty
	Release bool   // release the duty
	Publish string // publish this value
}

// State is one member's part in the trials of all partners. A nil State suspends no trials.
type State struct {
	settings     Settings
	partners     map[int]*partner
	actions      []Action
	sessionValid bool // this member's session is valid
}

type partner struct {
	phase       storm.Phase
	outageSince float64 // when the outage began
	update      Update
	updatedAt   float64        // when the holder or its value last changed, or the outage began
	publishedAt float64        // when this member last published a value
	valueNumber int            // of that value
	suspended   bool           // trials are suspended, by the last throttle returned
	raised      bool           // the pace is raised, by the last throttle returned
	throttle    storm.Throttle // as storm control last requested it
}

// New returns a State without partners.
func New(set Settings) *State {
	set.Senders = max(set.Senders, 1)
	return &State{settings: set, partners: map[int]*partner{}}
}

// AdjustThrottle takes the throttle that storm control requests at a partner, and returns the one to apply instead.
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

// CallFailed takes a failed call to a partner. The holder publishes that the partner is still down, at most once each
// downIntervalMS.
func (s *State) CallFailed(now float64, dest int) {
	if s == nil {
		return
	}
	if p := s.partners[dest]; p != nil && p.update.HeldLocally && p.phase == storm.Outage && now-p.publishedAt >= downIntervalMS {
		s.publish(dest, p, now, Down)
	}
}

func (s *State) publish(dest int, p *partner, now float64, status string) {
	p.valueNumber++
	p.publishedAt = now
	s.actions = append(s.actions, Action{Dest: dest, Publish: status + " " + strconv.Itoa(p.valueNumber)})
}

// HandleUpdate takes an update of a partner's duty. It ignores a partner that is calm here.
func (s *State) HandleUpdate(now float64, dest int, update Update) {
	if s == nil {
		return
	}
	p := s.partners[dest]
	if p == nil {
		return // no outage of this partner here
	}
	if update.Holder != p.update.Holder || update.Value != p.update.Value {
		p.updatedAt = now // also gives a new holder time for its first value
	}
	if update.HeldLocally && !p.update.HeldLocally && p.phase != storm.Outage {
		s.publish(dest, p, now, Open) // the previous holder went away while the partner came back
	}
	p.update = update
}

// SetLive sets whether this member's session is valid. Without it no update can be relied on.
func (s *State) SetLive(live bool) {
	if s != nil {
		s.sessionValid = live
	}
}

// ChangedThrottles returns the throttles that time or updates have changed since they were last returned.
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

// TakeActions returns and clears the pending actions.
func (s *State) TakeActions() []Action {
	if s == nil {
		return nil
	}
	actions := s.actions
	s.actions = nil
	return actions
}

// NextChange returns when time alone may next change a throttle, +Inf if never.
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

// trialState reports whether trials are suspended here, and whether the pace is raised because this member makes the
// trials of the fleet.
func (s *State) trialState(now float64, p *partner) (suspended, raised bool) {
	if p.phase != storm.Outage || !s.sessionValid {
		return false, false
	}
	if p.update.HeldLocally {
		return false, true
	}
	open := strings.HasPrefix(p.update.Value, Open)
	return p.update.Holder != "" && !open && now < p.updatedAt+s.settings.SilenceTimeoutMS, false
}

// adjust returns the throttle of a partner, adjusted to the known state of its duty.
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
		} else if fleetRate := pace.Rate * float64(s.settings.Senders); pace.Rate > 0 { // with the parts unused by the others
			pace.Rate = max(pace.Rate, min(fleetRate, maxTrialRate))
		}
	}
	return t
}
