package directory

import (
	"maps"

	"sliptide/internal/fleet/shard"
)

// This file keeps who holds and serves which shards.

// table is the assignment of a region, made when it is first asked for.
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

// Changed takes a change that the directory has taken.
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

// reassign takes members of a region that came and went, and notes whose shards changed.
func (p *Publisher) reassign(region string, joined []shard.Member, left []string) {
	table := p.tables[region]
	if table == nil {
		return // it is made of the directory's members when it is needed
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

// assign compares what a subscriber was told to serve with the table.
func (p *Publisher) updateAssignment(s *subscriber) {
	table := p.regionTable(s.Region)
	if !table.Has(s.Name) {
		return // it is not known to have joined, or no longer: it goes on with what it has
	}
	// The first time it is told all: what it holds may be less, or more, than what it served.
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

func (p *Publisher) addShard(s *subscriber, id shard.ID) {
	s.heldShards[id] = true
	if p.shardSubscribers[id] == nil {
		p.shardSubscribers[id] = map[*subscriber]bool{}
	}
	p.shardSubscribers[id][s] = true
}

func (p *Publisher) removeShard(s *subscriber, id shard.ID) {
	delete(s.heldShards, id)
	delete(s.snapshotVersions, id)
	delete(p.shardSubscribers[id], s)
	if len(p.shardSubscribers[id]) == 0 {
		delete(p.shardSubscribers, id)
	}
}
