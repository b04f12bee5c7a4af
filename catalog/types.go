package catalog

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// RouteKind says whether the requests of a route may be repeated.
type RouteKind uint8

// The route kinds.
const (
	// KindUnrepeatable marks requests that run at most once.
	KindUnrepeatable RouteKind = iota
	// KindIdempotent marks requests that may run more than once.
	KindIdempotent
	// KindStream marks requests that are answered by a stream of events. They
	// run at most once unless the route is resumable.
	KindStream
)

// String returns the name used in logs.
func (k RouteKind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	default:
		return "unrepeatable"
	}
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is the service's share relative to the weights of the other
	// targets.
	Weight float64
}

// Route sends the requests for one host and path prefix to one or more services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Resumable is true if a stream may be continued on another machine after
	// its last event.
	Resumable bool
	// Targets has at least one element.
	Targets []Target
	// Attempts is the maximum number of machines to which one request may be
	// sent.
	Attempts int
	// Timeout bounds the whole request; zero means no bound.
	Timeout time.Duration
	// Objective is the latency objective of a whole answer, or of the first
	// event of a stream.
	Objective time.Duration
	// LongestPause is the latency objective of the time between two events of a
	// stream; zero means unstated.
	LongestPause time.Duration
	// Patience is how long callers wait for the first event of a stream; zero
	// means until the request's own time limit.
	Patience time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// Sticky is true if requests state the parts of their prompts.
	Sticky bool
	// Public is true if callers need no API key.
	Public bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == KindIdempotent || r.Resumable }

// ModelSpec is a model that the engines of a service can load.
type ModelSpec struct {
	Name string
	// Bytes is the memory that the weights occupy.
	Bytes int64
	// LoadTime is the load time from the weight store, DiskTime from the
	// machine's disk and MemoryTime from a copy in its memory.
	LoadTime, DiskTime, MemoryTime time.Duration
	// Adapters is the number of adapters of the model, AdapterBytes the memory
	// that each occupies.
	Adapters     int
	AdapterBytes int64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the capacity, in tokens, for running requests and cached
	// prompts.
	CacheTokens int
	// MemoryBytes is the memory for weights and adapters together.
	MemoryBytes int64
	// AdapterSlots is the maximum number of adapters loaded at the same time.
	AdapterSlots int
	// LoadsPerSecond is the rate of loads that the weight store allows over all
	// engines.
	LoadsPerSecond float64
	// Models is sorted by name.
	Models []ModelSpec
}

// Service is a set of interchangeable machines.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that a machine accepts from
	// all callers together.
	MaxConnections int
	// Engine is nil for a service without models.
	Engine *Engine
}

// Limits bounds the size of callers' requests and the time that a connection may
// be idle.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Configuration is one version of all routes, services and tenants.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Tenants have the API keys of callers. If there are none, callers need no
	// key.
	Tenants []Tenant
	Limits  Limits
}

// LoadedModel is a model that is loaded on a machine, with its adapters.
type LoadedModel struct {
	Name     string
	Adapters []string
}

// Worker is a machine's entry in the store. Each start of a machine has its own
// identifier.
type Worker struct {
	// ID identifies one start of the machine: state recorded under it is valid
	// for that start only.
	ID cluster.MachineID
	// StartMillis is the start time in Unix milliseconds; zero if the entry does not
	// state it.
	StartMillis int64
	Service     string
	// Address is host:port.
	Address string
	Zone    cluster.ZoneID
	// Release is the version of the machine's software.
	Release string
	Slots   int
	// Draining is true if the machine takes no new requests.
	Draining bool
	// LoadedModels lists the models that were loaded when the entry was written.
	LoadedModels []LoadedModel
	// InMemory and OnDisk name the models of which the machine keeps copies.
	InMemory, OnDisk []string
}

// Equal reports whether two entries have equal contents.
func (w *Worker) Equal(o *Worker) bool {
	return w.ID == o.ID && w.StartMillis == o.StartMillis && w.Service == o.Service && w.Address == o.Address && w.Zone == o.Zone &&
		w.Release == o.Release && w.Slots == o.Slots && w.Draining == o.Draining &&
		slices.EqualFunc(w.LoadedModels, o.LoadedModels, LoadedModel.Equal) &&
		slices.Equal(w.InMemory, o.InMemory) && slices.Equal(w.OnDisk, o.OnDisk)
}

// Equal reports whether both have the same model and the same adapters.
func (m LoadedModel) Equal(o LoadedModel) bool {
	return m.Name == o.Name && slices.Equal(m.Adapters, o.Adapters)
}

// Report is the state that an engine reports about itself. It is some hundred
// milliseconds old when it arrives.
type Report struct {
	Held []LoadedModel
	// LoadingAdapters lists adapters that are being loaded.
	LoadingAdapters []string
	// Busy is true while the engine carries out an order.
	Busy             bool
	OrderCount       int64
	Waiting, Running int
	// InMemory and OnDisk name the models of which the engine keeps copies.
	InMemory, OnDisk []string
}
