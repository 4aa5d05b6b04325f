// Package disk keeps what a voter must not forget: who it is, its votes, and the log of what was agreed on, with
// a snapshot of its beginning. All of it lies in one file of the lasting folder, "fleet.log", through the seam to
// the disk: a header, then records, each with its length and a CRC-32C. Records are appended and synced; once the
// file is longer than its bound it is written anew (a snapshot and what follows) beside the old one, synced, and
// renamed into its place. A record that is cut off ends the file, for it was never acknowledged.
//
// It decides nothing, and it is used by one goroutine.
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"math/rand/v2"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/fsys"
	"sliptide/internal/statedir"
)

const (
	fileName    = "fleet.log"
	newFileName = "fleet.new"
	fileHeader  = "sliptide fleet 1\n"

	// tailMost is how long the file grows past its snapshot before it is written anew, in bytes.
	maxTailBytes = 128 << 10
	// keepEntries stay in the log behind a snapshot, so that a voter that was away for a moment needs none.
	keepEntries = 256
	// Most is the room of both copies while the file is written anew, in bytes: snapshots of 1,024 sessions and
	// 8,192 duties of 128-byte names stay under 2 MiB.
	MaxBytes = 2 * (2<<20 + maxTailBytes)
)

// kinds of records
const (
	recordIdentity = 1 + iota
	recordSnapshot
	recordHardState
	recordEntry
)

// Errors of Open.
var (
	ErrForeign = errors.New("the folder belongs to another member")
	ErrDamaged = errors.New("damaged")
	ErrNoSpace = errors.New("limits.disk_mb leaves no room for it")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is one voter's file. What it holds is in memory as well, as raft.Storage.
type Log struct {
	*raft.MemoryStorage
	files       fsys.FS
	account     *statedir.Account
	identity    *pb.Identity
	hardState   *raftpb.HardState
	size        int64 // of the file
	baseSize    int64 // of the file when it was last written anew
	writeFailed bool  // the last write failed: the file's end is not known
}

// Open reads the file of that member, or starts one, and counts this start of the program. room may be nil.
func Open(files fsys.FS, account *statedir.Account, member string) (*Log, error) {
	l := &Log{MemoryStorage: raft.NewMemoryStorage(), files: files, account: account}
	b, err := files.Read(fileName)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		l.identity = &pb.Identity{Member: member, Incarnation: rand.Uint64() | 1}
	case err != nil:
		return nil, fmt.Errorf("%s: %w", fileName, err)
	default:
		if err := l.replay(b); err != nil {
			return nil, fmt.Errorf("%s: %w", fileName, err)
		}
		if l.identity.Member != member {
			return nil, fmt.Errorf("%s: %w: it is of %q, this is %q", fileName, ErrForeign, l.identity.Member, member)
		}
	}
	l.identity.Boot++
	return l, l.rewrite()
}

// Reopen reads the file again after a write that failed, as a start would, and writes it anew.
func (l *Log) Reopen() error {
	b, err := l.files.Read(fileName)
	if err != nil {
		return fmt.Errorf("%s: %w", fileName, err)
	}
	reopened := &Log{MemoryStorage: raft.NewMemoryStorage(), files: l.files, account: l.account}
	if err := reopened.replay(b); err != nil {
		return fmt.Errorf("%s: %w", fileName, err)
	}
	if err := reopened.rewrite(); err != nil {
		return err
	}
	*l = *reopened
	return nil
}

// Identity is what the folder says of its voter; it must not be changed but by SetIdentity.
func (l *Log) Identity() *pb.Identity { return l.identity }

// SetIdentity takes a changed identity, on the disk when it returns nil.
func (l *Log) SetIdentity(change func(*pb.Identity)) error {
	id := proto.Clone(l.identity).(*pb.Identity)
	change(id)
	b, err := proto.Marshal(id)
	if err != nil {
		return err
	}
	if err := l.append(appendRecord(nil, recordIdentity, b)); err != nil {
		return err
	}
	l.identity = id
	return nil
}

