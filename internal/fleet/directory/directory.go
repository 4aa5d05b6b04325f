// Package directory implements the directory that control members replicate and publish: all endpoints of all
// destinations, by shard, and the members that serve them, under one version that only grows. One control member leads
// and publishes; the other control members and the senders subscribe. A subscription begins with a snapshot and
// continues with changes. After an interruption it resumes from the log of changes, or with a new snapshot if the log
// no longer reaches back to its version.
//
// The package has no clock, sockets or goroutines: the caller passes times, in nanoseconds on its monotonic clock.
// Nothing in it is safe for concurrent use.
package directory

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/shard"
)

// Limits of the log of changes.
const (
	maxLogChanges = 1 << 16 // changes in the log
	maxLogEntries = 1 << 18 // endpoints and members of all changes in the log
)

// counterBits is the number of low bits of a version that count the changes of one leader. The bits above are the
// leader's fencing token, so that all versions of a later leader are higher than those of an earlier one.
const counterBits = 32

// tokenOf returns the fencing token of the leader that published a version.
func tokenOf(version uint64) uint64 { return version >> counterBits }

// FirstVersion returns the lowest version of the leader with the given fencing token.
func FirstVersion(token uint64) uint64 { return token << counterBits }

// Errors of Apply, ApplyUpdate and LoadSnapshot.
var (
	ErrStale = errors.New("directory: change is not later than the current version")
	ErrGap   = errors.New("directory: change does not follow the current version")
)

// Endpoint is one endpoint of a destination.
type Endpoint struct {
	ID          string
	Addr        string
	Zone, Kind  string
	Destination uint64
	Weight      float64
	State       pb.EndpointState
}

// Shard returns the shard of the endpoint's destination.
func (e *Endpoint) Shard() shard.ID { return shard.Of(e.Destination) }

// Proto returns the endpoint as a protocol buffer message.
func (e *Endpoint) Proto() *pb.Endpoint {
	return &pb.Endpoint{Id: e.ID, Destination: e.Destination, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Weight: e.Weight, State: e.State}
}

// EndpointFromProto returns the endpoint that a message describes.
func EndpointFromProto(m *pb.Endpoint) Endpoint {
	return Endpoint{ID: m.Id, Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Destination: m.Destination, Weight: m.Weight, State: m.State}
}

// Member is a sender that serves destinations.
type Member struct {
	Region string
	shard.Member
}

// proto returns the member as a record of a member that joined, or that left if gone is set.
func (m *Member) proto(gone bool) *pb.MemberRecord {
	return &pb.MemberRecord{Name: m.Name, Region: m.Region, Zone: m.Zone, Weight: m.Weight, Gone: gone}
}

// MemberFromProto returns the member that a record describes.
func MemberFromProto(r *pb.MemberRecord) Member {
	return Member{Region: r.Region, Member: shard.Member{Name: r.Name, Zone: r.Zone, Weight: r.Weight}}
}

// Change is the difference between two published versions, From and To.
type Change struct {
	From, To         uint64
	DiscoveryVersion uint64     // as of To
	Endpoints        []Endpoint // new and changed endpoints as of To, and removed ones in the state REMOVED
	Joined           []Member
	Left             []Member
}

func (c *Change) entryCount() int { return len(c.Endpoints) + len(c.Joined) + len(c.Left) }

// Directory is the directory as one control member holds it.
type Directory struct {
	version          uint64
	discoveryVersion uint64
	shards           [shard.Count][]Endpoint // by shard, sorted by endpoint ID, without removed endpoints
	endpointCount    int
	members          map[string]Member // by name
	changes          []Change          // the latest changes, without gaps
	logEntries       int               // endpoints and members in changes
	interned         map[string]string // zones and kinds, each stored once
}

// New returns an empty directory of version 0.
func New() *Directory { return &Directory{members: map[string]Member{}, interned: map[string]string{}} }

// Version returns the current version, 0 if nothing has been published or loaded yet.
func (d *Directory) Version() uint64 { return d.version }

// DiscoveryVersion returns the version of discovery that was published last, 0 if none was.
func (d *Directory) DiscoveryVersion() uint64 { return d.discoveryVersion }

// Len returns the number of endpoints.
func (d *Directory) Len() int { return d.endpointCount }

// Shard returns the endpoints of a shard, sorted by ID. They must not be changed.
func (d *Directory) Shard(id shard.ID) []Endpoint { return d.shards[id] }

