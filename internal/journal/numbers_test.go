package journal

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a number that two messages get: after restarts, upgrades and compactions of entries that have ended.
func TestNumbersAreNeverUsedAgain(t *testing.T) {
	reopen := func(closed bool) func(*testing.T, *Journal, string) *Journal {
		return func(t *testing.T, j *Journal, dir string) *Journal {
			if closed {
				j.Close()
			}
			next, _ := open(t, dir, 1<<20)
			return next
		}
	}
	ways := map[string]func(*testing.T, *Journal, string) *Journal{
		"restart": reopen(true),
		"kill":    reopen(false),
		"upgrade": func(t *testing.T, j *Journal, dir string) *Journal {
			successor := openSuccessor(t, dir)
			j.End(accept(t, j, "during the upgrade"), 5)
			j.Close()
			if _, err := successor.TakeOver(); err != nil {
				t.Fatal(err)
			}
			return successor
		},
		"upgrade whose successor dies": func(t *testing.T, j *Journal, dir string) *Journal {
			successor := openSuccessor(t, dir)
			successor.End(accept(t, successor, "of the successor"), 5)
			flush(t, successor)
			j.Close()
			next, _ := open(t, dir, 1<<20)
			return next
		},
		"takeover by another member": func(t *testing.T, j *Journal, dir string) *Journal {
			j.SkipNumbers(j.LastNumber() + 100)
			flush(t, j)
			return reopen(false)(t, j, dir)
		},
	}
	for first, change := range ways {
		for second, changeAgain := range ways {
			t.Run(first+", then "+second, func(t *testing.T) {
				dir := t.TempDir()
				j, _ := open(t, dir, 1<<20)
				j.End(accept(t, j, "m"), 5)
				flush(t, j)
				last := j.LastNumber()
				j = change(t, j, dir)
				last = max(last, j.LastNumber())
				if j = changeAgain(t, j, dir); j.NextNumber() <= last {
					t.Fatalf("number %d is used again, %d was assigned before", j.LastNumber(), last)
				}
			})
		}
	}
}

// Guards against numbers that a file of an earlier version does not show, because its entries had ended.
func TestNumbersOfEarlierVersionAreNotUsedAgain(t *testing.T) {
	dir := t.TempDir()
	e := &Entry{Num: 3, Trace: "held", Deadline: 1}
	os.WriteFile(filepath.Join(dir, fileName), e.appendRecords(nil), 0o600)
	j, list := open(t, dir, 1<<20)
	if n := j.NextNumber(); len(list) != 1 || n < unknownNumberGap {
		t.Errorf("%d entries, next number %d; want one and a number above all that were assigned", len(list), n)
	}
}
