package catalog

import (
	"math"
	"strings"
	"testing"
	"time"
)

func testConfiguration() Configuration {
	return Configuration{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "h.example", PathPrefix: "/", Targets: []Target{{Service: "plain", Weight: 1}}},
			{Name: "deep", Host: "h.example", PathPrefix: "/a/b/", Targets: []Target{{Service: "engine", Weight: 90}, {Service: "plain", Weight: 10}}},
			{Name: "mid", Host: "H.example", PathPrefix: "/a/", Targets: []Target{{Service: "plain", Weight: 1}}},
		},
		Services: []Service{
			{Name: "plain"},
			{Name: "engine", Engine: &Engine{Slots: 64, MemoryBytes: 100, Models: []ModelSpec{
				{Name: "m2", Bytes: 40}, {Name: "m1", Bytes: 50, Adapters: 2, AdapterBytes: 1, LoadTime: time.Second},
			}}},
		},
	}
}

// With overlapping prefixes, the longest match must win whatever the order of the
// routes, so that a general route does not shadow a specific one.
func TestFindReturnsRouteWithLongestPrefix(t *testing.T) {
	compiled, err := testConfiguration().Compile()
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"/a/b/c": "deep", "/a/x": "mid", "/a": "all", "/": "all"} {
		if route := compiled.Table.Find("h.example:80", path); route == nil || route.Name != want {
			t.Errorf("route of %s: %v, want %s", path, route, want)
		}
	}
	if route := compiled.Table.Find("other.example", "/a/"); route != nil {
		t.Errorf("Find returned route %s for a host without routes", route.Name)
	}
}

// Placement reads the snapshot alone: a service, model or adapter that is missing
// from it would never be loaded.
func TestSnapshotContainsServicesModelsAndAdapters(t *testing.T) {
	compiled, err := testConfiguration().Compile()
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"plain", "engine/m1", "engine/m2", "engine/m1/a1", "engine/m1/a2"} {
		service, model, adapter := Split(AdapterID("engine", "m1", "a1"))
		if service != "engine" || model != "m1" || adapter != "a1" {
			t.Fatalf("Split returned %s, %s, %s", service, model, adapter)
		}
		found := false
		for i := range compiled.Snapshot.Models {
			found = found || string(compiled.Snapshot.Models[i].ID) == id
		}
		if !found {
			t.Errorf("%s is not in the snapshot", id)
		}
	}
	if len(compiled.Snapshot.Models) != 5 || compiled.Snapshot.Model("engine/m1/a2").Base != "engine/m1" {
		t.Errorf("%d models, want 5 with adapters that name their base", len(compiled.Snapshot.Models))
	}
	if spec := compiled.Service("engine").Model("m1"); spec == nil || spec.LoadTime != time.Second {
		t.Errorf("Model returned %+v", spec)
	}
}

// A target with a tenth of the weight must get about a tenth of the requests.
func TestPickFollowsTargetWeights(t *testing.T) {
	compiled, err := testConfiguration().Compile()
	if err != nil {
		t.Fatal(err)
	}
	route := compiled.Table.Find("h.example", "/a/b/")
	const requests = 300
	plain := 0
	for n := range requests {
		_, draw := math.Modf(float64(n) * (math.Sqrt(5) - 1) / 2)
		if route.PickService(draw) == "plain" {
			plain++
		}
	}
	if plain < 27 || plain > 33 {
		t.Errorf("%d of %d requests went to the target with a tenth of the weight", plain, requests)
	}
}

// An invalid configuration must be rejected with an error that names the object
// and the reason.
func TestInvalidConfigurationIsRejectedWithReason(t *testing.T) {
	cases := map[string]struct {
		change func(*Configuration)
		want   string
	}{
		"no service":       {func(c *Configuration) { c.Routes[0].Targets = nil }, "route all: has no target service"},
		"unknown service":  {func(c *Configuration) { c.Routes[0].Targets[0].Service = "x" }, `route all: service "x" does not exist`},
		"negative weight":  {func(c *Configuration) { c.Routes[0].Targets[0].Weight = -1 }, "weight of plain is negative"},
		"nameless service": {func(c *Configuration) { c.Services[0].Name = "" }, "services[0].name: must not be empty"},
	}
	for name, test := range cases {
		configuration := testConfiguration()
		test.change(&configuration)
		if _, err := configuration.Compile(); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: error %v, want %q", name, err, test.want)
		}
	}
}
