package directory

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/shard"
)

// Time-outs and retry intervals of a subscription.
const (
	silenceTimeout     = 4 * time.Second        // without an update for longer, it subscribes at another server
	firstUpdateTimeout = 3 * time.Second        // a server that sends no update within it is abandoned
	minRetryPause      = 100 * time.Millisecond // between two tries; doubled with each, up to maxRetryPause
	maxRetryPause      = 2 * time.Second
)

// SubscriptionOptions configure a Subscription.
type SubscriptionOptions struct {
	Region, Zone   string
	Weight         uint32
	Everything     bool // all shards and regions, for control members
	Rand           *rand.Rand
	DisabledChecks SubscriptionCheck
}

// SubscriptionCheck is a safety check of a Subscription that tests disable to verify that its absence is detected.
type SubscriptionCheck uint

// Safety checks of a Subscription.
const (
	CheckGap     SubscriptionCheck = 1 << iota // an update is applied only if none before it is missing
	CheckPart                                  // parts of an update are applied only with the last one
	CheckVersion                               // an update to an older version than the known one is refused
	CheckSilence                               // a server that sends no more updates is abandoned
)

// AppliedUpdate is the content of one update, with all its parts together.
type AppliedUpdate struct {
	From, To         uint64
	DiscoveryVersion uint64
	AllShards        bool       // Endpoints is complete for all held shards
	SnapshotShards   []shard.ID // shards for which Endpoints is complete
	Endpoints        []Endpoint
	// AllMembers says that Joined is complete: members that it lacks have left.
	AllMembers   bool
	Joined, Left []Member
	Assigned     []shard.ID
	Unassigned   []shard.ID
}

// Subscription is the subscriber's side of a subscription. The caller must apply what Receive returns at once.
type Subscription struct {
	options        SubscriptionOptions
	now            int64
	server         string // where it is subscribed or tries to be; empty: none
	id             uint64 // of the current subscription; higher than those before
	seq            uint64 // number of the last update received in it
	version        uint64
	shards         map[shard.ID]bool // shards that are held
	stagedParts    []*pb.Update      // parts of an update whose last part has not been received
	outbox         []OutFrame
	subscribedAt   int64      // time of the last subscribe request or refusal
	connectedAt    int64      // time of Connect to this server
	updatedAt      int64      // time of the last update
	live           bool       // an update has been received in this subscription
	tries          int        // tries since the last update
	unsentReleases []shard.ID // released shards that no acknowledgement has reported yet
	// awaitingSnapshot holds shards that were assigned after their release: they are served once their snapshot is
	// here.
	awaitingSnapshot map[shard.ID]bool
	ackNumber        uint64 // number of the last acknowledgement sent
	serverFailed     bool   // the server does not serve: another one is to be tried
}

// NewSubscription returns a subscription at version 0 that is not connected.
func NewSubscription(o SubscriptionOptions) *Subscription {
	return &Subscription{options: o, id: o.Rand.Uint64() >> 1, shards: map[shard.ID]bool{}, awaitingSnapshot: map[shard.ID]bool{}}
}

// Version returns the version of the known content; 0 if there is none yet.
func (s *Subscription) Version() uint64 { return s.version }

// Live reports whether the subscription is up, that is, whether an update came within silenceTimeout.
func (s *Subscription) Live(now int64) bool {
	return s.live && now-s.updatedAt <= int64(silenceTimeout)
}

// HoldShards makes a subscription request shards regardless of their assignment, because an earlier run of the sender
// left messages for them. It must be called before the first Connect.
func (s *Subscription) HoldShards(ids []shard.ID) {
	for _, id := range ids {
		s.shards[id] = true
	}
}

// Resume makes a subscription that tracks no shards itself, such as a control member's, continue from a version.
func (s *Subscription) Resume(version uint64) { s.version = version }

// TakeFrames returns the frames to be sent, in order, and empties the outbox.
func (s *Subscription) TakeFrames() []OutFrame {
	frames := s.outbox
	s.outbox = nil
	return frames
}

