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

// prefixNode is one core of a zone with two machines, driven by hand.
type prefixNode struct {
	t    *testing.T
	core *Core
	now  time.Time
}

func newPrefixNode(t *testing.T, id cluster.NodeID, now time.Time) *prefixNode {
	n := &prefixNode{t: t, now: now, core: NewCore(CoreConfig{
		Self: cluster.Node{ID: id, Zone: "z", Region: "r", PeerAddress: string(id) + ":1"}, Seed: 1,
	})}
	policy := settings.Policy{MaxReplicas: 2, QueueLength: 8, QueueBytes: 1 << 20, QueueTime: time.Minute, Deadline: time.Minute, RetryAttempts: 2}
	n.core.routing(routing.SettingsChanged{Snapshot: settings.NewSnapshot(settings.Stamp{Revision: 1},
		[]settings.Model{{ID: "m", Kind: settings.KindModel, Path: "/m", Team: "/", Policy: policy}}, nil, nil)})
	status := wire.CellStatus{Zone: "z", Region: "r", From: "c", FromAddress: "c:1", Token: 7, Sequence: 1, Full: true}
	for _, machine := range []cluster.MachineID{"a", "b"} {
		status.Replicas = append(status.Replicas, wire.ReplicaRecord{Machine: machine, Address: string(machine) + ":2", Model: "m", State: cluster.ReplicaLoaded, Slots: 4})
	}
	n.receive(status)
	return n
}

func (n *prefixNode) step(event Event) []Effect { return slices.Clone(n.core.Step(n.now, event)) }

func (n *prefixNode) receive(message wire.Message) []Effect {
	return n.step(MessageReceived{Message: message})
}

// sent ticks after a while and returns the prefixes sent to an address.
func (n *prefixNode) sent(address string) (messages []wire.SentPrefixes) {
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

// runs brings a request and returns the machine it goes to and how many of its
// blocks are expected there.
func (n *prefixNode) runs(id cluster.RequestID) (cluster.MachineID, float64) {
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

// lead makes the node its zone's controller.
func (n *prefixNode) lead() {
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
			n.t.Fatal("not elected")
		}
	}
}

// TestPrefixesReachOtherRouters follows a prompt from the router that sent it
// over the controller to another router, and checks that messages of other zones
// and reports to a node that is no controller change nothing.
func TestPrefixesReachOtherRouters(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	first, second, controller := newPrefixNode(t, "n1", now), newPrefixNode(t, "n2", now), newPrefixNode(t, "c", now)
	controller.lead()
	for _, router := range []*prefixNode{first, second} {
		controller.receive(wire.Heartbeat{From: router.core.self, Incarnation: 1, Sequence: 1})
	}
	machine, _ := first.runs("r1")
	first.step(RoutingInput{Event: routing.FirstByteSent{Request: "r1"}})
	reports := first.sent("c:1")
	if len(reports) != 1 || reports[0].Relayed || reports[0].Groups[0].Machine != machine {
		t.Fatalf("the router reported %+v", reports)
	}
	if again := first.sent("c:1"); len(again) != 0 {
		t.Fatalf("the router reported again: %+v", again)
	}
	second.receive(reports[0])
	if _, expected := second.runs("r2"); expected != 0 {
		t.Fatal("a router took a report that was not for it")
	}
	controller.receive(reports[0])
	relayed := controller.sent("n2:1")
	if len(relayed) != 1 || !relayed[0].Relayed {
		t.Fatalf("the controller passed on %+v", relayed)
	}
	third := newPrefixNode(t, "n3", now)
	foreign := relayed[0]
	foreign.Zone = "other"
	third.receive(foreign)
	third.receive(relayed[0])
	if chosen, expected := third.runs("r3"); chosen != machine || expected < 3 {
		t.Errorf("the other router expects %v blocks at %s, the prompt is at %s", expected, chosen, machine)
	}
	fourth := newPrefixNode(t, "n4", now)
	fourth.receive(foreign)
	if _, expected := fourth.runs("r4"); expected != 0 {
		t.Error("a router took prefixes of another zone")
	}
}
