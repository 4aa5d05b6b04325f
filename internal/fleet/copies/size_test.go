package copies

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// sized is a world of that many members in three zones, each of which holds some messages of a partner that is down.
func sized(n int) *world {
	w := newWorld(uint64(n), n, 2, 1, guards{})
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

func (w *world) until(t time.Duration) {
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
func (w *world) watch(span time.Duration, do func()) (f figures) {
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
func (w *world) burden() (n int64) {
	for _, m := range w.members {
		n += int64(len(dump(m.journal)))
	}
	return n
}

// TestSizes: a zone is lost with its disks, a tenth is lost at once, all are restarted in turn: nothing is lost, and
// what is copied anew and by whom it is taken over stays in proportion. SLIPTIDE_MEASURE has 300 members, too.
func TestSizes(t *testing.T) {
	sizes := []int{30}
	if os.Getenv("SLIPTIDE_MEASURE") != "" {
		sizes = []int{30, 300}
	}
	for _, n := range sizes {
		for _, c := range []struct {
			name string
			lose func(w *world) (lost []*member)
		}{
			{"a zone lost", func(w *world) []*member {
				return slices.DeleteFunc(slices.Clone(w.members), func(m *member) bool { return m.zone != "z1" })
			}},
			{"a tenth lost", func(w *world) []*member {
				return slices.DeleteFunc(slices.Clone(w.members), func(m *member) bool { return m.n%10 != 3 })
			}},
			{"rolling restart", nil},
		} {
			t.Run(fmt.Sprintf("%s of %d", c.name, n), func(t *testing.T) {
				t.Parallel()
				w := sized(n)
				held, messages := w.burden(), len(w.msgs)
				lost := 0
				f := w.watch(8*time.Second, func() {
					if c.lose == nil {
						w.roll()
						return
					}
					for _, m := range c.lose(w) {
						m.up = false
						m.gone()
						m.lose()
						lost++
					}
				})
				w.down = false
				w.until(time.Duration(w.now) + 4*time.Second)
				w.judge(true)
				t.Logf("%d members, %d lost: %d messages held, %d bytes; copied anew %d bytes (%.2f of what all hold), %d in the worst second; %d taken over by %d heirs, %d at most by one, all within %v",
					n, lost, messages, held, f.bytes, float64(f.bytes)/float64(held), f.worst, f.adopted, f.heirs, f.most, f.settled)
				if w.breach != "" || len(w.msgs) < 5*n {
					t.Errorf("%d messages; %s", len(w.msgs), w.breach)
				}
				if c.lose != nil && f.adopted < lost*6 || c.lose == nil && f.adopted > 0 {
					t.Errorf("%d were taken over", f.adopted)
				}
				if mean := float64(f.adopted) / float64(max(f.heirs, 1)); f.heirs > 3 && float64(f.most) > 4*mean {
					t.Errorf("one heir has %d, the mean of %d is %.1f", f.most, f.heirs, mean)
				}
			})
		}
	}
}

// roll restarts all members, a tenth at a time, each down for 100 ms: its next process goes on in its folder.
func (w *world) roll() {
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
