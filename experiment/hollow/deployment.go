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

// heartbeatClaims is how many controllers' claims a node puts on a heartbeat.
const heartbeatClaims = 4

// seedNodes is how many nodes are the seeds of all.
const seedNodes = 5

// epoch is when virtual time begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Options of a deployment.
type Options struct {
	Nodes, Regions, Zones int
	Seed                  uint64
	// Loss is the share of messages that are lost.
	Loss        float64
	Membership  membership.Config
	Replication replication.Config
	// OldVersion is the share of nodes that speak the previous version of the
	// message schemas.
	OldVersion float64
	// WatchAll makes every node watch the key-value service, and none hand on
	// configuration.
	WatchAll bool
}

// Deployment is a set of hollow nodes on one virtual clock.
type Deployment struct {
	options Options
	clock   clock
	// random draws for the network and the nodes, faults for what is done to
	// them, so that variants of the nodes meet the same.
	random  *rand.Rand
	faults  *rand.Rand
	network network
	shared  shared
	nodes   []*node
	seeds   []string
	claims  []wire.ControllerClaim

	byAddress map[string]*node
	byID      map[cluster.NodeID]*node

	onChange     func(at *node, member membership.Member)
	onInForce    func(at *node, stamp settings.Stamp)
	onLoadNeeded func(at *node)
}

// NewDeployment places the nodes evenly over the zones and starts them all.
func NewDeployment(options Options) *Deployment {
	d := &Deployment{
		options:   options,
		clock:     clock{now: epoch},
		random:    rand.New(rand.NewPCG(options.Seed, 0)),
		faults:    rand.New(rand.NewPCG(options.Seed, 1)),
		byAddress: make(map[string]*node),
		byID:      make(map[cluster.NodeID]*node),
	}
	d.network = network{deployment: d, loss: options.Loss, used: make(map[link]time.Time)}
	for index := range options.Nodes {
		d.place(index)
	}
	for index := range min(seedNodes, options.Nodes) {
		d.seeds = append(d.seeds, d.nodes[index*options.Nodes/seedNodes].identity.PeerAddress)
	}
	for zone := range min(options.Zones, heartbeatClaims) {
		d.claims = append(d.claims, wire.ControllerClaim{
			Zone: zoneName(zone), Node: "node-000-000001", Token: cluster.FencingToken(1<<20 + zone),
		})
	}
	for _, n := range d.nodes {
		n.start()
	}
	return d
}

// place gives node number index its zone and addresses.
func (d *Deployment) place(index int) {
	zone := index * d.options.Zones / d.options.Nodes
	region := zone * d.options.Regions / d.options.Zones
	host := fmt.Sprintf("10.%d.%d.%d", region, zone, index%250+1)
	n := &node{deployment: d, index: index, region: region, identity: cluster.Node{
		Zone: zoneName(zone), Region: cluster.RegionID(fmt.Sprintf("region-%d", region)),
		PeerAddress: host + ":7000", AdminAddress: host + ":7001", CallerAddress: host + ":7002",
	}}
	n.version = wire.VersionCurrent
	if float64(index%10) < 10*d.options.OldVersion {
		n.version = wire.VersionPrevious
	}
	d.nodes = append(d.nodes, n)
	d.byAddress[n.identity.PeerAddress] = n
}

func zoneName(zone int) cluster.ZoneID { return cluster.ZoneID(fmt.Sprintf("zone-%02d", zone)) }

// Run lets time pass.
func (d *Deployment) Run(duration time.Duration) { d.clock.runUntil(d.clock.now.Add(duration)) }

// every calls run at random times, about one an interval, until end.
func (d *Deployment) every(interval time.Duration, end time.Time, run func()) {
	delay := time.Duration(d.faults.ExpFloat64() * float64(interval))
	if d.clock.now.Add(delay).After(end) {
		return
	}
	d.clock.after(delay, func() {
		run()
		d.every(interval, end, run)
	})
}

// randomRunning draws a running node that is not paused.
func (d *Deployment) randomRunning() *node {
	for {
		n := d.nodes[d.faults.IntN(len(d.nodes))]
		if n.running && !n.paused() {
			return n
		}
	}
}

// resetTraffic begins a new measurement.
func (d *Deployment) resetTraffic() {
	for _, n := range d.nodes {
		n.traffic = Traffic{}
	}
}
