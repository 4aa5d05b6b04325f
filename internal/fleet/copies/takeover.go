package copies

import (
	"slices"
	"time"

	"sliptide/internal/fleet/pb"
)

const askEvery = int64(50 * time.Millisecond) // between two rounds of asks to holders that have not answered

// Stage is how far an heir is.
type Stage int

// The stages.
const (
	Sealing  Stage = iota // the holders are asked
	Ready                 // Found is to be put into the heir's own journal and copied,
	Copying               // is under way to its own holders,
	Adopting              // the fleet is asked to agree
	Done
)

// Heir takes over what one lost owner had.
type Takeover struct {
	Owner       string
	Epoch       uint64 // the heir's token of the owner's duty
	Stage       Stage
	LongestCopy *pb.Sealed // the longest copy; nil: nobody has one
	void        uint64     // epochs below were adopted before
	asked       map[string]bool
	heard       map[string]bool
	from        map[string]uint64 // the epoch of what each has that answered, where it has something
	nextAt      int64
	// Of the owner's clock, by what the holders reckon: as if they had answered when they were asked, and as if when
	// their answers came.
	asOf, asCame ClockEstimate
}

// NewHeir begins to take over: holders are all that the fleet has agreed on, adopted is the owner's last adoption, nil
// if there was none. What was kept before that is its heir's.
func NewTakeover(owner string, epoch uint64, holders []string, adopted *pb.Adoption) *Takeover {
	h := &Takeover{Owner: owner, Epoch: epoch, void: adopted.GetToken(), asked: map[string]bool{}, heard: map[string]bool{}, from: map[string]uint64{}, asOf: NewClockEstimate(), asCame: NewClockEstimate()}
	for _, name := range holders {
		h.asked[name] = true
	}
	return h
}

// Take returns the asks that are due.
func (h *Takeover) TakeOutgoing(now int64) (out []Outgoing) {
	if h.Stage != Sealing || now < h.nextAt {
		return nil
	}
	h.nextAt = now + askEvery
	for name := range h.asked {
		if !h.heard[name] {
			out = append(out, Outgoing{name, &pb.Frame{What: &pb.Frame_Seal{Seal: &pb.Seal{Owner: h.Owner, Epoch: h.Epoch, At: now}}}})
		}
	}
	slices.SortFunc(out, func(a, b Outgoing) int {
		if a.To < b.To {
			return -1
		}
		return 1
	})
	return out
}

// Sealed takes a holder's answer.
func (h *Takeover) HandleSealed(now int64, from string, s *pb.Sealed) {
	if s.Owner != h.Owner || s.Epoch != h.Epoch || !h.asked[from] || h.Stage != Sealing {
		return
	}
	h.heard[from] = true
	if s.Have {
		h.from[from] = s.From
	}
	if s.Have && s.From > h.void && (h.LongestCopy == nil || s.From > h.LongestCopy.From || s.From == h.LongestCopy.From && s.Seq > h.LongestCopy.Seq) {
		if h.LongestCopy == nil || s.From > h.LongestCopy.From {
			h.asOf, h.asCame = NewClockEstimate(), NewClockEstimate() // an earlier epoch's clock is another process's
		}
		h.LongestCopy = s
	}
	if s.Have && s.Clock != 0 && h.LongestCopy != nil && s.From == h.LongestCopy.From {
		h.asOf.Observe(s.At, s.Clock)
		h.asCame.Observe(now, s.Clock)
	}
}

// Clock is by how much the owner's clock, in Unix milliseconds, is ahead of the caller's monotonic one: for deadlines,
// which must not come out late by the time that holders took to answer, and for waits, which must not come out early by
// it; false: no holder knows, as all of them were started anew since.
func (h *Takeover) ClockOffsets() (deadlines, waits int64, known bool) {
	deadlines, known = h.asOf.Offset()
	waits, _ = h.asCame.Offset()
	return deadlines, waits, known
}

// Complete reports whether the holders that answered must have among them one that has whatever so many were waited for
// to have. Where they need not, an attempt may have begun that none of them knows of. One whose disk was lost answers,
// too, and knows nothing.
func (h *Takeover) Complete(needed int) bool {
	know := 0
	for _, from := range h.from {
		if h.LongestCopy != nil && from == h.LongestCopy.From {
			know++
		}
	}
	return know > len(h.asked)-needed
}

// Look goes on once every holder has answered whose session goes on. One whose session is over is lost, too: what it
// alone has is lost with it, as is promised for more losses than there are copies.
func (h *Takeover) Advance(present func(string) bool) Stage {
	if h.Stage != Sealing {
		return h.Stage
	}
	for name := range h.asked {
		if !h.heard[name] && present(name) {
			return h.Stage
		}
	}
	if h.Stage = Ready; h.LongestCopy == nil {
		h.Stage = Done
	}
	return h.Stage
}
