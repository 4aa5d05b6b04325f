package copies

import (
	"sliptide/internal/fleet/pb"
)

// CopyState describes a holder's copy of one owner's journal.
type CopyState struct {
	Incarnation   uint64
	Epoch         uint64 // of the last batch
	Seq           uint64 // of the last batch
	LastNumber    uint64 // the highest message number that the owner had assigned
	SealedBelow   uint64 // batches of earlier epochs are refused
	ClockOffsetMS int64  // offset of the owner's clock from this machine's monotonic clock
	BootID        uint64 // the boot of this machine during which ClockOffsetMS was estimated; 0: unknown
}

// Store stores copies, one for each owner. When Reset, Append or SaveState returns nil, the data has been written, so
// that it survives the end of the process.
type Store interface {
	Reset(owner string, state CopyState, records []byte) error // replaces the owner's records
	Append(owner string, state CopyState, records []byte) error
	SaveState(owner string, state CopyState) error // keeps the records
	LiveRecords(owner string) []byte               // without records that later ones made obsolete
	Size(owner string) int64                       // bytes that the owner's copy occupies
}

// Holder holds copies of other members' journals.
type Holder struct {
	store      Store
	maxBytes   int64 // limit on the total size of all copies
	states     map[string]*CopyState
	clocks     map[string]*ClockEstimate
	bootID     uint64
	mismatches int
	// SkipChecks disables checks in tests that verify that their absence is detected.
	SkipChecks HolderChecks
}

// HolderChecks is a set of a holder's checks.
type HolderChecks uint

// Checks of a Holder.
const (
	CheckGaps   HolderChecks = 1 << iota // batches are refused if earlier ones are missing
	CheckResume                          // a copy is resumed only if its checksum equals the owner's
)

// NewHolder returns a holder of the copies in a store, which may occupy maxBytes in total. states are the states of the
// stored copies by owner. bootID identifies the boot of this machine. Clock offsets from an earlier boot are discarded,
// as the monotonic clock starts anew with each boot.
func NewHolder(store Store, maxBytes int64, bootID uint64, states map[string]CopyState) *Holder {
	h := &Holder{store: store, maxBytes: maxBytes, bootID: bootID, states: map[string]*CopyState{}, clocks: map[string]*ClockEstimate{}}
	for owner, state := range states {
		h.states[owner] = &state
		if estimate := h.clockEstimate(owner); state.BootID == bootID && bootID != 0 {
			estimate.best = state.ClockOffsetMS
		}
	}
	return h
}

// clockEstimate returns the estimate of an owner's clock.
func (h *Holder) clockEstimate(owner string) *ClockEstimate {
	estimate := h.clocks[owner]
	if estimate == nil {
		fresh := NewClockEstimate()
		estimate = &fresh
		h.clocks[owner] = estimate
	}
	return estimate
}

// observeClock records the reading of the owner's clock in a batch. A new epoch or incarnation discards the estimate,
// as it may be another process with a clock of its own.
func (h *Holder) observeClock(now int64, old *CopyState, c *pb.Copy, next *CopyState) {
	if c.Epoch != old.Epoch || c.Incarnation != old.Incarnation {
		delete(h.clocks, c.Owner)
	}
	estimate := h.clockEstimate(c.Owner)
	if c.Clock != 0 {
		estimate.Observe(now, c.Clock)
	}
	if offsetMS, known := estimate.Offset(); known {
		next.ClockOffsetMS, next.BootID = offsetMS, h.bootID
	}
}

// State returns the state of the copy of an owner's journal, and whether there is one.
func (h *Holder) State(owner string) (CopyState, bool) {
	if state := h.states[owner]; state != nil {
		return *state, true
	}
	return CopyState{}, false
}

// usedBytes returns the total size of all copies.
func (h *Holder) usedBytes() (n int64) {
	for owner := range h.states {
		n += h.store.Size(owner)
	}
	return n
}

// HandleCopy stores a batch and returns the answer. It returns nil if the batch could not be written: an owner that
// gets no answer sends all live records again.
func (h *Holder) HandleCopy(now int64, c *pb.Copy) *pb.Copied {
	answer := &pb.Copied{Owner: c.Owner, Epoch: c.Epoch, Seq: c.Seq}
	old := h.states[c.Owner]
	if old == nil {
		old = &CopyState{}
	}
	if c.Epoch < max(old.Epoch, old.SealedBelow) {
		answer.Sealed = true
		return answer
	}
	next := CopyState{Incarnation: c.Incarnation, Epoch: c.Epoch, Seq: c.Seq, LastNumber: c.Upto, SealedBelow: old.SealedBelow}
	h.observeClock(now, old, c, &next)
	switch {
	case c.Reset_ && c.Epoch == old.Epoch && c.Seq < old.Seq: // delayed: later batches are stored already
		answer.Seq = old.Seq
		return answer
	case c.Resume:
		// A copy of the same incarnation's journal is resumed, whatever its epoch, if it equals the owner's live
		// records.
		if c.Incarnation != old.Incarnation || Checksum(h.store.LiveRecords(c.Owner)) != c.Sum && h.SkipChecks&CheckResume == 0 {
			answer.Again = true
			return answer
		}
		if h.store.SaveState(c.Owner, next) != nil {
			return nil
		}
		h.states[c.Owner] = &next
		return answer
	case c.Reset_:
		if h.usedBytes()-h.store.Size(c.Owner)+int64(len(c.Records)) > h.maxBytes {
			answer.Full = true
			return answer
		}
		if h.store.Reset(c.Owner, next, c.Records) != nil {
			return nil
		}
	case c.Epoch != old.Epoch || c.Incarnation != old.Incarnation || c.Seq > old.Seq+1 && h.SkipChecks&CheckGaps == 0:
		answer.Again = true // batches before this one are missing
		return answer
	case c.Seq <= old.Seq: // a duplicate
		answer.Seq = old.Seq
		return answer
	default:
		if h.usedBytes()+int64(len(c.Records)) > h.maxBytes {
			answer.Full = true
			return answer
		}
		if h.store.Append(c.Owner, next, c.Records) != nil {
			return nil
		}
	}
	h.states[c.Owner] = &next
	if c.Sum != 0 && Checksum(h.store.LiveRecords(c.Owner)) != c.Sum {
		h.mismatches++
		answer.Again = true // the copy differs from the owner's journal: the owner sends all of it again
	}
	return answer
}

// Mismatches returns how many copies differed from their owner's journal and were requested again.
func (h *Holder) Mismatches() int { return h.mismatches }

// HandleSeal ends an owner's epochs below the requested one and returns the answer, which includes the copy if there is
// one of such an epoch. It returns nil if the seal could not be written.
func (h *Holder) HandleSeal(now int64, s *pb.Seal) *pb.Sealed {
	state := h.states[s.Owner]
	if state == nil {
		state = &CopyState{}
	}
	next := *state
	next.SealedBelow = max(state.SealedBelow, s.Epoch)
	if h.store.SaveState(s.Owner, next) != nil {
		return nil
	}
	h.states[s.Owner] = &next
	answer := &pb.Sealed{Owner: s.Owner, Epoch: s.Epoch, At: s.At}
	if next.Epoch != 0 && next.Epoch < s.Epoch {
		answer.Have, answer.Incarnation, answer.From, answer.Seq, answer.Upto, answer.Records = true, next.Incarnation, next.Epoch, next.Seq, next.LastNumber, h.store.LiveRecords(s.Owner)
		if offsetMS, known := h.clockEstimate(s.Owner).Offset(); known {
			answer.Clock = now/1e6 + offsetMS
		}
	}
	return answer
}
