// Package shard assigns destinations to the members that serve them. A destination hashes to one of a fixed number of
// shards, and each shard to a few replicas among a region's members by weighted rendezvous hashing (Thaler and
// Ravishankar, 1998; weights after Schindelhauer and Schomaker, 2005), spread over the region's zones. Every process
// that knows the same members finds the same replicas. A member that joins or leaves moves its own shards and no
// others, unless a zone becomes too small for shards to be spread over it, or large enough again.
//
// The package is deterministic: it has no clock, I/O or randomness.
package shard

import (
	"cmp"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Count is the number of shards. It is fixed: all members of all versions have to agree on it.
const Count = 1 << 16

// ID is the number of a shard, less than Count.
type ID uint32

// Of returns the shard of a destination.
func Of(destination uint64) ID {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], destination)
	return ID(xxhash.Sum64(key[:]) % Count)
}

// Member is one member that serves shards.
type Member struct {
	Name   string
	Zone   string
	Weight uint32 // share of the shards, relative to the other members; 0 counts as 1
}

// candidate is a member with the values from which its costs are computed.
type candidate struct {
	Member
	nameHash uint64
	weight   float64
	zone     *zone
}

func newCandidate(m Member) candidate {
	return candidate{Member: m, nameHash: xxhash.Sum64String(m.Name), weight: float64(max(m.Weight, 1))}
}

// uniform returns a hash of the member and a shard, mapped to the open interval (0, 1).
func (c *candidate) uniform(id ID) float64 {
	// The finalizer of MurmurHash3 (Appleby) makes a member's costs of neighbouring shards independent.
	h := c.nameHash ^ (uint64(id)+1)*0x9e3779b97f4a7c15
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return (float64(h>>11) + 0.5) / (1 << 53)
}

// cost returns the member's cost of a shard, given its uniform hash; the members with the lowest costs are the shard's
// replicas. Costs are distributed exponentially with the member's weight as rate, so that each member has the lowest
// cost for a part of the shards in proportion to its weight.
func (c *candidate) cost(uniform float64) float64 { return -math.Log(uniform) / c.weight }

// memberCost is the cost of a shard at one member.
type memberCost struct {
	index   int // into Table.members
	uniform float64
	cost    float64
}

// costOf returns a member's cost of a shard.
func (t *Table) costOf(index int, id ID) memberCost {
	c := &t.members[index]
	uniform := c.uniform(id)
	return memberCost{index: index, uniform: uniform, cost: c.cost(uniform)}
}

// compareCosts orders by cost, lowest first. Costs that are equal, for instance by rounding, are ordered by uniform
// hash, highest first, then by name.
func (t *Table) compareCosts(x, y memberCost) int {
	return cmp.Or(cmp.Compare(x.cost, y.cost), cmp.Compare(y.uniform, x.uniform), cmp.Compare(t.members[x.index].Name, t.members[y.index].Name))
}

// updateCheapest replaces the lowest cost so far by that of a member if it is lower. Most members need no logarithm: of
// two members of equal weight the one with the higher uniform hash has the lower cost.
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
