package recovery

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/experiment"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/simulation"
)

// observedPlan is one observed planning round.
type observedPlan struct {
	zone      cluster.ZoneID
	node      cluster.NodeID
	plannedAt time.Time
}

// observedLoad is one observed load order.
type observedLoad struct {
	model     cluster.ModelID
	machine   cluster.MachineID
	orderedAt time.Time
}

// trial is one run of the simulated system into which a fault is injected.
type trial struct {
	world *simulation.World
	seed  uint64
	plans []observedPlan
	loads []observedLoad
	// served, refused and other count the requests that arrived at or after countRequestsFrom.
	countRequestsFrom      time.Time
	served, refused, other int
}

// newTrial creates the deployment of the scenario without its faults.
func newTrial(scenario experiment.Scenario, seed uint64, duration time.Duration) (*trial, error) {
	scenario.FaultRates, scenario.Faults = nil, nil
	scenario.Duration = duration
	policies, err := experiment.ParsePolicies("adaptive")
	if err != nil {
		return nil, err
	}
	t := &trial{seed: seed}
	t.world, err = experiment.NewWorld(&scenario, policies[0], seed, experiment.WorldOptions{
		Tamper: simulation.DefectHooks{Effect: t.observeEffect}, Finished: t.countRequest,
	})
	return t, err
}

// observeEffect records plans and load orders and returns the effect unchanged.
func (t *trial) observeEffect(from *simulation.Node, effect node.Effect) node.Effect {
	now := t.world.Kernel.Now()
	switch effect := effect.(type) {
	case node.PlanMade:
		t.plans = append(t.plans, observedPlan{zone: effect.Zone, node: from.ID, plannedAt: now})
	case node.EngineCall:
		if effect.Operation == node.EngineOrder && effect.Order.Kind == cluster.OrderLoad {
			t.loads = append(t.loads, observedLoad{model: effect.Order.Model, machine: effect.Order.Machine, orderedAt: now})
		}
	}
	return effect
}

// countRequest counts a finished request by its outcome.
func (t *trial) countRequest(result simulation.Result) {
	switch {
	case t.countRequestsFrom.IsZero() || result.Arrival.At.Before(t.countRequestsFrom):
	case result.Outcome == simulation.OutcomeServed:
		t.served++
	case result.Outcome == simulation.OutcomeRefused:
		t.refused++
	default:
		t.other++
	}
}

func (t *trial) now() time.Time { return t.world.Kernel.Now() }

// advance runs the simulation for the given virtual time.
func (t *trial) advance(duration time.Duration) { t.world.Run(t.now().Add(duration)) }

// selectedZone returns the zone that the seed selects for the fault.
func (t *trial) selectedZone() cluster.ZoneID {
	var zones []cluster.ZoneID
	for _, process := range t.world.Nodes() {
		if !slices.Contains(zones, process.Place.Zone) {
			zones = append(zones, process.Place.Zone)
		}
	}
	return zones[t.seed%uint64(len(zones))]
}

// lastPlanner returns the node that last planned for the zone.
func (t *trial) lastPlanner(zone cluster.ZoneID) cluster.NodeID {
	for _, plan := range slices.Backward(t.plans) {
		if plan.zone == zone {
			return plan.node
		}
	}
	return ""
}

// timeToPlanByOther returns the time from from until a node other than except planned for the zone.
func (t *trial) timeToPlanByOther(from time.Time, zone cluster.ZoneID, except cluster.NodeID) (time.Duration, bool) {
	for _, plan := range t.plans {
		if plan.zone == zone && plan.node != except && !plan.plannedAt.Before(from) {
			return plan.plannedAt.Sub(from), true
		}
	}
	return 0, false
}

// longestGap returns the longest time without a plan for the zone since from.
func (t *trial) longestGap(from time.Time, zone cluster.ZoneID) time.Duration {
	last, longest := from, time.Duration(0)
	for _, plan := range t.plans {
		if plan.zone != zone || plan.plannedAt.Before(from) {
			continue
		}
		longest = max(longest, plan.plannedAt.Sub(last))
		last = plan.plannedAt
	}
	return max(longest, t.now().Sub(last))
}

// findLoadingEngine returns an engine that is loading a model, and the model.
func (t *trial) findLoadingEngine() (cluster.MachineID, cluster.ModelID, bool) {
	for _, engine := range t.world.Engines() {
		if !engine.Alive || engine.Leaving {
			continue
		}
		inventory := engine.Inventory()
		for _, replica := range inventory.Replicas {
			if replica.State == cluster.ReplicaLoading {
				return engine.Machine.ID, replica.Model, true
			}
		}
	}
	return "", "", false
}

// timeToNextLoad returns the time from from until the model was next ordered to load.
func (t *trial) timeToNextLoad(from time.Time, model cluster.ModelID) (time.Duration, bool) {
	for _, order := range t.loads {
		if order.model == model && order.orderedAt.After(from) {
			return order.orderedAt.Sub(from), true
		}
	}
	return 0, false
}
