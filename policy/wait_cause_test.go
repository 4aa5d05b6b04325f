package policy

import (
	"reflect"
	"testing"
)

// EachWaiting reports the cause of a wait. A sender that is queried by EachWaiting and Overview after each step acts
// like one that is not: a query that changed its state would make metrics influence deliveries.
func TestWaitCauses(t *testing.T) {
	eps := []Endpoint{{ID: 1, State: Ready, Kind: 2}}
	for name, test := range map[string]struct {
		slots  int
		events []Event
		want   WaitCause
	}{
		"requested wait": {10, []Event{{Kind: EvOutcome, ID: 1, Endpoint: 1, Outcome: Full, RequestedWait: 5000, Latency: 5}},
			CauseRequestedWait},
		"breaker": {10, []Event{{Kind: EvOutcome, ID: 1, Endpoint: 1, Outcome: ConnectFailed, Latency: 5}},
			CauseBreaker},
		"pace cap": {10, []Event{{Kind: EvPace, Pace: 0.01}}, CausePaceCap},
		"pace": {10, []Event{{Kind: EvOutcome, ID: 1, Endpoint: 1, Outcome: Full, Latency: 5}},
			CausePace},
		"slot":        {2, nil, CauseSlot},
		"no endpoint": {10, []Event{{Kind: EvList, List: []Endpoint{{ID: 1, State: Draining, Kind: 2}}}}, CauseNoEndpoint},
	} {
		run := func(query bool) (all [][]Action, causes map[int]WaitCause) {
			set := testSettings()
			set.CallSlots = test.slots
			s := New(set, 3)
			step := func(now float64, events ...Event) {
				all = append(all, append([]Action(nil), s.Step(now, events, nil)...))
				causes = map[int]WaitCause{}
				if query {
					s.EachWaiting(func(dest int, cause WaitCause) { causes[dest] = cause })
					s.Overview()
				}
			}
			step(1000, Event{Kind: EvList, FullList: true, List: eps},
				Event{Kind: EvMessage, ID: 1, Class: classSafe, Remaining: 20000})
			step(1010, test.events...)
			step(1011, Event{Kind: EvMessage, ID: 2, Class: classSafe, Remaining: 20000},
				Event{Kind: EvMessage, ID: 3, Class: classSafe, Remaining: 20000})
			lastCauses := causes
			for now := 1100.0; now < 9000; now += 100 {
				step(now)
			}
			return all, lastCauses
		}
		queried, causes := run(true)
		if unqueried, _ := run(false); !reflect.DeepEqual(queried, unqueried) {
			t.Errorf("%s: a sender that is queried acts differently from one that is not", name)
		}
		if causes[0] != test.want {
			t.Errorf("%s: wait cause %d, want %d", name, causes[0], test.want)
		}
	}
}
