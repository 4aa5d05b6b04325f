// Package voter implements one voter of a fleet. It agrees with the other voters on the log of duties, by etcd's Raft
// library, and while it leads, it renews the sessions of members and ends those that have expired.
//
// It has no clock, no sockets and no goroutines: its caller passes the time and the frames received, and sends the
// frames that it returns. Times are nanoseconds on the caller's monotonic clock. Its only I/O is its log
// (internal/fleet/disk), which uses the file system through the interface fsys.FS. Model tests therefore run the same
// code as the processes, with simulated time and disks.
//
// A renewal is acknowledged only after a majority has confirmed that this voter still leads (ReadIndex, section 6.4
// of Ongaro's dissertation on Raft), and a new leader grants every session a full lease. A lease that a predecessor
// renewed has therefore expired before its successor can grant the duties to another member.
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
	electionTicks    = 10                     // Raft ticks in an election timeout
	heartbeatTicks   = 2                      // Raft ticks between heartbeats
	maxPending       = 4096                   // limit of the pending commands, and of the renewals in one batch
	pendingTimeout   = 3 * time.Second        // a pending request is dropped after this time; its member asks again
	reopenInterval   = time.Second            // between attempts to reopen a log that failed
	foundingInterval = 250 * time.Millisecond // between rounds of invitations; requests to join: twice this interval
	maxLearnerLag    = 64                     // entries that a learner may lack when it becomes a voter
)

// Options are the settings and dependencies of a Voter.
type Options struct {
	Name            string
	Voters          []string // of the configuration, including this one; the first founds the group
	MinVoters       int      // voters that must be present to found the group, including the first
	Lease           lease.Params
	ElectionTimeout time.Duration // without contact with a leader for this long, a voter starts an election
	Log             *disk.Log
	OnEvent         func(what string, err error) // reports a change of state, to be logged; may be nil
	// Skip disables safety checks, for tests that must detect their absence.
	Skip Skip
}

// Events passed to OnEvent: the voter has become the leader, and a change of the voters is complete (followed by the
// name of the voter that was added, as a learner or with a vote). The latter is not reported when the change begins:
// operators would then stop a voter while the majority of the old voters is still needed.
const (
	EventBecameLeader  = "became leader"
	EventVotersChanged = "voters changed: "
)

// Skip is a set of disabled safety checks, for tests that must detect their absence.
type Skip uint

// The safety checks, each with what happens without it.
const (
	SkipQuorumConfirmation Skip = 1 << iota // renewals are acknowledged without the confirmation of a majority
	SkipLeaseReset                          // a new leader does not grant full leases
	SkipDriftMargin                         // the leader makes no allowance for clock drift when it ends sessions
	SkipQuorumCheck                         // Raft runs without pre-vote and without the leader's check of its quorum
)

// Outgoing is a frame to be sent to a member.
type Outgoing struct {
	To    string
	Frame *pb.Frame
}

// Voter is one voter. It is not safe for concurrent use.
type Voter struct {
	options    Options
	node       *raft.RawNode // nil: not part of a group, or its log has failed
	state      *duty.State
	confState  *raftpb.ConfState
	applied    uint64 // index of the last log entry that is applied to state
	leaderTerm uint64 // term in which it leads; 0: it does not lead
	leaderID   uint64 // Raft ID of the leader; 0: unknown
	leases     lease.Grantor

	now           int64 // as last passed by the caller
	lastTick      int64 // time of the last tick of the Raft node
	outgoing      []Outgoing
	pending       map[uint64]pending // by command ID
	nextCommandID uint64             // starts at random, so that the IDs of two leaders' commands differ
	renewals      []renewal          // waiting for the next read request
	readRequests  []readRequest      // waiting for a majority's confirmation, or for the log to be applied
	lastReadSeq   uint64
	peerNames     map[uint64]string // names of voters by Raft ID, as learned from their messages
	subscribers   map[string]bool   // members that receive updates
	failure       error             // why the log cannot be used; nil: it can be used
	nextReopen    int64
	founding      founding
	nextJoin      int64
	changingVoter string // voter that is added by a pending change; empty: none
}

