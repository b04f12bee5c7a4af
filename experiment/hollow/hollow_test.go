package hollow

import (
	"reflect"
	"testing"
	"time"
)

// smallMembershipOptions returns options for a short run with 24 nodes, crashes and pauses.
func smallMembershipOptions() MembershipOptions {
	return MembershipOptions{
		Nodes: 24, Regions: 2, Zones: 4, Seed: 1, Loss: 0.01, Duration: 2 * time.Minute,
		CrashInterval: 10 * time.Second, DownTime: 45 * time.Second,
		PauseInterval: 10 * time.Second, PauseMean: 3 * time.Second, PauseMax: 20 * time.Second,
	}
}

// TestMembershipDetectsCrashesWithoutFalseDeaths guards against crashes that a node does not detect in time and
// against running nodes that are declared dead.
func TestMembershipDetectsCrashesWithoutFalseDeaths(t *testing.T) {
	report := MeasureMembership(smallMembershipOptions())
	if report.Crashes == 0 || report.LongPauses == 0 {
		t.Fatalf("no faults: %+v", report)
	}
	if report.Missed != 0 || report.FalseDeaths != 0 || report.StillWrong != 0 {
		t.Errorf("%d crashes missed, %d nodes falsely declared dead, %d wrong beliefs at the end", report.Missed, report.FalseDeaths, report.StillWrong)
	}
	if got := report.Anywhere.Max(); got > 30*time.Second {
		t.Errorf("a crash was detected after %v of virtual time", got)
	}
}

// TestMeasureMembershipIsDeterministicForASeed guards against dependence on map order or real time.
func TestMeasureMembershipIsDeterministicForASeed(t *testing.T) {
	first, second := MeasureMembership(smallMembershipOptions()), MeasureMembership(smallMembershipOptions())
	first.Usage.Processor, second.Usage.Processor = 0, 0
	if !reflect.DeepEqual(first, second) {
		t.Error("two runs with one seed differ")
	}
}

// smallSpreadOptions returns options for a short run with 24 nodes, edits and faults.
func smallSpreadOptions(scheme Scheme) SpreadOptions {
	return SpreadOptions{
		Scheme: scheme, Nodes: 24, Regions: 3, Zones: 6, Seed: 1, Loss: 0.01, Duration: 4 * time.Minute,
		EditInterval: 15 * time.Second, BurstInterval: time.Minute, BurstTime: 4 * time.Second, BurstEdits: 10,
		Models: 4, Adapters: 40, Faults: true, RestartInterval: 20 * time.Second,
		PauseInterval: 15 * time.Second, PauseMean: 3 * time.Second,
		OutageTime: 30 * time.Second, PartitionTime: 30 * time.Second, EventsPerSecond: 200,
	}
}

// TestEditsReachAllNodesInTimeUnderFaults guards the limit of 13 s from an edit to its activation
// on every node, and that no node returns to an older revision. Nodes in a partitioned region are
// measured from the end of the partition.
func TestEditsReachAllNodesInTimeUnderFaults(t *testing.T) {
	const maxActivationDelay = 13 * time.Second
	for _, scheme := range []Scheme{SchemeDelta, SchemeDeltaPull, SchemeSnapshot} {
		report, err := MeasureSpread(smallSpreadOptions(scheme))
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
			"in force": report.InForce, "after the partition": report.CutOff,
			"new process": report.Started, "new process in the outage": report.StartedInOutage,
		} {
			if got := durations.Max(); got > maxActivationDelay {
				t.Errorf("%s: %s after %v", scheme, name, got)
			}
		}
	}
}

// TestMixedSchemaVersionsInteroperate guards against incompatible message schemas by mixing nodes
// of two versions, as during an upgrade.
func TestMixedSchemaVersionsInteroperate(t *testing.T) {
	members := smallMembershipOptions()
	members.PreviousVersionShare = 0.5
	if report := MeasureMembership(members); report.Crashes == 0 || report.Missed != 0 || report.FalseDeaths != 0 || report.StillWrong != 0 {
		t.Errorf("%d crashes, %d missed, %d nodes falsely declared dead, %d wrong beliefs at the end",
			report.Crashes, report.Missed, report.FalseDeaths, report.StillWrong)
	}
	spread := smallSpreadOptions(SchemeDelta)
	spread.PreviousVersionShare = 0.5
	report, err := MeasureSpread(spread)
	if err != nil {
		t.Fatal(err)
	}
	if report.Edits == 0 || report.Behind != 0 || report.StepsBack != 0 {
		t.Errorf("%d edits, %d nodes behind, %d steps back", report.Edits, report.Behind, report.StepsBack)
	}
}

// TestWatchSchemeDelaysProcessesStartedInOutage guards the comparison of the schemes: if every node
// watches the key-value service, a process that starts during an outage has to wait for its end.
func TestWatchSchemeDelaysProcessesStartedInOutage(t *testing.T) {
	report, err := MeasureSpread(smallSpreadOptions(SchemeWatch))
	if err != nil {
		t.Fatal(err)
	}
	if got := report.StartedInOutage.Max(); got < 5*time.Second {
		t.Errorf("a process that started in the outage waited only %v", got)
	}
}
