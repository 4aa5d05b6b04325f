package main

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/config"
	"sliptide/internal/operator"
	"sliptide/internal/partners"
	"sliptide/internal/transient"
)

// This file reads the configuration, at the start and again after a SIGHUP.

// loadConfig reads both configuration files. If the file that RELAY_CONFIG names can't be read at the moment, it tries
// again, since a SIGHUP is sent only once. A failure to read the operators' file alone is not retried, since its error
// does not wrap the cause.
func loadConfig(operatorFile string, load func(getenv func(string) string) (*config.Config, error)) (
	cfg *config.Config, op *operator.File, err error) {
	err = transient.Retry(configReadTimeout, transient.IsDiskError, func() (err error) {
		var operatorErr error
		cfg, err = load(os.Getenv)
		op, operatorErr = loadOperator(operatorFile)
		return errors.Join(err, operatorErr)
	})
	return cfg, op, err
}

// loadOperator reads the operators' file, or returns the defaults if path is empty.
func loadOperator(path string) (*operator.File, error) {
	if path == "" {
		f := operator.Default()
		return &f, nil
	}
	return operator.Load(path)
}

// reload reads the configuration again on each SIGHUP and once a day. The address of discovery, the classes,
// max_attempts, the partners and their keys, the fleet's members (but not its voters) and the settings of the knowledge
// (except enabled and max-size) take effect at once, all others at the next start. An invalid file (empty, truncated,
// without a required key or one that the file in force states, with a deadline or max_attempts not above 0) changes
// nothing, not even the address of discovery.
func reload(ctx context.Context, hup <-chan os.Signal, log zerolog.Logger, operatorFile string, inForce *config.Config,
	registry *partners.Registry, apply func(cfg *config.Config, op *operator.File)) {
	reloadTicker := time.NewTicker(24 * time.Hour) // certificates expire without a SIGHUP
	defer reloadTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-reloadTicker.C:
		}
		cfg, op, err := loadConfig(operatorFile, config.Reload)
		if err == nil {
			err = inForce.CheckReplacement(cfg)
		}
		if err != nil {
			log.Error().Err(err).Msg("the new configuration is invalid, keeping the old")
			continue
		}
		warnings, err := registry.Load(op.Partners)
		if err != nil {
			log.Error().Err(err).Msg("the new keys cannot be used, keeping the old")
			continue
		}
		logCertificateWarnings(log, warnings)
		log.Info().Str("discovery", cfg.DiscoveryAddr).Msg("configuration read again")
		apply(cfg, op)
		inForce = cfg
	}
}
