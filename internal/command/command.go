// Package command runs a command line by its grammar, for the programs of this repository: help, errors and the
// exit status are alike in all of them. It knows none of the commands.
package command

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// The exit status.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2 // wrong use or configuration; nothing was started
)

// Program is one command line.
type Program struct {
	Name        string
	Description string
	Out, Err    io.Writer
	Env         any                                      // a pointer, which the commands' Run takes
	Status      func(err error) (status int, quiet bool) // of a command that failed; quiet: its reader has been told
}

type exit int

// Main runs the command of the grammar g (a pointer to kong's struct) that args name and returns the exit status.
func (p *Program) Main(g any, args []string) (status int) {
	defer func() { // kong ends the process after --help; here it ends the command
		if r := recover(); r != nil {
			code, ok := r.(exit)
			if !ok {
				panic(r)
			}
			status = int(code)
		}
	}()
	parser, err := kong.New(g, kong.Name(p.Name), kong.Description(p.Description), kong.Writers(p.Out, p.Err),
		kong.Exit(func(code int) { panic(exit(code)) }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Bind(p.Env))
	if err != nil {
		fmt.Fprintf(p.Err, "%s: %v\n", p.Name, err)
		return ExitFailure
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(p.Err, "%s: %v (%s --help tells more)\n", p.Name, err, p.Name)
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
