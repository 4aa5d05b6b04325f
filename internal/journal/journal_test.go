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
	return &Entry{Num: j.NextNumber(), Trace: "t", Key: "k", Class: "c", Tenant: "n", OrderingKey: 1 << 60, Dest: 7, Resubmitted: true, Deadline: 1 << 41, Body: []byte(body)}
}

// A journal cut off at any byte replays all records that were whole, and goes on from there.
func TestTornAnywhere(t *testing.T) {
	dir := t.TempDir()
	j, _ := open(t, dir, 1<<20)
	a, b := entry(j, "a"), entry(j, "b")
	var ends []int64 // of the file, after each record
	for _, note := range []func(){
		func() { j.Accept(a) }, func() { j.StartAttempt(a, 1000, 2) }, func() { j.EndAttempt(a, false) }, func() { j.StartAttempt(a, 2000, 3) },
		func() { j.Accept(b) }, func() { j.OweNotice(b, EndingReturned, 500) }, func() { j.End(b) },
	} {
		note()
		if err := j.Flush(); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, j.size)
	}
	text, _ := os.ReadFile(filepath.Join(dir, fileName))
	for cut := range len(text) + 1 {
		whole := 0
		for whole < len(ends) && ends[whole] <= int64(cut) {
			whole++
		}
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, fileName), text[:cut], 0o600)
		j, list := open(t, dir, 1<<20)
		got := ""
		for _, e := range list {
			got += fmt.Sprintf("%s %d attempts, doubt %d in %d, ending %d;", e.Body, e.Attempts, e.MayHaveRunAt, e.MayHaveRunZone, e.Ending)
		}
		a1, a2 := "a 1 attempts, doubt 0 in 0, ending 0;", "a 2 attempts, doubt 2000 in 3, ending 0;"
		want := []string{"", "a 0 attempts, doubt 0 in 0, ending 0;", "a 1 attempts, doubt 1000 in 2, ending 0;", a1, a2,
			a2 + "b 0 attempts, doubt 0 in 0, ending 0;", a2 + "b 0 attempts, doubt 0 in 0, ending 2;", a2}[whole]
		if got != want {
			t.Fatalf("cut at %d: %q, want %q", cut, got, want)
		}
		j.Accept(entry(j, "more"))
		j.Close()
		if _, again := open(t, dir, 1<<20); len(again) != len(list)+1 {
			t.Fatalf("cut at %d: %d entries after one more", cut, len(again))
		}
	}
}

// Compaction loses nothing, and with its copy the files stay under the limit.
func TestBounded(t *testing.T) {
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
			j.End(live[0])
			live = live[1:]
		}
		before := j.size
		if err := j.Flush(); err != nil {
			t.Fatal(err)
		}
		if before+j.size > limit && j.size < before || j.size > limit {
			t.Fatalf("step %d: %d bytes, then %d", i, before, j.size)
		}
	}
	j.Close()
	_, list := open(t, dir, limit)
	if refused == 0 || len(list) != len(live) {
		t.Fatalf("%d refused; %d entries, want %d", refused, len(list), len(live))
	}
	for i, e := range list {
		live[i].settle(true)
		live[i].size, e.size = 0, 0
		if !reflect.DeepEqual(e, live[i]) {
			t.Errorf("entry %+v, want %+v", e, live[i])
		}
	}
}

// Whatever the file holds, it is opened, and what is noted next is kept.
func FuzzReplay(f *testing.F) {
	f.Add([]byte{}, []byte{recTaken, 1})
	f.Fuzz(func(t *testing.T, tail, payload []byte) {
		dir := t.TempDir()
		text := append(frame(nil, func(b []byte) []byte { return append(b, payload...) }), tail...)
		os.WriteFile(filepath.Join(dir, fileName), text, 0o600)
		j, list := open(t, dir, 1<<20)
		e := entry(j, "x")
		j.Accept(e)
		j.Close()
		if _, again := open(t, dir, 1<<20); len(again) != len(list)+1 {
			t.Fatalf("%d entries, want %d", len(again), len(list)+1)
		}
	})
}

// The trace context of a message outlasts the process and a compaction, and ends with the message.
func TestParentOutlasts(t *testing.T) {
	dir := t.TempDir()
	j, _ := open(t, dir, 1<<20)
	with, without := entry(j, "a"), entry(j, "b")
	with.TraceParent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	j.Accept(with)
	j.Accept(without)
	for range 3 { // each opening compacts
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

// An heir's journal: numbers apart from the present one's, the present one's live entries taken in when it
// has left, one file after; and where the heir never took over, a later start takes in both.
func TestHeir(t *testing.T) {
	dir := t.TempDir()
	present, _ := open(t, dir, 1<<20)
	held, over := &Entry{Num: present.NextNumber(), Trace: "held", Deadline: 1}, &Entry{Num: present.NextNumber(), Trace: "over", Deadline: 1}
	present.Accept(held)
	present.Accept(over)
	present.Flush()
	heir, err := OpenSuccessor(fsys.OS{Dir: dir}, statedir.NewSpace(1<<20).Account())
	if err != nil {
		t.Fatal(err)
	}
	mine := &Entry{Num: heir.NextNumber(), Trace: "mine", Deadline: 1}
	if mine.Num <= over.Num {
		t.Fatalf("the heir's number %d is among the present one's", mine.Num)
	}
	heir.Accept(mine)
	heir.Flush()
	present.StartAttempt(held, 5, 0) // out when the present one leaves: it may have run
	present.End(over)
	if err := present.Close(); err != nil {
		t.Fatal(err)
	}
	joined, err := heir.TakeOver()
	if err != nil || len(joined) != 1 || joined[0].Trace != "held" || joined[0].MayHaveRunAt != 5 {
		t.Fatalf("took over %+v, %v", joined, err)
	}
	heir.End(mine)
	heir.Close()
	_, live := open(t, dir, 1<<20)
	if len(live) != 1 || live[0].Trace != "held" {
		t.Fatalf("after the take-over: %+v", live)
	}
	if _, err := os.Stat(filepath.Join(dir, heirName)); !os.IsNotExist(err) {
		t.Errorf("the heir's file is left: %v", err)
	}

	// An heir that never took over: its file is taken in at the next start, beside the journal.
	left, err := OpenSuccessor(fsys.OS{Dir: dir}, statedir.NewSpace(1<<20).Account())
	if err != nil {
		t.Fatal(err)
	}
	left.Accept(&Entry{Num: left.NextNumber(), Trace: "left", Deadline: 1})
	left.Close()
	_, live = open(t, dir, 1<<20)
	if len(live) != 2 || live[0].Trace != "held" || live[1].Trace != "left" {
		t.Fatalf("after an heir that did not take over: %+v", live)
	}
}
