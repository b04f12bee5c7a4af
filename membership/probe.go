package membership

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// probe is a heartbeat whose answer is awaited.
type probe struct {
	target   cluster.NodeID
	sequence uint64
	deadline time.Time
	// repeated is true for the second probe after an unanswered first.
	repeated bool
}

// probeDue sends the probes whose time has come.
func (c *Core) probeDue(now time.Time) {
	if !now.Before(c.nextZone) {
		c.nextZone = now.Add(c.config.ZoneInterval)
		if id, ok := c.nextInZone(); ok {
			c.probe(now, id, false)
		}
	}
	if !now.Before(c.nextRemote) {
		c.nextRemote = now.Add(c.config.RemoteInterval)
		if id, ok := c.randomRemote(); ok {
			c.probe(now, id, false)
		}
	}
}

// nextInZone takes the members of the zone in turn, in an order drawn anew for
// each round, so that each is probed within twice the number of members.
func (c *Core) nextInZone() (cluster.NodeID, bool) {
	for range 2 {
		for len(c.zoneTurn) > 0 {
			id := c.zoneTurn[0]
			c.zoneTurn = c.zoneTurn[1:]
			if member := c.members[id]; member != nil && member.Running() {
				return id, true
			}
		}
		for _, member := range c.running(func(zone cluster.ZoneID) bool { return zone == c.self.Zone }) {
			c.zoneTurn = append(c.zoneTurn, member.Node.ID)
		}
		c.random.Shuffle(len(c.zoneTurn), func(i, j int) {
			c.zoneTurn[i], c.zoneTurn[j] = c.zoneTurn[j], c.zoneTurn[i]
		})
	}
	return "", false
}

// randomRemote draws a running member of another zone.
func (c *Core) randomRemote() (cluster.NodeID, bool) {
	remote := c.running(func(zone cluster.ZoneID) bool { return zone != c.self.Zone })
	if len(remote) == 0 {
		return "", false
	}
	return remote[c.random.IntN(len(remote))].Node.ID, true
}

// running lists the running members of the zones that match.
func (c *Core) running(match func(cluster.ZoneID) bool) []*entry {
	var members []*entry
	for _, member := range c.order {
		if member.Running() && match(member.Node.Zone) {
			members = append(members, member)
		}
	}
	return members
}

// probe sends a heartbeat and awaits its answer.
func (c *Core) probe(now time.Time, id cluster.NodeID, repeated bool) {
	heartbeat := c.heartbeat(id)
	c.probes = append(c.probes, probe{
		target: id, sequence: heartbeat.Sequence,
		deadline: now.Add(c.config.ProbeTimeout), repeated: repeated,
	})
	c.send(c.members[id].Node.PeerAddress, heartbeat)
}

// expireProbes repeats probes that were not answered, and acts on a second
// failure.
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
		c.failedInRow++
		switch {
		case !p.repeated:
			c.probe(now, p.target, true)
		case member.State == StateLeaving:
			c.change(now, member, StateDead, c.transmissions())
		default:
			if member.State == StateAlive {
				c.change(now, member, StateSuspect, c.transmissions())
			}
			c.probe(now, p.target, true)
			c.consult(member)
		}
	}
}

// consult tells another member of the suspect's zone of the suspicion. It will
// probe the suspect next, and so hear and pass on its refutation, when only the
// path from here is broken.
func (c *Core) consult(suspect *entry) {
	peers := c.running(func(zone cluster.ZoneID) bool { return zone == suspect.Node.Zone })
	peers = slices.DeleteFunc(peers, func(peer *entry) bool { return peer == suspect })
	if len(peers) > 0 {
		peer := peers[c.random.IntN(len(peers))].Node
		c.send(peer.PeerAddress, c.heartbeat(peer.ID))
	}
}

// heard ends the probes of a member that gave a sign of life. It reports whether
// the probe with the sequence was among them.
func (c *Core) heard(id cluster.NodeID, sequence uint64) bool {
	c.failedInRow = 0
	answered := false
	c.probes = slices.DeleteFunc(c.probes, func(p probe) bool {
		answered = answered || (p.target == id && p.sequence == sequence)
		return p.target == id
	})
	return answered
}
