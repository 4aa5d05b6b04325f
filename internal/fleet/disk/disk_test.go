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

// use does what a voter does with its log, and returns the index up to which it was told that all is on the disk.
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

// TestEveryOperationFails: whichever operation fails, in whatever way, or ends the process, what was acknowledged is
// there at the next start, and the log can be written again.
func TestEveryOperationFails(t *testing.T) {
	noFaults := &fsys.Faulty{FS: fsys.OS{Dir: t.TempDir()}, Inject: func(int, string, string) fsys.Fault { return fsys.Fault{} }}
	if n, err := exerciseLog(noFaults); err != nil || n != 11 {
		t.Fatal(n, err)
	}
	for opIndex := range noFaults.Ops() {
		for _, fault := range []fsys.Fault{
			{Err: fsys.ErrCrash}, {Err: fsys.ErrCrash, Applied: true}, {Err: fsys.ErrCrash, BytesWritten: 60},
			{Err: errors.New("no room")}, {Err: errors.New("sync failed"), Applied: true}, {Err: errors.New("short"), BytesWritten: 60},
		} {
			dir := t.TempDir()
			n, err := exerciseLog(&fsys.Faulty{FS: fsys.OS{Dir: dir}, Inject: func(i int, _, _ string) fsys.Fault {
				if i == opIndex {
					return fault
				}
				return fsys.Fault{}
			}})
			if err == nil {
				t.Errorf("operation %d, %+v: no error", opIndex, fault)
			}
			l, err := Open(fsys.OS{Dir: dir}, nil, "a")
			if err != nil {
				t.Errorf("operation %d, %+v: %v", opIndex, fault, err)
				continue
			}
			if last, _ := l.LastIndex(); last < n {
				t.Errorf("operation %d, %+v: the log ends at %d, acknowledged was %d", opIndex, fault, last, n)
			}
			last, _ := l.LastIndex()
			if err := l.Save(nil, []*raftpb.Entry{entryOf(last + 1)}, nil, true); err != nil {
				t.Errorf("operation %d, %+v: %v", opIndex, fault, err)
			}
		}
	}
}

// TestReopen: after a write that failed nothing more is written until the log is opened again, and then it is whole.
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
		t.Fatal("no error")
	}
	fail = false
	if err := l.Save(nil, []*raftpb.Entry{entryOf(3)}, nil, true); !errors.Is(err, ErrDamaged) {
		t.Errorf("behind a write that failed: %v", err)
	}
	if err := l.Reopen(); err != nil {
		t.Fatal(err)
	}
	if last, _ := l.LastIndex(); last != 1 {
		t.Errorf("the log ends at %d: the entry that failed is in it", last)
	}
	if err := l.Save(nil, []*raftpb.Entry{entryOf(2)}, nil, true); err != nil {
		t.Error(err)
	}
}

// TestDamage: a record in the middle that is not as it was written is an error, one that is cut off at the end is not.
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
		what string
		b    []byte
		want string
	}{
		{"cut off", content[:len(content)-30], ""},
		{"a bit turned in the middle", func() []byte {
			b := append([]byte(nil), content...)
			b[len(b)/2] ^= 4
			return b
		}(), "not as it was written"},
		{"another version", []byte("sliptide fleet 9\n"), "does not begin"},
		{"empty", nil, "does not begin"},
		{"a later record", appendRecord(append([]byte(nil), content...), 77, nil), "of a later version"},
	} {
		if err := os.WriteFile(path, c.b, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(fsys.OS{Dir: dir}, nil, "a"); c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: %v, want %q", c.what, err, c.want)
		}
	}
}

// TestBounded: the file stays within its bound however much is agreed on, and within the folder's room.
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
		t.Errorf("the file grew to %d bytes", largest)
	}
	other := space.Account()
	if !other.Claim(other.Limit()) {
		t.Fatal("no claim")
	}
	for i := uint64(8000); i < 12000 && err == nil; i++ {
		err = l.Save(nil, []*raftpb.Entry{entryOf(i)}, nil, false)
	}
	if !errors.Is(err, ErrNoSpace) {
		t.Errorf("without room: %v", err)
	}
}
