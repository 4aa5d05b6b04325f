package sender

import (
	"slices"
	"time"

	"sliptide/internal/fleet"
	"sliptide/internal/fleet/copies"
	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/journal"
)

// This file takes over the messages of lost owners: the copies of an owner's journal are sealed and read, its entries
// are written to this sender's journal and copied, the fleet agrees to the adoption, and only then are the messages
// sent.

// releaseDelay, in nanoseconds, is how long a takeover waits for the lease on this sender's own journal before it is
// released to another member.
const releaseDelay = int64(2 * time.Second)

// importTimeout limits the wait until the entries of a takeover are copied.
const importTimeout = time.Second

// journalOwner returns the owner from the name of a journal's duty; empty if the name has none. It does not check that
// the name is of a journal's duty.
func journalOwner(name string) string {
	if n := len(duty.JournalDuty("")); len(name) > n {
		return name[n:]
	}
	return ""
}

// clockOffsets are offsets, in milliseconds, that convert times of a lost owner's clock to this sender's. They differ by
// the uncertainty of the owner's clock: deadlines err on the early side, waits on the late side.
type clockOffsets struct {
	deadlines, waits int64
	known            bool // a holder knows the owner's clock; otherwise the clocks are assumed to agree
}

// clockOffsets returns the offsets for a takeover.
func (s *Sender) clockOffsets(t *takeover) clockOffsets {
	upper, lower, known := t.ClockOffsets()
	if !known {
		s.log.Warn().Str("owner", t.Owner).Msg("copies: no holder knows the lost sender's clock: its times are read as times of this machine's clock")
		return clockOffsets{}
	}
	own := int64(s.clock.Now()) - fleet.Now()/1e6
	return clockOffsets{deadlines: own - upper, waits: own - lower, known: true}
}

// convertTimes converts the times of an entry. An attempt counts from its earliest possible time.
func (o clockOffsets) convertTimes(e *journal.Entry) {
	e.Deadline += o.deadlines
	if e.MayHaveRunAt != 0 {
		e.MayHaveRunAt += o.deadlines
	}
}

// stepTakeovers starts and advances the takeovers of lost owners whose duties this member holds.
func (s *Sender) stepTakeovers(now int64, view *fleet.View) {
	c := s.copies
	for owner, d := range view.Journals {
		if owner == c.settings.Name || !view.Holds(d) || c.fleet.Token(d.Name) != d.Token {
			continue
		}
		t := c.takeovers[owner]
		if t == nil || t.Epoch != d.Token {
			t = &takeover{Takeover: copies.NewTakeover(owner, d.Token, d.Holders, view.Adoptions[owner]), startedAt: now}
			c.takeovers[owner] = t
			s.log.Info().Str("owner", owner).Strs("holders", d.Holders).Msg("copies: taking over from a lost sender")
		}
		for _, o := range t.TakeOutgoing(now) {
			c.fleet.SendCopy(o.To, o.Frame)
		}
		switch t.Advance(view.HasMember) {
		case copies.Ready:
			if c.leaseHeld {
				s.importEntries(t, d)
			} else if now-t.startedAt > releaseDelay {
				// Without the lease nothing can be copied here: another member, or the owner if it is back, may take over.
				c.fleet.Propose(&pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: view.Session, Duty: d.Name, Token: d.Token, Keep: true}}}, func(*pb.Answer, error) {})
				t.startedAt = now
				s.log.Info().Str("owner", owner).Msg("copies: takeover released to another member, as this sender lacks the lease on its own journal")
			}
		case copies.Done:
			delete(c.takeovers, owner)
			c.fleet.Release(d.Name, false)
		}
	}
}

// importEntries writes the entries found to this sender's own journal. Once they are copied, the fleet is asked to
// agree to the adoption.
func (s *Sender) importEntries(t *takeover, d *pb.Duty) {
	c := s.copies
	t.Stage, t.entryNums = copies.Copying, nil
	offsets := s.clockOffsets(t)
	view := c.fleet.View()
	var keys []uint64
	suspected := 0
	for _, e := range journal.Replay(t.LongestCopy.Records) {
		if e.TakeoverDuty != "" && duty.TakeoverByToken(view.Adoptions[journalOwner(e.TakeoverDuty)], e.TakeoverToken).GetBy() != t.Owner {
			continue // the lost owner was itself taking it over, and the fleet had not agreed
		}
		e.Num, e.TakeoverDuty, e.TakeoverToken = s.journal.NextNumber(), d.Name, d.Token
		offsets.convertTimes(e)
		if !t.Complete(c.requiredFor(e.Class)) && s.assumeAttempt(e) {
			suspected++
		}
		if e.MayHaveRunAt != 0 && !offsets.known {
			e.MayHaveRunAt = longAgo // the dedup window may be over
		}
		s.journal.Accept(e)
		c.pendingEntries[e.Num] = e
		t.entryNums = append(t.entryNums, e.Num)
		if k := keyHash([]byte(e.Key)); k != 0 && e.Confirmed && e.Ending == journal.EndingNone {
			keys = append(keys, k)
		}
	}
	s.importHolds(t, offsets.waits)
	if suspected > 0 {
		s.log.Warn().Str("owner", t.Owner).Int("messages", suspected).Msg("copies: holders that may know of attempts are unreachable: messages whose class limits repeats count as sent already")
	}
	s.stepDue = true // this step writes and copies the entries, to fewer holders if fewer members are left
	c.waits = append(c.waits, holderWait{
		required: max(min(c.maxRequired(), len(c.fleet.View().Present)-1), 0),
		deadline: time.Now().Add(importTimeout),
		done: func(acknowledged bool) {
			if !acknowledged {
				s.abandonTakeover(t)
				return
			}
			s.proposeAdoption(t, d, keys)
		},
	})
}

