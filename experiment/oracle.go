package experiment

import (
	"math"
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/settings"
)

// oracle is a planner that knows every arrival. It loads a model just in time,
// keeps it over a gap only when the gap is shorter than a reload, and evicts
// what is needed latest. It shows what no real policy can beat by much.
type oracle struct {
	future map[cluster.ModelID][]time.Time
	// position of the first arrival that has not come, by model.
	position map[cluster.ModelID]int
	// adapters by base model.
	adapters map[cluster.ModelID][]cluster.ModelID
}

// newOracle returns an oracle for the given arrivals, sorted by time.
func newOracle(future map[cluster.ModelID][]time.Time) *oracle {
	return &oracle{future: future, position: map[cluster.ModelID]int{}}
}

// oracleRound is one plan of an oracle.
type oracleRound struct {
	*oracle
	state  *placement.State
	plan   placement.Plan
	need   map[cluster.ModelID]time.Time
	budget int
}

// margin is how much earlier than needed an oracle begins a load, since loads
// wait for each other at the store.
const margin = 15 * time.Second

// slowestRate of a load in bytes a second and the overhead of each.
const (
	slowestRate  = 1e9
	loadOverhead = 2 * time.Second
)

// Plan implements placement.Planner.
func (o *oracle) Plan(state placement.State) placement.Plan {
	o.index(state.Settings)
	round := &oracleRound{oracle: o, state: &state, need: map[cluster.ModelID]time.Time{}}
	round.budget = state.Store.Concurrency - round.loading()
	wanted := round.wanted()
	for _, model := range wanted {
		round.ensure(model)
	}
	round.release()
	return round.plan
}

