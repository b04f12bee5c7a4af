package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// What was seen: 985 nodes that started together used all of their processors for the first
// eight seconds, and 41 of them were ready.
//
// How it came about: the records of nodes reach each node one by one, and on each it ranked all
// nodes anew as relays, voters, dispatchers and sharers of limits.
//
// What caused it: work for each change that grows with the nodes, so for a start of all with
// their square on each node.

// startedNode is the entry of one of many nodes.
func startedNode(number int) NodeEntry {
	return NodeEntry{
		ID: cluster.NodeID(fmt.Sprintf("node-%d", number)), Machine: fmt.Sprintf("machine-%d", number), Zone: "z", Capacity: 0.2,
	}
}

// startWork has a node learn within a second, one by one, of as many others, and returns how
// many nodes it looked at to make something of all of them, each as often as it did.
func startWork(t *testing.T, nodes int) int {
	t.Helper()
	core := New(Config{Self: startedNode(0), Zone: "z", Dispatching: true}, 1)
	now := time.Unix(1000, 0)
	work, told := 0, 0
	step := func(event Event) {
		for _, effect := range core.Step(now, event) {
			if _, settled := effect.(PeersSettled); settled {
				work += len(core.Nodes())
				told++
			}
		}
	}
	for i := range nodes {
		now = now.Add(time.Second / time.Duration(nodes))
		step(NodesRead{Nodes: []NodeEntry{startedNode(i)}})
	}
	// What is left to tell is told when it is due.
	for range 10 {
		now = core.NextDue()
		step(Tick{})
	}
	if told != core.peerNotifier.notifications {
		t.Errorf("%d nodes: told %d times, and the feed %d times", nodes, core.peerNotifier.notifications, told)
	}
	if core.reportedRouters.Routers != nodes || core.peerNotifier.changePending {
		t.Errorf("%d nodes: the router was told of %d", nodes, core.reportedRouters.Routers)
	}
	return work
}

// TestStartOfManyNodesIsGathered: while all nodes start within a second, each looks at all of
// them a few times, not once for each of them.
func TestStartOfManyNodesIsGathered(t *testing.T) {
	const mostTimes = 8
	for _, nodes := range []int{985, 1970} {
		if work := startWork(t, nodes); work > mostTimes*nodes {
			t.Errorf("%d nodes: %d were looked at, at most %d are wanted", nodes, work, mostTimes*nodes)
		}
	}
}

// TestOneChangeIsToldAtOnce: a node that comes or goes alone is known to all parts in the same
// step.
func TestOneChangeIsToldAtOnce(t *testing.T) {
	core := New(Config{Self: startedNode(0), Zone: "z"}, 1)
	now := time.Unix(1000, 0)
	for i := range 40 {
		now = now.Add(time.Second)
		core.Step(now, NodesRead{Nodes: []NodeEntry{startedNode(i)}})
		if core.reportedRouters.Routers != i+1 {
			t.Fatalf("after %d nodes the router was told of %d", i+1, core.reportedRouters.Routers)
		}
	}
	core.Step(now.Add(time.Second), NodesRead{Gone: []cluster.NodeID{"node-7"}})
	if core.reportedRouters.Routers != 39 {
		t.Fatalf("after one has gone the router was told of %d", core.reportedRouters.Routers)
	}
}
