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
	maxRequests  = 64 // asks about duties that are out at once
	requestShare = 8  // an ask that is not answered within this part of a lease goes to another voter
)

// Options are what a Session works with.
type Options struct {
	Member      string
	Incarnation uint64 // of the member's folder,
	Boot        uint64 // and how often the program has started there
	Zone        string
	Weight      uint32
	Voters      []string
	Terms       lease.Params
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
type want struct {
	zone    string
	asked   uint64 // the session in which it is in line, as acknowledged
	op      uint64 // the ask that is out; 0: none
	opToken uint64 // that the ask gives up; 0: it is an acquisition
	opAt    int64
	again   int64  // no sooner
	noted   uint64 // token that was noted as held
	given   uint64 // token that is given up: not held whatever is heard
	leave   bool   // not wanted any more
	end     bool   // nor by anybody
}

// ask is a question of somebody in this process, such as a command for the fleet.
type ask struct {
	ask  *pb.Ask
	at   int64
	till int64
	done func(*pb.Answer, error)
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
	out         []Outgoing
	id          uint64
	lease       lease.Holder
	seq         uint64 // of sessions that were asked for
	target      int    // the voter that is asked
	next        uint64 // number of the next ask
	openID      uint64
	openAt      int64
	renewID     uint64
	renewAt     int64
	retryAt     int64
	viewID      uint64
	viewAt      int64
	version     uint64
	view        map[string]*pb.Duty
	adopted     map[string]*pb.Adoption
	present     []*pb.Present
	wants       map[string]*want
	ops         map[uint64]string // ask to duty
	asks        map[uint64]*ask
	closing     bool
	closed      bool
	DutyChanged func(*pb.Duty) // told of each change; nil: none
}

// New returns a session that begins to ask at the first Tick.
func New(o Options) *Session {
	if o.LogEvent == nil {
		o.LogEvent = func(string, string, uint64) {}
	}
	return &Session{o: o, target: o.Rand.IntN(len(o.Voters)), view: map[string]*pb.Duty{}, adopted: map[string]*pb.Adoption{}, wants: map[string]*want{},
		ops: map[uint64]string{}, asks: map[uint64]*ask{}, next: o.Rand.Uint64() >> 1}
}

// Take returns what is to be sent, in order, and forgets it.
func (s *Session) TakeOutgoing() []Outgoing {
	out := s.out
	s.out = nil
	return out
}

func (s *Session) ask(a *pb.Ask) uint64 {
	s.next++
	a.Id, a.Member = s.next, s.o.Member
	s.out = append(s.out, Outgoing{s.o.Voters[s.target], &pb.Frame{What: &pb.Frame_Ask{Ask: a}}})
	return a.Id
}

func (s *Session) patience() int64 { return int64(s.o.Terms.Length) / requestShare }

// jitter spreads d over half of it to one and a half times it.
func (s *Session) jitter(d int64) int64 { return d/2 + s.o.Rand.Int64N(d+1) }

// Want puts this member in line for a duty, or makes sure that it is.
func (s *Session) Request(name, zone string) {
	if w := s.wants[name]; w != nil {
		w.leave, w.end = false, false
		return
	}
	s.wants[name] = &want{zone: zone}
}

// Leave gives a duty up; with end nobody needs it any more.
func (s *Session) Release(name string, end bool) {
	if w := s.wants[name]; w != nil {
		w.leave, w.end = true, end
		w.given = max(w.given, s.tokenOf(name))
		s.lost(name, w)
	}
}

// tokenOf is the token with which this session holds a duty by what it has been told, 0 if it does not.
func (s *Session) tokenOf(name string) uint64 {
	if d := s.view[name]; d != nil && s.id != 0 && d.Session == s.id {
		return d.Token
	}
	return 0
}

// Held returns the fencing token of a duty that this member holds at that time, 0 if it does not hold it.
func (s *Session) Token(name string, now int64) uint64 {
	w := s.wants[name]
	if w == nil || w.leave || s.closing {
		return 0
	}
	t := s.tokenOf(name)
	if t == 0 || t <= w.given || !s.lease.Valid(now) && s.o.Break&BreakLeaseCheck == 0 {
		return 0
	}
	return t
}

// Holds are the duties that it holds at that time, with their tokens.
func (s *Session) HeldTokens(now int64) map[string]uint64 {
	held := map[string]uint64{}
	for name := range s.wants {
		if t := s.Token(name, now); t != 0 {
			held[name] = t
		}
	}
	return held
}

// Until is when the lease is over, on the caller's clock, and 0 if there is none at that time.
func (s *Session) LeaseEnd(now int64) int64 {
	if left := s.lease.Remaining(now); left > 0 {
		return now + int64(left)
	}
	return 0
}

// Duty is what is known of a duty, nil if nothing is. It must not be changed.
func (s *Session) Duty(name string) *pb.Duty { return s.view[name] }

// Mine reports whether a duty is this session's by what it says.
func (s *Session) Holds(d *pb.Duty) bool { return s.id != 0 && d.Session == s.id && !d.Ended }

// View is all that is known of duties, of adoptions by owner, and of members whose sessions go on. None of it must be
// changed.
func (s *Session) View() (duties map[string]*pb.Duty, adopted map[string]*pb.Adoption, present []*pb.Present) {
	return s.view, s.adopted, s.present
}

// Version grows with each change of what is known.
func (s *Session) Version() uint64 { return s.version }

// ID is the session's number, 0 if there is none.
func (s *Session) ID() uint64 { return s.id }

// Do asks the voter that leads, such as for a command to be agreed on, and tells what came of it, once.
func (s *Session) Do(q *pb.Ask, patience time.Duration, done func(*pb.Answer, error)) {
	if s.closed {
		done(nil, ErrClosed)
		return
	}
	a := &ask{ask: q, till: s.now + int64(patience), done: done}
	s.asks[s.put(a)] = a
}

func (s *Session) put(a *ask) uint64 {
	a.at = s.now
	return s.ask(proto.Clone(a.ask).(*pb.Ask))
}

// Close gives everything up and ends the session; it stays closed.
func (s *Session) Close(now int64) {
	s.now = now
	if s.closing {
		return
	}
	for name, w := range s.wants {
		s.lost(name, w)
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
	s.openID = s.ask(&pb.Ask{Command: &pb.Command{What: &pb.Command_Close{Close: &pb.Close{Session: s.id}}}})
}

// Tick tells the time. It is due about every twentieth of a lease.
func (s *Session) Tick(now int64) {
	s.now = now
	if s.closing {
		if !s.closed && now-s.openAt > s.patience() {
			s.turn()
			s.sendClose()
		}
		return
	}
	if s.id != 0 && !s.lease.Valid(now) {
		// It may still be renewed, if the fleet has not ended it; until then nothing is held.
		for name, w := range s.wants {
			s.lost(name, w)
		}
	}
	switch {
	case s.id == 0:
		s.open()
	case s.renewID != 0 && now-s.renewAt > s.patience():
		s.turn()
		s.renew()
	case s.renewID == 0 && now-s.renewAt >= int64(s.o.Terms.RenewInterval()):
		s.renew()
	}
	if s.id == 0 {
		return
	}
	if s.viewID != 0 && now-s.viewAt > s.patience() {
		s.viewID = 0
		s.look()
	}
	s.line()
	s.late()
}

// turn goes on to another voter.
func (s *Session) turn() { s.target = (s.target + 1) % len(s.o.Voters) }

func (s *Session) open() {
	if s.openID != 0 && s.now-s.openAt > s.patience() {
		s.turn()
		s.openID = 0
	}
	if s.openID != 0 || s.now < s.retryAt {
		return
	}
	if s.seq == 0 {
		s.seq = 1
	}
	s.openAt = s.now
	s.retryAt = s.now + s.jitter(s.patience())
	s.openID = s.ask(&pb.Ask{Command: &pb.Command{What: &pb.Command_Open{Open: &pb.Open{
		Member: s.o.Member, Incarnation: s.o.Incarnation, Boot: s.o.Boot, Seq: s.seq, Zone: s.o.Zone, Weight: s.o.Weight}}}})
}

func (s *Session) renew() {
	s.renewAt = s.now
	s.renewID = s.ask(&pb.Ask{Renew: s.id})
}

func (s *Session) look() {
	if s.viewID == 0 {
		s.viewAt = s.now
		s.viewID = s.ask(&pb.Ask{View: &pb.View{}})
	}
}

// end drops the session: the fleet has ended it. A further one is asked for.
func (s *Session) end() {
	s.lease.Drop()
	for name, w := range s.wants {
		s.lost(name, w)
		if w.op = 0; w.leave {
			delete(s.wants, name)
		}
	}
	clear(s.ops)
	s.id, s.renewID, s.openID, s.viewID = 0, 0, 0, 0
	s.seq++
	s.retryAt = s.now + s.jitter(s.patience())
}

// lost notes that a duty is not held any more.
func (s *Session) lost(name string, w *want) {
	if w.noted != 0 {
		s.o.LogEvent("lost", name, w.noted)
		w.noted = 0
	}
}

// line keeps this member in line for what it wants, and gives up what it does not or is asked to hand over.
func (s *Session) line() {
	out := len(s.ops)
	for name, w := range s.wants {
		token := s.tokenOf(name)
		if w.op != 0 && s.now-w.opAt > 2*s.patience() {
			delete(s.ops, w.op)
			w.op, out = 0, out-1
		}
		if t := s.Token(name, s.now); t != 0 && w.noted != t {
			s.lost(name, w)
			w.noted = t
			s.o.LogEvent("held", name, t)
		}
		if d := s.view[name]; token != 0 && token > w.given && d.Wanted != "" && d.Wanted != s.o.Member {
			w.given = token // from here on it is not acted on, whatever becomes of the ask
			s.lost(name, w)
		}
		if w.op != 0 || s.now < w.again || out >= maxRequests {
			continue
		}
		switch {
		case token != 0 && (w.leave || token <= w.given):
			w.given = max(w.given, token)
			s.op(name, w, token, &pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: s.id, Duty: name, Token: token, End: w.leave && w.end}}})
		case w.leave && w.asked == s.id:
			s.op(name, w, 0, &pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: s.id, Duty: name}}})
		case w.leave:
			delete(s.wants, name)
			continue
		case w.asked != s.id:
			s.op(name, w, 0, &pb.Command{What: &pb.Command_Acquire{Acquire: &pb.Acquire{Session: s.id, Duty: name, Zone: w.zone}}})
		default:
			continue
		}
		out++
	}
	for name, d := range s.view { // handed to this member though it does not want it, or a late copy of a wish
		if d.Session == s.id && s.wants[name] == nil {
			s.wants[name] = &want{zone: d.Zone, leave: true, asked: s.id}
		}
	}
}

