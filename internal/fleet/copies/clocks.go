package copies

import (
	"math"
	"time"
)

// Deadlines in a journal go by its owner's clock, and machines' clocks disagree. So each batch tells the owner's clock
// when it was sent, a holder reckons from its own monotonic clock what the owner's shows now, and tells the heir, which
// moves the deadlines to its own clock. No two wall clocks are ever compared.

// windowFor is how long the quickest batch counts: clocks drift apart by a hundredth of a millisecond in it, and one
// batch of it has come without waiting.
const windowFor = int64(10 * time.Second)

// unknown is a reckoning's difference where nothing was heard yet.
const unknown = math.MinInt64

// Reckoning is by how much another member's clock, in Unix milliseconds, is ahead of this one's monotonic clock. A
// batch takes some time to come, so it tells too little: what the quickest of late says is taken. The zero value is
// not ready: see NewReckoning.
type ClockEstimate struct {
	best   int64 // of this window, in milliseconds
	before int64 // of the window before it
	since  int64 // when this window began, in nanoseconds
}

// NewReckoning returns one that has heard nothing.
func NewClockEstimate() ClockEstimate { return ClockEstimate{best: unknown, before: unknown} }

// Heard takes the other's clock, as it was told in something that comes at now.
func (r *ClockEstimate) Observe(now, clock int64) {
	if now-r.since > windowFor {
		r.before, r.best, r.since = r.best, unknown, now
	}
	r.best = max(r.best, clock-now/1e6)
}

// Ahead is by how much the other's clock is ahead, in milliseconds; false: nothing was heard.
func (r *ClockEstimate) Offset() (ms int64, known bool) {
	ms = max(r.best, r.before)
	return ms, ms != unknown
}
