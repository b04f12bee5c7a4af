package feed

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// backupRelayTimeout is how long another relay may take to answer: two messages, and queues at
// either end on machines with a fifth of a core.
const backupRelayTimeout = 250 * time.Millisecond

// backupRelay is a relay that is asked for changes in place of a silent one.
type backupRelay struct {
	id       cluster.NodeID
	askedAt  time.Time
	answered bool
}

// askBackupRelay makes a leaf whose relay is silent ask another relay of its zone, and reports
// whether it sent a request. A relay's answer holds only changes that carry news, while the store's
// also holds the heartbeats of all workers since. A leaf that gets no answer polls the store.
func (c *Core) askBackupRelay() bool {
	if c.tree.role != leaf || c.revision == 0 || c.missesChanges || c.sourceIsCurrent() || c.gapTooLong || c.rereadNeeded {
		return false
	}
	if !c.backupRelay.answered && c.now.Sub(c.backupRelay.askedAt) < c.sourceTimeout() {
		return false
	}
	relays := c.tree.zoneRelays(&c.cfg, c.tree.group[0].ID)
	if len(relays) == 0 {
		return false
	}
	// Keep the relay that answered last. Otherwise take the next one, beginning at this node's
	// position so that leaves spread over the relays.
	index := c.tree.position % len(relays)
	if previous := slices.IndexFunc(relays, func(p Peer) bool { return p.ID == c.backupRelay.id }); previous >= 0 {
		index = previous
		if !c.backupRelay.answered {
			index = (previous + 1) % len(relays)
		}
	}
	c.backupRelay = backupRelay{id: relays[index].ID, askedAt: c.now}
	c.nextCallAt = c.now.Add(backupRelayTimeout)
	c.emit(RequestChanges{Address: relays[index].Address, Request: wire.StoreChangesRequest{
		From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, After: c.revision, Always: true,
	}})
	return true
}
