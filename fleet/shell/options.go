package shell

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/clock"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/feed"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/lease"
	"github.com/valveslip/valveslip/passthrough"
	"github.com/valveslip/valveslip/upstream"
)

// Engines sends orders to engines and reads their reports.
type Engines interface {
	// Order sends an order; an error means that its outcome is unknown.
	Order(ctx context.Context, address string, order sequence.Order) (sequence.Outcome, error)
	Report(ctx context.Context, address string, machine cluster.MachineID) (catalog.Report, error)
	// Probe asks any machine for an answer on a new connection, at healthPath if it has no engine. An
	// error means that nothing was heard from it.
	Probe(ctx context.Context, address, healthPath string) error
}

// Store is the metadata store. Its errors are *verdict.Error.
type Store interface {
	lease.Store
	// Range returns all pairs under prefix and the revision at which they were read.
	Range(ctx context.Context, prefix string) ([]keyvalue.KeyValue, keyvalue.Revision, error)
	// FirstPage returns the first pairs under prefix, whether there are more, and the revision at
	// which they were read.
	FirstPage(ctx context.Context, prefix string) (pairs []keyvalue.KeyValue, more bool, revision keyvalue.Revision, err error)
	// Changes returns the changes under prefix after a revision. It may wait for a while until
	// there is a change. If the changes exceed maxBytes the batch says that they are too long
	// instead; zero means no limit.
	Changes(ctx context.Context, prefix string, after keyvalue.Revision, maxBytes int64) (keyvalue.WatchBatch, error)
	// Era returns the newest era that an answer stated; zero if none stated one.
	Era() keyvalue.Era
}

// Codec decodes the records that other programs keep in the store.
type Codec interface {
	// ConfigurationKey is the key of the configuration; keys under WorkersPrefix hold the
	// machines' entries.
	ConfigurationKey() string
	WorkersPrefix() string
	DecodeConfiguration(value []byte) (catalog.Configuration, error)
	DecodeWorker(key string, value []byte) (catalog.Worker, error)
	WorkerID(key string) cluster.MachineID
}

// Options configures a Node.
type Options struct {
	Core fleet.Config
	Seed uint64
	// CallersAddress, ReadyAddress, PeerAddress and MetricsAddress are the host:port of the
	// listeners. If MetricsAddress is empty no metrics are served.
	CallersAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
	// StopTimeout is how long a planned stop may take.
	StopTimeout time.Duration
	Store       Store
	Engines     Engines
	Codec       Codec
	Dialect     passthrough.Dialect
	// Upstream configures the connections to machines.
	Upstream upstream.Options
	// CallerLimits limits what is buffered for callers and machines that read slowly.
	CallerLimits CallerLimits
	// Feed configures where changes of the store are read from. Start fills in Self and Machine.
	Feed   feed.Config
	Log    *eventlog.Log
	Logger *slog.Logger
	// Now is the clock of all decisions. It never jumps back and includes the time for which the
	// machine is suspended. The default is the clock of package clock.
	Now func() time.Time
	// Listen opens a listener. The default is net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// Version is the version of the program, for the log.
	Version string
}

// Defaults of Options: defaultGrace applies if the platform states no grace time.
const (
	defaultGrace = 8 * time.Second
)

// withDefaults returns the options with defaults for zero fields.
func (o Options) withDefaults() Options {
	o.StopTimeout = cmp.Or(o.StopTimeout, defaultGrace)
	o.CallerLimits = o.CallerLimits.withDefaults()
	o.Upstream.SocketBytes = cmp.Or(o.Upstream.SocketBytes, o.CallerLimits.SocketBytes)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Now == nil {
		o.Now = clock.New().Now
	}
	if o.Upstream.Now == nil {
		o.Upstream.Now = o.Now
	}
	if o.Listen == nil {
		o.Listen = net.Listen
	}
	return o
}
