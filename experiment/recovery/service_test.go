package recovery

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/experiment"
)

// TestServiceRecoversWithinTimeBounds guards the documented recovery times. Times are virtual, so
// the same seed gives the same times in every run.
func TestServiceRecoversWithinTimeBounds(t *testing.T) {
	scenario, err := experiment.Load("recovery")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		fault                    Fault
		planning, underWay, here time.Duration
	}{
		{FaultNone, 2 * time.Second, 8 * time.Second, 8 * time.Second},
		{FaultControllerCrash, 7 * time.Second, 8 * time.Second, 13 * time.Second},
		{FaultControllerPause, 7 * time.Second, 8 * time.Second, 13 * time.Second},
		{FaultControllerStop, 2 * time.Second, 8 * time.Second, 8 * time.Second},
		{FaultApportionerCrash, 7 * time.Second, 8 * time.Second, 13 * time.Second},
		{FaultEngineCrash, 2 * time.Second, 45 * time.Second, 8 * time.Second},
		{FaultReclaimNotice, 2 * time.Second, 20 * time.Second, 8 * time.Second},
	} {
		t.Run(string(test.fault), func(t *testing.T) {
			t.Parallel()
			times, err := measureService(scenario, test.fault, 1)
			if err != nil {
				t.Fatal(err)
			}
			if times.violationCount > 0 {
				t.Errorf("%d violations, first %v", times.violationCount, times.Violations[0])
			}
			for _, measured := range []struct {
				name         string
				value, bound time.Duration
			}{
				{"time without plan", times.Planning, test.planning},
				{"load under way", times.UnderWay, test.underWay},
				{"cold model of the zone", times.Here, test.here},
				{"cold model of any zone", times.Anywhere, test.here},
			} {
				if measured.value < 0 || measured.value > measured.bound {
					t.Errorf("%s: %s, want at most %s and not never", measured.name, measured.value, measured.bound)
				}
			}
		})
	}
}

// TestQuantilesExcludeMissingMeasurements guards against counting the negative value of a missing measurement as
// a short time.
func TestQuantilesExcludeMissingMeasurements(t *testing.T) {
	found := computeQuantiles([]time.Duration{3, -1, 1, 2, 4})
	if want := (Quantiles{P50: 2, P99: 4, Max: 4, Missing: 1}); found != want {
		t.Errorf("got %+v, want %+v", found, want)
	}
}
