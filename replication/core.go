package replication

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// Core is the configuration state of one node.
//
// Invariants: stamp never gets smaller; tree and snapshot are those of stamp;
// backlog holds consecutive edits that end at stamp's revision; peers is sorted
// by identifier.
type Core struct {
	self   cluster.NodeID
	config Config
	random *rand.Rand

	stamp    settings.Stamp
	tree     *settings.Tree
	snapshot *settings.Snapshot
	// encoded is the encoding of tree once a peer has asked for it.
	encoded []byte
	backlog backlog

	peers []Peer
	asked request

	nextSweep time.Time
	effects   []Effect
}

// request is the one question that may be open at a time.
type request struct {
	to       cluster.NodeID
	deadline time.Time
}

// New returns the core of the node self, which holds no configuration yet.
// Equal inputs give equal outputs.
func New(self cluster.NodeID, config Config) *Core {
	config = config.withDefaults()
	return &Core{
		self:    self,
		config:  config,
		random:  rand.New(rand.NewPCG(xxhash.Sum64String(string(self)), randomStream)),
		backlog: backlog{maxEntries: config.BacklogEntries, maxBytes: config.BacklogBytes},
	}
}

// randomStream tells this core's random numbers from those of other cores that
// are seeded alike.
const randomStream = 0x72657061

// sweepInterval between looks for peers that were not seen for long.
const sweepInterval = time.Minute

// Step takes one event at the time now and returns what is to be done.
func (c *Core) Step(now time.Time, event Event) []Effect {
	c.effects = nil
	switch e := event.(type) {
	case Loaded:
		c.load(e)
	case Accepted:
		c.accept(now, e)
	case StampSeen:
		c.see(now, e)
	case MessageReceived:
		c.receive(now, e)
	case PeerGone:
		if at, found := c.find(e.ID); found {
			c.peers = slices.Delete(c.peers, at, at+1)
		}
	case Tick:
		c.sweep(now)
		c.askNewest(now)
	}
	return c.effects
}

// Stamp returns the stamp of the configuration in force, zero when there is
// none yet.
func (c *Core) Stamp() settings.Stamp { return c.stamp }

// Snapshot returns the configuration in force, nil when there is none yet.
func (c *Core) Snapshot() *settings.Snapshot { return c.snapshot }

// Tree returns the raw tree of the configuration in force, nil when there is
// none yet. It must not be changed.
func (c *Core) Tree() *settings.Tree { return c.tree }

// Peers returns what is known of other nodes' configurations, sorted by
// identifier.
func (c *Core) Peers() []Peer { return slices.Clone(c.peers) }

func (c *Core) find(id cluster.NodeID) (int, bool) {
	return slices.BinarySearchFunc(c.peers, id, func(p Peer, id cluster.NodeID) int { return cmp.Compare(p.ID, id) })
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) send(address string, message wire.Message) {
	if address != "" && address != c.config.Address {
		c.emit(Send{Address: address, Message: message})
	}
}
