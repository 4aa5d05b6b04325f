package sender

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/discovery"
	"sliptide/internal/fsys"
	"sliptide/internal/journal"
	"sliptide/internal/standin"
	"sliptide/internal/statedir"
)

// failingBench is a bench whose folder fails as fault says.
func failingBench(t *testing.T, fault func(op string) fsys.Fault) *bench {
	t.Helper()
	files := &fsys.Faulty{FS: fsys.OS{Dir: t.TempDir()}, Inject: func(_ int, op, _ string) fsys.Fault { return fault(op) }}
	j, restored, err := journal.OpenFS(files, statedir.NewSpace(1<<20).Account())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	b := &bench{t: t, journal: j, notices: make(chan discovery.Notice, 100)}
	b.Sender = New(Options{Settings: benchSettings(), Seed: 1, MaxConns: 10, Journal: j, Restored: restored, Clock: NewClock(), Log: zerolog.Nop(),
		Notify: func(n discovery.Notice) { b.notices <- n }})
	b.dests[3] = true
	b.next()
	return b
}

// Guards against a refusal of a message whose record is on the disk, whole, and is sent by the next life.
func TestNoVerdictWhileTheRecordMayStand(t *testing.T) {
	var down atomic.Bool
	b := failingBench(t, func(op string) (f fsys.Fault) {
		if down.Load() {
			f = fsys.Fault{Err: syscall.EIO, BytesWritten: 1 << 20} // all is written, and said to have failed
		}
		return f
	})
	down.Store(true)
	verdict := b.hand("m", 1, 10*time.Second)
	b.next()
	if len(verdict) > 0 {
		t.Fatalf("%+v while its record may stand", <-verdict)
	}
	down.Store(false)
	b.await("the verdict", func() bool { return len(verdict) > 0 })
	if v := <-verdict; !v.Accepted {
		t.Errorf("%+v though its record is written", v)
	}
}

// Guards against messages whose attempts are used up by a disk that fails, and against ends that wait for it.
func TestFailingDiskUsesUpNoAttempts(t *testing.T) {
	var down atomic.Bool
	b := failingBench(t, func(string) (f fsys.Fault) {
		if down.Load() {
			f.Err = syscall.ENOSPC
		}
		return f
	})
	partner := standin.NewRawPartner(t)
	long, short := b.hand("long", 1, 15*time.Second), b.hand("short", 1, 400*time.Millisecond)
	b.next()
	if !(<-long).Accepted || !(<-short).Accepted {
		t.Fatal("not taken on")
	}
	down.Store(true)
	b.list(partner.Addr)
	b.await("the short message ends by a notice", func() bool { return len(b.notices) > 0 })
	if v := <-b.hand("more", 1, 10*time.Second); v.Accepted {
		t.Error("taken on without a journal")
	}
	for _, m := range b.msgs {
		if m.Trace != "long" || m.Attempts > 1 {
			t.Errorf("%s has had %d attempts, none of which began", m.Trace, m.Attempts)
		}
	}
	if len(partner.Calls) > 0 {
		t.Error("a call went out that is in no journal")
	}
	down.Store(false)
	b.await("the long message is sent", func() bool { return len(partner.Calls) > 0 })
}
