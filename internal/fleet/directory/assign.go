package directory

import (
	"maps"

	"sliptide/internal/fleet/shard"
)

// This file keeps who holds and serves which shards.

// table is the assignment of a region, made when it is first asked for.
func (p *Publisher) table(region string) *shard.Table {
	if t := p.tables[region]; t != nil {
		return t
	}
	t := shard.NewTableWithShards(p.replicas, p.shards)
	var list []shard.Member
	for _, m := range p.dir.Members() {
		if m.Region == region {
			list = append(list, m.Member)
		}
	}
	t.Update(list, nil)
	p.tables[region] = t
	return t
}

// Changed takes a change that the directory has taken.
func (p *Publisher) ApplyChange(c Change) {
	for i := range c.Endpoints {
		for s := range p.byShard[c.Endpoints[i].Shard()] {
			p.dirty[s] = true
		}
	}
	type move struct {
		joined []shard.Member
		left   []string
	}
	regions := map[string]*move{}
	of := func(region string) *move {
		if regions[region] == nil {
			regions[region] = &move{}
		}
		return regions[region]
	}
	for _, m := range c.Left {
		of(m.Region).left = append(of(m.Region).left, m.Name)
	}
	for _, m := range c.Joined {
		of(m.Region).joined = append(of(m.Region).joined, m.Member)
	}
	for region, m := range regions {
		p.reassign(region, m.joined, m.left)
	}
	for _, s := range p.subs {
		if s.everything || regions[s.Region] != nil {
			p.dirty[s] = true
		}
	}
}

// reassign takes members of a region that came and went, and notes whose shards changed.
func (p *Publisher) reassign(region string, joined []shard.Member, left []string) {
	t := p.tables[region]
	if t == nil {
		return // it is made of the directory's members when it is needed
	}
	touched := map[string]bool{}
	for _, m := range joined {
		touched[m.Name] = true
	}
	for _, id := range t.Update(joined, left) {
		for s := range p.byShard[id] {
			touched[s.Name] = true
		}
		for _, name := range t.Replicas(id) {
			touched[name] = true
		}
	}
	for name := range touched {
		if s := p.subs[name]; s != nil && !s.everything && s.Region == region {
			p.assign(s)
		}
	}
}

// assign compares what a subscriber was told to serve with the table.
func (p *Publisher) assign(s *subscriber) {
	t := p.table(s.Region)
	if !t.Has(s.Name) {
		return // it is not known to have joined, or no longer: it goes on with what it has
	}
	// The first time it is told all: what it holds may be less, or more, than what it served.
	was := s.serves
	if !s.compared {
		was, s.compared = maps.Clone(s.shards), true
	}
	wanted := t.Shards(s.Name)
	serves := make(map[shard.ID]bool, len(wanted))
	for _, id := range wanted {
		serves[id] = true
		if s.serves[id] {
			continue
		}
		delete(s.unassigned, id)
		s.assigned[id] = true
		if !s.shards[id] {
			p.hold(s, id)
			s.lacks = append(s.lacks, id)
		}
	}
	for id := range was {
		if !serves[id] {
			delete(s.assigned, id)
			s.unassigned[id] = true
		}
	}
	s.serves = serves
	p.dirty[s] = true
}

func (p *Publisher) hold(s *subscriber, id shard.ID) {
	s.shards[id] = true
	if p.byShard[id] == nil {
		p.byShard[id] = map[*subscriber]bool{}
	}
	p.byShard[id][s] = true
}

func (p *Publisher) release(s *subscriber, id shard.ID) {
	delete(s.shards, id)
	delete(s.ahead, id)
	delete(p.byShard[id], s)
	if len(p.byShard[id]) == 0 {
		delete(p.byShard, id)
	}
}
