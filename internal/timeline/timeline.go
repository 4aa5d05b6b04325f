// Package timeline keeps one timeline over the lives of a sender on one machine: deadlines, waits and windows that an
// earlier process has written down are spans of real time, whatever has become of the wall clock since.
//
// The first life on a boot of the machine takes its start from the wall clock and notes it beside the monotonic clock,
// which all processes of a boot share. Later lives go on from there.
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
	fileName  = "clock"
	newName   = fileName + ".new"
	bootFile  = "/proc/sys/kernel/random/boot_id"
	retryFile = time.Second
	readFor   = 10 * time.Second // an anchor that can't be read is tried so long: without it deadlines move
	// Room is the bytes that the anchor's file and its copy take in the folder.
	DiskBytes = 1024
)

// Reading is one look at the clocks.
type Reading struct {
	Wall      float64 // Unix time in milliseconds
	Monotonic int64   // nanoseconds since some moment of the boot
	Boot      string  // which boot; empty where the system does not tell
}

// Read reads the clocks. wall is the wall clock in Unix milliseconds.
func Read(wall float64) (Reading, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return Reading{Wall: wall}, fmt.Errorf("monotonic clock: %w", err)
	}
	boot, err := os.ReadFile(bootFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Reading{Wall: wall}, fmt.Errorf("boot id: %w", err)
	}
	return Reading{Wall: wall, Monotonic: now.Nano(), Boot: string(bytes.TrimSpace(boot))}, nil
}

// Start is the time, in Unix milliseconds, at which a life that begins at now starts. Where the folder has no anchor of
// this boot, it is the wall clock's, and anchor is what is to be kept for later lives; else anchor is nil. After an
// error the wall clock's time and a fresh anchor are returned with it.
func Start(files fsys.FS, now Reading) (start float64, anchor []byte, err error) {
	fresh := fmt.Appendf(nil, "%d %.0f %q\n", now.Monotonic, now.Wall, now.Boot)
	var text []byte
	err = transient.Retry(readFor, transient.IsDiskError, func() (err error) {
		text, err = files.Read(fileName)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) {
		return now.Wall, fresh, nil
	}
	if err != nil {
		return now.Wall, fresh, fmt.Errorf("%s: %w", fileName, err)
	}
	var was Reading
	if _, err := fmt.Sscanf(string(text), "%d %f %q\n", &was.Monotonic, &was.Wall, &was.Boot); err != nil {
		return now.Wall, fresh, fmt.Errorf("%s: %w", fileName, err)
	}
	if was.Boot != now.Boot || now.Monotonic < was.Monotonic { // the machine has started again
		return now.Wall, fresh, nil
	}
	return was.Wall + float64(now.Monotonic-was.Monotonic)/float64(time.Millisecond), nil, nil
}

// Keep puts an anchor into the folder, whole or not at all.
func Save(files fsys.FS, anchor []byte) error {
	if err := files.Write(newName, anchor, false); err != nil {
		return errors.Join(fmt.Errorf("%s: %w", newName, err), files.Remove(newName))
	}
	if err := files.Rename(newName, fileName); err != nil {
		return fmt.Errorf("%s: %w", fileName, err)
	}
	return nil
}

// KeepTrying calls Keep, a moment apart, until it succeeds or stop is closed.
func RetrySave(files fsys.FS, anchor []byte, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(retryFile):
		}
		if Save(files, anchor) == nil {
			return
		}
	}
}
