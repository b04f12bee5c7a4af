package simulation

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/settings"
)

// FaultKind is a kind of injected fault.
type FaultKind string

// Kinds of faults.
const (
	FaultNodeCrash           FaultKind = "node-crash"
	FaultNodePause           FaultKind = "node-pause"
	FaultNodeStop            FaultKind = "node-stop"
	FaultEngineCrash         FaultKind = "engine-crash"
	FaultMachineReclaim      FaultKind = "machine-reclaim"
	FaultStoreSlow           FaultKind = "store-slow"
	FaultKeyValueDown        FaultKind = "key-value-down"
	FaultKeyValueSlow        FaultKind = "key-value-slow"
	FaultKeyValueAnswersLost FaultKind = "key-value-lost-answers"
	FaultEngineLost          FaultKind = "engine-lost-answers"
	FaultMessageLoss         FaultKind = "message-loss"
	FaultZoneIsolated        FaultKind = "zone-cut"
	FaultRegionCut           FaultKind = "region-cut"
	FaultZoneDown            FaultKind = "zone-down"
	FaultEdit                FaultKind = "edit"
	FaultMachineListStale    FaultKind = "machine-list-stale"
)

// FaultKinds returns all kinds of faults.
func FaultKinds() []FaultKind {
	return []FaultKind{
		FaultNodeCrash, FaultNodePause, FaultNodeStop, FaultEngineCrash, FaultMachineReclaim, FaultStoreSlow,
		FaultKeyValueDown, FaultKeyValueSlow, FaultKeyValueAnswersLost, FaultEngineLost, FaultMessageLoss,
		FaultZoneIsolated, FaultRegionCut, FaultZoneDown, FaultEdit, FaultMachineListStale,
	}
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind FaultKind
	// After is the time from the start of the simulation to the fault.
	After time.Duration
	// Duration is how long the fault lasts, or the time until a dead process or
	// machine is replaced.
	Duration time.Duration
	// Zone and Region restrict the fault; empty picks one at random.
	Zone   cluster.ZoneID
	Region cluster.RegionID
	// Node and Machine are the targets of the fault; empty picks one at random.
	Node    cluster.NodeID
	Machine cluster.MachineID
}

// FaultRate describes faults of one kind at random times.
type FaultRate struct {
	Kind FaultKind
	// PerDay is the mean number of faults per virtual day.
	PerDay float64
	// Duration is the mean of the exponentially distributed durations, which are
	// cut off at five times the mean.
	Duration time.Duration
}

// sharedFaults is the state of faults that affect several nodes.
type sharedFaults struct {
	// recoveredAt is when nodes have recovered from the last fault that may delay new
	// settings.
	recoveredAt time.Time
	// lostEngineAnswerProbability is the probability that an engine's answer to a control
	// call is lost.
	lostEngineAnswerProbability float64
	downZones                   map[cluster.ZoneID]bool
}

// Schedule injects faults at their times.
func (w *World) Schedule(faults []Fault) {
	for _, fault := range faults {
		w.Kernel.At(Epoch.Add(fault.After), LabelFault, func() { w.Inject(fault) })
	}
}

// InjectAtRandom injects faults at the given rates until the given time.
func (w *World) InjectAtRandom(rates []FaultRate, until time.Time) {
	for _, rate := range rates {
		random := w.Kernel.Stream("fault/" + string(rate.Kind))
		var next func()
		next = func() {
			wait := time.Duration(random.ExpFloat64() / rate.PerDay * float64(24*time.Hour))
			length := time.Duration(math.Min(random.ExpFloat64(), 5) * float64(rate.Duration))
			if w.Kernel.Now().Add(wait).After(until) {
				return
			}
			w.Kernel.After(wait, LabelFault, func() {
				w.Inject(Fault{Kind: rate.Kind, Duration: length})
				next()
			})
		}
		next()
	}
}

// Inject injects a fault at the current virtual time.
func (w *World) Inject(fault Fault) {
	w.Faults[fault.Kind]++
	w.Kernel.Record(LabelFault, uint64(fault.Duration))
	w.trace("fault %s for %s", fault.Kind, fault.Duration)
	switch fault.Kind {
	case FaultNodeCrash, FaultNodePause, FaultNodeStop:
		w.injectNode(fault)
	case FaultEngineCrash, FaultMachineReclaim:
		w.injectMachine(fault)
	case FaultZoneIsolated, FaultRegionCut, FaultZoneDown:
		w.injectZone(fault)
	case FaultEdit:
		w.injectEdit()
	default:
		w.injectPlatform(fault)
	}
}

// extendRecovery records that nodes need the fault's duration and the recovery
// time until they can have new settings in force.
func (w *World) extendRecovery(duration time.Duration) {
	const recoveryTime = 15 * time.Second
	if recoveredAt := w.Kernel.Now().Add(duration + recoveryTime); recoveredAt.After(w.activeFaults.recoveredAt) {
		w.activeFaults.recoveredAt = recoveredAt
	}
}

