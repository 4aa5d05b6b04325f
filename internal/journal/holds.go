package journal

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

// A sender that takes over from a lost one must also know which destinations and endpoints must not be called for a
// while: those whose partners requested a wait, draining endpoints, and endpoints disabled by an operator. With copies
// enabled, the journal stores these holds beside its entries: they are copied with the entries, and are still known
// after a restart of the sender that took over.

// HoldKind is the reason why nothing is sent.
type HoldKind byte

// Kinds of holds.
const (
	HoldWait     HoldKind = 1 // a partner requested a wait
	HoldDrain    HoldKind = 2 // the endpoint list marks the endpoint as draining
	HoldDisabled HoldKind = 3 // an operator disabled the endpoint
)

// Hold is a destination or endpoint to which nothing may be sent for a while.
type Hold struct {
	Kind     HoldKind
	Dest     int
	Endpoint string // the endpoint's name; empty: the whole destination
	Until    int64  // Unix time in milliseconds, by the owner's clock; Forever: until it is removed
}

const (
	// Forever is the Until of a hold without an end.
	Forever      = math.MaxInt64
	maxHolds     = 4096 // holds in a journal
	maxHoldBytes = 192  // upper bound of a hold's bytes in the file
)

const recHold = 'H' // a Hold; an Until of 0 removes it

type holdKey struct {
	kind     HoldKind
	dest     int
	endpoint string
}

// SetHold records a hold if copies are enabled; an Until of 0 removes it. now is by the same clock as Until. A
// requested wait never shortens an earlier one. Expired holds are removed by the same call. A new hold beyond the
// maximum number is not recorded, and false is returned.
func (j *Journal) SetHold(h Hold, now int64) bool {
	if !j.copying {
		return true
	}
	for key, old := range j.holds {
		if old.Until <= now {
			j.recordHold(Hold{Kind: key.kind, Dest: key.dest, Endpoint: key.endpoint})
		}
	}
	key := h.key()
	if _, known := j.holds[key]; !known && (h.Until <= now || len(j.holds) >= maxHolds) {
		return h.Until <= now
	}
	if h.Kind == HoldWait && h.Until != 0 {
		h.Until = max(h.Until, j.holds[key].Until)
	}
	if j.holds[key] != h {
		j.recordHold(h)
	}
	return true
}

func (h *Hold) key() holdKey { return holdKey{h.Kind, h.Dest, h.Endpoint} }

// recordHold applies a hold and appends its record.
func (j *Journal) recordHold(h Hold) {
	j.applyHold(h)
	j.appendRecord(h.appendTo)
}

func (j *Journal) applyHold(h Hold) {
	if h.Until == 0 {
		delete(j.holds, h.key())
		return
	}
	if j.holds == nil {
		j.holds = map[holdKey]Hold{}
	}
	j.holds[h.key()] = h
}

func (h *Hold) appendTo(b []byte) []byte {
	b = append(b, recHold, byte(h.Kind))
	b = binary.AppendVarint(b, int64(h.Dest))
	b = binary.AppendVarint(b, h.Until)
	return append(b, h.Endpoint...)
}

func (d *decoder) hold() (h Hold) {
	if len(d.b) == 0 {
		d.err = errBadRecord
		return h
	}
	h.Kind, d.b = HoldKind(d.b[0]), d.b[1:]
	h.Dest, h.Until = int(d.varint()), d.varint()
	h.Endpoint = string(d.b)
	return h
}

// Holds returns all holds in a stable order.
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

// ReplayHolds returns the holds in records copied from another sender's journal.
func ReplayHolds(records []byte) []Hold {
	j := newJournal()
	j.replay(records)
	return j.Holds()
}
