package node

import (
	"time"

	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/affinity"
	"github.com/valveslip/valveslip/wire"
)

const (
	// prefixInterval is the time between two reports of sent prompt prefixes from a
	// router to its zone's controller, and between two relays by the controller.
	prefixInterval = time.Second
	// maxRelayedPrefixes limits the prefixes in one relay; older ones are dropped. With
	// names of 16 bytes and each prompt at another replica, this is 11 KiB/s to each
	// node.
	maxRelayedPrefixes = 256
)

// prefixReporter schedules the reports of the prompts that this router's engines have
// processed.
type prefixReporter struct{ nextReport time.Time }

// reportPrefixesIfDue reports to the zone's controller which prefixes were sent to
// which machines.
func (c *Core) reportPrefixesIfDue() {
	if c.now.Before(c.prefixes.nextReport) {
		return
	}
	c.prefixes.nextReport = c.now.Add(prefixInterval)
	groups := c.router.SentPrefixes()
	if len(groups) == 0 {
		return
	}
	if c.cellRole.controller.Holding() {
		c.cellRole.prefixes.pending.NoteGroups(groups)
		return
	}
	if own := c.cells.cells[c.self.Zone]; own != nil {
		c.send(own.address, wire.SentPrefixes{From: c.self.ID, Zone: c.self.Zone, Groups: groups})
	}
}

// prefixesReceived handles a router's report as controller, or the controller's relay
// as router. Messages of another zone are ignored: a node may have changed its zone.
func (c *Core) prefixesReceived(message wire.SentPrefixes) {
	switch {
	case message.Zone != c.self.Zone:
	case message.Relayed:
		c.stepRouter(routing.PrefixesReceived{Groups: message.Groups})
	case c.cellRole.controller.Holding():
		c.cellRole.prefixes.pending.NoteGroups(message.Groups)
	}
}

// prefixRelay collects the routers' reports in the controller.
type prefixRelay struct {
	pending   *affinity.PrefixLog
	nextRelay time.Time
}

func newPrefixRelay() prefixRelay {
	return prefixRelay{pending: affinity.NewPrefixLog(maxRelayedPrefixes)}
}

// relayPrefixes sends the prefixes collected since the last relay to the routers of
// the zone, this node's included.
func (r *cellRole) relayPrefixes() {
	core := r.core
	if core.now.Before(r.prefixes.nextRelay) {
		return
	}
	r.prefixes.nextRelay = core.now.Add(prefixInterval)
	groups := r.prefixes.pending.Take()
	if len(groups) == 0 {
		return
	}
	core.stepRouter(routing.PrefixesReceived{Groups: groups})
	r.sendToZone(wire.SentPrefixes{From: core.self.ID, Zone: core.self.Zone, Relayed: true, Groups: groups})
}

// sendToZone sends a message to the other live nodes of the zone.
func (r *cellRole) sendToZone(message wire.Message) {
	for _, member := range r.core.members.Members() {
		if member.Node.Zone == r.core.self.Zone && r.isAlive(member.Node.ID) {
			r.core.send(member.Node.PeerAddress, message)
		}
	}
}
