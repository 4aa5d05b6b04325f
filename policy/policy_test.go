package policy

import (
	"math"
	"reflect"
	"slices"
	"testing"
)

const (
	classSafe = iota
	classKeyed
	classUnsafe
	classOrdered
)

// testSettings describes three kinds of destination: a shared limit with batches of 5, endpoints with limits of their
// own, and a shared limit with single messages.
func testSettings() Settings {
	return Settings{
		Senders: 2, CallSlots: 10, MaxAttempts: 6, MaxHeld: 100, StreamsPerConn: 1, KeepAlive: 10000,
		DialTimeout: 1000, DrainGrace: 500, WarmUpDuration: 10000, ColdCapacity: 0.25,
		OverloadMultiple: 1.5, OverloadWindow: 3000,
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
	t            *testing.T
	s            *Sender
	now          float64
	lastActions  []Action
	attempts     map[uint64]int
	lastEndpoint map[uint64]uint32
}

// newRig returns a rig at 1000 ms whose Sender knows eps.
func newRig(t *testing.T, set Settings, eps ...Endpoint) *rig {
	t.Helper()
	r := &rig{t: t, s: New(set, 7), now: 1000, attempts: map[uint64]int{}, lastEndpoint: map[uint64]uint32{}}
	r.step(Event{Kind: EvList, FullList: true, List: eps})
	return r
}

// step runs a step at the present time, counts the attempts and returns the actions.
func (r *rig) step(events ...Event) []Action {
	r.lastActions = r.s.Step(r.now, events, nil)
	for _, a := range r.lastActions {
		if a.Kind == ActSend {
			r.attempts[a.ID]++
			r.lastEndpoint[a.ID] = a.Endpoint
		}
	}
	return r.lastActions
}

// run advances to a time, fires the timers that come due and returns all actions.
func (r *rig) run(to float64) []Action {
	var all []Action
	for r.now < to {
		next := math.Min(to, r.now+50)
		r.now = next
		token := r.s.timerToken
		if r.s.timerAt <= r.now {
			all = append(all, r.step(Event{Kind: EvTimer, Token: token})...)
		}
	}
	return all
}

// message submits a message with 20 s left.
func (r *rig) message(id uint64, class, dest int, key uint64) []Action {
	return r.step(Event{Kind: EvMessage, ID: id, Class: class, Dest: dest, Key: key, Remaining: 20000})
}

// reply records the outcome of the last attempt of a message; wait is the requested wait in ms.
func (r *rig) reply(id uint64, o Outcome, wait float64) []Action {
	return r.step(r.outcome(id, o, wait))
}

// outcome returns the event of the last attempt of a message, with a latency of 200 ms.
func (r *rig) outcome(id uint64, outcome Outcome, wait float64) Event {
	return Event{Kind: EvOutcome, ID: id, Endpoint: r.lastEndpoint[id], Attempt: r.attempts[id] - 1, Outcome: outcome,
		RequestedWait: wait, Latency: 200, Final: outcome == OK}
}

func findAction(actions []Action, kind ActionKind, id uint64) *Action {
	for i := range actions {
		if actions[i].Kind == kind && actions[i].ID == id {
			return &actions[i]
		}
	}
	return nil
}

func (r *rig) requireAction(actions []Action, kind ActionKind, id uint64, what string) {
	r.t.Helper()
	if findAction(actions, kind, id) == nil {
		r.t.Fatalf("%s: no action %d for message %d in %+v", what, kind, id, actions)
	}
}

func (r *rig) forbidAction(actions []Action, kind ActionKind, id uint64, what string) {
	r.t.Helper()
	if a := findAction(actions, kind, id); a != nil {
		r.t.Fatalf("%s: unwanted action %+v", what, *a)
	}
}

func ready(id uint32, dest, kind int) Endpoint {
	return Endpoint{ID: id, State: Ready, Dest: dest, Kind: kind}
}

// A message for an idle destination is sent in the step that brings it, and leaves no state behind once delivered.
func TestSendsAtOnceWhenNothingWaits(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	r.requireAction(r.message(1, classSafe, 0, 0), ActSend, 1, "idle destination")
	r.forbidAction(r.reply(1, OK, 0), ActFail, 1, "delivered")
	if r.s.held != 0 || len(r.s.messages) != 0 {
		t.Fatalf("%d messages held, %d remembered after the end", r.s.held, len(r.s.messages))
	}
}

// A message that cannot be sent is answered once, before its deadline.
func TestHeldMessageIsAnsweredOnceInTime(t *testing.T) {
	r := newRig(t, testSettings()) // no endpoint is listed
	r.message(1, classUnsafe, 3, 0)
	r.forbidAction(r.run(1000+20000-answerMargin-100), ActRefuse, 1, "before the answer is due")
	r.requireAction(r.run(1000+20000), ActRefuse, 1, "at the deadline")
	for _, a := range r.run(30000) {
		if a.ID == 1 {
			t.Fatalf("second final answer %+v", a)
		}
	}
}

// A message with no time left, with an invalid time left or of an unknown class is refused in the step that brings it.
func TestExpiredMessageIsRefused(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	r.requireAction(r.step(Event{Kind: EvMessage, ID: 1, Remaining: 0}), ActRefuse, 1, "no time left")
	r.requireAction(r.step(Event{Kind: EvMessage, ID: 2, Remaining: math.NaN()}), ActRefuse, 2, "time left is NaN")
	r.requireAction(r.step(Event{Kind: EvMessage, ID: 3, Remaining: 100, Class: 99}), ActRefuse, 3, "unknown class")
}

// With less time left than a normal call takes, nothing is sent; with slightly more, the message is.
func TestLateRefusal(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	r.message(1, classSafe, 0, 0)
	e := r.outcome(1, OK, 0)
	e.Latency = 500
	r.step(e)
	r.forbidAction(r.step(Event{Kind: EvMessage, ID: 2, Remaining: 499}), ActSend, 2, "499 ms left of a 500 ms call")
	r.requireAction(r.step(Event{Kind: EvMessage, ID: 3, Remaining: 510}), ActSend, 3, "510 ms left of a 500 ms call")
}

// An unsafe message that may have run is failed, never sent again or refused.
func TestUnsafeMessageThatMayHaveRunFails(t *testing.T) {
	for _, o := range []Outcome{Error, Timeout, Reset, Cancelled} {
		r := newRig(t, testSettings(), ready(1, 0, 2))
		r.message(1, classUnsafe, 0, 0)
		r.requireAction(r.reply(1, o, 0), ActFail, 1, "may have run")
		r.forbidAction(r.run(25000), ActSend, 1, "after the end")
	}
	for _, o := range []Outcome{ConnectFailed, Full} {
		r := newRig(t, testSettings(), ready(1, 0, 2))
		r.message(1, classUnsafe, 0, 0)
		r.forbidAction(r.reply(1, o, 0), ActFail, 1, "never ran")
		r.requireAction(r.run(15000), ActSend, 1, "never ran, sent again")
	}
}

// A keyed message that may have run is sent again within its dedup window only.
func TestKeyedRetriesWithinDedupWindowOnly(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	r.message(1, classKeyed, 0, 0)
	r.reply(1, Timeout, 0)
	r.requireAction(r.run(4000), ActSend, 1, "within the dedup window")

	r = newRig(t, testSettings(), ready(1, 0, 2))
	r.message(1, classKeyed, 0, 0)
	r.reply(1, Timeout, 0)
	r.step(Event{Kind: EvList, List: []Endpoint{{ID: 1, State: Draining}}})
	r.run(1000 + 8000*dedupMargin + 100)
	actions := r.step(Event{Kind: EvList, List: []Endpoint{ready(1, 0, 2)}})
	r.forbidAction(append(actions, r.run(20000)...), ActSend, 1, "after the dedup window")
}

// A zone-scoped message that may have run is never sent to another zone, which would not drop the repeat. Its final
// answer is a failure, since a refusal would invite its client to send it again.
func TestZoneScopedRetryStaysInZoneAndIsNotRefused(t *testing.T) {
	set := testSettings()
	set.Classes[classKeyed].ZoneScope = true
	r := newRig(t, set, ready(1, 0, 2))
	r.message(1, classKeyed, 0, 0)
	r.step(Event{Kind: EvList, List: []Endpoint{{ID: 1, State: Gone}, {ID: 2, State: Ready, Zone: 1, Kind: 2}}})
	actions := append(r.reply(1, Timeout, 0), r.run(22000)...)
	r.forbidAction(actions, ActSend, 1, "another zone may run it again")
	r.forbidAction(actions, ActRefuse, 1, "a refusal promises that a repeat is safe")
	r.requireAction(actions, ActFail, 1, "final answer")
}

// Guards against a message that may have run in any zone and is sent, or held until its deadline.
func TestRestoredMessageOfUnknownZoneFailsAtOnce(t *testing.T) {
	set := testSettings()
	set.Classes[classKeyed].ZoneScope = true
	r := newRig(t, set, ready(1, 0, 2))
	actions := r.step(Event{Kind: EvMessage, ID: 1, Class: classKeyed, Remaining: 5000, Restored: true, Attempts: 1,
		MayHaveRun: true, MayHaveRunAge: 100, MayHaveRunZone: UnknownZone})
	r.forbidAction(actions, ActSend, 1, "its zone may not be that of the attempt")
	r.requireAction(actions, ActFail, 1, "final answer")
}

// An endpoint that drains or is gone receives nothing new; once ready again, it is used.
func TestDrain(t *testing.T) {
	for _, st := range []EndpointState{Draining, Gone} {
		r := newRig(t, testSettings(), ready(1, 0, 2))
		r.step(Event{Kind: EvList, List: []Endpoint{{ID: 1, State: st}}})
		r.forbidAction(r.message(1, classSafe, 0, 0), ActSend, 1, "draining or gone")
		r.requireAction(r.step(Event{Kind: EvList, List: []Endpoint{ready(1, 0, 2)}}), ActSend, 1, "ready again")
	}
	r := newRig(t, testSettings(), ready(1, 0, 2))
	r.step(Event{Kind: EvList, FullList: true})
	r.forbidAction(r.message(1, classSafe, 0, 0), ActSend, 1, "not in the full list")
}

// A requested wait stops the whole route until it is over; for an endpoint with a limit of its own, it stops that
// endpoint alone.
func TestRequestedWait(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2), ready(2, 0, 2))
	r.message(1, classSafe, 0, 0)
	r.reply(1, Full, 3000)
	r.forbidAction(r.message(2, classSafe, 0, 0), ActSend, 2, "other message, other endpoint")
	for _, a := range r.run(1000 + 2999) {
		if a.Kind == ActSend {
			t.Fatalf("sent during the wait: %+v", a)
		}
	}
	actions := r.run(6000)
	if findAction(actions, ActSend, 1) == nil && findAction(actions, ActSend, 2) == nil {
		t.Fatal("nothing sent after the wait")
	}

	r = newRig(t, testSettings(), ready(1, 0, 1), ready(2, 0, 1))
	r.message(1, classSafe, 0, 0)
	first := r.lastEndpoint[1]
	r.reply(1, Full, 3000)
	r.message(2, classSafe, 0, 0)
	if r.lastEndpoint[2] == first || r.lastEndpoint[2] == 0 {
		t.Fatalf("the other route should be used, got %d after %d", r.lastEndpoint[2], first)
	}
}

