package main

import (
	"context"
	"errors"
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

	"sliptide/internal/admin"
	"sliptide/internal/cli"
	"sliptide/internal/config"
	"sliptide/internal/discovery"
	"sliptide/internal/fsys"
	"sliptide/internal/intake"
	"sliptide/internal/journal"
	"sliptide/internal/keys"
	"sliptide/internal/knowledge/keeper"
	"sliptide/internal/knowledge/store"
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
	clientsCome = 500 * time.Millisecond // after a SIGTERM, new connections still come so long
	leaveBy     = 3200 * time.Millisecond
	knowBy      = 200 * time.Millisecond // the last snapshot may take so long,
	telemetryBy = 200 * time.Millisecond // and the last traces
	closeBy     = 100 * time.Millisecond // and the last records of the journal
	startFor    = 15 * time.Second       // what fails for a moment is tried so long at a start,
	readFor     = 2 * time.Second        // and configuration files that can't be read
	spareFiles  = 32                     // descriptors that are no clients' or endpoints' connections

	// Connections to endpoints: several for each call that may be out, and some that stand idle.
	callsForSlot = 4
	idleCalls    = 64

	clientBytes = 24 << 10 // what a client's connection takes, with its goroutine
)

// run runs a sender until SIGTERM. operatorFile may be empty.
func run(operatorFile string) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	hup := make(chan os.Signal, 1) // or the run time would end the process on it
	signal.Notify(hup, syscall.SIGHUP)
	cfg, op, err := configure(operatorFile, config.Load)
	if err != nil {
		return fmt.Errorf("%w: %w", cli.ErrConfig, err)
	}
	limit(cfg.Limits)
	debug.FreeOSMemory() // what reading the command line has left behind: on the leanest day 32 MB are all
	log := zerolog.New(os.Stderr).With().Timestamp().Str("sender", cfg.Name).Logger()

	book := partners.New(time.Now)
	warnings, err := book.Load(op.Partners)
	if err != nil {
		return fmt.Errorf("%w: %w", cli.ErrConfig, err)
	}
	warn(log, warnings)
	var place *place
	err = transient.Retry(startFor, transient.IsDiskError, func() (err error) {
		place, err = takePlace(cfg.StateDir, cfg.ListenAddr, log)
		return err
	})
	if err != nil {
		return err
	}
	defer place.release()
	space := statedir.NewSpace(cfg.Limits.DiskBytes)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := startClock(ctx, cfg.StateDir, space, log)
	room := space.Account()
	memory := &memoryBox{}
	jr, restored, err := openJournal(cfg, op, place, space, room, clock, memory, log)
	if err != nil {
		return err
	}
	var kept *admin.DisabledStore
	err = transient.Retry(startFor, transient.IsDiskError, func() (err error) {
		kept, err = admin.Open(fsys.ForDir(cfg.StateDir))
		return err
	})
	if err != nil {
		return err
	}
	space.Account().Claim(admin.DiskQuota)
	var ln net.Listener
	err = transient.Retry(startFor, transient.IsResourceError, func() (err error) {
		ln, err = listen(cfg.ListenAddr)
		return err
	})
	if err != nil {
		return fmt.Errorf("RELAY_LISTEN: %w", err)
	}

	// The sender and what it speaks with refer to each other: its calls are bound below.
	var snd *sender.Sender
	notices := discovery.NewNoticeQueue(cfg.DiscoveryAddr, log, func(nums []uint64) { snd.AckNotices(nums) })
	sockets := cfg.Limits.Sockets - spareFiles
	// The rest is for clients: many may hold a connection and say nothing.
	calls := min(sockets*2/5, idleCalls+callsForSlot*cfg.Settings.CallSlots)
	pipe, err := openTelemetry(cfg, op.Telemetry, clock, log)
	if err != nil {
		return fmt.Errorf("%w: telemetry: %w", cli.ErrConfig, err)
	}
	snd = sender.New(sender.Options{
		Settings: cfg.Settings, Seed: cfg.Seed, MaxConns: calls,
		Journal: jr, Restored: restored, Notify: notices.Post, Knowledge: memory.get().Knowledge, Clock: clock, Log: log,
		Partner: book.Lookup, HTTP2Streams: partners.StreamsPerConn, StormGuard: guard(cfg, op.Storms), Recorder: pipe.Records(), LogRecords: op.Log.Records,
		Disabled: kept.Disabled(), Successor: place.waiting(),
	})
	team, err := newMembership(cfg, op, space, log)
	if err != nil {
		return err
	}
	team.bind(snd, op, cfg.Settings.Senders)
	kept.Bind(snd.SetDisabled)
	go kept.Watch(ctx, snd.ApplyDisabled, log)
	listed := make(chan struct{}, 1)
	source, err := openSource(cfg, op, snd, log, func() {
		select {
		case listed <- struct{}{}:
		default:
		}
	})
	if err != nil {
		return err
	}
	server := intake.New(&cfg.Settings, snd, clientRoom(sockets-calls, cfg.Limits), log)
	if cfg.AdminAddr != "" {
		aln, err := net.Listen("tcp", cfg.AdminAddr)
		if err != nil {
			return fmt.Errorf("RELAY_ADMIN: %w", err)
		}
		defer aln.Close()
		calls := admin.Handlers{Ready: server.Available, Disable: kept.Disable, Enable: kept.Enable, Drain: server.Drain, Undrain: server.Undrain}
		go admin.New(calls, log).Serve(aln)
	}
	go reload(ctx, hup, log, operatorFile, book, func(cfg *config.Config, op *operator.File) {
		source.SetAddr(cfg.DiscoveryAddr)
		notices.SetAddr(cfg.DiscoveryAddr)
		memory.get().Writer.UpdateSettings(op.Knowledge)
		snd.UpdateSettings(cfg.Settings)
		team.retune(op)
	})
	if k := memory.get().Writer; k != nil {
		go k.Run()
	}
	if place.waiting() {
		h := &heir{place: place, cfg: cfg, op: op, space: space, room: room, clock: clock, log: log, snd: snd, kept: kept, memory: memory, team: team}
		go h.takeOver()
	} else if err := team.join(); err != nil {
		return err
	}
	go snd.Run()
	go notices.Run(ctx)
	go source.Run(ctx)
	go server.Serve(ln)
	log.Info().Int("restored", len(restored)).Str("listen", cfg.ListenAddr).Str("discovery", cfg.DiscoveryAddr).Msg("started")

	patience := time.NewTimer(op.Ready.Timeout)
	defer patience.Stop()
	select {
	case <-listed: // the list is at hand, and the journal is replayed
		server.SetReady()
		<-stop
	case <-patience.C:
		log.Warn().Dur("after", op.Ready.Timeout).Msg("ready without a list of endpoints")
		server.SetReady()
		<-stop
	case <-stop:
	}
	away := make(chan struct{})
	upgraded := !place.waiting() && statedir.SuccessorWaiting(cfg.StateDir)
	go func() { // what it holds is handed on at once, while its own calls still end
		defer close(away)
		if team.stays() {
			<-snd.Done()
		}
		if upgraded {
			team.abandon()
		} else {
			team.leave()
		}
	}()
	if upgraded {
		log.Info().Msg("a new version waits: handing over")
		handOver(server, snd, ln)
	} else {
		shutdown(server, snd, ln)
	}
	<-away
	m := memory.get()
	m.close()
	closeTelemetry(pipe)
	flushed := transient.Retry(closeBy, transient.IsDiskError, jr.Flush) // Close tries once, and lets go of the file
	if err := errors.Join(flushed, jr.Close()); err != nil {             // what it can't note is in doubt to the next life
		log.Error().Err(err).Msg("the journal's last records are not written")
	}
	log.Info().Msg("stopped")
	return nil
}

