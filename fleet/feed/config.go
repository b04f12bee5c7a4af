package feed

import (
	"cmp"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// minDelayWithRoot is the least Config.MaxChangeDelay at which relays learn from a root. In
// simulations with a root that dies, a store that hides changes for 1 s and three of ten updates
// lost, every change is known after at most 3 s with a root, and after 2 s where relays poll the
// store themselves.
const minDelayWithRoot = 3 * time.Second

// Timeouts of leaves of a fleet with a root, as fractions of Config.MaxChangeDelay:
// leafTimeoutDivisor gives the timeout of the first leaf and leafStepDivisor the step between
// leaves, 1 s and 8 ms for 3 s. The longer leaves wait, the fewer of them poll the store when a
// call of the root hangs.
const (
	leafTimeoutDivisor = 3
	leafStepDivisor    = 375
)

// Defaults of Config. The source timeout is longer than one and a half poll intervals of a relay,
// and short enough for the 2 s in which changes must be known: a store that hides changes for 1 s,
// a poll after that whose update is lost, the timeout of the last leaf of a group and its own call
// fit into 2 s.
const (
	defaultPollInterval      = 400 * time.Millisecond
	defaultRelayPollInterval = 300 * time.Millisecond
	defaultSourceTimeout     = 540 * time.Millisecond
	defaultRelayTimeoutStep  = 20 * time.Millisecond
	defaultLeafTimeoutStep   = 8 * time.Millisecond
	defaultMinZoneNodes      = 4
	defaultMaxGroupNodes     = 32
	defaultMinRelaysForRoot  = 3
	defaultMaxValueBytes     = 1 << 20
)

// Config tunes a Core; a zero field takes its default.
type Config struct {
	Self Peer
	// Machine is the name of the machine that the node runs on, empty where it has none.
	Machine string
	// PollInterval is the pause between two polls of a node without a source, RelayPollInterval
	// that of a relay. Defaults 400 and 300 ms.
	PollInterval, RelayPollInterval time.Duration
	// SourceTimeout is the time without an update from its source after which a node polls the
	// store itself. Default 540 ms.
	SourceTimeout time.Duration
	// LeafSourceTimeout replaces SourceTimeout for a leaf whose relay has a root, so that updates
	// of a relay that takes over from the root arrive first. Default a third of MaxChangeDelay.
	LeafSourceTimeout time.Duration
	// RelayTimeoutStep and LeafTimeoutStep are added to the timeout for each node that comes before
	// this one among those with the same source, so that one node polls the store and forwards the
	// answer to the others. Defaults 20 and 8 ms; a share of MaxChangeDelay for leaves where relays
	// may have a root.
	RelayTimeoutStep, LeafTimeoutStep time.Duration
	// MinZoneNodes is the least number of nodes at which a zone has relays. MaxGroupNodes is how
	// many nodes one relay serves, itself included. Defaults 4 and 32.
	MinZoneNodes, MaxGroupNodes int
	// MinRelaysForRoot is the least number of relays at which one of them polls the store for all.
	// Default 3.
	MinRelaysForRoot int
	// MaxChangeDelay is the time in which a change of the store must be known. Zero means too short
	// a time for a root.
	MaxChangeDelay time.Duration
	// SnapshotTimeout is how long a node that starts waits for the first answer of a node that it asked
	// for a snapshot, and for each further part. A starter that is silent for longer is replaced.
	// Default 1.2 s.
	SnapshotTimeout time.Duration
	// StartupTimeout is the time without a whole snapshot after which a node that starts reads the
	// store. Default 9 s.
	StartupTimeout time.Duration
	// MaxValueBytes is the size above which values are not forwarded but read from the store by
	// each node. Default 1 MiB, enough for the configuration of some thousand models.
	MaxValueBytes int
}

// withDefaults returns c with its zero fields filled.
func (c Config) withDefaults() Config {
	c.PollInterval = cmp.Or(c.PollInterval, defaultPollInterval)
	c.RelayPollInterval = cmp.Or(c.RelayPollInterval, defaultRelayPollInterval)
	c.SourceTimeout = cmp.Or(c.SourceTimeout, defaultSourceTimeout)
	if c.MaxChangeDelay >= minDelayWithRoot {
		c.LeafSourceTimeout = cmp.Or(c.LeafSourceTimeout, c.MaxChangeDelay/leafTimeoutDivisor)
		c.LeafTimeoutStep = cmp.Or(c.LeafTimeoutStep, c.MaxChangeDelay/leafStepDivisor)
	}
	c.RelayTimeoutStep = cmp.Or(c.RelayTimeoutStep, defaultRelayTimeoutStep)
	c.LeafTimeoutStep = cmp.Or(c.LeafTimeoutStep, defaultLeafTimeoutStep)
	c.MinZoneNodes = cmp.Or(c.MinZoneNodes, defaultMinZoneNodes)
	c.MaxGroupNodes = cmp.Or(c.MaxGroupNodes, defaultMaxGroupNodes)
	c.MinRelaysForRoot = cmp.Or(c.MinRelaysForRoot, defaultMinRelaysForRoot)
	c.SnapshotTimeout = cmp.Or(c.SnapshotTimeout, defaultSnapshotTimeout)
	c.StartupTimeout = cmp.Or(c.StartupTimeout, defaultStartupTimeout)
	c.MaxValueBytes = cmp.Or(c.MaxValueBytes, defaultMaxValueBytes)
	return c
}

// relayCount returns the number of relays in a zone of that many nodes.
func (c *Config) relayCount(nodes int) int {
	if nodes < c.MinZoneNodes {
		return 0
	}
	return (nodes + c.MaxGroupNodes - 1) / c.MaxGroupNodes
}

// Peer is a live node.
type Peer struct {
	ID cluster.NodeID
	// Address is where the node receives messages of other nodes, as host:port.
	Address string
	Zone    cluster.ZoneID
	// Capacity is in processor cores. Nodes with more capacity become relays first.
	Capacity float64
}

// Filter tells changes that carry news from those that only repeat a heartbeat. Core calls it once
// for every change, in order.
type Filter interface {
	IsNews(c *wire.StoreChange) bool
}
