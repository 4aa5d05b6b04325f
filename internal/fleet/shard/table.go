package shard

import "slices"

// MaxReplicas is how many replicas a shard has at most.
const MaxReplicas = 5

// absent stands for a replica that a shard lacks, where there are too few members.
const absent = -1

// Table is the assignment of all shards to the members of one region. It is not safe for concurrent use.
type Table struct {
	replicas int
	members  []candidate    // a free place has an empty name
	places   map[string]int // of members, by name
	free     []int
	zones    map[string]*zone
	assigned [][]int32 // by shard: the places of its replicas, the cheapest first
	byMember []map[ID]bool
}

// zone is one zone of a region.
type zone struct {
	weight  float64
	members int
	thin    bool  // too small to be spread over
	best    offer // of the shard that is looked at
}

// NewTable returns a table without members in which each shard gets so many replicas: 1 to MaxReplicas.
func NewTable(replicas int) *Table { return NewTableWithShards(replicas, Count) }

// NewTableOf is NewTable of the first so many shards alone, for models: the others are nobody's.
func NewTableWithShards(replicas, shards int) *Table {
	t := &Table{replicas: min(max(replicas, 1), MaxReplicas), places: map[string]int{}, zones: map[string]*zone{}}
	t.assigned = make([][]int32, shards)
	cells := make([]int32, shards*t.replicas)
	for id := range t.assigned {
		t.assigned[id], cells = cells[:t.replicas:t.replicas], cells[t.replicas:]
		for i := range t.assigned[id] {
			t.assigned[id][i] = absent
		}
	}
	return t
}

// Len is how many members there are.
func (t *Table) Len() int { return len(t.places) }

// Has reports whether a member is there.
func (t *Table) Has(name string) bool { _, there := t.places[name]; return there }

// Replicas are the members that serve a shard, the first choice first. There are fewer than asked for where there are
// too few members.
func (t *Table) Replicas(id ID) []string {
	var names []string
	for _, place := range t.assigned[id] {
		if place != absent {
			names = append(names, t.members[place].Name)
		}
	}
	return names
}

