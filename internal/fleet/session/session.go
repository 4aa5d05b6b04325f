// Package session is a member's side of duties: one session with the fleet's voters, which all duties of the
// member hang on, and what it knows of everybody's. It has no clock, no sockets and no goroutine: it is told the
// time and what came in, and says what is to be sent. Chance comes from the caller.
//
// A duty counts as held only while the lease holds by this member's own clock. When it cannot be renewed, the
// member gives up by itself; nobody has to tell it.
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
	maxRequests         = 64 // asks about duties that are out at once
	requestTimeoutShare = 8  // an ask that is not answered within this part of a lease goes to another voter
)

// Options are what a Session works with.
type Options struct {
	Member      string
	Incarnation uint64 // of the member's folder,
	Boot        uint64 // and how often the program has started there
	Zone        string
	Weight      uint32
	Voters      []string
	Terms       lease.Terms
	Rand        *rand.Rand
	LogEvent    func(what string, duty string, token uint64) // a duty is held, or no longer; nil: none
	Break       Break
}

// Break is a guard that is taken out, for tests that show what finds that.
type Break uint

// The guards.
const (
	BreakLeaseStart  Break = 1 << iota // the lease counts from the answer
	BreakDriftMargin                   // and in full, whatever the drift
	BreakLeaseCheck                    // a duty counts as held until it is told to be another's, whatever the time
)

// Out is a frame for a voter.
type Outgoing struct {
	To    string
	Frame *pb.Frame
}

// want is a duty that this member is in line for.
type dutyRequest struct {
	zone          string
	queuedSession uint64 // the session in which it is in line, as acknowledged
	pendingAsk    uint64 // the ask that is out; 0: none
	releaseToken  uint64 // that the ask gives up; 0: it is an acquisition
	sentAt        int64
	retryAt       int64  // no sooner
	loggedToken   uint64 // token that was noted as held
	releasedToken uint64 // token that is given up: not held whatever is heard
	releasing     bool   // not wanted any more
	ending        bool   // nor by anybody
}

// ask is a question of somebody in this process, such as a command for the fleet.
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
	lease       lease.Held
	openSeq     uint64 // of sessions that were asked for
	targetVoter int    // the voter that is asked
	lastAskID   uint64 // number of the next ask
	openID      uint64
	openAt      int64
	renewID     uint64
	renewAt     int64
	retryAt     int64
	viewID      uint64
	viewAt      int64
	version     uint64
	duties      map[string]*pb.Duty
	adoptions   map[string]*pb.Adoption
	present     []*pb.Present
	requests    map[string]*dutyRequest
	dutyAsks    map[uint64]string // ask to duty
	pendingAsks map[uint64]*pendingAsk
	closing     bool
	closed      bool
	DutyChanged func(*pb.Duty) // told of each change; nil: none
}

// New returns a session that begins to ask at the first Tick.
func New(o Options) *Session {
	if o.LogEvent == nil {
		o.LogEvent = func(string, string, uint64) {}
	}
	return &Session{o: o, targetVoter: o.Rand.IntN(len(o.Voters)), duties: map[string]*pb.Duty{}, adoptions: map[string]*pb.Adoption{}, requests: map[string]*dutyRequest{},
		dutyAsks: map[uint64]string{}, pendingAsks: map[uint64]*pendingAsk{}, lastAskID: o.Rand.Uint64() >> 1}
}

// Take returns what is to be sent, in order, and forgets it.
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

func (s *Session) requestTimeout() int64 { return int64(s.o.Terms.Length) / requestTimeoutShare }

// jitter spreads d over half of it to one and a half times it.
func (s *Session) jitter(d int64) int64 { return d/2 + s.o.Rand.Int64N(d+1) }

// Want puts this member in line for a duty, or makes sure that it is.
func (s *Session) Request(name, zone string) {
	if r := s.requests[name]; r != nil {
		r.releasing, r.ending = false, false
		return
	}
	s.requests[name] = &dutyRequest{zone: zone}
}

