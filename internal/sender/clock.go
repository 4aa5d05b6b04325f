package sender

import "time"

// Clock is the sender's time in milliseconds. It follows the monotonic clock, so that no step of the
// wall clock moves a deadline; it starts at Unix time, or where the sender's timeline goes on from an earlier life. The
// journal's deadlines and the knowledge file's times are told in it.
type Clock struct {
	start   time.Time
	startMS float64
}

// wallShift is by how much this machine's wall clock is off, as time.ParseDuration reads it. It is empty but in
// tests of machines whose clocks disagree, which set it when they link the program.
var wallShift string

var shift, _ = time.ParseDuration(wallShift)

// NewClock returns a Clock that starts now.
func NewClock() Clock { return Clock{time.Now(), WallClock()} }

// NewClockAt returns a Clock that starts now, at that time in Unix milliseconds.
func NewClockAt(startMS float64) Clock { return Clock{time.Now(), startMS} }

// Now is the time.
func (c Clock) Now() float64 { return c.startMS + float64(time.Since(c.start))/1e6 }

// Wall is the wall clock in Unix milliseconds, which may have been stepped since.
func WallClock() float64 {
	return float64(time.Now().Add(shift).UnixNano()) / 1e6
}
