package origins

import (
	"slices"

	"github.com/valveslip/valveslip/cluster"
)

// Origins that nodes keep are lost if all of them end at once. One node, the archivist, therefore receives each
// origin of a mixed service besides its owners, so that the origins of all nodes can be stored in a few writes.

// ArchivistChanged names the node that stores origins, which may be this one. An empty ID stands for none.
type ArchivistChanged struct{ Archivist Peer }

// Learned delivers stored origins, the oldest first.
type Learned struct{ Origins []Archived }

func (ArchivistChanged) originsEvent() {}
func (Learned) originsEvent()          {}

// Archived is an origin to store.
type Archived struct {
	Request cluster.RequestID
	Release string
}

// setArchivist handles a change of the archivist. It gets the origins of the streams that this node relays.
func (c *Core) setArchivist(archivist Peer) {
	c.archivist = archivist
	c.unarchived = nil
	for _, known := range c.origins {
		known.queued = false
	}
	if archivist.ID == "" {
		return
	}
	var relayed []cluster.RequestID
	for id, known := range c.origins {
		if known.relayed && c.mixed[known.service] {
			relayed = append(relayed, id)
		}
	}
	slices.Sort(relayed)
	c.replicate(relayed)
}

// archive has the origin stored if this node is the archivist. It reports whether it is.
func (c *Core) archive(id cluster.RequestID) bool {
	if c.archivist.ID != c.self.ID {
		return false
	}
	if known := c.origins[id]; !known.queued && len(c.unarchived) < maxUnarchived {
		known.queued = true
		c.unarchived = append(c.unarchived, id)
	}
	return true
}

// TakeUnarchived returns up to n origins that are to be stored, the oldest first.
func (c *Core) TakeUnarchived(n int) []Archived {
	taken := make([]Archived, 0, min(n, len(c.unarchived)))
	for _, id := range c.unarchived[:min(n, len(c.unarchived))] {
		if known := c.origins[id]; known != nil && c.now.Before(known.expires) {
			taken = append(taken, Archived{Request: id, Release: known.release})
		}
	}
	c.unarchived = c.unarchived[min(n, len(c.unarchived)):]
	return taken
}

// Return has origins stored that TakeUnarchived returned, since the store did not take them.
func (c *Core) Return(taken []Archived) {
	for _, origin := range taken {
		if known := c.origins[origin.Request]; known != nil {
			known.queued = false
			c.archive(origin.Request)
		}
	}
}

// Unarchived returns the number of origins that are to be stored.
func (c *Core) Unarchived() int { return len(c.unarchived) }

// learned keeps stored origins, and ends the lookups for them.
func (c *Core) learned(stored []Archived) {
	for _, found := range stored {
		if known := c.origins[found.Request]; known != nil && !known.stored {
			continue
		}
		c.put(found.Request, found.Release, c.now.Add(storedLifetime)).stored = true
		if open := c.lookups[found.Request]; open != nil {
			c.endLookup(open, Found{Request: found.Request, Known: true, Release: found.Release})
		}
	}
}
