package directory

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/shard"
)

// follower is a control member that follows another one's publisher; the test carries the frames.
type follower struct {
	name string
	dir  *Directory
	pub  *Publisher
	sub  *Subscription
}

func newFollower(name string) *follower {
	f := &follower{name: name, dir: New()}
	f.pub = NewPublisher(f.dir, 1)
	f.sub = NewSubscription(SubscriptionOptions{Everything: true, Rand: rand.New(rand.NewPCG(3, 4))})
	return f
}

// catchUp carries frames between a follower and its leader until it is at the leader's version.
func (f *follower) catchUp(t *testing.T, leader *Publisher, now int64) {
	t.Helper()
	for range 100 {
		for _, o := range f.sub.TakeFrames() {
			leader.Receive(f.name, o.Frame, now)
		}
		leader.Tick(now)
		for _, o := range leader.TakeFrames() {
			if o.To != f.name {
				continue
			}
			if a := f.sub.Receive("leader", o.Frame, now); a != nil {
				change, err := f.dir.ApplyUpdate(a)
				if err != nil {
					t.Fatal(err)
				}
				f.pub.ApplyChange(change)
			}
		}
		if f.dir.Version() == leader.dir.Version() {
			return
		}
	}
	t.Fatalf("%s is at %d, its leader at %d", f.name, f.dir.Version(), leader.dir.Version())
}

// Two epochs under way at once: a leader that has been replaced, and has not heard of it, publishes a last change, which
// one subscriber takes. Another control member leads already, without that change. The subscriber comes to a follower of
// the new leader: it goes forward, and what the old leader told alone is gone, there and at the old leader.
func TestTwoLeadersAtOnce(t *testing.T) {
	p := newPair(t, 10, false) // p.dir is the old leader's
	p.settle()
	next := New()
	if _, err := next.LoadSnapshot(p.dir.Version(), p.dir.DiscoveryVersion(), held(p.dir), []Member{member("s")}); err != nil {
		t.Fatal(err)
	}
	nextPub := NewPublisher(next, 1)
	change, _ := next.Publish(FirstVersion(2), 9, []Endpoint{endpoint(2, 22)}, nil, nil)
	nextPub.ApplyChange(change)

	p.publish(endpoint(1, 11)) // the old leader's last
	p.settle()
	before := p.sub.Version()

	f := newFollower("follower")
	f.sub.Connect("leader", p.now)
	f.catchUp(t, nextPub, p.now)
	old := p.dir
	p.dir, p.pub = f.dir, f.pub
	p.sub.TakeFrames()
	p.sub.Connect("c", p.now)
	learned := p.settle()
	if p.sub.Version() <= before {
		t.Errorf("from %d to %d", before, p.sub.Version())
	}
	last := learned[len(learned)-1]
	if !last.AllShards || len(last.Endpoints) != 10 {
		t.Fatalf("learned %d endpoints, a snapshot %t; want a snapshot of 10", len(last.Endpoints), last.AllShards)
	}
	for _, e := range last.Endpoints {
		if want := map[string]string{"e-1": "10.0.0.1:1", "e-2": "10.0.0.1:22"}[e.ID]; want != "" && e.Addr != want {
			t.Errorf("%s is at %s, want %s", e.ID, e.Addr, want)
		}
	}

	former := &follower{name: "former", dir: old, pub: NewPublisher(old, 1), sub: NewSubscription(SubscriptionOptions{Everything: true, Rand: rand.New(rand.NewPCG(5, 6))})}
	former.sub.Resume(old.Version())
	former.sub.Connect("leader", p.now)
	former.catchUp(t, nextPub, p.now)
	if got, want := held(old), held(next); !slices.Equal(got, want) {
		t.Errorf("the old leader holds %v, the new one %v", got, want)
	}
}

// held are all endpoints of a directory, by shard.
func held(d *Directory) (list []Endpoint) {
	for id := range shard.ID(shard.Count) {
		list = append(list, d.Shard(id)...)
	}
	return list
}

// A region is cut off while its shards move: a member joins, which the leader knows and the region's control member does
// not. The subscriber there goes on with all that it serves. On the region's return it is told of just what moved, and
// hears of those shards' endpoints until it has released them.
func TestRegionCutWhileItsShardsMove(t *testing.T) {
	p := newPair(t, 200, false)
	leader, leaderPub := p.dir, p.pub
	f := newFollower("follower")
	f.sub.Connect("leader", p.now)
	f.catchUp(t, leaderPub, p.now)
	p.dir, p.pub = f.dir, f.pub
	p.settle()

	joins := member("joins")
	change, _ := leader.Publish(0, leader.DiscoveryVersion(), nil, []Member{joins}, nil)
	leaderPub.ApplyChange(change)
	for range 10 { // cut: the follower is not told
		p.now += int64(500 * time.Millisecond)
		p.up()
		for _, a := range p.down(p.frames()) {
			if len(a.Unassigned) > 0 || len(a.Assigned) > 0 {
				t.Errorf("shards moved in a region that is cut off: %d and %d", len(a.Assigned), len(a.Unassigned))
			}
		}
	}

	f.sub.Connect("leader", p.now)
	f.catchUp(t, leaderPub, p.now)
	var gone []shard.ID
	for _, a := range p.settle() {
		gone = append(gone, a.Unassigned...)
	}
	table := shard.NewTable(1)
	table.Update([]shard.Member{member("s").Member, joins.Member}, nil)
	slices.Sort(gone)
	if want := table.Shards("joins"); !slices.Equal(gone, want) {
		t.Fatalf("%d shards were taken away, %d moved", len(gone), len(want))
	}
	moved := uint64(0)
	for ; !table.Serves("joins", shard.Of(moved)); moved++ {
	}
	// told reports whether the publisher sends the change of an endpoint: the subscriber alone would pass it over.
	told := func(port int) (sent bool) {
		change, _ := leader.Publish(0, leader.DiscoveryVersion()+1, []Endpoint{endpoint(moved, port)}, nil, nil)
		leaderPub.ApplyChange(change)
		f.catchUp(t, leaderPub, p.now)
		for p.sub.Version() < p.dir.Version() {
			p.up()
			frames := p.frames()
			for _, x := range frames {
				sent = sent || slices.ContainsFunc(x.GetUpdate().GetEndpoints(), func(e *pb.Endpoint) bool { return e.Id == endpoint(moved, port).ID })
			}
			p.down(frames)
			p.now += int64(100 * time.Millisecond)
		}
		return sent
	}
	if !told(31) {
		t.Error("an endpoint of a shard that is not released yet changed unheard")
	}
	p.sub.Release(gone)
	p.up()
	if told(32) {
		t.Error("an endpoint of a shard that was released is told")
	}
}