// proposeAdoption asks the fleet to agree to the adoption of the imported entries, whose clients' keys are keys.
func (s *Sender) proposeAdoption(t *takeover, d *pb.Duty, keys []uint64) {
	t.Stage = copies.Adopting
	adopt := &pb.Adopt{Session: d.Session, Duty: d.Name, Token: d.Token, Incarnation: t.LongestCopy.Incarnation, Upto: t.LongestCopy.Upto, Keys: keys}
	s.copies.fleet.Propose(&pb.Command{What: &pb.Command_Adopt{Adopt: adopt}}, func(a *pb.Answer, err error) {
		s.enqueueCopyInput(copyInput{run: func() { s.handleAdoption(t, a.GetKeys(), err) }})
	})
}

// abandonTakeover abandons an attempt at a takeover. A new one begins if the duty is still held.
func (s *Sender) abandonTakeover(t *takeover) {
	for _, num := range t.entryNums {
		if e := s.copies.pendingEntries[num]; e != nil {
			delete(s.copies.pendingEntries, num)
			s.journal.Revoke(e)
		}
	}
	if s.copies.takeovers[t.Owner] == t {
		delete(s.copies.takeovers, t.Owner)
	}
}

// handleAdoption handles the fleet's answer to an adoption. After an error settlePending learns the result from the
// view.
func (s *Sender) handleAdoption(t *takeover, keysElsewhere []uint64, err error) {
	if err != nil {
		s.log.Warn().Err(err).Str("owner", t.Owner).Msg("copies: the fleet has not confirmed the takeover yet")
		return
	}
	s.activateEntries(t.Owner, t.Epoch, t.holds, keysElsewhere)
	t.Stage = copies.Done
}

// activateEntries makes the entries of an agreed takeover this sender's messages. Entries with a key in keysElsewhere
// were resubmitted to another sender, which is responsible for them now: they are not sent but abandoned, with a notice
// about their old ID. The endpoints of holds are avoided until the latest deadline of the messages that are kept.
func (s *Sender) activateEntries(owner string, token uint64, holds []journal.Hold, keysElsewhere []uint64) {
	n, confirmed, avoidUntil := 0, 0, s.now
	s.honourWaits(holds)
	for num, e := range s.copies.pendingEntries {
		if journalOwner(e.TakeoverDuty) != owner || e.TakeoverToken != token {
			continue
		}
		delete(s.copies.pendingEntries, num)
		s.journal.FinishTakeover(e)
		n++
		switch {
		case e.Ending == journal.EndingNone && !e.Confirmed:
			// Its client may have been refused: it is never sent.
			s.endWithNotice(e, s.unsentEnding(e), 0)
		case e.Ending == journal.EndingNone && slices.Contains(keysElsewhere, keyHash([]byte(e.Key))):
			s.endWithNotice(e, journal.EndingAbandoned, 0)
		default:
			confirmed, avoidUntil = confirmed+1, max(avoidUntil, float64(e.Deadline))
			s.restore(e)
		}
	}
	s.avoidEndpoints(holds, avoidUntil)
	s.stepDue = true
	s.log.Info().Str("owner", owner).Int("messages", n).Int("sure", confirmed).Int("elsewhere", len(keysElsewhere)).Msg("copies: took over from a lost sender")
}

// settlePending resolves takeovers, also those of an earlier process, whose result this sender has not received.
func (s *Sender) settlePending(view *fleet.View) {
	c := s.copies
	if len(c.pendingEntries) == 0 || view.Session == 0 {
		return
	}
	type attemptKey struct {
		owner string
		token uint64
	}
	pending := map[attemptKey]bool{}
	for _, e := range c.pendingEntries {
		pending[attemptKey{journalOwner(e.TakeoverDuty), e.TakeoverToken}] = true
	}
	for key := range pending {
		adoption, d, t := view.Adoptions[key.owner], view.Journals[key.owner], c.takeovers[key.owner]
		switch {
		case duty.TakeoverByToken(adoption, key.token).GetBy() == c.settings.Name:
			var holds []journal.Hold
			if t != nil && t.Epoch == key.token {
				t.Stage, holds = copies.Done, t.holds
			}
			s.activateEntries(key.owner, key.token, holds, duty.TakeoverByToken(adoption, key.token).Elsewhere)
		case adoption != nil && adoption.Token > key.token, view.Holds(d) && d.Token > key.token, d != nil && !view.Holds(d), d == nil:
			// Another member holds the duty now, or none: the adoption was not agreed to and never will be.
			for num, e := range c.pendingEntries {
				if journalOwner(e.TakeoverDuty) == key.owner && e.TakeoverToken == key.token {
					delete(c.pendingEntries, num)
					s.journal.Revoke(e)
				}
			}
			if t != nil && t.Epoch == key.token {
				delete(c.takeovers, key.owner)
			}
		}
	}
}
