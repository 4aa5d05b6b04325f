package duty

import "sliptide/internal/fleet/pb"

// A client resubmits a message when its sender died or did not answer. If that sender's successor has a copy, only
// one of the two may send the message. Both declare their claim in the log, and the first one wins: a message that
// was resubmitted before the takeover belongs to the sender that accepted the resubmission, and one that was taken over
// first belongs to the successor.

// keyOwners records which member is responsible for the message of a key, for the last MaxKeys keys.
type keyOwners struct {
	memberOf map[uint64]string
	order    []uint64 // oldest first
}

// put records the member that is responsible for a key. Beyond MaxKeys, the oldest key is dropped.
func (k *keyOwners) put(key uint64, member string) {
	if k.memberOf == nil {
		k.memberOf = map[uint64]string{}
	}
	if _, known := k.memberOf[key]; !known {
		if len(k.order) >= MaxKeys {
			delete(k.memberOf, k.order[0])
			k.order = k.order[1:]
		}
		k.order = append(k.order, key)
	}
	k.memberOf[key] = member
}

func (k *keyOwners) remove(key uint64) {
	if _, known := k.memberOf[key]; !known {
		return
	}
	delete(k.memberOf, key)
	for i, v := range k.order {
		if v == key {
			k.order = append(k.order[:i], k.order[i+1:]...)
			return
		}
	}
}

func (k *keyOwners) list() (list []*pb.Key) {
	for _, key := range k.order {
		list = append(list, &pb.Key{Key: key, By: k.memberOf[key]})
	}
	return list
}

func (k *keyOwners) load(list []*pb.Key) {
	for _, v := range list {
		k.put(v.Key, v.By)
	}
}

// resubmit records that messages were resubmitted to a member. It returns the keys of those that a successor has.
func (s *State) resubmit(a *pb.Again) (takenOver []uint64, err error) {
	v := s.sessions[a.Session]
	if v == nil {
		return nil, ErrSessionEnded
	}
	for _, key := range a.Keys {
		if s.resubmitted.memberOf[key] == v.Member { // a repeated request: the answer was lost
			continue
		}
		if _, known := s.takenOver.memberOf[key]; known {
			takenOver = append(takenOver, key)
			continue
		}
		s.resubmitted.put(key, v.Member)
	}
	return takenOver, nil
}

// takeOverKeys records that a successor has taken over an owner's messages with these keys. It leaves out, and returns,
// the keys of messages that were resubmitted to any member but the owner.
func (s *State) takeOverKeys(owner, successor string, keys []uint64) (elsewhere []uint64) {
	for _, key := range keys {
		if member, known := s.resubmitted.memberOf[key]; known && member != owner {
			elsewhere = append(elsewhere, key)
			continue
		}
		s.resubmitted.remove(key)
		s.takenOver.put(key, successor)
	}
	return elsewhere
}
