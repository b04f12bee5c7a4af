package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// Durations in the simulated worlds.
const (
	worldStep            = 200 * time.Millisecond
	worldUnloadTime      = 300 * time.Millisecond
	worldDiskLoadTime    = 800 * time.Millisecond
	worldAdapterLoadTime = 25 * time.Millisecond
	worldMaxLoadTime     = 4300 * time.Millisecond
	worldMaxRunTime      = 2 * time.Second
)

// worldPeakFactor is the factor by which the request rate of hot models rises at their peak.
const worldPeakFactor = 2.0

// Sizes in the simulated worlds. A machine holds at least two models.
const (
	worldMachineBytes        = 200 * gigabyte
	worldMaxModelBytes       = 72 * gigabyte
	worldMinModelBytes       = 42 * gigabyte
	worldMinModelsPerMachine = int(worldMachineBytes / (worldMaxModelBytes + 2*gigabyte))
)

// worldModel is one model with its callers.
type worldModel struct {
	id, base cluster.ModelID
	// perSecond is the request rate while callers are active, and runTime the run time of each
	// request.
	perSecond float64
	runTime   time.Duration
	hot       bool
	// firstCall is the start of the present session of an intermittent model's callers, and
	// restTime the pause before the next one.
	firstCall time.Time
	restTime  time.Duration
	nextCall  time.Time
	waiting   []worldRequest
	running   []time.Time
	// arrivals counts the requests since the last plan.
	arrivals int
	// served counts the answers of the present session.
	served     int
	waitRecord waitRecord
}

// worldRequest is one waiting request.
type worldRequest struct{ arrived, deadline time.Time }

// waitRecord follows one period in which a model has waiting requests and no replica.
type waitRecord struct {
	started      time.Time
	requestTimes []time.Time
	// waitingBefore holds the models that were waiting when the period began, or soon after.
	waitingBefore map[cluster.ModelID]bool
}

// starvationWorld simulates engines that hold fewer models than are in use, in virtual time.
type starvationWorld struct {
	random      *rand.Rand
	config      Config
	state       State
	planner     *AdaptivePlanner
	models      []worldModel
	slots       int
	hotReplicas int
	patience    time.Duration
	peak        time.Time
	diskCopies  int
	completesAt map[loadKey]time.Time
	// served counts the answers of hot and of other models, servedPromptly those within half of
	// the callers' patience, and lost the requests that passed their deadline.
	served, servedPromptly, lost map[bool]int
	starved                      []string
	// promptTokens is the prompt length of hot models, zero for no prompts.
	promptTokens int
	// withheld is a model whose loads are never ordered, empty for none.
	withheld cluster.ModelID
}

// newStarvationWorld draws a world: three to eight engines, up to five times as many models as
// they can hold, and hot models that need at most half of the engines' memory.
func newStarvationWorld(seed uint64) *starvationWorld {
	w := &starvationWorld{
		random: rand.New(rand.NewPCG(seed, 24)), completesAt: map[loadKey]time.Time{},
		served: map[bool]int{}, servedPromptly: map[bool]int{}, lost: map[bool]int{},
	}
	engines := w.between(3, 8)
	w.slots = w.between(8, 24)
	bases := w.between(engines*3, engines*9)
	w.patience = time.Duration(w.between(3, 15)) * time.Second
	w.peak = start.Add(time.Duration(w.between(5, 60)) * time.Second)
	w.config = serialOrderConfig()
	snapshot := testSnapshot(1, w.drawModels(bases, w.between(1, engines*worldMinModelsPerMachine/2))...)
	w.state = testState(snapshot, engines)
	for i := range w.state.Allotment.Models {
		w.state.Allotment.Models[i].MaxReplicas = 1 << 20
	}
	w.drawEngines()
	w.state.LoadTime = w.loadTime
	concurrency := w.between(2, 8)
	w.state.Store = StoreState{
		StartsPerSecond: 0.5 + 2.5*w.random.Float64(), Concurrency: concurrency, InitialConcurrency: concurrency, Speed: 1, Burst: 4,
	}
	w.planner = NewPlanner(w.config)
	return w
}

