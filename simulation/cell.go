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

// Deployment is what a simulation consists of besides its traffic.
type Deployment struct {
	Zones   []ZoneConfig
	Network NetworkConfig
	// ClientDelay is the one-way delay between callers and nodes.
	ClientDelay time.Duration
	Store       WeightStoreConfig
	// MachineListLag is how late the machine list shows changes.
	MachineListLag time.Duration
	// KeyValueDelay is the service's own time for an answer.
	KeyValueDelay time.Duration
	// KeyValueRate bounds the service's answers a second; zero is unlimited.
	KeyValueRate float64
	Machines     []MachineConfig
	// Preloaded checkpoints in the machines' caches when a run begins.
	Preloaded []Preload
}

// ZoneConfig is one zone with its nodes.
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
	// PlanInterval between rounds; a model that begins to wait is planned for
	// at the next WakeInterval.
	PlanInterval, WakeInterval time.Duration
	// Finished is called for every request that ended.
	Finished func(Result)
}

// Cell drives a planner alone: all machines form one cell, nothing fails, and
// requests wait in one queue a model. It isolates what the placement policy
// costs from the rest of the system.
type Cell struct {
	Kernel  *Kernel
	Store   *WeightStore
	Usage   *Usage
	config  CellConfig
	engines []*Engine
	byModel map[cluster.ModelID]*modelQueue
	// waiting counts queued requests over all models.
	waiting   int
	planned   time.Time
	planning  bool
	orders    int
	arrivals  map[cluster.ModelID]int
	allotment cluster.Allotment
	// Rounds counts plans.
	Rounds int
}

// modelQueue is one model's waiting requests and replicas.
type modelQueue struct {
	model    *settings.Model
	waiting  []*cellRequest
	replicas []*Engine
	running  int
	// warmSince is when the model last became loaded after having no replica.
	warmSince time.Time
}

// cellRequest is one request in a Cell.
type cellRequest struct {
	id     cluster.RequestID
	result Result
	expiry Timer
}

// NewCell returns a cell whose clock stands at Epoch.
func NewCell(config CellConfig) *Cell {
	kernel := NewKernel(config.Seed)
	cell := &Cell{
		Kernel: kernel, Store: NewWeightStore(kernel, config.Deployment.Store), Usage: NewUsage(kernel),
		config: config, byModel: map[cluster.ModelID]*modelQueue{}, arrivals: map[cluster.ModelID]int{},
	}
	engines := map[cluster.MachineID]*Engine{}
	for _, machine := range config.Deployment.Machines {
		added := NewEngine(kernel, cell.Store, machine.Machine, machine.Engine, cell)
		if _, err := added.Seal(1); err != nil {
			panic(err) // a fresh engine holds no token
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
		cell.byModel[model.ID] = &modelQueue{model: model}
		cell.allotment.Models = append(cell.allotment.Models,
			cluster.ModelAllotment{Model: model.ID, MaxReplicas: model.Policy.MaxReplicas})
	}
	return cell
}

// Run drives the cell until the given time.
func (c *Cell) Run(until time.Time) {
	if c.Rounds == 0 {
		c.plan()
		c.Kernel.Every(c.config.PlanInterval, c.config.PlanInterval, LabelPlan, func() bool { c.plan(); return true })
		feed(c.Kernel, c.config.Source, c.arrive)
	}
	c.Kernel.Run(until)
	c.Usage.Settle()
}

// ReplicaChanged implements EngineObserver.
func (c *Cell) ReplicaChanged(machine *Engine, model cluster.ModelID, next cluster.ReplicaState) {
	c.Usage.ReplicaChanged(machine, model, next)
	queue := c.byModel[model]
	before := machine.State(model) == cluster.ReplicaLoaded
	switch {
	case next == cluster.ReplicaLoaded:
		if len(queue.replicas) == 0 {
			queue.warmSince = c.Kernel.Now()
		}
		queue.replicas = append(queue.replicas, machine)
		c.Kernel.After(0, LabelDispatch, func() { c.drain(queue) })
	case before:
		queue.remove(machine)
	}
}

// RunningChanged implements EngineObserver.
func (c *Cell) RunningChanged(machine *Engine, model cluster.ModelID, running int) {
	c.Usage.RunningChanged(machine, model, running)
}

// Executed implements EngineObserver.
func (c *Cell) Executed(*Engine, Run) {}

// remove forgets a replica.
func (q *modelQueue) remove(machine *Engine) {
	for i, held := range q.replicas {
		if held == machine {
			q.replicas = append(q.replicas[:i], q.replicas[i+1:]...)
			return
		}
	}
}

// arrive admits a request or lets it wait.
func (c *Cell) arrive(arrival Arrival) {
	queue := c.byModel[arrival.Model]
	c.arrivals[arrival.Model]++
	c.orders++
	request := &cellRequest{
		id:     cluster.RequestID("r" + strconv.Itoa(c.orders)),
		result: Result{Arrival: arrival},
	}
	if len(queue.waiting) == 0 && c.start(queue, request) {
		return
	}
	c.wait(queue, request)
}

// wait queues a request until its deadline or the policy's queue time.
func (c *Cell) wait(queue *modelQueue, request *cellRequest) {
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
		queue.forget(request)
		c.waiting--
		c.refuse(queue, request, verdict.CodeQueueTimeout)
	})
	c.wake()
}

// forget takes a request out of the queue.
func (q *modelQueue) forget(request *cellRequest) {
	for i, waiting := range q.waiting {
		if waiting == request {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// refuse ends a request that did not run.
func (c *Cell) refuse(queue *modelQueue, request *cellRequest, code verdict.Code) {
	request.result.Outcome = OutcomeRefused
	request.result.Code = code
	request.result.Verdict = verdict.NotRun
	if len(queue.replicas) == 0 {
		request.result.ColdStart = c.Kernel.Now().Sub(request.result.Arrival.At)
	}
	c.finish(request)
}

// finish reports a request that ended.
func (c *Cell) finish(request *cellRequest) {
	request.result.Ended = c.Kernel.Now()
	if c.config.Finished != nil {
		c.config.Finished(request.result)
	}
}

// start runs a request on the replica with the fewest running requests.
func (c *Cell) start(queue *modelQueue, request *cellRequest) bool {
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
			c.drainMachine(best)
		},
		Cut: func() {
			queue.running--
			request.result.Outcome = OutcomeFailed
			request.result.Code = verdict.CodeStreamCut
			request.result.Verdict = verdict.Ran
			c.finish(request)
		},
	})
	return true
}

// drainMachine gives a free slot to the models that the machine holds.
func (c *Cell) drainMachine(machine *Engine) {
	if c.waiting == 0 {
		return
	}
	for _, model := range machine.models() {
		c.drain(c.byModel[model])
	}
}

// drain starts waiting requests while slots last.
func (c *Cell) drain(queue *modelQueue) {
	for len(queue.waiting) > 0 {
		request := queue.waiting[0]
		if !c.start(queue, request) {
			return
		}
		queue.waiting = queue.waiting[1:]
		c.waiting--
		if arrived := request.result.Arrival.At; queue.warmSince.After(arrived) {
			request.result.ColdStart = queue.warmSince.Sub(arrived)
		}
	}
}
