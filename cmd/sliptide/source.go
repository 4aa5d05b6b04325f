package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/cli"
	"sliptide/internal/config"
	"sliptide/internal/discovery"
	"sliptide/internal/fleet"
	"sliptide/internal/fleet/directory"
	"sliptide/internal/fleet/shard"
	"sliptide/internal/fleet/subscriber"
	"sliptide/internal/keys"
	"sliptide/internal/operator"
	"sliptide/internal/sender"
	"sliptide/internal/sharding"
)

// listSource delivers a sender's endpoint lists: from discovery, or from the control members of a sharded fleet.
type listSource interface {
	// Run follows the source until the context ends.
	Run(ctx context.Context)
	// SetAddr switches to the discovery agent at addr; a source that uses no agent ignores it.
	SetAddr(addr string)
}

// openSource opens the source that the operators' file selects. onList is called whenever the sender has received a
// list that it can work with.
func openSource(cfg *config.Config, op *operator.File, snd *sender.Sender, log zerolog.Logger,
	onList func()) (listSource, error) {
	if op.Fleet.Shards.Enabled {
		return newShardSource(cfg, op, snd, log, onList)
	}
	following := false // whether lists come from discovery, where an empty one counts too, and not from cfg.KnownEndpoints
	watch := discovery.NewWatch(cfg.DiscoveryAddr, &cfg.Settings, cfg.Seed, log, func(l discovery.List) {
		snd.UpdateEndpoints(l)
		if !following && len(l.Endpoints) == 0 {
			return // with an empty known list, the sender would be ready and answer the first messages 503
		}
		onList()
	})
	if err := watch.Restore(cfg.KnownEndpoints); err != nil {
		log.Warn().Err(err).Msg("configuration key known: invalid endpoint list; waiting for discovery")
	}
	following = true
	return watch, nil
}

// shardSource is a subscription to the shards that are assigned to this sender.
type shardSource struct {
	subscriber *subscriber.Subscriber
}

// newShardSource enables sharding on the sender and returns its subscription. The configured known list is ignored,
// since it contains destinations of other senders.
func newShardSource(cfg *config.Config, op *operator.File, snd *sender.Sender, log zerolog.Logger,
	onList func()) (*shardSource, error) {
	shards := op.Fleet.Shards
	var tlsConfig *tls.Config
	if op.Fleet.Cert != "" {
		loaded, warnings, err := keys.Load(keys.Files{CA: op.Fleet.CA, Cert: op.Fleet.Cert, Key: op.Fleet.Key}, time.Now())
		if err != nil {
			return nil, fmt.Errorf("%w: fleet: %w", cli.ErrConfig, err)
		}
		logCertificateWarnings(log, warnings)
		tlsConfig = loaded
	}
	source := &shardSource{}
	snd.EnableSharding(shards.Replicas, func(ids []shard.ID) { source.subscriber.Release(ids) })
	view := sharding.NewView(&cfg.Settings, log)
	opts := subscriber.Options{Name: cfg.Name, Region: shards.Region, Zone: shards.Zone, Weight: uint32(shards.Weight),
		TLS: tlsConfig, Log: log, Now: fleet.Now,
		RequestedShards: snd.HeldShards(), Released: view.Forget,
		Apply: func(a *directory.AppliedUpdate) {
			snd.UpdateShards(view.Apply(a))
			if len(a.Assigned) > 0 {
				log.Info().Int("assigned", len(a.Assigned)).Int("endpoints", view.Len()).Uint64("version", a.To).
					Msg("directory: shards assigned")
				onList()
			}
		}}
	for _, c := range shards.ControlMembers {
		opts.Servers = append(opts.Servers, subscriber.Server{Name: c.Name, Addr: c.Addr, Region: c.Region})
	}
	source.subscriber = subscriber.New(opts)
	return source, nil
}

// Run implements listSource.
func (s *shardSource) Run(ctx context.Context) { s.subscriber.Run(ctx) }

// SetAddr implements listSource. It does nothing: the lists do not come from discovery.
func (s *shardSource) SetAddr(string) {}
