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
	"sliptide/internal/outbound"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

// This file copies the journal to further members and takes over those of lost ones, by internal/fleet/copies. A
// step's records go out after it has written them; what the client hears, and each first byte that must not go
// before, waits in line for the holders' word. The sender's goroutine waits for nobody: the word comes as news.

// hushedPace holds all calls back without counting one: the lease on this sender's own journal is over.
const suspendedPace = 1e-3

// placeEvery is between two looks at where copies go.
const placementInterval = 50 * time.Millisecond

// newsMost bounds the holders' words that wait for a step.
const maxQueuedFrames = 4096

// CopySettings are how the journal is copied.
type CopySettings struct {
	Name            string
	Zone            string
	Count           int
	Required        int
	RequiredByClass map[string]int // of classes that wait for another number of copies, by name
	Timeout         time.Duration
	AcceptUncopied  bool // where too few holders can be reached: take messages on all the same
}

// CopyFleet is what copies need of the fleet. None of its calls waits.
type CopyFleet interface {
	Fleet
	View() *fleet.Look
	SendCopy(to string, f *pb.Frame)
	Propose(c *pb.Command, done func(*pb.Answer, error))
	Incarnation() uint64 // of this member's folder; 0: it has not joined yet
}

// copier is a sender's part in the copies of journals.
type copier struct {
	settings         CopySettings
	fleet            CopyFleet
	owner            *copies.Owner
	takeovers        map[string]*takeover
	pendingEntries   map[uint64]*journal.Entry // being taken over: of no module yet
	waits            []holderWait
	confirmed        []*pendingSubmission // whose 202 goes out with this step, once its record has
	claim            *claim               // of the messages that are handed in again in this step
	leaseHeld        bool                 // the lease on this sender's own journal holds
	requestedHolders []string
	incarnation      uint64 // of the folder
	requestedAt      time.Time
	nextPlacement    time.Time // of the next look at where copies go
	shortCount       uint64    // messages that were refused, or taken on without copies
	status           atomic.Pointer[copies.Status]
	nextStatus       time.Time

	mu    sync.Mutex
	inbox []copyInput
}

type copyInput struct {
	from  string
	frame *pb.Frame
	run   func() // or something to be done on the sender's goroutine
}

// heirOf is a taking over.
type takeover struct {
	*copies.Heir
	startedAt int64          // nanoseconds
	entryNums []uint64       // of the entries in this journal
	holds     []journal.Hold // where nothing may be sent, by this sender's clock
}

// copyLine waits for the holders' word on a batch.
type holderWait struct {
	seq         uint64
	required    int // holders that must have the batch
	deadline    time.Time
	claims      []*claim // that must be answered, too
	submissions []*pendingSubmission
	calls       []*outbound.Call
	done        func(kept bool)
}

