package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// fleet drives many independent Senders against the same endpoints of one destination.
type fleet struct {
	now       float64
	rigs      []*rig
	submitted uint64    // messages submitted so far
	callTimes []float64 // times of the calls that reached the endpoint

	calls             map[*rig]int  // calls by sender
	informed          map[*rig]bool // senders that have seen the outage
	informedCallTimes []float64     // those of senders that had seen the outage

	finalAnswers map[uint64]int // number of final answers by message; nil: not counted

	onlyEndpoint  uint32 // count calls to this endpoint alone; 0: to all
	trackInformed bool   // a sender with an outcome other than OK counts as informed from then on
}

// newFleet returns a fleet of n Senders whose settings differ in Index alone. They know eps, or without eps one
// endpoint of destination 0.
func newFleet(t *testing.T, n int, set Settings, eps ...Endpoint) *fleet {
	t.Helper()
	if len(eps) == 0 {
		eps = []Endpoint{ready(1, 0, 2)}
	}
	f := &fleet{now: 1000, calls: map[*rig]int{}, informed: map[*rig]bool{}}
	set.Senders = n
	for i := range n {
		set.Index = i
		r := &rig{t: t, s: New(set, uint64(i+1)), now: f.now, attempts: map[uint64]int{}, lastEndpoint: map[uint64]uint32{}}
		r.step(Event{Kind: EvList, FullList: true, List: eps})
		f.rigs = append(f.rigs, r)
	}
	return f
}

// run advances to a time and submits a message every interval, to each sender in turn; answer decides the outcome of
// each call.
func (f *fleet) run(to, interval float64, answer func(now float64) Outcome) {
	next := f.now
	for f.now < to {
		f.now += 10
		for _, r := range f.rigs {
			r.now = f.now
			var actions []Action
			if r.s.timerAt <= f.now {
				actions = r.step(Event{Kind: EvTimer, Token: r.s.timerToken})
			}
			f.answerCalls(r, actions, answer)
		}
		for ; interval > 0 && next <= f.now; next += interval {
			r := f.rigs[int(f.submitted)%len(f.rigs)]
			f.submitted++
			f.answerCalls(r, r.message(f.submitted, classKeyed, 0, 0), answer)
		}
	}
}

// answerCalls answers each call at once, and also the calls that follow from the answers.
func (f *fleet) answerCalls(r *rig, actions []Action, answer func(now float64) Outcome) {
	f.answerWithReport(r, actions, func(now float64) (Outcome, []float64) { return answer(now), nil })
}

// answerWithReport is answerCalls with a report in each answer.
func (f *fleet) answerWithReport(r *rig, actions []Action, answer func(now float64) (Outcome, []float64)) {
	for i := 0; i < len(actions); i++ {
		if f.finalAnswers != nil && (actions[i].Kind == ActRefuse || actions[i].Kind == ActFail) {
			f.finalAnswers[actions[i].ID]++
		}
		if actions[i].Kind != ActSend {
			continue
		}
		outcome, report := answer(f.now)
		if f.finalAnswers != nil && outcome == OK {
			f.finalAnswers[actions[i].ID]++
		}
		if f.onlyEndpoint == 0 || actions[i].Endpoint == f.onlyEndpoint {
			f.callTimes = append(f.callTimes, f.now)
			if f.calls[r]++; f.informed[r] {
				f.informedCallTimes = append(f.informedCallTimes, f.now)
			}
			if f.trackInformed && outcome != OK {
				f.informed[r] = true
			}
		}
		e := r.outcome(actions[i].ID, outcome, 0)
		e.Report = report
		actions = append(actions, r.step(e)...)
	}
}

