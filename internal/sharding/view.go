// Package sharding turns what a sender learns by its subscription to the directory (internal/fleet/directory) into lists
// of endpoints as the sender takes them, under numbers that last while an endpoint is known, with what a snapshot no
// longer holds told as gone.
package sharding

import (
	"net/netip"

	"github.com/rs/zerolog"

	"sliptide/internal/discovery"
	"sliptide/internal/fleet/directory"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/shard"
	"sliptide/policy"
)

// Update is what a sender is told.
type Update struct {
	Endpoints  []discovery.Endpoint // endpoints as they have become, policy.Gone those that left
	Assigned   []shard.ID           // shards that the sender serves from now on,
	Unassigned []shard.ID           // and that it serves no longer
	AllMembers bool                 // those that joined are all there are
	Joined     []shard.Member       // of the own region
	Left       []string
}

// View is what is known of endpoints. It is for one goroutine.
type View struct {
	set    *policy.Settings
	log    zerolog.Logger
	shards map[shard.ID]map[string]discovery.Endpoint // by name
	nextID uint32
}

// NewView returns a View that knows nothing.
func NewView(set *policy.Settings, log zerolog.Logger) *View {
	return &View{set: set, log: log, shards: map[shard.ID]map[string]discovery.Endpoint{}}
}

// Len is how many endpoints are known.
func (v *View) Len() (n int) {
	for _, held := range v.shards {
		n += len(held)
	}
	return n
}

// Take turns what was learned into an update for the sender.
func (v *View) Apply(a *directory.AppliedUpdate) Update {
	u := Update{Assigned: a.Assigned, Unassigned: a.Unassigned, AllMembers: a.AllMembers}
	v.dropReplaced(a, &u)
	for i := range a.Endpoints {
		if e, ok := v.put(&a.Endpoints[i]); ok {
			u.Endpoints = append(u.Endpoints, e)
		}
	}
	for i := range a.Joined {
		u.Joined = append(u.Joined, a.Joined[i].Member)
	}
	for i := range a.Left {
		u.Left = append(u.Left, a.Left[i].Name)
	}
	return u
}

// dropReplaced tells endpoints as gone that a snapshot of their shard does not hold.
func (v *View) dropReplaced(a *directory.AppliedUpdate, u *Update) {
	if len(a.SnapshotShards) == 0 && !a.AllShards {
		return
	}
	replaced := make(map[shard.ID]bool, len(a.SnapshotShards))
	for _, id := range a.SnapshotShards {
		replaced[id] = true
	}
	there := map[string]bool{}
	for i := range a.Endpoints {
		there[a.Endpoints[i].ID] = true
	}
	for id, held := range v.shards {
		if !replaced[id] && !a.AllShards {
			continue
		}
		for name, e := range held {
			if !there[name] {
				e.State = policy.Gone
				u.Endpoints = append(u.Endpoints, e)
				delete(held, name)
			}
		}
	}
}

// put enters an endpoint as it has become; false: it is nothing for the sender.
func (v *View) put(e *directory.Endpoint) (discovery.Endpoint, bool) {
	id := e.Shard()
	known, had := v.shards[id][e.ID]
	if e.State == pb.EndpointState_REMOVED {
		delete(v.shards[id], e.ID)
		known.State = policy.Gone
		return known, had
	}
	if _, err := netip.ParseAddrPort(e.Addr); err != nil {
		v.log.Warn().Str("endpoint", e.ID).Str("addr", e.Addr).Msg("no address: passed over")
		return discovery.Endpoint{}, false
	}
	x := discovery.Endpoint{Name: e.ID, Addr: e.Addr}
	if x.ID = known.ID; !had {
		v.nextID++
		x.ID = v.nextID
	}
	x.Dest, x.Rating = int(e.Destination), e.Weight
	x.State = policy.Ready
	if e.State == pb.EndpointState_DRAINING {
		x.State = policy.Draining
	}
	x.SetZoneAndKind(v.set, e.Zone, e.Kind)
	if v.shards[id] == nil {
		v.shards[id] = map[string]discovery.Endpoint{}
	}
	v.shards[id][e.ID] = x
	return x, true
}

// Forget drops shards that the sender is done with.
func (v *View) Forget(ids []shard.ID) {
	for _, id := range ids {
		delete(v.shards, id)
	}
}
