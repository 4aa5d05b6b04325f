// Package keep is the disk of a holder: for each owner a file "copy-NAME" in the lasting folder, through the seam to
// the disk, of checksummed records: what is known of the copy, and batches of the owner's journal as they came. It is
// written anew where records that are over take most of it. Nothing is synced, as in the journal: what was written
// outlasts the process; the loss of a machine is what the other copies are for.
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
	prefix = "copy-"
	slack  = 64 << 10 // bytes of records that are over, beside as much again as is live
	head   = 8
	meta   = 7 * binary.MaxVarintLen64
)

// errRoom is the error of a copy that the folder has no room for.
var errRoom = errors.New("limits.disk_mb leaves no room for copies")

// Files implements copies.Store. It is used by one goroutine.
type Store struct {
	fs    fsys.FS
	room  *statedir.Account // nil: not bounded
	files map[string]*file
}

type file struct {
	size  int64
	fresh int64 // when it was written anew
	batch []byte
	kept  copies.CopyState
	torn  bool // a write failed: it is written anew before it is added to
}

// Open reads the copies of those owners.
func Open(files fsys.FS, room *statedir.Account, owners []string) (*Store, map[string]copies.CopyState, error) {
	f := &Store{fs: files, room: room, files: map[string]*file{}}
	kept := map[string]copies.CopyState{}
	for _, owner := range owners {
		b, err := files.Read(prefix + owner)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%s%s: %w", prefix, owner, err)
		}
		x := &file{}
		if x.replay(b); x.kept != (copies.CopyState{}) {
			f.files[owner] = x
			kept[owner] = x.kept
			if err := f.rewrite(owner, x); err != nil {
				return nil, nil, err
			}
		}
	}
	return f, kept, nil
}

// replay takes up the records that are whole.
func (x *file) replay(b []byte) {
	for len(b) >= head {
		n := binary.BigEndian.Uint32(b)
		if uint64(n) > uint64(len(b)-head) || crc32.ChecksumIEEE(b[head:head+n]) != binary.BigEndian.Uint32(b[4:]) || n == 0 {
			return
		}
		p := b[head : head+n]
		b = b[head+n:]
		kind := p[0]
		p = p[1:]
		var v [7]uint64
		for i := range v {
			u, k := binary.Uvarint(p)
			if k <= 0 {
				return
			}
			v[i], p = u, p[k:]
		}
		x.kept = copies.CopyState{Incarnation: v[0], Epoch: v[1], Seq: v[2], LastNumber: v[3], SealedBelow: v[4], ClockOffsetMS: int64(v[5]), BootID: v[6]}
		if kind == 'R' {
			x.batch = nil
		}
		x.batch = append(x.batch, p...)
	}
}

func record(kind byte, k copies.CopyState, records []byte) []byte {
	b := make([]byte, head, head+1+meta+len(records))
	b = append(b, kind)
	for _, v := range []uint64{k.Incarnation, k.Epoch, k.Seq, k.LastNumber, k.SealedBelow, uint64(k.ClockOffsetMS), k.BootID} {
		b = binary.AppendUvarint(b, v)
	}
	b = append(b, records...)
	binary.BigEndian.PutUint32(b, uint32(len(b)-head))
	binary.BigEndian.PutUint32(b[4:], crc32.ChecksumIEEE(b[head:]))
	return b
}

// Reset implements copies.Store.
func (f *Store) Reset(owner string, k copies.CopyState, records []byte) error {
	return f.rewrite(owner, &file{kept: k, batch: append([]byte(nil), records...)})
}

// rewrite puts a file of what is live in the place of the old one.
func (f *Store) rewrite(owner string, x *file) error {
	b := record('R', x.kept, x.batch)
	if !f.claim(owner, int64(len(b))) {
		return errRoom
	}
	name := prefix + owner
	if err := f.fs.Write(name+".new", b, false); err != nil {
		return err
	}
	if err := f.fs.Rename(name+".new", name); err != nil {
		return err
	}
	x.size, x.fresh, x.torn = int64(len(b)), int64(len(b)), false
	f.files[owner] = x
	return nil
}

// claim asks for the room of all files, with one of that size and the copy that takes its place.
func (f *Store) claim(owner string, size int64) bool {
	if f.room == nil {
		return true
	}
	all := 2 * statedir.RoundToBlocks(size)
	for name, x := range f.files {
		if name != owner {
			all += statedir.RoundToBlocks(x.size)
		}
	}
	return f.room.Claim(all)
}

// Append implements copies.Store.
func (f *Store) Append(owner string, k copies.CopyState, records []byte) error {
	return f.add(owner, 'B', k, records)
}

// Mark implements copies.Store.
func (f *Store) SaveState(owner string, k copies.CopyState) error { return f.add(owner, 'M', k, nil) }

func (f *Store) add(owner string, kind byte, k copies.CopyState, records []byte) error {
	x := f.files[owner]
	if x == nil {
		return f.rewrite(owner, &file{kept: k, batch: append([]byte(nil), records...)})
	}
	if x.torn || x.size > 2*x.fresh+slack {
		return f.rewrite(owner, &file{kept: k, batch: append(compact(x.batch), records...)})
	}
	b := record(kind, k, records)
	if !f.claim(owner, x.size+int64(len(b))) {
		return errRoom
	}
	if err := f.fs.Append(prefix+owner, b, false); err != nil {
		x.torn = true
		return err
	}
	x.kept, x.size, x.batch = k, x.size+int64(len(b)), append(x.batch, records...)
	return nil
}

// compact is what is live of records.
func compact(records []byte) []byte { return journal.Compact(records) }

// Live implements copies.Store.
func (f *Store) LiveRecords(owner string) []byte {
	if x := f.files[owner]; x != nil {
		return compact(x.batch)
	}
	return nil
}

// Size implements copies.Store.
func (f *Store) Size(owner string) int64 {
	if x := f.files[owner]; x != nil {
		return x.size
	}
	return 0
}
