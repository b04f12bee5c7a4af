package membership

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// probe is a heartbeat that awaits its answer.
type probe struct {
	target   cluster.NodeID
	sequence uint64
	deadline time.Time
	// repeated is true for every probe that follows an unanswered one.
	repeated bool
}

// sendDueProbes sends the zone probe and the remote probe whose interval has
// passed.
func (c *Core) sendDueProbes(now time.Time) {
	if !now.Before(c.nextZoneProbe) {
		c.nextZoneProbe = now.Add(c.config.ZoneInterval)
		if id, ok := c.nextZoneMember(); ok {
			c.sendProbe(now, id, false)
		}
	}
	if !now.Before(c.nextRemoteProbe) {
		c.nextRemoteProbe = now.Add(c.config.RemoteInterval)
		if id, ok := c.randomRemoteMember(); ok {
			c.sendProbe(now, id, false)
		}
	}
}

// nextZoneMember returns the next running member of the node's own zone. Each
// round goes through all members in a new random order, so that a member is
// probed at the latest after twice as many probes as the zone has members.
func (c *Core) nextZoneMember() (cluster.NodeID, bool) {
	for range 2 {
		for len(c.zoneProbeQueue) > 0 {
			id := c.zoneProbeQueue[0]
			c.zoneProbeQueue = c.zoneProbeQueue[1:]
			if member := c.members[id]; member != nil && member.Running() {
				return id, true
			}
		}
		for _, member := range c.runningMembers(func(zone cluster.ZoneID) bool { return zone == c.self.Zone }) {
			c.zoneProbeQueue = append(c.zoneProbeQueue, member.Node.ID)
		}
		c.random.Shuffle(len(c.zoneProbeQueue), func(i, j int) {
			c.zoneProbeQueue[i], c.zoneProbeQueue[j] = c.zoneProbeQueue[j], c.zoneProbeQueue[i]
		})
	}
	return "", false
}

// randomRemoteMember returns a random running member of another zone.
func (c *Core) randomRemoteMember() (cluster.NodeID, bool) {
	remote := c.runningMembers(func(zone cluster.ZoneID) bool { return zone != c.self.Zone })
	if len(remote) == 0 {
		return "", false
	}
	return remote[c.random.IntN(len(remote))].Node.ID, true
}

// runningMembers returns the running members whose zone matches, sorted by
// identifier.
func (c *Core) runningMembers(match func(cluster.ZoneID) bool) []*entry {
	var members []*entry
	for _, member := range c.sorted {
		if member.Running() && match(member.Node.Zone) {
			members = append(members, member)
		}
	}
	return members
}

// sendProbe sends a heartbeat and records that its answer is awaited.
func (c *Core) sendProbe(now time.Time, id cluster.NodeID, repeated bool) {
	heartbeat := c.gossipHeartbeat(id)
	c.probes = append(c.probes, probe{
		target: id, sequence: heartbeat.Sequence,
		deadline: now.Add(c.config.ProbeTimeout), repeated: repeated,
	})
	c.send(c.members[id].Node.PeerAddress, heartbeat)
}

// expireProbes repeats probes that were not answered in time. After a repeated
// probe fails, it declares a leaving member dead and makes any other member a
// suspect.
func (c *Core) expireProbes(now time.Time) {
	var expired []probe
	c.probes = slices.DeleteFunc(c.probes, func(p probe) bool {
		over := !now.Before(p.deadline)
		if over {
			expired = append(expired, p)
		}
		return over
	})
	for _, p := range expired {
		member := c.members[p.target]
		if member == nil || !member.Running() {
			continue
		}
		c.consecutiveFailures++
		switch {
		case !p.repeated:
			c.sendProbe(now, p.target, true)
		case member.State == StateLeaving:
			c.setState(now, member, StateDead, c.transmissions())
		default:
			if member.State == StateAlive {
				c.setState(now, member, StateSuspect, c.transmissions())
			}
			c.sendProbe(now, p.target, true)
			c.notifyZonePeer(member)
		}
	}
}

// notifyZonePeer tells another member of the suspect's zone of the suspicion.
// That member probes the suspect next. If only the path from this node is broken,
// it receives and spreads the refutation.
func (c *Core) notifyZonePeer(suspect *entry) {
	peers := c.runningMembers(func(zone cluster.ZoneID) bool { return zone == suspect.Node.Zone })
	peers = slices.DeleteFunc(peers, func(peer *entry) bool { return peer == suspect })
	if len(peers) > 0 {
		peer := peers[c.random.IntN(len(peers))].Node
		c.send(peer.PeerAddress, c.gossipHeartbeat(peer.ID))
	}
}

// completeProbes drops the pending probes of a member from which a heartbeat
// arrived. It reports whether the probe with the given sequence number was among
// them.
func (c *Core) completeProbes(id cluster.NodeID, sequence uint64) bool {
	c.consecutiveFailures = 0
	answered := false
	c.probes = slices.DeleteFunc(c.probes, func(p probe) bool {
		answered = answered || (p.target == id && p.sequence == sequence)
		return p.target == id
	})
	return answered
}
