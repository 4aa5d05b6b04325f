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
	window         = 4               // updates of a subscriber that may be without acknowledgement
	fullPart       = 2000            // endpoints and members of one update: some 250 KB
	heartbeatEvery = time.Second     // a subscriber hears something at least so often, and acknowledges it
	expireAfter    = 4 * time.Second // a subscriber that acknowledges nothing for so long is dropped
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
	id         uint64
	everything bool
	seq        uint64
	acked      uint64
	ackNumber  uint64
	heardAt    int64
	sentAt     int64
	version    uint64              // that it was told
	scanned    uint64              // up to which the log holds nothing further for it
	shards     map[shard.ID]bool   // that it holds, or is to get
	serves     map[shard.ID]bool   // that it was told to serve in this subscription
	compared   bool                // with the table: it was told what it serves
	lacks      []shard.ID          // snapshots to be sent
	whole      bool                // the snapshots are of all that it holds, and so are members
	middle     bool                // parts of an update are out, others are to follow
	ahead      map[shard.ID]uint64 // versions of the snapshots in these parts
	assigned   map[shard.ID]bool   // to be told with the snapshots that are on their way
	unassigned map[shard.ID]bool
}

// Publisher hands a directory out to subscribers. Every update brings a subscriber from one version to a later one,
// whole or not at all.
type Publisher struct {
	// Break takes guards out, for tests and runs that show what finds that.
	DisabledChecks PublisherCheck

	dir      *Directory
	replicas int
	part     int // entries of one update
	shards   int // that there are
	now      int64
	out      []OutFrame
	subs     map[string]*subscriber
	byShard  map[shard.ID]map[*subscriber]bool
	tables   map[string]*shard.Table // by region
	dirty    map[*subscriber]bool
}

// PublisherBreak is a guard that is taken out.
type PublisherCheck uint

// BreakBehind: subscribers are served that know more than this control member does.
const CheckNotBehind PublisherCheck = 1 << iota

// NewPublisher returns a publisher of a directory that assigns each shard to so many replicas in each region.
func NewPublisher(dir *Directory, replicas int) *Publisher {
	return &Publisher{dir: dir, replicas: replicas, part: fullPart, shards: shard.Count, subs: map[string]*subscriber{}, byShard: map[shard.ID]map[*subscriber]bool{},
		tables: map[string]*shard.Table{}, dirty: map[*subscriber]bool{}}
}

// Take returns what is to be sent, in order, and forgets it.
func (p *Publisher) TakeFrames() []OutFrame {
	out := p.out
	p.out = nil
	return out
}

// Subscribers are the members that have subscribed here, but not control members, by name.
func (p *Publisher) Subscribers() (list []Member) {
	for _, s := range p.subs {
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
		p.subscribe(from, w.Subscribe)
	case *pb.Frame_Ack:
		p.ack(from, w.Ack)
	}
}

func (p *Publisher) subscribe(name string, q *pb.Subscribe) {
	if s := p.subs[name]; s != nil && s.id == q.Id {
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
	p.drop(name)
	s := &subscriber{Member: Member{Region: q.Region, Member: shard.Member{Name: name, Zone: q.Zone, Weight: q.Weight}}, id: q.Id, everything: q.Everything,
		heardAt: p.now, shards: map[shard.ID]bool{}, serves: map[shard.ID]bool{}, ahead: map[shard.ID]uint64{}, assigned: map[shard.ID]bool{}, unassigned: map[shard.ID]bool{}}
	p.subs[name] = s
	for _, id := range q.Shards {
		if id < shard.Count {
			p.hold(s, shard.ID(id))
		}
	}
	if _, reaches := p.dir.ChangesSince(q.Version); reaches {
		s.version, s.scanned = q.Version, q.Version
	} else {
		p.restart(s)
	}
	if !s.everything {
		p.assign(s)
	}
	p.dirty[s] = true
}

// restart sends a subscriber all that it holds as a snapshot.
func (p *Publisher) restart(s *subscriber) {
	s.whole, s.middle, s.version, s.scanned = true, false, 0, p.dir.Version()
	clear(s.ahead)
	s.lacks = s.lacks[:0]
	if s.everything {
		for id := range shard.ID(shard.Count) {
			if len(p.dir.Shard(id)) > 0 {
				s.lacks = append(s.lacks, id)
			}
		}
		return
	}
	s.lacks = slices.Sorted(maps.Keys(s.shards))
}

func (p *Publisher) refuse(name string, id uint64, reason string) {
	p.out = append(p.out, OutFrame{name, &pb.Frame{What: &pb.Frame_Refused{Refused: &pb.Refused{Id: id, Reason: reason}}}})
}

func (p *Publisher) ack(name string, a *pb.Ack) {
	s := p.subs[name]
	if s == nil || s.id != a.Id {
		p.refuse(name, a.Id, "no such subscription here")
		return
	}
	if a.Seq > s.seq || a.Number <= s.ackNumber {
		return // of nothing that was sent, or a late copy
	}
	s.ackNumber = a.Number
	s.acked, s.heardAt = max(s.acked, a.Seq), p.now
	for _, n := range a.Released {
		if id := shard.ID(n); s.serves[id] {
			p.lack(s, id) // it was assigned again meanwhile, and its content is gone there
		} else {
			p.release(s, id)
		}
	}
	for _, n := range a.Missing {
		p.lack(s, shard.ID(n))
	}
	p.dirty[s] = true
}

// lack sends a subscriber the snapshot of a shard that it serves once more.
func (p *Publisher) lack(s *subscriber, id shard.ID) {
	if s.serves[id] && s.shards[id] && !slices.Contains(s.lacks, id) {
		s.lacks = append(s.lacks, id)
	}
}

// drop forgets a subscriber.
func (p *Publisher) drop(name string) {
	s := p.subs[name]
	if s == nil {
		return
	}
	for id := range s.shards {
		p.release(s, id)
	}
	delete(p.dirty, s)
	delete(p.subs, name)
}
