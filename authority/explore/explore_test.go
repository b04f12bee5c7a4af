package explore

import (
	"context"
	"strings"
	"testing"
)

// stateBound is the number of states explored of each scenario in continuous integration.
const stateBound = 8_000

// exploreFunc explores one scenario of a type.
type exploreFunc[S any] func(context.Context, S, Variant) (Result, error)

// requireSafe explores scenarios in the correct environment, none of which may have a
// violation, and returns the number of states.
func requireSafe[S any](t *testing.T, explore exploreFunc[S], scenarios []S) int {
	t.Helper()
	total := 0
	for _, scenario := range scenarios {
		result, err := explore(context.Background(), scenario, VariantNone)
		if err != nil {
			t.Fatal(err)
		}
		t.Log(result.String())
		total += result.States
		if result.Violation != "" {
			t.Errorf("%s:\n%s", result.Violation, strings.Join(result.Trace, "\n"))
		}
	}
	t.Logf("%d states", total)
	return total
}

// requireViolation explores each defect in its scenario, which must cause a violation.
func requireViolation[S any](t *testing.T, explore exploreFunc[S], scenarios []S, name func(S) string, defects []Defect) {
	t.Helper()
	for _, defect := range defects {
		found := false
		for _, scenario := range scenarios {
			if name(scenario) != defect.Scenario {
				continue
			}
			found = true
			result, err := explore(context.Background(), scenario, defect.Variant)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(result.String())
			if result.Violation == "" {
				t.Errorf("variant %q causes no violation", defect.Variant)
			}
		}
		if !found {
			t.Errorf("no scenario is called %q", defect.Scenario)
		}
	}
}

// TestTakeoverExceedsNoLimit guards against more replicas or memory than allowed after any
// takeover of a zone. It also fails when so few states are reachable that the exploration
// shows nothing.
func TestTakeoverExceedsNoLimit(t *testing.T) {
	if total := requireSafe(t, Takeover, Scenarios(stateBound)); total < stateBound {
		t.Errorf("only %d states were explored, want at least the bound of one scenario", total)
	}
}

// TestBrokenTakeoverVariantsCauseViolations guards against checks that cannot fail: each
// broken variant of the takeover must lead to a violation.
func TestBrokenTakeoverVariantsCauseViolations(t *testing.T) {
	requireViolation(t, Takeover, Scenarios(40*stateBound), func(s Scenario) string { return s.Name }, Defects())
}

// TestExplorationIsDeterministic guards against results and traces that depend on the
// number of processors or the order of maps.
func TestExplorationIsDeterministic(t *testing.T) {
	scenario := Scenarios(stateBound)[0]
	first, err := Takeover(context.Background(), scenario, VariantNoSealing)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Takeover(context.Background(), scenario, VariantNoSealing)
	if err != nil {
		t.Fatal(err)
	}
	if first.String() != second.String() || strings.Join(first.Trace, "\n") != strings.Join(second.Trace, "\n") {
		t.Errorf("two runs differ:\n%s\n%s", first.String(), second.String())
	}
}

// TestApportioningExceedsNoLimit guards against more replicas than decided over all zones,
// with several apportioners, takeovers, restarts and zones that leave.
func TestApportioningExceedsNoLimit(t *testing.T) {
	requireSafe(t, Apportioning, ApportionScenarios(stateBound))
}

// TestBrokenApportioningVariantsCauseViolations guards against checks that cannot fail:
// each broken variant of apportioning must lead to a violation.
func TestBrokenApportioningVariantsCauseViolations(t *testing.T) {
	requireViolation(t, Apportioning, ApportionScenarios(40*stateBound), func(s ApportionScenario) string { return s.Name }, ApportionDefects())
}
