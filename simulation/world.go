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

// platformZone is the zone of the platform's services. It is never isolated, so a
// node loses these services only when the node's own zone or region is isolated.
const platformZone cluster.ZoneID = "_platform"

// Core is the state machine of a simulated process; node.Core implements it.
type Core interface {
	Step(now time.Time, event node.Event) []node.Effect
}

// CoreFactory returns the core of a starting process. The seed differs between
// the starts of a node.
type CoreFactory func(self cluster.Node, seeds []string, seed uint64) Core

// NodeCores returns a factory of the product's cores with a common configuration.
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
	// NewCore creates the core of each starting process.
	NewCore CoreFactory
	// Source yields the traffic; nil means no traffic.
	Source Source
	// TickInterval is the time between two node.Tick events of a node; zero means
	// node.TickInterval.
	TickInterval time.Duration
	// EncodeMessages encodes and decodes every message between nodes, so that
	// cores share no memory.
	EncodeMessages bool
	// Finished is called for every request that ended; nil means no call.
	Finished func(Result)
	// Meter measures the time that cores and the codec take; nil measures nothing.
	Meter Meter
	// Tamper lets tests inject defects; the zero value changes nothing.
	Tamper DefectHooks
}

// World is a complete deployment on a virtual clock: nodes that run the product's
// cores, engines, the platform's services and callers.
type World struct {
	Kernel   *Kernel
	Network  *Network
	Store    *WeightStore
	KeyValue *KeyValue
	List     *machineList
	Usage    *Usage
	Checkers *Checkers
	Callers  *Callers
	// Messages counts the messages between nodes, and their bytes if
	// EncodeMessages is set.
	Messages Traffic

	// Trace is called for every fault and edit, if set.
	Trace func(format string, arguments ...any)
	// OnInForce is called when a revision is in force on a node, if set, with the
	// time since the revision was accepted.
	OnInForce    func(on *Node, took time.Duration)
	config       WorldConfig
	engines      map[cluster.MachineID]*Engine
	machineOrder []cluster.MachineID
	nodes        []*Node
	byPeer       map[string]*Node
	faultRandom  *rand.Rand
	// Faults counts the injected faults by kind.
	Faults map[FaultKind]int
	// EngineCalls counts the control calls by operation.
	EngineCalls map[node.EngineOperation]uint64
	// ListReads counts reads of the machine list, StoreReads reads of the weight
	// store's status.
	ListReads, StoreReads uint64
	activeFaults          sharedFaults
}

// NewWorld builds the deployment and commits its settings. The processes start
// when Run is called.
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
		faultRandom: kernel.Stream("faults"), Faults: map[FaultKind]int{},
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

// addMachine starts an engine and adds its machine to the machine list.
func (w *World) addMachine(machine MachineConfig) *Engine {
	added := NewEngine(w.Kernel, w.Store, machine.Machine, machine.Engine, w)
	w.engines[machine.Machine.ID] = added
	w.machineOrder = append(w.machineOrder, machine.Machine.ID)
	sort.Slice(w.machineOrder, func(i, j int) bool { return w.machineOrder[i] < w.machineOrder[j] })
	w.List.state.Put(w.Kernel.Now().Add(-w.config.Deployment.MachineListLag), machine.Machine)
	return added
}

// addNodes schedules the start of the nodes of every zone. The first nodes of
// each zone are the seeds of all nodes.
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
		offset := time.Duration(w.faultRandom.Int64N(int64(time.Second)))
		w.Kernel.After(offset, LabelTick, added.start)
	}
}

// Run runs the world until the given virtual time.
func (w *World) Run(until time.Time) {
	if !w.Callers.sourceScheduled && w.config.Source != nil {
		w.Callers.sourceScheduled = true
		scheduleArrivals(w.Kernel, w.config.Source, w.Callers.send)
	}
	w.Kernel.Run(until)
	w.Usage.IntegrateToNow()
}

// Nodes returns all nodes, dead ones too, in a fixed order.
func (w *World) Nodes() []*Node { return w.nodes }

// Engines returns the engines in a fixed order: those of the deployment sorted by
// machine ID, then replacements of reclaimed machines in order of their start.
func (w *World) Engines() []*Engine {
	engines := make([]*Engine, 0, len(w.machineOrder))
	for _, id := range w.machineOrder {
		engines = append(engines, w.engines[id])
	}
	return engines
}

// ReplicaChanged implements EngineObserver.
func (w *World) ReplicaChanged(machine *Engine, model cluster.ModelID, next cluster.ReplicaState) {
	w.Usage.ReplicaChanged(machine, model, next)
	w.Checkers.trackReplica(machine, model, next)
}

// RunningChanged implements EngineObserver.
func (w *World) RunningChanged(machine *Engine, model cluster.ModelID, running int) {
	w.Usage.RunningChanged(machine, model, running)
}

// Executed implements EngineObserver.
func (w *World) Executed(machine *Engine, run Run) { w.Checkers.checkRun(machine, run) }

// machineListRefresh is how long all nodes share one snapshot of the machine
// list.
const machineListRefresh = 100 * time.Millisecond

// machineList is the machine list service with a snapshot that its readers share.
type machineList struct {
	state    *machines.State
	place    Place
	readAt   time.Time
	snapshot []cluster.Machine
	version  uint64
}

// newMachineList returns a machine list without a snapshot.
func newMachineList(state *machines.State, place Place) *machineList {
	return &machineList{state: state, place: place}
}

// read returns the current snapshot and its version. It takes a new snapshot when
// the last one is older than machineListRefresh.
func (l *machineList) read(now time.Time) ([]cluster.Machine, uint64) {
	if l.snapshot == nil || now.Sub(l.readAt) >= machineListRefresh {
		l.snapshot, l.version = l.state.List(now)
		l.readAt = now
	}
	return l.snapshot, l.version
}

// trace calls Trace, if set.
func (w *World) trace(format string, arguments ...any) {
	if w.Trace != nil {
		w.Trace(format, arguments...)
	}
}
