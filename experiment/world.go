package experiment

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/simulation"
	"github.com/valveslip/valveslip/verdict"
)

// settleDuration is how long the simulation continues after the last arrival, so that every request
// ends.
const settleDuration = 3 * time.Minute

// WorldOptions configures how a scenario runs on the whole system.
type WorldOptions struct {
	// Faults enables the faults of the scenario.
	Faults bool
	// EncodeMessages encodes and decodes the messages between nodes.
	EncodeMessages bool
	// Meter measures the processor time of the processes; nil measures nothing.
	Meter simulation.Meter
	// Tamper injects defects for tests of the checkers.
	Tamper simulation.DefectHooks
	// Finished is called for every request that has ended unless nil.
	Finished func(simulation.Result)
}

// WorldReport holds the results of a run of the whole system.
type WorldReport struct {
	Seed       uint64                        `json:"seed"`
	Events     uint64                        `json:"events"`
	Hash       uint64                        `json:"hash,string"`
	Arrived    int                           `json:"arrived"`
	Served     int                           `json:"served"`
	Refused    int                           `json:"refused"`
	Failed     int                           `json:"failed"`
	Lost       int                           `json:"connections_lost"`
	Unreached  int                           `json:"unreached"`
	Refusals   map[verdict.Code]int          `json:"refusals"`
	Faults     map[simulation.FaultKind]int  `json:"faults"`
	Checked    map[simulation.Promise]uint64 `json:"checked"`
	Violations []simulation.Violation        `json:"violations"`
	Violated   map[simulation.Promise]int    `json:"violated"`
}

// Total returns the total number of violations.
func (r *WorldReport) Total() int {
	total := 0
	for _, count := range r.Violated {
		total += count
	}
	return total
}

// NewWorld creates the whole system for a scenario.
func NewWorld(scenario *Scenario, policy Policy, seed uint64, options WorldOptions) (*simulation.World, error) {
	models, err := buildModels(scenario, policy.Override)
	if err != nil {
		return nil, err
	}
	end := simulation.Epoch.Add(scenario.Warmup + scenario.Duration)
	var future map[cluster.ModelID][]time.Time
	if policy.Clairvoyant {
		future = collectArrivals(newTrafficSource(scenario, models, seed, end))
	}
	config := node.CoreConfig{NewPlanner: func() placement.Planner { return policy.newPlanner(future) }}
	world, err := simulation.NewWorld(simulation.WorldConfig{
		Seed: seed, Deployment: buildDeployment(scenario, models), Tree: models.Tree,
		NewCore: simulation.NodeCores(config), Source: newTrafficSource(scenario, models, seed, end),
		EncodeMessages: options.EncodeMessages, Meter: options.Meter, Tamper: options.Tamper, Finished: options.Finished,
	})
	if err != nil {
		return nil, err
	}
	if options.Faults {
		world.Schedule(scenario.scheduledFaults())
		world.InjectAtRandom(scenario.randomFaultRates(), end)
	}
	return world, nil
}

// RunWorld runs a scenario on the whole system: the cores of all nodes, the platform, the clients
// and optionally faults. Checkers watch the guarantees of the system.
func RunWorld(scenario *Scenario, policy Policy, seed uint64, options WorldOptions) (*WorldReport, error) {
	world, err := NewWorld(scenario, policy, seed, options)
	if err != nil {
		return nil, err
	}
	world.Run(simulation.Epoch.Add(scenario.Warmup + scenario.Duration + settleDuration))
	return newWorldReport(world, seed), nil
}

// newWorldReport returns the report of a world that has finished.
func newWorldReport(world *simulation.World, seed uint64) *WorldReport {
	outcomes := world.Callers.Outcomes
	return &WorldReport{
		Seed: seed, Events: world.Kernel.Executed(), Hash: world.Kernel.Hash(),
		Arrived: world.Callers.Arrived, Unreached: world.Callers.Undelivered,
		Served: outcomes[simulation.OutcomeServed], Refused: outcomes[simulation.OutcomeRefused],
		Failed: outcomes[simulation.OutcomeFailed], Lost: outcomes[simulation.OutcomeConnectionLost],
		Refusals: world.Callers.Refusals, Faults: world.Faults,
		Checked: world.Checkers.Checked, Violations: world.Checkers.Violations, Violated: world.Checkers.Count,
	}
}

// scheduledFaults converts the scheduled faults for the simulator.
func (s *Scenario) scheduledFaults() []simulation.Fault {
	faults := make([]simulation.Fault, 0, len(s.Faults))
	for _, fault := range s.Faults {
		faults = append(faults, simulation.Fault{
			Kind: fault.Kind, After: fault.After, Duration: fault.Duration,
			Zone: cluster.ZoneID(fault.Zone), Region: cluster.RegionID(fault.Region),
		})
	}
	return faults
}

// randomFaultRates converts the random faults for the simulator.
func (s *Scenario) randomFaultRates() []simulation.FaultRate {
	rates := make([]simulation.FaultRate, 0, len(s.FaultRates))
	for _, rate := range s.FaultRates {
		rates = append(rates, simulation.FaultRate{Kind: rate.Kind, PerDay: rate.PerDay, Duration: rate.Duration})
	}
	return rates
}
