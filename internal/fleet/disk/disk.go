// Package disk stores the durable state of a voter: its identity, its Raft hard state, and the Raft log with a
// snapshot of the prefix that was compacted away. All of it is in one file of the state directory, "fleet.log",
// accessed through fsys.FS: a header, then records, each with its length and a CRC-32C. Records are appended and
// synced. When the file has grown past its limit, it is rewritten (a snapshot and the entries that follow it) to a
// second file, which is synced and renamed over the first. A truncated record ends the file, since it was never
// acknowledged.
//
// The package makes no decisions. A Log is not safe for concurrent use.
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

	// maxTailBytes is how many bytes the file may grow after a rewrite before it is compacted.
	maxTailBytes = 128 << 10
	// trailingEntries is the number of entries before the last snapshot that are kept in memory, so that a voter that
	// was unreachable for a short time catches up without a snapshot.
	trailingEntries = 256
	// MaxBytes is the space that both copies need at most while the file is rewritten: snapshots of 1,024 sessions and
	// 8,192 duties with 128-byte names stay under 2 MiB. It is for planning; what limits the file is its account.
	MaxBytes = 2 * (2<<20 + maxTailBytes)
)

// Record kinds.
const (
	recordIdentity = 1 + iota
	recordSnapshot
	recordHardState
	recordEntry
)

// Errors returned by Open and, except for ErrForeign, by the methods of Log.
var (
	ErrForeign = errors.New("the state directory belongs to another member")
	ErrDamaged = errors.New("damaged")
	ErrNoSpace = errors.New("limits.disk_mb leaves no space for the log of the fleet")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is the log file of one voter. Its content is also kept in memory, as a raft.Storage.
type Log struct {
	*raft.MemoryStorage
	files       fsys.FS
	account     *statedir.Account
	identity    *pb.Identity
	hardState   *raftpb.HardState
	size        int64 // of the file
	baseSize    int64 // size of the file when it was last rewritten
	writeFailed bool  // the last write failed: the end of the file is unknown
}

// Open reads the log file of member, or creates one, and increments its boot counter. The space of the file is claimed
// from account; nil: it is not limited.
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
			return nil, fmt.Errorf("%s: %w: written by %q, opened by %q", fileName, ErrForeign, l.identity.Member, member)
		}
	}
	l.identity.Boot++
	return l, l.rewrite()
}

// Reopen reads the file again after a failed write, and rewrites it. Unlike Open it does not increment the boot
// counter.
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

// Identity returns the stored identity of the voter. Callers must change it only through SetIdentity.
func (l *Log) Identity() *pb.Identity { return l.identity }

// SetIdentity applies change to the identity. The new identity is on disk when it returns nil.
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

// Reset deletes the hard state and the log, for a voter that rejoins under a new Raft ID.
func (l *Log) Reset() error {
	l.MemoryStorage, l.hardState = raft.NewMemoryStorage(), nil
	return l.rewrite()
}

// Bootstrap starts the log of a new group with its founders and an initial state.
func (l *Log) Bootstrap(founders []uint64, state []byte) error {
	l.MemoryStorage = raft.NewMemoryStorage()
	one := uint64(1)
	l.hardState = &raftpb.HardState{Term: &one, Commit: &one}
	snap := &raftpb.Snapshot{Data: state, Metadata: &raftpb.SnapshotMetadata{
		Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: founders}}}
	if err := l.ApplySnapshot(snap); err != nil {
		return err
	}
	if err := l.SetHardState(l.hardState); err != nil {
		return err
	}
	return l.rewrite()
}

// Save writes the content of a raft.Ready to the file; it must return before any of its messages are sent. If syncNow
// is false, the content may not be on disk yet when it returns. After a failed write, nothing more is saved until
// Reopen, since the end of the file is unknown.
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

// NeedsCompaction reports whether the file should be rewritten with a new snapshot.
func (l *Log) NeedsCompaction() bool { return l.size-l.baseSize > maxTailBytes }

// Compact takes a snapshot of the state at index and rewrites the file.
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
	if index > trailingEntries && index-trailingEntries > first {
		if err := l.MemoryStorage.Compact(index - trailingEntries); err != nil {
			return err
		}
	}
	return l.rewrite()
}

// Size returns the size of the file in bytes.
func (l *Log) Size() int64 { return l.size }

// appendRecord appends a record to b: the length of the payload and a CRC-32C of kind and payload (4 bytes each,
// little-endian), the kind (1 byte) and the payload.
func appendRecord(b []byte, kind byte, payload []byte) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0, kind)
	b = append(b, payload...)
	binary.LittleEndian.PutUint32(b[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[start+4:], crc32.Checksum(b[start+8:], castagnoli))
	return b
}

// append appends records to the file. They are on disk when it returns nil.
func (l *Log) append(b []byte) error { return l.appendSync(b, true) }

// appendSync appends records to the file. If syncNow is false, they may not be on disk yet when it returns.
func (l *Log) appendSync(b []byte, syncNow bool) error {
	if l.writeFailed {
		return ErrDamaged
	}
	if !l.claim(l.size + int64(len(b))) {
		return ErrNoSpace
	}
	if err := l.files.Append(fileName, b, syncNow); err != nil {
		l.writeFailed = true
		return fmt.Errorf("%s: %w", fileName, err)
	}
	l.size += int64(len(b))
	return nil
}

// claim reserves space for a file of that size and for its copy, and reports whether the account has it.
func (l *Log) claim(size int64) bool {
	return l.account == nil || l.account.Claim(2*statedir.RoundToBlocks(size))
}

// rewrite writes the whole content to a new file and renames it over the old one. After a failed write or rename,
// nothing more is saved until Reopen, since either file may be in place.
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

// encode returns the content of the file: the header, the identity, the snapshot, the hard state and the entries that
// follow the snapshot.
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
	// The snapshot may be ahead of the first entry in memory. The entries up to it are not needed after a restart,
	// which begins at the snapshot.
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

// replay applies the records of a file. A truncated last record, or one with a wrong checksum, ends the file.
func (l *Log) replay(b []byte) error {
	if len(b) < len(fileHeader) || string(b[:len(fileHeader)]) != fileHeader {
		return fmt.Errorf("%w: no file header of this version", ErrDamaged)
	}
	b = b[len(fileHeader):]
	for len(b) >= 9 {
		n := int64(binary.LittleEndian.Uint32(b))
		if n > int64(len(b)-9) {
			break
		}
		if !validRecord(b, n) {
			if validRecord(b[9+n:], -1) { // not a torn write at the end: the record that follows was acknowledged
				return fmt.Errorf("%w: checksum mismatch in a record before the end of the file", ErrDamaged)
			}
			break
		}
		if err := l.applyRecord(b[8], b[9:9+n]); err != nil {
			return err
		}
		b = b[9+n:]
	}
	if l.identity == nil {
		return fmt.Errorf("%w: no identity record", ErrDamaged)
	}
	return nil
}

// validRecord reports whether b begins with a complete record whose checksum matches. A negative n takes the payload
// length from the record itself.
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
			return fmt.Errorf("%w: entries missing: entry %d follows entry %d", ErrDamaged, e.GetIndex(), last)
		}
		return l.MemoryStorage.Append([]*raftpb.Entry{&e})
	}
	return fmt.Errorf("%w: unknown record kind %d, written by a later version", ErrDamaged, kind)
}
