package simulation

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
)

// EngineConfig describes a machine and its engine.
type EngineConfig struct {
	Pool         string
	MemoryBytes  int64
	Accelerators int
	// Slots is the number of requests that can run at once.
	Slots int
	// DiskBytes and HostBytes are the sizes of the checkpoint caches.
	DiskBytes, HostBytes int64
	// DiskRate and HostRate are the bytes per second of a load from disk or host
	// memory. The weight store determines the rate of remote loads.
	DiskRate, HostRate float64
	// LoadOverhead is added to every load.
	LoadOverhead time.Duration
	// PrefillRate is the number of prompt tokens processed per second.
	PrefillRate float64
	// TokenTime is the time between two tokens of a single running request;
	// TokenTimeSlope is added for each further request in the batch.
	TokenTime, TokenTimeSlope time.Duration
	// RestartTime is the time from a crash until the engine answers again.
	RestartTime time.Duration
}

// replica is the true state of one model on the engine.
type replica struct {
	cluster.Replica
	base    cluster.ModelID
	running int
	fetch   *Fetch
	timer   Timer
	// drainEnd is the timer of the drain time; zero unless the replica unloads.
	drainEnd Timer
}

// Engine models one machine and its engine: orders under fencing tokens, memory,
// checkpoint caches and continuous batching.
type Engine struct {
	kernel  *Kernel
	store   *WeightStore
	random  *rand.Rand
	Config  EngineConfig
	Machine cluster.Machine

	Alive         bool
	Leaving       bool
	epoch         uint64
	token         cluster.FencingToken
	sequence      uint64
	replicas      map[cluster.ModelID]*replica
	cache         *checkpointCache
	prefixes      *prefixCache
	appliedOrders map[string]bool
	attempts      map[attemptKey]*attempt
	observer      EngineObserver
	// report is the last published load.
	report cluster.LoadReport
}

// EngineObserver is notified of the true changes of an engine.
type EngineObserver interface {
	// ReplicaChanged is called before the state of a replica changes.
	ReplicaChanged(machine *Engine, model cluster.ModelID, next cluster.ReplicaState)
	// RunningChanged is called before the number of running requests changes.
	RunningChanged(machine *Engine, model cluster.ModelID, running int)
	// Executed is called when an engine begins to execute a request.
	Executed(machine *Engine, run Run)
}

// NewEngine returns a live engine without replicas.
func NewEngine(kernel *Kernel, store *WeightStore, machine cluster.Machine, config EngineConfig, observer EngineObserver) *Engine {
	return &Engine{
		kernel: kernel, store: store, Config: config, Machine: machine, Alive: true, epoch: 1,
		random:        kernel.Stream("engine/" + string(machine.ID)),
		replicas:      map[cluster.ModelID]*replica{},
		cache:         newCheckpointCache(config.DiskBytes, config.HostBytes),
		prefixes:      newPrefixCache(prefixCacheBlocks),
		appliedOrders: map[string]bool{}, attempts: map[attemptKey]*attempt{}, observer: observer,
	}
}

// Seal raises the engine's fencing token and returns its inventory. It fails if
// the engine has a newer token.
func (e *Engine) Seal(token cluster.FencingToken) (cluster.Inventory, error) {
	if token < e.token {
		return cluster.Inventory{}, &engine.StaleTokenError{Held: e.token}
	}
	if token > e.token {
		e.token = token
		e.sequence++
	}
	return e.Inventory(), nil
}

// Inventory returns the engine's configuration, token and replicas.
func (e *Engine) Inventory() cluster.Inventory {
	inventory := cluster.Inventory{
		Machine: e.Machine.ID, Token: e.token, Sequence: e.sequence, Epoch: e.epoch,
		MemoryBytes: e.Config.MemoryBytes, Accelerators: e.Config.Accelerators, Slots: e.Config.Slots,
		Pool: e.Config.Pool, Leaving: e.Leaving, Cached: e.cache.tiers(),
	}
	for _, model := range e.models() {
		inventory.Replicas = append(inventory.Replicas, e.replicas[model].Replica)
	}
	return inventory
}