// serialOrderConfig returns the configuration for engines that carry out one order at a time
// and keep idle models.
func serialOrderConfig() Config {
	return Config{
		RetainIdle: true, EvictForRunning: true, SerialOrders: true, UnloadDropsAdapters: true, AdaptersUnlimited: true,
		TargetLoad: 0.4, TargetRunning: 9, SaturatedLoad: 0.6, SaturatedRunning: 16, GrowthFactor: 2,
	}
}

// between draws a number from low to high, both included.
func (w *starvationWorld) between(low, high int) int { return low + w.random.IntN(high-low+1) }

// drawModels draws base models, and adapters for some of them. The first models are hot: at
// their peak they need at most maxHotReplicas replicas together.
func (w *starvationWorld) drawModels(bases, maxHotReplicas int) []settings.Model {
	var models []settings.Model
	add := func(id, base string, bytes int64, callers worldModel) {
		models = append(models, testModel(id, func(m *settings.Model) {
			m.Policy.Memory, m.Policy.MaxReplicas, m.Policy.KeepAlive = bytes, 1<<20, 7*24*time.Hour
			if base != "" {
				m.Kind, m.Base = settings.KindAdapter, cluster.ModelID(base)
			}
		}))
		callers.id, callers.base = cluster.ModelID(id), cluster.ModelID(base)
		w.models = append(w.models, callers)
	}
	adapterProbability := w.random.Float64() * 0.5
	for i := range bases {
		id := fmt.Sprintf("base-%02d", i)
		bytes := worldMinModelBytes + w.random.Int64N(worldMaxModelBytes-worldMinModelBytes)
		if w.hotReplicas < maxHotReplicas {
			replicas := w.between(1, maxHotReplicas-w.hotReplicas)
			w.hotReplicas += replicas
			add(id, "", bytes, w.drawHot(replicas))
			continue
		}
		add(id, "", bytes, w.drawIntermittent())
		if w.random.Float64() >= adapterProbability {
			continue
		}
		for k := range w.between(1, 3) {
			add(fmt.Sprintf("%s-adapter-%d", id, k), id, gigabyte, w.drawIntermittent())
		}
	}
	return models
}

// drawHot draws callers that are always active, at a rate for which the planner's target at the
// peak is the given number of replicas.
func (w *starvationWorld) drawHot(replicas int) worldModel {
	m := worldModel{hot: true, runTime: w.drawRun(), firstCall: start}
	running := float64(replicas) * w.config.targetRunning(float64(w.slots))
	m.perSecond = running / worldPeakFactor / m.runTime.Seconds()
	return m
}

// drawIntermittent draws callers that are active in sessions, each until they have got four
// answers.
func (w *starvationWorld) drawIntermittent() worldModel {
	return worldModel{
		runTime: w.drawRun(), perSecond: 0.5, firstCall: start.Add(time.Duration(w.random.Int64N(int64(time.Minute)))),
		restTime: time.Duration(w.between(10, 120)) * time.Second,
	}
}

func (w *starvationWorld) drawRun() time.Duration {
	return time.Duration(w.between(200, int(worldMaxRunTime.Milliseconds()))) * time.Millisecond
}

// drawEngines sets the size of the engines and, in half of the worlds, gives them disks with
// copies of some models.
func (w *starvationWorld) drawEngines() {
	if w.random.IntN(2) == 0 {
		w.diskCopies = w.between(2, 12)
	}
	for i := range w.state.Machines {
		machine := &w.state.Machines[i]
		machine.MemoryBytes, machine.Slots, machine.AdapterSlots = worldMachineBytes, w.slots, 8
		for range w.diskCopies {
			model := &w.models[w.random.IntN(len(w.models))]
			if model.base == "" {
				machine.Cached[model.id] = cluster.TierDisk
			}
		}
	}
}

