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
const hushedPace = 1e-3

// placeEvery is between two looks at where copies go.
const placeEvery = 50 * time.Millisecond

// newsMost bounds the holders' words that wait for a step.
const newsMost = 4096

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
	set      CopySettings
	fleet    CopyFleet
	owner    *copies.Owner
	heirs    map[string]*heirOf
	pending  map[uint64]*journal.Entry // being taken over: of no module yet
	lines    []copyLine
	told     []*taking // whose 202 goes out with this step, once its record has
	claim    *claim    // of the messages that are handed in again in this step
	live     bool      // the lease on this sender's own journal holds
	asked    []string
	inc      uint64 // of the folder
	wantAt   time.Time
	placeAt  time.Time // of the next look at where copies go
	short    uint64    // messages that were refused, or taken on without copies
	status   atomic.Pointer[copies.Status]
	statusAt time.Time

	mu    sync.Mutex
	inbox []copyNews
}

type copyNews struct {
	from  string
	frame *pb.Frame
	do    func() // or something to be done on the sender's goroutine
}

// heirOf is a taking over.
type heirOf struct {
	*copies.Takeover
	began int64          // nanoseconds
	nums  []uint64       // of the entries in this journal
	holds []journal.Hold // where nothing may be sent, by this sender's clock
}

// copyLine waits for the holders' word on a batch.
type copyLine struct {
	seq    uint64
	needed int // holders that must have the batch
	till   time.Time
	claims []*claim // that must be answered, too
	orders []*taking
	calls  []*outbound.Call
	done   func(kept bool)
}

// Copy gives the sender its part in copies, before Run.
func (s *Sender) EnableCopies(f CopyFleet, set CopySettings) {
	s.copies = &copier{set: set, fleet: f, heirs: map[string]*heirOf{}, pending: map[uint64]*journal.Entry{}, live: true}
	s.copies.owner = copies.NewOwner(set.Name, 0)
	s.journal.EnableCopies()
	for _, m := range s.msgs { // of an earlier life
		if m.Confirmed = true; m.TakeoverDuty != "" {
			s.copies.pending[m.Num] = m.Entry
			s.forget(m)
		}
	}
	s.events = slices.DeleteFunc(s.events, func(e policy.Event) bool { return s.copies.pending[e.ID] != nil })
	for _, id := range s.out.IDs() {
		s.holdByHand(id, true)
	}
}

// CopyNews takes a frame of copies from a member. It does not wait.
func (s *Sender) ReceiveCopyFrame(from string, f *pb.Frame) {
	s.copyNews(copyNews{from: from, frame: f})
}

func (s *Sender) copyNews(n copyNews) {
	c := s.copies
	if c == nil {
		return
	}
	c.mu.Lock()
	if n.do != nil || len(c.inbox) < newsMost { // a holder's word that is lost comes again with its next one
		c.inbox = append(c.inbox, n)
	}
	c.mu.Unlock()
	s.Wake()
}

// Kick makes a step come soon, for news that wait. It does not wait.
func (s *Sender) Wake() {
	select {
	case s.in <- input{kick: true}:
	default: // a step is due anyway
	}
}

// copyStep takes what has come for copies, ahead of a step of the module.
func (s *Sender) copyStep() {
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
		case n.do != nil:
			n.do()
		case n.frame.GetCopied() != nil:
			c.owner.HandleCopied(now, n.from, n.frame.GetCopied())
		case n.frame.GetSealed() != nil:
			if h := c.heirs[n.frame.GetSealed().Owner]; h != nil {
				h.HandleSealed(now, n.from, n.frame.GetSealed())
			}
		}
	}
	c.owner.SetClockOffset(int64(s.clock.Now()) - now/1e6)
	look := c.fleet.View()
	s.ownJournal(look)
	s.settlePending(look)
	s.inherit(now, look)
	s.reopen()
	s.copyLines()
	s.publishCopies()
}

