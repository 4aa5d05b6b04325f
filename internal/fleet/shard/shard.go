// Package shard assigns destinations to the members that serve them. A destination hashes to one of a fixed number of
// shards, and each shard to a few replicas among a region's members by weighted rendezvous hashing (Thaler and
// Ravishankar, 1998; weights after Schindelhauer and Schomaker, 2005), spread over the region's zones. Whoever knows the
// same members finds the same replicas; a member that joins or leaves moves its own shards and no others, unless a zone
// becomes, or ceases to be, too small to be spread over.
//
// The package is pure: no clock, no I/O, no chance.
package shard

import (
	"cmp"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Count is the number of shards. It is fixed: all members of all versions have to agree on it.
const Count = 1 << 16

// ID is the number of a shard, under Count.
type ID uint32

// Of is the shard of a destination.
func Of(destination uint64) ID {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], destination)
	return ID(xxhash.Sum64(key[:]) % Count)
}

// Member is one member that serves shards.
type Member struct {
	Name   string
	Zone   string
	Weight uint32 // how much it serves beside the others; 0 counts as 1
}

// candidate is a member with what its cost is worked out from.
type candidate struct {
	Member
	nameHash uint64
	weight   float64
	zone     *zone
}

func newCandidate(m Member) candidate {
	return candidate{Member: m, nameHash: xxhash.Sum64String(m.Name), weight: float64(max(m.Weight, 1))}
}

// draw is a number over 0 and under 1 that a member has for a shard, by hash.
func (c *candidate) uniform(id ID) float64 {
	// A finalizer after MurmurHash3 (Appleby): neighbouring shards must cost a member unrelated amounts.
	h := c.nameHash ^ (uint64(id)+1)*0x9e3779b97f4a7c15
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return (float64(h>>11) + 0.5) / (1 << 53)
}

// cost is how dear a shard is to a member that drew this number for it; the members to which it is cheapest are its
// replicas. It is distributed exponentially with the member's weight as rate, so that of several members each is
// cheapest for a part of the shards that is in proportion to its weight.
func (c *candidate) cost(uniform float64) float64 { return -math.Log(uniform) / c.weight }

// offer is a member at the cost of a shard.
type memberCost struct {
	index   int // of Table.members
	uniform float64
	cost    float64
}

// offer is what a member offers for a shard.
func (t *Table) costOf(index int, id ID) memberCost {
	c := &t.members[index]
	uniform := c.uniform(id)
	return memberCost{index: index, uniform: uniform, cost: c.cost(uniform)}
}

// compare orders offers by cost; where costs are equal, such as by rounding, by draw and then by name.
func (t *Table) compareCosts(x, y memberCost) int {
	return cmp.Or(cmp.Compare(x.cost, y.cost), cmp.Compare(y.uniform, x.uniform), cmp.Compare(t.members[x.index].Name, t.members[y.index].Name))
}

// better replaces the best offer so far by that of a member, where it is better. The logarithm is spared for most: of
// two members of equal weight the one with the higher draw is cheaper.
func (t *Table) updateCheapest(cheapest *memberCost, index int, id ID) {
	c := &t.members[index]
	uniform := c.uniform(id)
	if cheapest.index != noMember && c.weight == t.members[cheapest.index].weight && uniform < cheapest.uniform {
		return
	}
	cost := memberCost{index: index, uniform: uniform, cost: c.cost(uniform)}
	if cheapest.index == noMember || t.compareCosts(cost, *cheapest) < 0 {
		*cheapest = cost
	}
}
