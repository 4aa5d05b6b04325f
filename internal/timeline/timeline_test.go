package timeline

import (
	"syscall"
	"testing"
	"time"

	"sliptide/internal/fsys"
)

// TestTimelineContinuesWithinABoot guards against a start that follows a step of the wall clock, and against one that
// continues from an anchor of another boot. Wall and start are in milliseconds, the monotonic clock is in nanoseconds.
func TestTimelineContinuesWithinABoot(t *testing.T) {
	const minute = int64(time.Minute)
	first := Reading{Wall: 1e12, Monotonic: 5 * minute, Boot: "a"}
	for name, row := range map[string]struct {
		now  Reading
		want float64
	}{
		"wall clock an hour ahead":  {Reading{1e12 + 3600e3, 6 * minute, "a"}, 1e12 + 60e3},
		"wall clock an hour back":   {Reading{1e12 - 3600e3, 6 * minute, "a"}, 1e12 + 60e3},
		"other boot ID":             {Reading{1e12 + 90e3, 6 * minute, "b"}, 1e12 + 90e3},
		"monotonic clock restarted": {Reading{1e12 + 90e3, minute, "a"}, 1e12 + 90e3},
	} {
		files := fsys.OS{Dir: t.TempDir()}
		start, anchor, err := Start(files, first)
		if err != nil || start != first.Wall || Save(files, anchor) != nil {
			t.Fatalf("first run: starts at %f, want its wall clock; error: %v", start, err)
		}
		if start, _, err := Start(files, row.now); err != nil || start != row.want {
			t.Errorf("%s: starts at %f, want %f; error: %v", name, start, row.want, err)
		}
	}
}

// TestAnchorSaveIsRetried guards against an anchor that is never saved because the directory is temporarily not
// writable.
func TestAnchorSaveIsRetried(t *testing.T) {
	dir := t.TempDir()
	failures := 1
	files := &fsys.Faulty{FS: fsys.OS{Dir: dir}, Inject: func(_ int, op, _ string) (f fsys.Fault) {
		if op == "write" && failures > 0 {
			failures--
			f = fsys.Fault{Err: syscall.ENOSPC, BytesWritten: 3}
		}
		return f
	}}
	now := Reading{Wall: 1e12, Monotonic: 1, Boot: "a"}
	_, anchor, err := Start(files, now)
	if err != nil {
		t.Fatal(err)
	}
	if err := Save(files, anchor); err == nil {
		t.Fatal("Save succeeds on a failing disk")
	}
	RetrySave(files, anchor, nil)
	if start, _, err := Start(files, Reading{Wall: 2e12, Monotonic: 1, Boot: "a"}); err != nil || start != now.Wall {
		t.Errorf("starts at %f, want the start of the first run; error: %v", start, err)
	}
}

// TestUnreadableAnchorIsRetried guards against a timeline that restarts, and is overwritten, because its file is
// temporarily unreadable.
func TestUnreadableAnchorIsRetried(t *testing.T) {
	disk := fsys.OS{Dir: t.TempDir()}
	first := Reading{Wall: 1e12, Monotonic: 1, Boot: "a"}
	_, anchor, err := Start(disk, first)
	if err != nil || Save(disk, anchor) != nil {
		t.Fatalf("first run: error %v", err)
	}
	failures := 2
	files := &fsys.Faulty{FS: disk, Inject: func(_ int, op, _ string) (f fsys.Fault) {
		if op == "read" && failures > 0 {
			failures--
			f.Err = syscall.EIO
		}
		return f
	}}
	start, fresh, err := Start(files, Reading{Wall: 2e12, Monotonic: 1, Boot: "a"})
	if err != nil || start != first.Wall || fresh != nil {
		t.Errorf("starts at %f with the new anchor %q, want the start of the first run and no new anchor; error: %v", start, fresh, err)
	}
}
