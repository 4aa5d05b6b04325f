package fleet_test

import (
	"testing"
	"time"

	"sliptide/internal/fleet"
	"sliptide/internal/standin"
)

// leader returns the voter that was the last to log that it became leader.
func (r *rig) leader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := ""
	for _, line := range splitLines(r.logs.String()) {
		if member, ok := logMember(line, "fleet: voter: became leader"); ok {
			last = member
		}
	}
	return last
}

// TestPartitions: a holder cut off with a minority, one-way cuts, a ring in which each voter reaches only its
// neighbours, a member that reaches only the leader, and links that are half-closed, broken and refused. A duty never
// has two holders, and has one again once the links are restored.
func TestPartitions(t *testing.T) {
	t.Parallel()
	r := newRig(t, 5, 1, nil)
	healLinks := func() {
		for _, relay := range r.relays {
			relay.BlockBoth(false)
			relay.SetDelay(0)
			relay.RefuseNew(false)
		}
		r.awaitAll(25 * time.Second)
		r.checkObservations()
	}
	r.holder(0, 0, "", 25*time.Second)
	r.awaitAll(25 * time.Second)

	// The holder and one voter are cut off from all others.
	holder := r.holder(0, fleet.Now(), "", 25*time.Second)
	second := "n1"
	if holder.member == second {
		second = "n2"
	}
	at := fleet.Now()
	for _, p := range r.procs {
		if p.name != holder.member && p.name != second {
			r.cut(holder.member, p.name, true)
			r.cut(second, p.name, true)
		}
	}
	r.holder(0, at+int64(1500*time.Millisecond), holder.member, 25*time.Second)
	healLinks()

	// The holder's links are cut in one direction, then in the other.
	for _, direction := range []int{standin.ToTarget, standin.FromTarget} {
		holder = r.holder(0, fleet.Now(), "", 25*time.Second)
		at = fleet.Now()
		for k, relay := range r.relays {
			switch holder.member {
			case k[0]:
				relay.Block(direction, true)
			case k[1]:
				relay.Block(1-direction, true)
			}
		}
		r.holder(0, at+int64(1500*time.Millisecond), holder.member, 25*time.Second)
		healLinks()
	}

	// A ring of the five voters: each reaches two others, which make a majority with itself.
	for i := range 5 {
		for k := i + 2; k < 5; k++ {
			if !(i == 0 && k == 4) {
				r.cut(r.procs[i].name, r.procs[k].name, true)
			}
		}
	}
	time.Sleep(3 * time.Second) // let the faults last for a while
	healLinks()

	// A member reaches the leading voter and no other.
	lead := r.leader()
	for _, p := range r.procs[:5] {
		if p.name != lead {
			r.cut("n6", p.name, true)
		}
	}
	r.awaitAll(25 * time.Second)
	healLinks()

	for _, relay := range r.relays {
		relay.HalfClose()
	}
	healLinks()
	for range 5 {
		for _, relay := range r.relays {
			relay.CloseConns()
			relay.RefuseNew(true)
		}
		time.Sleep(100 * time.Millisecond) // let the faults last for a while
		for _, relay := range r.relays {
			relay.RefuseNew(false)
		}
	}
	healLinks()
}

// TestVotersKilled: the leading voter is killed repeatedly while leases run out, then all voters are killed and started
// in another order. Duties get holders again, and the tokens of new holders are higher than all before.
func TestVotersKilled(t *testing.T) {
	t.Parallel()
	r := newRig(t, 3, 1, nil)
	r.holder(0, 0, "", 25*time.Second)
	r.awaitAll(25 * time.Second)
	for i := range 3 {
		p := r.proc(r.leader())
		r.kill(p)
		time.Sleep(time.Duration(300+i*300) * time.Millisecond) // leases are about to lapse
		r.start(p)
		r.awaitAll(25 * time.Second)
	}
	var highest uint64
	r.mu.Lock()
	for _, seen := range r.observations {
		highest = max(highest, seen.token)
	}
	r.mu.Unlock()
	for _, p := range r.procs[:3] {
		r.kill(p)
	}
	for _, i := range []int{2, 0, 1} {
		r.start(r.procs[i])
		time.Sleep(150 * time.Millisecond) // one after the other
	}
	r.awaitAll(25 * time.Second)
	r.checkObservations()
	// A new holder of a duty has a higher token than all before. The member that does not vote is never killed: it may
	// still hold its duties under their earlier tokens.
	at := fleet.Now()
	for _, p := range r.procs[:3] {
		r.kill(p)
		r.start(p)
	}
	for d := range duties {
		holder := r.holder(d, at+int64(2500*time.Millisecond), "", 25*time.Second) // after the leases of 1 s and an election
		if holder.token <= highest && holder.member != "n4" {
			t.Errorf("%s holds %s with token %d, want a higher one than any before the restart, %d", holder.member, dutyName(d), holder.token, highest)
		}
	}
	r.checkObservations()
}
