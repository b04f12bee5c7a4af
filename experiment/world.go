package experiment

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/simulation"
	"github.com/valveslip/valveslip/verdict"
)

// settleTime runs on after the last arrival, so that every request ends.
const settleTime = 3 * time.Minute

// WorldOptions change how a scenario runs on the whole product.
type WorldOptions struct {
	// Faults injects the scenario's faults.
	Faults bool
	// EncodeMessages passes messages between nodes through the codec.
	EncodeMessages bool
	// Meter measures what the processes spend; nil measures nothing.
	Meter simulation.Meter
	// Tamper plants defects, for tests of the checkers.
	Tamper simulation.Tamper
	// Finished is called for every ended request; nil means none.
	Finished func(simulation.Result)
}

// WorldReport is what a run of the whole product gave.
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

// Total returns the number of violations.
func (r *WorldReport) Total() int {
	total := 0
	for _, count := range r.Violated {
		total += count
	}
	return total
}

// NewWorld builds the whole product on a scenario.
func NewWorld(scenario *Scenario, policy Policy, seed uint64, options WorldOptions) (*simulation.World, error) {
	models, err := buildModels(scenario, policy.Override)
	if err != nil {
		return nil, err
	}
	end := simulation.Epoch.Add(scenario.Warmup + scenario.Duration)
	var future map[cluster.ModelID][]time.Time
	if policy.Clairvoyant {
		future = collect(newSource(scenario, models, seed, end))
	}
	config := node.CoreConfig{NewPlanner: func() placement.Planner { return policy.make(future) }}
	world, err := simulation.NewWorld(simulation.WorldConfig{
		Seed: seed, Deployment: buildDeployment(scenario, models), Tree: models.Tree,
		NewCore: simulation.NodeCores(config), Source: newSource(scenario, models, seed, end),
		EncodeMessages: options.EncodeMessages, Meter: options.Meter, Tamper: options.Tamper, Finished: options.Finished,
	})
	if err != nil {
		return nil, err
	}
	if options.Faults {
		world.Schedule(scenario.schedule())
		world.InjectAtRandom(scenario.rates(), end)
	}
	return world, nil
}

// RunWorld runs a scenario on the whole product: every node's core, the
// platform, callers and, if asked, faults, watched by the promise checkers.
func RunWorld(scenario *Scenario, policy Policy, seed uint64, options WorldOptions) (*WorldReport, error) {
	world, err := NewWorld(scenario, policy, seed, options)
	if err != nil {
		return nil, err
	}
	world.Run(simulation.Epoch.Add(scenario.Warmup + scenario.Duration + settleTime))
	return report(world, seed), nil
}

// report sums a finished world up.
func report(world *simulation.World, seed uint64) *WorldReport {
	outcomes := world.Callers.Outcomes
	return &WorldReport{
		Seed: seed, Events: world.Kernel.Executed(), Hash: world.Kernel.Hash(),
		Arrived: world.Callers.Arrived, Unreached: world.Callers.Unreached,
		Served: outcomes[simulation.OutcomeServed], Refused: outcomes[simulation.OutcomeRefused],
		Failed: outcomes[simulation.OutcomeFailed], Lost: outcomes[simulation.OutcomeConnectionLost],
		Refusals: world.Callers.Refusals, Faults: world.Faults,
		Checked: world.Checkers.Checked, Violations: world.Checkers.Violations, Violated: world.Checkers.Count,
	}
}

// schedule converts the scheduled faults.
func (s *Scenario) schedule() []simulation.Fault {
	faults := make([]simulation.Fault, 0, len(s.Faults))
	for _, fault := range s.Faults {
		faults = append(faults, simulation.Fault{
			Kind: fault.Kind, After: fault.After, Duration: fault.Duration,
			Zone: cluster.ZoneID(fault.Zone), Region: cluster.RegionID(fault.Region),
		})
	}
	return faults
}

// rates converts the random faults.
func (s *Scenario) rates() []simulation.FaultRate {
	rates := make([]simulation.FaultRate, 0, len(s.FaultRates))
	for _, rate := range s.FaultRates {
		rates = append(rates, simulation.FaultRate{Kind: rate.Kind, PerDay: rate.PerDay, Duration: rate.Duration})
	}
	return rates
}
