package discovery

import (
	"math"
	"math/rand/v2"
	"time"

	"sliptide/policy"
)

const (
	minPause              = 100 * time.Millisecond // shortest nominal pause: that after a first failure, in a small fleet
	fleetRetriesPerSecond = 20.0                   // approximate rate at which retries of all senders together level off
	maxPauseRatio         = 16                     // the longest nominal pause is at most this multiple of the first
	maxPauseShare         = 0.5                    // share of Settings.MaxSubscribeInterval that a pause may take
	maxPause              = 5 * time.Second        // upper bound of every pause
	// maxRetryInterval is the longest time from the start of a failed request to the start of the next one. Discovery
	// counts a published change as known to every sender after 6 s: a second remains for the answer.
	maxRetryInterval = 5 * time.Second
)

// backoff computes the pauses between failed requests for the endpoint list. One sender that retries ten times a
// second does no harm. Eighty senders that start at the same moment and retry at once overload discovery
// permanently, and none of them learns of a drain. Pauses therefore double, until the whole fleet sends
// fleetRetriesPerSecond, and have random jitter, so that no two senders stay in step. A backoff has no clock and
// does not wait itself.
type backoff struct {
	rng               *rand.Rand
	shortest, longest time.Duration
}

// newBackoff derives the pauses from the number of senders and, if the list has to be requested within a maximum
// interval, from that interval.
func newBackoff(settings *policy.Settings, seed uint64) backoff {
	const mean = 0.75 // a pause is drawn from 0.5 to 1 times its nominal length
	longest := time.Duration(float64(max(settings.Senders, 1)) / fleetRetriesPerSecond / mean * float64(time.Second))
	bound := maxPause
	if share := settings.MaxSubscribeInterval * maxPauseShare; settings.Subscribe &&
		share > 0 && share < float64(maxPause/time.Millisecond) {
		bound = time.Duration(share * float64(time.Millisecond))
	}
	longest = min(max(longest, minPause), max(bound, minPause))
	return backoff{rng: rand.New(rand.NewPCG(seed, 0xd15c)), shortest: max(minPause, longest/maxPauseRatio), longest: longest}
}

// initialPause returns the pause, up to longest, after the first failure of a process that has had no answer yet.
// Senders that start at the same moment fail at the same moment: the pause spreads their retries.
func (b *backoff) initialPause(longest time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(longest))
}

// steadyPause returns the pause, up to longest, after a further failure of a process that has had no answer yet. A
// fleet that starts at the same moment is refused together, and pauses that begin short would keep discovery
// overloaded; these add up to fleetRetriesPerSecond for the fleet. No change is missed meanwhile: an agent that refuses
// a request does not count any change as known to this sender.
func (b *backoff) steadyPause(longest time.Duration) time.Duration {
	return time.Duration(float64(longest) * (0.5 + 0.5*b.rng.Float64()))
}

// pause returns the pause after that many failures in a row, 1 or more. answered reports whether any request of this
// process has been answered; elapsed is how long the failed request took. A request that timed out leaves less time for
// the pause: discovery may have recovered right after it was sent, with a change that the next request has to fetch
// before it counts as known to this sender, 6 s after its publication. A watch that timed out has already taken 3.5 s
// of these 6 s.
func (b *backoff) pause(failures int, answered bool, elapsed time.Duration) time.Duration {
	longest := min(b.longest, max(maxRetryInterval-elapsed, minPause))
	switch {
	case answered:
		return b.exponentialPause(failures, longest)
	case failures == 1:
		return b.initialPause(longest)
	}
	return b.steadyPause(longest)
}

// exponentialPause returns the pause, up to longest, after that many failures in a row, 1 or more.
func (b *backoff) exponentialPause(failures int, longest time.Duration) time.Duration {
	base := min(float64(b.shortest)*math.Exp2(float64(min(failures-1, 30))), float64(longest))
	return time.Duration(base * (0.5 + 0.5*b.rng.Float64()))
}
