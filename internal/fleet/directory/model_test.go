package directory

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/shard"
)

// The model runs control members and subscribers, the very code of the processes, on one goroutine with a clock of its
// own, over links that lose, repeat and reorder frames and are cut, with processes that are killed, stopped and started
// anew, and leaders that change. After every update that a subscriber takes, what it holds has to be what the leader had
// published at that version.

const (
	modelTick    = 50 * time.Millisecond
	destinations = 60
	modelShards  = 512 // the first of all: six members would else hold ten thousand each
)

// modelDestinations are of the model's shards.
var modelDestinations = func() (list []uint64) {
	for d := uint64(0); len(list) < destinations; d++ {
		if shard.Of(d) < modelShards {
			list = append(list, d)
		}
	}
	return list
}()

// content is what a leader had published at a version: endpoints by ID, and members by name.
type content struct {
	endpoints map[string]Endpoint
	members   map[string]Member
}

type frameOnWay struct {
	at       int64
	from, to string
	frame    *pb.Frame
}

// controlProcess is a control member in the model.
type controlProcess struct {
	name      string
	up        bool
	dir       *Directory
	publisher *Publisher
	roster    *Roster // while it leads
	follows   *Subscription
	reportSeq uint64
	again     bool
	reported  string
}

// senderProcess is a sender in the model: what it holds, by shard.
type senderProcess struct {
	name    string
	up      bool
	stopped int64 // until
	inbox   []frameOnWay
	sub     *Subscription
	held    map[shard.ID]map[string]Endpoint
	serves  map[shard.ID]bool
	members map[string]Member
	last    uint64
}

type world struct {
	t        *testing.T
	rng      *rand.Rand
	now      int64
	controls []*controlProcess
	senders  []*senderProcess
	leader   int
	token    uint64
	history  map[uint64]content
	wire     []frameOnWay
	loss     float64
	cut      map[[2]string]bool
	guard    SubscriptionCheck
	breach   string
	next     int
}

func newWorld(seed uint64, guard SubscriptionCheck) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 11)), now: int64(time.Hour), history: map[uint64]content{}, cut: map[[2]string]bool{}, guard: guard, leader: -1}
	for i := range 3 {
		w.controls = append(w.controls, &controlProcess{name: fmt.Sprintf("control-%d", i)})
		w.startControl(w.controls[i])
	}
	for i := range 6 {
		s := &senderProcess{name: fmt.Sprintf("sender-%d", i)}
		w.senders = append(w.senders, s)
		w.startSender(s)
	}
	w.elect(0)
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.breach == "" {
		w.breach = fmt.Sprintf("at %v: ", time.Duration(w.now)) + fmt.Sprintf(format, args...)
	}
}

func (w *world) startControl(c *controlProcess) {
	c.up, c.dir, c.roster, c.reported, c.again = true, New(), nil, "", true
	c.publisher = NewPublisher(c.dir, 2)
	c.publisher.shards = modelShards
	c.publisher.part = 3 // so that most snapshots come in parts
	if w.guard&CheckVersion != 0 {
		c.publisher.DisabledChecks = CheckNotBehind // the same guard at the other end
	}
	c.follows = NewSubscription(SubscriptionOptions{Everything: true, Rand: w.rng, DisabledChecks: w.guard})
	if w.leader >= 0 && w.controls[w.leader] != c {
		c.follows.Connect(w.controls[w.leader].name, w.now)
	}
}

func (w *world) startSender(s *senderProcess) {
	s.up, s.inbox, s.last = true, nil, 0
	s.held, s.serves, s.members = map[shard.ID]map[string]Endpoint{}, map[shard.ID]bool{}, map[string]Member{}
	s.sub = NewSubscription(SubscriptionOptions{Region: "r", Zone: "z" + s.name[len(s.name)-1:], Weight: 1, Rand: w.rng, DisabledChecks: w.guard})
	s.sub.Connect(w.controls[w.rng.IntN(len(w.controls))].name, w.now)
}

// elect makes a control member lead that is up.
func (w *world) elect(n int) {
	if w.leader >= 0 {
		w.controls[w.leader].roster = nil
	}
	w.leader = n
	w.token++
	c := w.controls[n]
	c.roster = NewRoster([]string{"r"}, w.now)
	for _, other := range w.controls {
		if other != c && other.up {
			other.follows.Resume(other.dir.Version())
			other.follows.Connect(c.name, w.now)
		}
	}
	c.reported = ""
	w.publish(nil, nil, nil)
}

