package experiment

import (
	"runtime"
	"testing"
)

// campaignSeeds is the number of seeds of the fault campaign.
const campaignSeeds = 6

// TestCampaignWithFaultsHasNoViolations guards the guarantees that the checkers watch, under random faults of many
// kinds.
func TestCampaignWithFaultsHasNoViolations(t *testing.T) {
	scenario, err := Load("faults")
	if err != nil {
		t.Fatal(err)
	}
	campaign := Campaign{Scenario: scenario, FirstSeed: 1, Seeds: campaignSeeds, Workers: 2}
	report, err := campaign.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, failing := range report.Failing {
		t.Errorf("seed %d: %v", failing.Seed, failing.Violations)
	}
	if report.Served < report.Arrived/2 || report.Events == 0 || len(report.Faults) < 10 {
		t.Errorf("the campaign exercised too little: %d of %d served, %d events, faults %v", report.Served, report.Arrived, report.Events, report.Faults)
	}
}

// TestRunWorldIsDeterministicForASeed guards against dependence on goroutine scheduling, by comparing a run on all
// processors with one on a single processor.
func TestRunWorldIsDeterministicForASeed(t *testing.T) {
	scenario, err := Load("faults")
	if err != nil {
		t.Fatal(err)
	}
	policies, err := ParsePolicies("adaptive")
	if err != nil {
		t.Fatal(err)
	}
	run := func(seed uint64) *WorldReport {
		report, err := RunWorld(scenario, policies[0], seed, WorldOptions{Faults: true, EncodeMessages: true})
		if err != nil {
			t.Fatal(err)
		}
		return report
	}
	first := run(3)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	again := run(3)
	if first.Hash != again.Hash || first.Events != again.Events || first.Served != again.Served {
		t.Errorf("one seed gave hashes %x and %x, %d and %d events", first.Hash, again.Hash, first.Events, again.Events)
	}
	if other := run(4); other.Hash == first.Hash {
		t.Error("two seeds have the same event log hash")
	}
}
