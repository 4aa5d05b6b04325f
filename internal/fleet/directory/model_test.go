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

// The model runs the production code of control members and subscribers on one goroutine with a simulated clock. Links
// lose, duplicate and reorder frames and are cut; processes are killed, paused and restarted; leaders change. After
// every update that a subscriber applies, it must hold exactly what a leader published at that version.

const (
	modelTick             = 50 * time.Millisecond
	modelDestinationCount = 60
	modelShards           = 512 // the first of all shards: with all, each of six members would hold more than ten thousand
)

// modelDestinations are destinations in the model's shards.
var modelDestinations = func() (list []uint64) {
	for d := uint64(0); len(list) < modelDestinationCount; d++ {
		if shard.Of(d) < modelShards {
			list = append(list, d)
		}
	}
	return list
}()

// publishedState is the directory that a leader published at a version: endpoints by ID, and members by name.
type publishedState struct {
	endpoints map[string]Endpoint
	members   map[string]Member
}

// delayedFrame is a frame that is delivered at a time.
type delayedFrame struct {
	at       int64
	from, to string
	frame    *pb.Frame
}

// controlProcess is a control member in the model.
type controlProcess struct {
	name          string
	up            bool
	dir           *Directory
	publisher     *Publisher
	roster        *Roster // nil unless it leads
	subscription  *Subscription
	reportSeq     uint64
	fullReportDue bool
	reportedNames string
}

// senderProcess is a sender in the model.
type senderProcess struct {
	name         string
	up           bool
	pausedUntil  int64
	inbox        []delayedFrame
	subscription *Subscription
	heldShards   map[shard.ID]map[string]Endpoint
	servedShards map[shard.ID]bool
	members      map[string]Member
	lastVersion  uint64
}

// modelWorld is the state of a model run.
type modelWorld struct {
	t         *testing.T
	rng       *rand.Rand
	now       int64
	controls  []*controlProcess
	senders   []*senderProcess
	leader    int
	token     uint64
	published map[uint64]publishedState
	inFlight  []delayedFrame
	loss      float64
	cut       map[[2]string]bool
	disabled  SubscriptionCheck
	violation string
	lastPort  int
}

// newModelWorld returns a world of three control members, of which the first leads, and six senders. Some checks of
// subscriptions may be disabled.
func newModelWorld(seed uint64, disabled SubscriptionCheck) *modelWorld {
	w := &modelWorld{rng: rand.New(rand.NewPCG(seed, 11)), now: int64(time.Hour), published: map[uint64]publishedState{}, cut: map[[2]string]bool{}, disabled: disabled, leader: -1}
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

// fail records a violation, unless there is one already.
func (w *modelWorld) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", time.Duration(w.now)) + fmt.Sprintf(format, args...)
	}
}

// startControl starts a control member with an empty directory, which subscribes to the leader.
func (w *modelWorld) startControl(c *controlProcess) {
	c.up, c.dir, c.roster, c.reportedNames, c.fullReportDue = true, New(), nil, "", true
	c.publisher = NewPublisher(c.dir, 2)
	c.publisher.shardCount = modelShards
	c.publisher.maxEntries = 3 // splits most snapshots into parts
	if w.disabled&CheckVersion != 0 {
		c.publisher.DisabledChecks = CheckNotBehind // the publisher's check against the same failure
	}
	c.subscription = NewSubscription(SubscriptionOptions{Everything: true, Rand: w.rng, DisabledChecks: w.disabled})
	if w.leader >= 0 && w.controls[w.leader] != c {
		c.subscription.Connect(w.controls[w.leader].name, w.now)
	}
}

// startSender starts a sender without any state, which subscribes to a random control member.
func (w *modelWorld) startSender(s *senderProcess) {
	s.up, s.inbox, s.lastVersion = true, nil, 0
	s.heldShards, s.servedShards, s.members = map[shard.ID]map[string]Endpoint{}, map[shard.ID]bool{}, map[string]Member{}
	s.subscription = NewSubscription(SubscriptionOptions{Region: "r", Zone: "z" + s.name[len(s.name)-1:], Weight: 1, Rand: w.rng, DisabledChecks: w.disabled})
	s.subscription.Connect(w.controls[w.rng.IntN(len(w.controls))].name, w.now)
}

// elect makes a control member that is up the leader.
func (w *modelWorld) elect(n int) {
	if w.leader >= 0 {
		w.controls[w.leader].roster = nil
	}
	w.leader = n
	w.token++
	c := w.controls[n]
	c.roster = NewRoster([]string{"r"}, w.now)
	for _, other := range w.controls {
		if other != c && other.up {
			other.subscription.Resume(other.dir.Version())
			other.subscription.Connect(c.name, w.now)
		}
	}
	c.reportedNames = ""
	w.publish(nil, nil, nil)
}

