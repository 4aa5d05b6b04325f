// Package store keeps a knowledge.Book in files of the folder that lasts. Each is replaced whole: a new
// file is written beside it and renamed into its place, so that whatever ends the process, the name
// holds one file or the other. What can't be read is set aside, never fatal.
//
// It decides nothing of what is known; that is package knowledge. It is not safe for concurrent use.
package store

import (
	"errors"
	"fmt"
	"io/fs"

	"sliptide/internal/fsys"
	"sliptide/internal/knowledge"
	"sliptide/internal/statedir"
)

// The files.
const (
	SnapshotName = "knowledge"       // the snapshot
	PreviousName = "knowledge.prev"  // the one before, where there is room
	WaitsName    = "knowledge.waits" // told waits since, in the same form
	badName      = "knowledge.bad"   // what could not be read, the last such
	newSuffix    = ".new"
)

// Names are the names of all files that a Store may write.
var FileNames = []string{SnapshotName, PreviousName, WaitsName, badName, SnapshotName + newSuffix, WaitsName + newSuffix}

// Store is the files of one folder.
type Store struct {
	fs    fsys.FS
	room  *statedir.Account
	max   int64 // bytes for all files
	sync  bool
	sizes map[string]int64 // of the files there are, in whole blocks
	held  map[string]bool  // files of a newer format, which are not touched
}

// Options are what a Store works with.
type Options struct {
	FS       fsys.FS
	Account  *statedir.Account // claims what the files take
	MaxBytes int64             // bytes that all files may take, one that replaces another included
	Sync     bool              // fsync files and folder before and after a rename
}

// Problem is one thing that was wrong with a file, for the log.
type Problem struct {
	File          string
	Err           error
	SetAside      bool // it is now knowledge.bad, or gone if that could not be
	LeftUntouched bool // it is of a newer format and left as it is
}

// Open reads what the folder holds, the later of what its files know. There always is a Book, if an
// empty one.
func Open(o Options, sender string) (*Store, *knowledge.Facts, []Problem) {
	s := &Store{fs: o.FS, room: o.Account, max: o.MaxBytes, sync: o.Sync, sizes: map[string]int64{}, held: map[string]bool{}}
	book := knowledge.New(sender)
	var problems []Problem
	for _, name := range []string{SnapshotName, WaitsName} { // copies that were not finished
		if err := s.fs.Remove(name + newSuffix); err != nil {
			problems = append(problems, Problem{File: name + newSuffix, Err: err})
		}
	}
	read, p := s.read(SnapshotName)
	problems = append(problems, p...)
	if read == nil { // else what came before it says nothing new
		read, p = s.read(PreviousName)
		problems = append(problems, p...)
	}
	if read != nil {
		book.Merge(read)
		book.WrittenAt = read.WrittenAt
	}
	waits, p := s.read(WaitsName)
	problems = append(problems, p...)
	if waits != nil {
		book.Merge(waits)
	}
	for _, name := range FileNames {
		s.sizes[name] = statedir.RoundToBlocks(s.fs.Size(name))
	}
	if !s.claim(0) {
		s.RemoveOldFiles()
	}
	return s, book, problems
}

// SetSync changes whether files are synced from here on.
func (s *Store) SetSync(sync bool) { s.sync = sync }