// Forget drops votes and log, for a voter that begins anew under another number.
func (l *Log) Reset() error {
	l.MemoryStorage, l.hardState = raft.NewMemoryStorage(), nil
	return l.rewrite()
}

// Found starts the log of a group at its founding: the founders and an empty state.
func (l *Log) Bootstrap(founders []uint64, state []byte) error {
	l.MemoryStorage = raft.NewMemoryStorage()
	one := uint64(1)
	l.hardState = &raftpb.HardState{Term: &one, Commit: &one}
	snap := &raftpb.Snapshot{Data: state, Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: founders}}}
	if err := l.ApplySnapshot(snap); err != nil {
		return err
	}
	if err := l.SetHardState(l.hardState); err != nil {
		return err
	}
	return l.rewrite()
}

// Save puts what raft has made ready on the disk before anything of it is sent. After an error nothing more is
// saved until Reopen: what the file ends with is not known.
func (l *Log) Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot, syncNow bool) error {
	if l.writeFailed {
		return ErrDamaged
	}
	if !raft.IsEmptySnap(snap) {
		if err := l.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
	}
	if !raft.IsEmptyHardState(hardState) {
		l.hardState = hardState
		if err := l.SetHardState(hardState); err != nil {
			return err
		}
	}
	if err := l.MemoryStorage.Append(entries); err != nil {
		return err
	}
	if !raft.IsEmptySnap(snap) {
		return l.rewrite()
	}
	var b []byte
	for _, e := range entries {
		m, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		b = appendRecord(b, recordEntry, m)
	}
	if !raft.IsEmptyHardState(hardState) {
		m, err := proto.Marshal(hardState)
		if err != nil {
			return err
		}
		b = appendRecord(b, recordHardState, m)
	}
	if len(b) == 0 {
		return nil
	}
	return l.appendSync(b, syncNow)
}

// Long reports whether the file should be written anew with a snapshot.
func (l *Log) NeedsCompaction() bool { return l.size-l.baseSize > maxTailBytes }

// Compact takes a snapshot of the state at that index and writes the file anew.
func (l *Log) Compact(index uint64, conf *raftpb.ConfState, state []byte) error {
	if l.writeFailed {
		return ErrDamaged
	}
	if _, err := l.CreateSnapshot(index, conf, state); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return err
	}
	first, err := l.FirstIndex()
	if err != nil {
		return err
	}
	if index > keepEntries && index-keepEntries > first {
		if err := l.MemoryStorage.Compact(index - keepEntries); err != nil {
			return err
		}
	}
	return l.rewrite()
}

// Size is what the file holds, in bytes.
func (l *Log) Size() int64 { return l.size }

func appendRecord(b []byte, kind byte, payload []byte) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0, kind)
	b = append(b, payload...)
	binary.LittleEndian.PutUint32(b[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[start+4:], crc32.Checksum(b[start+8:], castagnoli))
	return b
}

func (l *Log) append(b []byte) error { return l.appendSync(b, true) }

func (l *Log) appendSync(b []byte, sync bool) error {
	if l.writeFailed {
		return ErrDamaged
	}
	if !l.claim(l.size + int64(len(b))) {
		return ErrNoSpace
	}
	if err := l.files.Append(fileName, b, sync); err != nil {
		l.writeFailed = true
		return fmt.Errorf("%s: %w", fileName, err)
	}
	l.size += int64(len(b))
	return nil
}

// claim asks for room for a file of that size and for its copy.
func (l *Log) claim(size int64) bool {
	return l.account == nil || l.account.Claim(2*statedir.RoundToBlocks(size))
}

// rewrite writes all anew beside the old file and puts it in its place.
func (l *Log) rewrite() error {
	b, err := l.encode()
	if err != nil {
		return err
	}
	if !l.claim(int64(len(b))) {
		return fmt.Errorf("%s: %w", fileName, ErrNoSpace)
	}
	l.writeFailed = true
	if err := l.files.Write(newFileName, b, true); err != nil {
		return fmt.Errorf("%s: %w", newFileName, err)
	}
	if err := l.files.Rename(newFileName, fileName); err != nil {
		return fmt.Errorf("%s: %w", fileName, err)
	}
	if err := l.files.SyncDir(); err != nil {
		return fmt.Errorf("%s: %w", fileName, err)
	}
	l.size, l.baseSize, l.writeFailed = int64(len(b)), int64(len(b)), false
	return nil
}

