// Package voter is one voter of a fleet: it agrees with the others on the log of duties, by etcd's Raft library,
// and, while it leads, renews the sessions of members and declares those over that have lapsed.
//
// It has no clock, no sockets and no goroutine: it is told the time and what came in, and says what is to be sent.
// Its only I/O is its log (internal/fleet/disk), through the seam to the disk. So a model runs the very code of
// the processes, with time and disk as it likes.
//
// A renewal is acknowledged only after a majority has confirmed that this voter still leads (Raft's ReadIndex,
// dissertation of Ongaro, 6.4), and a voter that begins to lead gives every session a whole lease. So a lease that
// a predecessor renewed is over before its successor can hand anything on.
package voter

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sliptide/internal/fleet/disk"
	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/lease"
	"sliptide/internal/fleet/pb"
)

const (
	electionTicks  = 10
	heartbeatTicks = 2
	pendingMost    = 4096            // asks that wait for the log, or for a majority's word
	pendingFor     = 3 * time.Second // and for how long
	reopenEvery    = time.Second     // between two tries of a log that failed
	foundEvery     = 250 * time.Millisecond
	caughtUp       = 64 // entries that a new voter may lack when it gets its vote
)

// Options are what a Voter works with.
type Options struct {
	Name     string
	Voters   []string // by the operators' file, this one included
	Minimum  int      // voters that must be present to found the group
	Terms    lease.Terms
	Election time.Duration // without a word from a leader for so long, a voter asks to lead
	Log      *disk.Log
	Note     func(what string, err error) // a change of state, for the log; nil: none
	// Break takes guards out, for tests that show what finds that.
	Break Break
}

// What is noted: that a voter begins to lead, and, before the name of the voter that was let in, that a change of the
// voters is in force. Noted when the change began, it told staff that a voter may go while the old majority, too, was
// still needed.
const (
	NoteLeads         = "leads"
	NoteVotersChanged = "voters changed: "
)

// Break is a guard that is taken out.
type Break uint

// The guards.
const (
	BreakConfirm Break = 1 << iota // renewals are acknowledged without a majority's word
	BreakReset                     // a new leader gives no whole lease
	BreakMargin                    // the grantor waits no longer than the holder relies
	BreakQuorum                    // no pre-vote and no check of the quorum
)

// Out is a frame for a member.
type Out struct {
	To    string
	Frame *pb.Frame
}

// Voter is one voter. It is not safe for concurrent use.
type Voter struct {
	o       Options
	rn      *raft.RawNode // nil: no part of a group, or its log has failed
	state   *duty.State
	conf    *raftpb.ConfState
	applied uint64
	term    uint64 // of which it leads; 0: it does not
	leader  uint64
	granted lease.Granted

	now       int64
	tickAt    int64
	out       []Out
	pending   map[uint64]pending // by number of the command
	nextID    uint64
	renewals  []renewal // wait to be asked for
	reads     []read    // wait for a majority's word, or for the log to be applied
	readSeq   uint64
	heard     map[uint64]string // voters by their numbers, as they have spoken
	following map[string]bool   // members that are told news
	failed    error
	retryAt   int64
	found     founding
	joinAt    int64
	changed   string // the voter that a change under way lets in; empty: none is
}

type pending struct {
	to   string
	ask  uint64
	till int64
}

type renewal struct {
	to      string
	ask     uint64
	session uint64
}

type read struct {
	seq   uint64
	index uint64 // 0: no word yet
	till  int64
	list  []renewal
}

// New starts a voter on its log.
func New(o Options, now int64) (*Voter, error) {
	v := &Voter{o: o, now: now, tickAt: now, pending: map[uint64]pending{}, nextID: rand.Uint64(), following: map[string]bool{}, heard: map[uint64]string{}}
	if o.Note == nil {
		v.o.Note = func(string, error) {}
	}
	v.found.yes = map[string]bool{}
	if o.Log.Identity().Raft != 0 {
		v.restart()
	}
	return v, nil
}

