package catalog

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// RouteKind says what may be repeated of a route's requests.
type RouteKind uint8

// The kinds of routes.
const (
	// KindUnrepeatable requests run at most once.
	KindUnrepeatable RouteKind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream requests are answered by a series of events; they run at most
	// once unless the route is resumable.
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

// Target is a service that gets a part of a route's requests.
type Target struct {
	Service string
	// Weight is the service's share in proportion to the other weights.
	Weight float64
}

// Route sends the requests of a host whose path begins with a prefix to one or
// more services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Resumable streams may be continued at another machine after their last
	// event.
	Resumable bool
	// Targets is never empty.
	Targets []Target
	// Attempts is the most machines that one request may be sent to.
	Attempts int
	// Timeout bounds the whole request; zero means no bound.
	Timeout time.Duration
	// Objective is the time in which an answer, or a stream's first event, is
	// in time.
	Objective time.Duration
	// LongestPause between two events that are in time; zero when unstated.
	LongestPause time.Duration
	// Patience is how long callers wait for the first event of a stream; zero when they
	// wait as long as they have.
	Patience time.Duration
	// Priority is the rank, 0 being the highest.
	Priority int
	// Sticky routes state the parts of their prompts.
	Sticky bool
	// Public routes take callers without a key.
	Public bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == KindIdempotent || r.Resumable }

// ModelSpec is a model that the engines of a service can load.
type ModelSpec struct {
	Name string
	// Bytes of memory that the weights take.
	Bytes int64
	// LoadTime from the weight store, DiskTime and MemoryTime from a machine's
	// own copies.
	LoadTime, DiskTime, MemoryTime time.Duration
	// Adapters is how many adapters the model has, AdapterBytes what each takes.
	Adapters     int
	AdapterBytes int64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// CacheTokens is the memory for running requests and cached prompts.
	CacheTokens int
	// MemoryBytes holds weights and adapters together.
	MemoryBytes int64
	// AdapterSlots bounds the adapters that are loaded at once.
	AdapterSlots int
	// LoadsPerSecond that the weight store allows over all engines.
	LoadsPerSecond float64
	// Models sorted by name.
	Models []ModelSpec
}

// Service is a set of machines that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections that a machine accepts from all callers together.
	MaxConnections int
	// Engine is nil for services without models.
	Engine *Engine
}

// Limits bound what a caller may send and how long a connection may rest.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Configuration is one version of all routes and services.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Tenants hold the keys of callers; without any, callers need none.
	Tenants []Tenant
	Limits  Limits
}

// HeldModel is a model that a machine holds.
type HeldModel struct {
	Name     string
	Adapters []string
}

// Worker is a machine's entry in the store. Every start of a machine has an
// identifier of its own.
type Worker struct {
	// ID names one start of the machine: what is known under it ends with that start.
	ID cluster.MachineID
	// Born is when it started, in Unix milliseconds; zero where it does not say.
	Born    int64
	Service string
	// Address is host:port.
	Address string
	Zone    cluster.ZoneID
	// Release of the machine's software.
	Release string
	Slots   int
	// Draining machines take no new requests.
	Draining bool
	// Held models, as of the entry's writing.
	Held []HeldModel
	// InMemory and OnDisk name the models of which copies are kept.
	InMemory, OnDisk []string
}

// Equal reports whether two entries say the same.
func (w *Worker) Equal(o *Worker) bool {
	return w.ID == o.ID && w.Born == o.Born && w.Service == o.Service && w.Address == o.Address && w.Zone == o.Zone &&
		w.Release == o.Release && w.Slots == o.Slots && w.Draining == o.Draining &&
		slices.EqualFunc(w.Held, o.Held, HeldModel.Equal) &&
		slices.Equal(w.InMemory, o.InMemory) && slices.Equal(w.OnDisk, o.OnDisk)
}

// Equal reports whether the same adapters of the same model are held.
func (m HeldModel) Equal(o HeldModel) bool {
	return m.Name == o.Name && slices.Equal(m.Adapters, o.Adapters)
}

// Report is what an engine says of itself, some hundred milliseconds late.
type Report struct {
	Held []HeldModel
	// Coming adapters are on their way.
	Coming []string
	// Busy engines carry out an order.
	Busy             bool
	OrderCount       int64
	Waiting, Running int
	// InMemory and OnDisk name the models of which copies are kept.
	InMemory, OnDisk []string
}
