package journal

import "encoding/binary"

// A message number identifies a message towards the fleet: a successor that takes over the messages of a lost sender
// reports up to which number it has done so. Numbers are therefore never used again, whatever a compaction removes.

// recLastNumber holds the highest number assigned; versions that do not know this kind skip it. It is not copied.
const recLastNumber = 'L'

const (
	// successorNumberGap separates the message numbers of a successor from those of the current process, which assigns
	// further numbers while both run.
	successorNumberGap = 1 << 32

	// unknownNumberGap is skipped after a file without a recLastNumber: an earlier version may have assigned higher
	// numbers than those in the file.
	unknownNumberGap = 1 << 40
)

// NextNumber returns a message number that has not been used.
func (j *Journal) NextNumber() uint64 {
	j.nextNumber++
	return j.nextNumber - 1
}

// LastNumber returns the highest number that has been assigned.
func (j *Journal) LastNumber() uint64 { return j.nextNumber - 1 }

// SkipNumbers marks all numbers up to last as used, also for the next process.
func (j *Journal) SkipNumbers(last uint64) {
	if last < j.nextNumber {
		return
	}
	j.nextNumber = last + 1
	j.buf = appendFrame(j.buf, j.appendLastNumber)
}

func (j *Journal) appendLastNumber(b []byte) []byte {
	return binary.AppendUvarint(append(b, recLastNumber), j.LastNumber())
}

func (j *Journal) replayLastNumber(last uint64, err error) {
	if err == nil {
		j.nextNumber = max(j.nextNumber, last+1)
		j.numbersKnown = true
	}
}

// skipUnknownNumbers skips the numbers that an earlier version may have assigned and not recorded. It is called with the
// contents of the files that were replayed.
func (j *Journal) skipUnknownNumbers(contents ...[]byte) {
	for _, data := range contents {
		if len(data) > 0 && !j.numbersKnown {
			j.nextNumber += unknownNumberGap
			break
		}
	}
	j.numbersKnown = true
}
