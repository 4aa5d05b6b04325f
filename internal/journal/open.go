package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"time"

	"sliptide/internal/fsys"
	"sliptide/internal/statedir"
	"sliptide/internal/transient"
)

// This file opens journals: at a start, beside a predecessor, and when a successor takes over.

// readRetryTimeout limits how long reading a journal's file is retried at startup.
const readRetryTimeout = 10 * time.Second

// Open replays the journal in dir and compacts it. It returns the live entries
// in the order in which they were accepted. A torn or damaged tail is ignored: its
// records were never acknowledged to a client.
//
// If a successor left a journal of its own behind, its records are merged. They are replayed first: if the
// successor did take over, the main journal holds the later records.
func Open(dir string, account *statedir.Account) (*Journal, []*Entry, error) {
	return OpenFS(fsys.OS{Dir: dir}, account)
}

// OpenFS is like Open, on the given files. If the directory is temporarily not writable, the entries are returned all
// the same, and the first successful Flush catches up on the writes.
func OpenFS(files fsys.Opener, account *statedir.Account) (*Journal, []*Entry, error) {
	j := newJournal()
	j.files, j.name, j.account = files, fileName, account
	// A process that died during a compaction leaves its unfinished file behind; the journals themselves are intact. A
	// file that can't be removed is overwritten by the next compaction.
	files.Remove(fileName + newSuffix)
	files.Remove(successorName + newSuffix)
	successorData, err := readWithRetry(files, successorName)
	if err != nil {
		return nil, nil, err
	}
	data, err := readWithRetry(files, fileName)
	if err != nil {
		return nil, nil, err
	}
	j.replay(successorData)
	ofSuccessor := j.entries()
	j.replay(data)
	if len(ofSuccessor) > 0 {
		predecessor := newJournal()
		predecessor.replay(data)
		j.dropDuplicates(ofSuccessor, predecessor)
	}
	j.skipUnknownNumbers(successorData, data)
	for _, e := range j.live {
		e.endAttempt(true)
	}
	j.size = int64(len(successorData) + len(data))
	if successorData != nil {
		j.superseded = []string{successorName}
	}
	err = j.compact()
	switch {
	case err == nil:
	case !transient.IsDiskError(err):
		return nil, nil, fmt.Errorf("journal: compact: %w", err)
	case successorData == nil && j.file == nil:
		j.reopen()
	}
	j.claimSpace(0, 0)
	j.openIDLock() // tried again by LockIDs
	return j, j.entries(), nil
}

// reopen opens the existing file for appending. The file is read again, because the failed compaction may have replaced
// it all the same. If that fails too, a compaction must come before the next append.
func (j *Journal) reopen() {
	data, err := j.files.Read(j.name)
	if err != nil {
		return
	}
	f, err := j.files.Open(j.name, false)
	if err != nil {
		return
	}
	valid := newJournal().replay(data)
	j.file, j.size, j.torn = f, int64(valid), len(data) > valid
}

// readWithRetry is readFile, retried for up to readRetryTimeout.
func readWithRetry(files fsys.FS, name string) (data []byte, err error) {
	err = transient.Retry(readRetryTimeout, transient.IsDiskError, func() error {
		data, err = readFile(files, name)
		return err
	})
	return data, err
}

// readFile returns a file's contents, nil if the file does not exist.
func readFile(files fsys.FS, name string) ([]byte, error) {
	data, err := files.Read(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("journal: read %s: %w", name, err)
	}
	return data, nil
}

// OpenSuccessor creates the journal of a process that starts while its predecessor still uses the state directory: a
// file of its own, with numbers above all those in the predecessor's journal. If an earlier successor has died before
// it took over, its entries are kept: they are in no other file. They are returned in the order of their numbers.
func OpenSuccessor(files fsys.Opener, account *statedir.Account) (*Journal, []*Entry, error) {
	data, err := readWithRetry(files, fileName)
	if err != nil {
		return nil, nil, err
	}
	left, err := readWithRetry(files, successorName)
	if err != nil {
		return nil, nil, err
	}
	current := newJournal()
	current.replay(data)
	current.skipUnknownNumbers(data)
	j := newJournal()
	j.files, j.name, j.account = files, successorName, account
	j.replay(left)
	for num, e := range j.live {
		e.endAttempt(true)
		if current.live[num] != nil { // the predecessor took over this file, but could not remove it yet
			j.removeLive(num)
		}
	}
	j.nextNumber = max(j.nextNumber, current.nextNumber+successorNumberGap)
	if err := j.compact(); err != nil && !transient.IsDiskError(err) {
		return nil, nil, fmt.Errorf("journal: compact: %w", err)
	}
	j.claimSpace(0, 0)
	j.openIDLock() // tried again by LockIDs
	return j, j.entries(), nil
}

// TakeOver turns a successor's journal into the main journal, once the predecessor has exited: the predecessor's
// entries are merged, and the merged file replaces the main one. Own entries whose IDs the predecessor had taken are no
// longer live. It returns the predecessor's entries, in the order of their numbers; nil if this is the main journal
// already. If the predecessor's file can't be read, it returns an error and changes nothing: it may be called again. If
// the merged file can't be written, the next Flush tries again.
func (j *Journal) TakeOver() ([]*Entry, error) {
	if j.name == fileName {
		return nil, nil
	}
	data, err := readFile(j.files, fileName)
	if err != nil {
		return nil, err
	}
	previous := newJournal()
	previous.replay(data)
	j.dropDuplicates(j.entries(), previous)
	for _, e := range previous.live {
		e.endAttempt(true)
		j.setLive(e)
	}
	j.ids.addAllEnded(&previous.ids)
	j.nextNumber = max(j.nextNumber, previous.nextNumber)
	j.forgetOther()
	j.name, j.superseded = fileName, []string{successorName}
	if err := j.compact(); err != nil { // replaces the predecessor's file atomically
		j.closeFile()
	}
	j.claimSpace(0, 0)
	return previous.entries(), nil
}
