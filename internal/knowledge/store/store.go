// Package store keeps knowledge.Facts in files in the state directory. Files are replaced atomically: a new file is
// written under a temporary name and renamed, so that after a crash the name refers either to the old file or to the
// new one, never to a part of one. A file that cannot be read is set aside; it is never a fatal error.
//
// A Store does not interpret the facts; package knowledge does. It is not safe for concurrent use.
package store

import (
	"errors"
	"fmt"
	"io/fs"
	"time"

	"sliptide/internal/fsys"
	"sliptide/internal/knowledge"
	"sliptide/internal/statedir"
	"sliptide/internal/transient"
)

// Names of the files.
const (
	SnapshotName = "knowledge"       // the snapshot
	PreviousName = "knowledge.prev"  // the snapshot before it, if there is space
	WaitsName    = "knowledge.waits" // waits requested since the snapshot, in the same format
	setAsideName = "knowledge.bad"   // the last file that could not be read
	newSuffix    = ".new"            // temporary suffix of a file that is being written
)

// FileNames lists the names of all files that a Store may write.
var FileNames = []string{
	SnapshotName, PreviousName, WaitsName, setAsideName, SnapshotName + newSuffix, WaitsName + newSuffix,
}

// Store manages the knowledge files of one directory.
type Store struct {
	fs          fsys.FS
	account     *statedir.Account
	maxBytes    int64 // for all files
	sync        bool
	sizes       map[string]int64 // disk space of each file in bytes, whole blocks
	newerFormat map[string]bool  // files of a newer format, which are left untouched
}

// Options configure a Store.
type Options struct {
	FS       fsys.FS
	Account  *statedir.Account // disk space for the files
	MaxBytes int64             // maximum size of all files, including one that is about to replace another
	Sync     bool              // fsync a file before its rename and the directory after it
}

// Problem describes what was wrong with a file, for the log.
type Problem struct {
	File          string
	Err           error
	SetAside      bool // the file was renamed to knowledge.bad
	LeftUntouched bool // the file stays: it is of a newer format, or may be readable later
}

// Open reads the files and returns their merged facts, empty if there are none, and what was wrong with the files. The
// previous snapshot is read only if there is no readable snapshot.
func Open(o Options, sender string) (*Store, *knowledge.Facts, []Problem) {
	s := &Store{
		fs: o.FS, account: o.Account, maxBytes: o.MaxBytes, sync: o.Sync,
		sizes: map[string]int64{}, newerFormat: map[string]bool{},
	}
	facts := knowledge.New(sender)
	var problems []Problem
	for _, name := range []string{SnapshotName, WaitsName} { // temporary files of writes that did not finish
		if err := s.fs.Remove(name + newSuffix); err != nil {
			problems = append(problems, Problem{File: name + newSuffix, Err: err})
		}
	}
	snapshot, found := s.readFile(SnapshotName)
	problems = append(problems, found...)
	if snapshot == nil { // otherwise the previous snapshot has nothing to add
		snapshot, found = s.readFile(PreviousName)
		problems = append(problems, found...)
	}
	if snapshot != nil {
		facts.Merge(snapshot)
		facts.WrittenAt = snapshot.WrittenAt
	}
	waits, found := s.readFile(WaitsName)
	problems = append(problems, found...)
	if waits != nil {
		facts.Merge(waits)
	}
	for _, name := range FileNames {
		s.sizes[name] = statedir.RoundToBlocks(s.fs.Size(name))
	}
	if !s.claimSpace(0) {
		s.RemoveOldFiles()
	}
	return s, facts, problems
}

// SetSync sets whether further writes are synced.
func (s *Store) SetSync(sync bool) { s.sync = sync }

// readRetryTimeout limits how long reading a file is retried. Messages that a successor takes over wait for it.
const readRetryTimeout = 250 * time.Millisecond

