package keeper

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/fsys"
	"sliptide/internal/knowledge"
	"sliptide/internal/knowledge/store"
	"sliptide/internal/operator"
	"sliptide/internal/statedir"
	"sliptide/policy"
)

// clocks are a sender's clock and a wall clock that a test steps.
type clocks struct {
	mu        sync.Mutex
	now, wall float64
}

func (c *clocks) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}
func (c *clocks) clock() float64 { c.mu.Lock(); defer c.mu.Unlock(); return c.now }
func (c *clocks) wallNow() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wall
}

type rig struct {
	*Writer
	clocks
	files *fsys.Faulty
	log   *syncBuffer
	ops   chan string // each operation, before it is done
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func newRig(t *testing.T, space *statedir.Space, on func(n int, op, name string) fsys.Fault) *rig {
	t.Helper()
	r := &rig{log: &syncBuffer{}, ops: make(chan string, 1000)}
	r.now, r.wall = 1.8e12, 1.8e12
	r.files = &fsys.Faulty{FS: fsys.OS{Dir: t.TempDir()}, Inject: func(n int, op, name string) fsys.Fault {
		r.ops <- op + " " + name
		return on(n, op, name)
	}}
	room := space.Account()
	set := operator.Default().Knowledge
	set.WriteEvery = time.Hour // a test asks for what it wants
	st, book, _ := store.Open(store.Options{FS: r.files, Account: room, MaxBytes: set.MaxSize}, "n0")
	r.Writer = New(Options{Settings: set, Store: st, Facts: book, Account: room, Log: zerolog.New(r.log), Clock: r.clock, WallClock: r.wallNow})
	return r
}

func fine(int, string, string) fsys.Fault { return fsys.Fault{} }

// await waits until an operation has been asked for.
func (r *rig) await(t *testing.T, op string) {
	t.Helper()
	for end := time.After(10 * time.Second); ; {
		select {
		case got := <-r.ops:
			if got == op {
				return
			}
		case <-end:
			t.Fatalf("not in time: %s\n%s", op, r.log)
		}
	}
}

func (r *rig) read(t *testing.T, name string) *knowledge.Facts {
	t.Helper()
	text, err := r.files.FS.Read(name)
	if err != nil {
		t.Fatal(err)
	}
	b, err := store.Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func (r *rig) close(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r.Close(ctx)
	if ctx.Err() != nil {
		t.Fatal("does not end")
	}
}

func wait(dest int, told, length int64) knowledge.Wait {
	return knowledge.Wait{Route: knowledge.Route{Dest: dest}, ReceivedAt: 1.8e12 + told, Until: 1.8e12 + told + length}
}

// A disk that hangs holds up nothing that the sender's goroutine calls, and a stop is not held past its
// bound. Waits told meanwhile are all there once it moves again.
func TestSlowDisk(t *testing.T) {
	hang := make(chan struct{})
	hung := make(chan struct{}, 100)
	r := newRig(t, statedir.NewSpace(1<<20), func(_ int, op, name string) fsys.Fault {
		if op == "write" {
			hung <- struct{}{}
			<-hang
		}
		return fsys.Fault{}
	})
	go r.Run()
	r.AddWait(wait(1, 0, 5000))
	<-hung
	for i := range 1000 { // would never come back if any of it waited for the writer
		r.AddWait(wait(i%50, 10, 6000))
		r.AddFacts([]*knowledge.Destination{{Dest: i % 50, LearnedAt: 1.8e12}}, nil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.Close(ctx)
	close(hang)
	<-r.done
	if b := r.read(t, store.SnapshotName); len(b.Waits) != 50 || len(b.Dests) != 50 {
		t.Errorf("%d waits, %d destinations", len(b.Waits), len(b.Dests))
	}
}

// A wait is written at once, without the rest; the last snapshot has all.
func TestWaitAtOnce(t *testing.T) {
	r := newRig(t, statedir.NewSpace(1<<20), fine)
	go r.Run()
	r.AddFacts([]*knowledge.Destination{{Dest: 4, LearnedAt: 1.8e12}}, nil)
	r.AddWait(wait(3, 0, 700))
	r.await(t, "rename "+store.WaitsName)
	r.close(t)
	b := r.read(t, store.SnapshotName)
	if b.Waits[knowledge.Route{Dest: 3}].Until != 1.8e12+700 || b.Dests[4] == nil {
		t.Errorf("%+v", b)
	}
}

// The wall clock is stepped while the sender runs: waits on disk follow it, since the next life reads them
// by it, and are as long as before.
func TestClockStepped(t *testing.T) {
	r := newRig(t, statedir.NewSpace(1<<20), fine)
	r.Writer.AddWait(wait(3, 0, 60000))
	go r.Run()
	r.await(t, "rename "+store.WaitsName)
	r.set(func() { r.wall -= 3600e3; r.now += 1000 })
	r.await(t, "rename "+store.WaitsName)
	r.close(t)
	w := r.read(t, store.SnapshotName).Waits[knowledge.Route{Dest: 3}]
	if left := w.End(1.8e12-3600e3) - (1.8e12 - 3600e3); left != 59000 {
		t.Errorf("%v left", left)
	}
}

// A disk that is full costs knowledge and nothing else, and is told once, not at each try.
func TestFullDisk(t *testing.T) {
	full := true
	var mu sync.Mutex
	r := newRig(t, statedir.NewSpace(1<<20), func(_ int, op, name string) fsys.Fault {
		mu.Lock()
		defer mu.Unlock()
		if full && op == "write" {
			return fsys.Fault{Err: syscall.ENOSPC, BytesWritten: 11}
		}
		return fsys.Fault{}
	})
	go r.Run()
	for i := range 20 {
		r.AddWait(wait(i, 0, 9000))
		r.await(t, "write "+store.WaitsName+".new")
	}
	mu.Lock()
	full = false
	mu.Unlock()
	r.close(t)
	if b := r.read(t, store.SnapshotName); len(b.Waits) != 20 {
		t.Errorf("%d waits", len(b.Waits))
	}
	if n := bytes.Count([]byte(r.log.String()), []byte("update of the files in the state directory failed")); n != 1 {
		t.Errorf("told %d times:\n%s", n, r.log)
	}
}

// When the journal finds no room, knowledge gives up its copies and then its snapshot.
func TestYields(t *testing.T) {
	space := statedir.NewSpace(32 << 10)
	r := newRig(t, space, fine)
	journal := space.Account()
	r.opts.Account.YieldTo(journal)
	var list []*knowledge.Destination
	for i := range 60 {
		list = append(list, &knowledge.Destination{Dest: i, LearnedAt: 1.8e12, SharedRoute: &policy.RouteFacts{AdvertisedLimit: 5}, Admission: policy.InitialAdmission(),
			Endpoints: []knowledge.Endpoint{{Name: fmt.Sprintf("endpoint-%040d", i), LearnedAt: 1.8e12}}})
	}
	r.AddFacts(list, nil)
	r.writeSnapshot()
	r.writeSnapshot()
	var gone []string
	for !journal.Claim(32 << 10) {
		<-r.opts.Account.YieldRequested() // what Run waits for
		r.yieldSpace()
		if gone = append(gone, "step"); len(gone) > 2 {
			t.Fatalf("still %d bytes claimed", r.opts.Account.Claimed())
		}
	}
	if len(gone) != 2 || r.files.Size(store.SnapshotName) != 0 {
		t.Errorf("%d steps, %d bytes left", len(gone), r.files.Size(store.SnapshotName))
	}
	r.writeSnapshot() // there is no room now: nothing is lost but the file
	if r.files.Size(store.SnapshotName) != 0 || len(r.facts.Dests) != 60 {
		t.Errorf("%d bytes, %d destinations", r.files.Size(store.SnapshotName), len(r.facts.Dests))
	}
	journal.Claim(0)
	if r.writeSnapshot(); len(r.read(t, store.SnapshotName).Dests) == 0 {
		t.Error("nothing written though there is room again")
	}
}

// A Keeper that is not there takes whatever it is told.
func TestNil(t *testing.T) {
	var k *Writer
	k.AddWait(wait(1, 0, 10))
	k.AddFacts(nil, nil)
	k.UpdateSettings(operator.Knowledge{})
	k.Close(context.Background())
}
