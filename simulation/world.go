package simulation

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/standin/machines"
)

// platformZone is where the platform's services are; it is never isolated, so
// only cuts of the callers' side part them.
const platformZone cluster.ZoneID = "_platform"

// Core is what a simulated process runs; node.Core implements it.
type Core interface {
	Step(now time.Time, event node.Event) []node.Effect
}

// CoreFactory makes the core of a process that starts. Seed differs between
// starts.
type CoreFactory func(self cluster.Node, seeds []string, seed uint64) Core

// NodeCores makes the product's own cores from a common configuration.
func NodeCores(config node.CoreConfig) CoreFactory {
	return func(self cluster.Node, seeds []string, seed uint64) Core {
		own := config
		own.Self, own.Seeds, own.Seed = self, seeds, seed
		return node.NewCore(own)
	}
}

// WorldConfig configures a World.
type WorldConfig struct {
	Seed       uint64
	Deployment Deployment
	// Tree is committed before the nodes start.
	Tree *settings.Tree
	// NewCore makes the cores.
	NewCore CoreFactory
	// Source of the traffic; nil means none.
	Source Source
	// TickInterval between Ticks of a node; the default is the node's own.
	TickInterval time.Duration
	// EncodeMessages passes every message between nodes through the codec, so
	// that no core can share memory with another.
	EncodeMessages bool
	// Finished is called for every request that ended; nil means none.
	Finished func(Result)
	// Meter measures what the processes spend; nil measures nothing.
	Meter Meter
	// Tamper lets tests plant defects; the zero value changes nothing.
	Tamper Tamper
}

// World is a whole deployment on a virtual clock: nodes that run the product's
// cores, engines, the platform and callers.
type World struct {
	Kernel   *Kernel
	Network  *Network
	Store    *WeightStore
	KeyValue *KeyValue
	List     *machineList
	Usage    *Usage
	Checkers *Checkers
	Callers  *Callers
	// Messages between nodes; bytes when messages are encoded.
	Messages Traffic

	// Trace, when set, is told of faults and edits.
	Trace func(format string, arguments ...any)
	// OnInForce, when set, is told how long after its acceptance a revision
	// was in force on a node.
	OnInForce func(on *Node, took time.Duration)
	config    WorldConfig
	engines   map[cluster.MachineID]*Engine
	order     []cluster.MachineID
	nodes     []*Node
	byPeer    map[string]*Node
	faults    *rand.Rand
	// Faults counts injected faults by kind.
	Faults map[FaultKind]int
	// EngineCalls counts control calls by operation.
	EngineCalls map[node.EngineOperation]uint64
	// ListReads and StoreReads count reads of the platform's other services.
	ListReads, StoreReads uint64
	disturbed             disturbance
}

// NewWorld builds the deployment; its processes start with Run.
func NewWorld(config WorldConfig) (*World, error) {
	kernel := NewKernel(config.Seed)
	network := NewNetwork(kernel, config.Deployment.Network)
	if config.TickInterval == 0 {
		config.TickInterval = node.TickInterval
	}
	w := &World{
		Kernel: kernel, Network: network, Store: NewWeightStore(kernel, config.Deployment.Store),
		Usage: NewUsage(kernel), config: config,
		engines: map[cluster.MachineID]*Engine{}, byPeer: map[string]*Node{},
		faults: kernel.Stream("faults"), Faults: map[FaultKind]int{},
		EngineCalls: map[node.EngineOperation]uint64{},
	}
	platform := Place{Zone: platformZone, Region: config.Deployment.Zones[0].Region}
	w.KeyValue = newKeyValue(kernel, network, platform, config.Deployment)
	w.List = newMachineList(machines.NewState(config.Deployment.MachineListLag), platform)
	w.Checkers = newCheckers(w)
	w.Callers = newCallers(w)
	for _, machine := range config.Deployment.Machines {
		w.addMachine(machine)
	}
	for _, preload := range config.Deployment.Preloaded {
		w.engines[preload.Machine].Preload(preload.Model, preload.Bytes, preload.Tier)
	}
	if err := w.commitTree(config.Tree); err != nil {
		return nil, err
	}
	w.addNodes()
	return w, nil
}

