// Package journal stores the messages that a sender has accepted in its state
// directory: an append-only file of checksummed records, compacted to its live
// entries. Writes are not synced: they survive the death of the process, not the
// loss of the machine. A Journal is not safe for concurrent use.
package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
	"strings"

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

// closeFile closes the file; a compaction must come before the next append.
func (j *Journal) closeFile() {
	if j.file != nil {
		j.file.Close()
		j.file = nil
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
// as one that may have run.
func Replay(records []byte) []*Entry {
	j := newJournal()
	j.replay(records)
	for _, e := range j.live {
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

// compact writes the live entries and holds to a new file, which replaces the old one.
func (j *Journal) compact() error {
	var b []byte
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

// appendAccepted appends the entry as one record. An open attempt is not counted: it has a record of its own.
func (e *Entry) appendAccepted(b []byte) []byte {
	start := len(b)
	b = binary.AppendUvarint(append(b, recAccepted), e.Num)
	for _, s := range []string{e.Trace, e.Key, e.Class, e.Tenant} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	resubmitted, attempts := int64(0), int64(e.Attempts)
	if e.Resubmitted {
		resubmitted = 1
	}
	if e.attemptAt != 0 {
		attempts--
	}
	b = binary.AppendUvarint(b, e.OrderingKey)
	for _, v := range []int64{
		int64(e.Dest), resubmitted, e.Deadline, attempts, e.MayHaveRunAt, int64(e.MayHaveRunZone), int64(e.Ending), e.RetryMS,
	} {
		b = binary.AppendVarint(b, v)
	}
	b = append(b, e.Body...)
	e.recordBytes = int64(len(b)-start) + headerSize
	return b
}

// replay applies the records in data up to the first invalid one, and returns the number of bytes applied.
func (j *Journal) replay(data []byte) (valid int) {
	for {
		n, err := j.replayRecord(data[valid:])
		if err != nil {
			return valid
		}
		valid += int(n)
	}
}

// apply applies one record's payload.
func (j *Journal) apply(payload []byte) error {
	if len(payload) == 0 {
		return errBadRecord
	}
	if !strings.ContainsRune(knownKinds, rune(payload[0])) {
		return nil // written by a later version
	}
	d := decoder{b: payload[1:]}
	if payload[0] == recHold {
		if h := d.hold(); d.err == nil {
			j.applyHold(h)
		}
		return d.err
	}
	if payload[0] == recEndedIDs {
		return j.ids.replayRecord(d.b)
	}
	num := d.uvarint()
	if payload[0] == recLastNumber {
		j.replayLastNumber(num, d.err)
		return d.err
	}
	if payload[0] == recAccepted {
		e := d.entry(num)
		if j.dropBodies {
			e.Body = nil
		}
		if d.err == nil {
			j.setLive(e)
			j.nextNumber = max(j.nextNumber, num+1)
		}
		return d.err
	}
	e := j.live[num]
	if d.err != nil || e == nil {
		return d.err // a record of an ended message has no effect
	}
	switch payload[0] {
	case recStart:
		e.startAttempt(d.varint(), int(d.varint()))
	case recOutcome:
		e.endAttempt(d.varint() != 0)
	case recNoticeOwed:
		e.Ending, e.RetryMS = int(d.varint()), d.varint()
	case recEnd:
		j.replayEnd(e, &d)
	case recConfirmed:
		e.Confirmed = true
	case recTakeover:
		e.TakeoverToken = d.uvarint()
		e.TakeoverDuty = string(d.b)
	case recTraceParent:
		e.TraceParent = string(d.b)
	}
	return d.err
}

// replayEnd applies the end of a live entry. Where its record lacks the time, the deadline is taken for it.
func (j *Journal) replayEnd(e *Entry, d *decoder) {
	j.removeLive(e.Num)
	at := e.Deadline
	if len(d.b) > 0 {
		at = d.varint()
	}
	if at != revokedAt && d.err == nil {
		j.ids.addEnded(idHash(e.Trace), at)
	}
}

// decoder reads the fields of a payload in order. After a failure err is set and further numbers read as 0.
type decoder struct {
	b   []byte
	err error
}

func (d *decoder) entry(num uint64) *Entry {
	e := &Entry{Num: num}
	for _, s := range []*string{&e.Trace, &e.Key, &e.Class, &e.Tenant} {
		*s = d.text()
	}
	e.OrderingKey = d.uvarint()
	e.Dest, e.Resubmitted, e.Deadline = int(d.varint()), d.varint() != 0, d.varint()
	e.Attempts, e.MayHaveRunAt, e.MayHaveRunZone = int(d.varint()), d.varint(), int(d.varint())
	e.Ending, e.RetryMS = int(d.varint()), d.varint()
	e.Body = slices.Clone(d.b)
	return e
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	d.skip(n)
	return v
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.b)
	d.skip(n)
	return v
}

// skip drops n bytes that were decoded; n <= 0 means that decoding the number failed.
func (d *decoder) skip(n int) {
	if n <= 0 {
		d.b, d.err = nil, io.ErrUnexpectedEOF
		return
	}
	d.b = d.b[n:]
}

func (d *decoder) text() string {
	n := d.uvarint()
	if n > uint64(len(d.b)) {
		d.b, d.err = nil, io.ErrUnexpectedEOF
		return ""
	}
	s := string(d.b[:n])
	d.b = d.b[n:]
	return s
}