// Leave gives a duty up; with end nobody needs it any more.
func (s *Session) Release(name string, end bool) {
	if r := s.requests[name]; r != nil {
		r.releasing, r.ending = true, end
		r.releasedToken = max(r.releasedToken, s.grantedToken(name))
		s.logLost(name, r)
	}
}

// tokenOf is the token with which this session holds a duty by what it has been told, 0 if it does not.
func (s *Session) grantedToken(name string) uint64 {
	if d := s.duties[name]; d != nil && s.id != 0 && d.Session == s.id {
		return d.Token
	}
	return 0
}

// Held returns the fencing token of a duty that this member holds at that time, 0 if it does not hold it.
func (s *Session) Token(name string, now int64) uint64 {
	r := s.requests[name]
	if r == nil || r.releasing || s.closing {
		return 0
	}
	t := s.grantedToken(name)
	if t == 0 || t <= r.releasedToken || !s.lease.Valid(now) && s.o.Break&BreakLeaseCheck == 0 {
		return 0
	}
	return t
}

// Holds are the duties that it holds at that time, with their tokens.
func (s *Session) HeldTokens(now int64) map[string]uint64 {
	held := map[string]uint64{}
	for name := range s.requests {
		if t := s.Token(name, now); t != 0 {
			held[name] = t
		}
	}
	return held
}

// Until is when the lease is over, on the caller's clock, and 0 if there is none at that time.
func (s *Session) LeaseEnd(now int64) int64 {
	if left := s.lease.Left(now); left > 0 {
		return now + int64(left)
	}
	return 0
}

// Duty is what is known of a duty, nil if nothing is. It must not be changed.
func (s *Session) Duty(name string) *pb.Duty { return s.duties[name] }

// Mine reports whether a duty is this session's by what it says.
func (s *Session) Holds(d *pb.Duty) bool { return s.id != 0 && d.Session == s.id && !d.Ended }

// View is all that is known of duties, of adoptions by owner, and of members whose sessions go on. None of it must be
// changed.
func (s *Session) View() (duties map[string]*pb.Duty, adoptions map[string]*pb.Adoption, present []*pb.Present) {
	return s.duties, s.adoptions, s.present
}

// Version grows with each change of what is known.
func (s *Session) Version() uint64 { return s.version }

// ID is the session's number, 0 if there is none.
func (s *Session) ID() uint64 { return s.id }

// Do asks the voter that leads, such as for a command to be agreed on, and tells what came of it, once.
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

// Close gives everything up and ends the session; it stays closed.
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

// Closed reports whether the fleet has taken note of the session's end.
func (s *Session) Closed() bool { return s.closed }

func (s *Session) sendClose() {
	s.openAt = s.now
	s.openID = s.sendAsk(&pb.Ask{Command: &pb.Command{What: &pb.Command_Close{Close: &pb.Close{Session: s.id}}}})
}

// Tick tells the time. It is due about every twentieth of a lease.
func (s *Session) Tick(now int64) {
	s.now = now
	if s.closing {
		if !s.closed && now-s.openAt > s.requestTimeout() {
			s.nextVoter()
			s.sendClose()
		}
		return
	}
	if s.id != 0 && !s.lease.Valid(now) {
		// It may still be renewed, if the fleet has not ended it; until then nothing is held.
		for name, r := range s.requests {
			s.logLost(name, r)
		}
	}
	switch {
	case s.id == 0:
		s.open()
	case s.renewID != 0 && now-s.renewAt > s.requestTimeout():
		s.nextVoter()
		s.renew()
	case s.renewID == 0 && now-s.renewAt >= int64(s.o.Terms.Every()):
		s.renew()
	}
	if s.id == 0 {
		return
	}
	if s.viewID != 0 && now-s.viewAt > s.requestTimeout() {
		s.viewID = 0
		s.requestView()
	}
	s.maintainRequests()
	s.retryAsks()
}

// turn goes on to another voter.
func (s *Session) nextVoter() { s.targetVoter = (s.targetVoter + 1) % len(s.o.Voters) }

