package experiment

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// shortPlan returns a plan that measures half an hour of the dental scenario after a warm-up of
// nine hours.
func shortPlan(t *testing.T, workers int) *Plan {
	t.Helper()
	scenario, err := Load("dental")
	if err != nil {
		t.Fatal(err)
	}
	scenario.Warmup, scenario.Duration = 9*time.Hour, 30*time.Minute
	policies, err := ParsePolicies("fixed-5m,oracle")
	if err != nil {
		t.Fatal(err)
	}
	return &Plan{Scenarios: []*Scenario{scenario}, Policies: policies, FirstSeed: 1, Seeds: 1, Workers: workers}
}

// TestReportDoesNotDependOnWorkerCount guards against results that depend on the order in which concurrent runs end.
func TestReportDoesNotDependOnWorkerCount(t *testing.T) {
	var written [2][]byte
	for i, workers := range []int{1, 4} {
		measurements, err := shortPlan(t, workers).Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		directory := t.TempDir()
		if err := NewReport(measurements, "fixed-5m").Write(directory); err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"summary.csv", "samples.csv", "results.json"} {
			data, err := os.ReadFile(filepath.Join(directory, name))
			if err != nil {
				t.Fatal(err)
			}
			written[i] = append(written[i], data...)
		}
		page, err := os.ReadFile(filepath.Join(directory, "report.html"))
		if err != nil || bytes.Count(page, []byte("<svg")) != 6 || bytes.Contains(page, []byte("src=")) {
			t.Errorf("the page has %d plots, error %v", bytes.Count(page, []byte("<svg")), err)
		}
		requireOracleIsBest(t, measurements)
	}
	if !bytes.Equal(written[0], written[1]) {
		t.Error("one and four workers wrote different files")
	}
}

// requireOracleIsBest checks that no policy has fewer cold starts than the one that knows the
// arrivals.
func requireOracleIsBest(t *testing.T, measurements []*Measurement) {
	t.Helper()
	for _, m := range measurements {
		if m.Requests == 0 || m.Served == 0 {
			t.Errorf("%s seed %d measured nothing", m.Policy, m.Seed)
		}
		for _, oracle := range measurements {
			if oracle.Policy == "oracle" && oracle.Seed == m.Seed && m.Cold < oracle.Cold {
				t.Errorf("%s seed %d has %d cold starts, the oracle %d", m.Policy, m.Seed, m.Cold, oracle.Cold)
			}
		}
	}
}

// TestSpreadAndGoalsMatchKnownValues guards the interpolation of quantiles, and of the fixed keep-alives inside and
// outside the range of those that ran.
func TestSpreadAndGoalsMatchKnownValues(t *testing.T) {
	spread := computeSpread([]float64{5, 1, 3, 2, 4})
	if spread.Median != 3 || math.Abs(spread.Low-1.1) > 1e-9 || math.Abs(spread.High-4.9) > 1e-9 {
		t.Errorf("spread is %+v", spread)
	}
	summary := func(policy string, idle, cold float64) *Summary {
		return &Summary{Scenario: "s", Policy: policy, Metrics: map[string]Spread{
			"idle_hours": {Median: idle}, "cold_start_p99": {Median: cold},
		}}
	}
	goals := Goals([]*Summary{summary("fixed-1m", 10, 40), summary("fixed-5m", 30, 20), summary("own", 20, 15), summary("far", 90, 1)})
	if len(goals) != 2 || goals[0].AtEqualIdle != 0.5 || goals[0].AtEqualColdStart != 0 || goals[1].AtEqualIdle != 0 {
		t.Errorf("goals are %+v", goals)
	}
}
