package duty

import "sliptide/internal/fleet/pb"

// A client hands a message in again where its sender died, or did not answer. Where that sender's successor has a copy, one
// of the two must let it be. Both say so through the log, and the first one has it: a message that was handed in again
// before the taking over is the later sender's, one that was taken over before is the successor's.

// keys remembers who answers for the messages of some keys: the last MaxKeys of them.
type keys struct {
	by   map[uint64]string
	line []uint64 // the oldest first
}

func (k *keys) put(key uint64, member string) {
	if k.by == nil {
		k.by = map[uint64]string{}
	}
	if _, known := k.by[key]; !known {
		if len(k.line) >= MaxKeys {
			delete(k.by, k.line[0])
			k.line = k.line[1:]
		}
		k.line = append(k.line, key)
	}
	k.by[key] = member
}

func (k *keys) drop(key uint64) {
	if _, known := k.by[key]; !known {
		return
	}
	delete(k.by, key)
	for i, v := range k.line {
		if v == key {
			k.line = append(k.line[:i], k.line[i+1:]...)
			return
		}
	}
}

func (k *keys) show() (list []*pb.Key) {
	for _, key := range k.line {
		list = append(list, &pb.Key{Key: key, By: k.by[key]})
	}
	return list
}

func (k *keys) load(list []*pb.Key) {
	for _, v := range list {
		k.put(v.Key, v.By)
	}
}

// handedAgain notes that a member was handed messages again. It returns the keys of those that a successor has.
func (s *State) handedAgain(a *pb.Again) (has []uint64, err error) {
	v := s.sessions[a.Session]
	if v == nil {
		return nil, ErrSession
	}
	for _, key := range a.Keys {
		if s.again.by[key] == v.Member { // asked once more: its answer was lost
			continue
		}
		if _, known := s.taken.by[key]; known {
			has = append(has, key)
			continue
		}
		s.again.put(key, v.Member)
	}
	return has, nil
}

// inherit notes that a successor has an owner's messages of these keys, but for those that were handed in again at
// another, which it returns.
func (s *State) inherit(owner, successor string, list []uint64) (elsewhere []uint64) {
	for _, key := range list {
		if by, known := s.again.by[key]; known && by != owner {
			elsewhere = append(elsewhere, key)
			continue
		}
		s.again.drop(key)
		s.taken.put(key, successor)
	}
	return elsewhere
}
