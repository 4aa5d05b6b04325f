package journal

import (
	"errors"
	"io/fs"

	"sliptide/internal/fsys"
)

// maxReopens limits how often one update opens a file that the other process keeps replacing.
const maxReopens = 3

var errReplaced = errors.New("journal: the other process keeps replacing its file")

// follower reads which IDs are taken by the other process of an upgrade, from the journal that it writes.
type follower struct {
	files  fsys.Opener
	name   string
	tail   fsys.Tail // nil: not open
	offset int64     // bytes of tail that were read
	seen   *Journal  // the state after the records read so far, without bodies
}

func newFollower(files fsys.Opener, name string) *follower {
	f := &follower{files: files, name: name}
	f.seen = f.emptyState()
	return f
}

func (f *follower) emptyState() *Journal {
	state := newJournal()
	state.dropBodies = true
	return state
}

// update reads what the other process has written since the last update. It is no error if there is no such file.
func (f *follower) update() error {
	for range maxReopens {
		if f.tail == nil {
			opened, err := f.files.OpenTail(f.name)
			if errors.Is(err, fs.ErrNotExist) {
				return nil
			}
			if err != nil {
				return err
			}
			if err := f.readAnew(opened); err != nil {
				return err
			}
		} else if err := f.read(); err != nil {
			return err
		}
		replaced, err := f.tail.Replaced()
		if err != nil || !replaced {
			return err
		}
		f.close()
	}
	return errReplaced
}

// read applies the records that were added to the open file.
func (f *follower) read() error {
	data, err := f.tail.ReadFrom(f.offset)
	if err != nil {
		return err
	}
	f.offset += int64(f.seen.replay(data))
	return nil
}

// readAnew reads a file that has replaced the one before. The IDs of entries that it lacks stay taken: an earlier
// version keeps no IDs of ended entries.
func (f *follower) readAnew(opened fsys.Tail) error {
	before := f.seen
	f.tail, f.offset, f.seen = opened, 0, f.emptyState()
	if err := f.read(); err != nil {
		f.seen = before
		f.close()
		return err
	}
	for _, id := range before.ids.endedInOrder() {
		f.keepTaken(id.hash, id.at)
	}
	for _, e := range before.live {
		f.keepTaken(idHash(e.Trace), e.Deadline)
	}
	return nil
}

func (f *follower) keepTaken(hash uint64, at int64) {
	if !f.seen.ids.has(hash) {
		f.seen.ids.addEnded(hash, at)
	}
}

func (f *follower) close() {
	if f.tail != nil {
		f.tail.Close()
		f.tail = nil
	}
}
