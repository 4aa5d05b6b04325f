package duty

import "sliptide/internal/fleet/pb"

// A client hands a message in again where its sender died, or did not answer. Where that sender's successor has a copy, one
// of the two must let it be. Both say so through the log, and the first one has it: a message that was handed in again
// before the taking over is the later sender's, one that was taken over before is the successor's.

// keys remembers who answers for the messages of some keys: the last MaxKeys of them.
type keyOwners struct {
	memberOf map[uint64]string
	order    []uint64 // the oldest first
}

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

// handedAgain notes that a member was handed messages again. It returns the keys of those that a successor has.
func (s *State) resubmit(a *pb.Again) (takenOver []uint64, err error) {
	v := s.sessions[a.Session]
	if v == nil {
		return nil, ErrSessionEnded
	}
	for _, key := range a.Keys {
		if s.resubmitted.memberOf[key] == v.Member { // asked once more: its answer was lost
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

// inherit notes that a successor has an owner's messages of these keys, but for those that were handed in again at
// another, which it returns.
func (s *State) takeOverKeys(owner, successor string, list []uint64) (elsewhere []uint64) {
	for _, key := range list {
		if by, known := s.resubmitted.memberOf[key]; known && by != owner {
			elsewhere = append(elsewhere, key)
			continue
		}
		s.resubmitted.remove(key)
		s.takenOver.put(key, successor)
	}
	return elsewhere
}
