package sender

import "time"

// Clock is the sender's clock, in milliseconds. It follows the monotonic clock, so that adjustments of the wall clock
// move no deadline. It starts at Unix time, or where the sender's timeline continues from an earlier process. Deadlines
// in the journal and times in the knowledge file are times of this clock.
type Clock struct {
	start   time.Time
	startMS float64
}

// wallShift is an offset of this machine's wall clock, in the format of time.ParseDuration. Tests of machines whose
// clocks disagree set it when they link the program; it is empty otherwise.
var wallShift string

var wallOffset, _ = time.ParseDuration(wallShift)

// NewClock returns a Clock that starts now and reads the Unix time.
func NewClock() Clock { return Clock{time.Now(), WallClock()} }

// NewClockAt returns a Clock that starts now and reads startMS, in Unix milliseconds.
func NewClockAt(startMS float64) Clock { return Clock{time.Now(), startMS} }

// Now returns the time in milliseconds.
func (c Clock) Now() float64 { return c.startMS + float64(time.Since(c.start))/1e6 }

// WallClock returns the wall clock in Unix milliseconds. Unlike a Clock it may jump.
func WallClock() float64 {
	return float64(time.Now().Add(wallOffset).UnixNano()) / 1e6
}
