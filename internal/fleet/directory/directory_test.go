package directory

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/shard"
)

func endpoint(destination uint64, port int) Endpoint {
	return Endpoint{ID: fmt.Sprintf("e-%d", destination), Destination: destination, Addr: fmt.Sprintf("10.0.0.1:%d", port), Kind: "k", Zone: "z", State: pb.EndpointState_UP}
}

func member(name string) Member {
	return Member{Region: "r", Member: shard.Member{Name: name, Zone: "z", Weight: 1}}
}

// testPair is a publisher with one subscriber. The test delivers their frames.
type testPair struct {
	t            *testing.T
	dir          *Directory
	publisher    *Publisher
	subscription *Subscription
	now          int64
}

// newPair returns a pair whose directory holds one endpoint for each of the first destinations. The subscriber is the
// only member and requests either its own shards or everything.
func newPair(t *testing.T, endpoints int, everything bool) *testPair {
	p := &testPair{t: t, dir: New(), now: int64(time.Hour)}
	p.publisher = NewPublisher(p.dir, 1)
	var list []Endpoint
	for d := range uint64(endpoints) {
		list = append(list, endpoint(d, 1))
	}
	c, _ := p.dir.Publish(FirstVersion(1), 1, list, []Member{member("s")}, nil)
	p.publisher.ApplyChange(c)
	p.subscription = NewSubscription(SubscriptionOptions{Region: "r", Zone: "z", Weight: 1, Everything: everything, Rand: rand.New(rand.NewPCG(1, 2))})
	p.subscription.Connect("c", p.now)
	return p
}

// deliverToPublisher delivers the subscriber's frames to the publisher.
func (p *testPair) deliverToPublisher() {
	for _, o := range p.subscription.TakeFrames() {
		p.publisher.Receive("s", o.Frame, p.now)
	}
}

// publisherFrames returns the frames that the publisher sends at this time.
func (p *testPair) publisherFrames() []*pb.Frame {
	p.publisher.Tick(p.now)
	var list []*pb.Frame
	for _, o := range p.publisher.TakeFrames() {
		list = append(list, o.Frame)
	}
	return list
}

// deliverToSubscriber delivers frames to the subscriber and returns the updates that they complete.
func (p *testPair) deliverToSubscriber(list []*pb.Frame) (updates []*AppliedUpdate) {
	for _, f := range list {
		if a := p.subscription.Receive("c", f, p.now); a != nil {
			updates = append(updates, a)
		}
	}
	return updates
}

// settle delivers frames both ways until the subscriber is at the directory's version.
func (p *testPair) settle() (updates []*AppliedUpdate) {
	for range 1000 {
		p.deliverToPublisher()
		updates = append(updates, p.deliverToSubscriber(p.publisherFrames())...)
		if p.subscription.Version() == p.dir.Version() {
			return updates
		}
		p.now += int64(100 * time.Millisecond)
		p.subscription.Tick(p.now)
	}
	p.t.Fatalf("subscriber did not catch up: at version %d, directory at %d", p.subscription.Version(), p.dir.Version())
	return nil
}

// publish publishes a change of the next discovery version.
func (p *testPair) publish(list ...Endpoint) {
	c, changed := p.dir.Publish(0, p.dir.DiscoveryVersion()+1, list, nil, nil)
	if !changed {
		p.t.Fatal("Publish made no change")
	}
	p.publisher.ApplyChange(c)
}

// A subscriber that reads nothing is sent no more than maxUnackedUpdates updates, and is dropped. Once the log no
// longer reaches back to its version, its next subscription begins with a snapshot.
func TestUnresponsiveSubscriber(t *testing.T) {
	p := newPair(t, 50, false)
	p.settle()
	p.deliverToPublisher()
	sent := 0
	for i := range 30 {
		p.publish(endpoint(uint64(i%50), 100+i))
		sent += len(p.publisherFrames()) // not delivered
		p.now += int64(50 * time.Millisecond)
	}
	if sent > maxUnackedUpdates {
		t.Errorf("sent %d updates to a subscriber that acknowledges nothing, want at most %d", sent, maxUnackedUpdates)
	}
	for range maxLogChanges + 10 {
		p.publish(endpoint(7, int(p.dir.Version()%50000)+200))
	}
	p.now += int64(subscriberTimeout) + 1
	p.publisherFrames()
	if n := len(p.publisher.Subscribers()); n != 0 {
		t.Errorf("%d subscribers left after the time-out, want 0", n)
	}
	p.subscription.Tick(p.now)
	if !p.subscription.ShouldReconnect() {
		p.now += int64(maxRetryPause)
		p.subscription.Tick(p.now)
	}
	p.subscription.Connect("c", p.now)
	updates := p.settle()
	if first := updates[0]; !first.AllShards || len(first.Endpoints) != 50 {
		t.Errorf("first update of the new subscription: %+v, want a snapshot of 50 endpoints", first)
	}
}

