package hollow

import (
	"reflect"
	"testing"
	"time"
)

func smallMembership() MembershipOptions {
	return MembershipOptions{
		Nodes: 24, Regions: 2, Zones: 4, Seed: 1, Loss: 0.01, Duration: 2 * time.Minute,
		CrashInterval: 10 * time.Second, DownTime: 45 * time.Second,
		PauseInterval: 10 * time.Second, PauseMean: 3 * time.Second, PauseMax: 20 * time.Second,
	}
}

func TestMembershipUnderFaults(t *testing.T) {
	report := MeasureMembership(smallMembership())
	if report.Crashes == 0 || report.LongPauses == 0 {
		t.Fatalf("no faults: %+v", report)
	}
	if report.Missed != 0 || report.FalseDeaths != 0 || report.StillWrong != 0 {
		t.Errorf("missed %d, falsely given up %d, still wrong %d", report.Missed, report.FalseDeaths, report.StillWrong)
	}
	if got := report.Anywhere.Max(); got > 30*time.Second {
		t.Errorf("a crash was noticed after %v of virtual time", got)
	}
}

func TestEqualSeedsMeasureEqually(t *testing.T) {
	first, second := MeasureMembership(smallMembership()), MeasureMembership(smallMembership())
	first.Usage.Processor, second.Usage.Processor = 0, 0
	if !reflect.DeepEqual(first, second) {
		t.Error("two runs with one seed differ")
	}
}

func smallSpread(scheme Scheme) SpreadOptions {
	return SpreadOptions{
		Scheme: scheme, Nodes: 24, Regions: 3, Zones: 6, Seed: 1, Loss: 0.01, Duration: 4 * time.Minute,
		EditInterval: 15 * time.Second, BurstInterval: time.Minute, BurstTime: 4 * time.Second, BurstEdits: 10,
		Models: 4, Adapters: 40, Faults: true, RestartInterval: 20 * time.Second,
		PauseInterval: 15 * time.Second, PauseMean: 3 * time.Second,
		OutageTime: 30 * time.Second, CutTime: 30 * time.Second, EventsPerSecond: 200,
	}
}

// TestSpreadUnderFaults holds the users' promise on virtual time: in force
// everywhere within 13 s, cut-off regions aside, and never back.
func TestSpreadUnderFaults(t *testing.T) {
	const promised = 13 * time.Second
	for _, scheme := range []Scheme{SchemeDelta, SchemeDeltaPull, SchemeSnapshot} {
		report, err := MeasureSpread(smallSpread(scheme))
		if err != nil {
			t.Fatal(err)
		}
		if report.Edits == 0 || len(report.InForce) == 0 || len(report.CutOff) == 0 || len(report.Started) == 0 {
			t.Fatalf("%s: nothing measured: %+v", scheme, report)
		}
		if report.Behind != 0 || report.StepsBack != 0 {
			t.Errorf("%s: %d nodes behind, %d steps back", scheme, report.Behind, report.StepsBack)
		}
		for name, durations := range map[string]Durations{
			"in force": report.InForce, "after the cut": report.CutOff,
			"new process": report.Started, "new process in the outage": report.StartedInOutage,
		} {
			if got := durations.Max(); got > promised {
				t.Errorf("%s: %s after %v", scheme, name, got)
			}
		}
	}
}

// TestNeighbouringVersionsWorkTogether mixes nodes of two versions, as during an
// upgrade.
func TestNeighbouringVersionsWorkTogether(t *testing.T) {
	members := smallMembership()
	members.OldVersion = 0.5
	if report := MeasureMembership(members); report.Crashes == 0 || report.Missed != 0 || report.FalseDeaths != 0 || report.StillWrong != 0 {
		t.Errorf("%d crashes, missed %d, falsely given up %d, still wrong %d",
			report.Crashes, report.Missed, report.FalseDeaths, report.StillWrong)
	}
	spread := smallSpread(SchemeDelta)
	spread.OldVersion = 0.5
	report, err := MeasureSpread(spread)
	if err != nil {
		t.Fatal(err)
	}
	if report.Edits == 0 || report.Behind != 0 || report.StepsBack != 0 {
		t.Errorf("%d edits, %d nodes behind, %d steps back", report.Edits, report.Behind, report.StepsBack)
	}
}

// TestWatchingLeavesNewProcessesWithout shows what the comparison is about: with
// every node at the key-value service, one that starts in its outage waits.
func TestWatchingLeavesNewProcessesWithout(t *testing.T) {
	report, err := MeasureSpread(smallSpread(SchemeWatch))
	if err != nil {
		t.Fatal(err)
	}
	if got := report.StartedInOutage.Max(); got < 5*time.Second {
		t.Errorf("a process that started in the outage waited only %v", got)
	}
}
