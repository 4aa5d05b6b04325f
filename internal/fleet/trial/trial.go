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
	kind     = "trial"
	hushed   = 1e-3   // a pace that holds every trial back, yet is one: 0 would be none
	tryMost  = 10.0   // the holder's pace at most: a trial each half second, by the share that trials may take
	sayEvery = 1000.0 // between two words that the partner is down still
)

// The words.
const (
	Down = "down"
	Open = "open"
)

// Duty is the name of a partner's duty.
func Duty(dest int) string { return duty.PartnerDuty(kind, dest) }

// Dest is the partner of a duty, false if the duty is of another kind.
func Dest(name string) (int, bool) { return duty.ParsePartnerDuty(kind, name) }

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
	set   Settings
	dests map[int]*dest
	acts  []Action
	live  bool // the session holds
}

type dest struct {
	phase  storm.Phase
	since  float64 // of the outage
	news   Update
	heard  float64 // when a word last came that the partner is down, or the outage began
	said   float64
	number int
	hush   bool // as last told
	holds  bool
	order  storm.Throttle
}

// New returns a Board that has heard of nothing.
func New(set Settings) *State {
	set.Senders = max(set.Senders, 1)
	return &State{set: set, dests: map[int]*dest{}}
}

// Ordered takes what storms ask at a partner, and returns what is asked in its place.
func (b *State) AdjustThrottle(now float64, o storm.Throttle) storm.Throttle {
	if b == nil {
		return o
	}
	d := b.dests[o.Dest]
	if d == nil {
		if o.Phase != storm.Outage {
			return o
		}
		d = &dest{said: math.Inf(-1)}
		b.dests[o.Dest] = d
	}
	was := d.phase
	d.phase, d.order = o.Phase, o
	switch {
	case o.Phase == storm.Outage && was != storm.Outage:
		d.since, d.heard = now, now
		b.acts = append(b.acts, Action{Dest: o.Dest, Request: true})
	case o.Phase != storm.Outage && was == storm.Outage && d.news.HeldLocally:
		b.say(o.Dest, d, now, Open)
	}
	if o.Phase == storm.Calm {
		b.acts = append(b.acts, Action{Dest: o.Dest, Release: true})
		delete(b.dests, o.Dest)
	}
	return b.adjusted(now, d)
}

// Tried takes a failed call to a partner: the holder tells that it is down still.
func (b *State) CallFailed(now float64, id int) {
	if b == nil {
		return
	}
	if d := b.dests[id]; d != nil && d.news.HeldLocally && d.phase == storm.Outage && now-d.said >= sayEvery {
		b.say(id, d, now, Down)
	}
}

func (b *State) say(id int, d *dest, now float64, word string) {
	d.number++
	d.said = now
	b.acts = append(b.acts, Action{Dest: id, Publish: word + " " + strconv.Itoa(d.number)})
}

// Heard takes news of a partner's duty.
func (b *State) HandleUpdate(now float64, id int, n Update) {
	if b == nil {
		return
	}
	d := b.dests[id]
	if d == nil {
		return // a partner that is well here
	}
	if n.Holder != d.news.Holder || n.Word != d.news.Word {
		d.heard = now // a new holder is given time for its first word
	}
	if n.HeldLocally && !d.news.HeldLocally && d.phase != storm.Outage {
		b.say(id, d, now, Open) // the last holder went while the partner came back
	}
	d.news = n
}

// Live takes whether this member's session holds: without it nothing that was heard can be relied on.
func (b *State) SetLive(live bool) {
	if b != nil {
		b.live = live
	}
}

// Changed returns the orders that time or news have changed since they were given.
func (b *State) ChangedThrottles(now float64) (list []storm.Throttle) {
	if b == nil {
		return nil
	}
	for _, d := range b.dests {
		if hush, holds := b.state(now, d); hush != d.hush || holds != d.holds {
			list = append(list, b.adjusted(now, d))
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
	acts := b.acts
	b.acts = nil
	return acts
}

// Next is when Changed may have something by time alone, +Inf if never.
func (b *State) NextChange() float64 {
	next := math.Inf(1)
	if b == nil {
		return next
	}
	for _, d := range b.dests {
		if d.hush {
			next = min(next, d.heard+b.set.SilenceTimeoutMS)
		}
	}
	return next
}

// state tells whether trials are held back here, and whether this member makes those of the fleet.
func (b *State) state(now float64, d *dest) (hush, holds bool) {
	if d.phase != storm.Outage || !b.live {
		return false, false
	}
	if d.news.HeldLocally {
		return false, true
	}
	open := strings.HasPrefix(d.news.Word, Open)
	return d.news.Holder != "" && !open && now < d.heard+b.set.SilenceTimeoutMS, false
}

// adjusted is the order as it stands with what is known of the duty.
func (b *State) adjusted(now float64, d *dest) storm.Throttle {
	d.hush, d.holds = b.state(now, d)
	o := d.order
	if !d.hush && !d.holds {
		return o
	}
	o.Paces = slices.Clone(o.Paces)
	for i := range o.Paces {
		p := &o.Paces[i]
		if d.hush {
			p.Rate = min(p.Rate, hushed)
		} else if part := p.Rate * float64(b.set.Senders); p.Rate > 0 { // the others' parts, which they leave unused
			p.Rate = max(p.Rate, min(part, tryMost))
		}
	}
	return o
}
