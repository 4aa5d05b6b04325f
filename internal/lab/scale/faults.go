package scale

import (
	"context"
	"fmt"
	"time"

	"sliptide/internal/fleet"
)

// This file injects the faults of a schedule.

// injectFault injects a fault, and returns when it is over.
func (p *sizeRun) injectFault(ctx context.Context, f *Fault) error {
	switch f.Kind {
	case RestartWave:
		return p.restartWave(ctx, f)
	case Rack:
		return p.stopRack(ctx, f)
	case Zone:
		return p.killZone(ctx, f)
	case RegionCut:
		return p.partitionRegion(ctx, f)
	case LeaderKill:
		return p.killLeader(ctx, f)
	}
	return fmt.Errorf("no fault of this kind")
}

// pick returns up to count distinct numbers below n, drawn by the run's seeded generator.
func (p *sizeRun) pick(n, count int) []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	order := p.rng.Perm(n)
	return order[:min(count, n)]
}

// restartWave kills one in Size of the processes of hollow members, one after another over the fault's duration, and
// restarts each at once.
func (p *sizeRun) restartWave(ctx context.Context, f *Fault) error {
	selected := p.pick(len(p.hollows), max(len(p.hollows)/f.Size, 1))
	for _, i := range selected {
		h := p.hollows[i]
		h.kill(fleet.Now, p.observations)
		if err := h.start(ctx, p.programs.Lab, p.dir, p.observations); err != nil {
			return err
		}
		if !sleep(ctx, f.Duration/time.Duration(len(selected))) {
			return nil
		}
	}
	return nil
}

// stopRack stops members of one process without notice to their control members, and starts them again after the
// fault's duration.
func (p *sizeRun) stopRack(ctx context.Context, f *Fault) error {
	h := p.hollows[p.pick(len(p.hollows), 1)[0]]
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
func (p *sizeRun) killZone(ctx context.Context, f *Fault) error {
	zone := p.hollows[p.pick(len(p.hollows), 1)[0]].zone
	var selected []*hollowProcess
	for _, h := range p.hollows {
		if h.zone == zone {
			h.kill(fleet.Now, p.observations)
			selected = append(selected, h)
		}
	}
	if !sleep(ctx, f.Duration) {
		return nil
	}
	for _, h := range selected {
		if err := h.start(ctx, p.programs.Lab, p.dir, p.observations); err != nil {
			return err
		}
	}
	return nil
}

// partitionRegion cuts the links between the control members of one region and those of the others for the fault's
// duration.
func (p *sizeRun) partitionRegion(ctx context.Context, f *Fault) error {
	region := regionName(p.pick(p.options.File.Regions, 1)[0])
	var cut []*relay
	inside := map[*relay]int{}
	for _, c := range p.controls {
		if c.region != region {
			continue
		}
		for _, r := range c.relays {
			inside[r]++
		}
	}
	for r, ends := range inside {
		if ends == 1 { // the other end is in another region
			cut = append(cut, r)
		}
	}
	from := fleet.Now()
	for _, r := range cut {
		r.setCut(true)
	}
	sleep(ctx, f.Duration)
	for _, r := range cut {
		r.setCut(false)
	}
	p.mu.Lock()
	p.partitions = append(p.partitions, Partition{region, from, fleet.Now()})
	p.mu.Unlock()
	return nil
}

// killLeader kills the leader of the control members, and starts it again after the fault's duration. If there is no
// leader, it waits for one.
func (p *sizeRun) killLeader(ctx context.Context, f *Fault) error {
	var leader *controlProcess
	for leader == nil {
		if leader = p.leader(ctx); leader == nil && !sleep(ctx, pollInterval) {
			return nil
		}
	}
	leader.child.Load().kill()
	if !sleep(ctx, f.Duration) {
		return nil
	}
	if err := p.startControl(ctx, leader); err != nil {
		return err
	}
	p.startMeter(leader.child.Load(), 0)
	return nil
}
