package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"sliptide/internal/lab/proc"
)

// Measurement measures one quantity at each of several sizes.
type Measurement struct {
	Name, Role, Description, Unit, Per string // Unit is that of the value; Per names one unit of size
	RealProcess                        bool   // measures a separate sender process
	Sizes                              []int  // ascending; the last is forecast from the others
	// Repeats is the number of runs at each size, of which the smallest value counts: other load on the machine can only
	// lengthen a time. 0 means one run.
	Repeats int
	Run     func(e *Env, size int) (float64, error) // returns the value of one run, in Unit
}

// Env is the environment of the measurements.
type Env struct {
	Ctx        context.Context
	Binary     string // path of the sender executable
	ScratchDir string // directory for temporary files
}

// Run makes all measurements, or only those in names if it is not empty. It calls onSizeDone with the name of the
// measurement after each size. It returns no record if a measurement fails.
func Run(e *Env, names []string, onSizeDone func(name string)) (*Record, error) {
	r := &Record{Cores: runtime.NumCPU(), GoVersion: runtime.Version(), LoadBefore: proc.LoadAverage()}
	began := time.Now()
	for _, m := range Measurements() {
		if !isSelected(m.Name, names) {
			continue
		}
		s, err := m.run(e, onSizeDone)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", m.Name, err)
		}
		r.Series = append(r.Series, *s)
	}
	r.Seconds, r.LoadAfter = time.Since(began).Seconds(), proc.LoadAverage()
	return r, nil
}

// isSelected reports whether the selection contains a name. An empty selection contains all names.
func isSelected(name string, selection []string) bool {
	for _, selected := range selection {
		if selected == name {
			return true
		}
	}
	return len(selection) == 0
}

// run measures at all sizes and fits the results. It ends early with an error if e.Ctx ends.
func (m *Measurement) run(e *Env, onSizeDone func(string)) (*Series, error) {
	s := &Series{Name: m.Name, Role: m.Role, Description: m.Description, Unit: m.Unit, Per: m.Per,
		RealProcess: m.RealProcess}
	for _, size := range m.Sizes {
		if err := e.Ctx.Err(); err != nil {
			return nil, err
		}
		smallest, err := m.Run(e, size)
		for i := 1; i < m.Repeats && err == nil; i++ {
			var repeated float64
			repeated, err = m.Run(e, size)
			smallest = min(smallest, repeated)
		}
		if err != nil {
			return nil, fmt.Errorf("size %d: %w", size, err)
		}
		s.Points = append(s.Points, Point{Size: float64(size), Value: smallest})
		onSizeDone(m.Name)
	}
	s.fitAllButLargest()
	return s, nil
}

// SizeCount returns the total number of sizes of the selected measurements.
func SizeCount(names []string) (n int) {
	for _, m := range Measurements() {
		if isSelected(m.Name, names) {
			n += len(m.Sizes)
		}
	}
	return n
}

// threadCPUMillis runs f on one thread and returns the processor time that this thread used, in milliseconds. It does
// not include the time of goroutines that f starts, nor of the garbage collector on other threads.
func threadCPUMillis(f func()) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before := clockNanos(unix.CLOCK_THREAD_CPUTIME_ID)
	f()
	return float64(clockNanos(unix.CLOCK_THREAD_CPUTIME_ID)-before) / 1e6
}

// processCPUMillis runs f and returns the processor time that all threads of this process used meanwhile, in
// milliseconds.
func processCPUMillis(f func()) float64 {
	before := clockNanos(unix.CLOCK_PROCESS_CPUTIME_ID)
	f()
	return float64(clockNanos(unix.CLOCK_PROCESS_CPUTIME_ID)-before) / 1e6
}

// clockNanos returns the reading of a clock in nanoseconds, or 0 if it cannot be read.
func clockNanos(id int32) int64 {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return t.Nano()
}

// heapGrowthBytes returns the growth of the live heap by the value that build returns, in bytes.
func heapGrowthBytes(build func() any) float64 {
	before := liveHeapBytes()
	kept := build()
	after := liveHeapBytes()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

// liveHeapBytes returns the size of the heap after two collections of garbage: the first one leaves objects that a
// sync.Pool or a finalizer still refers to.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
