package keyed

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/idempotency"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// testRegion is a set of nodes on a network that loses no messages, except those of
// disconnected nodes.
type testRegion struct {
	mutex        sync.Mutex
	runners      map[string]*Runner
	nodes        []cluster.Node
	disconnected map[string]bool
	// losesDecisions is the address of a node whose decisions are lost.
	losesDecisions string
	engine         *countingEngine
}

// countingEngine counts the runs of requests. A run takes a second and answers with its
// number, or fails.
type countingEngine struct {
	mutex sync.Mutex
	runs  int
	fail  *verdict.Error
}

// Run implements Inner.
func (e *countingEngine) Run(ctx context.Context, _ relay.Call, sink relay.Sink) relay.Result {
	e.mutex.Lock()
	e.runs++
	number, failure := e.runs, e.fail
	e.mutex.Unlock()
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
		return relay.Result{Failure: verdict.New(verdict.MayHaveRun, verdict.CodeCallerGone, "left")}
	}
	if failure != nil {
		return relay.Result{Failure: failure}
	}
	_ = sink.Start(http.StatusOK, http.Header{"Content-Type": {"text/plain"}})
	if err := sink.Write([]byte(fmt.Sprint("answer ", number))); err != nil {
		return relay.Result{Started: true, Failure: verdict.Wrap(err, verdict.Ran, verdict.CodeCallerGone, "left")}
	}
	return relay.Result{Started: true, Status: http.StatusOK}
}

// testPeers connects one node to the others of the region.
type testPeers struct {
	*testRegion
	self cluster.Node
}

func (m testPeers) Self() cluster.Node { return m.self }

func (m testPeers) RegionMembers() (others []cluster.Node, known bool) {
	for _, other := range m.nodes {
		if other.ID != m.self.ID {
			others = append(others, other)
		}
	}
	return others, true
}

func (m testPeers) Send(address string, message wire.Message) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, isDecision := message.(wire.KeyDecision); isDecision && m.losesDecisions == m.self.PeerAddress {
		return
	}
	if receiver := m.runners[address]; receiver != nil && !m.disconnected[address] && !m.disconnected[m.self.PeerAddress] {
		go receiver.Handle(message)
	}
}

// newTestRegion returns a region of count nodes that know each other.
func newTestRegion(count int) *testRegion {
	c := &testRegion{runners: map[string]*Runner{}, disconnected: map[string]bool{}, engine: &countingEngine{}}
	for i := range count {
		name := fmt.Sprint("node-", i)
		c.nodes = append(c.nodes, cluster.Node{ID: cluster.NodeID(name), PeerAddress: name})
	}
	for _, node := range c.nodes {
		c.runners[node.PeerAddress] = NewRunner(c.engine, testPeers{c, node}, idempotency.Config{}, 0)
	}
	for _, runner := range c.runners {
		// The former membership, of each node alone, ended so long ago that it is not asked.
		runner.table.SetMembers(time.Now().Add(-time.Hour), []idempotency.Member{memberOf(runner.peers.Self())})
		runner.SetMembers(time.Now().Add(-41 * time.Minute))
	}
	return c
}

// fakeCaller records the answer that it receives.
type fakeCaller struct {
	body       strings.Builder
	failWrites bool
}

func (c *fakeCaller) Start(int, http.Header) error { return nil }

func (c *fakeCaller) Write(data []byte) error {
	if c.failWrites {
		return errors.New("connection reset")
	}
	c.body.Write(data)
	return nil
}

// requestCounter numbers the requests of all tests.
var requestCounter struct {
	sync.Mutex
	count int
}

// ask runs a request with a key on a node and returns its answer or failure.
func (c *testRegion) ask(t *testing.T, node int, key, body string) (string, *verdict.Error) {
	return c.askAs(t.Context(), node, key, body, &fakeCaller{})
}

func (c *testRegion) askAs(ctx context.Context, node int, key, body string, sink *fakeCaller) (string, *verdict.Error) {
	requestCounter.Lock()
	requestCounter.count++
	id := cluster.RequestID(fmt.Sprint("r", requestCounter.count))
	requestCounter.Unlock()
	call := relay.Call{Request: routing.Request{ID: id, TokenPath: "/dental"}, Body: []byte(body), Key: key}
	result := c.runners[c.nodes[node].PeerAddress].Run(ctx, call, sink)
	return sink.body.String(), result.Failure
}