func (s *Session) op(name string, w *want, token uint64, c *pb.Command) {
	w.opAt, w.opToken = s.now, token
	w.op = s.ask(&pb.Ask{Command: c})
	s.ops[w.op] = name
}

// late asks again where no answer came, until the asker's patience is over.
func (s *Session) late() {
	for id, a := range s.asks {
		switch {
		case s.now > a.till:
			delete(s.asks, id)
			a.done(nil, ErrNoQuorum)
		case s.now-a.at > 2*s.patience():
			delete(s.asks, id)
			s.asks[s.put(a)] = a
		}
	}
}

// Receive takes a frame from a voter.
func (s *Session) Receive(from string, f *pb.Frame, now int64) {
	s.now = now
	switch w := f.What.(type) {
	case *pb.Frame_News:
		s.news(w.News)
	case *pb.Frame_Answer:
		s.answer(from, w.Answer)
	}
}

func (s *Session) answer(from string, a *pb.Answer) {
	if a.NotLeader {
		s.elsewhere(from, a)
		return
	}
	switch {
	case a.Id == 0:
	case a.Id == s.openID:
		s.opened(from, a)
	case a.Id == s.renewID:
		s.renewed(a)
	case a.Id == s.viewID:
		s.viewID = 0
		s.news(a.News)
	case s.ops[a.Id] != "":
		s.answered(a)
	case s.asks[a.Id] != nil:
		q := s.asks[a.Id]
		delete(s.asks, a.Id)
		if a.Error != "" {
			q.done(a, errors.New(a.Error))
		} else {
			q.done(a, nil)
		}
	}
}

