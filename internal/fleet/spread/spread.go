// Package spread decides which member a duty is granted to, and which duties move when members join and leave. It is
// pure: every voter applies the same log, and must compute the same result from it.
//
// A free duty goes to the candidate with the fewest duties for its weight. Ties are resolved in favour of the duty's
// own zone, then by rendezvous hashing, so that duties with equal candidates do not all go to the same one. A held
// duty moves only if its holder has more than its fair share and, at equal weights, at least two duties more than the
// candidate. The candidate then ends up with no more duties than the former holder, so that nothing moves back. A
// member with no more than its share gives up nothing.
package spread

import "github.com/cespare/xxhash/v2"

// Member is a candidate for a duty.
type Member struct {
	Name   string
	Zone   string
	Weight uint32 // relative capacity; 0 counts as 1
	Duties int    // number of duties that it holds
}

// load returns the member's duties relative to its weight, with extra duties added.
func (m Member) load(extra int) float64 { return float64(m.Duties+extra) / float64(max(m.Weight, 1)) }

// Choose returns the index of the candidate that the duty goes to, or -1 if there is none.
func Choose(duty, zone string, candidates []Member) int {
	best := -1
	for i := range candidates {
		if best < 0 || preferred(duty, zone, &candidates[i], &candidates[best]) {
			best = i
		}
	}
	return best
}

// preferred reports whether the duty goes to candidate a rather than b.
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

// rank returns the hash of a duty and a member for rendezvous hashing; the member with the lowest one is preferred.
func rank(duty, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(duty)
	d.Write([]byte{0})
	d.WriteString(member)
	return d.Sum64()
}

// Rebalance returns the index of the candidate that a held duty should move to, or -1 if it should stay.
func Rebalance(duty, zone string, holder Member, candidates []Member) int {
	best := Choose(duty, zone, candidates)
	if best < 0 || candidates[best].load(2) > holder.load(0) || holder.load(0) <= fairLoad(holder, candidates) {
		return -1
	}
	return best
}

// fairLoad returns the load of every member if duties were evenly spread. A holder at or below it keeps its duties:
// those that a new member lacks come from holders above it.
func fairLoad(holder Member, candidates []Member) float64 {
	duties, weight := holder.Duties, max(holder.Weight, 1)
	for i := range candidates {
		duties += candidates[i].Duties
		weight += max(candidates[i].Weight, 1)
	}
	return float64(duties) / float64(weight)
}
