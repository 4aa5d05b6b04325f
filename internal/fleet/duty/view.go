package duty

import (
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"sliptide/internal/fleet/pb"
)

// This file converts the state to the form that members see, and to and from snapshots.

// PresentMembers returns the members with live sessions, by name.
func (s *State) PresentMembers() []*pb.Present {
	list := make([]*pb.Present, 0, len(s.sessions))
	for _, v := range s.sessions {
		if !v.Closing {
			list = append(list, &pb.Present{Name: v.Member, Zone: v.Zone})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// recordChange records that a duty has changed: for the result of the command that is being applied, and in the
// version.
func (s *State) recordChange(d *Duty) {
	s.version++
	s.changed = append(s.changed, s.view(d))
}

// view returns a duty in the form that members see.
func (s *State) view(d *Duty) *pb.Duty {
	p := &pb.Duty{
		Name: d.Name, Zone: d.Zone, Session: d.Session, Token: d.Token, Wanted: d.TransferTo,
		Word: d.Value, WordToken: d.ValueToken, Holders: d.CopyHolders,
	}
	if v := s.sessions[d.Session]; v != nil {
		p.Holder = v.Member
	}
	return p
}

func (s *State) viewByName(name string) *pb.Duty {
	if d := s.duties[name]; d != nil {
		return s.view(d)
	}
	return nil
}

// Version returns a number that grows with each change of duties or sessions.
func (s *State) Version() uint64 { return s.version }

// Session returns the session of that ID, or nil if there is none. It must not be modified.
func (s *State) Session(id uint64) *pb.Session {
	if v := s.sessions[id]; v != nil {
		return v.Session
	}
	return nil
}

// Sessions returns the IDs of all sessions, in ascending order.
func (s *State) Sessions() []uint64 {
	list := make([]uint64, 0, len(s.sessions))
	for id := range s.sessions {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// Duties returns all duties, by name.
func (s *State) Duties() []*pb.Duty {
	list := make([]*pb.Duty, 0, len(s.duties))
	for _, d := range s.sortedDuties() {
		list = append(list, s.view(d))
	}
	return list
}

// Voter returns the member with that Raft ID, or an empty string.
func (s *State) Voter(id uint64) string { return s.voters[id] }

// Voters returns the names of voters and learners by Raft ID. The map must not be modified.
func (s *State) Voters() map[uint64]string { return s.voters }

// SetVoter applies a committed change of the voters. An empty name removes the Raft ID.
func (s *State) SetVoter(id uint64, name string) {
	if name == "" {
		delete(s.voters, id)
		return
	}
	s.voters[id] = name
}

// Marshal returns a snapshot of the state.
func (s *State) Marshal() ([]byte, error) {
	p := &pb.State{Token: s.lastToken, Version: s.version, Voters: s.voters}
	for _, id := range s.Sessions() {
		p.Sessions = append(p.Sessions, s.sessions[id].Session)
	}
	for _, d := range s.sortedDuties() {
		w := s.view(d)
		w.Waiting = d.Candidates
		p.Duties = append(p.Duties, w)
	}
	for name := range s.removed {
		p.Removed = append(p.Removed, name)
	}
	slices.Sort(p.Removed)
	p.Adoptions = s.Adoptions()
	p.Again, p.Inherited = s.resubmitted.list(), s.takenOver.list()
	return proto.MarshalOptions{Deterministic: true}.Marshal(p)
}

// Unmarshal restores the state from a snapshot.
func Unmarshal(b []byte) (*State, error) {
	var p pb.State
	if err := proto.Unmarshal(b, &p); err != nil {
		return nil, err
	}
	if p.Voters == nil {
		p.Voters = map[uint64]string{}
	}
	s := New(p.Voters)
	s.lastToken, s.version = p.Token, p.Version
	for _, v := range p.Sessions {
		s.sessions[v.Id] = &Session{Session: v}
		s.sessionOf[v.Member] = v.Id
	}
	for _, d := range p.Duties {
		s.duties[d.Name] = &Duty{
			Name: d.Name, Zone: d.Zone, Session: d.Session, Token: d.Token, TransferTo: d.Wanted,
			Value: d.Word, ValueToken: d.WordToken, Candidates: d.Waiting, CopyHolders: d.Holders,
		}
		if v := s.sessions[d.Session]; v != nil {
			v.dutyCount++
		}
	}
	for _, d := range s.duties {
		if d.TransferTo != "" && d.Session != 0 {
			s.planTransfer(d, 1)
		}
	}
	for _, a := range p.Adoptions {
		s.adoptions[a.Owner] = a
	}
	for _, name := range p.Removed {
		s.removed[name] = true
	}
	s.resubmitted.load(p.Again)
	s.takenOver.load(p.Inherited)
	return s, nil
}
