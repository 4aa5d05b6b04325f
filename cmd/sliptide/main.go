// Command sliptide runs one sender: it accepts messages from clients, journals them, and delivers them to endpoints
// as the decision module (package policy) decides. Its sub-commands inspect a sender's files (internal/cli).
package main

import (
	"os"

	"sliptide/internal/cli"
	"sliptide/internal/sender"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], cli.Env{Out: os.Stdout, Err: os.Stderr, RunSender: run, RunControlMember: runControl, Now: sender.WallClock}))
}
