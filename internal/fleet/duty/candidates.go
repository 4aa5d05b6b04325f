package duty

import (
	"slices"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/spread"
)

// This file contains the candidates for a duty, the choice among them, and transfers.

// regrant grants a duty without a holder to the best candidate, or deletes it if there is none. A journal duty with
// copies is kept, because a holder of the copies may soon become a candidate.
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

// acquire makes a session a candidate for a duty, and creates the duty if there is none of that name. A free duty is
// granted at once, and accepts a candidate beyond MaxCandidates.
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

// CandidatesFull reports whether an Acquire would be refused because the duty has the maximum number of candidates.
func (s *State) CandidatesFull(a *pb.Acquire) bool {
	d := s.duties[a.Duty]
	return d != nil && d.Session != 0 && d.Session != a.Session && len(d.Candidates) >= MaxCandidates &&
		!slices.Contains(d.Candidates, a.Session)
}

// spreadMembers converts live sessions to candidates of package spread, except the one of that member.
func (s *State) spreadMembers(ids []uint64, except string) (members []spread.Member, sessionIDs []uint64) {
	for _, id := range ids {
		if v := s.liveSession(id); v != nil && v.Member != except {
			members = append(members, spreadMember(v))
			sessionIDs = append(sessionIDs, id)
		}
	}
	return members, sessionIDs
}

func spreadMember(v *Session) spread.Member {
	return spread.Member{Name: v.Member, Zone: v.Zone, Weight: v.Weight, Duties: v.dutyCount + v.plannedChange}
}

// grant grants a free duty, with a new token, to the member that it is being transferred to, otherwise to the best
// candidate.
func (s *State) grant(d *Duty) {
	next := uint64(0)
	candidates, sessionIDs := s.spreadMembers(s.eligible(d), "")
	if i := slices.IndexFunc(candidates, func(m spread.Member) bool { return m.Name == d.TransferTo }); i >= 0 {
		next = sessionIDs[i]
	} else if i := spread.Choose(d.Name, d.Zone, candidates); i >= 0 {
		next = sessionIDs[i]
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

// eligible returns the candidates that a free duty may be granted to. For a journal whose copies are not taken over
// yet, these are only members that keep the copies, if there are any: its owner may have returned with an empty disk,
// and would start an empty journal in place of the one that was copied. Among them, members that hold their own
// journals come first: one that does not can copy nothing, and two of them could wait for each other.
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

// ownerFirst returns the candidates for a journal without copy holders: its owner alone, if it is a candidate.
func (s *State) ownerFirst(d *Duty) []uint64 {
	for _, id := range d.Candidates {
		if v := s.sessions[id]; v != nil && d.Name == JournalDuty(v.Member) {
			return []uint64{id}
		}
	}
	return d.Candidates
}

// rebalance asks the holder to transfer the duty if a candidate has far fewer duties.
func (s *State) rebalance(d *Duty) {
	holder := s.sessions[d.Session]
	// A journal stays with its owner, or with its successor until the takeover is complete.
	if holder == nil || d.TransferTo != "" || isJournalDuty(d.Name) {
		return
	}
	candidates, _ := s.spreadMembers(d.Candidates, holder.Member)
	if i := spread.Rebalance(d.Name, d.Zone, spreadMember(holder), candidates); i >= 0 {
		s.setTransfer(d, candidates[i].Name)
		s.recordChange(d)
	}
}

// setTransfer records the member that a duty is to be transferred to, or none, and already counts the duty as that
// member's. Otherwise a single new member would be assigned every duty.
func (s *State) setTransfer(d *Duty, name string) {
	s.unplanTransfer(d)
	if d.TransferTo = name; name == "" {
		return
	}
	s.planTransfer(d, 1)
}

func (s *State) unplanTransfer(d *Duty) {
	if d.TransferTo != "" && d.Session != 0 { // a duty without a holder is not planned: it is about to be granted
		s.planTransfer(d, -1)
	}
}

func (s *State) planTransfer(d *Duty, delta int) {
	if to := s.sessions[s.sessionOf[d.TransferTo]]; to != nil {
		to.plannedChange += delta
	}
	if holder := s.sessions[d.Session]; holder != nil {
		holder.plannedChange -= delta
	}
}

// release withdraws a candidacy (token 0), or gives up a held duty, which is then granted to the next candidate. End
// drops the other candidates, so that the duty ends. When a successor releases a journal, its takeover is complete and
// the copies are no longer needed, except with Keep: the successor could not take the journal over.
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
	transferTo := d.TransferTo // no longer planned, but still preferred by the next grant
	s.setTransfer(d, "")
	if v := s.sessions[d.Session]; v != nil {
		v.dutyCount--
	}
	if v := s.sessions[r.Session]; isJournalDuty(d.Name) && v != nil && d.Name != JournalDuty(v.Member) && !r.Keep {
		d.CopyHolders = nil // its successor no longer needs the copies
	}
	d.Session, d.TransferTo = 0, transferTo
	if r.End {
		d.Candidates = nil
	}
	s.regrant(d)
	return nil
}

// handOver marks a duty for a transfer; the holder then releases it. The member becomes a candidate, if it is not one
// already.
func (s *State) handOver(h *pb.HandOver) error {
	d := s.duties[h.Duty]
	if d == nil {
		return ErrUnknownDuty
	}
	if isJournalDuty(h.Duty) {
		return ErrJournalDuty
	}
	id, known := s.sessionOf[h.To]
	if !known || s.liveSession(id) == nil {
		return ErrUnknownMember
	}
	if d.Session == id {
		return nil
	}
	if !slices.Contains(d.Candidates, id) { // an operator's request is not subject to MaxCandidates
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
