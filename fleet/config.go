package fleet

import (
	"cmp"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet/lending"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/work"
)

// Config holds the node's identity and the core's tuning. Where a default is documented, a zero
// field takes it.
type Config struct {
	// Self is this node's entry. Its ID is unique to each start of the process.
	Self NodeEntry
	Zone cluster.ZoneID
	// Regions maps each zone to its region.
	Regions map[cluster.ZoneID]cluster.RegionID
	Routing routing.Config
	// ViewIsStale reports whether the view of the machines' entries is older than usual, so that entries may have
	// changed. If nil, it never is.
	ViewIsStale func() bool
	// Placement tunes the placement planner.
	Placement placement.Config
	// FirstStart is true if no node ran before this start of the system. No earlier lease holder
	// can then have orders under way.
	FirstStart bool
	// OrderPause is the minimum time between the orders of two lease holders.
	OrderPause time.Duration
	// FencingEnforced is true if engines reject orders whose fencing token is smaller than one
	// that they have seen. Without it, only elapsed time separates the orders of two lease
	// holders.
	FencingEnforced bool
	// LoadWindow is the window in which loads from the weight store are counted. LoadOverrun is
	// the factor by which the loads that begin within one window may exceed the steady rate.
	// Defaults 5 s and 1.1.
	LoadWindow  time.Duration
	LoadOverrun float64
	// HolderTTL is the TTL of the order lease. Default 2 s.
	HolderTTL time.Duration
	// NodeTTL is the TTL of the node's own record. Default 30 s: other nodes take over from a
	// silent node and a restarted process replaces its record long before that, while each
	// renewal by hundreds of nodes has a cost, and so has each record that expires during a
	// network cut.
	NodeTTL time.Duration
	// KeyProof bounds the age of the proof that the configured caller keys are current when a
	// request that needs a key is sent. Zero requires no proof.
	KeyProof time.Duration
	// Dispatching makes one node, the dispatcher, place the attempts of all nodes at engines.
	// Work tunes the estimates that it learns from them.
	Dispatching bool
	Work        work.Config
	// FetchesCachedPrefixes is set if engines can fetch cached prompt prefixes from each other.
	FetchesCachedPrefixes bool
	// MaxRetryAfterShare is the largest share of their remaining time for which callers follow a
	// Retry-After. Default 1.
	MaxRetryAfterShare float64
	// Lending tunes how the limits of tenants are divided. The core fills in Self and
	// ProofWithin.
	Lending lending.Config
	// PauseHold bounds how long dispatches are held after a pause of the process until the store
	// has been read again. Default 300 ms.
	PauseHold time.Duration
}

// withDefaults returns the configuration with zero fields replaced by their defaults.
func (c Config) withDefaults() Config {
	c.LoadWindow = cmp.Or(c.LoadWindow, 5*time.Second)
	c.LoadOverrun = cmp.Or(c.LoadOverrun, 1.1)
	c.HolderTTL = cmp.Or(c.HolderTTL, 2*time.Second)
	c.NodeTTL = cmp.Or(c.NodeTTL, 30*time.Second)
	c.MaxRetryAfterShare = cmp.Or(c.MaxRetryAfterShare, 1)
	c.PauseHold = cmp.Or(c.PauseHold, 300*time.Millisecond)
	c.Lending.Self, c.Lending.ProofWithin = c.Self.lendingPeer(), c.KeyProof
	c.Lending = c.Lending.WithDefaults()
	return c
}
