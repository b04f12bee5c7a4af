package recovery

import (
	"context"
	"reflect"
	"testing"

	"github.com/valveslip/valveslip/experiment"
)

func measured(t *testing.T, workers int) []Report {
	t.Helper()
	scenario, err := experiment.Load("faults")
	if err != nil {
		t.Fatal(err)
	}
	reports, err := Measure(context.Background(), Options{Scenario: scenario, Seeds: 2, Workers: workers})
	if err != nil {
		t.Fatal(err)
	}
	return reports
}

func TestControlRecoversFromEveryFault(t *testing.T) {
	reports := measured(t, 2)
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
	if again := measured(t, 1); !reflect.DeepEqual(reports, again) {
		t.Errorf("two runs differ:\n%+v\n%+v", reports, again)
	}
}