// Every message of a batched call may come with a requested wait of its own; the longest applies.
func TestLongestWaitOfBatchApplies(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 0))
	r.step(Event{Kind: EvMessage, ID: 1, Remaining: 20000}, Event{Kind: EvMessage, ID: 2, Remaining: 20000})
	if r.s.slotsInUse != 1 {
		t.Fatalf("two messages in one step took %d slots", r.s.slotsInUse)
	}
	r.step(r.outcome(1, Full, 100), r.outcome(2, Full, 900))
	for _, a := range r.run(1000 + 899) {
		if a.Kind == ActSend {
			t.Fatalf("sent during the longer wait: %+v", a)
		}
	}
}

// Messages of one key are sent one at a time and in order, and the key pauses after an attempt that may still run.
func TestKeyOrder(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2), ready(2, 1, 2))
	r.message(1, classOrdered, 0, 9)
	r.forbidAction(r.message(2, classOrdered, 1, 9), ActSend, 2, "the first one is in flight")
	r.requireAction(r.message(3, classOrdered, 1, 8), ActSend, 3, "another key")
	r.requireAction(r.reply(1, OK, 0), ActSend, 2, "the first one is delivered")

	r = newRig(t, testSettings(), ready(1, 0, 2))
	r.message(1, classOrdered, 0, 9)
	r.message(2, classOrdered, 0, 9)
	r.step(Event{Kind: EvWithdrawn, ID: 1})
	r.forbidAction(r.run(2000), ActSend, 2, "withdrawn, but its attempt is in flight")
	actions := append(r.reply(1, Timeout, 0), r.run(2000+3990)...)
	r.forbidAction(actions, ActSend, 2, "the key is paused")
	r.requireAction(r.run(8000), ActSend, 2, "the pause is over")
}

