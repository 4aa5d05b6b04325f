package policy

import (
	"math"
	"reflect"
	"slices"
	"testing"
)

const (
	clsSafe = iota
	clsKeyed
	clsUnsafe
	clsOrdered
)

// testSettings describes two kinds of destination: shared limits with batches of 5, and routes apart.
func testSettings() Settings {
	return Settings{
		Senders: 2, CallSlots: 10, MaxAttempts: 6, MaxHeld: 100, StreamsPerConn: 1, KeepAlive: 10000,
		DialTimeout: 1000, DrainGrace: 500, WarmUpDuration: 10000, ColdCapacity: 0.25, OverloadMultiple: 1.5, OverloadWindow: 3000,
		KeyPause: 4000, SendsRetryAfter: true, MaxRetryAfter: 2000, AllowanceIndex: -1, LimitIndex: -1,
		Kinds: []DestKind{{Batch: 5}, {Batch: 1, OwnLimits: true}, {Batch: 1}},
		Classes: []Class{
			{Name: "safe", Aim: 2000, Deadline: 20000, Worth: 1, LateWorth: 0.5, Effect: Safe},
			{Name: "keyed", Aim: 2000, Deadline: 20000, Worth: 1, LateWorth: 0.5, Effect: Keyed, DedupWindow: 8000},
			{Name: "unsafe", Aim: 2000, Deadline: 20000, Worth: 1, LateWorth: 0.5, Effect: Unsafe},
			{Name: "ordered", Aim: 2000, Deadline: 20000, Worth: 1, LateWorth: 0.5, Effect: Safe, Ordered: true},
		},
	}
}

// rig drives a Sender through Step alone.
type rig struct {
	t        *testing.T
	s        *Sender
	now      float64
	last     []Action
	attempts map[uint64]int
	on       map[uint64]uint32
}

func newRig(t *testing.T, set Settings, eps ...Endpoint) *rig {
	t.Helper()
	r := &rig{t: t, s: New(set, 7), now: 1000, attempts: map[uint64]int{}, on: map[uint64]uint32{}}
	r.step(Event{Kind: EvList, FullList: true, List: eps})
	return r
}

func (r *rig) step(events ...Event) []Action {
	r.last = r.s.Step(r.now, events, nil)
	for _, a := range r.last {
		if a.Kind == ActSend {
			r.attempts[a.ID]++
			r.on[a.ID] = a.Endpoint
		}
	}
	return r.last
}

// run steps to a time, firing timers as they come due, and returns all actions.
func (r *rig) run(to float64) []Action {
	var all []Action
	for r.now < to {
		next := math.Min(to, r.now+50)
		r.now = next
		tok := r.s.token
		if r.s.armed <= r.now {
			all = append(all, r.step(Event{Kind: EvTimer, Token: tok})...)
		}
	}
	return all
}

func (r *rig) message(id uint64, class, dest int, key uint64) []Action {
	return r.step(Event{Kind: EvMessage, ID: id, Class: class, Dest: dest, Key: key, Remaining: 20000})
}

func (r *rig) reply(id uint64, o Outcome, wait float64) []Action {
	return r.step(r.outcome(id, o, wait))
}

func (r *rig) outcome(id uint64, o Outcome, wait float64) Event {
	return Event{Kind: EvOutcome, ID: id, Endpoint: r.on[id], Attempt: r.attempts[id] - 1, Outcome: o,
		RequestedWait: wait, Latency: 200, Final: o == OK}
}

func find(as []Action, k ActionKind, id uint64) *Action {
	for i := range as {
		if as[i].Kind == k && as[i].ID == id {
			return &as[i]
		}
	}
	return nil
}

func (r *rig) must(as []Action, k ActionKind, id uint64, what string) {
	r.t.Helper()
	if find(as, k, id) == nil {
		r.t.Fatalf("%s: no action %d for message %d in %+v", what, k, id, as)
	}
}

func (r *rig) never(as []Action, k ActionKind, id uint64, what string) {
	r.t.Helper()
	if a := find(as, k, id); a != nil {
		r.t.Fatalf("%s: unwanted action %+v", what, *a)
	}
}

func ready(id uint32, dest, kind int) Endpoint {
	return Endpoint{ID: id, State: Ready, Dest: dest, Kind: kind}
}

func TestSendsAtOnceWhenNothingWaits(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	r.must(r.message(1, clsSafe, 0, 0), ActSend, 1, "idle destination")
	r.never(r.reply(1, OK, 0), ActFail, 1, "delivered")
	if r.s.held != 0 || len(r.s.msgs) != 0 {
		t.Fatalf("held %d, known %d after the end", r.s.held, len(r.s.msgs))
	}
}

