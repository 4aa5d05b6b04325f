package shard

import "slices"

// MaxReplicas is the maximum number of replicas of a shard.
const MaxReplicas = 5

// noMember stands for a missing replica of a shard, when there are too few members.
const noMember = -1

// Table is the assignment of all shards to the members of one region. It is not safe for concurrent use.
type Table struct {
	replicas      int
	members       []candidate    // unused elements have an empty name
	indexes       map[string]int // into members, by name
	freeIndexes   []int          // of unused elements of members
	zones         map[string]*zone
	shardReplicas [][]int32     // by shard: indexes of its replicas, the first choice first
	memberShards  []map[ID]bool // by index of the member: the shards that it serves
}

// zone holds the totals of one zone of a region.
type zone struct {
	weight      float64
	memberCount int
	underweight bool       // shards are not spread over it: see markUnderweightZones
	cheapest    memberCost // lowest cost in the zone of the shard being assigned
}

// NewTable returns a table without members that assigns the given number of replicas, 1 to MaxReplicas, to each shard.
func NewTable(replicas int) *Table { return NewTableWithShards(replicas, Count) }

// NewTableWithShards returns a table of the first shards, as many as given. Only models and tests use fewer than Count.
func NewTableWithShards(replicas, shards int) *Table {
	t := &Table{replicas: min(max(replicas, 1), MaxReplicas), indexes: map[string]int{}, zones: map[string]*zone{}}
	t.shardReplicas = make([][]int32, shards)
	backing := make([]int32, shards*t.replicas)
	for id := range t.shardReplicas {
		t.shardReplicas[id], backing = backing[:t.replicas:t.replicas], backing[t.replicas:]
		for i := range t.shardReplicas[id] {
			t.shardReplicas[id][i] = noMember
		}
	}
	return t
}

// Len returns the number of members.
func (t *Table) Len() int { return len(t.indexes) }

// Has reports whether the table contains a member.
func (t *Table) Has(name string) bool { _, found := t.indexes[name]; return found }

// Replicas returns the members that serve a shard, the first choice first. They are fewer than configured if there are
// too few members.
func (t *Table) Replicas(id ID) []string {
	var names []string
	for _, index := range t.shardReplicas[id] {
		if index != noMember {
			names = append(names, t.members[index].Name)
		}
	}
	return names
}

