package voter

import (
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3"
	"google.golang.org/protobuf/proto"

	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
)

// This file handles the requests of members. Renewals are answered once a majority has confirmed the leadership.

// pending is a request whose command is in the log and not applied yet.
type pending struct {
	to        string
	requestID uint64
	expiresAt int64
}

// renewal is a request to renew a session.
type renewal struct {
	to        string
	requestID uint64
	session   uint64
}

// readRequest is a request to Raft to confirm the leadership (ReadIndex), and the renewals that wait for it.
type readRequest struct {
	seq       uint64
	index     uint64 // commit index when the request was made; 0: the leadership is not confirmed yet
	expiresAt int64
	renewals  []renewal
}

// handleRequest answers a request of a member, or queues it until its command is applied or the leadership confirmed.
// Status and Found are answered by every voter, the others only by the leader. A renewal beyond maxPending is dropped:
// its member asks again.
func (v *Voter) handleRequest(from string, a *pb.Ask) {
	switch {
	case a.Status != nil:
		v.answer(from, &pb.Answer{Id: a.Id, Leader: v.Leader(), Status: v.StatusJSON()})
	case a.Found != nil:
		v.handleFound(from, a)
	case !v.isLeader():
		v.answer(from, &pb.Answer{Id: a.Id, NotLeader: true, Leader: v.Leader()})
	case a.View != nil:
		v.answer(from, &pb.Answer{Id: a.Id, Version: v.state.Version(), News: v.fullUpdate()})
	case a.Renew != 0:
		if !v.leases.Renew(a.Renew, v.now) {
			v.answer(from, &pb.Answer{Id: a.Id, Gone: true, Error: duty.ErrSessionEnded.Error()})
		} else if len(v.renewals) < maxPending {
			v.renewals = append(v.renewals, renewal{from, a.Id, a.Renew})
		}
	case a.Command.GetAcquire() != nil && v.state.CandidatesFull(a.Command.GetAcquire()):
		// Answered without a log entry, since hundreds of members may ask at once.
		v.answer(from, &pb.Answer{Id: a.Id, Error: duty.ErrFull.Error()})
	case a.Command != nil:
		v.propose(from, a.Id, a.Command)
	case a.Join != nil:
		v.handleJoin(from, a)
	}
}

// propose appends a command to the log and reports whether it succeeded. The entry stays in the log as long as this
// voter leads. Once the command is applied, its result is sent to from; if from is empty, to nobody. With maxPending
// requests already waiting for the log, the command is refused.
func (v *Voter) propose(from string, requestID uint64, c *pb.Command) (proposed bool) {
	if len(v.pending) >= maxPending {
		v.answer(from, &pb.Answer{Id: requestID, Error: duty.ErrFull.Error()})
		return false
	}
	v.nextCommandID++
	c.Id = v.nextCommandID
	b, err := proto.Marshal(c)
	if err != nil {
		return false
	}
	v.callRaft(func() { proposed = v.node.Propose(b) == nil })
	if proposed && v.node != nil && from != "" {
		v.pending[c.Id] = pending{from, requestID, v.now + int64(pendingTimeout)}
	}
	return proposed
}

// expireSessions proposes the end of sessions whose leases have expired.
func (v *Voter) expireSessions() {
	if !v.isLeader() {
		return
	}
	params := v.options.Lease
	if v.options.Skip&SkipDriftMargin != 0 {
		params.Drift = 0
	}
	v.leases.ForEachExpired(params, v.now, func(id uint64) {
		if v.propose("", 0, &pb.Command{What: &pb.Command_Expire{Expire: &pb.Expire{Session: id, Term: v.leaderTerm}}}) {
			v.leases.MarkEnding(id)
		}
	})
}

// confirmLeadership has a majority confirm that this voter leads, for all renewals received since the last call.
func (v *Voter) confirmLeadership() {
	if !v.isLeader() || len(v.renewals) == 0 {
		return
	}
	v.lastReadSeq++
	r := readRequest{seq: v.lastReadSeq, expiresAt: v.now + int64(pendingTimeout), renewals: v.renewals}
	v.renewals = nil
	if v.options.Skip&SkipQuorumConfirmation != 0 {
		r.index = v.applied
	} else {
		v.callRaft(func() { v.node.ReadIndex(binary.BigEndian.AppendUint64(nil, r.seq)) })
	}
	v.readRequests = append(v.readRequests, r)
}

// dropExpired drops requests that have waited too long: their members ask again.
func (v *Voter) dropExpired() {
	for id, p := range v.pending {
		if v.now > p.expiresAt {
			delete(v.pending, id)
		}
	}
	v.readRequests = slices.DeleteFunc(v.readRequests, func(r readRequest) bool { return v.now > r.expiresAt })
}

// markConfirmed records that a majority has confirmed that this voter led when the renewals of a read request were
// received.
func (v *Voter) markConfirmed(s raft.ReadState) {
	if len(s.RequestCtx) != 8 {
		return
	}
	seq := binary.BigEndian.Uint64(s.RequestCtx)
	for i := range v.readRequests {
		if v.readRequests[i].seq == seq {
			v.readRequests[i].index = max(s.Index, 1)
		}
	}
}

// answerRenewals answers the confirmed renewals once the log is applied up to the commit index of their read request.
func (v *Voter) answerRenewals() {
	if !v.isLeader() {
		return
	}
	v.readRequests = slices.DeleteFunc(v.readRequests, func(r readRequest) bool {
		if r.index == 0 || r.index > v.applied {
			return false
		}
		for _, renewal := range r.renewals {
			s := v.state.Session(renewal.session)
			a := &pb.Answer{Id: renewal.requestID, Version: v.state.Version(), Session: renewal.session}
			if s == nil || s.Closing || v.leases.IsEnding(renewal.session) {
				a.Gone, a.Error = true, duty.ErrSessionEnded.Error()
			} else if s.Member == renewal.to {
				v.subscribers[renewal.to] = true
			}
			v.answer(renewal.to, a)
		}
		return true
	})
}
