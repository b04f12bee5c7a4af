package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// These tests guard against a failure in which 985 nodes that started together used all of their
// processors for the first eight seconds, and only 41 of them became ready. The records of nodes
// reach each node one by one, and each record made it rank all nodes again as relays, voters,
// dispatchers and sharers of limits. The work of a simultaneous start thus grew with the square
// of the number of nodes on each node.

// numberedNode returns the entry of one of many nodes.
func numberedNode(number int) NodeEntry {
	return NodeEntry{
		ID: cluster.NodeID(fmt.Sprintf("node-%d", number)), Machine: fmt.Sprintf("machine-%d", number), Zone: "z", Capacity: 0.2,
	}
}

// startupWork makes a node learn of the given number of nodes one by one within a second. It
// returns the number of nodes scanned, summed over all scans of the live nodes.
func startupWork(t *testing.T, nodes int) int {
	t.Helper()
	core := New(Config{Self: numberedNode(0), Zone: "z", Dispatching: true}, 1)
	now := time.Unix(1000, 0)
	scanned, settledCount := 0, 0
	step := func(event Event) {
		for _, effect := range core.Step(now, event) {
			if _, settled := effect.(PeersChanged); settled {
				scanned += len(core.Nodes())
				settledCount++
			}
		}
	}
	for i := range nodes {
		now = now.Add(time.Second / time.Duration(nodes))
		step(NodesRead{Nodes: []NodeEntry{numberedNode(i)}})
	}
	// The remaining changes are reported when they are due.
	for range 10 {
		now = core.NextDue()
		step(Tick{})
	}
	if settledCount != core.peerNotifier.notifications {
		t.Errorf("%d nodes: PeersChanged was emitted %d times, with %d notifications", nodes, core.peerNotifier.notifications, settledCount)
	}
	if core.reportedRouters.Routers != nodes || core.peerNotifier.changePending {
		t.Errorf("%d nodes: the router was told of %d nodes", nodes, core.reportedRouters.Routers)
	}
	return scanned
}

// Guards against a scan of all nodes for each node that starts. Each node may scan all nodes a
// few times while all start within a second.
func TestSimultaneousNodeStartsAreBatched(t *testing.T) {
	const maxScansPerNode = 8
	for _, nodes := range []int{985, 1970} {
		if scanned := startupWork(t, nodes); scanned > maxScansPerNode*nodes {
			t.Errorf("%d nodes: %d nodes scanned, want at most %d", nodes, scanned, maxScansPerNode*nodes)
		}
	}
}

// Guards against batching that delays a single change: a node that joins or leaves alone is
// reported in the same step.
func TestSingleNodeChangeIsReportedAtOnce(t *testing.T) {
	core := New(Config{Self: numberedNode(0), Zone: "z"}, 1)
	now := time.Unix(1000, 0)
	for i := range 40 {
		now = now.Add(time.Second)
		core.Step(now, NodesRead{Nodes: []NodeEntry{numberedNode(i)}})
		if core.reportedRouters.Routers != i+1 {
			t.Fatalf("after %d nodes the router was told of %d", i+1, core.reportedRouters.Routers)
		}
	}
	core.Step(now.Add(time.Second), NodesRead{Gone: []cluster.NodeID{"node-7"}})
	if core.reportedRouters.Routers != 39 {
		t.Fatalf("after one has gone the router was told of %d", core.reportedRouters.Routers)
	}
}
