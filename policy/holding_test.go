package policy

import (
	"reflect"
	"testing"
)

// Why messages wait, and that asking changes nothing: the sender that is asked acts as the one that is not.
func TestHolding(t *testing.T) {
	eps := []Endpoint{{ID: 1, State: Ready, Kind: 2}}
	for name, row := range map[string]struct {
		slots  int
		events []Event
		want   WaitCause
	}{
		"told":    {10, []Event{{Kind: EvOutcome, ID: 1, Endpoint: 1, Outcome: Full, RequestedWait: 5000, Latency: 5}}, CauseRequestedWait},
		"breaker": {10, []Event{{Kind: EvOutcome, ID: 1, Endpoint: 1, Outcome: ConnectFailed, Latency: 5}}, CauseBreaker},
		"cap":     {10, []Event{{Kind: EvPace, Pace: 0.01}}, CausePaceCap},
		"pace":    {10, []Event{{Kind: EvOutcome, ID: 1, Endpoint: 1, Outcome: Full, Latency: 5}}, CausePace},
		"slot":    {2, nil, CauseSlot},
		"gone":    {10, []Event{{Kind: EvList, List: []Endpoint{{ID: 1, State: Draining, Kind: 2}}}}, CauseNoEndpoint},
	} {
		run := func(ask bool) (all [][]Action, why map[int]WaitCause) {
			set := testSettings()
			set.CallSlots = row.slots
			s := New(set, 3)
			step := func(now float64, events ...Event) {
				all = append(all, append([]Action(nil), s.Step(now, events, nil)...))
				why = map[int]WaitCause{}
				if ask {
					s.EachWaiting(func(dest int, h WaitCause) { why[dest] = h })
					s.Overview()
				}
			}
			step(1000, Event{Kind: EvList, FullList: true, List: eps}, Event{Kind: EvMessage, ID: 1, Class: clsSafe, Remaining: 20000})
			step(1010, row.events...)
			step(1011, Event{Kind: EvMessage, ID: 2, Class: clsSafe, Remaining: 20000}, Event{Kind: EvMessage, ID: 3, Class: clsSafe, Remaining: 20000})
			last := why
			for now := 1100.0; now < 9000; now += 100 {
				step(now)
			}
			return all, last
		}
		asked, why := run(true)
		if left, _ := run(false); !reflect.DeepEqual(asked, left) {
			t.Errorf("%s: a sender that is asked acts otherwise", name)
		}
		if why[0] != row.want {
			t.Errorf("%s: waits for %d, want %d", name, why[0], row.want)
		}
	}
}
