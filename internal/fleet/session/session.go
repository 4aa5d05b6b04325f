// Package session implements a member's side of duties: one session with the fleet's voters, on which all duties of
// the member depend, and the member's knowledge of the duties of all members. It has no clock, sockets or goroutines:
// the caller passes in the time, received frames and a source of randomness, and collects the frames to send. Times are
// nanoseconds on the caller's monotonic clock.
//
// A duty counts as held only while the lease is valid on this member's own clock. If the lease cannot be renewed, the
// member stops holding its duties without being notified.
package session

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/lease"
	"sliptide/internal/fleet/pb"
)

const (
	maxRequests         = 64 // requests about duties that are in flight at once
	requestTimeoutShare = 8  // an open, renewal or close goes to another voter after 1/requestTimeoutShare of a lease
)

// Options configure a Session.
type Options struct {
	Member      string
	Incarnation uint64 // of the member's state directory
	Boot        uint64 // number of starts of the program on that state directory
	Zone        string // of the member
	Weight      uint32 // relative capacity of the member for duties; 0 counts as 1
	Voters      []string
	Lease       lease.Params
	Rand        *rand.Rand
	// OnEvent is called when a duty is held or lost, and, without a duty, when the fleet refuses to open a session. It may
	// be nil.
	OnEvent func(what string, duty string, token uint64)
	Skip    Skip
}

// Skip is a set of disabled safety checks, for tests that must detect their absence.
type Skip uint

// The safety checks, each with what happens without it.
const (
	SkipLeaseStart  Skip = 1 << iota // the lease counts from when the answer arrives, not from when the renewal was sent
	SkipDriftMargin                  // the lease counts in full, without a margin for clock drift
	SkipLeaseCheck                   // a duty counts as held until another holder is reported, even after the lease
)

// Outgoing is a frame to send to a voter.
type Outgoing struct {
	To    string
	Frame *pb.Frame
}

// dutyRequest is the state of a duty that this member has requested.
type dutyRequest struct {
	zone             string
	candidateSession uint64 // the session that is a candidate for the duty, as acknowledged by the voters
	askID            uint64 // id of the request in flight; 0: none
	releaseToken     uint64 // the token that the request in flight releases; 0: it releases no held duty
	sentAt           int64
	retryAt          int64  // earliest time of the next request
	loggedToken      uint64 // the token last logged as held
	releasedToken    uint64 // tokens up to this one are released and never count as held again
	releasing        bool   // no longer wanted by this member
	ends             bool   // nor by any other member
}

// pendingAsk is a request from another part of this process, such as a command to propose.
type pendingAsk struct {
	ask      *pb.Ask
	sentAt   int64
	deadline int64
	done     func(*pb.Answer, error)
}

// Errors of Do.
var (
	ErrNoQuorum = errors.New("no voter that leads answers")
	ErrClosed   = errors.New("the member has left the fleet")
)

// Session is a member's session. It is not safe for concurrent use.
type Session struct {
	o           Options
	now         int64
	outgoing    []Outgoing
	id          uint64
	lease       lease.Holder
	openSeq     uint64 // number of the session that is open or being opened
	targetVoter int    // index of the voter that requests go to
	lastAskID   uint64 // id of the latest request
	openID      uint64 // id of the request in flight that opens or closes the session; 0: none
	openSentAt  int64
	renewID     uint64 // id of the renewal in flight; 0: none
	renewSentAt int64
	openRetryAt int64  // earliest time of the next request to open a session
	viewID      uint64 // id of the request for the whole view in flight; 0: none
	viewSentAt  int64
	version     uint64 // of the view: duties, adoptions and present
	duties      map[string]*pb.Duty
	adoptions   map[string]*pb.Adoption
	present     []*pb.Present
	requests    map[string]*dutyRequest
	dutyAsks    map[uint64]string // duty by request id
	pendingAsks map[uint64]*pendingAsk
	closing     bool           // Close was called
	closed      bool           // the session has ended for good
	DutyChanged func(*pb.Duty) // called by Receive on each change of a duty, and sometimes without one; may be nil
}

// New returns a session that sends its first request at the first Tick.
func New(o Options) *Session {
	if o.OnEvent == nil {
		o.OnEvent = func(string, string, uint64) {}
	}
	return &Session{o: o, targetVoter: o.Rand.IntN(len(o.Voters)), duties: map[string]*pb.Duty{},
		adoptions: map[string]*pb.Adoption{}, requests: map[string]*dutyRequest{}, dutyAsks: map[uint64]string{}, pendingAsks: map[uint64]*pendingAsk{}, lastAskID: o.Rand.Uint64() >> 1}
}

