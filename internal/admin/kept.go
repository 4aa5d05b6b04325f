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

// The file of endpoints taken out, and its copy while it is replaced.
const (
	outName = "endpoints-out"
	outCopy = "endpoints-out.new"
)

// Room is what the file and its copy may take of the lasting folder.
var DiskQuota = 2 * statedir.RoundToBlocks(int64(operate.MaxEncodedSize))

// Kept is the set of endpoints taken out, kept in the lasting folder so that a later process, or one
// that starts beside this one in an upgrade, holds to it. Its calls are safe for concurrent use.
type DisabledStore struct {
	mu    sync.Mutex
	files fsys.FS
	out   operate.DisabledSet
	apply func(id string, out bool) error // tells the sender; its error is a no
}

// Open reads what an earlier process kept. A file that cannot be read is an error: an endpoint that an
// operator took out must not serve again by chance.
func Open(files fsys.FS) (*DisabledStore, error) {
	text, err := files.Read(outName)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("state folder: %s: %w", outName, err)
	}
	out, err := operate.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("state folder: %s: %w", outName, err)
	}
	return &DisabledStore{files: files, out: out}, nil
}

// Out is a copy of the set.
func (k *DisabledStore) Disabled() operate.DisabledSet {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.out.Clone()
}

// Reread takes the file again, as another process may have written it; it returns the set.
func (k *DisabledStore) Reload() (operate.DisabledSet, error) {
	text, err := k.files.Read(outName)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return k.Disabled(), err
	}
	out, err := operate.Parse(text)
	if err != nil {
		return k.Disabled(), err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.out = out
	return out.Clone(), nil
}

// Bind sets what tells the sender of each change.
func (k *DisabledStore) Bind(apply func(id string, out bool) error) { k.apply = apply }

// FollowEvery is how often Follow looks at the file.
const WatchInterval = 100 * time.Millisecond

// Follow takes what another process of this sender writes into the file, until ctx ends: in an upgrade the
// old and the new version run side by side, and an operator may call either. follow tells the sender of
// each change; an id that this process has not seen listed is taken too.
func (k *DisabledStore) Watch(ctx context.Context, follow func(id string, out bool) error, log zerolog.Logger) {
	tick := time.NewTicker(WatchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if err := k.follow(follow); err != nil {
			log.Warn().Err(err).Msg("admin: endpoints taken out: the file cannot be read")
		}
	}
}

func (k *DisabledStore) follow(follow func(id string, out bool) error) error {
	text, err := k.files.Read(outName)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	now, err := operate.Parse(text)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range now.IDs() {
		if !k.out.Has(id) && follow(id, true) == nil {
			k.out.Set(id, true)
		}
	}
	for _, id := range k.out.IDs() {
		if !now.Has(id) && follow(id, false) == nil {
			k.out.Set(id, false)
		}
	}
	return nil
}

// Disable takes an endpoint out.
func (k *DisabledStore) Disable(id string) error { return k.set(id, true) }

// Enable puts it back.
func (k *DisabledStore) Enable(id string) error { return k.set(id, false) }

func (k *DisabledStore) set(id string, out bool) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := k.out.Clone()
	if err := next.Set(id, out); err != nil {
		return err
	}
	if err := k.apply(id, out); err != nil {
		return err
	}
	k.out = next
	if err := k.files.Write(outCopy, next.Encode(), false); err != nil {
		return fmt.Errorf("in force, but not kept for the next process: %w", err)
	}
	if err := k.files.Rename(outCopy, outName); err != nil {
		return fmt.Errorf("in force, but not kept for the next process: %w", err)
	}
	return nil
}
