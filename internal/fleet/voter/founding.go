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
	yes   map[string]bool // promised to be founders of this voter's group
	at    int64           // of the next round of asks
	asked bool            // it has told that a group exists that it cannot join
}

func (v *Voter) coordinates() bool { return v.o.Voters[0] == v.o.Name }

func (v *Voter) tickFounding() {
	if v.now < v.found.at {
		return
	}
	v.found.at = v.now + int64(foundEvery)
	id := v.o.Log.Identity()
	if v.coordinates() && id.Group == 0 {
		if err := v.o.Log.SetIdentity(func(id *pb.Identity) { id.Group = rand.Uint64() | 1 }); err != nil {
			v.fail(err)
			return
		}
	}
	ask := &pb.Found{Group: v.o.Log.Identity().Group, OnlyAsk: !v.coordinates()}
	for _, name := range v.o.Voters {
		if name != v.o.Name {
			v.send(name, &pb.Frame{What: &pb.Frame_Ask{Ask: &pb.Ask{Found: ask}}})
		}
	}
	v.form()
}

// form founds the group once enough have promised.
func (v *Voter) form() {
	if v.rn != nil || v.failed != nil || !v.coordinates() || len(v.found.yes)+1 < v.o.Minimum {
		return
	}
	v.promise(v.o.Log.Identity().Group)
	v.o.Note("the fleet's group is founded", nil)
}

// promise makes this voter a founder of the group.
func (v *Voter) promise(group uint64) bool {
	voters := map[uint64]string{}
	var founders []uint64
	for _, name := range v.o.Voters {
		voters[FounderID(name)] = name
		founders = append(founders, FounderID(name))
	}
	state, err := duty.New(voters).Marshal()
	if err == nil {
		err = v.o.Log.Found(founders, state)
	}
	if err == nil {
		err = v.o.Log.SetIdentity(func(id *pb.Identity) {
			id.Group, id.Raft, id.Founder, id.Formed = group, FounderID(v.o.Name), true, true
		})
	}
	if err == nil {
		err = v.start()
	}
	if err != nil {
		v.fail(err)
	}
	return err == nil
}

// takeFound answers an invitation, or the question which group this voter is of.
func (v *Voter) takeFound(from string, a *pb.Ask) {
	id := v.o.Log.Identity()
	if !a.Found.OnlyAsk && id.Raft == 0 && v.failed == nil && !v.coordinates() && from == v.o.Voters[0] && a.Found.Group != 0 {
		v.promise(a.Found.Group)
		id = v.o.Log.Identity()
	}
	answer := &pb.Answer{Leader: v.Leader(), Founder: id.Founder}
	if id.Raft != 0 {
		answer.Group = id.Group
	}
	v.answer(from, answer)
}

// foundAnswer takes what another voter says of its group.
func (v *Voter) foundAnswer(from string, a *pb.Answer) {
	if v.rn != nil || v.failed != nil || a.Group == 0 || !slices.Contains(v.o.Voters, from) {
		return
	}
	mine := v.o.Log.Identity().Group
	switch {
	case v.coordinates() && a.Group == mine && a.Founder:
		v.found.yes[from] = true
		v.form()
	case a.Leader != "":
		v.enter(a.Group)
	case v.coordinates() && a.Group != mine && !v.found.asked:
		v.found.asked = true
		v.o.Note("a group exists already, and no voter of it leads: waiting to join it", nil)
	}
}

// enter asks for a new number in a group that exists.
func (v *Voter) enter(group uint64) {
	// In this order: after a crash between any two, the old number is never used with an empty log, and the first
	// voter never takes itself for a founder of the group that it was of.
	err := v.o.Log.SetIdentity(func(id *pb.Identity) { id.Group, id.Raft, id.Founder, id.Formed = 0, 0, false, false })
	if err == nil {
		err = v.o.Log.Forget()
	}
	if err == nil {
		err = v.o.Log.SetIdentity(func(id *pb.Identity) {
			id.Group, id.Raft, id.Formed = group, rand.Uint64()>>1|1, true
		})
	}
	if err == nil {
		err = v.start()
	}
	if err != nil {
		v.fail(err)
		return
	}
	v.o.Note("joins the group under a new number", nil)
}

