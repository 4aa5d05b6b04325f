// Package subscriber keeps a sender's subscription to its shards of the directory: a link to one control member at a
// time, the one after it when that one does not serve, and what is learned, in order, to the owner.
package subscriber

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/fleet/directory"
	"sliptide/internal/fleet/link"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/shard"
)

// How soon a subscriber at another region's control member tries its own region's again: doubled while these don't serve.
const (
	minHomeRetryDelay = 10 * time.Second
	maxHomeRetryDelay = 5 * time.Minute
)

const (
	tickInterval = 100 * time.Millisecond
	inboxSize    = 64
	// LinkHash stands in the hello of every link to a control member's directory.
	LinkSettingsHash = 1
	// LinkPing and LinkSilent are how often such a link says that it is there, and how long it may say nothing.
	LinkPingInterval   = 500 * time.Millisecond
	LinkSilenceTimeout = 3 * time.Second
)

// Server is a control member.
type Server struct{ Name, Addr, Region string }

// Options are what a Subscriber works with.
type Options struct {
	Name         string
	Region, Zone string
	Weight       uint32
	Servers      []Server
	TLS          *tls.Config // nil: none
	Log          zerolog.Logger
	Now          func() int64 // monotonic, in nanoseconds
	// Apply takes what is learned, in order, on the subscriber's goroutine.
	Apply func(*directory.Applied)
	// Released is told of shards that were given up, on the same goroutine; nil: nobody is.
	Released func([]shard.ID)
	// Hold are shards that are asked for whoever serves them.
	RequestedShards []shard.ID
	Break           directory.SubscriptionBreak
}

// Subscriber is a subscription that is kept up. Run is for one goroutine, the rest for any.
type Subscriber struct {
	o              Options
	subscription   *directory.Subscription
	links          *link.Manager
	servers        []Server // to be tried, those of the own region first
	serverIndex    int
	homeRetryAt    int64 // when one of the own region is tried next, while another one serves
	homeRetryDelay time.Duration
	frames         chan frame
	released       releaseQueue
	version        atomic.Uint64
	live           atomic.Bool
}

type frame struct {
	from    string
	content *pb.Frame
}

// New returns a Subscriber.
func New(o Options) *Subscriber {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &Subscriber{o: o, frames: make(chan frame, inboxSize), released: releaseQueue{wake: make(chan struct{}, 1)},
		subscription: directory.NewSubscription(directory.SubscriptionOptions{Region: o.Region, Zone: o.Zone, Weight: o.Weight, Rand: rng, Break: o.Break})}
	s.homeRetryDelay = minHomeRetryDelay
	s.subscription.Hold(o.RequestedShards)
	s.servers = slices.Clone(o.Servers)
	rng.Shuffle(len(s.servers), func(i, j int) { s.servers[i], s.servers[j] = s.servers[j], s.servers[i] })
	slices.SortStableFunc(s.servers, func(x, y Server) int { return regionRank(x, o.Region) - regionRank(y, o.Region) })
	return s
}

// foreign is 0 for a server of the region, 1 for any other.
func regionRank(s Server, region string) int {
	if s.Region == region {
		return 0
	}
	return 1
}

// Version is the version of what is known; 0: nothing is.
func (s *Subscriber) Version() uint64 { return s.version.Load() }

// Live reports whether the subscription is up.
func (s *Subscriber) Live() bool { return s.live.Load() }

// Release gives up shards that were unassigned, once nothing is left of them here. It waits for nothing.
func (s *Subscriber) Release(ids []shard.ID) { s.released.add(ids) }

// releases are shards that are given up, on their way to the subscriber's goroutine; a shard stands there once at most
// for each time that it was assigned.
type releaseQueue struct {
	mu   sync.Mutex
	ids  []shard.ID
	wake chan struct{}
}

func (r *releaseQueue) add(ids []shard.ID) {
	r.mu.Lock()
	r.ids = append(r.ids, ids...)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *releaseQueue) drain() []shard.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := r.ids
	r.ids = nil
	return ids
}

// Run keeps the subscription until the context ends.
func (s *Subscriber) Run(ctx context.Context) {
	defer func() { s.links.Close() }()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	s.connect(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.frames:
			if a := s.subscription.Receive(f.from, f.content, s.o.Now()); a != nil {
				s.o.Apply(a)
			}
		case <-s.released.wake:
			ids := s.released.drain()
			s.subscription.Release(ids)
			if s.o.Released != nil {
				s.o.Released(ids)
			}
		case <-tick.C:
			s.subscription.Tick(s.o.Now())
			s.retryHomeRegion(ctx)
			if s.subscription.Lost() {
				s.o.Log.Warn().Str("control", s.servers[s.serverIndex%len(s.servers)].Name).Msg("directory: the control member does not serve, trying the next")
				s.serverIndex++
				s.connect(ctx)
			}
		}
		s.version.Store(s.subscription.Version())
		s.live.Store(s.subscription.Live(s.o.Now()))
		for _, out := range s.subscription.Take() {
			s.links.Send(out.To, out.Frame)
		}
	}
}

// goHome turns to a control member of the own region where one of another region serves: in a region that is cut off
// from this one, it would go on unheard of changes that can be had at home.
func (s *Subscriber) retryHomeRegion(ctx context.Context) {
	now := s.o.Now()
	home := slices.IndexFunc(s.servers, func(x Server) bool { return x.Region == s.o.Region })
	current := s.serverIndex % len(s.servers)
	if home < 0 || s.servers[current].Region == s.o.Region {
		if s.subscription.Live(now) {
			s.homeRetryDelay, s.homeRetryAt = minHomeRetryDelay, 0
		}
		return
	}
	if s.homeRetryAt == 0 {
		s.homeRetryAt = now + int64(s.homeRetryDelay/2+rand.N(s.homeRetryDelay))
		return
	}
	if now < s.homeRetryAt {
		return
	}
	s.homeRetryDelay, s.homeRetryAt = min(2*s.homeRetryDelay, maxHomeRetryDelay), 0
	s.serverIndex = home
	s.connect(ctx)
}

// connect begins a link to the next server in place of the one before.
func (s *Subscriber) connect(ctx context.Context) {
	if s.links != nil {
		s.links.Close()
	}
	server := s.servers[s.serverIndex%len(s.servers)]
	s.links = link.New(link.Options{Self: s.o.Name, SettingsHash: LinkSettingsHash, DialAddrs: map[string]string{server.Name: server.Addr}, Client: s.o.TLS,
		IsMember: func(string) bool { return false }, PingInterval: LinkPingInterval, SilenceTimeout: LinkSilenceTimeout,
		LogEvent: func(what, member string, err error) {
			s.o.Log.Debug().Str("member", member).Err(err).Msg("directory: " + what)
		},
		Receive: func(linkCtx context.Context, from string, f *pb.Frame) {
			select {
			case s.frames <- frame{from, f}:
			case <-linkCtx.Done():
			case <-ctx.Done():
			}
		}})
	s.subscription.Connect(server.Name, s.o.Now())
}