// A publisher is killed while it sends a snapshot of many frames: none of these are applied, and the snapshot of the
// next control member is applied as a whole.
func TestPublisherKilledDuringSnapshot(t *testing.T) {
	const endpoints = 3 * maxUpdateEntries
	p := newPair(t, endpoints, true)
	p.deliverToPublisher()
	parts := p.publisherFrames()
	if len(parts) < 3 {
		t.Fatalf("got a snapshot of %d frames, want at least 3", len(parts))
	}
	if updates := p.deliverToSubscriber(parts[:2]); updates != nil || p.subscription.Version() != 0 {
		t.Fatalf("parts of an incomplete snapshot applied: version %d", p.subscription.Version())
	}
	p.publisher = NewPublisher(p.dir, 1) // after the restart
	p.subscription.TakeFrames()
	p.subscription.Connect("c", p.now)
	updates := p.settle()
	if len(updates) != 1 || len(updates[0].Endpoints) != endpoints || !updates[0].AllShards {
		t.Errorf("got %d updates, the first with %d endpoints; want one snapshot of %d", len(updates), len(updates[0].Endpoints), endpoints)
	}
}

// Updates are lost, duplicated and delayed: a lost one is detected by the next, and neither a duplicate nor an update
// of an earlier subscription is applied.
func TestLostDuplicateAndLateUpdates(t *testing.T) {
	p := newPair(t, 10, false)
	p.settle()
	p.deliverToPublisher()
	p.publish(endpoint(1, 11))
	first := p.publisherFrames()
	p.publish(endpoint(2, 12))
	second := p.publisherFrames()
	if updates := p.deliverToSubscriber(second); updates != nil {
		t.Fatalf("update applied although the one before it is missing: %+v", updates[0])
	}
	if updates := p.deliverToSubscriber(first); updates != nil { // late: it has subscribed again since
		t.Fatalf("update of an earlier subscription applied: %+v", updates[0])
	}
	updates := p.settle()
	got := map[string]string{}
	for _, a := range updates {
		for _, e := range a.Endpoints {
			got[e.ID] = e.Addr
		}
	}
	if got["e-1"] != "10.0.0.1:11" || got["e-2"] != "10.0.0.1:12" || len(got) != 2 {
		t.Errorf("got %v after the loss, want the changes of e-1 and e-2", got)
	}
	p.deliverToPublisher()
	p.publish(endpoint(3, 13))
	frames := p.publisherFrames()
	if first, second := p.deliverToSubscriber(frames), p.deliverToSubscriber(frames); len(first) != 1 || second != nil {
		t.Errorf("duplicate update: applied %d times at first, then %d times; want 1 and 0", len(first), len(second))
	}
}

// A control member that is at an older version refuses a subscriber, which keeps its version, and a subscriber does not
// apply an older snapshot.
func TestOlderVersionIsRefused(t *testing.T) {
	p := newPair(t, 10, false)
	p.publish(endpoint(1, 11))
	p.settle()
	version := p.subscription.Version()
	outdated := New()
	if _, err := outdated.LoadSnapshot(FirstVersion(1), 1, nil, nil); err != nil {
		t.Fatal(err)
	}
	p.publisher = NewPublisher(outdated, 1)
	p.subscription.TakeFrames()
	p.subscription.Connect("c", p.now)
	p.deliverToPublisher()
	p.deliverToSubscriber(p.publisherFrames())
	if p.subscription.Version() != version || p.subscription.Live(p.now) {
		t.Errorf("version %d, live %t after the refusal; want version %d, not live", p.subscription.Version(), p.subscription.Live(p.now), version)
	}
	stale := &pb.Frame{What: &pb.Frame_Update{Update: &pb.Update{Id: p.subscription.id, Seq: 1, From: 0, To: FirstVersion(1), AllShards: true, AllMembers: true}}}
	if updates := p.deliverToSubscriber([]*pb.Frame{stale}); updates != nil {
		t.Errorf("older snapshot applied: %+v", updates[0])
	}
}

