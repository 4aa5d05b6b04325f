// Package fleet makes a sender a member of a fleet: it runs the session (and, on a voter, the voter) on goroutines
// of their own, carries their frames over links, and tells whoever acts on a duty whether it is held now.
//
// Nothing here is on the sender's path: Held reads an atomic value and a clock. Two loops keep a voter's disk away
// from the member's own session.
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
	inboxSize       = 1024
	maxPendingCalls = 16384
	transferTimeout = 100 * time.Millisecond // a voter that leaves has handed the lead on within this time, or has not
	closeTimeout    = 170 * time.Millisecond // and what it holds, or its lease runs out
	commandTimeout  = 3 * time.Second
	reopenInterval  = 2 * time.Second // between two tries of a log that cannot be opened
)

// Peer is one member by the operators' file.
type Peer struct {
	Name, Addr, Zone string
	Voter            bool
}

// Settings are what the operators' file says of the fleet.
type Settings struct {
	Name            string // of this member
	Listen          string
	Members         []Peer
	MinVoters       int
	Weight          uint32
	Terms           lease.Terms
	ElectionTimeout time.Duration
	Hash            uint64      // of what must be alike in all members' files
	Client          *tls.Config `json:"-"`
	Server          *tls.Config `json:"-"`
}

// Self is this member's own line.
func (s *Settings) Self() (Peer, bool) {
	for _, m := range s.Members {
		if m.Name == s.Name {
			return m, true
		}
	}
	return Peer{}, false
}

// Voters are the names of the voters, in the file's order.
func (s *Settings) VoterNames() (names []string) {
	for _, m := range s.Members {
		if m.Voter {
			names = append(names, m.Name)
		}
	}
	return names
}

// Now is the time on the clock that goes on while the machine sleeps, in nanoseconds.
func Now() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return int64(time.Since(started))
	}
	return t.Nano()
}

var started = time.Now()

// Options are what a Member works with.
type Options struct {
	Settings Settings
	Files    fsys.FS
	Account  *statedir.Account // nil: not bounded
	Log      zerolog.Logger
	// Copies are kept of others' journals within so many bytes; 0: none. Frames of copies that are for the sender go to
	// Copied, and Changed tells that Look has something new; neither may wait.
	CopyQuota        int64
	CopyAccount      *statedir.Account // of the folder, for copies; nil: not bounded
	ReceiveCopyReply func(from string, f *pb.Frame)
	ViewChanged      func()
	// CopyStatus is what operators are told of the copies of this member's own journal; nil: there are none.
	CopyStatus  func() string
	DutyChanged func(d *pb.Duty, mine bool) // each change of a duty; it must not wait. nil: none
	Now         func() int64                // nil: Now
	// BreakVoter and BreakSession take guards out, for tests that show what finds that.
	BreakVoter   voter.Break
	BreakSession session.Break
}

// input is something for a loop: a frame, or a call on its goroutine.
type input struct {
	from  string
	frame *pb.Frame
	call  func()
}

// holds is what a member holds, as Held reads it.
type heldTokens struct {
	validUntil int64
	tokens     map[string]uint64
}

// Member is this process in the fleet.
type Member struct {
	o             Options
	now           func() int64
	self          Peer
	links         *link.Manager
	session       *session.Session
	voter         *voter.Voter // nil: not a voter, or its log cannot be opened yet
	identity      *pb.Identity
	voterInbox    chan input
	sessionInbox  chan input
	copyInbox     chan input
	view          atomic.Pointer[View]
	viewVersion   uint64 // the session's view that is published
	viewSession   uint64
	held          atomic.Pointer[heldTokens]
	memberNames   atomic.Pointer[map[string]bool]
	pendingCalls  callQueue
	ctx           context.Context
	cancel        context.CancelFunc
	loops         sync.WaitGroup
	sessionClosed chan struct{}
}

// Open starts a member on the listener. ErrForeign (package disk) means that the folder is another member's.
func Open(o Options, ln net.Listener) (*Member, error) {
	self, known := o.Settings.Self()
	if !known {
		return nil, fmt.Errorf("fleet: RELAY_NAME is %q, which is no member of <fleet>", o.Settings.Name)
	}
	m := &Member{o: o, now: o.Now, self: self, voterInbox: make(chan input, inboxSize), sessionInbox: make(chan input, inboxSize), copyInbox: make(chan input, inboxSize), sessionClosed: make(chan struct{}), pendingCalls: callQueue{wake: make(chan struct{}, 1)}}
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
		// The sender goes on sending, and its member without a log goes on asking.
		o.Log.Error().Err(err).Msg("fleet: the log cannot be opened")
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
		Weight: o.Settings.Weight, Voters: o.Settings.VoterNames(), Terms: o.Settings.Terms, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		LogEvent: m.logDuty, Break: o.BreakSession})
	if o.DutyChanged != nil {
		m.session.DutyChanged = func(d *pb.Duty) { o.DutyChanged(d, m.session.Holds(d)) }
	}
	m.links = link.New(link.Options{Self: self.Name, Incarnation: m.identity.Incarnation, SettingsHash: o.Settings.Hash, DialAddrs: m.dialAddrs(), IsMember: m.isMember,
		Client: o.Settings.Client, Server: o.Settings.Server, Receive: m.receive, Call: m.handleCommand, LogEvent: m.logLink})
	m.loops.Add(4)
	go func() { defer m.loops.Done(); m.links.Serve(ln) }()
	go m.runSession()
	go m.runVoter()
	go m.runCopies()
	return m, nil
}

