package voter

import (
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
)

// A group is founded once. The first voter of the operators' file invites the others to a group with a number
// drawn by chance; each that is of no group yet promises, on its disk, to be a founder of that one and no other.
// Once as many have promised as the settings ask for, the group is there.
//
// A voter whose folder is empty while there is a group was part of it, or comes late. It must not act as what it
// was: it has forgotten what it promised, and could vote twice. It asks to be let in under a new number; the
// voter that leads adds it without a vote, and once it has the log, gives the vote of the old number to the new.

// founding is what a voter without a group has heard.
type founding struct {
	founders   map[string]bool // promised to be founders of this voter's group
	nextInvite int64           // of the next round of asks
	reported   bool            // it has told that a group exists that it cannot join
}

func (v *Voter) isCoordinator() bool { return v.options.Voters[0] == v.options.Name }

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
	ask := &pb.Found{Group: v.options.Log.Identity().Group, OnlyAsk: !v.isCoordinator()}
	for _, name := range v.options.Voters {
		if name != v.options.Name {
			v.send(name, &pb.Frame{What: &pb.Frame_Ask{Ask: &pb.Ask{Found: ask}}})
		}
	}
	v.foundGroup()
}

// form founds the group once enough have promised.
func (v *Voter) foundGroup() {
	if v.node != nil || v.failure != nil || !v.isCoordinator() || len(v.founding.founders)+1 < v.options.MinVoters {
		return
	}
	v.becomeFounder(v.options.Log.Identity().Group)
	v.options.OnEvent("the fleet's group is founded", nil)
}

// promise makes this voter a founder of the group.
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

// takeFound answers an invitation, or the question which group this voter is of.
func (v *Voter) handleFound(from string, a *pb.Ask) {
	id := v.options.Log.Identity()
	if !a.Found.OnlyAsk && id.Raft == 0 && v.failure == nil && !v.isCoordinator() && from == v.options.Voters[0] && a.Found.Group != 0 {
		v.becomeFounder(a.Found.Group)
		id = v.options.Log.Identity()
	}
	answer := &pb.Answer{Leader: v.Leader(), Founder: id.Founder}
	if id.Raft != 0 {
		answer.Group = id.Group
	}
	v.answer(from, answer)
}

// foundAnswer takes what another voter says of its group.
func (v *Voter) handleFoundAnswer(from string, a *pb.Answer) {
	if v.node != nil || v.failure != nil || a.Group == 0 || !slices.Contains(v.options.Voters, from) {
		return
	}
	mine := v.options.Log.Identity().Group
	switch {
	case v.isCoordinator() && a.Group == mine && a.Founder:
		v.founding.founders[from] = true
		v.foundGroup()
	case a.Leader != "":
		v.joinGroup(a.Group)
	case v.isCoordinator() && a.Group != mine && !v.founding.reported:
		v.founding.reported = true
		v.options.OnEvent("a group exists already, and no voter of it leads: waiting to join it", nil)
	}
}

// enter asks for a new number in a group that exists.
func (v *Voter) joinGroup(group uint64) {
	// In this order: after a crash between any two, the old number is never used with an empty log, and the first
	// voter never takes itself for a founder of the group that it was of.
	err := v.options.Log.SetIdentity(func(id *pb.Identity) { id.Group, id.Raft, id.Founder, id.Formed = 0, 0, false, false })
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
	v.options.OnEvent("joins the group under a new number", nil)
}

// join asks for the vote of what this voter was, until it has it.
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

// takeJoin lets a voter in under a new number, without a vote at first. While the number that it had is heard of,
// somebody else runs under its name.
func (v *Voter) handleJoin(from string, a *pb.Ask) {
	if a.Join.Member != from || !slices.Contains(v.options.Voters, from) || v.state.Voter(a.Join.Raft) != "" {
		return
	}
	active := false
	progress := v.node.Status().Progress
	for id, name := range v.state.Voters() {
		if p, there := progress[id]; name == from && there && p.RecentActive {
			active = true
		}
	}
	if active {
		v.options.OnEvent("a second process asks for the vote of "+from+", which is alive: refused", nil)
		return
	}
	v.proposeVoterChange(&raftpb.ConfChangeV2{Context: []byte(from), Changes: []*raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeAddLearnerNode.Enum(), NodeId: proto.Uint64(a.Join.Raft)}}})
}

// promote gives a voter that has the log the vote of the number that it had before.
func (v *Voter) promoteLearners() {
	if !v.isLeader() || len(v.confState.GetLearners()) == 0 {
		return
	}
	progress := v.node.Status().Progress
	for _, id := range v.confState.GetLearners() {
		p, there := progress[id]
		if !there || !p.RecentActive || p.Match == 0 || p.Match+maxLearnerLag < v.applied {
			continue
		}
		name := v.state.Voter(id)
		cc := &raftpb.ConfChangeV2{Context: []byte(name), Changes: []*raftpb.ConfChangeSingle{
			{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(id)}}}
		for old, of := range v.state.Voters() {
			if of == name && old != id {
				cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(old)})
			}
		}
		v.proposeVoterChange(cc)
		return
	}
}

func (v *Voter) proposeVoterChange(cc *raftpb.ConfChangeV2) {
	v.callRaft(func() { v.node.ProposeConfChange(cc) })
}

// applyVoters takes a change of the voters that was agreed on.
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
		// Whoever is new begins with a snapshot, and takes none that does not name it.
		v.snapshot()
	}
}

// Aside hands the lead to the voter whose log is longest, for a voter that is about to leave: what it would agree
// on last could otherwise be heard of only after an election.
func (v *Voter) TransferLeadership() {
	if !v.isLeader() {
		return
	}
	best, match := uint64(0), uint64(0)
	for id, p := range v.node.Status().Progress {
		if id != v.options.Log.Identity().Raft && p.RecentActive && !p.IsLearner && p.Match >= match {
			best, match = id, p.Match
		}
	}
	if best != 0 {
		v.callRaft(func() { v.node.TransferLeader(best) })
		v.processReady()
	}
}
