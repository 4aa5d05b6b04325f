// Package placement decides which members keep copies of an owner's journal. It is pure: the same members give the
// same result everywhere.
//
// It uses weighted rendezvous hashing: each member has a rank for an owner, computed from a hash of both names and
// its weight, and the highest ranks are chosen. A member that joins or leaves moves only the copies that it is
// chosen for. Members of zones other than the owner's come first, one of each zone before a second of any, so that a
// copy survives the loss of a zone.
package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a candidate for keeping copies.
type Member struct {
	Name, Zone string
	Weight     float64 // relative capacity; 0 or less counts as 1
	Full       bool    // it has reported that it has no space left
}

// Choose returns the names of the members that keep an owner's copies, the first choice first: count of them, or as
// many as there are. The owner and full members are never chosen.
func Choose(owner, zone string, count int, members []Member) []string {
	type ranked struct {
		Member
		rank float64
	}
	var list []ranked
	for _, m := range members {
		if m.Name != owner && !m.Full {
			list = append(list, ranked{m, rank(owner, m)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		switch {
		case a.rank != b.rank && a.rank > b.rank, a.rank == b.rank && a.Name < b.Name:
			return -1
		}
		return 1
	})
	var names []string
	copiesInZone := map[string]int{zone: 1} // copies per zone, including the owner's own journal
	for len(names) < count && len(list) > 0 {
		best := 0
		for i := range list {
			if copiesInZone[list[i].Zone] < copiesInZone[list[best].Zone] {
				best = i
			}
		}
		copiesInZone[list[best].Zone]++
		names = append(names, list[best].Name)
		list = slices.Delete(list, best, best+1)
	}
	return names
}

// rank returns a member's weighted rendezvous score for an owner.
func rank(owner string, m Member) float64 {
	h := xxhash.Sum64String(owner + "\x00" + m.Name)
	weight := m.Weight
	if weight <= 0 {
		weight = 1
	}
	return -weight / math.Log((float64(h>>11)+0.5)/(1<<53))
}

// NextStep returns the holders that an owner should request next, given the current and the desired ones; synced
// reports whether a holder has a complete copy, present whether it has a live session. It changes one holder at a time:
// a missing one is added first, and a surplus one is removed only once all desired holders are complete, or if it is
// not present, once one of them is. The number of complete copies at present members thus does not fall below the
// desired one.
func NextStep(current, desired []string, synced func(string) bool, present func(string) bool) []string {
	next := slices.Clone(current)
	for _, name := range desired {
		if !slices.Contains(next, name) {
			return append(next, name)
		}
	}
	syncedCount := 0
	for _, name := range desired {
		if synced(name) {
			syncedCount++
		}
	}
	for i, name := range next {
		if slices.Contains(desired, name) {
			continue
		}
		// A surplus copy is needed until all desired holders are complete. The copy of a holder that is not present is
		// removed as soon as one of them is.
		if syncedCount == len(desired) && syncedCount > 0 || !present(name) && syncedCount > 0 {
			return slices.Delete(next, i, i+1)
		}
	}
	return next
}
