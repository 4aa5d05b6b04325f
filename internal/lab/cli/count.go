package cli

import (
	"errors"
	"time"

	"sliptide/internal/lab/fleet"
)

type countCmd struct {
	Folder string        `arg:"" help:"Folder with one *.log for each sender, written with <log records=\"true\"/>."`
	Every  time.Duration `default:"5s" help:"Time covered by a row."`
	Dest   int           `default:"-1" help:"Count only this destination; -1: all." placeholder:"N"`
}

// Run prints the table of the fleet's logs.
func (c *countCmd) Run(env *Env) error {
	if c.Every <= 0 {
		return errors.New("--every must be more than 0")
	}
	counter := fleet.NewCounter(c.Every, c.Dest)
	if err := counter.AddFolder(c.Folder); err != nil {
		return err
	}
	counter.WriteTable(env.Out)
	return nil
}
