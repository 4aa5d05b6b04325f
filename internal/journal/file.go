package journal

import (
	"errors"
	"fmt"
)

// This file writes the journal's file, and claims the disk space that the file may need.

// closeFile closes the file; a compaction must come before the next append.
func (j *Journal) closeFile() {
	if j.file != nil {
		j.file.Close()
		j.file = nil
	}
}

// HasSpace reports whether an entry with a body of that size may be accepted. The
// file, the pending records and a compacted copy must fit the disk space together at
// all times: otherwise a burst of large messages could leave no space to compact.
// It compacts the file if that makes room.
func (j *Journal) HasSpace(bodyBytes int) bool {
	entryBytes := int64(bodyBytes) + maxEntryOverhead
	if j.claimSpace(entryBytes, 1) {
		return true
	}
	return j.minClaim(entryBytes, 1) <= j.account.Limit() && j.compact() == nil && j.claimSpace(entryBytes, 1)
}

// claimSpace claims the disk space that the file and a compacted copy may need with newEntries further entries, of
// entryBytes in total. It fails if a compaction would free enough space, or if the space is not available; in the
// second case the account that shares the directory is asked to yield.
func (j *Journal) claimSpace(entryBytes int64, newEntries int) bool {
	minimum := j.minClaim(entryBytes, newEntries)
	limit := j.account.SoftLimit() // records of ended messages must not displace the directory's other files
	if minimum > limit {
		limit = j.account.Limit() // live entries may displace them
	}
	wanted := j.size + int64(len(j.buf)) + j.liveBytes + j.ids.fileBytes() + 2*entryBytes + j.smallRecordReserve(newEntries) + fixedReserve
	if minimum <= limit && wanted > limit {
		return false
	}
	return j.account.Claim(max(minimum, wanted))
}

// minClaim returns the disk space needed after a compaction, with a tenth to spare.
func (j *Journal) minClaim(entryBytes int64, newEntries int) int64 {
	return (2*(j.liveBytes+j.ids.fileBytes()+entryBytes)+j.smallRecordReserve(newEntries))*10/9 + fixedReserve
}

// smallRecordReserve returns the bytes that the live entries, newEntries more, and the holds may still take in small
// records.
func (j *Journal) smallRecordReserve(newEntries int) int64 {
	return int64(len(j.live)+newEntries)*entryReserve + 2*int64(len(j.holds))*maxHoldBytes
}

// Flush writes the records added since the last call. After an error all of them are kept for the next call, and the
// file is truncated to its previous length, at the latest before the next append.
func (j *Journal) Flush() error {
	if len(j.buf) == 0 && j.file != nil {
		return nil
	}
	if err := j.flush(); err != nil {
		return fmt.Errorf("journal: flush: %w", err)
	}
	return nil
}

func (j *Journal) flush() error {
	if j.file == nil || !j.claimSpace(0, 0) {
		return j.compact() // the compacted file includes the pending records
	}
	if err := j.repair(); err != nil {
		return err
	}
	n, err := j.file.Write(j.buf)
	if err != nil {
		j.torn = j.torn || n > 0 // an incomplete record would hide all records after it
		return errors.Join(err, j.repair())
	}
	j.size += int64(n)
	j.buf = j.buf[:0]
	return nil
}

// Torn reports whether the file may contain part of what the last Flush failed to write. If the process is killed in
// this state, the next start replays the complete records of that part.
func (j *Journal) Torn() bool { return j.torn }

// repair prepares the files for an append: the journal then ends with a complete record, and superseded files are
// removed.
func (j *Journal) repair() error {
	if j.torn {
		if err := j.file.Truncate(j.size); err != nil {
			return err
		}
		j.torn = false
	}
	for len(j.superseded) > 0 {
		if err := j.files.Remove(j.superseded[0]); err != nil {
			return err
		}
		j.superseded = j.superseded[1:]
	}
	return nil
}

// compactedBytes returns about the size of a compacted file.
func (j *Journal) compactedBytes() int64 {
	return j.liveBytes + j.ids.fileBytes() + j.smallRecordReserve(0) + fixedReserve
}

// compact writes the live entries and holds to a new file, which replaces the old one.
func (j *Journal) compact() error {
	b := make([]byte, 0, j.compactedBytes()) // at once: growing it would take several times its size
	j.liveBytes = 0
	for _, e := range j.entries() {
		b = e.appendRecords(b)
		j.liveBytes += e.recordBytes
	}
	for _, h := range j.Holds() {
		b = appendFrame(b, h.appendTo)
	}
	b = j.ids.appendRecord(b)
	b = appendFrame(b, j.appendLastNumber)
	tempName := j.name + newSuffix
	f, err := j.files.Open(tempName, true)
	if err != nil {
		return err
	}
	if _, err := f.Write(b); err != nil {
		return errors.Join(err, f.Close(), j.files.Remove(tempName))
	}
	if err := j.files.Rename(tempName, j.name); err != nil {
		j.closeFile() // the rename may have taken effect in spite of the error
		return errors.Join(err, f.Close(), j.files.Remove(tempName))
	}
	j.closeFile()
	j.file, j.size, j.torn, j.buf = f, int64(len(b)), false, j.buf[:0]
	return j.repair()
}

// Close flushes the pending records and closes the file.
func (j *Journal) Close() error {
	err := j.Flush()
	j.forgetOther()
	j.closeIDLock()
	if j.file != nil {
		err = errors.Join(err, j.file.Close())
	}
	return err
}