// models returns the models with a replica on the engine, sorted.
func (e *Engine) models() []cluster.ModelID {
	models := make([]cluster.ModelID, 0, len(e.replicas))
	for model := range e.replicas {
		models = append(models, model)
	}
	sort.Slice(models, func(i, j int) bool { return models[i] < models[j] })
	return models
}

// UsedBytes returns the memory that all replicas use.
func (e *Engine) UsedBytes() int64 {
	var used int64
	for _, held := range e.replicas {
		used += held.Bytes
	}
	return used
}

// State returns the state of a model's replica.
func (e *Engine) State(model cluster.ModelID) cluster.ReplicaState {
	if held, ok := e.replicas[model]; ok {
		return held.State
	}
	return cluster.ReplicaAbsent
}

// Tier returns the fastest tier that holds the model's checkpoint.
func (e *Engine) Tier(model cluster.ModelID) cluster.Tier { return e.cache.tier(model) }

// Preload puts a checkpoint into the cache tiers before a run begins.
func (e *Engine) Preload(model cluster.ModelID, bytes int64, tier cluster.Tier) {
	e.cache.add(model, bytes, tier)
}

// reportInterval is the shortest time between two updates of the published load.
const reportInterval = time.Second

// Report returns the published load, which is up to reportInterval old.
func (e *Engine) Report() cluster.LoadReport {
	if e.report.At.IsZero() || e.kernel.Now().Sub(e.report.At) >= reportInterval {
		e.report = e.measureLoad()
	}
	return e.report
}

// measureLoad returns the current load.
func (e *Engine) measureLoad() cluster.LoadReport {
	report := cluster.LoadReport{Machine: e.Machine.ID, At: e.kernel.Now(), PerModel: map[cluster.ModelID]int{}}
	for model, held := range e.replicas {
		if held.running > 0 {
			report.PerModel[model] = held.running
			report.Running += held.running
		}
	}
	report.TokensPerSecond = float64(report.Running) / e.tokenInterval(report.Running).Seconds()
	return report
}

// Order applies an order once. It accepts only orders for the current epoch of the
// engine under the token with which the engine was last sealed.
func (e *Engine) Order(order cluster.Order) (cluster.Inventory, error) {
	switch {
	case order.Token < e.token:
		return cluster.Inventory{}, &engine.StaleTokenError{Held: e.token}
	case order.Token > e.token || e.token == 0:
		return cluster.Inventory{}, &engine.RefusedError{Reason: engine.ReasonNotSealed}
	case order.Epoch != e.epoch:
		return cluster.Inventory{}, &engine.RefusedError{Reason: engine.ReasonOtherRun}
	}
	if e.appliedOrders[order.ID] {
		return e.Inventory(), nil
	}
	e.appliedOrders[order.ID] = true
	switch order.Kind {
	case cluster.OrderLoad:
		if err := e.load(order); err != nil {
			return cluster.Inventory{}, err
		}
	case cluster.OrderUnload:
		if e.isBase(order.Model) {
			return cluster.Inventory{}, &engine.RefusedError{Reason: engine.ReasonInvalid}
		}
		e.unload(order)
	case cluster.OrderSetPool:
		e.Config.Pool = order.Pool
		e.sequence++
	}
	return e.Inventory(), nil
}

