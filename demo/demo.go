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
	// nodesPerZone of the demo.
	nodesPerZone = 1
	// readyTimeout bounds the start until every node has settings in force.
	readyTimeout = 20 * time.Second
	// drainTime of the demo's nodes.
	drainTime = 30 * time.Second
	// closeTimeout bounds the stop of the stand-ins.
	closeTimeout = 5 * time.Second
)

// Addresses is what a program needs to use the demo. Its JSON form is what
// --addresses-file writes.
type Addresses struct {
	// Callers and Admin are base URLs, one a node.
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

// Start starts the stand-ins and the nodes and returns when every node takes
// requests.
func Start(ctx context.Context, logger *slog.Logger) (*Demo, error) {
	d := &Demo{models: newModelSet()}
	var err error
	if d.platform, err = startPlatform(); err != nil {
		return nil, err
	}
	if err = d.storeTree(ctx); err == nil {
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

// storeTree puts the demo's settings into the key-value service.
func (d *Demo) storeTree(ctx context.Context) error {
	parsed, err := settings.ParseYAML([]byte(tree(d.models)))
	if err != nil {
		return eris.Wrap(err, "the demo's settings")
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

// startNode starts one node; its only seeds are the nodes before it.
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
		KeyValueURL: d.platform.keyValueListener.URL(), MachineListURL: d.platform.listListener.URL(),
		WeightStoreURL: d.platform.storeListener.URL(),
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
	for !d.ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "the nodes did not become ready")
		}
	}
	return nil
}

func (d *Demo) ready() bool {
	for _, started := range d.nodes {
		if started.Settings() == nil {
			return false
		}
	}
	return true
}

// Addresses returns how to reach the demo.
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

// Stop drains the nodes one after the other and stops the stand-ins.
func (d *Demo) Stop() error {
	var failures []error
	for i, started := range d.nodes {
		if err := started.Stop(); err != nil {
			failures = append(failures, fmt.Errorf("node %d: %w", i, err))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return errors.Join(append(failures, d.platform.close(ctx))...)
}
