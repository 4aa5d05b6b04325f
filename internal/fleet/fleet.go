// Package fleet makes a sender a member of a fleet. It runs the session, the copies of other members' journals and, on
// a voter, the voter on separate goroutines, carries their frames over links, and reports whether this member holds a
// duty now.
//
// Nothing here blocks the sender: Token reads an atomic value and a clock. The voter and the session have separate
// loops, so that the voter's disk writes don't delay the member's own session.
package fleet

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"sliptide/internal/fleet/disk"
	"sliptide/internal/fleet/lease"
	"sliptide/internal/fleet/link"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/session"
	"sliptide/internal/fleet/voter"
	"sliptide/internal/fsys"
	"sliptide/internal/statedir"
)

const (
	inboxSize       = 1024                   // inputs queued for each loop
	maxPendingCalls = 16384                  // calls queued for the session's loop; further ones are dropped
	transferTimeout = 100 * time.Millisecond // how long Close waits for a leading voter to transfer its leadership
	closeTimeout    = 170 * time.Millisecond // how long Close waits for the session to end; after that its lease lapses
	commandTimeout  = 3 * time.Second        // for an answer to an operator's command
	reopenInterval  = 2 * time.Second        // between attempts to open a log that could not be opened at the start
)

// Peer is one member as listed in the operators' file.
type Peer struct {
	Name, Addr, Zone string
	Voter            bool
}

// Settings are the settings of the fleet from the operators' file.
type Settings struct {
	Name            string // this member's name
	Listen          string
	Members         []Peer
	MinVoters       int    // voters that must be present to found the group
	Weight          uint32 // relative capacity of this member for duties; 0 counts as 1
	Lease           lease.Params
	ElectionTimeout time.Duration
	Hash            uint64      // hash of the settings that must be equal in all members' files
	Client          *tls.Config `json:"-"`
	Server          *tls.Config `json:"-"`
}

// Self returns this member's own entry.
func (s *Settings) Self() (Peer, bool) {
	for _, m := range s.Members {
		if m.Name == s.Name {
			return m, true
		}
	}
	return Peer{}, false
}

// VoterNames returns the names of the voters in the order of the file.
func (s *Settings) VoterNames() (names []string) {
	for _, m := range s.Members {
		if m.Voter {
			names = append(names, m.Name)
		}
	}
	return names
}

// Now returns the time in nanoseconds on CLOCK_BOOTTIME, which keeps running while the machine sleeps.
func Now() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return int64(time.Since(processStart))
	}
	return t.Nano()
}

var processStart = time.Now()

// Options configure a Member.
type Options struct {
	Settings Settings
	Files    fsys.FS           // the member's state directory
	Account  *statedir.Account // nil: no bound
	Log      zerolog.Logger
	// CopyQuota is the number of bytes for copies of other members' journals; 0: none are kept. ReceiveCopyReply takes
	// replies about copies that are for the sender, and ViewChanged is called when View has changed; neither may block.
	CopyQuota        int64
	CopyAccount      *statedir.Account // of the state directory, for copies; nil: no bound
	ReceiveCopyReply func(from string, f *pb.Frame)
	ViewChanged      func()
	// CopyStatus returns the status of the copies of this member's own journal for operators; nil: there are none.
	CopyStatus func() string
	// DutyChanged is called on the session's goroutine on each change of a duty, and sometimes without one. mine reports
	// whether this member's session holds the duty. It must not block; it may be nil.
	DutyChanged func(d *pb.Duty, mine bool)
	Now         func() int64 // nil: the function Now
	// SkipVoterChecks and SkipSessionChecks disable safety checks, for tests that must detect their absence.
	SkipVoterChecks   voter.Skip
	SkipSessionChecks session.Skip
}

// input is a frame for a loop, or a function to call on the loop's goroutine.
type input struct {
	from  string
	frame *pb.Frame
	call  func()
}

// heldTokens are the tokens of the duties that a member holds until validUntil. It is immutable once published.
type heldTokens struct {
	validUntil int64
	tokens     map[string]uint64
}

// Member is this process as a member of the fleet.
type Member struct {
	o             Options
	now           func() int64
	self          Peer
	links         *link.Manager
	session       *session.Session
	voter         *voter.Voter // nil: not a voter, or its log could not be opened yet
	identity      *pb.Identity
	voterInbox    chan input
	sessionInbox  chan input
	copyInbox     chan input
	view          atomic.Pointer[View]
	viewVersion   uint64 // the version of the session's view that was published last
	viewSession   uint64 // the session of which that was the view
	held          atomic.Pointer[heldTokens]
	memberNames   atomic.Pointer[map[string]bool]
	pendingCalls  callQueue
	ctx           context.Context
	cancel        context.CancelFunc
	loops         sync.WaitGroup
	sessionClosed chan struct{}
}