func (w *world) publish(endpoints []Endpoint, joined, left []Member) {
	c := w.controls[w.leader]
	change, news := c.dir.Publish(FirstVersion(w.token), c.dir.DiscoveryVersion()+uint64(min(len(endpoints), 1)), endpoints, joined, left)
	if !news {
		return
	}
	now := content{map[string]Endpoint{}, map[string]Member{}}
	for id := range modelShards {
		for _, e := range c.dir.shards[id] {
			now.endpoints[e.ID] = e
		}
	}
	for name, m := range c.dir.members {
		now.members[name] = m
	}
	if _, twice := w.history[change.To]; twice {
		w.fail("version %d was published twice", change.To)
	}
	w.history[change.To] = now
	c.publisher.ApplyChange(change)
}

// churn publishes a few drawn changes of endpoints.
func (w *world) churn() {
	var list []Endpoint
	for range 1 + w.rng.IntN(4) {
		d := modelDestinations[w.rng.IntN(destinations)]
		w.next++
		list = append(list, Endpoint{ID: fmt.Sprintf("e-%d-%d", d, w.rng.IntN(2)), Destination: d, Addr: fmt.Sprintf("10.0.0.1:%d", w.next),
			State: []pb.EndpointState{pb.EndpointState_UP, pb.EndpointState_UP, pb.EndpointState_DRAINING, pb.EndpointState_REMOVED}[w.rng.IntN(4)]})
	}
	w.publish(list, nil, nil)
}

