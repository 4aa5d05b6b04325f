package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
)

// Report is what a journal's file holds, read without changing it.
type Report struct {
	File       string
	Bytes      int64
	Records    int
	ValidBytes int64 // bytes of records that can be read, from the start
	Entries    []*Entry
}

// Damaged reports whether a part of the file can't be read. After a kill in the middle of a write that
// is so, and no loss: a torn tail was never answered for.
func (r *Report) Damaged() bool { return r.ValidBytes < r.Bytes }

// Inspect reads the journal in a folder, or a journal's file. It may be in use: the report is of the
// moment.
func Inspect(path string) (*Report, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, fileName)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	r := &Report{File: path, Bytes: int64(len(text))}
	j := &Journal{live: map[uint64]*Entry{}, next: 1}
	for rest := text; ; {
		n, err := j.replayOne(rest)
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

var errTorn = errors.New("torn or damaged")

// replayOne applies the record that text begins with and returns its length.
func (j *Journal) replayOne(text []byte) (int64, error) {
	if len(text) < headSize {
		return 0, errTorn
	}
	n := int64(binary.BigEndian.Uint32(text))
	if n > int64(len(text)-headSize) {
		return 0, errTorn
	}
	payload := text[headSize : headSize+n]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(text[4:]) {
		return 0, errTorn
	}
	return headSize + n, j.apply(payload)
}

// MayHaveRun reports whether an attempt of e may have run, one without an outcome included.
func (e *Entry) MayHaveRun() bool { return e.MayHaveRunAt != 0 || e.openAt != 0 }
