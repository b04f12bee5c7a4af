package shell

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	"net"
	"time"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/clock"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/machines"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/weights"
	"github.com/valveslip/valveslip/wire"
)

// Stepper is the deciding core; *node.Core implements it.
type Stepper interface {
	Step(now time.Time, event node.Event) []node.Effect
}

// Transport carries messages between nodes; *wire.Transport implements it.
type Transport interface {
	// Send queues a message; it never waits and the message may be lost.
	Send(address string, message wire.Message)
	// Address is the address the transport listens on.
	Address() string
	Close(ctx context.Context) error
}

// EngineClient runs requests on engines and controls them.
type EngineClient interface {
	engine.Inference
	engine.Control
	engine.Mover
}

// Options replaces parts of a node; zero fields mean the real ones.
type Options struct {
	// ID of the node; it must differ at every start.
	ID cluster.NodeID
	// CallerListener and AdminListener are used instead of new listeners at
	// the configured addresses.
	CallerListener, AdminListener net.Listener
	// NewCore makes the core of a node, and NewTransport its transport.
	NewCore      func(self cluster.Node) Stepper
	NewTransport func(listen string, handle func(wire.Message)) (Transport, error)
	// Store, Machines, Weights and Engines are the platform.
	Store    keyvalue.Store
	Machines machines.Lister
	Weights  weights.Store
	Engines  EngineClient
	// Relay tunes the relaying of answers.
	Relay  relay.Options
	Logger *slog.Logger
	// Now is the clock of all decisions, deadlines among them: it never jumps back, and counts
	// the time for which the machine is suspended. By the monotonic clock, a node that wakes
	// would hold its leases for as long as it slept beyond their end. That of package clock by
	// default.
	Now func() time.Time
}

// newID returns an id that no other start of a node in the zone has.
func newID(zone cluster.ZoneID) cluster.NodeID {
	var random [6]byte
	_, _ = rand.Read(random[:])
	return cluster.NodeID(string(zone) + "-" + hex.EncodeToString(random[:]))
}

// randomSeed seeds a node's pseudo-random choices.
func randomSeed() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return binary.LittleEndian.Uint64(random[:])
}

// withDefaults fills zero fields from the node's configuration.
func (o Options) withDefaults(config node.Config) Options {
	if o.ID == "" {
		o.ID = newID(config.Zone)
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.NewCore == nil {
		o.NewCore = func(self cluster.Node) Stepper {
			return node.NewCore(node.CoreConfig{
				Self: self, Seeds: config.Seeds, Seed: randomSeed(),
				Controller: authority.ControllerConfig{MachineLag: config.MachineListLag},
			})
		}
	}
	if o.Now == nil {
		o.Now = clock.New().Now
	}
	if o.Relay.Now == nil {
		o.Relay.Now = o.Now
	}
	if o.Relay.Logger == nil {
		o.Relay.Logger = o.Logger
	}
	if o.Store == nil {
		o.Store = keyvalue.NewClient(config.KeyValueURL)
	}
	if o.Machines == nil {
		o.Machines = machines.NewClient(config.MachineListURL)
	}
	if o.Weights == nil {
		o.Weights = weights.NewClient(config.WeightStoreURL)
	}
	if o.Engines == nil {
		o.Engines = engine.NewClient()
	}
	return o
}
