package node

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// newRoutingCore returns a core without controller role whose router knows one
// replica, of model m on machine a.
func newRoutingCore(now time.Time) *Core {
	core := NewCore(CoreConfig{Self: cluster.Node{ID: "n", Zone: "z", Region: "r", PeerAddress: "127.0.0.1:1"}, Seed: 1})
	policy := settings.Policy{MaxReplicas: 1, QueueLength: 8, QueueBytes: 1 << 20, QueueTime: time.Minute, Deadline: time.Minute, RetryAttempts: 2}
	core.routing(routing.SettingsChanged{Snapshot: settings.NewSnapshot(settings.Stamp{Revision: 1},
		[]settings.Model{{ID: "m", Kind: settings.KindModel, Path: "/m", Team: "/", Policy: policy}}, nil, nil)})
	core.Step(now, MessageReceived{Message: wire.CellStatus{
		Zone: "z", From: "controller", Token: 7, Sequence: 1, Full: true, Allotted: []cluster.ModelID{"m"},
		Replicas: []wire.ReplicaRecord{{Machine: "a", Address: "127.0.0.1:2", Model: "m", State: cluster.ReplicaLoaded, Slots: 4}},
	}})
	return core
}

// dispatches reports whether a request for model m is dispatched at once.
func dispatches(core *Core, now time.Time) bool {
	return holdsDispatch(core.Step(now, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
		ID: "r", Model: "m", TokenPath: "/", Team: "/", Deadline: now.Add(time.Minute),
	}}}))
}

// holdsDispatch reports whether one of the effects is a dispatch.
func holdsDispatch(effects []Effect) bool {
	for _, effect := range effects {
		if output, ok := effect.(RoutingOutput); ok {
			if _, is := output.Effect.(routing.Dispatch); is {
				return true
			}
		}
	}
	return false
}

// TestLeavingMachineWithoutController: the zone's controller is cut off and its
// last status still names the machine as usable; the node's own reading of the
// machine list keeps new work away.
func TestLeavingMachineWithoutController(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		now := time.Unix(1_000_000, 0)
		core := newRoutingCore(now)
		core.Step(now, MachinesListed{Version: 1, Machines: []cluster.Machine{{ID: "a", Zone: "z", Leaving: leaving}}})
		if dispatched := dispatches(core, now); dispatched == leaving {
			t.Errorf("leaving %v: dispatched %v", leaving, dispatched)
		}
	}
}

// TestLeavingMachineWithoutControllerAndList: neither the controller nor the
// machine list answers; the engine itself is asked.
func TestLeavingMachineWithoutControllerAndList(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		start := time.Unix(1_000_000, 0)
		core := newRoutingCore(start)
		core.Step(start, MachinesListed{Version: 1, Machines: []cluster.Machine{{ID: "a", Zone: "z"}}})
		now := start
		asked := 0
		for ; now.Before(start.Add(listSilence + 2*probeInterval)); now = now.Add(TickInterval) {
			for _, effect := range core.Step(now, Tick{}) {
				if call, ok := effect.(EngineCall); ok && call.Operation == EngineInventory && call.Machine.ID == "a" {
					asked++
				}
			}
		}
		if asked < 1 || asked > 2 {
			t.Fatalf("the engine was asked %d times", asked)
		}
		core.Step(now, EngineAnswered{
			Call:      EngineCall{Operation: EngineInventory, Machine: cluster.Machine{ID: "a"}},
			Inventory: cluster.Inventory{Machine: "a", Leaving: leaving},
		})
		if dispatched := dispatches(core, now); dispatched == leaving {
			t.Errorf("leaving %v: dispatched %v", leaving, dispatched)
		}
	}
}

// TestRequestsOfAPauseWaitForTheMachineList: the process stood still while a
// machine began to leave; a request that came meanwhile is handled first.
func TestRequestsOfAPauseWaitForTheMachineList(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		start := time.Unix(1_000_000, 0)
		core := newRoutingCore(start)
		resumed := start.Add(time.Minute)
		if dispatches(core, resumed) {
			t.Fatal("dispatched before the machine list was read again")
		}
		effects := core.Step(resumed.Add(10*time.Millisecond), MachinesListed{
			Version: 1, Machines: []cluster.Machine{{ID: "a", Zone: "z", Leaving: leaving}},
		})
		if dispatched := holdsDispatch(effects); dispatched == leaving {
			t.Errorf("leaving %v: dispatched %v", leaving, dispatched)
		}
	}
}

// TestHoldAfterAPauseEnds: with no list to be had, requests go on after
// verifyTime.
func TestHoldAfterAPauseEnds(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	core := newRoutingCore(start)
	resumed := start.Add(time.Minute)
	if dispatches(core, resumed) {
		t.Fatal("dispatched before the machine list was read again")
	}
	if !holdsDispatch(core.Step(resumed.Add(verifyTime), Tick{})) {
		t.Error("the request still waits")
	}
}

// TestEnginesOfASilentZoneAreAsked: the list answers but may stand still, and the
// zone's controller is gone.
func TestEnginesOfASilentZoneAreAsked(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	core := newRoutingCore(start)
	asked := time.Duration(0)
	for passed := time.Duration(0); passed < 20*time.Second && asked == 0; passed += TickInterval {
		core.Step(start.Add(passed), MachinesListed{Version: 1, Machines: []cluster.Machine{{ID: "a", Zone: "z"}}})
		for _, effect := range core.Step(start.Add(passed), Tick{}) {
			if call, ok := effect.(EngineCall); ok && call.Operation == EngineInventory && call.Machine.ID == "a" {
				asked = passed
			}
		}
	}
	if asked <= statusInterval+listSilence || asked > statusInterval+listSilence+probeInterval+TickInterval {
		t.Errorf("the engine was asked after %s of silence", asked)
	}
}
