// Command sliptide is one sender: it takes messages from clients, keeps them in
// its journal, and delivers them to endpoints as the decision module decides.
package main

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/config"
	"sliptide/internal/discovery"
	"sliptide/internal/intake"
	"sliptide/internal/journal"
	"sliptide/internal/sender"
)

const (
	clientsCome = 500 * time.Millisecond // after a SIGTERM, new connections still come so long
	leaveBy     = 3200 * time.Millisecond
	spareFiles  = 32 // descriptors that are no clients' or endpoints' connections

	// Connections to endpoints: several for each call that may be out, and some that stand idle.
	callsForSlot = 4
	idleCalls    = 64

	clientBytes = 24 << 10 // what a client's connection takes, with its goroutine
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sliptide:", err)
		os.Exit(1)
	}
}

func run() error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	hup := make(chan os.Signal, 1) // or the run time would end the process on it
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	limit(cfg.Limits)
	log := zerolog.New(os.Stderr).With().Timestamp().Str("sender", cfg.Name).Logger()

	jr, restored, err := journal.Open(cfg.State, cfg.Limits.DiskBytes)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("RELAY_LISTEN: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	// The sender and what it speaks with refer to each other: its calls are bound below.
	var snd *sender.Sender
	notices := discovery.NewNotices(cfg.Discovery, log, func(nums []uint64) { snd.Told(nums) })
	sockets := cfg.Limits.Sockets - spareFiles
	// The rest is for clients: many may hold a connection and say nothing.
	calls := min(sockets*2/5, idleCalls+callsForSlot*cfg.Settings.CallSlots)
	snd = sender.New(sender.Options{
		Settings: cfg.Settings, Seed: cfg.Seed, Sockets: calls,
		Journal: jr, Restored: restored, Notices: notices.Post, Log: log,
	})
	listed := make(chan struct{}, 1)
	watch := discovery.NewWatch(cfg.Discovery, &cfg.Settings, log, func(l discovery.List) {
		snd.List(l)
		select {
		case listed <- struct{}{}:
		default:
		}
	})
	if err := watch.Known(cfg.Known); err != nil {
		log.Warn().Err(err).Msg("known is of no use, waiting for discovery")
	}
	server := intake.New(&cfg.Settings, snd, clientRoom(sockets-calls, cfg.Limits), log)
	go reload(ctx, hup, log, func(addr string) {
		watch.Move(addr)
		notices.Move(addr)
	})
	go snd.Run()
	go notices.Run(ctx)
	go watch.Run(ctx)
	go server.Serve(ln)
	log.Info().Int("restored", len(restored)).Str("listen", cfg.Listen).Str("discovery", cfg.Discovery).Msg("started")

	select {
	case <-listed: // the list is at hand, and the journal is replayed
		server.Ready()
		<-stop
	case <-stop:
	}
	shutdown(server, snd, ln)
	if err := jr.Close(); err != nil {
		return err
	}
	log.Info().Msg("stopped")
	return nil
}

// reload reads the configuration again on each SIGHUP. Discovery may have moved; all
// else takes effect at the next start. A file that makes no sense changes nothing.
func reload(ctx context.Context, hup <-chan os.Signal, log zerolog.Logger, move func(discovery string)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		cfg, err := config.Reload(os.Getenv)
		if err != nil {
			log.Error().Err(err).Msg("the new configuration is of no use, keeping the old")
			continue
		}
		log.Info().Str("discovery", cfg.Discovery).Msg("configuration read again")
		move(cfg.Discovery)
	}
}

// shutdown stops taking on, answers clients while they still come, lets the calls
// out end, and leaves the rest to the journal.
func shutdown(server *intake.Server, snd *sender.Sender, ln net.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveBy)
	defer cancel()
	server.Refuse()
	snd.Stop()
	time.Sleep(clientsCome)
	ln.Close()
	server.Shutdown(ctx)
	<-snd.Done()
}

// clientRoom is how many clients' connections there may be: as descriptors allow, and so
// that their buffers and stacks take a third of the memory at most.
func clientRoom(sockets int, l config.Limits) int {
	if l.MemoryMB > 0 {
		sockets = min(sockets, int(l.MemoryMB*(1<<20)/3/clientBytes))
	}
	return max(sockets, 16)
}

// limit fits the run time to the machine.
func limit(l config.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 { // files in the state folder count as memory too
		room := l.MemoryMB*(1<<20)*0.75 - float64(l.DiskBytes)
		debug.SetMemoryLimit(int64(max(room, 16<<20)))
	}
}