// Copy gives the sender its part in copies, before Run.
func (s *Sender) EnableCopies(f CopyFleet, set CopySettings) {
	s.copies = &copier{settings: set, fleet: f, takeovers: map[string]*takeover{}, pendingEntries: map[uint64]*journal.Entry{}, leaseHeld: true}
	s.copies.owner = copies.NewOwner(set.Name, 0)
	s.journal.EnableCopies()
	for _, m := range s.messages { // of an earlier life
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

// CopyNews takes a frame of copies from a member. It does not wait.
func (s *Sender) ReceiveCopyFrame(from string, f *pb.Frame) {
	s.enqueueCopyInput(copyInput{from: from, frame: f})
}

func (s *Sender) enqueueCopyInput(n copyInput) {
	c := s.copies
	if c == nil {
		return
	}
	c.mu.Lock()
	if n.run != nil || len(c.inbox) < maxQueuedFrames { // a holder's word that is lost comes again with its next one
		c.inbox = append(c.inbox, n)
	}
	c.mu.Unlock()
	s.Wake()
}

// Kick makes a step come soon, for news that wait. It does not wait.
func (s *Sender) Wake() {
	select {
	case s.inputs <- input{wake: true}:
	default: // a step is due anyway
	}
}

// copyStep takes what has come for copies, ahead of a step of the module.
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
	for _, n := range inbox {
		switch {
		case n.run != nil:
			n.run()
		case n.frame.GetCopied() != nil:
			c.owner.Copied(now, n.from, n.frame.GetCopied())
		case n.frame.GetSealed() != nil:
			if h := c.takeovers[n.frame.GetSealed().Owner]; h != nil {
				h.Sealed(now, n.from, n.frame.GetSealed())
			}
		}
	}
	c.owner.Clock(int64(s.clock.Now()) - now/1e6)
	look := c.fleet.View()
	s.checkOwnLease(look)
	s.settlePending(look)
	s.stepTakeovers(now, look)
	s.readmitEndpoints()
	s.settleWaits()
	s.publishCopyStatus()
}

// ownJournal begins the epoch of this sender's own journal, or notices that its lease is over.
func (s *Sender) checkOwnLease(look *fleet.Look) {
	c := s.copies
	name := duty.Own(c.settings.Name)
	if time.Since(c.requestedAt) > time.Second {
		c.requestedAt = time.Now()
		c.fleet.Request(name, "")
	}
	d := look.Own[c.settings.Name]
	live := look.Mine(d) && c.fleet.Token(name) == d.Token
	if live != c.leaseHeld {
		c.leaseHeld = live
		s.suspendCalls(!live)
		if why := TooFewHoldersReason; s.lacksLease() {
			s.refusal.Store(&why)
		} else {
			s.refusal.Store(nil)
		}
		s.log.Info().Bool("held", live).Msg("copies: the lease on this sender's journal")
	}
	if !live {
		if !look.Mine(d) {
			c.owner.Begin(0)
		}
		return
	}
	if c.owner.Epoch() != d.Token {
		c.incarnation = c.fleet.Incarnation()
		c.owner.Of(c.incarnation)
		if a := look.Adopted[c.settings.Name]; a != nil && a.Incarnation == c.incarnation {
			s.dropAdopted(a)
		}
		c.owner.Begin(d.Token)
		c.requestedHolders = nil
	}
	if slices.Equal(d.Holders, c.requestedHolders) {
		c.requestedHolders = nil
	}
	c.owner.Holders(countedHolders(d.Holders, c.requestedHolders))
	if now := time.Now(); now.After(c.nextPlacement) { // members come and go in seconds: not at every step
		c.nextPlacement = now.Add(placementInterval)
		s.placeCopies(look, d)
	}
}

// counted are the holders whose word counts: not one that the fleet is being asked to let go, whose copy an heir may not
// be told of any more.
func countedHolders(holders, asked []string) []string {
	if asked == nil {
		return holders
	}
	return slices.DeleteFunc(slices.Clone(holders), func(name string) bool { return !slices.Contains(asked, name) })
}

// placeCopies asks the fleet for other holders where the members ask for them.
func (s *Sender) placeCopies(look *fleet.Look, d *pb.Duty) {
	c := s.copies
	full := c.owner.Full(fleet.Now())
	var there []placement.Member
	for _, p := range look.Present {
		there = append(there, placement.Member{Name: p.Name, Zone: p.Zone, Full: slices.Contains(full, p.Name)})
	}
	wanted := placement.Choose(c.settings.Name, c.settings.Zone, c.settings.Count, there)
	next := placement.Next(d.Holders, wanted, c.owner.Synced, look.Is)
	if slices.Equal(next, d.Holders) || slices.Equal(next, c.requestedHolders) {
		return
	}
	c.requestedHolders = next
	c.fleet.Propose(&pb.Command{What: &pb.Command_Keep{Keep: &pb.Keep{Session: look.Session, Duty: d.Name, Token: d.Token, Holders: next}}}, func(_ *pb.Answer, err error) {
		if err != nil { // else it stands until the news of it are here
			s.enqueueCopyInput(copyInput{run: func() { c.requestedHolders = nil }})
		}
	})
}

// handedOn drops what an heir has taken over while this sender was away, and exactly that.
func (s *Sender) dropAdopted(a *pb.Adoption) {
	n := 0
	for _, m := range s.messages {
		if m.Num <= a.Upto && m.TakeoverDuty == "" {
			s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: m.Num})
			s.dropUnsent(m.call)
			s.observeOver(m.Entry, telemetry.Withdrawn, 0)
			s.journal.End(m.Entry)
			s.ended.add(m.Trace, s.now)
			s.forget(m)
			n++
		}
	}
	for num, e := range s.pendingNotices {
		if num <= a.Upto {
			delete(s.pendingNotices, num)
			s.journal.End(e)
			n++
		}
	}
	s.journal.SkipNumbers(a.Upto)
	s.log.Info().Int("messages", n).Str("heir", a.By).Msg("copies: messages were taken over while this sender was away")
}

