package keep

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"sliptide/internal/fleet/copies"
	"sliptide/internal/fsys"
	"sliptide/internal/journal"
	"sliptide/internal/statedir"
)

// batch is the records of a step that takes a message on.
func batch(t *testing.T, num uint64) []byte {
	t.Helper()
	j, _, err := journal.Open(t.TempDir(), statedir.NewSpace(1<<20).Account())
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	j.EnableCopies()
	j.Accept(&journal.Entry{Num: num, Trace: fmt.Sprint("m", num), Class: "note", Deadline: 1, Body: bytes.Repeat([]byte{'x'}, 200)})
	return j.RecordsToCopy()
}

func nums(records []byte) (list []uint64) {
	for _, e := range journal.Replay(records) {
		list = append(list, e.Num)
	}
	return list
}

// use does what a holder does, and returns how many batches it was told are kept.
func use(files fsys.FS, batches [][]byte) (seq uint64, err error) {
	f, _, err := Open(files, nil, []string{"a"})
	if err != nil {
		return 0, err
	}
	for i, b := range batches {
		k := copies.CopyState{Incarnation: 1, Epoch: 5, Seq: uint64(i + 1), LastNumber: uint64(i + 1)}
		if i == 0 {
			err = f.Reset("a", k, b)
		} else {
			err = f.Append("a", k, b)
		}
		if err != nil {
			return seq, err
		}
		seq = k.Seq
	}
	return seq, nil
}

// TestEveryOperationFails: whichever operation fails or ends the process, the next start finds all that was answered.
func TestEveryOperationFails(t *testing.T) {
	var batches [][]byte
	for i := range 8 {
		batches = append(batches, batch(t, uint64(i+1)))
	}
	none := &fsys.Faulty{FS: fsys.OS{Dir: t.TempDir()}, Inject: func(int, string, string) fsys.Fault { return fsys.Fault{} }}
	if n, err := use(none, batches); err != nil || n != 8 {
		t.Fatal(n, err)
	}
	for at := range none.Ops() {
		for _, fault := range []fsys.Fault{{Err: fsys.ErrCrash}, {Err: fsys.ErrCrash, Applied: true}, {Err: fsys.ErrCrash, BytesWritten: 50},
			{Err: errors.New("no room")}, {Err: errors.New("short"), BytesWritten: 50}} {
			dir := t.TempDir()
			seq, _ := use(&fsys.Faulty{FS: fsys.OS{Dir: dir}, Inject: func(i int, _, _ string) fsys.Fault {
				if i == at {
					return fault
				}
				return fsys.Fault{}
			}}, batches)
			f, kept, err := Open(fsys.OS{Dir: dir}, nil, []string{"a"})
			if err != nil {
				t.Errorf("operation %d, %+v: %v", at, fault, err)
				continue
			}
			if kept["a"].Seq < seq || uint64(len(nums(f.LiveRecords("a")))) != kept["a"].Seq {
				t.Errorf("operation %d, %+v: answered for %d batches, kept %d with %d messages", at, fault, seq, kept["a"].Seq, len(nums(f.LiveRecords("a"))))
			}
		}
	}
}

// TestTorn: what comes after a write that failed is not hidden behind half a record.
func TestTorn(t *testing.T) {
	fail := false
	dir := t.TempDir()
	files := &fsys.Faulty{FS: fsys.OS{Dir: dir}, Inject: func(_ int, op, _ string) fsys.Fault {
		if fail && op == "append" {
			return fsys.Fault{Err: errors.New("EIO"), BytesWritten: 30}
		}
		return fsys.Fault{}
	}}
	f, _, err := Open(files, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	k := copies.CopyState{Incarnation: 1, Epoch: 5, Seq: 1}
	if err := f.Reset("a", k, batch(t, 1)); err != nil {
		t.Fatal(err)
	}
	fail, k.Seq = true, 2
	if f.Append("a", k, batch(t, 2)) == nil {
		t.Fatal("no error")
	}
	fail = false
	if err := f.Append("a", k, batch(t, 2)); err != nil {
		t.Fatal(err)
	}
	again, kept, err := Open(fsys.OS{Dir: dir}, nil, []string{"a"})
	if err != nil || kept["a"].Seq != 2 || len(nums(again.LiveRecords("a"))) != 2 {
		t.Errorf("%v, %+v, %v", err, kept, nums(again.LiveRecords("a")))
	}
}

// TestRoom: copies stay within the folder's room, and say so.
func TestRoom(t *testing.T) {
	space := statedir.NewSpace(16 << 10)
	f, _, err := Open(fsys.OS{Dir: t.TempDir()}, space.Account(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Reset("a", copies.CopyState{Epoch: 1, Seq: 1}, make([]byte, 4<<10)); err != nil {
		t.Fatal(err)
	}
	if err := f.Reset("b", copies.CopyState{Epoch: 1, Seq: 1}, make([]byte, 12<<10)); !errors.Is(err, errNoSpace) {
		t.Errorf("without room: %v", err)
	}
	if err := f.SaveState("a", copies.CopyState{Epoch: 1, Seq: 1, SealedBelow: 9}); err != nil || f.Size("b") != 0 {
		t.Errorf("what is kept goes on: %v, %d", err, f.Size("b"))
	}
}
