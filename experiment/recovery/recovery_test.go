package recovery

import (
	"context"
	"testing"

	"github.com/valveslip/valveslip/experiment"
)

// TestMeasureReportsRecoveryWithoutViolations guards against a fault after which the controllers or loads do not
// recover, and against a key-value outage in which fewer requests are served than refused.
func TestMeasureReportsRecoveryWithoutViolations(t *testing.T) {
	scenario, err := experiment.Load("faults")
	if err != nil {
		t.Fatal(err)
	}
	reports, err := Measure(context.Background(), Options{Scenario: scenario, Seeds: 1, Workers: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, report := range reports {
		if report.Violations > 0 {
			t.Errorf("%s: %d violations", report.Name, report.Violations)
		}
		if len(report.Times) == 0 {
			t.Errorf("%s: no trial measured %q", report.Name, report.Measure)
		}
	}
	outage := reports[len(reports)-1]
	if outage.Served <= outage.Refused {
		t.Errorf("%d served, %d refused during the outage", outage.Served, outage.Refused)
	}
}
