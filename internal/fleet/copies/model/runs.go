package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sliptide/internal/fleet/copies"
)

// runRandomFaults simulates a run with three random faults of the given kinds.
func runRandomFaults(seed uint64, disabled DisabledGuards, kinds []int) *World {
	rng := rand.New(rand.NewPCG(seed, 77))
	w := newWorld(seed, 4, 2, 1, disabled)
	var faults []Fault
	for range 3 {
		faults = append(faults, Fault{kinds[rng.IntN(len(kinds))], rng.IntN(4), time.Duration(20+rng.IntN(2000)) * time.Millisecond})
	}
	w.playFaults(faults)
	return w
}

// loseSuccessor loses an owner with its disk. The given number of steps after the takeover has reached the stage, it
// loses the successor with its disk as well. Later both start again with empty disks.
func loseSuccessor(seed uint64, stage copies.Stage, extraSteps int, disabled DisabledGuards) *World {
	w := newWorld(seed, 5, 2, 1, disabled)
	for w.now < int64(2*time.Second) {
		w.traffic()
		w.step()
	}
	owner := w.members[seed%5]
	loseMachine := func(m *member) {
		m.up = false
		m.endAttempts()
		m.loseDisk()
	}
	loseMachine(owner)
	var successor *member
	for range 400 {
		w.step()
		for _, m := range w.members {
			if t := m.takeovers[owner.name]; m.up && t != nil && t.Stage >= stage {
				successor = m
			}
		}
		if successor != nil {
			break
		}
	}
	if successor == nil {
		w.reportViolation("no member takes over")
		return w
	}
	for range extraSteps {
		w.step()
	}
	loseMachine(successor)
	w.extraNotices = 1
	for range 500 {
		w.step()
	}
	owner.start()
	successor.start()
	for range 1000 {
		w.step()
	}
	w.check(true)
	return w
}

// loseOwnerOfLaggingHolders kills an owner's process while frames are lost, so that its holders lag. The owner restarts
// with the same state directory and is lost with its disk soon afterwards.
func loseOwnerOfLaggingHolders(seed uint64, disabled DisabledGuards) *World {
	w := newWorld(seed, 4, 2, 1, disabled)
	w.messageInterval = 2
	runFor := func(duration time.Duration) {
		for end := w.now + int64(duration); w.now < end; {
			w.traffic()
			w.step()
		}
	}
	runFor(2 * time.Second)
	owner := w.members[seed%4]
	w.dropFrames = true
	runFor(150 * time.Millisecond)
	owner.up = false
	owner.endAttempts()
	runFor(50 * time.Millisecond)
	w.dropFrames = false
	owner.start()
	runFor(100 * time.Millisecond)
	owner.up = false
	owner.endAttempts()
	owner.loseDisk()
	w.extraNotices = 1 // it may have sent a notice just before
	runFor(1500 * time.Millisecond)
	owner.start()
	w.runUntil(time.Duration(w.now) + 4*time.Second)
	w.check(true)
	return w
}

// loseOwnerAndHolder loses an owner and one of its holders at once, with their disks. A 202 requires two
// acknowledgements.
func loseOwnerAndHolder(seed uint64) *World {
	w := newWorld(seed, 5, 2, 2, DisabledGuards{})
	for w.now < int64(2*time.Second) {
		w.traffic()
		w.step()
	}
	first := w.members[seed%5]
	second := w.member(first.ownDuty().GetHolders()[seed/5%2])
	for _, m := range []*member{first, second} {
		m.up = false
		m.endAttempts()
		m.loseDisk()
	}
	for range 600 {
		w.step()
	}
	first.start()
	second.start()
	for range 1000 {
		w.step()
	}
	w.check(true)
	return w
}

// newSizedWorld returns a world with members in three zones, each with some messages for a partner that is down.
func newSizedWorld(members int) *World {
	w := newWorld(uint64(members), members, 2, 1, DisabledGuards{})
	w.fleetInterval, w.maxMessages, w.messageInterval, w.partnerDown, w.orderedFrames = 10, 1<<30, 1, true, true
	for i, m := range w.members {
		m.zone = fmt.Sprint("z", i%3)
	}
	w.runUntil(4 * time.Second) // all have joined and have their holders
	for range 8 {               // the messages in their journals
		for _, m := range w.members {
			w.submit(m, false)
		}
		w.step()
	}
	w.runUntil(time.Duration(w.now) + time.Second)
	return w
}

