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

// pair is a publisher with one subscriber, whose frames the test carries by hand.
type pair struct {
	t   *testing.T
	dir *Directory
	pub *Publisher
	sub *Subscription
	now int64
}

func newPair(t *testing.T, endpoints int, everything bool) *pair {
	p := &pair{t: t, dir: New(), now: int64(time.Hour)}
	p.pub = NewPublisher(p.dir, 1)
	var list []Endpoint
	for d := range uint64(endpoints) {
		list = append(list, endpoint(d, 1))
	}
	c, _ := p.dir.Publish(FirstVersion(1), 1, list, []Member{member("s")}, nil)
	p.pub.ApplyChange(c)
	p.sub = NewSubscription(SubscriptionOptions{Region: "r", Zone: "z", Weight: 1, Everything: everything, Rand: rand.New(rand.NewPCG(1, 2))})
	p.sub.Connect("c", p.now)
	return p
}

// up carries the subscriber's frames to the publisher.
func (p *pair) up() {
	for _, o := range p.sub.TakeFrames() {
		p.pub.Receive("s", o.Frame, p.now)
	}
}

// frames are what the publisher sends at this time.
func (p *pair) frames() []*pb.Frame {
	p.pub.Tick(p.now)
	var list []*pb.Frame
	for _, o := range p.pub.TakeFrames() {
		list = append(list, o.Frame)
	}
	return list
}

// down hands frames to the subscriber and returns what it learned.
func (p *pair) down(list []*pb.Frame) (learned []*AppliedUpdate) {
	for _, f := range list {
		if a := p.sub.Receive("c", f, p.now); a != nil {
			learned = append(learned, a)
		}
	}
	return learned
}

// settle carries frames both ways until the subscriber knows the directory's version.
func (p *pair) settle() (learned []*AppliedUpdate) {
	for range 1000 {
		p.up()
		learned = append(learned, p.down(p.frames())...)
		if p.sub.Version() == p.dir.Version() {
			return learned
		}
		p.now += int64(100 * time.Millisecond)
		p.sub.Tick(p.now)
	}
	p.t.Fatalf("the subscriber is at %d, the directory at %d", p.sub.Version(), p.dir.Version())
	return nil
}

func (p *pair) publish(list ...Endpoint) {
	c, news := p.dir.Publish(0, p.dir.DiscoveryVersion()+1, list, nil, nil)
	if !news {
		p.t.Fatal("no change")
	}
	p.pub.ApplyChange(c)
}

// A subscriber that reads nothing gets its window and no more, holds nobody up, and is dropped; when the log has gone on
// without it, it begins again with a snapshot.
func TestSubscriberThatReadsNothing(t *testing.T) {
	p := newPair(t, 50, false)
	p.settle()
	p.up()
	sent := 0
	for i := range 30 {
		p.publish(endpoint(uint64(i%50), 100+i))
		sent += len(p.frames()) // read by nobody
		p.now += int64(50 * time.Millisecond)
	}
	if sent > window {
		t.Errorf("%d updates are out to a subscriber that acknowledges nothing, %d allowed", sent, window)
	}
	for range maxLogChanges + 10 {
		p.publish(endpoint(7, int(p.dir.Version()%50000)+200))
	}
	p.now += int64(expireAfter) + 1
	p.frames()
	if n := len(p.pub.Subscribers()); n != 0 {
		t.Errorf("%d subscribers are left", n)
	}
	p.sub.Tick(p.now)
	if !p.sub.ShouldReconnect() {
		p.now += int64(maxRetryPause)
		p.sub.Tick(p.now)
	}
	p.sub.Connect("c", p.now)
	learned := p.settle()
	if first := learned[0]; !first.AllShards || len(first.Endpoints) != 50 {
		t.Errorf("begins again with %+v, want a snapshot of 50 endpoints", first)
	}
}

