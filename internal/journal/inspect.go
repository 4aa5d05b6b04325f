package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
)

// Report describes the contents of a journal's file, read without changing it.
type Report struct {
	File       string
	Bytes      int64
	Records    int      // valid records
	ValidBytes int64    // bytes of valid records from the start of the file
	Entries    []*Entry // not ended, or with a notice owed; in the order of their numbers
}

// Damaged reports whether a part of the file is unreadable. That is normal after a kill in the middle of a write,
// and no loss: the records of a torn tail were never acknowledged to a client.
func (r *Report) Damaged() bool { return r.ValidBytes < r.Bytes }

// Inspect reads the journal in a directory, or a journal's file. The journal may be in use: the report describes its
// state at the moment of reading.
func Inspect(path string) (*Report, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, fileName)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	r := &Report{File: path, Bytes: int64(len(data))}
	j := newJournal()
	for rest := data; ; {
		n, err := j.replayRecord(rest)
		if err != nil {
			break
		}
		r.Records++
		r.ValidBytes += n
		rest = rest[n:]
	}
	r.Entries = j.entries()
	return r, nil
}

var errTornRecord = errors.New("record is torn or damaged")

// replayRecord applies the record at the start of data and returns its length.
func (j *Journal) replayRecord(data []byte) (int64, error) {
	if len(data) < headerSize {
		return 0, errTornRecord
	}
	n := int64(binary.BigEndian.Uint32(data))
	if n > int64(len(data)-headerSize) {
		return 0, errTornRecord
	}
	payload := data[headerSize : headerSize+n]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(data[4:]) {
		return 0, errTornRecord
	}
	return headerSize + n, j.apply(payload)
}

// MayHaveRun reports whether an attempt of e may have run; an attempt without an outcome counts.
func (e *Entry) MayHaveRun() bool { return e.MayHaveRunAt != 0 || e.attemptAt != 0 }