func (w *World) runUntil(t time.Duration) {
	for w.now < int64(t) && w.violation == "" {
		w.step()
	}
}

// faultCost is the cost of a fault.
type faultCost struct {
	resetBytes, maxPerSecond   int64         // bytes copied in resets: in total, and the maximum in one second
	takenOver                  int           // messages taken over
	successors, maxBySuccessor int           // members that took messages over, and the most messages of one
	duration                   time.Duration // until the last message was taken over, in steps of a second
}

// measure injects a fault, runs for a duration and returns the cost of the fault.
func (w *World) measure(duration time.Duration, inject func()) (cost faultCost) {
	resetsBefore, start := w.resetBytes, w.now
	clear(w.takenOverBy)
	inject()
	for bytesBefore := w.resetBytes; w.now < start+int64(duration) && w.violation == ""; {
		before := 0
		for _, count := range w.takenOverBy {
			before += count
		}
		end := w.now + int64(time.Second)
		for w.now < end && w.violation == "" {
			w.step()
		}
		after := 0
		for _, count := range w.takenOverBy {
			after += count
		}
		if after > before {
			cost.duration = time.Duration(w.now - start)
		}
		cost.maxPerSecond = max(cost.maxPerSecond, w.resetBytes-bytesBefore)
		bytesBefore = w.resetBytes
	}
	cost.resetBytes = w.resetBytes - resetsBefore
	for _, count := range w.takenOverBy {
		cost.takenOver, cost.successors, cost.maxBySuccessor = cost.takenOver+count, cost.successors+1, max(cost.maxBySuccessor, count)
	}
	return cost
}

// liveBytes returns the size of all live records in the owners' journals.
func (w *World) liveBytes() (n int64) {
	for _, m := range w.members {
		n += int64(len(encodeEntries(m.journal)))
	}
	return n
}

// rollingRestart restarts all members, a tenth at a time. Each is down for 100 ms and keeps its state directory.
func (w *World) rollingRestart() {
	groupSize := max(len(w.members)/10, 1)
	for first := 0; first < len(w.members); first += groupSize {
		group := w.members[first:min(first+groupSize, len(w.members))]
		for _, m := range group {
			m.up = false
			m.endAttempts()
		}
		w.runUntil(time.Duration(w.now) + 100*time.Millisecond)
		for _, m := range group {
			m.start()
		}
		w.runUntil(time.Duration(w.now) + 400*time.Millisecond)
	}
}

// timedFault is a fault at a given time.
type timedFault struct {
	kind   string // "lost" (with its disk), "killed", "cut" (from the other members) or "stopped"
	member int
	offset time.Duration // from the submission of the messages
}

// runTimedFaults submits two messages, one of a class that forbids repeats, to the first of three members, injects the
// faults and checks the run.
func runTimedFaults(seed uint64, required int, disabled DisabledGuards, faults ...timedFault) *World {
	w := newWorld(seed, 3, 2, required, disabled)
	w.messageInterval = 1 << 30
	w.runUntil(1500 * time.Millisecond)
	submitAt := w.now + int64(100*time.Millisecond)
	injected := make([]bool, len(faults))
	restartAt := map[int]int64{} // by member
	for w.now < submitAt+int64(5*time.Second) && w.violation == "" {
		if w.now == submitAt {
			w.submit(w.members[0], true)
			w.submit(w.members[0], false)
		}
		for i, f := range faults {
			if m := w.members[f.member]; !injected[i] && w.now >= submitAt+int64(f.offset) {
				injected[i] = true
				switch f.kind {
				case "lost", "killed":
					if !m.up {
						break
					}
					m.up = false
					m.endAttempts()
					if f.kind == "lost" {
						m.loseDisk()
					}
					restartAt[f.member] = w.now + int64(300*time.Millisecond)
				case "cut":
					m.partitionedUntil = w.now + int64(800*time.Millisecond)
				case "stopped":
					m.stoppedUntil = w.now + int64(800*time.Millisecond)
				}
			}
		}
		for member, at := range restartAt {
			if w.now >= at {
				w.members[member].start()
				delete(restartAt, member)
			}
		}
		w.step()
	}
	w.check(true)
	return w
}
