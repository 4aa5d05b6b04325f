package model

import (
	"strings"
	"testing"
	"time"

	"sliptide/internal/fleet/voter"
)

// TestVotersChangedMeansInForce: a voter that lost its disk gets its vote back by a membership change that needs both
// the old and the new majority while it is in progress. The change is logged only once it is in force: if it were
// logged earlier, an operator or a test that then stopped a voter could leave the group without a majority for good.
func TestVotersChangedMeansInForce(t *testing.T) {
	logged := 0
	for seed := range uint64(5) {
		w := New(options(seed))
		w.OnVoterEvent = func(n int, what string) {
			if !strings.HasPrefix(what, voter.EventVotersChanged) {
				return
			}
			logged++
			if w.processes[n].voter.VoterChangePending() {
				t.Errorf("seed %d: voter %d logs %q while the change is in progress", seed, n, what)
			}
		}
		w.Schedule([]Fault{{Kind: KillAndWipe, Proc: 1, At: 3 * time.Second, Duration: time.Second}})
		w.Run(20 * time.Second)
		if w.Violation != "" {
			t.Fatal(w.Violation)
		}
	}
	if logged < 5 {
		t.Errorf("a change was logged %d times in 5 runs, want at least 5", logged)
	}
}
