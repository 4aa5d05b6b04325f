package policy_test

import (
	"fmt"

	"sliptide/policy"
)

// A sender that knows one endpoint delivers the first message at once.
func Example() {
	s := policy.New(policy.Settings{
		Senders: 1, CallSlots: 4, MaxAttempts: 3, MaxHeld: 50, AllowanceIndex: -1, LimitIndex: -1,
		Kinds:   []policy.DestKind{{Batch: 1}},
		Classes: []policy.Class{{Name: "notice", Aim: 2000, Deadline: 10000, Worth: 1, Effect: policy.Safe}},
	}, 42)
	events := []policy.Event{
		{Kind: policy.EvList, FullList: true, List: []policy.Endpoint{{ID: 7, State: policy.Ready}}},
		{Kind: policy.EvMessage, ID: 1, Remaining: 10000},
	}
	for _, a := range s.Step(0, events, nil) {
		if a.Kind == policy.ActSend {
			fmt.Printf("send message %d to endpoint %d\n", a.ID, a.Endpoint)
		}
	}
	// Output: send message 1 to endpoint 7
}
