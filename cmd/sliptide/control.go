package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"sliptide/internal/cli"
	"sliptide/internal/control"
)

// runControl runs a control member until SIGTERM.
func runControl(path string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	set, err := control.Load(path)
	if err != nil {
		return fmt.Errorf("%w: %w", cli.ErrConfig, err)
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Str("control", set.Name).Logger()
	c, err := control.New(control.Options{Settings: set, Log: log})
	if err != nil {
		return err
	}
	c.Run(ctx)
	log.Info().Msg("stopped")
	return nil
}
