package model

import (
	"os"
	"testing"
	"time"
)

// TestManyLoseTheirLeader: 30 members, or up to 1000 in a measurement, whose leader is killed do not overload the
// group. Their frames in any second stay within four times the normal rate, and at most one session is lost.
func TestManyLoseTheirLeader(t *testing.T) {
	sizes := []int{30}
	if os.Getenv("SLIPTIDE_MEASURE") != "" {
		sizes = []int{3, 30, 300, 1000}
	}
	for _, n := range sizes {
		o := options(1)
		o.Members, o.Duties = n-3, 1
		w := New(o)
		w.Run(10 * time.Second)
		w.FramesSent = 0
		w.Run(12 * time.Second)
		normalRate := w.FramesSent / 2 // from 10 s to 12 s
		leader := -1
		for _, p := range w.processes[:3] {
			if p.voter.IsLeader() {
				leader = p.index
			}
		}
		if leader < 0 {
			t.Fatal("no voter leads")
		}
		sessions := w.processes[(leader+1)%3].voter.State().Sessions()
		w.Schedule([]Fault{{Kind: Kill, Proc: leader, At: 12 * time.Second, Duration: time.Minute}})
		worstSecond := 0
		for s := 12; s < 20; s++ {
			w.FramesSent = 0
			w.Run(time.Duration(s+1) * time.Second)
			worstSecond = max(worstSecond, w.FramesSent)
		}
		after := w.processes[(leader+1)%3].voter.State()
		sessionsKept := 0
		for _, id := range sessions {
			if after.Session(id) != nil {
				sessionsKept++
			}
		}
		t.Logf("%d members: %d frames a second normally (%.1f a member), %d in the worst second after the leader is killed; %d of %d sessions kept", n, normalRate, float64(normalRate)/float64(n), worstSecond, sessionsKept, len(sessions))
		if worstSecond > 4*normalRate || sessionsKept < len(sessions)-1 || w.Violation != "" || !w.AllHeld() {
			t.Errorf("%d members: more than four times the normal rate, more than one session lost, violation %q, or held %v", n, w.Violation, w.AllHeld())
		}
	}
}
