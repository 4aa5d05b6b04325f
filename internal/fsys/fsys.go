// Package fsys abstracts the file operations on a sender's state directory: every operation that changes
// a file there goes through an FS, so that tests can make any of them fail, and simulate a crash between
// any two. It adds no guarantees to those of the operating system.
package fsys

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// FS provides access to the files of one directory, which are named without a path. OS accesses the operating
// system's files, Faulty injects faults.
type FS interface {
	// Read returns a file's contents; the error is fs.ErrNotExist if there is no such file.
	Read(name string) ([]byte, error)
	// Write creates a file or overwrites it in place; with sync the data reaches the disk. After an error the
	// file may hold any part of data.
	Write(name string, data []byte, sync bool) error
	// Append appends to a file, which is created if it does not exist; with sync the data reaches the disk.
	// After an error the file may end with any part of data.
	Append(name string, data []byte, sync bool) error
	// Rename renames a file or a directory, replacing an existing file.
	Rename(from, to string) error
	// Link creates a hard link. A file that exists under the new name is removed first.
	Link(from, to string) error
	// Remove removes a file or an empty directory. It is no error if it does not exist.
	Remove(name string) error
	// Size returns a file's size in bytes, 0 if there is no such regular file.
	Size(name string) int64
	// SyncDir makes renames, links and removals reach the disk.
	SyncDir() error
}

// File is a file that is open for appending.
type File interface {
	// Write appends to the file. After an error the file may end with any part of data.
	Write(data []byte) (int, error)
	// Truncate shortens the file to that many bytes.
	Truncate(size int64) error
	// TryLock locks the file unless it is locked through another File, of any process; it reports whether it did. The
	// lock ends with Unlock, Close or the end of the process.
	TryLock() (bool, error)
	Unlock() error
	Close() error
}

// Tail is a file that is open for reading while another process appends to it or replaces it.
type Tail interface {
	// ReadFrom returns what the file holds from an offset on.
	ReadFrom(offset int64) ([]byte, error)
	// Replaced reports whether the file's name now belongs to another file, or to none.
	Replaced() (bool, error)
	Close() error
}

// Opener is an FS that can keep a file open, for frequent appends.
type Opener interface {
	FS
	// Open opens a file for appending and creates it if it does not exist; truncate empties it.
	Open(name string, truncate bool) (File, error)
	// OpenTail opens a file that another process writes; the error is fs.ErrNotExist if there is no such file.
	OpenTail(name string) (Tail, error)
}

// OS is the FS of the directory Dir of the operating system.
type OS struct{ Dir string }

func (o OS) path(name string) string { return filepath.Join(o.Dir, name) }

// Read implements FS.
func (o OS) Read(name string) ([]byte, error) { return os.ReadFile(o.path(name)) }

// Write implements FS.
func (o OS) Write(name string, data []byte, sync bool) error {
	return o.writeFile(name, os.O_TRUNC, data, sync)
}

func (o OS) writeFile(name string, flags int, data []byte, sync bool) error {
	f, err := os.OpenFile(o.path(name), os.O_WRONLY|os.O_CREATE|flags, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil && sync {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// Open implements Opener.
func (o OS) Open(name string, truncate bool) (File, error) {
	flags := os.O_WRONLY | os.O_CREATE | os.O_APPEND
	if truncate {
		flags |= os.O_TRUNC
	}
	f, err := os.OpenFile(o.path(name), flags, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Append implements FS.
func (o OS) Append(name string, data []byte, sync bool) error {
	return o.writeFile(name, os.O_APPEND, data, sync)
}

// Rename implements FS.
func (o OS) Rename(from, to string) error { return os.Rename(o.path(from), o.path(to)) }

// Link implements FS.
func (o OS) Link(from, to string) error {
	if err := o.Remove(to); err != nil {
		return err
	}
	return os.Link(o.path(from), o.path(to))
}

// Remove implements FS.
func (o OS) Remove(name string) error {
	if err := os.Remove(o.path(name)); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// Size implements FS.
func (o OS) Size(name string) int64 {
	info, err := os.Lstat(o.path(name))
	if err != nil || !info.Mode().IsRegular() {
		return 0
	}
	return info.Size()
}

// SyncDir implements FS.
func (o OS) SyncDir() error {
	d, err := os.Open(o.Dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
