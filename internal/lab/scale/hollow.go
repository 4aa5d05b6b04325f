package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/fleet"
	"sliptide/internal/fleet/directory"
	"sliptide/internal/fleet/shard"
	"sliptide/internal/fleet/subscriber"
)

const (
	versionReportInterval = 2 * time.Second        // interval between version reports of the running members
	startWindow           = 3 * time.Second        // the members of a process start at random times within this window
	flushInterval         = 100 * time.Millisecond // interval at which buffered observations are written
)

// hollowSet holds the hollow members of one process.
type hollowSet struct {
	settings HollowSettings
	out      chan Observation
	mu       sync.Mutex             // guards running
	running  map[int]*runningMember // by member number
}

type runningMember struct {
	cancel     context.CancelFunc
	done       chan struct{} // closed when the subscription has ended
	subscriber *subscriber.Subscriber
}

// RunHollow runs hollow members until its input ends. The input is a stream of JSON values: a HollowSettings, then
// Commands. The members' observations go to out, one JSON value a line. RunHollow fails only if it cannot read the
// settings.
func RunHollow(ctx context.Context, in io.Reader, out io.Writer) error {
	decoder := json.NewDecoder(bufio.NewReader(in))
	h := &hollowSet{out: make(chan Observation, 4096), running: map[int]*runningMember{}}
	if err := decoder.Decode(&h.settings); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan error, 1)
	go func() { written <- h.writeObservations(ctx, out) }()
	go h.reportVersions(ctx)
	for i := range h.settings.Members {
		go h.start(ctx, &h.settings.Members[i], rand.N(startWindow))
	}
	for {
		var command Command
		if err := decoder.Decode(&command); err != nil {
			cancel()
			<-written
			return nil
		}
		h.execute(ctx, command)
	}
}

// execute stops and starts the members that the command names. Starts do not wait for the members.
func (h *hollowSet) execute(ctx context.Context, command Command) {
	for _, n := range command.Stop {
		h.stop(n)
	}
	for _, n := range command.Start {
		for i := range h.settings.Members {
			if h.settings.Members[i].Number == n {
				go h.start(ctx, &h.settings.Members[i], 0)
			}
		}
	}
}

// start runs a member's subscription after a delay. It returns when the member is stopped or ctx ends.
func (h *hollowSet) start(ctx context.Context, m *HollowMember, delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return
	}
	memberCtx, cancel := context.WithCancel(ctx)
	member := &runningMember{cancel: cancel, done: make(chan struct{})}
	o := subscriber.Options{Name: m.Name, Region: m.Region, Zone: m.Zone, Weight: 1, Log: zerolog.Nop(), Now: fleet.Now,
		DisabledChecks: directory.SubscriptionCheck(h.settings.DisabledChecks)}
	for _, c := range h.settings.Controls {
		o.Servers = append(o.Servers, subscriber.Server(c))
	}
	o.Apply = func(a *directory.AppliedUpdate) {
		h.emit(ctx, appliedObservation(m.Number, a))
		member.subscriber.Release(a.Unassigned) // hollow members hold no messages, so shards are released at once
	}
	member.subscriber = subscriber.New(o)
	h.mu.Lock()
	h.running[m.Number] = member
	h.mu.Unlock()
	h.emit(ctx, Observation{At: fleet.Now(), Kind: Up, Member: m.Number})
	member.subscriber.Run(memberCtx)
	close(member.done)
}

// stop cancels a member's subscription without notifying its control member, and reports the member as down.
func (h *hollowSet) stop(n int) {
	h.mu.Lock()
	member := h.running[n]
	delete(h.running, n)
	h.mu.Unlock()
	if member == nil {
		return
	}
	member.cancel()
	h.emit(context.Background(), Observation{At: fleet.Now(), Kind: Down, Member: n})
}

// appliedObservation returns the observation of an applied update. Endpoints of weight 0 have never been changed.
func appliedObservation(member int, a *directory.AppliedUpdate) Observation {
	o := Observation{At: fleet.Now(), Kind: Applied, Member: member, Version: a.To, Assigned: shardNumbers(a.Assigned), Unassigned: shardNumbers(a.Unassigned)}
	for i := range a.Endpoints {
		if n := int(a.Endpoints[i].Weight); n > 0 {
			o.Changes = append(o.Changes, SeenChange{a.Endpoints[i].Destination, n})
		}
	}
	return o
}

func shardNumbers(ids []shard.ID) (list []uint32) {
	for _, id := range ids {
		list = append(list, uint32(id))
	}
	return list
}

// emit queues an observation to be written. It blocks while the queue is full, until ctx ends.
func (h *hollowSet) emit(ctx context.Context, o Observation) {
	select {
	case h.out <- o:
	case <-ctx.Done():
	}
}

// reportVersions reports each running member's version at regular intervals.
func (h *hollowSet) reportVersions(ctx context.Context) {
	ticker := time.NewTicker(versionReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := fleet.Now() // read before the versions, so that updates applied meanwhile have a later time
		h.mu.Lock()
		versions := make(map[int]uint64, len(h.running))
		for n, member := range h.running {
			versions[n] = member.subscriber.Version()
		}
		h.mu.Unlock()
		for n, version := range versions {
			h.emit(ctx, Observation{At: now, Kind: AtVersion, Member: n, Version: version})
		}
	}
}

// writeObservations writes the queued observations to out until ctx ends.
func (h *hollowSet) writeObservations(ctx context.Context, out io.Writer) error {
	buffered := bufio.NewWriterSize(out, 64<<10)
	encoder := json.NewEncoder(buffered)
	flushTicker := time.NewTicker(flushInterval)
	defer flushTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return buffered.Flush()
		case o := <-h.out:
			if err := encoder.Encode(o); err != nil {
				return err
			}
		case <-flushTicker.C:
			if err := buffered.Flush(); err != nil {
				return err
			}
		}
	}
}
