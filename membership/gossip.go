package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// quietTime without a change here is when differing digests are taken for lost
// gossip, not for gossip on its way.
const quietTime = 5 * time.Second

// heartbeat makes the next heartbeat to a member. Whoever is not held to be
// alive is told so, to let it refute.
func (c *Core) heartbeat(to cluster.NodeID) wire.Heartbeat {
	c.sequence++
	heartbeat := c.bare()
	heartbeat.Sequence = c.sequence
	heartbeat.Gossip = c.news(to)
	return heartbeat
}

// bare is a heartbeat without gossip.
func (c *Core) bare() wire.Heartbeat {
	return wire.Heartbeat{
		From: c.self, Incarnation: c.incarnation, Leaving: c.leaving, MembersDigest: c.membersDigest(),
	}
}

// news picks the records that were passed on least often, after the receiver's
// own when it has something to refute.
func (c *Core) news(to cluster.NodeID) []wire.MemberRecord {
	var records []wire.MemberRecord
	receiver := c.members[to]
	if receiver != nil && receiver.State != StateAlive {
		records = append(records, receiver.record())
	}
	var fresh []*entry
	for _, id := range c.order {
		if member := c.members[id]; member.gossipLeft > 0 && id != to {
			fresh = append(fresh, member)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *entry) int { return cmp.Compare(b.gossipLeft, a.gossipLeft) })
	for _, member := range fresh[:min(len(fresh), c.config.GossipRecords)] {
		member.gossipLeft--
		records = append(records, member.record())
	}
	return records
}

func (e *entry) record() wire.MemberRecord {
	return wire.MemberRecord{Node: e.Node, Incarnation: e.Incarnation, State: string(e.State)}
}

// everyone lists all members, the dead included.
func (c *Core) everyone() []wire.MemberRecord {
	records := make([]wire.MemberRecord, 0, len(c.order))
	for _, id := range c.order {
		records = append(records, c.members[id].record())
	}
	return records
}

// receive takes in a heartbeat and answers it.
func (c *Core) receive(now time.Time, heartbeat wire.Heartbeat) {
	from := heartbeat.From
	if from.ID == c.self.ID || from.ID == "" {
		return
	}
	known := c.members[from.ID]
	isNew := known == nil
	c.merge(now, senderRecord(heartbeat))
	for _, record := range heartbeat.Gossip {
		c.merge(now, record)
	}
	c.heard(from.ID)
	differs := c.differs(now, heartbeat)
	switch {
	case !heartbeat.Ack:
		c.answer(now, heartbeat, isNew || differs)
	case differs:
		c.sync(now, from)
	}
}

// senderRecord is what a heartbeat says of its sender.
func senderRecord(heartbeat wire.Heartbeat) wire.MemberRecord {
	state := StateAlive
	if heartbeat.Leaving {
		state = StateLeaving
	}
	return wire.MemberRecord{Node: heartbeat.From, Incarnation: heartbeat.Incarnation, State: string(state)}
}

// answer acknowledges a heartbeat, with all members if full.
func (c *Core) answer(now time.Time, heartbeat wire.Heartbeat, full bool) {
	ack := c.bare()
	ack.Ack = true
	ack.Sequence = heartbeat.Sequence
	if full {
		ack.Gossip = c.everyone()
		c.nextSync = now.Add(c.config.SyncInterval)
	} else {
		ack.Gossip = c.news(heartbeat.From.ID)
	}
	c.send(heartbeat.From.PeerAddress, ack)
}

// differs reports whether the sender's members differ from those here although
// nothing changed for a while, and a full exchange is due.
func (c *Core) differs(now time.Time, heartbeat wire.Heartbeat) bool {
	return heartbeat.MembersDigest != 0 && heartbeat.MembersDigest != c.membersDigest() &&
		now.Sub(c.lastChange) >= quietTime && !now.Before(c.nextSync)
}

// sync sends all members to a peer, which answers with what it knows to be
// newer by gossip.
func (c *Core) sync(now time.Time, to cluster.Node) {
	c.nextSync = now.Add(c.config.SyncInterval)
	c.sequence++
	heartbeat := c.bare()
	heartbeat.Sequence = c.sequence
	heartbeat.Gossip = c.everyone()
	c.send(to.PeerAddress, heartbeat)
}
