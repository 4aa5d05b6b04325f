package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sliptide/internal/fleet/copies"
)

// run plays three faults that a seed draws.
func run(seed uint64, g Guards, kinds []int) *World {
	rng := rand.New(rand.NewPCG(seed, 77))
	w := newWorld(seed, 4, 2, 1, g)
	var faults []Fault
	for range 3 {
		faults = append(faults, Fault{kinds[rng.IntN(len(kinds))], rng.IntN(4), time.Duration(20+rng.IntN(2000)) * time.Millisecond})
	}
	w.play(faults)
	return w
}

// loseHeir loses an owner with its disk, and its heir with its own so many steps after the heir has come so far in taking
// over; then all start again with empty disks.
func loseHeir(seed uint64, stage copies.Stage, after int, g Guards) *World {
	w := newWorld(seed, 5, 2, 1, g)
	for w.now < int64(2*time.Second) {
		w.traffic()
		w.step()
	}
	owner := w.members[seed%5]
	loseAll := func(m *member) {
		m.up = false
		m.gone()
		m.lose()
	}
	loseAll(owner)
	var heir *member
	for range 400 {
		w.step()
		for _, m := range w.members {
			if h := m.heirs[owner.name]; m.up && h != nil && h.Stage >= stage {
				heir = m
			}
		}
		if heir != nil {
			break
		}
	}
	if heir == nil {
		w.bad("nobody takes over")
		return w
	}
	for range after {
		w.step()
	}
	loseAll(heir)
	w.twice = 1
	for range 500 {
		w.step()
	}
	owner.start()
	heir.start()
	for range 1000 {
		w.step()
	}
	w.judge(true)
	return w
}

// loseLagging kills an owner's process while frames are lost, so that its holders lag; it goes on in its folder, and is lost
// with its disk soon after.
func loseLagging(seed uint64, g Guards) *World {
	w := newWorld(seed, 4, 2, 1, g)
	w.share = 2
	play := func(span time.Duration) {
		for end := w.now + int64(span); w.now < end; {
			w.traffic()
			w.step()
		}
	}
	play(2 * time.Second)
	owner := w.members[seed%4]
	w.loss = true
	play(150 * time.Millisecond)
	owner.up = false
	owner.gone()
	play(50 * time.Millisecond)
	w.loss = false
	owner.start()
	play(100 * time.Millisecond)
	owner.up = false
	owner.gone()
	owner.lose()
	w.twice = 1 // it may have given a notice just before
	play(1500 * time.Millisecond)
	owner.start()
	w.until(time.Duration(w.now) + 4*time.Second)
	w.judge(true)
	return w
}

// loseTwo loses an owner and one of its holders with their disks at once, where the 202 waits for two copies.
func loseTwo(seed uint64) *World {
	w := newWorld(seed, 5, 2, 2, Guards{})
	for w.now < int64(2*time.Second) {
		w.traffic()
		w.step()
	}
	first := w.members[seed%5]
	second := w.member(first.mine().GetHolders()[seed/5%2])
	for _, m := range []*member{first, second} {
		m.up = false
		m.gone()
		m.lose()
	}
	for range 600 {
		w.step()
	}
	first.start()
	second.start()
	for range 1000 {
		w.step()
	}
	w.judge(true)
	return w
}

// sized is a world of that many members in three zones, each of which holds some messages of a partner that is down.
func sized(n int) *World {
	w := newWorld(uint64(n), n, 2, 1, Guards{})
	w.every, w.most, w.share, w.down, w.inOrder = 10, 1<<30, 1, true, true
	for i, m := range w.members {
		m.zone = fmt.Sprint("z", i%3)
	}
	w.until(4 * time.Second) // all are members, and have their holders
	for range 8 {            // what they hold
		for _, m := range w.members {
			w.hand(m, false)
		}
		w.step()
	}
	w.until(time.Duration(w.now) + time.Second)
	return w
}

func (w *World) until(t time.Duration) {
	for w.now < int64(t) && w.breach == "" {
		w.step()
	}
}

// figures are what a fault cost.
type figures struct {
	bytes, worst int64 // copied anew, in all and in the worst second
	adopted      int   // messages taken over,
	heirs, most  int   // by how many members, and the most by one
	settled      time.Duration
}

// watch plays a fault and some time after it, and returns what it cost.
func (w *World) watch(span time.Duration, do func()) (f figures) {
	from, start := w.resets, w.now
	clear(w.heirs)
	do()
	for second := w.resets; w.now < start+int64(span) && w.breach == ""; {
		n := 0
		for _, k := range w.heirs {
			n += k
		}
		end := w.now + int64(time.Second)
		for w.now < end && w.breach == "" {
			w.step()
		}
		after := 0
		for _, k := range w.heirs {
			after += k
		}
		if after > n {
			f.settled = time.Duration(w.now - start)
		}
		f.worst = max(f.worst, w.resets-second)
		second = w.resets
	}
	f.bytes = w.resets - from
	for _, k := range w.heirs {
		f.adopted, f.heirs, f.most = f.adopted+k, f.heirs+1, max(f.most, k)
	}
	return f
}

// burden is the bytes of all that is live at owners.
func (w *World) burden() (n int64) {
	for _, m := range w.members {
		n += int64(len(dump(m.journal)))
	}
	return n
}

// roll restarts all members, a tenth at a time, each down for 100 ms: its next process goes on in its folder.
func (w *World) roll() {
	n := max(len(w.members)/10, 1)
	for first := 0; first < len(w.members); first += n {
		group := w.members[first:min(first+n, len(w.members))]
		for _, m := range group {
			m.up = false
			m.gone()
		}
		w.until(time.Duration(w.now) + 100*time.Millisecond)
		for _, m := range group {
			m.start()
		}
		w.until(time.Duration(w.now) + 400*time.Millisecond)
	}
}

// smallFault is one of the faults that are enumerated.
type smallFault struct {
	kind string
	who  int
	at   time.Duration // from when the messages are handed in
}

// small plays two messages, one of a class that forbids repeats, handed in at the first of three members, and faults.
func small(seed uint64, needed int, g Guards, faults ...smallFault) *World {
	w := newWorld(seed, 3, 2, needed, g)
	w.share = 1 << 30
	w.until(1500 * time.Millisecond)
	handed := w.now + int64(100*time.Millisecond)
	done := make([]bool, len(faults))
	ends := map[int]int64{} // when a member starts again
	for w.now < handed+int64(5*time.Second) && w.breach == "" {
		if w.now == handed {
			w.hand(w.members[0], true)
			w.hand(w.members[0], false)
		}
		for i, f := range faults {
			if m := w.members[f.who]; !done[i] && w.now >= handed+int64(f.at) {
				done[i] = true
				switch f.kind {
				case "lost", "killed":
					if !m.up {
						break
					}
					m.up = false
					m.gone()
					if f.kind == "lost" {
						m.lose()
					}
					ends[f.who] = w.now + int64(300*time.Millisecond)
				case "cut":
					m.cutUntil = w.now + int64(800*time.Millisecond)
				case "stopped":
					m.stopped = w.now + int64(800*time.Millisecond)
				}
			}
		}
		for who, at := range ends {
			if w.now >= at {
				w.members[who].start()
				delete(ends, who)
			}
		}
		w.step()
	}
	w.judge(true)
	return w
}
