// Package cli is sliptide's command line: the sub-commands, their help, and the exit status. It reads
// and shows; what runs a sender is given to it.
package cli

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"sliptide/internal/operator"
)

// The exit status.
const (
	Fine   = 0
	Failed = 1
	Misuse = 2 // wrong use or configuration; nothing was started
)

// ErrConfig marks an error of the configuration: nothing was started.
var ErrConfig = errors.New("configuration")

// Env is what the commands work with.
type Env struct {
	Out, Err io.Writer
	// Run runs a sender until it is told to stop. An error that wraps ErrConfig is of the configuration.
	Run func(operatorFile string) error
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
	Lab       labCmd       `cmd:"" help:"Try settings and partners in an emulator (starts sliptide-lab)."`
	Version   versionCmd   `cmd:"" help:"Print the version."`
}

type runCmd struct {
	Operator string `help:"The operators' file. Without one, every part of it is off." placeholder:"FILE" env:"SLIPTIDE_OPERATOR"`
}

// Run runs the command.
func (c *runCmd) Run(env *Env) error { return env.Run(c.Operator) }

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

type exit int

// Main runs the command that args name and returns the exit status.
func Main(args []string, env Env) (status int) {
	defer func() { // kong ends the process after --help; here it ends the command
		if r := recover(); r != nil {
			code, ok := r.(exit)
			if !ok {
				panic(r)
			}
			status = int(code)
		}
	}()
	var g grammar
	parser, err := kong.New(&g,
		kong.Name("sliptide"),
		kong.Description("A sender: takes messages and delivers each by a call to an endpoint of one partner, in time."),
		kong.Writers(env.Out, env.Err),
		kong.Exit(func(code int) { panic(exit(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: false}),
		kong.Bind(&env),
	)
	if err != nil {
		fmt.Fprintln(env.Err, "sliptide:", err)
		return Failed
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(env.Err, "sliptide: %v (sliptide --help tells more)\n", err)
		return Misuse
	}
	err = ctx.Run()
	var quiet told
	switch {
	case err == nil:
		return Fine
	case errors.As(err, &quiet):
		if errors.Is(err, misuse) {
			return Misuse
		}
		return Failed
	case errors.Is(err, misuse), errors.Is(err, ErrConfig):
		fmt.Fprintln(env.Err, "sliptide:", err)
		return Misuse
	}
	fmt.Fprintln(env.Err, "sliptide:", err)
	return Failed
}
