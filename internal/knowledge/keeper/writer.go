// Package keeper writes the facts that a sender learns to its knowledge files, on a goroutine of its own. AddWait and
// AddFacts, which the sender's goroutine calls, never wait for the disk: they add facts under a lock that is held
// only for a few map writes, never during I/O.
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/knowledge"
	"sliptide/internal/knowledge/store"
	"sliptide/internal/operator"
	"sliptide/internal/statedir"
)

const (
	// Shortest time between two writes of waits, so that waits requested at the same time share a write.
	minWaitsInterval = 10 * time.Millisecond
	// Shortest time between two snapshots that SaveSoon asks for.
	minSnapshotInterval = 500 * time.Millisecond
	// Time after a failed write of waits until they are written again.
	waitsRetryInterval = 50 * time.Millisecond
	// Step of the wall clock, in milliseconds, after which waits are written again.
	minClockStep = 100.0
	// Time between two checks for such a step.
	clockCheckInterval = time.Second
	// Shortest time between two log lines about failed writes.
	errorLogInterval = 10 * time.Second
)

// Options configure a Writer.
type Options struct {
	Settings  operator.Knowledge
	Store     *store.Store
	Facts     *knowledge.Facts  // as read at the start; owned by the Writer from then on
	Account   *statedir.Account // the account of Store
	Log       zerolog.Logger
	Clock     func() float64 // the sender's clock: Unix milliseconds, unaffected by steps of the wall clock
	WallClock func() float64 // the wall clock, in Unix milliseconds
}

// Writer collects facts and writes them to a Store. A nil Writer ignores them. Run is called once, on a goroutine of
// its own; the other exported methods are safe for concurrent use.
type Writer struct {
	opts      Options
	waitAdded chan struct{}
	saveSoon  chan struct{}
	settings  chan operator.Knowledge
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once

	mu           sync.Mutex
	pending      *knowledge.Facts // added since the last takePending
	pendingUntil float64          // latest end of a wait in pending; 0: none
	takenUntil   float64          // latest end of a wait that was taken from pending and is not on disk yet; 0: none

	// Only the goroutine of Run uses these fields.
	facts        *knowledge.Facts // all facts, times by the sender's clock
	clockOffset  float64          // wall clock minus sender's clock at the last write, in milliseconds
	lastErrorLog time.Time
	leftOut      int // destinations that did not fit into the last snapshot
}

// New returns a Writer, which writes once Run is called.
func New(o Options) *Writer {
	return &Writer{
		opts: o, facts: o.Facts, pending: knowledge.New(o.Facts.Sender), clockOffset: o.WallClock() - o.Clock(),
		waitAdded: make(chan struct{}, 1), saveSoon: make(chan struct{}, 1), settings: make(chan operator.Knowledge, 1),
		closing: make(chan struct{}), done: make(chan struct{}),
	}
}

// AddWait adds a requested wait, with times by the sender's clock. It is written soon, without the other facts.
func (w *Writer) AddWait(wait knowledge.Wait) {
	if w == nil {
		return
	}
	w.mu.Lock()
	w.pending.AddWait(wait)
	w.pendingUntil = max(w.pendingUntil, float64(wait.Until))
	w.mu.Unlock()
	select {
	case w.waitAdded <- struct{}{}:
	default:
	}
}

// UnsavedUntil returns the latest end of the requested waits that are not on disk yet, in milliseconds of the sender's
// clock; 0 if all are.
func (w *Writer) UnsavedUntil() float64 {
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.pendingUntil, w.takenUntil)
}

// waitsSaved records that the waits taken from pending are on disk.
func (w *Writer) waitsSaved() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takenUntil = 0
}

// AddFacts adds facts about destinations and, unless general is nil, facts that belong to no destination. The Writer
// owns them from then on.
func (w *Writer) AddFacts(dests []*knowledge.Destination, general *knowledge.Facts) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range dests {
		w.pending.MergeDestination(d)
	}
	if general != nil {
		w.pending.Merge(general)
	}
}

// SaveSoon makes Run write a snapshot of the facts added so far without waiting for the next regular one, but not more
// often than every minSnapshotInterval.
func (w *Writer) SaveSoon() {
	if w == nil {
		return
	}
	select {
	case w.saveSoon <- struct{}{}:
	default:
	}
}

// UpdateSettings applies new half-lives, a new interval between snapshots and a new choice of whether to sync. The
// maximum size stays as it was at the start. UpdateSettings may wait for a write that is in progress; it does nothing
// after Run has ended.
func (w *Writer) UpdateSettings(settings operator.Knowledge) {
	if w == nil {
		return
	}
	select {
	case w.settings <- settings:
	case <-w.done:
	}
}

