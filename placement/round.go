package placement

import (
	"cmp"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// round holds the working data of one planning round. Its buffers are reused by the next round.
// In its methods, i is the index of a model in the catalogue and m the index of a machine in
// State.Machines.
type round struct {
	*planner
	state    *State
	models   []modelState
	machines []machineState
	// replicas holds the replicas of all machines, grouped by machine.
	replicas     []replicaState
	requests     []loadRequest
	plannedLoads []plannedLoad
	choice       machineChoice
	victims      []victim
	pools        []poolTotals
	// remoteLoads counts the running and planned remote loads in the zone.
	remoteLoads int
	unsealed    int
	plan        Plan
}

// poolTotals sums the machines of one engine pool.
type poolTotals struct {
	machines, slots, accelerators int
	bytes                         int64
}

// modelState is the state of one model in a round. Its index is that of the catalogue.
type modelState struct {
	demand Demand
	// adapterWorking reports that adapters of this base model have requests now, and
	// adapterArrivals counts their arrivals since the last round.
	adapterWorking  bool
	adapterArrivals int
	// promptsArrived sums the prompts since the last round, including those of a base model's
	// adapters. prefill is the resulting prefill load.
	promptsArrived promptSum
	prefill        prefillLoad
	// allotted reports that the allotment names the model. limit is the maximum number of
	// replicas by the allotment, and candidates are its machines for the model, all if empty.
	allotted   bool
	limit      int
	candidates []cluster.MachineID
	// bestTier is the fastest tier in which a machine of the pool has the checkpoint.
	// localCopies counts the machines that have it and can load it soon.
	bestTier    cluster.Tier
	localCopies int
	// firstReplica is the head of the model's list in round.replicas.
	firstReplica int32
	// held counts all replicas, including the loads planned in this round, which planned
	// counts. loaded counts the ready ones. serving counts replicas of the wanted version that
	// serve or will serve, on a machine that stays. unloading counts those being unloaded, and
	// confirmed those that may be ordered to unload.
	held, planned, loaded, serving, unloading, confirmed int
	// wanted is the count for which loads are planned, and retained the count up to which idle
	// replicas are kept. reported also includes what adapters need of their base model.
	wanted, retained, reported int
	// neededForRequests is the part of wanted that running and waiting requests need. The rest
	// is needed for prefill.
	neededForRequests int
	// prewarm is set if the model is wanted only because of an expected wake-up, and lacksCopy
	// if it is wanted because no machine has a copy.
	prewarm, lacksCopy bool
	reason             Reason
	// lossByTier caches the eviction loss of a replica by the tier of its copy.
	lossByTier [TierCount]cachedLoss
}

// machineState is the state of one machine in a round. Its index is that of State.Machines.
type machineState struct {
	pool int32
	// free is the free memory now, and freeAfterUnloads the free memory after all unloads.
	// Memory reserved in this round is subtracted from both.
	free, freeAfterUnloads int64
	// firstReplica and endReplica bound the machine's entries in round.replicas.
	firstReplica, endReplica int32
	// loading counts the running and planned loads on the machine.
	loading int
	// queuedLoadTime is the duration of the loads that this round leaves to the machine for the
	// time after its present order.
	queuedLoadTime time.Duration
	// exclusiveRate caches the result of exclusiveArrivalRate for this round.
	exclusiveRate      float64
	exclusiveRateKnown bool
	// prefillShare is the share of its time that the machine spends on prefill for its models.
	prefillShare float64
	// adapters counts the adapters on the machine and those planned in this round.
	adapters int
	// usable reports that the machine is sealed and not leaving.
	usable bool
	// draining is set while an unload waits for running requests to end.
	draining bool
}

// replicaState is one replica in a round; slot is its record in the ledger.
type replicaState struct {
	slot    *Replica
	model   int32
	machine int32
	// next links the replicas of one model.
	next      int32
	serving   bool
	unloading bool
	// selected marks the victims of the eviction that is being evaluated.
	selected bool
}

// reset starts a round: it clears the working data and indexes the state.
func (r *round) reset(p *planner, state *State) {
	r.planner, r.state = p, state
	r.plan = Plan{}
	r.requests, r.plannedLoads = r.requests[:0], r.plannedLoads[:0]
	r.replicas = r.replicas[:0]
	r.remoteLoads, r.unsealed = 0, 0
	r.indexModels()
	r.indexMachines()
}

// indexModels resets the models and adds their allotment and demand.
func (r *round) indexModels() {
	count := len(r.catalogue.entries)
	if cap(r.models) < count {
		r.models = make([]modelState, count)
	}
	r.models = r.models[:count]
	var allotments []cluster.ModelAllotment
	if r.state.Allotment != nil {
		allotments = r.state.Allotment.Models
	}
	next := 0
	for i := range r.models {
		id := r.catalogue.entries[i].model.ID
		r.models[i] = modelState{firstReplica: noIndex, demand: r.state.Demand[id]}
		r.models[i].promptsArrived = promptSum{tokens: float64(r.models[i].demand.PromptTokens), squares: r.models[i].demand.PromptSquareSum}
		for next < len(allotments) && allotments[next].Model < id {
			next++
		}
		if next < len(allotments) && allotments[next].Model == id {
			r.models[i].allotted = true
			r.models[i].limit = allotments[next].MaxReplicas
			r.models[i].candidates = allotments[next].Candidates
		}
	}
	for i := range r.models {
		r.addAdapterDemand(i)
	}
}

// addAdapterDemand adds the demand of an adapter to its base model.
func (r *round) addAdapterDemand(i int) {
	base := r.catalogue.entries[i].base
	if base == noIndex {
		return
	}
	demand := &r.models[i].demand
	if demand.Waiting+demand.Running > 0 {
		r.models[base].adapterWorking = true
	}
	r.models[base].adapterArrivals += demand.Arrivals
	r.models[base].promptsArrived.tokens += float64(demand.PromptTokens)
	r.models[base].promptsArrived.squares += demand.PromptSquareSum
}

// indexMachines adds every machine and its replicas.
func (r *round) indexMachines() {
	r.machines = r.machines[:0]
	r.pools = r.pools[:0]
	for m := range r.state.Machines {
		machine := &r.state.Machines[m]
		pool := r.catalogue.poolIndex(machine.Pool)
		entry := machineState{
			pool: pool, free: machine.MemoryBytes, firstReplica: int32(len(r.replicas)),
			usable: machine.Sealed && !machine.Leaving,
		}
		for s := range machine.Replicas {
			r.indexReplica(int32(m), &entry, &machine.Replicas[s])
		}
		entry.freeAfterUnloads += entry.free
		entry.endReplica = int32(len(r.replicas))
		if !machine.Sealed {
			r.unsealed++
		}
		if entry.usable {
			r.indexCachedModels(pool, machine)
		}
		r.machines = append(r.machines, entry)
		r.addToPool(pool, machine)
	}
}

// indexCachedModels adds the checkpoints that a machine has cached to their models.
func (r *round) indexCachedModels(pool int32, machine *Machine) {
	for id, tier := range machine.Cached {
		i := r.catalogue.indexOf(id)
		if i == noIndex || r.catalogue.entries[i].pool != pool {
			continue
		}
		r.models[i].bestTier = max(r.models[i].bestTier, tier)
		if machine.OrderTimeLeft <= r.loadTime(i, tier) {
			r.models[i].localCopies++
		}
	}
}

// indexReplica adds one replica. A replica occupies its memory in every state.
func (r *round) indexReplica(m int32, machine *machineState, slot *Replica) {
	machine.free -= slot.Bytes
	replica := replicaState{slot: slot, model: r.catalogue.indexOf(slot.Model), machine: m, next: noIndex}
	replica.unloading = slot.State == cluster.ReplicaUnloading
	if replica.unloading {
		machine.freeAfterUnloads += slot.Bytes
		machine.draining = machine.draining || r.state.Machines[m].Load.PerModel[slot.Model] > 0
	}
	if slot.State == cluster.ReplicaLoading {
		machine.loading++
		if r.countsAsRemote(&replica) && r.store.mayUseStore(loadKey{machine: r.state.Machines[m].ID, model: slot.Model}) {
			r.remoteLoads++
		}
	}
	if replica.model != noIndex {
		r.countReplica(&replica)
		if r.catalogue.entries[replica.model].model.Kind == settings.KindAdapter {
			machine.adapters++
		}
	}
	r.replicas = append(r.replicas, replica)
}

// countsAsRemote reports whether a load of the replica's model counts against the limits of the
// weight store.
func (r *round) countsAsRemote(replica *replicaState) bool {
	return !r.config.AdaptersUnlimited || replica.model == noIndex || r.catalogue.entries[replica.model].base == noIndex
}

// countReplica adds a replica to the counts and the list of its model.
func (r *round) countReplica(replica *replicaState) {
	model := &r.models[replica.model]
	machine := &r.state.Machines[replica.machine]
	slot := replica.slot
	model.held++
	if replica.unloading {
		model.unloading++
	}
	if slot.State == cluster.ReplicaLoaded && !slot.Unknown {
		model.loaded++
	}
	if r.mayUnload(replica) {
		model.confirmed++
	}
	expectedToServe := !slot.Unknown || r.state.Now.Sub(slot.Since) < r.config.UnknownGrace
	if !replica.unloading && expectedToServe && machine.Sealed && !machine.Leaving && r.versionCurrent(replica) {
		replica.serving = true
		model.serving++
	}
	replica.next = model.firstReplica
	model.firstReplica = int32(len(r.replicas))
}

// versionCurrent reports whether the replica has the version that the policy names.
func (r *round) versionCurrent(replica *replicaState) bool {
	version := r.catalogue.entries[replica.model].model.Policy.Version
	return version == "" || replica.slot.Version == version
}

// addToPool adds a machine to the totals of its pool.
func (r *round) addToPool(pool int32, machine *Machine) {
	for len(r.pools) < len(r.catalogue.pools) {
		r.pools = append(r.pools, poolTotals{})
	}
	slots := machine.Slots
	if slots <= 0 {
		slots = r.config.DefaultSlots
	}
	sum := &r.pools[pool]
	sum.machines++
	sum.slots += slots
	sum.accelerators += max(machine.Accelerators, 1)
	sum.bytes += machine.MemoryBytes
}

// slotsPerReplica returns how many requests one replica in the pool runs at once.
func (r *round) slotsPerReplica(pool int32) float64 {
	if int(pool) < len(r.pools) && r.pools[pool].machines > 0 {
		return float64(r.pools[pool].slots) / float64(r.pools[pool].machines)
	}
	return float64(r.config.DefaultSlots)
}

// acceleratorShare returns how many accelerators a replica of the given size occupies, in
// proportion to its share of a machine's memory.
func (r *round) acceleratorShare(pool int32, bytes int64) float64 {
	if int(pool) >= len(r.pools) || r.pools[pool].bytes == 0 {
		return 1
	}
	return float64(bytes) / float64(r.pools[pool].bytes) * float64(r.pools[pool].accelerators)
}

// awaitsSeals reports whether the controller took over recently and still waits for machines to
// report their replicas.
func (r *round) awaitsSeals() bool {
	return r.unsealed > 0 && r.state.Now.Sub(r.tokenSince) < r.config.SealGrace
}

// replicasOn returns the replicas on the machine.
func (r *round) replicasOn(m int32) []replicaState {
	return r.replicas[r.machines[m].firstReplica:r.machines[m].endReplica]
}

// holds reports whether the machine has a replica of the model in any state.
func (r *round) holds(m, model int32) bool {
	for i := range r.replicasOn(m) {
		if r.replicasOn(m)[i].model == model {
			return true
		}
	}
	return false
}

// baseInUse reports whether a replica on the machine is, or may be, an adapter of the base
// model. The kind of a replica is unknown if its model was removed from the settings.
func (r *round) baseInUse(m, base int32) bool {
	if r.catalogue.entries[base].model.Kind == settings.KindAdapter {
		return false
	}
	for _, replica := range r.replicasOn(m) {
		if replica.model == noIndex || r.catalogue.entries[replica.model].base == base {
			return true
		}
	}
	return false
}

// observeRound learns from the changes of the ledger and the demand since the last round.
func (r *round) observeRound() {
	for i := range r.replicas {
		replica := &r.replicas[i]
		key := loadKey{machine: r.state.Machines[replica.machine].ID, model: replica.slot.Model}
		if replica.slot.State == cluster.ReplicaLoaded && !replica.slot.Unknown {
			r.store.observeFinished(key, replica.slot.Since)
		} else {
			r.store.markSeen(key, r.roundCount)
		}
		if replica.slot.State == cluster.ReplicaLoading && !replica.slot.Unknown {
			r.store.noteAccepted(key, replica.slot.Since)
		}
	}
	r.store.forgetUnseen(r.roundCount)
	passed := r.busyMachines.observe(r.state)
	for i := range r.models {
		model := &r.models[i]
		working := model.demand.Waiting+model.demand.Running > 0 || model.adapterWorking
		arrivals := model.demand.Arrivals + model.adapterArrivals
		history := r.catalogue.entries[i].history
		history.observe(r.state.Now, working, arrivals)
		history.arrivalRate.observe(arrivals, passed)
		history.objective = cmp.Or(model.demand.Objective, history.objective)
		r.observePrefill(int32(i), passed)
		history.starvation.observe(r.state.Now, model.serving > 0, model.demand.Waiting, model.demand.Arrivals)
	}
	r.sumPrefillPerMachine()
}
