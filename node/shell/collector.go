package shell

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/membership"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/wire"
)

// collector reads the counters of the core and the transport on each scrape.
type collector struct {
	node                            *Node
	members, isController, inFlight *prometheus.Desc
	messages, bytes                 *prometheus.Desc
	machines, sealed, replicas      *prometheus.Desc
}

// newCollector returns a collector for the metrics of one node.
func newCollector(n *Node, self cluster.Node) *collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, prometheus.Labels{"zone": string(self.Zone)})
	}
	return &collector{
		node:         n,
		members:      describe("valveslip_members", "Other nodes by membership state.", "state"),
		isController: describe("valveslip_controller", "1 while the node holds its cell's lease."),
		inFlight:     describe("valveslip_requests_in_flight", "Requests submitted and not ended, waiting ones included."),
		messages:     describe("valveslip_peer_messages_total", "Messages between nodes by what became of them.", "result"),
		bytes:        describe("valveslip_peer_bytes_total", "Message bytes between nodes by direction.", "direction"),
		machines:     describe("valveslip_cell_machines", "Machines of the controlled cell with an inventory."),
		sealed:       describe("valveslip_cell_machines_sealed", "Machines of the cell that answered this controller."),
		replicas:     describe("valveslip_cell_replicas", "Replicas of the cell by state.", "state"),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{
		c.members, c.isController, c.inFlight, c.messages, c.bytes, c.machines, c.sealed, c.replicas,
	} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(description *prometheus.Desc, value int, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(value), labels...)
	}
	gauge(c.inFlight, c.node.inFlight())
	c.node.Inspect(func(core *node.Core) {
		c.collectCore(core, gauge)
	})
	if counted, ok := c.node.transport.(interface{ Statistics() wire.Statistics }); ok {
		c.collectTransport(counted.Statistics(), metrics)
	}
}

// collectCore collects membership and, on a controller, the metrics of its cell.
func (c *collector) collectCore(core *node.Core, gauge func(*prometheus.Desc, int, ...string)) {
	states := map[membership.State]int{membership.StateAlive: 0, membership.StateSuspect: 0, membership.StateLeaving: 0, membership.StateDead: 0}
	for _, member := range core.Members() {
		states[member.State]++
	}
	for state, count := range states {
		gauge(c.members, count, string(state))
	}
	isController := 0
	if core.Controller().Holding() {
		isController = 1
		c.collectCell(core, gauge)
	}
	gauge(c.isController, isController)
}

// collectCell collects the metrics of the cell's inventories.
func (c *collector) collectCell(core *node.Core, gauge func(*prometheus.Desc, int, ...string)) {
	inventories := core.Controller().Inventories()
	states := map[cluster.ReplicaState]int{cluster.ReplicaLoading: 0, cluster.ReplicaLoaded: 0, cluster.ReplicaUnloading: 0}
	sealed := 0
	for i := range inventories {
		if inventories[i].Token == core.Controller().Token() {
			sealed++
		}
		for _, replica := range inventories[i].Replicas {
			states[replica.State]++
		}
	}
	gauge(c.machines, len(inventories))
	gauge(c.sealed, sealed)
	for state, count := range states {
		gauge(c.replicas, count, state.String())
	}
}

// collectTransport collects the transport's counters.
func (c *collector) collectTransport(statistics wire.Statistics, metrics chan<- prometheus.Metric) {
	count := func(description *prometheus.Desc, value uint64, label string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), label)
	}
	count(c.messages, statistics.Sent, "sent")
	count(c.messages, statistics.Dropped, "dropped")
	count(c.messages, statistics.Failed, "failed")
	count(c.messages, statistics.Received, "received")
	count(c.messages, statistics.Malformed, "malformed")
	count(c.bytes, statistics.BytesSent, "sent")
	count(c.bytes, statistics.BytesReceived, "received")
}
