package fleet

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
)

const (
	// unconfirmedMachineTime is how long a machine is used whose entry a restored store lacks: machines
	// write their entries with each heartbeat, about one a second, and an entry ends after three.
	unconfirmedMachineTime = 4 * time.Second
	// unconfirmedNodeTime is how long a node counts as live whose record a restored store lacks: 340
	// nodes write theirs again within 3.4 s.
	unconfirmedNodeTime = 5 * time.Second
	// nodeRewriteSpacing is the time between the first writes of two nodes that write their lost records
	// again, so that the store takes no more than 100 of them per second.
	nodeRewriteSpacing = 10 * time.Millisecond
)

// eraBegan takes the era that the last records were read in. A record that is known and was not read
// again has the same count of changes in the new era.
func (c *Core) eraBegan(era keyvalue.Era) {
	c.eraChanged = c.eraChanged || !c.eraSince.IsZero() && era != c.era
	c.era, c.eraSince = era, c.now
	c.nodes.eraBegan(era)
	c.nodeLease.eraBegan(era)
	c.controller.eraBegan(era)
	c.releases.eraBegan(era)
	c.archive.eraBegan(era)
	c.limits.eraBegan(era)
	c.unstored.eraBegan()
	c.poison.eraBegan(era)
}

// inEra returns the revision of an unchanged record in a later era; zero stays zero.
func inEra(revision keyvalue.Revision, era keyvalue.Era) keyvalue.Revision {
	if revision.Era() >= era {
		return revision
	}
	moved, err := keyvalue.NewRevision(era, revision.Counter())
	if err != nil {
		return 0
	}
	return moved
}

// ticketsLost reports whether a ticket with the given lifetime may have been lost with the era before:
// another node may have the credit that a ticket grants once.
func (c *Core) ticketsLost(lifetime time.Duration) bool {
	return c.era > 0 && c.now.Sub(c.eraSince) < lifetime
}

// unconfirmNodes keeps the live nodes whose records a restored store lacks for unconfirmedNodeTime.
func (c *Core) unconfirmNodes(read *NodesRead) {
	listed := func(id cluster.NodeID) bool {
		return slices.ContainsFunc(read.Nodes, func(entry NodeEntry) bool { return entry.ID == id })
	}
	for id := range c.nodes.live {
		if read.Full && !listed(id) || slices.Contains(read.Gone, id) {
			c.nodes.unconfirmed[id] = c.now.Add(unconfirmedNodeTime)
		}
	}
}

// dropUnconfirmedNodes removes the nodes that have not written their lost records again in time.
func (c *Core) dropUnconfirmedNodes() {
	for id, until := range c.nodes.unconfirmed {
		if c.now.Before(until) {
			continue
		}
		c.nodes.remove(id)
		c.controller.demand.Forget(id)
		c.peerNotifier.markChanged()
	}
}
