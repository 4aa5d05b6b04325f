// Package spread decides which member a duty goes to, and which duty moves when members come and go. It is pure
// and gives every voter the same answer for the same input: all of them apply the same log.
//
// A duty that is free goes to the candidate with the fewest duties for its weight; among equal ones, to one of
// the duty's own zone, then by rendezvous hashing, so that equal duties do not follow each other. A duty that is
// held moves only where its holder has more than its even part, and at least two more than the candidate: one move
// leaves the two no further apart than one duty, so that nothing moves back, and nobody gives what it will miss.
package spread

import "github.com/cespare/xxhash/v2"

// Member is a candidate.
type Member struct {
	Name   string
	Zone   string
	Weight uint32 // relative capacity; 0 counts as 1
	Duties int    // that it holds
}

func (m Member) load(extra int) float64 { return float64(m.Duties+extra) / float64(max(m.Weight, 1)) }

// Choose returns the place of the candidate that the duty goes to, -1 if there is none.
func Choose(duty, zone string, candidates []Member) int {
	best := -1
	for i := range candidates {
		if best < 0 || preferred(duty, zone, &candidates[i], &candidates[best]) {
			best = i
		}
	}
	return best
}

func preferred(duty, zone string, a, b *Member) bool {
	if la, lb := a.load(1), b.load(1); la != lb {
		return la < lb
	}
	if ina, inb := a.Zone == zone, b.Zone == zone; ina != inb && zone != "" {
		return ina
	}
	if ha, hb := rank(duty, a.Name), rank(duty, b.Name); ha != hb {
		return ha < hb
	}
	return a.Name < b.Name
}

func rank(duty, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(duty)
	d.Write([]byte{0})
	d.WriteString(member)
	return d.Sum64()
}

// Better returns the place of the candidate that a held duty should move to, -1 if it stays.
func Rebalance(duty, zone string, holder Member, candidates []Member) int {
	best := Choose(duty, zone, candidates)
	if best < 0 || candidates[best].load(2) > holder.load(0) || holder.load(0) <= fairLoad(holder, candidates) {
		return -1
	}
	return best
}

// fair is the load that all would have if their duties lay evenly. A holder at or under it keeps what it has: what
// a newcomer lacks is to come from those above.
func fairLoad(holder Member, candidates []Member) float64 {
	duties, weight := holder.Duties, max(holder.Weight, 1)
	for i := range candidates {
		duties += candidates[i].Duties
		weight += max(candidates[i].Weight, 1)
	}
	return float64(duties) / float64(weight)
}