// restart takes part again with what the log holds.
func (v *Voter) restart() {
	switch err := v.start(); {
	case errors.Is(err, errRegressed):
		v.regressed(err)
	case err != nil:
		v.fail(err)
	}
}

// FounderID is the number of a voter that founds a group.
func FounderID(name string) uint64 { return xxhash.Sum64String(name) >> 1 }

// start takes part in the group with what the log holds.
func (v *Voter) start() (err error) {
	defer caught(&err)
	id := v.o.Log.Identity()
	snap, err := v.o.Log.Snapshot()
	if err != nil {
		return err
	}
	v.state, v.applied, v.conf = duty.New(map[uint64]string{}), snap.GetMetadata().GetIndex(), snap.GetMetadata().GetConfState()
	if !raft.IsEmptySnap(snap) {
		if v.state, err = duty.Unmarshal(snap.GetData()); err != nil {
			return err
		}
	}
	v.rn, err = raft.NewRawNode(&raft.Config{
		ID: id.Raft, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: v.o.Log, Applied: v.applied,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, MaxCommittedSizePerReady: 1 << 20,
		CheckQuorum: v.o.Break&BreakQuorum == 0, PreVote: v.o.Break&BreakQuorum == 0,
		ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet{},
	})
	v.term, v.leader, v.failed = 0, 0, nil
	return err
}

// caught turns a panic of the library into an error. It panics where its log has gone back behind what it has
// acknowledged: an old copy of the disk.
func caught(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("%w: %v", errRegressed, r)
	}
}

var errRegressed = errors.New("the log is older than what it has acknowledged")

// Take returns what is to be sent, in order, and forgets it.
func (v *Voter) Take() []Out {
	out := v.out
	v.out = nil
	return out
}

func (v *Voter) send(to string, f *pb.Frame) {
	if to != "" {
		v.out = append(v.out, Out{to, f})
	}
}

func (v *Voter) answer(to string, a *pb.Answer) {
	v.send(to, &pb.Frame{What: &pb.Frame_Answer{Answer: a}})
}

// Tick tells the time. It is due every tenth of the election time; a voter that was stopped for long ticks once.
func (v *Voter) Tick(now int64) {
	v.now = now
	every := int64(v.o.Election) / electionTicks
	if now-v.tickAt >= every {
		v.tickAt += every
		if now-v.tickAt > every {
			v.tickAt = now
		}
		v.guard(func() {
			if v.rn != nil {
				v.rn.Tick()
			}
		})
	}
	switch {
	case v.rn != nil:
		v.expire()
		v.ask()
		v.promote()
		v.join()
	case v.failed != nil:
		v.reopen()
	default:
		v.tickFounding()
	}
	v.forget()
	v.work()
}

// guard runs a call of the library, and begins anew where it finds the log to be an old copy.
func (v *Voter) guard(f func()) {
	var err error
	func() {
		defer caught(&err)
		f()
	}()
	if err != nil {
		v.regressed(err)
	}
}

// regressed drops the log and the number in the group: what this voter has promised under it is not known any
// more. It asks to be let in again under a new one.
func (v *Voter) regressed(err error) {
	v.o.Note("the log is an old copy: joining anew", err)
	v.quit()
	v.enter(v.o.Log.Identity().Group)
}

func (v *Voter) quit() {
	v.rn, v.term, v.leader = nil, 0, 0
	v.pending, v.renewals, v.reads = map[uint64]pending{}, nil, nil
	v.following, v.heard = map[string]bool{}, map[uint64]string{}
}

// fail steps down where the log cannot be written. The group goes on without this voter.
func (v *Voter) fail(err error) {
	v.o.Note("the log cannot be written: stepping down", err)
	v.quit()
	v.failed, v.retryAt = err, v.now+int64(reopenEvery)
}

