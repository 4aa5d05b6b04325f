package storm

import "math"

// This file computes the paces of a storm.

// totalPace returns this sender's pace over all routes of a destination.
func (g *Guard) totalPace(d *dest) (rate float64) {
	for _, p := range g.paces(d) {
		rate += p.Rate
	}
	return rate
}

// paces returns the pace of each route of a destination during a storm.
func (g *Guard) paces(d *dest) []Pace {
	configured := g.settings.Limits[d.id]
	if len(d.ownLimitEndpoints) == 0 {
		return []Pace{{0, g.routePace(d, stricter(d.advertisedLimit, configured), 1)}}
	}
	var list []Pace
	for _, id := range d.ownLimitEndpoints {
		limit := stricter(g.endpoints[id].limit, configured/float64(len(d.ownLimitEndpoints)))
		list = append(list, Pace{id, g.routePace(d, limit, len(d.ownLimitEndpoints))})
	}
	return list
}

// stricter returns the lower of two limits; 0 is no limit.
func stricter(a, b float64) float64 {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// routePace returns this sender's share of a limit, lowered by relapses and adjusted by paceFactor. Senders space their
// calls evenly, so each may exceed its share by one call in any second: with few senders, one call per sender is kept
// free. The calls of many senders with less than one call per second each add up to a Poisson count, of which
// poissonDeviations standard deviations are kept free. The higher of the two results applies. Without a limit, the
// routes of the destination share a multiple of the call rate before the storm.
func (g *Guard) routePace(d *dest, limit float64, routes int) float64 {
	senders := float64(g.settings.Senders)
	relapseFactor := max(math.Pow(relapseCut, float64(d.relapses)), minRelapseFactor)
	if limit <= 0 {
		return max(unknownLimitMultiple*d.rateBeforeStorm, minUnknownPace) / float64(routes) * relapseFactor
	}
	// A Poisson count of mean root*root has the standard deviation root: root*root + poissonDeviations*root = limit.
	root := (math.Sqrt(poissonDeviations*poissonDeviations+4*limit) - poissonDeviations) / 2
	return min(max(limit/senders-1, root*root/senders)*relapseFactor*d.paceFactor, limit)
}
