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

// acceptBatch returns the journal records of an accepted message.
func acceptBatch(t *testing.T, num uint64) []byte {
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

func messageNumbers(records []byte) (list []uint64) {
	for _, e := range journal.Replay(records) {
		list = append(list, e.Num)
	}
	return list
}

// storeBatches stores batches as a holder does, and returns the last one that was stored without an error.
func storeBatches(files fsys.FS, batches [][]byte) (seq uint64, err error) {
	store, _, err := Open(files, nil, []string{"a"})
	if err != nil {
		return 0, err
	}
	for i, b := range batches {
		state := copies.CopyState{Incarnation: 1, Epoch: 5, Seq: uint64(i + 1), LastNumber: uint64(i + 1)}
		if i == 0 {
			err = store.Reset("a", state, b)
		} else {
			err = store.Append("a", state, b)
		}
		if err != nil {
			return seq, err
		}
		seq = state.Seq
	}
	return seq, nil
}

// TestEveryOperationFails fails each file operation in turn, or ends the process in it, and checks that the next start
// finds every batch that had been acknowledged, and as many messages as batches.
func TestEveryOperationFails(t *testing.T) {
	var batches [][]byte
	for i := range 8 {
		batches = append(batches, acceptBatch(t, uint64(i+1)))
	}
	faultless := &fsys.Faulty{FS: fsys.OS{Dir: t.TempDir()}, Inject: func(int, string, string) fsys.Fault { return fsys.Fault{} }}
	if n, err := storeBatches(faultless, batches); err != nil || n != 8 {
		t.Fatal(n, err)
	}
	for failingOp := range faultless.Ops() {
		for _, fault := range []fsys.Fault{{Err: fsys.ErrCrash}, {Err: fsys.ErrCrash, Applied: true}, {Err: fsys.ErrCrash, BytesWritten: 50},
			{Err: errors.New("no space")}, {Err: errors.New("short"), BytesWritten: 50}} {
			dir := t.TempDir()
			seq, _ := storeBatches(&fsys.Faulty{FS: fsys.OS{Dir: dir}, Inject: func(i int, _, _ string) fsys.Fault {
				if i == failingOp {
					return fault
				}
				return fsys.Fault{}
			}}, batches)
			store, states, err := Open(fsys.OS{Dir: dir}, nil, []string{"a"})
			if err != nil {
				t.Errorf("operation %d, %+v: the store cannot be opened: %v", failingOp, fault, err)
				continue
			}
			if states["a"].Seq < seq || uint64(len(messageNumbers(store.LiveRecords("a")))) != states["a"].Seq {
				t.Errorf("operation %d, %+v: %d batches acknowledged, %d found with %d messages", failingOp, fault, seq, states["a"].Seq, len(messageNumbers(store.LiveRecords("a"))))
			}
		}
	}
}

// TestWriteAfterTornRecord checks that a record written after a failed write can be read, although that write left part
// of a record.
func TestWriteAfterTornRecord(t *testing.T) {
	fail := false
	dir := t.TempDir()
	files := &fsys.Faulty{FS: fsys.OS{Dir: dir}, Inject: func(_ int, op, _ string) fsys.Fault {
		if fail && op == "append" {
			return fsys.Fault{Err: errors.New("EIO"), BytesWritten: 30}
		}
		return fsys.Fault{}
	}}
	store, _, err := Open(files, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	state := copies.CopyState{Incarnation: 1, Epoch: 5, Seq: 1}
	if err := store.Reset("a", state, acceptBatch(t, 1)); err != nil {
		t.Fatal(err)
	}
	fail, state.Seq = true, 2
	if store.Append("a", state, acceptBatch(t, 2)) == nil {
		t.Fatal("the failing append returned no error")
	}
	fail = false
	if err := store.Append("a", state, acceptBatch(t, 2)); err != nil {
		t.Fatal(err)
	}
	reopened, states, err := Open(fsys.OS{Dir: dir}, nil, []string{"a"})
	if err != nil || states["a"].Seq != 2 || len(messageNumbers(reopened.LiveRecords("a"))) != 2 {
		t.Errorf("opened again: error %v, states %+v, messages %v; want two messages at batch 2", err, states, messageNumbers(reopened.LiveRecords("a")))
	}
}

// TestQuota checks that a copy beyond the quota of the state directory is refused, and that the others remain writable.
func TestQuota(t *testing.T) {
	space := statedir.NewSpace(16 << 10)
	store, _, err := Open(fsys.OS{Dir: t.TempDir()}, space.Account(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Reset("a", copies.CopyState{Epoch: 1, Seq: 1}, make([]byte, 4<<10)); err != nil {
		t.Fatal(err)
	}
	if err := store.Reset("b", copies.CopyState{Epoch: 1, Seq: 1}, make([]byte, 12<<10)); !errors.Is(err, errNoSpace) {
		t.Errorf("error of a copy beyond the quota: %v, want errNoSpace", err)
	}
	if err := store.SaveState("a", copies.CopyState{Epoch: 1, Seq: 1, SealedBelow: 9}); err != nil || store.Size("b") != 0 {
		t.Errorf("SaveState of the existing copy: %v, want no error; size of the refused copy: %d, want 0", err, store.Size("b"))
	}
}
