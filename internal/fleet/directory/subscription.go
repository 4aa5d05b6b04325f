package directory

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/shard"
)

// How a subscriber keeps its subscription.
const (
	silentAfter   = 4 * time.Second // without an update for so long, it subscribes anew, elsewhere
	firstWithin   = 3 * time.Second // a server from which nothing comes for so long does not serve
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 2 * time.Second // between two tries
)

// SubscriptionOptions are what a Subscription works with.
type SubscriptionOptions struct {
	Region, Zone   string
	Weight         uint32
	Everything     bool // a control member's
	Rand           *rand.Rand
	DisabledChecks SubscriptionCheck
}

// SubscriptionBreak is a guard that is taken out, for tests and runs that show what finds that.
type SubscriptionCheck uint

// The guards.
const (
	CheckGap     SubscriptionCheck = 1 << iota // an update is taken though others are missing before it
	CheckPart                                  // parts of an update are taken before the last one is there
	CheckVersion                               // a snapshot is taken though it is older than what is known
	CheckSilence                               // that nothing comes any more is not noticed
)

// Applied is what a subscriber learned by one update, all parts together.
type AppliedUpdate struct {
	From, To         uint64
	DiscoveryVersion uint64
	AllShards        bool       // the endpoints are all there are, of all shards that are held
	SnapshotShards   []shard.ID // the endpoints are all there are, of these
	Endpoints        []Endpoint
	// AllMembers: those that joined are all there are.
	AllMembers   bool
	Joined, Left []Member
	Assigned     []shard.ID
	Unassigned   []shard.ID
}

// Subscription is a subscriber's side. Its owner applies what it learns at once.
type Subscription struct {
	o       SubscriptionOptions
	now     int64
	server  string // it is subscribed at, or tries to be; empty: none
	id      uint64
	seq     uint64
	version uint64
	shards  map[shard.ID]bool // that are held
	staged  []*pb.Update
	out     []OutFrame
	asked   int64 // when it subscribed last
	begun   int64 // when it turned to this server
	heard   int64
	live    bool // an update has come
	tries   int
	release []shard.ID
	// promised are shards that were assigned after they had been released: they are served once their content is here.
	promised map[shard.ID]bool
	acks     uint64
	lost     bool // another server is to be tried
}

// NewSubscription returns a subscription that knows nothing.
func NewSubscription(o SubscriptionOptions) *Subscription {
	return &Subscription{o: o, id: o.Rand.Uint64() >> 1, shards: map[shard.ID]bool{}, promised: map[shard.ID]bool{}}
}

// Version is the version of what is known; 0: nothing is.
func (s *Subscription) Version() uint64 { return s.version }

// Live reports whether the subscription is up, by what was heard last.
func (s *Subscription) Live(now int64) bool { return s.live && now-s.heard <= int64(silentAfter) }

// Hold makes a subscription ask for shards whoever serves them, before it connects first: messages for them are left of
// an earlier life.
func (s *Subscription) HoldShards(ids []shard.ID) {
	for _, id := range ids {
		s.shards[id] = true
	}
}

// Resume makes a subscription that holds no shards by itself, such as a control member's, go on from a version.
func (s *Subscription) Resume(version uint64) { s.version = version }

// Take returns what is to be sent, in order, and forgets it.
func (s *Subscription) TakeFrames() []OutFrame {
	out := s.out
	s.out = nil
	return out
}

// Connect subscribes at a server, in place of any other.
func (s *Subscription) Connect(server string, now int64) {
	s.now, s.begun, s.server, s.lost = now, now, server, false
	s.subscribe()
}

// Lost reports that the server does not serve and that it is time to try another one.
func (s *Subscription) ShouldReconnect() bool { return s.lost && s.now-s.asked >= s.pause() }

// Release gives up shards that were unassigned, once nothing is left of them here.
func (s *Subscription) Release(ids []shard.ID) {
	for _, id := range ids {
		delete(s.shards, id)
	}
	s.release = append(s.release, ids...)
	if s.live {
		s.ack()
	}
}

// subscribe begins a new subscription; what is known is kept and told.
func (s *Subscription) subscribe() {
	s.id++
	s.seq, s.staged, s.live, s.asked, s.release = 0, nil, false, s.now, nil
	clear(s.promised)
	q := &pb.Subscribe{Id: s.id, Version: s.version, Everything: s.o.Everything, Region: s.o.Region, Zone: s.o.Zone, Weight: s.o.Weight}
	for _, id := range slices.Sorted(maps.Keys(s.shards)) {
		q.Shards = append(q.Shards, uint32(id))
	}
	s.send(&pb.Frame{What: &pb.Frame_Subscribe{Subscribe: q}})
}

func (s *Subscription) send(f *pb.Frame) { s.out = append(s.out, OutFrame{s.server, f}) }