// elsewhere takes the answer of a voter that does not lead: the one that it names is asked, or the next, soon.
func (s *Session) elsewhere(from string, a *pb.Answer) {
	if from == s.o.Voters[s.target] {
		if i := slices.Index(s.o.Voters, a.Leader); i >= 0 && i != s.target {
			s.target = i
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
			s.turn()
		}
	}
	if name := s.ops[a.Id]; name != "" {
		delete(s.ops, a.Id)
		w := s.wants[name]
		w.op, w.again = 0, s.now+s.jitter(s.patience()/2)
	}
	if q := s.asks[a.Id]; q != nil {
		q.at = s.now - 2*s.patience() + s.jitter(s.patience()/2)
	}
}

func (s *Session) opened(from string, a *pb.Answer) {
	s.openID = 0
	if s.closing {
		s.closed = a.Error == "" || a.Gone
		return
	}
	if a.Error != "" {
		s.retryAt = s.now + s.jitter(int64(s.o.Terms.RenewInterval()))
		if a.Gone { // a late copy of an earlier wish has been there first
			s.seq++
		}
		s.o.LogEvent("refused: "+a.Error, "", 0)
		return
	}
	s.id = a.Session
	s.held(s.openAt)
	s.renewAt = s.openAt
	s.version = 0
	if a.News != nil {
		s.news(a.News)
	}
}

