package voter

import (
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3"
	"google.golang.org/protobuf/proto"

	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
)

// This file takes members' requests, and answers them once a majority has confirmed what they rest on.

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
		} else if len(v.renewals) < maxPending {
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
	if len(v.pending) >= maxPending {
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
		v.pending[c.Id] = pending{from, ask, v.now + int64(pendingTimeout)}
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
	r := read{seq: v.readSeq, till: v.now + int64(pendingTimeout), list: v.renewals}
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
