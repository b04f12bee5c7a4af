package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/wire"
)

// entryLag is how much later a machine's entry may be than what the holder of
// the lease says of it.
const entryLag = 3500 * time.Millisecond

// viewToken is the token under which the router is told of machines: this node's
// own view is the only source.
const viewToken = 1

// machineView is what this node knows of machines: their entries in the store,
// and over them, while an entry may be late, what the holder of the lease said.
type machineView struct {
	core     *Core
	machines map[cluster.MachineID]*viewedMachine
	// sequences number what the router is told of each zone.
	sequences map[cluster.ZoneID]uint64
	// notes are what the holder said and an entry may not show yet.
	notes map[noteKey]note
	next  time.Time
}

type viewedMachine struct {
	worker catalog.Worker
	// told are the replicas that the router knows, with their states, sorted by model. A map
	// of each of 10,000 machines would take 12 MB.
	told []wire.ReplicaRecord
}

type noteKey struct {
	machine cluster.MachineID
	model   cluster.ModelID
}

// note is what the holder said of one replica.
type note struct {
	state cluster.ReplicaState
	// readyAt of a loading replica.
	readyAt time.Time
	until   time.Time
}

func newMachineView(core *Core) *machineView {
	return &machineView{
		core: core, machines: map[cluster.MachineID]*viewedMachine{},
		sequences: map[cluster.ZoneID]uint64{}, notes: map[noteKey]note{},
	}
}

// put takes a machine's entry and reports whether it says something new.
func (v *machineView) put(worker *catalog.Worker, revision int64) bool {
	known := v.machines[worker.ID]
	if known == nil {
		known = &viewedMachine{}
		v.machines[worker.ID] = known
	}
	before := known.worker
	known.worker = *worker
	same := before.ID == worker.ID && before.Draining == worker.Draining && before.Address == worker.Address &&
		slices.EqualFunc(before.Held, worker.Held, catalog.HeldModel.Equal)
	if same {
		return false
	}
	v.core.log(eventlog.WorkerChanged{
		Machine: worker.ID, Service: worker.Service, Address: worker.Address, Draining: worker.Draining,
		Held: len(worker.Held), Revision: revision,
	})
	v.dropAnswered(&before, worker)
	v.tell(known)
	return true
}

// dropAnswered drops notes on replicas that an entry newly names: the load that the
// holder told of is done, though it, or its successor, has not said so.
func (v *machineView) dropAnswered(before, now *catalog.Worker) {
	earlier := heldBy(before)
	for id := range heldBy(now) {
		key := noteKey{machine: now.ID, model: id}
		if said, noted := v.notes[key]; noted && !earlier[id] && said.state == cluster.ReplicaLoading {
			delete(v.notes, key)
		}
	}
}

// heldBy lists what an entry names.
func heldBy(worker *catalog.Worker) map[cluster.ModelID]bool {
	held := make(map[cluster.ModelID]bool)
	for _, model := range worker.Held {
		held[catalog.ModelID(worker.Service, model.Name)] = true
		for _, adapter := range model.Adapters {
			held[catalog.AdapterID(worker.Service, model.Name, adapter)] = true
		}
	}
	return held
}

