// Command sliptide-lab is the emulator and experiment tool. "sliptide lab" starts it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"sliptide/internal/lab/cli"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	info, err := os.Stderr.Stat()
	status := cli.Main(os.Args[1:], cli.Env{Ctx: ctx, Out: os.Stdout, Err: os.Stderr,
		ShowProgress: err == nil && info.Mode()&os.ModeCharDevice != 0})
	cancel()
	os.Exit(status)
}