// Connect subscribes at a server, which replaces any earlier one.
func (s *Subscription) Connect(server string, now int64) {
	s.now, s.connectedAt, s.server, s.serverFailed = now, now, server, false
	s.sendSubscribe()
}

// ShouldReconnect reports whether the server does not serve and the retry pause is over, so that another is to be
// tried.
func (s *Subscription) ShouldReconnect() bool {
	return s.serverFailed && s.now-s.subscribedAt >= s.retryPause()
}

// Release tells the server that unassigned shards are no longer held, once no messages are left for them.
func (s *Subscription) Release(ids []shard.ID) {
	for _, id := range ids {
		delete(s.shards, id)
	}
	s.unsentReleases = append(s.unsentReleases, ids...)
	if s.live {
		s.sendAck()
	}
}

// sendSubscribe begins a new subscription. The known content is kept, and the request carries its version and shards.
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

// Tick advances the time and repeats requests. It is to be called a few times a second.
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

// retryPause returns the time between two tries. It doubles with each try, with jitter so that subscribers do not retry
// in step.
func (s *Subscription) retryPause() int64 {
	full := min(int64(minRetryPause)<<min(s.tries, 10), int64(maxRetryPause))
	return full/2 + int64(s.id*0x9e3779b97f4a7c15>>33)%(full/2+1)
}

// Receive handles a frame of the server and returns the update that it completes, nil if none.
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

// handleUpdate stages an update or a part of one, and returns the update if it is complete. If an earlier one is
// missing, it subscribes again.
func (s *Subscription) handleUpdate(u *pb.Update) *AppliedUpdate {
	if u.Id != s.id || u.Seq <= s.seq {
		return nil // of an earlier subscription, or a duplicate
	}
	missed := u.Seq != s.seq+1 || u.From != 0 && u.From != s.version
	if missed && s.options.DisabledChecks&CheckGap == 0 {
		s.sendSubscribe()
		return nil
	}
	// Only the last part of an update carries the version that the update leads to.
	if !u.Part && u.To < s.version && s.options.DisabledChecks&CheckVersion == 0 {
		s.live, s.serverFailed = false, true
		return nil
	}
	s.seq, s.updatedAt, s.live, s.tries = u.Seq, s.now, true, 0
	if u.AllShards {
		s.stagedParts = nil // drops parts of an update that the publisher abandoned
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

// sendAck acknowledges the updates received so far, with releases and requests for missing snapshots.
func (s *Subscription) sendAck() {
	s.ackNumber++
	a := &pb.Ack{Id: s.id, Seq: s.seq, Number: s.ackNumber}
	for _, id := range s.unsentReleases {
		a.Released = append(a.Released, uint32(id))
	}
	for id := range s.awaitingSnapshot { // repeated until the snapshot comes
		a.Missing = append(a.Missing, uint32(id))
	}
	s.unsentReleases = nil
	s.send(&pb.Frame{What: &pb.Frame_Ack{Ack: a}})
}

// applyStaged combines all staged parts into one update, and advances the version and the held shards to it.
func (s *Subscription) applyStaged() *AppliedUpdate {
	a := &AppliedUpdate{From: s.version}
	for _, u := range s.stagedParts {
		a.To, a.DiscoveryVersion = u.To, u.Source
		a.AllShards = a.AllShards || u.AllShards
		a.AllMembers = a.AllMembers || u.AllMembers
		s.applyShards(a, u)
		for _, e := range u.Endpoints {
			if e := EndpointFromProto(e); s.options.Everything || s.shards[e.Shard()] { // else the shard has been released
				a.Endpoints = append(a.Endpoints, e)
			}
		}
	}
	s.applyMembers(a)
	s.stagedParts = nil
	s.version = a.To
	return a
}

// applyMembers collects the member records of all staged parts. Of several records of one member the last applies.
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

// applyShards handles the shards that a part carries snapshots of, assigns and unassigns.
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
