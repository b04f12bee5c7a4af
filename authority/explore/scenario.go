package explore

import "slices"

// unboundedDepth exceeds the number of steps of any run of these scenarios.
const unboundedDepth = 1000

// Scenarios returns the takeover scenarios that continuous integration explores. Each is
// explored breadth first until it has reached the given number of states.
func Scenarios(states int) []Scenario {
	scenarios := []Scenario{
		{Name: "takeover", Controllers: 2, Machines: 2, Limits: []int{1}, Memory: 1, Lapses: 1, Faults: 1},
		{Name: "two takeovers, two faults", Controllers: 2, Machines: 2, Limits: []int{1}, Memory: 1, Lapses: 2, Faults: 2},
		{Name: "three controllers", Controllers: 3, Machines: 2, Limits: []int{1}, Memory: 1, Lapses: 2},
		{Name: "three machines, two replicas", Controllers: 2, Machines: 3, Limits: []int{2}, Memory: 1, Lapses: 1},
		{Name: "engine restarts", Controllers: 2, Machines: 2, Limits: []int{1}, Memory: 1, Lapses: 1, EngineRestarts: 1},
		{Name: "engine restarts, token kept", Controllers: 2, Machines: 2, Limits: []int{1}, Memory: 1, Lapses: 1, EngineRestarts: 1, KeepTokens: true},
		{Name: "controller restarts", Controllers: 2, Machines: 2, Limits: []int{1}, Memory: 1, Lapses: 1, Faults: 1, NodeRestarts: 2},
		{Name: "key-value outage", Controllers: 2, Machines: 2, Limits: []int{1}, Memory: 1, Lapses: 1, EngineRestarts: 1, Outages: 1},
		{Name: "memory", Controllers: 2, Machines: 1, Limits: []int{1, 1}, Memory: 1, Lapses: 1, Faults: 1, Unloads: 1},
		{Name: "machine joins", Controllers: 2, Machines: 1, Joining: 1, Limits: []int{1}, Memory: 1, Lapses: 1},
		{Name: "machine leaves", Controllers: 2, Machines: 2, Limits: []int{1}, Memory: 1, Lapses: 2, Leaves: 1},
	}
	for i := range scenarios {
		scenarios[i].Depth, scenarios[i].States = unboundedDepth, states
	}
	return scenarios
}

// Defect is a broken variant and the scenario in which it must cause a violation.
type Defect struct {
	Variant  Variant
	Scenario string
}

// Defects returns the broken variants of the takeover.
func Defects() []Defect {
	return []Defect{
		{VariantNoSealing, "takeover"},
		{VariantAssumeSealed, "takeover"},
		{VariantTrustLostAnswers, "takeover"},
		{VariantNoReservation, "memory"},
		{VariantFreshEngines, "engine restarts"},
		{VariantEndlessLease, "engine restarts"},
		{VariantEndlessLease, "machine joins"},
		{VariantListedOnly, "machine joins"},
	}
}

// ApportionScenarios returns the scenarios of apportioning, each bounded to the given number
// of states.
func ApportionScenarios(states int) []ApportionScenario {
	singleMaximum := slices.Clip([]ApportionEdit{{1, []int{0}}, {1, []int{1}}})
	changingMaximum := []ApportionEdit{{2, []int{0, 1}}, {2, []int{1, 2}}, {1, []int{0, 2}}}
	scenarios := []ApportionScenario{
		{Name: "one apportioner", Apportioners: 1, Zones: 2, Settled: true, Edits: singleMaximum, Takeovers: 1},
		{Name: "two apportioners", Apportioners: 2, Zones: 2, Edits: singleMaximum, Takeovers: 1},
		{Name: "edited back", Apportioners: 2, Zones: 2, Settled: true, Edits: append(singleMaximum, singleMaximum[0])},
		{Name: "three zones", Apportioners: 2, Zones: 3, Settled: true, Edits: changingMaximum},
		{Name: "there and back", Apportioners: 2, Zones: 2, Settled: true, Edits: append(singleMaximum, singleMaximum[0], singleMaximum[1]), Takeovers: 1, Restarts: 1},
		{Name: "a zone goes", Apportioners: 1, Zones: 2, Settled: true, Edits: []ApportionEdit{{1, []int{0, 1}}}, Leaves: 1, Lapses: 2, Restarts: 1},
	}
	for i := range scenarios {
		scenarios[i].Depth, scenarios[i].States = unboundedDepth, states
	}
	return scenarios
}

// ApportionDefects returns the broken variants of apportioning.
func ApportionDefects() []Defect {
	return []Defect{
		{VariantNoEscrow, "one apportioner"},
		{VariantEndlessLease, "one apportioner"},
		{VariantNoGuard, "edited back"},
	}
}