// read reads one file; nil if there is none that can be read.
func (s *Store) read(name string) (*knowledge.Facts, []Problem) {
	text, err := s.fs.Read(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var book *knowledge.Facts
	if err == nil {
		book, err = Decode(text)
	}
	if err == nil {
		return book, nil
	}
	p := Problem{File: name, Err: err}
	if errors.Is(err, ErrNewerFormat) {
		s.held[name], p.LeftUntouched = true, true
		return nil, []Problem{p}
	}
	if err := errors.Join(s.fs.Remove(badName), s.fs.Rename(name, badName)); err != nil {
		p.Err = errors.Join(p.Err, fmt.Errorf("cannot be set aside: %w", err))
	} else {
		p.SetAside = true
	}
	return nil, []Problem{p}
}

// claim claims what the files take with so much more. The largest that a file may become while it is
// replaced is part of more.
func (s *Store) claim(more int64) bool {
	total := more
	for _, size := range s.sizes {
		total += size
	}
	return total <= s.max && s.room.Claim(total)
}

// Room is how many bytes a snapshot may have now: with the waits as they are, twice it (the one that is
// replaced, and the new one) must fit.
func (s *Store) MaxSnapshotSize() int {
	limit := min(s.max, s.room.Limit()) - 2*s.sizes[WaitsName]
	return int(max(limit/2-2*headSize, 0))
}

// Save writes a snapshot of at most Room bytes. The waits' file goes, since the snapshot has them too.
func (s *Store) SaveSnapshot(b *knowledge.Facts) error {
	if s.held[SnapshotName] {
		return fmt.Errorf("%s: %w", SnapshotName, ErrNewerFormat)
	}
	text, err := Encode(b)
	if err != nil {
		return err
	}
	need := statedir.RoundToBlocks(int64(len(text)))
	keep := true
	if !s.claim(need) { // what could not be read, and the generation before, go first
		keep = false
		if err := s.RemoveOldFiles(); err != nil {
			return err
		}
		if !s.claim(need) {
			return fmt.Errorf("%s: %d bytes: %w", SnapshotName, need, ErrNoSpace)
		}
	}
	if err := s.replace(SnapshotName, text, need, keep); err != nil {
		return err
	}
	return s.remove(WaitsName)
}

// SaveWaits writes the waits of b alone: little, and often.
func (s *Store) SaveWaits(b *knowledge.Facts) error {
	if s.held[WaitsName] {
		return fmt.Errorf("%s: %w", WaitsName, ErrNewerFormat)
	}
	only := knowledge.New(b.Sender)
	only.WrittenAt, only.Waits = b.WrittenAt, b.Waits
	text, err := Encode(only)
	if err != nil {
		return err
	}
	need := statedir.RoundToBlocks(int64(len(text)))
	if !s.claim(need) {
		if err := s.RemoveOldFiles(); err != nil {
			return err
		}
		if !s.claim(need) {
			return fmt.Errorf("%s: %d bytes: %w", WaitsName, need, ErrNoSpace)
		}
	}
	return s.replace(WaitsName, text, need, false)
}

// replace puts a file with that text in the place of name; it is claimed already. With keep, the one
// there stays as the generation before.
func (s *Store) replace(name string, text []byte, need int64, keep bool) error {
	fresh := name + newSuffix
	if err := s.fs.Write(fresh, text, s.sync); err != nil {
		err = errors.Join(fmt.Errorf("%s: %w", fresh, err), s.fs.Remove(fresh))
		s.sizes[fresh] = statedir.RoundToBlocks(s.fs.Size(fresh)) // if it could not be removed, it takes its room
		s.settle()
		return err
	}
	s.sizes[fresh] = need
	if keep && s.sizes[name] > 0 && !s.held[PreviousName] {
		if err := s.fs.Link(name, PreviousName); err == nil {
			s.sizes[PreviousName] = s.sizes[name]
		} else {
			s.sizes[PreviousName] = statedir.RoundToBlocks(s.fs.Size(PreviousName))
		}
	}
	if err := s.fs.Rename(fresh, name); err != nil {
		err = errors.Join(fmt.Errorf("%s: %w", name, err), s.remove(fresh))
		s.settle()
		return err
	}
	s.sizes[name], s.sizes[fresh] = need, 0
	if s.sync {
		if err := s.fs.SyncDir(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	s.settle()
	return nil
}

// settle claims no more than the files take.
func (s *Store) settle() { s.claim(0) }

// Shrink gives up what is not needed: the generation before, and what could not be read.
func (s *Store) RemoveOldFiles() error {
	err := errors.Join(s.remove(PreviousName), s.remove(badName))
	s.claim(0)
	return err
}

// Drop gives up the snapshot itself: the journal needs the room. Waits stay.
func (s *Store) RemoveSnapshot() error {
	err := s.remove(SnapshotName)
	s.claim(0)
	return err
}

// remove removes a file, but never one of a newer format: that is the operator's to do.
func (s *Store) remove(name string) error {
	if s.sizes[name] == 0 || s.held[name] {
		return nil
	}
	if err := s.fs.Remove(name); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	s.sizes[name] = 0
	return nil
}
