package sender

import (
	"slices"
	"time"

	"sliptide/internal/fleet"
	"sliptide/internal/fleet/copies"
	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/journal"
	"sliptide/policy"
)

// This file takes over what a lost owner had: its copies are sealed and read, put into this sender's own journal and
// copied, agreed on by the fleet, and only then sent.

// handOnAfter is how long an heir waits for its own journal with what it has found of another's.
const handOnAfter = int64(2 * time.Second)

// ownerOf is the owner of a journal's duty; empty: it is none.
func ownerOf(name string) string {
	if n := len(duty.Own("")); len(name) > n {
		return name[n:]
	}
	return ""
}

// shifts is what moves times of the owner's clock to this sender's, in milliseconds: deadlines rather too early, waits
// rather too late. Where no holder knows the owner's clock any more, all machines' clocks are taken to agree, as after a
// restart of one's own.
func (s *Sender) shifts(h *heirOf) (deadlines, waits int64) {
	soon, late, known := h.ClockOffsets()
	if !known {
		s.log.Warn().Str("owner", h.Owner).Msg("copies: nobody knows the lost sender's clock: its deadlines go by this machine's")
		return 0, 0
	}
	own := int64(s.clock.Now()) - fleet.Now()/1e6
	return own - soon, own - late
}

// inherit takes over what lost owners had whose duty this member holds.
func (s *Sender) inherit(now int64, look *fleet.Look) {
	c := s.copies
	for owner, d := range look.Own {
		if owner == c.set.Name || !look.Mine(d) || c.fleet.Token(d.Name) != d.Token {
			continue
		}
		h := c.heirs[owner]
		if h == nil || h.Epoch != d.Token {
			h = &heirOf{Takeover: copies.NewTakeover(owner, d.Token, d.Holders, look.Adopted[owner]), began: now}
			c.heirs[owner] = h
			s.log.Info().Str("owner", owner).Strs("holders", d.Holders).Msg("copies: taking over from a lost sender")
		}
		for _, o := range h.TakeOutgoing(now) {
			c.fleet.SendCopy(o.To, o.Frame)
		}
		switch h.Advance(look.Is) {
		case copies.Ready:
			if c.live {
				s.bring(h, d)
			} else if now-h.began > handOnAfter { // it can copy nothing: another one may, or the owner that is back
				c.fleet.Propose(&pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: look.Session, Duty: d.Name, Token: d.Token, Keep: true}}}, func(*pb.Answer, error) {})
				h.began = now
				s.log.Info().Str("owner", owner).Msg("copies: handed on to another heir, as this sender does not hold its own journal")
			}
		case copies.Done:
			delete(c.heirs, owner)
			c.fleet.Release(d.Name, false)
		}
	}
}

func (s *Sender) forbidsRepeats(name string) bool {
	class, _ := s.ClassOf([]byte(name))
	return class >= 0 && s.set.Classes[class].Effect == policy.Unsafe
}

// bring puts what was found into this sender's own journal; once that is copied, the fleet is asked to agree.
func (s *Sender) bring(h *heirOf, d *pb.Duty) {
	c := s.copies
	h.Stage, h.nums = copies.Copying, nil
	shift, waits := s.shifts(h)
	look := c.fleet.View()
	var keys []uint64
	doubted := 0
	for _, e := range journal.Replay(h.LongestCopy.Records) {
		if e.TakeoverDuty != "" && duty.Agreed(look.Adopted[ownerOf(e.TakeoverDuty)], e.TakeoverToken).GetBy() != h.Owner {
			continue // it was being taken over itself, and that was not agreed on
		}
		e.Num, e.TakeoverDuty, e.TakeoverToken = s.journal.NextNumber(), d.Name, d.Token
		e.Deadline += shift
		if e.MayHaveRunAt != 0 {
			e.MayHaveRunAt += shift
		}
		if e.MayHaveRunAt == 0 && s.forbidsRepeats(e.Class) && !h.Complete(c.needs(e.Class)) {
			e.MayHaveRunAt = int64(s.now) // it may have run: who knows of it is away
			doubted++
		}
		s.journal.Accept(e)
		c.pending[e.Num] = e
		h.nums = append(h.nums, e.Num)
		if k := keyHash([]byte(e.Key)); k != 0 && e.Confirmed && e.Ending == journal.EndingNone {
			keys = append(keys, k)
		}
	}
	s.bringHolds(h, waits)
	if doubted > 0 {
		s.log.Warn().Str("owner", h.Owner).Int("messages", doubted).Msg("copies: holders are away that may know of attempts: messages whose class forbids repeats are not sent")
	}
	s.again = true // they are written, and copied, by this very step: to as many as are left, where few are
	c.lines = append(c.lines, copyLine{needed: max(min(c.most(), len(c.fleet.View().Present)-1), 0), till: time.Now().Add(time.Second), done: func(kept bool) {
		if !kept {
			s.discard(h)
			return
		}
		h.Stage = copies.Adopting
		adopt := &pb.Adopt{Session: d.Session, Duty: d.Name, Token: d.Token, Incarnation: h.LongestCopy.Incarnation, Upto: h.LongestCopy.Upto, Keys: keys}
		c.fleet.Propose(&pb.Command{What: &pb.Command_Adopt{Adopt: adopt}}, func(a *pb.Answer, err error) {
			s.copyNews(copyNews{do: func() { s.adopted(h, a.GetKeys(), err) }})
		})
	}})
}

