// Package keep stores a holder's copies on disk. Each owner has a file "copy-NAME" in the state directory, accessed
// through fsys. It consists of checksummed records, each with the state of the copy and, for a batch, the owner's
// journal records as received. A file that has grown to more than twice its size is rewritten without obsolete records.
// Like the journal, it is not synced: written data survives the end of the process, and the other copies protect
// against the loss of a machine.
package keep

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"

	"sliptide/internal/fleet/copies"
	"sliptide/internal/fsys"
	"sliptide/internal/journal"
	"sliptide/internal/statedir"
)

const (
	filePrefix   = "copy-"
	rewriteSlack = 64 << 10                  // bytes by which a file may exceed twice its size after the last rewrite
	headerSize   = 8                         // length and CRC-32 of the payload
	maxStateSize = 7 * binary.MaxVarintLen64 // the fields of a copies.CopyState
)

// errNoSpace reports that a copy exceeds the quota of the state directory.
var errNoSpace = errors.New("no space left for copies within limits.disk_mb")

// Store implements copies.Store. It is not safe for concurrent use.
type Store struct {
	fs      fsys.FS
	account *statedir.Account // nil: no quota
	files   map[string]*file
}

type file struct {
	size          int64
	rewrittenSize int64  // the size after the last rewrite
	records       []byte // the owner's journal records, including obsolete ones
	state         copies.CopyState
	torn          bool // a write failed and may have left part of a record: the next write rewrites the file
}

// Open reads the copies of the owners' journals, rewrites each file as a single record, without a damaged end, and
// returns the states of the copies by owner. Owners without a copy have no state.
func Open(files fsys.FS, account *statedir.Account, owners []string) (*Store, map[string]copies.CopyState, error) {
	s := &Store{fs: files, account: account, files: map[string]*file{}}
	states := map[string]copies.CopyState{}
	for _, owner := range owners {
		b, err := files.Read(filePrefix + owner)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%s%s: %w", filePrefix, owner, err)
		}
		f := &file{}
		if f.replay(b); f.state != (copies.CopyState{}) {
			s.files[owner] = f
			states[owner] = f.state
			if err := s.rewrite(owner, f); err != nil {
				return nil, nil, err
			}
		}
	}
	return s, states, nil
}

// replay applies the records up to the first that is incomplete or damaged. A record's payload is its kind, the copy's
// state and journal records. Kinds are 'R' (replaces the journal records), 'B' (a batch) and 'M' (state only).
func (f *file) replay(data []byte) {
	for len(data) >= headerSize {
		n := binary.BigEndian.Uint32(data)
		if uint64(n) > uint64(len(data)-headerSize) || crc32.ChecksumIEEE(data[headerSize:headerSize+n]) != binary.BigEndian.Uint32(data[4:]) || n == 0 {
			return
		}
		payload := data[headerSize : headerSize+n]
		data = data[headerSize+n:]
		kind := payload[0]
		payload = payload[1:]
		var fields [7]uint64
		for i := range fields {
			u, size := binary.Uvarint(payload)
			if size <= 0 {
				return
			}
			fields[i], payload = u, payload[size:]
		}
		f.state = copies.CopyState{Incarnation: fields[0], Epoch: fields[1], Seq: fields[2], LastNumber: fields[3], SealedBelow: fields[4], ClockOffsetMS: int64(fields[5]), BootID: fields[6]}
		if kind == 'R' {
			f.records = nil
		}
		f.records = append(f.records, payload...)
	}
}

// encodeRecord returns a record of the file: the length and the CRC-32 (IEEE) of the payload, both big-endian, and the
// payload, see replay.
func encodeRecord(kind byte, state copies.CopyState, records []byte) []byte {
	b := make([]byte, headerSize, headerSize+1+maxStateSize+len(records))
	b = append(b, kind)
	for _, v := range []uint64{state.Incarnation, state.Epoch, state.Seq, state.LastNumber, state.SealedBelow, uint64(state.ClockOffsetMS), state.BootID} {
		b = binary.AppendUvarint(b, v)
	}
	b = append(b, records...)
	binary.BigEndian.PutUint32(b, uint32(len(b)-headerSize))
	binary.BigEndian.PutUint32(b[4:], crc32.ChecksumIEEE(b[headerSize:]))
	return b
}

// Reset implements copies.Store.
func (s *Store) Reset(owner string, state copies.CopyState, records []byte) error {
	return s.rewrite(owner, &file{state: state, records: append([]byte(nil), records...)})
}

// rewrite replaces an owner's file by one with a single record.
func (s *Store) rewrite(owner string, f *file) error {
	b := encodeRecord('R', f.state, f.records)
	if !s.claimSpace(owner, int64(len(b))) {
		return errNoSpace
	}
	name := filePrefix + owner
	if err := s.fs.Write(name+".new", b, false); err != nil {
		return err
	}
	if err := s.fs.Rename(name+".new", name); err != nil {
		return err
	}
	f.size, f.rewrittenSize, f.torn = int64(len(b)), int64(len(b)), false
	s.files[owner] = f
	return nil
}

// claimSpace claims the space of all files, and reports whether the account has it. The owner's file counts twice, at
// the given size, as its old and its new version coexist during a rewrite.
func (s *Store) claimSpace(owner string, size int64) bool {
	if s.account == nil {
		return true
	}
	total := 2 * statedir.RoundToBlocks(size)
	for name, f := range s.files {
		if name != owner {
			total += statedir.RoundToBlocks(f.size)
		}
	}
	return s.account.Claim(total)
}

// Append implements copies.Store.
func (s *Store) Append(owner string, state copies.CopyState, records []byte) error {
	return s.appendRecord(owner, 'B', state, records)
}

// SaveState implements copies.Store.
func (s *Store) SaveState(owner string, state copies.CopyState) error {
	return s.appendRecord(owner, 'M', state, nil)
}

// appendRecord appends a record to an owner's file. It rewrites the file instead if there is none yet, if a write has
// failed or if the file has grown too large.
func (s *Store) appendRecord(owner string, kind byte, state copies.CopyState, records []byte) error {
	f := s.files[owner]
	if f == nil {
		return s.rewrite(owner, &file{state: state, records: append([]byte(nil), records...)})
	}
	if f.torn || f.size > 2*f.rewrittenSize+rewriteSlack {
		return s.rewrite(owner, &file{state: state, records: append(compact(f.records), records...)})
	}
	b := encodeRecord(kind, state, records)
	if !s.claimSpace(owner, f.size+int64(len(b))) {
		return errNoSpace
	}
	if err := s.fs.Append(filePrefix+owner, b, false); err != nil {
		f.torn = true
		return err
	}
	f.state, f.size, f.records = state, f.size+int64(len(b)), append(f.records, records...)
	return nil
}

// compact returns the live records only.
func compact(records []byte) []byte { return journal.Compact(records) }

// LiveRecords implements copies.Store.
func (s *Store) LiveRecords(owner string) []byte {
	if f := s.files[owner]; f != nil {
		return compact(f.records)
	}
	return nil
}

// Size implements copies.Store.
func (s *Store) Size(owner string) int64 {
	if f := s.files[owner]; f != nil {
		return f.size
	}
	return 0
}
