// Package cli implements sliptide's command line: the sub-commands, their help and the exit status. The functions that
// run a sender or a control member are passed in by the caller.
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

// Exit statuses.
const (
	ExitOK      = command.ExitOK
	ExitFailure = command.ExitFailure
	ExitUsage   = command.ExitUsage // wrong use or configuration; nothing was started
)

// ErrConfig marks an error of the configuration, after which nothing was started.
var ErrConfig = errors.New("configuration")

// Env holds what the commands need from their caller.
type Env struct {
	Out, Err io.Writer
	// RunSender runs a sender until it is asked to stop. An error of the configuration wraps ErrConfig.
	RunSender func(operatorFile string) error
	// RunControlMember runs a control member, configured by the file, until it is asked to stop.
	RunControlMember func(file string) error
	// Now returns the time in Unix milliseconds.
	Now func() float64
}

// grammar is the command line, described by kong's tags. kong calls the Run method of the selected command.
type grammar struct {
	Run       runCmd       `cmd:"" default:"withargs" help:"Run a sender (also what a bare sliptide does)."`
	Check     checkCmd     `cmd:"" help:"Check an operators' file as a start would."`
	Schema    schemaCmd    `cmd:"" help:"Print the XML Schema of the operators' file."`
	Knowledge knowledgeCmd `cmd:"" help:"Look at what senders have learned and keep over restarts."`
	Journal   journalCmd   `cmd:"" help:"Look at the messages that a sender has accepted."`
	Partner   partnerCmd   `cmd:"" help:"Look at partners."`
	Fleet     fleetCmd     `cmd:"" help:"Look at a fleet of senders and its duties, by asking a running member."`
	Control   controlCmd   `cmd:"" help:"Run or look at a control member, which keeps the directory of a sharded fleet."`
	Lab       labCmd       `cmd:"" help:"Try settings and partners in an emulator (starts sliptide-lab)."`
	Version   versionCmd   `cmd:"" help:"Print the version."`
}

type runCmd struct {
	Operator string `help:"The operators' file. Without one, every part of it is off." placeholder:"FILE" env:"SLIPTIDE_OPERATOR"`
}

func (c *runCmd) Run(env *Env) error { return env.RunSender(c.Operator) }

type checkCmd struct {
	File string `arg:"" help:"The operators' file."`
}

func (c *checkCmd) Run(env *Env) error {
	if _, err := operator.Load(c.File); err != nil {
		return fmt.Errorf("%w%w", usageError, err)
	}
	fmt.Fprintf(env.Out, "%s: fine\n", c.File)
	return nil
}

type schemaCmd struct{}

func (schemaCmd) Run(env *Env) error {
	_, err := io.WriteString(env.Out, operator.Schema())
	return err
}

type versionCmd struct{}

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

// usageError marks errors of the command line or the configuration, for statusOf. Its text is empty, so that wrapping
// it leaves a message unchanged.
var usageError = emptyError{}

type emptyError struct{}

func (emptyError) Error() string { return "" }

// Main runs the command that args name and returns the exit status.
func Main(args []string, env Env) int {
	p := command.Program{Name: "sliptide", Out: env.Out, Err: env.Err, Env: &env, Status: statusOf,
		Description: "A sender: accepts messages and delivers each within its deadline by a call to an endpoint of one partner."}
	return p.Main(&grammar{}, args)
}

// statusOf returns the exit status for an error, and whether its message has been written already.
func statusOf(err error) (status int, quiet bool) {
	var reported reportedError
	quiet = errors.As(err, &reported)
	if errors.Is(err, usageError) || errors.Is(err, ErrConfig) {
		return ExitUsage, quiet
	}
	return ExitFailure, quiet
}
