package simulation

import (
	"strconv"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// planSoon schedules an extra planning round for a request that has to wait,
// unless one is scheduled.
func (c *Cell) planSoon() {
	if c.planScheduled {
		return
	}
	c.planScheduled = true
	c.Kernel.After(c.config.WakeInterval, LabelPlan, func() {
		c.planScheduled = false
		if c.lastPlan.Before(c.Kernel.Now()) {
			c.plan()
		}
	})
}

// plan runs one planning round and sends its orders to the engines.
func (c *Cell) plan() {
	c.lastPlan = c.Kernel.Now()
	c.Rounds++
	plan := c.config.Planner.Plan(c.plannerState())
	clear(c.arrivals)
	for i := range plan.Actions {
		c.sendOrder(&plan.Actions[i])
	}
}

// sendOrder sends one action as an order to its engine.
func (c *Cell) sendOrder(action *placement.Action) {
	c.lastID++
	for _, machine := range c.engines {
		if machine.Machine.ID != action.Machine {
			continue
		}
		// The error is ignored: the planner sees the effect of a refused order in
		// the next state, as a controller does.
		_, _ = machine.Order(cluster.Order{
			ID: strconv.Itoa(c.lastID), Token: 1, Epoch: machine.epoch, Machine: action.Machine, Kind: action.Kind,
			Model: action.Model, Base: action.Base, Version: action.Version, Bytes: action.Bytes,
			Pool: action.Pool, DrainTime: action.DrainTime,
		})
	}
}

// plannerState returns the planner's input from the true state, without lag.
func (c *Cell) plannerState() placement.State {
	status := c.Store.Status()
	state := placement.State{
		Now: c.Kernel.Now(), Zone: "cell", Token: 1, Settings: c.config.Settings, Allotment: &c.allotment,
		Demand: map[cluster.ModelID]placement.Demand{},
		Store: placement.StoreState{
			StartsPerSecond: status.StartsPerSecond, Concurrency: status.Concurrency, Speed: status.Speed,
		},
	}
	for _, machine := range c.engines {
		state.Machines = append(state.Machines, machine.placementMachine())
	}
	for model, queue := range c.queues {
		arrivals := c.arrivals[model]
		if arrivals > 0 || len(queue.waiting) > 0 || queue.running > 0 {
			state.Demand[model] = c.queueDemand(queue, arrivals)
		}
	}
	return state
}

// queueDemand returns the planner's view of one model's queue.
func (c *Cell) queueDemand(queue *modelQueue, arrivals int) placement.Demand {
	demand := placement.Demand{Waiting: len(queue.waiting), Running: queue.running, Arrivals: arrivals}
	for i, request := range queue.waiting {
		waited := c.Kernel.Now().Sub(request.result.Arrival.At)
		left := request.result.Arrival.Deadline - waited
		demand.OldestWait = max(demand.OldestWait, waited)
		if i == 0 || left < demand.EarliestDeadline {
			demand.EarliestDeadline = left
		}
	}
	return demand
}

// placementMachine returns the planner's view of the engine, without lag.
func (e *Engine) placementMachine() placement.Machine {
	machine := placement.Machine{
		ID: e.Machine.ID, Rack: e.Machine.Rack, Pool: e.Config.Pool, Sealed: e.Alive, Leaving: e.Leaving,
		MemoryBytes: e.Config.MemoryBytes, Accelerators: e.Config.Accelerators, Slots: e.Config.Slots,
		Cached: e.cache.tiers(),
	}
	machine.Load.Machine, machine.Load.At = e.Machine.ID, e.kernel.Now()
	machine.Load.Running = len(e.attempts)
	machine.Load.PerModel = map[cluster.ModelID]int{}
	for _, model := range e.models() {
		held := e.replicas[model]
		machine.Replicas = append(machine.Replicas, placement.Replica{
			Model: model, Version: held.Version, State: held.State, Bytes: held.Bytes, Since: held.Since,
		})
		if held.running > 0 {
			machine.Load.PerModel[model] = held.running
		}
	}
	return machine
}

// RunningRequests returns how many requests run on the engine.
func (e *Engine) RunningRequests() int { return len(e.attempts) }
