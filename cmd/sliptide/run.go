package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/admin"
	"sliptide/internal/cli"
	"sliptide/internal/config"
	"sliptide/internal/discovery"
	"sliptide/internal/fsys"
	"sliptide/internal/intake"
	"sliptide/internal/journal"
	"sliptide/internal/keys"
	"sliptide/internal/operator"
	"sliptide/internal/partners"
	"sliptide/internal/sender"
	"sliptide/internal/statedir"
	"sliptide/internal/storm"
	"sliptide/internal/telemetry"
	"sliptide/internal/telemetry/otlp"
	"sliptide/internal/timeline"
	"sliptide/internal/transient"
)

const (
	listenerCloseDelay    = 500 * time.Millisecond  // after SIGTERM; new connections still arrive for that long
	shutdownTimeout       = 3200 * time.Millisecond // for clients and calls in progress
	snapshotTimeout       = 200 * time.Millisecond  // for the last knowledge snapshot
	telemetryFlushTimeout = 200 * time.Millisecond  // for the last traces and metrics
	journalFlushTimeout   = 100 * time.Millisecond  // for the last records of the journal
	startRetryTimeout     = 15 * time.Second        // for operations that fail transiently at startup
	configReadTimeout     = 2 * time.Second         // for configuration files that can't be read at the moment
)