// index finds the adapters of each base.
func (o *oracle) index(snapshot *settings.Snapshot) {
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

// next returns when the model is needed next, counting its adapters.
func (o *oracle) next(model cluster.ModelID, now time.Time) time.Time {
	times := o.future[model]
	i := o.position[model]
	for i < len(times) && times[i].Before(now) {
		i++
	}
	o.position[model] = i
	next := time.Unix(math.MaxInt32, 0)
	if i < len(times) {
		next = times[i]
	}
	for _, adapter := range o.adapters[model] {
		if at := o.next(adapter, now); at.Before(next) {
			next = at
		}
	}
	return next
}

// loading counts loads under way.
func (r *oracleRound) loading() int {
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

// wanted returns the models that must be loaded now, the most urgent first.
func (r *oracleRound) wanted() []*settings.Model {
	now := r.state.Now
	var wanted []*settings.Model
	for i := range r.state.Settings.Models {
		model := &r.state.Settings.Models[i]
		at := r.next(model.ID, now)
		if r.busy(model.ID) {
			at = now
		}
		r.need[model.ID] = at
		if at.Sub(now) <= r.loadTime(model.Policy.Memory)+margin {
			wanted = append(wanted, model)
		}
	}
	sort.SliceStable(wanted, func(i, j int) bool {
		left, right := wanted[i], wanted[j]
		if !r.need[left.ID].Equal(r.need[right.ID]) {
			return r.need[left.ID].Before(r.need[right.ID])
		}
		return left.Base == "" && right.Base != ""
	})
	return wanted
}

// busy reports whether the model or an adapter of it has requests.
func (r *oracleRound) busy(model cluster.ModelID) bool {
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

// loadTime is the longest a load takes when the store is not overloaded.
func (r *oracleRound) loadTime(bytes int64) time.Duration {
	return loadOverhead + time.Duration(float64(bytes)/slowestRate*float64(time.Second))
}

// ensure orders a load unless enough replicas of the model are held.
func (r *oracleRound) ensure(model *settings.Model) {
	held := 0
	for i := range r.state.Machines {
		if r.holds(&r.state.Machines[i], model.ID) {
			held++
		}
	}
	demand := r.state.Demand[model.ID]
	replicas := 1
	if slots := r.state.Machines[0].Slots; demand.Waiting > 0 && held > 0 {
		replicas = 1 + (demand.Waiting+demand.Running)/slots
	}
	if held >= min(replicas, model.Policy.MaxReplicas) || r.budget <= 0 {
		return
	}
	if chosen := r.choose(model); chosen != nil {
		r.load(chosen, model)
	}
}

// holds reports whether the machine holds the model in any state.
func (r *oracleRound) holds(machine *placement.Machine, model cluster.ModelID) bool {
	for _, slot := range machine.Replicas {
		if slot.Model == model {
			return true
		}
	}
	return false
}

// choose returns the machine with the fastest tier that has room now, or makes
// room on the one that loses what is needed latest.
func (r *oracleRound) choose(model *settings.Model) *placement.Machine {
	var best, evict *placement.Machine
	var latest time.Time
	for i := range r.state.Machines {
		machine := &r.state.Machines[i]
		if machine.Pool != model.Policy.EnginePool || machine.Leaving || !machine.Sealed || r.holds(machine, model.ID) {
			continue
		}
		if model.Base != "" && !r.holds(machine, model.Base) {
			continue
		}
		if free(machine) >= model.Policy.Memory {
			if best == nil || machine.Cached[model.ID] > best.Cached[model.ID] {
				best = machine
			}
			continue
		}
		if at, ok := r.evictable(machine, model); ok && at.After(latest) {
			evict, latest = machine, at
		}
	}
	if best == nil && evict != nil {
		r.evict(evict, model)
	}
	return best
}

// free is the machine's unreserved memory.
func free(machine *placement.Machine) int64 {
	left := machine.MemoryBytes
	for _, slot := range machine.Replicas {
		left -= slot.Bytes
	}
	return left
}

// candidates lists the idle replicas of a machine, the latest needed first.
func (r *oracleRound) candidates(machine *placement.Machine, model *settings.Model) []placement.Slot {
	var idle []placement.Slot
	for _, slot := range machine.Replicas {
		if slot.State == cluster.ReplicaLoaded && slot.Model != model.Base && !r.busy(slot.Model) && r.need[slot.Model].After(r.need[model.ID]) {
			idle = append(idle, slot)
		}
	}
	sort.SliceStable(idle, func(i, j int) bool { return r.need[idle[i].Model].After(r.need[idle[j].Model]) })
	return idle
}

// evictable returns when the earliest of the replicas that would have to go is
// needed, or false when the machine cannot make room.
func (r *oracleRound) evictable(machine *placement.Machine, model *settings.Model) (time.Time, bool) {
	left := free(machine)
	for _, slot := range r.candidates(machine, model) {
		left += slot.Bytes
		if left >= model.Policy.Memory {
			return r.need[slot.Model], true
		}
	}
	return time.Time{}, false
}

// evict unloads replicas until the model fits.
func (r *oracleRound) evict(machine *placement.Machine, model *settings.Model) {
	left := free(machine)
	for _, slot := range r.candidates(machine, model) {
		if left >= model.Policy.Memory {
			return
		}
		left += slot.Bytes
		r.unload(machine, slot.Model)
	}
}

// load orders a load and reserves its memory for the rest of the round.
func (r *oracleRound) load(machine *placement.Machine, model *settings.Model) {
	r.budget--
	machine.Replicas = append(machine.Replicas, placement.Slot{
		Model: model.ID, State: cluster.ReplicaLoading, Bytes: model.Policy.Memory,
	})
	r.plan.Actions = append(r.plan.Actions, placement.Action{
		Kind: cluster.OrderLoad, Machine: machine.ID, Model: model.ID, Base: model.Base,
		Version: model.Policy.Version, Bytes: model.Policy.Memory,
	})
}

// unload orders an unload.
func (r *oracleRound) unload(machine *placement.Machine, model cluster.ModelID) {
	for i := range machine.Replicas {
		if machine.Replicas[i].Model == model {
			machine.Replicas[i].State = cluster.ReplicaUnloading
		}
	}
	r.plan.Actions = append(r.plan.Actions, placement.Action{
		Kind: cluster.OrderUnload, Machine: machine.ID, Model: model, DrainTime: r.state.Settings.Model(model).Policy.DrainTime,
	})
}

// release unloads what is not needed for longer than a reload takes.
func (r *oracleRound) release() {
	for i := range r.state.Machines {
		machine := &r.state.Machines[i]
		for _, slot := range machine.Replicas {
			model := r.state.Settings.Model(slot.Model)
			if slot.State != cluster.ReplicaLoaded || model == nil || r.busy(slot.Model) {
				continue
			}
			if r.need[slot.Model].Sub(r.state.Now) > r.loadTime(model.Policy.Memory)+2*margin {
				r.unload(machine, slot.Model)
			}
		}
	}
}
