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
type Out struct {
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
	Break PublisherBreak

	dir      *Directory
	replicas int
	part     int // entries of one update
	shards   int // that there are
	now      int64
	out      []Out
	subs     map[string]*subscriber
	byShard  map[shard.ID]map[*subscriber]bool
	tables   map[string]*shard.Table // by region
	dirty    map[*subscriber]bool
}

// PublisherBreak is a guard that is taken out.
type PublisherBreak uint

// BreakBehind: subscribers are served that know more than this control member does.
const BreakBehind PublisherBreak = 1 << iota

// NewPublisher returns a publisher of a directory that assigns each shard to so many replicas in each region.
func NewPublisher(dir *Directory, replicas int) *Publisher {
	return &Publisher{dir: dir, replicas: replicas, part: fullPart, shards: shard.Count, subs: map[string]*subscriber{}, byShard: map[shard.ID]map[*subscriber]bool{},
		tables: map[string]*shard.Table{}, dirty: map[*subscriber]bool{}}
}

// Take returns what is to be sent, in order, and forgets it.
func (p *Publisher) Take() []Out {
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
	slices.SortFunc(list, func(x, y Member) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	return list
}

// table is the assignment of a region, made when it is first asked for.
func (p *Publisher) table(region string) *shard.Table {
	if t := p.tables[region]; t != nil {
		return t
	}
	t := shard.NewTableOf(p.replicas, p.shards)
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
func (p *Publisher) Changed(c Change) {
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
	if q.Version > p.dir.Version() && p.Break&BreakBehind == 0 {
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
	if _, reaches := p.dir.Since(q.Version); reaches {
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
	p.out = append(p.out, Out{name, &pb.Frame{What: &pb.Frame_Refused{Refused: &pb.Refused{Id: id, Reason: reason}}}})
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
	p.out = append(p.out, Out{s.Name, &pb.Frame{What: &pb.Frame_Update{Update: u}}})
}

// sendSnapshots sends the next part of an update that brings snapshots of the shards that a subscriber lacks. A shard's
// snapshot is of the moment in which it is sent; the update ends with all changes since it began that the snapshots do
// not hold, so that what the subscriber has then is what was published at one version.
func (p *Publisher) sendSnapshots(s *subscriber) {
	u := &pb.Update{From: s.version, To: s.version, Source: p.dir.Source()}
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
			u.Endpoints = append(u.Endpoints, e.Message())
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
	changes, reaches := p.dir.Since(s.scanned)
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
	u := &pb.Update{From: s.version, Source: p.dir.Source()}
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
			u.Endpoints = append(u.Endpoints, e.Message())
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
