package experiment

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/simulation"
)

// Role is a part that a node plays in control.
type Role string

// The roles. Every node is a router and a member; a controller also holds its
// zone's lease and the apportioner is the controller that divides the counts.
const (
	RoleMember      Role = "router and member"
	RoleController  Role = "zone controller"
	RoleApportioner Role = "apportioner"
)

// Roles in the order of the page.
func Roles() []Role { return []Role{RoleMember, RoleController, RoleApportioner} }

// RoleCost is what one node in a role spends. Rates are a second of virtual
// time.
type RoleCost struct {
	Nodes int `json:"nodes"`
	// Core is the share of one core spent on control: everything but the
	// request path, with encoding and decoding, without sockets.
	Core float64 `json:"core"`
	// CoreBy is Core by what the time went to.
	CoreBy map[string]float64 `json:"core_by"`
	// Sent and Received bytes of messages between nodes, MessagesSent their
	// number.
	Sent         float64 `json:"sent_bytes"`
	Received     float64 `json:"received_bytes"`
	MessagesSent float64 `json:"messages_sent"`
	// BytesBy is sent and received bytes by message type.
	BytesBy map[string]float64 `json:"bytes_by"`
	// Memory in bytes that the node's core keeps.
	Memory float64 `json:"memory"`
}

// SharedCost is what the shared things carry, a second.
type SharedCost struct {
	KeyValueReads      float64 `json:"key_value_reads"`
	KeyValueWrites     float64 `json:"key_value_writes"`
	KeyValueKeepAlives float64 `json:"key_value_keep_alives"`
	KeyValueWatches    float64 `json:"key_value_watches"`
	KeyValueBatches    float64 `json:"key_value_watch_batches"`
	KeyValueBytesIn    float64 `json:"key_value_bytes_in"`
	KeyValueBytesOut   float64 `json:"key_value_bytes_out"`
	// KeyValueStored is the size of all keys and values below the root.
	KeyValueStored float64 `json:"key_value_stored"`
	// LargestValue stored.
	LargestValue     float64            `json:"key_value_largest"`
	MachineListReads float64            `json:"machine_list_reads"`
	StoreReads       float64            `json:"store_reads"`
	EngineCalls      map[string]float64 `json:"engine_calls"`
	// EngineCallsEach is all control calls divided by the machines.
	EngineCallsEach float64 `json:"engine_calls_each"`
}

