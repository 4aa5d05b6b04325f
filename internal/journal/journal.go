// Package journal stores the messages that a sender has accepted in its state
// directory: an append-only file of checksummed records, compacted to its live
// entries. Writes are not synced: they survive the death of the process, not the
// loss of the machine. A Journal is not safe for concurrent use.
package journal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"slices"

	"sliptide/internal/fsys"
	"sliptide/internal/statedir"
)

// Values of Entry.Ending: how a message that was not delivered ends.
const (
	EndingNone      = 0
	EndingAbandoned = 1 // failed permanently
	EndingReturned  = 2 // refused: the client may resubmit it
)

// Entry is one accepted message that has not ended, or whose notice has not been accepted yet.
type Entry struct {
	Num         uint64 // the sender's number for the message, never reused
	Trace, Key  string
	Class       string
	Tenant      string
	OrderingKey uint64 // messages with the same key keep their order, in classes that require it; 0: none
	Dest        int
	Resubmitted bool
	Deadline    int64 // Unix time in milliseconds, by the sender's clock
	Body        []byte

	Attempts       int   // attempts started
	MayHaveRunAt   int64 // when the first attempt that may have run was sent, as Deadline; 0: none
	MayHaveRunZone int
	// OutcomeUnknown is set by Replay if the records hold no outcome of the attempt to which MayHaveRunAt and
	// MayHaveRunZone belong: records that are missing may say that it never ran. It is not stored.
	OutcomeUnknown bool
	TraceParent    string // trace context sent by the client, as text; empty: none
	// Confirmed is used with copies: the client was told that the message is accepted. A sender that takes over from
	// this one never sends an unconfirmed message.
	Confirmed     bool
	TakeoverDuty  string // duty of the lost owner in a pending takeover; empty once the fleet has agreed
	TakeoverToken uint64 // fencing token under which that duty was held
	Ending        int    // if not EndingNone, a notice with this ending is owed
	RetryMS       int64  // in that notice: milliseconds after which the client may resubmit the message; 0: unknown

	attemptAt   int64 // when the attempt without an outcome was sent; 0: none
	attemptZone int
	recordBytes int64 // bytes of the records that hold the message and its trace context
}

// Kinds of records.
const (
	recAccepted    = 'T' // the message is accepted; holds the whole entry
	recStart       = 'S' // an attempt starts
	recOutcome     = 'O' // an attempt ended
	recNoticeOwed  = 'N' // a notice is owed from here on
	recEnd         = 'E' // the message has ended, at a time that earlier versions did not record; revokedAt: it was not accepted after all
	recConfirmed   = 'C' // the client is told that the message is accepted
	recTakeover    = 'A' // the message is being taken over from a lost owner; without a duty: the takeover is complete
	recTraceParent = 'P' // trace context of a message; versions that do not know this kind skip it
)

// knownKinds holds all record kinds that this version understands.
const knownKinds = string(recAccepted) + string(recStart) + string(recOutcome) + string(recNoticeOwed) + string(recEnd) +
	string(recConfirmed) + string(recTakeover) + string(recTraceParent) + string(recHold) + string(recEndedIDs) + string(recLastNumber)

const (
	fileName      = "journal"
	successorName = "journal.heir" // journal of a successor process, until it takes over
	newSuffix     = ".new"         // suffix of a file being written by a compaction
	headerSize    = 8              // bytes before a record's payload: its length and its checksum
	blockSize     = 512            // bytes
	// Bytes reserved for the records that a live entry may still write before the next compaction: a start, an
	// outcome and an end come to about 90 bytes.
	entryReserve     = 128
	maxEntryOverhead = 640 // upper bound of an entry's bytes besides its body
	fixedReserve     = 4 * blockSize
)

var errBadRecord = errors.New("bad record")

// Journal is an open journal.
type Journal struct {
	files      fsys.Opener
	name       string            // name of the journal's file
	account    *statedir.Account // disk space claimed for the journal's files
	file       fsys.File         // nil: a compaction must create the file before anything is appended
	size       int64             // bytes of complete records in the file
	torn       bool              // the file may be longer than size and is truncated before the next append
	superseded []string          // files whose records this one contains; removed before the next append
	buf        []byte            // records that the next Flush writes
	live       map[uint64]*Entry // by number
	ids        takenIDs
	other      *follower // reads the journal of the other process of an upgrade
	idLock     fsys.File // the file whose lock guards the IDs in an upgrade; nil: not opened yet
	idsLocked  bool
	dropBodies bool   // entries that are read lose their bodies
	toCopy     []byte // records since the last RecordsToCopy, if copies are enabled
	copying    bool
	holds      map[holdKey]Hold // recorded only if copies are enabled
	liveBytes  int64            // bytes of the live entries in a compacted file
	nextNumber uint64
	// numbersKnown is set if nextNumber is above every number that was ever assigned, not only above those in the file.
	numbersKnown bool
}

