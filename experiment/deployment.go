package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/simulation"
)

// defaultRestartTime is the restart time of an engine whose worker class states none.
const defaultRestartTime = 30 * time.Second

// machinesPerRack is the number of machines of a zone that share a rack.
const machinesPerRack = 8

// buildDeployment distributes the scenario's machines evenly over its zones.
func buildDeployment(scenario *Scenario, models *Models) simulation.Deployment {
	deployment := simulation.Deployment{
		Network: simulation.NetworkConfig{
			WithinZone: scenario.Network.WithinZone, BetweenZones: scenario.Network.BetweenZones,
			BetweenRegions: scenario.Network.BetweenRegions, Jitter: scenario.Network.Jitter,
			Loss: scenario.Network.Loss, Duplication: scenario.Network.Duplication,
			Reordering: scenario.Network.Reordering, ReorderDelay: 20 * time.Millisecond,
		},
		ClientDelay: scenario.ClientDelay,
		Store: simulation.WeightStoreConfig{
			StartsPerSecond: scenario.Store.StartsPerSecond, Concurrency: scenario.Store.Concurrency,
			BytesPerSecond: float64(scenario.Store.Rate),
		},
		MachineListLag: scenario.MachineListLag,
		KeyValueDelay:  scenario.KeyValue.Delay,
		KeyValueRate:   scenario.KeyValue.RequestsPerSecond,
	}
	for _, zone := range scenario.Zones {
		deployment.Zones = append(deployment.Zones, simulation.ZoneConfig{
			ID: cluster.ZoneID(zone.Name), Region: cluster.RegionID(zone.Region), Nodes: zone.Nodes,
		})
	}
	perZone := make([]int, len(scenario.Zones))
	next := 0
	for i := range scenario.Workers {
		worker := &scenario.Workers[i]
		for range worker.Count {
			zone := next % len(scenario.Zones)
			deployment.Machines = append(deployment.Machines, machineConfig(scenario, worker, zone, perZone[zone]))
			perZone[zone]++
			next++
		}
	}
	addCachedCheckpoints(scenario, models, &deployment)
	return deployment
}

// machineConfig returns the configuration of one machine.
func machineConfig(scenario *Scenario, worker *Worker, zone, number int) simulation.MachineConfig {
	place := scenario.Zones[zone]
	restart := worker.RestartTime
	if restart == 0 {
		restart = defaultRestartTime
	}
	return simulation.MachineConfig{
		Machine: cluster.Machine{
			ID:   cluster.MachineID(fmt.Sprintf("%s-%s-%03d", place.Name, worker.Pool, number)),
			Zone: cluster.ZoneID(place.Name), Region: cluster.RegionID(place.Region),
			Rack:    fmt.Sprintf("%s-rack-%d", place.Name, number/machinesPerRack),
			Address: fmt.Sprintf("10.200.%d.%d:8000", zone, number),
		},
		Engine: simulation.EngineConfig{
			Pool: worker.Pool, MemoryBytes: int64(worker.Memory), Accelerators: worker.Accelerators, Slots: worker.Slots,
			DiskBytes: int64(worker.Disk), HostBytes: int64(worker.Host),
			DiskRate: float64(worker.DiskRate), HostRate: float64(worker.HostRate), LoadOverhead: worker.LoadOverhead,
			PrefillRate: worker.PrefillRate, TokenTime: worker.TokenTime, TokenTimeSlope: worker.TokenTimeSlope,
			RestartTime: restart,
		},
	}
}

// addCachedCheckpoints selects at random the checkpoints that the machines cache at the start. The
// selection depends on the scenario and not on the seed of the run.
func addCachedCheckpoints(scenario *Scenario, models *Models, deployment *simulation.Deployment) {
	random := rand.New(rand.NewPCG(scenarioSeed, xxhash.Sum64String(scenario.Name+"/cache")))
	for _, machine := range deployment.Machines {
		for _, member := range models.Members {
			onDisk, inHost := random.Float64(), random.Float64()
			if member.Group.Pool != machine.Engine.Pool {
				continue
			}
			cached := simulation.Preload{Machine: machine.Machine.ID, Model: member.ID, Bytes: member.Bytes}
			switch {
			case inHost < member.Group.InHost:
				cached.Tier = cluster.TierMemory
			case onDisk < member.Group.OnDisk:
				cached.Tier = cluster.TierDisk
			default:
				continue
			}
			deployment.Preloaded = append(deployment.Preloaded, cached)
		}
	}
}
