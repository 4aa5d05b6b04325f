// Package directory is what control members keep and hand out: all endpoints of all destinations, by shard, and the
// members that serve them, under one version that only grows. One control member leads and publishes; the others and
// the senders subscribe. A subscription begins with a snapshot and goes on by changes; after a break it goes on where
// the log of changes still reaches back, else by a snapshot again.
//
// The package is pure: no clock, no sockets, no goroutine. Times are nanoseconds on a monotonic clock of the caller.
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

// Bounds of the log of changes.
const (
	maxLogChanges = 1 << 16
	maxLogEntries = 1 << 18 // endpoints and members in all of them
)

// termBits is how many bits of a version count changes of one leader; those above are the leader's fencing token, so
// that a later leader's versions are higher than all of an earlier one's.
const termBits = 32

// term is the fencing token of the leader that published a version.
func term(version uint64) uint64 { return version >> termBits }

// FirstVersion is the lowest version of the leader with that fencing token.
func FirstVersion(token uint64) uint64 { return token << termBits }

// Errors of Apply.
var (
	ErrStale = errors.New("the change is of a version that is known already")
	ErrGap   = errors.New("the change does not follow the version that is known")
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

// Shard is the shard of the endpoint's destination.
func (e *Endpoint) Shard() shard.ID { return shard.Of(e.Destination) }

// Message is the endpoint as a message.
func (e *Endpoint) Proto() *pb.Endpoint {
	return &pb.Endpoint{Id: e.ID, Destination: e.Destination, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Weight: e.Weight, State: e.State}
}

// EndpointOf is the endpoint that a message tells.
func EndpointFromProto(m *pb.Endpoint) Endpoint {
	return Endpoint{ID: m.Id, Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Destination: m.Destination, Weight: m.Weight, State: m.State}
}

// Member is a sender that serves destinations.
type Member struct {
	Region string
	shard.Member
}

func (m *Member) message(gone bool) *pb.MemberRecord {
	return &pb.MemberRecord{Name: m.Name, Region: m.Region, Zone: m.Zone, Weight: m.Weight, Gone: gone}
}

// MemberOf is the member that a record tells.
func MemberFromProto(r *pb.MemberRecord) Member {
	return Member{Region: r.Region, Member: shard.Member{Name: r.Name, Zone: r.Zone, Weight: r.Weight}}
}

// Change is what became different from one version to the next that was published.
type Change struct {
	From, To         uint64
	DiscoveryVersion uint64 // of discovery, as of To
	Endpoints        []Endpoint
	Joined           []Member
	Left             []Member
}

func (c *Change) entries() int { return len(c.Endpoints) + len(c.Joined) + len(c.Left) }

// Directory is the state of one control member.
type Directory struct {
	version          uint64
	discoveryVersion uint64
	shards           [shard.Count][]Endpoint // by ID, without removed ones
	count            int
	members          map[string]Member
	log              []Change          // the latest, without holes
	logged           int               // entries in the log
	names            map[string]string // zones and kinds, each kept once
}

// New returns an empty directory of version 0.
func New() *Directory { return &Directory{members: map[string]Member{}, names: map[string]string{}} }

// Version is the version of what is held. 0: nothing has been held yet.
func (d *Directory) Version() uint64 { return d.version }

// Source is the version of discovery that was published last, 0 if none was.
func (d *Directory) DiscoveryVersion() uint64 { return d.discoveryVersion }

// Len is how many endpoints there are.
func (d *Directory) Len() int { return d.count }

// Shard are the endpoints of a shard, by ID. They must not be changed.
func (d *Directory) Shard(id shard.ID) []Endpoint { return d.shards[id] }

// Members are the members, by name. The map must not be changed.
func (d *Directory) Members() map[string]Member { return d.members }

func (d *Directory) intern(text string) string {
	if kept, known := d.names[text]; known {
		return kept
	}
	if len(d.names) < 1<<12 {
		d.names[text] = text
	}
	return text
}

// put enters an endpoint as it has become, and reports whether that is news.
func (d *Directory) put(e Endpoint) bool {
	list := d.shards[e.Shard()]
	at, there := slices.BinarySearchFunc(list, e.ID, func(x Endpoint, id string) int { return cmp.Compare(x.ID, id) })
	switch {
	case e.State == pb.EndpointState_REMOVED && !there:
		return false
	case e.State == pb.EndpointState_REMOVED:
		d.shards[e.Shard()] = slices.Delete(list, at, at+1)
		d.count--
		return true
	case there && list[at] == e:
		return false
	}
	e.Zone, e.Kind = d.intern(e.Zone), d.intern(e.Kind)
	if there {
		list[at] = e
		return true
	}
	d.shards[e.Shard()] = slices.Insert(list, at, e)
	d.count++
	return true
}

// Publish makes a change of what became different, as the member that leads. The version is the next one, but not under
// least. Endpoints and members that are as told already are left out; where nothing is left and least is reached, no
// change is made.
func (d *Directory) Publish(least, source uint64, endpoints []Endpoint, joined, left []Member) (Change, bool) {
	c := Change{From: d.version, To: max(d.version+1, least), DiscoveryVersion: source}
	for _, e := range endpoints {
		if d.put(e) {
			c.Endpoints = append(c.Endpoints, e)
		}
	}
	for _, m := range left {
		if _, there := d.members[m.Name]; there {
			delete(d.members, m.Name)
			c.Left = append(c.Left, m)
		}
	}
	for _, m := range joined {
		d.join(m, &c)
	}
	if c.entries() == 0 && source == d.discoveryVersion && d.version >= least {
		return Change{}, false
	}
	d.enter(c)
	return c, true
}

// join enters a member, and into a change what that is: one that was in another region has left there.
func (d *Directory) join(m Member, c *Change) {
	was, there := d.members[m.Name]
	if there && was == m {
		return
	}
	if there && was.Region != m.Region {
		c.Left = append(c.Left, was)
	}
	d.members[m.Name] = m
	c.Joined = append(c.Joined, m)
}

// enter appends a change that the state has taken. One that is larger than the whole log may be ends it: subscribers
// get snapshots then.
func (d *Directory) enter(c Change) {
	d.version, d.discoveryVersion = c.To, c.DiscoveryVersion
	if c.entries() > maxLogEntries {
		d.log, d.logged = nil, 0
		return
	}
	d.log = append(d.log, c)
	d.logged += c.entries()
	drop := 0
	for drop < len(d.log)-1 && (len(d.log)-drop > maxLogChanges || d.logged > maxLogEntries) {
		d.logged -= d.log[drop].entries()
		drop++
	}
	if drop > 0 {
		d.log = append([]Change(nil), d.log[drop:]...)
	}
}

// Apply takes a change of the member that leads, and returns what it made different here.
func (d *Directory) Apply(c Change) (Change, error) {
	switch {
	case c.To <= d.version:
		return Change{}, fmt.Errorf("%w: %d, known is %d", ErrStale, c.To, d.version)
	case c.From != d.version:
		return Change{}, fmt.Errorf("%w: from %d, known is %d", ErrGap, c.From, d.version)
	}
	made := Change{From: c.From, To: c.To, DiscoveryVersion: c.DiscoveryVersion, Endpoints: c.Endpoints}
	for _, e := range c.Endpoints {
		d.put(e)
	}
	for _, m := range c.Left {
		if was, there := d.members[m.Name]; there {
			delete(d.members, m.Name)
			made.Left = append(made.Left, was)
		}
	}
	for _, m := range c.Joined {
		d.join(m, &made)
	}
	d.enter(made)
	return made, nil
}

// Load replaces all that is held by a snapshot, and returns the change that leads there from what was held, so that
// subscribers here need no snapshot in their turn. A snapshot that is not later than what is held is ErrOld.
func (d *Directory) LoadSnapshot(version, source uint64, endpoints []Endpoint, members []Member) (Change, error) {
	if version <= d.version {
		return Change{}, fmt.Errorf("%w: a snapshot of %d, known is %d", ErrStale, version, d.version)
	}
	c := Change{From: d.version, To: version, DiscoveryVersion: source, Endpoints: d.Diff(endpoints)}
	for _, e := range c.Endpoints {
		d.put(e)
	}
	there := make(map[string]bool, len(members))
	for _, m := range members {
		there[m.Name] = true
		d.join(m, &c)
	}
	for name, m := range d.members {
		if !there[name] {
			delete(d.members, name)
			c.Left = append(c.Left, m)
		}
	}
	d.enter(c)
	return c, nil
}

// Difference is what has to be told to come from what is held to a whole list: endpoints that are new or different, and
// those that the list lacks, as removed.
//
// Of several lines of one endpoint the last holds.
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
		held := d.shards[e.Shard()]
		at, there := slices.BinarySearchFunc(held, e.ID, func(x Endpoint, id string) int { return cmp.Compare(x.ID, id) })
		if !there || held[at] != e {
			changed = append(changed, e)
		}
	}
	var removed []Endpoint
	for id := range d.shards {
		for _, e := range d.shards[id] {
			i, there := listed[key{e.ID, shard.ID(id)}]
			if !there || list[i].State == pb.EndpointState_REMOVED {
				e.State = pb.EndpointState_REMOVED
				removed = append(removed, e)
			}
		}
	}
	return append(removed, changed...) // removed first: an endpoint may have moved to another destination
}