// Rule 1: a message that cannot be sent is answered once, before its time.
func TestHeldMessageIsAnsweredOnceInTime(t *testing.T) {
	r := newRig(t, testSettings()) // no endpoint is listed
	r.message(1, clsUnsafe, 3, 0)
	r.never(r.run(1000+20000-lastMoment-100), ActRefuse, 1, "before the last moment")
	r.must(r.run(1000+20000), ActRefuse, 1, "at the last moment")
	for _, a := range r.run(30000) {
		if a.ID == 1 {
			t.Fatalf("second answer %+v", a)
		}
	}
}

func TestMessageWhoseTimeIsUpIsRefused(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	r.must(r.step(Event{Kind: EvMessage, ID: 1, Remaining: 0}), ActRefuse, 1, "no time left")
	r.must(r.step(Event{Kind: EvMessage, ID: 2, Remaining: math.NaN()}), ActRefuse, 2, "time is no number")
	r.must(r.step(Event{Kind: EvMessage, ID: 3, Remaining: 100, Class: 99}), ActRefuse, 3, "unknown class")
}

// Late refusal: with less time left than a usual call nothing is sent.
func TestLateRefusal(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	r.message(1, clsSafe, 0, 0)
	e := r.outcome(1, OK, 0)
	e.Latency = 500
	r.step(e)
	r.never(r.step(Event{Kind: EvMessage, ID: 2, Remaining: 499}), ActSend, 2, "499 ms left of a 500 ms call")
	r.must(r.step(Event{Kind: EvMessage, ID: 3, Remaining: 510}), ActSend, 3, "510 ms left of a 500 ms call")
}

// Rule 2: after an outcome in doubt an unsafe message is failed, never sent or refused.
func TestUnsafeInDoubtIsFailed(t *testing.T) {
	for _, o := range []Outcome{Error, Timeout, Reset, Cancelled} {
		r := newRig(t, testSettings(), ready(1, 0, 2))
		r.message(1, clsUnsafe, 0, 0)
		r.must(r.reply(1, o, 0), ActFail, 1, "in doubt")
		r.never(r.run(25000), ActSend, 1, "after the end")
	}
	for _, o := range []Outcome{ConnectFailed, Full} {
		r := newRig(t, testSettings(), ready(1, 0, 2))
		r.message(1, clsUnsafe, 0, 0)
		r.never(r.reply(1, o, 0), ActFail, 1, "never ran")
		r.must(r.run(15000), ActSend, 1, "never ran, goes again")
	}
}

// Rule 2: a keyed message in doubt is repeated inside its memory span only.
func TestKeyedRepeatsInsideSpanOnly(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	r.message(1, clsKeyed, 0, 0)
	r.reply(1, Timeout, 0)
	r.must(r.run(4000), ActSend, 1, "inside the span")

	r = newRig(t, testSettings(), ready(1, 0, 2))
	r.message(1, clsKeyed, 0, 0)
	r.reply(1, Timeout, 0)
	r.step(Event{Kind: EvList, List: []Endpoint{{ID: 1, State: Draining}}})
	r.run(1000 + 8000*spanMargin + 100)
	as := r.step(Event{Kind: EvList, List: []Endpoint{ready(1, 0, 2)}})
	r.never(append(as, r.run(20000)...), ActSend, 1, "past the span")
}

func TestZoneScopedDoubtStaysInZoneAndIsNotRefused(t *testing.T) {
	set := testSettings()
	set.Classes[clsKeyed].ZoneScope = true
	r := newRig(t, set, ready(1, 0, 2))
	r.message(1, clsKeyed, 0, 0)
	r.step(Event{Kind: EvList, List: []Endpoint{{ID: 1, State: Gone}, {ID: 2, State: Ready, Zone: 1, Kind: 2}}})
	as := append(r.reply(1, Timeout, 0), r.run(22000)...)
	r.never(as, ActSend, 1, "another zone may run it again")
	r.never(as, ActRefuse, 1, "a refusal promises that it is safe")
	r.must(as, ActFail, 1, "final answer")
}

