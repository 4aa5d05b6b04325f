// Package transient distinguishes errors of system calls that may succeed shortly afterwards from permanent ones.
package transient

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// RetryInterval is the time to wait after a transient error before the next attempt.
const RetryInterval = 20 * time.Millisecond

// resourceErrors are errors of this machine's resources: they say nothing about a peer, or about a file's content.
var resourceErrors = []error{
	syscall.EAGAIN, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
}

// diskErrors are errors of a directory that temporarily can't be written or read.
var diskErrors = []error{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT}

// IsResourceError reports whether err comes from a resource of this machine that may be available again shortly.
func IsResourceError(err error) bool { return isAny(err, resourceErrors) }

// IsDialError reports whether a connection failed by a transient fault on this side, which says nothing about the peer.
func IsDialError(err error) bool {
	return IsResourceError(err) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.ENETDOWN)
}

// IsDiskError reports whether err comes from a directory that may be readable or writable again after a while.
func IsDiskError(err error) bool { return IsResourceError(err) || isAny(err, diskErrors) }

func isAny(err error, targets []error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// Retry calls op until it succeeds, it fails with an error that is not retryable, or timeout has passed, and waits for
// RetryInterval between two calls. It returns the last error.
func Retry(timeout time.Duration, retryable func(error) bool, op func() error) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(RetryInterval) {
		err := op()
		if err == nil || !retryable(err) || !time.Now().Before(deadline) {
			return err
		}
	}
}

// RetryAll calls op until it succeeds or ctx ends, whatever its errors are, and waits for RetryInterval between two
// calls. It passes each error to report. It returns the last error, nil after a success.
func RetryAll(ctx context.Context, report func(error), op func() error) error {
	for {
		err := op()
		if err == nil {
			return nil
		}
		report(err)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(RetryInterval):
		}
	}
}
