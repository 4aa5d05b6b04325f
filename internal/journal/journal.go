// Package journal keeps what a sender has taken on in a folder that outlasts its
// process: an append-only file of checksummed records, compacted to its live
// entries. Nothing is synced: what was written outlasts the process, not the
// machine. A Journal is not safe for concurrent use.
package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"slices"
	"strings"
	"time"

	"sliptide/internal/fsys"
	"sliptide/internal/statedir"
	"sliptide/internal/transient"
)

// How a message that was not delivered ends.
const (
	EndingNone      = 0
	EndingAbandoned = 1 // failed for good
	EndingReturned  = 2 // refused: it may be handed in again
)

// Entry is one message that was taken on and is not over.
type Entry struct {
	Num         uint64 // the sender's number for it, never used again
	Trace, Key  string
	Class       string
	Tenant      string
	OrderingKey uint64
	Dest        int
	Resubmitted bool
	Deadline    int64 // Unix time in milliseconds
	Body        []byte

	Attempts       int
	MayHaveRunAt   int64 // when the first attempt that may have run was sent; 0 = none
	MayHaveRunZone int
	TraceParent    string // the trace context that its client sent, as text; empty: none
	Confirmed      bool   // its client was told that it is taken on, where copies are kept: else an heir never sends it
	TakeoverDuty   string // the duty of a lost owner that it is taken over from; empty once the fleet has agreed
	TakeoverToken  uint64 // with which that duty was held
	Ending         int    // its notice is owed, and says so
	RetryMS        int64

	openAt   int64 // when the attempt without an outcome was sent; 0 = none
	openZone int
	size     int64
}

// The records.
const (
	recTaken   = 'T' // a whole entry
	recStart   = 'S' // an attempt begins
	recOutcome = 'O' // an attempt ended
	recEnding  = 'N' // the notice that is owed from here on
	recEnd     = 'E' // the message is over
	recSure    = 'C' // its client is told that it is taken on
	recOrigin  = 'A' // it is being taken over from a lost owner; without a name: it has been
	recParent  = 'P' // the trace context of a message; a version that does not know it passes it over
)

// kinds are all that this version knows.
const kinds = string(recTaken) + string(recStart) + string(recOutcome) + string(recEnding) + string(recEnd) + string(recSure) +
	string(recOrigin) + string(recParent) + string(recHold)

const (
	fileName = "journal"
	heirName = "journal.heir" // of a new version started beside the present one, until it takes over
	copyEnd  = ".new"         // a compacted copy is the file's name with this
	headSize = 8
	block    = 512
	// What a live entry may still write before the file is compacted: a start, an outcome
	// and an end come to about 90 bytes.
	entrySlack = 128
	takenSlack = 640 // bounds what an entry takes besides its body
	spare      = 4 * block
)

var errRecord = errors.New("bad record")

// Journal is an open journal.
type Journal struct {
	files  fsys.Opener
	name   string            // of the file
	room   *statedir.Account // what all files may take
	f      fsys.File         // nil: a compaction has to come first
	size   int64             // of what is whole in the file
	torn   bool              // the file may hold more than size: it is cut before anything is added
	merged []string          // files whose records this one has; they go before anything is added
	buf    []byte
	live   map[uint64]*Entry
	tap    []byte // the records since the last Tapped, where they are wanted
	tapped bool
	holds  map[holdKey]Hold // of a journal that is copied
	used   int64            // bytes that the live entries take in a fresh file
	next   uint64
}

// readFor is how long a file that can't be read is tried again at a start.
const readFor = 10 * time.Second

// Open replays the journal in dir and compacts it. It returns the live entries
// in the order in which they were taken. A torn or damaged tail is left out: it
// was never answered for.
//
// A journal that a new version left beside it, and did not take over, is taken in too: first, since where
// it did take over, the journal holds what came after.
func Open(dir string, room *statedir.Account) (*Journal, []*Entry, error) {
	return OpenFS(fsys.OS{Dir: dir}, room)
}

