// Package sharding converts updates of a sender's subscription to the directory (internal/fleet/directory) into the
// endpoint lists that the sender accepts. An endpoint keeps its number as long as it is known, and endpoints that a
// snapshot no longer contains are reported as gone.
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

// Update is a change of endpoints, assigned shards and members for the sender.
type Update struct {
	Endpoints  []discovery.Endpoint // new states of endpoints; policy.Gone: removed
	Assigned   []shard.ID           // shards that the sender serves from now on
	Unassigned []shard.ID           // shards that it serves no longer
	AllMembers bool                 // Joined is complete: members that it lacks have left
	Joined     []shard.Member       // members of the sender's region
	Left       []string
}

// View holds the endpoints known from the directory. It is not safe for concurrent use.
type View struct {
	settings *policy.Settings
	log      zerolog.Logger
	shards   map[shard.ID]map[string]discovery.Endpoint // by shard and name
	nextID   uint32
}

// NewView returns an empty View.
func NewView(settings *policy.Settings, log zerolog.Logger) *View {
	return &View{settings: settings, log: log, shards: map[shard.ID]map[string]discovery.Endpoint{}}
}

// Len returns the number of known endpoints.
func (v *View) Len() (n int) {
	for _, endpoints := range v.shards {
		n += len(endpoints)
	}
	return n
}

// Apply applies an update of the subscription, and returns the resulting update for the sender.
func (v *View) Apply(a *directory.AppliedUpdate) Update {
	u := Update{Assigned: a.Assigned, Unassigned: a.Unassigned, AllMembers: a.AllMembers}
	v.markReplacedGone(a, &u)
	for i := range a.Endpoints {
		if e, ok := v.putEndpoint(&a.Endpoints[i]); ok {
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

// markReplacedGone reports endpoints as gone that a snapshot of their shard does not contain.
func (v *View) markReplacedGone(a *directory.AppliedUpdate, u *Update) {
	if len(a.SnapshotShards) == 0 && !a.AllShards {
		return
	}
	replaced := make(map[shard.ID]bool, len(a.SnapshotShards))
	for _, id := range a.SnapshotShards {
		replaced[id] = true
	}
	listed := map[string]bool{}
	for i := range a.Endpoints {
		listed[a.Endpoints[i].ID] = true
	}
	for id, endpoints := range v.shards {
		if !replaced[id] && !a.AllShards {
			continue
		}
		for name, e := range endpoints {
			if !listed[name] {
				e.State = policy.Gone
				u.Endpoints = append(u.Endpoints, e)
				delete(endpoints, name)
			}
		}
	}
}

// putEndpoint stores the new state of an endpoint. The result is false if there is nothing to report to the sender.
func (v *View) putEndpoint(e *directory.Endpoint) (discovery.Endpoint, bool) {
	id := e.Shard()
	known, found := v.shards[id][e.ID]
	if e.State == pb.EndpointState_REMOVED {
		delete(v.shards[id], e.ID)
		known.State = policy.Gone
		return known, found
	}
	if _, err := netip.ParseAddrPort(e.Addr); err != nil {
		v.log.Warn().Str("endpoint", e.ID).Str("addr", e.Addr).Msg("directory: endpoint without a valid address ignored")
		return discovery.Endpoint{}, false
	}
	endpoint := discovery.Endpoint{Name: e.ID, Addr: e.Addr}
	if endpoint.ID = known.ID; !found {
		v.nextID++
		endpoint.ID = v.nextID
	}
	endpoint.Dest, endpoint.Rating = int(e.Destination), e.Weight
	endpoint.State = policy.Ready
	if e.State == pb.EndpointState_DRAINING {
		endpoint.State = policy.Draining
	}
	endpoint.SetZoneAndKind(v.settings, e.Zone, e.Kind)
	if v.shards[id] == nil {
		v.shards[id] = map[string]discovery.Endpoint{}
	}
	v.shards[id][e.ID] = endpoint
	return endpoint, true
}

// Forget drops shards that the sender has released.
func (v *View) Forget(ids []shard.ID) {
	for _, id := range ids {
		delete(v.shards, id)
	}
}