// newJournal returns an empty journal without files, for records that are read.
func newJournal() *Journal {
	return &Journal{live: map[uint64]*Entry{}, ids: newTakenIDs(), nextNumber: 1}
}

// setLive adds a live entry, in place of one with the same number.
func (j *Journal) setLive(e *Entry) {
	j.removeLive(e.Num)
	j.live[e.Num] = e
	j.ids.addLive(idHash(e.Trace))
}

// removeLive removes a live entry, if there is one with that number.
func (j *Journal) removeLive(num uint64) {
	if e := j.live[num]; e != nil {
		delete(j.live, num)
		j.ids.removeLive(idHash(e.Trace))
	}
}

func (j *Journal) entries() []*Entry {
	list := make([]*Entry, 0, len(j.live))
	for _, e := range j.live {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *Entry) int {
		if a.Num < b.Num {
			return -1
		}
		return 1
	})
	return list
}

// Accept adds a message.
func (j *Journal) Accept(e *Entry) {
	j.setLive(e)
	start := len(j.buf)
	j.buf = e.appendRecords(j.buf)
	j.captureForCopies(start)
	j.liveBytes += e.recordBytes
}

// appendRecords appends the whole state of a live entry as records.
func (e *Entry) appendRecords(b []byte) []byte {
	b = appendFrame(b, e.appendAccepted)
	if e.TraceParent != "" {
		b = appendFrame(b, e.appendTraceParent)
	}
	if e.TakeoverDuty != "" {
		b = appendFrame(b, e.appendTakeover)
	}
	if e.Confirmed {
		b = appendFrame(b, e.appendConfirmed)
	}
	if e.attemptAt != 0 {
		b = appendFrame(b, func(b []byte) []byte {
			b = binary.AppendUvarint(append(b, recStart), e.Num)
			b = binary.AppendVarint(b, e.attemptAt)
			return binary.AppendVarint(b, int64(e.attemptZone))
		})
	}
	return b
}

func (e *Entry) appendConfirmed(b []byte) []byte {
	return binary.AppendUvarint(append(b, recConfirmed), e.Num)
}

func (e *Entry) appendTakeover(b []byte) []byte {
	b = binary.AppendUvarint(append(b, recTakeover), e.Num)
	return append(binary.AppendUvarint(b, e.TakeoverToken), e.TakeoverDuty...)
}

// Confirm records that the client of a message is told that it is accepted.
func (j *Journal) Confirm(e *Entry) {
	e.Confirmed = true
	j.appendRecord(e.appendConfirmed)
}

// FinishTakeover records that the fleet has agreed that a lost owner's message now belongs to this sender.
func (j *Journal) FinishTakeover(e *Entry) {
	e.TakeoverDuty = ""
	j.appendRecord(e.appendTakeover)
}

// EnableCopies makes the journal collect new records for RecordsToCopy, and keep holds.
func (j *Journal) EnableCopies() { j.copying = true }

// RecordsToCopy returns the records added since the last call, as they are written to the file.
func (j *Journal) RecordsToCopy() []byte {
	records := j.toCopy
	j.toCopy = nil
	return records
}

// Snapshot returns all live entries and holds as records.
func (j *Journal) Snapshot() (records []byte) {
	for _, e := range j.entries() {
		records = e.appendRecords(records)
	}
	for _, h := range j.Holds() {
		records = appendFrame(records, h.appendTo)
	}
	return records
}

// Replay returns the live entries in records copied from another sender's journal. An attempt without an outcome counts
// as one that may have run, see Entry.OutcomeUnknown.
func Replay(records []byte) []*Entry {
	j := newJournal()
	j.replay(records)
	for _, e := range j.live {
		e.OutcomeUnknown = e.attemptAt != 0 && e.MayHaveRunAt == 0
		e.endAttempt(true)
	}
	return j.entries()
}

// Compact returns records for the live entries and holds in records only. An attempt without an outcome remains open.
func Compact(records []byte) []byte {
	j := newJournal()
	j.replay(records)
	return j.Snapshot()
}

// LiveBytes returns the size of the live entries in a compacted file.
func (j *Journal) LiveBytes() int64 { return j.liveBytes }