// startClock starts the sender's clock where its timeline in the folder goes on, whatever has become of the wall clock
// since an earlier life. A folder that can't be written to for a while delays nothing.
func startClock(ctx context.Context, dir string, space *statedir.Space, log zerolog.Logger) sender.Clock {
	space.Account().Claim(timeline.DiskBytes)
	reading, err := timeline.Read(sender.WallClock())
	if err != nil {
		log.Warn().Err(err).Msg("the wall clock is taken for the time")
		return sender.NewClockAt(reading.Wall)
	}
	files := fsys.ForDir(dir)
	start, anchor, err := timeline.Start(files, reading)
	if err != nil {
		log.Warn().Err(err).Msg("the timeline of an earlier life is of no use")
	}
	if anchor == nil {
		return sender.NewClockAt(start)
	}
	if err := timeline.Save(files, anchor); err != nil {
		log.Warn().Err(err).Msg("the timeline is not kept, trying again")
		go timeline.RetrySave(files, anchor, ctx.Done())
	}
	return sender.NewClockAt(start)
}

// openJournal opens the journal, and what the sender knows over restarts. An heir starts a journal of its
// own and knows nothing yet: the version before still writes both.
func openJournal(cfg *config.Config, op *operator.File, place *place, space *statedir.Space, room *statedir.Account,
	clock sender.Clock, box *memoryBox, log zerolog.Logger) (*journal.Journal, []*journal.Entry, error) {
	if place.waiting() {
		log.Info().Msg("another process holds the state folder: starting beside it, to take over when it leaves")
		jr, err := journal.OpenSuccessor(fsys.ForDir(cfg.StateDir), room)
		return jr, nil, err
	}
	m := openMemory(cfg, op.Knowledge, space, clock, log)
	m.room.YieldTo(room)
	box.set(m)
	return journal.OpenFS(fsys.ForDir(cfg.StateDir), room)
}

