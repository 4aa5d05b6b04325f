// Package timeline keeps one continuous time scale across the process runs of a sender on one machine: deadlines, waits
// and windows stored by an earlier run remain spans of real time, even if the wall clock has been stepped since.
//
// The first run after a boot of the machine starts at the wall clock's time and stores it together with the monotonic
// clock, which all processes of a boot share. Later runs continue from this anchor.
package timeline

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"sliptide/internal/fsys"
	"sliptide/internal/transient"
)

const (
	fileName          = "clock"
	tempName          = fileName + ".new" // anchor being written by Save
	bootIDFile        = "/proc/sys/kernel/random/boot_id"
	saveRetryInterval = time.Second
	readRetryTimeout  = 10 * time.Second // for reading the anchor; long, since deadlines may shift without it
	// DiskBytes is the disk space that the anchor's file and its temporary copy take in the state directory.
	DiskBytes = 1024
)

// Reading is one reading of the clocks.
type Reading struct {
	Wall      float64 // Unix time in milliseconds
	Monotonic int64   // nanoseconds since an arbitrary moment of the current boot
	Boot      string  // boot ID of the system; empty if the system has none
}

// Read reads the clocks. wall is the wall clock in Unix milliseconds.
func Read(wall float64) (Reading, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return Reading{Wall: wall}, fmt.Errorf("read monotonic clock: %w", err)
	}
	boot, err := os.ReadFile(bootIDFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Reading{Wall: wall}, fmt.Errorf("read boot ID: %w", err)
	}
	return Reading{Wall: wall, Monotonic: now.Nano(), Boot: string(bytes.TrimSpace(boot))}, nil
}

// Start returns the time, in Unix milliseconds, at which a process run that begins at now starts. Without a stored
// anchor of this boot, that is the wall clock's time, and anchor is to be saved for later runs; otherwise anchor is
// nil. An error is returned together with the wall clock's time and a new anchor.
func Start(files fsys.FS, now Reading) (start float64, anchor []byte, err error) {
	fresh := fmt.Appendf(nil, "%d %.0f %q\n", now.Monotonic, now.Wall, now.Boot)
	var data []byte
	err = transient.Retry(readRetryTimeout, transient.IsDiskError, func() (err error) {
		data, err = files.Read(fileName)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) {
		return now.Wall, fresh, nil
	}
	if err != nil {
		return now.Wall, fresh, fmt.Errorf("read anchor %s: %w", fileName, err)
	}
	var saved Reading
	if _, err := fmt.Sscanf(string(data), "%d %f %q\n", &saved.Monotonic, &saved.Wall, &saved.Boot); err != nil {
		return now.Wall, fresh, fmt.Errorf("parse anchor %s: %w", fileName, err)
	}
	if saved.Boot != now.Boot || now.Monotonic < saved.Monotonic { // the machine has rebooted
		return now.Wall, fresh, nil
	}
	return saved.Wall + float64(now.Monotonic-saved.Monotonic)/float64(time.Millisecond), nil, nil
}

// Save stores an anchor in the state directory atomically.
func Save(files fsys.FS, anchor []byte) error {
	if err := files.Write(tempName, anchor, false); err != nil {
		return errors.Join(fmt.Errorf("write anchor %s: %w", tempName, err), files.Remove(tempName))
	}
	if err := files.Rename(tempName, fileName); err != nil {
		return fmt.Errorf("replace anchor %s: %w", fileName, err)
	}
	return nil
}

// RetrySave calls Save periodically, first after saveRetryInterval, until it succeeds or stop is closed.
func RetrySave(files fsys.FS, anchor []byte, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(saveRetryInterval):
		}
		if Save(files, anchor) == nil {
			return
		}
	}
}
