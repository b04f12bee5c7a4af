package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/standin"
	"github.com/valveslip/valveslip/standin/engine"
	"github.com/valveslip/valveslip/standin/keyvalue"
	"github.com/valveslip/valveslip/standin/machines"
	"github.com/valveslip/valveslip/standin/weights"
)

const (
	gibibyte = 1 << 30
	// loopback lets the kernel choose the port.
	loopback = "127.0.0.1:0"
)

// The platform's sizes: three zones, nine assistant machines and three booking
// machines, a store that allows two loads a second and eight at once.
const (
	zoneCount          = 3
	assistantsPerZone  = 3
	bookingsPerZone    = 1
	machineMemory      = 40 * gibibyte
	storeStarts        = 2
	storeConcurrency   = 8
	storeBytesASecond  = 8 * gibibyte
	machineListLag     = 500 * time.Millisecond
	engineSlots        = 16
	engineStepTime     = 4 * time.Millisecond
	platformFaultsSeed = 1
)

// platform is the stand-ins that the demo's nodes run against.
type platform struct {
	keyValue *keyvalue.Server
	store    *weights.Server
	list     *machines.Server
	engines  []*engine.Server
	// listeners of the first three; engines keep their own.
	keyValueListener, storeListener, listListener *standin.Server
	ledger                                        *engine.Ledger
}

// startPlatform starts all stand-ins.
func startPlatform() (*platform, error) {
	p := &platform{
		keyValue: keyvalue.NewServer(keyvalue.Config{}, platformFaultsSeed),
		store: weights.NewServer(weights.Config{
			StartsPerSecond: storeStarts, Concurrency: storeConcurrency, BytesPerSecond: storeBytesASecond,
		}, platformFaultsSeed),
		list:   machines.NewServer(machineListLag, platformFaultsSeed),
		ledger: engine.NewLedger(),
	}
	var err error
	if p.keyValueListener, err = standin.Listen(loopback, p.keyValue); err != nil {
		return nil, err
	}
	if p.storeListener, err = standin.Listen(loopback, p.store); err != nil {
		return nil, err
	}
	if p.listListener, err = standin.Listen(loopback, p.list); err != nil {
		return nil, err
	}
	return p, p.startEngines()
}

func (p *platform) startEngines() error {
	for zone := range zoneCount {
		for i := range assistantsPerZone {
			if err := p.startEngine(zone, i, assistantPool); err != nil {
				return err
			}
		}
		for i := range bookingsPerZone {
			if err := p.startEngine(zone, i, bookingPool); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *platform) startEngine(zone, index int, pool string) error {
	id := cluster.MachineID(fmt.Sprintf("%s-%s-%d", zoneName(zone), pool, index+1))
	client := weights.NewClient(p.storeListener.URL())
	config := engine.DefaultConfig(id)
	config.Pool, config.MemoryBytes, config.Slots, config.StepTime = pool, machineMemory, engineSlots, engineStepTime
	config.Recorder = p.ledger
	server := engine.NewServer(engine.ServerConfig{
		Engine: config,
		Fetch: func(ctx context.Context, fetch engine.Fetch) error {
			return client.Fetch(ctx, weights.LoadRequest{ID: fetch.Order, Model: string(fetch.Model), Bytes: fetch.Bytes})
		},
		FaultSeed: uint64(zone*100 + index),
	})
	address, err := server.Listen(loopback)
	if err != nil {
		return eris.Wrapf(err, "start engine %s", id)
	}
	p.engines = append(p.engines, server)
	p.list.Put(cluster.Machine{
		ID: id, Zone: zoneName(zone), Region: regionName, Rack: fmt.Sprintf("rack-%d", index%2+1), Address: address,
	})
	return nil
}

// counters sums what the engines counted.
func (p *platform) counters() engine.Counters {
	var sum engine.Counters
	for _, server := range p.engines {
		counted := server.Counters()
		sum.Overcommitted += counted.Overcommitted
		sum.Runs += counted.Runs
		sum.StaleOrders += counted.StaleOrders
		sum.Loads += counted.Loads
		sum.IdleAcceleratorSeconds += counted.IdleAcceleratorSeconds
		sum.BusyAcceleratorSeconds += counted.BusyAcceleratorSeconds
		sum.LatestStartAfterLeaving = max(sum.LatestStartAfterLeaving, counted.LatestStartAfterLeaving)
	}
	return sum
}

// close stops all stand-ins.
func (p *platform) close(ctx context.Context) error {
	var failures []error
	for _, server := range p.engines {
		failures = append(failures, server.Close(ctx))
	}
	p.keyValue.Close()
	for _, listener := range []*standin.Server{p.listListener, p.storeListener, p.keyValueListener} {
		failures = append(failures, listener.Close(ctx))
	}
	return errors.Join(failures...)
}

// regionName is the demo's only region.
const regionName cluster.RegionID = "capital"

func zoneName(index int) cluster.ZoneID {
	return cluster.ZoneID(fmt.Sprintf("zone-%c", 'a'+index))
}
