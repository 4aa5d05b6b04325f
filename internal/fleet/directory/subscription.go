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
	silenceTimeout     = 4 * time.Second // without an update for so long, it subscribes anew, elsewhere
	firstUpdateTimeout = 3 * time.Second // a server from which nothing comes for so long does not serve
	minRetryPause      = 100 * time.Millisecond
	maxRetryPause      = 2 * time.Second // between two tries
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
	options        SubscriptionOptions
	now            int64
	server         string // it is subscribed at, or tries to be; empty: none
	id             uint64
	seq            uint64
	version        uint64
	shards         map[shard.ID]bool // that are held
	stagedParts    []*pb.Update
	outbox         []OutFrame
	subscribedAt   int64 // when it subscribed last
	connectedAt    int64 // when it turned to this server
	updatedAt      int64
	live           bool // an update has come
	tries          int
	unsentReleases []shard.ID
	// promised are shards that were assigned after they had been released: they are served once their content is here.
	awaitingSnapshot map[shard.ID]bool
	ackNumber        uint64
	serverFailed     bool // another server is to be tried
}

// NewSubscription returns a subscription that knows nothing.
func NewSubscription(o SubscriptionOptions) *Subscription {
	return &Subscription{options: o, id: o.Rand.Uint64() >> 1, shards: map[shard.ID]bool{}, awaitingSnapshot: map[shard.ID]bool{}}
}

// Version is the version of what is known; 0: nothing is.
func (s *Subscription) Version() uint64 { return s.version }

// Live reports whether the subscription is up, by what was heard last.
func (s *Subscription) Live(now int64) bool {
	return s.live && now-s.updatedAt <= int64(silenceTimeout)
}

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
	frames := s.outbox
	s.outbox = nil
	return frames
}

// Connect subscribes at a server, in place of any other.
func (s *Subscription) Connect(server string, now int64) {
	s.now, s.connectedAt, s.server, s.serverFailed = now, now, server, false
	s.sendSubscribe()
}

// Lost reports that the server does not serve and that it is time to try another one.
func (s *Subscription) ShouldReconnect() bool {
	return s.serverFailed && s.now-s.subscribedAt >= s.retryPause()
}

// Release gives up shards that were unassigned, once nothing is left of them here.
func (s *Subscription) Release(ids []shard.ID) {
	for _, id := range ids {
		delete(s.shards, id)
	}
	s.unsentReleases = append(s.unsentReleases, ids...)
	if s.live {
		s.sendAck()
	}
}

// subscribe begins a new subscription; what is known is kept and told.
func (s *Subscription) sendSubscribe() {
	s.id++
	s.seq, s.stagedParts, s.live, s.subscribedAt, s.unsentReleases = 0, nil, false, s.now, nil
	clear(s.awaitingSnapshot)
	q := &pb.Subscribe{Id: s.id, Version: s.version, Everything: s.options.Everything, Region: s.options.Region, Zone: s.options.Zone, Weight: s.options.Weight}
	for _, id := range slices.Sorted(maps.Keys(s.shards)) {
		q.Shards = append(q.Shards, uint32(id))
	}
	s.send(&pb.Frame{What: &pb.Frame_Subscribe{Subscribe: q}})
}

func (s *Subscription) send(f *pb.Frame) { s.outbox = append(s.outbox, OutFrame{s.server, f}) }

// Tick tells the time. It is due some times a second.
func (s *Subscription) Tick(now int64) {
	s.now = now
	if s.server == "" {
		return
	}
	if s.live {
		if now-s.updatedAt > int64(silenceTimeout) && s.options.DisabledChecks&CheckSilence == 0 {
			s.live, s.serverFailed = false, true
		}
		return
	}
	if s.serverFailed || now-s.subscribedAt < s.retryPause() {
		return
	}
	s.tries++
	if now-s.connectedAt > int64(firstUpdateTimeout) {
		s.serverFailed = true
		return
	}
	s.sendSubscribe()
}

// pause is the time between two tries; it doubles, and no two subscribers keep in step.
func (s *Subscription) retryPause() int64 {
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
		return s.handleUpdate(w.Update)
	case *pb.Frame_Refused:
		if w.Refused.Id == s.id {
			s.live, s.serverFailed = false, true
			s.tries++
			s.subscribedAt = now
		}
	}
	return nil
}

func (s *Subscription) handleUpdate(u *pb.Update) *AppliedUpdate {
	if u.Id != s.id || u.Seq <= s.seq {
		return nil // of an earlier subscription, or doubled
	}
	missed := u.Seq != s.seq+1 || u.From != 0 && u.From != s.version
	if missed && s.options.DisabledChecks&CheckGap == 0 {
		s.sendSubscribe()
		return nil
	}
	if !u.Part && u.To < s.version && s.options.DisabledChecks&CheckVersion == 0 { // what a part leads to is told by the last one
		s.live, s.serverFailed = false, true
		return nil
	}
	s.seq, s.updatedAt, s.live, s.tries = u.Seq, s.now, true, 0
	if u.AllShards {
		s.stagedParts = nil // parts of an update that was given up
	}
	s.stagedParts = append(s.stagedParts, u)
	if u.Part && s.options.DisabledChecks&CheckPart == 0 {
		s.sendAck()
		return nil
	}
	a := s.applyStaged()
	s.sendAck()
	return a
}

func (s *Subscription) sendAck() {
	s.ackNumber++
	a := &pb.Ack{Id: s.id, Seq: s.seq, Number: s.ackNumber}
	for _, id := range s.unsentReleases {
		a.Released = append(a.Released, uint32(id))
	}
	for id := range s.awaitingSnapshot { // said again until the content comes
		a.Missing = append(a.Missing, uint32(id))
	}
	s.unsentReleases = nil
	s.send(&pb.Frame{What: &pb.Frame_Ack{Ack: a}})
}

// apply takes all parts that are staged as one.
func (s *Subscription) applyStaged() *AppliedUpdate {
	a := &AppliedUpdate{From: s.version}
	for _, u := range s.stagedParts {
		a.To, a.DiscoveryVersion = u.To, u.Source
		a.AllShards = a.AllShards || u.AllShards
		a.AllMembers = a.AllMembers || u.AllMembers
		s.applyShards(a, u)
		for _, e := range u.Endpoints {
			if e := EndpointFromProto(e); s.options.Everything || s.shards[e.Shard()] { // else it was released meanwhile
				a.Endpoints = append(a.Endpoints, e)
			}
		}
	}
	s.applyMembers(a)
	s.stagedParts = nil
	s.version = a.To
	return a
}

// applyMembers takes what all parts say of members. Of several records of one member the last holds.
func (s *Subscription) applyMembers(a *AppliedUpdate) {
	last := map[string]*pb.MemberRecord{}
	var names []string
	for _, u := range s.stagedParts {
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
	if s.options.Everything {
		return
	}
	for _, n := range u.Snapshot {
		id := shard.ID(n)
		a.SnapshotShards = append(a.SnapshotShards, id)
		s.shards[id] = true
		if s.awaitingSnapshot[id] {
			delete(s.awaitingSnapshot, id)
			a.Assigned = append(a.Assigned, id)
		}
	}
	for _, n := range u.Assigned {
		if id := shard.ID(n); s.shards[id] {
			a.Assigned = append(a.Assigned, id)
		} else {
			s.awaitingSnapshot[id] = true
		}
	}
	for _, n := range u.Unassigned {
		a.Unassigned = append(a.Unassigned, shard.ID(n))
		delete(s.awaitingSnapshot, shard.ID(n))
	}
}
