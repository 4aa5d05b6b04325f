package duty

import (
	"slices"
	"sort"
	"strings"

	"sliptide/internal/fleet/pb"
)

// This file holds journals of members: who keeps copies of them, and who has taken one over.

func isJournalDuty(name string) bool { return strings.HasPrefix(name, JournalDuty("")) }

// Own is the duty of a member's own journal: the member holds it, and when its session is over, its successor.
func JournalDuty(member string) string { return "own/" + member }

// held is the duty that a session holds with that token.
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

// adopt hands an owner's messages on to the successor that holds its duty. From here on they are the successor's, whoever
// comes back. It returns the keys of those that their clients have handed in again elsewhere: they are that sender's.
func (s *State) adopt(a *pb.Adopt) (*pb.Adoption, []uint64, error) {
	d, err := s.heldDuty(a.Duty, a.Session, a.Token)
	if err != nil {
		return nil, nil, err
	}
	v := s.sessions[a.Session]
	owner, own := strings.CutPrefix(a.Duty, JournalDuty(""))
	if !own || v == nil || owner == v.Member {
		return nil, nil, ErrUnknownDuty
	}
	if len(s.adoptions) >= MaxSessions && s.adoptions[owner] == nil {
		return nil, nil, ErrFull
	}
	if last := s.adoptions[owner]; last != nil && last.Token == a.Token { // once more: its answer was lost
		return last, last.Elsewhere, nil
	}
	ad := &pb.Adoption{Owner: owner, Incarnation: a.Incarnation, Upto: a.Upto, Token: a.Token, By: v.Member, Before: earlierTakeovers(s.adoptions[owner])}
	ad.Elsewhere = s.takeOverKeys(owner, v.Member, a.Keys)
	s.adoptions[owner] = ad
	s.version++
	d.CopyHolders = nil // what they keep of it is void
	s.recordChange(d)
	return ad, ad.Elsewhere, nil
}

// earlier are the takings over up to the last one, the last first.
func earlierTakeovers(last *pb.Adoption) []*pb.Agreed {
	if last == nil {
		return nil
	}
	list := append([]*pb.Agreed{TakeoverByToken(last, last.Token)}, last.Before...)
	return list[:min(len(list), maxEarlierTakeovers)]
}

// Agreed is the taking over of an owner's messages with that token; nil: there was none, or so long ago that it is not
// known any more.
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

// Adopted is the last adoption of an owner's messages, nil if there was none.
func (s *State) LastAdoption(owner string) *pb.Adoption { return s.adoptions[owner] }

// Adoptions are the last ones of all owners, by name.
func (s *State) Adoptions() []*pb.Adoption {
	list := make([]*pb.Adoption, 0, len(s.adoptions))
	for _, a := range s.adoptions {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Owner < list[j].Owner })
	return list
}
