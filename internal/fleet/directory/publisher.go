package directory

import (
	"maps"
	"slices"
	"time"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/shard"
)

// Limits of a subscription, as the publisher keeps it.
const (
	maxUnackedUpdates = 4               // unacknowledged updates of one subscriber
	maxUpdateEntries  = 2000            // endpoints and members at which an update is full, about 250 KB
	heartbeatInterval = time.Second     // a subscriber gets an update, which it acknowledges, at least this often
	subscriberTimeout = 4 * time.Second // a subscriber without an acknowledgement for longer is dropped
)

// OutFrame is a frame to be sent to the member To.
type OutFrame struct {
	To    string
	Frame *pb.Frame
}

// subscriber is the publisher's state of one subscription. It has no queue of updates: scannedVersion is the position
// in the change log up to which changes have been sent, and pendingSnapshots lists the shards still to be sent in full.
type subscriber struct {
	Member
	id                 uint64
	everything         bool                // all shards and regions: a control member
	seq                uint64              // number of the last update sent
	ackedSeq           uint64              // number of the last update acknowledged
	ackNumber          uint64              // number of its last acknowledgement, which reveals late duplicates
	heardAt            int64               // time of the subscribe request or of the last acknowledgement
	sentAt             int64               // time of the last update
	version            uint64              // last version sent in a complete update
	scannedVersion     uint64              // the log up to here holds nothing more for the subscriber
	heldShards         map[shard.ID]bool   // shards that the subscriber holds or is being sent
	servedShards       map[shard.ID]bool   // shards that have been assigned to it in this subscription
	assignmentCompared bool                // servedShards has been compared with the table
	pendingSnapshots   []shard.ID          // shards whose snapshots are still to be sent
	fullSnapshot       bool                // the next update replaces all shards and members that the subscriber holds
	updateOpen         bool                // parts of an update have been sent and others follow
	snapshotVersions   map[shard.ID]uint64 // versions of the snapshots in the open update
	pendingAssigned    map[shard.ID]bool   // to be reported by the update that completes the snapshots
	pendingUnassigned  map[shard.ID]bool
}

// Publisher sends a directory to subscribers. Each update takes a subscriber from one version to a later one, or to the
// same one with other shards, completely or not at all.
type Publisher struct {
	// DisabledChecks disables safety checks in tests that verify that their absence is detected.
	DisabledChecks PublisherCheck

	dir              *Directory
	replicas         int
	maxEntries       int // entries at which an update is full; the last shard or change added may exceed it
	shardCount       int
	now              int64
	outbox           []OutFrame
	subscribers      map[string]*subscriber            // by name
	shardSubscribers map[shard.ID]map[*subscriber]bool // subscribers that hold a shard
	tables           map[string]*shard.Table           // by region
	dirty            map[*subscriber]bool              // subscribers for which an update may be due
}

// PublisherCheck is a safety check of a Publisher that tests can disable.
type PublisherCheck uint

// CheckNotBehind refuses subscribers that hold a later version than this control member.
const CheckNotBehind PublisherCheck = 1 << iota

// NewPublisher returns a publisher of a directory that assigns each shard to the given number of replicas in each
// region.
func NewPublisher(dir *Directory, replicas int) *Publisher {
	return &Publisher{dir: dir, replicas: replicas, maxEntries: maxUpdateEntries, shardCount: shard.Count, subscribers: map[string]*subscriber{}, shardSubscribers: map[shard.ID]map[*subscriber]bool{},
		tables: map[string]*shard.Table{}, dirty: map[*subscriber]bool{}}
}

// TakeFrames returns the frames to be sent, in order, and empties the outbox.
func (p *Publisher) TakeFrames() []OutFrame {
	frames := p.outbox
	p.outbox = nil
	return frames
}

// Subscribers returns the members that have subscribed here, sorted by name, without control members.
func (p *Publisher) Subscribers() (list []Member) {
	for _, s := range p.subscribers {
		if !s.everything {
			list = append(list, s.Member)
		}
	}
	slices.SortFunc(list, byName)
	return list
}

// Receive handles a frame of a subscriber.
func (p *Publisher) Receive(from string, f *pb.Frame, now int64) {
	p.now = now
	switch w := f.What.(type) {
	case *pb.Frame_Subscribe:
		p.handleSubscribe(from, w.Subscribe)
	case *pb.Frame_Ack:
		p.handleAck(from, w.Ack)
	}
}

