package simulation

import (
	"strconv"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// wake makes a plan soon for a model that begins to wait.
func (c *Cell) wake() {
	if c.planning {
		return
	}
	c.planning = true
	c.Kernel.After(c.config.WakeInterval, LabelPlan, func() {
		c.planning = false
		if c.planned.Before(c.Kernel.Now()) {
			c.plan()
		}
	})
}

// plan runs one round of the planner and gives its orders.
func (c *Cell) plan() {
	c.planned = c.Kernel.Now()
	c.Rounds++
	plan := c.config.Planner.Plan(c.state())
	clear(c.arrivals)
	for i := range plan.Actions {
		c.order(&plan.Actions[i])
	}
}

// order gives one action to its engine.
func (c *Cell) order(action *placement.Action) {
	c.orders++
	for _, machine := range c.engines {
		if machine.Machine.ID != action.Machine {
			continue
		}
		// A refused order shows in the next state, as it does to a controller.
		_, _ = machine.Order(cluster.Order{
			ID: strconv.Itoa(c.orders), Token: 1, Epoch: machine.epoch, Machine: action.Machine, Kind: action.Kind,
			Model: action.Model, Base: action.Base, Version: action.Version, Bytes: action.Bytes,
			Pool: action.Pool, DrainTime: action.DrainTime,
		})
	}
}

// state is the planner's input, without any lag.
func (c *Cell) state() placement.State {
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
	for model, queue := range c.byModel {
		arrivals := c.arrivals[model]
		if arrivals > 0 || len(queue.waiting) > 0 || queue.running > 0 {
			state.Demand[model] = c.demand(queue, arrivals)
		}
	}
	return state
}

// demand summarises one model's queue.
func (c *Cell) demand(queue *modelQueue, arrivals int) placement.Demand {
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

// placementMachine is the engine as a planner without lag sees it.
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
		machine.Replicas = append(machine.Replicas, placement.Slot{
			Model: model, Version: held.Version, State: held.State, Bytes: held.Bytes, Since: held.Since,
		})
		if held.running > 0 {
			machine.Load.PerModel[model] = held.running
		}
	}
	return machine
}

// RunningOn returns how many requests run on the machine.
func (e *Engine) RunningOn() int { return len(e.attempts) }
