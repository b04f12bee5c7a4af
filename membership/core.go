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
// Invariants: members never holds self; order holds exactly the values of
// members, sorted by identifier; byAddress maps each address to the one member
// there that is not dead; fresh holds exactly the members with gossip left;
// timed holds at least the members that are suspect or dead.
type Core struct {
	self        cluster.Node
	incarnation uint64
	leaving     bool
	config      Config
	random      *rand.Rand

	members   map[cluster.NodeID]*entry
	order     []*entry
	fresh     []*entry
	timed     []*entry
	byAddress map[string]cluster.NodeID
	digest    uint64

	sequence    uint64
	probes      []probe
	failedInRow int
	zoneTurn    []cluster.NodeID
	rejoin      rejoin

	started                       bool
	startedAt                     time.Time
	lastTick                      time.Time
	nextZone, nextRemote, nextAsk time.Time
	lastChange, nextSync          time.Time

	effects []Effect
}

// entry is a member with what only this node keeps on it.
type entry struct {
	Member
	// gossipLeft counts the heartbeats that should still carry the record.
	gossipLeft int
	// suspicionEnds is when a suspect is given up.
	suspicionEnds time.Time
	// isTimed is true while the entry stands in Core.timed.
	isTimed bool
}

// New returns the core of the node self. Seeds are peer addresses that are
// tried until the others are found, and again after a partition. Equal seed
// numbers and inputs give equal outputs.
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

// randomStream tells this core's random numbers from those of other cores that
// are given the same seed.
const randomStream = 0x6d656d62

// Step takes one event at the time now, which must not go back, and returns
// what is to be done.
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
// the same address has a larger one, and spreads the probes of nodes that
// start together.
func (c *Core) start(now time.Time) {
	c.started, c.startedAt = true, now
	c.incarnation = uint64(now.UnixMilli())
	c.lastTick = now
	c.nextZone = now.Add(c.within(c.config.ZoneInterval))
	c.nextRemote = now.Add(c.within(c.config.RemoteInterval))
	c.nextAsk = now
}

// within returns a random part of interval.
func (c *Core) within(interval time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(interval)))
}

func (c *Core) tick(now time.Time) {
	c.forgivePause(now)
	c.expireProbes(now)
	c.expireMembers(now)
	c.probeDue(now)
	c.askDue(now)
}

// forgivePause treats a long gap between ticks as a pause of this process:
// answers may have come and gone meanwhile, so nobody is blamed for silence.
func (c *Core) forgivePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	if gap < c.config.ProbeTimeout {
		return
	}
	c.probes = nil
	for _, member := range c.timed {
		if member.State == StateSuspect {
			member.suspicionEnds = member.suspicionEnds.Add(gap)
		}
	}
}

// expireMembers gives up suspects whose time is over and forgets the dead.
func (c *Core) expireMembers(now time.Time) {
	c.timed = slices.DeleteFunc(c.timed, func(member *entry) bool {
		switch member.State {
		case StateSuspect:
			if !now.Before(member.suspicionEnds) {
				c.change(now, member, StateDead, c.transmissions())
			}
			return false
		case StateDead:
			over := now.Sub(member.Since) >= c.config.ForgetTime
			if over {
				c.forget(member)
			}
			return over
		default:
			member.isTimed = false
			return true
		}
	})
}

// leave announces the planned stop to the whole zone and to one member of each
// other zone.
func (c *Core) leave() {
	if c.leaving {
		return
	}
	c.leaving = true
	c.incarnation++
	told := make(map[cluster.ZoneID]bool)
	for _, member := range c.order {
		near := member.Node.Zone == c.self.Zone
		if !member.Running() || (told[member.Node.Zone] && !near) {
			continue
		}
		told[member.Node.Zone] = true
		c.send(member.Node.PeerAddress, c.heartbeat(member.Node.ID))
	}
}

// Members returns all known members but the node itself, dead ones for a while
// included, sorted by identifier.
func (c *Core) Members() []Member {
	members := make([]Member, 0, len(c.order))
	for _, member := range c.order {
		members = append(members, member.Member)
	}
	return members
}

// Member returns the member with the given identifier, or false.
func (c *Core) Member(id cluster.NodeID) (Member, bool) {
	if member := c.members[id]; member != nil {
		return member.Member, true
	}
	return Member{}, false
}

// send queues a heartbeat.
func (c *Core) send(address string, heartbeat wire.Heartbeat) {
	c.effects = append(c.effects, SendHeartbeat{Address: address, Heartbeat: heartbeat})
}

// position returns where id stands in order, or should stand.
func (c *Core) position(id cluster.NodeID) (int, bool) {
	return slices.BinarySearchFunc(c.order, id, func(e *entry, id cluster.NodeID) int { return cmp.Compare(e.Node.ID, id) })
}
