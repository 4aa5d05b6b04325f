package model

import (
	"testing"
	"time"
)

// TestNewDisk: a voter that comes back with an empty disk gets its vote back under a new number, and carries the
// group when another goes.
func TestNewDisk(t *testing.T) {
	for who := range 3 {
		w := New(options(uint64(who)))
		w.Schedule([]Fault{{Kind: KillDisk, Who: who, At: 3 * time.Second, For: time.Second},
			{Kind: Kill, Who: (who + 1) % 3, At: 15 * time.Second, For: time.Minute}})
		w.Run(14 * time.Second)
		if !w.procs[who].voter.HasVote() {
			t.Errorf("voter %d has no vote 10 s after it is back: %s", who, w.procs[(who+1)%3].voter.StatusJSON())
		}
		w.Run(30 * time.Second)
		if !w.Held() || w.Breach != "" {
			t.Errorf("held %v, breach %q with the new disk in the majority", w.Held(), w.Breach)
		}
	}
}