// A subscriber cannot resume from a version of a leader whose changes this control member has not all received, even if
// the version is lower than its own: changes that only that leader published would remain at the subscriber for good.
// A change that does not follow the directory's version, and a stale one, are refused.
func TestChangesSinceAcrossLeaders(t *testing.T) {
	d := New()
	if _, err := d.LoadSnapshot(FirstVersion(1), 1, nil, nil); err != nil {
		t.Fatal(err)
	}
	for _, c := range []Change{{From: FirstVersion(1), To: FirstVersion(1) + 5}, {From: FirstVersion(1) + 5, To: FirstVersion(2)}, {From: FirstVersion(2), To: FirstVersion(2) + 1}} {
		if _, err := d.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		version  uint64
		complete bool
		changes  int
	}{
		{0, false, 0}, {FirstVersion(1) - 1, false, 0}, {FirstVersion(1), true, 3}, {FirstVersion(1) + 3, true, 3}, {FirstVersion(1) + 5, true, 2},
		{FirstVersion(1) + 6, false, 0}, {FirstVersion(2), true, 1}, {FirstVersion(2) + 1, true, 0}, {FirstVersion(2) + 2, false, 0},
	} {
		if changes, complete := d.ChangesSince(c.version); complete != c.complete || len(changes) != c.changes {
			t.Errorf("since version %d.%d: %d changes, complete %t; want %d, %t", tokenOf(c.version), c.version&(1<<counterBits-1), len(changes), complete, c.changes, c.complete)
		}
	}
	if _, err := d.Apply(Change{From: FirstVersion(2) + 3, To: FirstVersion(2) + 4}); !errors.Is(err, ErrGap) {
		t.Errorf("change with a gap before it: error %v, want ErrGap", err)
	}
	if _, err := d.Apply(Change{From: FirstVersion(1), To: FirstVersion(2)}); !errors.Is(err, ErrStale) {
		t.Errorf("stale change: error %v, want ErrStale", err)
	}
}

// A member that no control member reports stays in the directory for MemberGracePeriod, and a new leader waits for
// reports first. A report whose count does not match its members is requested again.
func TestRosterGrace(t *testing.T) {
	known := map[string]Member{"a": member("a"), "b": member("b")}
	report := func(seq uint64, names ...string) *pb.Report {
		var list []Member
		for _, name := range names {
			list = append(list, member(name))
		}
		return NewReport(seq, list, true)
	}
	r := NewRoster([]string{"r", "s"}, 0)
	if joined, left := r.Tick(known, int64(MemberGracePeriod)); len(joined)+len(left) != 0 {
		t.Errorf("new leader without reports: %v joined, %v left; want none", joined, left)
	}
	start := int64(MemberGracePeriod)
	r.HandleReport("c1", "r", report(1, "a", "b"), start)
	r.Tick(known, start)
	r.HandleReport("c1", "r", report(2, "a"), start+1)
	if _, left := r.Tick(known, start+2); len(left) != 0 {
		t.Errorf("members left without a grace period: %v", left)
	}
	end := start + int64(MemberGracePeriod+ControlTimeout) + 10
	var leftAt int64
	for now := start + int64(time.Second); now <= end; now += int64(time.Second) {
		r.HandleReport("c1", "r", report(uint64(now), "a"), now)
		if _, left := r.Tick(known, now); len(left) == 1 && left[0].Name == "b" && leftAt == 0 {
			leftAt = now
		} else if len(left) > 0 && leftAt == 0 {
			t.Errorf("members %v left, want only b", left)
		}
	}
	if leftAt < start+int64(MemberGracePeriod) || leftAt > end {
		t.Errorf("b left %v after its last report, outside of the grace period", time.Duration(leftAt-start))
	}
	r.HandleReport("c2", "r", report(1, "b"), end)
	if joined, _ := r.Tick(map[string]Member{"a": known["a"]}, end); len(joined) != 1 || joined[0].Name != "b" {
		t.Errorf("members %v joined, want b", joined)
	}
	mismatched := report(9, "a")
	mismatched.Whole, mismatched.Joined, mismatched.Count = false, nil, 5
	if !r.HandleReport("c2", "r", mismatched, end) {
		t.Error("report with a wrong count accepted")
	}
}

