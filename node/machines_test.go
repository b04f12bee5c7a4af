package node

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// newRoutingCore returns a core that is not a controller and whose router knows one
// replica, of model m on machine a.
func newRoutingCore(now time.Time) *Core {
	core := NewCore(CoreConfig{Self: cluster.Node{ID: "n", Zone: "z", Region: "r", PeerAddress: "127.0.0.1:1"}, Seed: 1})
	policy := settings.Policy{MaxReplicas: 1, QueueLength: 8, QueueBytes: 1 << 20, QueueTime: time.Minute, Deadline: time.Minute, RetryAttempts: 2}
	core.stepRouter(routing.SettingsChanged{Snapshot: settings.NewSnapshot(settings.Stamp{Revision: 1},
		[]settings.Model{{ID: "m", Kind: settings.KindModel, Path: "/m", Team: "/", Policy: policy}}, nil, nil)})
	core.Step(now, MessageReceived{Message: wire.CellStatus{
		Zone: "z", From: "controller", Token: 7, Sequence: 1, Full: true, Allotted: []cluster.ModelID{"m"},
		Replicas: []wire.ReplicaRecord{{Machine: "a", Address: "127.0.0.1:2", Model: "m", State: cluster.ReplicaLoaded, Slots: 4}},
	}})
	return core
}

// isDispatched reports whether a request for model m is dispatched at once.
func isDispatched(core *Core, now time.Time) bool {
	return containsDispatch(core.Step(now, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
		ID: "r", Model: "m", TokenPath: "/", Team: "/", Deadline: now.Add(time.Minute),
	}}}))
}

// containsDispatch reports whether one of the effects is a dispatch.
func containsDispatch(effects []Effect) bool {
	for _, effect := range effects {
		if output, ok := effect.(RoutingOutput); ok {
			if _, is := output.Effect.(routing.Dispatch); is {
				return true
			}
		}
	}
	return false
}

// TestMachineListStopsDispatchToLeavingMachineWithoutController guards against new
// work on a leaving machine when the zone's controller is partitioned and its last
// status still lists the machine as usable. The node must rely on its own read of the
// machine list.
func TestMachineListStopsDispatchToLeavingMachineWithoutController(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		now := time.Unix(1_000_000, 0)
		core := newRoutingCore(now)
		core.Step(now, MachinesListed{Version: 1, Machines: []cluster.Machine{{ID: "a", Zone: "z", Leaving: leaving}}})
		if dispatched := isDispatched(core, now); dispatched == leaving {
			t.Errorf("leaving %v: dispatched %v", leaving, dispatched)
		}
	}
}

// TestEngineProbeStopsDispatchToLeavingMachineWithoutList guards against new work on a
// leaving machine when neither the controller nor the machine list answers. The node
// must ask the engine itself.
func TestEngineProbeStopsDispatchToLeavingMachineWithoutList(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		start := time.Unix(1_000_000, 0)
		core := newRoutingCore(start)
		core.Step(start, MachinesListed{Version: 1, Machines: []cluster.Machine{{ID: "a", Zone: "z"}}})
		now := start
		probes := 0
		for ; now.Before(start.Add(machineListTimeout + 2*engineProbeInterval)); now = now.Add(TickInterval) {
			for _, effect := range core.Step(now, Tick{}) {
				if call, ok := effect.(EngineCall); ok && call.Operation == EngineInventory && call.Machine.ID == "a" {
					probes++
				}
			}
		}
		if probes < 1 || probes > 2 {
			t.Fatalf("engine was probed %d times, want 1 or 2", probes)
		}
		core.Step(now, EngineAnswered{
			Call:      EngineCall{Operation: EngineInventory, Machine: cluster.Machine{ID: "a"}},
			Inventory: cluster.Inventory{Machine: "a", Leaving: leaving},
		})
		if dispatched := isDispatched(core, now); dispatched == leaving {
			t.Errorf("leaving %v: dispatched %v", leaving, dispatched)
		}
	}
}

// TestDispatchAfterProcessPauseWaitsForMachineList guards against new work on a
// machine that began to leave while this process was paused: a request that came
// during the pause is the first event handled after it.
func TestDispatchAfterProcessPauseWaitsForMachineList(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		start := time.Unix(1_000_000, 0)
		core := newRoutingCore(start)
		resumed := start.Add(time.Minute)
		if isDispatched(core, resumed) {
			t.Fatal("dispatched before the machine list was read again")
		}
		effects := core.Step(resumed.Add(10*time.Millisecond), MachinesListed{
			Version: 1, Machines: []cluster.Machine{{ID: "a", Zone: "z", Leaving: leaving}},
		})
		if dispatched := containsDispatch(effects); dispatched == leaving {
			t.Errorf("leaving %v: dispatched %v", leaving, dispatched)
		}
	}
}

// TestDispatchHoldAfterProcessPauseTimesOut checks that requests are dispatched after
// pauseHoldTime if the machine list does not answer.
func TestDispatchHoldAfterProcessPauseTimesOut(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	core := newRoutingCore(start)
	resumed := start.Add(time.Minute)
	if isDispatched(core, resumed) {
		t.Fatal("dispatched before the machine list was read again")
	}
	if !containsDispatch(core.Step(resumed.Add(pauseHoldTime), Tick{})) {
		t.Error("request was not dispatched after pauseHoldTime")
	}
}

// TestEnginesOfZoneWithOverdueStatusAreProbed checks that the engines of a zone
// without a controller are probed even though the machine list answers, because the
// list may be outdated.
func TestEnginesOfZoneWithOverdueStatusAreProbed(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	core := newRoutingCore(start)
	probedAfter := time.Duration(0)
	for passed := time.Duration(0); passed < 20*time.Second && probedAfter == 0; passed += TickInterval {
		core.Step(start.Add(passed), MachinesListed{Version: 1, Machines: []cluster.Machine{{ID: "a", Zone: "z"}}})
		for _, effect := range core.Step(start.Add(passed), Tick{}) {
			if call, ok := effect.(EngineCall); ok && call.Operation == EngineInventory && call.Machine.ID == "a" {
				probedAfter = passed
			}
		}
	}
	if probedAfter <= statusInterval+machineListTimeout || probedAfter > statusInterval+machineListTimeout+engineProbeInterval+TickInterval {
		t.Errorf("engine was probed %s after the last status", probedAfter)
	}
}