// A message whose attempt has no outcome yet is not sent again, although another endpoint is free: it could run twice.
func TestOneAttemptInFlight(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2), ready(2, 0, 2))
	r.message(1, classSafe, 0, 0)
	r.forbidAction(r.run(9000), ActSend, 1, "the first attempt has no outcome")
}

// After an outage the ramp stays below OverloadMultiple × present share of the capacity × OverloadWindow, applied to
// the sender's own rate before the outage.
func TestRampAfterOutage(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	id := uint64(0)
	for r.now < 21000 { // 2 per second for 20 s
		r.now += 500
		id++
		r.message(id, classSafe, 0, 0)
		r.reply(id, OK, 0)
	}
	fails := 0
	for (r.s.endpoints[1].breaker != open || r.s.slotsInUse > 0) && r.now < 40000 { // outage
		r.now += 250
		id++
		actions := r.message(id, classSafe, 0, 0)
		for i := 0; i < len(actions); i++ {
			if actions[i].Kind == ActSend {
				if r.s.endpoints[1].breaker != open {
					fails++
				}
				actions = append(actions, r.reply(actions[i].ID, ConnectFailed, 0)...)
			}
		}
	}
	if fails < breakerFailures || fails > breakerFailures+1 {
		t.Fatalf("breaker opened after %d failures, want breakerFailures or one more", fails)
	}
	base := r.s.endpoints[1].rateBeforeOutage
	if base < 1.5 || base > 2.5 {
		t.Fatalf("own rate before the outage: %v, want 2 within 0.5", base)
	}
	var sent []float64
	for r.now < 60000 && r.s.endpoints[1].breaker != closed {
		actions := r.run(r.now + 50)
		id++
		if id%5 == 0 {
			actions = append(actions, r.message(id, classSafe, 0, 0)...)
		}
		for _, a := range actions {
			if a.Kind == ActSend && r.s.endpoints[1].breaker != closed {
				sent = append(sent, r.now)
				r.reply(a.ID, OK, 0)
			}
		}
	}
	if len(sent) < 3 {
		t.Fatal("the endpoint was not used again after the outage")
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
			t.Fatalf("%v calls in the 3 s from %v, allowed %v", n, at, allowed)
		}
	}
}