// publish publishes a change as the leader, and records the state that it results in for the checks.
func (w *modelWorld) publish(endpoints []Endpoint, joined, left []Member) {
	c := w.controls[w.leader]
	change, changed := c.dir.Publish(FirstVersion(w.token), c.dir.DiscoveryVersion()+uint64(min(len(endpoints), 1)), endpoints, joined, left)
	if !changed {
		return
	}
	state := publishedState{map[string]Endpoint{}, map[string]Member{}}
	for id := range modelShards {
		for _, e := range c.dir.shards[id] {
			state.endpoints[e.ID] = e
		}
	}
	for name, m := range c.dir.members {
		state.members[name] = m
	}
	if _, duplicate := w.published[change.To]; duplicate {
		w.fail("version %d published twice", change.To)
	}
	w.published[change.To] = state
	c.publisher.ApplyChange(change)
}

// publishRandomChanges publishes a few random changes of endpoints.
func (w *modelWorld) publishRandomChanges() {
	var list []Endpoint
	for range 1 + w.rng.IntN(4) {
		d := modelDestinations[w.rng.IntN(modelDestinationCount)]
		w.lastPort++
		list = append(list, Endpoint{ID: fmt.Sprintf("e-%d-%d", d, w.rng.IntN(2)), Destination: d, Addr: fmt.Sprintf("10.0.0.1:%d", w.lastPort),
			State: []pb.EndpointState{pb.EndpointState_UP, pb.EndpointState_UP, pb.EndpointState_DRAINING, pb.EndpointState_REMOVED}[w.rng.IntN(4)]})
	}
	w.publish(list, nil, nil)
}

// send sends a frame over a link that may be cut, or lose, duplicate and delay it.
func (w *modelWorld) send(from, to string, f *pb.Frame) {
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
		w.inFlight = append(w.inFlight, delayedFrame{w.now + int64(delay), from, to, f})
	}
}

// deliver delivers the frames that are due.
func (w *modelWorld) deliver() {
	var rest, due []delayedFrame
	for _, f := range w.inFlight {
		if f.at <= w.now {
			due = append(due, f)
		} else {
			rest = append(rest, f)
		}
	}
	w.inFlight = rest
	slices.SortStableFunc(due, func(x, y delayedFrame) int { return int(x.at - y.at) })
	for _, f := range due {
		for _, c := range w.controls {
			if c.name == f.to && c.up {
				w.deliverToControl(c, f)
			}
		}
		for _, s := range w.senders {
			if s.name == f.to && s.up {
				if w.now < s.pausedUntil {
					s.inbox = append(s.inbox, f)
				} else {
					w.deliverToSender(s, f)
				}
			}
		}
	}
}

// deliverToControl passes a frame to the roster, the publisher or the subscription of a control member.
func (w *modelWorld) deliverToControl(c *controlProcess, f delayedFrame) {
	switch x := f.frame.What.(type) {
	case *pb.Frame_Report:
		if c.roster != nil {
			w.send(c.name, f.from, &pb.Frame{What: &pb.Frame_Reported{Reported: &pb.Reported{Seq: x.Report.Seq, Again: c.roster.HandleReport(f.from, "r", x.Report, w.now)}}})
		}
	case *pb.Frame_Reported:
		c.fullReportDue = c.fullReportDue || x.Reported.Again
	case *pb.Frame_Subscribe, *pb.Frame_Ack:
		c.publisher.Receive(f.from, f.frame, w.now)
	default:
		if c.roster == nil {
			w.applyToFollower(c, c.subscription.Receive(f.from, f.frame, w.now))
		}
	}
}

// applyToFollower applies an update to a control member that does not lead, and checks its directory.
func (w *modelWorld) applyToFollower(c *controlProcess, a *AppliedUpdate) {
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
	want, known := w.published[c.dir.Version()]
	if !known {
		w.fail("%s holds version %d, which no leader published", c.name, c.dir.Version())
		return
	}
	if len(c.dir.members) != len(want.members) {
		w.fail("%s at version %d: %d members, want %d", c.name, c.dir.Version(), len(c.dir.members), len(want.members))
	}
	published := map[shard.ID]int{}
	for _, e := range want.endpoints {
		published[e.Shard()]++
	}
	for id := range shard.ID(modelShards) {
		current := map[string]Endpoint{}
		same := len(c.dir.shards[id]) == published[id]
		for _, e := range c.dir.shards[id] {
			current[e.ID] = e
			same = same && want.endpoints[e.ID] == e
		}
		if !same {
			w.fail("%s at version %d: shard %d holds %v, which differs from the published endpoints", c.name, c.dir.Version(), id, current)
		}
	}
}