// Tick tells the time. It is due some times a second.
func (s *Subscription) Tick(now int64) {
	s.now = now
	if s.server == "" {
		return
	}
	if s.live {
		if now-s.heard > int64(silentAfter) && s.o.DisabledChecks&CheckSilence == 0 {
			s.live, s.lost = false, true
		}
		return
	}
	if s.lost || now-s.asked < s.pause() {
		return
	}
	s.tries++
	if now-s.begun > int64(firstWithin) {
		s.lost = true
		return
	}
	s.subscribe()
}

// pause is the time between two tries; it doubles, and no two subscribers keep in step.
func (s *Subscription) pause() int64 {
	full := min(int64(minRetryPause)<<min(s.tries, 10), int64(maxRetryPause))
	return full/2 + int64(s.id*0x9e3779b97f4a7c15>>33)%(full/2+1)
}

// Receive takes a frame and returns what was learned by it, nil if that is nothing yet.
func (s *Subscription) Receive(from string, f *pb.Frame, now int64) *AppliedUpdate {
	s.now = now
	if from != s.server {
		return nil
	}
	switch w := f.What.(type) {
	case *pb.Frame_Update:
		return s.update(w.Update)
	case *pb.Frame_Refused:
		if w.Refused.Id == s.id {
			s.live, s.lost = false, true
			s.tries++
			s.asked = now
		}
	}
	return nil
}

func (s *Subscription) update(u *pb.Update) *AppliedUpdate {
	if u.Id != s.id || u.Seq <= s.seq {
		return nil // of an earlier subscription, or doubled
	}
	missed := u.Seq != s.seq+1 || u.From != 0 && u.From != s.version
	if missed && s.o.DisabledChecks&CheckGap == 0 {
		s.subscribe()
		return nil
	}
	if !u.Part && u.To < s.version && s.o.DisabledChecks&CheckVersion == 0 { // what a part leads to is told by the last one
		s.live, s.lost = false, true
		return nil
	}
	s.seq, s.heard, s.live, s.tries = u.Seq, s.now, true, 0
	if u.AllShards {
		s.staged = nil // parts of an update that was given up
	}
	s.staged = append(s.staged, u)
	if u.Part && s.o.DisabledChecks&CheckPart == 0 {
		s.ack()
		return nil
	}
	a := s.apply()
	s.ack()
	return a
}

func (s *Subscription) ack() {
	s.acks++
	a := &pb.Ack{Id: s.id, Seq: s.seq, Number: s.acks}
	for _, id := range s.release {
		a.Released = append(a.Released, uint32(id))
	}
	for id := range s.promised { // said again until the content comes
		a.Missing = append(a.Missing, uint32(id))
	}
	s.release = nil
	s.send(&pb.Frame{What: &pb.Frame_Ack{Ack: a}})
}

// apply takes all parts that are staged as one.
func (s *Subscription) apply() *AppliedUpdate {
	a := &AppliedUpdate{From: s.version}
	for _, u := range s.staged {
		a.To, a.DiscoveryVersion = u.To, u.Source
		a.AllShards = a.AllShards || u.AllShards
		a.AllMembers = a.AllMembers || u.AllMembers
		s.applyShards(a, u)
		for _, e := range u.Endpoints {
			if e := EndpointFromProto(e); s.o.Everything || s.shards[e.Shard()] { // else it was released meanwhile
				a.Endpoints = append(a.Endpoints, e)
			}
		}
	}
	s.applyMembers(a)
	s.staged = nil
	s.version = a.To
	return a
}

// applyMembers takes what all parts say of members. Of several records of one member the last holds.
func (s *Subscription) applyMembers(a *AppliedUpdate) {
	last := map[string]*pb.MemberRecord{}
	var names []string
	for _, u := range s.staged {
		for _, m := range u.Members {
			if last[m.Name] == nil {
				names = append(names, m.Name)
			}
			last[m.Name] = m
		}
	}
	for _, name := range names {
		if m := last[name]; m.Gone {
			a.Left = append(a.Left, MemberFromProto(m))
		} else {
			a.Joined = append(a.Joined, MemberFromProto(m))
		}
	}
}

// applyShards takes the shards that an update brings, assigns and takes away.
func (s *Subscription) applyShards(a *AppliedUpdate, u *pb.Update) {
	if s.o.Everything {
		return
	}
	for _, n := range u.Snapshot {
		id := shard.ID(n)
		a.SnapshotShards = append(a.SnapshotShards, id)
		s.shards[id] = true
		if s.promised[id] {
			delete(s.promised, id)
			a.Assigned = append(a.Assigned, id)
		}
	}
	for _, n := range u.Assigned {
		if id := shard.ID(n); s.shards[id] {
			a.Assigned = append(a.Assigned, id)
		} else {
			s.promised[id] = true
		}
	}
	for _, n := range u.Unassigned {
		a.Unassigned = append(a.Unassigned, shard.ID(n))
		delete(s.promised, shard.ID(n))
	}
}
