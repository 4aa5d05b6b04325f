// Package subscriber maintains a sender's subscription to its shards of the directory. It keeps a link to one control
// member at a time, moves on to the next one when that one does not serve, and passes updates on in order.
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

// A subscriber that uses a control member of another region tries its own region again after minHomeRetryDelay, with
// jitter. The delay doubles with each attempt that fails, up to maxHomeRetryDelay.
const (
	minHomeRetryDelay = 10 * time.Second
	maxHomeRetryDelay = 5 * time.Minute
)

const (
	tickInterval = 100 * time.Millisecond
	inboxSize    = 64 // received frames that wait for the subscriber's goroutine
	// LinkSettingsHash is the settings hash in the hello of every link to a control member's directory. It is constant,
	// since no settings have to be equal at both ends.
	LinkSettingsHash = 1
	// LinkPingInterval is the time between pings on such a link; it is closed after LinkSilenceTimeout without a frame.
	LinkPingInterval   = 500 * time.Millisecond
	LinkSilenceTimeout = 3 * time.Second
)

// Server is a control member; Addr is where it accepts links of subscribers.
type Server struct{ Name, Addr, Region string }

// Options configure a Subscriber.
type Options struct {
	Name         string // of this sender
	Region, Zone string
	Weight       uint32
	Servers      []Server
	TLS          *tls.Config // nil: none
	Log          zerolog.Logger
	Now          func() int64 // monotonic, in nanoseconds
	// Apply handles updates, in order, on the subscriber's goroutine.
	Apply func(*directory.AppliedUpdate)
	// Released is called on the same goroutine after shards were released; may be nil.
	Released func([]shard.ID)
	// RequestedShards are requested from whichever member serves, since messages for them are left from an earlier run.
	RequestedShards []shard.ID
	DisabledChecks  directory.SubscriptionCheck
}

// Subscriber maintains a subscription. One goroutine calls Run; the other methods are safe for concurrent use.
type Subscriber struct {
	o              Options
	subscription   *directory.Subscription
	links          *link.Manager
	servers        []Server // in the order of attempts, those of this region first
	serverIndex    int      // of the present server, modulo the number of servers
	homeRetryAt    int64    // next attempt at this region while another region's member serves; 0: not set
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
		subscription: directory.NewSubscription(directory.SubscriptionOptions{Region: o.Region, Zone: o.Zone, Weight: o.Weight,
			Rand: rng, DisabledChecks: o.DisabledChecks})}
	s.homeRetryDelay = minHomeRetryDelay
	s.subscription.HoldShards(o.RequestedShards)
	s.servers = slices.Clone(o.Servers)
	rng.Shuffle(len(s.servers), func(i, j int) { s.servers[i], s.servers[j] = s.servers[j], s.servers[i] })
	slices.SortStableFunc(s.servers, func(x, y Server) int { return regionRank(x, o.Region) - regionRank(y, o.Region) })
	return s
}

// regionRank returns 0 for a server of the region, 1 for any other.
func regionRank(s Server, region string) int {
	if s.Region == region {
		return 0
	}
	return 1
}

// Version returns the version of the directory that is known; 0: none.
func (s *Subscriber) Version() uint64 { return s.version.Load() }

// Live reports whether the subscription is up, that is, whether an update has come recently.
func (s *Subscriber) Live() bool { return s.live.Load() }

// Release gives up unassigned shards for which this sender has no more messages. It does not block.
func (s *Subscriber) Release(ids []shard.ID) { s.released.add(ids) }

// releaseQueue passes released shards to the subscriber's goroutine. It holds a shard at most once for each time that
// the shard was assigned.
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

// Run maintains the subscription until the context ends. It is to be called once.
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
			if s.subscription.ShouldReconnect() {
				s.o.Log.Warn().Str("control", s.servers[s.serverIndex%len(s.servers)].Name).Msg("directory: the control member does not serve; trying the next one")
				s.serverIndex++
				s.connect(ctx)
			}
		}
		s.version.Store(s.subscription.Version())
		s.live.Store(s.subscription.Live(s.o.Now()))
		for _, out := range s.subscription.TakeFrames() {
			s.links.Send(out.To, out.Frame)
		}
	}
}

// retryHomeRegion switches back to a control member of this region from time to time while another region's member
// serves: if that region is cut off, its member misses changes that this region's members know.
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

// connect replaces the present link with one to the server at serverIndex.
func (s *Subscriber) connect(ctx context.Context) {
	if s.links != nil {
		s.links.Close()
	}
	server := s.servers[s.serverIndex%len(s.servers)]
	s.links = link.New(link.Options{Self: s.o.Name, SettingsHash: LinkSettingsHash, DialAddrs: map[string]string{server.Name: server.Addr},
		Client: s.o.TLS, IsMember: func(string) bool { return false }, PingInterval: LinkPingInterval, SilenceTimeout: LinkSilenceTimeout,
		OnEvent: func(what, member string, err error) {
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
