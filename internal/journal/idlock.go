package journal

import (
	"errors"
	"fmt"
	"slices"
)

// In an upgrade two processes accept messages at the same time, each into a journal of its own. Neither may accept an ID
// that the other has taken. Each therefore holds a lock from the moment at which it reads the other's journal until its
// own records are written.

// idLockName names the file whose lock guards the IDs. It is empty.
const idLockName = "lock.ids"

// ErrIDsLocked is returned by LockIDs while the other process of an upgrade holds the lock.
var ErrIDsLocked = errors.New("journal: the other process is accepting messages")

// LockIDs begins to accept messages: until UnlockIDs, IDTaken also covers what another process of this sender has
// accepted, and that process accepts nothing. It does not block: after an error it is to be called again later.
func (j *Journal) LockIDs() error {
	if j.idsLocked {
		return nil
	}
	if err := j.openIDLock(); err != nil {
		return fmt.Errorf("journal: open %s: %w", idLockName, err)
	}
	locked, err := j.idLock.TryLock()
	if err != nil {
		return fmt.Errorf("journal: lock %s: %w", idLockName, err)
	}
	if !locked {
		return ErrIDsLocked
	}
	j.idsLocked = true
	if err := j.readOther(); err != nil {
		j.UnlockIDs()
		return fmt.Errorf("journal: read the other process's journal: %w", err)
	}
	return nil
}

// UnlockIDs ends what LockIDs began, once the records of the accepted messages are written.
func (j *Journal) UnlockIDs() {
	if !j.idsLocked {
		return
	}
	j.idsLocked = false
	if err := j.idLock.Unlock(); err != nil { // closing the file ends the lock as well
		j.closeIDLock()
	}
}

// IDTaken reports whether a live entry has the ID, or one that ended within the time for which IDs are remembered.
func (j *Journal) IDTaken(trace string) bool {
	hash := idHash(trace)
	return j.ids.has(hash) || j.other != nil && j.other.seen.ids.has(hash)
}

// IsLive reports whether an entry has neither ended nor been replaced.
func (j *Journal) IsLive(e *Entry) bool { return j.live[e.Num] == e }

func (j *Journal) openIDLock() (err error) {
	if j.idLock == nil {
		j.idLock, err = j.files.Open(idLockName, false)
	}
	return err
}

func (j *Journal) closeIDLock() {
	if j.idLock != nil {
		j.idLock.Close()
		j.idLock = nil
	}
}

// readOther reads what the other process of an upgrade has accepted, if there is one.
func (j *Journal) readOther() error {
	if slices.Contains(j.superseded, successorName) { // the file that this process wrote before it took over
		return nil
	}
	if j.other == nil {
		j.other = newFollower(j.files, j.otherName())
	}
	return j.other.update()
}

func (j *Journal) otherName() string {
	if j.name == successorName {
		return fileName
	}
	return successorName
}

// forgetOther ends the reading of the other process's journal.
func (j *Journal) forgetOther() {
	if j.other != nil {
		j.other.close()
		j.other = nil
	}
}

// dropDuplicates removes the entries of a successor whose IDs its predecessor had taken: to clients and the platform they
// are one message, and the predecessor may have sent it. Entries that are in both journals are kept.
func (j *Journal) dropDuplicates(successor []*Entry, predecessor *Journal) {
	for _, e := range successor {
		if e.Ending == EndingNone && predecessor.live[e.Num] == nil && predecessor.ids.has(idHash(e.Trace)) {
			j.removeLive(e.Num)
		}
	}
}
