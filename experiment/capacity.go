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

// Role is a control-plane role of a node.
type Role string

// The roles. Every node is a router and a member. A controller also holds the lease of its zone.
// The apportioner is the controller that divides the replica counts among the zones.
const (
	RoleMember      Role = "router and member"
	RoleController  Role = "zone controller"
	RoleApportioner Role = "apportioner"
)

// Roles returns all roles in the order of the capacity page.
func Roles() []Role { return []Role{RoleMember, RoleController, RoleApportioner} }

// RoleCost is the resource consumption of one node in a role. Rates are per second of virtual time.
type RoleCost struct {
	Nodes int `json:"nodes"`
	// Core is the share of one core spent on control: everything but the request path, including
	// encoding and decoding, without sockets.
	Core float64 `json:"core"`
	// CoreBy divides Core by the type of work.
	CoreBy map[string]float64 `json:"core_by"`
	// Sent and Received are the bytes of messages between nodes, MessagesSent is their number.
	Sent         float64 `json:"sent_bytes"`
	Received     float64 `json:"received_bytes"`
	MessagesSent float64 `json:"messages_sent"`
	// BytesBy divides the sent and received bytes by message type.
	BytesBy map[string]float64 `json:"bytes_by"`
	// Memory is the heap memory in bytes that the node's core keeps.
	Memory float64 `json:"memory"`
}

// SharedCost is the load on shared services per second.
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
	// LargestValue is the size of the largest stored value.
	LargestValue     float64            `json:"key_value_largest"`
	MachineListReads float64            `json:"machine_list_reads"`
	StoreReads       float64            `json:"store_reads"`
	EngineCalls      map[string]float64 `json:"engine_calls"`
	// EngineCallsEach is the number of all control calls divided by the number of machines.
	EngineCallsEach float64 `json:"engine_calls_each"`
}