// An open breaker allows one trial at a time.
func TestOneTrialAtATime(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	for id := uint64(1); id <= 20; id++ {
		r.message(id, classSafe, 0, 0)
	}
	for range breakerFailures {
		for id := uint64(1); id <= 20 && r.s.endpoints[1].breaker != open; id++ {
			if m := r.s.messages[id]; m != nil && m.inFlight != nil {
				r.reply(id, ConnectFailed, 0)
			}
		}
	}
	for id := uint64(1); id <= 20; id++ { // the other calls in flight
		if m := r.s.messages[id]; m != nil && m.inFlight != nil {
			r.reply(id, ConnectFailed, 0)
		}
	}
	maxInFlight := 0
	for range 100 {
		r.run(r.now + 100)
		maxInFlight = max(maxInFlight, r.s.slotsInUse)
	}
	if maxInFlight != 1 {
		t.Fatalf("%d calls in flight to an endpoint in an outage, want 1", maxInFlight)
	}
}

// The controller's results equal values computed by hand.
func TestControllerArithmetic(t *testing.T) {
	var c admissionController
	c.reset(0)
	for range 4 { // 4 per second
		c.countArrival(500)
	}
	c.waitingTime, c.delivered = 1000, 2 // E[X] = 500 ms
	c.delaySum, c.sent = 3000, 2         // d = 1500 ms
	c.update(1000, 2000, 0, true)
	pam := (2000.0 - 500) / (0.004 * 2000 * 500) // eq. 4: 0.375
	y := (1500.0 - 2000) / 2000                  // -0.25
	u := -initialTheta1 * y / initialTheta2      // +0.5
	if math.Abs(c.pam-pam) > 1e-9 || math.Abs(c.u-u) > 1e-9 || math.Abs(c.pa-(pam+u)) > 1e-9 {
		t.Fatalf("pam %v want %v, u %v want %v, pa %v want their sum", c.pam, pam, c.u, u, c.pa)
	}
	// Second period: y = 0.5; phi = (-0.25, 0.5), P = I, so the gain is phi/(1+phi'phi) = phi/1.3125.
	c.countArrival(1500)
	c.delaySum, c.sent = 3000, 1
	predictionError := 0.5 - (-0.25*initialTheta1 + 0.5*initialTheta2)
	want := [2]float64{initialTheta1 - 0.25/1.3125*predictionError, initialTheta2 + 0.5/1.3125*predictionError}
	c.update(2000, 2000, 0, true)
	if math.Abs(c.theta[0]-want[0]) > 1e-9 || math.Abs(c.theta[1]-want[1]) > 1e-9 {
		t.Fatalf("theta %v want %v", c.theta, want)
	}
	// Far above Dref the lower bound applies, and without arrivals the predictor's last value is kept.
	lastPam := c.pam
	c.delaySum, c.sent = 90000, 1
	c.update(3000, 2000, 0, true)
	if c.pa != minAdmission || c.pam != lastPam {
		t.Fatalf("pa %v want its lower bound, pam %v want %v", c.pa, c.pam, lastPam)
	}
	c.update(4000, 2000, 0, false)
	if c.pa != 1 || c.ex != 0 {
		t.Fatalf("idle: pa %v want 1, E[X] %v want 0", c.pa, c.ex)
	}
}

// The control law divides by theta2, so an update that would take it further down leaves it at minTheta2.
func TestMinTheta2(t *testing.T) {
	var c admissionController
	c.reset(0)
	c.y, c.u, c.hasPrevious = 0, 3, true
	c.updateTheta(-9)
	if c.theta[1] != minTheta2 {
		t.Fatalf("theta2 %v is not at its lower bound", c.theta[1])
	}
}

