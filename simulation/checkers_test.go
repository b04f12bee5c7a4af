package simulation

import (
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// changeLoadOrders returns a DefectHooks.Effect that changes the load orders to engines.
func changeLoadOrders(change func(w *World, order *cluster.Order)) func(*World, *Node, node.Effect) node.Effect {
	return func(w *World, _ *Node, effect node.Effect) node.Effect {
		if call, ok := effect.(node.EngineCall); ok && call.Operation == node.EngineOrder && call.Order.Kind == cluster.OrderLoad {
			change(w, &call.Order)
			return call
		}
		return effect
	}
}

// changeRoutingEffects returns a DefectHooks.Effect that changes the effects of routing
// cores. If change returns nil, the effect is dropped.
func changeRoutingEffects(change func(w *World, from *Node, effect routing.Effect) routing.Effect) func(*World, *Node, node.Effect) node.Effect {
	return func(w *World, from *Node, effect node.Effect) node.Effect {
		output, ok := effect.(node.RoutingOutput)
		if !ok {
			return effect
		}
		if output.Effect = change(w, from, output.Effect); output.Effect == nil {
			return nil
		}
		return output
	}
}

// defects lists the injected defects, each with the promise that it breaks.
var defects = []struct {
	name    string
	promise Promise
	effect  func(w *World, from *Node, effect node.Effect) node.Effect
	event   func(event node.Event) node.Event
	answer  func(request *cluster.RequestID, tokens *int)
}{
	{name: "a load is also given to every other machine", promise: PromiseReplicas,
		effect: changeLoadOrders(func(w *World, order *cluster.Order) {
			for _, machine := range w.Engines() {
				if order.Base == "" && machine.Machine.ID != order.Machine {
					_ = machine.load(*order)
				}
			}
		})},
	{name: "a load takes more memory than was reserved", promise: PromiseMemory,
		effect: changeLoadOrders(func(_ *World, order *cluster.Order) { order.Bytes += 30 << 30 })},
	{name: "the outcome of a request is dropped", promise: PromiseOutcome,
		effect: changeRoutingEffects(func(_ *World, _ *Node, effect routing.Effect) routing.Effect {
			if finish, ok := effect.(routing.Finish); ok && finish.Failure == nil {
				return nil
			}
			return effect
		})},
	{name: "the outcome of a request is given twice", promise: PromiseOutcome,
		effect: changeRoutingEffects(func(w *World, _ *Node, effect routing.Effect) routing.Effect {
			if finish, ok := effect.(routing.Finish); ok {
				w.Callers.finish(finish)
			}
			return effect
		})},
	{name: "an answer is crossed with another", promise: PromiseAnswer,
		answer: func(request *cluster.RequestID, _ *int) { *request += "-other" }},
	{name: "an answer is cut short", promise: PromiseAnswer,
		answer: func(_ *cluster.RequestID, tokens *int) { *tokens-- }},
	{name: "a request that ran is refused as not run", promise: PromiseNotRun,
		effect: changeRoutingEffects(func(_ *World, _ *Node, effect routing.Effect) routing.Effect {
			if finish, ok := effect.(routing.Finish); ok && finish.Failure == nil {
				finish.Failure = verdict.New(verdict.NotRun, verdict.CodeNoCapacity, "planted")
				return finish
			}
			return effect
		})},
	{name: "a request is dispatched twice", promise: PromiseAtMostOnce,
		effect: changeRoutingEffects(func(w *World, from *Node, effect routing.Effect) routing.Effect {
			if dispatch, ok := effect.(routing.Dispatch); ok {
				w.Callers.dispatch(from, dispatch)
				dispatch.Attempt++
				return dispatch
			}
			return effect
		})},
	{name: "the end of a machine is overlooked", promise: PromiseLeaving, event: hideLeaving},
	{name: "a planned stop does not wait", promise: PromisePlannedStop,
		effect: func(_ *World, from *Node, effect node.Effect) node.Effect {
			if from.draining {
				return node.DrainCompleted{}
			}
			return effect
		}},
	{name: "a node goes back to an older configuration", promise: PromiseConfiguration,
		effect: func(w *World, from *Node, effect node.Effect) node.Effect {
			if inForce, ok := effect.(node.SettingsApplied); ok && from.revision > 1 {
				old := *inForce.Snapshot
				old.Stamp.Revision = 1
				return node.SettingsApplied{Snapshot: &old}
			}
			return effect
		}},
	{name: "an edit never reaches a node", promise: PromiseConfiguration,
		effect: func(_ *World, from *Node, effect node.Effect) node.Effect {
			if inForce, ok := effect.(node.SettingsApplied); ok && inForce.Snapshot.Stamp.Revision > 1 && from.number == 3 {
				return nil
			}
			return effect
		}},
}

// hideLeaving removes from an event that a machine leaves.
func hideLeaving(event node.Event) node.Event {
	switch e := event.(type) {
	case node.MachinesListed:
		e.Machines = slices.Clone(e.Machines)
		for i := range e.Machines {
			e.Machines[i].Leaving = false
		}
		return e
	case node.EngineAnswered:
		e.Inventory.Leaving = false
		return e
	}
	return event
}

// runWithFaults runs a small world with reclaimed machines, planned stops and
// edits. It sets world before the run, so that tamper can use it.
func runWithFaults(t *testing.T, tamper DefectHooks, world **World) *Checkers {
	t.Helper()
	*world = newSmallWorld(t, 11, tamper)
	w := *world
	w.Schedule([]Fault{
		{Kind: FaultEdit, After: 30 * time.Second},
		{Kind: FaultEdit, After: 40 * time.Second},
		{Kind: FaultMachineReclaim, After: 70 * time.Second, Duration: 40 * time.Second},
		{Kind: FaultMachineReclaim, After: 75 * time.Second, Duration: 40 * time.Second},
		{Kind: FaultNodeStop, After: 150*time.Second + 500*time.Millisecond},
		{Kind: FaultNodeStop, After: 170 * time.Second},
		// The stops have different offsets from the arrivals, so that some happen
		// while requests are in flight, whatever the timing of loads.
		{Kind: FaultNodeStop, After: 190*time.Second + 50*time.Millisecond},
		{Kind: FaultNodeStop, After: 205*time.Second + 100*time.Millisecond},
		{Kind: FaultNodeStop, After: 220*time.Second + 300*time.Millisecond},
		{Kind: FaultNodeStop, After: 235*time.Second + 800*time.Millisecond},
	})
	w.Run(Epoch.Add(5 * time.Minute))
	return w.Checkers
}

// Each defect breaks one promise. Guards against a checker that never checks, that
// misses the violation of its promise, or that reports one without a defect.
func TestCheckersDetectInjectedDefects(t *testing.T) {
	var world *World
	clean := runWithFaults(t, DefectHooks{}, &world)
	if clean.Total() != 0 {
		t.Fatalf("violations without a defect: %v", clean.Violations)
	}
	for _, promise := range Promises() {
		if promise != PromiseLeaving && clean.Checked[promise] == 0 {
			t.Errorf("%q is never checked", promise)
		}
	}
	for _, defect := range defects {
		t.Run(defect.name, func(t *testing.T) {
			tamper := DefectHooks{Answer: defect.answer, Event: defect.event}
			if defect.effect != nil {
				tamper.Effect = func(from *Node, effect node.Effect) node.Effect { return defect.effect(world, from, effect) }
			}
			checkers := runWithFaults(t, tamper, &world)
			if checkers.Count[defect.promise] == 0 {
				t.Errorf("the checker of %q did not detect the defect; violations: %v", defect.promise, checkers.Violations)
			}
		})
	}
}

// Leases expire while the key-value service is down for 40 seconds. Guards against
// controllers that don't act on edits after the outage, which here turn off a model.
func TestControllersApplyEditsAfterKeyValueOutage(t *testing.T) {
	world := newSmallWorld(t, 5, DefectHooks{})
	world.Schedule([]Fault{{Kind: FaultKeyValueDown, After: 30 * time.Second, Duration: 40 * time.Second}})
	world.Run(Epoch.Add(80 * time.Second))
	served := world.Callers.Outcomes[OutcomeServed]
	edit := settings.Edit{ID: "off", Author: "operator", BaseRevision: 1, Changes: []settings.Change{
		{Path: "/team/small", Set: map[string]settings.Value{"max_replicas": "0"}},
	}}
	if err := world.commit(edit, world.nodes[2]); err != nil {
		t.Fatal(err)
	}
	world.Run(Epoch.Add(3 * time.Minute))
	if held := world.Checkers.replicaCounts["small"]; held != 0 {
		t.Errorf("%d replicas are held of a model that was turned off after the outage", held)
	}
	if served == 0 || world.Callers.Outcomes[OutcomeServed] == served {
		t.Errorf("requests served: %d until the outage ended, %d at the end", served, world.Callers.Outcomes[OutcomeServed])
	}
	if world.Checkers.Total() != 0 {
		t.Errorf("violations: %v", world.Checkers.Violations)
	}
}