// The publisher dies in the middle of a snapshot that takes many frames: nothing of it is taken, and the next one, from
// another control member, is whole.
func TestKilledInTheMiddleOfASnapshot(t *testing.T) {
	const endpoints = 3 * fullPart
	p := newPair(t, endpoints, true)
	p.up()
	parts := p.frames()
	if len(parts) < 3 {
		t.Fatalf("the snapshot comes in %d frames", len(parts))
	}
	if learned := p.down(parts[:2]); learned != nil || p.sub.Version() != 0 {
		t.Fatalf("parts of a snapshot are taken: version %d", p.sub.Version())
	}
	p.pub = NewPublisher(p.dir, 1) // started anew
	p.sub.TakeFrames()
	p.sub.Connect("c", p.now)
	learned := p.settle()
	if len(learned) != 1 || len(learned[0].Endpoints) != endpoints || !learned[0].AllShards {
		t.Errorf("learned %d times, %d endpoints first, want %d at once", len(learned), len(learned[0].Endpoints), endpoints)
	}
}

// Updates that are lost, doubled and late: a lost one is found by the next, nothing is taken twice, nothing old is taken.
func TestLostDoubledAndLateUpdates(t *testing.T) {
	p := newPair(t, 10, false)
	p.settle()
	p.up()
	p.publish(endpoint(1, 11))
	first := p.frames()
	p.publish(endpoint(2, 12))
	second := p.frames()
	if learned := p.down(second); learned != nil {
		t.Fatalf("an update is taken with one missing before it: %+v", learned[0])
	}
	if learned := p.down(first); learned != nil { // late: it has subscribed anew
		t.Fatalf("an update of an earlier subscription is taken: %+v", learned[0])
	}
	learned := p.settle()
	got := map[string]string{}
	for _, a := range learned {
		for _, e := range a.Endpoints {
			got[e.ID] = e.Addr
		}
	}
	if got["e-1"] != "10.0.0.1:11" || got["e-2"] != "10.0.0.1:12" || len(got) != 2 {
		t.Errorf("learned %v after the loss", got)
	}
	p.up()
	p.publish(endpoint(3, 13))
	again := p.frames()
	if once, twice := p.down(again), p.down(again); len(once) != 1 || twice != nil {
		t.Errorf("doubled: learned %d and %d times", len(once), len(twice))
	}
}

// A control member that has only an older version does not take a subscriber back: it refuses, and the subscriber
// keeps what it knows.
func TestNeverBack(t *testing.T) {
	p := newPair(t, 10, false)
	p.publish(endpoint(1, 11))
	p.settle()
	known := p.sub.Version()
	behind := New()
	if _, err := behind.LoadSnapshot(FirstVersion(1), 1, nil, nil); err != nil {
		t.Fatal(err)
	}
	p.pub = NewPublisher(behind, 1)
	p.sub.TakeFrames()
	p.sub.Connect("c", p.now)
	p.up()
	p.down(p.frames())
	if p.sub.Version() != known || p.sub.Live(p.now) {
		t.Errorf("version %d, live %t; known was %d", p.sub.Version(), p.sub.Live(p.now), known)
	}
	old := &pb.Frame{What: &pb.Frame_Update{Update: &pb.Update{Id: p.sub.id, Seq: 1, From: 0, To: FirstVersion(1), AllShards: true, AllMembers: true}}}
	if learned := p.down([]*pb.Frame{old}); learned != nil {
		t.Errorf("an older snapshot is taken: %+v", learned[0])
	}
}

// Versions of a leader that this control member has not heard all of are no place to go on from, though they are lower
// than what it knows: what the subscriber took from that leader last would stay for good.
func TestVersionsOfAnotherLeader(t *testing.T) {
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
		version uint64
		reaches bool
		changes int
	}{
		{0, false, 0}, {FirstVersion(1) - 1, false, 0}, {FirstVersion(1), true, 3}, {FirstVersion(1) + 3, true, 3}, {FirstVersion(1) + 5, true, 2},
		{FirstVersion(1) + 6, false, 0}, {FirstVersion(2), true, 1}, {FirstVersion(2) + 1, true, 0}, {FirstVersion(2) + 2, false, 0},
	} {
		if changes, reaches := d.ChangesSince(c.version); reaches != c.reaches || len(changes) != c.changes {
			t.Errorf("since %d.%d: %d changes, %t; want %d, %t", term(c.version), c.version&(1<<termBits-1), len(changes), reaches, c.changes, c.reaches)
		}
	}
	if _, err := d.Apply(Change{From: FirstVersion(2) + 3, To: FirstVersion(2) + 4}); !errors.Is(err, ErrGap) {
		t.Errorf("a gap: %v", err)
	}
	if _, err := d.Apply(Change{From: FirstVersion(1), To: FirstVersion(2)}); !errors.Is(err, ErrStale) {
		t.Errorf("an old change: %v", err)
	}
}

