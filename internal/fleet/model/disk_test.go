package model

import (
	"testing"
	"time"
)

// TestNewDisk: a voter that returns with an empty disk gets its vote back under a new Raft ID, and completes the
// majority when another voter is killed.
func TestNewDisk(t *testing.T) {
	for lost := range 3 {
		w := New(options(uint64(lost)))
		w.Schedule([]Fault{{Kind: KillAndWipe, Proc: lost, At: 3 * time.Second, Duration: time.Second},
			{Kind: Kill, Proc: (lost + 1) % 3, At: 15 * time.Second, Duration: time.Minute}})
		w.Run(14 * time.Second)
		if !w.processes[lost].voter.HasVote() {
			t.Errorf("voter %d has no vote 10 s after its return: %s", lost, w.processes[(lost+1)%3].voter.StatusJSON())
		}
		w.Run(30 * time.Second)
		if !w.AllHeld() || w.Violation != "" {
			t.Errorf("held %v, violation %q with the new disk in the majority; want each duty held, and no violation", w.AllHeld(), w.Violation)
		}
	}
}
