package simulation

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/settings"
)

// smallTree is a settings tree with a base model, its adapter and two more models.
const smallTree = `
max_replicas: 2
queue_time: 20s
deadline: 30s
keep_alive: 1m
children:
  team:
    kind: team
    children:
      base:
        kind: model
        memory: 8GiB
        children:
          tuned: {kind: adapter, memory: 512MiB}
      large: {kind: model, memory: 20GiB}
      small: {kind: model, memory: 4GiB, repeatable: true}
`

// smallDeployment returns three zones with two nodes and two machines each.
func smallDeployment() Deployment {
	deployment := Deployment{
		Network: NetworkConfig{
			WithinZone: 200 * time.Microsecond, BetweenZones: time.Millisecond, BetweenRegions: 20 * time.Millisecond, Jitter: 0.3,
		},
		ClientDelay: time.Millisecond, MachineListLag: 2 * time.Second, KeyValueDelay: 2 * time.Millisecond,
		Store: WeightStoreConfig{StartsPerSecond: 2, Concurrency: 4, BytesPerSecond: 4e9},
	}
	for _, zone := range []cluster.ZoneID{"a", "b", "c"} {
		deployment.Zones = append(deployment.Zones, ZoneConfig{ID: zone, Region: "r", Nodes: 2})
		for _, number := range []string{"0", "1"} {
			deployment.Machines = append(deployment.Machines, MachineConfig{
				Machine: cluster.Machine{
					ID: cluster.MachineID(string(zone) + "-" + number), Zone: zone, Region: "r", Rack: string(zone),
					Address: "10.9." + number + "." + string(zone[0]) + ":8000",
				},
				Engine: EngineConfig{
					Pool: "default", MemoryBytes: 32 << 30, Accelerators: 1, Slots: 4, DiskBytes: 100 << 30, HostBytes: 20 << 30,
					DiskRate: 4e9, HostRate: 10e9, LoadOverhead: 500 * time.Millisecond,
					PrefillRate: 8000, TokenTime: 20 * time.Millisecond, TokenTimeSlope: time.Millisecond, RestartTime: 10 * time.Second,
				},
			})
		}
	}
	return deployment
}

// steadySource yields requests at a fixed interval for each model in turn.
type steadySource struct {
	at       time.Time
	interval time.Duration
	until    time.Time
	count    int
}

// Next implements Source.
func (s *steadySource) Next() (Arrival, bool) {
	models := []cluster.ModelID{"base", "tuned", "large", "small"}
	zones := []cluster.ZoneID{"a", "b", "c"}
	s.at = s.at.Add(s.interval)
	s.count++
	return Arrival{
		At: s.at, Model: models[s.count%len(models)], Zone: zones[s.count%len(zones)], TokenPath: "/team", Team: "/team",
		Deadline: 30 * time.Second, Repeatable: s.count%2 == 0, PromptTokens: 200, Tokens: 40,
	}, s.at.Before(s.until)
}

// newSmallWorld returns a world with four requests per second from the 10th second
// to the end of the fourth minute.
func newSmallWorld(t testing.TB, seed uint64, tamper DefectHooks) *World {
	t.Helper()
	tree, err := settings.ParseYAML([]byte(smallTree))
	if err != nil {
		t.Fatal(err)
	}
	world, err := NewWorld(WorldConfig{
		Seed: seed, Deployment: smallDeployment(), Tree: tree, NewCore: NodeCores(node.CoreConfig{}),
		Source:         &steadySource{at: Epoch.Add(10 * time.Second), interval: 250 * time.Millisecond, until: Epoch.Add(4 * time.Minute)},
		EncodeMessages: true, Tamper: tamper,
	})
	if err != nil {
		t.Fatal(err)
	}
	return world
}

// Guards against broken promises, requests that never end and needless refusals in
// a deployment without faults.
func TestWorldWithoutFaultsServesAndKeepsPromises(t *testing.T) {
	world := newSmallWorld(t, 1, DefectHooks{})
	world.Run(Epoch.Add(5 * time.Minute))
	for _, violation := range world.Checkers.Violations {
		t.Error(violation)
	}
	t.Logf("outcomes %v, refusals %v, checks %v, messages %+v", world.Callers.Outcomes, world.Callers.Refusals, world.Checkers.Checked, world.Messages)
	if served := world.Callers.Outcomes[OutcomeServed]; served < world.Callers.Arrived*9/10 {
		t.Errorf("%d of %d requests served", served, world.Callers.Arrived)
	}
	if world.Callers.Pending() != 0 {
		t.Errorf("%d requests never ended", world.Callers.Pending())
	}
}