// ownJournal begins the epoch of this sender's own journal, or notices that its lease is over.
func (s *Sender) ownJournal(look *fleet.Look) {
	c := s.copies
	name := duty.Own(c.set.Name)
	if time.Since(c.wantAt) > time.Second {
		c.wantAt = time.Now()
		c.fleet.Request(name, "")
	}
	d := look.Own[c.set.Name]
	live := look.Mine(d) && c.fleet.Token(name) == d.Token
	if live != c.live {
		c.live = live
		s.hush(!live)
		if why := TooFewHoldersReason; s.copyRefuses() {
			s.refuses.Store(&why)
		} else {
			s.refuses.Store(nil)
		}
		s.log.Info().Bool("held", live).Msg("copies: the lease on this sender's journal")
	}
	if !live {
		if !look.Mine(d) {
			c.owner.BeginEpoch(0)
		}
		return
	}
	if c.owner.Epoch() != d.Token {
		c.inc = c.fleet.Incarnation()
		c.owner.SetIncarnation(c.inc)
		if a := look.Adopted[c.set.Name]; a != nil && a.Incarnation == c.inc {
			s.handedOn(a)
		}
		c.owner.BeginEpoch(d.Token)
		c.asked = nil
	}
	if slices.Equal(d.Holders, c.asked) {
		c.asked = nil
	}
	c.owner.SetHolders(counted(d.Holders, c.asked))
	if now := time.Now(); now.After(c.placeAt) { // members come and go in seconds: not at every step
		c.placeAt = now.Add(placeEvery)
		s.placeCopies(look, d)
	}
}

// counted are the holders whose word counts: not one that the fleet is being asked to let go, whose copy an heir may not
// be told of any more.
func counted(holders, asked []string) []string {
	if asked == nil {
		return holders
	}
	return slices.DeleteFunc(slices.Clone(holders), func(name string) bool { return !slices.Contains(asked, name) })
}

// placeCopies asks the fleet for other holders where the members ask for them.
func (s *Sender) placeCopies(look *fleet.Look, d *pb.Duty) {
	c := s.copies
	full := c.owner.FullMembers(fleet.Now())
	var there []placement.Member
	for _, p := range look.Present {
		there = append(there, placement.Member{Name: p.Name, Zone: p.Zone, Full: slices.Contains(full, p.Name)})
	}
	wanted := placement.Choose(c.set.Name, c.set.Zone, c.set.Count, there)
	next := placement.Next(d.Holders, wanted, c.owner.Synced, look.Is)
	if slices.Equal(next, d.Holders) || slices.Equal(next, c.asked) {
		return
	}
	c.asked = next
	c.fleet.Propose(&pb.Command{What: &pb.Command_Keep{Keep: &pb.Keep{Session: look.Session, Duty: d.Name, Token: d.Token, Holders: next}}}, func(_ *pb.Answer, err error) {
		if err != nil { // else it stands until the news of it are here
			s.copyNews(copyNews{do: func() { c.asked = nil }})
		}
	})
}

// handedOn drops what an heir has taken over while this sender was away, and exactly that.
func (s *Sender) handedOn(a *pb.Adoption) {
	n := 0
	for _, m := range s.msgs {
		if m.Num <= a.Upto && m.TakeoverDuty == "" {
			s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: m.Num})
			s.drop(m.call)
			s.observeOver(m.Entry, telemetry.Withdrawn, 0)
			s.journal.End(m.Entry)
			s.past.add(m.Trace, s.now)
			s.forget(m)
			n++
		}
	}
	for num, e := range s.owed {
		if num <= a.Upto {
			delete(s.owed, num)
			s.journal.End(e)
			n++
		}
	}
	s.journal.SkipNumbers(a.Upto)
	s.log.Info().Int("messages", n).Str("heir", a.By).Msg("copies: messages were taken over while this sender was away")
}

