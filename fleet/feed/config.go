package feed

import (
	"cmp"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// rootedWithin is the least time in which changes must be known for relays to learn from
// a root. Simulated with a root that dies, a store that hides changes for a second and
// three of ten updates lost, a change is known after at most 3 s; after 2 s where relays
// ask the store themselves.
const rootedWithin = 3 * time.Second

// leafSilenceShare of the time in which changes must be known is what leaves of a fleet
// with a root wait for their relay, and leafStepShare what each further leaf waits
// longer: 1 s and 8 ms at 3 s, as simulated. The longer they wait, the fewer ask the
// store when a call of the root hangs.
const (
	leafSilenceShare = 3
	leafStepShare    = 375
)

// Defaults of Config. The silence lies above one reading and a half, and low enough for the bounds
// above: a store that hides changes for a second, a reading after that whose update is lost, the
// silence of the last of a group's leaves and its own call fit into 2 s.
const (
	defaultInterval      = 400 * time.Millisecond
	defaultRelayInterval = 300 * time.Millisecond
	defaultSilence       = 540 * time.Millisecond
	defaultRelayStep     = 20 * time.Millisecond
	defaultLeafStep      = 8 * time.Millisecond
	defaultMinGroup      = 4
	defaultMaxGroup      = 32
	defaultMinRelays     = 3
	defaultMaxValue      = 1 << 20
)

// Config tunes a Core; a zero field takes its default.
type Config struct {
	Self Peer
	// Machine that the node runs on, empty where it has no name.
	Machine string
	// Interval is the pause between two calls for changes of a node without a source,
	// RelayInterval of one that relays. Defaults 400 and 300 ms.
	Interval, RelayInterval time.Duration
	// Silence of its source after which a node asks the store itself. Default 540 ms.
	Silence time.Duration
	// LeafSilence is the same for a leaf where relays have a root: a relay that steps in
	// for the root is heard before. Default a third of Within.
	LeafSilence time.Duration
	// RelayStep and LeafStep are by how much each further node that learns from the same
	// source waits longer, so that one steps in for all. Defaults 20 and 8 ms, or
	// a share of Within where relays have a root.
	RelayStep, LeafStep time.Duration
	// MinGroup is the least number of nodes in a zone of which some relay, and
	// MaxGroup how many one relay serves, itself included. Defaults 4 and 32.
	MinGroup, MaxGroup int
	// MinRelays is the least number of relays of which one asks the store for all.
	// Default 3.
	MinRelays int
	// Within is the time in which a change of the store must be known. Zero stands for
	// one that is too short for a root.
	Within time.Duration
	// MaxValue is the size in bytes from which values are not passed on but read at
	// the store by each node. Default 1 MiB, which holds the configuration of some
	// thousand models.
	MaxValue int
}

// withDefaults fills zero fields.
func (c Config) withDefaults() Config {
	c.Interval = cmp.Or(c.Interval, defaultInterval)
	c.RelayInterval = cmp.Or(c.RelayInterval, defaultRelayInterval)
	c.Silence = cmp.Or(c.Silence, defaultSilence)
	if c.Within >= rootedWithin {
		c.LeafSilence = cmp.Or(c.LeafSilence, c.Within/leafSilenceShare)
		c.LeafStep = cmp.Or(c.LeafStep, c.Within/leafStepShare)
	}
	c.RelayStep = cmp.Or(c.RelayStep, defaultRelayStep)
	c.LeafStep = cmp.Or(c.LeafStep, defaultLeafStep)
	c.MinGroup = cmp.Or(c.MinGroup, defaultMinGroup)
	c.MaxGroup = cmp.Or(c.MaxGroup, defaultMaxGroup)
	c.MinRelays = cmp.Or(c.MinRelays, defaultMinRelays)
	c.MaxValue = cmp.Or(c.MaxValue, defaultMaxValue)
	return c
}

// relaysIn counts the relays of a zone of n nodes.
func (c *Config) relaysIn(n int) int {
	if n < c.MinGroup {
		return 0
	}
	return (n + c.MaxGroup - 1) / c.MaxGroup
}

// Peer is a live node.
type Peer struct {
	ID cluster.NodeID
	// Address, host:port, takes messages of other nodes.
	Address string
	Zone    cluster.ZoneID
	// Capacity in processor cores; nodes with more relay first.
	Capacity float64
}

// Filter tells changes that say something new from those that only repeat a
// heartbeat. It is told of every change once, in order.
type Filter interface {
	News(c *wire.StoreChange) bool
}
