package journal

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"sliptide/internal/fsys"
	"sliptide/internal/statedir"
)

func open(t *testing.T, dir string, limit int64) (*Journal, []*Entry) {
	t.Helper()
	j, list, err := Open(dir, statedir.NewSpace(limit).Account())
	if err != nil {
		t.Fatal(err)
	}
	return j, list
}

func entry(j *Journal, body string) *Entry {
	return &Entry{
		Num: j.NextNumber(), Trace: "t", Key: "k", Class: "c", Tenant: "n", OrderingKey: 1 << 60,
		Dest: 7, Resubmitted: true, Deadline: 1 << 41, Body: []byte(body),
	}
}

// TestTornAtAnyByte guards against a torn tail that hides complete records or later appends: a journal cut at any byte
// replays all complete records and accepts further entries.
func TestTornAtAnyByte(t *testing.T) {
	dir := t.TempDir()
	j, _ := open(t, dir, 1<<20)
	a, b := entry(j, "a"), entry(j, "b")
	var ends []int64 // size of the file after each record
	for _, operation := range []func(){
		func() { j.Accept(a) }, func() { j.StartAttempt(a, 1000, 2) }, func() { j.EndAttempt(a, false) },
		func() { j.StartAttempt(a, 2000, 3) },
		func() { j.Accept(b) }, func() { j.OweNotice(b, EndingReturned, 500) }, func() { j.End(b, 5) },
	} {
		operation()
		if err := j.Flush(); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, j.size)
	}
	data, _ := os.ReadFile(filepath.Join(dir, fileName))
	for cut := range len(data) + 1 {
		complete := 0
		for complete < len(ends) && ends[complete] <= int64(cut) {
			complete++
		}
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, fileName), data[:cut], 0o600)
		j, list := open(t, dir, 1<<20)
		got := ""
		for _, e := range list {
			got += fmt.Sprintf("%s %d attempts, may have run at %d in %d, ending %d;",
				e.Body, e.Attempts, e.MayHaveRunAt, e.MayHaveRunZone, e.Ending)
		}
		a1, a2 := "a 1 attempts, may have run at 0 in 0, ending 0;", "a 2 attempts, may have run at 2000 in 3, ending 0;"
		want := []string{"", "a 0 attempts, may have run at 0 in 0, ending 0;",
			"a 1 attempts, may have run at 1000 in 2, ending 0;", a1, a2,
			a2 + "b 0 attempts, may have run at 0 in 0, ending 0;",
			a2 + "b 0 attempts, may have run at 0 in 0, ending 2;", a2}[complete]
		if got != want {
			t.Fatalf("cut at %d: %q, want %q", cut, got, want)
		}
		j.Accept(entry(j, "more"))
		j.Close()
		if _, again := open(t, dir, 1<<20); len(again) != len(list)+1 {
			t.Fatalf("cut at %d: %d entries after one more was accepted, want one more than before", cut, len(again))
		}
	}
}

// TestSizeStaysWithinLimit guards against a compaction that loses entries, and against files that exceed the limit
// while the compacted copy is written.
func TestSizeStaysWithinLimit(t *testing.T) {
	const limit = 100 << 10
	dir := t.TempDir()
	j, _ := open(t, dir, limit)
	var live []*Entry
	refused := 0
	for i := range 2000 {
		if body := make([]byte, i%5000); j.HasSpace(len(body)) {
			e := entry(j, string(body))
			j.Accept(e)
			j.StartAttempt(e, int64(i+1), i%3)
			live = append(live, e)
		} else {
			refused++
		}
		if len(live) > 30 || refused%2 == 1 && len(live) > 0 {
			j.EndAttempt(live[0], true)
			j.End(live[0], int64(i))
			live = live[1:]
		}
		before := j.size
		if err := j.Flush(); err != nil {
			t.Fatal(err)
		}
		if before+j.size > limit && j.size < before || j.size > limit {
			t.Fatalf("step %d: over the limit with a file of %d bytes before the flush and %d after it", i, before, j.size)
		}
	}
	j.Close()
	_, list := open(t, dir, limit)
	if refused == 0 || len(list) != len(live) {
		t.Fatalf("%d messages refused; %d entries after a restart, want %d", refused, len(list), len(live))
	}
	for i, e := range list {
		live[i].endAttempt(true)
		live[i].recordBytes, e.recordBytes = 0, 0
		if !reflect.DeepEqual(e, live[i]) {
			t.Errorf("entry %+v, want %+v", e, live[i])
		}
	}
}

