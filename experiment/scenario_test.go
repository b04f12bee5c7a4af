package experiment

import (
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/simulation"
)

// TestBuiltinScenariosAreValid guards against a built-in scenario that does not parse or whose settings tree lacks models.
func TestBuiltinScenariosAreValid(t *testing.T) {
	if len(Names()) == 0 {
		t.Fatal("no scenario is embedded")
	}
	for _, name := range Names() {
		scenario, err := Load(name)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		models, err := buildModels(scenario, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(models.Snapshot.Models) != len(models.Members) {
			t.Errorf("%s: %d models in the tree, %d drawn", name, len(models.Snapshot.Models), len(models.Members))
		}
	}
}

// TestCustomerScenariosHaveRequiredSizes guards against unintended changes of the deployments that users described.
func TestCustomerScenariosHaveRequiredSizes(t *testing.T) {
	for _, test := range []struct {
		name                                       string
		zones, workers, models, adapters, parallel int
	}{
		{"dental", 3, 12, 50, 60, 8},
		{"claimworks", 4, 16, 65, 75, 11},
	} {
		scenario, err := Load(test.name)
		if err != nil {
			t.Fatal(err)
		}
		workers, models, adapters := 0, 0, 0
		for _, worker := range scenario.Workers {
			workers += worker.Count
		}
		for _, group := range scenario.Models {
			models, adapters = models+group.Count, adapters+group.Adapters
		}
		if len(scenario.Zones) != test.zones || workers != test.workers || models != test.models || adapters != test.adapters || scenario.Store.Concurrency != test.parallel {
			t.Errorf("%s: %d zones, %d workers, %d models, %d adapters, %d loads at once; want %+v",
				test.name, len(scenario.Zones), workers, models, adapters, scenario.Store.Concurrency, test)
		}
	}
}

// TestParseErrorNamesInvalidValue guards against errors that do not show which key of a scenario is invalid.
func TestParseErrorNamesInvalidValue(t *testing.T) {
	base, err := builtinScenarios.ReadFile("scenarios/dental.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ from, to, want string }{
		{"client_delay: 3ms", "client_deley: 3ms", "client_deley"},
		{"memory: 96GiB", "memory: 96", "needs a unit"},
		{"shape: diurnal", "shape: sawtooth", `traffic[0].shape: "sawtooth" is unknown`},
		{"pool: booking\n    count: 10", "pool: bookings\n    count: 10", `models[1].pool: no workers have the pool "bookings"`},
		{"concurrency: 8", "concurrency: 0", "store.concurrency: must be positive"},
	} {
		changed := strings.Replace(string(base), test.from, test.to, 1)
		if changed == string(base) {
			t.Fatalf("%q is not in the scenario", test.from)
		}
		_, err := Parse([]byte(changed))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q gave error %v, want it to name %q", test.to, err, test.want)
		}
	}
}

// TestTrafficIsOrderedAndDeterministicForASeed guards the order and reproducibility of arrivals, and the evening peak of
// the dental scenario.
func TestTrafficIsOrderedAndDeterministicForASeed(t *testing.T) {
	scenario, err := Load("dental")
	if err != nil {
		t.Fatal(err)
	}
	models, err := buildModels(scenario, nil)
	if err != nil {
		t.Fatal(err)
	}
	until := simulation.Epoch.Add(24 * time.Hour)
	read := func(seed uint64) []simulation.Arrival {
		source := newTrafficSource(scenario, models, seed, until)
		var all []simulation.Arrival
		for arrival, ok := source.Next(); ok; arrival, ok = source.Next() {
			all = append(all, arrival)
		}
		return all
	}
	first, again, other := read(1), read(1), read(2)
	evening := 0
	for i := range first {
		if i > 0 && first[i].At.Before(first[i-1].At) {
			t.Fatalf("arrival %d is earlier than its predecessor", i)
		}
		if !first[i].At.Equal(again[i].At) || first[i].Model != again[i].Model {
			t.Fatalf("arrival %d differs between two reads of one seed", i)
		}
		if hour := first[i].At.Sub(simulation.Epoch).Hours(); hour >= 17.5 && hour < 21 {
			evening++
		}
	}
	if len(first) != len(again) || len(first) == len(other) {
		t.Fatalf("%d, %d and %d arrivals by seeds 1, 1 and 2", len(first), len(again), len(other))
	}
	if evening < len(first)/3 {
		t.Errorf("%d of %d requests arrive in the evening peak, want at least a third", evening, len(first))
	}
}

// TestParsePoliciesRejectsUnknownNames guards against misspelled policies or parameters that are silently accepted.
func TestParsePoliciesRejectsUnknownNames(t *testing.T) {
	policies, err := ParsePolicies("adaptive,adaptive@0.3,always,fixed-5m,lru,oracle")
	if err != nil || len(policies) != 6 {
		t.Fatalf("%d policies, error %v", len(policies), err)
	}
	for _, wrong := range []string{"", "fixed", "fixed-five", "adaptive@2", "random"} {
		if _, err := ParsePolicies(wrong); err == nil {
			t.Errorf("policy %q is accepted", wrong)
		}
	}
}