// TakeOutgoing returns and clears the frames to send, in order.
func (s *Session) TakeOutgoing() []Outgoing {
	out := s.outgoing
	s.outgoing = nil
	return out
}

func (s *Session) sendAsk(a *pb.Ask) uint64 {
	s.lastAskID++
	a.Id, a.Member = s.lastAskID, s.o.Member
	s.outgoing = append(s.outgoing, Outgoing{s.o.Voters[s.targetVoter], &pb.Frame{What: &pb.Frame_Ask{Ask: a}}})
	return a.Id
}

func (s *Session) requestTimeout() int64 { return int64(s.o.Lease.Length) / requestTimeoutShare }

// jitter returns a random duration from d/2 to 3d/2.
func (s *Session) jitter(d int64) int64 { return d/2 + s.o.Rand.Int64N(d+1) }

// Request makes this member a candidate for a duty, and cancels an earlier Release of it.
func (s *Session) Request(name, zone string) {
	if r := s.requests[name]; r != nil {
		r.releasing, r.ends = false, false
		return
	}
	s.requests[name] = &dutyRequest{zone: zone}
}

// Release gives a duty up, or withdraws the candidacy for it; end ends the duty for all members.
func (s *Session) Release(name string, end bool) {
	if r := s.requests[name]; r != nil {
		r.releasing, r.ends = true, end
		r.releasedToken = max(r.releasedToken, s.grantedToken(name))
		s.logLost(name, r)
	}
}

// grantedToken returns the token with which the voters granted this session a duty, 0 if they have not.
func (s *Session) grantedToken(name string) uint64 {
	if d := s.duties[name]; d != nil && s.id != 0 && d.Session == s.id {
		return d.Token
	}
	return 0
}

// Token returns the fencing token of a duty that this member holds at now, 0 if it does not hold it.
func (s *Session) Token(name string, now int64) uint64 {
	r := s.requests[name]
	if r == nil || r.releasing || s.closing {
		return 0
	}
	t := s.grantedToken(name)
	if t == 0 || t <= r.releasedToken || !s.lease.Valid(now) && s.o.Skip&SkipLeaseCheck == 0 {
		return 0
	}
	return t
}

// HeldTokens returns the tokens of all duties that this member holds at now, by duty.
func (s *Session) HeldTokens(now int64) map[string]uint64 {
	held := map[string]uint64{}
	for name := range s.requests {
		if t := s.Token(name, now); t != 0 {
			held[name] = t
		}
	}
	return held
}

// LeaseEnd returns the end of the lease on the caller's clock, 0 if no lease is valid at now.
func (s *Session) LeaseEnd(now int64) int64 {
	if left := s.lease.Remaining(now); left > 0 {
		return now + int64(left)
	}
	return 0
}

// Duty returns the known state of a duty, nil if it is unknown. The caller must not change it.
func (s *Session) Duty(name string) *pb.Duty { return s.duties[name] }

// Holds reports whether the state d of a duty names this session as its holder.
func (s *Session) Holds(d *pb.Duty) bool { return s.id != 0 && d.Session == s.id && !d.Ended }

// View returns all known duties, the adoptions by owner, and the members that have live sessions. The caller must not
// change any of it.
func (s *Session) View() (duties map[string]*pb.Duty, adoptions map[string]*pb.Adoption, present []*pb.Present) {
	return s.duties, s.adoptions, s.present
}

// Version returns the version of the view.
func (s *Session) Version() uint64 { return s.version }

// ID returns the session's number, 0 if no session is open.
func (s *Session) ID() uint64 { return s.id }

// Do sends a request, such as a command to propose, to the leading voter, and calls done at most once with the result:
// the answer and the error in it, ErrNoQuorum if there is no answer within timeout, or ErrClosed if the session is
// already closed. Requests time out only while a session is open. Those pending when Close is called may get no result.
func (s *Session) Do(ask *pb.Ask, timeout time.Duration, done func(*pb.Answer, error)) {
	if s.closed {
		done(nil, ErrClosed)
		return
	}
	pending := &pendingAsk{ask: ask, deadline: s.now + int64(timeout), done: done}
	s.pendingAsks[s.sendPending(pending)] = pending
}

func (s *Session) sendPending(a *pendingAsk) uint64 {
	a.sentAt = s.now
	return s.sendAsk(proto.Clone(a.ask).(*pb.Ask))
}

