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

// InForceWithin is the time within which a change has to be in force at a member that can be reached.
const InForceWithin = 20 * time.Second

// Result is what a run came to.
type Result struct {
	Name    string       `json:"name"`
	About   string       `json:"about,omitempty"`
	Sizes   []SizeResult `json:"sizes"`
	Compare []Comparison `json:"compare,omitempty"`
}

// SizeResult is what one size came to.
type SizeResult struct {
	Members      int       `json:"members"`
	Destinations int       `json:"destinations"`
	Ended        string    `json:"ended,omitempty"` // why it did not end as planned
	Verdict      *Verdict  `json:"verdict,omitempty"`
	Senders      []Usage   `json:"senders"`
	Controls     []Usage   `json:"controls"`
	SettleS      float64   `json:"settle_seconds"` // from the start of members until all served
	MemoryMB     float64   `json:"memory_mb"`      // of all processes, at most
	Load         float64   `json:"load"`           // runnable processes at the end, mean of a minute
	Cuts         []float64 `json:"cut_seconds,omitempty"`
}

// Usage is what a process took over the schedule.
type Usage struct {
	Name        string  `json:"name"`
	CorePercent float64 `json:"core_percent"`
	MemoryMB    float64 `json:"memory_mb"` // at most
	LinkKBps    float64 `json:"link_kb_per_second"`
	ReadyS      float64 `json:"ready_seconds"`
}

// Worst is the most that any of the processes took.
func Worst(list []Usage) (worst Usage) {
	for _, u := range list {
		worst.CorePercent = max(worst.CorePercent, u.CorePercent)
		worst.MemoryMB = max(worst.MemoryMB, u.MemoryMB)
		worst.LinkKBps = max(worst.LinkKBps, u.LinkKBps)
		worst.ReadyS = max(worst.ReadyS, u.ReadyS)
	}
	return worst
}

// Options are what a run works with.
type Options struct {
	File     *File
	Programs Programs
	Dir      string                          // a scratch folder
	Guard    directory.SubscriptionCheck     // taken out of the hollow members
	Progress func(size int, phase string)    // told of each phase
	Tick     func(done, total time.Duration) // told of the schedule's progress
	Sized    func(*Result) error             // told of the result so far after each size; nil: nobody is
}

// Run plays all sizes, and the comparison.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &Result{Name: o.File.Name, About: o.File.About}
	for _, size := range o.File.Sizes {
		s, err := runSize(ctx, o, size)
		if ctx.Err() != nil {
			return r, ctx.Err()
		}
		if err != nil {
			s.Ended = err.Error()
		}
		r.Sizes = append(r.Sizes, *s)
		if o.Sized != nil {
			if err := o.Sized(r); err != nil {
				return r, err
			}
		}
		if err != nil {
			break
		}
	}
	for _, destinations := range o.File.Compare {
		c, err := compare(ctx, o, destinations)
		if err != nil {
			return r, fmt.Errorf("comparison at %d destinations: %w", destinations, err)
		}
		r.Compare = append(r.Compare, *c)
	}
	return r, nil
}

// play is a size under way.
type play struct {
	*site
	o       Options
	rng     *rand.Rand
	changes []Change
	cuts    []Cut
	mu      sync.Mutex
	usage   map[*child]*meter
	mostMB  float64
}

// meter watches what a process takes.
type meter struct {
	Usage
	began float64 // processor time
	bytes int64
	at    time.Time
}