func countBetween(times []float64, from, to float64) (n float64) {
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Hundreds of senders that each held a message used to try a cold endpoint within one second. An overload counts
// against the senders if there are more calls than the endpoint can take and two thirds of them come from senders
// that had seen the outage.
func TestManySendersOneColdEndpoint(t *testing.T) {
	for _, n := range []int{20, 60, 400} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, n, testSettings())
			const backAt = 13000.0 // an outage of 12 s; limit 6 per second, traffic 2.5 per second
			f.run(backAt, 400, func(float64) Outcome { return ConnectFailed })
			if len(f.callTimes) == 0 {
				t.Fatal("no sender tried the endpoint")
			}
			for _, r := range f.rigs {
				f.informed[r] = f.calls[r] > 0
			}
			f.callTimes, f.informedCallTimes = nil, nil
			f.run(backAt+9000, 400, func(float64) Outcome { return OK })
			for from := backAt; from < backAt+9000; from += 250 {
				// The capacity in the middle of the 3 s, a quarter of 6 per second at first, by the overload multiple.
				budget := 6 * (0.25 + 0.75*(from+1500-backAt)/10000) * 1.5 * 3
				all, informed := countBetween(f.callTimes, from, from+3000), countBetween(f.informedCallTimes, from, from+3000)
				if all > budget && informed >= all*2/3 {
					t.Fatalf("in the 3 s from %v ms after the return: %v calls, %v by senders that had seen the outage; limit %v",
						from-backAt, all, informed, budget)
				}
			}
		})
	}
}

// overloadShares returns the largest number of calls in any OverloadWindow after a return, relative to the number
// that overloads a cold endpoint whose warm capacity is warmRate per second: of all senders, and of those that had
// seen the outage.
func (f *fleet) overloadShares(set Settings, backAt, warmRate float64) (total, informed float64) {
	for from := backAt; from+set.OverloadWindow <= backAt+set.WarmUpDuration; from += 100 {
		cold := warmRate * (set.ColdCapacity + (1-set.ColdCapacity)*(from+set.OverloadWindow/2-backAt)/set.WarmUpDuration)
		allowed := cold * set.OverloadMultiple * set.OverloadWindow / 1000
		total = max(total, countBetween(f.callTimes, from, from+set.OverloadWindow)/allowed)
		informed = max(informed, countBetween(f.informedCallTimes, from, from+set.OverloadWindow)/allowed)
	}
	return total, informed
}

// Three endpoints with limits of their own crashed together. Each sender that held one message tried all three, each
// by its own breaker's schedule, and the endpoints that came back received three calls for each message. At one of the
// three, the calls of senders that had seen the outage must stay within twice the overload.
func TestOneTrialForRoutesThatFailTogether(t *testing.T) {
	for _, n := range []int{60, 100, 200, 400} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			set := testSettings()
			f := newFleet(t, n, set, ready(1, 0, 1), ready(2, 0, 1), ready(3, 0, 1))
			f.onlyEndpoint, f.trackInformed = 2, true
			const downAt, backAt = 4000.0, 15000.0 // traffic 8 per second for all three, capacity 4 per second each
			answer := func(now float64) Outcome {
				if now >= downAt && now < backAt {
					return ConnectFailed
				}
				return OK
			}
			f.run(backAt, 125, answer)
			f.callTimes, f.informedCallTimes, f.trackInformed = nil, nil, false
			f.run(backAt+set.WarmUpDuration, 125, answer)
			if total, informed := f.overloadShares(set, backAt, 4); informed > 2 { // random variation adds up to as much again
				t.Fatalf("calls reach %.2f of the overload, those of senders that had seen the outage %.2f, want 2 at most",
					total, informed)
			} else {
				t.Logf("calls %.2f of the overload, of senders that had seen the outage %.2f", total, informed)
			}
		})
	}
}

// An outage appeared as refusals. One Full opens no breaker, so each light sender that received one tried again
// within 4 s, and two thirds of the calls to the endpoint that came back were theirs. For any number of senders, the
// calls of those that had seen the outage must stay below the two thirds from which an overload counts against them,
// and within twice the overload.
func TestRefusedSendersSpreadRetries(t *testing.T) {
	for _, n := range []int{100, 400} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			set := testSettings()
			var total, informed float64
			const runs = 5 // each run varies at random
			for run := range runs {
				f := newFleet(t, n, set, ready(1, 0, 2))
				f.submitted, f.trackInformed = uint64(run*17), true
				const downAt, backAt = 16000.0, 30000.0 // traffic 4 per second, capacity 6 per second
				answer := func(now float64) Outcome {
					if now >= downAt && now < backAt {
						return Full
					}
					return OK
				}
				f.run(backAt, 250, answer)
				f.callTimes, f.informedCallTimes, f.trackInformed = nil, nil, false
				f.run(backAt+set.WarmUpDuration, 250, answer)
				runTotal, runInformed := f.overloadShares(set, backAt, 6)
				total, informed = total+runTotal/runs, informed+runInformed/runs
			}
			t.Logf("calls %.2f of the overload, of senders that had seen the outage %.2f", total, informed)
			if informed > 0.65*total || informed > 2 {
				t.Fatalf("calls reach %.2f of the overload, of senders that had seen the outage %.2f, want 2 and 0.65 of all at most",
					total, informed)
			}
		})
	}
}

