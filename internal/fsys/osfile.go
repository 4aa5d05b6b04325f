package fsys

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"syscall"
)

// osFile is a File of the operating system.
type osFile struct{ *os.File }

// TryLock implements File, by flock.
func (f osFile) TryLock() (bool, error) {
	err := TryLock(f.File)
	if err == syscall.EWOULDBLOCK {
		return false, nil
	}
	return err == nil, err
}

// Unlock implements File.
func (f osFile) Unlock() error { return syscall.Flock(int(f.Fd()), syscall.LOCK_UN) }

// TryLock locks an open file by flock; the error is syscall.EWOULDBLOCK if it is locked through another open file. It is
// repeated when a signal interrupts it.
func TryLock(f *os.File) error {
	for {
		if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != syscall.EINTR {
			return err
		}
	}
}

// osTail is a Tail of the operating system.
type osTail struct {
	*os.File
	path string
}

// OpenTail implements Opener. It finds that there is no such file also while no descriptor is free.
func (o OS) OpenTail(name string) (Tail, error) {
	if _, err := os.Lstat(o.path(name)); err != nil {
		return nil, err
	}
	f, err := os.Open(o.path(name))
	if err != nil {
		return nil, err
	}
	return osTail{f, o.path(name)}, nil
}

// ReadFrom implements Tail.
func (t osTail) ReadFrom(offset int64) ([]byte, error) {
	info, err := t.Stat()
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.NewSectionReader(t.File, offset, max(info.Size()-offset, 0)))
}

// Replaced implements Tail.
func (t osTail) Replaced() (bool, error) {
	opened, err := t.Stat()
	if err != nil {
		return false, err
	}
	named, err := os.Stat(t.path)
	if errors.Is(err, fs.ErrNotExist) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	return !os.SameFile(opened, named), nil
}