// discard gives up a try to take over; it begins again where the duty is still held.
func (s *Sender) discard(h *heirOf) {
	for _, num := range h.nums {
		if e := s.copies.pending[num]; e != nil {
			delete(s.copies.pending, num)
			s.journal.End(e)
		}
	}
	if s.copies.heirs[h.Owner] == h {
		delete(s.copies.heirs, h.Owner)
	}
}

// adopted takes what the fleet says of a taking over. Without a word, the look at what is agreed on tells.
func (s *Sender) adopted(h *heirOf, elsewhere []uint64, err error) {
	if err != nil {
		s.log.Warn().Err(err).Str("owner", h.Owner).Msg("copies: the fleet has not agreed yet that these messages are taken over")
		return // settlePending finds out
	}
	s.activate(h.Owner, h.Epoch, h.holds, elsewhere)
	h.Stage = copies.Done
}

// activate makes the entries of an agreed taking over this sender's messages. Those with a key of elsewhere were handed
// in again at another sender, which answers for them: they are given up by a notice about their old id, and not sent.
func (s *Sender) activate(owner string, token uint64, holds []journal.Hold, elsewhere []uint64) {
	n, sure, till := 0, 0, s.now
	s.heed(holds)
	for num, e := range s.copies.pending {
		if ownerOf(e.TakeoverDuty) != owner || e.TakeoverToken != token {
			continue
		}
		delete(s.copies.pending, num)
		s.journal.FinishTakeover(e)
		n++
		switch {
		case e.Ending == journal.EndingNone && !e.Confirmed:
			// Its client may have been refused: it is handed back, and never sent.
			s.owe(e, journal.EndingReturned, 0)
		case e.Ending == journal.EndingNone && slices.Contains(elsewhere, keyHash([]byte(e.Key))):
			s.owe(e, journal.EndingAbandoned, 0)
		default:
			sure, till = sure+1, max(till, float64(e.Deadline))
			s.restore(e)
		}
	}
	s.keepShut(holds, till)
	s.again = true
	s.log.Info().Str("owner", owner).Int("messages", n).Int("sure", sure).Int("elsewhere", len(elsewhere)).Msg("copies: took over")
}

// settlePending finds out what came of takings over whose end this sender has not heard of, of an earlier life too.
func (s *Sender) settlePending(look *fleet.Look) {
	c := s.copies
	if len(c.pending) == 0 || look.Session == 0 {
		return
	}
	type try struct {
		owner string
		token uint64
	}
	open := map[try]bool{}
	for _, e := range c.pending {
		open[try{ownerOf(e.TakeoverDuty), e.TakeoverToken}] = true
	}
	for t := range open {
		a, d, h := look.Adopted[t.owner], look.Own[t.owner], c.heirs[t.owner]
		switch {
		case duty.Agreed(a, t.token).GetBy() == c.set.Name:
			var holds []journal.Hold
			if h != nil && h.Epoch == t.token {
				h.Stage, holds = copies.Done, h.holds
			}
			s.activate(t.owner, t.token, holds, duty.Agreed(a, t.token).Elsewhere)
		case a != nil && a.Token > t.token, look.Mine(d) && d.Token > t.token, d != nil && !look.Mine(d), d == nil:
			// The duty is another's now, or nobody's: it was not agreed on, and never will be.
			for num, e := range c.pending {
				if ownerOf(e.TakeoverDuty) == t.owner && e.TakeoverToken == t.token {
					delete(c.pending, num)
					s.journal.End(e)
				}
			}
			if h != nil && h.Epoch == t.token {
				delete(c.heirs, t.owner)
			}
		}
	}
}