func (s *Session) open() {
	if s.openID != 0 && s.now-s.openAt > s.requestTimeout() {
		s.nextVoter()
		s.openID = 0
	}
	if s.openID != 0 || s.now < s.retryAt {
		return
	}
	if s.openSeq == 0 {
		s.openSeq = 1
	}
	s.openAt = s.now
	s.retryAt = s.now + s.jitter(s.requestTimeout())
	s.openID = s.sendAsk(&pb.Ask{Command: &pb.Command{What: &pb.Command_Open{Open: &pb.Open{
		Member: s.o.Member, Incarnation: s.o.Incarnation, Boot: s.o.Boot, Seq: s.openSeq, Zone: s.o.Zone, Weight: s.o.Weight}}}})
}

func (s *Session) renew() {
	s.renewAt = s.now
	s.renewID = s.sendAsk(&pb.Ask{Renew: s.id})
}

func (s *Session) requestView() {
	if s.viewID == 0 {
		s.viewAt = s.now
		s.viewID = s.sendAsk(&pb.Ask{View: &pb.View{}})
	}
}

// end drops the session: the fleet has ended it. A further one is asked for.
func (s *Session) endSession() {
	s.lease.Drop()
	for name, r := range s.requests {
		s.logLost(name, r)
		if r.pendingAsk = 0; r.releasing {
			delete(s.requests, name)
		}
	}
	clear(s.dutyAsks)
	s.id, s.renewID, s.openID, s.viewID = 0, 0, 0, 0
	s.openSeq++
	s.retryAt = s.now + s.jitter(s.requestTimeout())
}

// lost notes that a duty is not held any more.
func (s *Session) logLost(name string, r *dutyRequest) {
	if r.loggedToken != 0 {
		s.o.LogEvent("lost", name, r.loggedToken)
		r.loggedToken = 0
	}
}

// line keeps this member in line for what it wants, and gives up what it does not or is asked to hand over.
func (s *Session) maintainRequests() {
	outstanding := len(s.dutyAsks)
	for name, r := range s.requests {
		token := s.grantedToken(name)
		if r.pendingAsk != 0 && s.now-r.sentAt > 2*s.requestTimeout() {
			delete(s.dutyAsks, r.pendingAsk)
			r.pendingAsk, outstanding = 0, outstanding-1
		}
		if t := s.Token(name, s.now); t != 0 && r.loggedToken != t {
			s.logLost(name, r)
			r.loggedToken = t
			s.o.LogEvent("held", name, t)
		}
		if d := s.duties[name]; token != 0 && token > r.releasedToken && d.Wanted != "" && d.Wanted != s.o.Member {
			r.releasedToken = token // from here on it is not acted on, whatever becomes of the ask
			s.logLost(name, r)
		}
		if r.pendingAsk != 0 || s.now < r.retryAt || outstanding >= maxRequests {
			continue
		}
		switch {
		case token != 0 && (r.releasing || token <= r.releasedToken):
			r.releasedToken = max(r.releasedToken, token)
			s.sendDutyCommand(name, r, token, &pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: s.id, Duty: name, Token: token, End: r.releasing && r.ending}}})
		case r.releasing && r.queuedSession == s.id:
			s.sendDutyCommand(name, r, 0, &pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: s.id, Duty: name}}})
		case r.releasing:
			delete(s.requests, name)
			continue
		case r.queuedSession != s.id:
			s.sendDutyCommand(name, r, 0, &pb.Command{What: &pb.Command_Acquire{Acquire: &pb.Acquire{Session: s.id, Duty: name, Zone: r.zone}}})
		default:
			continue
		}
		outstanding++
	}
	for name, d := range s.duties { // handed to this member though it does not want it, or a late copy of a wish
		if d.Session == s.id && s.requests[name] == nil {
			s.requests[name] = &dutyRequest{zone: d.Zone, releasing: true, queuedSession: s.id}
		}
	}
}

func (s *Session) sendDutyCommand(name string, r *dutyRequest, token uint64, c *pb.Command) {
	r.sentAt, r.releaseToken = s.now, token
	r.pendingAsk = s.sendAsk(&pb.Ask{Command: c})
	s.dutyAsks[r.pendingAsk] = name
}

