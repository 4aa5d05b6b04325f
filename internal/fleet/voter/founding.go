package voter

import (
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
)

// A group is founded once. The first voter of the configuration invites the others to a group with a random ID. Each
// voter without a group records on its disk that it is a founder of that group and no other. Once the configured
// minimum has done so, the group is founded.
//
// A voter whose state directory is empty while a group exists was part of it, or comes late. It must not act under
// its former Raft ID: it no longer knows its votes, and could vote twice. It asks to join under a new ID. The leader
// adds it as a learner, and once it has the log, replaces the old ID with the new one among the voters.

// founding is what a voter without a group knows about the founding.
type founding struct {
	founders   map[string]bool // other voters that are founders of the group that this voter, the coordinator, founds
	nextInvite int64           // time of the next round of invitations
	reported   bool            // this voter has logged that the existing group has no leader, so that it cannot join yet
}

// isCoordinator reports whether this voter is the one that founds the group: the first of the configuration.
func (v *Voter) isCoordinator() bool { return v.options.Voters[0] == v.options.Name }

// tickFounding asks the other voters for their group at intervals. The coordinator also invites them to found one.
func (v *Voter) tickFounding() {
	if v.now < v.founding.nextInvite {
		return
	}
	v.founding.nextInvite = v.now + int64(foundingInterval)
	id := v.options.Log.Identity()
	if v.isCoordinator() && id.Group == 0 {
		if err := v.options.Log.SetIdentity(func(id *pb.Identity) { id.Group = rand.Uint64() | 1 }); err != nil {
			v.stepDown(err)
			return
		}
	}
	invitation := &pb.Found{Group: v.options.Log.Identity().Group, OnlyAsk: !v.isCoordinator()}
	for _, name := range v.options.Voters {
		if name != v.options.Name {
			v.send(name, &pb.Frame{What: &pb.Frame_Ask{Ask: &pb.Ask{Found: invitation}}})
		}
	}
	v.foundGroup()
}

// foundGroup founds the group, if this voter is the coordinator, once there are enough founders including itself.
func (v *Voter) foundGroup() {
	if v.node != nil || v.failure != nil || !v.isCoordinator() || len(v.founding.founders)+1 < v.options.MinVoters {
		return
	}
	v.becomeFounder(v.options.Log.Identity().Group)
	v.options.OnEvent("the fleet's group is founded", nil)
}

// becomeFounder makes this voter a founder of the group and starts its Raft node. All configured voters have a vote in
// the new group from the start, whether or not they are founders yet. After an error it steps down and returns false.
func (v *Voter) becomeFounder(group uint64) bool {
	voters := map[uint64]string{}
	var founders []uint64
	for _, name := range v.options.Voters {
		voters[FounderID(name)] = name
		founders = append(founders, FounderID(name))
	}
	state, err := duty.New(voters).Marshal()
	if err == nil {
		err = v.options.Log.Bootstrap(founders, state)
	}
	if err == nil {
		err = v.options.Log.SetIdentity(func(id *pb.Identity) {
			id.Group, id.Raft, id.Founder, id.Formed = group, FounderID(v.options.Name), true, true
		})
	}
	if err == nil {
		err = v.start()
	}
	if err != nil {
		v.stepDown(err)
	}
	return err == nil
}

// handleFound answers an invitation to found a group, or a question about the group of this voter.
func (v *Voter) handleFound(from string, a *pb.Ask) {
	id := v.options.Log.Identity()
	if !a.Found.OnlyAsk && id.Raft == 0 && v.failure == nil && !v.isCoordinator() && from == v.options.Voters[0] &&
		a.Found.Group != 0 {
		v.becomeFounder(a.Found.Group)
		id = v.options.Log.Identity()
	}
	answer := &pb.Answer{Leader: v.Leader(), Founder: id.Founder}
	if id.Raft != 0 {
		answer.Group = id.Group
	}
	v.answer(from, answer)
}

// handleFoundAnswer handles another voter's answer about its group. The coordinator counts the founders of its own
// group. Any voter without a group joins one that has a leader.
func (v *Voter) handleFoundAnswer(from string, a *pb.Answer) {
	if v.node != nil || v.failure != nil || a.Group == 0 || !slices.Contains(v.options.Voters, from) {
		return
	}
	group := v.options.Log.Identity().Group
	switch {
	case v.isCoordinator() && a.Group == group && a.Founder:
		v.founding.founders[from] = true
		v.foundGroup()
	case a.Leader != "":
		v.joinGroup(a.Group)
	case v.isCoordinator() && a.Group != group && !v.founding.reported:
		v.founding.reported = true
		v.options.OnEvent("a group already exists but has no leader: waiting to join it", nil)
	}
}