// Shards returns the shards that a member serves, in ascending order.
func (t *Table) Shards(name string) []ID {
	index, found := t.indexes[name]
	if !found {
		return nil
	}
	list := make([]ID, 0, len(t.memberShards[index]))
	for id := range t.memberShards[index] {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// Serves reports whether a member serves a shard.
func (t *Table) Serves(name string, id ID) bool {
	index, found := t.indexes[name]
	return found && t.memberShards[index][id]
}

// Update applies members that joined, or whose zone or weight changed, and names of members that left. It returns the
// shards whose replicas changed, in ascending order. Shards of a member whose zone or weight changed are included even
// if they keep their replicas.
func (t *Table) Update(joined []Member, left []string) []ID {
	moved := map[ID]bool{}
	zonesBefore := t.zoneStates()
	var incomplete []ID // shards that lost a replica
	for _, name := range left {
		incomplete = append(incomplete, t.remove(name)...)
	}
	var added []int
	for _, m := range joined {
		if index, found := t.indexes[m.Name]; found {
			if t.members[index].Member == m {
				continue
			}
			incomplete = append(incomplete, t.remove(m.Name)...)
		}
		added = append(added, t.add(m))
	}
	t.markUnderweightZones()
	if !slices.Equal(zonesBefore, t.zoneStates()) {
		for id := range t.shardReplicas {
			t.assign(ID(id), moved)
		}
	} else {
		for _, id := range incomplete {
			t.assign(id, moved)
		}
		t.assignAdded(added, moved)
	}
	list := make([]ID, 0, len(moved))
	for id := range moved {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// assignAdded assigns to new members the shards for which their costs are among the lowest. As long as no zone appears,
// vanishes or changes its underweight mark, a member that costs more than all replicas of a shard can't become one.
func (t *Table) assignAdded(added []int, moved map[ID]bool) {
	for id := range ID(len(t.shardReplicas)) {
		for _, index := range added {
			if t.members[index].Name == "" {
				continue
			}
			if t.beatsReplica(t.costOf(index, id), id) {
				t.assign(id, moved)
				break
			}
		}
	}
}

// beatsReplica reports whether a cost is lower than that of some replica of a shard, or a replica is missing.
func (t *Table) beatsReplica(cost memberCost, id ID) bool {
	for _, index := range t.shardReplicas[id] {
		if index == noMember || t.compareCosts(cost, t.costOf(int(index), id)) < 0 {
			return true
		}
	}
	return false
}

// add adds a member without assigning shards to it, and returns its index.
func (t *Table) add(m Member) int {
	z := t.zones[m.Zone]
	if z == nil {
		z = &zone{}
		t.zones[m.Zone] = z
	}
	c := newCandidate(m)
	c.zone = z
	z.weight += c.weight
	z.memberCount++
	index := len(t.members)
	if n := len(t.freeIndexes); n > 0 {
		index, t.freeIndexes = t.freeIndexes[n-1], t.freeIndexes[:n-1]
		t.members[index], t.memberShards[index] = c, map[ID]bool{}
	} else {
		t.members, t.memberShards = append(t.members, c), append(t.memberShards, map[ID]bool{})
	}
	t.indexes[m.Name] = index
	return index
}

// remove removes a member and returns the shards that it served. They lack a replica until they are assigned again.
func (t *Table) remove(name string) (lost []ID) {
	index, found := t.indexes[name]
	if !found {
		return nil
	}
	for id := range t.memberShards[index] {
		lost = append(lost, id)
		i := slices.Index(t.shardReplicas[id], int32(index))
		t.shardReplicas[id][i] = noMember
	}
	c := &t.members[index]
	c.zone.weight -= c.weight
	if c.zone.memberCount--; c.zone.memberCount == 0 {
		delete(t.zones, c.Zone)
	}
	delete(t.indexes, name)
	t.members[index], t.memberShards[index] = candidate{}, nil
	t.freeIndexes = append(t.freeIndexes, index)
	return lost
}

// markUnderweightZones marks zones with less than half of an even share of the region's weight. Shards are not spread
// over them: otherwise the last member of a zone, or the first that is back, would get a replica of every shard of the
// region.
func (t *Table) markUnderweightZones() {
	total := 0.0
	for _, z := range t.zones {
		total += z.weight
	}
	for _, z := range t.zones {
		z.underweight = z.weight < total/float64(len(t.zones))/2
	}
}

// zoneStates returns the zones with their underweight marks. If they change, every shard has to be assigned again.
func (t *Table) zoneStates() (list []string) {
	for name, z := range t.zones {
		mark := "+"
		if z.underweight {
			mark = "-"
		}
		list = append(list, mark+name)
	}
	slices.Sort(list)
	return list
}

// assign computes the replicas of a shard: the member with the lowest cost, then the lowest-cost members of zones that
// have no replica yet and are not underweight, then the lowest-cost members of the rest. It adds a shard whose replicas
// changed to moved.
func (t *Table) assign(id ID, moved map[ID]bool) {
	var buffer [MaxReplicas]memberCost // lowest costs of different zones, in ascending order
	found := t.cheapestPerZone(id, buffer[:0])
	found = t.fillFromAll(id, found)
	changed := false
	for i := range t.shardReplicas[id] {
		next := int32(noMember)
		if i < len(found) {
			next = int32(found[i].index)
		}
		if t.shardReplicas[id][i] != next {
			changed = true
		}
	}
	if !changed {
		return
	}
	moved[id] = true
	for i, index := range t.shardReplicas[id] {
		if index != noMember {
			delete(t.memberShards[index], id)
		}
		t.shardReplicas[id][i] = noMember
	}
	for i, replica := range found {
		t.shardReplicas[id][i] = int32(replica.index)
		t.memberShards[replica.index][id] = true
	}
}

// cheapestPerZone appends the lowest-cost member of all and the lowest-cost members of further zones that are not
// underweight, up to the number of replicas.
func (t *Table) cheapestPerZone(id ID, found []memberCost) []memberCost {
	for _, z := range t.zones {
		z.cheapest = memberCost{index: noMember}
	}
	for index := range t.members {
		if z := t.members[index].zone; z != nil {
			t.updateCheapest(&z.cheapest, index, id)
		}
	}
	var first *zone
	for _, z := range t.zones {
		if first == nil || t.compareCosts(z.cheapest, first.cheapest) < 0 {
			first = z
		}
	}
	if first == nil {
		return found
	}
	var rest []memberCost
	for _, z := range t.zones {
		if z != first && !z.underweight {
			rest = append(rest, z.cheapest)
		}
	}
	slices.SortFunc(rest, t.compareCosts)
	found = append(found, first.cheapest)
	return append(found, rest[:min(len(rest), t.replicas-1)]...)
}

// fillFromAll appends the lowest-cost members of all zones that are not replicas yet, up to the number of replicas.
func (t *Table) fillFromAll(id ID, found []memberCost) []memberCost {
	if len(found) == 0 || len(found) >= t.replicas || len(found) >= len(t.indexes) {
		return found
	}
	var rest []memberCost // the lowest costs, as many as replicas are missing
	missing := t.replicas - len(found)
	for index := range t.members {
		if t.members[index].Name == "" || slices.ContainsFunc(found, func(o memberCost) bool { return o.index == index }) {
			continue
		}
		cost := t.costOf(index, id)
		at, _ := slices.BinarySearchFunc(rest, cost, t.compareCosts)
		if at < missing {
			rest = slices.Insert(rest, at, cost)
			rest = rest[:min(len(rest), missing)]
		}
	}
	return append(found, rest...)
}

// Locator finds the replicas of single shards, for callers that need few of them: it stores members alone and computes
// the costs of all of them at each call of Replicas. It is not safe for concurrent use.
type Locator struct{ table Table }

// NewLocator returns a locator without members that finds the given number of replicas.
func NewLocator(replicas int) *Locator {
	return &Locator{Table{replicas: min(max(replicas, 1), MaxReplicas), indexes: map[string]int{}, zones: map[string]*zone{}}}
}

// Update applies members that joined or changed, and names of members that left.
func (l *Locator) Update(joined []Member, left []string) {
	for _, name := range left {
		l.table.remove(name)
	}
	for _, m := range joined {
		l.table.remove(m.Name)
		l.table.add(m)
	}
	l.table.markUnderweightZones()
}

// Len returns the number of members.
func (l *Locator) Len() int { return l.table.Len() }

// Names returns the names of all members, in no order.
func (l *Locator) Names() (names []string) {
	for name := range l.table.indexes {
		names = append(names, name)
	}
	return names
}

// Replicas returns the members that serve a shard, the same as a Table of these members does.
func (l *Locator) Replicas(id ID) (names []string) {
	for _, replica := range l.table.fillFromAll(id, l.table.cheapestPerZone(id, nil)) {
		names = append(names, l.table.members[replica.index].Name)
	}
	return names
}