// OpenIn is Open on the files of a folder. Where the folder can't be written to for a while, what it holds is returned
// all the same, and the first Flush that succeeds makes up for it.
func OpenFS(files fsys.Opener, room *statedir.Account) (*Journal, []*Entry, error) {
	j := &Journal{files: files, name: fileName, room: room, live: map[uint64]*Entry{}, next: 1}
	// Copies that were not finished when the process died; the journals themselves are whole. One that can't be removed
	// is written over by the next compaction.
	files.Remove(fileName + copyEnd)
	files.Remove(heirName + copyEnd)
	left, err := read(files, heirName)
	if err != nil {
		return nil, nil, err
	}
	text, err := read(files, fileName)
	if err != nil {
		return nil, nil, err
	}
	j.replay(left)
	j.replay(text)
	for _, e := range j.live {
		e.settle(true)
	}
	j.size = int64(len(left) + len(text))
	if left != nil {
		j.merged = []string{heirName}
	}
	err = j.compact()
	switch {
	case err == nil:
	case !transient.IsDiskError(err):
		return nil, nil, fmt.Errorf("journal: %w", err)
	case left == nil && j.f == nil:
		j.goOn()
	}
	j.claim(0, 0)
	return j, j.entries(), nil
}

// goOn opens the file as it is, to be added to. It is read once more: the compaction that failed may have replaced it all
// the same. Where that fails too, a compaction has to come first.
func (j *Journal) goOn() {
	text, err := j.files.Read(j.name)
	if err != nil {
		return
	}
	f, err := j.files.Open(j.name, false)
	if err != nil {
		return
	}
	whole := (&Journal{live: map[uint64]*Entry{}}).replay(text)
	j.f, j.size, j.torn = f, int64(whole), len(text) > whole
}

