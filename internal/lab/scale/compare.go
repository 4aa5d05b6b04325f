package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// This file compares sharded senders with senders that know every destination.

// Comparison holds the figures of a sharded sender and of one that knows every destination, for one number of
// destinations.
type Comparison struct {
	Destinations      int   `json:"destinations"`
	Members           int   `json:"members"`
	Sharded           Usage `json:"shards"`
	KnownDestinations int   `json:"known"` // destinations that the sharded sender knows, estimated from the replicas
	// Traffic on each sender's links from its start until both senders were ready, or until the second failed to be.
	ShardedStartKB float64 `json:"shards_start_kb"`
	WholeStartKB   float64 `json:"whole_start_kb"`
	Whole          Usage   `json:"whole"`
	WholeFailure   string  `json:"whole_ended,omitempty"` // why the sender of all destinations did not become ready
}

// comparisonDuration is the time for which both senders are measured, once both are ready or the second has failed to
// be.
const comparisonDuration = 15 * time.Second

// compare measures a sharded sender and one that receives the whole endpoint list, at the same time. It is no error if
// the latter does not become ready: WholeFailure says so.
func compare(ctx context.Context, options Options, destinations int) (*Comparison, error) {
	f := *options.File
	c := &Comparison{Destinations: destinations, Members: f.CompareMembers}
	dir := filepath.Join(options.Dir, fmt.Sprint("compare-", destinations))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return c, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	options.OnPhase(f.CompareMembers, fmt.Sprint("comparison, destinations: ", destinations))
	s, err := newSite(ctx, &f, options.Programs, dir, destinations)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return c, err
	}
	if err := s.awaitDirectory(ctx); err != nil {
		return c, err
	}
	if err := s.startHollows(ctx, f.CompareMembers, 0); err != nil {
		return c, err
	}
	if err := s.awaitServing(ctx); err != nil {
		return c, err
	}
	run := &sizeRun{site: s, options: options, rng: rand.New(rand.NewPCG(uint64(f.Seed), uint64(destinations))), meters: map[*child]*usageMeter{}}
	sharded, err := s.startSender(ctx, "sharded", f.CompareMembers, true)
	if err != nil {
		return c, err
	}
	wait, stop := context.WithTimeout(ctx, time.Minute)
	defer stop()
	whole, err := s.startSender(wait, "whole", f.CompareMembers, false)
	if whole == nil {
		return c, err
	}
	if err != nil {
		c.WholeFailure = "not ready within a minute: the list is past the bounds"
	}
	c.ShardedStartKB, c.WholeStartKB = float64(sharded.linkBytes())/1e3, float64(whole.linkBytes())/1e3
	run.startMeter(sharded.child, sharded.linkBytes())
	run.startMeter(whole.child, whole.linkBytes())
	changeTicker := time.NewTicker(time.Duration(float64(time.Second) / f.ChangesPerSecond))
	defer changeTicker.Stop()
	for began := time.Now(); time.Since(began) < comparisonDuration; <-changeTicker.C {
		run.changeRandomEndpoint()
		if err := run.sampleMemory(); err != nil {
			return c, err
		}
	}
	c.Sharded = run.readMeter("shards", sharded.child, sharded.linkBytes(), sharded.readyDelay)
	c.Whole = run.readMeter("whole", whole.child, whole.linkBytes(), whole.readyDelay)
	c.KnownDestinations = destinations * f.Replicas * f.Regions / max(f.CompareMembers, 1)
	return c, nil
}
