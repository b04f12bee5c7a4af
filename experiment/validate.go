package experiment

import (
	"errors"
	"fmt"

	"github.com/valveslip/valveslip/simulation"
)

// validationErrors collects errors with the paths of the invalid values.
type validationErrors struct{ errs []error }

// require adds an error unless the condition holds.
func (p *validationErrors) require(holds bool, path, format string, arguments ...any) {
	if !holds {
		p.errs = append(p.errs, fmt.Errorf("%s: %s", path, fmt.Sprintf(format, arguments...)))
	}
}

// Validate returns all errors of the scenario, joined, or nil.
func (s *Scenario) Validate() error {
	var errs validationErrors
	errs.require(s.Name != "", "name", "is missing")
	errs.require(s.Duration > 0, "duration", "must be positive")
	errs.require(s.Warmup >= 0, "warmup", "must not be negative")
	errs.require(len(s.Zones) > 0, "zones", "at least one is needed")
	errs.require(s.Store.StartsPerSecond > 0, "store.starts_per_second", "must be positive")
	errs.require(s.Store.Concurrency > 0, "store.concurrency", "must be positive")
	errs.require(s.Store.Rate > 0, "store.rate", "must be positive")
	s.validateZones(&errs)
	s.validateWorkers(&errs)
	s.validateModels(&errs)
	s.validateTraffic(&errs)
	s.validateFaults(&errs)
	return errors.Join(errs.errs...)
}

func (s *Scenario) validateZones(errs *validationErrors) {
	seen := map[string]bool{}
	for i, zone := range s.Zones {
		path := fmt.Sprintf("zones[%d]", i)
		errs.require(zone.Name != "" && !seen[zone.Name], path+".name", "must be unique and not empty, is %q", zone.Name)
		errs.require(zone.Region != "", path+".region", "is missing")
		errs.require(zone.Nodes >= 1 && zone.Nodes <= 10_000, path+".nodes", "must be 1 to 10000, is %d", zone.Nodes)
		seen[zone.Name] = true
	}
}

func (s *Scenario) validateWorkers(errs *validationErrors) {
	for i, worker := range s.Workers {
		path := fmt.Sprintf("workers[%d]", i)
		errs.require(worker.Pool != "", path+".pool", "is missing")
		errs.require(worker.Count > 0, path+".count", "must be positive")
		errs.require(worker.Accelerators > 0, path+".accelerators", "must be positive")
		errs.require(worker.Memory > 0, path+".memory", "must be positive")
		errs.require(worker.Slots > 0, path+".slots", "must be positive")
		errs.require(worker.DiskRate > 0 && worker.HostRate > 0, path, "disk_rate and host_rate must be positive")
		errs.require(worker.PrefillRate > 0, path+".prefill_rate", "must be positive")
		errs.require(worker.TokenTime > 0, path+".token_time", "must be positive")
	}
	errs.require(len(s.Workers) > 0, "workers", "at least one class is needed")
}

func (s *Scenario) validateModels(errs *validationErrors) {
	pools := map[string]Bytes{}
	for _, worker := range s.Workers {
		pools[worker.Pool] = max(pools[worker.Pool], worker.Memory)
	}
	for i, group := range s.Models {
		path := fmt.Sprintf("models[%d]", i)
		memory, ok := pools[group.Pool]
		errs.require(group.Name != "", path+".name", "is missing")
		errs.require(ok, path+".pool", "no workers have the pool %q", group.Pool)
		errs.require(group.Count > 0, path+".count", "must be positive")
		errs.require(group.Memory.Least > 0 && group.Memory.Most >= group.Memory.Least, path+".memory", "needs least <= most")
		errs.require(group.Memory.Most <= memory, path+".memory", "does not fit a machine of the pool")
		errs.require(group.Adapters == 0 || group.AdapterMemory.Least > 0 && group.AdapterMemory.Most >= group.AdapterMemory.Least,
			path+".adapter_memory", "needs least <= most")
		errs.require(isFraction(group.OnDisk) && isFraction(group.InHost), path, "on_disk and in_host must be 0 to 1")
	}
	errs.require(len(s.Models) > 0, "models", "at least one group is needed")
}

// isFraction reports whether the value lies between 0 and 1.
func isFraction(value float64) bool { return value >= 0 && value <= 1 }

func (s *Scenario) validateTraffic(errs *validationErrors) {
	groups := map[string]bool{}
	for _, group := range s.Models {
		groups[group.Name] = true
	}
	for i := range s.Traffic {
		traffic := &s.Traffic[i]
		path := fmt.Sprintf("traffic[%d]", i)
		errs.require(traffic.Name != "", path+".name", "is missing")
		errs.require(groups[traffic.Models], path+".models", "no group is named %q", traffic.Models)
		errs.require(traffic.Target == "" || traffic.Target == targetModels || traffic.Target == targetAdapters || traffic.Target == targetAll,
			path+".target", "%q is not models, adapters or all", traffic.Target)
		errs.require(traffic.Deadline > 0, path+".deadline", "must be positive")
		errs.require(traffic.PromptTokens > 0 && traffic.Tokens > 0, path, "prompt_tokens and tokens must be positive")
		errs.require(traffic.Requests <= 1 || traffic.Think > 0, path+".think", "is needed when a session has several requests")
		traffic.validateShape(errs, path)
	}
}

func (t *Traffic) validateShape(errs *validationErrors, path string) {
	validHours := t.From >= 0 && t.From < t.To && t.To <= 24
	switch t.Shape {
	case ShapePeriodic:
		errs.require(t.Period > 0, path+".period", "must be positive")
		errs.require(t.Jitter >= 0 && t.Jitter < t.Period, path+".jitter", "must be less than the period")
		return
	case ShapeWindow:
		errs.require(validHours, path, "needs 0 <= from < to <= 24")
	case ShapeWakeup:
		errs.require(validHours, path, "needs 0 <= from < to <= 24")
		errs.require(isFraction(t.Share) && t.Awake > 0, path, "needs share and awake")
	case ShapeDiurnal:
		errs.require(isFraction(t.Floor) && t.Peak >= 0 && t.Peak < 24, path, "needs floor and peak")
	case ShapeSteady:
	default:
		errs.require(false, path+".shape", "%q is unknown", t.Shape)
	}
	errs.require(t.SessionsPerDay > 0, path+".sessions_per_day", "must be positive")
}

func (s *Scenario) validateFaults(errs *validationErrors) {
	known := map[simulation.FaultKind]bool{}
	for _, kind := range simulation.FaultKinds() {
		known[kind] = true
	}
	for i, fault := range s.Faults {
		path := fmt.Sprintf("faults[%d]", i)
		errs.require(known[fault.Kind], path+".kind", "%q is unknown", fault.Kind)
		errs.require(fault.After >= 0 && fault.Duration >= 0, path, "times must not be negative")
	}
	for i, rate := range s.FaultRates {
		path := fmt.Sprintf("fault_rates[%d]", i)
		errs.require(known[rate.Kind], path+".kind", "%q is unknown", rate.Kind)
		errs.require(rate.PerDay > 0, path+".per_day", "must be positive")
	}
}