// The directory of one control member holds two million destinations in at most 600 MiB.
func TestMemoryAtTheTarget(t *testing.T) {
	const count, maxBytes = 2_000_000, 600 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := New()
	list := make([]Endpoint, 0, 10000)
	for destination := uint64(0); destination < count; {
		for list = list[:0]; len(list) < cap(list); destination++ {
			list = append(list, Endpoint{ID: fmt.Sprintf("endpoint-%08d", destination), Destination: destination, Addr: fmt.Sprintf("10.%d.%d.%d:9000", destination>>16, destination>>8&255, destination&255), Zone: "zone-1", Kind: "partner", Weight: 1, State: pb.EndpointState_UP})
		}
		d.Publish(FirstVersion(1), 1, list, nil, nil)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d endpoints: %.0f MB, %d bytes each", d.Len(), float64(used)/1e6, used/count)
	if d.Len() != count || used > maxBytes {
		t.Errorf("%d endpoints take %d bytes, want at most %d", d.Len(), used, maxBytes)
	}
}

// The members of a region whose control members are all silent stay for as long as that lasts, and for the whole grace
// period after the first report of the region's return. If they were dropped, they would return one after the other,
// and the first ones would be assigned all of the region's shards for a moment.
func TestRosterKeepsARegionThatIsCutOff(t *testing.T) {
	far := member("far")
	far.Region = "s"
	known := map[string]Member{"a": member("a"), "far": far}
	r := NewRoster([]string{"r", "s"}, 0)
	near := NewReport(1, []Member{known["a"]}, true)
	now := int64(0)
	simulate := func(d time.Duration, regions ...string) (departed int) {
		for end := now + int64(d); now < end; now += int64(time.Second) {
			for _, region := range regions {
				report := &pb.Report{Seq: uint64(now) + 1, Whole: true}
				if region == "r" {
					report = near
					report.Seq = uint64(now) + 1
				}
				r.HandleReport("control-"+region, region, report, now)
			}
			_, left := r.Tick(known, now)
			departed += len(left)
		}
		return departed
	}
	if departed := simulate(10*time.Minute, "r"); departed != 0 {
		t.Errorf("%d members of a region that is cut off left, want 0", departed)
	}
	if departed := simulate(MemberGracePeriod-time.Second, "r", "s"); departed != 0 {
		t.Errorf("%d members left within the grace period after the region's return, want 0", departed)
	}
	if departed := simulate(3*time.Second, "r", "s"); departed != 1 {
		t.Errorf("%d members left after the grace period, want 1", departed)
	}
}

// The first members of a region join together after FirstJoinDelay. A region that has members accepts others at once.
func TestFirstMembersOfARegionJoinTogether(t *testing.T) {
	r := NewRoster([]string{"r"}, 0)
	report := func(seq uint64, names ...string) {
		var list []Member
		for _, name := range names {
			list = append(list, member(name))
		}
		r.HandleReport("c", "r", NewReport(seq, list, true), int64(seq))
	}
	report(1, "a")
	if joined, _ := r.Tick(nil, 1); len(joined) != 0 {
		t.Errorf("%v joined before FirstJoinDelay, want none", joined)
	}
	report(2, "a", "b")
	if joined, _ := r.Tick(nil, int64(FirstJoinDelay)+2); len(joined) != 2 {
		t.Errorf("%v joined together, want a and b", joined)
	}
	report(3, "a", "b", "c")
	if joined, _ := r.Tick(map[string]Member{"a": member("a"), "b": member("b")}, int64(FirstJoinDelay)+3); len(joined) != 1 {
		t.Errorf("%v joined a region that has members, want c", joined)
	}
}