// joinGroup switches to a new Raft ID in an existing group.
func (v *Voter) joinGroup(group uint64) {
	// The order matters. Wherever a crash interrupts these steps, the old Raft ID is never used with an empty log, and
	// the first voter never considers itself a founder of the group that it was in before.
	err := v.options.Log.SetIdentity(func(id *pb.Identity) {
		id.Group, id.Raft, id.Founder, id.Formed = 0, 0, false, false
	})
	if err == nil {
		err = v.options.Log.Reset()
	}
	if err == nil {
		err = v.options.Log.SetIdentity(func(id *pb.Identity) {
			id.Group, id.Raft, id.Formed = group, rand.Uint64()>>1|1, true
		})
	}
	if err == nil {
		err = v.start()
	}
	if err != nil {
		v.stepDown(err)
		return
	}
	v.options.OnEvent("joining the group under a new Raft ID", nil)
}

// requestJoin asks the other voters at intervals to replace the former Raft ID of this voter with its new one, until
// the new one has a vote.
func (v *Voter) requestJoin() {
	id := v.options.Log.Identity()
	if v.now < v.nextJoin || id.Founder || v.confState != nil && slices.Contains(v.confState.GetVoters(), id.Raft) {
		return
	}
	v.nextJoin = v.now + int64(2*foundingInterval)
	for _, name := range v.options.Voters {
		if name != v.options.Name {
			v.send(name, &pb.Frame{What: &pb.Frame_Ask{Ask: &pb.Ask{Join: &pb.Join{Member: v.options.Name, Raft: id.Raft}}}})
		}
	}
}

// handleJoin adds a voter under a new Raft ID as a learner. While its former ID is active, another process runs under
// its name, and the request is refused. A request for an ID that was added already has no effect.
func (v *Voter) handleJoin(from string, a *pb.Ask) {
	if a.Join.Member != from || !slices.Contains(v.options.Voters, from) || v.state.Voter(a.Join.Raft) != "" {
		return
	}
	active := false
	progress := v.node.Status().Progress
	for id, name := range v.state.Voters() {
		if p, known := progress[id]; name == from && known && p.RecentActive {
			active = true
		}
	}
	if active {
		v.options.OnEvent("refused to replace the Raft ID of "+from+": the current one is still active", nil)
		return
	}
	v.proposeVoterChange(&raftpb.ConfChangeV2{Context: []byte(from), Changes: []*raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeAddLearnerNode.Enum(), NodeId: proto.Uint64(a.Join.Raft)}}})
}

// promoteLearners makes a learner that has the log, except for at most maxLearnerLag entries, a voter in place of its
// former Raft ID.
func (v *Voter) promoteLearners() {
	if !v.isLeader() || len(v.confState.GetLearners()) == 0 {
		return
	}
	progress := v.node.Status().Progress
	for _, id := range v.confState.GetLearners() {
		p, known := progress[id]
		if !known || !p.RecentActive || p.Match == 0 || p.Match+maxLearnerLag < v.applied {
			continue
		}
		name := v.state.Voter(id)
		cc := &raftpb.ConfChangeV2{Context: []byte(name), Changes: []*raftpb.ConfChangeSingle{
			{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(id)}}}
		for oldID, oldName := range v.state.Voters() {
			if oldName == name && oldID != id {
				cc.Changes = append(cc.Changes,
					&raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(oldID)})
			}
		}
		v.proposeVoterChange(cc)
		return
	}
}

func (v *Voter) proposeVoterChange(cc *raftpb.ConfChangeV2) {
	v.callRaft(func() { v.node.ProposeConfChange(cc) })
}

// applyVoterChange applies a committed change of the voters. One that replaces a Raft ID begins a joint configuration;
// the library then adds an empty change, which ends it and completes the change.
func (v *Voter) applyVoterChange(cc *raftpb.ConfChangeV2) {
	name := string(cc.GetContext())
	for _, c := range cc.GetChanges() {
		if c.GetType() == raftpb.ConfChangeRemoveNode {
			v.state.SetVoter(c.GetNodeId(), "")
		} else if name != "" {
			v.state.SetVoter(c.GetNodeId(), name)
		}
	}
	v.callRaft(func() { v.confState = v.node.ApplyConfChange(cc) })
	if len(cc.GetChanges()) > 0 {
		v.changingVoter = name
	}
	if v.changingVoter != "" && !v.VoterChangePending() {
		v.options.OnEvent(EventVotersChanged+v.changingVoter, nil)
		v.changingVoter = ""
	}
	if v.node != nil && len(v.confState.GetLearners()) > 0 {
		// A new voter starts from a snapshot, and accepts only one that includes it in the configuration.
		v.snapshot()
	}
}

// TransferLeadership transfers leadership to the reachable voter with the longest log, for a voter that is about to
// stop: otherwise its last committed entries become known to the others only after an election.
func (v *Voter) TransferLeadership() {
	if !v.isLeader() {
		return
	}
	best, bestMatch := uint64(0), uint64(0)
	for id, p := range v.node.Status().Progress {
		if id != v.options.Log.Identity().Raft && p.RecentActive && !p.IsLearner && p.Match >= bestMatch {
			best, bestMatch = id, p.Match
		}
	}
	if best != 0 {
		v.callRaft(func() { v.node.TransferLeader(best) })
		v.processReady()
	}
}
