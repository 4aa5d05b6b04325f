package scale

import (
	"context"
	"fmt"
	"time"

	"sliptide/internal/fleet"
)

// This file injects the faults of a schedule.

// injectFault injects a fault, and returns when it is over.
func (r *sizeRun) injectFault(ctx context.Context, f *Fault) error {
	switch f.Kind {
	case RestartWave:
		return r.restartWave(ctx, f)
	case Rack:
		return r.stopRack(ctx, f)
	case Zone:
		return r.killZone(ctx, f)
	case RegionCut:
		return r.partitionRegion(ctx, f)
	case LeaderKill:
		return r.killLeader(ctx, f)
	}
	return fmt.Errorf("unknown fault kind")
}

// pick returns up to count distinct numbers below n, drawn by the run's seeded generator.
func (r *sizeRun) pick(n, count int) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := r.rng.Perm(n)
	return order[:min(count, n)]
}

// restartWave kills one in Size of the processes of hollow members, one after another over the fault's duration, and
// restarts each at once.
func (r *sizeRun) restartWave(ctx context.Context, f *Fault) error {
	selected := r.pick(len(r.hollows), max(len(r.hollows)/f.Size, 1))
	for _, i := range selected {
		h := r.hollows[i]
		h.kill(fleet.Now, r.observations)
		if err := h.start(ctx, r.programs.Lab, r.dir, r.observations); err != nil {
			return err
		}
		if !sleep(ctx, f.Duration/time.Duration(len(selected))) {
			return nil
		}
	}
	return nil
}

// stopRack stops up to Size members of one process without notice to their control members, and starts them again after
// the fault's duration.
func (r *sizeRun) stopRack(ctx context.Context, f *Fault) error {
	h := r.hollows[r.pick(len(r.hollows), 1)[0]]
	var numbers []int
	for _, m := range h.settings.Members[:min(f.Size, len(h.settings.Members))] {
		numbers = append(numbers, m.Number)
	}
	if err := h.send(Command{Stop: numbers}); err != nil {
		return err
	}
	if !sleep(ctx, f.Duration) {
		return nil
	}
	return h.send(Command{Start: numbers})
}

// killZone kills all hollow members of a zone, and starts them again after the fault's duration.
func (r *sizeRun) killZone(ctx context.Context, f *Fault) error {
	zone := r.hollows[r.pick(len(r.hollows), 1)[0]].zone
	var selected []*hollowProcess
	for _, h := range r.hollows {
		if h.zone == zone {
			h.kill(fleet.Now, r.observations)
			selected = append(selected, h)
		}
	}
	if !sleep(ctx, f.Duration) {
		return nil
	}
	for _, h := range selected {
		if err := h.start(ctx, r.programs.Lab, r.dir, r.observations); err != nil {
			return err
		}
	}
	return nil
}

// partitionRegion cuts the links between the control members of one region and those of the others for the fault's
// duration.
func (r *sizeRun) partitionRegion(ctx context.Context, f *Fault) error {
	region := regionName(r.pick(r.options.File.Regions, 1)[0])
	var cut []*relay
	endsInRegion := map[*relay]int{}
	for _, c := range r.controls {
		if c.region != region {
			continue
		}
		for _, link := range c.relays {
			endsInRegion[link]++
		}
	}
	for link, ends := range endsInRegion {
		if ends == 1 { // the other end is in another region
			cut = append(cut, link)
		}
	}
	from := fleet.Now()
	for _, link := range cut {
		link.setCut(true)
	}
	sleep(ctx, f.Duration)
	for _, link := range cut {
		link.setCut(false)
	}
	r.mu.Lock()
	r.partitions = append(r.partitions, Partition{region, from, fleet.Now()})
	r.mu.Unlock()
	return nil
}

// killLeader kills the leader of the control members, and starts it again after the fault's duration. If there is no
// leader, it waits for one.
func (r *sizeRun) killLeader(ctx context.Context, f *Fault) error {
	var leader *controlProcess
	for leader == nil {
		if leader = r.leader(ctx); leader == nil && !sleep(ctx, pollInterval) {
			return nil
		}
	}
	leader.child.Load().kill()
	if !sleep(ctx, f.Duration) {
		return nil
	}
	if err := r.startControl(ctx, leader); err != nil {
		return err
	}
	r.startMeter(leader.child.Load(), 0)
	return nil
}
