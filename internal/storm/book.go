package storm

import "math"

// slot is the grain of the reservations in milliseconds.
const slot = 100.0

// longest is the most slots that a window has: a promise in ten seconds is the least that is kept apart.
const longest = 100

// book is the reservations at one destination: how many clients were told to come in each slot ahead.
type book struct {
	first int64 // number of the first slot in counts: time divided by slot
	count []int32
}

// reserve takes a place in the earliest slot from earliest to latest in which no window of a second holds more
// than room promises. Less than one a second is kept by a longer window. It returns the start of the slot, or
// earliest if that is later.
func (b *book) reserve(now, earliest, latest, room float64) (at float64, ok bool) {
	b.forget(now)
	window, most := windowOf(room)
	for n := int64(math.Floor(max(earliest, now) / slot)); float64(n)*slot <= latest; n++ {
		if b.fits(n, window, most) {
			b.add(n)
			return max(float64(n)*slot, earliest), true
		}
	}
	return 0, false
}

// windowOf is in how many slots how many promises may lie.
func windowOf(room float64) (window int64, most int32) {
	second := int64(1000 / slot)
	if room >= 1 {
		return second, int32(min(room, math.MaxInt32))
	}
	return min(int64(math.Ceil(float64(second)/max(room, 1e-3))), longest), 1
}

// fits reports whether one more promise in slot n leaves every window that holds n with most at most.
func (b *book) fits(n, window int64, most int32) bool {
	var sum int32
	for i := n - window + 1; i <= n; i++ {
		sum += b.at(i)
	}
	for end := n; ; end++ {
		if sum >= most {
			return false
		}
		if end == n+window-1 || end >= b.end() {
			return true
		}
		sum += b.at(end+1) - b.at(end+1-window)
	}
}

func (b *book) end() int64 { return b.first + int64(len(b.count)) }

func (b *book) at(n int64) int32 {
	if n < b.first || n >= b.end() {
		return 0
	}
	return b.count[n-b.first]
}

func (b *book) add(n int64) {
	if len(b.count) == 0 {
		b.first = n
	}
	for n < b.first {
		b.count = append([]int32{0}, b.count...)
		b.first--
	}
	for n >= b.end() {
		b.count = append(b.count, 0)
	}
	b.count[n-b.first]++
}

// free gives back the place of a client that came before its time.
func (b *book) free(at float64) {
	if n := int64(math.Floor(at / slot)); b.at(n) > 0 {
		b.count[n-b.first]--
	}
}

// forget drops the slots that are over, but for those that share a window with one ahead.
func (b *book) forget(now float64) {
	keep := int64(math.Floor(now/slot)) - longest
	if drop := min(keep-b.first, int64(len(b.count))); drop > 0 {
		b.count = append(b.count[:0], b.count[drop:]...)
		b.first += drop
	}
}

// ask is a refusal that was told when to come again.
type ask struct {
	until  float64
	booked bool
}

// asks remembers refusals by the key of their message, the last asksMost of them.
type asks struct {
	at   map[uint64]ask
	line [asksMost]uint64 // a ring, oldest overwritten
	next int
}

func (a *asks) put(key uint64, v ask) {
	if key == 0 {
		return
	}
	if _, held := a.at[key]; !held {
		delete(a.at, a.line[a.next])
		a.line[a.next] = key
		a.next = (a.next + 1) % asksMost
	}
	a.at[key] = v
}

func (a *asks) take(key uint64) (ask, bool) {
	v, ok := a.at[key]
	if ok {
		// Its place in the ring stays until it is overwritten.
		delete(a.at, key)
	}
	return v, ok
}
