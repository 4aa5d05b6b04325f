package admin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/fsys"
	"sliptide/internal/operate"
)

// DisabledStore persists the set of disabled endpoints in the state directory, for a later process and for one that
// runs beside this one during an upgrade. Its methods are safe for concurrent use.
//
// Each change of the set holds the mutex from its first read or write of the file until the sender and the set agree with
// it. Otherwise a read that began before a change would undo it.
type DisabledStore struct {
	mu       sync.Mutex
	file     disabledFile
	disabled operate.DisabledSet
	unsaved  map[string]bool                      // disabled endpoints that the file lacks, as storing them has failed
	apply    func(id string, disabled bool) error // notifies the sender; an error refuses the change
}

// Open reads the set that an earlier process stored; without a file it is empty. An unreadable file is an error, so
// that no endpoint that an operator disabled serves again unnoticed.
func Open(files fsys.Opener) (*DisabledStore, error) {
	file := disabledFile{files}
	stored, err := file.read()
	if err != nil {
		return nil, fmt.Errorf("state directory: %w", err)
	}
	return &DisabledStore{file: file, disabled: stored, unsaved: map[string]bool{}}, nil
}

// Disabled returns a copy of the set.
func (s *DisabledStore) Disabled() operate.DisabledSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disabled.Clone()
}

// Bind sets the function that applies each change to the sender. It must be called before Disable and Enable, and not
// concurrently with them. apply is called with the store locked, so it must not use the store.
func (s *DisabledStore) Bind(apply func(id string, disabled bool) error) { s.apply = apply }

// WatchInterval is the time between two reads of the file by Watch.
const WatchInterval = 100 * time.Millisecond

// Watch calls Sync every WatchInterval until ctx ends, and logs the first error of a row.
func (s *DisabledStore) Watch(ctx context.Context, apply func(id string, disabled bool) error, log zerolog.Logger) {
	tick := time.NewTicker(WatchInterval)
	defer tick.Stop()
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		err := s.Sync(apply)
		if err != nil && !failed {
			log.Warn().Err(err).Msg("admin: reading or writing the file of disabled endpoints failed; retrying")
		}
		failed = err != nil
	}
}

// Sync stores what could not be stored before, reads the file, and applies what another process of this sender has
// changed: during an upgrade the old and the new version run side by side, and an operator may call either. apply applies
// a change to the sender; it must accept an id that no list of this process has named, and must not use the store. A
// change that apply refuses is tried again by the next Sync.
func (s *DisabledStore) Sync(apply func(id string, disabled bool) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	storeErr := s.storeUnsaved()
	stored, err := s.file.read()
	if err != nil {
		return errors.Join(storeErr, err)
	}
	for _, id := range stored.IDs() {
		if !s.disabled.Has(id) && apply(id, true) == nil {
			s.disabled.Set(id, true)
		}
	}
	for _, id := range s.disabled.IDs() {
		if !stored.Has(id) && !s.unsaved[id] && apply(id, false) == nil {
			s.disabled.Set(id, false)
		}
	}
	return storeErr
}

// storeUnsaved tries again to store the disabled endpoints that the file lacks.
func (s *DisabledStore) storeUnsaved() error {
	if len(s.unsaved) == 0 {
		return nil
	}
	err := s.file.store(slices.Sorted(maps.Keys(s.unsaved)), true)
	if err == nil {
		clear(s.unsaved)
	}
	return err
}

// Disable disables an endpoint and stores the change. If only storing fails, it returns an error although the endpoint is
// disabled: it stays so until Enable or the end of this process, and Sync tries again to store it.
func (s *DisabledStore) Disable(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.disabled.Clone()
	if err := next.Set(id, true); err != nil {
		return err
	}
	if err := s.apply(id, true); err != nil {
		return err
	}
	err := s.file.store([]string{id}, true)
	if errors.Is(err, operate.ErrTooManyDisabled) { // with what the other process has disabled meanwhile
		return errors.Join(err, s.apply(id, false))
	}
	s.disabled = next
	if err != nil {
		s.unsaved[id] = true
		return fmt.Errorf("in force, but not kept for the next process: %w", err)
	}
	delete(s.unsaved, id)
	return nil
}

// Enable enables an endpoint. It stores the change first: if that fails, the endpoint stays disabled, as the file tells
// the other process of an upgrade and the next one.
func (s *DisabledStore) Enable(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.disabled.Clone()
	if err := next.Set(id, false); err != nil {
		return err
	}
	if err := s.file.store([]string{id}, false); err != nil {
		return fmt.Errorf("not stored, so the endpoint stays out: %w", err)
	}
	if err := s.apply(id, false); err != nil {
		return err
	}
	s.disabled = next
	delete(s.unsaved, id)
	return nil
}
