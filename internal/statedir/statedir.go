// Package statedir keeps order in the folder that outlasts a sender's process: a lock, so that two
// processes never work in one folder, and the account of its room, which journal and knowledge share.
// It touches no file but the lock.
package statedir

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	lockName  = "lock"
	lockPause = 50 * time.Millisecond
	block     = 512 // a file takes whole blocks of this
)

// ErrInUse is the error of Lock where another process holds the folder.
var ErrInUse = errors.New("another sender works in this folder")

// Lock takes the folder dir for this process, until Unlock or the process's end, however that comes.
// A predecessor may still be leaving: it is waited for as long as patience. The lock belongs to the
// open file (flock), so no stale one can be left behind.
func Lock(dir string, patience time.Duration) (*DirLock, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	for end := time.Now().Add(patience); ; time.Sleep(lockPause) {
		err := lock(f)
		switch {
		case err == nil:
			return &DirLock{f}, nil
		case err != syscall.EWOULDBLOCK:
			f.Close()
			return nil, fmt.Errorf("state folder %s: lock: %w", dir, err)
		case !time.Now().Before(end):
			f.Close()
			return nil, fmt.Errorf("state folder %s: %w", dir, ErrInUse)
		}
	}
}

// heirName is the lock of a new version that starts while the present one still holds the folder.
const heirName = "lock.heir"

// LockHeir takes the folder's second place, that of a new version started beside the present one; there is
// one such place. It does not wait: ErrInUse where another heir has it.
func LockSuccessor(dir string) (*DirLock, error) {
	f, err := os.OpenFile(filepath.Join(dir, heirName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	if err := lock(f); err != nil {
		f.Close()
		if err == syscall.EWOULDBLOCK {
			return nil, fmt.Errorf("state folder %s: a new version is already starting here: %w", dir, ErrInUse)
		}
		return nil, fmt.Errorf("state folder %s: lock: %w", dir, err)
	}
	return &DirLock{f}, nil
}

// HeirWaits reports whether a new version holds the folder's second place and waits to take over.
func SuccessorWaiting(dir string) bool {
	f, err := os.OpenFile(filepath.Join(dir, heirName), os.O_RDWR, 0)
	if err != nil {
		return false // no heir has ever been here
	}
	defer f.Close()
	return lock(f) == syscall.EWOULDBLOCK
}

// lock takes the lock of an open file, if nobody holds it. A signal does not end it.
func lock(f *os.File) error {
	for {
		if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != syscall.EINTR {
			return err
		}
	}
}

// Note writes what the holder is into the lock file, for a process that finds the folder held: a new
// version of the same sender may start beside it, anything else may not.
func (l *DirLock) SetHolder(text string) error {
	if err := l.f.Truncate(0); err != nil {
		return err
	}
	_, err := l.f.WriteAt([]byte(text), 0)
	return err
}

// Holder is what the holder of the folder has noted; empty where nothing is.
func Holder(dir string) string {
	b, _ := os.ReadFile(filepath.Join(dir, lockName))
	return string(b)
}

// Locked is a folder that this process holds.
type DirLock struct{ f *os.File }

// Unlock lets the folder go.
func (l *DirLock) Unlock() error { return l.f.Close() }

// Blocks is what a file of that many bytes takes of the room: whole blocks.
func RoundToBlocks(bytes int64) int64 { return (bytes + block - 1) / block * block }

// Space is the room of the folder. Each holder claims what it may need at most, copies included, before
// it writes; the claims together never pass the total. It is safe for concurrent use, and no call waits
// for a disk.
type Space struct {
	mu      sync.Mutex
	total   int64
	claimed int64
	kept    int64 // kept back for those that yield
}

// NewSpace returns a Space of that many bytes.
func NewSpace(total int64) *Space { return &Space{total: total} }

// Account returns a further holder, with nothing claimed.
func (s *Space) Account() *Account { return &Account{space: s, short: make(chan struct{}, 1)} }

// Account is what one holder has claimed.
type Account struct {
	space *Space
	mine  int64
	short chan struct{}
	other *Account // that yields to this one
}

// YieldTo makes a give way to b: when a claim of b finds no room, Pressed of a says so.
func (a *Account) YieldTo(b *Account) { b.other = a }

// Claim sets the claim to that many bytes if the others leave so much, and reports whether they did.
// Where they did not, the claim stays as it was, and the account that yields is told.
func (a *Account) Claim(bytes int64) bool {
	s := a.space
	s.mu.Lock()
	ok := bytes <= a.mine || s.claimed-a.mine+bytes <= s.total
	if ok {
		s.claimed += bytes - a.mine
		a.mine = bytes
	}
	s.mu.Unlock()
	if !ok && a.other != nil {
		select {
		case a.other.short <- struct{}{}:
		default:
		}
	}
	return ok
}

// Reserve keeps so many bytes back for the account: others' Soft leaves them out. It is no claim: who
// must have them still gets them.
func (a *Account) Reserve(bytes int64) {
	a.space.mu.Lock()
	defer a.space.mu.Unlock()
	a.space.kept = bytes
}

// Soft is how much the account may take for what it could do without, such as records that are over.
func (a *Account) SoftLimit() int64 {
	a.space.mu.Lock()
	defer a.space.mu.Unlock()
	return a.space.total - max(a.space.kept, a.space.claimed-a.mine)
}

// Claimed is the present claim.
func (a *Account) Claimed() int64 {
	a.space.mu.Lock()
	defer a.space.mu.Unlock()
	return a.mine
}

// Limit is how much the account could claim now.
func (a *Account) Limit() int64 {
	a.space.mu.Lock()
	defer a.space.mu.Unlock()
	return a.space.total - a.space.claimed + a.mine
}

// Pressed tells when another account found no room.
func (a *Account) YieldRequested() <-chan struct{} { return a.short }
