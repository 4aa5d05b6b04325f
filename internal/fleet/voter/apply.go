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