// Rule 3: nothing new to an endpoint that drains or is gone; ready again, it is used.
func TestDrain(t *testing.T) {
	for _, st := range []EndpointState{Draining, Gone} {
		r := newRig(t, testSettings(), ready(1, 0, 2))
		r.step(Event{Kind: EvList, List: []Endpoint{{ID: 1, State: st}}})
		r.never(r.message(1, clsSafe, 0, 0), ActSend, 1, "draining or gone")
		r.must(r.step(Event{Kind: EvList, List: []Endpoint{ready(1, 0, 2)}}), ActSend, 1, "ready again")
	}
	r := newRig(t, testSettings(), ready(1, 0, 2))
	r.step(Event{Kind: EvList, FullList: true})
	r.never(r.message(1, clsSafe, 0, 0), ActSend, 1, "not in the full list")
}

// Rule 5: a told wait silences the whole route until it is over, and a route apart alone.
func TestToldWait(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2), ready(2, 0, 2))
	r.message(1, clsSafe, 0, 0)
	r.reply(1, Full, 3000)
	r.never(r.message(2, clsSafe, 0, 0), ActSend, 2, "other message, other endpoint")
	for _, a := range r.run(1000 + 2999) {
		if a.Kind == ActSend {
			t.Fatalf("sent during the wait: %+v", a)
		}
	}
	as := r.run(6000)
	if find(as, ActSend, 1) == nil && find(as, ActSend, 2) == nil {
		t.Fatal("nothing sent after the wait")
	}

	r = newRig(t, testSettings(), ready(1, 0, 1), ready(2, 0, 1))
	r.message(1, clsSafe, 0, 0)
	first := r.on[1]
	r.reply(1, Full, 3000)
	r.message(2, clsSafe, 0, 0)
	if r.on[2] == first || r.on[2] == 0 {
		t.Fatalf("the other route should be used, got %d after %d", r.on[2], first)
	}
}

// Found by the bench: every message of a batched call may be told a wait of its own.
func TestLongestWaitOfABatchedCallHolds(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 0))
	r.step(Event{Kind: EvMessage, ID: 1, Remaining: 20000}, Event{Kind: EvMessage, ID: 2, Remaining: 20000})
	if r.s.busy != 1 {
		t.Fatalf("two messages in one step took %d slots", r.s.busy)
	}
	r.step(r.outcome(1, Full, 100), r.outcome(2, Full, 900))
	for _, a := range r.run(1000 + 899) {
		if a.Kind == ActSend {
			t.Fatalf("sent during the longer wait: %+v", a)
		}
	}
}

// Rule 6: messages of one key go one at a time, in order, and rest after doubt.
func TestKeyOrder(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2), ready(2, 1, 2))
	r.message(1, clsOrdered, 0, 9)
	r.never(r.message(2, clsOrdered, 1, 9), ActSend, 2, "the first is out")
	r.must(r.message(3, clsOrdered, 1, 8), ActSend, 3, "another key")
	r.must(r.reply(1, OK, 0), ActSend, 2, "its turn")

	r = newRig(t, testSettings(), ready(1, 0, 2))
	r.message(1, clsOrdered, 0, 9)
	r.message(2, clsOrdered, 0, 9)
	r.step(Event{Kind: EvWithdrawn, ID: 1})
	r.never(r.run(2000), ActSend, 2, "withdrawn, but its attempt is out")
	as := append(r.reply(1, Timeout, 0), r.run(2000+3990)...)
	r.never(as, ActSend, 2, "the key rests")
	r.must(r.run(8000), ActSend, 2, "rest is over")
}

func TestNeverTwoAttemptsOut(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2), ready(2, 0, 2))
	r.message(1, clsSafe, 0, 0)
	r.never(r.run(9000), ActSend, 1, "the first attempt has no outcome")
}