// Open starts a member on the listener. It fails with disk.ErrForeign if the state directory belongs to another member.
// If the log cannot be opened for another reason, the member runs without a voter until it can.
func Open(o Options, ln net.Listener) (*Member, error) {
	self, known := o.Settings.Self()
	if !known {
		return nil, fmt.Errorf("fleet: RELAY_NAME %q is not the name of a member of <fleet>", o.Settings.Name)
	}
	m := &Member{o: o, now: o.Now, self: self, voterInbox: make(chan input, inboxSize), sessionInbox: make(chan input, inboxSize),
		copyInbox: make(chan input, inboxSize), sessionClosed: make(chan struct{}), pendingCalls: callQueue{wake: make(chan struct{}, 1)}}
	if m.now == nil {
		m.now = Now
	}
	m.held.Store(&heldTokens{})
	m.view.Store(&View{})
	m.SetMembers(o.Settings.Members)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	log, err := disk.Open(o.Files, o.Account, self.Name)
	switch {
	case errors.Is(err, disk.ErrForeign):
		return nil, fmt.Errorf("fleet: %w", err)
	case err != nil:
		// The sender keeps sending. A member without a log still has a session, so it can still acquire duties.
		o.Log.Error().Err(err).Msg("fleet: opening the log failed")
		m.identity = &pb.Identity{Member: self.Name, Incarnation: rand.Uint64() | 1, Boot: 1}
	default:
		m.identity = log.Identity()
	}
	if self.Voter && err == nil {
		if m.voter, err = m.newVoter(log); err != nil {
			return nil, err
		}
	}
	m.session = session.New(session.Options{Member: self.Name, Incarnation: m.identity.Incarnation, Boot: m.identity.Boot, Zone: self.Zone,
		Weight: o.Settings.Weight, Voters: o.Settings.VoterNames(), Lease: o.Settings.Lease, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnEvent: m.logDuty, Skip: o.SkipSessionChecks})
	if o.DutyChanged != nil {
		m.session.DutyChanged = func(d *pb.Duty) { o.DutyChanged(d, m.session.Holds(d)) }
	}
	m.links = link.New(link.Options{Self: self.Name, Incarnation: m.identity.Incarnation, SettingsHash: o.Settings.Hash, DialAddrs: m.dialAddrs(), IsMember: m.isMember,
		Client: o.Settings.Client, Server: o.Settings.Server, Receive: m.receive, Call: m.handleCommand, OnEvent: m.logLink})
	m.loops.Add(4)
	go func() { defer m.loops.Done(); m.links.Serve(ln) }()
	go m.runSession()
	go m.runVoter()
	go m.runCopies()
	return m, nil
}

// newVoter starts the voter of this member from its log.
func (m *Member) newVoter(log *disk.Log) (*voter.Voter, error) {
	s := &m.o.Settings
	return voter.New(voter.Options{Name: m.self.Name, Voters: s.VoterNames(), MinVoters: s.MinVoters, Lease: s.Lease, ElectionTimeout: s.ElectionTimeout,
		Log: log, OnEvent: m.logVoter, Skip: m.o.SkipVoterChecks}, m.now())
}

// dialAddrs returns the addresses of the members that this one dials. Of two voters the one whose name sorts first
// dials; every other member dials the voters.
func (m *Member) dialAddrs() map[string]string {
	addrs := map[string]string{}
	for _, p := range m.o.Settings.Members {
		if p.Voter && p.Name != m.self.Name && (!m.self.Voter || m.self.Name < p.Name) {
			addrs[p.Name] = p.Addr
		}
	}
	return addrs
}

func (m *Member) isMember(name string) bool { return (*m.memberNames.Load())[name] }

// SetMembers applies the member list of a reloaded operators' file: links from new members are accepted from now on.
// The set of voters does not change until the next start. It may be called concurrently with all other methods.
func (m *Member) SetMembers(members []Peer) {
	if m == nil {
		return
	}
	names := make(map[string]bool, len(members))
	for _, p := range members {
		names[p.Name] = true
	}
	m.memberNames.Store(&names)
}

func (m *Member) logVoter(what string, err error) {
	m.o.Log.Info().Err(err).Msg("fleet: voter: " + what)
}

func (m *Member) logLink(what, member string, err error) {
	m.o.Log.Info().Str("member", member).Err(err).Msg("fleet: " + what)
}

func (m *Member) logDuty(what, duty string, token uint64) {
	m.o.Log.Info().Str("duty", duty).Uint64("token", token).Msg("fleet: duty " + what)
}