// load begins to load a model. The engine doesn't check the order's bytes against
// its memory, so that the checkers detect a controller that overcommits it.
func (e *Engine) load(order cluster.Order) error {
	if held, ok := e.replicas[order.Model]; ok {
		if held.State != cluster.ReplicaUnloading && held.Version == order.Version {
			return nil
		}
		return &engine.RefusedError{Reason: engine.ReasonInvalid}
	}
	if order.Base != "" && e.State(order.Base) != cluster.ReplicaLoaded {
		return &engine.RefusedError{Reason: engine.ReasonUnknownModelBase}
	}
	loading := &replica{base: order.Base}
	loading.Replica = cluster.Replica{Model: order.Model, Version: order.Version, Bytes: order.Bytes}
	e.replicas[order.Model] = loading
	e.setState(loading, cluster.ReplicaLoading)
	tier := e.cache.tier(order.Model)
	if tier == cluster.TierRemote {
		loading.fetch = e.store.Start(order.Bytes, func() {
			e.cache.add(order.Model, order.Bytes, cluster.TierDisk)
			loading.timer = e.kernel.After(e.Config.LoadOverhead, LabelLoadDone, func() { e.completeLoad(loading) })
		})
		return nil
	}
	rate := e.Config.DiskRate
	if tier == cluster.TierMemory {
		rate = e.Config.HostRate
	}
	wait := e.Config.LoadOverhead + transferTime(order.Bytes, rate)
	loading.timer = e.kernel.After(wait, LabelLoadDone, func() { e.completeLoad(loading) })
	return nil
}

// completeLoad marks a replica as loaded, unless it was unloaded meanwhile.
func (e *Engine) completeLoad(loading *replica) {
	if e.replicas[loading.Model] != loading || loading.State != cluster.ReplicaLoading {
		return
	}
	e.cache.add(loading.Model, loading.Bytes, cluster.TierMemory)
	e.setState(loading, cluster.ReplicaLoaded)
}

// isBase reports whether the model is the base of an adapter on the engine.
func (e *Engine) isBase(model cluster.ModelID) bool {
	for _, held := range e.replicas {
		if held.base == model {
			return true
		}
	}
	return false
}

// unload begins to unload a replica. Its running requests may finish within the
// drain time.
func (e *Engine) unload(order cluster.Order) {
	held, ok := e.replicas[order.Model]
	if !ok || held.State == cluster.ReplicaUnloading {
		return
	}
	held.timer.Cancel()
	if held.fetch != nil {
		e.store.Cancel(held.fetch)
	}
	e.setState(held, cluster.ReplicaUnloading)
	held.drainEnd = e.kernel.After(order.DrainTime, LabelUnloadDone, func() { e.removeReplica(held) })
	if held.running == 0 {
		held.drainEnd.Cancel()
		e.kernel.After(unloadTime, LabelUnloadDone, func() { e.removeReplica(held) })
	}
}

// removeReplica removes a replica and breaks the streams that still run on it.
func (e *Engine) removeReplica(held *replica) {
	if e.replicas[held.Model] != held {
		return
	}
	e.breakStreams(held.Model)
	e.setState(held, cluster.ReplicaAbsent)
	delete(e.replicas, held.Model)
}

// setState notifies the observer, then changes the replica's state.
func (e *Engine) setState(held *replica, state cluster.ReplicaState) {
	e.observer.ReplicaChanged(e, held.Model, state)
	held.State = state
	held.Since = e.kernel.Now()
	e.sequence++
}

// Crash ends the engine process. Replicas, running requests and the caches in
// memory are lost; the disk cache stays.
func (e *Engine) Crash() {
	if !e.Alive {
		return
	}
	e.Alive = false
	for _, key := range e.attemptKeys() {
		e.breakStream(e.attempts[key])
	}
	for _, model := range e.models() {
		held := e.replicas[model]
		held.timer.Cancel()
		held.drainEnd.Cancel()
		e.store.Cancel(held.fetch)
		e.setState(held, cluster.ReplicaAbsent)
		delete(e.replicas, model)
	}
	e.cache.dropMemory()
	e.prefixes = newPrefixCache(prefixCacheBlocks)
	e.report = cluster.LoadReport{}
}

// Restart starts a crashed engine in a new epoch without a token.
func (e *Engine) Restart() {
	if e.Alive {
		return
	}
	e.Alive = true
	e.epoch++
	e.sequence = 0
	e.token = 0
	e.appliedOrders = map[string]bool{}
}

// transferTime returns the time to move bytes at a rate in bytes per second.
func transferTime(bytes int64, rate float64) time.Duration {
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// unloadTime is the time to free the memory of a replica without requests.
const unloadTime = 200 * time.Millisecond