// FuzzReplay checks that a journal with any content can be opened, and that an entry accepted afterwards survives.
func FuzzReplay(f *testing.F) {
	f.Add([]byte{}, []byte{recAccepted, 1})
	f.Fuzz(func(t *testing.T, tail, payload []byte) {
		dir := t.TempDir()
		data := append(appendFrame(nil, func(b []byte) []byte { return append(b, payload...) }), tail...)
		os.WriteFile(filepath.Join(dir, fileName), data, 0o600)
		j, list := open(t, dir, 1<<20)
		e := entry(j, "x")
		j.Accept(e)
		j.Close()
		if _, again := open(t, dir, 1<<20); len(again) != len(list)+1 {
			t.Fatalf("%d entries after the restart, want %d", len(again), len(list)+1)
		}
	})
}

// TestTraceParentSurvivesRestart guards against a trace context that is lost by a restart or a compaction, or that gets
// into the entry of another message.
func TestTraceParentSurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	j, _ := open(t, dir, 1<<20)
	with, without := entry(j, "a"), entry(j, "b")
	with.TraceParent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	j.Accept(with)
	j.Accept(without)
	for range 3 { // each Open compacts the file
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		var list []*Entry
		j, list = open(t, dir, 1<<20)
		if len(list) != 2 || list[0].TraceParent != with.TraceParent || list[1].TraceParent != "" {
			t.Fatalf("%+v", list)
		}
	}
}

// TestSuccessorTakesOver checks the journal of a successor: its numbers don't collide with the predecessor's, it merges
// the predecessor's live entries into a single file once that process has exited, and if it never takes over, the next
// start merges both files.
func TestSuccessorTakesOver(t *testing.T) {
	dir := t.TempDir()
	current, _ := open(t, dir, 1<<20)
	held, finished := &Entry{Num: current.NextNumber(), Trace: "held", Deadline: 1},
		&Entry{Num: current.NextNumber(), Trace: "over", Deadline: 1}
	current.Accept(held)
	current.Accept(finished)
	current.Flush()
	successor, _, err := OpenSuccessor(fsys.OS{Dir: dir}, statedir.NewSpace(1<<20).Account())
	if err != nil {
		t.Fatal(err)
	}
	own := &Entry{Num: successor.NextNumber(), Trace: "mine", Deadline: 1}
	if own.Num <= finished.Num {
		t.Fatalf("the successor's number %d is in the predecessor's range", own.Num)
	}
	successor.Accept(own)
	successor.Flush()
	current.StartAttempt(held, 5, 0) // open when the predecessor exits: it may have run
	current.End(finished, 5)
	if err := current.Close(); err != nil {
		t.Fatal(err)
	}
	takenOver, err := successor.TakeOver()
	if err != nil || len(takenOver) != 1 || takenOver[0].Trace != "held" || takenOver[0].MayHaveRunAt != 5 {
		t.Fatalf("took over %+v, error %v; want the message held alone, which may have run at 5", takenOver, err)
	}
	successor.End(own, 5)
	successor.Close()
	_, live := open(t, dir, 1<<20)
	if len(live) != 1 || live[0].Trace != "held" {
		t.Fatalf("entries after the takeover: %+v, want the message held alone", live)
	}
	if _, err := os.Stat(filepath.Join(dir, successorName)); !os.IsNotExist(err) {
		t.Errorf("the successor's file still exists: %v", err)
	}

	// A successor that never took over: the next start merges its file into the journal.
	abandoned, _, err := OpenSuccessor(fsys.OS{Dir: dir}, statedir.NewSpace(1<<20).Account())
	if err != nil {
		t.Fatal(err)
	}
	abandoned.Accept(&Entry{Num: abandoned.NextNumber(), Trace: "left", Deadline: 1})
	abandoned.Close()
	_, live = open(t, dir, 1<<20)
	if len(live) != 2 || live[0].Trace != "held" || live[1].Trace != "left" {
		t.Fatalf("entries after a successor that did not take over: %+v, want the messages held and left", live)
	}
}
