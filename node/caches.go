package node

import (
	"slices"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/wire"
)

const (
	// maxCacheMoves is the largest number of concurrent cache moves in a zone.
	maxCacheMoves = 2
	// maxMoveAttempts is the largest number of attempts to move one cache.
	maxMoveAttempts = 3
)

// cacheMoves tracks the KV caches that a controller copies from leaving machines to
// the replicas that replace theirs.
type cacheMoves struct {
	// departing holds the replicas on leaving machines.
	departing map[replicaKey]*departingReplica
	running   int
}

// departingReplica is one replica on a leaving machine.
type departingReplica struct {
	// loadedBefore lists the machines that had the model loaded when the machine was
	// first seen leaving. They have caches of their own and are not targets.
	loadedBefore []cluster.MachineID
	attempts     int
	running      bool
	moved        bool
}

func newCacheMoves() cacheMoves {
	return cacheMoves{departing: map[replicaKey]*departingReplica{}}
}

// forgetRemovedMachines drops the replicas of machines that are no longer listed.
func (m *cacheMoves) forgetRemovedMachines(machine func(cluster.MachineID) (cluster.Machine, bool)) {
	for key, replica := range m.departing {
		if _, listed := machine(key.machine); !listed && !replica.running {
			delete(m.departing, key)
		}
	}
}

// moveCaches starts a cache move from each loaded replica on a leaving machine to a
// replica of the same version that was loaded after the machine began to leave.
func (r *cellRole) moveCaches() {
	if !r.controller.Ready() {
		return
	}
	r.moves.forgetRemovedMachines(r.controller.Machine)
	inventories := r.controller.Inventories()
	for i := range inventories {
		machine, listed := r.controller.Machine(inventories[i].Machine)
		if !listed || !machine.Leaving && !inventories[i].Leaving {
			continue
		}
		for _, replica := range inventories[i].Replicas {
			if replica.State == cluster.ReplicaLoaded {
				r.moveCache(machine, replica, inventories)
			}
		}
	}
}

// moveCache starts one move unless it is done or running, has used all its attempts,
// or has no target yet.
func (r *cellRole) moveCache(machine cluster.Machine, replica cluster.Replica, inventories []cluster.Inventory) {
	key := replicaKey{machine.ID, replica.Model}
	departing := r.moves.departing[key]
	if departing == nil {
		departing = &departingReplica{loadedBefore: machinesWithLoadedModel(replica.Model, inventories)}
		r.moves.departing[key] = departing
	}
	if departing.moved || departing.running || departing.attempts == maxMoveAttempts || r.moves.running == maxCacheMoves {
		return
	}
	target, found := r.findReplacement(replica, departing.loadedBefore, inventories)
	if !found {
		return
	}
	departing.attempts++
	departing.running = true
	r.moves.running++
	r.core.emit(EngineCall{
		Operation: EngineMoveCache, Machine: machine, Token: r.controller.Token(),
		Target: target, Model: replica.Model, Version: replica.Version,
	})
}

// machinesWithLoadedModel returns the machines that have the model loaded.
func machinesWithLoadedModel(model cluster.ModelID, inventories []cluster.Inventory) []cluster.MachineID {
	var machines []cluster.MachineID
	for i := range inventories {
		for _, replica := range inventories[i].Replicas {
			if replica.Model == model && replica.State == cluster.ReplicaLoaded {
				machines = append(machines, inventories[i].Machine)
			}
		}
	}
	return machines
}

// findReplacement returns the first machine that is responsive, is not leaving, and
// has loaded the same version of the model since the departure was seen.
func (r *cellRole) findReplacement(departing cluster.Replica, loadedBefore []cluster.MachineID, inventories []cluster.Inventory) (cluster.Machine, bool) {
	for i := range inventories {
		id := inventories[i].Machine
		machine, listed := r.controller.Machine(id)
		if !listed || machine.Leaving || inventories[i].Leaving || slices.Contains(loadedBefore, id) || !r.controller.Responsive(id) {
			continue
		}
		for _, replica := range inventories[i].Replicas {
			if replica.Model == departing.Model && replica.Version == departing.Version && replica.State == cluster.ReplicaLoaded {
				return machine, true
			}
		}
	}
	return cluster.Machine{}, false
}

// cacheMoved handles the outcome of a move and announces a successful one to the
// routers of the zone. Outcomes of an earlier term are ignored.
func (r *cellRole) cacheMoved(answer *EngineAnswered) {
	call := &answer.Call
	departing := r.moves.departing[replicaKey{call.Machine.ID, call.Model}]
	if !r.controller.Holding() || call.Token != r.controller.Token() || departing == nil || !departing.running {
		return
	}
	departing.running = false
	r.moves.running--
	if answer.Err != nil {
		return
	}
	departing.moved = true
	r.core.stepRouter(routing.CacheMoved{Model: call.Model, From: call.Machine.ID, To: call.Target.ID})
	r.sendToZone(wire.CacheMoved{Zone: r.core.self.Zone, Model: call.Model, Machine: call.Machine.ID, Target: call.Target.ID})
}
