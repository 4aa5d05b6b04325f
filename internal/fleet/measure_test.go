package fleet_test

import (
	"os"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"sliptide/internal/fleet"
	"sliptide/internal/standin"
)

// TestMeasureGaps measures, for each kind of fault, how long a duty had no holder, over SLIPTIDE_FAULTS faults (100 by
// `make duties-gaps`). A gap lasts from the old holder's last observation to the next holder's first.
func TestMeasureGaps(t *testing.T) {
	if os.Getenv("SLIPTIDE_MEASURE") == "" {
		t.Skip("a measurement: make duties-gaps")
	}
	n, err := strconv.Atoi(os.Getenv("SLIPTIDE_FAULTS"))
	if err != nil {
		n = 10
	}
	lease2s := func(s *nodeSettings) {
		s.Settings.Lease.Length, s.Settings.ElectionTimeout, s.ClockRate = 2*time.Second, 500*time.Millisecond, 1
	}
	for _, c := range []struct {
		name  string
		fault func(r *rig, p *proc) (heal func())
	}{
		{"killed", func(r *rig, p *proc) func() { r.kill(p); return func() { r.start(p) } }},
		{"stopped", func(r *rig, p *proc) func() {
			p.cmd.Process.Signal(syscall.SIGSTOP)
			return func() { p.cmd.Process.Signal(syscall.SIGCONT) }
		}},
		{"cut off", func(r *rig, p *proc) func() { r.isolate(p.name, true); return func() { r.isolate(p.name, false) } }},
		{"left in order", func(r *rig, p *proc) func() { r.leave(p); return func() { r.start(p) } }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 3, 2, lease2s)
			holder := r.holder(0, 0, "", 20*time.Second)
			var gaps []float64
			for range n {
				holder = r.holder(0, fleet.Now(), "", 10*time.Second)
				at := fleet.Now()
				heal := c.fault(r, r.proc(holder.member))
				next := r.holder(0, at, holder.member, 15*time.Second)
				gaps = append(gaps, float64(next.begin-r.lastHeld(0, holder.member))/1e6)
				heal()
				// All members are back before the next fault, so that there is always a majority.
				r.settle(holder.member)
				r.checkAndReset()
			}
			slices.Sort(gaps)
			t.Logf("holder %s, lease 2 s, %d faults: without a holder p50 %.0f ms, max %.0f ms", c.name, n, gaps[len(gaps)/2], gaps[len(gaps)-1])
		})
	}
}

// lastHeld returns when a member was last observed to hold a duty.
func (r *rig) lastHeld(duty int, member string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.observations) - 1; i >= 0; i-- {
		if seen := r.observations[i]; seen.duty == duty && seen.member == member {
			return seen.end
		}
	}
	return 0
}

// settle waits until a returned member has had time to open a session again: longer than a lease of 2 s
// and an election.
func (r *rig) settle(string) { time.Sleep(3500 * time.Millisecond) }

// checkAndReset checks the observations so far and drops them.
func (r *rig) checkAndReset() {
	r.checkObservations()
	r.mu.Lock()
	r.observations = nil
	r.logs.Reset()
	r.mu.Unlock()
}

// TestMeasureIdle measures what an idle fleet costs a member: processor time, resident memory, bytes on links.
func TestMeasureIdle(t *testing.T) {
	if os.Getenv("SLIPTIDE_MEASURE") == "" {
		t.Skip("a measurement: make duties-idle")
	}
	for _, members := range []int{0, 27} {
		r := newRig(t, 3, members, func(s *nodeSettings) {
			s.Settings.Lease.Length, s.Settings.ElectionTimeout, s.ClockRate = 2*time.Second, 500*time.Millisecond, 1
		})
		r.holder(0, 0, "", 30*time.Second)
		time.Sleep(5 * time.Second)
		cpu := func() (voters, rest float64) {
			for i, p := range r.procs {
				if v := standin.CPUSeconds(p.cmd.Process.Pid); i < 3 {
					voters += v
				} else {
					rest += v
				}
			}
			return voters, rest
		}
		v0, m0 := cpu()
		b0 := r.linkBytes()
		const span = 20
		time.Sleep(span * time.Second)
		v1, m1 := cpu()
		b1 := r.linkBytes()
		rss := 0.0
		for _, p := range r.procs {
			rss = max(rss, standin.ResidentMB(p.cmd.Process.Pid))
		}
		t.Logf("%d members: %.2f%% of a core a voter, %.2f%% another member (with this test's own checks every 4 ms), most memory %.1f MB, %.0f B/s on links a member",
			3+members, (v1-v0)/3/span*100, (m1-m0)/float64(max(members, 1))/span*100, rss, float64(b1-b0)/span/float64(3+members))
		r.close()
	}
}

func (r *rig) linkBytes() (n int64) {
	for _, relay := range r.relays {
		n += relay.BytesCarried()
	}
	return n
}