// injectNode crashes, pauses or stops one process.
func (w *World) injectNode(fault Fault) {
	victim := w.anyNode(fault.Zone, fault.Node)
	if victim == nil {
		return
	}
	incarnation := victim.incarnation
	w.trace("%s of %s", fault.Kind, victim.ID)
	switch fault.Kind {
	case FaultNodeCrash:
		victim.crash()
		w.extendRecovery(0)
		w.Kernel.After(fault.Duration, LabelFault, func() { victim.restart(incarnation) })
	case FaultNodePause:
		victim.pause()
		w.extendRecovery(fault.Duration)
		w.Kernel.After(fault.Duration, LabelFault, func() { victim.resume(incarnation) })
	case FaultNodeStop:
		victim.draining = true
		w.extendRecovery(0)
		victim.deliver(node.DrainStarted{})
		const drainTime = 2 * time.Minute
		w.Kernel.After(drainTime+fault.Duration, LabelFault, func() {
			if victim.incarnation == incarnation && victim.alive {
				victim.crash()
			}
			victim.restart(incarnation)
		})
	}
}

// restart starts a new process if the given incarnation is dead and its zone is up.
func (n *Node) restart(incarnation int) {
	if n.incarnation == incarnation && !n.alive && !n.world.activeFaults.downZones[n.Place.Zone] {
		n.start()
	}
}

