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
	electionTicks    = 10
	heartbeatTicks   = 2
	maxPending       = 4096            // asks that wait for the log, or for a majority's word
	pendingTimeout   = 3 * time.Second // and for how long
	reopenInterval   = time.Second     // between two tries of a log that failed
	foundingInterval = 250 * time.Millisecond
	maxLearnerLag    = 64 // entries that a new voter may lack when it gets its vote
)

// Options are what a Voter works with.
type Options struct {
	Name            string
	Voters          []string // by the operators' file, this one included
	MinVoters       int      // voters that must be present to found the group
	Lease           lease.Params
	ElectionTimeout time.Duration // without a word from a leader for so long, a voter asks to lead
	Log             *disk.Log
	OnEvent         func(what string, err error) // a change of state, for the log; nil: none
	// Break takes guards out, for tests that show what finds that.
	Skip Skip
}

// What is noted: that a voter begins to lead, and, before the name of the voter that was let in, that a change of the
// voters is in force. Noted when the change began, it told staff that a voter may go while the old majority, too, was
// still needed.
const (
	EventLeading       = "leads"
	EventVotersChanged = "voters changed: "
)

// Break is a guard that is taken out.
type Skip uint

// The guards.
const (
	SkipQuorumConfirmation Skip = 1 << iota // renewals are acknowledged without a majority's word
	SkipLeaseReset                          // a new leader gives no whole lease
	SkipDriftMargin                         // the grantor waits no longer than the holder relies
	SkipQuorumCheck                         // no pre-vote and no check of the quorum
)

// Out is a frame for a member.
type Outgoing struct {
	To    string
	Frame *pb.Frame
}

// Voter is one voter. It is not safe for concurrent use.
type Voter struct {
	options    Options
	node       *raft.RawNode // nil: no part of a group, or its log has failed
	state      *duty.State
	confState  *raftpb.ConfState
	applied    uint64
	leaderTerm uint64 // of which it leads; 0: it does not
	leaderID   uint64
	leases     lease.Grantor

	now           int64
	lastTick      int64
	outgoing      []Outgoing
	pending       map[uint64]pending // by number of the command
	nextCommandID uint64
	renewals      []renewal     // wait to be asked for
	readRequests  []readRequest // wait for a majority's word, or for the log to be applied
	readSeq       uint64
	peerNames     map[uint64]string // voters by their numbers, as they have spoken
	subscribers   map[string]bool   // members that are told news
	failure       error
	retryAt       int64
	founding      founding
	nextJoin      int64
	changingVoter string // the voter that a change under way lets in; empty: none is
}

// New starts a voter on its log.
func New(o Options, now int64) (*Voter, error) {
	v := &Voter{options: o, now: now, lastTick: now, pending: map[uint64]pending{}, nextCommandID: rand.Uint64(), subscribers: map[string]bool{}, peerNames: map[uint64]string{}}
	if o.OnEvent == nil {
		v.options.OnEvent = func(string, error) {}
	}
	v.founding.founders = map[string]bool{}
	if o.Log.Identity().Raft != 0 {
		v.restart()
	}
	return v, nil
}

// restart takes part again with what the log holds.
func (v *Voter) restart() {
	switch err := v.start(); {
	case errors.Is(err, errRegressed):
		v.recoverRegressed(err)
	case err != nil:
		v.stepDown(err)
	}
}

// FounderID is the number of a voter that founds a group.
func FounderID(name string) uint64 { return xxhash.Sum64String(name) >> 1 }

// start takes part in the group with what the log holds.
func (v *Voter) start() (err error) {
	defer recoverPanic(&err)
	id := v.options.Log.Identity()
	snap, err := v.options.Log.Snapshot()
	if err != nil {
		return err
	}
	v.state, v.applied, v.confState = duty.New(map[uint64]string{}), snap.GetMetadata().GetIndex(), snap.GetMetadata().GetConfState()
	if !raft.IsEmptySnap(snap) {
		if v.state, err = duty.Unmarshal(snap.GetData()); err != nil {
			return err
		}
	}
	v.node, err = raft.NewRawNode(&raft.Config{
		ID: id.Raft, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: v.options.Log, Applied: v.applied,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, MaxCommittedSizePerReady: 1 << 20,
		CheckQuorum: v.options.Skip&SkipQuorumCheck == 0, PreVote: v.options.Skip&SkipQuorumCheck == 0,
		ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quietLogger{},
	})
	v.leaderTerm, v.leaderID, v.failure = 0, 0, nil
	return err
}