// late asks again where no answer came, until the asker's patience is over.
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

// Receive takes a frame from a voter.
func (s *Session) Receive(from string, f *pb.Frame, now int64) {
	s.now = now
	switch w := f.What.(type) {
	case *pb.Frame_News:
		s.applyUpdate(w.News)
	case *pb.Frame_Answer:
		s.handleAnswer(from, w.Answer)
	}
}

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

// elsewhere takes the answer of a voter that does not lead: the one that it names is asked, or the next, soon.
func (s *Session) handleNotLeader(from string, a *pb.Answer) {
	if from == s.o.Voters[s.targetVoter] {
		if i := slices.Index(s.o.Voters, a.Leader); i >= 0 && i != s.targetVoter {
			s.targetVoter = i
			if a.Id == s.openID && !s.closing {
				s.openID, s.retryAt = 0, s.now
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
		r.pendingAsk, r.retryAt = 0, s.now+s.jitter(s.requestTimeout()/2)
	}
	if pending := s.pendingAsks[a.Id]; pending != nil {
		pending.sentAt = s.now - 2*s.requestTimeout() + s.jitter(s.requestTimeout()/2)
	}
}

func (s *Session) handleOpened(from string, a *pb.Answer) {
	s.openID = 0
	if s.closing {
		s.closed = a.Error == "" || a.Gone
		return
	}
	if a.Error != "" {
		s.retryAt = s.now + s.jitter(int64(s.o.Terms.Every()))
		if a.Gone { // a late copy of an earlier wish has been there first
			s.openSeq++
		}
		s.o.LogEvent("refused: "+a.Error, "", 0)
		return
	}
	s.id = a.Session
	s.extendLease(s.openAt)
	s.renewAt = s.openAt
	s.version = 0
	if a.News != nil {
		s.applyUpdate(a.News)
	}
}

// held counts the lease from when the renewal was sent.
func (s *Session) extendLease(sentAt int64) {
	terms := s.o.Terms
	if s.o.Break&BreakLeaseStart != 0 {
		sentAt = s.now
	}
	if s.o.Break&BreakDriftMargin != 0 {
		terms.Drift = 0
	}
	s.lease.Renewed(terms, sentAt)
}

func (s *Session) handleRenewed(a *pb.Answer) {
	s.renewID = 0
	if a.Gone {
		s.endSession()
		return
	}
	if a.Error != "" {
		return
	}
	s.extendLease(s.renewAt)
	if a.Version != s.version {
		s.requestView()
	}
}

// answered takes what came of an ask about a duty.
func (s *Session) handleDutyAnswer(a *pb.Answer) {
	name := s.dutyAsks[a.Id]
	delete(s.dutyAsks, a.Id)
	r := s.requests[name]
	r.pendingAsk = 0
	switch {
	case a.Gone:
		s.endSession()
		return
	case a.Error == duty.ErrFull.Error():
		r.retryAt = s.now + s.jitter(int64(s.o.Terms.Length)) // enough others are in line
	case r.releaseToken != 0: // given up; in line again only by a further wish
		r.queuedSession = 0
		if d := s.duties[name]; d != nil && d.Token == r.releaseToken && d.Session == s.id {
			delete(s.duties, name)
		}
	case a.Error == "":
		if r.queuedSession = s.id; r.releasing {
			r.queuedSession = 0
		}
	default:
		r.retryAt = s.now + s.jitter(int64(s.o.Terms.Every()))
	}
	if a.Duty != nil && a.Version >= s.version {
		s.applyDuty(a.Duty)
	}
}

// news takes what has changed; where something is missing between, all is asked for.
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

// see takes a duty as it has become.
func (s *Session) applyDuty(d *pb.Duty) {
	if old := s.duties[d.Name]; old != nil && old.Token > d.Token {
		return // tokens only grow: what is told is older than what is known
	}
	if d.Ended {
		delete(s.duties, d.Name)
		if r := s.requests[d.Name]; r != nil && !r.releasing {
			r.queuedSession = 0
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
