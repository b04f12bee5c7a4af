package feed

import (
	"cmp"
	"slices"

	"github.com/valveslip/valveslip/cluster"
)

// role is a node's place between the store and the nodes that learn through it.
type role uint8

const (
	// alone: no relay serves the node, it asks the store for itself.
	alone role = iota
	// leaf: a relay of the node's zone passes changes on to it.
	leaf
	// relay: the node passes changes on to leaves of its zone. The root, if there is
	// one, passes them on to it; otherwise it asks the store.
	relay
	// root: the relay that asks the store for all relays.
	root
)

// tree is what a node makes of the live nodes: its role, whom it passes changes on to,
// and when its turn comes to step in for a silent node above it. All nodes that know
// the same nodes come to the same tree; those that don't still learn of every change,
// since a silent source is replaced by whoever notices.
type tree struct {
	role role
	// rooted is set when one relay asks the store for all others.
	rooted bool
	// position among the nodes that learn from the same one, from zero.
	position int
	// siblings counts those nodes, this one included.
	siblings int
	// relays are those of all zones but this node, the root first.
	relays []Peer
	// group holds the leaves of a relay, or a leaf's relay and the relay's other leaves.
	group []Peer
	// peers holds all nodes by their identifiers.
	peers map[cluster.NodeID]Peer
}

// newTree ranks the live nodes; self counts among them.
func newTree(cfg *Config, peers []Peer) tree {
	t := tree{role: alone, siblings: 1, peers: make(map[cluster.NodeID]Peer, len(peers)+1)}
	for _, p := range peers {
		t.peers[p.ID] = p
	}
	t.peers[cfg.Self.ID] = cfg.Self
	zones := byZone(t.peers)
	t.relays = relaysOf(cfg, zones)
	t.rooted = len(t.relays) >= cfg.MinRelays && cfg.Within >= rootedWithin
	t.place(cfg, zones[cfg.Self.Zone])
	t.relays = slices.DeleteFunc(t.relays, func(p Peer) bool { return p.ID == cfg.Self.ID })
	return t
}

// place finds the role of a node and its group in its zone.
func (t *tree) place(cfg *Config, zone []Peer) {
	relays := cfg.relaysIn(len(zone))
	rank := slices.IndexFunc(zone, func(p Peer) bool { return p.ID == cfg.Self.ID })
	if relays == 0 {
		return
	}
	if rank < relays {
		t.role = relay
		t.group = leavesOf(zone, relays, rank)
		t.position = slices.IndexFunc(t.relays, func(p Peer) bool { return p.ID == cfg.Self.ID })
		t.siblings = len(t.relays)
		if t.rooted && t.position == 0 {
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

// below lists the nodes that an update goes to. A node that asked the store itself,
// because its source was silent, serves those that had the same source as well.
func (t *tree) below(steppedIn bool) []Peer {
	switch {
	case t.role == root, t.role == relay && t.rooted && steppedIn:
		return slices.Concat(t.relays, t.group)
	case t.role == relay, t.role == leaf && steppedIn:
		return t.group
	}
	return nil
}

// passesOn reports whether the node passes changes on as a matter of course.
func (t *tree) passesOn() bool { return t.role == relay || t.role == root }

// hasSource reports whether another node is to keep this one up to date.
func (t *tree) hasSource() bool { return t.role == leaf || t.role == relay && t.rooted }

// isSource reports whether a node that passes changes on is one that this node waits
// for: not when it would step in later than this one, or both would wait for each other.
// One that is not known yet counts.
func (t *tree) isSource(id cluster.NodeID) bool {
	same := func(p Peer) bool { return p.ID == id }
	if t.role == leaf {
		return slices.IndexFunc(t.group, same) <= t.position
	}
	return slices.IndexFunc(t.relays, same) < t.position
}

// byZone sorts nodes into zones, those that relay first: of greatest capacity, then by
// the last identifier. The holder of the lease is the first by identifier: plans and
// relaying need not meet on one machine.
func byZone(peers map[cluster.NodeID]Peer) map[cluster.ZoneID][]Peer {
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
		relays = append(relays, zone[:cfg.relaysIn(len(zone))]...)
	}
	slices.SortFunc(relays, compareRelays)
	return relays
}

// leavesOf lists the nodes of a zone that learn from the relay of a rank.
func leavesOf(zone []Peer, relays, rank int) []Peer {
	var leaves []Peer
	for i := relays; i < len(zone); i++ {
		if i%relays == rank {
			leaves = append(leaves, zone[i])
		}
	}
	return leaves
}
