package copies

import (
	"math"
	"time"
)

// Deadlines in a journal are times of its owner's clock, and the clocks of machines disagree. Therefore each batch
// carries the reading of the owner's clock when it was sent. A holder estimates the current reading from its own
// monotonic clock and reports it to the successor, which converts the deadlines to its own clock. No two wall clocks
// are ever compared.

// estimateWindow is the length of a window, of whose readings the one in the fastest batch counts. Clocks drift apart
// by only about 0.01 ms in that time, and it is long enough for at least one batch to arrive without queueing.
const estimateWindow = int64(10 * time.Second)

// unknownOffset is the best offset of a window without readings.
const unknownOffset = math.MinInt64

// ClockEstimate estimates the offset of another member's clock, in Unix milliseconds, from this member's monotonic
// clock. The transfer time of a batch makes its reading too low, so the highest offset of the current and the previous
// window counts: that of the fastest batch. The zero value is not usable: see NewClockEstimate.
type ClockEstimate struct {
	best         int64 // the highest offset in this window, in milliseconds
	previousBest int64 // the same in the window before
	windowStart  int64 // in nanoseconds
}

// NewClockEstimate returns an estimate without readings.
func NewClockEstimate() ClockEstimate {
	return ClockEstimate{best: unknownOffset, previousBest: unknownOffset}
}

// Observe records a reading of the other member's clock, in Unix milliseconds, that arrives at now, in nanoseconds.
func (e *ClockEstimate) Observe(now, clock int64) {
	if now-e.windowStart > estimateWindow {
		e.previousBest, e.best, e.windowStart = e.best, unknownOffset, now
	}
	e.best = max(e.best, clock-now/1e6)
}

// Offset returns the offset in milliseconds, and whether there is a reading in either window.
func (e *ClockEstimate) Offset() (ms int64, known bool) {
	ms = max(e.best, e.previousBest)
	return ms, ms != unknownOffset
}
