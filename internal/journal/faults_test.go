package journal

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"

	"sliptide/internal/fsys"
	"sliptide/internal/statedir"
)

// failing is a folder whose disk fails while down is above nought, at random in every documented way.
type failing struct {
	fsys.Faulty
	rng  *rand.Rand
	down int // operations that may still fail
}

func newFailing(dir string, rng *rand.Rand) *failing {
	f := &failing{rng: rng}
	f.FS = fsys.OS{Dir: dir}
	f.Inject = func(_ int, op, _ string) fsys.Fault {
		if f.down == 0 || op == "read" {
			return fsys.Fault{}
		}
		f.down--
		if rng.IntN(3) == 0 {
			return fsys.Fault{}
		}
		return fsys.Fault{Err: []error{syscall.ENOSPC, syscall.EIO}[rng.IntN(2)], BytesWritten: rng.IntN(120), Applied: rng.IntN(8) == 0}
	}
	return f
}

// Guards against records that are lost behind half a one, and against an end that is forgotten, on a disk that fails.
func TestFailingDiskLosesNothing(t *testing.T) {
	for seed := range uint64(400) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			dir, rng := t.TempDir(), rand.New(rand.NewPCG(seed, 34))
			files := newFailing(dir, rng)
			kept := map[string]bool{}  // taken on, by a Flush that succeeded
			ended := map[string]bool{} // and ended so
			for life := range 4 {
				files.down = rng.IntN(3) * rng.IntN(12)
				j, list, err := OpenFS(files, statedir.NewSpace(32<<10).Account())
				if err != nil {
					t.Fatalf("life %d does not start: %v", life, err)
				}
				live := map[string]*Entry{}
				for _, e := range list {
					live[e.Trace] = e
				}
				for trace := range kept {
					if live[trace] == nil {
						t.Fatalf("life %d: %s is lost", life, trace)
					}
				}
				for trace := range ended {
					if live[trace] != nil {
						t.Fatalf("life %d: %s is back after its end", life, trace)
					}
				}
				play(j, files, rng, life, live, kept, ended)
			}
		})
	}
}

// play takes messages on and ends them, as a sender does, while the disk fails now and then.
func play(j *Journal, files *failing, rng *rand.Rand, life int, live map[string]*Entry, kept, ended map[string]bool) {
	for step := range 40 {
		if rng.IntN(6) == 0 {
			files.down = rng.IntN(20)
		}
		var taken, over []string
		if trace := fmt.Sprintf("%d-%d", life, step); j.HasSpace(600) && rng.IntN(2) == 0 {
			e := &Entry{Num: j.NextNumber(), Trace: trace, Dest: 1, Deadline: 1 << 41, Body: make([]byte, rng.IntN(600))}
			j.Accept(e)
			live[trace] = e
			taken = append(taken, trace)
		}
		for _, trace := range slices.Sorted(maps.Keys(live)) {
			if e := live[trace]; rng.IntN(5) == 0 && !slices.Contains(taken, trace) {
				j.StartAttempt(e, int64(step+1), 0)
				j.End(e)
				delete(live, trace)
				delete(kept, trace) // from here on either is right, until a Flush succeeds
				over = append(over, trace)
				break
			}
		}
		if j.Flush() != nil {
			for _, trace := range taken { // its client hears a refusal
				j.End(live[trace])
				delete(live, trace)
			}
			continue
		}
		for _, trace := range taken {
			kept[trace] = true
		}
		for _, trace := range over {
			ended[trace] = true
		}
	}
}
