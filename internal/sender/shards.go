package sender

import (
	"sliptide/internal/discovery"
	"sliptide/internal/fleet/shard"
	"sliptide/internal/sharding"
	"sliptide/policy"
)

// This file restricts a sender of a sharded fleet to the destinations of its shards. Messages for other destinations
// are refused with the names of the members that serve them. The state of a destination is dropped with its shard, once
// no message or call of the shard is left here.

// leaveCheckIntervalMS is the interval between checks whether leaving shards can be released.
const leaveCheckIntervalMS = 250.0

// shards is a sender's view of the assignment of shards.
type shards struct {
	release   func([]shard.ID) // reports shards of which nothing is left; must not block
	locator   *shard.Locator   // of the members of the sender's own region
	assigned  map[shard.ID]bool
	leaving   map[shard.ID]bool // unassigned, but not released yet
	dests     map[shard.ID]map[int]bool
	nextCheck float64 // when leaving shards are checked next, by the sender's clock
}

// EnableSharding restricts the sender to the destinations of its assigned shards, of which it has none at first.
// replicas is the number of replicas of a shard in a region. release is called with shards of which nothing is left
// here. It is called before Run.
func (s *Sender) EnableSharding(replicas int, release func([]shard.ID)) {
	s.shards = &shards{release: release, locator: shard.NewLocator(replicas), assigned: map[shard.ID]bool{}, leaving: map[shard.ID]bool{}, dests: map[shard.ID]map[int]bool{}}
}

// HeldShards returns the shards of the restored messages' destinations: the sender needs their endpoints whichever
// member serves them now. It is called after EnableSharding and before Run.
func (s *Sender) HeldShards() (ids []shard.ID) {
	seen := map[shard.ID]bool{}
	for _, m := range s.messages {
		if id := shard.Of(uint64(m.Dest)); !seen[id] {
			seen[id] = true
			ids = append(ids, id)
			s.shards.leaving[id] = true // until the shard is assigned, or nothing of it is left
		}
	}
	return ids
}

// UpdateShards applies an update from the subscription to the directory.
func (s *Sender) UpdateShards(u sharding.Update) { s.post(input{shardUpdate: &u}) }

// handleShardUpdate applies an update: assigned shards are served from this step on, and no message is accepted for
// unassigned ones.
func (s *Sender) handleShardUpdate(u *sharding.Update) {
	sh := s.shards
	if u.AllMembers {
		sh.locator.Update(nil, sh.locator.Names())
	}
	sh.locator.Update(u.Joined, u.Left)
	for i := range u.Endpoints {
		if e := &u.Endpoints[i]; e.State != policy.Gone {
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
	if len(u.Endpoints) > 0 {
		s.handleList(&discovery.List{Endpoints: u.Endpoints})
	}
	s.releaseLeavingShards(true)
}

// misdirected reports whether other members serve the destination.
func (s *Sender) misdirected(dest int) bool {
	return s.shards != nil && !s.shards.assigned[shard.Of(uint64(dest))]
}

// misdirection returns the verdict on a misdirected message, with the members known to serve its destination.
func (s *Sender) misdirection(dest int) Verdict {
	names := s.shards.locator.Replicas(shard.Of(uint64(dest)))
	if len(names) == 0 { // the members are not known yet
		return Verdict{NoRoute: true, RetryAfterMS: s.busyRetryAfter()}
	}
	return Verdict{Misdirected: true, ServedBy: names}
}

// releaseLeavingShards releases leaving shards of which no message is held and no call is in progress. It checks at
// most once in leaveCheckIntervalMS unless atOnce is set.
func (s *Sender) releaseLeavingShards(atOnce bool) {
	sh := s.shards
	if sh == nil || len(sh.leaving) == 0 || !atOnce && s.now < sh.nextCheck {
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

// forgetShards drops all state of the shards' destinations. Many shards may leave at once, so it scans the endpoints
// once for all of them.
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
		s.handleList(&discovery.List{Endpoints: gone})
	}
	for _, e := range gone {
		s.pool.CloseIdleConns(e.ID)
		delete(s.endpoints, e.ID)
		delete(s.endpointIDs, e.Name)
	}
	if len(gone) > len(s.endpoints) {
		s.endpoints, s.endpointIDs, s.listedDests, sh.dests = shrinkMap(s.endpoints), shrinkMap(s.endpointIDs), shrinkMap(s.listedDests), shrinkMap(sh.dests)
	}
}

// shrinkMap returns a copy of a map of which most was deleted, since a map keeps the memory that it has grown to.
func shrinkMap[K comparable, V any](m map[K]V) map[K]V {
	shrunk := make(map[K]V, len(m))
	for k, v := range m {
		shrunk[k] = v
	}
	return shrunk
}
