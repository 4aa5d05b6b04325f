package voter

import (
	"cmp"
	"encoding/json"
	"slices"

	"sliptide/internal/fleet/duty"
)

// This file shows a voter to operators and to the processes of its member.

// MemberStatus is one member as a voter sees it.
type MemberStatus struct {
	Name    string  `json:"name"`
	Voter   bool    `json:"voter"`
	Session uint64  `json:"session"` // 0: none
	Zone    string  `json:"zone,omitempty"`
	Heard   float64 `json:"heard_ms"` // ago, where the voter leads; -1: not known
	Duties  int     `json:"duties"`
}

// DutyStatus is one duty.
type DutyStatus struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
	Wanted string `json:"wanted,omitempty"`
	Word   string `json:"word,omitempty"`
	// Copies are the members that may keep copies of its holder's journal, for the duty of one.
	Copies []string `json:"copies,omitempty"`
}

// Status is what a voter tells operators.
type Status struct {
	Asked   string         `json:"asked"` // the voter that tells it
	Group   uint64         `json:"group"`
	Term    uint64         `json:"term"`
	Leader  string         `json:"leader"` // empty: nobody, no quorum is known
	Applied uint64         `json:"applied"`
	LogSize int64          `json:"log_bytes"`
	Failed  string         `json:"failed,omitempty"` // why it takes no part
	Members []MemberStatus `json:"members"`
	Duties  []DutyStatus   `json:"duties"`
}

// Look is the status as a value.
func (v *Voter) Look() Status {
	s := Status{Asked: v.o.Name, Group: v.o.Log.Identity().Group, Leader: v.Leader(), Applied: v.applied, LogSize: v.o.Log.Size()}
	switch {
	case v.failed != nil:
		s.Failed = v.failed.Error()
		return s
	case v.rn == nil:
		s.Failed = "waits for the other voters to found the group"
		return s
	}
	s.Term = v.rn.BasicStatus().HardState.GetTerm()
	held := map[uint64]int{}
	for _, d := range v.state.Duties() {
		held[d.Session]++
		s.Duties = append(s.Duties, DutyStatus{d.Name, d.Holder, d.Token, d.Wanted, d.Word, d.Holders})
	}
	for _, id := range v.state.Sessions() {
		m := v.state.Session(id)
		ago := -1.0
		if at, known := v.granted.At(id); known && v.leads() {
			ago = float64(v.now-at) / 1e6
		}
		s.Members = append(s.Members, MemberStatus{m.Member, slices.Contains(v.o.Voters, m.Member), id, m.Zone, ago, held[id]})
	}
	for _, name := range v.o.Voters {
		if !slices.ContainsFunc(s.Members, func(m MemberStatus) bool { return m.Name == name }) {
			s.Members = append(s.Members, MemberStatus{Name: name, Voter: true, Heard: -1})
		}
	}
	slices.SortFunc(s.Members, func(a, b MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// Status is Look in JSON.
func (v *Voter) Status() string {
	b, _ := json.Marshal(v.Look())
	return string(b)
}

// State is the state that was agreed on, as far as this voter has applied it; nil: it takes no part. It must not
// be changed.
func (v *Voter) State() *duty.State {
	if v.rn == nil {
		return nil
	}
	return v.state
}

// Votes reports whether this voter has a vote in the group.
func (v *Voter) Votes() bool {
	return v.rn != nil && v.conf != nil && slices.Contains(v.conf.GetVoters(), v.o.Log.Identity().Raft)
}

// ChangingVoters reports whether a change of the voters has begun and is not yet in force: a majority of the old ones
// and one of the new ones are both needed meanwhile (Raft's joint consensus).
func (v *Voter) ChangingVoters() bool { return v.conf != nil && len(v.conf.GetVotersOutgoing()) > 0 }

// Leads reports whether this voter leads, as far as it knows.
func (v *Voter) Leads() bool { return v.leads() }
