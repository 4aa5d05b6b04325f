package fsys

import (
	"os"
	"syscall"
)

// failWhile is what a folder's path is joined with to name a file: while that exists, what is written in the folder fails.
// It is empty but in tests of a disk that fails under the whole program, which set it when they link the program.
var failWhile string

// Folder is the files of a folder of the operating system.
func ForDir(dir string) Opener {
	if failWhile == "" {
		return OS{Dir: dir}
	}
	return &Faulty{FS: OS{Dir: dir}, Inject: failingWhile(dir + failWhile)}
}

// failingWhile fails operations, but for reads, while a file exists: for want of room or with an error of the device, and
// writes after a part of them.
func failingWhile(path string) func(n int, op, name string) Fault {
	return func(n int, op, _ string) Fault {
		if _, err := os.Stat(path); err != nil || op == "read" {
			return Fault{}
		}
		return Fault{Err: []error{syscall.ENOSPC, syscall.EIO}[n%2], BytesWritten: n % 300}
	}
}