// run runs a sender until SIGTERM or SIGINT. operatorFile is the path of the operators' file; it may be empty.
func run(operatorFile string) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	hup := make(chan os.Signal, 1) // the default action of SIGHUP would end the process
	signal.Notify(hup, syscall.SIGHUP)
	cfg, op, err := loadConfig(operatorFile, config.Load)
	if err != nil {
		return fmt.Errorf("%w: %w", cli.ErrConfig, err)
	}
	setProcessorLimit(cfg.Limits)
	debug.FreeOSMemory() // returns what parsing the command line has left: a small sender has 32 MB in all
	log := zerolog.New(os.Stderr).With().Timestamp().Str("sender", cfg.Name).Logger()

	registry := partners.New(time.Now)
	warnings, err := registry.Load(op.Partners)
	if err != nil {
		return fmt.Errorf("%w: %w", cli.ErrConfig, err)
	}
	logCertificateWarnings(log, warnings)
	var dirLocks *stateDirLocks
	err = transient.Retry(startRetryTimeout, transient.IsDiskError, func() (err error) {
		dirLocks, err = lockStateDir(cfg.StateDir, cfg.ListenAddr, log)
		return err
	})
	if err != nil {
		return err
	}
	defer dirLocks.release()
	register := func() (*statedir.Processes, error) { return statedir.Register(cfg.StateDir) }
	shares := newShareKeeper(register, cfg, dirLocks.waiting, setHeapLimit, log)
	defer shares.close()
	space := statedir.NewSpace(cfg.Limits.DiskBytes)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := startClock(ctx, cfg.StateDir, space, log)
	journalAccount := space.Account()
	knowledge := &knowledgeRef{}
	jrnl, restored, err := openJournal(cfg, op, dirLocks, space, journalAccount, clock, knowledge, log)
	if err != nil {
		return err
	}
	var disabledStore *admin.DisabledStore
	err = transient.Retry(startRetryTimeout, transient.IsDiskError, func() (err error) {
		disabledStore, err = admin.Open(fsys.ForDir(cfg.StateDir))
		return err
	})
	if err != nil {
		return err
	}
	space.Account().Claim(admin.DiskQuota)
	var ln net.Listener
	err = transient.Retry(startRetryTimeout, transient.IsResourceError, func() (err error) {
		ln, err = listen(cfg.ListenAddr)
		return err
	})
	if err != nil {
		return fmt.Errorf("RELAY_LISTEN: %w", err)
	}

	// The sender and the notice queue refer to each other, so snd is declared before both.
	var snd *sender.Sender
	notices := discovery.NewNoticeQueue(cfg.DiscoveryAddr, log, func(nums []uint64) { snd.AckNotices(nums) })
	exporter, err := openTelemetry(cfg, op.Telemetry, clock, log)
	if err != nil {
		return fmt.Errorf("%w: telemetry: %w", cli.ErrConfig, err)
	}
	snd = sender.New(sender.Options{
		Settings: cfg.Settings, Seed: cfg.Seed, MaxConns: shares.endpointConns,
		Journal: jrnl, Restored: restored, Notify: notices.Post, Knowledge: knowledge.get().Knowledge, Clock: clock, Log: log,
		Partner: registry.Lookup, HTTP2Streams: partners.StreamsPerConn, StormGuard: newStormGuard(cfg, op.Storms),
		Recorder: exporter.Records(), LogRecords: op.Log.Records,
		Disabled: disabledStore.Disabled(), Successor: dirLocks.waiting(),
	})
	member, err := newMembership(cfg, op, space, log)
	if err != nil {
		return err
	}
	member.bind(snd, op, cfg.Settings.Senders)
	disabledStore.Bind(snd.SetDisabled)
	go disabledStore.Watch(ctx, snd.ApplyDisabled, log)
	listReceived := make(chan struct{}, 1)
	source, err := openSource(cfg, op, snd, log, func() {
		select {
		case listReceived <- struct{}{}:
		default:
		}
	})
	if err != nil {
		return err
	}
	server := intake.New(&cfg.Settings, snd, shares.intakeLimits(), log)
	go shares.run(ctx, server)
	if cfg.AdminAddr != "" {
		adminListener, err := net.Listen("tcp", cfg.AdminAddr)
		if err != nil {
			return fmt.Errorf("RELAY_ADMIN: %w", err)
		}
		defer adminListener.Close()
		handlers := admin.Handlers{Ready: server.Available, Disable: disabledStore.Disable, Enable: disabledStore.Enable,
			Drain: server.Drain, Undrain: server.Undrain}
		go admin.New(handlers, log).Serve(adminListener)
	}
	go reload(ctx, hup, log, operatorFile, cfg, registry, func(cfg *config.Config, op *operator.File) {
		source.SetAddr(cfg.DiscoveryAddr)
		notices.SetAddr(cfg.DiscoveryAddr)
		knowledge.get().Writer.UpdateSettings(op.Knowledge)
		snd.UpdateSettings(cfg.Settings)
		member.updateMembers(op)
	})
	if writer := knowledge.get().Writer; writer != nil {
		go writer.Run()
	}
	if dirLocks.waiting() {
		next := &successor{dirLocks: dirLocks, cfg: cfg, op: op, space: space, journalAccount: journalAccount, clock: clock,
			log: log, sender: snd, disabledStore: disabledStore, knowledge: knowledge, member: member}
		go next.takeOver(ctx)
	} else if err := member.join(); err != nil {
		return err
	}
	go snd.Run()
	go notices.Run(ctx)
	go source.Run(ctx)
	go server.Serve(ln)
	log.Info().Int("restored", len(restored)).Str("listen", cfg.ListenAddr).Str("discovery", cfg.DiscoveryAddr).Msg("started")

	readyTimer := time.NewTimer(op.Ready.Timeout)
	defer readyTimer.Stop()
	select {
	case <-listReceived: // the first list has arrived, and the journal is replayed
		server.SetReady()
		<-stop
	case <-readyTimer.C:
		log.Warn().Dur("after", op.Ready.Timeout).Msg("ready without a list of endpoints")
		server.SetReady()
		<-stop
	case <-stop:
	}
	stopRequestedAt := time.Now()
	fleetLeft := make(chan struct{})
	handingOver := !dirLocks.waiting() && statedir.SuccessorWaiting(cfg.StateDir)
	go func() { // leaves the fleet while this sender's last calls end, or after them if its journal is copied
		defer close(fleetLeft)
		if member.outlivesSender() {
			<-snd.Done()
		}
		if handingOver {
			member.abandon()
		} else {
			member.leave()
		}
	}()
	if handingOver {
		log.Info().Msg("a successor is waiting: handing over")
		handOver(server, snd, ln, shares, stopRequestedAt)
	} else {
		shutdown(server, snd, ln)
	}
	sendingEnded := time.Now()
	<-fleetLeft
	latest := knowledge.get()
	latest.close()
	closeJournal(jrnl, log)
	cancel() // nothing of this process may use the state directory, or post for its sender, once a successor does
	dirLocks.release()
	log.Info().Dur("after_sending_ms", time.Since(sendingEnded)).Msg("state directory released")
	if handingOver {
		lingerAfterHandOver(server, stopRequestedAt)
	}
	closeTelemetry(exporter)
	log.Info().Msg("stopped")
	return nil
}

// closeJournal writes the last records and closes the journal. Close tries to write only once, so Flush is retried
// before it. After the restart, a message whose last record is missing counts as one that may have run.
func closeJournal(jrnl *journal.Journal, log zerolog.Logger) {
	flushed := transient.Retry(journalFlushTimeout, transient.IsDiskError, jrnl.Flush)
	if err := errors.Join(flushed, jrnl.Close()); err != nil {
		log.Error().Err(err).Msg("writing the last records of the journal failed")
	}
}