// hush holds all calls back, or lets them go on.
func (s *Sender) hush(on bool) {
	pace := 0.0
	if on {
		pace = hushedPace
	}
	for dest := range s.dests {
		s.events = append(s.events, policy.Event{Kind: policy.EvPace, Dest: dest, Pace: pace})
	}
	for c := range s.calls { // what has not begun does not begin
		if on && len(c.Items) > 0 {
			s.drop(c)
		}
	}
	for id := range s.addrs {
		if s.apart(id) {
			s.events = append(s.events, policy.Event{Kind: policy.EvPace, Dest: s.addrs[id].Dest, Endpoint: id, Pace: pace})
		}
	}
}

// hushNew holds calls back at what a list has named while the lease is over.
func (s *Sender) hushNew() {
	if s.copies != nil && !s.copies.live {
		s.hush(true)
	}
}

// copyOut copies what a step has written. It returns the batch's number.
func (s *Sender) copyOut() uint64 {
	c := s.copies
	now := fleet.Now()
	seq := uint64(0)
	if records := s.journal.RecordsToCopy(); len(records) > 0 {
		seq = c.owner.Append(now, records, s.journal.LastNumber(), func() []byte { return journal.Compact(s.journal.Snapshot()) })
	}
	for _, o := range c.owner.TakeOutgoing(now, s.journal.Snapshot) {
		c.fleet.SendCopy(o.To, o.Frame)
	}
	for i := range c.lines {
		if c.lines[i].seq == 0 {
			c.lines[i].seq = max(seq, 1)
		}
	}
	return seq
}

// copyWait puts a step's answers and calls in line for the holders' word, and for the fleet's on what was handed in
// again. What need not wait is left.
func (s *Sender) copyWait(seq uint64) {
	c := s.copies
	s.askAgain()
	first, till := len(c.lines), time.Now().Add(c.set.Timeout)
	line := func(needed int, claims []*claim) *copyLine {
		for i := first; i < len(c.lines); i++ {
			if c.lines[i].needed == needed && slices.Equal(c.lines[i].claims, claims) {
				return &c.lines[i]
			}
		}
		c.lines = append(c.lines, copyLine{seq: seq, needed: needed, claims: claims, till: till})
		return &c.lines[len(c.lines)-1]
	}
	s.orders = slices.DeleteFunc(s.orders, func(t *taking) bool {
		if !t.refused {
			l := line(c.needs(t.entry.Class), s.openClaims(t.entry.Num))
			l.orders = append(l.orders, t)
		}
		return !t.refused
	})
	s.sends = slices.DeleteFunc(s.sends, func(call *outbound.Call) bool {
		if !s.mustWait(call) {
			return false
		}
		s.calls[call] = true
		needed := 0
		var nums []uint64
		for i := range call.Items {
			if m := s.msgs[call.Items[i].ID]; m != nil {
				needed, nums = max(needed, c.needs(m.Class)), append(nums, m.Num)
			}
		}
		l := line(needed, s.openClaims(nums...))
		l.calls = append(l.calls, call)
		return true
	})
}

// needs is how many holders must have a message of a class.
func (c *copier) needs(class string) int {
	if n, set := c.set.RequiredByClass[class]; set {
		return n
	}
	return c.set.Required
}

// most is what any class needs: what is taken over may be of each.
func (c *copier) most() int {
	n := c.set.Required
	for _, v := range c.set.RequiredByClass {
		n = max(n, v)
	}
	return n
}

