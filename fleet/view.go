package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/wire"
)

// maxEntryLag is how much later a machine's entry in the store may show a change than the lease
// holder's status message: after that the entry alone counts.
const maxEntryLag = 3500 * time.Millisecond

// viewToken is the fencing token of the statuses passed to the router. It is constant because
// this node's own view is the only source.
const viewToken = 1

// machineView is this node's view of the machines. It consists of their entries in the store and,
// while an entry may lag, the replica states that the lease holder reported.
type machineView struct {
	core     *Core
	machines map[cluster.MachineID]*viewedMachine
	// sequences number the statuses passed to the router, per zone.
	sequences map[cluster.ZoneID]uint64
	// overrides are replica states reported by the lease holder that an entry may not show yet.
	overrides    map[replicaKey]replicaOverride
	nextExpiryAt time.Time
	// unconfirmed are the machines whose entries the store lost, and until when they are used.
	unconfirmed map[cluster.MachineID]time.Time
}

// viewedMachine is a machine's entry together with the replicas that the router knows of it.
type viewedMachine struct {
	worker catalog.Worker
	// reported are the replicas last passed to the router, sorted by model. A map for each of
	// 10,000 machines would take 12 MB.
	reported []wire.ReplicaRecord
	// leavesUnlisted is set if the machine leaves and a copy that the store came back from shows it as
	// ready. Until its entry changes, full reads show it so too.
	leavesUnlisted bool
}

// replicaKey identifies a replica of a model or adapter on a machine.
type replicaKey struct {
	machine cluster.MachineID
	model   cluster.ModelID
}

// replicaOverride is the state of one replica as reported by the lease holder.
type replicaOverride struct {
	state cluster.ReplicaState
	// readyAt is when a loading replica is expected to be ready.
	readyAt time.Time
	// until is when the override expires.
	until time.Time
}

func newMachineView(core *Core) *machineView {
	return &machineView{
		core: core, machines: map[cluster.MachineID]*viewedMachine{},
		sequences: map[cluster.ZoneID]uint64{}, overrides: map[replicaKey]replicaOverride{},
		unconfirmed: map[cluster.MachineID]time.Time{},
	}
}

// put stores a machine's entry and reports whether it differs from the previous one.
func (v *machineView) put(worker *catalog.Worker, revision keyvalue.Revision) bool {
	known := v.machines[worker.ID]
	if known == nil {
		known = &viewedMachine{}
		v.machines[worker.ID] = known
	}
	delete(v.unconfirmed, worker.ID)
	before := known.worker
	known.worker = *worker
	if known.worker.Release == "" && before.ID == worker.ID {
		// The software does not change within one start of a machine.
		known.worker.Release = before.Release
	}
	v.core.releases.changed(&before, &known.worker)
	same := before.ID == worker.ID && before.Draining == worker.Draining && before.Address == worker.Address &&
		slices.EqualFunc(before.LoadedModels, worker.LoadedModels, catalog.LoadedModel.Equal)
	if same {
		return false
	}
	v.core.log(eventlog.WorkerChanged{
		Machine: worker.ID, Service: worker.Service, Address: worker.Address, Draining: worker.Draining, Release: worker.Release,
		Held: len(worker.LoadedModels), Revision: revision,
	})
	v.dropConfirmed(&before, worker)
	v.report(known)
	return true
}

// dropConfirmed drops the overrides of loading replicas that an entry newly lists. Their load is
// complete, although the lease holder or its successor has not reported it.
func (v *machineView) dropConfirmed(before, now *catalog.Worker) {
	earlier := modelsHeldBy(before)
	for id := range modelsHeldBy(now) {
		key := replicaKey{machine: now.ID, model: id}
		if override, noted := v.overrides[key]; noted && !earlier[id] && override.state == cluster.ReplicaLoading {
			delete(v.overrides, key)
		}
	}
}

// modelsHeldBy returns the models and adapters that an entry lists.
func modelsHeldBy(worker *catalog.Worker) map[cluster.ModelID]bool {
	held := make(map[cluster.ModelID]bool)
	for _, model := range worker.LoadedModels {
		held[catalog.ModelID(worker.Service, model.Name)] = true
		for _, adapter := range model.Adapters {
			held[catalog.AdapterID(worker.Service, model.Name, adapter)] = true
		}
	}
	return held
}

