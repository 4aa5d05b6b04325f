package directory

import (
	"sliptide/internal/fleet/pb"
)

// This file sends updates to subscribers, up to maxUnackedUpdates each.

// Tick advances the time: it sends subscribers their pending updates, or a heartbeat, and drops subscribers that have
// stopped acknowledging. It is to be called about ten times a second.
func (p *Publisher) Tick(now int64) {
	p.now = now
	for name, s := range p.subscribers {
		switch {
		case now-s.heardAt > int64(subscriberTimeout):
			p.removeSubscriber(name)
		case now-s.sentAt >= int64(heartbeatInterval):
			p.dirty[s] = true
		}
	}
	for s := range p.dirty {
		if p.sendPending(s) {
			delete(p.dirty, s)
		}
	}
}

// sendPending sends a subscriber updates up to maxUnackedUpdates, and reports whether nothing is left to be sent now.
func (p *Publisher) sendPending(s *subscriber) bool {
	for s.seq-s.ackedSeq < maxUnackedUpdates {
		switch {
		case len(s.pendingSnapshots) > 0 || s.fullSnapshot || s.updateOpen:
			p.sendSnapshots(s)
		case len(s.pendingUnassigned) > 0 || len(s.pendingAssigned) > 0 || s.scannedVersion < p.dir.Version():
			if !p.sendChanges(s) {
				return true
			}
		case p.now-s.sentAt >= int64(heartbeatInterval):
			p.sendUpdate(s, &pb.Update{From: s.version, To: s.scannedVersion})
		default:
			return true
		}
	}
	return false // an acknowledgement makes room for further updates
}

// sendUpdate numbers an update and queues its frame.
func (p *Publisher) sendUpdate(s *subscriber, u *pb.Update) {
	s.seq++
	u.Id, u.Seq = s.id, s.seq
	s.sentAt = p.now
	if !u.Part {
		s.version, s.scannedVersion = u.To, max(s.scannedVersion, u.To)
	}
	p.outbox = append(p.outbox, OutFrame{s.Name, &pb.Frame{What: &pb.Frame_Update{Update: u}}})
}

// sendSnapshots sends the next part of an update that carries the pending snapshots of a subscriber. Each shard's
// snapshot is taken when it is sent. The update ends with all changes since its start that the snapshots do not
// contain, so that the subscriber then holds exactly what was published at one version.
func (p *Publisher) sendSnapshots(s *subscriber) {
	u := &pb.Update{From: s.version, To: s.version, Source: p.dir.DiscoveryVersion()}
	entries := 0
	if s.fullSnapshot && !s.updateOpen {
		entries = p.addAllMembers(s, u)
	}
	for len(s.pendingSnapshots) > 0 && entries < p.maxEntries {
		id := s.pendingSnapshots[0]
		s.pendingSnapshots = s.pendingSnapshots[1:]
		if !s.everything && !s.heldShards[id] {
			continue // released since it was queued
		}
		s.snapshotVersions[id] = p.dir.Version()
		u.Snapshot = append(u.Snapshot, uint32(id))
		for _, e := range p.dir.Shard(id) {
			u.Endpoints = append(u.Endpoints, e.Proto())
			entries++
		}
	}
	if u.Part = len(s.pendingSnapshots) > 0; !u.Part {
		if _, complete := p.addChanges(s, u, entries); !complete {
			p.queueFullSnapshot(s)
			return
		}
		u.Part = s.scannedVersion < p.dir.Version()
	}
	s.updateOpen = u.Part
	if !u.Part {
		u.To, s.fullSnapshot = s.scannedVersion, false
		clear(s.snapshotVersions)
		p.addAssignments(s, u)
	}
	p.sendUpdate(s, u)
}

// addAllMembers adds all members that a subscriber is to know, and returns their number.
func (p *Publisher) addAllMembers(s *subscriber, u *pb.Update) int {
	u.AllMembers, u.AllShards = true, true
	for _, m := range p.dir.Members() {
		if p.includesMember(s, &m) {
			u.Members = append(u.Members, m.proto(false))
		}
	}
	return len(u.Members)
}

// addChanges adds changes that a subscriber has not been sent, at least one, until the update is full; used is the
// number of entries that it has already. complete is false if the log does not reach back far enough.
func (p *Publisher) addChanges(s *subscriber, u *pb.Update, used int) (entries int, complete bool) {
	changes, complete := p.dir.ChangesSince(s.scannedVersion)
	for i := range changes {
		entries += p.addChange(s, u, &changes[i])
		s.scannedVersion = changes[i].To
		if used+entries >= p.maxEntries {
			break
		}
	}
	return entries, complete
}

// includesMember reports whether the updates of a subscriber include a member.
func (p *Publisher) includesMember(s *subscriber, m *Member) bool {
	return s.everything || s.Region == m.Region
}

// addAssignments moves the pending assignments of a subscriber to an update.
func (p *Publisher) addAssignments(s *subscriber, u *pb.Update) {
	for id := range s.pendingAssigned {
		u.Assigned = append(u.Assigned, uint32(id))
	}
	for id := range s.pendingUnassigned {
		u.Unassigned = append(u.Unassigned, uint32(id))
	}
	clear(s.pendingAssigned)
	clear(s.pendingUnassigned)
}

// sendChanges sends the changes that the log holds for a subscriber, with its pending assignments. It returns false if
// there is nothing to send. A subscriber so slow that the log no longer reaches back to its version is scheduled for a
// full snapshot instead.
func (p *Publisher) sendChanges(s *subscriber) bool {
	u := &pb.Update{From: s.version, Source: p.dir.DiscoveryVersion()}
	entries, complete := p.addChanges(s, u, 0)
	if !complete {
		p.queueFullSnapshot(s)
		return true
	}
	u.To = s.scannedVersion
	p.addAssignments(s, u)
	if entries == 0 && len(u.Assigned) == 0 && len(u.Unassigned) == 0 && !s.everything {
		return false // the next heartbeat carries the version
	}
	p.sendUpdate(s, u)
	return true
}

// addChange adds the entries of a change that concern a subscriber to an update, and returns their number.
func (p *Publisher) addChange(s *subscriber, u *pb.Update, c *Change) (entries int) {
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		id := e.Shard()
		if (s.everything || s.heldShards[id]) && s.snapshotVersions[id] < c.To {
			u.Endpoints = append(u.Endpoints, e.Proto())
			entries++
		}
	}
	for i := range c.Left {
		if p.includesMember(s, &c.Left[i]) {
			u.Members = append(u.Members, c.Left[i].proto(true))
			entries++
		}
	}
	for i := range c.Joined {
		if p.includesMember(s, &c.Joined[i]) {
			u.Members = append(u.Members, c.Joined[i].proto(false))
			entries++
		}
	}
	return entries
}