// Under overload, a throttled destination refuses at random at admission and sends a Retry-After.
func TestRefusesUnderBacklog(t *testing.T) {
	set := testSettings()
	set.LimitIndex, set.MaxHeld = 0, 10000
	r := newRig(t, set, ready(1, 0, 2))
	refused, atAdmission := 0, 0
	for i := range 400 { // 8 per second against a pace of 2
		r.now += 125
		id := uint64(i + 1)
		actions := r.message(id, classSafe, 0, 0)
		actions = append(actions, r.run(r.now+1)...)
		for _, a := range actions {
			switch {
			case a.Kind == ActSend:
				e := r.outcome(a.ID, OK, 0)
				e.Report = []float64{2}
				r.step(e)
			case a.Kind == ActRefuse:
				refused++
				if a.ID == id {
					atAdmission++
					if a.After <= 0 || a.After > set.MaxRetryAfter {
						t.Fatalf("Retry-After %v ms, want more than 0 and MaxRetryAfter at most", a.After)
					}
				}
			}
		}
	}
	if refused < 100 || atAdmission < refused/2 {
		t.Fatalf("refused %d of 400, want 100 at least; at admission %d, want half of them at least", refused, atAdmission)
	}
}

// A refusal without a requested wait reduces the pace and causes a short back-off; the message stays held.
func TestFullBacksOff(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	r.message(1, classSafe, 0, 0)
	r.forbidAction(r.reply(1, Full, 0), ActRefuse, 1, "held, not refused")
	if p := r.s.endpoints[1].route.pace; p == 0 || p > initialPace {
		t.Fatalf("pace %v after a refusal, want more than 0 and initialPace at most", p)
	}
	// 1.6 times the time between two calls at the pace after the first cut.
	r.requireAction(r.run(1000+1.6*1000/initialPace/(1-lightCut)), ActSend, 1, "after the back-off")
}

// Calls to unresponsive endpoints hang and keep their slots. Suspected endpoints may hold a third of the slots at most,
// so that a healthy destination is served at once.
func TestHungCallsLeaveSlots(t *testing.T) {
	set := testSettings()
	set.CallSlots = 9
	eps := []Endpoint{ready(100, 100, 2)}
	for i := range 20 {
		eps = append(eps, ready(uint32(i+1), i, 2))
	}
	r := newRig(t, set, eps...)
	id := uint64(0)
	for i := range 20 { // a first failure makes each endpoint suspected
		id++
		r.message(id, classSafe, i, 0)
		r.reply(id, Timeout, 0)
	}
	r.run(r.now + 1000) // the retries are sent and hang
	if r.s.slotsInUse > 3 {
		t.Fatalf("%d of 9 slots held by suspected endpoints, want 3 at most", r.s.slotsInUse)
	}
	r.requireAction(r.message(1000, classSafe, 100, 0), ActSend, 1000, "healthy destination")
}

// Idle connections can die unnoticed. Once a sender has learned that, it uses new connections.
func TestStaleConnections(t *testing.T) {
	r := newRig(t, testSettings(), ready(1, 0, 2))
	id := uint64(0)
	closedIdle := false
	for range 8 {
		id++
		for _, a := range r.message(id, classSafe, 0, 0) {
			closedIdle = closedIdle || a.Kind == ActCloseIdle
		}
		r.reply(id, OK, 0) // new, or idle for a short time: answered
		r.run(r.now + 4000)
		if closedIdle {
			break
		}
		id++
		actions := r.message(id, classSafe, 0, 0)
		for _, a := range actions {
			closedIdle = closedIdle || a.Kind == ActCloseIdle
		}
		if !closedIdle { // the call on a connection idle for 4 s is lost
			r.reply(id, Timeout, 0)
			for _, a := range r.run(r.now + 2000) {
				if a.Kind == ActSend {
					r.reply(a.ID, OK, 0)
				}
			}
		}
	}
	if !closedIdle {
		t.Fatal("idle connections that lose calls are still used")
	}
}

// Without an endpoint every message waits. Shedding keeps the held messages within maxHeldShare of MaxHeld.
func TestSheddingKeepsHeldBelowLimit(t *testing.T) {
	set := testSettings()
	r := newRig(t, set)
	for i := range 150 {
		r.message(uint64(i+1), classSafe, 5, 0)
		if float64(r.s.held) > maxHeldShare*float64(set.MaxHeld) {
			t.Fatalf("%d messages held, want maxHeldShare of MaxHeld at most", r.s.held)
		}
	}
}