// loadTime returns the stated load time, as the settings of engines do.
func (w *starvationWorld) loadTime(id cluster.ModelID, tier cluster.Tier) time.Duration {
	policy := w.state.Settings.Model(id)
	switch {
	case policy.Base != "":
		return worldAdapterLoadTime
	case tier != cluster.TierRemote:
		return worldDiskLoadTime
	}
	return time.Duration(float64(worldMaxLoadTime) * float64(policy.Policy.Memory) / float64(worldMaxModelBytes))
}

// run simulates the world for the given time.
func (w *starvationWorld) run(d time.Duration) {
	for end := w.state.Now.Add(d); w.state.Now.Before(end); {
		w.state.Now = w.state.Now.Add(worldStep)
		w.finishOrders()
		for i := range w.models {
			w.arrive(&w.models[i])
			w.serve(&w.models[i])
		}
		plan := w.plan()
		w.order(plan)
		w.checkWaits(plan)
	}
}

// arrive adds the requests that are due and removes those past their deadline.
func (w *starvationWorld) arrive(m *worldModel) {
	now := w.state.Now
	if m.nextCall.Before(m.firstCall) {
		m.nextCall = m.firstCall
	}
	for !m.nextCall.After(now) {
		m.waiting = append(m.waiting, worldRequest{arrived: m.nextCall, deadline: m.nextCall.Add(w.patience)})
		m.arrivals++
		m.waitRecord.requestTimes = append(m.waitRecord.requestTimes, m.nextCall)
		rate := m.perSecond
		if m.hot && now.After(w.peak) && now.Before(w.peak.Add(10*time.Second)) {
			rate *= worldPeakFactor
		}
		m.nextCall = m.nextCall.Add(time.Duration((0.5 + w.random.Float64()) / rate * float64(time.Second)))
	}
	countBefore := len(m.waiting)
	m.waiting = slices.DeleteFunc(m.waiting, func(r worldRequest) bool { return !r.deadline.After(now) })
	w.lost[m.hot] += countBefore - len(m.waiting)
}

// serve ends the requests that have run long enough and starts waiting ones on free request
// slots.
func (w *starvationWorld) serve(m *worldModel) {
	now := w.state.Now
	countBefore := len(m.running)
	m.running = slices.DeleteFunc(m.running, func(end time.Time) bool { return !end.After(now) })
	w.served[m.hot] += countBefore - len(m.running)
	m.served += countBefore - len(m.running)
	for slots := w.slotsOf(m.id); len(m.waiting) > 0 && len(m.running) < slots; m.waiting = m.waiting[1:] {
		m.running = append(m.running, now.Add(m.runTime))
		if now.Add(m.runTime).Sub(m.waiting[0].arrived) <= w.patience/2 {
			w.servedPromptly[m.hot]++
		}
	}
	if !m.hot && m.served >= 4 && len(m.waiting)+len(m.running) == 0 {
		m.served, m.firstCall = 0, now.Add(m.restTime)
	}
}

// slotsOf returns how many requests the model's replicas run at once.
func (w *starvationWorld) slotsOf(id cluster.ModelID) (slots int) {
	for i := range w.state.Machines {
		if w.holds(&w.state.Machines[i], id, cluster.ReplicaLoaded) {
			slots += w.state.Machines[i].Slots
		}
	}
	return slots
}

func (w *starvationWorld) holds(machine *Machine, id cluster.ModelID, state cluster.ReplicaState) bool {
	return slices.ContainsFunc(machine.Replicas, func(s Replica) bool { return s.Model == id && s.State == state })
}

