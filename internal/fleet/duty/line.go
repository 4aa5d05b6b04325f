package duty

import (
	"slices"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/spread"
)

// This file holds who is in line for a duty, who gets it, and how it is handed on.

// settle gives a duty without a holder to the next in line, or forgets it where nobody is. A journal of which there are
// copies is not forgotten: whoever keeps them may be in line soon.
func (s *State) settle(d *Duty) {
	if len(d.Waiting) > 0 {
		s.grant(d)
		return
	}
	if isOwn(d.Name) && len(d.Holders) > 0 {
		s.note(d)
		return
	}
	delete(s.duties, d.Name)
	s.note(d)
	s.changed[len(s.changed)-1].Ended = true
}

func (s *State) acquire(a *pb.Acquire) error {
	if !named(a.Duty) {
		return ErrName
	}
	v := s.live(a.Session)
	if v == nil {
		return ErrSession
	}
	d := s.duties[a.Duty]
	if d == nil {
		if len(s.duties) >= MaxDuties {
			return ErrFull
		}
		d = &Duty{Name: a.Duty, Zone: a.Zone}
		s.duties[a.Duty] = d
	}
	if d.Session == a.Session || slices.Contains(d.Waiting, a.Session) {
		return nil
	}
	if len(d.Waiting) >= MaxWaiting && d.Session != 0 {
		return ErrFull
	}
	d.Waiting = append(d.Waiting, a.Session)
	if d.Session == 0 {
		s.grant(d)
	} else {
		s.balance(d)
	}
	return nil
}

// LineFull reports whether an acquisition would be refused because enough members are in line.
func (s *State) LineFull(a *pb.Acquire) bool {
	d := s.duties[a.Duty]
	return d != nil && d.Session != 0 && d.Session != a.Session && len(d.Waiting) >= MaxWaiting && !slices.Contains(d.Waiting, a.Session)
}

// members describes sessions to package spread, but for one of that name.
func (s *State) members(ids []uint64, but string) (list []spread.Member, of []uint64) {
	for _, id := range ids {
		if v := s.live(id); v != nil && v.Member != but {
			list = append(list, member(v))
			of = append(of, id)
		}
	}
	return list, of
}

func member(v *Session) spread.Member {
	return spread.Member{Name: v.Member, Zone: v.Zone, Weight: v.Weight, Duties: v.holds + v.plan}
}

// grant gives a free duty to the member that was wanted, else to the best candidate, with a new token.
func (s *State) grant(d *Duty) {
	next := uint64(0)
	list, of := s.members(s.successors(d), "")
	if i := slices.IndexFunc(list, func(m spread.Member) bool { return m.Name == d.Wanted }); i >= 0 {
		next = of[i]
	} else if i := spread.Choose(d.Name, d.Zone, list); i >= 0 {
		next = of[i]
	}
	if next != 0 {
		d.Waiting = slices.DeleteFunc(d.Waiting, func(id uint64) bool { return id == next })
		s.token++
		s.want(d, "")
		d.Session, d.Token = next, s.token
		s.sessions[next].holds++
	}
	s.note(d)
}

// successors are those in line that a free duty may go to: of a journal whose copies are not taken over yet, only members
// that keep them, if any is there. Its owner may be back with an empty disk, and would begin anew over them. Of these, those
// that hold their own journals go first: one that does not can copy nothing, and two could wait for each other.
func (s *State) successors(d *Duty) []uint64 {
	if !isOwn(d.Name) {
		return d.Waiting
	}
	var keep, ready []uint64
	for _, id := range d.Waiting {
		v := s.sessions[id]
		if v == nil || !slices.Contains(d.Holders, v.Member) {
			continue
		}
		keep = append(keep, id)
		if own := s.duties[Own(v.Member)]; own != nil && own.Session == id {
			ready = append(ready, id)
		}
	}
	switch {
	case len(ready) > 0:
		return ready
	case len(keep) > 0:
		return keep
	}
	return s.ownFirst(d)
}

// ownFirst are those in line for a journal of which nobody keeps copies: its owner alone, if it is there.
func (s *State) ownFirst(d *Duty) []uint64 {
	for _, id := range d.Waiting {
		if v := s.sessions[id]; v != nil && d.Name == Own(v.Member) {
			return []uint64{id}
		}
	}
	return d.Waiting
}

// balance asks the holder to hand over where a candidate has far fewer duties.
func (s *State) balance(d *Duty) {
	h := s.sessions[d.Session]
	if h == nil || d.Wanted != "" || isOwn(d.Name) { // a journal stays with its owner, or its successor until that is done
		return
	}
	list, _ := s.members(d.Waiting, h.Member)
	if i := spread.Better(d.Name, d.Zone, member(h), list); i >= 0 {
		s.want(d, list[i].Name)
		s.note(d)
	}
}

// want notes whom a duty is to be handed to, and counts it there already: else one member that comes would be
// promised everything.
func (s *State) want(d *Duty, name string) {
	s.unplan(d)
	if d.Wanted = name; name == "" {
		return
	}
	s.plan(d, 1)
}

func (s *State) unplan(d *Duty) {
	if d.Wanted != "" && d.Session != 0 { // what nobody holds is in no plan: it is about to be granted
		s.plan(d, -1)
	}
}

func (s *State) plan(d *Duty, by int) {
	if to := s.sessions[s.names[d.Wanted]]; to != nil {
		to.plan += by
	}
	if h := s.sessions[d.Session]; h != nil {
		h.plan -= by
	}
}

func (s *State) release(r *pb.Release) error {
	d := s.duties[r.Duty]
	if d == nil {
		return ErrUnknown
	}
	if r.Token == 0 {
		if i := slices.Index(d.Waiting, r.Session); i >= 0 {
			d.Waiting = slices.Delete(d.Waiting, i, i+1)
		}
		return nil
	}
	if d.Session != r.Session || d.Token != r.Token {
		return ErrToken
	}
	wanted := d.Wanted
	s.want(d, "")
	if v := s.sessions[d.Session]; v != nil {
		v.holds--
	}
	if v := s.sessions[r.Session]; isOwn(d.Name) && v != nil && d.Name != Own(v.Member) && !r.Keep {
		d.Holders = nil // its successor is done with what they keep
	}
	d.Session, d.Wanted = 0, wanted
	if r.End {
		d.Waiting = nil
	}
	s.settle(d)
	return nil
}

// handOver marks the duty; the holder releases it. The member must be in line: it is asked to be, by the news.
func (s *State) handOver(h *pb.HandOver) error {
	d := s.duties[h.Duty]
	if d == nil {
		return ErrUnknown
	}
	if isOwn(h.Duty) {
		return ErrOwn
	}
	id, there := s.names[h.To]
	if !there || s.live(id) == nil {
		return ErrMember
	}
	if d.Session == id {
		return nil
	}
	if !slices.Contains(d.Waiting, id) { // an operator's wish goes before the length of the line
		d.Waiting = append(d.Waiting, id)
	}
	if d.Session == 0 {
		d.Wanted = h.To
		s.grant(d)
	} else {
		s.want(d, h.To)
		s.note(d)
	}
	return nil
}
