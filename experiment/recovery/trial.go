package recovery

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/experiment"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/simulation"
)

// planned is one planning round that was seen.
type planned struct {
	zone cluster.ZoneID
	node cluster.NodeID
	at   time.Time
}

// ordered is one order to load that was seen.
type ordered struct {
	model   cluster.ModelID
	machine cluster.MachineID
	at      time.Time
}

// trial is one run of the simulated system in which a fault is injected.
type trial struct {
	world *simulation.World
	seed  uint64
	plans []planned
	loads []ordered
	// served and refused count the requests that arrived after countFrom.
	countFrom              time.Time
	served, refused, other int
}

// newTrial builds the deployment of the scenario without its random faults.
func newTrial(scenario experiment.Scenario, seed uint64, duration time.Duration) (*trial, error) {
	scenario.FaultRates, scenario.Faults = nil, nil
	scenario.Duration = duration
	policies, err := experiment.ParsePolicies("adaptive")
	if err != nil {
		return nil, err
	}
	t := &trial{seed: seed}
	t.world, err = experiment.NewWorld(&scenario, policies[0], seed, experiment.WorldOptions{
		Tamper: simulation.Tamper{Effect: t.observe}, Finished: t.finished,
	})
	return t, err
}

// observe records what nodes decide and changes nothing.
func (t *trial) observe(from *simulation.Node, effect node.Effect) node.Effect {
	now := t.world.Kernel.Now()
	switch effect := effect.(type) {
	case node.Planned:
		t.plans = append(t.plans, planned{zone: effect.Zone, node: from.ID, at: now})
	case node.EngineCall:
		if effect.Operation == node.EngineOrder && effect.Order.Kind == cluster.OrderLoad {
			t.loads = append(t.loads, ordered{model: effect.Order.Model, machine: effect.Order.Machine, at: now})
		}
	}
	return effect
}

func (t *trial) finished(result simulation.Result) {
	switch {
	case t.countFrom.IsZero() || result.Arrival.At.Before(t.countFrom):
	case result.Outcome == simulation.OutcomeServed:
		t.served++
	case result.Outcome == simulation.OutcomeRefused:
		t.refused++
	default:
		t.other++
	}
}

func (t *trial) now() time.Time { return t.world.Kernel.Now() }

// run lets virtual time pass.
func (t *trial) run(duration time.Duration) { t.world.Run(t.now().Add(duration)) }

// zone is the zone that the seed chooses.
func (t *trial) zone() cluster.ZoneID {
	var zones []cluster.ZoneID
	for _, process := range t.world.Nodes() {
		if !slices.Contains(zones, process.Place.Zone) {
			zones = append(zones, process.Place.Zone)
		}
	}
	return zones[t.seed%uint64(len(zones))]
}

// controller is the node that planned last for the zone.
func (t *trial) controller(zone cluster.ZoneID) cluster.NodeID {
	for _, plan := range slices.Backward(t.plans) {
		if plan.zone == zone {
			return plan.node
		}
	}
	return ""
}

// planAfter returns how long after from a node other than except planned for
// the zone.
func (t *trial) planAfter(from time.Time, zone cluster.ZoneID, except cluster.NodeID) (time.Duration, bool) {
	for _, plan := range t.plans {
		if plan.zone == zone && plan.node != except && !plan.at.Before(from) {
			return plan.at.Sub(from), true
		}
	}
	return 0, false
}

// longestGap returns the longest time between plans for the zone from then on.
func (t *trial) longestGap(from time.Time, zone cluster.ZoneID) time.Duration {
	last, longest := from, time.Duration(0)
	for _, plan := range t.plans {
		if plan.zone != zone || plan.at.Before(from) {
			continue
		}
		longest = max(longest, plan.at.Sub(last))
		last = plan.at
	}
	return max(longest, t.now().Sub(last))
}

// loading finds an engine that loads a model right now.
func (t *trial) loading() (cluster.MachineID, cluster.ModelID, bool) {
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

// loadAfter returns how long after from the model was ordered to load again.
func (t *trial) loadAfter(from time.Time, model cluster.ModelID) (time.Duration, bool) {
	for _, order := range t.loads {
		if order.model == model && order.at.After(from) {
			return order.at.Sub(from), true
		}
	}
	return 0, false
}