func runSize(ctx context.Context, o Options, size int) (*SizeResult, error) {
	f := o.File
	result := &SizeResult{Members: size, Destinations: int(float64(size) * f.DestinationsEach)}
	dir := filepath.Join(o.Dir, fmt.Sprint("size-", size))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return result, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.Progress(size, "control members")
	s, err := newSite(ctx, f, o.Programs, dir, result.Destinations)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return result, err
	}
	if err := s.awaitDirectory(ctx); err != nil {
		return result, err
	}
	p := &play{site: s, o: o, rng: rand.New(rand.NewPCG(uint64(f.Seed), uint64(size))), usage: map[*child]*meter{}}
	o.Progress(size, "members")
	began := time.Now()
	if err := s.startHollows(ctx, max(size-f.Senders, 1), uint(o.Guard)); err != nil {
		return result, err
	}
	for i := range f.Senders {
		if _, err := s.startSender(ctx, fmt.Sprintf("sender-%02d", i), size-1-i, true); err != nil {
			return result, err
		}
	}
	if err := s.awaitServing(ctx); err != nil {
		return result, err
	}
	result.SettleS = time.Since(began).Seconds()
	o.Progress(size, "schedule")
	err = p.schedule(ctx)
	result.MemoryMB, result.Load = p.mostMB, proc.LoadAverage()
	for _, c := range s.controls {
		result.Controls = append(result.Controls, p.used(c.name, c.child.Load(), 0, 0))
	}
	for _, x := range s.senders {
		result.Senders = append(result.Senders, p.used(x.name, x.child, x.linkBytes(), x.ready))
	}
	if err != nil {
		return result, err
	}
	o.Progress(size, "judge")
	j := &Judge{Rules: Rules{Unserved: f.Unserved, InForce: InForceWithin, Replicas: f.Replicas}, Members: s.members, Real: s.real, Changes: p.changes, Cuts: p.cuts}
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	result.Verdict = j.Run(s.record.seen, fleet.Now())
	for _, c := range p.cuts {
		result.Cuts = append(result.Cuts, seconds(c.To-c.From))
	}
	return result, nil
}

// errMemory ends a size that needs too much memory.
var errMemory = errors.New("the processes hold more than the run's memory limit")

// schedule plays changes and faults for the run's length.
func (p *play) schedule(ctx context.Context) error {
	f := p.o.File
	for _, c := range p.controls {
		p.measure(c.child.Load(), 0)
	}
	for _, x := range p.senders {
		p.measure(x.child, x.linkBytes())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var faults sync.WaitGroup
	defer faults.Wait()
	errs := make(chan error, len(f.Faults))
	began := time.Now()
	for i := range f.Faults {
		fault := &f.Faults[i]
		faults.Go(func() {
			if sleep(ctx, fault.At) {
				if err := p.strike(ctx, fault); err != nil && ctx.Err() == nil {
					errs <- fmt.Errorf("%s at %v: %w", fault.Kind, fault.At, err)
				}
			}
		})
	}
	change := time.NewTicker(time.Duration(float64(time.Second) / max(f.ChangesPerSecond, 0.001)))
	defer change.Stop()
	look := time.NewTicker(time.Second)
	defer look.Stop()
	// No change comes in the last part of the schedule: each has to be in force at its end.
	calmFrom := f.Length - InForceWithin
	for time.Since(began) < f.Length {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-errs:
			return err
		case <-change.C:
			if time.Since(began) < calmFrom {
				p.changeOne()
			}
		case <-look.C:
			p.o.Tick(time.Since(began), f.Length)
			if err := p.look(); err != nil {
				return err
			}
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (p *play) changeOne() {
	p.mu.Lock()
	destination := p.rng.IntN(p.agent.count)
	p.mu.Unlock()
	at := fleet.Now()
	number := p.agent.change(destination)
	p.changes = append(p.changes, Change{At: at, Destination: uint64(destination), Number: number})
}

// measure begins to watch a process.
func (p *play) measure(c *child, bytes int64) {
	taken, _ := proc.CPUSeconds(c.cmd.Process.Pid)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage[c] = &meter{began: taken, bytes: bytes, at: time.Now()}
}

// used is what a process has taken since it was watched.
func (p *play) used(name string, c *child, bytes int64, ready time.Duration) Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.usage[c]
	if m == nil {
		return Usage{Name: name}
	}
	taken, err := proc.CPUSeconds(c.cmd.Process.Pid)
	elapsed := time.Since(m.at).Seconds()
	if err == nil && elapsed > 0 {
		m.CorePercent = 100 * (taken - m.began) / elapsed
		m.LinkKBps = float64(bytes-m.bytes) / 1e3 / elapsed
	}
	m.Name, m.ReadyS = name, ready.Seconds()
	return m.Usage
}

// look notes what processes hold, and ends a run that holds too much.
func (p *play) look() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, m := range p.usage {
		m.MemoryMB = max(m.MemoryMB, float64(proc.ResidentBytes(c.cmd.Process.Pid))/1e6)
	}
	total := p.memory()
	p.mostMB = max(p.mostMB, float64(total)/1e6)
	if total > p.o.File.MaxMemory {
		return errMemory
	}
	return nil
}

// sizesOf are the sizes that ended as planned.
func (r *Result) sizesOf() (list []SizeResult) {
	return slices.DeleteFunc(slices.Clone(r.Sizes), func(s SizeResult) bool { return s.Verdict == nil })
}
