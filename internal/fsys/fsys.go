// Package fsys is the seam between a sender's lasting folder and the disk: every operation that changes
// a file there goes through an FS, so that tests can make each of them fail, and end the process between
// any two. It adds nothing to what the operating system promises.
package fsys

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// FS is the files of one folder, named without a path. OS is the real one, Faulty the one that fails.
type FS interface {
	// Read returns a file's bytes; the error is fs.ErrNotExist if there is none.
	Read(name string) ([]byte, error)
	// Write creates or replaces a file in place; with sync it reaches the disk. After an error the
	// file may hold any part of data.
	Write(name string, data []byte, sync bool) error
	// Append adds to the end of a file, which it creates where there is none; with sync it reaches the disk.
	// After an error the file may end with any part of data.
	Append(name string, data []byte, sync bool) error
	// Rename puts a file, or a folder, in the place of another file.
	Rename(from, to string) error
	// Link gives a file a further name, in the place of whatever has it.
	Link(from, to string) error
	// Remove removes a file or an empty folder. One that is not there is no error.
	Remove(name string) error
	// Size is what a file holds in bytes, 0 if there is none.
	Size(name string) int64
	// SyncDir makes renames, links and removals reach the disk.
	SyncDir() error
}

// File is a file that is open to be added to at its end.
type File interface {
	// Write adds to the end of the file. After an error the file may end with any part of data.
	Write(data []byte) (int, error)
	// Truncate cuts the file to that many bytes.
	Truncate(size int64) error
	Close() error
}

// Opener is an FS that leaves a file open, for one that is added to often.
type Opener interface {
	FS
	// Open opens a file to be added to, and creates it where there is none; fresh empties it.
	Open(name string, fresh bool) (File, error)
}

// OS is the folder Dir of the operating system.
type OS struct{ Dir string }

func (o OS) path(name string) string { return filepath.Join(o.Dir, name) }

// Read implements FS.
func (o OS) Read(name string) ([]byte, error) { return os.ReadFile(o.path(name)) }

// Write implements FS.
func (o OS) Write(name string, data []byte, sync bool) error {
	return o.put(name, os.O_TRUNC, data, sync)
}

func (o OS) put(name string, how int, data []byte, sync bool) error {
	f, err := os.OpenFile(o.path(name), os.O_WRONLY|os.O_CREATE|how, 0o600)
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
func (o OS) Open(name string, fresh bool) (File, error) {
	how := os.O_WRONLY | os.O_CREATE | os.O_APPEND
	if fresh {
		how |= os.O_TRUNC
	}
	return os.OpenFile(o.path(name), how, 0o600)
}

// Append implements FS.
func (o OS) Append(name string, data []byte, sync bool) error {
	return o.put(name, os.O_APPEND, data, sync)
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