func (v *Voter) reopen() {
	if v.now < v.retryAt {
		return
	}
	v.retryAt = v.now + int64(reopenEvery)
	if err := v.o.Log.Reopen(); err != nil {
		return
	}
	v.failed = nil
	if v.o.Log.Identity().Raft == 0 {
		return
	}
	v.o.Note("the log can be written again", nil)
	v.restart()
}

// Receive takes a frame from a member.
func (v *Voter) Receive(from string, f *pb.Frame, now int64) {
	v.now = now
	switch w := f.What.(type) {
	case *pb.Frame_Raft:
		v.step(from, w.Raft)
	case *pb.Frame_Ask:
		v.take(from, w.Ask)
	case *pb.Frame_Answer:
		v.foundAnswer(from, w.Answer)
	}
	v.work()
}

func (v *Voter) step(from string, b []byte) {
	if v.rn == nil || !slices.Contains(v.o.Voters, from) {
		return
	}
	var m raftpb.Message
	if proto.Unmarshal(b, &m) != nil || m.GetTo() != v.o.Log.Identity().Raft {
		return
	}
	v.heard[m.GetFrom()] = from
	v.guard(func() { v.rn.Step(&m) })
}

func (v *Voter) leads() bool { return v.term != 0 }

// Leader is the member that leads, as far as this voter knows; empty: nobody.
func (v *Voter) Leader() string {
	if v.rn == nil || v.leader == 0 {
		return ""
	}
	return v.state.Voter(v.leader)
}

func (v *Voter) take(from string, a *pb.Ask) {
	switch {
	case a.Status != nil:
		v.answer(from, &pb.Answer{Id: a.Id, Leader: v.Leader(), Status: v.Status()})
	case a.Found != nil:
		v.takeFound(from, a)
	case !v.leads():
		v.answer(from, &pb.Answer{Id: a.Id, NotLeader: true, Leader: v.Leader()})
	case a.View != nil:
		v.answer(from, &pb.Answer{Id: a.Id, Version: v.state.Version(), News: v.whole()})
	case a.Renew != 0:
		if !v.granted.Heard(a.Renew, v.now) {
			v.answer(from, &pb.Answer{Id: a.Id, Gone: true, Error: duty.ErrSession.Error()})
		} else if len(v.renewals) < pendingMost {
			v.renewals = append(v.renewals, renewal{from, a.Id, a.Renew})
		}
	case a.Command.GetAcquire() != nil && v.state.LineFull(a.Command.GetAcquire()):
		v.answer(from, &pb.Answer{Id: a.Id, Error: duty.ErrFull.Error()}) // hundreds may ask at once: not by the log
	case a.Command != nil:
		v.propose(from, a.Id, a.Command)
	case a.Join != nil:
		v.takeJoin(from, a)
	}
}

// propose puts a command into the log, and reports whether it is there: as long as this voter leads, it stays.
func (v *Voter) propose(from string, ask uint64, c *pb.Command) (done bool) {
	if len(v.pending) >= pendingMost {
		v.answer(from, &pb.Answer{Id: ask, Error: duty.ErrFull.Error()})
		return false
	}
	v.nextID++
	c.Id = v.nextID
	b, err := proto.Marshal(c)
	if err != nil {
		return false
	}
	v.guard(func() { done = v.rn.Propose(b) == nil })
	if done && v.rn != nil && from != "" {
		v.pending[c.Id] = pending{from, ask, v.now + int64(pendingFor)}
	}
	return done
}

// expire proposes the end of sessions that have lapsed.
func (v *Voter) expire() {
	if !v.leads() {
		return
	}
	terms := v.o.Terms
	if v.o.Break&BreakMargin != 0 {
		terms.Drift = 0
	}
	v.granted.Lapsed(terms, v.now, func(id uint64) {
		if v.propose("", 0, &pb.Command{What: &pb.Command_Expire{Expire: &pb.Expire{Session: id, Term: v.term}}}) {
			v.granted.Ending(id)
		}
	})
}

