package sender

import (
	"sliptide/internal/discovery"
	"sliptide/internal/fleet/shard"
	"sliptide/internal/sharding"
	"sliptide/policy"
)

// This file keeps a sender to the destinations of its shards, where the fleet has them: messages for others are refused
// with word of who serves them, and what is known of a destination goes with its shard, once nothing of it is held here.

// leaveLook is how often, in milliseconds, shards that are leaving are looked at.
const leaveLook = 250.0

// shards is what a sender knows of the assignment.
type shards struct {
	release func([]shard.ID) // tells that nothing is left of shards; it must not wait
	locator *shard.Locator   // of the own region's members
	serves  map[shard.ID]bool
	leaving map[shard.ID]bool // unassigned, with messages left
	dests   map[shard.ID]map[int]bool
	lookAt  float64
}

// Shard makes the sender serve the destinations of its shards alone: none until they are told. Each shard has so many
// replicas in a region. release is told of shards of which nothing is left here. It is called before Run.
func (s *Sender) EnableSharding(replicas int, release func([]shard.ID)) {
	s.shards = &shards{release: release, locator: shard.NewLocator(replicas), serves: map[shard.ID]bool{}, leaving: map[shard.ID]bool{}, dests: map[shard.ID]map[int]bool{}}
}

// HeldShards are the shards of destinations that restored messages are for: the sender has to learn of them whoever
// serves them now. It is called before Run.
func (s *Sender) HeldShards() (ids []shard.ID) {
	seen := map[shard.ID]bool{}
	for _, m := range s.msgs {
		if id := shard.Of(uint64(m.Dest)); !seen[id] {
			seen[id] = true
			ids = append(ids, id)
			s.shards.leaving[id] = true // until they are assigned, if they are
		}
	}
	return ids
}

// Sharded takes what the subscription has learned.
func (s *Sender) UpdateShards(u sharding.Update) { s.post(input{sharded: &u}) }

// takeSharded takes an update: shards that come are served from this step on, and nothing new is taken on for those that
// go.
func (s *Sender) takeSharded(u *sharding.Update) {
	sh := s.shards
	if u.AllMembers {
		sh.locator.Update(nil, sh.locator.Names())
	}
	sh.locator.Update(u.Joined, u.Left)
	for i := range u.Entries {
		if e := &u.Entries[i]; e.State != policy.Gone {
			id := shard.Of(uint64(e.Dest))
			if sh.dests[id] == nil {
				sh.dests[id] = map[int]bool{}
			}
			sh.dests[id][e.Dest] = true
		}
	}
	for _, id := range u.Assigned {
		sh.serves[id] = true
		delete(sh.leaving, id)
	}
	for _, id := range u.Unassigned {
		delete(sh.serves, id)
		sh.leaving[id] = true
	}
	if len(u.Entries) > 0 {
		s.takeList(&discovery.List{Endpoints: u.Entries})
	}
	s.leaveShards(true)
}

// misdirected reports whether a message is for a destination that others serve.
func (s *Sender) misdirected(dest int) bool {
	return s.shards != nil && !s.shards.serves[shard.Of(uint64(dest))]
}

// misdirection is the verdict on such a message: who serves its destination, by what is known here.
func (s *Sender) misdirection(dest int) Verdict {
	names := s.shards.locator.Replicas(shard.Of(uint64(dest)))
	if len(names) == 0 { // nothing is known yet
		return Verdict{NoRoute: true, RetryAfter: s.busyRetry()}
	}
	return Verdict{Misdirected: true, ServedBy: names}
}

// leaveShards forgets destinations of shards that are leaving, once no message of them is held and no call is out.
func (s *Sender) leaveShards(now bool) {
	sh := s.shards
	if sh == nil || len(sh.leaving) == 0 || !now && s.now < sh.lookAt {
		return
	}
	sh.lookAt = s.now + leaveLook
	busy := map[shard.ID]bool{}
	for _, m := range s.msgs {
		busy[shard.Of(uint64(m.Dest))] = true
	}
	for c := range s.calls {
		busy[shard.Of(uint64(c.Dest))] = true
	}
	var done []shard.ID
	for id := range sh.leaving {
		if !busy[id] {
			done = append(done, id)
		}
	}
	if len(done) > 0 {
		s.forgetShards(done)
		sh.release(done)
	}
}

// forgetShards drops all that is known of shards' destinations. Many may leave in one moment: their endpoints are looked
// through once for all.
func (s *Sender) forgetShards(ids []shard.ID) {
	sh := s.shards
	leaving := map[int]bool{}
	for _, id := range ids {
		for dest := range sh.dests[id] {
			leaving[dest] = true
			delete(s.dests, dest)
		}
		delete(sh.dests, id)
		delete(sh.leaving, id)
	}
	if len(leaving) == 0 {
		return
	}
	var gone []discovery.Endpoint
	for _, e := range s.addrs {
		if leaving[e.Dest] {
			e.State = policy.Gone
			gone = append(gone, e)
		}
	}
	if len(gone) > 0 {
		s.takeList(&discovery.List{Endpoints: gone})
	}
	for _, e := range gone {
		s.pool.CloseIdleConns(e.ID)
		delete(s.addrs, e.ID)
		delete(s.names, e.Name)
	}
	if len(gone) > len(s.addrs) {
		s.addrs, s.names, s.dests, sh.dests = shrunk(s.addrs), shrunk(s.names), shrunk(s.dests), shrunk(sh.dests)
	}
}

// shrunk is a copy of a map of which most has been deleted: a map keeps the room that it once needed.
func shrunk[K comparable, V any](m map[K]V) map[K]V {
	small := make(map[K]V, len(m))
	for k, v := range m {
		small[k] = v
	}
	return small
}