// Close releases all duties and ends the session for good.
func (s *Session) Close(now int64) {
	s.now = now
	if s.closing {
		return
	}
	for name, r := range s.requests {
		s.logLost(name, r)
	}
	s.closing = true
	if s.id == 0 {
		s.closed = true
		return
	}
	s.sendClose()
}

// Closed reports whether the session is closed for good: the fleet has acknowledged its end, or no session was open
// when Close was called.
func (s *Session) Closed() bool { return s.closed }

func (s *Session) sendClose() {
	s.openSentAt = s.now
	s.openID = s.sendAsk(&pb.Ask{Command: &pb.Command{What: &pb.Command_Close{Close: &pb.Close{Session: s.id}}}})
}

// Tick advances the session to now. It is to be called at least every twentieth of a lease.
func (s *Session) Tick(now int64) {
	s.now = now
	if s.closing {
		if !s.closed && now-s.openSentAt > s.requestTimeout() {
			s.nextVoter()
			s.sendClose()
		}
		return
	}
	if s.id != 0 && !s.lease.Valid(now) {
		// The lease may still be renewed if the fleet has not ended the session; until then no duty is held.
		for name, r := range s.requests {
			s.logLost(name, r)
		}
	}
	switch {
	case s.id == 0:
		s.open()
	case s.renewID != 0 && now-s.renewSentAt > s.requestTimeout():
		s.nextVoter()
		s.renew()
	case s.renewID == 0 && now-s.renewSentAt >= int64(s.o.Lease.RenewInterval()):
		s.renew()
	}
	if s.id == 0 {
		return
	}
	if s.viewID != 0 && now-s.viewSentAt > s.requestTimeout() {
		s.viewID = 0
		s.requestView()
	}
	s.maintainRequests()
	s.retryAsks()
}

// nextVoter selects the next voter for further requests.
func (s *Session) nextVoter() { s.targetVoter = (s.targetVoter + 1) % len(s.o.Voters) }

// open requests a session, unless a request is in flight or the delay since the last one is not over. An unanswered
// request is repeated with the same number at the next voter, so that the fleet recognizes it.
func (s *Session) open() {
	if s.openID != 0 && s.now-s.openSentAt > s.requestTimeout() {
		s.nextVoter()
		s.openID = 0
	}
	if s.openID != 0 || s.now < s.openRetryAt {
		return
	}
	if s.openSeq == 0 {
		s.openSeq = 1
	}
	s.openSentAt = s.now
	s.openRetryAt = s.now + s.jitter(s.requestTimeout())
	s.openID = s.sendAsk(&pb.Ask{Command: &pb.Command{What: &pb.Command_Open{Open: &pb.Open{
		Member: s.o.Member, Incarnation: s.o.Incarnation, Boot: s.o.Boot, Seq: s.openSeq, Zone: s.o.Zone, Weight: s.o.Weight}}}})
}

func (s *Session) renew() {
	s.renewSentAt = s.now
	s.renewID = s.sendAsk(&pb.Ask{Renew: s.id})
}

// requestView requests the whole view, unless such a request is in flight.
func (s *Session) requestView() {
	if s.viewID == 0 {
		s.viewSentAt = s.now
		s.viewID = s.sendAsk(&pb.Ask{View: &pb.View{}})
	}
}

// endSession drops a session that the fleet has ended. A new one is opened later.
func (s *Session) endSession() {
	s.lease.Drop()
	for name, r := range s.requests {
		s.logLost(name, r)
		if r.askID = 0; r.releasing {
			delete(s.requests, name)
		}
	}
	clear(s.dutyAsks)
	s.id, s.renewID, s.openID, s.viewID = 0, 0, 0, 0
	s.openSeq++
	s.openRetryAt = s.now + s.jitter(s.requestTimeout())
}

// logLost logs that a duty that was logged as held is no longer held.
func (s *Session) logLost(name string, r *dutyRequest) {
	if r.loggedToken != 0 {
		s.o.OnEvent("lost", name, r.loggedToken)
		r.loggedToken = 0
	}
}

