package hollow

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/membership"
	"github.com/valveslip/valveslip/replication"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// claimsPerHeartbeat is the number of controller claims that each heartbeat carries.
const claimsPerHeartbeat = 4

// seedNodeCount is the number of nodes that all nodes use as membership seeds.
const seedNodeCount = 5

// epoch is the start of the virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Options configures a Deployment.
type Options struct {
	Nodes, Regions, Zones int
	Seed                  uint64
	// Loss is the share of messages that are lost.
	Loss        float64
	Membership  membership.Config
	Replication replication.Config
	// PreviousVersionShare is the share of nodes that use the previous version of the message
	// schemas.
	PreviousVersionShare float64
	// WatchAll makes every node watch the key-value service. Nodes then do not replicate
	// configuration to each other.
	WatchAll bool
}

// Deployment is a set of hollow nodes that share a virtual clock.
type Deployment struct {
	options Options
	clock   clock
	// random is the source for the network and the nodes, faults the one for injected faults. They
	// are separate so that variants of the nodes experience the same faults.
	random    *rand.Rand
	faults    *rand.Rand
	network   network
	treeCache treeCache
	nodes     []*node
	seeds     []string
	claims    []wire.ControllerClaim

	byAddress map[string]*node
	byID      map[cluster.NodeID]*node

	onMemberChange func(at *node, member membership.Member)
	onActivated    func(at *node, stamp settings.Stamp)
	onLoadNeeded   func(at *node)
}

// NewDeployment distributes the nodes evenly over the zones and starts them.
func NewDeployment(options Options) *Deployment {
	d := &Deployment{
		options:   options,
		clock:     clock{now: epoch},
		random:    rand.New(rand.NewPCG(options.Seed, 0)),
		faults:    rand.New(rand.NewPCG(options.Seed, 1)),
		byAddress: make(map[string]*node),
		byID:      make(map[cluster.NodeID]*node),
	}
	d.network = network{deployment: d, loss: options.Loss, lastUsed: make(map[link]time.Time)}
	for index := range options.Nodes {
		d.addNode(index)
	}
	for index := range min(seedNodeCount, options.Nodes) {
		d.seeds = append(d.seeds, d.nodes[index*options.Nodes/seedNodeCount].identity.PeerAddress)
	}
	for zone := range min(options.Zones, claimsPerHeartbeat) {
		d.claims = append(d.claims, wire.ControllerClaim{
			Zone: zoneName(zone), Node: "node-000-000001", Token: cluster.FencingToken(1<<20 + zone),
		})
	}
	for _, n := range d.nodes {
		n.start()
	}
	return d
}

// addNode creates the node with the given index and assigns its zone and addresses.
func (d *Deployment) addNode(index int) {
	zone := index * d.options.Zones / d.options.Nodes
	region := zone * d.options.Regions / d.options.Zones
	host := fmt.Sprintf("10.%d.%d.%d", region, zone, index%250+1)
	n := &node{deployment: d, index: index, region: region, identity: cluster.Node{
		Zone: zoneName(zone), Region: cluster.RegionID(fmt.Sprintf("region-%d", region)),
		PeerAddress: host + ":7000", AdminAddress: host + ":7001", CallerAddress: host + ":7002",
	}}
	n.version = wire.VersionCurrent
	if float64(index%10) < 10*d.options.PreviousVersionShare {
		n.version = wire.VersionPrevious
	}
	d.nodes = append(d.nodes, n)
	d.byAddress[n.identity.PeerAddress] = n
}

func zoneName(zone int) cluster.ZoneID { return cluster.ZoneID(fmt.Sprintf("zone-%02d", zone)) }

// Run advances the virtual time by duration.
func (d *Deployment) Run(duration time.Duration) { d.clock.runUntil(d.clock.now.Add(duration)) }

// scheduleRandomly calls run at random times until end, on average once per interval.
func (d *Deployment) scheduleRandomly(interval time.Duration, end time.Time, run func()) {
	delay := time.Duration(d.faults.ExpFloat64() * float64(interval))
	if d.clock.now.Add(delay).After(end) {
		return
	}
	d.clock.schedule(delay, func() {
		run()
		d.scheduleRandomly(interval, end, run)
	})
}

// randomRunning returns a random node that is running and not paused.
func (d *Deployment) randomRunning() *node {
	for {
		n := d.nodes[d.faults.IntN(len(d.nodes))]
		if n.running && !n.paused() {
			return n
		}
	}
}

// resetTraffic sets the traffic counters of all nodes to zero.
func (d *Deployment) resetTraffic() {
	for _, n := range d.nodes {
		n.traffic = Traffic{}
	}
}
