// Command sliptide is one sender: it takes messages from clients, keeps them in
// its journal, and delivers them to endpoints as the decision module decides. Its
// sub-commands show what a sender keeps (internal/cli).
package main

import (
	"os"

	"sliptide/internal/cli"
	"sliptide/internal/sender"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], cli.Env{Out: os.Stdout, Err: os.Stderr, RunSender: run, RunControlMember: runControl, Now: sender.WallClock}))
}
