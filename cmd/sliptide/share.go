package main

import (
	"context"
	"math"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/budget"
	"sliptide/internal/config"
	"sliptide/internal/intake"
	"sliptide/internal/statedir"
)

// shareCheckInterval is the time between two looks at the sender's other processes. A new process uses little until the
// older one has looked.
const shareCheckInterval = 20 * time.Millisecond

// shareKeeper keeps this process to its share of the sender's limits, which depends on the sender's other processes. It
// is safe for concurrent use.
type shareKeeper struct {
	limits        config.Limits
	endpointConns int
	replaces      func() bool // whether another process holds the state directory
	setHeapLimit  func(bytes int64)
	register      func() (*statedir.Processes, error)
	log           zerolog.Logger

	mu          sync.Mutex
	processes   *statedir.Processes // nil until registered
	others      statedir.Counts     // as last counted
	share       budget.Share
	handingOver bool // the listener is about to close
	closed      bool // the listener is closed
	failing     bool // the last look at the other processes has failed
}

// clientServer is the part of intake.Server that follows the share.
type clientServer interface {
	SetLimits(intake.Limits)
	Connections() int
}

// newShareKeeper returns a shareKeeper and applies the memory limit of this process's first share by setHeapLimit. If the
// process cannot be registered, it is tried again by run: messages are owed meanwhile.
func newShareKeeper(register func() (*statedir.Processes, error), cfg *config.Config, replaces func() bool,
	setHeapLimit func(bytes int64), log zerolog.Logger) *shareKeeper {
	k := &shareKeeper{register: register, limits: cfg.Limits, replaces: replaces, setHeapLimit: setHeapLimit, log: log,
		share: budget.Starting, endpointConns: budget.EndpointConns(cfg.Limits, cfg.Settings.CallSlots)}
	k.adopt(k.next())
	if k.share.IsPart() {
		k.logShare()
	}
	return k
}

// close ends the registration of this process.
func (k *shareKeeper) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.processes != nil {
		k.processes.Close()
	}
}

// intakeLimits returns what clients can use.
func (k *shareKeeper) intakeLimits() intake.Limits {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lockedIntakeLimits()
}

func (k *shareKeeper) lockedIntakeLimits() intake.Limits {
	b := k.budget()
	if k.handingOver {
		b.ClientConns = budget.For(k.limits, k.endpointConns, budget.Whole, statedir.Counts{}).ClientConns
	}
	return intake.Limits{Conns: b.ClientConns, BodyBytes: b.BodyBytes}
}

// run follows the sender's other processes until ctx ends.
func (k *shareKeeper) run(ctx context.Context, server clientServer) {
	tick := time.NewTicker(shareCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		k.update(server)
	}
}

// update looks at the other processes and applies the share that follows. It repeats the limits of the clients while it
// has a part: connections beyond them may not have closed yet.
func (k *shareKeeper) update(server clientServer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tellClosed(server)
	next := k.next()
	changed := next != k.share
	if changed {
		k.adopt(next)
		k.logShare()
	}
	if changed || k.share.IsPart() {
		server.SetLimits(k.lockedIntakeLimits())
	}
}

// beginHandOver lets this process accept all connections that wait for it: closing the listener would reset them. They
// are closed once they have been answered.
func (k *shareKeeper) beginHandOver(server clientServer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.handingOver = true
	server.SetLimits(k.lockedIntakeLimits())
}

// listenerClosed lets the other processes accept the connections that this one does not any more.
func (k *shareKeeper) listenerClosed(server clientServer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	k.tellClosed(server)
}

func (k *shareKeeper) tellClosed(server clientServer) {
	if !k.closed || k.processes == nil {
		return
	}
	if err := k.processes.SetClosed(server.Connections()); err != nil {
		k.logUntold(err)
	}
}

// leave gives up the memory for clients, which this process serves no more.
func (k *shareKeeper) leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.adopt(budget.Last)
	k.logShare()
	if k.processes == nil {
		return
	}
	if err := k.processes.SetLeaving(); err != nil {
		k.logUntold(err)
	}
}

// next returns the share that follows from the present one and the other processes.
func (k *shareKeeper) next() budget.Share {
	others, err := k.countOthers()
	if err != nil && !k.failing {
		k.log.Warn().Err(err).Msg("the sender's other processes cannot be counted; keeping to the present share of the limits")
	}
	k.failing = err != nil
	switch {
	case err == nil:
		k.others = others
		return k.share.Next(others, k.replaces())
	case k.processes == nil:
		return k.share.Next(statedir.Counts{}, k.replaces())
	}
	return k.share
}

// countOthers counts the sender's other processes. It registers this one first if that has failed until now.
func (k *shareKeeper) countOthers() (others statedir.Counts, err error) {
	if k.processes == nil {
		if k.processes, err = k.register(); err != nil {
			return others, err
		}
		k.tellSharing(k.share)
	}
	return k.processes.Others()
}

// adopt makes a share this process's own and applies its memory limit. Of a smaller part the others are told once this
// process is within it, of a larger one before: a process that starts meanwhile is counted again, and one that starts
// later sees that it must wait.
func (k *shareKeeper) adopt(share budget.Share) {
	if share.Processes() < k.share.Processes() {
		k.tellSharing(share)
		share = k.next()
	}
	k.share = share
	k.setHeapLimit(k.budget().HeapBytes)
	k.tellSharing(share)
}

func (k *shareKeeper) budget() budget.Budget {
	return budget.For(k.limits, k.endpointConns, k.share, k.others)
}

func (k *shareKeeper) logShare() {
	b := k.budget()
	k.log.Info().Int64("heap_bytes", b.HeapBytes).Int("connections", b.ClientConns).Bool("shared", k.share.IsPart()).Msg("share of the limits")
}

func (k *shareKeeper) tellSharing(share budget.Share) {
	if k.processes == nil {
		return
	}
	if err := k.processes.SetSharing(share.Processes()); err != nil {
		k.logUntold(err)
	}
}

func (k *shareKeeper) logUntold(err error) {
	k.log.Warn().Err(err).Msg("telling the sender's other processes about the share of the limits failed")
}

// setHeapLimit sets the memory limit of the Go runtime. If that is lower than before, it returns memory to the system.
func setHeapLimit(bytes int64) {
	if before := debug.SetMemoryLimit(bytes); bytes < before {
		debug.FreeOSMemory()
	}
}

// setProcessorLimit sets GOMAXPROCS from the configured limit.
func setProcessorLimit(l config.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
}
