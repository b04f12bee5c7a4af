package idempotency

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
)

// Owners are the nodes responsible for a key in one membership, by rank. The first grants claims,
// the second (the backup) records them before, and the third is a witness, which is asked only
// after a change of membership. A region of fewer nodes has fewer owners.
type Owners []cluster.NodeID

// maxOwners is the number of owners of a key, including the witness.
const maxOwners = 3

// backup returns the node that records a claim besides the first owner, empty if there is none.
func (o Owners) backup() cluster.NodeID {
	if len(o) < 2 {
		return ""
	}
	return o[1]
}

// hasQuorum reports whether the owners for which the predicate holds are enough to confirm that no
// claim was granted and none will be. Invariant: any two quorums share an owner, and each quorum
// contains one of the first two owners, both of which record every grant.
func (o Owners) hasQuorum(holds func(cluster.NodeID) bool) bool {
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

// members is a set of nodes that share the keys, sorted by ID.
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

// owners returns the nodes with the highest rendezvous weights for the key, from different zones as
// far as possible.
func (m members) owners(hash uint64) Owners {
	owners := make(Owners, 0, maxOwners)
	var zones [maxOwners]cluster.ZoneID
	for len(owners) < min(maxOwners, len(m.nodes)) {
		best, newZone := -1, false
		var highest uint64
		for i, node := range m.nodes {
			if slices.Contains(owners, node.ID) {
				continue
			}
			weight := mix(hash ^ m.seeds[i])
			inNewZone := !slices.Contains(zones[:len(owners)], node.Zone)
			if best < 0 || inNewZone && !newZone || inNewZone == newZone && weight > highest {
				best, newZone, highest = i, inNewZone, weight
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

// without returns the members except one node.
func (m members) without(node cluster.NodeID) members {
	return newMembers(slices.DeleteFunc(slices.Clone(m.nodes), func(m Member) bool { return m.ID == node }))
}

// mix is the finalizer of splitmix64: each input bit flips about half of the output bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// hash returns the key's hash, which is combined with a node's seed to give the node's weight.
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
