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

// The kinds of faults.
const (
	FaultNodeCrash        FaultKind = "node-crash"
	FaultNodePause        FaultKind = "node-pause"
	FaultNodeStop         FaultKind = "node-stop"
	FaultEngineCrash      FaultKind = "engine-crash"
	FaultMachineReclaim   FaultKind = "machine-reclaim"
	FaultStoreSlow        FaultKind = "store-slow"
	FaultKeyValueDown     FaultKind = "key-value-down"
	FaultKeyValueSlow     FaultKind = "key-value-slow"
	FaultKeyValueLost     FaultKind = "key-value-lost-answers"
	FaultEngineLost       FaultKind = "engine-lost-answers"
	FaultMessageLoss      FaultKind = "message-loss"
	FaultZoneCut          FaultKind = "zone-cut"
	FaultRegionCut        FaultKind = "region-cut"
	FaultZoneDown         FaultKind = "zone-down"
	FaultEdit             FaultKind = "edit"
	FaultMachineListStale FaultKind = "machine-list-stale"
)

// FaultKinds lists every kind.
func FaultKinds() []FaultKind {
	return []FaultKind{
		FaultNodeCrash, FaultNodePause, FaultNodeStop, FaultEngineCrash, FaultMachineReclaim, FaultStoreSlow,
		FaultKeyValueDown, FaultKeyValueSlow, FaultKeyValueLost, FaultEngineLost, FaultMessageLoss,
		FaultZoneCut, FaultRegionCut, FaultZoneDown, FaultEdit, FaultMachineListStale,
	}
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind FaultKind
	// After the start of the simulation.
	After time.Duration
	// Duration of a state, or until what died is replaced.
	Duration time.Duration
	// Zone or Region of cuts and of the node or machine, empty for any.
	Zone   cluster.ZoneID
	Region cluster.RegionID
	// Node or Machine that is hit, empty for any.
	Node    cluster.NodeID
	Machine cluster.MachineID
}

// FaultRate injects a kind at random times.
type FaultRate struct {
	Kind FaultKind
	// PerDay is the mean number a virtual day.
	PerDay float64
	// Duration is the mean length; the lengths are exponential.
	Duration time.Duration
}

// disturbance is the state of faults that several nodes feel.
type disturbance struct {
	// until is when the last fault that may delay the configuration ends.
	until             time.Time
	lostEngineAnswers float64
	down              map[cluster.ZoneID]bool
}

// Schedule injects faults at their times.
func (w *World) Schedule(faults []Fault) {
	for _, fault := range faults {
		w.Kernel.At(Epoch.Add(fault.After), LabelFault, func() { w.Inject(fault) })
	}
}

// InjectAtRandom injects faults at the given rates until a time.
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

// Inject makes a fault happen now.
func (w *World) Inject(fault Fault) {
	w.Faults[fault.Kind]++
	w.Kernel.Record(LabelFault, uint64(fault.Duration))
	w.trace("fault %s for %s", fault.Kind, fault.Duration)
	switch fault.Kind {
	case FaultNodeCrash, FaultNodePause, FaultNodeStop:
		w.injectNode(fault)
	case FaultEngineCrash, FaultMachineReclaim:
		w.injectMachine(fault)
	case FaultZoneCut, FaultRegionCut, FaultZoneDown:
		w.injectZone(fault)
	case FaultEdit:
		w.injectEdit()
	default:
		w.injectPlatform(fault)
	}
}

// disturb remembers until when a fault lasts, with some time to recover.
func (w *World) disturb(duration time.Duration) {
	const recovery = 15 * time.Second
	if until := w.Kernel.Now().Add(duration + recovery); until.After(w.disturbed.until) {
		w.disturbed.until = until
	}
}

// injectNode hits one process.
func (w *World) injectNode(fault Fault) {
	victim := w.anyNode(fault.Zone, fault.Node)
	if victim == nil {
		return
	}
	run := victim.run
	w.trace("%s of %s", fault.Kind, victim.ID)
	switch fault.Kind {
	case FaultNodeCrash:
		victim.crash()
		w.disturb(0)
		w.Kernel.After(fault.Duration, LabelFault, func() { victim.restart(run) })
	case FaultNodePause:
		victim.pause()
		w.disturb(fault.Duration)
		w.Kernel.After(fault.Duration, LabelFault, func() { victim.resume(run) })
	case FaultNodeStop:
		victim.draining = true
		w.disturb(0)
		victim.deliver(node.DrainStarted{})
		const drainTime = 2 * time.Minute
		w.Kernel.After(drainTime+fault.Duration, LabelFault, func() {
			if victim.run == run && victim.alive {
				victim.crash()
			}
			victim.restart(run)
		})
	}
}

// restart begins a new process in place of a dead one.
func (n *Node) restart(run int) {
	if n.run == run && !n.alive && !n.world.disturbed.down[n.Place.Zone] {
		n.start()
	}
}

// anyNode picks a live process of a zone and with an ID, if these are given.
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
	return live[w.faults.IntN(len(live))]
}

// injectMachine hits one engine.
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
	victim := live[w.faults.IntN(len(live))]
	w.trace("%s of %s", fault.Kind, victim.Machine.ID)
	if fault.Kind == FaultEngineCrash {
		victim.Crash()
		w.Kernel.After(victim.Config.RestartTime, LabelFault, victim.Restart)
		return
	}
	w.reclaim(victim, fault.Duration)
}