// CapacitySample holds the measurements of one deployment size.
type CapacitySample struct {
	Nodes    int `json:"nodes"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
	Workers  int `json:"workers"`
	Models   int `json:"models"`
	Adapters int `json:"adapters"`
	// RequestsPerSecond is the rate of arrivals in the measured time, ServedShare the share of them
	// that was served.
	RequestsPerSecond float64 `json:"requests_per_second"`
	ServedShare       float64 `json:"served_share"`
	// RequestCore is the processor time in seconds that the routing core spends on a request.
	RequestCore float64            `json:"request_core"`
	Roles       map[Role]*RoleCost `json:"roles"`
	Shared      SharedCost         `json:"shared"`
	// Times in seconds from the commit of an edit until it was active on each node.
	ConfigurationP50 float64 `json:"configuration_p50"`
	ConfigurationP99 float64 `json:"configuration_p99"`
	ConfigurationMax float64 `json:"configuration_max"`
	Violations       int     `json:"violations"`
	// Hash is the hash of the event log, which is equal on every machine.
	Hash uint64 `json:"hash,string"`
	// RealSeconds, CPUSeconds and HeapBytes are the resources used by the run itself.
	RealSeconds float64 `json:"real_seconds"`
	CPUSeconds  float64 `json:"cpu_seconds"`
	HeapBytes   float64 `json:"heap_bytes"`
}

// CapacityOptions configures MeasureCapacity.
type CapacityOptions struct {
	// Settle is the warm-up time before the measurement, Measure the length of the measurement.
	Settle, Measure time.Duration
	// Edits is the number of edits committed after the measurement, one per EditInterval.
	Edits        int
	EditInterval time.Duration
	Seed         uint64
}

// ScaleScenario returns the scenario with the given number of its zones and everything else
// scaled in proportion.
func ScaleScenario(scenario *Scenario, zones int) *Scenario {
	fraction := float64(zones) / float64(len(scenario.Zones))
	scaleCount := func(count int) int { return max(1, int(float64(count)*fraction+0.5)) }
	scaled := *scenario
	scaled.Name = fmt.Sprintf("%s/%d", scenario.Name, zones)
	scaled.Zones = scenario.Zones[:zones]
	scaled.Workers = slices.Clone(scenario.Workers)
	for i := range scaled.Workers {
		scaled.Workers[i].Count = scaleCount(scenario.Workers[i].Count)
	}
	scaled.Models = slices.Clone(scenario.Models)
	for i := range scaled.Models {
		scaled.Models[i].Count = scaleCount(scenario.Models[i].Count)
		scaled.Models[i].Adapters = scaleCount(scenario.Models[i].Adapters)
	}
	scaled.Traffic = slices.Clone(scenario.Traffic)
	for i := range scaled.Traffic {
		scaled.Traffic[i].SessionsPerDay *= fraction
	}
	scaled.Store.StartsPerSecond *= fraction
	scaled.Store.Concurrency = scaleCount(scenario.Store.Concurrency)
	return &scaled
}

// MeasureCapacity measures a scenario with the given number of its zones. It runs the production
// cores without faults.
func MeasureCapacity(scenario *Scenario, zones int, options CapacityOptions) (*CapacitySample, error) {
	if zones < 1 || zones > len(scenario.Zones) {
		return nil, eris.Errorf("measure capacity with %d zones: the scenario has %d", zones, len(scenario.Zones))
	}
	scaled := ScaleScenario(scenario, zones)
	scaled.Warmup, scaled.Duration = options.Settle, options.Measure+time.Duration(options.Edits+10)*options.EditInterval
	// Processor time is read for the locked thread, so other threads and processes do not count.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	meter := newCapacityMeter()
	startedAt, cpuAtStart := time.Now(), processCPUTime()
	policies, err := ParsePolicies("adaptive")
	if err != nil {
		return nil, err
	}
	world, err := NewWorld(scaled, policies[0], options.Seed, WorldOptions{EncodeMessages: true, Meter: meter})
	if err != nil {
		return nil, err
	}
	world.Run(simulation.Epoch.Add(options.Settle))
	sample := newCapacitySample(scaled)
	before := snapshotCounters(world)
	meter.start(world)
	world.Run(simulation.Epoch.Add(options.Settle + options.Measure))
	meter.stop()
	sample.computeRates(world, meter, before, options.Measure)
	sample.measureConfigurationDelay(world, options)
	sample.Violations, sample.Hash = world.Checkers.Total(), world.Kernel.Hash()
	sample.measureMemory(world, meter)
	sample.RealSeconds = time.Since(startedAt).Seconds()
	sample.CPUSeconds = (processCPUTime() - cpuAtStart).Seconds()
	return sample, nil
}

// newCapacitySample returns a sample with the sizes of the scenario.
func newCapacitySample(scenario *Scenario) *CapacitySample {
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

// counterSnapshot holds the counters of a world at one time.
type counterSnapshot struct {
	keyValue              simulation.KeyValueCounts
	listReads, storeReads uint64
	engineCalls           map[node.EngineOperation]uint64
	arrived, served       int
	traffic               map[*simulation.Node][2]map[string]simulation.Traffic
}

// snapshotCounters returns the current counters.
func snapshotCounters(world *simulation.World) counterSnapshot {
	snapshot := counterSnapshot{
		keyValue: world.KeyValue.Counts, listReads: world.ListReads, storeReads: world.StoreReads,
		engineCalls: map[node.EngineOperation]uint64{}, arrived: world.Callers.Arrived,
		served:  world.Callers.Outcomes[simulation.OutcomeServed],
		traffic: map[*simulation.Node][2]map[string]simulation.Traffic{},
	}
	for operation, count := range world.EngineCalls {
		snapshot.engineCalls[operation] = count
	}
	for _, member := range world.Nodes() {
		snapshot.traffic[member] = [2]map[string]simulation.Traffic{copyTraffic(member.Sent), copyTraffic(member.Received)}
	}
	return snapshot
}

// copyTraffic copies the counters by message type.
func copyTraffic(by map[string]simulation.Traffic) map[string]simulation.Traffic {
	copied := make(map[string]simulation.Traffic, len(by))
	for kind, counted := range by {
		copied[kind] = counted
	}
	return copied
}

// computeRates computes the rates over the measured time.
func (s *CapacitySample) computeRates(world *simulation.World, meter *capacityMeter, before counterSnapshot, measured time.Duration) {
	seconds := measured.Seconds()
	s.computeRoleCosts(world, meter, before, seconds)
	s.computeSharedCost(world, before, seconds)
	arrived := world.Callers.Arrived - before.arrived
	s.RequestsPerSecond = float64(arrived) / seconds
	s.ServedShare = divide(float64(world.Callers.Outcomes[simulation.OutcomeServed]-before.served), float64(arrived))
	s.RequestCore = divide(meter.requestPathTime.Seconds(), float64(arrived))
}

// computeRoleCosts attributes processor time and messages to the roles.
func (s *CapacitySample) computeRoleCosts(world *simulation.World, meter *capacityMeter, before counterSnapshot, seconds float64) {
	for _, role := range Roles() {
		s.Roles[role] = &RoleCost{CoreBy: map[string]float64{}, BytesBy: map[string]float64{}}
	}
	for _, member := range world.Nodes() {
		s.Roles[meter.role(member)].Nodes++
	}
	for _, member := range world.Nodes() {
		cost := s.Roles[meter.role(member)]
		perNodeSecond := 1 / (seconds * float64(cost.Nodes))
		for kind, cpuTime := range meter.cpuTimes[member] {
			cost.Core += cpuTime.Seconds() * perNodeSecond
			cost.CoreBy[kind] += cpuTime.Seconds() * perNodeSecond
		}
		earlier := before.traffic[member]
		sent, received := trafficSince(member.Sent, earlier[0]), trafficSince(member.Received, earlier[1])
		for _, kind := range slices.Sorted(maps.Keys(sent)) {
			bytes := float64(sent[kind].Bytes) * perNodeSecond
			cost.Sent += bytes
			cost.BytesBy[kind] += bytes
			cost.MessagesSent += float64(sent[kind].Messages) * perNodeSecond
		}
		for _, kind := range slices.Sorted(maps.Keys(received)) {
			bytes := float64(received[kind].Bytes) * perNodeSecond
			cost.Received += bytes
			cost.BytesBy[kind] += bytes
		}
	}
}

// trafficSince returns the difference between two readings of the traffic counters.
func trafficSince(now, before map[string]simulation.Traffic) map[string]simulation.Traffic {
	counted := make(map[string]simulation.Traffic, len(now))
	for kind, traffic := range now {
		counted[kind] = simulation.Traffic{
			Messages: traffic.Messages - before[kind].Messages, Bytes: traffic.Bytes - before[kind].Bytes,
		}
	}
	return counted
}

// engineOperationNames holds the names of the control calls.
var engineOperationNames = map[node.EngineOperation]string{
	node.EngineSeal: "seal", node.EngineOrder: "order", node.EngineInventory: "inventory",
	node.EngineReport: "report", node.EngineMoveCache: "move cache",
}

// computeSharedCost computes the load on shared services.
func (s *CapacitySample) computeSharedCost(world *simulation.World, before counterSnapshot, seconds float64) {
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
		StoreReads:         rate(world.StoreReads, before.storeReads),
		EngineCalls:        map[string]float64{},
	}
	for _, operation := range slices.Sorted(maps.Keys(world.EngineCalls)) {
		calls := rate(world.EngineCalls[operation], before.engineCalls[operation])
		s.Shared.EngineCalls[engineOperationNames[operation]] = calls
		s.Shared.EngineCallsEach += calls / float64(s.Workers)
	}
	pairs, _ := world.KeyValue.State().Range(world.Kernel.Now(), "/valveslip/")
	for _, pair := range pairs {
		s.Shared.KeyValueStored += float64(len(pair.Key) + len(pair.Value))
		s.Shared.LargestValue = max(s.Shared.LargestValue, float64(len(pair.Value)))
	}
}

// measureConfigurationDelay commits edits and measures the time until each node activates them.
func (s *CapacitySample) measureConfigurationDelay(world *simulation.World, options CapacityOptions) {
	var delays []time.Duration
	world.OnInForce = func(_ *simulation.Node, delay time.Duration) { delays = append(delays, delay) }
	for range options.Edits {
		world.Inject(simulation.Fault{Kind: simulation.FaultEdit})
		world.Run(world.Kernel.Now().Add(options.EditInterval))
	}
	world.Run(world.Kernel.Now().Add(10 * options.EditInterval))
	world.OnInForce = nil
	slices.Sort(delays)
	percentile := func(share float64) float64 {
		if len(delays) == 0 {
			return 0
		}
		return delays[int(share*float64(len(delays)-1))].Seconds()
	}
	s.ConfigurationP50, s.ConfigurationP99, s.ConfigurationMax = percentile(0.5), percentile(0.99), percentile(1)
}

// measureMemory removes the cores of one role after the other and attributes the decrease of the
// heap to the role.
func (s *CapacitySample) measureMemory(world *simulation.World, meter *capacityMeter) {
	s.HeapBytes = float64(heapBytes())
	for _, role := range Roles() {
		before := heapBytes()
		for _, member := range world.Nodes() {
			if meter.role(member) == role {
				member.Discard()
			}
		}
		if count := s.Roles[role].Nodes; count > 0 {
			s.Roles[role].Memory = max(0, float64(before)-float64(heapBytes())) / float64(count)
		}
	}
	runtime.KeepAlive(world)
}

// heapBytes returns the size of the live heap after garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}
