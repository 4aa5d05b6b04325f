// Package cli is sliptide's command line: the sub-commands, their help, and the exit status. It reads
// and shows; what runs a sender is given to it.
package cli

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"sliptide/internal/command"
	"sliptide/internal/operator"
)

// The exit status.
const (
	ExitOK      = command.ExitOK
	ExitFailure = command.ExitFailure
	ExitUsage   = command.ExitUsage // wrong use or configuration; nothing was started
)

// ErrConfig marks an error of the configuration: nothing was started.
var ErrConfig = errors.New("configuration")

// Env is what the commands work with.
type Env struct {
	Out, Err io.Writer
	// Run runs a sender until it is told to stop. An error that wraps ErrConfig is of the configuration.
	RunSender func(operatorFile string) error
	// Control runs a control member by its file until it is told to stop.
	RunControlMember func(file string) error
	// Now is the time in Unix milliseconds.
	Now func() float64
}

type grammar struct {
	Run       runCmd       `cmd:"" default:"withargs" help:"Run a sender (also what a bare sliptide does)."`
	Check     checkCmd     `cmd:"" help:"Check an operators' file as a start would."`
	Schema    schemaCmd    `cmd:"" help:"Print the XML Schema of the operators' file."`
	Knowledge knowledgeCmd `cmd:"" help:"Look at what senders have learned and keep over restarts."`
	Journal   journalCmd   `cmd:"" help:"Look at what a sender has taken on."`
	Partner   partnerCmd   `cmd:"" help:"Look at partners."`
	Fleet     fleetCmd     `cmd:"" help:"Look at a fleet of senders and its duties, by asking a running member."`
	Control   controlCmd   `cmd:"" help:"Run or look at a control member, which keeps the directory of a sharded fleet."`
	Lab       labCmd       `cmd:"" help:"Try settings and partners in an emulator (starts sliptide-lab)."`
	Version   versionCmd   `cmd:"" help:"Print the version."`
}

type runCmd struct {
	Operator string `help:"The operators' file. Without one, every part of it is off." placeholder:"FILE" env:"SLIPTIDE_OPERATOR"`
}

// Run runs the command.
func (c *runCmd) Run(env *Env) error { return env.RunSender(c.Operator) }

type checkCmd struct {
	File string `arg:"" help:"The operators' file."`
}

// Run runs the command.
func (c *checkCmd) Run(env *Env) error {
	if _, err := operator.Load(c.File); err != nil {
		return fmt.Errorf("%w%w", misuse, err)
	}
	fmt.Fprintf(env.Out, "%s: fine\n", c.File)
	return nil
}

type schemaCmd struct{}

// Run runs the command.
func (schemaCmd) Run(env *Env) error {
	_, err := io.WriteString(env.Out, operator.Schema())
	return err
}

type versionCmd struct{}

// Run runs the command.
func (versionCmd) Run(env *Env) error {
	version, revision := "unreleased", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		if v := info.Main.Version; v != "" && v != "(devel)" {
			version = v
		}
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(env.Out, "sliptide %s, revision %s, %s\n", version, revision, runtime.Version())
	return err
}

// misuse marks errors of what was typed or configured; it shows nothing.
var misuse = silent{}

type silent struct{}

func (silent) Error() string { return "" }

// Main runs the command that args name and returns the exit status.
func Main(args []string, env Env) int {
	p := command.Program{Name: "sliptide", Out: env.Out, Err: env.Err, Env: &env, Status: statusOf,
		Description: "A sender: takes messages and delivers each by a call to an endpoint of one partner, in time."}
	return p.Main(&grammar{}, args)
}

// statusOf is the exit status of an error.
func statusOf(err error) (status int, quiet bool) {
	var heard told
	quiet = errors.As(err, &heard)
	if errors.Is(err, misuse) || errors.Is(err, ErrConfig) {
		return ExitUsage, quiet
	}
	return ExitFailure, quiet
}