// ask has a majority confirm that this voter leads, for all renewals that have come since the last time.
func (v *Voter) ask() {
	if !v.leads() || len(v.renewals) == 0 {
		return
	}
	v.readSeq++
	r := read{seq: v.readSeq, till: v.now + int64(pendingFor), list: v.renewals}
	v.renewals = nil
	if v.o.Break&BreakConfirm != 0 {
		r.index = v.applied
	} else {
		v.guard(func() { v.rn.ReadIndex(binary.BigEndian.AppendUint64(nil, r.seq)) })
	}
	v.reads = append(v.reads, r)
}

// forget drops what has waited too long: its asker asks again.
func (v *Voter) forget() {
	for id, p := range v.pending {
		if v.now > p.till {
			delete(v.pending, id)
		}
	}
	v.reads = slices.DeleteFunc(v.reads, func(r read) bool { return v.now > r.till })
}

// work carries out what the library has made ready: to the disk first, then to the others, then into the state.
func (v *Voter) work() {
	for v.rn != nil && v.rn.HasReady() {
		var rd raft.Ready
		v.guard(func() { rd = v.rn.Ready() })
		if v.rn == nil {
			return
		}
		if rd.SoftState != nil || rd.HardState != nil {
			v.lead()
		}
		if err := v.o.Log.Save(rd.HardState, rd.Entries, rd.Snapshot, rd.MustSync); err != nil {
			v.fail(err)
			return
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := v.install(rd.Snapshot); err != nil {
				v.fail(err)
				return
			}
		}
		v.post(rd.Messages)
		for _, e := range rd.CommittedEntries {
			if v.apply(e); v.rn == nil {
				return
			}
		}
		for _, s := range rd.ReadStates {
			v.confirmed(s)
		}
		v.guard(func() { v.rn.Advance(rd) })
	}
	if v.rn == nil {
		return
	}
	v.acknowledge()
	v.compact()
}

// lead notes who leads. A voter that begins to lead gives every session a whole lease.
func (v *Voter) lead() {
	s, was := v.rn.BasicStatus(), v.term
	v.leader = s.Lead
	if v.term = 0; s.RaftState == raft.StateLeader {
		v.term = s.HardState.GetTerm()
	}
	switch {
	case v.term != 0 && v.term != was:
		since := v.now
		if v.o.Break&BreakReset != 0 {
			since -= int64(v.o.Terms.Wait())
		}
		v.granted.Reset(since, v.state.Sessions())
		v.reads, v.renewals, v.following = nil, nil, map[string]bool{}
		v.o.Note(NoteLeads, nil)
	case v.term == 0 && was != 0:
		v.pending, v.reads, v.renewals = map[uint64]pending{}, nil, nil
		v.o.Note("leads no more", nil)
	}
}

func (v *Voter) install(snap *raftpb.Snapshot) error {
	state, err := duty.Unmarshal(snap.GetData())
	if err != nil {
		return err
	}
	v.state, v.conf, v.applied = state, snap.GetMetadata().GetConfState(), snap.GetMetadata().GetIndex()
	return nil
}

