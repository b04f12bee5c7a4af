package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/settings"
)

// Policy values for services that are configured outside the settings tree.
const (
	queueLength = 4096
	queueBytes  = 96 << 20
	// keepAlive is longer than any daily traffic cycle, because engines keep idle
	// models loaded until the memory is needed.
	keepAlive = 7 * 24 * time.Hour
	// coldStartWeight gives cold starts and idle memory equal weight.
	coldStartWeight = 0.5
	// maxReplicas is high enough that only the number of machines limits the
	// replicas of a model.
	maxReplicas = 1 << 20
)

// Compiled is a configuration in the form that routing and placement read. It is
// immutable.
type Compiled struct {
	Configuration
	Table    *Table
	Snapshot *settings.Snapshot
	services map[string]*Service
	tenants  map[string]*Tenant
}

// Service returns the service with the given name, or nil.
func (c *Compiled) Service(name string) *Service {
	if c == nil {
		return nil
	}
	return c.services[name]
}

// Model returns the service's model with the given name, or nil.
func (s *Service) Model(name string) *ModelSpec {
	if s == nil || s.Engine == nil {
		return nil
	}
	index, found := slices.BinarySearchFunc(s.Engine.Models, name, func(m ModelSpec, name string) int {
		return cmp.Compare(m.Name, name)
	})
	if !found {
		return nil
	}
	return &s.Engine.Models[index]
}

// Compile validates the configuration and compiles it. The configuration must not
// be changed afterwards.
func (c Configuration) Compile() (*Compiled, error) {
	compiled := &Compiled{Configuration: c, services: make(map[string]*Service, len(c.Services))}
	for i := range c.Services {
		service := &compiled.Services[i]
		if service.Name == "" {
			return nil, eris.Errorf("services[%d].name: must not be empty", i)
		}
		if service.Engine != nil {
			slices.SortFunc(service.Engine.Models, func(a, b ModelSpec) int { return cmp.Compare(a.Name, b.Name) })
		}
		compiled.services[service.Name] = service
	}
	for i := range c.Routes {
		if err := compiled.validateRoute(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	tokens, err := compiled.indexTenants()
	if err != nil {
		return nil, err
	}
	compiled.Table = newTable(compiled.Routes)
	compiled.Snapshot = compiled.snapshot(tokens)
	return compiled, nil
}

// validateRoute returns an error if the route has no target, an unknown service
// or a negative weight.
func (c *Compiled) validateRoute(route *Route) error {
	if len(route.Targets) == 0 {
		return eris.Errorf("route %s: has no target service", route.Name)
	}
	for _, target := range route.Targets {
		if c.services[target.Service] == nil {
			return eris.Errorf("route %s: service %q does not exist", route.Name, target.Service)
		}
		if target.Weight < 0 {
			return eris.Errorf("route %s: weight of %s is negative", route.Name, target.Service)
		}
	}
	return nil
}

// snapshot returns a settings snapshot with all services, models and adapters,
// and with the given tokens.
func (c *Compiled) snapshot(tokens []settings.Token) *settings.Snapshot {
	var models []settings.Model
	for i := range c.Services {
		models = append(models, serviceModels(&c.Services[i])...)
	}
	slices.SortFunc(models, func(a, b settings.Model) int { return cmp.Compare(a.ID, b.ID) })
	return settings.NewSnapshot(settings.Stamp{Revision: c.Version}, models, tokens, nil)
}

// serviceModels returns the settings of a service's models and adapters, or of
// the service itself if it has no engine.
func serviceModels(service *Service) []settings.Model {
	path := "/" + service.Name
	sources := map[string]string{"queue_time": path, "queue_length": path, "queue_bytes": path, "memory": path}
	policy := settings.Defaults()
	policy.QueueLength, policy.QueueBytes, policy.QueueTime = queueLength, queueBytes, keepAlive
	policy.KeepAlive, policy.ColdStartWeight = keepAlive, coldStartWeight
	policy.MinReplicas, policy.MaxReplicas = 0, maxReplicas
	policy.EnginePool, policy.Version, policy.Priority = service.Name, "", 0
	if service.Engine == nil {
		return []settings.Model{{ID: ServiceID(service.Name), Kind: settings.KindModel, Path: path, Team: path, Policy: policy, Sources: sources}}
	}
	var models []settings.Model
	for i := range service.Engine.Models {
		spec := &service.Engine.Models[i]
		base := policy
		base.Memory = spec.Bytes
		id := ModelID(service.Name, spec.Name)
		modelPath := path + "/" + spec.Name
		models = append(models, settings.Model{ID: id, Kind: settings.KindModel, Path: modelPath, Team: path, Policy: base, Sources: sources})
		for number := 1; number <= spec.Adapters; number++ {
			adapter := policy
			adapter.Memory = spec.AdapterBytes
			name := AdapterName(number)
			models = append(models, settings.Model{
				ID: AdapterID(service.Name, spec.Name, name), Kind: settings.KindAdapter, Base: id,
				Path: modelPath + "/" + name, Team: path, Policy: adapter, Sources: sources,
			})
		}
	}
	return models
}

// AdapterName returns the name of a model's n-th adapter, counted from 1.
func AdapterName(n int) string { return "a" + strconv.Itoa(n) }

// String returns the version of the configuration and the numbers of its routes,
// services and models, in one line.
func (c *Compiled) String() string {
	return fmt.Sprintf("version %d: %d routes, %d services, %d models and adapters", c.Version, len(c.Routes), len(c.Services), len(c.Snapshot.Models))
}