// hush holds all calls back, or lets them go on.
func (s *Sender) suspendCalls(on bool) {
	pace := 0.0
	if on {
		pace = suspendedPace
	}
	for dest := range s.listedDests {
		s.events = append(s.events, policy.Event{Kind: policy.EvPace, Dest: dest, Pace: pace})
	}
	for c := range s.calls { // what has not begun does not begin
		if on && len(c.Items) > 0 {
			s.dropUnsent(c)
		}
	}
	for id := range s.endpoints {
		if s.hasOwnLimits(id) {
			s.events = append(s.events, policy.Event{Kind: policy.EvPace, Dest: s.endpoints[id].Dest, Endpoint: id, Pace: pace})
		}
	}
}

// hushNew holds calls back at what a list has named while the lease is over.
func (s *Sender) suspendListed() {
	if s.copies != nil && !s.copies.leaseHeld {
		s.suspendCalls(true)
	}
}

// copyOut copies what a step has written. It returns the batch's number.
func (s *Sender) sendCopies() uint64 {
	c := s.copies
	now := fleet.Now()
	seq := uint64(0)
	if records := s.journal.RecordsToCopy(); len(records) > 0 {
		seq = c.owner.Append(now, records, s.journal.LastNumber(), func() []byte { return journal.Compact(s.journal.Snapshot()) })
	}
	for _, o := range c.owner.Take(now, s.journal.Snapshot) {
		c.fleet.SendCopy(o.To, o.Frame)
	}
	for i := range c.waits {
		if c.waits[i].seq == 0 {
			c.waits[i].seq = max(seq, 1)
		}
	}
	return seq
}

// copyWait puts a step's answers and calls in line for the holders' word, and for the fleet's on what was handed in
// again. What need not wait is left.
func (s *Sender) awaitHolders(seq uint64) {
	c := s.copies
	s.proposeClaim()
	first, deadline := len(c.waits), time.Now().Add(c.settings.Timeout)
	waitFor := func(needed int, claims []*claim) *holderWait {
		for i := first; i < len(c.waits); i++ {
			if c.waits[i].required == needed && slices.Equal(c.waits[i].claims, claims) {
				return &c.waits[i]
			}
		}
		c.waits = append(c.waits, holderWait{seq: seq, required: needed, claims: claims, deadline: deadline})
		return &c.waits[len(c.waits)-1]
	}
	s.submissions = slices.DeleteFunc(s.submissions, func(t *pendingSubmission) bool {
		if !t.refused {
			l := waitFor(c.requiredFor(t.entry.Class), s.openClaims(t.entry.Num))
			l.submissions = append(l.submissions, t)
		}
		return !t.refused
	})
	s.newCalls = slices.DeleteFunc(s.newCalls, func(call *outbound.Call) bool {
		if !s.mustAwaitHolders(call) {
			return false
		}
		s.calls[call] = true
		needed := 0
		var nums []uint64
		for i := range call.Items {
			if m := s.messages[call.Items[i].ID]; m != nil {
				needed, nums = max(needed, c.requiredFor(m.Class)), append(nums, m.Num)
			}
		}
		l := waitFor(needed, s.openClaims(nums...))
		l.calls = append(l.calls, call)
		return true
	})
}

// needs is how many holders must have a message of a class.
func (c *copier) requiredFor(class string) int {
	if n, set := c.settings.RequiredByClass[class]; set {
		return n
	}
	return c.settings.Required
}

// most is what any class needs: what is taken over may be of each.
func (c *copier) maxRequired() int {
	n := c.settings.Required
	for _, v := range c.settings.RequiredByClass {
		n = max(n, v)
	}
	return n
}

// mustWait reports whether a call's first byte waits for copies: of a message whose client has no answer yet, and of
// one of a class that must never take effect twice.
func (s *Sender) mustAwaitHolders(call *outbound.Call) bool {
	for i := range call.Items {
		m := s.messages[call.Items[i].ID]
		if m == nil {
			continue
		}
		if !m.Confirmed || s.forbidsRepeats(m.Class) {
			return true
		}
	}
	return false
}

