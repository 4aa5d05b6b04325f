// Command sliptide runs one sender: it accepts messages from clients, journals them, and delivers them to endpoints
// as the decision module (package policy) decides. Its sub-commands (internal/cli) inspect a sender's files, query a
// fleet and run a control member.
package main

import (
	"os"

	"sliptide/internal/cli"
	"sliptide/internal/sender"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], cli.Env{Out: os.Stdout, Err: os.Stderr, RunSender: run, RunControlMember: runControl, Now: sender.WallClock}))
}
