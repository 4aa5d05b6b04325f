// Package placement decides which members keep copies of an owner's journal. It is pure: the same members give the
// same answer everywhere.
//
// Rendezvous hashing: each member has a rank for an owner, from a hash of both names over its weight, and the first
// ones are taken; a member that comes or goes moves what it ranks first for, and nothing else. Members of other zones
// than the owner's go first, one of each zone before a second of any, so that the loss of a building leaves a copy.
package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member may keep copies.
type Member struct {
	Name, Zone string
	Weight     float64 // relative room; 0 counts as 1
	Full       bool    // it has told that it has no room
}

// Choose returns the names of the members that keep an owner's copies, the first choice first: count of them, or as
// many as there are.
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
	copiesInZone := map[string]int{zone: 1} // copies in a zone, the owner's own counted
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

// rank is a member's weighted rendezvous score for an owner.
func rank(owner string, m Member) float64 {
	h := xxhash.Sum64String(owner + "\x00" + m.Name)
	weight := m.Weight
	if weight <= 0 {
		weight = 1
	}
	return -weight / math.Log((float64(h>>11)+0.5)/(1<<53))
}

// Next is the list that an owner should ask for now, given the one that stands, of which synced have everything. One
// step at a time: a member that is missing is added first; one that is not wanted goes once enough others have
// everything, so that there are never fewer whole copies than before.
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
		// What it keeps is needed until each that is wanted has everything; one that is away is not waited for.
		if syncedCount == len(desired) && syncedCount > 0 || !present(name) && syncedCount > 0 {
			return slices.Delete(next, i, i+1)
		}
	}
	return next
}
