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

// Engines gives orders to engines and reads their reports.
type Engines interface {
	// Order gives an order; an error means that its outcome is unknown.
	Order(ctx context.Context, address string, order sequence.Order) (sequence.Outcome, error)
	Report(ctx context.Context, address string, machine cluster.MachineID) (catalog.Report, error)
}

// Store is the metadata store; errors are *verdict.Error.
type Store interface {
	lease.Store
	// Range returns all pairs below prefix and the revision they were read at.
	Range(ctx context.Context, prefix string) ([]keyvalue.KeyValue, int64, error)
	// FirstPage returns the first pairs below prefix, whether there are more, and the revision
	// they were read at.
	FirstPage(ctx context.Context, prefix string) (pairs []keyvalue.KeyValue, more bool, revision int64, err error)
	// Changes returns the changes below prefix after a revision; it may be held for
	// a while until there is one. More than most bytes of them are too long to be had;
	// zero allows any.
	Changes(ctx context.Context, prefix string, after, most int64) (keyvalue.WatchBatch, error)
}

// Codec reads what others keep in the store.
type Codec interface {
	// ConfigurationKey holds the configuration, keys under WorkersPrefix the
	// machines' entries.
	ConfigurationKey() string
	WorkersPrefix() string
	DecodeConfiguration(value []byte) (catalog.Configuration, error)
	DecodeWorker(key string, value []byte) (catalog.Worker, error)
	WorkerID(key string) cluster.MachineID
}

// Options is what a Node runs on.
type Options struct {
	Core fleet.Config
	Seed uint64
	// CallersAddress, ReadyAddress, PeerAddress and MetricsAddress are host:port
	// of the listeners; an empty MetricsAddress serves no metrics.
	CallersAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// ReadyPath answers whether the node is ready.
	ReadyPath string
	// Grace is how long a planned stop may take.
	Grace   time.Duration
	Store   Store
	Engines Engines
	Codec   Codec
	Dialect passthrough.Dialect
	// Upstream tunes the connections to machines.
	Upstream upstream.Options
	// Callers bounds what is kept on behalf of callers and machines that read slowly.
	Callers CallerBounds
	// Feed tunes from where changes of the store are learned; Self is filled in.
	Feed   feed.Config
	Log    *eventlog.Log
	Logger *slog.Logger
	// Now is the clock of all decisions: it never jumps back, and counts the time for which
	// the machine is suspended. That of package clock by default.
	Now func() time.Time
	// Listen opens a listener; net.Listen by default.
	Listen func(network, address string) (net.Listener, error)
	// Version of the program, for the log.
	Version string
}

// Defaults of Options; chosen, not measured: the platform states the grace time.
const (
	defaultGrace = 8 * time.Second
)

// withDefaults fills zero fields.
func (o Options) withDefaults() Options {
	o.Grace = cmp.Or(o.Grace, defaultGrace)
	o.Callers = o.Callers.withDefaults()
	o.Upstream.SocketBytes = cmp.Or(o.Upstream.SocketBytes, o.Callers.SocketBytes)
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
