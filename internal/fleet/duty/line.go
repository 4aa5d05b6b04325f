package duty

import (
	"slices"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/spread"
)

// This file holds who is in line for a duty, who gets it, and how it is handed on.

// settle gives a duty without a holder to the next in line, or forgets it where nobody is. A journal of which there are
// copies is not forgotten: whoever keeps them may be in line soon.
func (s *State) regrant(d *Duty) {
	if len(d.Candidates) > 0 {
		s.grant(d)
		return
	}
	if isJournalDuty(d.Name) && len(d.CopyHolders) > 0 {
		s.recordChange(d)
		return
	}
	delete(s.duties, d.Name)
	s.recordChange(d)
	s.changed[len(s.changed)-1].Ended = true
}

func (s *State) acquire(a *pb.Acquire) error {
	if !validName(a.Duty) {
		return ErrInvalidName
	}
	v := s.liveSession(a.Session)
	if v == nil {
		return ErrSessionEnded
	}
	d := s.duties[a.Duty]
	if d == nil {
		if len(s.duties) >= MaxDuties {
			return ErrFull
		}
		d = &Duty{Name: a.Duty, Zone: a.Zone}
		s.duties[a.Duty] = d
	}
	if d.Session == a.Session || slices.Contains(d.Candidates, a.Session) {
		return nil
	}
	if len(d.Candidates) >= MaxCandidates && d.Session != 0 {
		return ErrFull
	}
	d.Candidates = append(d.Candidates, a.Session)
	if d.Session == 0 {
		s.grant(d)
	} else {
		s.rebalance(d)
	}
	return nil
}

// LineFull reports whether an acquisition would be refused because enough members are in line.
func (s *State) CandidatesFull(a *pb.Acquire) bool {
	d := s.duties[a.Duty]
	return d != nil && d.Session != 0 && d.Session != a.Session && len(d.Candidates) >= MaxCandidates && !slices.Contains(d.Candidates, a.Session)
}

// members describes sessions to package spread, but for one of that name.
func (s *State) spreadMembers(ids []uint64, except string) (list []spread.Member, sessionIDs []uint64) {
	for _, id := range ids {
		if v := s.liveSession(id); v != nil && v.Member != except {
			list = append(list, spreadMember(v))
			sessionIDs = append(sessionIDs, id)
		}
	}
	return list, sessionIDs
}

func spreadMember(v *Session) spread.Member {
	return spread.Member{Name: v.Member, Zone: v.Zone, Weight: v.Weight, Duties: v.dutyCount + v.plannedChange}
}

// grant gives a free duty to the member that was wanted, else to the best candidate, with a new token.
func (s *State) grant(d *Duty) {
	next := uint64(0)
	list, of := s.spreadMembers(s.eligible(d), "")
	if i := slices.IndexFunc(list, func(m spread.Member) bool { return m.Name == d.TransferTo }); i >= 0 {
		next = of[i]
	} else if i := spread.Choose(d.Name, d.Zone, list); i >= 0 {
		next = of[i]
	}
	if next != 0 {
		d.Candidates = slices.DeleteFunc(d.Candidates, func(id uint64) bool { return id == next })
		s.lastToken++
		s.setTransfer(d, "")
		d.Session, d.Token = next, s.lastToken
		s.sessions[next].dutyCount++
	}
	s.recordChange(d)
}

// successors are those in line that a free duty may go to: of a journal whose copies are not taken over yet, only members
// that keep them, if any is there. Its owner may be back with an empty disk, and would begin anew over them. Of these, those
// that hold their own journals go first: one that does not can copy nothing, and two could wait for each other.
func (s *State) eligible(d *Duty) []uint64 {
	if !isJournalDuty(d.Name) {
		return d.Candidates
	}
	var copyHolders, ready []uint64
	for _, id := range d.Candidates {
		v := s.sessions[id]
		if v == nil || !slices.Contains(d.CopyHolders, v.Member) {
			continue
		}
		copyHolders = append(copyHolders, id)
		if own := s.duties[JournalDuty(v.Member)]; own != nil && own.Session == id {
			ready = append(ready, id)
		}
	}
	switch {
	case len(ready) > 0:
		return ready
	case len(copyHolders) > 0:
		return copyHolders
	}
	return s.ownerFirst(d)
}