// missing lists the known machines that have no entry, neither one that was read nor one
// that can't be.
func (v *machineView) missing(read *WorkersRead) []cluster.MachineID {
	named := make(map[cluster.MachineID]bool, len(read.Workers))
	for i := range read.Workers {
		named[read.Workers[i].ID] = true
	}
	for i := range read.Unread {
		named[read.Unread[i].ID] = true
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

// endedUnannounced reports whether the machine, whose entry is gone, had not said that it
// would leave.
func (v *machineView) endedUnannounced(id cluster.MachineID) bool {
	known := v.machines[id]
	return known != nil && !known.worker.Draining
}

// addressOf is where a machine that stays is reached, empty for none.
func (v *machineView) addressOf(id cluster.MachineID) string {
	if known := v.machines[id]; known != nil && !known.worker.Draining {
		return known.worker.Address
	}
	return ""
}

// remove takes a machine out whose entry is gone.
func (v *machineView) remove(id cluster.MachineID) {
	known := v.machines[id]
	if known == nil {
		return
	}
	delete(v.machines, id)
	for key := range v.notes {
		if key.machine == id {
			delete(v.notes, key)
		}
	}
	v.core.log(eventlog.WorkerGone{Machine: id, Cause: "its entry is gone"})
	v.sendRecords(known, nil, true)
}

// configurationChanged tells the router of all machines anew, since services may
// have become engines or the other way round.
func (v *machineView) configurationChanged() {
	for _, known := range v.sorted() {
		v.tell(known)
	}
}

func (v *machineView) sorted() []*viewedMachine {
	machines := make([]*viewedMachine, 0, len(v.machines))
	for _, known := range v.machines {
		machines = append(machines, known)
	}
	slices.SortFunc(machines, func(a, b *viewedMachine) int { return cmp.Compare(a.worker.ID, b.worker.ID) })
	return machines
}

// statusReceived takes what the holder says of replicas.
func (v *machineView) statusReceived(status *wire.CellStatus) {
	for i := range status.Replicas {
		record := &status.Replicas[i]
		v.note(record.Machine, record.Model, record.State, record.ReadyIn)
	}
}

// note takes what the holder says of one replica.
func (v *machineView) note(machine cluster.MachineID, model cluster.ModelID, state cluster.ReplicaState, readyIn time.Duration) {
	known := v.machines[machine]
	if known == nil {
		return
	}
	readyAt := v.core.now.Add(readyIn)
	if state == cluster.ReplicaUnloading {
		state = cluster.ReplicaAbsent
	}
	v.notes[noteKey{machine: machine, model: model}] = note{state: state, readyAt: readyAt, until: readyAt.Add(entryLag)}
	v.next = earliest(v.next, readyAt)
	v.tell(known)
}

// earliest returns the earlier of two times; zero means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// tick lets notes end: a loading adapter is taken to be loaded at its time, and
// when the entry must have caught up it counts alone.
func (v *machineView) tick() {
	if v.next.IsZero() || v.core.now.Before(v.next) {
		return
	}
	v.next = time.Time{}
	changed := map[cluster.MachineID]bool{}
	for key, said := range v.notes {
		_, _, adapter := catalog.Split(key.model)
		switch {
		case !v.core.now.Before(said.until):
			delete(v.notes, key)
			changed[key.machine] = true
			continue
		case said.state == cluster.ReplicaLoading && adapter != "" && !v.core.now.Before(said.readyAt):
			said.state = cluster.ReplicaLoaded
			v.notes[key] = said
			changed[key.machine] = true
		}
		if said.state == cluster.ReplicaLoading && v.core.now.Before(said.readyAt) {
			v.next = earliest(v.next, said.readyAt)
		}
		v.next = earliest(v.next, said.until)
	}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		if known := v.machines[id]; known != nil {
			v.tell(known)
		}
	}
}

func (v *machineView) due() time.Time { return v.next }

// tell tells the router what a machine holds.
func (v *machineView) tell(known *viewedMachine) { v.sendRecords(known, v.records(known), false) }

// records lists what a machine holds, by its entry and the notes.
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
	for _, held := range worker.Held {
		add(catalog.ModelID(worker.Service, held.Name), cluster.ReplicaLoaded, 0)
		for _, adapter := range held.Adapters {
			add(catalog.AdapterID(worker.Service, held.Name, adapter), cluster.ReplicaLoaded, 0)
		}
	}
	for key, said := range v.notes {
		if key.machine != worker.ID {
			continue
		}
		delete(records, key.model)
		if said.state != cluster.ReplicaAbsent {
			add(key.model, said.state, max(said.readyAt.Sub(v.core.now), 0))
		}
	}
	v.dropOrphans(records)
	return records
}

// dropOrphans drops adapters whose base model the machine does not hold.
func (v *machineView) dropOrphans(records map[cluster.ModelID]wire.ReplicaRecord) {
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

// sendRecords tells the router what differs from what it was told.
func (v *machineView) sendRecords(known *viewedMachine, records map[cluster.ModelID]wire.ReplicaRecord, gone bool) {
	var changes []wire.ReplicaRecord
	for _, before := range known.told {
		if _, kept := records[before.Model]; !kept {
			before.State, before.Leaving = cluster.ReplicaAbsent, gone || known.worker.Draining
			changes = append(changes, before)
			v.core.unloaded(known.worker.ID, before.Model)
		}
	}
	for _, record := range records {
		before, told := known.toldOf(record.Model)
		compared := record
		compared.ReadyIn = before.ReadyIn
		if !told || compared != before {
			changes = append(changes, record)
		}
	}
	if len(changes) == 0 {
		return
	}
	slices.SortFunc(changes, compareModels)
	known.told = slices.SortedFunc(maps.Values(records), compareModels)
	zone := known.worker.Zone
	v.sequences[zone]++
	v.core.routing(routing.CellStatusChanged{Status: wire.CellStatus{
		Zone: zone, Region: v.core.config.Regions[zone], Token: viewToken, Sequence: v.sequences[zone],
		Full: v.sequences[zone] == 1, Replicas: changes,
	}})
}

func compareModels(a, b wire.ReplicaRecord) int { return cmp.Compare(a.Model, b.Model) }

// toldOf returns what the router knows of a replica of the machine.
func (m *viewedMachine) toldOf(model cluster.ModelID) (wire.ReplicaRecord, bool) {
	at, told := slices.BinarySearchFunc(m.told, model, func(r wire.ReplicaRecord, id cluster.ModelID) int { return cmp.Compare(r.Model, id) })
	if !told {
		return wire.ReplicaRecord{}, false
	}
	return m.told[at], true
}