// maintainRequests requests the duties that this member wants, and releases those that it no longer wants or that are
// to be transferred to another member.
func (s *Session) maintainRequests() {
	outstanding := len(s.dutyAsks)
	for name, r := range s.requests {
		token := s.grantedToken(name)
		if r.askID != 0 && s.now-r.sentAt > 2*s.requestTimeout() {
			delete(s.dutyAsks, r.askID)
			r.askID, outstanding = 0, outstanding-1
		}
		if t := s.Token(name, s.now); t != 0 && r.loggedToken != t {
			s.logLost(name, r)
			r.loggedToken = t
			s.o.OnEvent("held", name, t)
		}
		if d := s.duties[name]; token != 0 && token > r.releasedToken && d.Wanted != "" && d.Wanted != s.o.Member {
			r.releasedToken = token // not held from here on, whatever the result of the release
			s.logLost(name, r)
		}
		if r.askID != 0 || s.now < r.retryAt || outstanding >= maxRequests {
			continue
		}
		switch {
		case token != 0 && (r.releasing || token <= r.releasedToken):
			r.releasedToken = max(r.releasedToken, token)
			s.sendDutyCommand(name, r, token, &pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: s.id, Duty: name, Token: token, End: r.releasing && r.ends}}})
		case r.releasing && r.candidateSession == s.id:
			s.sendDutyCommand(name, r, 0, &pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: s.id, Duty: name}}})
		case r.releasing:
			delete(s.requests, name)
			continue
		case r.candidateSession != s.id:
			s.sendDutyCommand(name, r, 0, &pb.Command{What: &pb.Command_Acquire{Acquire: &pb.Acquire{Session: s.id, Duty: name, Zone: r.zone}}})
		default:
			continue
		}
		outstanding++
	}
	for name, d := range s.duties { // granted although not requested: by a hand-over, or by a late copy of a request
		if d.Session == s.id && s.requests[name] == nil {
			s.requests[name] = &dutyRequest{zone: d.Zone, releasing: true, candidateSession: s.id}
		}
	}
}

// sendDutyCommand sends a command about a duty. token is that of the held duty that the command releases, otherwise 0.
func (s *Session) sendDutyCommand(name string, r *dutyRequest, token uint64, c *pb.Command) {
	r.sentAt, r.releaseToken = s.now, token
	r.askID = s.sendAsk(&pb.Ask{Command: c})
	s.dutyAsks[r.askID] = name
}

// retryAsks sends unanswered requests again, until their deadlines pass.
func (s *Session) retryAsks() {
	for id, a := range s.pendingAsks {
		switch {
		case s.now > a.deadline:
			delete(s.pendingAsks, id)
			a.done(nil, ErrNoQuorum)
		case s.now-a.sentAt > 2*s.requestTimeout():
			delete(s.pendingAsks, id)
			s.pendingAsks[s.sendPending(a)] = a
		}
	}
}

// Receive handles a frame from a voter.
func (s *Session) Receive(from string, f *pb.Frame, now int64) {
	s.now = now
	switch w := f.What.(type) {
	case *pb.Frame_News:
		s.applyUpdate(w.News)
	case *pb.Frame_Answer:
		s.handleAnswer(from, w.Answer)
	}
}

// handleAnswer passes an answer to the handler of the request that it belongs to. An answer to a request that is no
// longer in flight is ignored.
func (s *Session) handleAnswer(from string, a *pb.Answer) {
	if a.NotLeader {
		s.handleNotLeader(from, a)
		return
	}
	switch {
	case a.Id == 0:
	case a.Id == s.openID:
		s.handleOpened(from, a)
	case a.Id == s.renewID:
		s.handleRenewed(a)
	case a.Id == s.viewID:
		s.viewID = 0
		s.applyUpdate(a.News)
	case s.dutyAsks[a.Id] != "":
		s.handleDutyAnswer(a)
	case s.pendingAsks[a.Id] != nil:
		pending := s.pendingAsks[a.Id]
		delete(s.pendingAsks, a.Id)
		if a.Error != "" {
			pending.done(a, errors.New(a.Error))
		} else {
			pending.done(a, nil)
		}
	}
}

// handleNotLeader handles the answer of a voter that does not lead. Requests go to the leader that it names; if it
// names none, to another voter once the current request has timed out. Requests about duties, and those of Do, are sent
// again after a short random delay.
func (s *Session) handleNotLeader(from string, a *pb.Answer) {
	if from == s.o.Voters[s.targetVoter] {
		if i := slices.Index(s.o.Voters, a.Leader); i >= 0 && i != s.targetVoter {
			s.targetVoter = i
			if a.Id == s.openID && !s.closing {
				s.openID, s.openRetryAt = 0, s.now
			}
			if a.Id == s.renewID {
				s.renew()
			}
			if s.closing && !s.closed {
				s.sendClose()
			}
		} else if a.Id == s.openID || a.Id == s.renewID {
			s.nextVoter()
		}
	}
	if name := s.dutyAsks[a.Id]; name != "" {
		delete(s.dutyAsks, a.Id)
		r := s.requests[name]
		r.askID, r.retryAt = 0, s.now+s.jitter(s.requestTimeout()/2)
	}
	if pending := s.pendingAsks[a.Id]; pending != nil {
		pending.sentAt = s.now - 2*s.requestTimeout() + s.jitter(s.requestTimeout()/2)
	}
}

