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

// nextPlanAt returns the time of the next plan.
func (c *controller) nextPlanAt() time.Time {
	switch {
	case c.planStale || c.demand.Changed():
		return c.lastPlanAt.Add(c.currentPlanInterval())
	case c.demand.HasWaiting():
		return c.lastPlanAt.Add(waitingPlanInterval)
	}
	return c.lastPlanAt.Add(maxPlanInterval)
}

// currentPlanInterval returns the least time between two plans. A node of unknown capacity counts
// as a whole core.
func (c *controller) currentPlanInterval() time.Duration {
	work := float64(c.ledger.Count()) * float64(planTimePerMachine)
	return minPlanInterval + time.Duration(work/(planCPUShare*cmp.Or(c.core.config.Self.Capacity, 1)))
}

// configurationChanged rebuilds the allotment, which allows all models anywhere, and hands all
// machines to the ledger again.
func (c *controller) configurationChanged() {
	allotment := &cluster.Allotment{}
	for _, model := range c.core.compiled.Snapshot.Models {
		allotment.Models = append(allotment.Models, cluster.ModelAllotment{Model: model.ID, MaxReplicas: math.MaxInt32})
	}
	c.allotment = allotment
	c.longestPause = strictestLongestPause(c.core.compiled)
	for _, known := range c.core.view.sorted() {
		c.registerMachine(&known.worker)
	}
	c.planStale = true
}

// strictestLongestPause returns the smallest of the longest pauses that routes to engines accept,
// since the streams of all routes share the engines. It returns zero if no route states one.
func strictestLongestPause(compiled *catalog.Compiled) time.Duration {
	var strictest time.Duration
	for i := range compiled.Routes {
		route := &compiled.Routes[i]
		engines := slices.ContainsFunc(route.Targets, func(target catalog.Target) bool {
			service := compiled.Service(target.Service)
			return service != nil && service.Engine != nil
		})
		if engines && route.LongestPause > 0 && (strictest == 0 || route.LongestPause < strictest) {
			strictest = route.LongestPause
		}
	}
	return strictest
}

// plannerConfig returns the planner's configuration for the engines in use.
func (c *controller) plannerConfig() placement.Config {
	config := c.core.config.Placement
	config.RetainIdle, config.EvictForRunning, config.SerialOrders = true, true, true
	config.UnloadDropsAdapters, config.AdaptersUnlimited = true, true
	config.SealGrace = engineReportGrace
	return config
}

// tierLoadTime returns the configured load time of a model from a tier.
func tierLoadTime(spec *catalog.ModelSpec, tier cluster.Tier) time.Duration {
	switch {
	case tier == cluster.TierMemory && spec.MemoryTime > 0:
		return spec.MemoryTime
	case tier == cluster.TierDisk && spec.DiskTime > 0:
		return spec.DiskTime
	}
	return spec.LoadTime
}

// modelBytes returns the memory that a model takes on an engine.
func (c *controller) modelBytes(id cluster.ModelID) int64 {
	if model := c.core.compiled.Snapshot.Model(id); model != nil {
		return model.Policy.Memory
	}
	return 0
}

// storeState returns the limits on loads from the weight store.
func (c *controller) storeState() placement.StoreState {
	state := placement.StoreState{Speed: 1}
	for i := range c.core.compiled.Services {
		if engine := c.core.compiled.Services[i].Engine; engine != nil && engine.LoadsPerSecond > state.StartsPerSecond {
			state.StartsPerSecond = engine.LoadsPerSecond
		}
	}
	excess := state.StartsPerSecond * c.core.config.LoadWindow.Seconds() * (c.core.config.LoadOverrun - 1)
	state.Burst = max(excess, 0)*burstAllowanceShare + burstLoads
	state.Concurrency = max(int(math.Ceil(state.StartsPerSecond*c.core.config.LoadWindow.Seconds())), 1)
	state.InitialConcurrency = cmp.Or(c.learnedStoreLoads, initialStoreLoads)
	return state
}