// handleSubscribe starts a subscription in place of the member's earlier one. It continues from the subscriber's
// version if the log of changes reaches back to it; otherwise it begins with a snapshot of all shards that the
// subscriber holds.
func (p *Publisher) handleSubscribe(name string, q *pb.Subscribe) {
	if s := p.subscribers[name]; s != nil && s.id == q.Id {
		return // a duplicate
	}
	if p.dir.Version() == 0 {
		p.refuse(name, q.Id, "this control member has no directory yet")
		return
	}
	if q.Version > p.dir.Version() && p.DisabledChecks&CheckNotBehind == 0 {
		// The subscriber keeps its later version rather than going back, and subscribes again, here or elsewhere.
		p.refuse(name, q.Id, "this control member is behind what the subscriber knows")
		return
	}
	p.removeSubscriber(name)
	s := &subscriber{Member: Member{Region: q.Region, Member: shard.Member{Name: name, Zone: q.Zone, Weight: q.Weight}}, id: q.Id, everything: q.Everything,
		heardAt: p.now, heldShards: map[shard.ID]bool{}, servedShards: map[shard.ID]bool{}, snapshotVersions: map[shard.ID]uint64{}, pendingAssigned: map[shard.ID]bool{}, pendingUnassigned: map[shard.ID]bool{}}
	p.subscribers[name] = s
	for _, id := range q.Shards {
		if id < shard.Count {
			p.addShard(s, shard.ID(id))
		}
	}
	if _, complete := p.dir.ChangesSince(q.Version); complete {
		s.version, s.scannedVersion = q.Version, q.Version
	} else {
		p.queueFullSnapshot(s)
	}
	if !s.everything {
		p.updateAssignment(s)
	}
	p.dirty[s] = true
}

// queueFullSnapshot schedules a snapshot of all shards that a subscriber holds.
func (p *Publisher) queueFullSnapshot(s *subscriber) {
	s.fullSnapshot, s.updateOpen, s.version, s.scannedVersion = true, false, 0, p.dir.Version()
	clear(s.snapshotVersions)
	s.pendingSnapshots = s.pendingSnapshots[:0]
	if s.everything {
		for id := range shard.ID(shard.Count) {
			if len(p.dir.Shard(id)) > 0 {
				s.pendingSnapshots = append(s.pendingSnapshots, id)
			}
		}
		return
	}
	s.pendingSnapshots = slices.Sorted(maps.Keys(s.heldShards))
}

// refuse tells a member that its subscription is not served here.
func (p *Publisher) refuse(name string, id uint64, reason string) {
	p.outbox = append(p.outbox, OutFrame{name, &pb.Frame{What: &pb.Frame_Refused{Refused: &pb.Refused{Id: id, Reason: reason}}}})
}

// handleAck handles an acknowledgement, with the shards that the subscriber has released and those whose snapshots it
// misses. An acknowledgement of an unknown subscription is refused, so that the member subscribes again.
func (p *Publisher) handleAck(name string, a *pb.Ack) {
	s := p.subscribers[name]
	if s == nil || s.id != a.Id {
		p.refuse(name, a.Id, "no such subscription here")
		return
	}
	if a.Seq > s.seq || a.Number <= s.ackNumber {
		return // acknowledges an update that was not sent, or is a late duplicate
	}
	s.ackNumber = a.Number
	s.ackedSeq, s.heardAt = max(s.ackedSeq, a.Seq), p.now
	for _, n := range a.Released {
		if id := shard.ID(n); s.servedShards[id] {
			p.requeueSnapshot(s, id) // assigned again since the release, so the subscriber has dropped its content
		} else {
			p.removeShard(s, id)
		}
	}
	for _, n := range a.Missing {
		p.requeueSnapshot(s, shard.ID(n))
	}
	p.dirty[s] = true
}

// requeueSnapshot schedules the snapshot of a shard that a subscriber serves once more.
func (p *Publisher) requeueSnapshot(s *subscriber, id shard.ID) {
	if s.servedShards[id] && s.heldShards[id] && !slices.Contains(s.pendingSnapshots, id) {
		s.pendingSnapshots = append(s.pendingSnapshots, id)
	}
}

// removeSubscriber ends a subscription.
func (p *Publisher) removeSubscriber(name string) {
	s := p.subscribers[name]
	if s == nil {
		return
	}
	for id := range s.heldShards {
		p.removeShard(s, id)
	}
	delete(p.dirty, s)
	delete(p.subscribers, name)
}
