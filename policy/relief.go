package policy

// This file does the bookkeeping of messages given back when the holding room is nearly used up, for many at once: a
// restart may find a whole journal over the room. It decides nothing. See Sender.relieve in policy.go.

import (
	"cmp"
	"slices"
)

// shorten returns, for each destination, how many messages it loses if one is taken excess times from the longest
// queue, the first of several that are equally long.
func shorten(waiting []*dest, excess int) []int {
	level := restLevel(waiting, excess)
	counts := make([]int, len(waiting))
	for i, d := range waiting {
		counts[i] = max(len(d.queue)-level-1, 0)
		excess -= counts[i]
	}
	for i, d := range waiting { // what is left to take comes from the first of those that are now equally long
		if excess > 0 && len(d.queue) > level {
			counts[i]++
			excess--
		}
	}
	return counts
}

// restLevel is the greatest length to which all queues together can be cut so that they lose excess messages at
// least; 0 where they hold fewer.
func restLevel(waiting []*dest, excess int) int {
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

// leastWorth picks the n messages of a queue that are worth least now, the least first; of equal ones the first in
// the queue. They stay in the queue until compact.
func (s *Sender) leastWorth(queue []*message, n int) []*message {
	if n == 0 {
		return nil
	}
	type ranked struct {
		m     *message
		worth float64
	}
	list := make([]ranked, len(queue))
	for i, m := range queue {
		list[i] = ranked{m, s.worth(m)}
	}
	byWorth := func(a, b ranked) int { return cmp.Compare(a.worth, b.worth) }
	if n == 1 {
		list = []ranked{slices.MinFunc(list, byWorth)}
	} else {
		slices.SortStableFunc(list, byWorth)
	}
	picked := make([]*message, n)
	for i := range picked {
		picked[i] = list[i].m
		picked[i].picked = true
	}
	return picked
}

// compact takes the messages that were picked off the queue of d.
func (s *Sender) compact(d *dest) {
	d.queue = slices.DeleteFunc(d.queue, func(m *message) bool { return m.picked })
	s.dropDest(d)
}