// join asks for the vote of what this voter was, until it has it.
func (v *Voter) join() {
	id := v.o.Log.Identity()
	if v.now < v.joinAt || id.Founder || v.conf != nil && slices.Contains(v.conf.GetVoters(), id.Raft) {
		return
	}
	v.joinAt = v.now + int64(2*foundEvery)
	for _, name := range v.o.Voters {
		if name != v.o.Name {
			v.send(name, &pb.Frame{What: &pb.Frame_Ask{Ask: &pb.Ask{Join: &pb.Join{Member: v.o.Name, Raft: id.Raft}}}})
		}
	}
}

// takeJoin lets a voter in under a new number, without a vote at first. While the number that it had is heard of,
// somebody else runs under its name.
func (v *Voter) takeJoin(from string, a *pb.Ask) {
	if a.Join.Member != from || !slices.Contains(v.o.Voters, from) || v.state.Voter(a.Join.Raft) != "" {
		return
	}
	taken := false
	progress := v.rn.Status().Progress
	for id, name := range v.state.Voters() {
		if p, there := progress[id]; name == from && there && p.RecentActive {
			taken = true
		}
	}
	if taken {
		v.o.Note("a second process asks for the vote of "+from+", which is alive: refused", nil)
		return
	}
	v.changeVoters(&raftpb.ConfChangeV2{Context: []byte(from), Changes: []*raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeAddLearnerNode.Enum(), NodeId: proto.Uint64(a.Join.Raft)}}})
}

// promote gives a voter that has the log the vote of the number that it had before.
func (v *Voter) promote() {
	if !v.leads() || len(v.conf.GetLearners()) == 0 {
		return
	}
	progress := v.rn.Status().Progress
	for _, id := range v.conf.GetLearners() {
		p, there := progress[id]
		if !there || !p.RecentActive || p.Match == 0 || p.Match+caughtUp < v.applied {
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
		v.changeVoters(cc)
		return
	}
}

func (v *Voter) changeVoters(cc *raftpb.ConfChangeV2) {
	v.guard(func() { v.rn.ProposeConfChange(cc) })
}

// applyVoters takes a change of the voters that was agreed on.
func (v *Voter) applyVoters(cc *raftpb.ConfChangeV2) {
	name := string(cc.GetContext())
	for _, c := range cc.GetChanges() {
		if c.GetType() == raftpb.ConfChangeRemoveNode {
			v.state.SetVoter(c.GetNodeId(), "")
		} else if name != "" {
			v.state.SetVoter(c.GetNodeId(), name)
		}
	}
	v.guard(func() { v.conf = v.rn.ApplyConfChange(cc) })
	if len(cc.GetChanges()) > 0 {
		v.changed = name
	}
	if v.changed != "" && !v.ChangingVoters() {
		v.o.Note(NoteVotersChanged+v.changed, nil)
		v.changed = ""
	}
	if v.rn != nil && len(v.conf.GetLearners()) > 0 {
		// Whoever is new begins with a snapshot, and takes none that does not name it.
		v.snapshot()
	}
}

// Aside hands the lead to the voter whose log is longest, for a voter that is about to leave: what it would agree
// on last could otherwise be heard of only after an election.
func (v *Voter) Aside() {
	if !v.leads() {
		return
	}
	best, match := uint64(0), uint64(0)
	for id, p := range v.rn.Status().Progress {
		if id != v.o.Log.Identity().Raft && p.RecentActive && !p.IsLearner && p.Match >= match {
			best, match = id, p.Match
		}
	}
	if best != 0 {
		v.guard(func() { v.rn.TransferLeader(best) })
		v.work()
	}
}
