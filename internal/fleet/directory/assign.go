package directory

import (
	"maps"

	"sliptide/internal/fleet/shard"
)

// This file tracks which subscribers hold and serve which shards.

// regionTable returns the shard assignment of a region and creates it on first use.
func (p *Publisher) regionTable(region string) *shard.Table {
	if table := p.tables[region]; table != nil {
		return table
	}
	table := shard.NewTableWithShards(p.replicas, p.shardCount)
	var members []shard.Member
	for _, m := range p.dir.Members() {
		if m.Region == region {
			members = append(members, m.Member)
		}
	}
	table.Update(members, nil)
	p.tables[region] = table
	return table
}

// ApplyChange updates assignments after a change of the directory and marks the subscribers that it concerns as dirty.
func (p *Publisher) ApplyChange(c Change) {
	for i := range c.Endpoints {
		for s := range p.shardSubscribers[c.Endpoints[i].Shard()] {
			p.dirty[s] = true
		}
	}
	type regionChange struct {
		joined []shard.Member
		left   []string
	}
	regions := map[string]*regionChange{}
	changeOf := func(region string) *regionChange {
		if regions[region] == nil {
			regions[region] = &regionChange{}
		}
		return regions[region]
	}
	for _, m := range c.Left {
		changeOf(m.Region).left = append(changeOf(m.Region).left, m.Name)
	}
	for _, m := range c.Joined {
		changeOf(m.Region).joined = append(changeOf(m.Region).joined, m.Member)
	}
	for region, change := range regions {
		p.reassign(region, change.joined, change.left)
	}
	for _, s := range p.subscribers {
		if s.everything || regions[s.Region] != nil {
			p.dirty[s] = true
		}
	}
}

// reassign updates the table of a region for members that joined and left, and the assignments of the members whose
// shards changed.
func (p *Publisher) reassign(region string, joined []shard.Member, left []string) {
	table := p.tables[region]
	if table == nil {
		return // the table is built from the directory's members on first use
	}
	affected := map[string]bool{}
	for _, m := range joined {
		affected[m.Name] = true
	}
	for _, id := range table.Update(joined, left) {
		for s := range p.shardSubscribers[id] {
			affected[s.Name] = true
		}
		for _, name := range table.Replicas(id) {
			affected[name] = true
		}
	}
	for name := range affected {
		if s := p.subscribers[name]; s != nil && !s.everything && s.Region == region {
			p.updateAssignment(s)
		}
	}
}

// updateAssignment compares the shards that a subscriber serves with the table, and records those that are to be
// assigned to it and unassigned from it.
func (p *Publisher) updateAssignment(s *subscriber) {
	table := p.regionTable(s.Region)
	if !table.Has(s.Name) {
		return // the subscriber has not joined yet or has left: its assignment stays as it is
	}
	// The first comparison of a subscription reports all shards, since the subscriber may hold more or fewer than it
	// served.
	before := s.servedShards
	if !s.assignmentCompared {
		before, s.assignmentCompared = maps.Clone(s.heldShards), true
	}
	desired := table.Shards(s.Name)
	serves := make(map[shard.ID]bool, len(desired))
	for _, id := range desired {
		serves[id] = true
		if s.servedShards[id] {
			continue
		}
		delete(s.pendingUnassigned, id)
		s.pendingAssigned[id] = true
		if !s.heldShards[id] {
			p.addShard(s, id)
			s.pendingSnapshots = append(s.pendingSnapshots, id)
		}
	}
	for id := range before {
		if !serves[id] {
			delete(s.pendingAssigned, id)
			s.pendingUnassigned[id] = true
		}
	}
	s.servedShards = serves
	p.dirty[s] = true
}

// addShard records that a subscriber holds a shard.
func (p *Publisher) addShard(s *subscriber, id shard.ID) {
	s.heldShards[id] = true
	if p.shardSubscribers[id] == nil {
		p.shardSubscribers[id] = map[*subscriber]bool{}
	}
	p.shardSubscribers[id][s] = true
}

// removeShard records that a subscriber no longer holds a shard.
func (p *Publisher) removeShard(s *subscriber, id shard.ID) {
	delete(s.heldShards, id)
	delete(s.snapshotVersions, id)
	delete(p.shardSubscribers[id], s)
	if len(p.shardSubscribers[id]) == 0 {
		delete(p.shardSubscribers, id)
	}
}
