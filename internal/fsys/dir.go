package fsys

import (
	"os"
	"syscall"
)

// failWhile is a suffix that, appended to a directory's path, names a marker file: while it exists, every operation in
// the directory but a read fails. It is empty in production; tests of the whole program on a failing disk set it at
// link time.
var failWhile string

// ForDir returns the FS of a directory of the operating system.
func ForDir(dir string) Opener {
	if failWhile == "" {
		return OS{Dir: dir}
	}
	return &Faulty{FS: OS{Dir: dir}, Inject: failWhileExists(dir + failWhile)}
}

// failWhileExists returns an injector that makes all operations but reads fail while the file at path exists: with
// ENOSPC and EIO in turn, and writes after a part of their data.
func failWhileExists(path string) func(n int, op, name string) Fault {
	return func(n int, op, _ string) Fault {
		if _, err := os.Stat(path); err != nil || op == "read" {
			return Fault{}
		}
		return Fault{Err: []error{syscall.ENOSPC, syscall.EIO}[n%2], BytesWritten: n % 300}
	}
}
