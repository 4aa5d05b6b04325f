package copies

import (
	"sliptide/internal/fleet/pb"
)

// Kept is what a holder keeps of one owner.
type CopyState struct {
	Incarnation   uint64
	Epoch         uint64 // of what is kept
	Seq           uint64
	LastNumber    uint64
	SealedBelow   uint64 // epochs below are over
	ClockOffsetMS int64  // by how much the owner's clock is ahead of this machine's monotonic one, in milliseconds
	BootID        uint64 // of this machine, which Ahead is of; 0: it is not known
}

// Store keeps copies: Reset replaces an owner's records, Append adds to them, Mark keeps what else is known. Each has
// it on the disk when it returns nil. Live is what is live of them, as records; Size what an owner's take.
type Store interface {
	Reset(owner string, k CopyState, records []byte) error
	Append(owner string, k CopyState, records []byte) error
	SaveState(owner string, k CopyState) error
	LiveRecords(owner string) []byte
	Size(owner string) int64
}

// Holder keeps copies of others' journals.
type Holder struct {
	store  Store
	room   int64 // bytes that all copies may take
	kept   map[string]*CopyState
	clocks map[string]*ClockEstimate
	boot   uint64
	mended int
	// Break takes guards out, for tests that show what finds that.
	SkipChecks HolderChecks
}

// HolderBreak is a guard that is taken out.
type HolderChecks uint

// The guards.
const (
	CheckGaps   HolderChecks = 1 << iota // batches are taken with others missing before them
	CheckResume                          // what an earlier epoch left is gone on with, whatever it is
)

// NewHolder returns a holder of what a store has kept. boot names this start of the machine, by which the monotonic
// clock goes: what was reckoned by an earlier one is void.
func NewHolder(store Store, room int64, boot uint64, kept map[string]CopyState) *Holder {
	h := &Holder{store: store, room: room, boot: boot, kept: map[string]*CopyState{}, clocks: map[string]*ClockEstimate{}}
	for owner, k := range kept {
		h.kept[owner] = &k
		if r := h.clock(owner); k.BootID == boot && boot != 0 {
			r.best = k.ClockOffsetMS
		}
	}
	return h
}

// clock is the reckoning of an owner's clock.
func (h *Holder) clock(owner string) *ClockEstimate {
	r := h.clocks[owner]
	if r == nil {
		fresh := NewClockEstimate()
		r = &fresh
		h.clocks[owner] = r
	}
	return r
}

// hear takes the owner's clock from a batch. Another epoch may be another process, with a clock of its own.
func (h *Holder) hear(now int64, old *CopyState, c *pb.Copy, next *CopyState) {
	if c.Epoch != old.Epoch || c.Incarnation != old.Incarnation {
		delete(h.clocks, c.Owner)
	}
	r := h.clock(c.Owner)
	if c.Clock != 0 {
		r.Observe(now, c.Clock)
	}
	if ahead, known := r.Offset(); known {
		next.ClockOffsetMS, next.BootID = ahead, h.boot
	}
}

// Kept is what is kept of an owner.
func (h *Holder) State(owner string) (CopyState, bool) {
	if k := h.kept[owner]; k != nil {
		return *k, true
	}
	return CopyState{}, false
}

func (h *Holder) used() (n int64) {
	for owner := range h.kept {
		n += h.store.Size(owner)
	}
	return n
}

// Copy takes a batch, and answers once it is kept; nil: it could not be kept, and is sent again.
func (h *Holder) HandleCopy(now int64, c *pb.Copy) *pb.Copied {
	a := &pb.Copied{Owner: c.Owner, Epoch: c.Epoch, Seq: c.Seq}
	old := h.kept[c.Owner]
	if old == nil {
		old = &CopyState{}
	}
	if c.Epoch < max(old.Epoch, old.SealedBelow) {
		a.Sealed = true
		return a
	}
	next := CopyState{Incarnation: c.Incarnation, Epoch: c.Epoch, Seq: c.Seq, LastNumber: c.Upto, SealedBelow: old.SealedBelow}
	h.hear(now, old, c, &next)
	switch {
	case c.Reset_ && c.Epoch == old.Epoch && c.Seq < old.Seq: // late: more is kept
		a.Seq = old.Seq
		return a
	case c.Resume:
		// A copy of the same folder's journal that is just what the owner has now is gone on with, whatever its epoch.
		if c.Incarnation != old.Incarnation || Checksum(h.store.LiveRecords(c.Owner)) != c.Sum && h.SkipChecks&CheckResume == 0 {
			a.Again = true
			return a
		}
		if h.store.SaveState(c.Owner, next) != nil {
			return nil
		}
		h.kept[c.Owner] = &next
		return a
	case c.Reset_:
		if h.used()-h.store.Size(c.Owner)+int64(len(c.Records)) > h.room {
			a.Full = true
			return a
		}
		if h.store.Reset(c.Owner, next, c.Records) != nil {
			return nil
		}
	case c.Epoch != old.Epoch || c.Incarnation != old.Incarnation || c.Seq > old.Seq+1 && h.SkipChecks&CheckGaps == 0:
		a.Again = true
		return a
	case c.Seq <= old.Seq:
		a.Seq = old.Seq
		return a
	default:
		if h.used()+int64(len(c.Records)) > h.room {
			a.Full = true
			return a
		}
		if h.store.Append(c.Owner, next, c.Records) != nil {
			return nil
		}
	}
	h.kept[c.Owner] = &next
	if c.Sum != 0 && Checksum(h.store.LiveRecords(c.Owner)) != c.Sum {
		h.mended++
		a.Again = true // the copy is not what the owner has: all of it comes anew
	}
	return a
}

// Mended is how many copies were found to differ from their owner's journal, and asked for anew.
func (h *Holder) Mismatches() int { return h.mended }

// Seal ends an owner's epochs below that one, and answers with what is kept; nil: that could not be kept.
func (h *Holder) HandleSeal(now int64, s *pb.Seal) *pb.Sealed {
	k := h.kept[s.Owner]
	if k == nil {
		k = &CopyState{}
	}
	next := *k
	next.SealedBelow = max(k.SealedBelow, s.Epoch)
	if h.store.SaveState(s.Owner, next) != nil {
		return nil
	}
	h.kept[s.Owner] = &next
	a := &pb.Sealed{Owner: s.Owner, Epoch: s.Epoch, At: s.At}
	if next.Epoch != 0 && next.Epoch < s.Epoch {
		a.Have, a.Incarnation, a.From, a.Seq, a.Upto, a.Records = true, next.Incarnation, next.Epoch, next.Seq, next.LastNumber, h.store.LiveRecords(s.Owner)
		if ahead, known := h.clock(s.Owner).Offset(); known {
			a.Clock = now/1e6 + ahead
		}
	}
	return a
}
