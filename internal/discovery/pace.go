package discovery

import (
	"math"
	"math/rand/v2"
	"time"

	"sliptide/policy"
)

const (
	minPause      = 100 * time.Millisecond // the first pause after a failure, if one sender asks alone
	fleetRequests = 20.0                   // failed asks a second that all senders together settle at, about
	pauseSteps    = 16                     // the first pause is at least this part of the longest
	pauseShare    = 0.5                    // part of the time within which the list must be asked for, that a pause may take
	maxPause      = 5 * time.Second        // and no pause is longer, where the settings name no such time
	nextAskWithin = 5 * time.Second        // from the start of a failed ask to the start of the next, at most: a change counts as told after 6 s
)

// pace says when the list is asked for. One agent that asks ten times a second does no harm; eighty that start
// in one moment and each ask again at once keep discovery overbooked for good, and none of them learns of a
// drain. Pauses double, up to where the whole fleet asks fleetRequests times a second, and are drawn by chance so
// that no two senders stay in step. It has no clock and waits for nothing.
type pace struct {
	rng         *rand.Rand
	least, most time.Duration
}

func newPace(set *policy.Settings, seed uint64) pace {
	const mean = 0.75 // of what a pause is drawn from, half of it to all
	most := time.Duration(float64(max(set.Senders, 1)) / fleetRequests / mean * float64(time.Second))
	bound := maxPause
	if within := set.MaxSubscribeInterval * pauseShare; set.Subscribe && within > 0 && within < float64(maxPause/time.Millisecond) {
		bound = time.Duration(within * float64(time.Millisecond))
	}
	most = min(max(most, minPause), max(bound, minPause))
	return pace{rng: rand.New(rand.NewPCG(seed, 0xd15c)), least: max(minPause, most/pauseSteps), most: most}
}

// spread is the pause of at most longest after a first failure before any answer: all that are started in one
// moment fail in one, and would ask again in one.
func (p *pace) spread(longest time.Duration) time.Duration {
	return time.Duration(p.rng.Float64() * float64(longest))
}

// settled is the pause of at most longest after a further failure before any answer: a fleet started in one moment is turned
// away together, and pauses that begin short would keep discovery overbooked; these come to fleetRequests a
// second over the fleet. Nothing is missed meanwhile: an agent that turns an ask away has told nothing.
func (p *pace) settled(longest time.Duration) time.Duration {
	return time.Duration(float64(longest) * (0.5 + 0.5*p.rng.Float64()))
}

// next is the pause after so many failures in a row, 1 or more; answered tells whether any ask of this
// process has been answered, and spent how long the failed ask was out. An ask that was out while discovery
// was silent leaves less for the pause: discovery may have come back just behind it with a change, which the
// next ask has to bring before it counts as told. A watch may have been out for 3.5 s of the 6.
func (p *pace) next(failures int, answered bool, spent time.Duration) time.Duration {
	longest := min(p.most, max(nextAskWithin-spent, minPause))
	switch {
	case answered:
		return p.after(failures, longest)
	case failures == 1:
		return p.spread(longest)
	}
	return p.settled(longest)
}

// after is the pause of at most longest after so many failures in a row, 1 or more.
func (p *pace) after(failures int, longest time.Duration) time.Duration {
	full := min(float64(p.least)*math.Exp2(float64(min(failures-1, 30))), float64(longest))
	return time.Duration(full * (0.5 + 0.5*p.rng.Float64()))
}