// deliverToSender applies the update that a frame completes, if any, as a sender does, and checks the sender. It
// releases half of the shards that are unassigned, at random.
func (w *modelWorld) deliverToSender(s *senderProcess, f delayedFrame) {
	a := s.subscription.Receive(f.from, f.frame, w.now)
	if a == nil {
		return
	}
	if a.To < s.lastVersion {
		w.fail("%s goes back from version %d to %d", s.name, s.lastVersion, a.To)
	}
	s.lastVersion = a.To
	if a.AllShards {
		clear(s.heldShards)
	}
	for _, id := range a.SnapshotShards {
		s.heldShards[id] = map[string]Endpoint{}
	}
	for _, e := range a.Endpoints {
		if s.heldShards[e.Shard()] == nil {
			w.fail("%s receives endpoint %s of a shard that it does not hold", s.name, e.ID)
			return
		}
		if e.State == pb.EndpointState_REMOVED {
			delete(s.heldShards[e.Shard()], e.ID)
		} else {
			s.heldShards[e.Shard()][e.ID] = e
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
		s.servedShards[id] = true
		if s.heldShards[id] == nil {
			w.fail("%s is assigned shard %d without its snapshot", s.name, id)
		}
	}
	var released []shard.ID
	for _, id := range a.Unassigned {
		delete(s.servedShards, id)
		if w.rng.IntN(2) == 0 { // the others are not released
			released = append(released, id)
			delete(s.heldShards, id)
		}
	}
	if released != nil {
		s.subscription.Release(released)
	}
	w.checkSender(s)
}

// checkSender compares the endpoints of a sender with those published at its version.
func (w *modelWorld) checkSender(s *senderProcess) {
	want, known := w.published[s.subscription.Version()]
	if !known {
		w.fail("%s holds version %d, which no leader published", s.name, s.subscription.Version())
		return
	}
	for _, held := range s.heldShards {
		for key, e := range held {
			if want.endpoints[key] != e {
				w.fail("%s at version %d holds %+v, published: %+v", s.name, s.subscription.Version(), e, want.endpoints[key])
			}
		}
	}
	for key, e := range want.endpoints {
		if held := s.heldShards[e.Shard()]; held != nil && held[key] != e {
			w.fail("%s at version %d lacks %+v", s.name, s.subscription.Version(), e)
		}
	}
}

// tick advances the clock by modelTick, delivers the frames that are due and runs all processes that are up.
func (w *modelWorld) tick() {
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
		} else if c.subscription.Tick(w.now); c.subscription.ShouldReconnect() {
			c.subscription.Connect(w.controls[w.leader].name, w.now)
		}
		c.publisher.Tick(w.now)
		for _, o := range c.publisher.TakeFrames() {
			w.send(c.name, o.To, o.Frame)
		}
		for _, o := range c.subscription.TakeFrames() {
			w.send(c.name, o.To, o.Frame)
		}
	}
	for _, s := range w.senders {
		if !s.up || w.now < s.pausedUntil {
			continue
		}
		inbox := s.inbox
		s.inbox = nil
		for _, f := range inbox {
			w.deliverToSender(s, f)
		}
		if s.subscription.Tick(w.now); s.subscription.ShouldReconnect() {
			s.subscription.Connect(w.controls[w.rng.IntN(len(w.controls))].name, w.now)
		}
		for _, o := range s.subscription.TakeFrames() {
			w.send(s.name, o.To, o.Frame)
		}
	}
}

// report sends the subscribers of a control member to the leader, all of them only if they have changed or the leader
// has requested them.
func (w *modelWorld) report(c *controlProcess) {
	members := c.publisher.Subscribers()
	names := fmt.Sprint(members)
	c.reportSeq++
	r := NewReport(c.reportSeq, members, c.fullReportDue || names != c.reportedNames)
	c.reportedNames, c.fullReportDue = names, false
	w.send(c.name, w.controls[w.leader].name, &pb.Frame{What: &pb.Frame_Report{Report: r}})
}

