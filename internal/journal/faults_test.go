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

// failingFS is an FS whose operations fail at random, in every documented way, while failures is above zero.
type failingFS struct {
	fsys.Faulty
	rng      *rand.Rand
	failures int // number of further operations that may fail
}

func newFailingFS(dir string, rng *rand.Rand) *failingFS {
	f := &failingFS{rng: rng}
	f.FS = fsys.OS{Dir: dir}
	f.Inject = func(_ int, op, _ string) fsys.Fault {
		if f.failures == 0 || op == "read" {
			return fsys.Fault{}
		}
		f.failures--
		if rng.IntN(3) == 0 {
			return fsys.Fault{}
		}
		return fsys.Fault{
			Err: []error{syscall.ENOSPC, syscall.EIO}[rng.IntN(2)], BytesWritten: rng.IntN(120), Applied: rng.IntN(8) == 0,
		}
	}
	return f
}

// TestFailingDiskLosesNothing guards, on a failing disk, against records that are lost behind an incomplete one, and
// against ended messages that come back.
func TestFailingDiskLosesNothing(t *testing.T) {
	for seed := range uint64(400) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			dir, rng := t.TempDir(), rand.New(rand.NewPCG(seed, 34))
			files := newFailingFS(dir, rng)
			accepted := map[string]bool{} // accepted by a successful Flush
			ended := map[string]bool{}    // ended by a successful Flush
			for run := range 4 {
				files.failures = rng.IntN(3) * rng.IntN(12)
				j, list, err := OpenFS(files, statedir.NewSpace(32<<10).Account())
				if err != nil {
					t.Fatalf("run %d does not start: %v", run, err)
				}
				live := map[string]*Entry{}
				for _, e := range list {
					live[e.Trace] = e
				}
				for trace := range accepted {
					if live[trace] == nil {
						t.Fatalf("run %d: message %s is lost", run, trace)
					}
				}
				for trace := range ended {
					if live[trace] != nil {
						t.Fatalf("run %d: message %s is back after its end", run, trace)
					}
				}
				exercise(j, files, rng, run, live, accepted, ended)
			}
		})
	}
}

// exercise accepts and ends messages, as a sender does, while the disk fails now and then.
func exercise(j *Journal, files *failingFS, rng *rand.Rand, run int, live map[string]*Entry, accepted, ended map[string]bool) {
	for step := range 40 {
		if rng.IntN(6) == 0 {
			files.failures = rng.IntN(20)
		}
		var accepting, ending []string
		if trace := fmt.Sprintf("%d-%d", run, step); j.HasSpace(600) && rng.IntN(2) == 0 {
			e := &Entry{Num: j.NextNumber(), Trace: trace, Dest: 1, Deadline: 1 << 41, Body: make([]byte, rng.IntN(600))}
			j.Accept(e)
			live[trace] = e
			accepting = append(accepting, trace)
		}
		for _, trace := range slices.Sorted(maps.Keys(live)) {
			if e := live[trace]; rng.IntN(5) == 0 && !slices.Contains(accepting, trace) {
				j.StartAttempt(e, int64(step+1), 0)
				j.End(e, 5)
				delete(live, trace)
				delete(accepted, trace) // until a Flush succeeds, the message may be replayed or not
				ending = append(ending, trace)
				break
			}
		}
		if j.Flush() != nil {
			for _, trace := range accepting { // the client gets a refusal
				j.End(live[trace], 5)
				delete(live, trace)
			}
			continue
		}
		for _, trace := range accepting {
			accepted[trace] = true
		}
		for _, trace := range ending {
			ended[trace] = true
		}
	}
}

// Guards against a takeover that loses the predecessor's entries since a file cannot be read or written for a while.
func TestTakeOverAfterFailuresHasAllEntries(t *testing.T) {
	dir := t.TempDir()
	current, _ := open(t, dir, 1<<20)
	current.Accept(&Entry{Num: current.NextNumber(), Trace: "held", Deadline: 1})
	if err := current.Close(); err != nil {
		t.Fatal(err)
	}
	var failing string // the operation that fails
	files := &fsys.Faulty{FS: fsys.OS{Dir: dir}, Inject: func(_ int, op, _ string) fsys.Fault {
		if op == failing {
			return fsys.Fault{Err: syscall.EACCES}
		}
		return fsys.Fault{}
	}}
	successor, _, err := OpenSuccessor(files, statedir.NewSpace(1<<20).Account())
	if err != nil {
		t.Fatal(err)
	}
	successor.Accept(&Entry{Num: successor.NextNumber(), Trace: "own", Deadline: 1})
	if err := successor.Flush(); err != nil {
		t.Fatal(err)
	}
	failing = "read"
	if _, err := successor.TakeOver(); err == nil {
		t.Fatal("no error although the predecessor's file cannot be read")
	}
	failing = "open"
	if list, err := successor.TakeOver(); err != nil || len(list) != 1 || list[0].Trace != "held" {
		t.Fatalf("took over %+v, error %v; want the predecessor's message", list, err)
	}
	if err := successor.Flush(); err == nil {
		t.Error("Flush reports no error although the merged file is not written")
	}
	failing = ""
	if err := successor.Flush(); err != nil {
		t.Fatal(err)
	}
	next, _, err := OpenSuccessor(fsys.OS{Dir: dir}, statedir.NewSpace(1<<20).Account()) // overwrites the successor's file
	if err != nil {
		t.Fatal(err)
	}
	if list, err := next.TakeOver(); err != nil || len(list) != 2 {
		t.Errorf("the next successor took over %+v, error %v; want both messages", list, err)
	}
}
