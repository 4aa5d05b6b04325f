package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"sliptide/internal/lab/proc"
)

// Measurement is one way to measure at a size.
type Measurement struct {
	Name, Role, Description, Unit, Per string
	RealProcess                        bool  // on a real process
	Sizes                              []int // ascending; the last is foretold from the others
	Repeats                            int   // the least of so many runs counts; for times, which other work can only lengthen
	Run                                func(e *Env, size int) (float64, error)
}

// Env is what measurements work in.
type Env struct {
	Ctx        context.Context
	Binary     string // the sender's program
	ScratchDir string // a scratch folder
}

// Run makes all measurements, or those whose names are given. done is told after each size.
func Run(e *Env, only []string, done func(name string)) (*Record, error) {
	r := &Record{Cores: runtime.NumCPU(), GoVersion: runtime.Version(), LoadBefore: proc.Load()}
	began := time.Now()
	for _, m := range Measurements() {
		if !isSelected(m.Name, only) {
			continue
		}
		s, err := m.run(e, done)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", m.Name, err)
		}
		r.Series = append(r.Series, *s)
	}
	r.Seconds, r.LoadAfter = time.Since(began).Seconds(), proc.Load()
	return r, nil
}

func isSelected(name string, only []string) bool {
	for _, o := range only {
		if o == name {
			return true
		}
	}
	return len(only) == 0
}

func (m *Measurement) run(e *Env, done func(string)) (*Series, error) {
	s := &Series{Name: m.Name, Role: m.Role, Description: m.Description, Unit: m.Unit, Per: m.Per, RealProcess: m.RealProcess}
	for _, size := range m.Sizes {
		if err := e.Ctx.Err(); err != nil {
			return nil, err
		}
		best, err := m.Run(e, size)
		for i := 1; i < m.Repeats && err == nil; i++ {
			var again float64
			again, err = m.Run(e, size)
			best = min(best, again)
		}
		if err != nil {
			return nil, fmt.Errorf("size %d: %w", size, err)
		}
		s.Points = append(s.Points, Point{Size: float64(size), Value: best})
		done(m.Name)
	}
	s.fitAllButLargest()
	return s, nil
}

// Sizes is how many sizes all measurements have.
func SizeCount(only []string) (n int) {
	for _, m := range Measurements() {
		if isSelected(m.Name, only) {
			n += len(m.Sizes)
		}
	}
	return n
}

// threadTime runs f on one thread and returns the processor time that this thread took, in milliseconds. Time that the
// garbage collector takes on other threads is not in it.
func threadCPUMillis(f func()) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before := clockNanos(unix.CLOCK_THREAD_CPUTIME_ID)
	f()
	return float64(clockNanos(unix.CLOCK_THREAD_CPUTIME_ID)-before) / 1e6
}

// processTime runs f and returns the processor time that this process took meanwhile, in milliseconds.
func processCPUMillis(f func()) float64 {
	before := clockNanos(unix.CLOCK_PROCESS_CPUTIME_ID)
	f()
	return float64(clockNanos(unix.CLOCK_PROCESS_CPUTIME_ID)-before) / 1e6
}

func clockNanos(id int32) int64 {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return t.Nano()
}

// heapGrowth is by how many bytes what build returns has grown the heap.
func heapGrowthBytes(build func() any) float64 {
	before := liveHeapBytes()
	kept := build()
	after := liveHeapBytes()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