func (m *Member) newVoter(log *disk.Log) (*voter.Voter, error) {
	s := &m.o.Settings
	return voter.New(voter.Options{Name: m.self.Name, Voters: s.VoterNames(), Minimum: s.MinVoters, Terms: s.Terms, Election: s.ElectionTimeout, Log: log,
		Note: m.logVoter, Break: m.o.BreakVoter}, m.now())
}

// dials are the members that this one dials: of two voters the first by name does, and everybody else dials the
// voters.
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

// SetMembers takes the members of an operators' file that was read again: links of new ones are taken from now on.
// Who votes stays until the next start.
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

// receive brings a frame to the loop that it is for. A loop that is behind holds up the link, and no other.
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
		if w.Answer.Id != 0 { // else it is one voter's to another
			inbox = m.sessionInbox
		}
	}
	select {
	case inbox <- input{from: from, frame: f}:
	case <-ctx.Done():
	case <-m.ctx.Done():
	}
}

// route sends a frame over a link, or to the other loop of this very member.
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
	default: // it is asked again
	}
}

func (m *Member) runSession() {
	defer m.loops.Done()
	tick := time.NewTicker(max(m.o.Settings.Terms.Length/40, 5*time.Millisecond))
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

// publish makes what is held readable to Held, before anything is sent that gives it up.
func (m *Member) publishHeld() {
	now := m.now()
	h := &heldTokens{validUntil: m.session.LeaseEnd(now), tokens: m.session.HeldTokens(now)}
	if m.o.BreakSession&session.BreakLeaseCheck != 0 {
		h.validUntil = now + int64(time.Hour)
	}
	m.held.Store(h)
	m.publishView()
}

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
			for _, out := range m.voter.Take() {
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

// revive tries a log again that could not be opened.
func (m *Member) reopenLog() {
	log, err := disk.Open(m.o.Files, m.o.Account, m.self.Name)
	if err != nil {
		return
	}
	if m.voter, err = m.newVoter(log); err == nil {
		m.logVoter("the log can be opened now", nil)
	}
}

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

// refuse answers asks at a member that is no voter.
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

// Held returns the fencing token of a duty that is held at this moment, 0 if it is not. It is to be asked
// immediately before each act. It waits for nothing.
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

// Duties is how many duties are held at this moment.
func (m *Member) HeldDuties() int {
	if !m.Live() {
		return 0
	}
	return len(m.held.Load().tokens)
}

// Live reports whether this member's session holds at this moment: whether the fleet can be relied on.
func (m *Member) Live() bool { return m != nil && m.now() < m.held.Load().validUntil }

// own runs f on the session's loop, in order, and waits for nothing. What is asked is bounded by the duties that
// callers name, each of which is asked about when something happens to its partner.
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

// calls are functions that wait for the session's loop, in order.
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

// Want puts this member in line for a duty. It waits for nothing.
func (m *Member) Request(duty, zone string) {
	m.runOnSessionLoop(func() { m.session.Request(duty, zone) })
}

// Leave gives a duty up; with end it is over for everybody. It waits for nothing.
func (m *Member) Release(duty string, end bool) {
	m.runOnSessionLoop(func() { m.session.Release(duty, end) })
}

// Say tells everybody who watches a word about a duty that this member holds.
func (m *Member) Publish(name, word string) {
	m.runOnSessionLoop(func() {
		if t := m.session.Token(name, m.now()); t != 0 {
			m.session.Do(&pb.Ask{Command: &pb.Command{What: &pb.Command_Say{Say: &pb.Say{Session: m.session.ID(), Duty: name, Token: t, Word: word}}}},
				m.o.Settings.Terms.Length, func(*pb.Answer, error) {})
		}
	})
}

// aside has a voter that leads hand that on, and waits until it has, for a bounded time.
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
				m.voter.Aside()
			}
			leadsNow <- m.voter != nil && m.voter.Leads()
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

// Close gives everything up, waits for the fleet to take note for a bounded time, and ends the links.
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

// Abandon ends the links without a word. The session goes on until it lapses, or the next process of this folder takes
// its place.
func (m *Member) Abandon() {
	if m != nil {
		m.stop()
	}
}

func (m *Member) stop() {
	m.cancel()
	m.links.Close()
	m.loops.Wait()
}
