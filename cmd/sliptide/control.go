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

// runControl runs a control member with the settings in the file at path until SIGTERM or SIGINT.
func runControl(path string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	settings, err := control.Load(path)
	if err != nil {
		return fmt.Errorf("%w: %w", cli.ErrConfig, err)
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Str("control", settings.Name).Logger()
	member, err := control.New(control.Options{Settings: settings, Log: log})
	if err != nil {
		return err
	}
	member.Run(ctx)
	log.Info().Msg("stopped")
	return nil
}