// addMachine starts an engine and lists its machine.
func (w *World) addMachine(machine MachineConfig) *Engine {
	added := NewEngine(w.Kernel, w.Store, machine.Machine, machine.Engine, w)
	w.engines[machine.Machine.ID] = added
	w.order = append(w.order, machine.Machine.ID)
	sort.Slice(w.order, func(i, j int) bool { return w.order[i] < w.order[j] })
	w.List.state.Put(w.Kernel.Now().Add(-w.config.Deployment.MachineListLag), machine.Machine)
	return added
}

// addNodes starts the nodes of every zone; a few of each zone are seeds.
func (w *World) addNodes() {
	const seedsPerZone = 2
	var seeds []string
	for zone, zoneConfig := range w.config.Deployment.Zones {
		for i := range zoneConfig.Nodes {
			address := fmt.Sprintf("10.%d.%d.%d:7000", zone, i/250, i%250+1)
			added := &Node{
				world: w, address: address, Place: Place{Zone: zoneConfig.ID, Region: zoneConfig.Region},
				number: len(w.nodes),
			}
			w.nodes = append(w.nodes, added)
			w.byPeer[address] = added
			if i < seedsPerZone {
				seeds = append(seeds, address)
			}
		}
	}
	for _, added := range w.nodes {
		added.seeds = seeds
		offset := time.Duration(w.faults.Int64N(int64(time.Second)))
		w.Kernel.After(offset, LabelTick, added.start)
	}
}

// Run drives the world until the given virtual time.
func (w *World) Run(until time.Time) {
	if !w.Callers.fed && w.config.Source != nil {
		w.Callers.fed = true
		feed(w.Kernel, w.config.Source, w.Callers.arrive)
	}
	w.Kernel.Run(until)
	w.Usage.Settle()
}

// Nodes returns the processes' places in a fixed order.
func (w *World) Nodes() []*Node { return w.nodes }

// Engines returns the engines sorted by machine.
func (w *World) Engines() []*Engine {
	engines := make([]*Engine, 0, len(w.order))
	for _, id := range w.order {
		engines = append(engines, w.engines[id])
	}
	return engines
}

// ReplicaChanged implements EngineObserver.
func (w *World) ReplicaChanged(machine *Engine, model cluster.ModelID, next cluster.ReplicaState) {
	w.Usage.ReplicaChanged(machine, model, next)
	w.Checkers.replicaChanged(machine, model, next)
}

// RunningChanged implements EngineObserver.
func (w *World) RunningChanged(machine *Engine, model cluster.ModelID, running int) {
	w.Usage.RunningChanged(machine, model, running)
}

// Executed implements EngineObserver.
func (w *World) Executed(machine *Engine, run Run) { w.Checkers.executed(machine, run) }

// listRefresh is how long a reading of the machine list serves all readers.
const listRefresh = 100 * time.Millisecond

// machineList is the machine list as the nodes read it.
type machineList struct {
	state   *machines.State
	place   Place
	readAt  time.Time
	shown   []cluster.Machine
	version uint64
}

// newMachineList returns an empty list.
func newMachineList(state *machines.State, place Place) *machineList {
	return &machineList{state: state, place: place}
}

// read returns the list as it is shown now.
func (l *machineList) read(now time.Time) ([]cluster.Machine, uint64) {
	if l.shown == nil || now.Sub(l.readAt) >= listRefresh {
		l.shown, l.version = l.state.List(now)
		l.readAt = now
	}
	return l.shown, l.version
}

// trace tells Trace, if set.
func (w *World) trace(format string, arguments ...any) {
	if w.Trace != nil {
		w.Trace(format, arguments...)
	}
}