// A refusal that reports a nearly used-up allowance shows a limit: no sender may wait as for an outage. A refusal while
// nearly all of the allowance is left shows an outage: 40 to 80 % of the senders must wait for more than 4 s, so that
// they do not all try again at once.
func TestAllowanceSeparatesOutageFromLimit(t *testing.T) {
	set := testSettings()
	set.Senders, set.AllowanceIndex = 300, 0
	countLongWaits := func(allowanceLeft float64) (long int) {
		for seed := range uint64(200) {
			r := &rig{t: t, s: New(set, seed), now: 1000, attempts: map[uint64]int{}, lastEndpoint: map[uint64]uint32{}}
			r.step(Event{Kind: EvList, FullList: true, List: []Endpoint{ready(1, 0, 1)}})
			r.now = 9000
			r.message(1, classKeyed, 0, 0)
			e := r.outcome(1, Full, 0)
			e.Report = []float64{allowanceLeft}
			r.step(e)
			if r.s.nextCallAt(r.s.endpoints[1]) > r.now+4000 {
				long++
			}
		}
		return long
	}
	if long := countLongWaits(0.1); long > 0 {
		t.Errorf("%d of 200 take a limit for an outage, want none", long)
	}
	if long := countLongWaits(0.95); long < 80 || long > 160 {
		t.Errorf("%d of 200 take an unavailable endpoint for an outage, want 80 to 160", long)
	}
}

// Each sender's pace has a lower bound, and these used to add up to many times a limit. After 10 s of refusals, all
// senders together must make at most 0.15 calls per second for each of them, for any number of senders.
func TestPacesOfManySendersFall(t *testing.T) {
	for _, n := range []int{20, 60, 400} {
		f := newFleet(t, n, testSettings())
		for i := range 3 * n { // each sender holds messages
			r := f.rigs[i%n]
			f.submitted++
			f.answerCalls(r, r.message(f.submitted, classKeyed, 0, 0), func(float64) Outcome { return Full })
		}
		f.run(16000, 0, func(float64) Outcome { return Full })
		if rate := countBetween(f.callTimes, 11000, 16000) / 5; rate > 0.15*float64(n) {
			t.Fatalf("%d senders still make %v calls per second, want 0.15 for each sender at most", n, rate)
		}
	}
}

// An endpoint added during an outage was taken to be healthy and received the whole backlog at once. It must share the
// outage of its route; one that is added to a healthy destination must not be held back.
func TestNewEndpointSharesOutage(t *testing.T) {
	set := testSettings()
	set.Senders = 100
	r := newRig(t, set, ready(1, 0, 2))
	for id := uint64(1); id <= 3; id++ {
		r.message(id, classKeyed, 0, 0)
		if r.attempts[id] > 0 {
			r.reply(id, ConnectFailed, 0)
		}
	}
	actions := r.step(Event{Kind: EvList, List: []Endpoint{ready(2, 0, 2)}})
	for id := uint64(1); id <= 3; id++ {
		r.forbidAction(actions, ActSend, id, "new endpoint of a destination in an outage")
	}
	if r.s.endpoints[2].breaker != open {
		t.Fatal("the breaker of a new endpoint is not open during an outage of its route")
	}
	other := newRig(t, set, ready(1, 0, 2))
	other.message(1, classKeyed, 0, 0)
	other.reply(1, OK, 0)
	other.step(Event{Kind: EvList, List: []Endpoint{ready(2, 0, 2)}})
	if other.s.endpoints[2].breaker != closed {
		t.Fatal("a new endpoint of a healthy destination is held back")
	}
}