// mustWait reports whether a call's first byte waits for copies: of a message whose client has no answer yet, and of
// one of a class that must never take effect twice.
func (s *Sender) mustWait(call *outbound.Call) bool {
	for i := range call.Items {
		m := s.msgs[call.Items[i].ID]
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
func (s *Sender) copyTell() {
	for _, t := range s.copies.told {
		t.verdict <- Verdict{Accepted: true, Num: t.entry.Num}
	}
	s.copies.told = s.copies.told[:0]
}

// copyLines lets go on what the holders have, and gives up what they do not have in time.
func (s *Sender) copyLines() {
	c := s.copies
	now := time.Now()
	lines := c.lines
	c.lines = nil
	for _, l := range lines {
		kept := l.seq != 0 && c.live && c.owner.Committed(l.needed) >= l.seq && answered(l.claims)
		if !kept && now.Before(l.till) {
			c.lines = append(c.lines, l)
			continue
		}
		s.lineEnds(&l, kept)
	}
}

// copyLeave ends what still waits for holders when the sender leaves: nothing of it is taken on.
func (s *Sender) copyLeave() {
	if s.copies == nil {
		return
	}
	lines := s.copies.lines
	s.copies.lines = nil
	for i := range lines {
		s.lineEnds(&lines[i], false)
	}
	s.copyTell()
}

func (s *Sender) lineEnds(l *copyLine, kept bool) {
	if l.done != nil {
		l.done(kept)
	}
	go202 := kept || s.copies.set.AcceptUncopied
	if !kept {
		s.copies.short += uint64(len(l.orders))
	}
	for _, t := range l.orders {
		m := s.msgs[t.entry.Num]
		switch {
		case m == nil: // over already
			t.verdict <- Verdict{RetryAfter: lateLeast}
		case m.claim.has(m.Entry): // an heir's: nothing was sent of it here
			s.takeBack(m, telemetry.CauseRoom)
			t.verdict <- Verdict{TakenOver: true}
		case go202:
			s.journal.Confirm(m.Entry)
			s.copies.told = append(s.copies.told, t)
		default:
			s.takeBack(m, telemetry.CauseRoom)
			t.verdict <- Verdict{RetryAfter: s.busyRetry(), TooFewHolders: true}
		}
	}
	for _, call := range l.calls {
		if go202 && s.calls[call] && !s.elsewhere(call) {
			s.goWithLease(call)
		} else {
			s.drop(call)
			s.again = true
		}
	}
}

// takeBack withdraws a message whose client hears that it is not taken on.
func (s *Sender) takeBack(m *message, why telemetry.Cause) {
	s.observeOver(m.Entry, telemetry.NotTaken, 0)
	s.observeRefused(m.Dest, why)
	s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: m.Num})
	s.again = true
	s.drop(m.call)
	s.journal.End(m.Entry)
	s.forget(m)
}

// goWithLease starts a call whose first byte goes out only while the lease on this sender's journal holds: it may wait
// for its connection, or the process be stopped, until that is over.
func (s *Sender) goWithLease(call *outbound.Call) {
	if c := s.copies; c != nil && len(call.Items) > 0 {
		name, epoch := duty.Own(c.set.Name), c.owner.Epoch()
		call.MayStart = func() bool { return c.fleet.Token(name) == epoch }
	}
	s.pool.Go(call)
}

// copyRefuses reports whether nothing can be taken on for want of the lease, or of anybody to copy to.
func (s *Sender) copyRefuses() bool {
	return s.copies != nil && !s.copies.set.AcceptUncopied && !s.copies.live
}

// copyNext is when copies want a step by time alone.
func (s *Sender) copyNext(wait time.Duration) time.Duration {
	c := s.copies
	if c == nil {
		return wait
	}
	wait = min(wait, 50*time.Millisecond) // the lease, the holders and what is taken over are looked at
	if at, due := c.owner.NextWakeup(); due {
		wait = min(wait, time.Duration(at-fleet.Now()))
	}
	for i := range c.lines {
		wait = min(wait, time.Until(c.lines[i].till))
	}
	if at, due := s.shut.Next(); due {
		wait = min(wait, millis(at-s.clock.Now()))
	}
	return wait
}

// Short says why messages are refused, for their clients, /up and the log.
const TooFewHoldersReason = "too few members can be reached to copy what is taken on"

// Refuses is why this sender takes nothing on, for /up; empty: it does. It is safe for concurrent use.
func (s *Sender) RefusalReason() string {
	if why := s.refuses.Load(); why != nil {
		return *why
	}
	return ""
}