// Members returns the members, by name. The map must not be changed.
func (d *Directory) Members() map[string]Member { return d.members }

// intern returns a stored copy of a string, so that equal zones and kinds share memory. Once 4096 strings are stored,
// it returns further ones as they are.
func (d *Directory) intern(text string) string {
	if interned, known := d.interned[text]; known {
		return interned
	}
	if len(d.interned) < 1<<12 {
		d.interned[text] = text
	}
	return text
}

// putEndpoint stores the new state of an endpoint, and reports whether it differs from the old one.
func (d *Directory) putEndpoint(e Endpoint) bool {
	list := d.shards[e.Shard()]
	index, found := slices.BinarySearchFunc(list, e.ID, func(x Endpoint, id string) int { return cmp.Compare(x.ID, id) })
	switch {
	case e.State == pb.EndpointState_REMOVED && !found:
		return false
	case e.State == pb.EndpointState_REMOVED:
		d.shards[e.Shard()] = slices.Delete(list, index, index+1)
		d.endpointCount--
		return true
	case found && list[index] == e:
		return false
	}
	e.Zone, e.Kind = d.intern(e.Zone), d.intern(e.Kind)
	if found {
		list[index] = e
		return true
	}
	d.shards[e.Shard()] = slices.Insert(list, index, e)
	d.endpointCount++
	return true
}

// Publish applies new states of endpoints and members on the leader, and returns the change that they make. Its version
// is the next one, but at least minVersion. Endpoints and members that stay the same are left out. The result is false
// if nothing differs and minVersion has been reached.
func (d *Directory) Publish(minVersion, discoveryVersion uint64, endpoints []Endpoint, joined, left []Member) (Change, bool) {
	c := Change{From: d.version, To: max(d.version+1, minVersion), DiscoveryVersion: discoveryVersion}
	for _, e := range endpoints {
		if d.putEndpoint(e) {
			c.Endpoints = append(c.Endpoints, e)
		}
	}
	for _, m := range left {
		if _, known := d.members[m.Name]; known {
			delete(d.members, m.Name)
			c.Left = append(c.Left, m)
		}
	}
	for _, m := range joined {
		d.putMember(m, &c)
	}
	if c.entryCount() == 0 && discoveryVersion == d.discoveryVersion && d.version >= minVersion {
		return Change{}, false
	}
	d.appendChange(c)
	return c, true
}

// putMember stores a member and adds it to a change if it differs; a member that was in another region also leaves
// there.
func (d *Directory) putMember(m Member, c *Change) {
	previous, known := d.members[m.Name]
	if known && previous == m {
		return
	}
	if known && previous.Region != m.Region {
		c.Left = append(c.Left, previous)
	}
	d.members[m.Name] = m
	c.Joined = append(c.Joined, m)
}

// appendChange adds to the log a change that has been applied, and advances the version to it. A change larger than the
// log's limit empties the log, so that subscribers get snapshots.
func (d *Directory) appendChange(c Change) {
	d.version, d.discoveryVersion = c.To, c.DiscoveryVersion
	if c.entryCount() > maxLogEntries {
		d.changes, d.logEntries = nil, 0
		return
	}
	d.changes = append(d.changes, c)
	d.logEntries += c.entryCount()
	dropped := 0
	for dropped < len(d.changes)-1 && (len(d.changes)-dropped > maxLogChanges || d.logEntries > maxLogEntries) {
		d.logEntries -= d.changes[dropped].entryCount()
		dropped++
	}
	if dropped > 0 {
		d.changes = append([]Change(nil), d.changes[dropped:]...)
	}
}

// Apply applies a change of the leader, and returns the change that it made here. It returns ErrStale if the change
// does not lead past the current version, and ErrGap if it does not start at it.
func (d *Directory) Apply(c Change) (Change, error) {
	switch {
	case c.To <= d.version:
		return Change{}, fmt.Errorf("%w: got version %d, current version %d", ErrStale, c.To, d.version)
	case c.From != d.version:
		return Change{}, fmt.Errorf("%w: got a change from version %d, current version %d", ErrGap, c.From, d.version)
	}
	applied := Change{From: c.From, To: c.To, DiscoveryVersion: c.DiscoveryVersion, Endpoints: c.Endpoints}
	for _, e := range c.Endpoints {
		d.putEndpoint(e)
	}
	for _, m := range c.Left {
		if previous, known := d.members[m.Name]; known {
			delete(d.members, m.Name)
			applied.Left = append(applied.Left, previous)
		}
	}
	for _, m := range c.Joined {
		d.putMember(m, &applied)
	}
	d.appendChange(applied)
	return applied, nil
}

