package duty

import (
	"slices"
	"sort"
	"strings"

	"sliptide/internal/fleet/pb"
)

// This file contains the duties of members' journals: which members keep copies of a journal, and who has taken it
// over.

func isJournalDuty(name string) bool { return strings.HasPrefix(name, JournalDuty("")) }

// JournalDuty returns the name of the duty of a member's own journal. The member holds it, and after the end of its
// session, its successor.
func JournalDuty(member string) string { return "own/" + member }

// heldDuty returns the duty that a session holds with that token.
func (s *State) heldDuty(name string, session, token uint64) (*Duty, error) {
	d := s.duties[name]
	if d == nil {
		return nil, ErrUnknownDuty
	}
	if d.Session != session || d.Token != token {
		return nil, ErrStaleToken
	}
	return d, nil
}

// setCopyHolders records which members may keep copies of a journal. Only the holder of the journal duty can change
// this.
func (s *State) setCopyHolders(k *pb.Keep) error {
	d, err := s.heldDuty(k.Duty, k.Session, k.Token)
	if err != nil {
		return err
	}
	if len(k.Holders) > MaxCandidates {
		return ErrFull
	}
	for _, name := range k.Holders {
		if !validName(name) {
			return ErrInvalidName
		}
	}
	if !slices.Equal(d.CopyHolders, k.Holders) {
		d.CopyHolders = slices.Clone(k.Holders)
		s.recordChange(d)
	}
	return nil
}

// adopt transfers an owner's messages to the successor that holds the owner's journal duty. They stay the successor's
// even if the owner returns. It returns the keys of messages that their clients have resubmitted to other senders,
// which remain responsible for them.
func (s *State) adopt(a *pb.Adopt) (*pb.Adoption, []uint64, error) {
	d, err := s.heldDuty(a.Duty, a.Session, a.Token)
	if err != nil {
		return nil, nil, err
	}
	v := s.sessions[a.Session]
	owner, isJournal := strings.CutPrefix(a.Duty, JournalDuty(""))
	if !isJournal || v == nil || owner == v.Member {
		return nil, nil, ErrUnknownDuty
	}
	if len(s.adoptions) >= MaxSessions && s.adoptions[owner] == nil {
		return nil, nil, ErrFull
	}
	if last := s.adoptions[owner]; last != nil && last.Token == a.Token { // a repeated request: the answer was lost
		return last, last.Elsewhere, nil
	}
	adoption := &pb.Adoption{
		Owner: owner, Incarnation: a.Incarnation, Upto: a.Upto, Token: a.Token, By: v.Member,
		Before: earlierTakeovers(s.adoptions[owner]),
	}
	adoption.Elsewhere = s.takeOverKeys(owner, v.Member, a.Keys)
	s.adoptions[owner] = adoption
	s.version++
	d.CopyHolders = nil // the copies are void now
	s.recordChange(d)
	return adoption, adoption.Elsewhere, nil
}

// earlierTakeovers returns the takeovers up to the last one, the most recent first.
func earlierTakeovers(last *pb.Adoption) []*pb.Agreed {
	if last == nil {
		return nil
	}
	list := append([]*pb.Agreed{TakeoverByToken(last, last.Token)}, last.Before...)
	return list[:min(len(list), maxEarlierTakeovers)]
}

// TakeoverByToken returns the takeover of an owner's messages with that token, or nil if there was none or it is no
// longer known.
func TakeoverByToken(last *pb.Adoption, token uint64) *pb.Agreed {
	if last == nil {
		return nil
	}
	if last.Token == token {
		return &pb.Agreed{Token: last.Token, By: last.By, Elsewhere: last.Elsewhere}
	}
	for _, b := range last.Before {
		if b.Token == token {
			return b
		}
	}
	return nil
}

// LastAdoption returns the last adoption of an owner's messages, or nil if there was none.
func (s *State) LastAdoption(owner string) *pb.Adoption { return s.adoptions[owner] }

// Adoptions returns the last adoption of each owner, by name.
func (s *State) Adoptions() []*pb.Adoption {
	list := make([]*pb.Adoption, 0, len(s.adoptions))
	for _, a := range s.adoptions {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Owner < list[j].Owner })
	return list
}
