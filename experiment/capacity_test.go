package experiment

import (
	"math"
	"testing"
	"time"
)

// TestMeasureCapacityIsDeterministicForASeed guards the size of the two-year scenario, and against results that
// depend on map order or real time. Processor times are only checked to be positive.
func TestMeasureCapacityIsDeterministicForASeed(t *testing.T) {
	scenario, err := Load("two-year")
	if err != nil {
		t.Fatal(err)
	}
	whole := newCapacitySample(scenario)
	if whole.Nodes != 340 || whole.Zones != 18 || whole.Regions != 5 || whole.Workers != 1600 || whole.Models != 62 || whole.Adapters != 1600 {
		t.Fatalf("the two-year scenario has %+v", whole)
	}
	options := CapacityOptions{Settle: 20 * time.Second, Measure: 5 * time.Second, Edits: 2, EditInterval: time.Second, Seed: 1}
	first, err := MeasureCapacity(ScaleScenario(scenario, 2), 1, options)
	if err != nil {
		t.Fatal(err)
	}
	again, err := MeasureCapacity(ScaleScenario(scenario, 2), 1, options)
	if err != nil {
		t.Fatal(err)
	}
	if first.Hash != again.Hash || first.Shared.EngineCallsEach != again.Shared.EngineCallsEach {
		t.Errorf("two measurements differ: hashes %x and %x", first.Hash, again.Hash)
	}
	if first.Violations != 0 || first.ConfigurationMax <= 0 || first.Shared.EngineCallsEach <= 0 {
		t.Errorf("measured %+v", first)
	}
	for _, role := range []Role{RoleMember, RoleApportioner} {
		cost := first.Roles[role]
		if cost.Nodes == 0 || cost.Core <= 0 || cost.Memory <= 0 || cost.Sent != again.Roles[role].Sent {
			t.Errorf("%s: measured %+v", role, cost)
		}
	}
}

// TestFitLineAndBudgetCheck guards the extrapolation to the full size and its comparison with the budget.
func TestFitLineAndBudgetCheck(t *testing.T) {
	base, slope := fitLine([]float64{1, 2, 4}, []float64{5, 7, 11})
	if math.Abs(base-3) > 1e-9 || math.Abs(slope-2) > 1e-9 {
		t.Errorf("line is %g + %g x", base, slope)
	}
	for _, test := range []struct {
		row  CapacityRow
		over bool
	}{
		{CapacityRow{Whole: 4, Budget: 3.8}, true},
		{CapacityRow{Whole: 3, Budget: 3.8}, false},
		{CapacityRow{Whole: 4}, false},
	} {
		if test.row.Over() != test.over {
			t.Errorf("%+v over budget: %v", test.row, test.row.Over())
		}
	}
}
