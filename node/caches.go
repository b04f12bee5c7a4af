package node

import (
	"slices"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/wire"
)

const (
	// maxCacheMoves run at once in a zone.
	maxCacheMoves = 2
	// moveAttempts bounds how often the move of one cache is tried.
	moveAttempts = 3
)

// cacheMoves are the KV caches that a controller has copied from machines that
// leave to the replicas that replace theirs.
type cacheMoves struct {
	// departures are the replicas on machines that leave.
	departures map[replicaKey]*departure
	running    int
}

// departure is one replica on a machine that leaves.
type departure struct {
	// before are the machines that had the model loaded when the leaving was
	// seen. They have caches of their own, and are no targets.
	before   []cluster.MachineID
	attempts int
	running  bool
	moved    bool
}

func newCacheMoves() cacheMoves {
	return cacheMoves{departures: map[replicaKey]*departure{}}
}

// forget drops the departures of machines that are gone.
func (m *cacheMoves) forget(machine func(cluster.MachineID) (cluster.Machine, bool)) {
	for key, leaving := range m.departures {
		if _, listed := machine(key.machine); !listed && !leaving.running {
			delete(m.departures, key)
		}
	}
}

// moveCaches begins the moves that became possible: from each loaded replica on
// a machine that leaves to one of the same version that was loaded since.
func (r *cellRole) moveCaches() {
	if !r.controller.Ready() {
		return
	}
	r.moves.forget(r.controller.Machine)
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

// moveCache begins one move, unless it has run, runs, or has no target yet.
func (r *cellRole) moveCache(machine cluster.Machine, replica cluster.Replica, inventories []cluster.Inventory) {
	key := replicaKey{machine.ID, replica.Model}
	leaving := r.moves.departures[key]
	if leaving == nil {
		leaving = &departure{before: loadedOn(replica.Model, inventories)}
		r.moves.departures[key] = leaving
	}
	if leaving.moved || leaving.running || leaving.attempts == moveAttempts || r.moves.running == maxCacheMoves {
		return
	}
	target, found := r.replacement(replica, leaving.before, inventories)
	if !found {
		return
	}
	leaving.attempts++
	leaving.running = true
	r.moves.running++
	r.core.emit(EngineCall{
		Operation: EngineMoveCache, Machine: machine, Token: r.controller.Token(),
		Target: target, Model: replica.Model, Version: replica.Version,
	})
}

// loadedOn lists the machines that have a model loaded.
func loadedOn(model cluster.ModelID, inventories []cluster.Inventory) []cluster.MachineID {
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

// replacement is the first machine that stays, answers, and has loaded the same
// version of the model since the leaving was seen.
func (r *cellRole) replacement(of cluster.Replica, before []cluster.MachineID, inventories []cluster.Inventory) (cluster.Machine, bool) {
	for i := range inventories {
		id := inventories[i].Machine
		machine, listed := r.controller.Machine(id)
		if !listed || machine.Leaving || inventories[i].Leaving || slices.Contains(before, id) || !r.controller.Responsive(id) {
			continue
		}
		for _, replica := range inventories[i].Replicas {
			if replica.Model == of.Model && replica.Version == of.Version && replica.State == cluster.ReplicaLoaded {
				return machine, true
			}
		}
	}
	return cluster.Machine{}, false
}

// cacheMoved takes the outcome of a move and tells the zone's routers of one
// that succeeded. Outcomes of an earlier term are ignored.
func (r *cellRole) cacheMoved(answer *EngineAnswered) {
	call := &answer.Call
	leaving := r.moves.departures[replicaKey{call.Machine.ID, call.Model}]
	if !r.controller.Holding() || call.Token != r.controller.Token() || leaving == nil || !leaving.running {
		return
	}
	leaving.running = false
	r.moves.running--
	if answer.Err != nil {
		return
	}
	leaving.moved = true
	r.core.routing(routing.CacheMoved{Model: call.Model, From: call.Machine.ID, To: call.Target.ID})
	r.tellZone(wire.CacheMoved{Zone: r.core.self.Zone, Model: call.Model, Machine: call.Machine.ID, Target: call.Target.ID})
}
