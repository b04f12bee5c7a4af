package experiment

import (
	"runtime"
	"testing"
)

// faultSeeds are the fixed seeds of the fault campaign in tests.
const faultSeeds = 6

func TestFaultsBreakNoPromise(t *testing.T) {
	scenario, err := Load("faults")
	if err != nil {
		t.Fatal(err)
	}
	campaign := Campaign{Scenario: scenario, FirstSeed: 1, Seeds: faultSeeds, Workers: 2}
	report, err := campaign.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, failing := range report.Failing {
		t.Errorf("seed %d: %v", failing.Seed, failing.Violations)
	}
	if report.Served < report.Arrived/2 || report.Events == 0 || len(report.Faults) < 10 {
		t.Errorf("the campaign did too little: %d of %d served, %d events, faults %v", report.Served, report.Arrived, report.Events, report.Faults)
	}
}

func TestWorldRepeatsItselfBySeed(t *testing.T) {
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
