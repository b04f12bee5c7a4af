package origins

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// replication is a message with origins that its receiver has not acknowledged yet.
type replication struct {
	to      Peer
	streams []cluster.RequestID
	// sends counts the sends so far, replaced is set if to took the place of an owner that was silent.
	sends    int
	replaced bool
	dueAt    time.Time
	interval time.Duration
}

// ownerIDs returns the owners of an origin, this node not counted.
func (c *Core) ownerIDs(id cluster.RequestID) []cluster.NodeID {
	var ids []cluster.NodeID
	for _, p := range c.ranked(id, ownerCount) {
		ids = append(ids, p.ID)
	}
	return ids
}

// replicate sends origins to those of their owners, and to the archivist, that don't have them.
func (c *Core) replicate(ids []cluster.RequestID) {
	var order []cluster.NodeID
	streams := map[cluster.NodeID][]cluster.RequestID{}
	for _, id := range ids {
		known := c.origins[id]
		owners := c.ownerIDs(id)
		receivers := slices.DeleteFunc(slices.Clone(owners), func(owner cluster.NodeID) bool { return slices.Contains(known.holders, owner) })
		if known.relayed && known.archivist != c.archivist.ID {
			known.archivist = c.archivist.ID
			if !c.archive(id) && c.peers[c.archivist.ID].ID != "" && !slices.Contains(receivers, c.archivist.ID) {
				receivers = append(receivers, c.archivist.ID)
			}
		}
		for _, receiver := range receivers {
			if len(streams[receiver]) == 0 {
				order = append(order, receiver)
			}
			streams[receiver] = append(streams[receiver], id)
		}
		known.holders = owners
	}
	for _, owner := range order {
		for part := range slices.Chunk(streams[owner], maxStreams) {
			c.sendOrigins(&replication{to: c.peers[owner], streams: part, interval: firstResend})
		}
	}
}

// sendOrigins sends a message with origins for the first time.
func (c *Core) sendOrigins(message *replication) {
	if len(c.pending) >= maxPending {
		return
	}
	number := c.nextNumber()
	c.pending[number] = message
	c.resend(number, message)
}

// resend sends a message with origins, without those that have expired since.
func (c *Core) resend(number int64, message *replication) {
	streams := make([]wire.StreamOrigin, 0, len(message.streams))
	for _, id := range message.streams {
		if known := c.origins[id]; known != nil && c.now.Before(known.expires) {
			streams = append(streams, wire.StreamOrigin{Request: id, Release: known.release, Left: known.expires.Sub(c.now)})
		}
	}
	if len(streams) == 0 {
		delete(c.pending, number)
		return
	}
	message.sends++
	message.dueAt = c.now.Add(message.interval)
	message.interval *= 3
	c.emit(Send{Address: message.to.Address, Message: wire.StreamOrigins{From: c.self.ID, FromAddress: c.self.Address, Number: number, Streams: streams}})
}

// resendDue sends the messages again that were not acknowledged in time.
func (c *Core) resendDue() {
	var due []int64
	for number, message := range c.pending {
		if !c.now.Before(message.dueAt) {
			due = append(due, number)
		}
	}
	slices.Sort(due)
	for _, number := range due {
		message := c.pending[number]
		if message.sends < maxSends {
			c.resend(number, message)
			continue
		}
		delete(c.pending, number)
		c.replaceOwner(message)
	}
}

// replaceOwner sends origins that an owner did not acknowledge to the next node in the ranking: the owner may
// have ended, or run a build that does not know the message.
func (c *Core) replaceOwner(silent *replication) {
	if silent.replaced {
		return
	}
	for _, id := range silent.streams {
		known := c.origins[id]
		if known == nil {
			continue
		}
		for _, next := range c.ranked(id, askedFirst) {
			if !slices.Contains(known.holders, next.ID) {
				known.holders = append(slices.Clone(known.holders), next.ID)
				c.sendOrigins(&replication{to: next, streams: []cluster.RequestID{id}, interval: firstResend, replaced: true})
				break
			}
		}
	}
}
