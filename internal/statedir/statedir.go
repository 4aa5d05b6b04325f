// Package statedir manages a sender's state directory: a lock, so that two processes never use one
// directory, and the accounting of its disk space, which journal and knowledge share. It accesses no
// files but the locks.
package statedir

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"sliptide/internal/fsys"
)

const (
	lockName         = "lock"
	lockPollInterval = 50 * time.Millisecond
	blockSize        = 512 // unit in which a file takes disk space
)

// ErrInUse is returned when another process holds the lock.
var ErrInUse = errors.New("another sender is using this state directory")

// Lock locks the directory dir for this process, until Unlock or the end of the process, however it
// ends. A predecessor may still be shutting down: Lock waits for it up to timeout. The lock belongs to
// the open file (flock), so no stale lock can be left behind.
func Lock(dir string, timeout time.Duration) (*DirLock, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state directory: open lock: %w", err)
	}
	for deadline := time.Now().Add(timeout); ; time.Sleep(lockPollInterval) {
		err := fsys.TryLock(f)
		switch {
		case err == nil:
			return &DirLock{f}, nil
		case err != syscall.EWOULDBLOCK:
			f.Close()
			return nil, fmt.Errorf("state directory %s: lock: %w", dir, err)
		case !time.Now().Before(deadline):
			f.Close()
			return nil, fmt.Errorf("state directory %s: %w", dir, ErrInUse)
		}
	}
}

// successorLockName names the lock file of a process that starts while its predecessor still holds the directory.
const successorLockName = "lock.heir"

// ErrSuccessorWaiting is returned when another process waits to take over the directory.
var ErrSuccessorWaiting = errors.New("a new version is already starting")

// LockSuccessor takes the directory's successor lock, for a process that starts while its predecessor still
// runs. Only one process can hold it. LockSuccessor does not wait: it returns ErrSuccessorWaiting if another
// successor holds the lock.
func LockSuccessor(dir string) (*DirLock, error) {
	f, err := os.OpenFile(filepath.Join(dir, successorLockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state directory: open lock: %w", err)
	}
	if err := fsys.TryLock(f); err != nil {
		f.Close()
		if err == syscall.EWOULDBLOCK {
			return nil, fmt.Errorf("state directory %s: %w", dir, ErrSuccessorWaiting)
		}
		return nil, fmt.Errorf("state directory %s: lock: %w", dir, err)
	}
	return &DirLock{f}, nil
}

// SuccessorWaiting reports whether a successor holds its lock and waits to take over.
func SuccessorWaiting(dir string) bool {
	f, err := os.OpenFile(filepath.Join(dir, successorLockName), os.O_RDWR, 0)
	if err != nil {
		return false // no successor has been started in this directory
	}
	defer f.Close()
	return fsys.TryLock(f) == syscall.EWOULDBLOCK
}

// SetHolder writes a description of the holder into the lock file, for a process that finds the directory
// locked: only a new version of the same sender may start beside the holder.
func (l *DirLock) SetHolder(text string) error {
	if _, err := l.f.WriteAt([]byte(text), 0); err != nil { // before the file is cut: it is never empty in between
		return err
	}
	return l.f.Truncate(int64(len(text)))
}

// Holder returns the text that the holder of the directory has set; empty if there is none.
func Holder(dir string) string {
	b, _ := os.ReadFile(filepath.Join(dir, lockName))
	return string(b)
}

// DirLock is a lock on a state directory that this process holds.
type DirLock struct{ f *os.File }

// Unlock releases the lock.
func (l *DirLock) Unlock() error { return l.f.Close() }

// RoundToBlocks returns the disk space that a file of that size takes: whole blocks.
func RoundToBlocks(bytes int64) int64 { return (bytes + blockSize - 1) / blockSize * blockSize }

// Space is the disk space of the state directory. Each account claims the maximum that it may need,
// temporary copies included, before it writes; the sum of the claims never exceeds the total. It is safe
// for concurrent use, and no call waits for a disk.
type Space struct {
	mu       sync.Mutex
	total    int64
	claimed  int64
	reserved int64 // for the account that called Reserve
}

// NewSpace returns a Space of that many bytes.
func NewSpace(total int64) *Space { return &Space{total: total} }

// Account returns a new account, with nothing claimed.
func (s *Space) Account() *Account { return &Account{space: s, yieldRequests: make(chan struct{}, 1)} }

// Account is one user's share of a Space.
type Account struct {
	space         *Space
	claimed       int64
	yieldRequests chan struct{}
	yielder       *Account // the account that yields to this one
}

// YieldTo makes a yield to beneficiary: when a claim of beneficiary fails, YieldRequested of a reports it.
// It must not be called concurrently with a Claim of beneficiary.
func (a *Account) YieldTo(beneficiary *Account) { beneficiary.yielder = a }

// Claim sets the claim to that many bytes if the other accounts leave enough, and reports whether they did.
// If not, the claim is unchanged, and the account that yields to this one is notified.
func (a *Account) Claim(bytes int64) bool {
	s := a.space
	s.mu.Lock()
	granted := bytes <= a.claimed || s.claimed-a.claimed+bytes <= s.total
	if granted {
		s.claimed += bytes - a.claimed
		a.claimed = bytes
	}
	s.mu.Unlock()
	if !granted && a.yielder != nil {
		select {
		case a.yielder.yieldRequests <- struct{}{}:
		default:
		}
	}
	return granted
}

// Reserve sets that many bytes aside for the account: SoftLimit excludes them. It is not a claim: Claim of
// another account can still take them. Only one account of a Space may call Reserve, and SoftLimit is meant
// for the others.
func (a *Account) Reserve(bytes int64) {
	a.space.mu.Lock()
	defer a.space.mu.Unlock()
	a.space.reserved = bytes
}

// SoftLimit returns how much the account may take for data that it could do without, such as records of
// ended messages.
func (a *Account) SoftLimit() int64 {
	a.space.mu.Lock()
	defer a.space.mu.Unlock()
	return a.space.total - max(a.space.reserved, a.space.claimed-a.claimed)
}

// Claimed returns the current claim.
func (a *Account) Claimed() int64 {
	a.space.mu.Lock()
	defer a.space.mu.Unlock()
	return a.claimed
}

// Limit returns how much the account could claim now.
func (a *Account) Limit() int64 {
	a.space.mu.Lock()
	defer a.space.mu.Unlock()
	return a.space.total - a.space.claimed + a.claimed
}

// YieldRequested receives a value when a claim of the account that this one yields to has failed.
func (a *Account) YieldRequested() <-chan struct{} { return a.yieldRequests }
