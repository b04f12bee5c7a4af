package simulation

import (
	"sort"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// Deployment describes the zones, machines and services of a simulation.
type Deployment struct {
	Zones   []ZoneConfig
	Network NetworkConfig
	// ClientDelay is the one-way delay between callers and nodes.
	ClientDelay time.Duration
	Store       WeightStoreConfig
	// MachineListLag is the time until the machine list shows a change.
	MachineListLag time.Duration
	// KeyValueDelay is the key-value service's processing time per call.
	KeyValueDelay time.Duration
	// KeyValueRate bounds the key-value service's calls per second; zero means
	// unlimited.
	KeyValueRate float64
	Machines     []MachineConfig
	// Preloaded lists the checkpoints in the machines' caches when a run begins.
	Preloaded []Preload
}

// ZoneConfig is one zone with its number of nodes.
type ZoneConfig struct {
	ID     cluster.ZoneID
	Region cluster.RegionID
	Nodes  int
}

// MachineConfig is one machine with its engine.
type MachineConfig struct {
	Machine cluster.Machine
	Engine  EngineConfig
}

// Preload is a checkpoint in a machine's cache.
type Preload struct {
	Machine cluster.MachineID
	Model   cluster.ModelID
	Bytes   int64
	Tier    cluster.Tier
}

// CellConfig configures a Cell.
type CellConfig struct {
	Seed       uint64
	Deployment Deployment
	Settings   *settings.Snapshot
	Planner    placement.Planner
	Source     Source
	// PlanInterval is the time between regular planning rounds. WakeInterval is
	// the delay of the extra round after a request had to wait.
	PlanInterval, WakeInterval time.Duration
	// Finished is called for every request that ended.
	Finished func(Result)
}

// Cell runs a planner without the rest of the product: all machines form one cell,
// nothing fails, and each model has one queue. It isolates the cost of the
// placement policy from that of the other parts.
type Cell struct {
	Kernel  *Kernel
	Store   *WeightStore
	Usage   *Usage
	config  CellConfig
	engines []*Engine
	queues  map[cluster.ModelID]*modelQueue
	// waiting counts the queued requests of all models.
	waiting int
	// lastPlan is the time of the last planning round.
	lastPlan time.Time
	// planScheduled reports whether an extra planning round is scheduled.
	planScheduled bool
	// lastID is the last number given to a request or an order.
	lastID int
	// arrivals counts the requests since the last planning round.
	arrivals  map[cluster.ModelID]int
	allotment cluster.Allotment
	// Rounds counts the planning rounds.
	Rounds int
}

// modelQueue holds one model's waiting requests and loaded replicas.
type modelQueue struct {
	model    *settings.Model
	waiting  []*cellRequest
	replicas []*Engine
	running  int
	// warmSince is when the model last went from no loaded replica to one.
	warmSince time.Time
}

// cellRequest is one request in a Cell.
type cellRequest struct {
	id     cluster.RequestID
	result Result
	expiry Timer
}

// NewCell returns a cell whose virtual time is Epoch.
func NewCell(config CellConfig) *Cell {
	kernel := NewKernel(config.Seed)
	cell := &Cell{
		Kernel: kernel, Store: NewWeightStore(kernel, config.Deployment.Store), Usage: NewUsage(kernel),
		config: config, queues: map[cluster.ModelID]*modelQueue{}, arrivals: map[cluster.ModelID]int{},
	}
	engines := map[cluster.MachineID]*Engine{}
	for _, machine := range config.Deployment.Machines {
		added := NewEngine(kernel, cell.Store, machine.Machine, machine.Engine, cell)
		if _, err := added.Seal(1); err != nil {
			panic(err) // a new engine has no token and accepts any
		}
		cell.engines = append(cell.engines, added)
		engines[machine.Machine.ID] = added
	}
	sort.Slice(cell.engines, func(i, j int) bool { return cell.engines[i].Machine.ID < cell.engines[j].Machine.ID })
	for _, preload := range config.Deployment.Preloaded {
		engines[preload.Machine].Preload(preload.Model, preload.Bytes, preload.Tier)
	}
	cell.allotment.Revision = 1
	for i := range config.Settings.Models {
		model := &config.Settings.Models[i]
		cell.queues[model.ID] = &modelQueue{model: model}
		cell.allotment.Models = append(cell.allotment.Models,
			cluster.ModelAllotment{Model: model.ID, MaxReplicas: model.Policy.MaxReplicas})
	}
	return cell
}

// Run runs the cell until the given virtual time.
func (c *Cell) Run(until time.Time) {
	if c.Rounds == 0 {
		c.plan()
		c.Kernel.Every(c.config.PlanInterval, c.config.PlanInterval, LabelPlan, func() bool { c.plan(); return true })
		scheduleArrivals(c.Kernel, c.config.Source, c.arrive)
	}
	c.Kernel.Run(until)
	c.Usage.IntegrateToNow()
}

// ReplicaChanged implements EngineObserver.
func (c *Cell) ReplicaChanged(machine *Engine, model cluster.ModelID, next cluster.ReplicaState) {
	c.Usage.ReplicaChanged(machine, model, next)
	queue := c.queues[model]
	before := machine.State(model) == cluster.ReplicaLoaded
	switch {
	case next == cluster.ReplicaLoaded:
		if len(queue.replicas) == 0 {
			queue.warmSince = c.Kernel.Now()
		}
		queue.replicas = append(queue.replicas, machine)
		c.Kernel.After(0, LabelDispatch, func() { c.startWaiting(queue) })
	case before:
		queue.removeReplica(machine)
	}
}

// RunningChanged implements EngineObserver.
func (c *Cell) RunningChanged(machine *Engine, model cluster.ModelID, running int) {
	c.Usage.RunningChanged(machine, model, running)
}

// Executed implements EngineObserver.
func (c *Cell) Executed(*Engine, Run) {}

// removeReplica removes the machine's replica from the queue's replicas.
func (q *modelQueue) removeReplica(machine *Engine) {
	for i, held := range q.replicas {
		if held == machine {
			q.replicas = append(q.replicas[:i], q.replicas[i+1:]...)
			return
		}
	}
}

// arrive starts a request, or queues it if others wait or no slot is free.
func (c *Cell) arrive(arrival Arrival) {
	queue := c.queues[arrival.Model]
	c.arrivals[arrival.Model]++
	c.lastID++
	request := &cellRequest{
		id:     cluster.RequestID("r" + strconv.Itoa(c.lastID)),
		result: Result{Arrival: arrival},
	}
	if len(queue.waiting) == 0 && c.tryStart(queue, request) {
		return
	}
	c.enqueue(queue, request)
}

// enqueue queues a request until its deadline or the policy's queue time. It
// refuses the request if the queue is full.
func (c *Cell) enqueue(queue *modelQueue, request *cellRequest) {
	policy := &queue.model.Policy
	if policy.QueueLength > 0 && len(queue.waiting) >= policy.QueueLength {
		c.refuse(queue, request, verdict.CodeQueueFull)
		return
	}
	queue.waiting = append(queue.waiting, request)
	c.waiting++
	limit := request.result.Arrival.Deadline
	if policy.QueueTime > 0 {
		limit = min(limit, policy.QueueTime)
	}
	request.expiry = c.Kernel.After(limit, LabelDispatch, func() {
		queue.removeRequest(request)
		c.waiting--
		c.refuse(queue, request, verdict.CodeQueueTimeout)
	})
	c.planSoon()
}

// removeRequest removes a request from the queue.
func (q *modelQueue) removeRequest(request *cellRequest) {
	for i, waiting := range q.waiting {
		if waiting == request {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// refuse ends a request with a refusal as not run.
func (c *Cell) refuse(queue *modelQueue, request *cellRequest, code verdict.Code) {
	request.result.Outcome = OutcomeRefused
	request.result.Code = code
	request.result.Verdict = verdict.NotRun
	if len(queue.replicas) == 0 {
		request.result.ColdStart = c.Kernel.Now().Sub(request.result.Arrival.At)
	}
	c.finish(request)
}

// finish reports the result of a request that ended.
func (c *Cell) finish(request *cellRequest) {
	request.result.Ended = c.Kernel.Now()
	if c.config.Finished != nil {
		c.config.Finished(request.result)
	}
}

// tryStart runs a request on the machine with a replica of the model that has the
// fewest running requests. It reports whether a slot was free.
func (c *Cell) tryStart(queue *modelQueue, request *cellRequest) bool {
	var best *Engine
	for _, machine := range queue.replicas {
		if len(machine.attempts) >= machine.Config.Slots {
			continue
		}
		if best == nil || len(machine.attempts) < len(best.attempts) ||
			len(machine.attempts) == len(best.attempts) && machine.Machine.ID < best.Machine.ID {
			best = machine
		}
	}
	if best == nil {
		return false
	}
	request.expiry.Cancel()
	arrival := &request.result.Arrival
	request.result.Waited = c.Kernel.Now().Sub(arrival.At)
	queue.running++
	best.Run(Run{
		Request: request.id, Attempt: 1, Model: arrival.Model,
		PromptTokens: arrival.PromptTokens, Tokens: arrival.Tokens, Prefixes: arrival.Prefixes,
		FirstToken: func() { request.result.FirstToken = c.Kernel.Now() },
		Done: func() {
			queue.running--
			request.result.Outcome = OutcomeServed
			request.result.Verdict = verdict.Ran
			c.finish(request)
			c.startWaitingOn(best)
		},
		StreamBroken: func() {
			queue.running--
			request.result.Outcome = OutcomeFailed
			request.result.Code = verdict.CodeStreamCut
			request.result.Verdict = verdict.Ran
			c.finish(request)
		},
	})
	return true
}

// startWaitingOn starts waiting requests of the models on a machine, after one of
// its slots became free.
func (c *Cell) startWaitingOn(machine *Engine) {
	if c.waiting == 0 {
		return
	}
	for _, model := range machine.models() {
		c.startWaiting(c.queues[model])
	}
}

// startWaiting starts the queue's waiting requests while slots are free.
func (c *Cell) startWaiting(queue *modelQueue) {
	for len(queue.waiting) > 0 {
		request := queue.waiting[0]
		if !c.tryStart(queue, request) {
			return
		}
		queue.waiting = queue.waiting[1:]
		c.waiting--
		if arrived := request.result.Arrival.At; queue.warmSince.After(arrived) {
			request.result.ColdStart = queue.warmSince.Sub(arrived)
		}
	}
}