// CapacitySample is one measured size.
type CapacitySample struct {
	Nodes    int `json:"nodes"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
	Workers  int `json:"workers"`
	Models   int `json:"models"`
	Adapters int `json:"adapters"`
	// RequestsPerSecond that arrived and were served in the measured time.
	RequestsPerSecond float64 `json:"requests_per_second"`
	ServedShare       float64 `json:"served_share"`
	// RequestCore is core seconds a request spends in the routing core.
	RequestCore float64            `json:"request_core"`
	Roles       map[Role]*RoleCost `json:"roles"`
	Shared      SharedCost         `json:"shared"`
	// Configuration times, in seconds, from acceptance of an edit until it was
	// in force on each node.
	ConfigurationP50 float64 `json:"configuration_p50"`
	ConfigurationP99 float64 `json:"configuration_p99"`
	ConfigurationMax float64 `json:"configuration_max"`
	Violations       int     `json:"violations"`
	// Hash of the event log: equal on every machine.
	Hash uint64 `json:"hash,string"`
	// RealSeconds and HeapBytes the run took.
	RealSeconds float64 `json:"real_seconds"`
	CPUSeconds  float64 `json:"cpu_seconds"`
	HeapBytes   float64 `json:"heap_bytes"`
}

// CapacityOptions of a measurement.
type CapacityOptions struct {
	// Settle runs before measuring, Measure is measured.
	Settle, Measure time.Duration
	// Edits are committed after that, one each EditInterval.
	Edits        int
	EditInterval time.Duration
	Seed         uint64
}

// Scaled returns the scenario with the given number of its zones and the same
// share of everything else.
func Scaled(scenario *Scenario, zones int) *Scenario {
	share := float64(zones) / float64(len(scenario.Zones))
	part := func(whole int) int { return max(1, int(float64(whole)*share+0.5)) }
	smaller := *scenario
	smaller.Name = fmt.Sprintf("%s/%d", scenario.Name, zones)
	smaller.Zones = scenario.Zones[:zones]
	smaller.Workers = slices.Clone(scenario.Workers)
	for i := range smaller.Workers {
		smaller.Workers[i].Count = part(scenario.Workers[i].Count)
	}
	smaller.Models = slices.Clone(scenario.Models)
	for i := range smaller.Models {
		smaller.Models[i].Count = part(scenario.Models[i].Count)
		smaller.Models[i].Adapters = part(scenario.Models[i].Adapters)
	}
	smaller.Traffic = slices.Clone(scenario.Traffic)
	for i := range smaller.Traffic {
		smaller.Traffic[i].SessionsPerDay *= share
	}
	smaller.Store.StartsPerSecond *= share
	smaller.Store.Concurrency = part(scenario.Store.Concurrency)
	return &smaller
}

// MeasureCapacity measures a scenario at the given number of its zones, with
// the product's own cores and no faults.
func MeasureCapacity(scenario *Scenario, zones int, options CapacityOptions) (*CapacitySample, error) {
	if zones < 1 || zones > len(scenario.Zones) {
		return nil, eris.Errorf("%d zones asked, the scenario has %d", zones, len(scenario.Zones))
	}
	smaller := Scaled(scenario, zones)
	smaller.Warmup, smaller.Duration = options.Settle, options.Measure+time.Duration(options.Edits+10)*options.EditInterval
	// Times are the thread's own, so other work on the machine does not count.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	meter := newCapacityMeter()
	began, processor := time.Now(), processTime()
	policies, err := ParsePolicies("adaptive")
	if err != nil {
		return nil, err
	}
	world, err := NewWorld(smaller, policies[0], options.Seed, WorldOptions{EncodeMessages: true, Meter: meter})
	if err != nil {
		return nil, err
	}
	world.Run(simulation.Epoch.Add(options.Settle))
	sample := describe(smaller)
	before := take(world)
	meter.begin(world)
	world.Run(simulation.Epoch.Add(options.Settle + options.Measure))
	meter.end()
	sample.fill(world, meter, before, options.Measure)
	sample.measureConfiguration(world, options)
	sample.Violations, sample.Hash = world.Checkers.Total(), world.Kernel.Hash()
	sample.measureMemory(world, meter)
	sample.RealSeconds = time.Since(began).Seconds()
	sample.CPUSeconds = (processTime() - processor).Seconds()
	return sample, nil
}

// describe counts what a scenario has.
func describe(scenario *Scenario) *CapacitySample {
	sample := &CapacitySample{Zones: len(scenario.Zones), Roles: map[Role]*RoleCost{}}
	regions := map[string]bool{}
	for _, zone := range scenario.Zones {
		sample.Nodes += zone.Nodes
		regions[zone.Region] = true
	}
	sample.Regions = len(regions)
	for _, worker := range scenario.Workers {
		sample.Workers += worker.Count
	}
	for _, group := range scenario.Models {
		sample.Models += group.Count
		sample.Adapters += group.Adapters
	}
	return sample
}

// totals are the counters of a world at one time.
type totals struct {
	keyValue         simulation.KeyValueCounts
	listReads, reads uint64
	engineCalls      map[node.EngineOperation]uint64
	arrived, served  int
	traffic          map[*simulation.Node][2]map[string]simulation.Traffic
}

// take reads the counters.
func take(world *simulation.World) totals {
	taken := totals{
		keyValue: world.KeyValue.Counts, listReads: world.ListReads, reads: world.StoreReads,
		engineCalls: map[node.EngineOperation]uint64{}, arrived: world.Callers.Arrived,
		served:  world.Callers.Outcomes[simulation.OutcomeServed],
		traffic: map[*simulation.Node][2]map[string]simulation.Traffic{},
	}
	for operation, count := range world.EngineCalls {
		taken.engineCalls[operation] = count
	}
	for _, member := range world.Nodes() {
		taken.traffic[member] = [2]map[string]simulation.Traffic{copyTraffic(member.Sent), copyTraffic(member.Received)}
	}
	return taken
}

// copyTraffic copies counters by message type.
func copyTraffic(by map[string]simulation.Traffic) map[string]simulation.Traffic {
	copied := make(map[string]simulation.Traffic, len(by))
	for kind, counted := range by {
		copied[kind] = counted
	}
	return copied
}

// fill computes the rates of the measured time.
func (s *CapacitySample) fill(world *simulation.World, meter *capacityMeter, before totals, measured time.Duration) {
	seconds := measured.Seconds()
	s.fillRoles(world, meter, before, seconds)
	s.fillShared(world, before, seconds)
	arrived := world.Callers.Arrived - before.arrived
	s.RequestsPerSecond = float64(arrived) / seconds
	s.ServedShare = ratio(float64(world.Callers.Outcomes[simulation.OutcomeServed]-before.served), float64(arrived))
	s.RequestCore = ratio(meter.requestPath.Seconds(), float64(arrived))
}

// fillRoles divides processor time and messages by role.
func (s *CapacitySample) fillRoles(world *simulation.World, meter *capacityMeter, before totals, seconds float64) {
	for _, role := range Roles() {
		s.Roles[role] = &RoleCost{CoreBy: map[string]float64{}, BytesBy: map[string]float64{}}
	}
	for _, member := range world.Nodes() {
		s.Roles[meter.role(member)].Nodes++
	}
	for _, member := range world.Nodes() {
		cost := s.Roles[meter.role(member)]
		each := 1 / (seconds * float64(cost.Nodes))
		for kind, took := range meter.spent[member] {
			cost.Core += took.Seconds() * each
			cost.CoreBy[kind] += took.Seconds() * each
		}
		then := before.traffic[member]
		sent, received := since(member.Sent, then[0]), since(member.Received, then[1])
		for _, kind := range slices.Sorted(maps.Keys(sent)) {
			bytes := float64(sent[kind].Bytes) * each
			cost.Sent += bytes
			cost.BytesBy[kind] += bytes
			cost.MessagesSent += float64(sent[kind].Messages) * each
		}
		for _, kind := range slices.Sorted(maps.Keys(received)) {
			bytes := float64(received[kind].Bytes) * each
			cost.Received += bytes
			cost.BytesBy[kind] += bytes
		}
	}
}

// since returns what was counted after an earlier reading.
func since(now, then map[string]simulation.Traffic) map[string]simulation.Traffic {
	counted := make(map[string]simulation.Traffic, len(now))
	for kind, traffic := range now {
		counted[kind] = simulation.Traffic{
			Messages: traffic.Messages - then[kind].Messages, Bytes: traffic.Bytes - then[kind].Bytes,
		}
	}
	return counted
}

// engineOperations names the control calls.
var engineOperations = map[node.EngineOperation]string{
	node.EngineSeal: "seal", node.EngineOrder: "order", node.EngineInventory: "inventory",
	node.EngineReport: "report", node.EngineMoveCache: "move cache",
}

// fillShared computes what the shared things carried.
func (s *CapacitySample) fillShared(world *simulation.World, before totals, seconds float64) {
	now := world.KeyValue.Counts
	rate := func(now, before uint64) float64 { return float64(now-before) / seconds }
	s.Shared = SharedCost{
		KeyValueReads:      rate(now.Reads, before.keyValue.Reads),
		KeyValueWrites:     rate(now.Writes, before.keyValue.Writes),
		KeyValueKeepAlives: rate(now.KeepAlives, before.keyValue.KeepAlives),
		KeyValueWatches:    rate(now.Watches, before.keyValue.Watches),
		KeyValueBatches:    rate(now.WatchBatches, before.keyValue.WatchBatches),
		KeyValueBytesIn:    rate(now.BytesIn, before.keyValue.BytesIn),
		KeyValueBytesOut:   rate(now.BytesOut, before.keyValue.BytesOut),
		MachineListReads:   rate(world.ListReads, before.listReads),
		StoreReads:         rate(world.StoreReads, before.reads),
		EngineCalls:        map[string]float64{},
	}
	for _, operation := range slices.Sorted(maps.Keys(world.EngineCalls)) {
		calls := rate(world.EngineCalls[operation], before.engineCalls[operation])
		s.Shared.EngineCalls[engineOperations[operation]] = calls
		s.Shared.EngineCallsEach += calls / float64(s.Workers)
	}
	pairs, _ := world.KeyValue.State().Range(world.Kernel.Now(), "/valveslip/")
	for _, pair := range pairs {
		s.Shared.KeyValueStored += float64(len(pair.Key) + len(pair.Value))
		s.Shared.LargestValue = max(s.Shared.LargestValue, float64(len(pair.Value)))
	}
}

// measureConfiguration commits edits and times them on every node.
func (s *CapacitySample) measureConfiguration(world *simulation.World, options CapacityOptions) {
	var times []time.Duration
	world.OnInForce = func(_ *simulation.Node, took time.Duration) { times = append(times, took) }
	for range options.Edits {
		world.Inject(simulation.Fault{Kind: simulation.FaultEdit})
		world.Run(world.Kernel.Now().Add(options.EditInterval))
	}
	world.Run(world.Kernel.Now().Add(10 * options.EditInterval))
	world.OnInForce = nil
	slices.Sort(times)
	at := func(share float64) float64 {
		if len(times) == 0 {
			return 0
		}
		return times[int(share*float64(len(times)-1))].Seconds()
	}
	s.ConfigurationP50, s.ConfigurationP99, s.ConfigurationMax = at(0.5), at(0.99), at(1)
}

// measureMemory takes the cores away role by role and sees what the heap loses.
func (s *CapacitySample) measureMemory(world *simulation.World, meter *capacityMeter) {
	s.HeapBytes = float64(heapBytes())
	for _, role := range Roles() {
		before := heapBytes()
		for _, member := range world.Nodes() {
			if meter.role(member) == role {
				member.Forget()
			}
		}
		if count := s.Roles[role].Nodes; count > 0 {
			s.Roles[role].Memory = max(0, float64(before)-float64(heapBytes())) / float64(count)
		}
	}
	runtime.KeepAlive(world)
}

// heapBytes returns the live bytes of the process.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}
