package experiment

import (
	"errors"
	"fmt"

	"github.com/valveslip/valveslip/simulation"
)

// problems collects errors with the path of the value they concern.
type problems struct{ list []error }

// require adds an error unless the condition holds.
func (p *problems) require(holds bool, path, format string, arguments ...any) {
	if !holds {
		p.list = append(p.list, fmt.Errorf("%s: %s", path, fmt.Sprintf(format, arguments...)))
	}
}

// Validate returns every problem of the scenario, joined, or nil.
func (s *Scenario) Validate() error {
	var found problems
	found.require(s.Name != "", "name", "is missing")
	found.require(s.Duration > 0, "duration", "must be positive")
	found.require(s.Warmup >= 0, "warmup", "must not be negative")
	found.require(len(s.Zones) > 0, "zones", "at least one is needed")
	found.require(s.Store.StartsPerSecond > 0, "store.starts_per_second", "must be positive")
	found.require(s.Store.Concurrency > 0, "store.concurrency", "must be positive")
	found.require(s.Store.Rate > 0, "store.rate", "must be positive")
	s.validateZones(&found)
	s.validateWorkers(&found)
	s.validateModels(&found)
	s.validateTraffic(&found)
	s.validateFaults(&found)
	return errors.Join(found.list...)
}

func (s *Scenario) validateZones(found *problems) {
	seen := map[string]bool{}
	for i, zone := range s.Zones {
		path := fmt.Sprintf("zones[%d]", i)
		found.require(zone.Name != "" && !seen[zone.Name], path+".name", "must be given once, is %q", zone.Name)
		found.require(zone.Region != "", path+".region", "is missing")
		found.require(zone.Nodes >= 1 && zone.Nodes <= 10_000, path+".nodes", "must be 1 to 10000, is %d", zone.Nodes)
		seen[zone.Name] = true
	}
}

func (s *Scenario) validateWorkers(found *problems) {
	for i, worker := range s.Workers {
		path := fmt.Sprintf("workers[%d]", i)
		found.require(worker.Pool != "", path+".pool", "is missing")
		found.require(worker.Count > 0, path+".count", "must be positive")
		found.require(worker.Accelerators > 0, path+".accelerators", "must be positive")
		found.require(worker.Memory > 0, path+".memory", "must be positive")
		found.require(worker.Slots > 0, path+".slots", "must be positive")
		found.require(worker.DiskRate > 0 && worker.HostRate > 0, path, "disk_rate and host_rate must be positive")
		found.require(worker.PrefillRate > 0, path+".prefill_rate", "must be positive")
		found.require(worker.TokenTime > 0, path+".token_time", "must be positive")
	}
	found.require(len(s.Workers) > 0, "workers", "at least one class is needed")
}

func (s *Scenario) validateModels(found *problems) {
	pools := map[string]Bytes{}
	for _, worker := range s.Workers {
		pools[worker.Pool] = max(pools[worker.Pool], worker.Memory)
	}
	for i, group := range s.Models {
		path := fmt.Sprintf("models[%d]", i)
		memory, ok := pools[group.Pool]
		found.require(group.Name != "", path+".name", "is missing")
		found.require(ok, path+".pool", "no workers have the pool %q", group.Pool)
		found.require(group.Count > 0, path+".count", "must be positive")
		found.require(group.Memory.Least > 0 && group.Memory.Most >= group.Memory.Least, path+".memory", "needs least <= most")
		found.require(group.Memory.Most <= memory, path+".memory", "does not fit a machine of the pool")
		found.require(group.Adapters == 0 || group.AdapterMemory.Least > 0 && group.AdapterMemory.Most >= group.AdapterMemory.Least,
			path+".adapter_memory", "needs least <= most")
		found.require(share(group.OnDisk) && share(group.InHost), path, "on_disk and in_host must be 0 to 1")
	}
	found.require(len(s.Models) > 0, "models", "at least one group is needed")
}

// share reports whether the value is a probability.
func share(value float64) bool { return value >= 0 && value <= 1 }

func (s *Scenario) validateTraffic(found *problems) {
	groups := map[string]bool{}
	for _, group := range s.Models {
		groups[group.Name] = true
	}
	for i := range s.Traffic {
		traffic := &s.Traffic[i]
		path := fmt.Sprintf("traffic[%d]", i)
		found.require(traffic.Name != "", path+".name", "is missing")
		found.require(groups[traffic.Models], path+".models", "no group is named %q", traffic.Models)
		found.require(traffic.Target == "" || traffic.Target == targetModels || traffic.Target == targetAdapters || traffic.Target == targetAll,
			path+".target", "%q is not models, adapters or all", traffic.Target)
		found.require(traffic.Deadline > 0, path+".deadline", "must be positive")
		found.require(traffic.PromptTokens > 0 && traffic.Tokens > 0, path, "prompt_tokens and tokens must be positive")
		found.require(traffic.Requests <= 1 || traffic.Think > 0, path+".think", "is needed when a session has several requests")
		traffic.validateShape(found, path)
	}
}

func (t *Traffic) validateShape(found *problems, path string) {
	hours := t.From >= 0 && t.From < t.To && t.To <= 24
	switch t.Shape {
	case ShapePeriodic:
		found.require(t.Period > 0, path+".period", "must be positive")
		found.require(t.Jitter >= 0 && t.Jitter < t.Period, path+".jitter", "must be less than the period")
		return
	case ShapeWindow:
		found.require(hours, path, "needs 0 <= from < to <= 24")
	case ShapeWakeup:
		found.require(hours, path, "needs 0 <= from < to <= 24")
		found.require(share(t.Share) && t.Awake > 0, path, "needs share and awake")
	case ShapeDiurnal:
		found.require(share(t.Floor) && t.Peak >= 0 && t.Peak < 24, path, "needs floor and peak")
	case ShapeSteady:
	default:
		found.require(false, path+".shape", "%q is unknown", t.Shape)
	}
	found.require(t.SessionsPerDay > 0, path+".sessions_per_day", "must be positive")
}

func (s *Scenario) validateFaults(found *problems) {
	known := map[simulation.FaultKind]bool{}
	for _, kind := range simulation.FaultKinds() {
		known[kind] = true
	}
	for i, fault := range s.Faults {
		path := fmt.Sprintf("faults[%d]", i)
		found.require(known[fault.Kind], path+".kind", "%q is unknown", fault.Kind)
		found.require(fault.After >= 0 && fault.Duration >= 0, path, "times must not be negative")
	}
	for i, rate := range s.FaultRates {
		path := fmt.Sprintf("fault_rates[%d]", i)
		found.require(known[rate.Kind], path+".kind", "%q is unknown", rate.Kind)
		found.require(rate.PerDay > 0, path+".per_day", "must be positive")
	}
}
