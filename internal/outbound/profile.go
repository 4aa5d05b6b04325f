package outbound

import "time"

const (
	// earlyFraction is the fraction of an endpoint's typical response time before which a 200 on a reused connection is
	// taken for a copy of an earlier response.
	earlyFraction = 0.25
	// After a response, a connection is not reused for settleFraction of the typical response time, at least minSettle
	// and at most maxSettle: a copy that follows the response then arrives while no request is outstanding.
	settleFraction = 0.5
	minSettle      = 150 * time.Millisecond
	maxSettle      = 250 * time.Millisecond
	// The smoothing factors of the typical response time, for faster and for slower responses. It follows faster ones
	// sooner, and so stands for the fast ones.
	typicalGainDown = 0.3
	typicalGainUp   = 0.05
	// minTypicalTime is the typical response time below which responses are not judged by their time, and there is no
	// settle time: scheduling delays on a busy machine are as long.
	minTypicalTime = 20 * time.Millisecond
)

// responseProfile holds what is known about how an endpoint responds. The zero value is that of an unknown endpoint.
type responseProfile struct {
	typicalTime     time.Duration // typical time from the last byte of a request to the first byte of its 200
	distrustedUntil time.Time     // after the endpoint has sent unsolicited bytes
	suspectUntil    time.Time     // after a response that did not fit its call
}

// learn updates the typical response time with that of one 200.
func (r *responseProfile) learn(responseTime time.Duration) {
	gain := typicalGainUp
	switch {
	case r.typicalTime == 0:
		gain = 1
	case responseTime < r.typicalTime:
		gain = typicalGainDown
	}
	r.typicalTime += time.Duration(gain * float64(responseTime-r.typicalTime))
}

// isEarly reports whether a 200 with this response time on a reused connection must be taken for a copy of an earlier
// response.
func (r *responseProfile) isEarly(responseTime time.Duration) bool {
	return r.typicalTime >= minTypicalTime && float64(responseTime) < earlyFraction*float64(r.typicalTime)
}

// settleTime returns how long a connection is not reused after a response, see settleFraction.
func (r *responseProfile) settleTime() time.Duration {
	if r.typicalTime < minTypicalTime {
		return 0
	}
	return min(max(time.Duration(settleFraction*float64(r.typicalTime)), minSettle), maxSettle)
}