// plan returns the plan for the present demand.
func (w *starvationWorld) plan() Plan {
	now := w.state.Now
	clear(w.state.Demand)
	for i := range w.models {
		m := &w.models[i]
		demand := Demand{Waiting: len(m.waiting), Running: len(m.running), Arrivals: m.arrivals}
		if len(m.waiting) > 0 {
			demand.OldestWait = now.Sub(m.waiting[0].arrived)
			demand.EarliestDeadline = m.waiting[0].deadline.Sub(now)
			demand.Objective = w.patience / 2
		}
		if m.hot {
			demand.PromptTokens = m.arrivals * w.promptTokens
			demand.PromptSquareSum = float64(demand.PromptTokens) * float64(w.promptTokens)
		}
		m.arrivals = 0
		if demand != (Demand{}) {
			w.state.Demand[m.id] = demand
		}
	}
	for i := range w.state.Machines {
		machine := &w.state.Machines[i]
		machine.Busy, machine.OrderTimeLeft = false, 0
		for _, slot := range machine.Replicas {
			if due, pending := w.completesAt[loadKey{machine: machine.ID, model: slot.Model}]; pending {
				machine.Busy, machine.OrderTimeLeft = true, max(machine.OrderTimeLeft, due.Sub(now))
			}
		}
	}
	return w.planner.Plan(w.state)
}

// order carries out the plan's first order for each engine. An unload waits for running
// requests.
func (w *starvationWorld) order(plan Plan) {
	given := map[cluster.MachineID]bool{}
	for k := range plan.Actions {
		action := &plan.Actions[k]
		at := slices.IndexFunc(w.state.Machines, func(m Machine) bool { return m.ID == action.Machine })
		if action.Model == w.withheld || given[action.Machine] || w.state.Machines[at].Busy {
			w.planner.CancelLoad(action)
			continue
		}
		given[action.Machine] = true
		key := loadKey{machine: action.Machine, model: action.Model}
		if action.Kind == cluster.OrderLoad {
			addLoadedReplica(&w.state, at, action.Model).State = cluster.ReplicaLoading
			w.completesAt[key] = w.state.Now.Add(w.loadTime(action.Model, action.Tier))
			continue
		}
		slot := slices.IndexFunc(w.state.Machines[at].Replicas, func(s Replica) bool { return s.Model == action.Model })
		w.state.Machines[at].Replicas[slot].State = cluster.ReplicaUnloading
		w.completesAt[key] = w.lastRun(action.Model).Add(worldUnloadTime)
	}
}

// lastRun returns the time at which the last running request of a model ends.
func (w *starvationWorld) lastRun(id cluster.ModelID) time.Time {
	last := w.state.Now
	for i := range w.models {
		if w.models[i].id != id {
			continue
		}
		for _, end := range w.models[i].running {
			if end.After(last) {
				last = end
			}
		}
	}
	return last
}

// finishOrders completes the orders that are due.
func (w *starvationWorld) finishOrders() {
	for i := range w.state.Machines {
		machine := &w.state.Machines[i]
		unloaded := map[cluster.ModelID]bool{}
		for k := range machine.Replicas {
			slot := &machine.Replicas[k]
			key := loadKey{machine: machine.ID, model: slot.Model}
			due, pending := w.completesAt[key]
			if !pending || due.After(w.state.Now) {
				continue
			}
			delete(w.completesAt, key)
			if slot.State == cluster.ReplicaUnloading {
				unloaded[slot.Model] = true
				continue
			}
			slot.State, slot.Since = cluster.ReplicaLoaded, due
			w.leaveCopy(machine, slot.Model)
		}
		machine.Replicas = slices.DeleteFunc(machine.Replicas, func(s Replica) bool {
			return unloaded[s.Model] || unloaded[w.state.Settings.Model(s.Model).Base]
		})
	}
}

// leaveCopy puts a loaded model on the engine's disk and removes another one if the disk is
// full.
func (w *starvationWorld) leaveCopy(machine *Machine, id cluster.ModelID) {
	if w.diskCopies == 0 || w.state.Settings.Model(id).Base != "" {
		return
	}
	machine.Cached[id] = cluster.TierDisk
	var copies []cluster.ModelID
	for other := range machine.Cached {
		if other != id {
			copies = append(copies, other)
		}
	}
	slices.Sort(copies)
	if len(copies) >= w.diskCopies {
		delete(machine.Cached, copies[w.random.IntN(len(copies))])
	}
}
