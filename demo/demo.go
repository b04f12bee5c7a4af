package demo

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/node/shell"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

const (
	nodesPerZone = 1
	// readyTimeout bounds the wait until every node has settings in force.
	readyTimeout = 20 * time.Second
	// drainTime is how long a stopping node waits for its running requests.
	drainTime = 30 * time.Second
	// closeTimeout bounds the shutdown of the platform's stand-ins.
	closeTimeout = 5 * time.Second
)

// Addresses holds the URLs, model names and tokens that a client of the demo
// needs. The flag --addresses-file writes it as JSON.
type Addresses struct {
	// Callers and Admin hold one base URL per node.
	Callers []string `json:"callers"`
	Admin   []string `json:"admin"`
	// KeyValue is the base URL of the key-value service.
	KeyValue    string   `json:"kv"`
	Models      []string `json:"models"`
	CallerToken string   `json:"caller_token"`
	AdminToken  string   `json:"admin_token"`
}

// Demo is a running deployment.
type Demo struct {
	platform *platform
	nodes    []*shell.Node
	models   modelSet
}

// Start starts the platform's stand-ins and the nodes. It returns when every
// node accepts requests.
func Start(ctx context.Context, logger *slog.Logger) (*Demo, error) {
	d := &Demo{models: newModelSet()}
	var err error
	if d.platform, err = startPlatform(); err != nil {
		return nil, err
	}
	if err = d.storeSettings(ctx); err == nil {
		err = d.startNodes(logger)
	}
	if err == nil {
		err = d.awaitReady(ctx)
	}
	if err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	return d, nil
}

// storeSettings writes the demo's settings to the key-value service.
func (d *Demo) storeSettings(ctx context.Context) error {
	parsed, err := settings.ParseYAML([]byte(settingsYAML(d.models)))
	if err != nil {
		return eris.Wrap(err, "parse the demo's settings")
	}
	store := settings.NewStore(keyvalue.NewClient(d.platform.keyValueListener.URL()))
	_, err = store.Initialize(ctx, parsed, "demo")
	return eris.Wrap(err, "store the demo's settings")
}

func (d *Demo) startNodes(logger *slog.Logger) error {
	var seeds []string
	for i := range zoneCount * nodesPerZone {
		started, err := d.startNode(logger, i, seeds)
		if err != nil {
			return eris.Wrapf(err, "start node %d", i)
		}
		d.nodes = append(d.nodes, started)
		seeds = append(seeds, started.Self().PeerAddress)
	}
	return nil
}

// startNode starts one node at free loopback ports. The seeds are the peer
// addresses of the nodes that were started before it.
func (d *Demo) startNode(logger *slog.Logger, index int, seeds []string) (*shell.Node, error) {
	return d.startNodeAt(logger, index, seeds, cluster.Node{
		CallerAddress: loopback, AdminAddress: loopback, PeerAddress: loopback,
	})
}

// startNodeAt starts one node that listens at the given addresses.
func (d *Demo) startNodeAt(logger *slog.Logger, index int, seeds []string, at cluster.Node) (*shell.Node, error) {
	config := node.Config{
		Zone: zoneName(index % zoneCount), Region: regionName,
		CallerAddress: at.CallerAddress, AdminAddress: at.AdminAddress, PeerAddress: at.PeerAddress, Seeds: seeds,
		KeyValueURL: d.platform.keyValueListener.URL(), MachineListURL: d.platform.machineListListener.URL(),
		WeightStoreURL: d.platform.weightStoreListener.URL(),
		DrainTime:      drainTime, MaxBodyBytes: 4 << 20,
	}
	return shell.Start(context.Background(), config, shell.Options{
		Logger: logger,
		NewCore: func(self cluster.Node) shell.Stepper {
			return node.NewCore(node.CoreConfig{Self: self, Seeds: seeds, Seed: uint64(index) + 1})
		},
		NewTransport: func(listen string, handle func(wire.Message)) (shell.Transport, error) {
			return wire.NewTransport(listen, logger, handle)
		},
	})
}

// awaitReady waits until every node has settings in force.
func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !d.allReady() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait until every node has settings in force")
		}
	}
	return nil
}

func (d *Demo) allReady() bool {
	for _, started := range d.nodes {
		if started.Settings() == nil {
			return false
		}
	}
	return true
}

// Addresses returns the URLs, model names and tokens of the running demo.
func (d *Demo) Addresses() Addresses {
	addresses := Addresses{
		KeyValue: d.platform.keyValueListener.URL(), Models: d.models.all(),
		CallerToken: CallerToken, AdminToken: AdminToken,
	}
	for _, started := range d.nodes {
		addresses.Callers = append(addresses.Callers, "http://"+started.Self().CallerAddress)
		addresses.Admin = append(addresses.Admin, "http://"+started.Self().AdminAddress)
	}
	return addresses
}

// Stop drains and stops the nodes one after the other, then stops the
// platform's stand-ins.
func (d *Demo) Stop() error {
	var failures []error
	for i, started := range d.nodes {
		if err := started.Stop(); err != nil {
			failures = append(failures, fmt.Errorf("stop node %d: %w", i, err))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return errors.Join(append(failures, d.platform.close(ctx))...)
}
