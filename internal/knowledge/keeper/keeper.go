// Package keeper writes what a sender learns to its knowledge file, on a goroutine of its own. What the
// sender's goroutine calls never waits: it leaves facts under a lock that is held for a few map writes,
// and no disk, however slow or full, is ever waited for with it.
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
	waitsGap   = 10 * time.Millisecond // between two writes of waits: those told together share one
	stepLeast  = 100.0                 // milliseconds that the wall clock jumped, to write waits again
	stepLook   = time.Second
	complainIn = 10 * time.Second // between two lines on one kind of trouble
)

// Options are what a Keeper works with.
type Options struct {
	Settings  operator.Knowledge
	Store     *store.Store
	Facts     *knowledge.Facts // as read at the start; the Keeper's own from here on
	Account   *statedir.Account
	Log       zerolog.Logger
	Clock     func() float64 // the sender's clock: Unix milliseconds that no step of the wall clock moves
	WallClock func() float64 // the wall clock, in Unix milliseconds
}

// Keeper takes facts and writes them. A nil Keeper takes nothing.
type Writer struct {
	o     Options
	wake  chan struct{} // a wait was told
	sets  chan operator.Knowledge
	ended chan struct{}
	done  chan struct{}
	stop  sync.Once

	mu   sync.Mutex
	news *knowledge.Facts // since the writer last looked

	book     *knowledge.Facts // the writer's from here on
	shift    float64          // wall clock less the sender's, when waits were last written
	trouble  time.Time        // when it was last told
	shrunkAt int              // destinations left out of the last one
}

// New returns a Keeper; Run makes it write.
func New(o Options) *Writer {
	return &Writer{
		o: o, book: o.Facts, news: knowledge.New(o.Facts.Sender), shift: o.WallClock() - o.Clock(),
		wake: make(chan struct{}, 1), sets: make(chan operator.Knowledge, 1), ended: make(chan struct{}), done: make(chan struct{}),
	}
}

// Wait notes a told wait, by the sender's clock. It is on disk soon after, whatever else waits to be
// written.
func (k *Writer) AddWait(w knowledge.Wait) {
	if k == nil {
		return
	}
	k.mu.Lock()
	k.news.AddWait(w)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Learn notes what is known of destinations and, unless nil, beside them. The facts are the Keeper's.
func (k *Writer) AddFacts(list []*knowledge.Destination, general *knowledge.Facts) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, d := range list {
		k.news.MergeDestination(d)
	}
	if general != nil {
		k.news.Merge(general)
	}
}

// Set takes new half-lives, a new time between snapshots and a new choice of sync. The room stays as it
// was at the start.
func (k *Writer) UpdateSettings(set operator.Knowledge) {
	if k == nil {
		return
	}
	select {
	case k.sets <- set:
	case <-k.done:
	}
}

// Run writes until Close: waits at once, all else every WriteEvery.
func (k *Writer) Run() {
	defer close(k.done)
	snapshots := time.NewTicker(k.o.Settings.WriteEvery)
	defer snapshots.Stop()
	steps := time.NewTicker(stepLook)
	defer steps.Stop()
	for {
		select {
		case <-k.ended:
			k.snapshot()
			return
		case <-k.wake:
			k.waits(false)
			k.pause(waitsGap)
		case <-steps.C:
			if d := k.o.WallClock() - k.o.Clock() - k.shift; d > stepLeast || d < -stepLeast {
				k.waits(true) // those on disk are told by a clock that is no more
			}
		case <-snapshots.C:
			k.snapshot()
		case <-k.o.Account.YieldRequested():
			k.yield()
		case set := <-k.sets:
			k.o.Settings.HalfLives, k.o.Settings.WriteEvery = set.HalfLives, set.WriteEvery
			k.o.Store.SetSync(set.Sync)
			snapshots.Reset(set.WriteEvery)
		}
	}
}

// pause waits, unless the Keeper ends.
func (k *Writer) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-k.ended:
	}
}

// Close writes a last snapshot and ends, or leaves it at what is written when ctx ends: a stop must not
// hang on a disk.
func (k *Writer) Close(ctx context.Context) {
	if k == nil {
		return
	}
	k.stop.Do(func() { close(k.ended) })
	select {
	case <-k.done:
	case <-ctx.Done():
		k.o.Log.Warn().Msg("knowledge: the last snapshot was not written in time")
	}
}

// take moves the news into the book and reports whether a wait was among them.
func (k *Writer) take() (waits bool) {
	k.mu.Lock()
	news := k.news
	k.news = knowledge.New(news.Sender)
	k.mu.Unlock()
	for _, w := range news.Waits {
		waits = k.book.AddWait(w) || waits
	}
	news.Waits = nil
	k.book.Merge(news)
	return waits
}

// onDisk is the book by the wall clock, as a later life will read it: the sender's clock may have parted
// from that since it started. Only the waits need it to the millisecond.
func (k *Writer) onDisk() *knowledge.Facts {
	now := k.o.Clock()
	k.book.Expire(now, k.o.Settings.HalfLives)
	k.shift = k.o.WallClock() - now
	b := *k.book
	b.WrittenAt = int64(k.o.WallClock())
	b.Waits = make(map[knowledge.Route]knowledge.Wait, len(k.book.Waits))
	for r, w := range k.book.Waits {
		w.ReceivedAt += int64(k.shift)
		w.Until += int64(k.shift)
		b.Waits[r] = w
	}
	return &b
}

func (k *Writer) waits(anyway bool) {
	if !k.take() && !anyway {
		return
	}
	k.report(k.o.Store.SaveWaits(k.onDisk()))
}

func (k *Writer) snapshot() {
	k.take()
	b := k.onDisk()
	left := b.Clone() // Fit drops from the copy: what finds no room now may find some later
	left.WrittenAt = b.WrittenAt
	dropped := left.EvictToFit(k.o.Store.MaxSnapshotSize(), store.EncodedSize)
	if dropped != k.shrunkAt {
		k.o.Log.Warn().Int("destinations", len(k.book.Dests)).Int("left_out", dropped).Msg("knowledge: room for part of it only")
		k.shrunkAt = dropped
	}
	k.report(k.o.Store.SaveSnapshot(left))
}

// yield gives room to the journal: copies first, then the snapshot. The next one is as large as there
// is room then.
func (k *Writer) yield() {
	before := k.o.Account.Claimed()
	k.report(k.o.Store.RemoveOldFiles())
	if k.o.Account.Claimed() == before {
		k.report(k.o.Store.RemoveSnapshot())
	}
}

// report logs trouble, now and then: knowledge that can't be written costs no message.
func (k *Writer) report(err error) {
	if err == nil || time.Since(k.trouble) < complainIn {
		return
	}
	k.trouble = time.Now()
	k.o.Log.Warn().Err(err).Msg("knowledge: not written")
}
