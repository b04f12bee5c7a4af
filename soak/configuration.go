package soak

import (
	"fmt"
	"sync"

	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/soak/check"
)

const (
	routeHost = "soak.example"
	// routeTimeout bounds every request, objective is what routes aim at.
	routeTimeoutMS = 4000
	objectiveMS    = 1500
	gapMS          = 300
	headerMS       = 5000
	idleMS         = 60_000
	headerBytes    = 16 << 10
	bodyBytes      = 1 << 20
	// The attempts of routes that may run again, and of those that may not: these go
	// elsewhere only when a worker rejected them.
	attempts = 3
	// maxExtra bounds the routes that changes add.
	maxExtra = 20
	// extraHosts are the hosts over which the routes are spread that nobody asks for.
	extraHosts = 40
)

// configuration is the operator's configuration and its changes. A route's path
// names the version, so that callers see which one a node has in force.
type configuration struct {
	*run

	mu      sync.Mutex
	version int64
	extra   int
	moved   bool
	// keys numbers the key of the tenant whose keys are replaced.
	keys int
}

// versionPath is the path of the route that a version adds, and that the next ones keep.
func versionPath(version int64) string { return fmt.Sprintf("/at-%d/", version) }

// change applies a change and writes the next version.
func (c *configuration) change(apply func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	apply()
	c.version++
	document := c.document()
	written := check.Version{Number: c.version, From: c.recorder.now(), Plain: c.plain()}
	if err := c.metadata.Put(platform.KeyConfiguration, document); err != nil {
		c.fail(err)
		return
	}
	written.At = c.recorder.now()
	c.recorder.record(func(h *check.History) { h.Versions = append(h.Versions, written) })
}

func (c *configuration) add()    { c.change(func() { c.extra = min(c.extra+1, maxExtra) }) }
func (c *configuration) remove() { c.change(func() { c.extra = max(c.extra-1, 0) }) }
func (c *configuration) move()   { c.change(func() { c.moved = !c.moved }) }

// newest is the version written last.
func (c *configuration) newest() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// document is the present configuration.
func (c *configuration) document() platform.ConfigurationDocument {
	plain := c.plain()
	routes := []platform.RouteDocument{
		route(string(check.RouteWrite), kindNonIdempotent, plain, false),
		route(string(check.RouteRead), kindIdempotent, plain, false),
		route(string(check.RouteStream), kindStreaming, serviceEngine, true),
		route(string(check.RouteOnce), kindStreaming, serviceEngine, false),
	}
	for version := max(c.version-check.MarkersKept+1, 1); version <= c.version; version++ {
		marker := route(fmt.Sprintf("version-%d", version), kindIdempotent, plain, false)
		marker.Prefix = versionPath(version)
		routes = append(routes, marker)
	}
	for extra := range c.extra {
		routes = append(routes, route(fmt.Sprintf("extra-%d", extra+1), kindIdempotent, plain, false))
	}
	for i := range routes {
		routes[i].Public = true
	}
	if !c.options.Schedule.Keyless {
		routes = append(routes, route(string(check.RouteKeyed), kindIdempotent, plain, false))
	}
	for extra := range c.options.Schedule.ExtraRoutes {
		routes = append(routes, extraRoute(extra, plain))
	}
	engine := engineDocument(c.options.Schedule.ExtraModels)
	return platform.ConfigurationDocument{
		Version: c.version, Routes: routes, Tenants: c.tenants(),
		Services: []platform.ServiceDocument{{Name: serviceFirst}, {Name: serviceSecond}, {Name: serviceEngine, Engine: engine}},
		Limits:   platform.LimitsDocument{HeaderBytes: headerBytes, BodyBytes: bodyBytes, HeaderMS: headerMS, IdleMS: idleMS},
	}
}

// plain is the service of the plain routes.
func (c *configuration) plain() string {
	if c.moved {
		return serviceSecond
	}
	return serviceFirst
}

// extraRoute is a route that nobody asks for.
func extraRoute(number int, service string) platform.RouteDocument {
	extra := route(fmt.Sprintf("unused-%d", number+1), kindIdempotent, service, false)
	extra.Host = fmt.Sprintf("host-%d.example", number%extraHosts+1)
	return extra
}

// The words of the configuration.
const (
	kindIdempotent    = "idempotent"
	kindNonIdempotent = "non_idempotent"
	kindStreaming     = "streaming"
)

func route(name, kind, service string, resumable bool) platform.RouteDocument {
	return platform.RouteDocument{
		Name: name, Host: routeHost, Prefix: "/" + name + "/", Kind: kind, TimeoutMS: routeTimeoutMS, AimMS: objectiveMS,
		Service: service, Attempts: attempts, Resumable: resumable, GapAimMS: gapMS,
	}
}

// engineDocument describes the workers with models; extra ones are asked for by nobody.
func engineDocument(extra int) *platform.EngineDocument {
	engine := &platform.EngineDocument{Slots: engineSlots, WeightsMB: engineMB, AdapterSlots: adapters, LoadsPerSecond: loadsSecond}
	for index := range modelCount + extra {
		engine.Models = append(engine.Models, platform.ModelDocument{
			Name: modelName(index), WeightsMB: modelMB, LoadS: loadTime.Seconds(), Adapters: adapters, AdapterMB: adapterMB,
		})
	}
	return engine
}