// Shards are the shards that a member serves, in order.
func (t *Table) Shards(name string) []ID {
	place, there := t.places[name]
	if !there {
		return nil
	}
	list := make([]ID, 0, len(t.byMember[place]))
	for id := range t.byMember[place] {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// Serves reports whether a member serves a shard.
func (t *Table) Serves(name string, id ID) bool {
	place, there := t.places[name]
	return there && t.byMember[place][id]
}

// Update takes members that joined, or whose zone or weight changed, and names of members that left, and returns the
// shards whose replicas changed, in order.
func (t *Table) Update(joined []Member, left []string) []ID {
	moved := map[ID]bool{}
	thinBefore := t.thinZones()
	var stale []ID // shards that lost a replica
	for _, name := range left {
		stale = append(stale, t.remove(name)...)
	}
	var fresh []int
	for _, m := range joined {
		if place, there := t.places[m.Name]; there {
			if t.members[place].Member == m {
				continue
			}
			stale = append(stale, t.remove(m.Name)...)
		}
		fresh = append(fresh, t.add(m))
	}
	t.weighZones()
	if !slices.Equal(thinBefore, t.thinZones()) {
		for id := range t.assigned {
			t.assign(ID(id), moved)
		}
	} else {
		for _, id := range stale {
			t.assign(id, moved)
		}
		t.offerTo(fresh, moved)
	}
	list := make([]ID, 0, len(moved))
	for id := range moved {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// offerTo gives the new members the shards that they are among the cheapest for. While no zone appears or changes its
// size for the spread, a member that is dearer than all replicas of a shard can't become one.
func (t *Table) offerTo(fresh []int, moved map[ID]bool) {
	for id := range ID(len(t.assigned)) {
		for _, place := range fresh {
			if t.members[place].Name == "" {
				continue
			}
			if t.beatsOne(t.offer(place, id), id) {
				t.assign(id, moved)
				break
			}
		}
	}
}

// beatsOne reports whether an offer is better than some replica of a shard, or one is missing.
func (t *Table) beatsOne(o offer, id ID) bool {
	for _, place := range t.assigned[id] {
		if place == absent || t.compare(o, t.offer(int(place), id)) < 0 {
			return true
		}
	}
	return false
}

func (t *Table) add(m Member) int {
	z := t.zones[m.Zone]
	if z == nil {
		z = &zone{}
		t.zones[m.Zone] = z
	}
	c := newCandidate(m)
	c.zone = z
	z.weight += c.weight
	z.members++
	place := len(t.members)
	if n := len(t.free); n > 0 {
		place, t.free = t.free[n-1], t.free[:n-1]
		t.members[place], t.byMember[place] = c, map[ID]bool{}
	} else {
		t.members, t.byMember = append(t.members, c), append(t.byMember, map[ID]bool{})
	}
	t.places[m.Name] = place
	return place
}

// remove takes a member out and returns the shards that it served, which lack a replica until they are assigned anew.
func (t *Table) remove(name string) (lost []ID) {
	place, there := t.places[name]
	if !there {
		return nil
	}
	for id := range t.byMember[place] {
		lost = append(lost, id)
		i := slices.Index(t.assigned[id], int32(place))
		t.assigned[id][i] = absent
	}
	c := &t.members[place]
	c.zone.weight -= c.weight
	if c.zone.members--; c.zone.members == 0 {
		delete(t.zones, c.Zone)
	}
	delete(t.places, name)
	t.members[place], t.byMember[place] = candidate{}, nil
	t.free = append(t.free, place)
	return lost
}

// weighZones marks zones that have less than half of an even share of the region's weight. Shards are not spread over
// them: the last member of a zone, or the first that is back, would else get a replica of every shard of the region.
func (t *Table) weighZones() {
	total := 0.0
	for _, z := range t.zones {
		total += z.weight
	}
	for _, z := range t.zones {
		z.thin = z.weight < total/float64(len(t.zones))/2
	}
}

// thinZones describes the zones for the spread: a change means that every shard is to be looked at.
func (t *Table) thinZones() (list []string) {
	for name, z := range t.zones {
		mark := "+"
		if z.thin {
			mark = "-"
		}
		list = append(list, mark+name)
	}
	slices.Sort(list)
	return list
}

// assign works out the replicas of a shard: the member to which it is cheapest, then the cheapest ones of zones that
// have no replica yet and are not thin, then the cheapest of the rest.
func (t *Table) assign(id ID, moved map[ID]bool) {
	var best [MaxReplicas]offer // of different zones, the cheapest first
	found := t.spread(id, best[:0])
	found = t.fill(id, found)
	changed := false
	for i := range t.assigned[id] {
		next := int32(absent)
		if i < len(found) {
			next = int32(found[i].member)
		}
		if t.assigned[id][i] != next {
			changed = true
		}
	}
	if !changed {
		return
	}
	moved[id] = true
	for i, place := range t.assigned[id] {
		if place != absent {
			delete(t.byMember[place], id)
		}
		t.assigned[id][i] = absent
	}
	for i, o := range found {
		t.assigned[id][i] = int32(o.member)
		t.byMember[o.member][id] = true
	}
}

// spread finds the cheapest member and the cheapest of each further zone, as many as there are to be replicas.
func (t *Table) spread(id ID, found []offer) []offer {
	for _, z := range t.zones {
		z.best = offer{member: absent}
	}
	for place := range t.members {
		if z := t.members[place].zone; z != nil {
			t.better(&z.best, place, id)
		}
	}
	var first *zone
	for _, z := range t.zones {
		if first == nil || t.compare(z.best, first.best) < 0 {
			first = z
		}
	}
	if first == nil {
		return found
	}
	var rest []offer
	for _, z := range t.zones {
		if z != first && !z.thin {
			rest = append(rest, z.best)
		}
	}
	slices.SortFunc(rest, t.compare)
	found = append(found, first.best)
	return append(found, rest[:min(len(rest), t.replicas-1)]...)
}

// fill adds the cheapest of all members that are not replicas yet.
func (t *Table) fill(id ID, found []offer) []offer {
	if len(found) == 0 || len(found) >= t.replicas || len(found) >= len(t.places) {
		return found
	}
	var rest []offer // the cheapest, as many as are missing
	missing := t.replicas - len(found)
	for place := range t.members {
		if t.members[place].Name == "" || slices.ContainsFunc(found, func(o offer) bool { return o.member == place }) {
			continue
		}
		o := t.offer(place, id)
		at, _ := slices.BinarySearchFunc(rest, o, t.compare)
		if at < missing {
			rest = slices.Insert(rest, at, o)
			rest = rest[:min(len(rest), missing)]
		}
	}
	return append(found, rest...)
}

// Locator finds the replicas of single shards among members that come and go, for whoever needs few of them: it keeps
// members alone, and looks at all of them for each shard that is asked for. It is not safe for concurrent use.
type Locator struct{ table Table }

// NewLocator returns a locator without members that finds so many replicas.
func NewLocator(replicas int) *Locator {
	return &Locator{Table{replicas: min(max(replicas, 1), MaxReplicas), places: map[string]int{}, zones: map[string]*zone{}}}
}

// Update takes members that joined or changed, and names of members that left.
func (l *Locator) Update(joined []Member, left []string) {
	for _, name := range left {
		l.table.remove(name)
	}
	for _, m := range joined {
		l.table.remove(m.Name)
		l.table.add(m)
	}
	l.table.weighZones()
}

// Len is how many members there are.
func (l *Locator) Len() int { return l.table.Len() }

// Names are all members.
func (l *Locator) Names() (names []string) {
	for name := range l.table.places {
		names = append(names, name)
	}
	return names
}

// Replicas are the members that serve a shard, as a Table of the same members says.
func (l *Locator) Replicas(id ID) (names []string) {
	for _, o := range l.table.fill(id, l.table.spread(id, nil)) {
		names = append(names, l.table.members[o.member].Name)
	}
	return names
}