// read returns a file's bytes, nil if there is none.
func read(files fsys.FS, name string) (text []byte, err error) {
	err = transient.Retry(readFor, transient.IsDiskError, func() error {
		text, err = files.Read(name)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("journal: %s: %w", name, err)
	}
	return text, nil
}

// heirGap keeps the numbers of a new version's messages apart from those of the present one, which go on
// while both run.
const heirGap = 1 << 32

// OpenHeir starts the journal of a new version that starts while the present one still works in the folder: a
// file of its own, empty, whose numbers lie above all that the present one's journal has used.
func OpenSuccessor(files fsys.Opener, room *statedir.Account) (*Journal, error) {
	text, err := read(files, fileName)
	if err != nil {
		return nil, err
	}
	seen := &Journal{live: map[uint64]*Entry{}, next: 1}
	seen.replay(text)
	j := &Journal{files: files, name: heirName, room: room, live: map[uint64]*Entry{}, next: seen.next + heirGap}
	if err := j.compact(); err != nil && !transient.IsDiskError(err) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j.claim(0, 0)
	return j, nil
}

// TakeOver makes the journal of a new version the journal, once the present one has left: what that one
// held joins this file, which takes the journal's place. It returns the entries that joined, in order. Where the folder
// can't be written to for a while, nothing is noted until it can.
func (j *Journal) TakeOver() ([]*Entry, error) {
	if j.name == fileName {
		return nil, nil
	}
	text, err := read(j.files, fileName)
	if err != nil {
		return nil, err
	}
	left := &Journal{live: map[uint64]*Entry{}, next: 1}
	left.replay(text)
	for _, e := range left.live {
		e.settle(true)
		j.live[e.Num] = e
	}
	j.name, j.merged = fileName, []string{heirName}
	if err := j.compact(); err != nil { // the copy takes the old journal's place, whole
		if !transient.IsDiskError(err) {
			return nil, fmt.Errorf("journal: %w", err)
		}
		j.drop()
	}
	j.claim(0, 0)
	return left.entries(), nil
}

// drop lets go of the file: a compaction has to come first.
func (j *Journal) drop() {
	if j.f != nil {
		j.f.Close()
		j.f = nil
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

// Next returns a number that no entry has had.
func (j *Journal) NextNumber() uint64 {
	j.next++
	return j.next - 1
}

// Room reports whether a further entry of that size may be taken. The file, what
// is to be added to it and a compacted copy must fit the room together at any
// time: a burst of large messages could otherwise leave no room for the copy.
func (j *Journal) HasSpace(body int) bool {
	need := int64(body) + takenSlack
	if j.claim(need, 1) {
		return true
	}
	return j.least(need, 1) <= j.room.Limit() && j.compact() == nil && j.claim(need, 1)
}

// claim claims what the file and a compacted copy may take with a further entry of that size. It fails
// where a compaction would make room, or nothing would: then whoever shares the folder is asked for some.
func (j *Journal) claim(need int64, more int) bool {
	least := j.least(need, more)
	limit := j.room.SoftLimit() // records that are over must not crowd out what else lies in the folder
	if least > limit {
		limit = j.room.Limit() // live ones may
	}
	whole := j.size + int64(len(j.buf)) + j.used + 2*need + j.slack(more) + spare
	if least <= limit && whole > limit {
		return false
	}
	return j.room.Claim(max(least, whole))
}

// least is what the folder must have room for after a compaction, with a tenth to spare.
func (j *Journal) least(need int64, more int) int64 {
	return (2*(j.used+need)+j.slack(more))*10/9 + spare
}

// slack is what the live entries, and some more, may still write in small records.
func (j *Journal) slack(more int) int64 {
	return int64(len(j.live)+more)*entrySlack + 2*int64(len(j.holds))*holdSlack
}

// Take adds a message.
func (j *Journal) Accept(e *Entry) {
	j.live[e.Num] = e
	at := len(j.buf)
	j.buf = e.frames(j.buf)
	j.copy(at)
	j.used += e.size
}

// frames appends all that is known of a live entry, as records.
func (e *Entry) frames(b []byte) []byte {
	b = frame(b, e.taken)
	if e.TraceParent != "" {
		b = frame(b, e.parent)
	}
	if e.TakeoverDuty != "" {
		b = frame(b, e.origin)
	}
	if e.Confirmed {
		b = frame(b, e.sure)
	}
	if e.openAt != 0 {
		b = frame(b, func(b []byte) []byte {
			b = binary.AppendUvarint(append(b, recStart), e.Num)
			b = binary.AppendVarint(b, e.openAt)
			return binary.AppendVarint(b, int64(e.openZone))
		})
	}
	return b
}

func (e *Entry) sure(b []byte) []byte { return binary.AppendUvarint(append(b, recSure), e.Num) }

func (e *Entry) origin(b []byte) []byte {
	b = binary.AppendUvarint(append(b, recOrigin), e.Num)
	return append(binary.AppendUvarint(b, e.TakeoverToken), e.TakeoverDuty...)
}

// Confirm notes that the client of a message is told that it is taken on.
func (j *Journal) Confirm(e *Entry) {
	e.Confirmed = true
	j.append(e.sure)
}

// Adopted notes that the fleet has agreed that a message of a lost owner is this sender's.
func (j *Journal) FinishTakeover(e *Entry) {
	e.TakeoverDuty = ""
	j.append(e.origin)
}

// Tap keeps the records of each step for Tapped, for copies of the journal.
func (j *Journal) EnableCopies() { j.tapped = true }

// Tapped returns the records since the last call, as they went into the file, until the next change.
func (j *Journal) RecordsToCopy() []byte {
	b := j.tap
	j.tap = nil
	return b
}

// Snapshot is all that is live, as records.
func (j *Journal) Snapshot() (b []byte) {
	for _, e := range j.entries() {
		b = e.frames(b)
	}
	for _, h := range j.Holds() {
		b = frame(b, h.record)
	}
	return b
}

// Replay returns the live entries of records, and how many bytes were whole. An attempt without an outcome may have
// run. It is for copies of a journal that is another's.
func Replay(records []byte) []*Entry {
	j := &Journal{live: map[uint64]*Entry{}, next: 1}
	j.replay(records)
	for _, e := range j.live {
		e.settle(true)
	}
	return j.entries()
}

// Compact returns the records of what is live in records. An attempt that is out stays one.
func Compact(records []byte) []byte {
	j := &Journal{live: map[uint64]*Entry{}, next: 1}
	j.replay(records)
	return j.Snapshot()
}

// Live is the bytes that the live entries take.
func (j *Journal) LiveBytes() int64 { return j.used }

// Skip makes all numbers up to one count as used.
func (j *Journal) SkipNumbers(upto uint64) { j.next = max(j.next, upto+1) }

// Last is the highest number that was given out.
func (j *Journal) LastNumber() uint64 { return j.next - 1 }

// parent appends the trace context as a record.
func (e *Entry) parent(b []byte) []byte {
	at := len(b)
	b = append(binary.AppendUvarint(append(b, recParent), e.Num), e.TraceParent...)
	e.size += int64(len(b)-at) + headSize
	return b
}

// Size is the bytes of the file, with what the next Flush writes.
func (j *Journal) Size() int64 { return j.size + int64(len(j.buf)) }

// Start notes that an attempt begins; it is written before the attempt's first byte.
func (j *Journal) StartAttempt(e *Entry, at int64, zone int) {
	e.start(at, zone)
	j.append(func(b []byte) []byte {
		b = binary.AppendUvarint(append(b, recStart), e.Num)
		b = binary.AppendVarint(b, at)
		return binary.AppendVarint(b, int64(zone))
	})
}

// Outcome notes how the attempt that is out ended.
func (j *Journal) EndAttempt(e *Entry, mayHaveRun bool) {
	e.settle(mayHaveRun)
	j.append(func(b []byte) []byte {
		ran := byte(0)
		if mayHaveRun {
			ran = 1
		}
		return append(binary.AppendUvarint(append(b, recOutcome), e.Num), ran)
	})
}

// Owe notes that a message is to end undelivered, with this notice.
func (j *Journal) OweNotice(e *Entry, ending int, retryMS int64) {
	e.Ending, e.RetryMS = ending, retryMS
	j.append(func(b []byte) []byte {
		b = binary.AppendUvarint(append(b, recEnding), e.Num)
		b = binary.AppendVarint(b, int64(ending))
		return binary.AppendVarint(b, retryMS)
	})
}

// End notes that a message is over.
func (j *Journal) End(e *Entry) {
	if j.live[e.Num] != e {
		return
	}
	delete(j.live, e.Num)
	j.used -= e.size
	j.append(func(b []byte) []byte { return binary.AppendUvarint(append(b, recEnd), e.Num) })
}

func (e *Entry) start(at int64, zone int) {
	e.settle(true)
	e.Attempts++
	e.openAt, e.openZone = at, zone
}

// settle closes the attempt that is out. One without an outcome may have run.
func (e *Entry) settle(mayHaveRun bool) {
	if e.openAt != 0 && mayHaveRun && e.MayHaveRunAt == 0 {
		e.MayHaveRunAt, e.MayHaveRunZone = e.openAt, e.openZone
	}
	e.openAt = 0
}

// append frames one record into the buffer.
func (j *Journal) append(fill func([]byte) []byte) {
	at := len(j.buf)
	j.buf = frame(j.buf, fill)
	j.copy(at)
}

func (j *Journal) copy(from int) {
	if j.tapped {
		j.tap = append(j.tap, j.buf[from:]...)
	}
}

func frame(b []byte, fill func([]byte) []byte) []byte {
	at := len(b)
	b = fill(append(b, make([]byte, headSize)...))
	payload := b[at+headSize:]
	binary.BigEndian.PutUint32(b[at:], uint32(len(payload)))
	binary.BigEndian.PutUint32(b[at+4:], crc32.ChecksumIEEE(payload))
	return b
}

// Flush writes what was noted since the last time. After an error all of it is
// kept for the next try, and the file ends where it ended before, if not at once, then before anything is added.
func (j *Journal) Flush() error {
	if len(j.buf) == 0 {
		return nil
	}
	if err := j.flush(); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

func (j *Journal) flush() error {
	if j.f == nil || !j.claim(0, 0) {
		return j.compact() // the copy holds all that was noted
	}
	if err := j.mend(); err != nil {
		return err
	}
	n, err := j.f.Write(j.buf)
	if err != nil {
		j.torn = j.torn || n > 0 // half a record would hide all that comes behind it
		return errors.Join(err, j.mend())
	}
	j.size += int64(n)
	j.buf = j.buf[:0]
	return nil
}

// Torn reports whether the file may hold a part of what the last Flush failed to write: a process that were killed now
// would find it there, whole records included.
func (j *Journal) Torn() bool { return j.torn }

// mend makes the folder such that the file can be added to: it ends with a whole record, and no other file holds records
// that it has.
func (j *Journal) mend() error {
	if j.torn {
		if err := j.f.Truncate(j.size); err != nil {
			return err
		}
		j.torn = false
	}
	for len(j.merged) > 0 {
		if err := j.files.Remove(j.merged[0]); err != nil {
			return err
		}
		j.merged = j.merged[1:]
	}
	return nil
}

// compact writes the live entries to a new file and puts it in the old one's place.
func (j *Journal) compact() error {
	var b []byte
	j.used = 0
	for _, e := range j.entries() {
		b = e.frames(b)
		j.used += e.size
	}
	for _, h := range j.Holds() {
		b = frame(b, h.record)
	}
	copyName := j.name + copyEnd
	f, err := j.files.Open(copyName, true)
	if err != nil {
		return err
	}
	if _, err := f.Write(b); err != nil {
		return errors.Join(err, f.Close(), j.files.Remove(copyName))
	}
	if err := j.files.Rename(copyName, j.name); err != nil {
		j.drop() // it may have been replaced all the same
		return errors.Join(err, f.Close(), j.files.Remove(copyName))
	}
	j.drop()
	j.f, j.size, j.torn, j.buf = f, int64(len(b)), false, j.buf[:0]
	return j.mend()
}

// Close writes what is left and closes the file.
func (j *Journal) Close() error {
	err := j.Flush()
	if j.f != nil {
		err = errors.Join(err, j.f.Close())
	}
	return err
}

// taken appends the whole entry as a record. The attempt that is out has a record of its own.
func (e *Entry) taken(b []byte) []byte {
	at := len(b)
	b = binary.AppendUvarint(append(b, recTaken), e.Num)
	for _, s := range []string{e.Trace, e.Key, e.Class, e.Tenant} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	again, attempts := int64(0), int64(e.Attempts)
	if e.Resubmitted {
		again = 1
	}
	if e.openAt != 0 {
		attempts--
	}
	b = binary.AppendUvarint(b, e.OrderingKey)
	for _, v := range []int64{int64(e.Dest), again, e.Deadline, attempts, e.MayHaveRunAt, int64(e.MayHaveRunZone), int64(e.Ending), e.RetryMS} {
		b = binary.AppendVarint(b, v)
	}
	b = append(b, e.Body...)
	e.size = int64(len(b)-at) + headSize
	return b
}

// replay applies the records of text up to the first that is not whole, and returns how many bytes those are.
func (j *Journal) replay(text []byte) (whole int) {
	for {
		n, err := j.replayOne(text[whole:])
		if err != nil {
			return whole
		}
		whole += int(n)
	}
}

// apply takes one record.
func (j *Journal) apply(payload []byte) error {
	if len(payload) == 0 {
		return errRecord
	}
	if !strings.ContainsRune(kinds, rune(payload[0])) {
		return nil // of a later version
	}
	d := decoder{b: payload[1:]}
	if payload[0] == recHold {
		if h := d.hold(); d.err == nil {
			j.set(h)
		}
		return d.err
	}
	num := d.uvarint()
	if payload[0] == recTaken {
		e := d.entry(num)
		if d.err == nil {
			j.live[num] = e
			j.next = max(j.next, num+1)
		}
		return d.err
	}
	e := j.live[num]
	if d.err != nil || e == nil {
		return d.err // a record of a message that is over says nothing new
	}
	switch payload[0] {
	case recStart:
		e.start(d.varint(), int(d.varint()))
	case recOutcome:
		e.settle(d.varint() != 0)
	case recEnding:
		e.Ending, e.RetryMS = int(d.varint()), d.varint()
	case recEnd:
		delete(j.live, num)
	case recSure:
		e.Confirmed = true
	case recOrigin:
		e.TakeoverToken = d.uvarint()
		e.TakeoverDuty = string(d.b)
	case recParent:
		e.TraceParent = string(d.b)
	}
	return d.err
}

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

// skip drops n bytes that were read; n <= 0 tells that there was no number.
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
