package outbound

import "time"

const (
	// earlyShare is the part of an endpoint's usual answer time before which a 200 on a kept connection is taken for
	// a copy of an earlier one.
	earlyShare = 0.25
	// settleShare is the part of the usual answer time, between settleMin and settleMax, that a connection rests after an
	// answer: a copy that follows the answer arrives while no request is out.
	settleShare = 0.5
	settleMin   = 150 * time.Millisecond
	settleMax   = 250 * time.Millisecond
	// The usual answer time follows faster answers sooner than slower ones: it stands for the fast ones.
	usualGainDown = 0.3
	usualGainUp   = 0.05
	// usualLeast is the usual answer time under which nothing can be told by time: a busy machine's noise is as long.
	usualLeast = 20 * time.Millisecond
)

// answerProfile is what is known of how an endpoint answers. The zero value is that of one of which nothing is known.
type answerProfile struct {
	usual           time.Duration // from the last byte of a request to the first of its 200
	distrustedUntil time.Time     // it has sent what nobody asked for, and is not trusted
	suspectUntil    time.Time     // it has sent an answer that did not fit its call
}

// learn takes the time that a 200 took.
func (a *answerProfile) learn(took time.Duration) {
	gain := usualGainUp
	switch {
	case a.usual == 0:
		gain = 1
	case took < a.usual:
		gain = usualGainDown
	}
	a.usual += time.Duration(gain * float64(took-a.usual))
}

// early reports whether a 200 that took so long on a kept connection must be taken for a copy of an earlier one.
func (a *answerProfile) early(took time.Duration) bool {
	return a.usual >= usualLeast && float64(took) < earlyShare*float64(a.usual)
}

// settle is how long a connection rests after an answer.
func (a *answerProfile) settle() time.Duration {
	if a.usual < usualLeast {
		return 0
	}
	return min(max(time.Duration(settleShare*float64(a.usual)), settleMin), settleMax)
}
