package idempotency

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
)

// members is one set of nodes that share the keys.
type members struct {
	nodes []cluster.NodeID
	seeds []uint64
}

func newMembers(nodes []cluster.NodeID) members {
	sorted := slices.Clone(nodes)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	seeds := make([]uint64, len(sorted))
	for i, node := range sorted {
		seeds[i] = xxhash.Sum64String(string(node))
	}
	return members{nodes: sorted, seeds: seeds}
}

// owner returns the node with the highest random weight for the key, or empty.
func (m members) owner(hash uint64) cluster.NodeID {
	var owner cluster.NodeID
	var highest uint64
	for i, seed := range m.seeds {
		if weight := mix(hash ^ seed); owner == "" || weight > highest {
			owner, highest = m.nodes[i], weight
		}
	}
	return owner
}

func (m members) contains(node cluster.NodeID) bool {
	_, found := slices.BinarySearch(m.nodes, node)
	return found
}

// without returns the members less one node.
func (m members) without(node cluster.NodeID) members {
	var others []cluster.NodeID
	for _, other := range m.nodes {
		if other != node {
			others = append(others, other)
		}
	}
	return newMembers(others)
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

// past is a former set of members.
type past struct {
	until int64
	members
}

// history holds the former members within the window, oldest first.
type history struct {
	past []past
	// lostUntil is set when more memberships passed than are kept: until then
	// nothing is known for sure.
	lostUntil int64
}

// maxPast bounds the kept memberships.
const maxPast = 128

// add notes a membership that ended; of a known one the later end counts.
func (h *history) add(ended past, window int64) {
	if len(ended.nodes) == 0 {
		return
	}
	for i, known := range h.past {
		if !slices.Equal(known.nodes, ended.nodes) {
			continue
		}
		if known.until >= ended.until {
			return
		}
		h.past = slices.Delete(h.past, i, i+1)
		break
	}
	at, _ := slices.BinarySearchFunc(h.past, ended.until, func(p past, until int64) int { return compare(p.until, until) })
	h.past = slices.Insert(h.past, at, ended)
	if len(h.past) > maxPast {
		h.lostUntil = max(h.lostUntil, h.past[0].until+window)
		h.past = slices.Delete(h.past, 0, 1)
	}
}

// forget drops what left the window.
func (h *history) forget(before int64) {
	kept := 0
	for kept < len(h.past) && h.past[kept].until < before {
		kept++
	}
	h.past = slices.Delete(h.past, 0, kept)
}

// owners lists the former owners of a key, and when the last membership with
// each ended.
func (h *history) owners(hash uint64) map[cluster.NodeID]int64 {
	owners := make(map[cluster.NodeID]int64)
	for _, former := range h.past {
		owners[former.owner(hash)] = former.until
	}
	return owners
}

// export returns the history as it goes into an Answer.
func (h *history) export() []Past {
	exported := make([]Past, 0, len(h.past))
	for _, former := range h.past {
		exported = append(exported, Past{Until: time.Unix(0, former.until), Nodes: former.nodes})
	}
	return exported
}

func compare(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
