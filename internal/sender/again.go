package sender

import (
	"slices"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/journal"
	"sliptide/internal/outbound"
)

// This file sees to messages that are handed in again since their sender died or did not answer. With copies, an heir
// may have them too. So the fleet is asked before the client hears 202 and before anything is sent: who said first
// that it has the message, keeps it.

// claim is what the fleet is asked about the messages of one step that were handed in again.
type claim struct {
	keys  []uint64
	done  bool     // it has answered
	taken []uint64 // of these, those that an heir has
}

// has reports whether an heir has the message of an entry.
func (c *claim) has(e *journal.Entry) bool {
	return c != nil && slices.Contains(c.taken, keyHash([]byte(e.Key)))
}

// answered reports whether the fleet has said what it was asked.
func answered(claims []*claim) bool {
	return !slices.ContainsFunc(claims, func(c *claim) bool { return !c.done })
}

// claimFor is the claim of a message that is being taken on; nil: it needs none.
func (s *Sender) claimFor(m *Message) *claim {
	key := keyHash(m.Key)
	if s.copies == nil || !m.Failover || key == 0 {
		return nil
	}
	if s.copies.claim == nil {
		s.copies.claim = &claim{}
	}
	s.copies.claim.keys = append(s.copies.claim.keys, key)
	return s.copies.claim
}

// askAgain asks the fleet about what was handed in again in this step.
func (s *Sender) askAgain() {
	c := s.copies
	q := c.claim
	if c.claim = nil; q == nil {
		return
	}
	c.fleet.Propose(&pb.Command{What: &pb.Command_Again{Again: &pb.Again{Session: c.fleet.View().Session, Keys: q.keys}}}, func(a *pb.Answer, err error) {
		if err != nil {
			return // without a word the messages are refused when their time to wait is over
		}
		s.copyNews(copyNews{do: func() { q.done, q.taken = true, a.GetKeys() }})
	})
}

// openClaims are the claims of messages that are not answered yet.
func (s *Sender) openClaims(nums ...uint64) (list []*claim) {
	for _, num := range nums {
		if m := s.msgs[num]; m != nil && m.claim != nil && !m.claim.done && !slices.Contains(list, m.claim) {
			list = append(list, m.claim)
		}
	}
	return list
}

// elsewhere reports whether an heir has a message of a call.
func (s *Sender) elsewhere(call *outbound.Call) bool {
	for i := range call.Items {
		if m := s.msgs[call.Items[i].ID]; m != nil && m.claim.has(m.Entry) {
			return true
		}
	}
	return false
}
