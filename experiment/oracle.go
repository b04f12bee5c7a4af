package experiment

import (
	"math"
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/settings"
)

// oracle is a planner that knows every arrival in advance. It loads a model just in time, keeps an
// idle model only if its next use is sooner than a reload would take, and evicts the model with the
// latest next use. Its result approximates the best that a policy can achieve.
type oracle struct {
	arrivals map[cluster.ModelID][]time.Time
	// nextArrival is the index of the first arrival that is still to come, by model.
	nextArrival map[cluster.ModelID]int
	// adapters holds the adapters by base model.
	adapters map[cluster.ModelID][]cluster.ModelID
}

// newOracle returns an oracle for the given arrivals, which must be sorted by time.
func newOracle(arrivals map[cluster.ModelID][]time.Time) *oracle {
	return &oracle{arrivals: arrivals, nextArrival: map[cluster.ModelID]int{}}
}

// oracleRound is one planning round of an oracle.
type oracleRound struct {
	*oracle
	state      *placement.State
	plan       placement.Plan
	neededAt   map[cluster.ModelID]time.Time
	loadBudget int
}

// loadLeadTime is how much earlier than necessary the oracle starts a load, because loads compete
// for the weight store.
const loadLeadTime = 15 * time.Second

// Assumed minimum rate of a load, and its fixed overhead.
const (
	minLoadBytesPerSecond = 1e9
	loadOverhead          = 2 * time.Second
)

// Plan implements placement.Planner.
func (o *oracle) Plan(state placement.State) placement.Plan {
	o.indexAdapters(state.Settings)
	round := &oracleRound{oracle: o, state: &state, neededAt: map[cluster.ModelID]time.Time{}}
	round.loadBudget = state.Store.Concurrency - round.countLoading()
	toLoad := round.modelsToLoad()
	for _, model := range toLoad {
		round.ensureReplicas(model)
	}
	round.unloadUnneeded()
	return round.plan
}

// indexAdapters collects the adapters of each base model once.
func (o *oracle) indexAdapters(snapshot *settings.Snapshot) {
	if o.adapters != nil {
		return
	}
	o.adapters = map[cluster.ModelID][]cluster.ModelID{}
	for i := range snapshot.Models {
		if base := snapshot.Models[i].Base; base != "" {
			o.adapters[base] = append(o.adapters[base], snapshot.Models[i].ID)
		}
	}
}

// nextUse returns the next arrival for the model or any of its adapters, or a time in the far
// future if there is none.
func (o *oracle) nextUse(model cluster.ModelID, now time.Time) time.Time {
	times := o.arrivals[model]
	i := o.nextArrival[model]
	for i < len(times) && times[i].Before(now) {
		i++
	}
	o.nextArrival[model] = i
	next := time.Unix(math.MaxInt32, 0)
	if i < len(times) {
		next = times[i]
	}
	for _, adapter := range o.adapters[model] {
		if at := o.nextUse(adapter, now); at.Before(next) {
			next = at
		}
	}
	return next
}

// countLoading returns the number of loads in progress.
func (r *oracleRound) countLoading() int {
	count := 0
	for i := range r.state.Machines {
		for _, slot := range r.state.Machines[i].Replicas {
			if slot.State == cluster.ReplicaLoading {
				count++
			}
		}
	}
	return count
}

// modelsToLoad returns the models that must be loaded now, the most urgent first and a base before
// its adapters. It also sets neededAt for all models.
func (r *oracleRound) modelsToLoad() []*settings.Model {
	now := r.state.Now
	var toLoad []*settings.Model
	for i := range r.state.Settings.Models {
		model := &r.state.Settings.Models[i]
		at := r.nextUse(model.ID, now)
		if r.hasRequests(model.ID) {
			at = now
		}
		r.neededAt[model.ID] = at
		if at.Sub(now) <= r.maxLoadTime(model.Policy.Memory)+loadLeadTime {
			toLoad = append(toLoad, model)
		}
	}
	sort.SliceStable(toLoad, func(i, j int) bool {
		left, right := toLoad[i], toLoad[j]
		if !r.neededAt[left.ID].Equal(r.neededAt[right.ID]) {
			return r.neededAt[left.ID].Before(r.neededAt[right.ID])
		}
		return left.Base == "" && right.Base != ""
	})
	return toLoad
}

// hasRequests reports whether the model or any of its adapters has waiting or running requests.
func (r *oracleRound) hasRequests(model cluster.ModelID) bool {
	if demand := r.state.Demand[model]; demand.Waiting+demand.Running > 0 {
		return true
	}
	for _, adapter := range r.adapters[model] {
		if demand := r.state.Demand[adapter]; demand.Waiting+demand.Running > 0 {
			return true
		}
	}
	return false
}

// maxLoadTime returns the longest time that a load takes if the store is not overloaded.
func (r *oracleRound) maxLoadTime(bytes int64) time.Duration {
	return loadOverhead + time.Duration(float64(bytes)/minLoadBytesPerSecond*float64(time.Second))
}