// Rule 4: after an outage the ramp stays under multiple x present capacity x span, as a share of our own
// rate before it.
func TestRampAfterOutage(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	id := uint64(0)
	for r.now < 21000 { // 2 a second for 20 s
		r.now += 500
		id++
		r.message(id, clsSafe, 0, 0)
		r.reply(id, OK, 0)
	}
	fails := 0
	for (r.s.eps[1].state != open || r.s.busy > 0) && r.now < 40000 { // outage
		r.now += 250
		id++
		as := r.message(id, clsSafe, 0, 0)
		for i := 0; i < len(as); i++ {
			if as[i].Kind == ActSend {
				if r.s.eps[1].state != open {
					fails++
				}
				as = append(as, r.reply(as[i].ID, ConnectFailed, 0)...)
			}
		}
	}
	if fails < openAfter || fails > openAfter+1 {
		t.Fatalf("breaker opened after %d failures", fails)
	}
	base := r.s.eps[1].base
	if base < 1.5 || base > 2.5 {
		t.Fatalf("own rate before the outage: %v", base)
	}
	var sent []float64
	for r.now < 60000 && r.s.eps[1].state != closed {
		as := r.run(r.now + 50)
		id++
		if id%5 == 0 {
			as = append(as, r.message(id, clsSafe, 0, 0)...)
		}
		for _, a := range as {
			if a.Kind == ActSend && r.s.eps[1].state != closed {
				sent = append(sent, r.now)
				r.reply(a.ID, OK, 0)
			}
		}
	}
	if len(sent) < 3 {
		t.Fatal("never came back")
	}
	for i, at := range sent {
		n := 0.0
		for _, b := range sent[i:] {
			if b < at+3000 {
				n++
			}
		}
		share := 0.25 + 0.75*(at+1500-sent[0])/10000
		if allowed := 1.5*base*share*3 + 1; n > allowed {
			t.Fatalf("%v sends in the 3 s from %v, allowed %v", n, at, allowed)
		}
	}
}

// A breaker lets one trial out at a time.
func TestOneTrialAtATime(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	for id := uint64(1); id <= 20; id++ {
		r.message(id, clsSafe, 0, 0)
	}
	for range openAfter {
		for id := uint64(1); id <= 20 && r.s.eps[1].state != open; id++ {
			if m := r.s.msgs[id]; m != nil && m.out != nil {
				r.reply(id, ConnectFailed, 0)
			}
		}
	}
	for id := uint64(1); id <= 20; id++ { // the rest of what was out
		if m := r.s.msgs[id]; m != nil && m.out != nil {
			r.reply(id, ConnectFailed, 0)
		}
	}
	out := 0
	for range 100 {
		r.run(r.now + 100)
		out = max(out, r.s.busy)
	}
	if out != 1 {
		t.Fatalf("%d calls out to an endpoint in outage", out)
	}
}

// The controller against hand-worked values.
func TestControllerArithmetic(t *testing.T) {
	var c controller
	c.reset(0)
	for range 4 { // 4 a second
		c.arrive(500)
	}
	c.waited, c.done = 1000, 2 // E[X] = 500 ms
	c.delays, c.sent = 3000, 2 // d = 1500 ms
	c.update(1000, 2000, 0, true)
	pam := (2000.0 - 500) / (0.004 * 2000 * 500) // eq. 4: 0.375
	y := (1500.0 - 2000) / 2000                  // -0.25
	u := -theta1Start * y / theta2Start          // +0.5
	if math.Abs(c.pam-pam) > 1e-9 || math.Abs(c.u-u) > 1e-9 || math.Abs(c.pa-(pam+u)) > 1e-9 {
		t.Fatalf("pam %v want %v, u %v want %v, pa %v", c.pam, pam, c.u, u, c.pa)
	}
	// Second period: y = 0.5; phi = (-0.25, 0.5), P = I, so the gain is phi/(1+phi'phi) = phi/1.3125.
	c.arrive(1500)
	c.delays, c.sent = 3000, 1
	miss := 0.5 - (-0.25*theta1Start + 0.5*theta2Start)
	want := [2]float64{theta1Start - 0.25/1.3125*miss, theta2Start + 0.5/1.3125*miss}
	c.update(2000, 2000, 0, true)
	if math.Abs(c.theta[0]-want[0]) > 1e-9 || math.Abs(c.theta[1]-want[1]) > 1e-9 {
		t.Fatalf("theta %v want %v", c.theta, want)
	}
	// Far over Dref the clamp holds, and without arrivals the predictor's last value is kept.
	kept := c.pam
	c.delays, c.sent = 90000, 1
	c.update(3000, 2000, 0, true)
	if c.pa != minAdmit || c.pam != kept {
		t.Fatalf("pa %v, pam %v want %v", c.pa, c.pam, kept)
	}
	c.update(4000, 2000, 0, false)
	if c.pa != 1 || c.ex != 0 {
		t.Fatalf("at rest: pa %v, E[X] %v", c.pa, c.ex)
	}
}

func TestTheta2Floor(t *testing.T) {
	var c controller
	c.reset(0)
	c.y, c.u, c.primed = 0, 3, true
	c.learn(-9)
	if c.theta[1] != theta2Floor {
		t.Fatalf("theta2 %v", c.theta[1])
	}
}

