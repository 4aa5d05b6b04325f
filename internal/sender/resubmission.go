package sender

import (
	"slices"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/journal"
	"sliptide/internal/outbound"
)

// This file handles messages that are resubmitted because their sender failed or did not answer. With copies, a
// successor, the member that takes over that sender's journal, may hold them too. The fleet is therefore asked before
// the client receives 202 and before anything is sent: the sender that claimed the message first keeps it.

// claim is a query to the fleet about the messages resubmitted in one step.
type claim struct {
	keys      []uint64
	answered  bool     // the fleet has answered
	takenOver []uint64 // those of keys whose messages a successor holds
}

// has reports whether a successor holds the message of an entry.
func (c *claim) has(e *journal.Entry) bool {
	return c != nil && slices.Contains(c.takenOver, keyHash([]byte(e.Key)))
}

// allAnswered reports whether the fleet has answered all claims.
func allAnswered(claims []*claim) bool {
	return !slices.ContainsFunc(claims, func(c *claim) bool { return !c.answered })
}

// claimFor adds a submitted message to the claim of this step and returns the claim; nil: the message needs none.
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

// proposeClaim submits the claim of this step to the fleet.
func (s *Sender) proposeClaim() {
	c := s.copies
	query := c.claim
	if c.claim = nil; query == nil {
		return
	}
	c.fleet.Propose(&pb.Command{What: &pb.Command_Again{Again: &pb.Again{Session: c.fleet.View().Session, Keys: query.keys}}}, func(a *pb.Answer, err error) {
		if err != nil {
			return // without an answer the messages' wait times out, see endHolderWait
		}
		s.enqueueCopyInput(copyInput{run: func() { query.answered, query.takenOver = true, a.GetKeys() }})
	})
}

// openClaims returns the unanswered claims of messages.
func (s *Sender) openClaims(nums ...uint64) (list []*claim) {
	for _, num := range nums {
		if m := s.messages[num]; m != nil && m.claim != nil && !m.claim.answered && !slices.Contains(list, m.claim) {
			list = append(list, m.claim)
		}
	}
	return list
}

// anyTakenOver reports whether a successor holds a message of a call.
func (s *Sender) anyTakenOver(call *outbound.Call) bool {
	for i := range call.Items {
		if m := s.messages[call.Items[i].ID]; m != nil && m.claim.has(m.Entry) {
			return true
		}
	}
	return false
}
