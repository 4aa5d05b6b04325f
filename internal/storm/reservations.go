package storm

import "math"

// slotMS is the length in milliseconds of a slot. Reservations are counted by slot.
const slotMS = 100.0

// maxWindowSlots is the maximum length of a window in slots. It bounds the lowest rate that is enforced: one
// reservation in ten seconds.
const maxWindowSlots = 100

// reservations holds the reservations at one destination: the number of clients that are to return in each slot.
type reservations struct {
	firstSlot int64 // number of the first slot in counts; a slot's number is its start divided by slotMS
	counts    []int32
}

// reserve makes a reservation in the first slot between earliest and latest that leaves no window of one second with
// more than budget reservations. For a budget below one the window is longer. It returns the start of the slot, or
// earliest if that is later; ok is false if no slot is free. All arguments but budget are times in milliseconds.
func (r *reservations) reserve(now, earliest, latest, budget float64) (at float64, ok bool) {
	r.discardPast(now)
	window, limit := windowFor(budget)
	for slot := int64(math.Floor(max(earliest, now) / slotMS)); float64(slot)*slotMS <= latest; slot++ {
		if r.fits(slot, window, limit) {
			r.add(slot)
			return max(float64(slot)*slotMS, earliest), true
		}
	}
	return 0, false
}

// windowFor returns the length of a window in slots, and how many reservations it may hold. budget is the number of
// reservations per second.
func windowFor(budget float64) (window int64, limit int32) {
	second := int64(1000 / slotMS)
	if budget >= 1 {
		return second, int32(min(budget, math.MaxInt32))
	}
	return min(int64(math.Ceil(float64(second)/max(budget, 1e-3))), maxWindowSlots), 1
}

// fits reports whether every window that contains slot has fewer than limit reservations.
func (r *reservations) fits(slot, window int64, limit int32) bool {
	var sum int32
	for i := slot - window + 1; i <= slot; i++ {
		sum += r.at(i)
	}
	for end := slot; ; end++ {
		if sum >= limit {
			return false
		}
		if end == slot+window-1 || end >= r.end() {
			return true
		}
		sum += r.at(end+1) - r.at(end+1-window)
	}
}

// end returns the number of the slot after the last one in counts.
func (r *reservations) end() int64 { return r.firstSlot + int64(len(r.counts)) }

// at returns the number of reservations in a slot.
func (r *reservations) at(slot int64) int32 {
	if slot < r.firstSlot || slot >= r.end() {
		return 0
	}
	return r.counts[slot-r.firstSlot]
}

// add counts a reservation in a slot, and extends counts to it if needed.
func (r *reservations) add(slot int64) {
	if len(r.counts) == 0 {
		r.firstSlot = slot
	}
	for slot < r.firstSlot {
		r.counts = append([]int32{0}, r.counts...)
		r.firstSlot--
	}
	for slot >= r.end() {
		r.counts = append(r.counts, 0)
	}
	r.counts[slot-r.firstSlot]++
}

// release cancels the reservation of a client that has returned before its time.
func (r *reservations) release(at float64) {
	if slot := int64(math.Floor(at / slotMS)); r.at(slot) > 0 {
		r.counts[slot-r.firstSlot]--
	}
}

// discardPast removes past slots, except those that share a window with a future slot.
func (r *reservations) discardPast(now float64) {
	firstKept := int64(math.Floor(now/slotMS)) - maxWindowSlots
	if drop := min(firstKept-r.firstSlot, int64(len(r.counts))); drop > 0 {
		r.counts = append(r.counts[:0], r.counts[drop:]...)
		r.firstSlot += drop
	}
}

// refusal is a refused message with the time at which its client should resubmit it.
type refusal struct {
	retryAt  float64
	reserved bool // retryAt is a reservation
}

// refusalLog holds the last maxRefusals refusals by the key of their message. Those without a key (0) are not held.
type refusalLog struct {
	byKey map[uint64]refusal
	ring  [maxRefusals]uint64 // keys in the order of their refusals; the oldest is overwritten
	next  int
}

// add records a refusal. A full log drops its oldest one.
func (l *refusalLog) add(key uint64, r refusal) {
	if key == 0 {
		return
	}
	if _, known := l.byKey[key]; !known {
		delete(l.byKey, l.ring[l.next])
		l.ring[l.next] = key
		l.next = (l.next + 1) % maxRefusals
	}
	l.byKey[key] = r
}

// pop returns the refusal of a message and removes it; ok is false if there is none.
func (l *refusalLog) pop(key uint64) (refusal, bool) {
	r, ok := l.byKey[key]
	if ok {
		// The key stays in the ring until it is overwritten.
		delete(l.byKey, key)
	}
	return r, ok
}
