package journal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"sliptide/internal/fsys"
	"sliptide/internal/statedir"
)

func openSuccessor(t *testing.T, dir string) *Journal {
	t.Helper()
	j, _, err := OpenSuccessor(fsys.OS{Dir: dir}, statedir.NewSpace(1<<20).Account())
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// accept accepts an entry with an ID and writes it.
func accept(t *testing.T, j *Journal, trace string) *Entry {
	t.Helper()
	e := &Entry{Num: j.NextNumber(), Trace: trace, Deadline: 1000}
	j.Accept(e)
	flush(t, j)
	return e
}

func flush(t *testing.T, j *Journal) {
	t.Helper()
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
}

// expectTaken checks which of the IDs open, ended, revoked and unknown are taken, as the journal may accept messages.
func expectTaken(t *testing.T, j *Journal) {
	t.Helper()
	if err := j.LockIDs(); err != nil {
		t.Fatal(err)
	}
	defer j.UnlockIDs()
	for trace, want := range map[string]bool{"open": true, "ended": true, "revoked": false, "unknown": false} {
		if got := j.IDTaken(trace); got != want {
			t.Errorf("ID %q taken: %t, want %t", trace, got, want)
		}
	}
}

// acceptAndEnd accepts and writes the IDs of expectTaken.
func acceptAndEnd(t *testing.T, j *Journal) {
	t.Helper()
	accept(t, j, "open")
	ended, revoked := accept(t, j, "ended"), accept(t, j, "revoked")
	j.End(ended, 500)
	j.Revoke(revoked)
	flush(t, j)
}

// Guards against an ID that is accepted once more after a restart, because only the IDs of live entries were kept.
func TestIDStaysTakenAfterRestart(t *testing.T) {
	dir := t.TempDir()
	j, _ := open(t, dir, 1<<20)
	acceptAndEnd(t, j)
	for range 3 { // killed each time; each start compacts the file
		expectTaken(t, j)
		j, _ = open(t, dir, 1<<20)
	}
	j.End(accept(t, j, "later"), 501+idRetentionMS)
	if j.IDTaken("ended") {
		t.Error("an ID is still taken after its retention")
	}
}

// Guards against an ID of an earlier version's journal that is accepted again, because its end record has no time.
func TestEndWithoutTimeKeepsIDTaken(t *testing.T) {
	dir := t.TempDir()
	j, _ := open(t, dir, 1<<20)
	e := accept(t, j, "ended")
	j.Close()
	file, err := os.OpenFile(filepath.Join(dir, fileName), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	file.Write(appendFrame(nil, func(b []byte) []byte { return append(b, recEnd, byte(e.Num)) }))
	file.Close()
	j, list := open(t, dir, 1<<20)
	if len(list) != 0 || !j.IDTaken("ended") {
		t.Errorf("%d live entries, ID taken: %t; want none and true", len(list), j.IDTaken("ended"))
	}
}

// Guards against an ID that both processes of an upgrade accept: each must know the other's, after compactions as well.
func TestIDOfOtherProcessIsTaken(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		for _, byPredecessor := range []bool{false, true} {
			t.Run(fmt.Sprintf("compacted %t, by the predecessor %t", compacted, byPredecessor), func(t *testing.T) {
				dir := t.TempDir()
				writer, _ := open(t, dir, 1<<20)
				reader := openSuccessor(t, dir)
				if !byPredecessor {
					writer, reader = reader, writer
				}
				if err := reader.LockIDs(); err != nil { // its first look is before the other's records
					t.Fatal(err)
				}
				reader.UnlockIDs()
				acceptAndEnd(t, writer)
				if compacted {
					expectTaken(t, reader)
					if err := writer.compact(); err != nil {
						t.Fatal(err)
					}
				}
				expectTaken(t, reader)
				accept(t, writer, "unknown")
				reader.LockIDs()
				if !reader.IDTaken("unknown") {
					t.Error("an ID accepted after the other's compaction is not taken")
				}
			})
		}
	}
}

// Guards against both processes of an upgrade accepting an ID at the same moment.
func TestOnlyOneProcessAcceptsAtATime(t *testing.T) {
	dir := t.TempDir()
	predecessor, _ := open(t, dir, 1<<20)
	successor := openSuccessor(t, dir)
	if err := predecessor.LockIDs(); err != nil {
		t.Fatal(err)
	}
	if err := successor.LockIDs(); !errors.Is(err, ErrIDsLocked) {
		t.Fatalf("error %v while the other process accepts messages, want ErrIDsLocked", err)
	}
	accept(t, predecessor, "m")
	predecessor.UnlockIDs()
	if err := successor.LockIDs(); err != nil || !successor.IDTaken("m") {
		t.Fatalf("error %v, ID taken: %t; want none and true", err, successor.IDTaken("m"))
	}
	if err := successor.Close(); err != nil {
		t.Fatal(err)
	}
	if err := predecessor.LockIDs(); err != nil {
		t.Errorf("error %v after the other process has ended", err)
	}
}

// Guards against two messages of one ID after a takeover from a version that takes no lock: the predecessor's stays.
func TestPredecessorsMessageIsKept(t *testing.T) {
	for _, restarted := range []bool{false, true} { // the successor dies first, and the next start merges the files
		t.Run(fmt.Sprintf("restarted %t", restarted), func(t *testing.T) {
			dir := t.TempDir()
			predecessor, _ := open(t, dir, 1<<20)
			successor := openSuccessor(t, dir)
			accept(t, successor, "open")
			accept(t, successor, "ended")
			accept(t, successor, "own")
			acceptAndEnd(t, predecessor)
			predecessor.Close()
			var list []*Entry
			if restarted {
				successor, list = open(t, dir, 1<<20)
			} else {
				if _, err := successor.TakeOver(); err != nil {
					t.Fatal(err)
				}
				list = successor.entries()
			}
			if len(list) != 2 || list[0].Trace != "open" || list[0].Num > successorNumberGap || list[1].Trace != "own" {
				t.Errorf("live entries %+v, want the predecessor's message open and the successor's own", list)
			}
			expectTaken(t, successor)
		})
	}
}