// copyTell gives the answers whose records this step has written and sent.
func (s *Sender) answerConfirmed() {
	for _, t := range s.copies.confirmed {
		t.verdict <- Verdict{Accepted: true, Num: t.entry.Num}
	}
	s.copies.confirmed = s.copies.confirmed[:0]
}

// copyLines lets go on what the holders have, and gives up what they do not have in time.
func (s *Sender) settleWaits() {
	c := s.copies
	now := time.Now()
	lines := c.waits
	c.waits = nil
	for _, l := range lines {
		kept := l.seq != 0 && c.leaseHeld && c.owner.Committed(l.required) >= l.seq && allAnswered(l.claims)
		if !kept && now.Before(l.deadline) {
			c.waits = append(c.waits, l)
			continue
		}
		s.endWait(&l, kept)
	}
}

// copyLeave ends what still waits for holders when the sender leaves: nothing of it is taken on.
func (s *Sender) failWaits() {
	if s.copies == nil {
		return
	}
	lines := s.copies.waits
	s.copies.waits = nil
	for i := range lines {
		s.endWait(&lines[i], false)
	}
	s.answerConfirmed()
}

func (s *Sender) endWait(l *holderWait, kept bool) {
	if l.done != nil {
		l.done(kept)
	}
	accept := kept || s.copies.settings.AcceptUncopied
	if !kept {
		s.copies.shortCount += uint64(len(l.submissions))
	}
	for _, t := range l.submissions {
		m := s.messages[t.entry.Num]
		switch {
		case m == nil: // over already
			t.verdict <- Verdict{RetryAfter: maxBusyRetryMS}
		case m.claim.has(m.Entry): // an heir's: nothing was sent of it here
			s.revoke(m, telemetry.CauseRoom)
			t.verdict <- Verdict{TakenOver: true}
		case accept:
			s.journal.Confirm(m.Entry)
			s.copies.confirmed = append(s.copies.confirmed, t)
		default:
			s.revoke(m, telemetry.CauseRoom)
			t.verdict <- Verdict{RetryAfter: s.busyRetryAfter(), TooFewHolders: true}
		}
	}
	for _, call := range l.calls {
		if accept && s.calls[call] && !s.anyTakenOver(call) {
			s.startCall(call)
		} else {
			s.dropUnsent(call)
			s.stepDue = true
		}
	}
}

// takeBack withdraws a message whose client hears that it is not taken on.
func (s *Sender) revoke(m *message, why telemetry.Cause) {
	s.observeOver(m.Entry, telemetry.NotTaken, 0)
	s.observeRefused(m.Dest, why)
	s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: m.Num})
	s.stepDue = true
	s.dropUnsent(m.call)
	s.journal.End(m.Entry)
	s.forget(m)
}

// goWithLease starts a call whose first byte goes out only while the lease on this sender's journal holds: it may wait
// for its connection, or the process be stopped, until that is over.
func (s *Sender) startCall(call *outbound.Call) {
	if c := s.copies; c != nil && len(call.Items) > 0 {
		name, epoch := duty.Own(c.settings.Name), c.owner.Epoch()
		call.MayStart = func() bool { return c.fleet.Token(name) == epoch }
	}
	s.pool.Go(call)
}

// copyRefuses reports whether nothing can be taken on for want of the lease, or of anybody to copy to.
func (s *Sender) lacksLease() bool {
	return s.copies != nil && !s.copies.settings.AcceptUncopied && !s.copies.leaseHeld
}

// copyNext is when copies want a step by time alone.
func (s *Sender) untilCopyStep(wait time.Duration) time.Duration {
	c := s.copies
	if c == nil {
		return wait
	}
	wait = min(wait, 50*time.Millisecond) // the lease, the holders and what is taken over are looked at
	if at, due := c.owner.Next(); due {
		wait = min(wait, time.Duration(at-fleet.Now()))
	}
	for i := range c.waits {
		wait = min(wait, time.Until(c.waits[i].deadline))
	}
	if at, due := s.avoided.Next(); due {
		wait = min(wait, fromMillis(at-s.clock.Now()))
	}
	return wait
}

// Short says why messages are refused, for their clients, /up and the log.
const TooFewHoldersReason = "too few members can be reached to copy what is taken on"

// Refuses is why this sender takes nothing on, for /up; empty: it does. It is safe for concurrent use.
func (s *Sender) RefusalReason() string {
	if why := s.refusal.Load(); why != nil {
		return *why
	}
	return ""
}
