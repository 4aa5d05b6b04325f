package journal

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// This file remembers which IDs of messages are taken: those of live entries, and those of entries that ended within
// idRetentionMS. IDs of ended entries outlast restarts: a compacted file keeps them in one record.

const (
	idRetentionMS   = 30000 // how long the ID of an ended entry is remembered, in milliseconds
	maxEndedIDs     = 8192  // IDs of ended entries that are remembered
	endedIDSize     = 16    // bytes of such an ID in a file: its hash and the time of the end
	endedIDOverhead = headerSize + 1
)

const recEndedIDs = 'I' // IDs of ended entries; versions that do not know this kind skip it

// revokedAt is the time in the end record of an entry whose message was not accepted after all.
const revokedAt = 0

// takenIDs is the set of the IDs that are taken, as hashes.
type takenIDs struct {
	live  map[uint64]int   // number of live entries with the ID
	ended map[uint64]int64 // when the entry ended, in milliseconds of the sender's clock
	queue []endedID        // of ended, in the order of their ends; an ID that was taken again may have stale elements
}

type endedID struct {
	hash uint64
	at   int64
}

func newTakenIDs() takenIDs {
	return takenIDs{live: map[uint64]int{}, ended: map[uint64]int64{}}
}

func idHash(trace string) uint64 { return xxhash.Sum64String(trace) }

func (t *takenIDs) has(hash uint64) bool {
	_, ended := t.ended[hash]
	return ended || t.live[hash] > 0
}

func (t *takenIDs) addLive(hash uint64) {
	t.live[hash]++
	delete(t.ended, hash)
}

func (t *takenIDs) removeLive(hash uint64) {
	if t.live[hash]--; t.live[hash] <= 0 {
		delete(t.live, hash)
	}
}

// addEnded adds the ID of an ended entry. The oldest ones beyond maxEndedIDs are forgotten.
func (t *takenIDs) addEnded(hash uint64, at int64) {
	for len(t.queue) >= maxEndedIDs {
		t.forgetOldest()
	}
	t.ended[hash] = at
	t.queue = append(t.queue, endedID{hash, at})
}

// expire forgets the IDs whose retention is over. now is in milliseconds.
func (t *takenIDs) expire(now int64) {
	for len(t.queue) > 0 && now-t.queue[0].at > idRetentionMS {
		t.forgetOldest()
	}
}

func (t *takenIDs) forgetOldest() {
	oldest := t.queue[0]
	t.queue = t.queue[1:]
	if t.ended[oldest.hash] == oldest.at {
		delete(t.ended, oldest.hash)
	}
}

// addAllEnded adds the IDs of entries that have ended in another journal.
func (t *takenIDs) addAllEnded(other *takenIDs) {
	for _, id := range other.endedInOrder() {
		t.addEnded(id.hash, id.at)
	}
}

// endedInOrder returns the IDs of ended entries in the order of their ends.
func (t *takenIDs) endedInOrder() []endedID {
	list := slices.Clone(t.queue)
	return slices.DeleteFunc(list, func(id endedID) bool { return t.ended[id.hash] != id.at })
}

// fileBytes returns an upper bound of the bytes that the IDs of ended entries take in a compacted file.
func (t *takenIDs) fileBytes() int64 { return endedIDOverhead + endedIDSize*int64(len(t.queue)) }

// appendRecord appends the IDs of ended entries as one record, or nothing if there are none.
func (t *takenIDs) appendRecord(b []byte) []byte {
	list := t.endedInOrder()
	if len(list) == 0 {
		return b
	}
	return appendFrame(b, func(b []byte) []byte {
		b = append(b, recEndedIDs)
		for _, id := range list {
			b = binary.BigEndian.AppendUint64(b, id.hash)
			b = binary.BigEndian.AppendUint64(b, uint64(id.at))
		}
		return b
	})
}

// replayRecord applies the payload of such a record, without its kind.
func (t *takenIDs) replayRecord(payload []byte) error {
	if len(payload)%endedIDSize != 0 {
		return errBadRecord
	}
	for ; len(payload) > 0; payload = payload[endedIDSize:] {
		t.addEnded(binary.BigEndian.Uint64(payload), int64(binary.BigEndian.Uint64(payload[8:])))
	}
	return nil
}
