package sender

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sliptide/internal/fleet"
	"sliptide/internal/fleet/copies"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/journal"
	"sliptide/policy"
)

// This file copies the journal to other members, by means of internal/fleet/copies. The records of a step are sent
// after the journal has been written. Answers to clients, and calls that must not begin earlier, are queued until the
// holders acknowledge the records. The sender's goroutine never blocks on this: acknowledgements arrive as inputs.

// maxQueuedFrames limits the frames from other members that are queued for a step.
const maxQueuedFrames = 4096

// CopySettings configures the copies of the journal.
type CopySettings struct {
	Name            string
	Zone            string
	Count           int            // copies of the journal, apart from this member's own file
	Required        int            // holders that must acknowledge a message before its client is answered
	RequiredByClass map[string]int // for classes with another number, by name
	Timeout         time.Duration  // limit on the wait for acknowledgements
	AcceptUncopied  bool           // accept messages, and send those that may be repeated, although too few holders have acknowledged them in time
}

// CopyFleet is the fleet as copies need it. No method blocks.
type CopyFleet interface {
	Fleet
	View() *fleet.View
	SendCopy(to string, f *pb.Frame)
	Propose(c *pb.Command, done func(*pb.Answer, error)) // proposes a command; done is called on another goroutine
	Incarnation() uint64                                 // of this member's state directory; 0: it has not joined yet
}

// copier is a sender's state for copies of its journal and for takeovers of others.
type copier struct {
	settings         CopySettings
	fleet            CopyFleet
	owner            *copies.Owner
	takeovers        map[string]*takeover
	pendingEntries   map[uint64]*journal.Entry // being taken over: not given to the module yet
	waits            []holderWait
	confirmed        []*pendingSubmission // to be answered 202 after the next successful write of the journal
	claim            *claim               // of the messages resubmitted in this step
	leaseHeld        bool                 // the lease on this sender's own journal is held
	requestedHolders []string             // requested from the fleet, but not in its view yet; nil: none
	incarnation      uint64               // of the state directory
	requestedAt      time.Time            // when the lease was last requested
	nextPlacement    time.Time            // when the placement of copies is checked next
	shortCount       uint64               // submissions refused, or accepted uncopied, after an unsatisfied wait
	status           atomic.Pointer[copies.Status]
	nextStatus       time.Time

	mu    sync.Mutex
	inbox []copyInput // for the next step; guarded by mu
}

// copyInput is a frame from another member, or a function to run on the sender's goroutine.
type copyInput struct {
	from  string
	frame *pb.Frame
	run   func()
}

// takeover is the takeover of a lost owner's journal.
type takeover struct {
	*copies.Takeover
	startedAt int64          // in nanoseconds of fleet.Now
	entryNums []uint64       // numbers of the imported entries in this sender's journal
	holds     []journal.Hold // of the lost owner, by this sender's clock
}

// EnableCopies makes the sender copy its journal to other members. It is called before Run.
func (s *Sender) EnableCopies(f CopyFleet, set CopySettings) {
	s.copies = &copier{settings: set, fleet: f, takeovers: map[string]*takeover{}, pendingEntries: map[uint64]*journal.Entry{}, leaseHeld: true}
	s.copies.owner = copies.NewOwner(set.Name, 0)
	s.journal.EnableCopies()
	for _, m := range s.messages { // of an earlier process
		if m.Confirmed = true; m.TakeoverDuty != "" {
			s.copies.pendingEntries[m.Num] = m.Entry
			s.forget(m)
		}
	}
	s.events = slices.DeleteFunc(s.events, func(e policy.Event) bool { return s.copies.pendingEntries[e.ID] != nil })
	for _, id := range s.disabled.IDs() {
		s.recordDisabled(id, true)
	}
}

// ReceiveCopyFrame queues a frame about copies from a member. It does not block and is safe for concurrent use.
func (s *Sender) ReceiveCopyFrame(from string, f *pb.Frame) {
	s.enqueueCopyInput(copyInput{from: from, frame: f})
}

func (s *Sender) enqueueCopyInput(in copyInput) {
	c := s.copies
	if c == nil {
		return
	}
	c.mu.Lock()
	if in.run != nil || len(c.inbox) < maxQueuedFrames { // a dropped acknowledgement is covered by the holder's next one
		c.inbox = append(c.inbox, in)
	}
	c.mu.Unlock()
	s.Wake()
}

// Wake makes a step handle queued updates soon. It does not block and is safe for concurrent use.
func (s *Sender) Wake() {
	select {
	case s.inputs <- input{wake: true}:
	default: // queued inputs make a step due anyway
	}
}

// stepCopies handles queued inputs of copies and advances waits and takeovers, before the step of the module.
func (s *Sender) stepCopies() {
	c := s.copies
	if c == nil {
		return
	}
	now := fleet.Now()
	c.mu.Lock()
	inbox := c.inbox
	c.inbox = nil
	c.mu.Unlock()
	for _, in := range inbox {
		switch {
		case in.run != nil:
			in.run()
		case in.frame.GetCopied() != nil:
			c.owner.HandleCopied(now, in.from, in.frame.GetCopied())
		case in.frame.GetSealed() != nil:
			if t := c.takeovers[in.frame.GetSealed().Owner]; t != nil {
				t.HandleSealed(now, in.from, in.frame.GetSealed())
			}
		}
	}
	c.owner.SetClockOffset(int64(s.clock.Now()) - now/1e6)
	view := c.fleet.View()
	s.checkOwnLease(view)
	s.settlePending(view)
	s.stepTakeovers(now, view)
	s.readmitEndpoints()
	s.settleHolderWaits()
	s.publishCopyStatus()
}

// sendCopies sends the records of a step to the holders. It returns the number of their batch, 0 if there are
// no records.
func (s *Sender) sendCopies() uint64 {
	c := s.copies
	now := fleet.Now()
	seq := uint64(0)
	if records := s.journal.RecordsToCopy(); len(records) > 0 {
		seq = c.owner.Append(now, records, s.journal.LastNumber(), func() []byte { return journal.Compact(s.journal.Snapshot()) })
	}
	c.owner.SetLastNumber(s.journal.LastNumber())
	for _, o := range c.owner.TakeOutgoing(now, s.journal.Snapshot) {
		c.fleet.SendCopy(o.To, o.Frame)
	}
	for i := range c.waits {
		if c.waits[i].seq == 0 {
			c.waits[i].seq = max(seq, 1)
		}
	}
	for i := range s.queuedNotices {
		if s.queuedNotices[i].seq == 0 {
			s.queuedNotices[i].seq = max(seq, 1)
		}
	}
	return seq
}

// untilCopyStep limits the wait for the next step to what copies and takeovers need.
func (s *Sender) untilCopyStep(wait time.Duration) time.Duration {
	c := s.copies
	if c == nil {
		return wait
	}
	wait = min(wait, 50*time.Millisecond) // the lease, the holders and takeovers are polled
	if at, due := c.owner.NextWakeup(); due {
		wait = min(wait, time.Duration(at-fleet.Now()))
	}
	for i := range c.waits {
		wait = min(wait, time.Until(c.waits[i].deadline))
	}
	wait = min(wait, fromMillis(min(s.nextOverdueNotice()-s.clock.Now(), 1e6)))
	if at, due := s.avoided.NextExpiry(); due {
		wait = min(wait, fromMillis(at-s.clock.Now()))
	}
	return wait
}
