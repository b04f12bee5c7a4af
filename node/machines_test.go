package node

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// TestLeavingMachineWithoutController: the zone's controller is cut off and its
// last status still names the machine as usable; the node's own reading of the
// machine list keeps new work away.
func TestLeavingMachineWithoutController(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		now := time.Unix(1_000_000, 0)
		core := NewCore(CoreConfig{Self: cluster.Node{ID: "n", Zone: "z", Region: "r", PeerAddress: "127.0.0.1:1"}, Seed: 1})
		policy := settings.Policy{MaxReplicas: 1, QueueLength: 8, QueueBytes: 1 << 20, QueueTime: time.Minute, Deadline: time.Minute, RetryAttempts: 2}
		core.routing(routing.SettingsChanged{Snapshot: settings.NewSnapshot(settings.Stamp{Revision: 1},
			[]settings.Model{{ID: "m", Kind: settings.KindModel, Path: "/m", Team: "/", Policy: policy}}, nil, nil)})
		core.Step(now, MessageReceived{Message: wire.CellStatus{
			Zone: "z", From: "controller", Token: 7, Sequence: 1, Full: true, Allotted: []cluster.ModelID{"m"},
			Replicas: []wire.ReplicaRecord{{Machine: "a", Address: "127.0.0.1:2", Model: "m", State: cluster.ReplicaLoaded, Slots: 4}},
		}})
		core.Step(now, MachinesListed{Version: 1, Machines: []cluster.Machine{{ID: "a", Zone: "z", Leaving: leaving}}})
		effects := core.Step(now, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
			ID: "r", Model: "m", TokenPath: "/", Team: "/", Deadline: now.Add(time.Minute),
		}}})
		dispatched := false
		for _, effect := range effects {
			if output, ok := effect.(RoutingOutput); ok {
				_, is := output.Effect.(routing.Dispatch)
				dispatched = dispatched || is
			}
		}
		if dispatched == leaving {
			t.Errorf("leaving %v: dispatched %v, effects %+v", leaving, dispatched, effects)
		}
	}
}