func (w *world) send(from, to string, f *pb.Frame) {
	if w.cut[[2]string{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	copies := 1
	if w.rng.Float64() < w.loss/2 {
		copies = 2
	}
	for range copies {
		delay := time.Millisecond
		if w.loss > 0 {
			delay = time.Duration(w.rng.IntN(int(200 * time.Millisecond)))
		}
		w.wire = append(w.wire, frameOnWay{w.now + int64(delay), from, to, f})
	}
}

func (w *world) deliver() {
	var rest, due []frameOnWay
	for _, f := range w.wire {
		if f.at <= w.now {
			due = append(due, f)
		} else {
			rest = append(rest, f)
		}
	}
	w.wire = rest
	slices.SortStableFunc(due, func(x, y frameOnWay) int { return int(x.at - y.at) })
	for _, f := range due {
		for _, c := range w.controls {
			if c.name == f.to && c.up {
				w.controlReceives(c, f)
			}
		}
		for _, s := range w.senders {
			if s.name == f.to && s.up {
				if w.now < s.stopped {
					s.inbox = append(s.inbox, f)
				} else {
					w.senderReceives(s, f)
				}
			}
		}
	}
}

func (w *world) controlReceives(c *controlProcess, f frameOnWay) {
	switch x := f.frame.What.(type) {
	case *pb.Frame_Report:
		if c.roster != nil {
			w.send(c.name, f.from, &pb.Frame{What: &pb.Frame_Reported{Reported: &pb.Reported{Seq: x.Report.Seq, Again: c.roster.HandleReport(f.from, "r", x.Report, w.now)}}})
		}
	case *pb.Frame_Reported:
		c.again = c.again || x.Reported.Again
	case *pb.Frame_Subscribe, *pb.Frame_Ack:
		c.publisher.Receive(f.from, f.frame, w.now)
	default:
		if c.roster == nil {
			w.follow(c, c.follows.Receive(f.from, f.frame, w.now))
		}
	}
}

// follow takes what a control member that does not lead has learned.
func (w *world) follow(c *controlProcess, a *AppliedUpdate) {
	if a == nil {
		return
	}
	change, err := c.dir.ApplyUpdate(a)
	if err != nil && !errors.Is(err, ErrStale) {
		w.fail("%s: %v", c.name, err)
	}
	if err == nil {
		c.publisher.ApplyChange(change)
	}
	want, known := w.history[c.dir.Version()]
	if !known {
		w.fail("%s holds version %d, which nobody published", c.name, c.dir.Version())
		return
	}
	if len(c.dir.members) != len(want.members) {
		w.fail("%s at %d: %d members, want %d", c.name, c.dir.Version(), len(c.dir.members), len(want.members))
	}
	published := map[shard.ID]int{}
	for _, e := range want.endpoints {
		published[e.Shard()]++
	}
	for id := range shard.ID(modelShards) {
		held := map[string]Endpoint{}
		same := len(c.dir.shards[id]) == published[id]
		for _, e := range c.dir.shards[id] {
			held[e.ID] = e
			same = same && want.endpoints[e.ID] == e
		}
		if !same {
			w.fail("%s at %d: shard %d is %v, which is not what was published", c.name, c.dir.Version(), id, held)
		}
	}
}

func (w *world) senderReceives(s *senderProcess, f frameOnWay) {
	a := s.sub.Receive(f.from, f.frame, w.now)
	if a == nil {
		return
	}
	if a.To < s.last {
		w.fail("%s goes back from %d to %d", s.name, s.last, a.To)
	}
	s.last = a.To
	if a.AllShards {
		clear(s.held)
	}
	for _, id := range a.SnapshotShards {
		s.held[id] = map[string]Endpoint{}
	}
	for _, e := range a.Endpoints {
		if s.held[e.Shard()] == nil {
			w.fail("%s is told of %s, of a shard that it does not hold", s.name, e.ID)
			return
		}
		if e.State == pb.EndpointState_REMOVED {
			delete(s.held[e.Shard()], e.ID)
		} else {
			s.held[e.Shard()][e.ID] = e
		}
	}
	if a.AllMembers {
		clear(s.members)
	}
	for _, m := range a.Left {
		delete(s.members, m.Name)
	}
	for _, m := range a.Joined {
		s.members[m.Name] = m
	}
	for _, id := range a.Assigned {
		s.serves[id] = true
		if s.held[id] == nil {
			w.fail("%s is to serve shard %d, of which it has no snapshot", s.name, id)
		}
	}
	var done []shard.ID
	for _, id := range a.Unassigned {
		delete(s.serves, id)
		if w.rng.IntN(2) == 0 { // the others are done with later
			done = append(done, id)
			delete(s.held, id)
		}
	}
	if done != nil {
		s.sub.Release(done)
	}
	w.judge(s)
}

// judge holds what a sender has against what was published at its version.
func (w *world) judge(s *senderProcess) {
	want, known := w.history[s.sub.Version()]
	if !known {
		w.fail("%s holds version %d, which nobody published", s.name, s.sub.Version())
		return
	}
	for _, held := range s.held {
		for key, e := range held {
			if want.endpoints[key] != e {
				w.fail("%s at %d holds %+v, published was %+v", s.name, s.sub.Version(), e, want.endpoints[key])
			}
		}
	}
	for key, e := range want.endpoints {
		if held := s.held[e.Shard()]; held != nil && held[key] != e {
			w.fail("%s at %d lacks %+v", s.name, s.sub.Version(), e)
		}
	}
}

func (w *world) tick() {
	w.now += int64(modelTick)
	w.deliver()
	for i, c := range w.controls {
		if !c.up {
			continue
		}
		w.report(c)
		if i == w.leader {
			joined, left := c.roster.Tick(c.dir.Members(), w.now)
			if len(joined)+len(left) > 0 {
				w.publish(nil, joined, left)
			}
		} else if c.follows.Tick(w.now); c.follows.ShouldReconnect() {
			c.follows.Connect(w.controls[w.leader].name, w.now)
		}
		c.publisher.Tick(w.now)
		for _, o := range c.publisher.TakeFrames() {
			w.send(c.name, o.To, o.Frame)
		}
		for _, o := range c.follows.TakeFrames() {
			w.send(c.name, o.To, o.Frame)
		}
	}
	for _, s := range w.senders {
		if !s.up || w.now < s.stopped {
			continue
		}
		inbox := s.inbox
		s.inbox = nil
		for _, f := range inbox {
			w.senderReceives(s, f)
		}
		if s.sub.Tick(w.now); s.sub.ShouldReconnect() {
			s.sub.Connect(w.controls[w.rng.IntN(len(w.controls))].name, w.now)
		}
		for _, o := range s.sub.TakeFrames() {
			w.send(s.name, o.To, o.Frame)
		}
	}
}

func (w *world) report(c *controlProcess) {
	members := c.publisher.Subscribers()
	names := fmt.Sprint(members)
	c.reportSeq++
	r := NewReport(c.reportSeq, members, c.again || names != c.reported)
	c.reported, c.again = names, false
	w.send(c.name, w.controls[w.leader].name, &pb.Frame{What: &pb.Frame_Report{Report: r}})
}

// fault makes something go wrong, for a while.
func (w *world) fault() {
	i, j := w.rng.IntN(len(w.controls)), w.rng.IntN(len(w.senders))
	c, s := w.controls[i], w.senders[j]
	switch w.rng.IntN(7) {
	case 0: // a control member is killed, and is back later; if it led, another one leads
		if c.up && w.upControls() > 1 {
			c.up = false
			if i == w.leader {
				for n, other := range w.controls {
					if other.up && other.dir.Version() > 0 {
						w.elect(n)
						return
					}
				}
				c.up = true
			}
		}
	case 1:
		if !c.up {
			w.startControl(c)
		}
	case 2: // another one leads, with what it knows, while the one before goes on as a follower
		if c.up && c.dir.Version() > 0 {
			w.elect(i)
		}
	case 3:
		if s.up {
			s.up = false
		} else {
			w.startSender(s)
		}
	case 4:
		s.stopped = w.now + int64(time.Duration(w.rng.IntN(12))*time.Second)
	case 5:
		w.cut[[2]string{c.name, s.name}] = w.rng.IntN(2) == 0
		w.cut[[2]string{s.name, c.name}] = w.rng.IntN(2) == 0
		other := w.controls[w.rng.IntN(len(w.controls))].name
		w.cut[[2]string{c.name, other}] = w.rng.IntN(3) == 0
	case 6:
		w.loss = []float64{0, 0, 0.05, 0.3}[w.rng.IntN(4)]
	}
}

func (w *world) upControls() (n int) {
	for _, c := range w.controls {
		if c.up {
			n++
		}
	}
	return n
}

func (w *world) run(d time.Duration, faults bool) {
	for end := w.now + int64(d); w.now < end && w.breach == ""; w.tick() {
		if w.rng.IntN(6) == 0 {
			w.churn()
		}
		if faults && w.rng.IntN(12) == 0 {
			w.fault()
		}
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.loss = 0
	clear(w.cut)
	for _, c := range w.controls {
		if !c.up {
			w.startControl(c)
		}
	}
	for _, s := range w.senders {
		s.stopped = 0
		if !s.up {
			w.startSender(s)
		}
	}
}

// settled checks that every sender knows the latest version and that all shards are served by as many as they should.
func (w *world) settled() {
	for range 10 { // heartbeats tell the version
		w.tick()
	}
	lead := w.controls[w.leader]
	served := map[shard.ID]int{}
	for _, s := range w.senders {
		if s.last != lead.dir.Version() {
			w.fail("%s is at %d, the leader at %d", s.name, s.last, lead.dir.Version())
		}
		if len(s.members) != len(w.senders) {
			w.fail("%s knows %d members of %d", s.name, len(s.members), len(w.senders))
		}
		for id := range s.serves {
			served[id]++
		}
	}
	for _, d := range modelDestinations {
		if n := served[shard.Of(d)]; n != 2 {
			w.fail("shard %d is served by %d members, want 2", shard.Of(d), n)
		}
	}
}

func TestSchedulesOfFaults(t *testing.T) {
	for seed := range uint64(schedules()) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 0)
			w.t = t
			w.run(3*time.Second, false)
			w.run(40*time.Second, true)
			w.heal()
			w.run(14*time.Second, false)
			for range 30 {
				w.tick() // calm: nothing is published
			}
			w.settled()
			if w.breach != "" {
				t.Error(w.breach)
			}
		})
	}
}

// Each guard of a subscription taken out is found by some schedule.
func TestGuards(t *testing.T) {
	for name, guard := range map[string]SubscriptionCheck{"gap": CheckGap, "part": CheckPart, "version": CheckVersion} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(60) {
				w := newWorld(seed, guard)
				w.t = t
				w.run(2*time.Second, false)
				w.loss = 0.2
				w.run(25*time.Second, true)
				if w.breach != "" {
					t.Logf("found by schedule %d: %s", seed, w.breach)
					return
				}
			}
			t.Error("no schedule of 60 finds that the guard is out")
		})
	}
}

// schedules is how many schedules of faults are played; SLIPTIDE_SCHEDULES sets it.
func schedules() int {
	if n, err := strconv.Atoi(os.Getenv("SLIPTIDE_SCHEDULES")); err == nil {
		return n
	}
	return 40
}
