package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// Core is the membership state of one node.
//
// Invariants: members never contains self; sorted contains exactly the values of
// members, ordered by identifier; byAddress maps each address to the one member
// there that is not dead; gossipQueue contains exactly the members whose record
// has transmissions left; expiring contains at least the members that are suspect
// or dead.
type Core struct {
	self        cluster.Node
	incarnation uint64
	leaving     bool
	config      Config
	random      *rand.Rand

	members     map[cluster.NodeID]*entry
	sorted      []*entry
	gossipQueue []*entry
	expiring    []*entry
	byAddress   map[string]cluster.NodeID
	digest      uint64

	sequence            uint64
	probes              []probe
	consecutiveFailures int
	zoneProbeQueue      []cluster.NodeID
	rejoin              rejoin

	started                                    bool
	startedAt                                  time.Time
	lastTick                                   time.Time
	nextZoneProbe, nextRemoteProbe, nextRejoin time.Time
	lastChange, nextSync                       time.Time

	effects []Effect
}

// entry is a member with the data that only this node keeps about it.
type entry struct {
	Member
	// transmissionsLeft is the number of heartbeats that should still carry the
	// record.
	transmissionsLeft int
	// suspicionDeadline is when a suspect is declared dead.
	suspicionDeadline time.Time
	// inExpiring is true while the entry is in Core.expiring.
	inExpiring bool
}

// New returns the core of the node self. Seeds are peer addresses that are tried
// until other members are found, and again after a partition. Equal values of
// seed and equal inputs give equal outputs.
func New(self cluster.Node, seeds []string, config Config, seed uint64) *Core {
	return &Core{
		self:      self,
		config:    config.withDefaults(),
		random:    rand.New(rand.NewPCG(seed, randomStream)),
		members:   make(map[cluster.NodeID]*entry),
		byAddress: make(map[string]cluster.NodeID),
		rejoin:    rejoin{seeds: slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == self.PeerAddress })},
	}
}

// randomStream selects this core's stream of the random generator, so that its
// random numbers differ from those of other cores with the same seed.
const randomStream = 0x6d656d62

// Step processes one event at the time now, which must not decrease, and returns
// the effects to carry out.
func (c *Core) Step(now time.Time, event Event) []Effect {
	c.effects = nil
	if !c.started {
		c.start(now)
	}
	switch e := event.(type) {
	case Tick:
		c.tick(now)
	case HeartbeatReceived:
		c.receive(now, e.Heartbeat)
	case LeaveStarted:
		c.leave()
	}
	return c.effects
}

// start takes the first incarnation from the clock, so that a later process at
// the same address has a larger one. It delays the first probes by a random time,
// so that nodes that start together do not probe at the same moment.
func (c *Core) start(now time.Time) {
	c.started, c.startedAt = true, now
	c.incarnation = uint64(now.UnixMilli())
	c.lastTick = now
	c.nextZoneProbe = now.Add(c.randomDelay(c.config.ZoneInterval))
	c.nextRemoteProbe = now.Add(c.randomDelay(c.config.RemoteInterval))
	c.nextRejoin = now
}

// randomDelay returns a uniformly random duration below interval.
func (c *Core) randomDelay(interval time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(interval)))
}

func (c *Core) tick(now time.Time) {
	c.excusePause(now)
	c.expireProbes(now)
	c.expireMembers(now)
	c.sendDueProbes(now)
	c.sendDueRejoin(now)
}

// excusePause treats a long gap between ticks as a pause of this process. Answers
// may have arrived in the gap, so pending probes are dropped and suspicions are
// extended.
func (c *Core) excusePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	if gap < c.config.ProbeTimeout {
		return
	}
	c.probes = nil
	for _, member := range c.expiring {
		if member.State == StateSuspect {
			member.suspicionDeadline = member.suspicionDeadline.Add(gap)
		}
	}
}

// expireMembers declares suspects dead after their deadline and removes members
// that have been dead for ForgetTime.
func (c *Core) expireMembers(now time.Time) {
	c.expiring = slices.DeleteFunc(c.expiring, func(member *entry) bool {
		switch member.State {
		case StateSuspect:
			if !now.Before(member.suspicionDeadline) {
				c.setState(now, member, StateDead, c.transmissions())
			}
			return false
		case StateDead:
			over := now.Sub(member.Since) >= c.config.ForgetTime
			if over {
				c.removeMember(member)
			}
			return over
		default:
			member.inExpiring = false
			return true
		}
	})
}

// leave announces the planned stop to all members of the node's own zone and to
// one member of each other zone.
func (c *Core) leave() {
	if c.leaving {
		return
	}
	c.leaving = true
	c.incarnation++
	notifiedZones := make(map[cluster.ZoneID]bool)
	for _, member := range c.sorted {
		sameZone := member.Node.Zone == c.self.Zone
		if !member.Running() || (notifiedZones[member.Node.Zone] && !sameZone) {
			continue
		}
		notifiedZones[member.Node.Zone] = true
		c.send(member.Node.PeerAddress, c.gossipHeartbeat(member.Node.ID))
	}
}

// Members returns all known members except the node itself, sorted by identifier.
// Dead members are included until they are forgotten.
func (c *Core) Members() []Member {
	members := make([]Member, 0, len(c.sorted))
	for _, member := range c.sorted {
		members = append(members, member.Member)
	}
	return members
}

// Member returns the member with the given identifier and whether it is known.
func (c *Core) Member(id cluster.NodeID) (Member, bool) {
	if member := c.members[id]; member != nil {
		return member.Member, true
	}
	return Member{}, false
}

// send adds a heartbeat to the effects of the current step.
func (c *Core) send(address string, heartbeat wire.Heartbeat) {
	c.effects = append(c.effects, SendHeartbeat{Address: address, Heartbeat: heartbeat})
}

// sortedIndex returns the index of id in sorted, or the index at which it would
// be inserted, and whether it is present.
func (c *Core) sortedIndex(id cluster.NodeID) (int, bool) {
	return slices.BinarySearchFunc(c.sorted, id, func(e *entry, id cluster.NodeID) int { return cmp.Compare(e.Node.ID, id) })
}
