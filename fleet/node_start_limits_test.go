package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
)

// Guarded failure: nodes that start don't know the limits that machines have stated to the nodes before, and send
// as many requests as a machine has slots until its first answer states the limit.

// pressNodes sends a request to a random live node every 10 ms.
func (m *limitedMachine) pressNodes() {
	var alive []*simulatedNode
	for _, n := range m.nodes {
		if !n.dead {
			alive = append(alive, n)
		}
	}
	if len(alive) > 0 {
		m.requestCount++
		m.step(alive[m.random.IntN(len(alive))], RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
			ID: cluster.RequestID(fmt.Sprintf("p%d", m.requestCount)), Model: catalog.ModelID("s", "c"), TokenPath: "/", Deadline: m.now.Add(2 * time.Second), Attempts: 1,
		}}})
	}
	m.after(10*time.Millisecond, m.pressNodes)
}

// restartNodes kills the first nodes at once. They start again 300 ms later, within 100 ms.
func (m *limitedMachine) restartNodes(count int) {
	for i, n := range m.nodes[:count] {
		n.dead = true
		m.after(300*time.Millisecond+time.Duration(i)*100*time.Millisecond/time.Duration(count), func() { m.startNode(n.machine, false) })
	}
}

// requestsAfterRestart returns the largest number of requests within 4 s that a machine with a limit of 1 a second
// gets after some of nine nodes have started again.
func requestsAfterRestart(t *testing.T, seed uint64, restarted int) int {
	t.Helper()
	m := &limitedMachine{simulation: newDispatchSimulation(seed, 9, 1, true)}
	m.handleEffect = m.answerRequests
	m.runFor(5 * time.Second)
	m.limit = 1
	m.pressNodes()
	m.runFor(10 * time.Second)
	began := m.now
	m.restartNodes(restarted)
	m.runFor(10 * time.Second)
	if len(m.violations) > 0 {
		t.Error(m.violations)
	}
	return m.maxRequestsInWindow(began, m.now)
}

// Guards against limits that only the nodes know that were told at the time.
func TestNodesThatStartKeepLimitKnownToOthers(t *testing.T) {
	for _, restarted := range []int{1, 4, 8} {
		for seed := range uint64(10) {
			if got := requestsAfterRestart(t, seed, restarted); got > 11 {
				t.Errorf("seed %d, %d of 9 nodes restarted: %d requests in 4 s, want at most 11", seed, restarted, got)
			}
		}
	}
}

// Guards against a limit that nobody knows after a kill of all nodes.
func TestLimitHoldsOverKillOfAllNodes(t *testing.T) {
	for seed := range uint64(10) {
		if got := requestsAfterRestart(t, seed, 9); got > 11 {
			t.Errorf("seed %d: %d requests in 4 s, want at most 11", seed, got)
		}
	}
}
