package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/placement"
)

// planDue returns when the next plan is.
func (c *cell) planDue() time.Time {
	switch {
	case c.news || c.demand.Changed():
		return c.planned.Add(c.planSpacing())
	case c.demand.Waiting():
		return c.planned.Add(waitingPlan)
	}
	return c.planned.Add(planInterval)
}

// planSpacing is the least time between two plans. A node that does not know its capacity
// counts as a whole core.
func (c *cell) planSpacing() time.Duration {
	work := float64(c.ledger.Count()) * float64(planWork)
	return planSpacing + time.Duration(work/(planPart*cmp.Or(c.core.config.Self.Capacity, 1)))
}

// configurationChanged makes the allotment anew: models may be held anywhere.
func (c *cell) configurationChanged() {
	allotment := &cluster.Allotment{}
	for _, model := range c.core.compiled.Snapshot.Models {
		allotment.Models = append(allotment.Models, cluster.ModelAllotment{Model: model.ID, MaxReplicas: math.MaxInt32})
	}
	c.allotment = allotment
	c.longestPause = longestPause(c.core.compiled)
	for _, known := range c.core.view.sorted() {
		c.machineSeen(&known.worker)
	}
	c.news = true
}

// longestPause is the shortest of the longest pauses that routes to engines state, since
// the streams of all routes share the engines; zero when none states one.
func longestPause(compiled *catalog.Compiled) time.Duration {
	var least time.Duration
	for i := range compiled.Routes {
		route := &compiled.Routes[i]
		engines := slices.ContainsFunc(route.Targets, func(target catalog.Target) bool {
			service := compiled.Service(target.Service)
			return service != nil && service.Engine != nil
		})
		if engines && route.LongestPause > 0 && (least == 0 || route.LongestPause < least) {
			least = route.LongestPause
		}
	}
	return least
}

// plannerConfig tunes the planner by the engines there are.
func (c *cell) plannerConfig() placement.Config {
	config := c.core.config.Placement
	config.RetainIdle, config.EvictForLoad, config.OneOrder = true, true, true
	config.UnloadDropsAdapters, config.AdaptersUnlimited = true, true
	config.SealGrace = sealGrace
	return config
}

// specTime is the stated time of a load from a tier.
func specTime(spec *catalog.ModelSpec, tier cluster.Tier) time.Duration {
	switch {
	case tier == cluster.TierMemory && spec.MemoryTime > 0:
		return spec.MemoryTime
	case tier == cluster.TierDisk && spec.DiskTime > 0:
		return spec.DiskTime
	}
	return spec.LoadTime
}

// size is what a model takes on an engine.
func (c *cell) size(id cluster.ModelID) int64 {
	if model := c.core.compiled.Snapshot.Model(id); model != nil {
		return model.Policy.Memory
	}
	return 0
}

// storeState is what may be loaded from the weight store.
func (c *cell) storeState() placement.StoreState {
	state := placement.StoreState{Speed: 1}
	for i := range c.core.compiled.Services {
		if engine := c.core.compiled.Services[i].Engine; engine != nil && engine.LoadsPerSecond > state.StartsPerSecond {
			state.StartsPerSecond = engine.LoadsPerSecond
		}
	}
	beyond := state.StartsPerSecond * c.core.config.LoadWindow.Seconds() * (c.core.config.LoadOverrun - 1)
	state.Burst = max(beyond, 0)*burstShare + burstLoads
	state.Concurrency = max(int(math.Ceil(state.StartsPerSecond*c.core.config.LoadWindow.Seconds())), 1)
	state.Bears = cmp.Or(c.bears, firstLoads)
	return state
}

// plan plans and gives the orders that can be given.
func (c *cell) plan() {
	now := c.core.now
	if now.Before(c.planDue()) {
		return
	}
	c.planned, c.news = now, false
	wanted := c.demand.Sum(now)
	machines := c.ledger.Machines(c.size)
	c.passOver(machines)
	plan := c.planner.Plan(placement.State{
		Now: now, Token: c.ledger.Token(), Settings: c.core.compiled.Snapshot, Allotment: c.allotment,
		Machines: machines, Demand: wanted, Store: c.storeState(), LoadTime: c.loadTime,
		LongestPause: c.longestPause,
	})
	ordered := make(map[cluster.ModelID]bool, len(plan.Actions))
	for i := range plan.Actions {
		ordered[plan.Actions[i].Model] = true
		c.give(&plan.Actions[i])
	}
	c.noteCapacity(plan.Store.Limit)
	c.explainDelays(&plan, wanted, ordered)
}

// limitedShare is the part of a machine's slots below which its limit, in requests a second, makes
// the planner load its models elsewhere: with requests of a second, so many run at a replica that
// serves well.
const limitedShare = 0.4

// passOver has the planner count on no machine that takes little, or whose answers say that it
// leaves: what is wanted there is loaded elsewhere, and its replicas stay.
func (c *cell) passOver(machines []placement.Machine) {
	for i := range machines {
		m := &machines[i]
		perSecond, limited := c.core.router.Limit(m.ID)
		scarce := limited && perSecond < limitedShare*float64(m.Slots)
		m.Leaving = m.Leaving || scarce || c.core.router.Leaving(m.ID)
	}
}

// noteCapacity keeps what was learned of the weight store for the next holder.
func (c *cell) noteCapacity(limit int) {
	before := cmp.Or(c.bears, firstLoads)
	if limit == before {
		return
	}
	c.bears = limit
	c.core.log(eventlog.StoreCapacityLearned{Loads: limit, Before: before})
	c.writeLast()
}

// give asks the ledger to give an order; it gives none to an engine that has not
// reported yet.
func (c *cell) give(action *placement.Action) {
	_, _, adapter := catalog.Split(action.Model)
	given := false
	c.ledgerStep(sequence.Ordered{
		Machine: action.Machine, Kind: action.Kind, Model: action.Model, Bytes: action.Bytes,
		Adapter: adapter != "", ExpectedTime: c.expectedTime(action),
	}, func(order sequence.Order) {
		given = true
		c.core.log(eventlog.OrderPlanned{
			Machine: action.Machine, Order: action.Kind.String(), Work: action.Model, Cause: string(action.Reason.Cause),
			Waiting: action.Reason.Waiting, Reading: action.Reason.Reading, Bound: action.Reason.ReadingBound,
			Tier: action.Tier.String(), Expected: c.expectedTime(action), Count: order.Expected,
		})
	})
	if !given {
		c.planner.Withdraw(action)
	}
}

// expectedTime is the stated time of a load.
func (c *cell) expectedTime(action *placement.Action) time.Duration {
	return cmp.Or(c.loadTime(action.Model, action.Tier), action.ExpectedTime)
}

// loadTime is the stated time of a model's load from a tier, zero for none.
func (c *cell) loadTime(id cluster.ModelID, tier cluster.Tier) time.Duration {
	service, name, adapter := catalog.Split(id)
	if adapter != "" {
		return adapterTime
	}
	spec := c.core.compiled.Service(service).Model(name)
	if spec == nil {
		return 0
	}
	return specTime(spec, tier)
}
