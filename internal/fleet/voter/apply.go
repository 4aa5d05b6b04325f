package voter

import (
	"errors"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
)

// This file carries out what the Raft library has made ready, and applies what was agreed on.

// work carries out what the library has made ready: to the disk first, then to the others, then into the state.
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

// lead notes who leads. A voter that begins to lead gives every session a whole lease.
func (v *Voter) updateLeadership() {
	s, was := v.node.BasicStatus(), v.leaderTerm
	v.leaderID = s.Lead
	if v.leaderTerm = 0; s.RaftState == raft.StateLeader {
		v.leaderTerm = s.HardState.GetTerm()
	}
	switch {
	case v.leaderTerm != 0 && v.leaderTerm != was:
		since := v.now
		if v.options.Skip&SkipLeaseReset != 0 {
			since -= int64(v.options.Lease.GrantorDuration())
		}
		v.leases.Reset(since, v.state.Sessions())
		v.readRequests, v.renewals, v.subscribers = nil, nil, map[string]bool{}
		v.options.OnEvent(EventLeading, nil)
	case v.leaderTerm == 0 && was != 0:
		v.pending, v.readRequests, v.renewals = map[uint64]pending{}, nil, nil
		v.options.OnEvent("leads no more", nil)
	}
}

func (v *Voter) installSnapshot(snap *raftpb.Snapshot) error {
	state, err := duty.Unmarshal(snap.GetData())
	if err != nil {
		return err
	}
	v.state, v.confState, v.applied = state, snap.GetMetadata().GetConfState(), snap.GetMetadata().GetIndex()
	return nil
}

func (v *Voter) sendMessages(list []*raftpb.Message) {
	for _, m := range list {
		b, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		to := v.state.Voter(m.GetTo())
		if to == "" { // one that joins has no list of the voters yet: it answers who has spoken to it
			to = v.peerNames[m.GetTo()]
		}
		v.send(to, &pb.Frame{What: &pb.Frame_Raft{Raft: b}})
		if m.GetType() == raftpb.MsgSnap {
			v.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
}

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

func (v *Voter) applyCommand(e *raftpb.Entry, c *pb.Command) {
	before := v.state.Version()
	r := v.state.Apply(e.GetIndex(), e.GetTerm(), c)
	for _, id := range r.Ended {
		v.leases.Remove(id)
	}
	if v.isLeader() && r.Opened != 0 {
		v.leases.Renew(r.Opened, v.now)
	}
	version := v.state.Version()
	if version != before && v.isLeader() {
		update := &pb.News{From: before, To: version, Duties: r.Changed}
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
	a := &pb.Answer{Id: p.requestID, Session: r.Session, Version: version, Duty: r.Duty, Keys: r.Keys, Gone: errors.Is(r.Err, duty.ErrSessionEnded)}
	if r.Err != nil {
		a.Error = r.Err.Error()
	} else if c.GetOpen() != nil && !v.leases.Renew(r.Session, v.now) {
		// The same wish once more, whose member counts its lease from there; but the session's end is under way.
		a.Gone, a.Error = true, duty.ErrSessionEnded.Error()
	} else if c.GetOpen() != nil {
		v.subscribers[p.to] = true
		a.News = v.fullUpdate()
	}
	v.answer(p.to, a)
}

func (v *Voter) fullUpdate() *pb.News {
	return &pb.News{To: v.state.Version(), Duties: v.state.Duties(), Adoptions: v.state.Adoptions(), Present: v.state.PresentMembers(), AllPresent: true}
}

func (v *Voter) compact() {
	if v.options.Log.NeedsCompaction() {
		v.snapshot()
	}
}

func (v *Voter) snapshot() {
	b, err := v.state.Marshal()
	if err == nil {
		err = v.options.Log.Compact(v.applied, v.confState, b)
	}
	if err != nil {
		v.stepDown(err)
	}
}
