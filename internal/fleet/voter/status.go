package voter

import (
	"cmp"
	"encoding/json"
	"slices"

	"sliptide/internal/fleet/duty"
)

// This file reports the state of a voter to operators and to the rest of its process.

// MemberStatus is the state of one member as a voter sees it.
type MemberStatus struct {
	Name        string  `json:"name"`
	Voter       bool    `json:"voter"`
	Session     uint64  `json:"session"` // 0: none
	Zone        string  `json:"zone,omitempty"`
	LastHeardMS float64 `json:"heard_ms"` // time since the last renewal, if the voter leads; -1: unknown
	Duties      int     `json:"duties"`
}

// DutyStatus is the state of one duty.
type DutyStatus struct {
	Name       string `json:"name"`
	Holder     string `json:"holder"`
	Token      uint64 `json:"token"`
	TransferTo string `json:"wanted,omitempty"`
	Value      string `json:"word,omitempty"`
	// CopyHolders are, for a journal duty, the members that may keep copies of that journal.
	CopyHolders []string `json:"copies,omitempty"`
}

// Status is the state that a voter reports to operators.
type Status struct {
	ReportedBy string         `json:"asked"` // the voter that reports it
	Group      uint64         `json:"group"`
	Term       uint64         `json:"term"`
	Leader     string         `json:"leader"`  // empty: unknown, or there is no quorum
	Applied    uint64         `json:"applied"` // index of the last log entry that is applied
	LogBytes   int64          `json:"log_bytes"`
	Failed     string         `json:"failed,omitempty"` // why the voter takes no part in the group
	Members    []MemberStatus `json:"members"`
	Duties     []DutyStatus   `json:"duties"`
}

// Status returns the state of the voter.
func (v *Voter) Status() Status {
	s := Status{
		ReportedBy: v.options.Name, Group: v.options.Log.Identity().Group, Leader: v.Leader(),
		Applied: v.applied, LogBytes: v.options.Log.Size(),
	}
	switch {
	case v.failure != nil:
		s.Failed = v.failure.Error()
		return s
	case v.node == nil:
		s.Failed = "waits for the other voters to found the group"
		return s
	}
	s.Term = v.node.BasicStatus().HardState.GetTerm()
	dutyCounts := map[uint64]int{}
	for _, d := range v.state.Duties() {
		dutyCounts[d.Session]++
		s.Duties = append(s.Duties, DutyStatus{d.Name, d.Holder, d.Token, d.Wanted, d.Word, d.Holders})
	}
	for _, id := range v.state.Sessions() {
		m := v.state.Session(id)
		heardMS := -1.0
		if at, known := v.leases.LastRenewal(id); known && v.isLeader() {
			heardMS = float64(v.now-at) / 1e6
		}
		s.Members = append(s.Members,
			MemberStatus{m.Member, slices.Contains(v.options.Voters, m.Member), id, m.Zone, heardMS, dutyCounts[id]})
	}
	for _, name := range v.options.Voters {
		if !slices.ContainsFunc(s.Members, func(m MemberStatus) bool { return m.Name == name }) {
			s.Members = append(s.Members, MemberStatus{Name: name, Voter: true, LastHeardMS: -1})
		}
	}
	slices.SortFunc(s.Members, func(a, b MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// StatusJSON returns the status in JSON.
func (v *Voter) StatusJSON() string {
	b, _ := json.Marshal(v.Status())
	return string(b)
}

// State returns the replicated state as far as this voter has applied it, or nil if it is not part of a group. It
// must not be modified.
func (v *Voter) State() *duty.State {
	if v.node == nil {
		return nil
	}
	return v.state
}

// HasVote reports whether this voter has a vote in the group.
func (v *Voter) HasVote() bool {
	return v.node != nil && v.confState != nil && slices.Contains(v.confState.GetVoters(), v.options.Log.Identity().Raft)
}

// VoterChangePending reports whether a change of the voters has begun and is not yet complete: meanwhile every decision
// needs both a majority of the old voters and a majority of the new voters (Raft's joint consensus).
func (v *Voter) VoterChangePending() bool {
	return v.confState != nil && len(v.confState.GetVotersOutgoing()) > 0
}

// IsLeader reports whether this voter leads, as far as it knows.
func (v *Voter) IsLeader() bool { return v.isLeader() }