// ownFirst are those in line for a journal of which nobody keeps copies: its owner alone, if it is there.
func (s *State) ownerFirst(d *Duty) []uint64 {
	for _, id := range d.Candidates {
		if v := s.sessions[id]; v != nil && d.Name == JournalDuty(v.Member) {
			return []uint64{id}
		}
	}
	return d.Candidates
}

// balance asks the holder to hand over where a candidate has far fewer duties.
func (s *State) rebalance(d *Duty) {
	h := s.sessions[d.Session]
	if h == nil || d.TransferTo != "" || isJournalDuty(d.Name) { // a journal stays with its owner, or its successor until that is done
		return
	}
	list, _ := s.spreadMembers(d.Candidates, h.Member)
	if i := spread.Rebalance(d.Name, d.Zone, spreadMember(h), list); i >= 0 {
		s.setTransfer(d, list[i].Name)
		s.recordChange(d)
	}
}

// want notes whom a duty is to be handed to, and counts it there already: else one member that comes would be
// promised everything.
func (s *State) setTransfer(d *Duty, name string) {
	s.unplanTransfer(d)
	if d.TransferTo = name; name == "" {
		return
	}
	s.planTransfer(d, 1)
}

func (s *State) unplanTransfer(d *Duty) {
	if d.TransferTo != "" && d.Session != 0 { // what nobody holds is in no plan: it is about to be granted
		s.planTransfer(d, -1)
	}
}

func (s *State) planTransfer(d *Duty, by int) {
	if to := s.sessions[s.sessionOf[d.TransferTo]]; to != nil {
		to.plannedChange += by
	}
	if h := s.sessions[d.Session]; h != nil {
		h.plannedChange -= by
	}
}

func (s *State) release(r *pb.Release) error {
	d := s.duties[r.Duty]
	if d == nil {
		return ErrUnknownDuty
	}
	if r.Token == 0 {
		if i := slices.Index(d.Candidates, r.Session); i >= 0 {
			d.Candidates = slices.Delete(d.Candidates, i, i+1)
		}
		return nil
	}
	if d.Session != r.Session || d.Token != r.Token {
		return ErrStaleToken
	}
	wanted := d.TransferTo
	s.setTransfer(d, "")
	if v := s.sessions[d.Session]; v != nil {
		v.dutyCount--
	}
	if v := s.sessions[r.Session]; isJournalDuty(d.Name) && v != nil && d.Name != JournalDuty(v.Member) && !r.Keep {
		d.CopyHolders = nil // its successor is done with what they keep
	}
	d.Session, d.TransferTo = 0, wanted
	if r.End {
		d.Candidates = nil
	}
	s.regrant(d)
	return nil
}

// handOver marks the duty; the holder releases it. The member must be in line: it is asked to be, by the news.
func (s *State) handOver(h *pb.HandOver) error {
	d := s.duties[h.Duty]
	if d == nil {
		return ErrUnknownDuty
	}
	if isJournalDuty(h.Duty) {
		return ErrJournalDuty
	}
	id, there := s.sessionOf[h.To]
	if !there || s.liveSession(id) == nil {
		return ErrUnknownMember
	}
	if d.Session == id {
		return nil
	}
	if !slices.Contains(d.Candidates, id) { // an operator's wish goes before the length of the line
		d.Candidates = append(d.Candidates, id)
	}
	if d.Session == 0 {
		d.TransferTo = h.To
		s.grant(d)
	} else {
		s.setTransfer(d, h.To)
		s.recordChange(d)
	}
	return nil
}
