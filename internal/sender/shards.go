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
const leaveCheckIntervalMS = 250.0

// shards is what a sender knows of the assignment.
type shards struct {
	release   func([]shard.ID) // tells that nothing is left of shards; it must not wait
	locator   *shard.Locator   // of the own region's members
	assigned  map[shard.ID]bool
	leaving   map[shard.ID]bool // unassigned, with messages left
	dests     map[shard.ID]map[int]bool
	nextCheck float64
}

// Shard makes the sender serve the destinations of its shards alone: none until they are told. Each shard has so many
// replicas in a region. release is told of shards of which nothing is left here. It is called before Run.
func (s *Sender) EnableSharding(replicas int, release func([]shard.ID)) {
	s.shards = &shards{release: release, locator: shard.NewLocator(replicas), assigned: map[shard.ID]bool{}, leaving: map[shard.ID]bool{}, dests: map[shard.ID]map[int]bool{}}
}

// HeldShards are the shards of destinations that restored messages are for: the sender has to learn of them whoever
// serves them now. It is called before Run.
func (s *Sender) HeldShards() (ids []shard.ID) {
	seen := map[shard.ID]bool{}
	for _, m := range s.messages {
		if id := shard.Of(uint64(m.Dest)); !seen[id] {
			seen[id] = true
			ids = append(ids, id)
			s.shards.leaving[id] = true // until they are assigned, if they are
		}
	}
	return ids
}

// Sharded takes what the subscription has learned.
func (s *Sender) UpdateShards(u sharding.Update) { s.post(input{shardUpdate: &u}) }

// takeSharded takes an update: shards that come are served from this step on, and nothing new is taken on for those that
// go.
func (s *Sender) handleShardUpdate(u *sharding.Update) {
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
		sh.assigned[id] = true
		delete(sh.leaving, id)
	}
	for _, id := range u.Unassigned {
		delete(sh.assigned, id)
		sh.leaving[id] = true
	}
	if len(u.Entries) > 0 {
		s.handleList(&discovery.List{Entries: u.Entries})
	}
	s.releaseLeavingShards(true)
}

// misdirected reports whether a message is for a destination that others serve.
func (s *Sender) misdirected(dest int) bool {
	return s.shards != nil && !s.shards.assigned[shard.Of(uint64(dest))]
}

// misdirection is the verdict on such a message: who serves its destination, by what is known here.
func (s *Sender) misdirection(dest int) Verdict {
	names := s.shards.locator.Replicas(shard.Of(uint64(dest)))
	if len(names) == 0 { // nothing is known yet
		return Verdict{NoRoute: true, RetryAfter: s.busyRetryAfter()}
	}
	return Verdict{Misdirected: true, ServedBy: names}
}

// leaveShards forgets destinations of shards that are leaving, once no message of them is held and no call is out.
func (s *Sender) releaseLeavingShards(now bool) {
	sh := s.shards
	if sh == nil || len(sh.leaving) == 0 || !now && s.now < sh.nextCheck {
		return
	}
	sh.nextCheck = s.now + leaveCheckIntervalMS
	busy := map[shard.ID]bool{}
	for _, m := range s.messages {
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
			delete(s.listedDests, dest)
		}
		delete(sh.dests, id)
		delete(sh.leaving, id)
	}
	if len(leaving) == 0 {
		return
	}
	var gone []discovery.Endpoint
	for _, e := range s.endpoints {
		if leaving[e.Dest] {
			e.State = policy.Gone
			gone = append(gone, e)
		}
	}
	if len(gone) > 0 {
		s.handleList(&discovery.List{Entries: gone})
	}
	for _, e := range gone {
		s.pool.HangUp(e.ID)
		delete(s.endpoints, e.ID)
		delete(s.endpointIDs, e.Name)
	}
	if len(gone) > len(s.endpoints) {
		s.endpoints, s.endpointIDs, s.listedDests, sh.dests = shrinkMap(s.endpoints), shrinkMap(s.endpointIDs), shrinkMap(s.listedDests), shrinkMap(sh.dests)
	}
}

// shrunk is a copy of a map of which most has been deleted: a map keeps the room that it once needed.
func shrinkMap[K comparable, V any](m map[K]V) map[K]V {
	shrunk := make(map[K]V, len(m))
	for k, v := range m {
		shrunk[k] = v
	}
	return shrunk
}
