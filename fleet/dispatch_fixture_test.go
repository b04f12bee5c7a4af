package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet/lending"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// engineNode is a node under test with a few engines that hold the model p/m.
type engineNode struct {
	t    *testing.T
	core *Core
	now  time.Time
	sent map[cluster.RequestID]cluster.MachineID
	// last is the last attempt that was sent.
	last         routing.Dispatch
	failures     map[cluster.RequestID]*verdict.Error
	messages     []wire.Message
	requestCount int
	// credential and tenant belong to the caller; they are empty if callers need no key.
	credential, tenant string
}

// newEngineNode returns a node that requires no keys.
func newEngineNode(t *testing.T, engines ...cluster.MachineID) *engineNode {
	t.Helper()
	return newEngineNodeWithKeys(t, nil, engines...)
}

// newKeyedEngineNode returns a node that requires keys and itself lends the tokens of its only
// tenant.
func newKeyedEngineNode(t *testing.T, engines ...cluster.MachineID) *engineNode {
	t.Helper()
	n := newEngineNodeWithKeys(t, []string{"h1"}, engines...)
	n.step(KeysProven{At: n.now})
	n.advance(3 * time.Second)
	n.step(KeysProven{At: n.now})
	n.credential, n.tenant = "h1", "clinic"
	return n
}

// newEngineNodeWithKeys returns a node with one model, the given engines and, if there are keys,
// one tenant that holds them.
func newEngineNodeWithKeys(t *testing.T, keys []string, engines ...cluster.MachineID) *engineNode {
	t.Helper()
	n := &engineNode{
		t: t, now: time.Unix(1_000_000, 0), sent: map[cluster.RequestID]cluster.MachineID{},
		failures: map[cluster.RequestID]*verdict.Error{},
	}
	n.core = New(Config{
		Self: NodeEntry{ID: "n1", Machine: "m1", Address: "a1", Capacity: 1}, Zone: "z",
		Regions: map[cluster.ZoneID]cluster.RegionID{"z": "r"}, FirstStart: true, Dispatching: true,
		KeyProof: testKeyProof, Lending: lending.Config{Window: 8 * time.Second, Overrun: 0.1, Slack: 1000},
		Routing: routing.Config{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 1000},
	}, 1)
	n.configure(1, "m", keys...)
	n.step(NodesRead{Full: true})
	// The engines state no release.
	n.step(ReleasesRead{Record: ReleaseRecord{Services: map[string][]string{"p": {""}}, Complete: true}, Revision: 1})
	n.putEngines(false, engines...)
	n.step(StoreSynced{})
	return n
}

// configure applies a configuration with one model and the keys of a tenant.
func (n *engineNode) configure(version int64, model string, keys ...string) {
	n.t.Helper()
	configuration := catalog.Configuration{Version: version, Services: []catalog.Service{{
		Name: "p", Engine: &catalog.Engine{Slots: 64, MemoryBytes: 100, AdapterSlots: 2, CacheTokens: 200_000, Models: []catalog.ModelSpec{{Name: model, Bytes: 10}}},
	}}}
	if len(keys) > 0 {
		limit := catalog.Limit{Rate: 100_000, Burst: 100_000, Unit: catalog.UnitTokens}
		configuration.Tenants = []catalog.Tenant{{Name: "clinic", Keys: keys, Limit: limit}}
	}
	compiled, err := configuration.Compile()
	if err != nil {
		n.t.Fatal(err)
	}
	n.step(ConfigurationRead{Compiled: compiled})
}

// putEngines adds or updates the entries of engines.
func (n *engineNode) putEngines(draining bool, ids ...cluster.MachineID) {
	var workers []catalog.Worker
	for _, id := range ids {
		workers = append(workers, catalog.Worker{
			ID: id, Service: "p", Address: string(id), Zone: "z", Slots: 64, Draining: draining, LoadedModels: []catalog.LoadedModel{{Name: "m"}},
		})
	}
	n.step(WorkersRead{Workers: workers})
}

// step hands an event to the node and records its messages, sends and refusals.
func (n *engineNode) step(e Event) {
	for _, effect := range slices.Clone(n.core.Step(n.now, e)) {
		switch e := effect.(type) {
		case SendMessage:
			n.messages = append(n.messages, e.Message)
		case RoutingOutput:
			switch routed := e.Effect.(type) {
			case routing.Dispatch:
				n.sent[routed.Request], n.last = routed.Machine, routed
			case routing.Finish:
				n.failures[routed.Request] = routed.Failure
			}
		}
	}
}

// attempt returns the number of a request's last attempt.
func (n *engineNode) attempt(id cluster.RequestID) cluster.Attempt {
	return n.core.dispatchClient.requests[id].attempt
}

// addDispatcher adds a node with more capacity, which becomes the dispatcher, and waits until the
// initial queries to it have timed out.
func (n *engineNode) addDispatcher(id cluster.NodeID) {
	n.step(NodesRead{Nodes: []NodeEntry{{ID: id, Machine: "machine of " + string(id), Address: "address of " + string(id), Zone: "z", Capacity: 2}}})
	n.step(StoreSynced{})
	n.advance(2 * time.Second)
}

// advance moves the clock forward in steps of 1 ms.
func (n *engineNode) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(time.Millisecond)
		n.step(Tick{})
	}
}

// sendRequest sends a request of 9,200 prompt tokens with an objective of 4 s to the first byte.
func (n *engineNode) sendRequest() cluster.RequestID {
	n.requestCount++
	id := cluster.RequestID(fmt.Sprint("r", n.requestCount))
	n.step(RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
		ID: id, Model: "p/m", TokenPath: "/", Credential: n.credential, Tenant: n.tenant, Deadline: n.now.Add(13 * time.Second), Objective: 4 * time.Second, Attempts: 2,
		Repeatable: true, Resumable: true, PromptTokens: 9200, MaxTokens: 60, LongestPause: 500 * time.Millisecond,
	}}})
	return id
}

// answerLastQuestion answers the last placement question as n2 and returns the work that was
// asked about.
func (n *engineNode) answerLastQuestion(a wire.EngineAnswer) wire.EngineWork {
	n.t.Helper()
	for _, message := range slices.Backward(n.messages) {
		if asked, ok := message.(wire.EngineRequest); ok {
			a.From, a.Number = "n2", asked.Number
			n.step(MessageReceived{Message: a})
			return asked.Work
		}
	}
	n.t.Fatal("no placement question was sent")
	return wire.EngineWork{}
}

// sendUntilHeld sends requests to the only engine until one is held, and returns that one.
func (n *engineNode) sendUntilHeld() cluster.RequestID {
	n.t.Helper()
	for range 8 {
		id := n.sendRequest()
		n.advance(time.Millisecond)
		if _, sent := n.sent[id]; !sent {
			return id
		}
	}
	n.t.Fatal("no request is held")
	return ""
}