// Run writes until Close: waits at once, and again after waitsRetryInterval if that failed; all facts every WriteInterval.
func (w *Writer) Run() {
	defer close(w.done)
	snapshots := time.NewTicker(w.opts.Settings.WriteInterval)
	defer snapshots.Stop()
	clockChecks := time.NewTicker(clockCheckInterval)
	defer clockChecks.Stop()
	retry := time.NewTimer(waitsRetryInterval)
	defer retry.Stop()
	early := time.NewTimer(0) // due when a snapshot that SaveSoon asked for may be written
	early.Stop()
	defer early.Stop()
	var savedAt time.Time
	for {
		if w.UnsavedUntil() == 0 {
			retry.Stop()
		}
		select {
		case <-w.closing:
			w.writeSnapshot()
			return
		case <-w.waitAdded:
			w.writeWaits(false)
			retry.Reset(waitsRetryInterval)
			w.pause(minWaitsInterval)
		case <-retry.C:
			w.writeWaits(true)
			retry.Reset(waitsRetryInterval)
		case <-clockChecks.C:
			if drift := w.opts.WallClock() - w.opts.Clock() - w.clockOffset; drift > minClockStep || drift < -minClockStep {
				w.writeWaits(true) // those on disk are by the wall clock before its step
			}
		case <-snapshots.C:
			w.writeSnapshot()
		case <-w.saveSoon:
			early.Reset(minSnapshotInterval - time.Since(savedAt))
		case <-early.C:
			w.writeSnapshot()
			savedAt = time.Now()
		case <-w.opts.Account.YieldRequested():
			w.yieldSpace()
		case settings := <-w.settings:
			w.opts.Settings.HalfLives, w.opts.Settings.WriteInterval = settings.HalfLives, settings.WriteInterval
			w.opts.Store.SetSync(settings.Sync)
			snapshots.Reset(settings.WriteInterval)
		}
	}
}

// pause waits for d or until Close.
func (w *Writer) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.closing:
	}
}

// Close makes Run write a last snapshot and end, and waits until it has ended or ctx ends: a slow disk must not delay
// shutdown.
func (w *Writer) Close(ctx context.Context) {
	if w == nil {
		return
	}
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-ctx.Done():
		w.opts.Log.Warn().Msg("knowledge: shutdown timed out before the last snapshot was written")
	}
}

// takePending merges the pending facts into facts and reports whether a wait among them ends later than the known one.
func (w *Writer) takePending() (hasWaits bool) {
	w.mu.Lock()
	pending := w.pending
	w.pending = knowledge.New(pending.Sender)
	w.takenUntil, w.pendingUntil = max(w.takenUntil, w.pendingUntil), 0
	w.mu.Unlock()
	for _, wait := range pending.Waits {
		hasWaits = w.facts.AddWait(wait) || hasWaits
	}
	pending.Waits = nil
	w.facts.Merge(pending)
	return hasWaits
}

// factsToWrite expires old facts and returns the rest. The waits get times by the wall clock, because the next process
// run reads them by it, and the sender's clock may have diverged from it since the start. Other facts do not need that
// precision.
func (w *Writer) factsToWrite() *knowledge.Facts {
	now := w.opts.Clock()
	w.facts.Expire(now, w.opts.Settings.HalfLives)
	w.clockOffset = w.opts.WallClock() - now
	facts := *w.facts
	facts.WrittenAt = int64(w.opts.WallClock())
	facts.Waits = make(map[knowledge.Route]knowledge.Wait, len(w.facts.Waits))
	for route, wait := range w.facts.Waits {
		wait.ReceivedAt += int64(w.clockOffset)
		wait.Until += int64(w.clockOffset)
		facts.Waits[route] = wait
	}
	return &facts
}

// writeWaits writes the waits if a new one was added, or with force in any case.
func (w *Writer) writeWaits(force bool) {
	if !w.takePending() && !force {
		return
	}
	err := w.opts.Store.SaveWaits(w.factsToWrite())
	if err == nil {
		w.waitsSaved()
	}
	w.logError(err)
}

// writeSnapshot writes all facts that there is space for.
func (w *Writer) writeSnapshot() {
	w.takePending()
	facts := w.factsToWrite()
	fitted := facts.Clone() // a copy: facts that do not fit now may fit later
	fitted.WrittenAt = facts.WrittenAt
	leftOut := fitted.EvictToFit(w.opts.Store.MaxSnapshotSize(), store.EncodedSize)
	if leftOut != w.leftOut {
		w.opts.Log.Warn().Int("destinations", len(w.facts.Dests)).Int("left_out", leftOut).
			Msg("knowledge: number of destinations left out of the snapshot for lack of disk space has changed")
		w.leftOut = leftOut
	}
	err := w.opts.Store.SaveSnapshot(fitted)
	if err == nil {
		w.waitsSaved()
	}
	w.logError(err)
}

// yieldSpace releases disk space for the journal: first the old files, then the snapshot. The next snapshot uses the
// space that is available then.
func (w *Writer) yieldSpace() {
	claimed := w.opts.Account.Claimed()
	w.logError(w.opts.Store.RemoveOldFiles())
	if w.opts.Account.Claimed() == claimed {
		w.logError(w.opts.Store.RemoveSnapshot())
	}
}

// logError logs an error, at most once per errorLogInterval. A failed write affects no messages.
func (w *Writer) logError(err error) {
	if err == nil || time.Since(w.lastErrorLog) < errorLogInterval {
		return
	}
	w.lastErrorLog = time.Now()
	w.opts.Log.Warn().Err(err).Msg("knowledge: update of the files in the state directory failed")
}