// openTelemetry starts the way to a collector, nil where the part is off.
func openTelemetry(cfg *config.Config, set operator.Telemetry, clock sender.Clock, log zerolog.Logger) (*otlp.Exporter, error) {
	if !set.Enabled {
		return nil, nil
	}
	o, err := otlp.Configure(set, cfg.Name, os.Getenv)
	if err != nil {
		return nil, err
	}
	o.Assembler = telemetry.Settings{Classes: cfg.Settings.Classes, Run: int(clock.Now())}
	o.NowMS = clock.Now
	o.Log = func(err error, dropped uint64) {
		log.Warn().Err(err).Uint64("dropped", dropped).Str("endpoint", o.Target.URL).Msg("telemetry: the collector does not take")
	}
	return otlp.NewExporter(o)
}

// closeTelemetry sends what is left, within its bound.
func closeTelemetry(p *otlp.Exporter) {
	ctx, cancel := context.WithTimeout(context.Background(), telemetryBy)
	defer cancel()
	p.Close(ctx)
}

// guard is the storm guard, nil where the part is off.
func guard(cfg *config.Config, set operator.Storms) *storm.Guard {
	if !set.Enabled {
		return nil
	}
	limits := map[int]float64{}
	for _, l := range set.Limits {
		limits[l.Dest] = l.CallsPerSecond
	}
	return storm.New(storm.SettingsFrom(&cfg.Settings, limits), cfg.Seed)
}

// configure reads both configuration files. A file that can't be read for a moment is tried again: a SIGHUP comes once.
func configure(operatorFile string, load func(getenv func(string) string) (*config.Config, error)) (cfg *config.Config, op *operator.File, err error) {
	err = transient.Retry(readFor, transient.IsDiskError, func() (err error) {
		var operr error
		cfg, err = load(os.Getenv)
		op, operr = loadOperator(operatorFile)
		return errors.Join(err, operr)
	})
	return cfg, op, err
}

// loadOperator reads the operators' file, or the defaults where there is none.
func loadOperator(path string) (*operator.File, error) {
	if path == "" {
		f := operator.Default()
		return &f, nil
	}
	return operator.Load(path)
}

// memory is what the sender knows over restarts, with its room in the folder.
type memory struct {
	sender.Knowledge
	room *statedir.Account
}

