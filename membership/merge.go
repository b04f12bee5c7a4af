package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// merge applies one member record. If the record is newer than what is known, the
// given number of heartbeats will carry it.
func (c *Core) merge(now time.Time, record wire.MemberRecord, transmissions int) {
	state := State(record.State)
	if state.precedence() == 0 || record.Node.ID == "" {
		return
	}
	if record.Node.ID == c.self.ID {
		c.refute(record.Incarnation, state)
		return
	}
	known := c.members[record.Node.ID]
	if known == nil {
		c.addMember(now, record, state, transmissions)
		return
	}
	if !supersedes(record.Incarnation, state, known) {
		return
	}
	if !known.Running() && !c.resolveAddressConflict(now, record) {
		return
	}
	nodeChanged := known.Node != record.Node
	c.digest ^= known.hash()
	known.Node, known.Incarnation = record.Node, record.Incarnation
	c.digest ^= known.hash()
	if known.State != state {
		c.setState(now, known, state, transmissions)
		return
	}
	c.queueGossip(known, transmissions)
	c.lastChange = now
	if nodeChanged {
		c.effects = append(c.effects, Changed{Member: known.Member})
	}
}

// supersedes reports whether a record with the given incarnation and state
// replaces the known entry.
func supersedes(incarnation uint64, state State, known *entry) bool {
	if incarnation != known.Incarnation {
		return incarnation > known.Incarnation
	}
	return state.precedence() > known.State.precedence()
}

// refute responds to a record that calls this node suspect, dead or wrongly
// leaving by raising the node's incarnation above that of the record.
func (c *Core) refute(incarnation uint64, state State) {
	if incarnation < c.incarnation || state == StateAlive || (state == StateLeaving && c.leaving) {
		return
	}
	c.incarnation = incarnation + 1
	c.announceIncarnation()
}

// announceIncarnation sends the new incarnation to a few random members, which
// gossip it further.
func (c *Core) announceIncarnation() {
	near := c.runningMembers(func(zone cluster.ZoneID) bool { return zone == c.self.Zone })
	far := c.runningMembers(func(zone cluster.ZoneID) bool { return zone != c.self.Zone })
	for _, members := range [][]*entry{near, far} {
		for range min(announcementsPerScope, len(members)) {
			member := members[c.random.IntN(len(members))]
			c.send(member.Node.PeerAddress, c.gossipHeartbeat(member.Node.ID))
		}
	}
}

// addMember adds a member that was not known. A record of a dead member is
// ignored, because there is no entry that it could correct.
func (c *Core) addMember(now time.Time, record wire.MemberRecord, state State, transmissions int) {
	if state == StateDead || !c.resolveAddressConflict(now, record) {
		return
	}
	at, _ := c.sortedIndex(record.Node.ID)
	member := &entry{Member: Member{Node: record.Node, Incarnation: record.Incarnation, State: StateDead}}
	c.sorted = slices.Insert(c.sorted, at, member)
	c.members[record.Node.ID] = member
	c.setState(now, member, state, transmissions)
}

// resolveAddressConflict decides between two processes at one address: the one
// with the larger incarnation started later, and the other one is declared dead.
// It reports whether the process of the record is the later one.
func (c *Core) resolveAddressConflict(now time.Time, record wire.MemberRecord) bool {
	address := record.Node.PeerAddress
	if address == c.self.PeerAddress {
		return false
	}
	other := c.members[c.byAddress[address]]
	if other == nil || other.Node.ID == record.Node.ID {
		return true
	}
	if other.Incarnation > record.Incarnation {
		return false
	}
	c.setState(now, other, StateDead, c.transmissions())
	return true
}

// setState sets the state of a member, queues its record for gossip and reports
// the change.
func (c *Core) setState(now time.Time, member *entry, state State, transmissions int) {
	c.digest ^= member.hash()
	member.State = state
	c.digest ^= member.hash()
	member.Since = now
	c.queueGossip(member, transmissions)
	c.lastChange = now
	if !member.inExpiring && (state == StateSuspect || state == StateDead) {
		member.inExpiring = true
		c.expiring = append(c.expiring, member)
	}
	address := member.Node.PeerAddress
	switch state {
	case StateSuspect:
		member.suspicionDeadline = now.Add(c.suspicionTime())
		if member.Node.Zone == c.self.Zone {
			c.zoneProbeQueue = slices.Insert(c.zoneProbeQueue, 0, member.Node.ID)
		}
		c.byAddress[address] = member.Node.ID
	case StateDead:
		if c.byAddress[address] == member.Node.ID {
			delete(c.byAddress, address)
		}
		c.rejoin.add(address, now)
	default:
		c.byAddress[address] = member.Node.ID
	}
	c.effects = append(c.effects, Changed{Member: member.Member})
}

// queueGossip sets the number of heartbeats that carry the member's record.
func (c *Core) queueGossip(member *entry, transmissions int) {
	if member.transmissionsLeft == 0 {
		c.gossipQueue = append(c.gossipQueue, member)
	}
	member.transmissionsLeft = transmissions
}

// removeMember drops a dead member from all indexes.
func (c *Core) removeMember(member *entry) {
	delete(c.members, member.Node.ID)
	if at, found := c.sortedIndex(member.Node.ID); found {
		c.sorted = slices.Delete(c.sorted, at, at+1)
	}
	member.transmissionsLeft = 0
	c.gossipQueue = slices.DeleteFunc(c.gossipQueue, func(e *entry) bool { return e == member })
}

// suspicionTime returns the time a new suspect has to refute. It is longer while
// the probes of this node all fail.
func (c *Core) suspicionTime() time.Duration {
	if c.consecutiveFailures >= isolationFailures {
		return isolationSuspicionFactor * c.config.SuspicionTime
	}
	return c.config.SuspicionTime
}

const (
	// isolationFailures is the number of consecutive failed probes after which
	// this node assumes that its own network is at fault: it then multiplies the
	// suspicion time by isolationSuspicionFactor before it declares a member
	// dead.
	isolationFailures        = 4
	isolationSuspicionFactor = 3
	// announcementsPerScope is the number of random members that are told of a
	// new incarnation: this many in the node's own zone and this many in other
	// zones.
	announcementsPerScope = 3
	// transmissionFactor is the number of times a node sends a record per binary
	// digit of the member count: gossip reaches all members in a number of
	// rounds that is logarithmic in their count.
	transmissionFactor = 2
)

// transmissions returns the number of heartbeats that carry a new record.
func (c *Core) transmissions() int {
	return transmissionFactor * bits.Len(uint(len(c.sorted)+1))
}

// hash returns the member's contribution to the digest: a hash of identifier and
// incarnation for a running member, zero for a dead one. Suspicions are left out
// because they are temporary.
func (e *entry) hash() uint64 {
	if !e.Running() {
		return 0
	}
	return nodeHash(e.Node.ID, e.Incarnation)
}

func nodeHash(id cluster.NodeID, incarnation uint64) uint64 {
	// The finalizer of SplitMix64 spreads the small differences between
	// incarnations over all bits, so that hashes combined by XOR do not cancel
	// out.
	mixed := xxhash.Sum64String(string(id)) ^ incarnation*0x9e3779b97f4a7c15
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// membersDigest returns the digest of the running members and this node. It is
// never zero, because zero stands for an unknown digest.
func (c *Core) membersDigest() uint64 {
	return max(1, c.digest^nodeHash(c.self.ID, c.incarnation))
}
