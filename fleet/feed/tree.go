package feed

import (
	"cmp"
	"slices"

	"github.com/valveslip/valveslip/cluster"
)

// role is a node's place in the tree between the store and the nodes that learn through others.
type role uint8

const (
	// standalone: no relay serves the node, and it polls the store for itself.
	standalone role = iota
	// leaf: a relay of the node's zone forwards changes to it.
	leaf
	// relay: the node forwards changes to leaves of its zone. It learns from the root if there is
	// one, and polls the store otherwise.
	relay
	// root: the relay that polls the store for all relays.
	root
)

// tree is a node's view of the fleet: its role, the nodes that it forwards changes to, and its
// position in the order in which nodes replace a silent source. Nodes with the same list of live
// nodes compute the same tree. Nodes with different lists still learn of every change, as each node
// replaces a source that it finds silent.
type tree struct {
	role role
	// hasRoot is set if one relay polls the store for all others.
	hasRoot bool
	// position is the node's rank, from zero, among the nodes with the same source.
	position int
	// siblings counts the nodes with the same source, this one included.
	siblings int
	// relays are the relays of all zones except this node, the root first.
	relays []Peer
	// group holds the leaves of a relay, or a leaf's relay followed by the relay's other leaves.
	group []Peer
	// peers holds all nodes by identifier.
	peers map[cluster.NodeID]Peer
}

// newTree computes the tree of the live nodes and cfg.Self.
func newTree(cfg *Config, peers []Peer) tree {
	t := tree{role: standalone, siblings: 1, peers: make(map[cluster.NodeID]Peer, len(peers)+1)}
	for _, p := range peers {
		t.peers[p.ID] = p
	}
	t.peers[cfg.Self.ID] = cfg.Self
	zones := rankByZone(t.peers)
	t.relays = relaysOf(cfg, zones)
	t.hasRoot = len(t.relays) >= cfg.MinRelaysForRoot && cfg.MaxChangeDelay >= minDelayWithRoot
	t.assignRole(cfg, zones[cfg.Self.Zone])
	t.relays = slices.DeleteFunc(t.relays, func(p Peer) bool { return p.ID == cfg.Self.ID })
	return t
}

// assignRole sets the node's role and its group in the zone.
func (t *tree) assignRole(cfg *Config, zone []Peer) {
	relays := cfg.relayCount(len(zone))
	rank := slices.IndexFunc(zone, func(p Peer) bool { return p.ID == cfg.Self.ID })
	if relays == 0 {
		return
	}
	if rank < relays {
		t.role = relay
		t.group = leavesOf(zone, relays, rank)
		t.position = slices.IndexFunc(t.relays, func(p Peer) bool { return p.ID == cfg.Self.ID })
		t.siblings = len(t.relays)
		if t.hasRoot && t.position == 0 {
			t.role = root
		}
		return
	}
	own := rank % relays
	leaves := leavesOf(zone, relays, own)
	t.role = leaf
	t.position = slices.IndexFunc(leaves, func(p Peer) bool { return p.ID == cfg.Self.ID })
	t.siblings = len(leaves)
	t.group = append([]Peer{zone[own]}, slices.Delete(leaves, t.position, t.position+1)...)
}

// receivers lists the nodes that an update goes to. A node that polled the store because its source
// was silent also serves the other nodes of that source.
func (t *tree) receivers(sourceTimedOut bool) []Peer {
	switch {
	case t.role == root, t.role == relay && t.hasRoot && sourceTimedOut:
		return slices.Concat(t.relays, t.group)
	case t.role == relay, t.role == leaf && sourceTimedOut:
		return t.group
	}
	return nil
}

// forwards reports whether the node forwards every update.
func (t *tree) forwards() bool { return t.role == relay || t.role == root }

// hasSource reports whether another node is to keep this one up to date.
func (t *tree) hasSource() bool { return t.role == leaf || t.role == relay && t.hasRoot }

// isSource reports whether this node waits for the updates of the given node. It does not wait for
// a node with the same source and a later position, as both would wait for each other. A node that
// is not in the tree yet counts as a source.
func (t *tree) isSource(id cluster.NodeID) bool {
	same := func(p Peer) bool { return p.ID == id }
	if t.role == leaf {
		return slices.IndexFunc(t.group, same) <= t.position
	}
	return slices.IndexFunc(t.relays, same) < t.position
}

// rankByZone groups the nodes by zone, the first candidates for relay first: by greatest capacity,
// then by last identifier. The lease holder is the first by identifier, so that one
// machine need not do both jobs.
func rankByZone(peers map[cluster.NodeID]Peer) map[cluster.ZoneID][]Peer {
	zones := map[cluster.ZoneID][]Peer{}
	for _, p := range peers {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	for _, zone := range zones {
		slices.SortFunc(zone, compareRelays)
	}
	return zones
}

func compareRelays(a, b Peer) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(b.ID, a.ID))
}

// relaysOf lists the relays of all zones in the order in which they become the root.
func relaysOf(cfg *Config, zones map[cluster.ZoneID][]Peer) []Peer {
	var relays []Peer
	for _, zone := range zones {
		relays = append(relays, zone[:cfg.relayCount(len(zone))]...)
	}
	slices.SortFunc(relays, compareRelays)
	return relays
}

// leavesOf lists the nodes of a zone that learn from the relay of the given rank.
func leavesOf(zone []Peer, relays, rank int) []Peer {
	var leaves []Peer
	for i := relays; i < len(zone); i++ {
		if i%relays == rank {
			leaves = append(leaves, zone[i])
		}
	}
	return leaves
}