// readFile reads one file. It returns nil if the file does not exist or cannot be read; in the latter case the file
// is set aside, unless it is of a newer format or may be readable later.
func (s *Store) readFile(name string) (*knowledge.Facts, []Problem) {
	var data []byte
	err := transient.Retry(readRetryTimeout, transient.IsDiskError, func() (err error) {
		data, err = s.fs.Read(name)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var facts *knowledge.Facts
	if err == nil {
		facts, err = Decode(data)
	}
	if err == nil {
		return facts, nil
	}
	problem := Problem{File: name, Err: err}
	if transient.IsDiskError(err) {
		problem.LeftUntouched = true
		return nil, []Problem{problem}
	}
	if errors.Is(err, ErrNewerFormat) {
		s.newerFormat[name], problem.LeftUntouched = true, true
		return nil, []Problem{problem}
	}
	if err := errors.Join(s.fs.Remove(setAsideName), s.fs.Rename(name, setAsideName)); err != nil {
		problem.Err = errors.Join(problem.Err, fmt.Errorf("cannot set the file aside: %w", err))
	} else {
		problem.SetAside = true
	}
	return nil, []Problem{problem}
}

// claimSpace claims disk space for the existing files and extra more bytes, and reports whether it is available. To
// replace a file, extra must be the size of the new file, because both exist until the rename.
func (s *Store) claimSpace(extra int64) bool {
	total := extra
	for _, size := range s.sizes {
		total += size
	}
	return total <= s.maxBytes && s.account.Claim(total)
}

// MaxSnapshotSize returns the maximum size in bytes of a snapshot now. The snapshot and the file of waits each need
// twice their size, because the old and the new file both exist while one is replaced.
func (s *Store) MaxSnapshotSize() int {
	limit := min(s.maxBytes, s.account.Limit()) - 2*s.sizes[WaitsName]
	return int(max(limit/2-2*headerSize, 0))
}

// SaveSnapshot writes a snapshot of at most MaxSnapshotSize bytes and removes the file of waits, because the snapshot
// contains them. The error wraps ErrNewerFormat if the existing snapshot is of a newer format, and ErrNoSpace if there
// is not enough space.
func (s *Store) SaveSnapshot(facts *knowledge.Facts) error {
	if s.newerFormat[SnapshotName] {
		return fmt.Errorf("%s: %w", SnapshotName, ErrNewerFormat)
	}
	data, err := Encode(facts)
	if err != nil {
		return err
	}
	need := statedir.RoundToBlocks(int64(len(data)))
	keepPrevious := true
	if !s.claimSpace(need) { // the previous snapshot and the file set aside are given up first
		keepPrevious = false
		if err := s.RemoveOldFiles(); err != nil {
			return err
		}
		if !s.claimSpace(need) {
			return fmt.Errorf("%s: %d bytes: %w", SnapshotName, need, ErrNoSpace)
		}
	}
	if err := s.replaceFile(SnapshotName, data, need, keepPrevious); err != nil {
		return err
	}
	return s.removeFile(WaitsName)
}

// SaveWaits writes only the waits, which take little space and can be written often. Errors are like SaveSnapshot's.
func (s *Store) SaveWaits(facts *knowledge.Facts) error {
	if s.newerFormat[WaitsName] {
		return fmt.Errorf("%s: %w", WaitsName, ErrNewerFormat)
	}
	waitsOnly := knowledge.New(facts.Sender)
	waitsOnly.WrittenAt, waitsOnly.Waits = facts.WrittenAt, facts.Waits
	data, err := Encode(waitsOnly)
	if err != nil {
		return err
	}
	need := statedir.RoundToBlocks(int64(len(data)))
	if !s.claimSpace(need) {
		if err := s.RemoveOldFiles(); err != nil {
			return err
		}
		if !s.claimSpace(need) {
			return fmt.Errorf("%s: %d bytes: %w", WaitsName, need, ErrNoSpace)
		}
	}
	return s.replaceFile(WaitsName, data, need, false)
}

// replaceFile atomically replaces the file of that name with data, for which need bytes have been claimed. With
// keepPrevious the old file is kept as the previous snapshot, if a link to it can be made.
func (s *Store) replaceFile(name string, data []byte, need int64, keepPrevious bool) error {
	tempName := name + newSuffix
	if err := s.fs.Write(tempName, data, s.sync); err != nil {
		err = errors.Join(fmt.Errorf("%s: %w", tempName, err), s.fs.Remove(tempName))
		s.sizes[tempName] = statedir.RoundToBlocks(s.fs.Size(tempName)) // not 0 if Remove failed
		s.releaseUnused()
		return err
	}
	s.sizes[tempName] = need
	if keepPrevious && s.sizes[name] > 0 && !s.newerFormat[PreviousName] {
		if err := s.fs.Link(name, PreviousName); err == nil {
			s.sizes[PreviousName] = s.sizes[name]
		} else {
			s.sizes[PreviousName] = statedir.RoundToBlocks(s.fs.Size(PreviousName))
		}
	}
	if err := s.fs.Rename(tempName, name); err != nil {
		err = errors.Join(fmt.Errorf("%s: %w", name, err), s.removeFile(tempName))
		s.releaseUnused()
		return err
	}
	s.sizes[name], s.sizes[tempName] = need, 0
	if s.sync {
		if err := s.fs.SyncDir(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	s.releaseUnused()
	return nil
}

// releaseUnused reduces the claim to the space that the files take.
func (s *Store) releaseUnused() { s.claimSpace(0) }

// RemoveOldFiles removes the files that are not needed: the previous snapshot and the file set aside.
func (s *Store) RemoveOldFiles() error {
	err := errors.Join(s.removeFile(PreviousName), s.removeFile(setAsideName))
	s.claimSpace(0)
	return err
}

// RemoveSnapshot removes the snapshot, because the journal needs the space. The file of waits stays.
func (s *Store) RemoveSnapshot() error {
	err := s.removeFile(SnapshotName)
	s.claimSpace(0)
	return err
}

// removeFile removes a file, unless it is of a newer format: only an operator may remove such a file.
func (s *Store) removeFile(name string) error {
	if s.sizes[name] == 0 || s.newerFormat[name] {
		return nil
	}
	if err := s.fs.Remove(name); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	s.sizes[name] = 0
	return nil
}