// machinesWithoutEntry returns the known machines that have neither a decoded nor an undecodable
// entry.
func (v *machineView) machinesWithoutEntry(read *WorkersRead) []cluster.MachineID {
	named := make(map[cluster.MachineID]bool, len(read.Workers))
	for i := range read.Workers {
		named[read.Workers[i].ID] = true
	}
	for i := range read.Undecodable {
		named[read.Undecodable[i].ID] = true
	}
	var missing []cluster.MachineID
	for id := range v.machines {
		if !named[id] {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	return missing
}

// endedUnannounced reports whether the machine, whose entry is gone, had not announced that it
// leaves.
func (v *machineView) endedUnannounced(id cluster.MachineID) bool {
	known := v.machines[id]
	return known != nil && !known.worker.Draining
}

// addressOf returns the address of a machine, empty if it is unknown or leaves.
func (v *machineView) addressOf(id cluster.MachineID) string {
	if known := v.machines[id]; known != nil && !known.worker.Draining {
		return known.worker.Address
	}
	return ""
}

// releaseOf returns the release of the software of a start of a machine, empty if it is not stated.
func (v *machineView) releaseOf(id cluster.MachineID) string {
	known := v.machines[id]
	switch {
	case known == nil:
		return v.core.releases.releaseOfGone(id)
	case known.worker.Release == "" && v.core.releases.several(known.worker.Service):
		return unstatedRelease(id)
	}
	return known.worker.Release
}

// remove takes a machine out whose entry is gone.
func (v *machineView) remove(id cluster.MachineID) {
	known := v.machines[id]
	if known == nil {
		return
	}
	delete(v.machines, id)
	delete(v.unconfirmed, id)
	v.core.releases.changed(&known.worker, &catalog.Worker{})
	for key := range v.overrides {
		if key.machine == id {
			delete(v.overrides, key)
		}
	}
	v.core.log(eventlog.WorkerGone{Machine: id, Cause: "its entry is gone"})
	v.reportChanges(known, nil, true)
	v.core.limits.machineRemoved(id)
}

// configurationChanged passes all machines to the router again, since a service may have gained
// or lost its engine configuration.
func (v *machineView) configurationChanged() {
	for _, known := range v.sorted() {
		v.report(known)
	}
}

// sorted returns the machines in the order of their IDs.
func (v *machineView) sorted() []*viewedMachine {
	machines := make([]*viewedMachine, 0, len(v.machines))
	for _, known := range v.machines {
		machines = append(machines, known)
	}
	slices.SortFunc(machines, func(a, b *viewedMachine) int { return cmp.Compare(a.worker.ID, b.worker.ID) })
	return machines
}

// statusReceived applies the replica states that the lease holder reports.
func (v *machineView) statusReceived(status *wire.CellStatus) {
	for i := range status.Replicas {
		record := &status.Replicas[i]
		v.setOverride(record.Machine, record.Model, record.State, record.ReadyIn)
	}
}

// setOverride applies the reported state of one replica.
func (v *machineView) setOverride(machine cluster.MachineID, model cluster.ModelID, state cluster.ReplicaState, readyIn time.Duration) {
	known := v.machines[machine]
	if known == nil {
		return
	}
	readyAt := v.core.now.Add(readyIn)
	if state == cluster.ReplicaUnloading {
		state = cluster.ReplicaAbsent
	}
	v.overrides[replicaKey{machine: machine, model: model}] = replicaOverride{state: state, readyAt: readyAt, until: readyAt.Add(maxEntryLag)}
	v.nextExpiryAt = earliest(v.nextExpiryAt, readyAt)
	v.report(known)
}

// earliest returns the earlier of two times. A zero a means none; b must not be zero.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// tick updates the overrides that are due. A loading adapter counts as loaded from its expected
// time. An override expires when the entry must have caught up.
func (v *machineView) tick() {
	v.dropUnconfirmed()
	if v.nextExpiryAt.IsZero() || v.core.now.Before(v.nextExpiryAt) {
		return
	}
	v.nextExpiryAt = time.Time{}
	changed := map[cluster.MachineID]bool{}
	for key, override := range v.overrides {
		_, _, adapter := catalog.Split(key.model)
		switch {
		case !v.core.now.Before(override.until):
			delete(v.overrides, key)
			changed[key.machine] = true
			continue
		case override.state == cluster.ReplicaLoading && adapter != "" && !v.core.now.Before(override.readyAt):
			override.state = cluster.ReplicaLoaded
			v.overrides[key] = override
			changed[key.machine] = true
		}
		if override.state == cluster.ReplicaLoading && v.core.now.Before(override.readyAt) {
			v.nextExpiryAt = earliest(v.nextExpiryAt, override.readyAt)
		}
		v.nextExpiryAt = earliest(v.nextExpiryAt, override.until)
	}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		if known := v.machines[id]; known != nil {
			v.report(known)
		}
	}
}

func (v *machineView) due() time.Time { return v.nextExpiryAt }

// report passes the changed replicas of a machine to the router.
func (v *machineView) report(known *viewedMachine) { v.reportChanges(known, v.records(known), false) }

// records returns the replicas of a machine by its entry and the overrides.
func (v *machineView) records(known *viewedMachine) map[cluster.ModelID]wire.ReplicaRecord {
	worker := &known.worker
	records := map[cluster.ModelID]wire.ReplicaRecord{}
	add := func(id cluster.ModelID, state cluster.ReplicaState, readyIn time.Duration) {
		records[id] = wire.ReplicaRecord{
			Machine: worker.ID, Address: worker.Address, Model: id, State: state,
			Slots: worker.Slots, Leaving: worker.Draining, ReadyIn: readyIn,
		}
	}
	service := v.core.compiled.Service(worker.Service)
	if service == nil || service.Engine == nil {
		add(catalog.ServiceID(worker.Service), cluster.ReplicaLoaded, 0)
		return records
	}
	for _, held := range worker.LoadedModels {
		add(catalog.ModelID(worker.Service, held.Name), cluster.ReplicaLoaded, 0)
		for _, adapter := range held.Adapters {
			add(catalog.AdapterID(worker.Service, held.Name, adapter), cluster.ReplicaLoaded, 0)
		}
	}
	for key, override := range v.overrides {
		if key.machine != worker.ID {
			continue
		}
		delete(records, key.model)
		if override.state != cluster.ReplicaAbsent {
			add(key.model, override.state, max(override.readyAt.Sub(v.core.now), 0))
		}
	}
	v.dropOrphanAdapters(records)
	return records
}

// dropOrphanAdapters drops adapters whose base model is not loaded on the machine.
func (v *machineView) dropOrphanAdapters(records map[cluster.ModelID]wire.ReplicaRecord) {
	for id := range records {
		service, model, adapter := catalog.Split(id)
		if adapter == "" {
			continue
		}
		if base, held := records[catalog.ModelID(service, model)]; !held || base.State != cluster.ReplicaLoaded {
			delete(records, id)
		}
	}
}

// reportChanges passes the differences from the last reported replicas to the router.
func (v *machineView) reportChanges(known *viewedMachine, records map[cluster.ModelID]wire.ReplicaRecord, gone bool) {
	var changes []wire.ReplicaRecord
	for _, before := range known.reported {
		if _, kept := records[before.Model]; !kept {
			before.State, before.Leaving = cluster.ReplicaAbsent, gone || known.worker.Draining
			changes = append(changes, before)
			v.core.modelUnloaded(known.worker.ID, before.Model)
		}
	}
	for _, record := range records {
		before, reported := known.reportedRecord(record.Model)
		compared := record
		compared.ReadyIn = before.ReadyIn
		if !reported || compared != before {
			changes = append(changes, record)
		}
	}
	if len(changes) == 0 {
		return
	}
	slices.SortFunc(changes, compareModels)
	known.reported = slices.SortedFunc(maps.Values(records), compareModels)
	if !gone {
		v.core.limits.adopt(known.worker.ID)
	}
	zone := known.worker.Zone
	v.sequences[zone]++
	v.core.feedRouter(routing.CellStatusChanged{Status: wire.CellStatus{
		Zone: zone, Region: v.core.config.Regions[zone], Token: viewToken, Sequence: v.sequences[zone],
		Full: v.sequences[zone] == 1, Replicas: changes,
	}})
}

func compareModels(a, b wire.ReplicaRecord) int { return cmp.Compare(a.Model, b.Model) }

// reportedRecord returns the record of a replica as last passed to the router.
func (m *viewedMachine) reportedRecord(model cluster.ModelID) (wire.ReplicaRecord, bool) {
	at, found := slices.BinarySearchFunc(m.reported, model, func(r wire.ReplicaRecord, id cluster.ModelID) int { return cmp.Compare(r.Model, id) })
	if !found {
		return wire.ReplicaRecord{}, false
	}
	return m.reported[at], true
}
