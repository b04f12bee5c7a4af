package node

import (
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// coreFixture is one core in a zone with two machines, stepped by the test.
type coreFixture struct {
	t    *testing.T
	core *Core
	now  time.Time
}

func newCoreFixture(t *testing.T, id cluster.NodeID, now time.Time) *coreFixture {
	n := &coreFixture{t: t, now: now, core: NewCore(CoreConfig{
		Self: cluster.Node{ID: id, Zone: "z", Region: "r", PeerAddress: string(id) + ":1"}, Seed: 1,
	})}
	policy := settings.Policy{MaxReplicas: 2, QueueLength: 8, QueueBytes: 1 << 20, QueueTime: time.Minute, Deadline: time.Minute, RetryAttempts: 2}
	n.core.stepRouter(routing.SettingsChanged{Snapshot: settings.NewSnapshot(settings.Stamp{Revision: 1},
		[]settings.Model{{ID: "m", Kind: settings.KindModel, Path: "/m", Team: "/", Policy: policy}}, nil, nil)})
	status := wire.CellStatus{Zone: "z", Region: "r", From: "c", FromAddress: "c:1", Token: 7, Sequence: 1, Full: true}
	for _, machine := range []cluster.MachineID{"a", "b"} {
		status.Replicas = append(status.Replicas, wire.ReplicaRecord{Machine: machine, Address: string(machine) + ":2", Model: "m", State: cluster.ReplicaLoaded, Slots: 4})
	}
	n.receive(status)
	return n
}

func (n *coreFixture) step(event Event) []Effect { return slices.Clone(n.core.Step(n.now, event)) }

func (n *coreFixture) receive(message wire.Message) []Effect {
	return n.step(MessageReceived{Message: message})
}

// sentPrefixes ticks after prefixInterval and returns the prefix messages sent to an
// address.
func (n *coreFixture) sentPrefixes(address string) (messages []wire.SentPrefixes) {
	n.now = n.now.Add(prefixInterval)
	for _, effect := range n.step(Tick{}) {
		if send, ok := effect.(SendMessage); ok && send.Address == address {
			if message, ok := send.Message.(wire.SentPrefixes); ok {
				messages = append(messages, message)
			}
		}
	}
	return messages
}

// dispatchRequest submits a request and returns the machine it is dispatched to and
// the number of its prefix blocks expected there.
func (n *coreFixture) dispatchRequest(id cluster.RequestID) (cluster.MachineID, float64) {
	for _, effect := range n.step(RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
		ID: id, Model: "m", TokenPath: "/", Team: "/", Prefixes: []uint64{1, 2, 3, 4},
	}}}) {
		if output, ok := effect.(RoutingOutput); ok {
			if dispatch, ok := output.Effect.(routing.Dispatch); ok {
				return dispatch.Machine, dispatch.Reason.Candidates[0].PrefixBlocks
			}
		}
	}
	n.t.Fatal("not dispatched")
	return "", 0
}

// becomeController makes the node the controller of its zone.
func (n *coreFixture) becomeController() {
	for !n.core.cellRole.controller.Holding() {
		n.now = n.now.Add(TickInterval)
		waiting := n.step(Tick{})
		for len(waiting) > 0 {
			call, ok := waiting[0].(KeyValueCall)
			waiting = waiting[1:]
			if !ok {
				continue
			}
			answer := KeyValueAnswered{ID: call.ID, Revision: 9, Lease: 5, TTL: call.TTL}
			answer.Txn = keyvalue.TransactionResult{Succeeded: true, Revision: 9}
			waiting = append(waiting, n.step(answer)...)
		}
		if n.now.After(time.Unix(1_000_100, 0)) {
			n.t.Fatal("node did not become controller")
		}
	}
}

// TestPrefixesReachOtherRoutersOfTheZoneOnly follows a prompt prefix from the router
// that sent it through the controller to another router. Messages of other zones, and
// reports to a node that is not the controller, must have no effect.
func TestPrefixesReachOtherRoutersOfTheZoneOnly(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	first, second, controller := newCoreFixture(t, "n1", now), newCoreFixture(t, "n2", now), newCoreFixture(t, "c", now)
	controller.becomeController()
	for _, router := range []*coreFixture{first, second} {
		controller.receive(wire.Heartbeat{From: router.core.self, Incarnation: 1, Sequence: 1})
	}
	machine, _ := first.dispatchRequest("r1")
	first.step(RoutingInput{Event: routing.FirstByteSent{Request: "r1"}})
	reports := first.sentPrefixes("c:1")
	if len(reports) != 1 || reports[0].Relayed || reports[0].Groups[0].Machine != machine {
		t.Fatalf("router reported %+v", reports)
	}
	if again := first.sentPrefixes("c:1"); len(again) != 0 {
		t.Fatalf("router reported the same prefixes again: %+v", again)
	}
	second.receive(reports[0])
	if _, expected := second.dispatchRequest("r2"); expected != 0 {
		t.Fatal("router that is not the controller applied a report")
	}
	controller.receive(reports[0])
	relayed := controller.sentPrefixes("n2:1")
	if len(relayed) != 1 || !relayed[0].Relayed {
		t.Fatalf("controller relayed %+v", relayed)
	}
	third := newCoreFixture(t, "n3", now)
	foreign := relayed[0]
	foreign.Zone = "other"
	third.receive(foreign)
	third.receive(relayed[0])
	if chosen, expected := third.dispatchRequest("r3"); chosen != machine || expected < 3 {
		t.Errorf("other router expects %v blocks at %s, the prefix is at %s", expected, chosen, machine)
	}
	fourth := newCoreFixture(t, "n4", now)
	fourth.receive(foreign)
	if _, expected := fourth.dispatchRequest("r4"); expected != 0 {
		t.Error("router applied prefixes of another zone")
	}
}