// startClock starts the sender's clock on the timeline that is kept in the state directory, which continues across
// restarts even if the wall clock was stepped. A directory that can't be written to doesn't delay the start.
func startClock(ctx context.Context, dir string, space *statedir.Space, log zerolog.Logger) sender.Clock {
	space.Account().Claim(timeline.DiskBytes)
	reading, err := timeline.Read(sender.WallClock())
	if err != nil {
		log.Warn().Err(err).Msg("reading the system clocks failed; starting the clock at the wall clock's time")
		return sender.NewClockAt(reading.Wall)
	}
	files := fsys.ForDir(dir)
	start, anchor, err := timeline.Start(files, reading)
	if err != nil {
		log.Warn().Err(err).Msg("the timeline of an earlier run cannot be used; starting the clock at the wall clock's time")
	}
	if anchor == nil {
		return sender.NewClockAt(start)
	}
	if err := timeline.Save(files, anchor); err != nil {
		log.Warn().Err(err).Msg("saving the timeline failed; retrying")
		go timeline.RetrySave(files, anchor, ctx.Done())
	}
	return sender.NewClockAt(start)
}

// openJournal opens the journal and the persistent knowledge. A successor creates a journal of its own and opens no
// knowledge yet, since the old process still writes both.
func openJournal(cfg *config.Config, op *operator.File, dirLocks *stateDirLocks, space *statedir.Space,
	journalAccount *statedir.Account, clock sender.Clock, knowledge *knowledgeRef, log zerolog.Logger) (*journal.Journal, []*journal.Entry, error) {
	if dirLocks.waiting() {
		log.Info().Msg("an older process of this sender holds the state directory; starting as its successor")
		return journal.OpenSuccessor(fsys.ForDir(cfg.StateDir), journalAccount)
	}
	opened := openKnowledge(cfg, op.Knowledge, space, clock, log)
	opened.account.YieldTo(journalAccount)
	knowledge.set(opened)
	return journal.OpenFS(fsys.ForDir(cfg.StateDir), journalAccount)
}

// openTelemetry starts the export to a collector. It returns nil if telemetry is disabled.
func openTelemetry(cfg *config.Config, settings operator.Telemetry, clock sender.Clock,
	log zerolog.Logger) (*otlp.Exporter, error) {
	if !settings.Enabled {
		return nil, nil
	}
	opts, err := otlp.Configure(settings, cfg.Name, os.Getenv)
	if err != nil {
		return nil, err
	}
	opts.Assembler = telemetry.Settings{Classes: cfg.Settings.Classes, Run: int(clock.Now())}
	opts.NowMS = clock.Now
	opts.Log = func(err error, dropped uint64) {
		log.Warn().Err(err).Uint64("dropped", dropped).Str("endpoint", opts.Target.URL).
			Msg("telemetry: export to the collector failed")
	}
	return otlp.NewExporter(opts)
}

// closeTelemetry sends the remaining traces and metrics within telemetryFlushTimeout.
func closeTelemetry(exporter *otlp.Exporter) {
	ctx, cancel := context.WithTimeout(context.Background(), telemetryFlushTimeout)
	defer cancel()
	exporter.Close(ctx)
}

// newStormGuard returns the storm guard, or nil if it is disabled.
func newStormGuard(cfg *config.Config, settings operator.Storms) *storm.Guard {
	if !settings.Enabled {
		return nil
	}
	limits := map[int]float64{}
	for _, l := range settings.Limits {
		limits[l.Dest] = l.CallsPerSecond
	}
	return storm.New(storm.SettingsFrom(&cfg.Settings, limits), cfg.Seed)
}

// logCertificateWarnings logs certificates that have expired or expire soon.
func logCertificateWarnings(log zerolog.Logger, warnings []keys.Warning) {
	for _, w := range warnings {
		log.Warn().Str("file", w.File).Str("subject", w.Subject).Time("ends", w.Expires).
			Msg("certificate has expired or expires soon")
	}
}

// shutdown refuses new messages, answers the clients that still arrive, lets the calls in progress end, and leaves the
// remaining messages to the journal. Idle connections are closed at once, while the listener is still open, so that a
// client whose request crosses the close can send it again on a new connection. The sender runs until no client is
// served, since the server informs it of clients that disconnected before their answer.
func shutdown(server *intake.Server, snd *sender.Sender, ln net.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	server.RefuseMessages()
	snd.Stop()
	time.AfterFunc(listenerCloseDelay, func() { closeListener(ln) })
	server.Shutdown(ctx)
	snd.ClientsGone()
	<-snd.Done()
	server.WaitClosed(ctx)
}
