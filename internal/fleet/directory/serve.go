package directory

import (
	"sliptide/internal/fleet/pb"
)

// This file sends subscribers what they lack, as far as their windows allow.

// Tick tells the time: subscribers get what is new for them, as far as their windows allow, or a heartbeat, and silent
// ones are dropped. It is due some ten times a second.
func (p *Publisher) Tick(now int64) {
	p.now = now
	for name, s := range p.subs {
		switch {
		case now-s.heardAt > int64(expireAfter):
			p.drop(name)
		case now-s.sentAt >= int64(heartbeatEvery):
			p.dirty[s] = true
		}
	}
	for s := range p.dirty {
		if p.serve(s) {
			delete(p.dirty, s)
		}
	}
}

// serve sends a subscriber what its window allows, and reports whether nothing is left to be sent now.
func (p *Publisher) serve(s *subscriber) bool {
	for s.seq-s.acked < window {
		switch {
		case len(s.lacks) > 0 || s.whole || s.middle:
			p.sendSnapshots(s)
		case len(s.unassigned) > 0 || len(s.assigned) > 0 || s.scanned < p.dir.Version():
			if !p.sendChanges(s) {
				return true
			}
		case p.now-s.sentAt >= int64(heartbeatEvery):
			p.send(s, &pb.Update{From: s.version, To: s.scanned})
		default:
			return true
		}
	}
	return false // its acknowledgement brings it back
}

func (p *Publisher) send(s *subscriber, u *pb.Update) {
	s.seq++
	u.Id, u.Seq = s.id, s.seq
	s.sentAt = p.now
	if !u.Part {
		s.version, s.scanned = u.To, max(s.scanned, u.To)
	}
	p.out = append(p.out, OutFrame{s.Name, &pb.Frame{What: &pb.Frame_Update{Update: u}}})
}

// sendSnapshots sends the next part of an update that brings snapshots of the shards that a subscriber lacks. A shard's
// snapshot is of the moment in which it is sent; the update ends with all changes since it began that the snapshots do
// not hold, so that what the subscriber has then is what was published at one version.
func (p *Publisher) sendSnapshots(s *subscriber) {
	u := &pb.Update{From: s.version, To: s.version, Source: p.dir.DiscoveryVersion()}
	entries := 0
	if s.whole && !s.middle {
		entries = p.addAllMembers(s, u)
	}
	for len(s.lacks) > 0 && entries < p.part {
		id := s.lacks[0]
		s.lacks = s.lacks[1:]
		if !s.everything && !s.shards[id] {
			continue // released meanwhile
		}
		s.ahead[id] = p.dir.Version()
		u.Snapshot = append(u.Snapshot, uint32(id))
		for _, e := range p.dir.Shard(id) {
			u.Endpoints = append(u.Endpoints, e.Proto())
			entries++
		}
	}
	if u.Part = len(s.lacks) > 0; !u.Part {
		if _, reaches := p.addChanges(s, u, entries); !reaches {
			p.restart(s)
			return
		}
		u.Part = s.scanned < p.dir.Version()
	}
	s.middle = u.Part
	if !u.Part {
		u.To, s.whole = s.scanned, false
		clear(s.ahead)
		p.tellAssigned(s, u)
	}
	p.send(s, u)
}

// addAllMembers adds all members that a subscriber is told of, and returns how many these are.
func (p *Publisher) addAllMembers(s *subscriber, u *pb.Update) int {
	u.AllMembers, u.AllShards = true, true
	for _, m := range p.dir.Members() {
		if p.tells(s, &m) {
			u.Members = append(u.Members, m.message(false))
		}
	}
	return len(u.Members)
}

// addChanges adds the changes that a subscriber has not been sent, as many as an update of which so many entries are
// used has room for, one at least; false: the log does not reach back as far.
func (p *Publisher) addChanges(s *subscriber, u *pb.Update, used int) (entries int, reaches bool) {
	changes, reaches := p.dir.ChangesSince(s.scanned)
	for i := range changes {
		entries += p.addChange(s, u, &changes[i])
		s.scanned = changes[i].To
		if used+entries >= p.part {
			break
		}
	}
	return entries, reaches
}

// tells reports whether a subscriber is told of a member.
func (p *Publisher) tells(s *subscriber, m *Member) bool { return s.everything || s.Region == m.Region }

func (p *Publisher) tellAssigned(s *subscriber, u *pb.Update) {
	for id := range s.assigned {
		u.Assigned = append(u.Assigned, uint32(id))
	}
	for id := range s.unassigned {
		u.Unassigned = append(u.Unassigned, uint32(id))
	}
	clear(s.assigned)
	clear(s.unassigned)
}

// sendChanges sends what the log holds for a subscriber, and reports whether there was something. Where the log does not
// reach back as far, the subscriber has been too slow: it gets a snapshot.
func (p *Publisher) sendChanges(s *subscriber) bool {
	u := &pb.Update{From: s.version, Source: p.dir.DiscoveryVersion()}
	entries, reaches := p.addChanges(s, u, 0)
	if !reaches {
		p.restart(s)
		return true
	}
	u.To = s.scanned
	p.tellAssigned(s, u)
	if entries == 0 && len(u.Assigned) == 0 && len(u.Unassigned) == 0 && !s.everything {
		return false // the next heartbeat tells the version
	}
	p.send(s, u)
	return true
}

// addChange adds to an update what a change holds for a subscriber, and returns how many entries that is.
func (p *Publisher) addChange(s *subscriber, u *pb.Update, c *Change) (entries int) {
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		id := e.Shard()
		if (s.everything || s.shards[id]) && s.ahead[id] < c.To {
			u.Endpoints = append(u.Endpoints, e.Proto())
			entries++
		}
	}
	for i := range c.Left {
		if p.tells(s, &c.Left[i]) {
			u.Members = append(u.Members, c.Left[i].message(true))
			entries++
		}
	}
	for i := range c.Joined {
		if p.tells(s, &c.Joined[i]) {
			u.Members = append(u.Members, c.Joined[i].message(false))
			entries++
		}
	}
	return entries
}
