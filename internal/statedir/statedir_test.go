package statedir

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestLockIsExclusive guards against two processes in one directory, against a stale lock file, left by a dead process,
// that blocks a start, and against a successor that does not get the lock when its predecessor releases it.
func TestLockIsExclusive(t *testing.T) {
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, lockName), nil, 0o600)
	l, err := Lock(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(dir, 0); !errors.Is(err, ErrInUse) {
		t.Fatalf("second lock: error %v, want ErrInUse", err)
	}
	released := make(chan error, 1)
	go func() {
		l, err := Lock(dir, time.Minute) // waits for the predecessor
		if err == nil {
			err = l.Unlock()
		}
		released <- err
	}()
	l.Unlock()
	if err := <-released; err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(filepath.Join(dir, "none"), 0); err == nil {
		t.Error("a directory that does not exist can be locked")
	}
}

// TestSpaceAccounts guards against claims that together exceed the total, against a reservation that blocks a claim or
// that SoftLimit does not exclude, and against a failed claim that does not notify the yielding account.
func TestSpaceAccounts(t *testing.T) {
	s := NewSpace(1000)
	first, second := s.Account(), s.Account()
	second.YieldTo(first)
	second.Reserve(300)
	for _, step := range []struct {
		who   *Account
		bytes int64
		ok    bool
	}{
		{second, 300, true}, {first, 700, true}, {first, 701, false}, {second, 301, false}, {second, 100, true},
		{first, 900, true}, {second, 101, false}, {second, 0, true}, {first, 1000, true}, {first, 1001, false},
	} {
		if got := step.who.Claim(step.bytes); got != step.ok {
			t.Fatalf("step %+v: Claim returned %v", step, got)
		}
		if sum := first.Claimed() + second.Claimed(); sum > 1000 {
			t.Fatalf("%d bytes claimed, more than the total", sum)
		}
	}
	select {
	case <-second.YieldRequested():
	default:
		t.Error("the yielding account was not notified")
	}
	if first.Claim(0); first.SoftLimit() != 700 || first.Limit() != 1000 {
		t.Errorf("soft limit %d, want 700; limit %d, want 1000", first.SoftLimit(), first.Limit())
	}
	if RoundToBlocks(0) != 0 || RoundToBlocks(1) != 512 || RoundToBlocks(512) != 512 || RoundToBlocks(513) != 1024 {
		t.Error("RoundToBlocks does not round up to whole blocks")
	}
}
