package feed

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// substituteWait is how long another relay may take to answer: two messages, and queues at
// either end on machines with a fifth of a core.
const substituteWait = 250 * time.Millisecond

// substitute is a relay that is asked for changes in place of the silent one.
type substitute struct {
	id       cluster.NodeID
	askedAt  time.Time
	answered bool
}

// askSubstitute has a leaf whose relay is silent ask another relay of its zone, and reports
// whether it did: the relay's answer holds what is new, the store's also the heartbeats of all
// workers since. One that has no answer goes on to the store.
func (c *Core) askSubstitute() bool {
	if c.tree.role != leaf || c.revision == 0 || c.urgent || c.heard() || c.whole || c.anew {
		return false
	}
	if !c.substitute.answered && c.now.Sub(c.substitute.askedAt) < c.silence() {
		return false
	}
	relays := c.tree.zoneRelays(&c.cfg, c.tree.group[0].ID)
	if len(relays) == 0 {
		return false
	}
	// The one that answered, else the next, beginning where this node's place says.
	at := c.tree.position % len(relays)
	if before := slices.IndexFunc(relays, func(p Peer) bool { return p.ID == c.substitute.id }); before >= 0 {
		at = before
		if !c.substitute.answered {
			at = (before + 1) % len(relays)
		}
	}
	c.substitute = substitute{id: relays[at].ID, askedAt: c.now}
	c.callAt = c.now.Add(substituteWait)
	c.emit(Ask{Address: relays[at].Address, Request: wire.StoreChangesRequest{
		From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, After: c.revision, Always: true,
	}})
	return true
}