// Overload: a destination that is kept back refuses at random early and says when to come again.
func TestRefusesUnderBacklog(t *testing.T) {
	set := testSettings()
	set.LimitIndex, set.MaxHeld = 0, 10000
	r := newRig(t, set, ready(1, 0, 2))
	refused, early := 0, 0
	for i := range 400 { // 8 a second against a pace of 2
		r.now += 125
		id := uint64(i + 1)
		as := r.message(id, clsSafe, 0, 0)
		as = append(as, r.run(r.now+1)...)
		for _, a := range as {
			switch {
			case a.Kind == ActSend:
				e := r.outcome(a.ID, OK, 0)
				e.Report = []float64{2}
				r.step(e)
			case a.Kind == ActRefuse:
				refused++
				if a.ID == id {
					early++
					if a.After <= 0 || a.After > set.MaxRetryAfter {
						t.Fatalf("retry-after %v", a.After)
					}
				}
			}
		}
	}
	if refused < 100 || early < refused/2 {
		t.Fatalf("refused %d, at intake %d", refused, early)
	}
}

// A limit without a wait brings the pace down and a short back-off; messages stay held.
func TestFullBacksOff(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	r.message(1, clsSafe, 0, 0)
	r.never(r.reply(1, Full, 0), ActRefuse, 1, "held, not refused")
	if p := r.s.eps[1].route.limit; p == 0 || p > paceFirst {
		t.Fatalf("pace %v after full", p)
	}
	r.must(r.run(1000+1.6*1000/paceFirst/(1-cutBy)), ActSend, 1, "at the pace")
}

// Incident: many silent endpoints must leave slots to the healthy.
func TestHungCallsLeaveSlots(t *testing.T) {
	set := testSettings()
	set.CallSlots = 9
	eps := []Endpoint{ready(100, 100, 2)}
	for i := range 20 {
		eps = append(eps, ready(uint32(i+1), i, 2))
	}
	r := newRig(t, set, eps...)
	id := uint64(0)
	for i := range 20 { // a first failure makes each suspect
		id++
		r.message(id, clsSafe, i, 0)
		r.reply(id, Timeout, 0)
	}
	r.run(r.now + 1000) // repeats go out and hang
	if r.s.busy > 3 {
		t.Fatalf("%d of 9 slots with suspect endpoints", r.s.busy)
	}
	r.must(r.message(1000, clsSafe, 100, 0), ActSend, 1000, "healthy destination")
}

// Incident: idle connections die silently; once that is learnt, a fresh one is used.
func TestStaleConnections(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	id := uint64(0)
	hungUp := false
	for range 8 {
		id++
		for _, a := range r.message(id, clsSafe, 0, 0) {
			hungUp = hungUp || a.Kind == ActCloseIdle
		}
		r.reply(id, OK, 0) // fresh or young: answered
		r.run(r.now + 4000)
		if hungUp {
			break
		}
		id++
		as := r.message(id, clsSafe, 0, 0)
		for _, a := range as {
			hungUp = hungUp || a.Kind == ActCloseIdle
		}
		if !hungUp { // on a connection idle for 4 s: lost
			r.reply(id, Timeout, 0)
			for _, a := range r.run(r.now + 2000) {
				if a.Kind == ActSend {
					r.reply(a.ID, OK, 0)
				}
			}
		}
	}
	if !hungUp {
		t.Fatal("keeps trusting idle connections that lose calls")
	}
}

func TestHoldingRoomIsRelieved(t *testing.T) {
	set := testSettings()
	r := newRig(t, set)
	for i := range 150 {
		r.message(uint64(i+1), clsSafe, 5, 0)
		if float64(r.s.held) > holdShare*float64(set.MaxHeld) {
			t.Fatalf("holds %d", r.s.held)
		}
	}
}

func TestOddButLegal(t *testing.T) {
	set := testSettings()
	set.CallSlots, set.Kinds = 0, nil
	r := newRig(t, set, ready(1, 0, 9))
	r.step(
		Event{Kind: EvOutcome, ID: 77, Outcome: OK}, Event{Kind: EvWithdrawn, ID: 77},
		Event{Kind: EvTimer, Token: 99}, Event{Kind: EvProbe, Endpoint: 12345},
		Event{Kind: EvList, Failed: true}, Event{Kind: EvList, List: []Endpoint{{ID: 50, State: Gone}}},
	)
	r.never(r.message(1, clsSafe, 0, 0), ActSend, 1, "no slots")
	r.step(Event{Kind: EvWithdrawn, ID: 1}, Event{Kind: EvWithdrawn, ID: 1})
	if r.s.held != 0 {
		t.Fatalf("held %d", r.s.held)
	}
}