// anyNode picks a random running process, of the given zone and ID unless these
// are empty. It returns nil if there is none.
func (w *World) anyNode(zone cluster.ZoneID, id cluster.NodeID) *Node {
	var live []*Node
	for _, candidate := range w.nodes {
		if candidate.alive && !candidate.paused && !candidate.draining && (zone == "" || candidate.Place.Zone == zone) && (id == "" || candidate.ID == id) {
			live = append(live, candidate)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[w.faultRandom.IntN(len(live))]
}

// injectMachine crashes one engine or reclaims its machine.
func (w *World) injectMachine(fault Fault) {
	var live []*Engine
	for _, candidate := range w.Engines() {
		if candidate.Alive && !candidate.Leaving && (fault.Zone == "" || candidate.Machine.Zone == fault.Zone) &&
			(fault.Machine == "" || candidate.Machine.ID == fault.Machine) {
			live = append(live, candidate)
		}
	}
	if len(live) == 0 {
		return
	}
	victim := live[w.faultRandom.IntN(len(live))]
	w.trace("%s of %s", fault.Kind, victim.Machine.ID)
	if fault.Kind == FaultEngineCrash {
		victim.Crash()
		w.Kernel.After(victim.Config.RestartTime, LabelFault, victim.Restart)
		return
	}
	w.reclaim(victim, fault.Duration)
}

// reclaim announces that a machine leaves, removes it after the notice, and adds a
// replacement after the engine's restart time.
func (w *World) reclaim(victim *Engine, notice time.Duration) {
	now := w.Kernel.Now()
	victim.Leaving = true
	victim.sequence++
	w.Checkers.recordLeaving(victim.Machine.ID)
	w.List.state.Reclaim(now, victim.Machine.ID, notice)
	w.Kernel.After(notice, LabelFault, func() {
		victim.Crash()
		w.Checkers.clearLeaving(victim.Machine.ID)
		w.Kernel.After(victim.Config.RestartTime, LabelFault, func() { w.replace(victim) })
	})
}

// replace adds a new machine in place of a reclaimed one.
func (w *World) replace(gone *Engine) {
	machine := gone.Machine
	machine.ID = cluster.MachineID(fmt.Sprintf("%s+", gone.Machine.ID))
	machine.Leaving = false
	added := NewEngine(w.Kernel, w.Store, machine, gone.Config, w)
	w.engines[machine.ID] = added
	w.machineOrder = append(w.machineOrder, machine.ID)
	w.List.state.Put(w.Kernel.Now(), machine)
}

// injectZone isolates a zone or region, or kills all processes of a zone.
func (w *World) injectZone(fault Fault) {
	zones := w.config.Deployment.Zones
	zone := zones[w.faultRandom.IntN(len(zones))]
	if fault.Zone == "" {
		fault.Zone = zone.ID
	}
	if fault.Region == "" {
		fault.Region = zone.Region
	}
	w.extendRecovery(fault.Duration)
	w.trace("%s of zone %s, region %s", fault.Kind, fault.Zone, fault.Region)
	switch fault.Kind {
	case FaultZoneIsolated:
		w.Network.IsolateZone(fault.Zone, true)
		w.Kernel.After(fault.Duration, LabelFault, func() { w.Network.IsolateZone(fault.Zone, false) })
	case FaultRegionCut:
		w.Network.IsolateRegion(fault.Region, true)
		w.Kernel.After(fault.Duration, LabelFault, func() { w.Network.IsolateRegion(fault.Region, false) })
	case FaultZoneDown:
		w.killZone(fault)
	}
}

// killZone kills every node and engine of a zone at once.
func (w *World) killZone(fault Fault) {
	if w.activeFaults.downZones == nil {
		w.activeFaults.downZones = map[cluster.ZoneID]bool{}
	}
	w.activeFaults.downZones[fault.Zone] = true
	for _, victim := range w.nodes {
		if victim.Place.Zone == fault.Zone {
			victim.crash()
		}
	}
	for _, victim := range w.Engines() {
		if victim.Machine.Zone == fault.Zone {
			victim.Crash()
		}
	}
	w.Kernel.After(fault.Duration, LabelFault, func() { w.restartZone(fault.Zone) })
}

// restartZone restarts the nodes and engines of a zone, except engines on machines that
// leave.
func (w *World) restartZone(zone cluster.ZoneID) {
	w.activeFaults.downZones[zone] = false
	w.extendRecovery(0)
	for _, dead := range w.nodes {
		if dead.Place.Zone == zone && !dead.alive {
			dead.start()
		}
	}
	for _, dead := range w.Engines() {
		if _, leaves := w.Checkers.leaving[dead.Machine.ID]; dead.Machine.Zone == zone && !dead.Leaving && !leaves {
			dead.Restart()
		}
	}
}

// injectPlatform degrades a service of the platform, the engines' answers or the
// network, and restores it after the fault's duration.
func (w *World) injectPlatform(fault Fault) {
	const (
		slowStoreSpeed         = 0.1
		slowKeyValueFactor     = 200
		lostAnswerProbability  = 0.3
		messageLossProbability = 0.2
	)
	restore := func() {}
	switch fault.Kind {
	case FaultStoreSlow:
		w.Store.SetSpeed(slowStoreSpeed)
		restore = func() { w.Store.SetSpeed(1) }
	case FaultKeyValueDown:
		w.KeyValue.SetDown(true)
		restore = func() { w.KeyValue.SetDown(false) }
	case FaultKeyValueSlow:
		w.KeyValue.SlowFactor = slowKeyValueFactor
		restore = func() { w.KeyValue.SlowFactor = 1 }
	case FaultKeyValueAnswersLost:
		w.KeyValue.LostAnswers = lostAnswerProbability
		restore = func() { w.KeyValue.LostAnswers = 0 }
	case FaultEngineLost:
		w.activeFaults.lostEngineAnswerProbability = lostAnswerProbability
		restore = func() { w.activeFaults.lostEngineAnswerProbability = 0 }
	case FaultMessageLoss:
		before := w.Network.Config.Loss
		w.Network.Config.Loss = messageLossProbability
		restore = func() { w.Network.Config.Loss = before }
	case FaultMachineListStale:
		w.List.state.Freeze(w.Kernel.Now())
		restore = w.List.state.Thaw
	}
	w.extendRecovery(fault.Duration)
	w.Kernel.After(fault.Duration, LabelFault, restore)
}

// injectEdit commits an edit of one key of one model through the administration
// API of a random node. It does nothing if no node reaches the key-value service.
func (w *World) injectEdit() {
	through := w.anyNode("", "")
	if through == nil || w.KeyValue.Down || !w.Network.Reachable(through.Place, w.KeyValue.place) {
		return
	}
	tree, stamp, err := w.settingsStore().Load(context.Background())
	if err != nil {
		return
	}
	var models []string
	for _, path := range tree.Paths() {
		if kind := tree.Level(path).Kind; kind == settings.KindModel || kind == settings.KindAdapter {
			models = append(models, path)
		}
	}
	path := models[w.faultRandom.IntN(len(models))]
	edit := settings.Edit{
		ID: fmt.Sprintf("edit-%d", w.Faults[FaultEdit]), Author: "operator", BaseRevision: stamp.Revision,
		Changes: []settings.Change{{Path: path, Set: w.randomValue(tree, path)}},
	}
	w.trace("edit %v through %s", edit.Changes, through.ID)
	if err := w.commit(edit, through); err != nil {
		w.Checkers.require(false, PromiseConfiguration, "edit not accepted: %v", err)
	}
}

// randomValue returns a random value for one key of a model.
func (w *World) randomValue(tree *settings.Tree, path string) map[string]settings.Value {
	const replicaChoices = 4
	switch w.faultRandom.IntN(4) {
	case 0:
		return map[string]settings.Value{"keep_alive": settings.Value(fmt.Sprintf(`"%dm"`, 1+w.faultRandom.IntN(20)))}
	case 1:
		return map[string]settings.Value{"priority": settings.Value(fmt.Sprint(w.faultRandom.IntN(10)))}
	default:
		effective, _ := tree.Effective(path)
		least := max(effective.Policy.MinReplicas, 1)
		return map[string]settings.Value{"max_replicas": settings.Value(fmt.Sprint(least + w.faultRandom.IntN(replicaChoices)))}
	}
}
