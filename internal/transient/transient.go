// Package transient tells errors of system calls that may succeed a moment later from those that will not.
package transient

import (
	"errors"
	"syscall"
	"time"
)

// RetryInterval is the time between two tries.
const RetryInterval = 20 * time.Millisecond

// local are errors of this machine's resources: they say nothing of a peer, or of a file's content.
var local = []error{
	syscall.EAGAIN, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
}

// disk are errors of a folder that can't be written to, or read, for a while.
var disk = []error{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT}

// IsResourceError reports whether err is of a resource of this machine that may be there again in a moment.
func IsResourceError(err error) bool { return anyOf(err, local) }

// IsDialError reports whether a connection failed by a fault on this side, for a moment: nothing was heard of the other.
func IsDialError(err error) bool {
	return IsResourceError(err) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.ENETDOWN)
}

// IsDiskError reports whether err is of a folder that may be read or written again in a while.
func IsDiskError(err error) bool { return IsResourceError(err) || anyOf(err, disk) }

func anyOf(err error, list []error) bool {
	for _, known := range list {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// Retry calls try, RetryInterval apart, until it succeeds, fails otherwise than passing says, or has failed for so long. It
// returns the last error.
func Retry(long time.Duration, passing func(error) bool, try func() error) error {
	for end := time.Now().Add(long); ; time.Sleep(RetryInterval) {
		err := try()
		if err == nil || !passing(err) || !time.Now().Before(end) {
			return err
		}
	}
}