// Discovery removed a silent endpoint from the list and listed it again on its return. A sender that had forgotten
// its state sent it the whole backlog at once.
func TestRelistedEndpointKeepsOutage(t *testing.T) {
	set := testSettings()
	set.Senders = 100
	r := newRig(t, set, ready(1, 0, 2))
	r.message(1, classKeyed, 0, 0)
	r.reply(1, ConnectFailed, 0)
	r.step(Event{Kind: EvList, List: []Endpoint{{ID: 1, State: Gone}}})
	r.run(r.now + 1000)
	r.forbidAction(r.step(Event{Kind: EvList, List: []Endpoint{ready(1, 0, 2)}}), ActSend, 1, "listed again")
	if r.s.endpoints[1].breaker != open {
		t.Fatal("the breaker is forgotten when the endpoint leaves the list")
	}
}

// Idle connections of hundreds of senders kept each other out of endpoints that accept few connections. Once many
// connection attempts have failed, here four of six, a connection must be closed once it is idle; before, it is kept.
func TestNoIdleConnectionsWhenScarce(t *testing.T) {
	set := testSettings()
	set.Senders = 100
	var eps []Endpoint
	for i := range 6 {
		eps = append(eps, ready(uint32(i+1), i, 2))
	}
	r := newRig(t, set, eps...)
	closesIdle := func(actions []Action) bool {
		for _, a := range actions {
			if a.Kind == ActCloseIdle {
				return true
			}
		}
		return false
	}
	r.message(1, classKeyed, 0, 0)
	if closesIdle(r.reply(1, OK, 0)) {
		t.Fatal("closes an idle connection without need")
	}
	for d := 1; d <= 4; d++ {
		r.message(uint64(d+1), classKeyed, d, 0)
		r.reply(uint64(d+1), ConnectFailed, 0)
	}
	r.message(9, classKeyed, 5, 0)
	if !closesIdle(r.reply(9, OK, 0)) {
		t.Fatal("keeps an idle connection where connections are scarce")
	}
}

// A new message with little time left can still reach its aim; a resubmitted one has already waited, so its worth is
// lower.
func TestShortRemainingTimeIsNotLate(t *testing.T) {
	set := testSettings()
	set.MarksResubmissions = true
	r := newRig(t, set)
	r.step(Event{Kind: EvMessage, ID: 1, Class: classSafe, Remaining: 1500},
		Event{Kind: EvMessage, ID: 2, Class: classSafe, Remaining: 1500, Resubmitted: true})
	if fresh, resubmitted := r.s.worth(r.s.messages[1]), r.s.worth(r.s.messages[2]); fresh <= resubmitted {
		t.Fatalf("worth of a new message %v, of a resubmitted one %v, want less for the resubmitted one", fresh, resubmitted)
	}
}

// The state of a sender that runs for weeks does not grow with endpoints, destinations and keys that come and go.
func TestStateIsBounded(t *testing.T) {
	r := newRig(t, testSettings())
	for i := range 2000 {
		id := uint32(i + 1)
		r.now += 5000
		r.step(Event{Kind: EvList, List: []Endpoint{ready(id, i, 1)}})
		r.message(uint64(id), classOrdered, i, uint64(id))
		r.reply(uint64(id), Timeout, 0)
		r.run(r.now + 1000)
		if m := r.s.messages[uint64(id)]; m != nil && m.inFlight != nil {
			r.reply(uint64(id), OK, 0)
		}
		if i%2 == 0 {
			r.step(Event{Kind: EvList, List: []Endpoint{{ID: id, State: Gone}}})
		} else {
			r.step(Event{Kind: EvList, FullList: true})
		}
	}
	r.run(r.now + 60000)
	s := r.s
	if n := len(s.messages) + len(s.endpoints) + len(s.destinations) + len(s.keyQueues) +
		len(s.dialStats[0].endpoints); n > 20 {
		t.Fatalf("remembers %d messages, %d endpoints, %d destinations, %d keys; want 20 with the dial statistics at most",
			len(s.messages), len(s.endpoints), len(s.destinations), len(s.keyQueues))
	}
}

