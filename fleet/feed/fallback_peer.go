package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// introducersPerNode is how many nodes introduce themselves to a new one: more than one, so that
// the new node can still reach a peer after one of them dies.
const introducersPerNode = 2

// fallbackPeer is the node that a standalone node asks for changes while the store fails it. It
// stays the same for as long as it answers.
type fallbackPeer struct {
	id       cluster.NodeID
	askedAt  time.Time
	answered bool
}

// askFallbackPeer requests the changes since the known revision from another node, unless an
// earlier request may still be answered. It is for standalone nodes only, as nobody forwards
// changes to them; a node with a source receives changes from it.
func (c *Core) askFallbackPeer() {
	if c.tree.role != standalone || c.revision == 0 || c.now.Sub(c.fallbackPeer.askedAt) < peerAnswerTimeout {
		return
	}
	others := c.tree.othersByZone(&c.cfg.Self)
	if len(others) == 0 && c.lastRequester.Address != "" {
		others = []Peer{c.lastRequester}
	}
	if len(others) == 0 {
		return
	}
	index := slices.IndexFunc(others, func(p Peer) bool { return p.ID == c.fallbackPeer.id })
	if index < 0 || !c.fallbackPeer.answered {
		index = (index + 1) % len(others)
	}
	c.fallbackPeer = fallbackPeer{id: others[index].ID, askedAt: c.now}
	c.emit(RequestChanges{Address: others[index].Address, Request: wire.StoreChangesRequest{
		From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, After: c.revision,
	}})
}

// introduce sends a request to each new node whose zone has no relay, so that the new node knows at
// least one peer. A node that reads the store before the entries of the others are there, and that
// the store refuses from then on, otherwise knows no peer to ask and refuses new routes meanwhile.
// Without this, 7 of 280 second nodes were in that state: they started under load, and the store
// refused them once they were ready.
func (c *Core) introduce(before tree) {
	if c.revision == 0 {
		return
	}
	nodes := map[cluster.ZoneID]int{}
	for _, p := range c.tree.peers {
		nodes[p.Zone]++
	}
	for id, p := range c.tree.peers {
		_, known := before.peers[id]
		if known || id == c.cfg.Self.ID || c.cfg.relayCount(nodes[p.Zone]) > 0 || !c.tree.introduces(&c.cfg.Self, &p) {
			continue
		}
		c.emit(RequestChanges{Address: p.Address, Request: wire.StoreChangesRequest{
			From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, After: c.revision,
		}})
	}
}

// introduces reports whether self is one of the nodes that introduce themselves to the newcomer.
func (t *tree) introduces(self, newcomer *Peer) bool {
	nearest := t.othersByZone(newcomer)
	nearest = nearest[:min(introducersPerNode, len(nearest))]
	return slices.ContainsFunc(nearest, func(p Peer) bool { return p.ID == self.ID })
}

// othersByZone lists all other nodes, those of the node's own zone first, since traffic between
// zones is charged for.
func (t *tree) othersByZone(self *Peer) []Peer {
	var others []Peer
	for _, p := range t.peers {
		if p.ID != self.ID {
			others = append(others, p)
		}
	}
	zoneDistance := func(p Peer) int {
		if p.Zone == self.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(others, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(zoneDistance(a), zoneDistance(b)), cmp.Compare(a.ID, b.ID))
	})
	return others
}