// injectFault starts or ends a random fault.
func (w *modelWorld) injectFault() {
	i, j := w.rng.IntN(len(w.controls)), w.rng.IntN(len(w.senders))
	c, s := w.controls[i], w.senders[j]
	switch w.rng.IntN(7) {
	case 0: // a control member is killed until case 1 or heal restarts it; if it is the leader, another one is elected
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
	case 1: // a control member is restarted
		if !c.up {
			w.startControl(c)
		}
	case 2: // another control member is elected with the directory that it has, and the previous leader follows it
		if c.up && c.dir.Version() > 0 {
			w.elect(i)
		}
	case 3: // a sender is killed or restarted
		if s.up {
			s.up = false
		} else {
			w.startSender(s)
		}
	case 4: // a sender is paused for up to 11 s
		s.pausedUntil = w.now + int64(time.Duration(w.rng.IntN(12))*time.Second)
	case 5: // links of a control member are cut or restored, each direction by itself
		w.cut[[2]string{c.name, s.name}] = w.rng.IntN(2) == 0
		w.cut[[2]string{s.name, c.name}] = w.rng.IntN(2) == 0
		other := w.controls[w.rng.IntN(len(w.controls))].name
		w.cut[[2]string{c.name, other}] = w.rng.IntN(3) == 0
	case 6: // frames are lost, duplicated and reordered, or no longer
		w.loss = []float64{0, 0, 0.05, 0.3}[w.rng.IntN(4)]
	}
}

func (w *modelWorld) upControls() (n int) {
	for _, c := range w.controls {
		if c.up {
			n++
		}
	}
	return n
}

// run simulates a duration, or up to the first violation, with random changes and, if set, faults.
func (w *modelWorld) run(d time.Duration, faults bool) {
	for end := w.now + int64(d); w.now < end && w.violation == ""; w.tick() {
		if w.rng.IntN(6) == 0 {
			w.publishRandomChanges()
		}
		if faults && w.rng.IntN(12) == 0 {
			w.injectFault()
		}
	}
}

// heal ends all faults.
func (w *modelWorld) heal() {
	w.loss = 0
	clear(w.cut)
	for _, c := range w.controls {
		if !c.up {
			w.startControl(c)
		}
	}
	for _, s := range w.senders {
		s.pausedUntil = 0
		if !s.up {
			w.startSender(s)
		}
	}
}

// checkConverged checks that every sender is at the latest version and knows all members, and that each shard is served
// by as many members as configured.
func (w *modelWorld) checkConverged() {
	for range 10 { // heartbeats carry the version
		w.tick()
	}
	leader := w.controls[w.leader]
	served := map[shard.ID]int{}
	for _, s := range w.senders {
		if s.lastVersion != leader.dir.Version() {
			w.fail("%s is at version %d, the leader at %d", s.name, s.lastVersion, leader.dir.Version())
		}
		if len(s.members) != len(w.senders) {
			w.fail("%s knows %d members of %d", s.name, len(s.members), len(w.senders))
		}
		for id := range s.servedShards {
			served[id]++
		}
	}
	for _, d := range modelDestinations {
		if n := served[shard.Of(d)]; n != 2 {
			w.fail("shard %d is served by %d members, want 2", shard.Of(d), n)
		}
	}
}

// Random schedules of faults: no subscriber may ever hold anything other than what a leader published at its version,
// and after the faults all senders must converge on the leader's version.
func TestSchedulesOfFaults(t *testing.T) {
	for seed := range uint64(schedules()) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newModelWorld(seed, 0)
			w.t = t
			w.run(3*time.Second, false)
			w.run(40*time.Second, true)
			w.heal()
			w.run(14*time.Second, false)
			for range 30 {
				w.tick() // without new changes
			}
			w.checkConverged()
			if w.violation != "" {
				t.Error(w.violation)
			}
		})
	}
}

// Each safety check of a subscription matters: without it, some schedule of faults leads to a violation.
func TestGuards(t *testing.T) {
	for name, check := range map[string]SubscriptionCheck{"gap": CheckGap, "part": CheckPart, "version": CheckVersion} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(60) {
				w := newModelWorld(seed, check)
				w.t = t
				w.run(2*time.Second, false)
				w.loss = 0.2
				w.run(25*time.Second, true)
				if w.violation != "" {
					t.Logf("violation in schedule %d: %s", seed, w.violation)
					return
				}
			}
			t.Error("none of 60 schedules detects that the check is disabled")
		})
	}
}

// schedules returns the number of schedules of faults to run, which SLIPTIDE_SCHEDULES sets.
func schedules() int {
	if n, err := strconv.Atoi(os.Getenv("SLIPTIDE_SCHEDULES")); err == nil {
		return n
	}
	return 40
}