// BenchmarkStep measures one message with its outcome, for a short and a long endpoint list.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{10, 1000} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			set := testSettings()
			set.Senders = 100
			var eps []Endpoint
			for i := range n {
				eps = append(eps, ready(uint32(i+1), i, 2))
			}
			s := New(set, 1)
			s.Step(0, []Event{{Kind: EvList, FullList: true, List: eps}}, nil)
			var out []Action
			for i := range b.N {
				id, now := uint64(i+1), float64(i)*10
				out = s.Step(now, []Event{{Kind: EvMessage, ID: id, Dest: i % n, Remaining: 20000}}, out[:0])
				out = s.Step(now+5, []Event{{Kind: EvOutcome, ID: id, Endpoint: uint32(i%n + 1), Final: true}}, out[:0])
			}
		})
	}
}

// limitedPartner is a destination that accepts a fixed number of calls in each second, counts refused ones too and
// reports its limit, with noise, in each answer.
type limitedPartner struct {
	limit             float64
	windowStart       float64
	calls             float64
	accepted, refused int
	downAt, backAt    float64 // it refuses connections from downAt to backAt
	rng               *rand.Rand
}

// answer returns the outcome of a call and the report in its answer: the share of the limit that is left in this
// second, and the limit within a tenth. A call that fails to connect has no report.
func (partner *limitedPartner) answer(now float64) (Outcome, []float64) {
	if now-partner.windowStart >= 1000 {
		partner.windowStart, partner.calls = now, 0
	}
	if now >= partner.downAt && now < partner.backAt {
		return ConnectFailed, nil
	}
	partner.calls++
	report := []float64{max(0, 1-partner.calls/partner.limit), partner.limit * (0.9 + 0.2*partner.rng.Float64())}
	if partner.calls > partner.limit {
		partner.refused++
		return Full, report
	}
	partner.accepted++
	return OK, report
}

// runPoisson advances the fleet against partner to a time; messages arrive at random, at the given total rate per
// second.
func (f *fleet) runPoisson(to, rate float64, partner *limitedPartner) {
	rng := partner.rng
	next := f.now
	for f.now < to {
		f.now += 10
		for _, r := range f.rigs {
			r.now = f.now
			if r.s.timerAt <= f.now {
				f.answerWithReport(r, r.step(Event{Kind: EvTimer, Token: r.s.timerToken}), partner.answer)
			}
		}
		for ; next <= f.now; next += rng.ExpFloat64() * 1000 / rate {
			r := f.rigs[rng.IntN(len(f.rigs))]
			f.submitted++
			f.answerWithReport(r, r.message(f.submitted, classKeyed, 0, 0), partner.answer)
		}
	}
}

// Each of 80 senders used to cut its own pace at a refusal and raise it again with time, although the destination
// reported its limit in each answer. When the limit fell, 4 in 10 calls were refused, and refused calls used up the
// remaining limit. An advertised limit must be kept and used: at its first value, after a fall to a third, and after
// its return.
func TestFleetUsesAdvertisedLimit(t *testing.T) {
	for _, n := range []int{20, 80, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			set := testSettings()
			set.AllowanceIndex, set.LimitIndex, set.RatingIsRate = 0, 1, true
			f := newFleet(t, n, set, Endpoint{ID: 1, State: Ready, Kind: 2, Rating: 75})
			partner := &limitedPartner{limit: 60, rng: rand.New(rand.NewPCG(uint64(n), 1))}
			for _, phase := range []struct {
				name                        string
				limit, settle               float64
				length, minUsed, maxRefused float64
			}{
				{"at first", 60, 3000, 20000, 0.7, 0.06},
				{"fallen", 20, 3000, 9000, 0.7, 0.2},
				{"back", 60, 4000, 15000, 0.7, 0.06},
			} {
				partner.limit = phase.limit
				f.runPoisson(f.now+phase.settle, 60, partner)
				partner.accepted, partner.refused = 0, 0
				f.runPoisson(f.now+phase.length, 60, partner)
				used, refused := float64(partner.accepted)/(phase.limit*phase.length/1000),
					float64(partner.refused)/float64(partner.accepted+partner.refused)
				t.Logf("%s: %.2f of the limit used, %.3f of the calls refused", phase.name, used, refused)
				if used < phase.minUsed || refused > phase.maxRefused {
					t.Errorf("%s: %.2f of the limit used, want %.2f at least; %.3f of the calls refused, want %.2f at most",
						phase.name, used, phase.minUsed, refused, phase.maxRefused)
				}
			}
		})
	}
}