// A member that nobody reports keeps its shards for the grace, and a leader that begins waits for reports first.
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
		t.Errorf("a leader without reports: %v joined, %v left", joined, left)
	}
	at := int64(MemberGracePeriod)
	r.HandleReport("c1", "r", report(1, "a", "b"), at)
	r.Tick(known, at)
	r.HandleReport("c1", "r", report(2, "a"), at+1)
	if _, left := r.Tick(known, at+2); len(left) != 0 {
		t.Errorf("left at once: %v", left)
	}
	late := at + int64(MemberGracePeriod+ControlTimeout) + 10
	var leftAt int64
	for now := at + int64(time.Second); now <= late; now += int64(time.Second) {
		r.HandleReport("c1", "r", report(uint64(now), "a"), now)
		if _, left := r.Tick(known, now); len(left) == 1 && left[0].Name == "b" && leftAt == 0 {
			leftAt = now
		} else if len(left) > 0 && leftAt == 0 {
			t.Errorf("left %v, want b", left)
		}
	}
	if leftAt < at+int64(MemberGracePeriod) || leftAt > late {
		t.Errorf("b left %v after it was reported last", time.Duration(leftAt-at))
	}
	r.HandleReport("c2", "r", report(1, "b"), late)
	if joined, _ := r.Tick(map[string]Member{"a": known["a"]}, late); len(joined) != 1 || joined[0].Name != "b" {
		t.Errorf("joined %v, want b", joined)
	}
	short := report(9, "a")
	short.Whole, short.Joined, short.Count = false, nil, 5
	if !r.HandleReport("c2", "r", short, late) {
		t.Error("a report that does not add up is taken")
	}
}

// Two million destinations in the directory of one control member: what they take is stated, 600 MB, and checked.
func TestMemoryAtTheTarget(t *testing.T) {
	const count, stated = 2_000_000, 600 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := New()
	list := make([]Endpoint, 0, 10000)
	for at := uint64(0); at < count; {
		for list = list[:0]; len(list) < cap(list); at++ {
			list = append(list, Endpoint{ID: fmt.Sprintf("endpoint-%08d", at), Destination: at, Addr: fmt.Sprintf("10.%d.%d.%d:9000", at>>16, at>>8&255, at&255), Zone: "zone-1", Kind: "partner", Weight: 1, State: pb.EndpointState_UP})
		}
		d.Publish(FirstVersion(1), 1, list, nil, nil)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	took := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d endpoints: %.0f MB, %d bytes each", d.Len(), float64(took)/1e6, took/count)
	if d.Len() != count || took > stated {
		t.Errorf("%d endpoints take %d bytes, stated are %d", d.Len(), took, stated)
	}
}

// A region none of whose control members reports is cut off: its members keep their shards, however long that lasts, and
// have the whole grace once one of its control members is heard again. They were dropped all together, and came back in
// parts, each of which was given everything for a moment.
func TestRosterKeepsARegionThatIsCutOff(t *testing.T) {
	far := member("far")
	far.Region = "s"
	known := map[string]Member{"a": member("a"), "far": far}
	r := NewRoster([]string{"r", "s"}, 0)
	near := NewReport(1, []Member{known["a"]}, true)
	now := int64(0)
	pass := func(d time.Duration, regions ...string) (gone int) {
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
			gone += len(left)
		}
		return gone
	}
	if gone := pass(10*time.Minute, "r"); gone != 0 {
		t.Errorf("%d members of a region that is cut off have left", gone)
	}
	if gone := pass(MemberGracePeriod-time.Second, "r", "s"); gone != 0 {
		t.Errorf("%d members left before the grace was over, counted from the region's return", gone)
	}
	if gone := pass(3*time.Second, "r", "s"); gone != 1 {
		t.Errorf("%d members have left after the grace, want 1", gone)
	}
}

// The first members of a region join together, those of one that has members at once.
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
		t.Errorf("%v joined alone", joined)
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
