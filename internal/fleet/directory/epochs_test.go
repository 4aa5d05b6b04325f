package directory

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/shard"
)

// follower is a control member that subscribes to another one's publisher. The test delivers the frames.
type follower struct {
	name         string
	dir          *Directory
	publisher    *Publisher
	subscription *Subscription
}

func newFollower(name string) *follower {
	f := &follower{name: name, dir: New()}
	f.publisher = NewPublisher(f.dir, 1)
	f.subscription = NewSubscription(SubscriptionOptions{Everything: true, Rand: rand.New(rand.NewPCG(3, 4))})
	return f
}

// catchUp delivers frames between a follower and its leader until it is at the leader's version.
func (f *follower) catchUp(t *testing.T, leader *Publisher, now int64) {
	t.Helper()
	for range 100 {
		for _, o := range f.subscription.TakeFrames() {
			leader.Receive(f.name, o.Frame, now)
		}
		leader.Tick(now)
		for _, o := range leader.TakeFrames() {
			if o.To != f.name {
				continue
			}
			if a := f.subscription.Receive("leader", o.Frame, now); a != nil {
				change, err := f.dir.ApplyUpdate(a)
				if err != nil {
					t.Fatal(err)
				}
				f.publisher.ApplyChange(change)
			}
		}
		if f.dir.Version() == leader.dir.Version() {
			return
		}
	}
	t.Fatalf("%s did not catch up: at version %d, leader at %d", f.name, f.dir.Version(), leader.dir.Version())
}

// Two control members lead at once: a leader that does not know yet that it has been replaced publishes a last change,
// which one subscriber applies and the new leader does not have. When the subscriber moves to a follower of the new
// leader, its version goes forward, and the change is undone at the subscriber and at the old leader.
func TestTwoLeadersAtOnce(t *testing.T) {
	p := newPair(t, 10, false) // p.dir is the old leader's directory
	p.settle()
	newLeader := New()
	if _, err := newLeader.LoadSnapshot(p.dir.Version(), p.dir.DiscoveryVersion(), allEndpoints(p.dir), []Member{member("s")}); err != nil {
		t.Fatal(err)
	}
	newPublisher := NewPublisher(newLeader, 1)
	change, _ := newLeader.Publish(FirstVersion(2), 9, []Endpoint{endpoint(2, 22)}, nil, nil)
	newPublisher.ApplyChange(change)

	p.publish(endpoint(1, 11)) // the old leader's last change
	p.settle()
	before := p.subscription.Version()

	f := newFollower("follower")
	f.subscription.Connect("leader", p.now)
	f.catchUp(t, newPublisher, p.now)
	oldLeader := p.dir
	p.dir, p.publisher = f.dir, f.publisher
	p.subscription.TakeFrames()
	p.subscription.Connect("c", p.now)
	updates := p.settle()
	if p.subscription.Version() <= before {
		t.Errorf("the subscriber went from version %d to %d, want a later one", before, p.subscription.Version())
	}
	last := updates[len(updates)-1]
	if !last.AllShards || len(last.Endpoints) != 10 {
		t.Fatalf("last update has %d endpoints, snapshot %t; want a snapshot of 10", len(last.Endpoints), last.AllShards)
	}
	for _, e := range last.Endpoints {
		if want := map[string]string{"e-1": "10.0.0.1:1", "e-2": "10.0.0.1:22"}[e.ID]; want != "" && e.Addr != want {
			t.Errorf("%s is at %s, want %s", e.ID, e.Addr, want)
		}
	}

	former := &follower{name: "former", dir: oldLeader, publisher: NewPublisher(oldLeader, 1), subscription: NewSubscription(SubscriptionOptions{Everything: true, Rand: rand.New(rand.NewPCG(5, 6))})}
	former.subscription.Resume(oldLeader.Version())
	former.subscription.Connect("leader", p.now)
	former.catchUp(t, newPublisher, p.now)
	if got, want := allEndpoints(oldLeader), allEndpoints(newLeader); !slices.Equal(got, want) {
		t.Errorf("the old leader holds %v, the new one %v", got, want)
	}
}

// allEndpoints returns all endpoints of a directory, in order of their shards.
func allEndpoints(d *Directory) (list []Endpoint) {
	for id := range shard.ID(shard.Count) {
		list = append(list, d.Shard(id)...)
	}
	return list
}

// A region is cut off while its shards move: the leader knows of a member that joins, the region's control member does
// not. The subscriber there keeps all of its shards. After the region's return exactly the shards that moved are
// unassigned, and changes of their endpoints are sent until the subscriber has released them.
func TestRegionCutWhileItsShardsMove(t *testing.T) {
	p := newPair(t, 200, false)
	leader, leaderPublisher := p.dir, p.publisher
	f := newFollower("follower")
	f.subscription.Connect("leader", p.now)
	f.catchUp(t, leaderPublisher, p.now)
	p.dir, p.publisher = f.dir, f.publisher
	p.settle()

	joining := member("joins")
	change, _ := leader.Publish(0, leader.DiscoveryVersion(), nil, []Member{joining}, nil)
	leaderPublisher.ApplyChange(change)
	for range 10 { // cut off: the follower receives nothing
		p.now += int64(500 * time.Millisecond)
		p.deliverToPublisher()
		for _, a := range p.deliverToSubscriber(p.publisherFrames()) {
			if len(a.Unassigned) > 0 || len(a.Assigned) > 0 {
				t.Errorf("region cut off: %d shards assigned and %d unassigned, want none", len(a.Assigned), len(a.Unassigned))
			}
		}
	}

	f.subscription.Connect("leader", p.now)
	f.catchUp(t, leaderPublisher, p.now)
	var unassigned []shard.ID
	for _, a := range p.settle() {
		unassigned = append(unassigned, a.Unassigned...)
	}
	table := shard.NewTable(1)
	table.Update([]shard.Member{member("s").Member, joining.Member}, nil)
	slices.Sort(unassigned)
	if want := table.Shards("joins"); !slices.Equal(unassigned, want) {
		t.Fatalf("%d shards unassigned, want the %d that moved", len(unassigned), len(want))
	}
	movedDestination := uint64(0)
	for ; !table.Serves("joins", shard.Of(movedDestination)); movedDestination++ {
	}
	// sendsChange reports whether the publisher sends a change of an endpoint. The subscriber itself ignores changes of
	// shards that it does not hold.
	sendsChange := func(port int) (sent bool) {
		change, _ := leader.Publish(0, leader.DiscoveryVersion()+1, []Endpoint{endpoint(movedDestination, port)}, nil, nil)
		leaderPublisher.ApplyChange(change)
		f.catchUp(t, leaderPublisher, p.now)
		for p.subscription.Version() < p.dir.Version() {
			p.deliverToPublisher()
			frames := p.publisherFrames()
			for _, x := range frames {
				sent = sent || slices.ContainsFunc(x.GetUpdate().GetEndpoints(), func(e *pb.Endpoint) bool { return e.Id == endpoint(movedDestination, port).ID })
			}
			p.deliverToSubscriber(frames)
			p.now += int64(100 * time.Millisecond)
		}
		return sent
	}
	if !sendsChange(31) {
		t.Error("change of an endpoint not sent, although its shard has not been released")
	}
	p.subscription.Release(unassigned)
	p.deliverToPublisher()
	if sendsChange(32) {
		t.Error("change of an endpoint sent, although its shard has been released")
	}
}