// After an outage of 5 s each of 80 senders waited up to 19 s for its first trial and ramped from its own small
// earlier rate, although the limit was advertised. A partner that is back must be found soon and used up to its
// capacity, but no further: the calls of all senders stay below the overload, with the smallest
// ratio of capacity to limit that occurs (1.15), for any number of senders and short and long outages.
func TestFleetRecoversToAdvertisedLimit(t *testing.T) {
	for _, n := range []int{20, 80, 200} {
		for _, down := range []float64{2000, 5000, 15000} {
			t.Run(fmt.Sprint(n, " senders, down ", down), func(t *testing.T) {
				set := testSettings()
				set.AllowanceIndex, set.LimitIndex, set.RatingIsRate, set.ColdCapacity, set.WarmUpDuration = 0, 1, true, 0.23, 9100
				f := newFleet(t, n, set, Endpoint{ID: 1, State: Ready, Kind: 2, Rating: 150})
				partner := &limitedPartner{limit: 150, rng: rand.New(rand.NewPCG(uint64(n), 2))}
				const before, rate = 12000.0, 120.0
				partner.downAt, partner.backAt = before, before+down
				f.trackInformed = true
				f.runPoisson(partner.backAt, rate, partner)
				f.callTimes, f.informedCallTimes, partner.accepted, partner.refused, f.trackInformed = nil, nil, 0, 0, false
				f.runPoisson(partner.backAt+set.WarmUpDuration, rate, partner)
				f.runPoisson(partner.backAt+set.WarmUpDuration+1000, rate, partner)
				total, informed := f.overloadShares(set, partner.backAt, 1.15*partner.limit)
				capacity := partner.limit * (set.ColdCapacity + 1) / 2 * set.WarmUpDuration / 1000
				used := countBetween(f.callTimes, partner.backAt, partner.backAt+set.WarmUpDuration) / capacity
				t.Logf("calls %.2f of the overload, of senders that had seen the outage %.2f; %.2f of the capacity used until warm",
					total, informed, used)
				if total > 1 || used < 0.6 { // including senders that had not seen the outage
					t.Errorf("calls reach %.2f of the overload, want 1 at most; %.2f of the capacity used, want 0.6 at least",
						total, used)
				}
			})
		}
	}
}

// Of three equal endpoints every sender chose the first one of the list, since IDs have the same order everywhere.
// That endpoint received 1,405 of 1,451 calls and refused a third of them because its queue was full, while half of
// the limit was unused. The calls of a fleet must spread over equal endpoints, each within a fifth of its even part.
func TestFleetSpreadsOverEqualEndpoints(t *testing.T) {
	for _, n := range []int{20, 80, 200} {
		for _, eps := range [][]Endpoint{{ready(1, 0, 2), ready(2, 0, 2)}, {ready(1, 0, 2), ready(2, 0, 2), ready(3, 0, 2)}} {
			for _, ep := range eps {
				f := newFleet(t, n, testSettings(), eps...)
				f.onlyEndpoint = ep.ID
				f.run(21000, 10, func(float64) Outcome { return OK })
				even := float64(f.submitted) / float64(len(eps))
				if got := float64(len(f.callTimes)); got < 0.8*even || got > 1.2*even {
					t.Errorf("%d senders: endpoint %d of %d received %.0f calls, want the even part of %.0f within a fifth",
						n, ep.ID, len(eps), got, even)
				}
			}
		}
	}
}

