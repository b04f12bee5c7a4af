package idempotency

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
)

// Owners are the nodes that answer for a key in one membership, in rank order:
// the first gives leave, the second records it before, and the third is a
// witness, who is asked only when membership has changed. A region of fewer
// nodes has fewer.
type Owners []cluster.NodeID

// maxOwners is the number of owners of a key, the witness included.
const maxOwners = 3

// backup returns the node that records a claim besides the first owner.
func (o Owners) backup() cluster.NodeID {
	if len(o) < 2 {
		return ""
	}
	return o[1]
}

// vouch tells whether the owners that a predicate holds for are enough to say
// that no leave was given and none will be. Invariant: any two such sets share
// an owner, and each has one of the first two, who both record every leave.
func (o Owners) vouch(holds func(cluster.NodeID) bool) bool {
	if len(o) < maxOwners {
		return len(o) > 0 && holds(o[0])
	}
	count := 0
	for _, owner := range o {
		if holds(owner) {
			count++
		}
	}
	return count >= 2
}

// Member is a node that shares the keys.
type Member struct {
	ID   cluster.NodeID
	Zone cluster.ZoneID
}

// members is one set of nodes that share the keys, sorted by id.
type members struct {
	nodes []Member
	seeds []uint64
}

func newMembers(nodes []Member) members {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b Member) int { return compare(a.ID, b.ID) })
	sorted = slices.CompactFunc(sorted, func(a, b Member) bool { return a.ID == b.ID })
	seeds := make([]uint64, len(sorted))
	for i, node := range sorted {
		seeds[i] = xxhash.Sum64String(string(node.ID))
	}
	return members{nodes: sorted, seeds: seeds}
}

// owners returns the nodes with the highest random weights for the key, each of
// another zone as long as there is one.
func (m members) owners(hash uint64) Owners {
	owners := make(Owners, 0, maxOwners)
	var zones [maxOwners]cluster.ZoneID
	for len(owners) < min(maxOwners, len(m.nodes)) {
		best, spread := -1, false
		var highest uint64
		for i, node := range m.nodes {
			if slices.Contains(owners, node.ID) {
				continue
			}
			weight := mix(hash ^ m.seeds[i])
			other := !slices.Contains(zones[:len(owners)], node.Zone)
			if best < 0 || other && !spread || other == spread && weight > highest {
				best, spread, highest = i, other, weight
			}
		}
		zones[len(owners)] = m.nodes[best].Zone
		owners = append(owners, m.nodes[best].ID)
	}
	return owners
}

func (m members) contains(node cluster.NodeID) bool {
	_, found := slices.BinarySearchFunc(m.nodes, node, func(m Member, id cluster.NodeID) int { return compare(m.ID, id) })
	return found
}

// without returns the members less one node.
func (m members) without(node cluster.NodeID) members {
	return newMembers(slices.DeleteFunc(slices.Clone(m.nodes), func(m Member) bool { return m.ID == node }))
}

// mix is the finalizer of splitmix64: every input bit changes half the output.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// hash of a key, which with a node's seed gives the node's weight.
func (k Key) hash() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(k.TokenPath)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(k.Key)
	return digest.Sum64()
}

func compare[T cluster.NodeID | int64](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