// ensureReplicas orders a load unless the model has enough replicas or the round's load budget is
// used up.
func (r *oracleRound) ensureReplicas(model *settings.Model) {
	existing := 0
	for i := range r.state.Machines {
		if r.hasReplica(&r.state.Machines[i], model.ID) {
			existing++
		}
	}
	demand := r.state.Demand[model.ID]
	replicas := 1
	if slots := r.state.Machines[0].Slots; demand.Waiting > 0 && existing > 0 {
		replicas = 1 + (demand.Waiting+demand.Running)/slots
	}
	if existing >= min(replicas, model.Policy.MaxReplicas) || r.loadBudget <= 0 {
		return
	}
	if chosen := r.chooseMachine(model); chosen != nil {
		r.orderLoad(chosen, model)
	}
}

// hasReplica reports whether the machine has a replica of the model in any state.
func (r *oracleRound) hasReplica(machine *placement.Machine, model cluster.ModelID) bool {
	for _, slot := range machine.Replicas {
		if slot.Model == model {
			return true
		}
	}
	return false
}

// chooseMachine returns the machine with enough free memory and the fastest cache tier for the
// model. If none has enough, it evicts replicas from the machine whose replicas are needed latest
// and returns nil.
func (r *oracleRound) chooseMachine(model *settings.Model) *placement.Machine {
	var best, evictFrom *placement.Machine
	var latest time.Time
	for i := range r.state.Machines {
		machine := &r.state.Machines[i]
		if machine.Pool != model.Policy.EnginePool || machine.Leaving || !machine.Sealed || r.hasReplica(machine, model.ID) {
			continue
		}
		if model.Base != "" && !r.hasReplica(machine, model.Base) {
			continue
		}
		if freeMemory(machine) >= model.Policy.Memory {
			if best == nil || machine.Cached[model.ID] > best.Cached[model.ID] {
				best = machine
			}
			continue
		}
		if neededAt, ok := r.evictionNeededAt(machine, model); ok && neededAt.After(latest) {
			evictFrom, latest = machine, neededAt
		}
	}
	if best == nil && evictFrom != nil {
		r.evictFor(evictFrom, model)
	}
	return best
}

// freeMemory returns the unreserved memory of a machine.
func freeMemory(machine *placement.Machine) int64 {
	left := machine.MemoryBytes
	for _, slot := range machine.Replicas {
		left -= slot.Bytes
	}
	return left
}

// evictionCandidates returns the idle replicas of a machine that are needed later than the model,
// the latest first.
func (r *oracleRound) evictionCandidates(machine *placement.Machine, model *settings.Model) []placement.Replica {
	var idle []placement.Replica
	for _, slot := range machine.Replicas {
		if slot.State == cluster.ReplicaLoaded && slot.Model != model.Base && !r.hasRequests(slot.Model) && r.neededAt[slot.Model].After(r.neededAt[model.ID]) {
			idle = append(idle, slot)
		}
	}
	sort.SliceStable(idle, func(i, j int) bool { return r.neededAt[idle[i].Model].After(r.neededAt[idle[j].Model]) })
	return idle
}

// evictionNeededAt returns the earliest next use among the replicas that would have to be evicted
// for the model, or false if the machine cannot make enough room.
func (r *oracleRound) evictionNeededAt(machine *placement.Machine, model *settings.Model) (time.Time, bool) {
	left := freeMemory(machine)
	for _, slot := range r.evictionCandidates(machine, model) {
		left += slot.Bytes
		if left >= model.Policy.Memory {
			return r.neededAt[slot.Model], true
		}
	}
	return time.Time{}, false
}

// evictFor unloads replicas until the model fits.
func (r *oracleRound) evictFor(machine *placement.Machine, model *settings.Model) {
	left := freeMemory(machine)
	for _, slot := range r.evictionCandidates(machine, model) {
		if left >= model.Policy.Memory {
			return
		}
		left += slot.Bytes
		r.orderUnload(machine, slot.Model)
	}
}

// orderLoad orders a load and reserves its memory for the rest of the round.
func (r *oracleRound) orderLoad(machine *placement.Machine, model *settings.Model) {
	r.loadBudget--
	machine.Replicas = append(machine.Replicas, placement.Replica{
		Model: model.ID, State: cluster.ReplicaLoading, Bytes: model.Policy.Memory,
	})
	r.plan.Actions = append(r.plan.Actions, placement.Action{
		Kind: cluster.OrderLoad, Machine: machine.ID, Model: model.ID, Base: model.Base,
		Version: model.Policy.Version, Bytes: model.Policy.Memory,
	})
}

// orderUnload orders an unload.
func (r *oracleRound) orderUnload(machine *placement.Machine, model cluster.ModelID) {
	for i := range machine.Replicas {
		if machine.Replicas[i].Model == model {
			machine.Replicas[i].State = cluster.ReplicaUnloading
		}
	}
	r.plan.Actions = append(r.plan.Actions, placement.Action{
		Kind: cluster.OrderUnload, Machine: machine.ID, Model: model, DrainTime: r.state.Settings.Model(model).Policy.DrainTime,
	})
}

// unloadUnneeded unloads idle models whose next use is later than a reload takes.
func (r *oracleRound) unloadUnneeded() {
	for i := range r.state.Machines {
		machine := &r.state.Machines[i]
		for _, slot := range machine.Replicas {
			model := r.state.Settings.Model(slot.Model)
			if slot.State != cluster.ReplicaLoaded || model == nil || r.hasRequests(slot.Model) {
				continue
			}
			if r.neededAt[slot.Model].Sub(r.state.Now) > r.maxLoadTime(model.Policy.Memory)+2*loadLeadTime {
				r.orderUnload(machine, slot.Model)
			}
		}
	}
}