func TestSubscribesWhereAskedFor(t *testing.T) {
	set := testSettings()
	set.Subscribe = true
	s := New(set, 1)
	if as := s.Step(10, nil, nil); len(as) == 0 || as[0].Kind != ActSubscribe {
		t.Fatalf("no subscription at the start: %+v", as)
	}
	s.Step(20, []Event{{Kind: EvList, Failed: true}}, nil)
	again := false
	for now := 30.0; now < 3000; now += 50 {
		for _, a := range s.Step(now, nil, nil) {
			again = again || a.Kind == ActSubscribe
		}
	}
	if !again {
		t.Fatal("a failed subscription is not asked for again")
	}
}

func TestDeterminism(t *testing.T) {
	play := func() [][]Action {
		var all [][]Action
		simulate(t, 3, 400, func(as []Action) { all = append(all, append([]Action(nil), as...)) })
		return all
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Fatal("equal events and seed gave other actions")
	}
}

// In an outage of the whole destination the controller rests: fresh messages are held, not refused; while one
// endpoint is well it acts.
func TestControllerRestsInOutageOnly(t *testing.T) {
	for _, whole := range []bool{true, false} {
		r := newRig(t, testSettings(), ready(1, 0, 2), ready(2, 0, 2))
		r.s.eps[1].fails, r.s.eps[1].mute = 1, true
		if whole {
			r.s.eps[2].fails, r.s.eps[2].mute = 1, true
		}
		r.s.eps[1].route.waitUntil = 1e9
		r.message(1, clsSafe, 0, 0)
		if d := r.s.dests[0]; d.blocked == whole {
			t.Fatalf("whole outage %v: acting %v", whole, d.blocked)
		}
	}
}

// What was taken on in an earlier life is not refused at intake; its attempts count, and one that may have run
// binds as it did then.
func TestRestored(t *testing.T) {
	for name, row := range map[string]struct {
		e    Event
		want ActionKind
	}{
		"untouched":             {Event{Class: clsUnsafe}, ActSend},
		"a call that never ran": {Event{Class: clsUnsafe, Attempts: 1}, ActSend},
		"unsafe in doubt":       {Event{Class: clsUnsafe, Attempts: 1, MayHaveRun: true, MayHaveRunAge: 10}, ActFail},
		"keyed in its span":     {Event{Class: clsKeyed, Attempts: 1, MayHaveRun: true, MayHaveRunAge: 5000}, ActSend},
		"keyed past its span":   {Event{Class: clsKeyed, Attempts: 1, MayHaveRun: true, MayHaveRunAge: 7900}, ActRefuse},
		"no attempts left":      {Event{Class: clsKeyed, Attempts: 6}, ActRefuse},
	} {
		r := newRig(t, testSettings(), Endpoint{ID: 1, State: Ready, Kind: 2, Dest: 3})
		r.now = 1e6
		row.e.Kind, row.e.ID, row.e.Dest, row.e.Remaining, row.e.Restored = EvMessage, 9, 3, 10000, true
		r.step(row.e)
		if find(r.last, row.want, 9) == nil {
			t.Errorf("%s: %+v", name, r.last)
		}
	}
}

// One error that was answered idles no endpoint while its sibling works, and one silence not for good: either would
// halve a destination for as long as the sibling has a queue.
func TestFailedOnceIsTriedAgain(t *testing.T) {
	for o, wait := range map[Outcome]float64{Error: 0, Timeout: 3000} {
		r := newRig(t, testSettings(), ready(1, 0, 2), ready(2, 0, 2))
		for id := range uint64(2) { // both have been called, and are up
			r.message(1+id, clsSafe, 0, 0)
		}
		r.reply(1, OK, 0)
		r.reply(2, OK, 0)
		r.message(3, clsSafe, 0, 0)
		failed := r.on[3]
		r.reply(3, o, 0)
		r.step(Event{Kind: EvWithdrawn, ID: 3})
		r.now += wait
		r.message(4, clsSafe, 0, 0)
		r.message(5, clsSafe, 0, 0)
		if r.on[4] != failed && r.on[5] != failed {
			t.Errorf("outcome %d: endpoint %d gets nothing", o, failed)
		}
	}
}

