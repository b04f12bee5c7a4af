package inspection

import (
	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/routing"
)

// stateUnknown is the state of a replica that may or may not exist.
const stateUnknown = "unknown"

// maxSearchedDecisions limits the recorded decisions searched for the last one of each
// zone.
const maxSearchedDecisions = 32

// localControllers returns this node's controller role, if it has one.
func (b *Backend) localControllers() []admin.Controller {
	var controllers []admin.Controller
	b.source.Inspect(func(core *node.Core) {
		state, isController := core.Cell(b.source.Now())
		if !isController {
			return
		}
		controller := admin.Controller{
			Zone: state.Zone, Node: b.source.Self().ID, Token: state.Token,
			Ready: core.Controller().Ready(), Machines: len(state.Machines),
		}
		for i := range state.Machines {
			if state.Machines[i].Sealed {
				controller.Sealed++
			}
		}
		controllers = append(controllers, controller)
	})
	return controllers
}

// localMachines returns the machines of the cell that this node controls.
func (b *Backend) localMachines() []admin.Machine {
	var machines []admin.Machine
	b.source.Inspect(func(core *node.Core) {
		state, isController := core.Cell(b.source.Now())
		if !isController {
			return
		}
		for i := range state.Machines {
			machines = append(machines, machineView(core, &state.Machines[i]))
		}
	})
	return machines
}

// machineView combines a machine's list entry, inventory and load report.
func machineView(core *node.Core, machine *placement.Machine) admin.Machine {
	entry, _ := core.MachineEntry(machine.ID)
	load := core.Load(machine.ID)
	view := admin.Machine{
		ID: machine.ID, Zone: entry.Zone, Region: entry.Region, Rack: machine.Rack, Address: entry.Address, Pool: machine.Pool,
		Sealed: machine.Sealed, Leaving: machine.Leaving, MemoryBytes: machine.MemoryBytes,
		Accelerators: machine.Accelerators, Slots: machine.Slots, Running: load.Running, Queued: load.Queued,
	}
	for i := range machine.Replicas {
		view.UsedBytes += machine.Replicas[i].Bytes
	}
	return view
}

// localReplicas returns the replicas of the cell that this node controls.
func (b *Backend) localReplicas() []admin.Replica {
	var replicas []admin.Replica
	b.source.Inspect(func(core *node.Core) {
		state, isController := core.Cell(b.source.Now())
		if !isController {
			return
		}
		for i := range state.Machines {
			for _, slot := range state.Machines[i].Replicas {
				replicas = append(replicas, replicaView(state.Zone, state.Machines[i].ID, slot))
			}
		}
	})
	return replicas
}

// replicaView returns a replica in the form of the administration API.
func replicaView(zone cluster.ZoneID, machine cluster.MachineID, slot placement.Replica) admin.Replica {
	state := slot.State.String()
	if slot.Unknown {
		state = stateUnknown
	}
	return admin.Replica{
		Model: slot.Model, Machine: machine, Zone: zone, Version: slot.Version, State: state, Bytes: slot.Bytes, Since: slot.Since,
	}
}

// localQueues returns this node's queues.
func (b *Backend) localQueues() []admin.Queue {
	var queues []admin.Queue
	b.source.Inspect(func(core *node.Core) {
		for _, queue := range core.Queues(b.source.Now()) {
			queues = append(queues, admin.Queue{
				Node: b.source.Self().ID, Model: queue.Model, Waiting: queue.Waiting, Running: queue.Running,
				Bytes: queue.Bytes, OldestWaitSeconds: queue.OldestWait.Seconds(),
			})
		}
	})
	return queues
}

// localDecisions returns the last decision on a model for each zone that this node has
// planned.
func (b *Backend) localDecisions(model cluster.ModelID) []admin.ModelDecision {
	var decisions []admin.ModelDecision
	seen := make(map[cluster.ZoneID]bool)
	for _, recorded := range b.source.Journal().DecisionsOf(model, maxSearchedDecisions) {
		if seen[recorded.Zone] {
			continue
		}
		seen[recorded.Zone] = true
		decisions = append(decisions, admin.ModelDecision{
			Zone: recorded.Zone, Node: b.source.Self().ID, At: recorded.At, Decision: recorded.Decision, Actions: recorded.Actions,
		})
	}
	return decisions
}

// localTrace returns this node's record of a request, or admin.ErrNotFound.
func (b *Backend) localTrace(id cluster.RequestID) (admin.RequestTrace, error) {
	recorded, found := b.source.Journal().Request(id)
	if !found {
		return admin.RequestTrace{}, admin.ErrNotFound
	}
	trace := admin.RequestTrace{
		ID: recorded.ID, Model: recorded.Model, TokenPath: recorded.TokenPath, Node: b.source.Self().ID, Arrived: recorded.Arrived, Ended: recorded.Ended,
	}
	for _, dispatch := range recorded.Dispatches {
		trace.Attempts = append(trace.Attempts, admin.AttemptTrace{At: dispatch.At, Dispatch: routing.Dispatch{
			Request: recorded.ID, Model: recorded.Model, Attempt: dispatch.Attempt, Machine: dispatch.Machine, Version: dispatch.Version, Reason: dispatch.Reason,
		}})
	}
	if !recorded.Ended.IsZero() {
		trace.Finish = &routing.Finish{Request: recorded.ID, Failure: recorded.Failure, Reason: recorded.Reason}
	}
	return trace, nil
}
