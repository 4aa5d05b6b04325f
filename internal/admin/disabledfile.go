package admin

import (
	"errors"
	"fmt"
	"io/fs"
	"time"

	"sliptide/internal/fsys"
	"sliptide/internal/operate"
	"sliptide/internal/statedir"
	"sliptide/internal/transient"
)

// The file of the disabled endpoints, its replacement while it is written, and the file whose lock guards both.
const (
	fileName     = "endpoints-out"
	newFileName  = "endpoints-out.new"
	fileLockName = "lock.endpoints"
)

// fileLockTimeout limits the wait for the other process of an upgrade, which holds the lock while it stores a change.
const fileLockTimeout = 200 * time.Millisecond

// DiskQuota is the space in bytes that the file and its replacement may take in the state directory.
var DiskQuota = 2 * statedir.RoundToBlocks(int64(operate.MaxEncodedSize))

var errFileLocked = errors.New("the other process of this sender is storing a change")

// disabledFile is the file that preserves the set of disabled endpoints. During an upgrade two processes share it. It is
// not safe for concurrent use within a process.
type disabledFile struct{ files fsys.Opener }

// read returns the stored set; without a file it is empty.
func (f disabledFile) read() (operate.DisabledSet, error) {
	text, err := f.files.Read(fileName)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return operate.DisabledSet{}, fmt.Errorf("%s: %w", fileName, err)
	}
	stored, err := operate.Parse(text)
	if err != nil {
		return operate.DisabledSet{}, fmt.Errorf("%s: %w", fileName, err)
	}
	return stored, nil
}

// store disables or enables endpoints in the stored set, and leaves what the other process has stored. After an error
// other than operate.ErrTooManyDisabled and operate.ErrMalformedID, which change nothing, the change may be stored.
func (f disabledFile) store(ids []string, disabled bool) error {
	lock, err := f.lock()
	if err != nil {
		return err
	}
	defer lock.Close()
	stored, err := f.read()
	if err != nil {
		return err
	}
	changed := false
	for _, id := range ids {
		if stored.Has(id) == disabled {
			continue
		}
		if err := stored.Set(id, disabled); err != nil {
			return err
		}
		changed = true
	}
	if !changed {
		return nil
	}
	if err := f.files.Write(newFileName, stored.Encode(), false); err != nil {
		return err
	}
	return f.files.Rename(newFileName, fileName)
}

// lock locks the file against changes by the other process, until the returned file is closed.
func (f disabledFile) lock() (fsys.File, error) {
	file, err := f.files.Open(fileLockName, false)
	if err != nil {
		return nil, err
	}
	isLocked := func(err error) bool { return errors.Is(err, errFileLocked) }
	err = transient.Retry(fileLockTimeout, isLocked, func() error {
		locked, err := file.TryLock()
		if err == nil && !locked {
			return errFileLocked
		}
		return err
	})
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("%s: %w", fileLockName, err)
	}
	return file, nil
}
