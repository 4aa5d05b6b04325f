package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"sliptide/internal/fleet"
	"sliptide/internal/fleet/directory"
	"sliptide/internal/lab/proc"
)

// InForceTimeout is the time within which a change must be in force at each member, from when the member is reachable.
const InForceTimeout = 20 * time.Second

// Result holds the results of all sizes of a run and of its comparisons.
type Result struct {
	Name        string       `json:"name"`
	About       string       `json:"about,omitempty"`
	Sizes       []SizeResult `json:"sizes"`
	Comparisons []Comparison `json:"compare,omitempty"`
}

// SizeResult holds the result for one fleet size.
type SizeResult struct {
	Members          int       `json:"members"`
	Destinations     int       `json:"destinations"`
	Failure          string    `json:"ended,omitempty"` // why the run of this size ended early
	Verdict          *Verdict  `json:"verdict,omitempty"`
	Senders          []Usage   `json:"senders"`
	Controls         []Usage   `json:"controls"`
	SettleSeconds    float64   `json:"settle_seconds"`        // from the start of the members until each serves a shard
	MemoryMB         float64   `json:"memory_mb"`             // peak of all processes' resident memory, in 10^6 bytes
	LoadAverage      float64   `json:"load"`                  // one-minute load average at the end
	PartitionSeconds []float64 `json:"cut_seconds,omitempty"` // duration of each region-cut
}

// Usage is the resource usage of a process over the schedule, or over the measured time of a comparison. That of a
// restarted control member begins at its restart.
type Usage struct {
	Name         string  `json:"name"`
	CorePercent  float64 `json:"core_percent"`       // mean, of one core
	MemoryMB     float64 `json:"memory_mb"`          // peak resident memory, in 10^6 bytes
	LinkKBps     float64 `json:"link_kb_per_second"` // mean, both directions together, 10^3 bytes/s; 0 for control members
	ReadySeconds float64 `json:"ready_seconds"`      // from the start of the process; 0 for control members
}

// Worst returns the maximum of each figure over the processes.
func Worst(list []Usage) (worst Usage) {
	for _, u := range list {
		worst.CorePercent = max(worst.CorePercent, u.CorePercent)
		worst.MemoryMB = max(worst.MemoryMB, u.MemoryMB)
		worst.LinkKBps = max(worst.LinkKBps, u.LinkKBps)
		worst.ReadySeconds = max(worst.ReadySeconds, u.ReadySeconds)
	}
	return worst
}

// Options configures a run.
type Options struct {
	File           *File
	Programs       Programs
	Dir            string                          // scratch directory
	DisabledChecks directory.SubscriptionCheck     // disabled in the hollow members
	OnPhase        func(size int, phase string)    // called at the start of each phase; not nil
	OnTick         func(done, total time.Duration) // called once a second during the schedule; not nil
	OnSizeDone     func(*Result) error             // called with the results so far after each size; may be nil
}

// Run runs all sizes in ascending order, up to the first that fails, and then the comparisons.
func Run(ctx context.Context, o Options) (*Result, error) {
	result := &Result{Name: o.File.Name, About: o.File.About}
	for _, size := range o.File.Sizes {
		s, err := runSize(ctx, o, size)
		if ctx.Err() != nil {
			return result, ctx.Err()
		}
		if err != nil {
			s.Failure = err.Error()
		}
		result.Sizes = append(result.Sizes, *s)
		if o.OnSizeDone != nil {
			if err := o.OnSizeDone(result); err != nil {
				return result, err
			}
		}
		if err != nil {
			break
		}
	}
	for _, destinations := range o.File.ComparisonSizes {
		c, err := compare(ctx, o, destinations)
		if err != nil {
			return result, fmt.Errorf("comparison at %d destinations: %w", destinations, err)
		}
		result.Comparisons = append(result.Comparisons, *c)
	}
	return result, nil
}

// sizeRun is the run of one size in progress.
type sizeRun struct {
	*site
	options     Options
	rng         *rand.Rand
	changes     []Change // only the goroutine of the schedule or comparison uses it
	partitions  []Partition
	mu          sync.Mutex // guards rng, partitions, meters and maxMemoryMB
	meters      map[*child]*usageMeter
	maxMemoryMB float64
}

// usageMeter measures the resource usage of a process.
type usageMeter struct {
	Usage
	startProcessorTime float64 // in seconds
	startBytes         int64
	startTime          time.Time
}