// reclaim takes a machine away after a notice and brings a new one later.
func (w *World) reclaim(victim *Engine, notice time.Duration) {
	now := w.Kernel.Now()
	victim.Leaving = true
	victim.sequence++
	w.Checkers.machineLeaving(victim.Machine.ID)
	w.List.state.Reclaim(now, victim.Machine.ID, notice)
	w.Kernel.After(notice, LabelFault, func() {
		victim.Crash()
		w.Checkers.machineGone(victim.Machine.ID)
		w.Kernel.After(victim.Config.RestartTime, LabelFault, func() { w.replace(victim) })
	})
}

// replace brings a new machine in place of a reclaimed one.
func (w *World) replace(gone *Engine) {
	machine := gone.Machine
	machine.ID = cluster.MachineID(fmt.Sprintf("%s+", gone.Machine.ID))
	machine.Leaving = false
	added := NewEngine(w.Kernel, w.Store, machine, gone.Config, w)
	w.engines[machine.ID] = added
	w.order = append(w.order, machine.ID)
	w.List.state.Put(w.Kernel.Now(), machine)
}

// injectZone cuts off or kills a whole zone or region.
func (w *World) injectZone(fault Fault) {
	zones := w.config.Deployment.Zones
	zone := zones[w.faults.IntN(len(zones))]
	if fault.Zone == "" {
		fault.Zone = zone.ID
	}
	if fault.Region == "" {
		fault.Region = zone.Region
	}
	w.disturb(fault.Duration)
	w.trace("%s of zone %s, region %s", fault.Kind, fault.Zone, fault.Region)
	switch fault.Kind {
	case FaultZoneCut:
		w.Network.IsolateZone(fault.Zone, true)
		w.Kernel.After(fault.Duration, LabelFault, func() { w.Network.IsolateZone(fault.Zone, false) })
	case FaultRegionCut:
		w.Network.IsolateRegion(fault.Region, true)
		w.Kernel.After(fault.Duration, LabelFault, func() { w.Network.IsolateRegion(fault.Region, false) })
	case FaultZoneDown:
		w.zoneDown(fault)
	}
}

// zoneDown kills every process of a zone at once.
func (w *World) zoneDown(fault Fault) {
	if w.disturbed.down == nil {
		w.disturbed.down = map[cluster.ZoneID]bool{}
	}
	w.disturbed.down[fault.Zone] = true
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
	w.Kernel.After(fault.Duration, LabelFault, func() { w.zoneUp(fault.Zone) })
}

// zoneUp starts the processes of a zone again.
func (w *World) zoneUp(zone cluster.ZoneID) {
	w.disturbed.down[zone] = false
	w.disturb(0)
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

// injectPlatform hits the platform or the network.
func (w *World) injectPlatform(fault Fault) {
	const (
		slowStore   = 0.1
		slowFactor  = 200
		lostAnswers = 0.3
		lostShare   = 0.2
	)
	undo := func() {}
	switch fault.Kind {
	case FaultStoreSlow:
		w.Store.SetSpeed(slowStore)
		undo = func() { w.Store.SetSpeed(1) }
	case FaultKeyValueDown:
		w.KeyValue.SetDown(true)
		undo = func() { w.KeyValue.SetDown(false) }
	case FaultKeyValueSlow:
		w.KeyValue.SlowFactor = slowFactor
		undo = func() { w.KeyValue.SlowFactor = 1 }
	case FaultKeyValueLost:
		w.KeyValue.LostAnswers = lostAnswers
		undo = func() { w.KeyValue.LostAnswers = 0 }
	case FaultEngineLost:
		w.disturbed.lostEngineAnswers = lostAnswers
		undo = func() { w.disturbed.lostEngineAnswers = 0 }
	case FaultMessageLoss:
		before := w.Network.Config.Loss
		w.Network.Config.Loss = lostShare
		undo = func() { w.Network.Config.Loss = before }
	case FaultMachineListStale:
		w.List.state.Freeze(w.Kernel.Now())
		undo = w.List.state.Thaw
	}
	w.disturb(fault.Duration)
	w.Kernel.After(fault.Duration, LabelFault, undo)
}

// injectEdit changes one key of one model, through the administration API of
// some node.
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
	path := models[w.faults.IntN(len(models))]
	edit := settings.Edit{
		ID: fmt.Sprintf("edit-%d", w.Faults[FaultEdit]), Author: "operator", BaseRevision: stamp.Revision,
		Changes: []settings.Change{{Path: path, Set: w.randomValue(tree, path)}},
	}
	w.trace("edit %v through %s", edit.Changes, through.ID)
	if err := w.commit(edit, through); err != nil {
		w.Checkers.require(false, PromiseConfiguration, "edit not accepted: %v", err)
	}
}

// randomValue draws a new value for one key of a model.
func (w *World) randomValue(tree *settings.Tree, path string) map[string]settings.Value {
	const maxCount = 4
	switch w.faults.IntN(4) {
	case 0:
		return map[string]settings.Value{"keep_alive": settings.Value(fmt.Sprintf(`"%dm"`, 1+w.faults.IntN(20)))}
	case 1:
		return map[string]settings.Value{"priority": settings.Value(fmt.Sprint(w.faults.IntN(10)))}
	default:
		effective, _ := tree.Effective(path)
		least := max(effective.Policy.MinReplicas, 1)
		return map[string]settings.Value{"max_replicas": settings.Value(fmt.Sprint(least + w.faults.IntN(maxCount)))}
	}
}
