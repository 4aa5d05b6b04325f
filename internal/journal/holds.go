package journal

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

// Beside messages an heir must know where nothing may be sent for a while: waits that partners told, endpoints that
// drain, endpoints that were taken out by hand. A journal that is copied keeps them beside its entries, so that they are
// still known after a restart of the heir.

// HoldKind says why nothing is sent.
type HoldKind byte

// The kinds.
const (
	HoldWait     HoldKind = 1 // a partner told a wait
	HoldDrain    HoldKind = 2 // a list says that the endpoint drains
	HoldDisabled HoldKind = 3 // the endpoint was taken out by hand
)

// Hold is a place where nothing may be sent for a while.
type Hold struct {
	Kind     HoldKind
	Dest     int
	Endpoint string // its name; empty: the whole destination
	Until    int64  // Unix time in milliseconds, by the owner's clock; Forever: until it is taken back
}

// Forever is the end of a hold that has none; holdsMost bounds how many are kept.
const (
	Forever   = math.MaxInt64
	holdsMost = 4096
	holdSlack = 192 // bounds what one takes in the file
)

const recHold = 'H' // a Hold; it ends one with an Until of 0

type holdKey struct {
	kind     HoldKind
	dest     int
	endpoint string
}

// Hold notes one where the journal is copied, or takes one back, by an Until of 0; now is by the same clock. Holds
// that are over are taken back with it. Where there are too many, a further one is left out: false.
func (j *Journal) SetHold(h Hold, now int64) bool {
	if !j.tapped {
		return true
	}
	for key, old := range j.holds {
		if old.Until <= now {
			j.hold(Hold{Kind: key.kind, Dest: key.dest, Endpoint: key.endpoint})
		}
	}
	key := h.key()
	if _, known := j.holds[key]; !known && (h.Until <= now || len(j.holds) >= holdsMost) {
		return h.Until <= now
	}
	if h.Kind == HoldWait && h.Until != 0 {
		h.Until = max(h.Until, j.holds[key].Until)
	}
	if j.holds[key] != h {
		j.hold(h)
	}
	return true
}

func (h *Hold) key() holdKey { return holdKey{h.Kind, h.Dest, h.Endpoint} }

// hold makes a hold known, and notes it.
func (j *Journal) hold(h Hold) {
	j.set(h)
	j.append(h.record)
}

func (j *Journal) set(h Hold) {
	if h.Until == 0 {
		delete(j.holds, h.key())
		return
	}
	if j.holds == nil {
		j.holds = map[holdKey]Hold{}
	}
	j.holds[h.key()] = h
}

func (h *Hold) record(b []byte) []byte {
	b = append(b, recHold, byte(h.Kind))
	b = binary.AppendVarint(b, int64(h.Dest))
	b = binary.AppendVarint(b, h.Until)
	return append(b, h.Endpoint...)
}

func (d *decoder) hold() (h Hold) {
	if len(d.b) == 0 {
		d.err = errRecord
		return h
	}
	h.Kind, d.b = HoldKind(d.b[0]), d.b[1:]
	h.Dest, h.Until = int(d.varint()), d.varint()
	h.Endpoint = string(d.b)
	return h
}

// Holds are those that go on, in an order that does not change.
func (j *Journal) Holds() []Hold {
	list := make([]Hold, 0, len(j.holds))
	for _, h := range j.holds {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b Hold) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list
}

// ReplayHolds returns the holds of a copy of a journal.
func ReplayHolds(records []byte) []Hold {
	j := &Journal{live: map[uint64]*Entry{}, next: 1}
	j.replay(records)
	return j.Holds()
}