func (v *Voter) post(list []*raftpb.Message) {
	for _, m := range list {
		b, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		to := v.state.Voter(m.GetTo())
		if to == "" { // one that joins has no list of the voters yet: it answers who has spoken to it
			to = v.heard[m.GetTo()]
		}
		v.send(to, &pb.Frame{What: &pb.Frame_Raft{Raft: b}})
		if m.GetType() == raftpb.MsgSnap {
			v.rn.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
}

func (v *Voter) apply(e *raftpb.Entry) {
	v.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		var cc raftpb.ConfChangeV2
		if proto.Unmarshal(e.GetData(), &cc) == nil {
			v.applyVoters(&cc)
		}
	case raftpb.EntryConfChange:
		var cc raftpb.ConfChange
		if proto.Unmarshal(e.GetData(), &cc) == nil {
			v.applyVoters(cc.AsV2())
		}
	case raftpb.EntryNormal:
		if len(e.GetData()) == 0 {
			return
		}
		var c pb.Command
		if proto.Unmarshal(e.GetData(), &c) == nil {
			v.applyCommand(e, &c)
		}
	}
}

func (v *Voter) applyCommand(e *raftpb.Entry, c *pb.Command) {
	before := v.state.Version()
	r := v.state.Apply(e.GetIndex(), e.GetTerm(), c)
	for _, id := range r.Ended {
		v.granted.Over(id)
	}
	if v.leads() && r.Began != 0 {
		v.granted.Heard(r.Began, v.now)
	}
	version := v.state.Version()
	if version != before && v.leads() {
		news := &pb.News{From: before, To: version, Duties: r.Changed}
		if r.Adopted != nil {
			news.Adoptions = []*pb.Adoption{r.Adopted}
		}
		if r.Began != 0 || len(r.Ended) > 0 {
			news.Present, news.AllPresent = v.state.Present(), true
		}
		for m := range v.following {
			v.send(m, &pb.Frame{What: &pb.Frame_News{News: news}})
		}
	}
	p, mine := v.pending[c.Id]
	if !mine {
		return
	}
	delete(v.pending, c.Id)
	a := &pb.Answer{Id: p.ask, Session: r.Session, Version: version, Duty: r.Duty, Keys: r.Keys, Gone: errors.Is(r.Err, duty.ErrSession)}
	if r.Err != nil {
		a.Error = r.Err.Error()
	} else if c.GetOpen() != nil && !v.granted.Heard(r.Session, v.now) {
		// The same wish once more, whose member counts its lease from there; but the session's end is under way.
		a.Gone, a.Error = true, duty.ErrSession.Error()
	} else if c.GetOpen() != nil {
		v.following[p.to] = true
		a.News = v.whole()
	}
	v.answer(p.to, a)
}

func (v *Voter) whole() *pb.News {
	return &pb.News{To: v.state.Version(), Duties: v.state.Duties(), Adoptions: v.state.Adoptions(), Present: v.state.Present(), AllPresent: true}
}

// confirmed takes a majority's word that this voter led when the renewals of a read had come.
func (v *Voter) confirmed(s raft.ReadState) {
	if len(s.RequestCtx) != 8 {
		return
	}
	seq := binary.BigEndian.Uint64(s.RequestCtx)
	for i := range v.reads {
		if v.reads[i].seq == seq {
			v.reads[i].index = max(s.Index, 1)
		}
	}
}

// acknowledge answers renewals that are confirmed, once the log is applied as far as it was agreed on then.
func (v *Voter) acknowledge() {
	if !v.leads() {
		return
	}
	v.reads = slices.DeleteFunc(v.reads, func(r read) bool {
		if r.index == 0 || r.index > v.applied {
			return false
		}
		for _, q := range r.list {
			s := v.state.Session(q.session)
			a := &pb.Answer{Id: q.ask, Version: v.state.Version(), Session: q.session}
			if s == nil || s.Closing || v.granted.Doomed(q.session) {
				a.Gone, a.Error = true, duty.ErrSession.Error()
			} else if s.Member == q.to {
				v.following[q.to] = true
			}
			v.answer(q.to, a)
		}
		return true
	})
}

func (v *Voter) compact() {
	if v.o.Log.Long() {
		v.snapshot()
	}
}

func (v *Voter) snapshot() {
	b, err := v.state.Marshal()
	if err == nil {
		err = v.o.Log.Compact(v.applied, v.conf, b)
	}
	if err != nil {
		v.fail(err)
	}
}

// MemberStatus is one member as a voter sees it.
type MemberStatus struct {
	Name    string  `json:"name"`
	Voter   bool    `json:"voter"`
	Session uint64  `json:"session"` // 0: none
	Zone    string  `json:"zone,omitempty"`
	Heard   float64 `json:"heard_ms"` // ago, where the voter leads; -1: not known
	Duties  int     `json:"duties"`
}

// DutyStatus is one duty.
type DutyStatus struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
	Wanted string `json:"wanted,omitempty"`
	Word   string `json:"word,omitempty"`
	// Copies are the members that may keep copies of its holder's journal, for the duty of one.
	Copies []string `json:"copies,omitempty"`
}

