package voter

import (
	"errors"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
)

// This file processes the output of the Raft library and applies committed entries.

// processReady processes what the Raft library has ready: it is saved to disk first, then sent to the other voters,
// then applied to the state.
func (v *Voter) processReady() {
	for v.node != nil && v.node.HasReady() {
		var rd raft.Ready
		v.callRaft(func() { rd = v.node.Ready() })
		if v.node == nil {
			return
		}
		if rd.SoftState != nil || rd.HardState != nil {
			v.updateLeadership()
		}
		if err := v.options.Log.Save(rd.HardState, rd.Entries, rd.Snapshot, rd.MustSync); err != nil {
			v.stepDown(err)
			return
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := v.installSnapshot(rd.Snapshot); err != nil {
				v.stepDown(err)
				return
			}
		}
		v.sendMessages(rd.Messages)
		for _, e := range rd.CommittedEntries {
			if v.applyEntry(e); v.node == nil {
				return
			}
		}
		for _, s := range rd.ReadStates {
			v.markConfirmed(s)
		}
		v.callRaft(func() { v.node.Advance(rd) })
	}
	if v.node == nil {
		return
	}
	v.answerRenewals()
	v.compact()
}

// updateLeadership records who leads. A new leader grants every session a full lease.
func (v *Voter) updateLeadership() {
	status, previousTerm := v.node.BasicStatus(), v.leaderTerm
	v.leaderID = status.Lead
	if v.leaderTerm = 0; status.RaftState == raft.StateLeader {
		v.leaderTerm = status.HardState.GetTerm()
	}
	switch {
	case v.leaderTerm != 0 && v.leaderTerm != previousTerm:
		renewedAt := v.now
		if v.options.Skip&SkipLeaseReset != 0 {
			renewedAt -= int64(v.options.Lease.GrantorDuration())
		}
		v.leases.Reset(renewedAt, v.state.Sessions())
		v.readRequests, v.renewals, v.subscribers = nil, nil, map[string]bool{}
		v.options.OnEvent(EventBecameLeader, nil)
	case v.leaderTerm == 0 && previousTerm != 0:
		v.pending, v.readRequests, v.renewals = map[uint64]pending{}, nil, nil
		v.options.OnEvent("no longer leads", nil)
	}
}

// installSnapshot replaces the state by the one in a snapshot from the leader.
func (v *Voter) installSnapshot(snap *raftpb.Snapshot) error {
	state, err := duty.Unmarshal(snap.GetData())
	if err != nil {
		return err
	}
	v.state, v.confState, v.applied = state, snap.GetMetadata().GetConfState(), snap.GetMetadata().GetIndex()
	return nil
}

// sendMessages sends messages of the Raft library to the voters that they are addressed to. A snapshot is reported as
// delivered at once: if it is lost, the library notices by the next rejected entry and sends it again.
func (v *Voter) sendMessages(messages []*raftpb.Message) {
	for _, m := range messages {
		b, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		to := v.state.Voter(m.GetTo())
		if to == "" { // a voter that is joining does not know the voters yet: it answers those that have sent to it
			to = v.peerNames[m.GetTo()]
		}
		v.send(to, &pb.Frame{What: &pb.Frame_Raft{Raft: b}})
		if m.GetType() == raftpb.MsgSnap {
			v.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
}

// applyEntry applies a committed log entry: a change of the voters or a command. The empty entry with which a leader
// begins its term changes nothing.
func (v *Voter) applyEntry(e *raftpb.Entry) {
	v.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		var cc raftpb.ConfChangeV2
		if proto.Unmarshal(e.GetData(), &cc) == nil {
			v.applyVoterChange(&cc)
		}
	case raftpb.EntryConfChange:
		var cc raftpb.ConfChange
		if proto.Unmarshal(e.GetData(), &cc) == nil {
			v.applyVoterChange(cc.AsV2())
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

// applyCommand applies a command to the state. The leader also updates its leases, sends the change to the members that
// receive updates, and answers the member that requested the command, if its request is still pending.
func (v *Voter) applyCommand(e *raftpb.Entry, c *pb.Command) {
	previousVersion := v.state.Version()
	r := v.state.Apply(e.GetIndex(), e.GetTerm(), c)
	for _, id := range r.Ended {
		v.leases.Remove(id)
	}
	if v.isLeader() && r.Opened != 0 {
		v.leases.Renew(r.Opened, v.now)
	}
	version := v.state.Version()
	if version != previousVersion && v.isLeader() {
		update := &pb.News{From: previousVersion, To: version, Duties: r.Changed}
		if r.Adoption != nil {
			update.Adoptions = []*pb.Adoption{r.Adoption}
		}
		if r.Opened != 0 || len(r.Ended) > 0 {
			update.Present, update.AllPresent = v.state.PresentMembers(), true
		}
		for m := range v.subscribers {
			v.send(m, &pb.Frame{What: &pb.Frame_News{News: update}})
		}
	}
	p, found := v.pending[c.Id]
	if !found {
		return
	}
	delete(v.pending, c.Id)
	a := &pb.Answer{
		Id: p.requestID, Session: r.Session, Version: version, Duty: r.Duty, Keys: r.Keys,
		Gone: errors.Is(r.Err, duty.ErrSessionEnded),
	}
	if r.Err != nil {
		a.Error = r.Err.Error()
	} else if c.GetOpen() != nil && !v.leases.Renew(r.Session, v.now) {
		// A repeated Open: its member would count its lease from it, but the end of the session is already proposed.
		a.Gone, a.Error = true, duty.ErrSessionEnded.Error()
	} else if c.GetOpen() != nil {
		v.subscribers[p.to] = true
		a.News = v.fullUpdate()
	}
	v.answer(p.to, a)
}

// fullUpdate returns an update that contains the whole state.
func (v *Voter) fullUpdate() *pb.News {
	return &pb.News{
		To: v.state.Version(), Duties: v.state.Duties(), Adoptions: v.state.Adoptions(),
		Present: v.state.PresentMembers(), AllPresent: true,
	}
}

// compact replaces the log by a snapshot once it has grown past its limit.
func (v *Voter) compact() {
	if v.options.Log.NeedsCompaction() {
		v.snapshot()
	}
}

// snapshot saves a snapshot of the state as applied so far, and compacts the log.
func (v *Voter) snapshot() {
	b, err := v.state.Marshal()
	if err == nil {
		err = v.options.Log.Compact(v.applied, v.confState, b)
	}
	if err != nil {
		v.stepDown(err)
	}
}