// After an outage a destination is ramped up from its part of the limit that it told, where that is more than the
// rate before: what has waited would else expire at a destination that could take it.
func TestRampFromToldLimit(t *testing.T) {
	sent := func(limit float64) (n int) {
		set := testSettings()
		set.AllowanceIndex, set.LimitIndex = 0, 1
		r := newRig(t, set, ready(1, 0, 2))
		id := uint64(1)
		for ; r.s.eps[1].state == closed; id++ { // light traffic, then failures
			r.message(id, clsSafe, 0, 0)
			e := r.outcome(id, OK, 0)
			if id > 5 {
				e = r.outcome(id, Reset, 0)
			}
			e.Report = []float64{1, limit}
			r.step(e)
			r.step(Event{Kind: EvWithdrawn, ID: id})
			r.now += 500
		}
		for range 50 {
			id++
			r.message(id, clsSafe, 0, 0)
		}
		for end := r.now + 12000; r.now < end; {
			for _, a := range r.run(r.now + 50) {
				if a.Kind == ActSend {
					n++
					e := r.outcome(a.ID, OK, 0)
					e.Report = []float64{1, limit}
					r.step(e)
				}
			}
		}
		return n
	}
	if few, many := sent(4), sent(100); 2*many < 3*few {
		t.Errorf("%d sent in the ramp to a limit of 4, %d to one of 100", few, many)
	}
}

// A ramp goes on after one answered error and begins again after two in a row, or after silence.
func TestErrorsInRamp(t *testing.T) {
	for name, row := range map[string]struct {
		fates []Outcome
		want  breaker
	}{
		"one": {[]Outcome{Error}, ramping}, "apart": {[]Outcome{Error, OK, Error}, ramping},
		"in a row": {[]Outcome{Error, Error}, open}, "silence": {[]Outcome{Timeout}, open},
	} {
		r := newRig(t, testSettings(), ready(1, 0, 2))
		ep := r.s.eps[1]
		ep.state, ep.rampAt, ep.base = ramping, r.now, 100
		for i, o := range row.fates {
			r.now += 100
			id := uint64(i + 1)
			r.must(r.message(id, clsSafe, 0, 0), ActSend, id, name)
			r.reply(id, o, 0)
			r.step(Event{Kind: EvWithdrawn, ID: id})
		}
		if ep.state != row.want {
			t.Errorf("%s: state %d, want %d", name, ep.state, row.want)
		}
	}
}

// An open breaker lets some calls through while its endpoint answers, no more than a cold destination takes; where
// nobody answers it lets one trial through at a time.
func TestOpenBreakerGoesOnWhileAnswered(t *testing.T) {
	sent := func(o Outcome) (n int) {
		r := newRig(t, testSettings(), ready(1, 0, 2))
		ep := r.s.eps[1]
		ep.base, ep.state, ep.fails, ep.leaks, ep.mute = 20, open, openAfter, o == Error, o != Error
		ep.openAt, ep.nextTrial, ep.budget = r.now, r.now+trialLo, bucket{0, r.now}
		for id := range uint64(40) {
			r.message(id+1, clsSafe, 0, 0)
		}
		for end := r.now + 3000; r.now < end; {
			for _, a := range r.run(r.now + 50) {
				if a.Kind == ActSend {
					n++
					r.step(r.outcome(a.ID, o, 0))
				}
			}
		}
		return n
	}
	cold := 20 * 0.25 * 1.5 * 3 // what fail-back allows in 3 s, from all senders
	if n := sent(Error); n < 8 || float64(n) > cold {
		t.Errorf("%d calls in 3 s to an endpoint that answers with errors", n)
	}
	if n := sent(Timeout); n > 4 {
		t.Errorf("%d calls in 3 s to one that is silent", n)
	}
}

// A told limit that falls for a while takes the pace with it, and brings it back: creeping up by a few parts in a
// hundred a second would hold messages for longer than they live.
func TestPaceFollowsToldLimit(t *testing.T) {
	set := testSettings()
	set.AllowanceIndex, set.LimitIndex = 0, 1
	r := newRig(t, set, ready(1, 0, 2))
	tell := func(id uint64, o Outcome, x1 float64) float64 {
		r.now += 100
		r.message(id, clsSafe, 0, 0)
		e := r.outcome(id, o, 0)
		e.Report = []float64{0.5, x1}
		r.step(e)
		r.step(Event{Kind: EvWithdrawn, ID: id})
		return r.s.eps[1].route.limit
	}
	if l := tell(1, OK, 20); l != 20 {
		t.Errorf("pace %v under a limit of 20", l)
	}
	if l := tell(2, OK, 2); l > 2 {
		t.Errorf("pace %v under a limit of 2", l)
	}
	if l := tell(3, OK, 20); l < 15 {
		t.Errorf("pace %v under a limit that is 20 again", l)
	}
	r.s.eps[1].route.limit, r.s.eps[1].route.tokens.v = 0.5, 1
	if l := tell(4, OK, 21); l < 5 {
		t.Errorf("pace %v, under half an even share of 21", l)
	}
}

