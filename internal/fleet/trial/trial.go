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
func (b *State) AdjustThrottle(now float64, o storm.Throttle) storm.Throttle {
	if b == nil {
		return o
	}
	d := b.partners[o.Dest]
	if d == nil {
		if o.Phase != storm.Outage {
			return o
		}
		d = &partner{publishedAt: math.Inf(-1)}
		b.partners[o.Dest] = d
	}
	was := d.phase
	d.phase, d.throttle = o.Phase, o
	switch {
	case o.Phase == storm.Outage && was != storm.Outage:
		d.outageSince, d.updatedAt = now, now
		b.actions = append(b.actions, Action{Dest: o.Dest, Request: true})
	case o.Phase != storm.Outage && was == storm.Outage && d.update.HeldLocally:
		b.publish(o.Dest, d, now, Open)
	}
	if o.Phase == storm.Calm {
		b.actions = append(b.actions, Action{Dest: o.Dest, Release: true})
		delete(b.partners, o.Dest)
	}
	return b.adjust(now, d)
}

// Tried takes a failed call to a partner: the holder tells that it is down still.
func (b *State) CallFailed(now float64, id int) {
	if b == nil {
		return
	}
	if d := b.partners[id]; d != nil && d.update.HeldLocally && d.phase == storm.Outage && now-d.publishedAt >= downIntervalMS {
		b.publish(id, d, now, Down)
	}
}

func (b *State) publish(id int, d *partner, now float64, word string) {
	d.wordNumber++
	d.publishedAt = now
	b.actions = append(b.actions, Action{Dest: id, Publish: word + " " + strconv.Itoa(d.wordNumber)})
}

// Heard takes news of a partner's duty.
func (b *State) HandleUpdate(now float64, id int, n Update) {
	if b == nil {
		return
	}
	d := b.partners[id]
	if d == nil {
		return // a partner that is well here
	}
	if n.Holder != d.update.Holder || n.Word != d.update.Word {
		d.updatedAt = now // a new holder is given time for its first word
	}
	if n.HeldLocally && !d.update.HeldLocally && d.phase != storm.Outage {
		b.publish(id, d, now, Open) // the last holder went while the partner came back
	}
	d.update = n
}

// Live takes whether this member's session holds: without it nothing that was heard can be relied on.
func (b *State) SetLive(live bool) {
	if b != nil {
		b.sessionHeld = live
	}
}

// Changed returns the orders that time or news have changed since they were given.
func (b *State) ChangedThrottles(now float64) (list []storm.Throttle) {
	if b == nil {
		return nil
	}
	for _, d := range b.partners {
		if hush, holds := b.trialState(now, d); hush != d.suspended || holds != d.raised {
			list = append(list, b.adjust(now, d))
		}
	}
	slices.SortFunc(list, func(x, y storm.Throttle) int { return x.Dest - y.Dest })
	return list
}

// Acts returns what is to be done about duties, and forgets it.
func (b *State) TakeActions() []Action {
	if b == nil {
		return nil
	}
	acts := b.actions
	b.actions = nil
	return acts
}

// Next is when Changed may have something by time alone, +Inf if never.
func (b *State) NextChange() float64 {
	next := math.Inf(1)
	if b == nil {
		return next
	}
	for _, d := range b.partners {
		if d.suspended {
			next = min(next, d.updatedAt+b.settings.SilenceTimeoutMS)
		}
	}
	return next
}

// state tells whether trials are held back here, and whether this member makes those of the fleet.
func (b *State) trialState(now float64, d *partner) (hush, holds bool) {
	if d.phase != storm.Outage || !b.sessionHeld {
		return false, false
	}
	if d.update.HeldLocally {
		return false, true
	}
	open := strings.HasPrefix(d.update.Word, Open)
	return d.update.Holder != "" && !open && now < d.updatedAt+b.settings.SilenceTimeoutMS, false
}

// adjusted is the order as it stands with what is known of the duty.
func (b *State) adjust(now float64, d *partner) storm.Throttle {
	d.suspended, d.raised = b.trialState(now, d)
	o := d.throttle
	if !d.suspended && !d.raised {
		return o
	}
	o.Paces = slices.Clone(o.Paces)
	for i := range o.Paces {
		p := &o.Paces[i]
		if d.suspended {
			p.Rate = min(p.Rate, suspendedRate)
		} else if part := p.Rate * float64(b.settings.Senders); p.Rate > 0 { // the others' parts, which they leave unused
			p.Rate = max(p.Rate, min(part, maxTrialRate))
		}
	}
	return o
}