// Events of unknown messages, timers and endpoints, settings without call slots or kinds, and a second withdrawal cause
// no panic and no attempt.
func TestUnusualButValidEvents(t *testing.T) {
	set := testSettings()
	set.CallSlots, set.Kinds = 0, nil
	r := newRig(t, set, ready(1, 0, 9))
	r.step(
		Event{Kind: EvOutcome, ID: 77, Outcome: OK}, Event{Kind: EvWithdrawn, ID: 77},
		Event{Kind: EvTimer, Token: 99}, Event{Kind: EvProbe, Endpoint: 12345},
		Event{Kind: EvList, Failed: true}, Event{Kind: EvList, List: []Endpoint{{ID: 50, State: Gone}}},
	)
	r.forbidAction(r.message(1, classSafe, 0, 0), ActSend, 1, "no slots")
	r.step(Event{Kind: EvWithdrawn, ID: 1}, Event{Kind: EvWithdrawn, ID: 1})
	if r.s.held != 0 {
		t.Fatalf("%d messages held after withdrawal", r.s.held)
	}
}

// With Subscribe, a sender subscribes in its first step, and again within 3 s after a subscription failed. Otherwise it
// would never learn of a change of endpoints.
func TestSubscribesWhenConfigured(t *testing.T) {
	set := testSettings()
	set.Subscribe = true
	s := New(set, 1)
	if actions := s.Step(10, nil, nil); len(actions) == 0 || actions[0].Kind != ActSubscribe {
		t.Fatalf("no subscription at the start: %+v", actions)
	}
	s.Step(20, []Event{{Kind: EvList, Failed: true}}, nil)
	resubscribed := false
	for now := 30.0; now < 3000; now += 50 {
		for _, a := range s.Step(now, nil, nil) {
			resubscribed = resubscribed || a.Kind == ActSubscribe
		}
	}
	if !resubscribed {
		t.Fatal("a failed subscription is not retried")
	}
}

// Equal events and seeds lead to equal actions, so that a run can be repeated.
func TestDeterminism(t *testing.T) {
	play := func() [][]Action {
		var all [][]Action
		simulate(t, 3, 400, func(actions []Action) { all = append(all, append([]Action(nil), actions...)) })
		return all
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Fatal("equal events and seeds gave different actions")
	}
}

// In an outage of the whole destination the controller is idle: new messages are held, not refused. While one
// endpoint works, the controller acts.
func TestControllerIdleInOutageOnly(t *testing.T) {
	for _, allEndpoints := range []bool{true, false} {
		r := newRig(t, testSettings(), ready(1, 0, 2), ready(2, 0, 2))
		r.s.endpoints[1].failures, r.s.endpoints[1].unanswered = 1, true
		if allEndpoints {
			r.s.endpoints[2].failures, r.s.endpoints[2].unanswered = 1, true
		}
		r.s.endpoints[1].route.waitUntil = 1e9
		r.message(1, classSafe, 0, 0)
		if d := r.s.destinations[0]; d.throttled == allEndpoints {
			t.Fatalf("all endpoints in outage %v: throttled %v", allEndpoints, d.throttled)
		}
	}
}

// A message accepted in an earlier run is not refused at admission. Its attempts count, and an attempt that may have
// run has the same consequences as before the restart.
func TestRestoredMessages(t *testing.T) {
	for name, test := range map[string]struct {
		e    Event
		want ActionKind
	}{
		"untouched":                 {Event{Class: classUnsafe}, ActSend},
		"an attempt that never ran": {Event{Class: classUnsafe, Attempts: 1}, ActSend},
		"unsafe, may have run": {Event{Class: classUnsafe, Attempts: 1, MayHaveRun: true, MayHaveRunAge: 10},
			ActFail},
		"keyed within its dedup window": {Event{Class: classKeyed, Attempts: 1, MayHaveRun: true, MayHaveRunAge: 5000},
			ActSend},
		// Repeats end at dedupMargin of the window of 8000 ms.
		"keyed after its dedup window": {Event{Class: classKeyed, Attempts: 1, MayHaveRun: true, MayHaveRunAge: 7900},
			ActRefuse},
		"no attempts left": {Event{Class: classKeyed, Attempts: 6}, ActRefuse},
	} {
		r := newRig(t, testSettings(), Endpoint{ID: 1, State: Ready, Kind: 2, Dest: 3})
		r.now = 1e6
		test.e.Kind, test.e.ID, test.e.Dest, test.e.Remaining, test.e.Restored = EvMessage, 9, 3, 10000, true
		r.step(test.e)
		if findAction(r.lastActions, test.want, 9) == nil {
			t.Errorf("%s: the expected action is not among %+v", name, r.lastActions)
		}
	}
}

