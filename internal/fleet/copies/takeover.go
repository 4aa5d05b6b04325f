package copies

import (
	"slices"
	"time"

	"sliptide/internal/fleet/pb"
)

const sealInterval = int64(50 * time.Millisecond) // between requests to holders that have not answered

// Stage is the stage of a takeover.
type Stage int

// The stages of a takeover, in order. The caller of Advance performs those from Ready on.
const (
	Sealing  Stage = iota // the holders are asked to seal the owner's epochs and to send their copies
	Ready                 // LongestCopy can be written to the successor's own journal
	Copying               // the imported entries are being copied to the successor's holders
	Adopting              // the fleet has been asked to agree to the adoption
	Done
)

// Takeover takes over one lost owner's messages, on behalf of its successor.
type Takeover struct {
	Owner        string
	Epoch        uint64 // the successor's token of the owner's duty
	Stage        Stage
	LongestCopy  *pb.Sealed // the longest copy of the latest epoch so far; nil: no answer has a copy to be adopted
	adoptedEpoch uint64     // copies of epochs up to this one have been adopted already
	holders      map[string]bool
	answered     map[string]bool
	copyEpochs   map[string]uint64 // of the copies of the holders that answered with one
	nextRequest  int64
	// Bounds of the offset of the owner's clock, from the holders' estimates: upperOffset assumes that a holder read
	// the clock when the request was sent, lowerOffset when the answer arrived.
	upperOffset, lowerOffset ClockEstimate
}

// NewTakeover begins a takeover. holders are all holders that the fleet has agreed on. adopted is the owner's last
// adoption, nil if there was none; copies from before it belong to the member that adopted them.
func NewTakeover(owner string, epoch uint64, holders []string, adopted *pb.Adoption) *Takeover {
	t := &Takeover{Owner: owner, Epoch: epoch, adoptedEpoch: adopted.GetToken(), holders: map[string]bool{}, answered: map[string]bool{}, copyEpochs: map[string]uint64{}, upperOffset: NewClockEstimate(), lowerOffset: NewClockEstimate()}
	for _, name := range holders {
		t.holders[name] = true
	}
	return t
}

// TakeOutgoing returns the requests to seal that are due, sorted by holder.
func (t *Takeover) TakeOutgoing(now int64) (out []Outgoing) {
	if t.Stage != Sealing || now < t.nextRequest {
		return nil
	}
	t.nextRequest = now + sealInterval
	for name := range t.holders {
		if !t.answered[name] {
			out = append(out, Outgoing{name, &pb.Frame{What: &pb.Frame_Seal{Seal: &pb.Seal{Owner: t.Owner, Epoch: t.Epoch, At: now}}}})
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

// HandleSealed handles a holder's answer.
func (t *Takeover) HandleSealed(now int64, from string, s *pb.Sealed) {
	if s.Owner != t.Owner || s.Epoch != t.Epoch || !t.holders[from] || t.Stage != Sealing {
		return
	}
	t.answered[from] = true
	if s.Have {
		t.copyEpochs[from] = s.From
	}
	if s.Have && s.From > t.adoptedEpoch && (t.LongestCopy == nil || s.From > t.LongestCopy.From || s.From == t.LongestCopy.From && s.Seq > t.LongestCopy.Seq) {
		if t.LongestCopy == nil || s.From > t.LongestCopy.From {
			// The clock of an earlier epoch is that of another process.
			t.upperOffset, t.lowerOffset = NewClockEstimate(), NewClockEstimate()
		}
		t.LongestCopy = s
	}
	if s.Have && s.Clock != 0 && t.LongestCopy != nil && s.From == t.LongestCopy.From {
		t.upperOffset.Observe(s.At, s.Clock)
		t.lowerOffset.Observe(now, s.Clock)
	}
}

// ClockOffsets returns bounds of the offset, in milliseconds, of the owner's clock (Unix time) from the caller's
// monotonic clock. The time that holders take to answer must not make a deadline late, nor end a wait early: deadlines
// use the upper bound, waits the lower one. known is false if no holder knows the owner's clock, for instance because
// all their machines have restarted.
func (t *Takeover) ClockOffsets() (deadlines, waits int64, known bool) {
	deadlines, known = t.upperOffset.Offset()
	waits, _ = t.lowerOffset.Offset()
	return deadlines, waits, known
}

// Complete reports whether at least one of the holders that answered must have every record that the given number of
// holders had to acknowledge. Otherwise an attempt may have begun that no answer mentions. A holder that lost its disk
// also answers, but without a copy, and does not count.
func (t *Takeover) Complete(required int) bool {
	holding := 0
	for _, epoch := range t.copyEpochs {
		if t.LongestCopy != nil && epoch == t.LongestCopy.From {
			holding++
		}
	}
	return holding > len(t.holders)-required
}

// Advance moves on from Sealing once every holder with a session has answered, and returns the stage. A holder whose
// session has ended counts as lost, and so do records that it alone has: the guarantee covers no more losses than there
// are copies. present reports whether a member has a session.
func (t *Takeover) Advance(present func(string) bool) Stage {
	if t.Stage != Sealing {
		return t.Stage
	}
	for name := range t.holders {
		if !t.answered[name] && present(name) {
			return t.Stage
		}
	}
	if t.Stage = Ready; t.LongestCopy == nil {
		t.Stage = Done
	}
	return t.Stage
}