// New starts a voter from its log. If the log cannot be used, the voter takes no part in the group and tries to reopen
// the log at intervals; New returns no error for that.
func New(o Options, now int64) (*Voter, error) {
	v := &Voter{
		options: o, now: now, lastTick: now, pending: map[uint64]pending{}, nextCommandID: rand.Uint64(),
		subscribers: map[string]bool{}, peerNames: map[uint64]string{},
	}
	if o.OnEvent == nil {
		v.options.OnEvent = func(string, error) {}
	}
	v.founding.founders = map[string]bool{}
	if o.Log.Identity().Raft != 0 {
		v.restart()
	}
	return v, nil
}

// restart starts the Raft node with the content of the log. If the log is an outdated copy, the voter rejoins the group
// under a new Raft ID; after any other error it steps down.
func (v *Voter) restart() {
	switch err := v.start(); {
	case errors.Is(err, errRegressed):
		v.recoverRegressed(err)
	case err != nil:
		v.stepDown(err)
	}
}

// FounderID returns the Raft ID of a voter that is a founder of its group.
func FounderID(name string) uint64 { return xxhash.Sum64String(name) >> 1 }

// start starts the Raft node with the content of the log.
func (v *Voter) start() (err error) {
	defer recoverPanic(&err)
	id := v.options.Log.Identity()
	snap, err := v.options.Log.Snapshot()
	if err != nil {
		return err
	}
	v.state, v.applied, v.confState =
		duty.New(map[uint64]string{}), snap.GetMetadata().GetIndex(), snap.GetMetadata().GetConfState()
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

// recoverPanic turns a panic of the Raft library into an error. The library panics if its log lacks entries that it
// has acknowledged: the disk holds an outdated copy.
func recoverPanic(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("%w: %v", errRegressed, r)
	}
}

var errRegressed = errors.New("the log lacks entries that this voter has acknowledged")

// TakeOutgoing returns the frames to be sent, in order, and clears the list.
func (v *Voter) TakeOutgoing() []Outgoing {
	out := v.outgoing
	v.outgoing = nil
	return out
}

// send queues a frame for TakeOutgoing. An empty name stands for an unknown member: the frame is dropped.
func (v *Voter) send(to string, f *pb.Frame) {
	if to != "" {
		v.outgoing = append(v.outgoing, Outgoing{to, f})
	}
}

func (v *Voter) answer(to string, a *pb.Answer) {
	v.send(to, &pb.Frame{What: &pb.Frame_Answer{Answer: a}})
}

// Tick advances the time to now. It is to be called at least every tenth of the election timeout. After a longer pause
// the Raft node ticks only once, not once for each interval missed.
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

// callRaft calls the Raft library, and rejoins the group if the log turns out to be an outdated copy.
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

// recoverRegressed drops the log and the Raft ID, since it is no longer known what this voter has promised under that
// ID. It then asks to join under a new one.
func (v *Voter) recoverRegressed(err error) {
	v.options.OnEvent("the log is an outdated copy: rejoining the group", err)
	v.leaveGroup()
	v.joinGroup(v.options.Log.Identity().Group)
}

// leaveGroup drops the Raft node and all state that belongs to the group. The log stays as it is.
func (v *Voter) leaveGroup() {
	v.node, v.leaderTerm, v.leaderID = nil, 0, 0
	v.pending, v.renewals, v.readRequests = map[uint64]pending{}, nil, nil
	v.subscribers, v.peerNames = map[string]bool{}, map[uint64]string{}
}

// stepDown stops taking part after the log has failed. The group continues without this voter.
func (v *Voter) stepDown(err error) {
	v.options.OnEvent("the log has failed: stepping down", err)
	v.leaveGroup()
	v.failure, v.nextReopen = err, v.now+int64(reopenInterval)
}

// reopen tries at intervals to reopen a log that has failed, and starts the Raft node again.
func (v *Voter) reopen() {
	if v.now < v.nextReopen {
		return
	}
	v.nextReopen = v.now + int64(reopenInterval)
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

// Receive handles a frame from a member.
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

// step passes a Raft message from another voter to the Raft node.
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

// Leader returns the member that leads, as far as this voter knows, or an empty string.
func (v *Voter) Leader() string {
	if v.node == nil || v.leaderID == 0 {
		return ""
	}
	return v.state.Voter(v.leaderID)
}
