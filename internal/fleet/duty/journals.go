package duty

import (
	"slices"
	"sort"
	"strings"

	"sliptide/internal/fleet/pb"
)

// This file holds journals of members: who keeps copies of them, and who has taken one over.

func isOwn(name string) bool { return strings.HasPrefix(name, Own("")) }

// Own is the duty of a member's own journal: the member holds it, and when its session is over, its successor.
func Own(member string) string { return "own/" + member }

// held is the duty that a session holds with that token.
func (s *State) held(name string, session, token uint64) (*Duty, error) {
	d := s.duties[name]
	if d == nil {
		return nil, ErrUnknown
	}
	if d.Session != session || d.Token != token {
		return nil, ErrToken
	}
	return d, nil
}

func (s *State) keep(k *pb.Keep) error {
	d, err := s.held(k.Duty, k.Session, k.Token)
	if err != nil {
		return err
	}
	if len(k.Holders) > MaxWaiting {
		return ErrFull
	}
	for _, name := range k.Holders {
		if !named(name) {
			return ErrName
		}
	}
	if !slices.Equal(d.Holders, k.Holders) {
		d.Holders = slices.Clone(k.Holders)
		s.note(d)
	}
	return nil
}

// adopt hands an owner's messages on to the successor that holds its duty. From here on they are the successor's, whoever
// comes back. It returns the keys of those that their clients have handed in again elsewhere: they are that sender's.
func (s *State) adopt(a *pb.Adopt) (*pb.Adoption, []uint64, error) {
	d, err := s.held(a.Duty, a.Session, a.Token)
	if err != nil {
		return nil, nil, err
	}
	v := s.sessions[a.Session]
	owner, own := strings.CutPrefix(a.Duty, Own(""))
	if !own || v == nil || owner == v.Member {
		return nil, nil, ErrUnknown
	}
	if len(s.adopted) >= MaxSessions && s.adopted[owner] == nil {
		return nil, nil, ErrFull
	}
	if last := s.adopted[owner]; last != nil && last.Token == a.Token { // once more: its answer was lost
		return last, last.Elsewhere, nil
	}
	ad := &pb.Adoption{Owner: owner, Incarnation: a.Incarnation, Upto: a.Upto, Token: a.Token, By: v.Member, Before: earlier(s.adopted[owner])}
	ad.Elsewhere = s.inherit(owner, v.Member, a.Keys)
	s.adopted[owner] = ad
	s.version++
	d.Holders = nil // what they keep of it is void
	s.note(d)
	return ad, ad.Elsewhere, nil
}

// earlier are the takings over up to the last one, the last first.
func earlier(last *pb.Adoption) []*pb.Agreed {
	if last == nil {
		return nil
	}
	list := append([]*pb.Agreed{Agreed(last, last.Token)}, last.Before...)
	return list[:min(len(list), maxBefore)]
}

// Agreed is the taking over of an owner's messages with that token; nil: there was none, or so long ago that it is not
// known any more.
func Agreed(last *pb.Adoption, token uint64) *pb.Agreed {
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
func (s *State) Adopted(owner string) *pb.Adoption { return s.adopted[owner] }

// Adoptions are the last ones of all owners, by name.
func (s *State) Adoptions() []*pb.Adoption {
	list := make([]*pb.Adoption, 0, len(s.adopted))
	for _, a := range s.adopted {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Owner < list[j].Owner })
	return list
}
