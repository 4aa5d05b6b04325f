package journal

import (
	"encoding/binary"
	"io"
	"slices"
	"strings"
)

// This file encodes accepted entries and replays records.

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
