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

// listSource is where a sender has its endpoints from: discovery, or the control members of a sharded fleet.
type listSource interface {
	// Run follows the source until the context ends.
	Run(ctx context.Context)
	// SetAddr goes on at another discovery agent, where there is one.
	SetAddr(addr string)
}

// openSource makes the source that the operators' file names. listed is told whenever the sender has a list to work with.
func openSource(cfg *config.Config, op *operator.File, snd *sender.Sender, log zerolog.Logger, listed func()) (listSource, error) {
	if op.Fleet.Shards.Enabled {
		return newShardSource(cfg, op, snd, log, listed)
	}
	asked := false // discovery is: what comes from here on is its word, an empty list too
	watch := discovery.NewWatch(cfg.DiscoveryAddr, &cfg.Settings, cfg.Seed, log, func(l discovery.List) {
		snd.UpdateEndpoints(l)
		if !asked && len(l.Endpoints) == 0 {
			return // a known list without entries would meet the first messages with 503
		}
		listed()
	})
	if err := watch.Restore(cfg.KnownEndpoints); err != nil {
		log.Warn().Err(err).Msg("known is of no use, waiting for discovery")
	}
	asked = true
	return watch, nil
}

// shardSource is a subscription to the shards of this sender.
type shardSource struct {
	subscriber *subscriber.Subscriber
}

// newShardSource makes the sender one of shards. A known list is not used: it names destinations of others.
func newShardSource(cfg *config.Config, op *operator.File, snd *sender.Sender, log zerolog.Logger, listed func()) (*shardSource, error) {
	set := op.Fleet.Shards
	var with *tls.Config
	if op.Fleet.Cert != "" {
		loaded, warnings, err := keys.Load(keys.Files{CA: op.Fleet.CA, Cert: op.Fleet.Cert, Key: op.Fleet.Key}, time.Now())
		if err != nil {
			return nil, fmt.Errorf("%w: fleet: %w", cli.ErrConfig, err)
		}
		warn(log, warnings)
		with = loaded
	}
	source := &shardSource{}
	snd.EnableSharding(set.Replicas, func(ids []shard.ID) { source.subscriber.Release(ids) })
	view := sharding.NewView(&cfg.Settings, log)
	o := subscriber.Options{Name: cfg.Name, Region: set.Region, Zone: set.Zone, Weight: uint32(set.Weight), TLS: with, Log: log, Now: fleet.Now,
		RequestedShards: snd.HeldShards(), Released: view.Forget,
		Apply: func(a *directory.AppliedUpdate) {
			snd.UpdateShards(view.Apply(a))
			if len(a.Assigned) > 0 {
				log.Info().Int("assigned", len(a.Assigned)).Int("endpoints", view.Len()).Uint64("version", a.To).Msg("directory: shards assigned")
				listed()
			}
		}}
	for _, c := range set.ControlMembers {
		o.Servers = append(o.Servers, subscriber.Server{Name: c.Name, Addr: c.Addr, Region: c.Region})
	}
	source.subscriber = subscriber.New(o)
	return source, nil
}

// Run implements listSource.
func (s *shardSource) Run(ctx context.Context) { s.subscriber.Run(ctx) }

// SetAddr implements listSource: notices alone go to discovery.
func (s *shardSource) SetAddr(string) {}
