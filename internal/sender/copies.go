package sender

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sliptide/internal/fleet"
	"sliptide/internal/fleet/copies"
	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/placement"
	"sliptide/internal/journal"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

// This file copies the journal to other members, by means of internal/fleet/copies. The records of a step are sent
// after the journal has been written. Answers to clients, and calls that must not begin earlier, are queued until the
// holders acknowledge the records. The sender's goroutine never blocks on this: acknowledgements arrive as inputs.

// placementInterval is the interval between checks of the placement of copies.
const placementInterval = 50 * time.Millisecond

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

// checkOwnLease follows the lease on this sender's own journal: it begins an epoch when the lease is gained, and drops
// the calls that have not begun when it is lost.
func (s *Sender) checkOwnLease(view *fleet.View) {
	c := s.copies
	name := duty.JournalDuty(c.settings.Name)
	if time.Since(c.requestedAt) > time.Second {
		c.requestedAt = time.Now()
		c.fleet.Request(name, "")
	}
	d := view.Journals[c.settings.Name]
	held := view.Holds(d) && c.fleet.Token(name) == d.Token
	if held != c.leaseHeld {
		c.leaseHeld = held
		if !held {
			s.dropWaitingCalls()
		}
		s.stepDue = true // waiting messages may be sent
		if reason := TooFewHoldersReason; s.lacksLease() {
			s.refusal.Store(&reason)
		} else {
			s.refusal.Store(nil)
		}
		s.log.Info().Bool("held", held).Msg("copies: lease on this sender's journal gained or lost")
	}
	if !held {
		if !view.Holds(d) {
			c.owner.BeginEpoch(0)
		}
		return
	}
	if c.owner.Epoch() != d.Token {
		c.incarnation = c.fleet.Incarnation()
		c.owner.SetIncarnation(c.incarnation)
		if a := view.Adoptions[c.settings.Name]; a != nil && a.Incarnation == c.incarnation {
			s.dropAdopted(a)
		}
		c.owner.BeginEpoch(d.Token)
		c.requestedHolders = nil
	}
	if slices.Equal(d.Holders, c.requestedHolders) {
		c.requestedHolders = nil
	}
	c.owner.SetHolders(countedHolders(d.Holders, c.requestedHolders))
	if now := time.Now(); now.After(c.nextPlacement) { // members change within seconds, not with every step
		c.nextPlacement = now.Add(placementInterval)
		s.placeCopies(view, d)
	}
}

// countedHolders returns the holders whose acknowledgements count. A holder whose removal has been requested does not:
// a successor may not be told of its copy any more.
func countedHolders(holders, requested []string) []string {
	if requested == nil {
		return holders
	}
	return slices.DeleteFunc(slices.Clone(holders), func(name string) bool { return !slices.Contains(requested, name) })
}

// placeCopies requests other holders from the fleet if the present members make another placement better.
func (s *Sender) placeCopies(view *fleet.View, d *pb.Duty) {
	c := s.copies
	full := c.owner.FullMembers(fleet.Now())
	var present []placement.Member
	for _, p := range view.Present {
		present = append(present, placement.Member{Name: p.Name, Zone: p.Zone, Full: slices.Contains(full, p.Name)})
	}
	wanted := placement.Choose(c.settings.Name, c.settings.Zone, c.settings.Count, present)
	next := placement.NextStep(d.Holders, wanted, c.owner.Synced, view.HasMember)
	if slices.Equal(next, d.Holders) || slices.Equal(next, c.requestedHolders) {
		return
	}
	c.requestedHolders = next
	c.fleet.Propose(&pb.Command{What: &pb.Command_Keep{Keep: &pb.Keep{Session: view.Session, Duty: d.Name, Token: d.Token, Holders: next}}}, func(_ *pb.Answer, err error) {
		if err != nil { // otherwise the request stands until the view shows its result
			s.enqueueCopyInput(copyInput{run: func() { c.requestedHolders = nil }})
		}
	})
}

// dropAdopted drops exactly the messages that a successor took over while this sender was away.
func (s *Sender) dropAdopted(a *pb.Adoption) {
	n := 0
	for _, m := range s.messages {
		if m.Num <= a.Upto && m.TakeoverDuty == "" {
			s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: m.Num})
			s.dropUnsent(m.call)
			s.observeMessageEnd(m.Entry, telemetry.EndingWithdrawn, 0)
			s.journal.End(m.Entry, int64(s.now))
			s.forget(m)
			n++
		}
	}
	for num, e := range s.pendingNotices {
		if num <= a.Upto {
			delete(s.pendingNotices, num)
			s.journal.End(e, int64(s.now))
			n++
		}
	}
	s.journal.SkipNumbers(a.Upto)
	s.log.Info().Int("messages", n).Str("heir", a.By).Msg("copies: messages were taken over while this sender was away")
}

// dropWaitingCalls drops the calls with messages that have not begun.
func (s *Sender) dropWaitingCalls() {
	for c := range s.calls {
		if len(c.Items) > 0 {
			s.dropUnsent(c)
		}
	}
}

// mayAttempt reports whether attempts may begin: with copies only while the lease on this sender's journal is held.
// Otherwise a successor may send the same messages.
func (s *Sender) mayAttempt() bool { return s.copies == nil || s.copies.leaseHeld }

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

// lacksLease reports whether messages must be refused because the lease on this sender's journal is lost.
func (s *Sender) lacksLease() bool {
	return s.copies != nil && !s.copies.settings.AcceptUncopied && !s.copies.leaseHeld
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

// TooFewHoldersReason is the reason that clients and /up receive while messages are refused for lack of holders.
const TooFewHoldersReason = "too few members can be reached to copy what is taken on"

// RefusalReason returns, for /up, why this sender accepts no messages while the lease on its journal is lost; empty: it
// is not lost, or messages are accepted uncopied. It is safe for concurrent use.
func (s *Sender) RefusalReason() string {
	if why := s.refusal.Load(); why != nil {
		return *why
	}
	return ""
}
