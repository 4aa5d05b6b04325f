package policy

// This file is the bookkeeping for messages that are shed when the capacity for held messages is nearly used up. It
// handles many at once, since a restart may find a whole journal above the capacity. The decision is Sender.shed in
// policy.go.

import (
	"cmp"
	"slices"
)

// shedCounts returns, for each destination, how many messages it loses if excess messages are removed one by one,
// always from the longest queue, and from the first of several that are equally long.
func shedCounts(waiting []*destination, excess int) []int {
	level := cutLevel(waiting, excess)
	counts := make([]int, len(waiting))
	for i, d := range waiting {
		counts[i] = max(len(d.queue)-level-1, 0)
		excess -= counts[i]
	}
	for i, d := range waiting { // the rest comes from the first of those that are now equally long
		if excess > 0 && len(d.queue) > level {
			counts[i]++
			excess--
		}
	}
	return counts
}

// cutLevel returns the greatest length to which all queues can be cut so that together they lose at least excess
// messages; 0 where they hold fewer.
func cutLevel(waiting []*destination, excess int) int {
	longest := 0
	for _, d := range waiting {
		longest = max(longest, len(d.queue))
	}
	low, high := 0, longest
	for low < high {
		middle := (low + high + 1) / 2
		lost := 0
		for _, d := range waiting {
			lost += max(len(d.queue)-middle, 0)
		}
		if lost >= excess {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// leastWorth marks and returns the n messages of a queue that are worth least now, the least first and, of equal
// ones, the first in the queue. They stay in the queue until dropShed.
func (s *Sender) leastWorth(queue []*message, n int) []*message {
	if n == 0 {
		return nil
	}
	type valued struct {
		m     *message
		worth float64
	}
	list := make([]valued, len(queue))
	for i, m := range queue {
		list[i] = valued{m, s.worth(m)}
	}
	byWorth := func(a, b valued) int { return cmp.Compare(a.worth, b.worth) }
	if n == 1 {
		list = []valued{slices.MinFunc(list, byWorth)}
	} else {
		slices.SortStableFunc(list, byWorth)
	}
	shed := make([]*message, n)
	for i := range shed {
		shed[i] = list[i].m
		shed[i].shed = true
	}
	return shed
}

// dropShed removes the messages marked by leastWorth from the queue of d, and d itself if nothing is left of it.
func (s *Sender) dropShed(d *destination) {
	d.queue = slices.DeleteFunc(d.queue, func(m *message) bool { return m.shed })
	s.dropDestination(d)
}