// held counts the lease from when the renewal was sent.
func (s *Session) held(sent int64) {
	terms := s.o.Terms
	if s.o.Break&BreakLeaseStart != 0 {
		sent = s.now
	}
	if s.o.Break&BreakDriftMargin != 0 {
		terms.Drift = 0
	}
	s.lease.Renew(terms, sent)
}

func (s *Session) renewed(a *pb.Answer) {
	s.renewID = 0
	if a.Gone {
		s.end()
		return
	}
	if a.Error != "" {
		return
	}
	s.held(s.renewAt)
	if a.Version != s.version {
		s.look()
	}
}

// answered takes what came of an ask about a duty.
func (s *Session) answered(a *pb.Answer) {
	name := s.ops[a.Id]
	delete(s.ops, a.Id)
	w := s.wants[name]
	w.op = 0
	switch {
	case a.Gone:
		s.end()
		return
	case a.Error == duty.ErrFull.Error():
		w.again = s.now + s.jitter(int64(s.o.Terms.Length)) // enough others are in line
	case w.opToken != 0: // given up; in line again only by a further wish
		w.asked = 0
		if d := s.view[name]; d != nil && d.Token == w.opToken && d.Session == s.id {
			delete(s.view, name)
		}
	case a.Error == "":
		if w.asked = s.id; w.leave {
			w.asked = 0
		}
	default:
		w.again = s.now + s.jitter(int64(s.o.Terms.RenewInterval()))
	}
	if a.Duty != nil && a.Version >= s.version {
		s.see(a.Duty)
	}
}

// news takes what has changed; where something is missing between, all is asked for.
func (s *Session) news(n *pb.News) {
	if n == nil || n.To <= s.version && n.From != 0 {
		return
	}
	if n.From == 0 {
		if n.To < s.version {
			return
		}
		fresh := map[string]bool{}
		for _, d := range n.Duties {
			fresh[d.Name] = true
		}
		for name, d := range s.view {
			if !fresh[name] {
				s.see(&pb.Duty{Name: name, Token: d.Token, Ended: true})
			}
		}
	} else if n.From > s.version {
		s.look()
		return
	}
	s.version = n.To
	if n.From == 0 {
		clear(s.adopted)
	}
	for _, a := range n.Adoptions {
		s.adopted[a.Owner] = a
	}
	if n.AllPresent {
		s.present = n.Present
	}
	for _, d := range n.Duties {
		s.see(d)
	}
}

// see takes a duty as it has become.
func (s *Session) see(d *pb.Duty) {
	if old := s.view[d.Name]; old != nil && old.Token > d.Token {
		return // tokens only grow: what is told is older than what is known
	}
	if d.Ended {
		delete(s.view, d.Name)
		if w := s.wants[d.Name]; w != nil && !w.leave {
			w.asked = 0
		}
	} else {
		s.view[d.Name] = d
	}
	if w := s.wants[d.Name]; w != nil && w.noted != 0 && s.tokenOf(d.Name) != w.noted {
		s.lost(d.Name, w)
	}
	if s.DutyChanged != nil {
		s.DutyChanged(d)
	}
}