// Status is what a voter tells operators.
type Status struct {
	Asked   string         `json:"asked"` // the voter that tells it
	Group   uint64         `json:"group"`
	Term    uint64         `json:"term"`
	Leader  string         `json:"leader"` // empty: nobody, no quorum is known
	Applied uint64         `json:"applied"`
	LogSize int64          `json:"log_bytes"`
	Failed  string         `json:"failed,omitempty"` // why it takes no part
	Members []MemberStatus `json:"members"`
	Duties  []DutyStatus   `json:"duties"`
}

// Look is the status as a value.
func (v *Voter) Look() Status {
	s := Status{Asked: v.o.Name, Group: v.o.Log.Identity().Group, Leader: v.Leader(), Applied: v.applied, LogSize: v.o.Log.Size()}
	switch {
	case v.failed != nil:
		s.Failed = v.failed.Error()
		return s
	case v.rn == nil:
		s.Failed = "waits for the other voters to found the group"
		return s
	}
	s.Term = v.rn.BasicStatus().HardState.GetTerm()
	held := map[uint64]int{}
	for _, d := range v.state.Duties() {
		held[d.Session]++
		s.Duties = append(s.Duties, DutyStatus{d.Name, d.Holder, d.Token, d.Wanted, d.Word, d.Holders})
	}
	for _, id := range v.state.Sessions() {
		m := v.state.Session(id)
		ago := -1.0
		if at, known := v.granted.At(id); known && v.leads() {
			ago = float64(v.now-at) / 1e6
		}
		s.Members = append(s.Members, MemberStatus{m.Member, slices.Contains(v.o.Voters, m.Member), id, m.Zone, ago, held[id]})
	}
	for _, name := range v.o.Voters {
		if !slices.ContainsFunc(s.Members, func(m MemberStatus) bool { return m.Name == name }) {
			s.Members = append(s.Members, MemberStatus{Name: name, Voter: true, Heard: -1})
		}
	}
	slices.SortFunc(s.Members, func(a, b MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// Status is Look in JSON.
func (v *Voter) Status() string {
	b, _ := json.Marshal(v.Look())
	return string(b)
}

// State is the state that was agreed on, as far as this voter has applied it; nil: it takes no part. It must not
// be changed.
func (v *Voter) State() *duty.State {
	if v.rn == nil {
		return nil
	}
	return v.state
}

// Votes reports whether this voter has a vote in the group.
func (v *Voter) Votes() bool {
	return v.rn != nil && v.conf != nil && slices.Contains(v.conf.GetVoters(), v.o.Log.Identity().Raft)
}

// ChangingVoters reports whether a change of the voters has begun and is not yet in force: a majority of the old ones
// and one of the new ones are both needed meanwhile (Raft's joint consensus).
func (v *Voter) ChangingVoters() bool { return v.conf != nil && len(v.conf.GetVotersOutgoing()) > 0 }

// Leads reports whether this voter leads, as far as it knows.
func (v *Voter) Leads() bool { return v.leads() }

// quiet is the library's log, which says nothing but the panics.
type quiet struct{}

func (quiet) Debug(...any)              {}
func (quiet) Debugf(string, ...any)     {}
func (quiet) Info(...any)               {}
func (quiet) Infof(string, ...any)      {}
func (quiet) Warning(...any)            {}
func (quiet) Warningf(string, ...any)   {}
func (quiet) Error(...any)              {}
func (quiet) Errorf(string, ...any)     {}
func (quiet) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
