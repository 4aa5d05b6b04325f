package sender

import (
	"slices"
	"time"

	"sliptide/internal/fleet"
	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/placement"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

// This file follows the lease on this sender's own journal: what may be done without it, which holders are requested
// with it, and what is dropped when it is held again after a takeover.

// placementInterval is the interval between checks of the placement of copies.
const placementInterval = 50 * time.Millisecond

// checkOwnLease follows the lease on this sender's own journal: it begins an epoch when the lease is gained, and drops
// the calls that have not begun when it is lost.
func (s *Sender) checkOwnLease(view *fleet.View) {
	c := s.copies
	name := duty.JournalDuty(c.settings.Name)
	if time.Since(c.requestedAt) > time.Second {
		c.requestedAt = time.Now()
		c.fleet.Request(name, "")
	}
	d := view.Journals[c.settings.Name]
	held := view.Holds(d) && c.fleet.Token(name) == d.Token
	if held != c.leaseHeld {
		c.leaseHeld = held
		if !held {
			s.dropWaitingCalls()
		}
		s.stepDue = true // waiting messages may be sent
		if reason := TooFewHoldersReason; s.lacksLease() {
			s.refusal.Store(&reason)
		} else {
			s.refusal.Store(nil)
		}
		s.log.Info().Bool("held", held).Msg("copies: lease on this sender's journal gained or lost")
	}
	if !held {
		if !view.Holds(d) {
			c.owner.BeginEpoch(0)
		}
		return
	}
	if c.owner.Epoch() != d.Token {
		c.incarnation = c.fleet.Incarnation()
		c.owner.SetIncarnation(c.incarnation)
		if a := view.Adoptions[c.settings.Name]; a != nil && a.Incarnation == c.incarnation {
			s.dropAdopted(a)
		}
		c.owner.BeginEpoch(d.Token)
		c.requestedHolders = nil
	}
	if slices.Equal(d.Holders, c.requestedHolders) {
		c.requestedHolders = nil
	}
	c.owner.SetHolders(countedHolders(d.Holders, c.requestedHolders))
	if now := time.Now(); now.After(c.nextPlacement) { // members change within seconds, not with every step
		c.nextPlacement = now.Add(placementInterval)
		s.placeCopies(view, d)
	}
}

// dropAdopted drops exactly the messages that a successor took over while this sender was away.
func (s *Sender) dropAdopted(a *pb.Adoption) {
	n := 0
	for _, m := range s.messages {
		if m.Num <= a.Upto && m.TakeoverDuty == "" {
			s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: m.Num})
			s.dropUnsent(m.call)
			s.observeMessageEnd(m.Entry, telemetry.EndingWithdrawn, 0)
			s.journal.End(m.Entry, int64(s.now))
			s.forget(m)
			n++
		}
	}
	for num, e := range s.pendingNotices {
		if num <= a.Upto {
			delete(s.pendingNotices, num)
			s.journal.End(e, int64(s.now))
			n++
		}
	}
	s.journal.SkipNumbers(a.Upto)
	s.log.Info().Int("messages", n).Str("heir", a.By).Msg("copies: messages were taken over while this sender was away")
}

// dropWaitingCalls drops the calls with messages that have not begun.
func (s *Sender) dropWaitingCalls() {
	for c := range s.calls {
		if len(c.Items) > 0 {
			s.dropUnsent(c)
		}
	}
}

// mayAttempt reports whether attempts may begin: with copies only while the lease on this sender's journal is held.
// Otherwise a successor may send the same messages.
func (s *Sender) mayAttempt() bool { return s.copies == nil || s.copies.leaseHeld }

// lacksLease reports whether messages must be refused because the lease on this sender's journal is lost.
func (s *Sender) lacksLease() bool {
	return s.copies != nil && !s.copies.settings.AcceptUncopied && !s.copies.leaseHeld
}

// TooFewHoldersReason is the reason that clients and /up receive while messages are refused for lack of holders.
const TooFewHoldersReason = "too few members can be reached to copy what is taken on"

// RefusalReason returns, for /up, why this sender accepts no messages while the lease on its journal is lost; empty: it
// is not lost, or messages are accepted uncopied. It is safe for concurrent use.
func (s *Sender) RefusalReason() string {
	if why := s.refusal.Load(); why != nil {
		return *why
	}
	return ""
}

// countedHolders returns the holders whose acknowledgements count. A holder whose removal has been requested does not:
// a successor may not be told of its copy any more.
func countedHolders(holders, requested []string) []string {
	if requested == nil {
		return holders
	}
	return slices.DeleteFunc(slices.Clone(holders), func(name string) bool { return !slices.Contains(requested, name) })
}

// placeCopies requests other holders from the fleet if the present members make another placement better.
func (s *Sender) placeCopies(view *fleet.View, d *pb.Duty) {
	c := s.copies
	full := c.owner.FullMembers(fleet.Now())
	var present []placement.Member
	for _, p := range view.Present {
		present = append(present, placement.Member{Name: p.Name, Zone: p.Zone, Full: slices.Contains(full, p.Name)})
	}
	wanted := placement.Choose(c.settings.Name, c.settings.Zone, c.settings.Count, present)
	next := placement.NextStep(d.Holders, wanted, c.owner.Synced, view.HasMember)
	if slices.Equal(next, d.Holders) || slices.Equal(next, c.requestedHolders) {
		return
	}
	c.requestedHolders = next
	c.fleet.Propose(&pb.Command{What: &pb.Command_Keep{Keep: &pb.Keep{Session: view.Session, Duty: d.Name, Token: d.Token, Holders: next}}}, func(_ *pb.Answer, err error) {
		if err != nil { // otherwise the request stands until the view shows its result
			s.enqueueCopyInput(copyInput{run: func() { c.requestedHolders = nil }})
		}
	})
}