// handleOpened handles the answer to a request that opens the session or, while closing, ends it.
func (s *Session) handleOpened(from string, a *pb.Answer) {
	s.openID = 0
	if s.closing {
		s.closed = a.Error == "" || a.Gone
		return
	}
	if a.Error != "" {
		s.openRetryAt = s.now + s.jitter(int64(s.o.Lease.RenewInterval()))
		if a.Gone { // an earlier copy of the request opened a session that is already ending
			s.openSeq++
		}
		s.o.OnEvent("refused: "+a.Error, "", 0)
		return
	}
	s.id = a.Session
	s.extendLease(s.openSentAt)
	s.renewSentAt = s.openSentAt
	s.version = 0
	if a.News != nil {
		s.applyUpdate(a.News)
	}
}

// extendLease extends the lease, counted from sentAt, when the granted renewal was sent.
func (s *Session) extendLease(sentAt int64) {
	params := s.o.Lease
	if s.o.Skip&SkipLeaseStart != 0 {
		sentAt = s.now
	}
	if s.o.Skip&SkipDriftMargin != 0 {
		params.Drift = 0
	}
	s.lease.Renew(params, sentAt)
}

// handleRenewed handles the answer to a renewal. If its version is not that of the view, an update was lost or is still
// on its way, and the whole view is requested.
func (s *Session) handleRenewed(a *pb.Answer) {
	s.renewID = 0
	if a.Gone {
		s.endSession()
		return
	}
	if a.Error != "" {
		return
	}
	s.extendLease(s.renewSentAt)
	if a.Version != s.version {
		s.requestView()
	}
}

// handleDutyAnswer handles the answer to a request about a duty.
func (s *Session) handleDutyAnswer(a *pb.Answer) {
	name := s.dutyAsks[a.Id]
	delete(s.dutyAsks, a.Id)
	r := s.requests[name]
	r.askID = 0
	switch {
	case a.Gone:
		s.endSession()
		return
	case a.Error == duty.ErrFull.Error():
		r.retryAt = s.now + s.jitter(int64(s.o.Lease.Length)) // usually the duty has the maximum number of candidates
	case r.releaseToken != 0: // released, or no longer held; a candidate again only after a new request
		r.candidateSession = 0
		if d := s.duties[name]; d != nil && d.Token == r.releaseToken && d.Session == s.id {
			delete(s.duties, name)
		}
	case a.Error == "":
		if r.candidateSession = s.id; r.releasing {
			r.candidateSession = 0
		}
	default:
		r.retryAt = s.now + s.jitter(int64(s.o.Lease.RenewInterval()))
	}
	if a.Duty != nil && a.Version >= s.version {
		s.applyDuty(a.Duty)
	}
}

// applyUpdate applies an update of the view, or the whole view (From is 0), if it is newer than the known one. If
// updates in between are missing, it requests the whole view.
func (s *Session) applyUpdate(n *pb.News) {
	if n == nil || n.To <= s.version && n.From != 0 {
		return
	}
	if n.From == 0 {
		if n.To < s.version {
			return
		}
		listed := map[string]bool{}
		for _, d := range n.Duties {
			listed[d.Name] = true
		}
		for name, d := range s.duties {
			if !listed[name] {
				s.applyDuty(&pb.Duty{Name: name, Token: d.Token, Ended: true})
			}
		}
	} else if n.From > s.version {
		s.requestView()
		return
	}
	s.version = n.To
	if n.From == 0 {
		clear(s.adoptions)
	}
	for _, a := range n.Adoptions {
		s.adoptions[a.Owner] = a
	}
	if n.AllPresent {
		s.present = n.Present
	}
	for _, d := range n.Duties {
		s.applyDuty(d)
	}
}

// applyDuty applies the new state of a duty.
func (s *Session) applyDuty(d *pb.Duty) {
	if old := s.duties[d.Name]; old != nil && old.Token > d.Token {
		return // tokens only grow, so the received state is older than the known one
	}
	if d.Ended {
		delete(s.duties, d.Name)
		if r := s.requests[d.Name]; r != nil && !r.releasing {
			r.candidateSession = 0
		}
	} else {
		s.duties[d.Name] = d
	}
	if r := s.requests[d.Name]; r != nil && r.loggedToken != 0 && s.grantedToken(d.Name) != r.loggedToken {
		s.logLost(d.Name, r)
	}
	if s.DutyChanged != nil {
		s.DutyChanged(d)
	}
}
