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
// Invariants: stamp never decreases; tree and snapshot are those of stamp; backlog holds
// consecutive edits, the last of which has the revision of stamp; peers is sorted by
// identifier.
type Core struct {
	self   cluster.NodeID
	config Config
	random *rand.Rand

	stamp    settings.Stamp
	tree     *settings.Tree
	snapshot *settings.Snapshot
	// encodedTree is the encoding of tree, nil until a peer needs a snapshot.
	encodedTree []byte
	backlog     backlog

	peers          []Peer
	pendingRequest configurationRequest

	nextForget time.Time
	effects    []Effect
}

// configurationRequest is an unanswered request to a peer. There is at most one at a time;
// its deadline has passed if there is none.
type configurationRequest struct {
	target   cluster.NodeID
	deadline time.Time
}

// New returns the core of the node self, with no configuration in force. The core is
// deterministic: equal events at equal times have equal effects.
func New(self cluster.NodeID, config Config) *Core {
	config = config.withDefaults()
	return &Core{
		self:    self,
		config:  config,
		random:  rand.New(rand.NewPCG(xxhash.Sum64String(string(self)), randomStream)),
		backlog: backlog{maxEntries: config.BacklogEntries, maxBytes: config.BacklogBytes},
	}
}

// randomStream makes this core's random numbers differ from those of other cores with the
// same seed.
const randomStream = 0x72657061

// forgetInterval is the time between two searches for peers to forget.
const forgetInterval = time.Minute

// Step processes an event at the time now and returns its effects, which the caller must
// carry out.
func (c *Core) Step(now time.Time, event Event) []Effect {
	c.effects = nil
	switch e := event.(type) {
	case Loaded:
		c.receiveLoaded(e)
	case Accepted:
		c.receiveAccepted(now, e)
	case HeartbeatStamp:
		c.receiveStamp(now, e)
	case MessageReceived:
		c.receive(now, e)
	case PeerGone:
		if at, found := c.findPeer(e.ID); found {
			c.peers = slices.Delete(c.peers, at, at+1)
		}
	case Tick:
		c.forgetSilentPeers(now)
		c.requestFromNewerPeer(now)
	}
	return c.effects
}

// Stamp returns the stamp of the configuration in force, zero if there is none yet.
func (c *Core) Stamp() settings.Stamp { return c.stamp }

// Snapshot returns the compiled configuration in force, nil if there is none yet.
func (c *Core) Snapshot() *settings.Snapshot { return c.snapshot }

// Tree returns the uncompiled tree of the configuration in force, nil if there is none
// yet. The caller must not modify it.
func (c *Core) Tree() *settings.Tree { return c.tree }

// Peers returns the known peers and their configurations' stamps, sorted by identifier.
func (c *Core) Peers() []Peer { return slices.Clone(c.peers) }

func (c *Core) findPeer(id cluster.NodeID) (int, bool) {
	return slices.BinarySearchFunc(c.peers, id, func(p Peer, id cluster.NodeID) int { return cmp.Compare(p.ID, id) })
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) send(address string, message wire.Message) {
	if address != "" && address != c.config.Address {
		c.emit(Send{Address: address, Message: message})
	}
}