// receive passes a frame to the loop that handles it. A loop that lags blocks the link of the frame and no other link.
func (m *Member) receive(ctx context.Context, from string, f *pb.Frame) {
	inbox := m.voterInbox
	switch w := f.What.(type) {
	case *pb.Frame_Copied, *pb.Frame_Sealed:
		if m.o.ReceiveCopyReply != nil {
			m.o.ReceiveCopyReply(from, f)
		}
		return
	case *pb.Frame_Copy, *pb.Frame_Seal:
		inbox = m.copyInbox
	case *pb.Frame_News:
		inbox = m.sessionInbox
	case *pb.Frame_Answer:
		if w.Answer.Id != 0 { // an answer without an id goes from one voter to another
			inbox = m.sessionInbox
		}
	}
	select {
	case inbox <- input{from: from, frame: f}:
	case <-ctx.Done():
	case <-m.ctx.Done():
	}
}

// route sends a frame over a link, or to the other loop of this member.
func (m *Member) route(to string, f *pb.Frame) {
	if to != m.self.Name {
		m.links.Send(to, f)
		return
	}
	inbox := m.sessionInbox
	if f.GetAsk() != nil || f.GetRaft() != nil {
		inbox = m.voterInbox
	}
	select {
	case inbox <- input{from: to, frame: f}:
	default: // dropped: the request is sent again
	}
}

// runSession is the loop of the session: it publishes the held duties, sends the session's frames, and waits for frames
// and calls or the next tick.
func (m *Member) runSession() {
	defer m.loops.Done()
	tick := time.NewTicker(max(m.o.Settings.Lease.Length/40, 5*time.Millisecond))
	defer tick.Stop()
	m.session.Tick(m.now())
	for {
		m.publishHeld()
		for _, out := range m.session.TakeOutgoing() {
			m.route(out.To, out.Frame)
		}
		select {
		case <-m.ctx.Done():
			return
		case in := <-m.sessionInbox:
			m.handleSessionInput(in)
			for range len(m.sessionInbox) {
				m.handleSessionInput(<-m.sessionInbox)
			}
		case <-m.pendingCalls.wake:
		case <-tick.C:
		}
		for _, call := range m.pendingCalls.drain() {
			call()
		}
		m.session.Tick(m.now())
		if m.session.Closed() {
			select {
			case <-m.sessionClosed:
			default:
				close(m.sessionClosed)
			}
		}
	}
}

func (m *Member) handleSessionInput(in input) {
	if in.call != nil {
		in.call()
		return
	}
	m.session.Receive(in.from, in.frame, m.now())
}

// publishHeld publishes the held duties for Token. It runs before frames are sent, so that a duty no longer counts as
// held here when its release goes out.
func (m *Member) publishHeld() {
	now := m.now()
	h := &heldTokens{validUntil: m.session.LeaseEnd(now), tokens: m.session.HeldTokens(now)}
	if m.o.SkipSessionChecks&session.SkipLeaseCheck != 0 {
		h.validUntil = now + int64(time.Hour)
	}
	m.held.Store(h)
	m.publishView()
}

// runVoter is the loop of the voter, or of the refusal of requests at a member that is not a voter. It also retries a
// log that could not be opened at the start.
func (m *Member) runVoter() {
	defer m.loops.Done()
	if !m.self.Voter {
		m.refuseRequests()
		return
	}
	tick := time.NewTicker(m.o.Settings.ElectionTimeout / 20)
	defer tick.Stop()
	reopenAt := time.Now().Add(reopenInterval)
	for {
		if m.voter != nil {
			for _, out := range m.voter.TakeOutgoing() {
				m.route(out.To, out.Frame)
			}
		}
		select {
		case <-m.ctx.Done():
			return
		case in := <-m.voterInbox:
			m.handleVoterInput(in)
			for range len(m.voterInbox) {
				m.handleVoterInput(<-m.voterInbox)
			}
		case <-tick.C:
		}
		if m.voter == nil && time.Now().After(reopenAt) {
			m.reopenLog()
			reopenAt = time.Now().Add(reopenInterval)
		}
		if m.voter != nil {
			m.voter.Tick(m.now())
		}
	}
}

// reopenLog tries to open a log that could not be opened before, and starts the voter.
func (m *Member) reopenLog() {
	log, err := disk.Open(m.o.Files, m.o.Account, m.self.Name)
	if err != nil {
		return
	}
	if m.voter, err = m.newVoter(log); err == nil {
		m.logVoter("log opened on retry", nil)
	}
}

// handleVoterInput passes an input to the voter. While its log cannot be opened, there is no voter: requests of members
// are refused, so that they go to another voter, and invitations to found the group (Found) get no answer.
func (m *Member) handleVoterInput(in input) {
	switch {
	case in.call != nil:
		in.call()
	case m.voter != nil:
		m.voter.Receive(in.from, in.frame, m.now())
	case in.frame.GetAsk() != nil && in.frame.GetAsk().Found == nil:
		m.route(in.from, notLeaderAnswer(in.frame.GetAsk().Id))
	}
}

