package sender

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/discovery"
	"sliptide/internal/fsys"
	"sliptide/internal/journal"
	"sliptide/internal/statedir"
)

// newTestSuccessor returns the successor of a running sender, without endpoints.
func newTestSuccessor(t *testing.T, dir string) *testSender {
	t.Helper()
	j, restored, err := journal.OpenSuccessor(fsys.OS{Dir: dir}, statedir.NewSpace(1<<20).Account())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	s := &testSender{t: t, dir: dir, journal: j, notices: make(chan discovery.Notice, 100)}
	s.Sender = New(Options{Settings: testSettings(), Seed: 1, MaxConns: 10, Journal: j, Restored: restored, Clock: NewClock(),
		Log: zerolog.Nop(), Successor: true, Notify: func(n discovery.Notice) { s.notices <- n }})
	s.listedDests[3] = true
	return s
}

// Guards against both processes of an upgrade accepting one ID that reaches them in the same moment.
func TestSameIDAtBothProcessesIsAcceptedOnce(t *testing.T) {
	dir := t.TempDir()
	predecessor := newTestSender(t, dir, "", testSettings())
	predecessor.listedDests[3] = true
	successor := newTestSuccessor(t, dir)
	for i, pair := range [][2]*testSender{{predecessor, successor}, {successor, predecessor}} {
		first, second := pair[0], pair[1]
		trace := string(rune('a' + i))
		firstVerdict := first.submit(trace, 2, 10*time.Second)
		secondVerdict := second.submit(trace, 2, 10*time.Second) // the first one's step is not over
		second.runStep()
		if len(secondVerdict) > 0 {
			t.Fatalf("verdict %+v while the other process accepts messages", <-secondVerdict)
		}
		first.runStep()
		second.runStep()
		if v := verdictOf(t, firstVerdict); !v.Accepted {
			t.Errorf("%s: the first process's verdict is %+v, want an acceptance", trace, v)
		}
		if v := verdictOf(t, secondVerdict); !v.Duplicate {
			t.Errorf("%s: the second process's verdict is %+v, want a duplicate", trace, v)
		}
	}
}

// Guards against a client that hears nothing because the other process of an upgrade stopped while it accepted messages.
func TestDeferredSubmissionIsRefusedInTime(t *testing.T) {
	dir := t.TempDir()
	stopped := newTestSender(t, dir, "", testSettings())
	if err := stopped.journal.LockIDs(); err != nil {
		t.Fatal(err)
	}
	successor := newTestSuccessor(t, dir)
	verdict := successor.submit("m", 2, 10*time.Second)
	successor.await("the submission is not refused", func() bool { return len(verdict) > 0 })
	if v := <-verdict; v.Accepted || v.Duplicate || v.RetryAfterMS == 0 {
		t.Errorf("verdict %+v, want a refusal with a Retry-After", v)
	}
}

// Guards against an ID that is accepted again while the notice of its message has not been acknowledged after a restart.
func TestIDWithPendingNoticeStaysTaken(t *testing.T) {
	dir := t.TempDir()
	s := newTestSender(t, dir, "", testSettings())
	s.listedDests[3] = true
	accepted := s.submit("m", 2, 400*time.Millisecond)
	s.runStep()
	if v := verdictOf(t, accepted); !v.Accepted {
		t.Fatalf("verdict %+v, want an acceptance", v)
	}
	s.await("the message does not end", func() bool { return len(s.notices) > 0 })
	s.journal.Close()
	restarted := newTestSender(t, dir, "", testSettings())
	restarted.listedDests[3] = true
	if v := verdictOf(t, restarted.submit("m", 2, 10*time.Second)); !v.Duplicate {
		t.Errorf("verdict %+v, want a duplicate", v)
	}
}
