package admin

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/fsys"
	"sliptide/internal/operate"
	"sliptide/internal/statedir"
)

// The file of the disabled endpoints, and its replacement while it is written.
const (
	fileName    = "endpoints-out"
	newFileName = "endpoints-out.new"
)

// DiskQuota is the space in bytes that the file and its replacement may take in the state directory.
var DiskQuota = 2 * statedir.RoundToBlocks(int64(operate.MaxEncodedSize))

// DisabledStore persists the set of disabled endpoints in the state directory, for a later process and for one that
// runs beside this one during an upgrade. Its methods are safe for concurrent use.
type DisabledStore struct {
	mu       sync.Mutex
	files    fsys.FS
	disabled operate.DisabledSet
	apply    func(id string, disabled bool) error // notifies the sender; an error refuses the change
}

// Open reads the set that an earlier process stored; without a file it is empty. An unreadable file is an error, so
// that no endpoint that an operator disabled serves again unnoticed.
func Open(files fsys.FS) (*DisabledStore, error) {
	text, err := files.Read(fileName)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("state directory: %s: %w", fileName, err)
	}
	disabled, err := operate.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("state directory: %s: %w", fileName, err)
	}
	return &DisabledStore{files: files, disabled: disabled}, nil
}

// Disabled returns a copy of the set.
func (s *DisabledStore) Disabled() operate.DisabledSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disabled.Clone()
}

// Reload reads the file again, as another process may have written it, and returns the set. On an error it returns
// the set as it was.
func (s *DisabledStore) Reload() (operate.DisabledSet, error) {
	text, err := s.files.Read(fileName)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return s.Disabled(), err
	}
	disabled, err := operate.Parse(text)
	if err != nil {
		return s.Disabled(), err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disabled = disabled
	return disabled.Clone(), nil
}

// Bind sets the function that applies each change to the sender. It must be called before Disable and Enable, and not
// concurrently with them. apply is called with the store locked, so it must not use the store.
func (s *DisabledStore) Bind(apply func(id string, disabled bool) error) { s.apply = apply }

// WatchInterval is the time between two reads of the file by Watch.
const WatchInterval = 100 * time.Millisecond

// Watch reads the file every WatchInterval until ctx ends, and applies what another process of this sender has written:
// during an upgrade the old and the new version run side by side, and an operator may call either. apply applies a
// change to the sender; it must accept an id that no list of this process has named, and must not use the store.
func (s *DisabledStore) Watch(ctx context.Context, apply func(id string, disabled bool) error, log zerolog.Logger) {
	tick := time.NewTicker(WatchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if err := s.sync(apply); err != nil {
			log.Warn().Err(err).Msg("admin: reading the file of disabled endpoints failed")
		}
	}
}

// sync applies the differences between the file and the set, to the sender and to the set. A change that apply refuses
// is tried again by the next sync.
func (s *DisabledStore) sync(apply func(id string, disabled bool) error) error {
	text, err := s.files.Read(fileName)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	stored, err := operate.Parse(text)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range stored.IDs() {
		if !s.disabled.Has(id) && apply(id, true) == nil {
			s.disabled.Set(id, true)
		}
	}
	for _, id := range s.disabled.IDs() {
		if !stored.Has(id) && apply(id, false) == nil {
			s.disabled.Set(id, false)
		}
	}
	return nil
}

// Disable disables an endpoint and stores the set. If only storing fails, it returns an error although the change has
// been applied; Watch then undoes the change at its next read, since the file lacks it.
func (s *DisabledStore) Disable(id string) error { return s.set(id, true) }

// Enable enables an endpoint and stores the set. A failure to store it has the same result as for Disable.
func (s *DisabledStore) Enable(id string) error { return s.set(id, false) }

// set applies a change to the sender, then to the set, and stores the set.
func (s *DisabledStore) set(id string, disabled bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.disabled.Clone()
	if err := next.Set(id, disabled); err != nil {
		return err
	}
	if err := s.apply(id, disabled); err != nil {
		return err
	}
	s.disabled = next
	if err := s.files.Write(newFileName, next.Encode(), false); err != nil {
		return fmt.Errorf("in force, but not kept for the next process: %w", err)
	}
	if err := s.files.Rename(newFileName, fileName); err != nil {
		return fmt.Errorf("in force, but not kept for the next process: %w", err)
	}
	return nil
}
