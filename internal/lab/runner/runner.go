// Package runner runs an experiment: each point of its grid once for each seed, on all cores. The results do not
// depend on the number of workers.
package runner

import (
	"context"
	"runtime"
	"sync"
	"time"

	"sliptide/internal/lab/experiment"
	"sliptide/internal/lab/results"
	"sliptide/internal/lab/world"
)

// job identifies one run by the indices of its point and its seed.
type job struct{ point, seed int }

// Run runs f with the given number of workers, or with one per core if that is not positive. It calls done after each
// run, from several goroutines at once; done may be nil. It returns the context's error, and no results, if the context
// ends first.
func Run(ctx context.Context, f *experiment.File, workers int, done func()) (*results.Experiment, error) {
	points := f.Points()
	runs := make([][]results.Run, len(points))
	limits := make([]float64, len(points))
	for i := range runs {
		runs[i] = make([]results.Run, f.SeedCount)
	}
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var events uint64
	var runTime time.Duration
	jobs := make(chan job)
	for range workers {
		wg.Go(func() {
			for j := range jobs {
				p := points[j.point].Params
				started := time.Now()
				r := world.New(p, uint64(f.FirstSeed+j.seed)).Run(func() bool { return ctx.Err() != nil })
				elapsed := time.Since(started)
				mu.Lock()
				events += r.Events
				runTime += elapsed
				limits[j.point] = r.Limit
				runs[j.point][j.seed] = results.FromRun(&p, r)
				mu.Unlock()
				if done != nil {
					done()
				}
			}
		})
	}
	for i := range points {
		for k := range f.SeedCount {
			select {
			case jobs <- job{i, k}:
			case <-ctx.Done():
			}
		}
	}
	close(jobs)
	wg.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	e := &results.Experiment{Name: f.Name, About: f.About, Events: events, PerSecond: float64(events) / runTime.Seconds()}
	for _, v := range f.Dimensions {
		e.Vary = append(e.Vary, v.Name)
	}
	for i := range points {
		labels := points[i].Labels
		if labels == nil {
			labels = []string{}
		}
		e.Points = append(e.Points, results.Aggregate(labels, &points[i].Params, limits[i], runs[i]))
	}
	if e.Vary == nil {
		e.Vary = []string{}
	}
	return e, nil
}