// runSize runs the schedule at one size and judges it. The result is never nil; with an error it holds what was
// measured until then.
func runSize(ctx context.Context, o Options, size int) (*SizeResult, error) {
	file := o.File
	result := &SizeResult{Members: size, Destinations: int(float64(size) * file.DestinationsPerMember)}
	dir := filepath.Join(o.Dir, fmt.Sprint("size-", size))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return result, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.OnPhase(size, "control members")
	site, err := newSite(ctx, file, o.Programs, dir, result.Destinations)
	if site != nil {
		defer site.close()
	}
	if err != nil {
		return result, err
	}
	if err := site.awaitDirectory(ctx); err != nil {
		return result, err
	}
	run := &sizeRun{site: site, options: o, rng: rand.New(rand.NewPCG(uint64(file.Seed), uint64(size))), meters: map[*child]*usageMeter{}}
	o.OnPhase(size, "members")
	startTime := time.Now()
	if err := site.startHollows(ctx, max(size-file.Senders, 1), uint(o.DisabledChecks)); err != nil {
		return result, err
	}
	for i := range file.Senders {
		if _, err := site.startSender(ctx, fmt.Sprintf("sender-%02d", i), size-1-i, true); err != nil {
			return result, err
		}
	}
	if err := site.awaitServing(ctx); err != nil {
		return result, err
	}
	result.SettleSeconds = time.Since(startTime).Seconds()
	o.OnPhase(size, "schedule")
	err = run.runSchedule(ctx)
	result.MemoryMB, result.LoadAverage = run.maxMemoryMB, proc.LoadAverage()
	for _, c := range site.controls {
		result.Controls = append(result.Controls, run.readMeter(c.name, c.child.Load(), 0, 0))
	}
	for _, sender := range site.senders {
		result.Senders = append(result.Senders, run.readMeter(sender.name, sender.child, sender.linkBytes(), sender.readyDelay))
	}
	if err != nil {
		return result, err
	}
	o.OnPhase(size, "judge")
	j := &Judge{Rules: Rules{MaxUnserved: file.MaxUnserved, InForceTimeout: InForceTimeout, Replicas: file.Replicas}, Members: site.members, RealSenders: site.realSenders, Changes: run.changes, Partitions: run.partitions}
	site.observations.mu.Lock()
	defer site.observations.mu.Unlock()
	result.Verdict = j.Run(site.observations.entries, fleet.Now())
	for _, partition := range run.partitions {
		result.PartitionSeconds = append(result.PartitionSeconds, seconds(partition.To-partition.From))
	}
	return result, nil
}

// errMemoryLimit ends a size whose processes exceed the run's memory limit.
var errMemoryLimit = errors.New("resident memory of all processes exceeds the run's memory limit")

// runSchedule makes changes and injects faults for the duration of the schedule. It ends early, with an error, if a
// fault cannot be injected or the processes exceed the memory limit; also then it returns only once all faults are
// over.
func (r *sizeRun) runSchedule(ctx context.Context) error {
	file := r.options.File
	for _, c := range r.controls {
		r.startMeter(c.child.Load(), 0)
	}
	for _, sender := range r.senders {
		r.startMeter(sender.child, sender.linkBytes())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var faults sync.WaitGroup
	defer faults.Wait()
	faultErrors := make(chan error, len(file.Faults))
	startTime := time.Now()
	for i := range file.Faults {
		fault := &file.Faults[i]
		faults.Go(func() {
			if sleep(ctx, fault.At) {
				if err := r.injectFault(ctx, fault); err != nil && ctx.Err() == nil {
					faultErrors <- fmt.Errorf("%s at %v: %w", fault.Kind, fault.At, err)
				}
			}
		})
	}
	changeTicker := time.NewTicker(time.Duration(float64(time.Second) / max(file.ChangesPerSecond, 0.001)))
	defer changeTicker.Stop()
	memoryTicker := time.NewTicker(time.Second)
	defer memoryTicker.Stop()
	// The last InForceTimeout of the schedule has no changes, so that each change can be in force by its end.
	changesUntil := file.Duration - InForceTimeout
	for time.Since(startTime) < file.Duration {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-faultErrors:
			return err
		case <-changeTicker.C:
			if time.Since(startTime) < changesUntil {
				r.changeRandomEndpoint()
			}
		case <-memoryTicker.C:
			r.options.OnTick(time.Since(startTime), file.Duration)
			if err := r.sampleMemory(); err != nil {
				return err
			}
		}
	}
	return nil
}

// sleep waits for d, and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// changeRandomEndpoint changes the endpoint of a destination drawn by the run's generator, and records the change. Only
// the goroutine of the schedule or comparison calls it.
func (r *sizeRun) changeRandomEndpoint() {
	r.mu.Lock()
	destination := r.rng.IntN(r.agent.destinations)
	r.mu.Unlock()
	at := fleet.Now()
	number := r.agent.change(destination)
	r.changes = append(r.changes, Change{At: at, Destination: uint64(destination), Number: number})
}

// startMeter starts measuring a process whose links have carried the given bytes so far.
func (r *sizeRun) startMeter(c *child, bytes int64) {
	processorTime, _ := proc.CPUSeconds(c.cmd.Process.Pid)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.meters[c] = &usageMeter{startProcessorTime: processorTime, startBytes: bytes, startTime: time.Now()}
}

// readMeter returns the usage of a process since startMeter, given the bytes that its links have carried so far.
func (r *sizeRun) readMeter(name string, c *child, bytes int64, ready time.Duration) Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.meters[c]
	if m == nil {
		return Usage{Name: name}
	}
	processorTime, err := proc.CPUSeconds(c.cmd.Process.Pid)
	elapsed := time.Since(m.startTime).Seconds()
	if err == nil && elapsed > 0 {
		m.CorePercent = 100 * (processorTime - m.startProcessorTime) / elapsed
		m.LinkKBps = float64(bytes-m.startBytes) / 1e3 / elapsed
	}
	m.Name, m.ReadySeconds = name, ready.Seconds()
	return m.Usage
}

// sampleMemory updates the peak memory of each measured process and of all processes together. It returns
// errMemoryLimit if the latter use more than the run's limit now.
func (r *sizeRun) sampleMemory() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, m := range r.meters {
		m.MemoryMB = max(m.MemoryMB, float64(proc.ResidentBytes(c.cmd.Process.Pid))/1e6)
	}
	total := r.residentBytes()
	r.maxMemoryMB = max(r.maxMemoryMB, float64(total)/1e6)
	if total > r.options.File.MaxMemory {
		return errMemoryLimit
	}
	return nil
}

// judgedSizes returns the sizes that ran to the end and have a verdict.
func (r *Result) judgedSizes() (list []SizeResult) {
	return slices.DeleteFunc(slices.Clone(r.Sizes), func(s SizeResult) bool { return s.Verdict == nil })
}
