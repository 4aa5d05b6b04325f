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
	tellVersions = 2 * time.Second // between two looks at the members' versions
	startSpread  = 3 * time.Second // members of a process start over this time
	flushEvery   = 100 * time.Millisecond
)

// hollows are the members of one process.
type hollows struct {
	settings HollowSettings
	out      chan Observation
	mu       sync.Mutex
	running  map[int]*hollow
}

type hollow struct {
	cancel context.CancelFunc
	done   chan struct{}
	sub    *subscriber.Subscriber
}

// RunHollow runs hollow members until its input ends: the settings first, then orders, one JSON text each. What the
// members see goes to out, one JSON text a line.
func RunHollow(ctx context.Context, in io.Reader, out io.Writer) error {
	decoder := json.NewDecoder(bufio.NewReader(in))
	h := &hollows{out: make(chan Observation, 4096), running: map[int]*hollow{}}
	if err := decoder.Decode(&h.settings); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan error, 1)
	go func() { written <- h.write(ctx, out) }()
	go h.tellVersions(ctx)
	for i := range h.settings.Members {
		go h.start(ctx, &h.settings.Members[i], rand.N(startSpread))
	}
	for {
		var o Order
		if err := decoder.Decode(&o); err != nil {
			cancel()
			<-written
			return nil
		}
		h.obey(ctx, o)
	}
}

func (h *hollows) obey(ctx context.Context, o Order) {
	for _, n := range o.Stop {
		h.stop(n)
	}
	for _, n := range o.Start {
		for i := range h.settings.Members {
			if h.settings.Members[i].Number == n {
				go h.start(ctx, &h.settings.Members[i], 0)
			}
		}
	}
}

func (h *hollows) start(ctx context.Context, m *HollowMember, after time.Duration) {
	select {
	case <-time.After(after):
	case <-ctx.Done():
		return
	}
	own, cancel := context.WithCancel(ctx)
	x := &hollow{cancel: cancel, done: make(chan struct{})}
	o := subscriber.Options{Name: m.Name, Region: m.Region, Zone: m.Zone, Weight: 1, Log: zerolog.Nop(), Now: fleet.Now,
		DisabledChecks: directory.SubscriptionCheck(h.settings.Break)}
	for _, c := range h.settings.Controls {
		o.Servers = append(o.Servers, subscriber.Server(c))
	}
	o.Apply = func(a *directory.AppliedUpdate) {
		h.tell(ctx, applied(m.Number, a))
		x.sub.Release(a.Unassigned) // nothing is held
	}
	x.sub = subscriber.New(o)
	h.mu.Lock()
	h.running[m.Number] = x
	h.mu.Unlock()
	h.tell(ctx, Observation{At: fleet.Now(), Kind: Up, Member: m.Number})
	x.sub.Run(own)
	close(x.done)
}

// stop ends a member without a word to anybody, and tells when it is over.
func (h *hollows) stop(n int) {
	h.mu.Lock()
	x := h.running[n]
	delete(h.running, n)
	h.mu.Unlock()
	if x == nil {
		return
	}
	x.cancel()
	h.tell(context.Background(), Observation{At: fleet.Now(), Kind: Down, Member: n})
}

func applied(member int, a *directory.AppliedUpdate) Observation {
	o := Observation{At: fleet.Now(), Kind: Applied, Member: member, Version: a.To, Assigned: words(a.Assigned), Unassigned: words(a.Unassigned)}
	for i := range a.Endpoints {
		if n := int(a.Endpoints[i].Weight); n > 0 {
			o.Changes = append(o.Changes, SeenChange{a.Endpoints[i].Destination, n})
		}
	}
	return o
}

func words(ids []shard.ID) (list []uint32) {
	for _, id := range ids {
		list = append(list, uint32(id))
	}
	return list
}

func (h *hollows) tell(ctx context.Context, o Observation) {
	select {
	case h.out <- o:
	case <-ctx.Done():
	}
}

// tellVersions tells now and then which version each member is at.
func (h *hollows) tellVersions(ctx context.Context) {
	tick := time.NewTicker(tellVersions)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := fleet.Now() // before the look: what is learned meanwhile comes after it
		h.mu.Lock()
		versions := make(map[int]uint64, len(h.running))
		for n, x := range h.running {
			versions[n] = x.sub.Version()
		}
		h.mu.Unlock()
		for n, version := range versions {
			h.tell(ctx, Observation{At: now, Kind: At, Member: n, Version: version})
		}
	}
}

func (h *hollows) write(ctx context.Context, out io.Writer) error {
	buffered := bufio.NewWriterSize(out, 64<<10)
	encoder := json.NewEncoder(buffered)
	flush := time.NewTicker(flushEvery)
	defer flush.Stop()
	for {
		select {
		case <-ctx.Done():
			return buffered.Flush()
		case o := <-h.out:
			if err := encoder.Encode(o); err != nil {
				return err
			}
		case <-flush.C:
			if err := buffered.Flush(); err != nil {
				return err
			}
		}
	}
}