func (l *Log) encode() ([]byte, error) {
	b := []byte(fileHeader)
	put := func(kind byte, m proto.Message) error {
		payload, err := proto.Marshal(m)
		b = appendRecord(b, kind, payload)
		return err
	}
	if err := put(recordIdentity, l.identity); err != nil {
		return nil, err
	}
	snap, err := l.Snapshot()
	if err != nil {
		return nil, err
	}
	// The snapshot may be ahead of the first entry that is kept: the entries between are not needed after a
	// restart, which begins at the snapshot.
	if !raft.IsEmptySnap(snap) {
		if err := put(recordSnapshot, snap); err != nil {
			return nil, err
		}
	}
	if l.hardState != nil {
		if err := put(recordHardState, l.hardState); err != nil {
			return nil, err
		}
	}
	last, err := l.LastIndex()
	if err != nil {
		return nil, err
	}
	if from := snap.GetMetadata().GetIndex() + 1; from <= last {
		list, err := l.Entries(from, last+1, 1<<62)
		if err != nil {
			return nil, err
		}
		for _, e := range list {
			if err := put(recordEntry, e); err != nil {
				return nil, err
			}
		}
	}
	return b, nil
}

// replay takes up the records of a file. One that is cut off or whose checksum is wrong ends it.
func (l *Log) replay(b []byte) error {
	if len(b) < len(fileHeader) || string(b[:len(fileHeader)]) != fileHeader {
		return fmt.Errorf("%w: it does not begin as a file of this version", ErrDamaged)
	}
	b = b[len(fileHeader):]
	for len(b) >= 9 {
		n := int64(binary.LittleEndian.Uint32(b))
		if n > int64(len(b)-9) {
			break
		}
		if !validRecord(b, n) {
			if validRecord(b[9+n:], -1) { // not the end that a crash cuts off: what follows it was acknowledged
				return fmt.Errorf("%w: a record in its middle is not as it was written", ErrDamaged)
			}
			break
		}
		if err := l.applyRecord(b[8], b[9:9+n]); err != nil {
			return err
		}
		b = b[9+n:]
	}
	if l.identity == nil {
		return fmt.Errorf("%w: it does not say whose it is", ErrDamaged)
	}
	return nil
}

// whole reports whether b begins with a record, of n bytes unless that is negative, as it was written.
func validRecord(b []byte, n int64) bool {
	if len(b) < 9 {
		return false
	}
	if n < 0 {
		n = int64(binary.LittleEndian.Uint32(b))
	}
	return n <= int64(len(b)-9) && crc32.Checksum(b[8:9+n], castagnoli) == binary.LittleEndian.Uint32(b[4:])
}

func (l *Log) applyRecord(kind byte, payload []byte) error {
	switch kind {
	case recordIdentity:
		l.identity = &pb.Identity{}
		return proto.Unmarshal(payload, l.identity)
	case recordSnapshot:
		var s raftpb.Snapshot
		if err := proto.Unmarshal(payload, &s); err != nil {
			return err
		}
		return l.ApplySnapshot(&s)
	case recordHardState:
		l.hardState = &raftpb.HardState{}
		if err := proto.Unmarshal(payload, l.hardState); err != nil {
			return err
		}
		return l.SetHardState(l.hardState)
	case recordEntry:
		var e raftpb.Entry
		if err := proto.Unmarshal(payload, &e); err != nil {
			return err
		}
		if last, _ := l.LastIndex(); e.GetIndex() > last+1 {
			return fmt.Errorf("%w: entry %d follows %d", ErrDamaged, e.GetIndex(), last)
		}
		return l.MemoryStorage.Append([]*raftpb.Entry{&e})
	}
	return fmt.Errorf("%w: a record of kind %d, of a later version", ErrDamaged, kind)
}
