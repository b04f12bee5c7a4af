package node

import (
	"time"

	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/affinity"
	"github.com/valveslip/valveslip/wire"
)

const (
	// prefixInterval is how often routers tell their zone's controller which
	// prompts went where, and how often it passes that on.
	prefixInterval = time.Second
	// maxRelayedPrefixes bounds what a controller passes on at once; older ones
	// are dropped. With names of 16 bytes and no two prompts at one replica that
	// is 11 KiB a second to each node.
	maxRelayedPrefixes = 256
)

// prefixReporter tells the zone which prompts this router's engines have read.
type prefixReporter struct{ next time.Time }

// reportPrefixes tells the zone's controller what was sent where.
func (c *Core) reportPrefixes() {
	if c.now.Before(c.prefixes.next) {
		return
	}
	c.prefixes.next = c.now.Add(prefixInterval)
	groups := c.router.SentPrefixes()
	if len(groups) == 0 {
		return
	}
	if c.cellRole.controller.Holding() {
		c.cellRole.prefixes.sent.NoteGroups(groups)
		return
	}
	if own := c.cells.cells[c.self.Zone]; own != nil {
		c.send(own.address, wire.SentPrefixes{From: c.self.ID, Zone: c.self.Zone, Groups: groups})
	}
}

// prefixesReceived takes a router's part as controller, and the zone's sum as
// router. Those of another zone are ignored: a node may have changed its zone.
func (c *Core) prefixesReceived(message wire.SentPrefixes) {
	switch {
	case message.Zone != c.self.Zone:
	case message.Relayed:
		c.routing(routing.PrefixesTold{Groups: message.Groups})
	case c.cellRole.controller.Holding():
		c.cellRole.prefixes.sent.NoteGroups(message.Groups)
	}
}

// prefixRelay sums up the routers' prompts as controller.
type prefixRelay struct {
	sent *affinity.Ledger
	next time.Time
}

func newPrefixRelay() prefixRelay {
	return prefixRelay{sent: affinity.NewLedger(maxRelayedPrefixes)}
}

// relayPrefixes passes on to the zone's routers, and to this node's, what was
// sent since the last time.
func (r *cellRole) relayPrefixes() {
	core := r.core
	if core.now.Before(r.prefixes.next) {
		return
	}
	r.prefixes.next = core.now.Add(prefixInterval)
	groups := r.prefixes.sent.Take()
	if len(groups) == 0 {
		return
	}
	core.routing(routing.PrefixesTold{Groups: groups})
	r.tellZone(wire.SentPrefixes{From: core.self.ID, Zone: core.self.Zone, Relayed: true, Groups: groups})
}

// tellZone sends a message to the other live nodes of the zone.
func (r *cellRole) tellZone(message wire.Message) {
	for _, member := range r.core.members.Members() {
		if member.Node.Zone == r.core.self.Zone && r.alive(member.Node.ID) {
			r.core.send(member.Node.PeerAddress, message)
		}
	}
}