// caught turns a panic of the library into an error. It panics where its log has gone back behind what it has
// acknowledged: an old copy of the disk.
func recoverPanic(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("%w: %v", errRegressed, r)
	}
}

var errRegressed = errors.New("the log is older than what it has acknowledged")

// Take returns what is to be sent, in order, and forgets it.
func (v *Voter) TakeOutgoing() []Outgoing {
	out := v.outgoing
	v.outgoing = nil
	return out
}

func (v *Voter) send(to string, f *pb.Frame) {
	if to != "" {
		v.outgoing = append(v.outgoing, Outgoing{to, f})
	}
}

func (v *Voter) answer(to string, a *pb.Answer) {
	v.send(to, &pb.Frame{What: &pb.Frame_Answer{Answer: a}})
}

// Tick tells the time. It is due every tenth of the election time; a voter that was stopped for long ticks once.
func (v *Voter) Tick(now int64) {
	v.now = now
	interval := int64(v.options.ElectionTimeout) / electionTicks
	if now-v.lastTick >= interval {
		v.lastTick += interval
		if now-v.lastTick > interval {
			v.lastTick = now
		}
		v.callRaft(func() {
			if v.node != nil {
				v.node.Tick()
			}
		})
	}
	switch {
	case v.node != nil:
		v.expireSessions()
		v.confirmLeadership()
		v.promoteLearners()
		v.requestJoin()
	case v.failure != nil:
		v.reopen()
	default:
		v.tickFounding()
	}
	v.dropExpired()
	v.processReady()
}

// guard runs a call of the library, and begins anew where it finds the log to be an old copy.
func (v *Voter) callRaft(f func()) {
	var err error
	func() {
		defer recoverPanic(&err)
		f()
	}()
	if err != nil {
		v.recoverRegressed(err)
	}
}

// regressed drops the log and the number in the group: what this voter has promised under it is not known any
// more. It asks to be let in again under a new one.
func (v *Voter) recoverRegressed(err error) {
	v.options.OnEvent("the log is an old copy: joining anew", err)
	v.leaveGroup()
	v.joinGroup(v.options.Log.Identity().Group)
}

func (v *Voter) leaveGroup() {
	v.node, v.leaderTerm, v.leaderID = nil, 0, 0
	v.pending, v.renewals, v.readRequests = map[uint64]pending{}, nil, nil
	v.subscribers, v.peerNames = map[string]bool{}, map[uint64]string{}
}

// fail steps down where the log cannot be written. The group goes on without this voter.
func (v *Voter) stepDown(err error) {
	v.options.OnEvent("the log cannot be written: stepping down", err)
	v.leaveGroup()
	v.failure, v.retryAt = err, v.now+int64(reopenInterval)
}

func (v *Voter) reopen() {
	if v.now < v.retryAt {
		return
	}
	v.retryAt = v.now + int64(reopenInterval)
	if err := v.options.Log.Reopen(); err != nil {
		return
	}
	v.failure = nil
	if v.options.Log.Identity().Raft == 0 {
		return
	}
	v.options.OnEvent("the log can be written again", nil)
	v.restart()
}

// Receive takes a frame from a member.
func (v *Voter) Receive(from string, f *pb.Frame, now int64) {
	v.now = now
	switch w := f.What.(type) {
	case *pb.Frame_Raft:
		v.step(from, w.Raft)
	case *pb.Frame_Ask:
		v.handleRequest(from, w.Ask)
	case *pb.Frame_Answer:
		v.handleFoundAnswer(from, w.Answer)
	}
	v.processReady()
}

func (v *Voter) step(from string, b []byte) {
	if v.node == nil || !slices.Contains(v.options.Voters, from) {
		return
	}
	var m raftpb.Message
	if proto.Unmarshal(b, &m) != nil || m.GetTo() != v.options.Log.Identity().Raft {
		return
	}
	v.peerNames[m.GetFrom()] = from
	v.callRaft(func() { v.node.Step(&m) })
}

func (v *Voter) isLeader() bool { return v.leaderTerm != 0 }

// Leader is the member that leads, as far as this voter knows; empty: nobody.
func (v *Voter) Leader() string {
	if v.node == nil || v.leaderID == 0 {
		return ""
	}
	return v.state.Voter(v.leaderID)
}
