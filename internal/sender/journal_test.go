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

// newFailingTestSender returns a testSender whose state directory fails as fault says. No endpoint is listed yet.
func newFailingTestSender(t *testing.T, fault func(op string) fsys.Fault) *testSender {
	t.Helper()
	files := &fsys.Faulty{FS: fsys.OS{Dir: t.TempDir()}, Inject: func(_ int, op, _ string) fsys.Fault { return fault(op) }}
	j, restored, err := journal.OpenFS(files, statedir.NewSpace(1<<20).Account())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	s := &testSender{t: t, journal: j, notices: make(chan discovery.Notice, 100)}
	s.Sender = New(Options{Settings: testSettings(), Seed: 1, MaxConns: 10, Journal: j, Restored: restored, Clock: NewClock(), Log: zerolog.Nop(),
		Notify: func(n discovery.Notice) { s.notices <- n }})
	s.listedDests[3] = true
	s.runStep()
	return s
}

// A write that fails after all of its bytes were written must not lead to a refusal: the next process would find the
// record and send the message.
func TestNoVerdictWhileRecordMayBeOnDisk(t *testing.T) {
	var down atomic.Bool
	s := newFailingTestSender(t, func(op string) (f fsys.Fault) {
		if down.Load() && op != "read" {
			f = fsys.Fault{Err: syscall.EIO, BytesWritten: 1 << 20} // writes everything, but reports an error
		}
		return f
	})
	down.Store(true)
	verdict := s.submit("m", 1, 10*time.Second)
	s.runStep()
	if len(verdict) > 0 {
		t.Fatalf("verdict %+v while the record may be on disk", <-verdict)
	}
	down.Store(false)
	s.await("no verdict", func() bool { return len(verdict) > 0 })
	if v := <-verdict; !v.Accepted {
		t.Errorf("verdict %+v, want an acceptance, because the record is written", v)
	}
}

// While the disk fails, the journal cannot record calls, so none may be sent. Calls that did not begin must not use up
// more than one attempt, a message must still end at its deadline, and new ones must be refused. Once the disk works, a
// held message is sent.
func TestFailingDiskUsesUpNoAttempts(t *testing.T) {
	var down atomic.Bool
	s := newFailingTestSender(t, func(string) (f fsys.Fault) {
		if down.Load() {
			f.Err = syscall.ENOSPC
		}
		return f
	})
	partner := standin.NewRawPartner(t)
	long, short := s.submit("long", 1, 15*time.Second), s.submit("short", 1, 400*time.Millisecond)
	s.runStep()
	if !(<-long).Accepted || !(<-short).Accepted {
		t.Fatal("messages are not accepted")
	}
	down.Store(true)
	s.listEndpoint(partner.Addr)
	s.await("the short message does not end with a notice", func() bool { return len(s.notices) > 0 })
	if v := <-s.submit("more", 1, 10*time.Second); v.Accepted {
		t.Error("a message was accepted while the journal could not be written")
	}
	for _, m := range s.messages {
		if m.Trace != "long" || m.Attempts > 1 {
			t.Errorf("%s has %d attempts, none of which began; want the long message alone, with one at most",
				m.Trace, m.Attempts)
		}
	}
	if len(partner.Calls) > 0 {
		t.Error("a call was sent that is not in the journal")
	}
	down.Store(false)
	s.await("the long message is not sent", func() bool { return len(partner.Calls) > 0 })
}