// restart ends a sender and starts it again with its facts, the list and the messages it held, as restored from the
// journal.
func (f *fleet) restart(r *rig, seed uint64, eps ...Endpoint) *rig {
	facts, _ := r.s.Facts(0)
	events := []Event{{Kind: EvFacts, Facts: []DestFacts{facts}}, {Kind: EvList, FullList: true, List: eps}}
	next := &rig{t: r.t, s: New(r.s.settings, seed), now: f.now,
		attempts: map[uint64]int{}, lastEndpoint: map[uint64]uint32{}}
	for id, m := range r.s.messages {
		next.attempts[id] = m.attempts
		events = append(events, Event{Kind: EvMessage, ID: id, Class: classKeyed, Remaining: m.deadline - f.now,
			Restored: true, Attempts: m.attempts})
	}
	slices.SortFunc(events[2:], func(a, b Event) int { return cmp.Compare(a.ID, b.ID) })
	next.lastActions = next.step(events...)
	return next
}

// Seven of ten senders are killed at once under load and restart together with the messages they held, during a wait
// that the partner requested. No call goes out during the wait, the limit is used after it, and every message has one
// final answer.
func TestFleetRestartsTogether(t *testing.T) {
	for _, n := range []int{20, 80, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			set := testSettings()
			set.AllowanceIndex, set.LimitIndex, set.RatingIsRate = 0, 1, true
			eps := []Endpoint{{ID: 1, State: Ready, Kind: 2, Rating: 60}}
			f := newFleet(t, n, set, eps...)
			f.finalAnswers = map[uint64]int{}
			partner := &limitedPartner{limit: 60, rng: rand.New(rand.NewPCG(uint64(n), 3))}
			f.runPoisson(9000, 70, partner)
			const wait = 1500.0
			killed := n * 7 / 10
			for i, r := range f.rigs {
				r.s.destinations[0].sharedRoute.waitUntil = f.now + wait
				if i < killed {
					r.now = f.now
					f.rigs[i] = f.restart(r, uint64(1000+i), eps...)
				}
			}
			until := f.now + wait
			partner.accepted, partner.refused = 0, 0
			for _, r := range f.rigs[:killed] {
				f.answerWithReport(r, r.lastActions, partner.answer) // the calls made at the start
			}
			f.runPoisson(until-20, 70, partner)
			if partner.accepted+partner.refused > 0 {
				t.Fatalf("%d calls during a requested wait, want none", partner.accepted+partner.refused)
			}
			f.runPoisson(until+10000, 70, partner)
			if refused := float64(partner.refused) / float64(partner.accepted+partner.refused); refused > 0.25 ||
				partner.accepted < 400 {
				t.Errorf("%d calls accepted in 10 s, want 400 at least; %.2f of the calls refused, want 0.25 at most",
					partner.accepted, refused)
			} else {
				t.Logf("%d calls accepted in 10 s, %.2f refused", partner.accepted, refused)
			}
			f.runPoisson(f.now+25000, 1e-6, partner) // until all messages have ended
			for id := uint64(1); id <= f.submitted; id++ {
				if f.finalAnswers[id] != 1 {
					t.Fatalf("message %d has %d final answers, want 1", id, f.finalAnswers[id])
				}
			}
		})
	}
}

// Extreme numbers of senders and indexes in the settings cause no panic, and a sender of a fleet of 8 at most, or of
// one whose number is invalid, still sends.
func TestExtremeFleetSettings(t *testing.T) {
	for _, n := range []int{math.MinInt32, -1, 0, 1, 2, 8, 9, math.MaxInt32} {
		for _, index := range []int{math.MinInt32, -1, 0, n, math.MaxInt32} {
			set := testSettings()
			set.AllowanceIndex, set.LimitIndex, set.RatingIsRate, set.Senders, set.Index = 0, 1, true, n, index
			r := newRig(t, set, Endpoint{ID: 1, State: Ready, Kind: 2, Rating: 10},
				Endpoint{ID: 2, State: Ready, Kind: 2, Rating: 10})
			for id := uint64(1); id < 20; id++ {
				r.message(id, classKeyed, 0, 0)
				if r.attempts[id] > 0 {
					e := r.outcome(id, []Outcome{OK, Full, ConnectFailed}[id%3], 0)
					e.Report = []float64{0.5, 10}
					r.step(e)
				}
				r.run(r.now + 500)
			}
			if n <= 8 && len(r.attempts) == 0 {
				t.Errorf("%d senders, index %d: nothing was sent, want one message at least", n, index)
			}
		}
	}
}
