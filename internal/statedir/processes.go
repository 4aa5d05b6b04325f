package statedir

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// processesName names the file whose locks show which processes of the sender run. It is empty: the locks are on bytes
// beyond its end.
const processesName = "lock.processes"

// maxProcesses is the number of processes that can be registered at once. An upgrade has two, and a third where the
// first still waits for its clients while the second is replaced.
const maxProcesses = 16

// ErrTooManyProcesses is returned by Register when maxProcesses are registered.
var ErrTooManyProcesses = errors.New("too many processes of this sender are running")

// Processes registers this process among those that use a state directory, so that they can divide the sender's limits.
// The registration is a lock on a byte of a file, and ends with the process, however it ends. Further bytes tell what the
// process does. It is not safe for concurrent use.
type Processes struct {
	file *os.File
	slot int64
}

// Counts counts the sender's other processes.
type Counts struct {
	Running int
	Sharing int // of those running: keep to a part of the limits that leaves one to each of the sender's processes
	Leaving int // of those running: serve no client any more, and end when their calls have
	Closed  int // of those running: accept no connection any more; they include the leaving ones

	ClosedConns int // connections that clients still have to the closed ones
}

// Register registers this process. Close ends the registration.
func Register(dir string) (*Processes, error) {
	file, err := os.OpenFile(filepath.Join(dir, processesName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state directory: open %s: %w", processesName, err)
	}
	p := &Processes{file: file}
	for ; p.slot < maxProcesses; p.slot++ {
		err = p.setLock(unix.F_WRLCK, p.slot, 1)
		if err == nil {
			return p, nil
		}
		if !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EACCES) {
			break
		}
		err = ErrTooManyProcesses
	}
	file.Close()
	return nil, fmt.Errorf("state directory: lock %s: %w", processesName, err)
}

// Each process has a byte for its registration, one for leaving, maxProcesses ones for sharing, of which the first n are
// locked while it shares the limits with n-1 others, and maxConns ones of which the first n+1 are locked while it accepts
// no connection any more and has n.
func leavingOffset(slot int64) int64 { return maxProcesses + slot }
func sharingOffset(slot int64) int64 { return (2 + slot) * maxProcesses }
func closedOffset(slot int64) int64  { return (1 + slot) * maxConns }

// maxConns is more than the number of connections that a process can have.
const maxConns = 1 << 24

// ShareAmongAll is the argument of SetSharing for a part that is small enough beside any number of processes.
const ShareAmongAll = maxProcesses

// SetSharing shows the other processes that this one keeps to a part of the limits that leaves one to each of that many
// processes, with this one; 0 or 1: it uses the whole.
func (p *Processes) SetSharing(processes int) error {
	offset := sharingOffset(p.slot)
	if err := p.setLock(unix.F_UNLCK, offset, maxProcesses); err != nil || processes <= 1 {
		return err
	}
	return p.setLock(unix.F_WRLCK, offset, int64(min(processes, maxProcesses)))
}

// SetLeaving shows the other processes that this one serves no client any more.
func (p *Processes) SetLeaving() error { return p.setLock(unix.F_WRLCK, leavingOffset(p.slot), 1) }

// SetClosed shows the other processes that this one accepts no connection any more, and how many it has.
func (p *Processes) SetClosed(conns int) error {
	offset := closedOffset(p.slot)
	locked := int64(min(conns, maxConns-2)) + 1
	if err := p.setLock(unix.F_WRLCK, offset, locked); err != nil {
		return err
	}
	return p.setLock(unix.F_UNLCK, offset+locked, maxConns-locked)
}

// Others counts the other processes.
func (p *Processes) Others() (Counts, error) {
	slots, err := p.otherSlots()
	if err != nil {
		return Counts{}, err
	}
	counts := Counts{Running: len(slots)}
	for _, slot := range slots {
		shares, err := p.isLocked(sharingOffset(slot)+int64(counts.Running), 1)
		if err != nil {
			return Counts{}, err
		}
		leaves, err := p.isLocked(leavingOffset(slot), 1)
		if err != nil {
			return Counts{}, err
		}
		closed, conns, err := p.closedConns(slot)
		if err != nil {
			return Counts{}, err
		}
		if shares {
			counts.Sharing++
		}
		if leaves {
			counts.Leaving++
		}
		if closed {
			counts.Closed++
			counts.ClosedConns += conns
		}
	}
	return counts, nil
}

// otherSlots returns the slots of the other processes.
func (p *Processes) otherSlots() (slots []int64, err error) {
	if any, err := p.isLocked(0, maxProcesses); err != nil || !any {
		return nil, err
	}
	for slot := range int64(maxProcesses) {
		runs, err := p.isLocked(slot, 1)
		if err != nil {
			return nil, err
		}
		if runs {
			slots = append(slots, slot)
		}
	}
	return slots, nil
}

// Close ends the registration.
func (p *Processes) Close() error { return p.file.Close() }

// setLock locks or unlocks bytes of the file, without waiting. The locks belong to the open file.
func (p *Processes) setLock(kind int16, offset, bytes int64) error {
	return p.control(unix.F_OFD_SETLK, &unix.Flock_t{Type: kind, Whence: io.SeekStart, Start: offset, Len: bytes})
}

// closedConns reports whether a process accepts no connection any more, and how many it has.
func (p *Processes) closedConns(slot int64) (closed bool, conns int, err error) {
	lock, err := p.getLock(closedOffset(slot), maxConns)
	if err != nil || lock.Type == unix.F_UNLCK {
		return false, 0, err
	}
	return true, int(lock.Len) - 1, nil
}

// isLocked reports whether another process has locked any of some bytes of the file.
func (p *Processes) isLocked(offset, bytes int64) (bool, error) {
	lock, err := p.getLock(offset, bytes)
	return lock.Type != unix.F_UNLCK, err
}

// getLock returns a lock of another process on any of some bytes of the file; its type is F_UNLCK if there is none.
func (p *Processes) getLock(offset, bytes int64) (unix.Flock_t, error) {
	lock := unix.Flock_t{Type: unix.F_WRLCK, Whence: io.SeekStart, Start: offset, Len: bytes}
	err := p.control(unix.F_OFD_GETLK, &lock)
	return lock, err
}

// control calls fcntl, again when a signal interrupts it.
func (p *Processes) control(command int, lock *unix.Flock_t) error {
	for {
		if err := unix.FcntlFlock(p.file.Fd(), command, lock); err != unix.EINTR {
			return err
		}
	}
}