// Since are the changes after a version; the first may hold some that the version has already. false: the log does not
// reach back to it, or the version is one of a leader of which this member has not heard all.
func (d *Directory) ChangesSince(version uint64) ([]Change, bool) {
	if version == 0 || version > d.version {
		return nil, false
	}
	if version == d.version {
		return nil, true
	}
	at, exact := slices.BinarySearchFunc(d.log, version, func(c Change, v uint64) int { return cmp.Compare(c.From, v) })
	if exact {
		return d.log[at:], true
	}
	if at == 0 {
		return nil, false
	}
	// Between the ends of a change that came as one. Of one leader's versions each holds all before it.
	between := d.log[at-1]
	if version >= between.To || term(between.From) != term(version) || term(between.To) != term(version) {
		return nil, false
	}
	return d.log[at-1:], true
}

// Take applies what a subscription to the member that leads has learned, and returns the change that it made.
func (d *Directory) ApplyUpdate(a *AppliedUpdate) (Change, error) {
	if a.AllShards && a.AllMembers {
		return d.LoadSnapshot(a.To, a.DiscoveryVersion, a.Endpoints, a.Joined)
	}
	c := Change{From: a.From, To: a.To, DiscoveryVersion: a.DiscoveryVersion, Endpoints: a.Endpoints, Joined: a.Joined, Left: a.Left}
	return d.Apply(c)
}

// Locate is the destination of an endpoint that is held, by a look at all of them; for the rare line that names none.
func (d *Directory) DestinationOf(id string) (destination uint64, held bool) {
	for i := range d.shards {
		list := d.shards[i]
		at, there := slices.BinarySearchFunc(list, id, func(x Endpoint, id string) int { return cmp.Compare(x.ID, id) })
		if there {
			return list[at].Destination, true
		}
	}
	return 0, false
}
