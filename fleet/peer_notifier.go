package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/dispatch"
	"github.com/valveslip/valveslip/fleet/lending"
	"github.com/valveslip/valveslip/routing"
)

// notifyIntervalPerNode is the least time between two notifications about the live nodes, for
// each live node. The recomputation that follows a notification grows with the number of nodes
// and takes at most 1% of this interval on a whole core. With 1,000 nodes there are at most four
// notifications per second.
const notifyIntervalPerNode = 250 * time.Microsecond

// peerNotifier notifies the parts of the core of changes to the live nodes. Which nodes relay,
// lend, dispatch and share limits is recomputed from all live nodes on each notification. A
// single change is reported at once. Changes are batched while many nodes start or stop, because
// a recomputation for each of them would take all of every node's processor time.
type peerNotifier struct {
	core *Core
	// changePending is set while a change has not been reported; notifiedAt is the time of the
	// last notification.
	changePending bool
	notifiedAt    time.Time
	// notifications counts the notifications.
	notifications int
}

// markChanged records that the live nodes have changed.
func (p *peerNotifier) markChanged() {
	p.changePending = true
	p.tick()
}

// due returns the time of the next notification, zero if nothing has changed.
func (p *peerNotifier) due() time.Time {
	if !p.changePending {
		return time.Time{}
	}
	return p.notifiedAt.Add(time.Duration(len(p.core.nodes.live)) * notifyIntervalPerNode)
}

// tick sends a notification if one is due.
func (p *peerNotifier) tick() {
	if !p.changePending || p.core.now.Before(p.due()) {
		return
	}
	p.changePending, p.notifiedAt = false, p.core.now
	p.notifications++
	p.core.controller.rankCached = false
	p.notifyRouter()
	p.notifyPeerCores()
	p.core.emit(PeersChanged{})
}

// notifyPeerCores passes the live nodes to the lending, pacing and dispatching cores.
func (p *peerNotifier) notifyPeerCores() {
	c := p.core
	peers := make([]lending.Peer, 0, len(c.nodes.live))
	for _, entry := range c.nodes.live {
		peers = append(peers, entry.lendingPeer())
	}
	c.feedLending(lending.PeersChanged{Peers: peers, HasPredecessor: c.restarted})
	c.pacer.peersChanged()
	c.resumptions.peersChanged()
	if c.dispatchClient == nil {
		return
	}
	dispatchers := make([]dispatch.Peer, 0, len(c.nodes.live))
	for _, entry := range c.nodes.live {
		dispatchers = append(dispatchers, entry.dispatchPeer())
	}
	c.dispatchClient.step(dispatch.PeersChanged{Peers: dispatchers})
}

// notifyRouter tells the router how many nodes share machines and budgets.
func (p *peerNotifier) notifyRouter() {
	c := p.core
	routers := routing.RoutersChanged{Routers: 1}
	for id := range c.nodes.live {
		switch cmp.Compare(id, c.config.Self.ID) {
		case -1:
			routers.Rank++
			routers.Routers++
		case 1:
			routers.Routers++
		}
	}
	if routers.Routers == c.reportedRouters.Routers && routers.Rank == c.reportedRouters.Rank {
		return
	}
	c.reportedRouters = routers
	for zone, region := range c.config.Regions {
		routers.Zones = append(routers.Zones, routing.ZoneRegion{Zone: zone, Region: region})
	}
	slices.SortFunc(routers.Zones, func(a, b routing.ZoneRegion) int { return cmp.Compare(a.Zone, b.Zone) })
	c.feedRouter(routers)
	c.log(eventlog.NodesChanged{Nodes: routers.Routers})
}