// refuseRequests answers requests at a member that is not a voter.
func (m *Member) refuseRequests() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case in := <-m.voterInbox:
			if in.call != nil {
				in.call()
			} else if a := in.frame.GetAsk(); a != nil {
				m.route(in.from, notLeaderAnswer(a.Id))
			}
		}
	}
}

func notLeaderAnswer(id uint64) *pb.Frame {
	return &pb.Frame{What: &pb.Frame_Answer{Answer: &pb.Answer{Id: id, NotLeader: true}}}
}

// Token returns the fencing token of a duty if this member holds it now, 0 otherwise. Callers check it immediately
// before each action under the duty. It does not block.
func (m *Member) Token(duty string) uint64 {
	if m == nil {
		return 0
	}
	h := m.held.Load()
	if t := h.tokens[duty]; t != 0 && m.now() < h.validUntil {
		return t
	}
	return 0
}

// HeldDuties returns the number of duties that this member holds now.
func (m *Member) HeldDuties() int {
	if !m.Live() {
		return 0
	}
	return len(m.held.Load().tokens)
}

// Live reports whether this member's session is valid now, so that its view of the fleet can be relied on.
func (m *Member) Live() bool { return m != nil && m.now() < m.held.Load().validUntil }

// runOnSessionLoop queues f for the session's loop, in order, and does not block. Callers queue a call for a duty when
// the state of its partner changes, so the number of duties bounds the queue; beyond maxPendingCalls, f is dropped.
func (m *Member) runOnSessionLoop(f func()) {
	m.pendingCalls.mu.Lock()
	queueFull := len(m.pendingCalls.calls) >= maxPendingCalls
	if !queueFull {
		m.pendingCalls.calls = append(m.pendingCalls.calls, f)
	}
	m.pendingCalls.mu.Unlock()
	select {
	case m.pendingCalls.wake <- struct{}{}:
	default:
	}
}

// callQueue holds functions to run on the session's loop, in order.
type callQueue struct {
	mu    sync.Mutex
	calls []func()
	wake  chan struct{}
}

func (q *callQueue) drain() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	calls := q.calls
	q.calls = nil
	return calls
}

// Request makes this member a candidate for a duty. It does not block.
func (m *Member) Request(duty, zone string) {
	m.runOnSessionLoop(func() { m.session.Request(duty, zone) })
}

// Release gives a duty up, or withdraws the candidacy for it; end ends the duty for all members. It does not block.
func (m *Member) Release(duty string, end bool) {
	m.runOnSessionLoop(func() { m.session.Release(duty, end) })
}

// Publish publishes a value of a duty that this member holds to all members. It has no effect if this member does not
// hold the duty; a value may be lost if the fleet does not answer within the length of a lease. It does not block.
func (m *Member) Publish(name, value string) {
	m.runOnSessionLoop(func() {
		if t := m.session.Token(name, m.now()); t != 0 {
			m.session.Do(&pb.Ask{Command: &pb.Command{What: &pb.Command_Say{Say: &pb.Say{Session: m.session.ID(), Duty: name, Token: t, Word: value}}}},
				m.o.Settings.Lease.Length, func(*pb.Answer, error) {})
		}
	})
}

// transferLeadership makes a leading voter transfer its leadership, and waits for that up to transferTimeout.
func (m *Member) transferLeadership() {
	if !m.self.Voter {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, transferTimeout)
	defer cancel()
	leadsNow := make(chan bool, 1)
	for requested := false; ; requested = true {
		request := func() {
			if m.voter != nil && !requested {
				m.voter.TransferLeadership()
			}
			leadsNow <- m.voter != nil && m.voter.IsLeader()
		}
		select {
		case m.voterInbox <- input{call: request}:
		case <-ctx.Done():
			return
		}
		select {
		case stillLeads := <-leadsNow:
			if !stillLeads {
				return
			}
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(transferTimeout / 20):
		case <-ctx.Done():
		}
	}
}

// Close transfers the leadership if this member's voter leads, within transferTimeout. It then releases all duties,
// waits up to closeTimeout for the fleet to end the session, and closes the links.
func (m *Member) Close() {
	if m == nil {
		return
	}
	m.transferLeadership()
	m.runOnSessionLoop(func() { m.session.Close(m.now()) })
	select {
	case <-m.sessionClosed:
	case <-time.After(closeTimeout):
	}
	m.stop()
}

// Abandon closes the links without ending the session. The session lasts until its lease lapses or the next process of
// this state directory replaces it.
func (m *Member) Abandon() {
	if m != nil {
		m.stop()
	}
}

// stop ends the loops and closes the links.
func (m *Member) stop() {
	m.cancel()
	m.links.Close()
	m.loops.Wait()
}
