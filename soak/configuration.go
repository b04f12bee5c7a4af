package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/soak/check"
)

const (
	routeHost = "soak.example"
	// routeTimeoutMS is the timeout of every route, responseObjectiveMS and
	// eventGapObjectiveMS are the latency objectives.
	routeTimeoutMS      = 4000
	responseObjectiveMS = 1500
	eventGapObjectiveMS = 300
	headerMS            = 5000
	idleMS              = 60_000
	headerBytes         = 16 << 10
	bodyBytes           = 1 << 20
	// maxAttempts applies to retryable routes and to others. A request of the latter is sent
	// to another worker only if a worker rejected it.
	maxAttempts = 3
	// maxExtraRoutes limits the routes that configuration changes add.
	maxExtraRoutes = 20
	// extraHosts is the number of hosts over which the never requested routes are spread.
	extraHosts = 40
)

// configuration writes the configuration and its changes to the store. Each version adds a
// route with the version in its path, which tells callers whether a node has that version in
// force.
type configuration struct {
	*run

	mu      sync.Mutex
	version int64
	extra   int
	moved   bool
	// keyNumber is the number of the current key of the tenant whose keys are rotated.
	keyNumber int
}

// versionPath returns the path of the marker route that a version adds and the next ones keep.
func versionPath(version int64) string { return fmt.Sprintf("/at-%d/", version) }

// change applies a change and writes the next version to the store.
func (c *configuration) change(apply func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	apply()
	c.version++
	document := c.document()
	written := check.Version{Number: c.version, WriteStarted: c.recorder.elapsed(), PlainService: c.plainService()}
	if err := c.metadata.Put(platform.KeyConfiguration, document); err != nil {
		c.fail(err)
		return
	}
	written.AcceptedAt = c.recorder.elapsed()
	c.recorder.record(func(h *check.History) { h.Versions = append(h.Versions, written) })
}

// rewrite writes the current version again, which the store may have lost.
func (c *configuration) rewrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.metadata.Put(platform.KeyConfiguration, c.document()); err != nil {
		c.fail(err)
	}
}

func (c *configuration) add()    { c.change(func() { c.extra = min(c.extra+1, maxExtraRoutes) }) }
func (c *configuration) remove() { c.change(func() { c.extra = max(c.extra-1, 0) }) }
func (c *configuration) move()   { c.change(func() { c.moved = !c.moved }) }

// newest returns the number of the version written last.
func (c *configuration) newest() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// document returns the current configuration. The caller holds the lock.
func (c *configuration) document() platform.ConfigurationDocument {
	plain := c.plainService()
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
	for i := range routes {
		if routes[i].Kind == kindStreaming {
			routes[i].TimeoutMS = float64(c.streamDeadline(routeTimeoutMS * time.Millisecond).Milliseconds())
		}
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

// plainService returns the service that the plain routes lead to, which are those without
// models.
func (c *configuration) plainService() string {
	if c.moved {
		return serviceSecond
	}
	return serviceFirst
}

// extraRoute returns a route that is never requested.
func extraRoute(number int, service string) platform.RouteDocument {
	extra := route(fmt.Sprintf("unused-%d", number+1), kindIdempotent, service, false)
	extra.Host = fmt.Sprintf("host-%d.example", number%extraHosts+1)
	return extra
}

// The kinds of routes in the configuration.
const (
	kindIdempotent    = "idempotent"
	kindNonIdempotent = "non_idempotent"
	kindStreaming     = "streaming"
)

func route(name, kind, service string, resumable bool) platform.RouteDocument {
	return platform.RouteDocument{
		Name: name, Host: routeHost, Prefix: "/" + name + "/", Kind: kind, TimeoutMS: routeTimeoutMS, ObjectiveMS: responseObjectiveMS,
		Service: service, Attempts: maxAttempts, Resumable: resumable, GapObjectiveMS: eventGapObjectiveMS,
	}
}

// engineDocument returns the engine settings of the service with models. The extra models are
// never requested.
func engineDocument(extra int) *platform.EngineDocument {
	engine := &platform.EngineDocument{Slots: engineSlots, WeightsMB: engineMB, AdapterSlots: adaptersPerModel, LoadsPerSecond: loadsPerSecond}
	for index := range modelCount + extra {
		engine.Models = append(engine.Models, platform.ModelDocument{
			Name: modelName(index), WeightsMB: modelMB, LoadS: loadTime.Seconds(), Adapters: adaptersPerModel, AdapterMB: adapterMB,
		})
	}
	return engine
}
