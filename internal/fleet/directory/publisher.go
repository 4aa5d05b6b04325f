package directory

import (
	"maps"
	"slices"
	"time"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/shard"
)

// How subscribers are served.
const (
	maxUnackedUpdates = 4               // updates of a subscriber that may be without acknowledgement
	maxUpdateEntries  = 2000            // endpoints and members of one update: some 250 KB
	heartbeatInterval = time.Second     // a subscriber hears something at least so often, and acknowledges it
	subscriberTimeout = 4 * time.Second // a subscriber that acknowledges nothing for so long is dropped
)

// Out is a frame for a subscriber.
type OutFrame struct {
	To    string
	Frame *pb.Frame
}

// subscriber is one that has subscribed here. What waits for it is no queue: it is the place in the log up to which it
// has been sent changes, and the shards of which it lacks a snapshot.
type subscriber struct {
	Member
	id                 uint64
	everything         bool
	seq                uint64
	ackedSeq           uint64
	ackNumber          uint64
	heardAt            int64
	sentAt             int64
	version            uint64              // that it was told
	scannedVersion     uint64              // up to which the log holds nothing further for it
	heldShards         map[shard.ID]bool   // that it holds, or is to get
	servedShards       map[shard.ID]bool   // that it was told to serve in this subscription
	assignmentCompared bool                // with the table: it was told what it serves
	pendingSnapshots   []shard.ID          // snapshots to be sent
	fullSnapshot       bool                // the snapshots are of all that it holds, and so are members
	updateOpen         bool                // parts of an update are out, others are to follow
	snapshotVersions   map[shard.ID]uint64 // versions of the snapshots in these parts
	pendingAssigned    map[shard.ID]bool   // to be told with the snapshots that are on their way
	pendingUnassigned  map[shard.ID]bool
}

// Publisher hands a directory out to subscribers. Every update brings a subscriber from one version to a later one,
// whole or not at all.
type Publisher struct {
	// Break takes guards out, for tests and runs that show what finds that.
	DisabledChecks PublisherCheck

	dir              *Directory
	replicas         int
	maxEntries       int // entries of one update
	shardCount       int // that there are
	now              int64
	outbox           []OutFrame
	subscribers      map[string]*subscriber
	shardSubscribers map[shard.ID]map[*subscriber]bool
	tables           map[string]*shard.Table // by region
	dirty            map[*subscriber]bool
}

// PublisherBreak is a guard that is taken out.
type PublisherCheck uint

// BreakBehind: subscribers are served that know more than this control member does.
const CheckNotBehind PublisherCheck = 1 << iota

// NewPublisher returns a publisher of a directory that assigns each shard to so many replicas in each region.
func NewPublisher(dir *Directory, replicas int) *Publisher {
	return &Publisher{dir: dir, replicas: replicas, maxEntries: maxUpdateEntries, shardCount: shard.Count, subscribers: map[string]*subscriber{}, shardSubscribers: map[shard.ID]map[*subscriber]bool{},
		tables: map[string]*shard.Table{}, dirty: map[*subscriber]bool{}}
}

// Take returns what is to be sent, in order, and forgets it.
func (p *Publisher) TakeFrames() []OutFrame {
	frames := p.outbox
	p.outbox = nil
	return frames
}

// Subscribers are the members that have subscribed here, but not control members, by name.
func (p *Publisher) Subscribers() (list []Member) {
	for _, s := range p.subscribers {
		if !s.everything {
			list = append(list, s.Member)
		}
	}
	slices.SortFunc(list, byName)
	return list
}

// Receive takes a frame of a subscriber.
func (p *Publisher) Receive(from string, f *pb.Frame, now int64) {
	p.now = now
	switch w := f.What.(type) {
	case *pb.Frame_Subscribe:
		p.handleSubscribe(from, w.Subscribe)
	case *pb.Frame_Ack:
		p.handleAck(from, w.Ack)
	}
}

func (p *Publisher) handleSubscribe(name string, q *pb.Subscribe) {
	if s := p.subscribers[name]; s != nil && s.id == q.Id {
		return // a late copy
	}
	if p.dir.Version() == 0 {
		p.refuse(name, q.Id, "this control member has no directory yet")
		return
	}
	if q.Version > p.dir.Version() && p.DisabledChecks&CheckNotBehind == 0 {
		// What it knows is later: it keeps it, rather than going back, and comes again, here or elsewhere.
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

// restart sends a subscriber all that it holds as a snapshot.
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

func (p *Publisher) refuse(name string, id uint64, reason string) {
	p.outbox = append(p.outbox, OutFrame{name, &pb.Frame{What: &pb.Frame_Refused{Refused: &pb.Refused{Id: id, Reason: reason}}}})
}

func (p *Publisher) handleAck(name string, a *pb.Ack) {
	s := p.subscribers[name]
	if s == nil || s.id != a.Id {
		p.refuse(name, a.Id, "no such subscription here")
		return
	}
	if a.Seq > s.seq || a.Number <= s.ackNumber {
		return // of nothing that was sent, or a late copy
	}
	s.ackNumber = a.Number
	s.ackedSeq, s.heardAt = max(s.ackedSeq, a.Seq), p.now
	for _, n := range a.Released {
		if id := shard.ID(n); s.servedShards[id] {
			p.requeueSnapshot(s, id) // it was assigned again meanwhile, and its content is gone there
		} else {
			p.removeShard(s, id)
		}
	}
	for _, n := range a.Missing {
		p.requeueSnapshot(s, shard.ID(n))
	}
	p.dirty[s] = true
}

// lack sends a subscriber the snapshot of a shard that it serves once more.
func (p *Publisher) requeueSnapshot(s *subscriber, id shard.ID) {
	if s.servedShards[id] && s.heldShards[id] && !slices.Contains(s.pendingSnapshots, id) {
		s.pendingSnapshots = append(s.pendingSnapshots, id)
	}
}

// drop forgets a subscriber.
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
