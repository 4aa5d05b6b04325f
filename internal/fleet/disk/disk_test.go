package disk

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sliptide/internal/fsys"
	"sliptide/internal/statedir"
)

func entryOf(index uint64) *raftpb.Entry {
	return &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(2), Data: []byte(strings.Repeat("x", 100))}
}

func hardStateOf(commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(1), Commit: proto.Uint64(commit)}
}

// exerciseLog uses a log as a voter does: it saves entries 2 to 11 and compacts the log once. It returns the index of
// the last entry that was acknowledged as saved.
func exerciseLog(files fsys.FS) (acknowledged uint64, err error) {
	l, err := Open(files, nil, "a")
	if err != nil {
		return 0, err
	}
	if err := l.Bootstrap([]uint64{1, 2, 3}, []byte("state")); err != nil {
		return 0, err
	}
	for i := uint64(2); i < 12; i++ {
		if err := l.Save(hardStateOf(i-1), []*raftpb.Entry{entryOf(i)}, nil, true); err != nil {
			return acknowledged, err
		}
		acknowledged = i
		if i == 7 {
			if err := l.Compact(6, &raftpb.ConfState{Voters: []uint64{1, 2, 3}}, []byte("state")); err != nil {
				return acknowledged, err
			}
		}
	}
	return acknowledged, nil
}

// TestEveryOperationFails guards against lost entries: each file operation in turn fails, completely or partly, or
// ends the process. Every acknowledged entry must be there after the next start, and the log must accept new entries.
func TestEveryOperationFails(t *testing.T) {
	noFaults := &fsys.Faulty{
		FS:     fsys.OS{Dir: t.TempDir()},
		Inject: func(int, string, string) fsys.Fault { return fsys.Fault{} },
	}
	if n, err := exerciseLog(noFaults); err != nil || n != 11 {
		t.Fatal(n, err)
	}
	for opIndex := range noFaults.Ops() {
		for _, fault := range []fsys.Fault{
			{Err: fsys.ErrCrash}, {Err: fsys.ErrCrash, Applied: true}, {Err: fsys.ErrCrash, BytesWritten: 60},
			{Err: errors.New("no space")}, {Err: errors.New("sync failed"), Applied: true},
			{Err: errors.New("short"), BytesWritten: 60},
		} {
			dir := t.TempDir()
			n, err := exerciseLog(&fsys.Faulty{FS: fsys.OS{Dir: dir}, Inject: func(i int, _, _ string) fsys.Fault {
				if i == opIndex {
					return fault
				}
				return fsys.Fault{}
			}})
			if err == nil {
				t.Errorf("operation %d, %+v: the injected fault was not reported", opIndex, fault)
			}
			l, err := Open(fsys.OS{Dir: dir}, nil, "a")
			if err != nil {
				t.Errorf("operation %d, %+v: the log cannot be opened: %v", opIndex, fault, err)
				continue
			}
			if last, _ := l.LastIndex(); last < n {
				t.Errorf("operation %d, %+v: the log ends at entry %d, acknowledged up to %d", opIndex, fault, last, n)
			}
			last, _ := l.LastIndex()
			if err := l.Save(nil, []*raftpb.Entry{entryOf(last + 1)}, nil, true); err != nil {
				t.Errorf("operation %d, %+v: a new entry cannot be saved: %v", opIndex, fault, err)
			}
		}
	}
}

// TestReopen checks that nothing is written after a failed write until the log is reopened, and that it is intact
// then.
func TestReopen(t *testing.T) {
	fail := false
	files := &fsys.Faulty{FS: fsys.OS{Dir: t.TempDir()}, Inject: func(_ int, op, _ string) fsys.Fault {
		if fail && op == "append" {
			return fsys.Fault{Err: errors.New("EIO"), BytesWritten: 40}
		}
		return fsys.Fault{}
	}}
	l, err := Open(files, nil, "a")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Bootstrap([]uint64{1}, nil); err != nil {
		t.Fatal(err)
	}
	fail = true
	if err := l.Save(nil, []*raftpb.Entry{entryOf(2)}, nil, true); err == nil {
		t.Fatal("save: the injected write error was not reported")
	}
	fail = false
	if err := l.Save(nil, []*raftpb.Entry{entryOf(3)}, nil, true); !errors.Is(err, ErrDamaged) {
		t.Errorf("save after a failed write: %v, want ErrDamaged", err)
	}
	if err := l.Reopen(); err != nil {
		t.Fatal(err)
	}
	if last, _ := l.LastIndex(); last != 1 {
		t.Errorf("the log ends at entry %d, want 1: the write of entry 2 failed", last)
	}
	if err := l.Save(nil, []*raftpb.Entry{entryOf(2)}, nil, true); err != nil {
		t.Error(err)
	}
}

// TestDamage checks that a corrupt record in the middle of the file is an error, and that a truncated one at its end,
// as a crash leaves it, is not. A file of another version, an empty one and a record of an unknown kind are errors.
func TestDamage(t *testing.T) {
	dir := t.TempDir()
	if _, err := exerciseLog(fsys.OS{Dir: dir}); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, fileName)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		b    []byte
		want string
	}{
		{"truncated at the end", content[:len(content)-30], ""},
		{"flipped bit in the middle", func() []byte {
			b := append([]byte(nil), content...)
			b[len(b)/2] ^= 4
			return b
		}(), "checksum mismatch in a record before the end"},
		{"other version", []byte("sliptide fleet 9\n"), "no file header of this version"},
		{"empty", nil, "no file header of this version"},
		{"unknown record kind", appendRecord(append([]byte(nil), content...), 77, nil), "written by a later version"},
	} {
		if err := os.WriteFile(path, c.b, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(fsys.OS{Dir: dir}, nil, "a"); c.want == "" && err != nil ||
			c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: error %v, want %q (empty: none)", c.name, err, c.want)
		}
	}
}

// TestBounded checks that the file stays within its size limit however many entries are saved, and within the space
// of the state directory.
func TestBounded(t *testing.T) {
	space := statedir.NewSpace(1 << 20)
	l, err := Open(fsys.OS{Dir: t.TempDir()}, space.Account(), "a")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Bootstrap([]uint64{1}, nil); err != nil {
		t.Fatal(err)
	}
	largest := int64(0)
	for i := uint64(2); i < 8000; i++ {
		if err := l.Save(hardStateOf(i), []*raftpb.Entry{entryOf(i)}, nil, false); err != nil {
			t.Fatal(err)
		}
		if l.NeedsCompaction() {
			if err := l.Compact(i, &raftpb.ConfState{Voters: []uint64{1}}, make([]byte, 1000)); err != nil {
				t.Fatal(err)
			}
		}
		largest = max(largest, l.Size())
	}
	if largest > maxTailBytes+64<<10 {
		t.Errorf("the file grew to %d bytes, beyond its limit", largest)
	}
	other := space.Account()
	if !other.Claim(other.Limit()) {
		t.Fatal("cannot claim the rest of the space")
	}
	for i := uint64(8000); i < 12000 && err == nil; i++ {
		err = l.Save(nil, []*raftpb.Entry{entryOf(i)}, nil, false)
	}
	if !errors.Is(err, ErrNoSpace) {
		t.Errorf("save without space: %v, want ErrNoSpace", err)
	}
}