// A pace from outside spaces the calls evenly, and senders that are given theirs in one moment do not call in step.
func TestPaceFromOutside(t *testing.T) {
	const senders, rate = 60, 2.0
	atOnce := 0
	for seed := range uint64(senders) {
		s := New(testSettings(), seed)
		events := []Event{{Kind: EvList, FullList: true, List: []Endpoint{{ID: 1, State: Ready, Kind: 2}}}, {Kind: EvPace, Pace: rate}}
		for id := range uint64(10) {
			events = append(events, Event{Kind: EvMessage, ID: id + 1, Class: clsSafe, Remaining: 20000})
		}
		var sentAt []float64
		for now := 1000.0; now < 4000; now += 5 {
			var outcomes []Event
			for _, a := range s.Step(now, events, nil) {
				if a.Kind == ActSend {
					sentAt = append(sentAt, now)
					outcomes = append(outcomes, Event{Kind: EvOutcome, ID: a.ID, Endpoint: 1, Outcome: OK, Latency: 5})
				}
			}
			events = outcomes
		}
		if sentAt[0] == 1000 {
			atOnce++
		}
		for i := range sentAt {
			if i > 0 && sentAt[i]-sentAt[i-1] < 1000/rate-10 {
				t.Fatalf("seed %d: calls at %v, at a pace of %v a second", seed, sentAt, rate)
			}
		}
		if len(sentAt) < 5 || len(sentAt) > 7 {
			t.Fatalf("seed %d: %d calls in 3 s at %v a second", seed, len(sentAt), rate)
		}
		s.Step(4000, []Event{{Kind: EvPace}}, nil) // no longer
		if n := len(s.dests[0].queue); n != 0 {
			t.Errorf("seed %d: %d still wait when the pace has ended", seed, n)
		}
	}
	if atOnce > senders/4 {
		t.Errorf("%d of %d senders call in the moment in which they were given a pace", atOnce, senders)
	}
}

// Settings read anew: a new class is taken at once, a message under way keeps its own class, and fewer
// attempts hold for it as well.
func TestRetune(t *testing.T) {
	set := testSettings()
	r := newRig(t, set, ready(1, 0, 2))
	r.message(1, clsSafe, 0, 0)
	r.reply(1, Error, 0)
	r.run(r.now + 1000) // its second attempt is out
	if r.attempts[1] != 2 {
		t.Fatalf("%d attempts", r.attempts[1])
	}
	next := set
	next.Classes = append(slices.Clone(set.Classes), Class{Name: "new", Aim: 500, Deadline: 5000, Worth: 2, Effect: Unsafe})
	next.MaxAttempts = 2
	r.step(Event{Kind: EvSettings, Settings: &next})
	r.must(r.message(2, len(next.Classes)-1, 0, 0), ActSend, 2, "a message of the new class")
	r.must(r.reply(1, Error, 0), ActRefuse, 1, "its attempts are used up under the new settings")
	if m := r.s.msgs[2]; m == nil || m.class.Effect != Unsafe || r.s.aim != 500 {
		t.Fatalf("the new class is not in force: %+v, aim %v", m, r.s.aim)
	}
}

// A call to another zone costs what the settings charge for it: with a fee, a sender takes its own zone's
// endpoint though a connection to it must be opened first; without one, the warm connection elsewhere.
func TestCrossZoneFee(t *testing.T) {
	for _, c := range []struct {
		fee  float64
		want uint32
	}{{0, 2}, {0.03, 1}} {
		set := testSettings()
		set.Zone, set.CrossZoneFee = 0, c.fee
		far := Endpoint{ID: 2, State: Ready, Dest: 0, Kind: 2, Zone: 1}
		r := newRig(t, set, far)
		r.message(1, clsSafe, 0, 0)
		r.reply(1, OK, 0) // the connection to the far one is warm now
		r.step(Event{Kind: EvList, List: []Endpoint{ready(1, 0, 2)}})
		r.must(r.message(2, clsSafe, 0, 0), ActSend, 2, "a second message")
		if r.on[2] != c.want {
			t.Errorf("fee %v: sent to %d, want %d", c.fee, r.on[2], c.want)
		}
	}
}