// openMemory reads what an earlier life knew. Where the part is off, files that it left behind still
// take their room.
func openMemory(cfg *config.Config, set operator.Knowledge, space *statedir.Space, clock sender.Clock, log zerolog.Logger) memory {
	m := memory{room: space.Account()}
	files := fsys.ForDir(cfg.StateDir)
	if !set.Enabled {
		var left int64
		for _, name := range store.FileNames {
			left += statedir.RoundToBlocks(files.Size(name))
		}
		m.room.Reserve(left)
		m.room.Claim(left)
		return m
	}
	if most := cfg.Limits.DiskBytes / 4; set.MaxSize > most { // the journal goes first
		log.Warn().Int64("bytes", most).Msg("knowledge: max-size is cut to a quarter of limits.disk_mb")
		set.MaxSize = most
	}
	m.room.Reserve(set.MaxSize)
	st, book, problems := store.Open(store.Options{FS: files, Account: m.room, MaxBytes: set.MaxSize, Sync: set.Sync}, cfg.Name)
	for _, p := range problems {
		log.Warn().Str("file", p.File).Err(p.Err).Bool("set_aside", p.SetAside).Bool("left_untouched", p.LeftUntouched).
			Msg("knowledge: a file is of no use")
	}
	if book.Sender != cfg.Name {
		log.Warn().Str("of", book.Sender).Msg("knowledge is another sender's")
	}
	log.Info().Int("destinations", len(book.Dests)).Int("waits", len(book.Waits)).Msg("knowledge of an earlier life")
	m.Knowledge = sender.Knowledge{Settings: set, Facts: book.Clone()}
	m.Writer = keeper.New(keeper.Options{Settings: set, Store: st, Facts: book, Account: m.room, Log: log, Clock: clock.Now, WallClock: clock.Now})
	return m
}

func (m *memory) close() {
	ctx, cancel := context.WithTimeout(context.Background(), knowBy)
	defer cancel()
	m.Writer.Close(ctx)
}

// warn tells of certificates that end soon.
func warn(log zerolog.Logger, list []keys.Warning) {
	for _, w := range list {
		log.Warn().Str("file", w.File).Str("subject", w.Subject).Time("ends", w.Expires).Msg("a certificate ends soon, or has ended")
	}
}

// reload reads the configuration again on each SIGHUP. Discovery may have moved, classes may have come and
// gone, fewer attempts may be allowed; all else takes effect at the next start. A file that makes no sense
// (empty, cut off, short of a key, a deadline or attempts not over 0) changes nothing, its discovery neither.
func reload(ctx context.Context, hup <-chan os.Signal, log zerolog.Logger, operatorFile string, book *partners.Registry, use func(cfg *config.Config, op *operator.File)) {
	daily := time.NewTicker(24 * time.Hour) // keys too: a certificate ends without anybody's doing
	defer daily.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-daily.C:
		}
		cfg, op, err := configure(operatorFile, config.Reload)
		if err != nil {
			log.Error().Err(err).Msg("the new configuration is of no use, keeping the old")
			continue
		}
		warnings, err := book.Load(op.Partners)
		if err != nil {
			log.Error().Err(err).Msg("the new keys are of no use, keeping the old")
			continue
		}
		warn(log, warnings)
		log.Info().Str("discovery", cfg.DiscoveryAddr).Msg("configuration read again")
		use(cfg, op)
	}
}

// shutdown stops taking on, answers clients while they still come, lets the calls
// out end, and leaves the rest to the journal. Connections that rest are closed at once, while the address still
// listens: a request that crosses the close is sent once more, on a new one. The sender stays until no client is
// served: what becomes of an answer (a client that went before it) is told to it.
func shutdown(server *intake.Server, snd *sender.Sender, ln net.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveBy)
	defer cancel()
	server.RefuseMessages()
	snd.Stop()
	time.AfterFunc(clientsCome, func() { ln.Close() })
	server.Shutdown(ctx)
	snd.ClientsGone()
	<-snd.Done()
	server.WaitClosed(ctx)
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
