package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// stabilityPeriod is the time without a local change after which differing
// digests indicate lost gossip: before that, the gossip may still be in transit.
const stabilityPeriod = 5 * time.Second

// startupPeriod is the time after its start in which a node does not wait for
// stabilityPeriod: when many nodes start together, gossip changes the members here
// for too long to wait until the changes end.
const startupPeriod = 30 * time.Second

// fullExchangeTransmissions is the number of heartbeats that carry a record
// received in a full exchange. It is low because most members already know such a
// record.
const fullExchangeTransmissions = 2

// gossipHeartbeat returns the next heartbeat to a member, with gossip. A receiver
// that is not considered alive gets its own record, so that it can refute it.
func (c *Core) gossipHeartbeat(to cluster.NodeID) wire.Heartbeat {
	c.sequence++
	heartbeat := c.baseHeartbeat()
	heartbeat.Sequence = c.sequence
	heartbeat.Gossip = c.selectGossip(to)
	return heartbeat
}

// baseHeartbeat returns a heartbeat without a sequence number and without gossip.
func (c *Core) baseHeartbeat() wire.Heartbeat {
	return wire.Heartbeat{
		From: c.self, Incarnation: c.incarnation, Leaving: c.leaving, MembersDigest: c.membersDigest(),
	}
}

// selectGossip returns the records with the most transmissions left. The
// receiver's own record comes first if the receiver has something to refute.
func (c *Core) selectGossip(to cluster.NodeID) []wire.MemberRecord {
	var records []wire.MemberRecord
	receiver := c.members[to]
	if receiver != nil && receiver.State != StateAlive {
		records = append(records, receiver.record())
	}
	slices.SortStableFunc(c.gossipQueue, func(a, b *entry) int { return cmp.Compare(b.transmissionsLeft, a.transmissionsLeft) })
	for _, member := range c.gossipQueue[:min(len(c.gossipQueue), c.config.GossipRecords)] {
		if member != receiver {
			member.transmissionsLeft--
			records = append(records, member.record())
		}
	}
	c.gossipQueue = slices.DeleteFunc(c.gossipQueue, func(e *entry) bool { return e.transmissionsLeft == 0 })
	return records
}

func (e *entry) record() wire.MemberRecord {
	return wire.MemberRecord{Node: e.Node, Incarnation: e.Incarnation, State: string(e.State)}
}

// allRecords returns the records of all members, including dead ones.
func (c *Core) allRecords() []wire.MemberRecord {
	records := make([]wire.MemberRecord, 0, len(c.sorted))
	for _, member := range c.sorted {
		records = append(records, member.record())
	}
	return records
}

// receive merges a heartbeat and answers it.
func (c *Core) receive(now time.Time, heartbeat wire.Heartbeat) {
	from := heartbeat.From
	if from.ID == c.self.ID || from.ID == "" {
		return
	}
	isNew := c.members[from.ID] == nil
	c.merge(now, senderRecord(heartbeat), c.transmissions())
	transmissions := c.transmissions()
	if len(heartbeat.Gossip) > c.config.GossipRecords+1 {
		transmissions = fullExchangeTransmissions
		c.nextSync = now.Add(c.syncInterval(now))
	}
	for _, record := range heartbeat.Gossip {
		c.merge(now, record, transmissions)
	}
	answersProbe := c.completeProbes(from.ID, heartbeat.Sequence)
	exchangeDue := c.needsFullExchange(now, heartbeat)
	switch {
	case !heartbeat.Ack:
		c.acknowledge(now, heartbeat, exchangeDue || knowsNoOtherMember(heartbeat) || (isNew && heartbeat.MembersDigest == 0))
	case exchangeDue && answersProbe:
		// A late answer comes from a node that was paused. That node asks for the
		// records it missed, so that the nodes that probed it do not all send them.
		c.startFullExchange(now, from)
	}
}

// knowsNoOtherMember reports whether the sender knows no other member, as is the
// case after its start.
func knowsNoOtherMember(heartbeat wire.Heartbeat) bool {
	return heartbeat.MembersDigest == max(1, nodeHash(heartbeat.From.ID, heartbeat.Incarnation))
}

// senderRecord returns the member record that a heartbeat implies for its sender.
func senderRecord(heartbeat wire.Heartbeat) wire.MemberRecord {
	state := StateAlive
	if heartbeat.Leaving {
		state = StateLeaving
	}
	return wire.MemberRecord{Node: heartbeat.From, Incarnation: heartbeat.Incarnation, State: string(state)}
}

// acknowledge answers a heartbeat. If full is set, the answer carries the records
// of all members.
func (c *Core) acknowledge(now time.Time, heartbeat wire.Heartbeat, full bool) {
	ack := c.baseHeartbeat()
	ack.Ack = true
	ack.Sequence = heartbeat.Sequence
	if full {
		ack.Gossip = c.allRecords()
		c.nextSync = now.Add(c.syncInterval(now))
	} else {
		ack.Gossip = c.selectGossip(heartbeat.From.ID)
	}
	c.send(heartbeat.From.PeerAddress, ack)
}

// needsFullExchange reports whether the sender's member digest differs from the
// local one and a full exchange is allowed. Shortly after the start only
// SyncInterval limits exchanges; later there must also have been no local change
// for stabilityPeriod.
func (c *Core) needsFullExchange(now time.Time, heartbeat wire.Heartbeat) bool {
	stable := c.isStartingUp(now) || now.Sub(c.lastChange) >= stabilityPeriod
	return stable && !now.Before(c.nextSync) &&
		heartbeat.MembersDigest != 0 && heartbeat.MembersDigest != c.membersDigest()
}

// isStartingUp reports whether the node is within startupPeriod of its start.
func (c *Core) isStartingUp(now time.Time) bool { return now.Sub(c.startedAt) < startupPeriod }

// syncInterval returns the minimum time between full exchanges, halved during
// startupPeriod.
func (c *Core) syncInterval(now time.Time) time.Duration {
	if c.isStartingUp(now) {
		return c.config.SyncInterval / 2
	}
	return c.config.SyncInterval
}

// startFullExchange sends all member records to a peer. The peer answers with the
// records of which it has newer versions, as gossip.
func (c *Core) startFullExchange(now time.Time, to cluster.Node) {
	c.nextSync = now.Add(c.syncInterval(now))
	c.sequence++
	heartbeat := c.baseHeartbeat()
	heartbeat.Sequence = c.sequence
	heartbeat.Gossip = c.allRecords()
	c.send(to.PeerAddress, heartbeat)
}
