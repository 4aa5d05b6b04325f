// Package command parses and runs the command lines of this repository's programs, with the same help, error messages
// and exit statuses in all of them. It does not depend on any of the commands.
package command

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Exit statuses.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2 // wrong use or configuration; nothing was started
)

// Program is a command-line program.
type Program struct {
	Name        string
	Description string
	Out, Err    io.Writer
	Env         any // a pointer, passed to the commands' Run methods
	// Status returns the exit status of a failed command; quiet: its message has been written already.
	Status func(err error) (status int, quiet bool)
}

type exitCode int

// Main runs the command of grammar, a pointer to a struct with kong's tags, that args select, and returns the exit
// status.
func (p *Program) Main(grammar any, args []string) (status int) {
	defer func() { // kong calls its exit function after --help; that panics, so that only the command ends
		if r := recover(); r != nil {
			code, ok := r.(exitCode)
			if !ok {
				panic(r)
			}
			status = int(code)
		}
	}()
	parser, err := kong.New(grammar, kong.Name(p.Name), kong.Description(p.Description), kong.Writers(p.Out, p.Err),
		kong.Exit(func(code int) { panic(exitCode(code)) }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Bind(p.Env))
	if err != nil {
		fmt.Fprintf(p.Err, "%s: %v\n", p.Name, err)
		return ExitFailure
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(p.Err, "%s: %v (see %s --help)\n", p.Name, err, p.Name)
		return ExitUsage
	}
	if err = ctx.Run(); err == nil {
		return ExitOK
	}
	status, quiet := p.Status(err)
	if !quiet {
		fmt.Fprintf(p.Err, "%s: %v\n", p.Name, err)
	}
	return status
}
