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
	maxPending     = 4096            // asks that wait for the log, or for a majority's word
	pendingTimeout = 3 * time.Second // and for how long
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