// LoadSnapshot replaces the whole content by a snapshot, and returns the change from the old content to it, so that
// subscribers here need no snapshot in turn. It returns ErrStale if the snapshot is not later than the current version.
func (d *Directory) LoadSnapshot(version, discoveryVersion uint64, endpoints []Endpoint, members []Member) (Change, error) {
	if version <= d.version {
		return Change{}, fmt.Errorf("%w: got a snapshot of version %d, current version %d", ErrStale, version, d.version)
	}
	c := Change{From: d.version, To: version, DiscoveryVersion: discoveryVersion, Endpoints: d.Diff(endpoints)}
	for _, e := range c.Endpoints {
		d.putEndpoint(e)
	}
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Name] = true
		d.putMember(m, &c)
	}
	for name, m := range d.members {
		if !listed[name] {
			delete(d.members, name)
			c.Left = append(c.Left, m)
		}
	}
	d.appendChange(c)
	return c, nil
}

// Diff returns the changes from the current endpoints to a complete list: endpoints that are new or different, and
// those that the list lacks, as removed. Of several list entries of one endpoint the last applies.
func (d *Directory) Diff(list []Endpoint) (changed []Endpoint) {
	type key struct {
		id    string
		shard shard.ID
	}
	listed := make(map[key]int, len(list))
	for i := range list {
		listed[key{list[i].ID, list[i].Shard()}] = i
	}
	for i, e := range list {
		if e.State == pb.EndpointState_REMOVED || listed[key{e.ID, e.Shard()}] != i {
			continue
		}
		current := d.shards[e.Shard()]
		index, found := slices.BinarySearchFunc(current, e.ID, func(x Endpoint, id string) int { return cmp.Compare(x.ID, id) })
		if !found || current[index] != e {
			changed = append(changed, e)
		}
	}
	var removed []Endpoint
	for id := range d.shards {
		for _, e := range d.shards[id] {
			i, found := listed[key{e.ID, shard.ID(id)}]
			if !found || list[i].State == pb.EndpointState_REMOVED {
				e.State = pb.EndpointState_REMOVED
				removed = append(removed, e)
			}
		}
	}
	return append(removed, changed...) // removed first: an endpoint may have moved to another destination
}

// ChangesSince returns the changes after a version; the first one may repeat some that the version includes. The result
// is false if the version is 0 or later than the current one, if the log does not reach back to it, or if it lies
// within a change that spans versions of several leaders.
func (d *Directory) ChangesSince(version uint64) ([]Change, bool) {
	if version == 0 || version > d.version {
		return nil, false
	}
	if version == d.version {
		return nil, true
	}
	index, exact := slices.BinarySearchFunc(d.changes, version, func(c Change, v uint64) int { return cmp.Compare(c.From, v) })
	if exact {
		return d.changes[index:], true
	}
	if index == 0 {
		return nil, false
	}
	// The version lies within a change that was received as one. Each version of a leader includes all its earlier
	// ones, so sending the whole change again is correct, but only within the versions of one leader.
	containing := d.changes[index-1]
	if version >= containing.To || tokenOf(containing.From) != tokenOf(version) || tokenOf(containing.To) != tokenOf(version) {
		return nil, false
	}
	return d.changes[index-1:], true
}

// ApplyUpdate applies an update that a subscription to the leader returned, and returns the change that it made here.
// An update with all shards and members is loaded as a snapshot, any other applied as a change.
func (d *Directory) ApplyUpdate(a *AppliedUpdate) (Change, error) {
	if a.AllShards && a.AllMembers {
		return d.LoadSnapshot(a.To, a.DiscoveryVersion, a.Endpoints, a.Joined)
	}
	c := Change{From: a.From, To: a.To, DiscoveryVersion: a.DiscoveryVersion, Endpoints: a.Endpoints, Joined: a.Joined, Left: a.Left}
	return d.Apply(c)
}

// DestinationOf returns the destination of a known endpoint. It searches all shards, which is acceptable only for the
// rare list entries that name no destination.
func (d *Directory) DestinationOf(id string) (destination uint64, found bool) {
	for i := range d.shards {
		list := d.shards[i]
		index, found := slices.BinarySearchFunc(list, id, func(x Endpoint, id string) int { return cmp.Compare(x.ID, id) })
		if found {
			return list[index].Destination, true
		}
	}
	return 0, false
}
