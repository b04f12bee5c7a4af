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

// Stepper is the decision core; *node.Core implements it.
type Stepper interface {
	Step(now time.Time, event node.Event) []node.Effect
}

// Transport carries messages between nodes; *wire.Transport implements it.
type Transport interface {
	// Send queues a message. It never blocks, and the message may be lost.
	Send(address string, message wire.Message)
	// Address returns the address the transport listens on.
	Address() string
	Close(ctx context.Context) error
}

// EngineClient sends inference requests and control calls to engines.
type EngineClient interface {
	engine.Inference
	engine.Control
	engine.Mover
}

// Options replaces components of a node; zero fields select the defaults.
type Options struct {
	// ID is the node's ID, which must be unique for every start of a node.
	ID cluster.NodeID
	// CallerListener and AdminListener are used instead of new listeners at
	// the configured addresses.
	CallerListener, AdminListener net.Listener
	// NewCore creates the node's core, NewTransport its transport.
	NewCore      func(self cluster.Node) Stepper
	NewTransport func(listen string, handle func(wire.Message)) (Transport, error)
	// Store, Machines, Weights and Engines are the clients of the platform and the
	// engines.
	Store    keyvalue.Store
	Machines machines.Lister
	Weights  weights.Store
	Engines  EngineClient
	// Relay configures the relaying of answers.
	Relay  relay.Options
	Logger *slog.Logger
	// Now is the clock for all decisions and deadlines; package clock provides the
	// default. It never goes back, and it advances while the machine is suspended. With
	// the monotonic clock, which stops then, a resumed node would hold its leases beyond
	// their expiry for the length of the suspension.
	Now func() time.Time
}

// newID returns a random node ID, unique among the nodes and starts in the zone.
func newID(zone cluster.ZoneID) cluster.NodeID {
	var random [6]byte
	_, _ = rand.Read(random[:])
	return cluster.NodeID(string(zone) + "-" + hex.EncodeToString(random[:]))
}

// randomSeed returns the seed for a node's pseudo-random choices.
func randomSeed() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return binary.LittleEndian.Uint64(random[:])
}

// withDefaults sets zero fields to their defaults for the node's configuration.
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