// appendTraceParent appends the trace context as a record.
func (e *Entry) appendTraceParent(b []byte) []byte {
	start := len(b)
	b = append(binary.AppendUvarint(append(b, recTraceParent), e.Num), e.TraceParent...)
	e.recordBytes += int64(len(b)-start) + headerSize
	return b
}

// Size returns the size of the file in bytes, including the records that the next Flush writes.
func (j *Journal) Size() int64 { return j.size + int64(len(j.buf)) }

// StartAttempt records the start of an attempt. The record must be flushed before the attempt's first byte is sent.
func (j *Journal) StartAttempt(e *Entry, at int64, zone int) {
	e.startAttempt(at, zone)
	j.appendRecord(func(b []byte) []byte {
		b = binary.AppendUvarint(append(b, recStart), e.Num)
		b = binary.AppendVarint(b, at)
		return binary.AppendVarint(b, int64(zone))
	})
}

// EndAttempt records the outcome of the open attempt.
func (j *Journal) EndAttempt(e *Entry, mayHaveRun bool) {
	e.endAttempt(mayHaveRun)
	j.appendRecord(func(b []byte) []byte {
		flag := byte(0)
		if mayHaveRun {
			flag = 1
		}
		return append(binary.AppendUvarint(append(b, recOutcome), e.Num), flag)
	})
}

// OweNotice records that a message ends undelivered and that a notice about it is owed.
func (j *Journal) OweNotice(e *Entry, ending int, retryMS int64) {
	e.Ending, e.RetryMS = ending, retryMS
	j.appendRecord(func(b []byte) []byte {
		b = binary.AppendUvarint(append(b, recNoticeOwed), e.Num)
		b = binary.AppendVarint(b, int64(ending))
		return binary.AppendVarint(b, retryMS)
	})
}

// End records that a message has ended at a time, in milliseconds of the sender's clock. Its ID stays taken for
// idRetentionMS. An entry that is not live, or has been replaced, is left alone.
func (j *Journal) End(e *Entry, at int64) {
	if !j.remove(e, at) {
		return
	}
	j.ids.expire(at)
	j.ids.addEnded(idHash(e.Trace), at)
}

// Revoke records that a message was not accepted after all: its client was refused, or has gone without an answer. Its
// ID is free. An entry that is not live, or has been replaced, is left alone.
func (j *Journal) Revoke(e *Entry) { j.remove(e, revokedAt) }

// remove removes a live entry and records its end. It reports whether the entry was live.
func (j *Journal) remove(e *Entry, at int64) bool {
	if j.live[e.Num] != e {
		return false
	}
	j.removeLive(e.Num)
	j.liveBytes -= e.recordBytes
	j.appendRecord(func(b []byte) []byte {
		b = binary.AppendUvarint(append(b, recEnd), e.Num)
		return binary.AppendVarint(b, at)
	})
	return true
}

func (e *Entry) startAttempt(at int64, zone int) {
	e.endAttempt(true)
	e.Attempts++
	e.attemptAt, e.attemptZone = at, zone
}

// endAttempt closes the open attempt, if any. mayHaveRun must be true also for an attempt whose outcome is unknown. The
// entry keeps only the first attempt that may have run.
func (e *Entry) endAttempt(mayHaveRun bool) {
	if e.attemptAt != 0 && mayHaveRun && e.MayHaveRunAt == 0 {
		e.MayHaveRunAt, e.MayHaveRunZone = e.attemptAt, e.attemptZone
	}
	e.attemptAt = 0
}

// appendRecord adds one record to the buffer.
func (j *Journal) appendRecord(encode func([]byte) []byte) {
	start := len(j.buf)
	j.buf = appendFrame(j.buf, encode)
	j.captureForCopies(start)
}

// captureForCopies collects the buffered records from the offset from on for RecordsToCopy, if copies are enabled.
func (j *Journal) captureForCopies(from int) {
	if j.copying {
		j.toCopy = append(j.toCopy, j.buf[from:]...)
	}
}

// appendFrame appends one record to b: its header and the payload that encode appends.
func appendFrame(b []byte, encode func([]byte) []byte) []byte {
	start := len(b)
	b = encode(append(b, make([]byte, headerSize)...))
	payload := b[start+headerSize:]
	binary.BigEndian.PutUint32(b[start:], uint32(len(payload)))
	binary.BigEndian.PutUint32(b[start+4:], crc32.ChecksumIEEE(payload))
	return b
}