// plan computes a plan if one is due and sends its orders.
func (c *controller) plan() {
	now := c.core.now
	if now.Before(c.nextPlanAt()) {
		return
	}
	c.lastPlanAt, c.planStale = now, false
	wanted := c.demand.Sum(now)
	machines := c.ledger.Machines(c.modelBytes)
	c.markUnavailable(machines)
	plan := c.planner.Plan(placement.State{
		Now: now, Token: c.ledger.Token(), Settings: c.core.compiled.Snapshot, Allotment: c.allotment,
		Machines: machines, Demand: wanted, Store: c.storeState(), LoadTime: c.loadTime,
		LongestPause: c.longestPause,
	})
	ordered := make(map[cluster.ModelID]bool, len(plan.Actions))
	for i := range plan.Actions {
		ordered[plan.Actions[i].Model] = true
		c.sendOrder(&plan.Actions[i])
	}
	c.recordStoreCapacity(plan.Store.Limit)
	c.explainDelays(&plan, wanted, ordered)
}

// scarceLimitShare is the limit of a machine, in requests per second for each of its slots, below
// which its models are also loaded elsewhere: a replica that serves well with requests of one
// second has about 0.4 of its slots in use.
const scarceLimitShare = 0.4

// markUnavailable marks machines with a low limit, and machines that announced in an answer that
// they leave, as leaving. The planner then loads demanded models elsewhere, while replicas on
// these machines stay.
func (c *controller) markUnavailable(machines []placement.Machine) {
	for i := range machines {
		m := &machines[i]
		perSecond, limited := c.core.router.Limit(m.ID)
		scarce := limited && perSecond < scarceLimitShare*float64(m.Slots)
		m.Leaving = m.Leaving || scarce || c.core.router.Leaving(m.ID)
	}
}

// recordStoreCapacity stores the learned capacity of the weight store for the next holder.
func (c *controller) recordStoreCapacity(limit int) {
	before := cmp.Or(c.learnedStoreLoads, initialStoreLoads)
	if limit == before {
		return
	}
	c.learnedStoreLoads = limit
	c.core.log(eventlog.StoreCapacityLearned{Loads: limit, Before: before})
	c.writeLastHolder()
}

// sendOrder has the ledger send an order. The ledger sends none to an engine that has not
// reported yet; the action is then withdrawn from the plan.
func (c *controller) sendOrder(action *placement.Action) {
	_, _, adapter := catalog.Split(action.Model)
	sent := false
	c.feedLedger(sequence.OrderRequested{
		Machine: action.Machine, Kind: action.Kind, Model: action.Model, Bytes: action.Bytes,
		Adapter: adapter != "", ExpectedTime: c.expectedTime(action),
	}, func(order sequence.Order) {
		sent = true
		c.core.log(eventlog.OrderPlanned{
			Machine: action.Machine, Order: action.Kind.String(), Work: action.Model, Cause: string(action.Reason.Cause),
			Waiting: action.Reason.Waiting, Reading: action.Reason.Reading, Bound: action.Reason.ReadingBound,
			Tier: action.Tier.String(), Expected: c.expectedTime(action), Count: order.Expected,
		})
	})
	if !sent {
		c.planner.CancelLoad(action)
	}
}

// expectedTime returns the configured load time of an action, or else the planner's estimate.
func (c *controller) expectedTime(action *placement.Action) time.Duration {
	return cmp.Or(c.loadTime(action.Model, action.Tier), action.ExpectedTime)
}

// loadTime returns the configured load time of a model from a tier, zero if there is none.
func (c *controller) loadTime(id cluster.ModelID, tier cluster.Tier) time.Duration {
	service, name, adapter := catalog.Split(id)
	if adapter != "" {
		return adapterLoadTime
	}
	spec := c.core.compiled.Service(service).Model(name)
	if spec == nil {
		return 0
	}
	return tierLoadTime(spec, tier)
}