// A single error answer does not idle an endpoint while another one works, and a single time-out does not idle it for
// good. Either would halve a destination's capacity for as long as the other endpoint has a queue.
func TestEndpointIsUsedAgainAfterOneFailure(t *testing.T) {
	for o, delay := range map[Outcome]float64{Error: 0, Timeout: 3000} {
		r := newRig(t, testSettings(), ready(1, 0, 2), ready(2, 0, 2))
		for id := range uint64(2) { // both have been called and are up
			r.message(1+id, classSafe, 0, 0)
		}
		r.reply(1, OK, 0)
		r.reply(2, OK, 0)
		r.message(3, classSafe, 0, 0)
		failed := r.lastEndpoint[3]
		r.reply(3, o, 0)
		r.step(Event{Kind: EvWithdrawn, ID: 3})
		r.now += delay
		r.message(4, classSafe, 0, 0)
		r.message(5, classSafe, 0, 0)
		if r.lastEndpoint[4] != failed && r.lastEndpoint[5] != failed {
			t.Errorf("outcome %d: endpoint %d receives no calls, want one of two", o, failed)
		}
	}
}

// After an outage a ramp starts from the sender's part of the advertised limit where that exceeds its rate before the
// outage. Otherwise held messages would expire at a destination that could accept them.
func TestRampFromAdvertisedLimit(t *testing.T) {
	countSent := func(limit float64) (n int) {
		set := testSettings()
		set.AllowanceIndex, set.LimitIndex = 0, 1
		r := newRig(t, set, ready(1, 0, 2))
		id := uint64(1)
		for ; r.s.endpoints[1].breaker == closed; id++ { // light traffic, then failures
			r.message(id, classSafe, 0, 0)
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
			r.message(id, classSafe, 0, 0)
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
	if sentLow, sentHigh := countSent(4), countSent(100); 2*sentHigh < 3*sentLow {
		t.Errorf("%d sent in the ramp to a limit of 4, %d to one of 100, want 1.5 times as many at least", sentLow, sentHigh)
	}
}

// A ramp continues after one error answer and starts again after two in a row or after silence.
func TestErrorsInRamp(t *testing.T) {
	for name, test := range map[string]struct {
		outcomes []Outcome
		want     breakerState
	}{
		"one": {[]Outcome{Error}, ramping}, "apart": {[]Outcome{Error, OK, Error}, ramping},
		"in a row": {[]Outcome{Error, Error}, open}, "silence": {[]Outcome{Timeout}, open},
	} {
		r := newRig(t, testSettings(), ready(1, 0, 2))
		ep := r.s.endpoints[1]
		ep.breaker, ep.rampStart, ep.rateBeforeOutage = ramping, r.now, 100
		for i, o := range test.outcomes {
			r.now += 100
			id := uint64(i + 1)
			r.requireAction(r.message(id, classSafe, 0, 0), ActSend, id, name)
			r.reply(id, o, 0)
			r.step(Event{Kind: EvWithdrawn, ID: id})
		}
		if ep.breaker != test.want {
			t.Errorf("%s: state %d, want %d", name, ep.breaker, test.want)
		}
	}
}

// An open breaker allows some calls while its endpoint answers, no more than a cold destination can take. Where there
// is no answer it allows one trial at a time.
func TestOpenBreakerAllowsCallsWhileAnswered(t *testing.T) {
	countSent := func(o Outcome) (n int) {
		r := newRig(t, testSettings(), ready(1, 0, 2))
		ep := r.s.endpoints[1]
		ep.rateBeforeOutage, ep.breaker, ep.failures, ep.answeredError, ep.unanswered =
			20, open, breakerFailures, o == Error, o != Error
		ep.openedAt, ep.nextTrial, ep.route.rampBudget = r.now, r.now+minTrialPause, tokenBucket{0, r.now}
		for id := range uint64(40) {
			r.message(id+1, classSafe, 0, 0)
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
	cold := 20 * 0.25 * 1.5 * 3 // calls in 3 s, from all senders, up to which a cold destination is not overloaded
	if n := countSent(Error); n < 8 || float64(n) > cold {
		t.Errorf("%d calls in 3 s to an endpoint that answers with errors, want 8 to 22", n)
	}
	if n := countSent(Timeout); n > 4 {
		t.Errorf("%d calls in 3 s to an endpoint that is silent, want 4 at most", n)
	}
}

// An advertised limit that falls for a while takes the pace down and up again with it. Growth by a few per cent per
// second would hold messages beyond their deadlines.
func TestPaceFollowsAdvertisedLimit(t *testing.T) {
	set := testSettings()
	set.AllowanceIndex, set.LimitIndex = 0, 1
	r := newRig(t, set, ready(1, 0, 2))
	answerWithLimit := func(id uint64, o Outcome, limit float64) float64 {
		r.now += 100
		r.message(id, classSafe, 0, 0)
		e := r.outcome(id, o, 0)
		e.Report = []float64{0.5, limit}
		r.step(e)
		r.step(Event{Kind: EvWithdrawn, ID: id})
		return r.s.endpoints[1].route.pace
	}
	if pace := answerWithLimit(1, OK, 20); pace != 20 {
		t.Errorf("pace %v under a limit of 20, want 20", pace)
	}
	if pace := answerWithLimit(2, OK, 2); pace > 2 {
		t.Errorf("pace %v under a limit of 2, want 2 at most", pace)
	}
	if pace := answerWithLimit(3, OK, 20); pace < 15 {
		t.Errorf("pace %v under a limit that is back at 20, want 15 at least", pace)
	}
	r.s.endpoints[1].route.pace, r.s.endpoints[1].route.paceTokens.level = 0.5, 1
	if pace := answerWithLimit(4, OK, 21); pace < 5 {
		t.Errorf("pace %v, want 5 at least, about half of an even share of 21", pace)
	}
}

// A pace cap spaces the calls evenly, and senders that receive their caps at the same moment do not call in step.
func TestPaceCap(t *testing.T) {
	const senders, rate = 60, 2.0
	immediate := 0
	for seed := range uint64(senders) {
		s := New(testSettings(), seed)
		events := []Event{
			{Kind: EvList, FullList: true, List: []Endpoint{{ID: 1, State: Ready, Kind: 2}}},
			{Kind: EvPace, Pace: rate},
		}
		for id := range uint64(10) {
			events = append(events, Event{Kind: EvMessage, ID: id + 1, Class: classSafe, Remaining: 20000})
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
			immediate++
		}
		for i := range sentAt {
			if i > 0 && sentAt[i]-sentAt[i-1] < 1000/rate-10 {
				t.Fatalf("seed %d: calls at %v, too close under a cap of %v per second", seed, sentAt, rate)
			}
		}
		if len(sentAt) < 5 || len(sentAt) > 7 {
			t.Fatalf("seed %d: %d calls in 3 s, want 5 to 7 under a cap of %v per second", seed, len(sentAt), rate)
		}
		s.Step(4000, []Event{{Kind: EvPace}}, nil) // the cap ends
		if n := len(s.destinations[0].queue); n != 0 {
			t.Errorf("seed %d: %d messages still wait after the cap has ended, want none", seed, n)
		}
	}
	if immediate > senders/4 {
		t.Errorf("%d of %d senders call at the moment they receive their cap, want a quarter at most", immediate, senders)
	}
}

// After a change of settings a new class is accepted at once, a message in progress keeps its class, and a lower
// maximum of attempts applies to it as well.
func TestSettingsChange(t *testing.T) {
	set := testSettings()
	r := newRig(t, set, ready(1, 0, 2))
	r.message(1, classSafe, 0, 0)
	r.reply(1, Error, 0)
	r.run(r.now + 1000) // its second attempt is in flight
	if r.attempts[1] != 2 {
		t.Fatalf("%d attempts, want 2", r.attempts[1])
	}
	changed := set
	changed.Classes = append(slices.Clone(set.Classes),
		Class{Name: "new", Aim: 500, Deadline: 5000, Worth: 2, Effect: Unsafe})
	changed.MaxAttempts = 2
	r.step(Event{Kind: EvSettings, Settings: &changed})
	r.requireAction(r.message(2, len(changed.Classes)-1, 0, 0), ActSend, 2, "a message of the new class")
	r.requireAction(r.reply(1, Error, 0), ActRefuse, 1, "its attempts are used up under the new settings")
	if m := r.s.messages[2]; m == nil || m.class.Effect != Unsafe || r.s.minAim != 500 {
		t.Fatalf("the new class does not apply: %+v, aim %v", m, r.s.minAim)
	}
}

// With a fee for calls to another zone, a sender uses the endpoint of its own zone although it needs a new connection
// there. Without a fee, it uses the open connection in the other zone.
func TestCrossZoneFee(t *testing.T) {
	for _, test := range []struct {
		fee  float64
		want uint32
	}{{0, 2}, {0.03, 1}} {
		set := testSettings()
		set.Zone, set.CrossZoneFee = 0, test.fee
		remote := Endpoint{ID: 2, State: Ready, Dest: 0, Kind: 2, Zone: 1}
		r := newRig(t, set, remote)
		r.message(1, classSafe, 0, 0)
		r.reply(1, OK, 0) // leaves an open connection to the remote endpoint
		r.step(Event{Kind: EvList, List: []Endpoint{ready(1, 0, 2)}})
		r.requireAction(r.message(2, classSafe, 0, 0), ActSend, 2, "a second message")
		if r.lastEndpoint[2] != test.want {
			t.Errorf("fee %v: sent to %d, want %d", test.fee, r.lastEndpoint[2], test.want)
		}
	}
}
