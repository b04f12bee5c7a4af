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
	// loopback is a listen address whose port the operating system chooses.
	loopback = "127.0.0.1:0"
)

// Sizes of the platform: three zones with nine assistant machines and three
// booking machines in total, and a weight store that starts two fetches per
// second and runs eight at full speed at once.
const (
	zoneCount                = 3
	assistantMachinesPerZone = 3
	bookingMachinesPerZone   = 1
	machineMemory            = 40 * gibibyte
	storeStartsPerSecond     = 2
	storeConcurrency         = 8
	storeBytesPerSecond      = 8 * gibibyte
	machineListLag           = 500 * time.Millisecond
	engineSlots              = 16
	engineStepTime           = 4 * time.Millisecond
	standInFaultSeed         = 1
)

// platform holds the stand-ins of the platform's services and the engines.
type platform struct {
	keyValue    *keyvalue.Server
	weightStore *weights.Server
	machineList *machines.Server
	engines     []*engine.Server
	// The listeners of the three services; engines have their own.
	keyValueListener, weightStoreListener, machineListListener *standin.Server
	ledger                                                     *engine.Ledger
}

// startPlatform starts the stand-ins and the engines of all zones.
func startPlatform() (*platform, error) {
	p := &platform{
		keyValue: keyvalue.NewServer(keyvalue.Config{}, standInFaultSeed),
		weightStore: weights.NewServer(weights.Config{
			StartsPerSecond: storeStartsPerSecond, Concurrency: storeConcurrency, BytesPerSecond: storeBytesPerSecond,
		}, standInFaultSeed),
		machineList: machines.NewServer(machineListLag, standInFaultSeed),
		ledger:      engine.NewLedger(),
	}
	var err error
	if p.keyValueListener, err = standin.Listen(loopback, p.keyValue); err != nil {
		return nil, err
	}
	if p.weightStoreListener, err = standin.Listen(loopback, p.weightStore); err != nil {
		return nil, err
	}
	if p.machineListListener, err = standin.Listen(loopback, p.machineList); err != nil {
		return nil, err
	}
	return p, p.startEngines()
}

func (p *platform) startEngines() error {
	for zone := range zoneCount {
		for i := range assistantMachinesPerZone {
			if err := p.startEngine(zone, i, assistantPool); err != nil {
				return err
			}
		}
		for i := range bookingMachinesPerZone {
			if err := p.startEngine(zone, i, bookingPool); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *platform) startEngine(zone, index int, pool string) error {
	id := cluster.MachineID(fmt.Sprintf("%s-%s-%d", zoneName(zone), pool, index+1))
	client := weights.NewClient(p.weightStoreListener.URL())
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
	p.machineList.Put(cluster.Machine{
		ID: id, Zone: zoneName(zone), Region: regionName, Rack: fmt.Sprintf("rack-%d", index%2+1), Address: address,
	})
	return nil
}

// counters returns the sum of the counters of all engines.
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

// close stops the engines and the stand-ins.
func (p *platform) close(ctx context.Context) error {
	var failures []error
	for _, server := range p.engines {
		failures = append(failures, server.Close(ctx))
	}
	p.keyValue.Close()
	for _, listener := range []*standin.Server{p.machineListListener, p.weightStoreListener, p.keyValueListener} {
		failures = append(failures, listener.Close(ctx))
	}
	return errors.Join(failures...)
}

// regionName is the demo's only region.
const regionName cluster.RegionID = "capital"

func zoneName(index int) cluster.ZoneID {
	return cluster.ZoneID(fmt.Sprintf("zone-%c", 'a'+index))
}
