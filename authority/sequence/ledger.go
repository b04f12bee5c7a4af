package sequence

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

const (
	// resendBackoff is the first delay before an unanswered order is sent again.
	resendBackoff = 120 * time.Millisecond
	// maxResendDoublings limits how often resendBackoff doubles.
	maxResendDoublings = 3
	// maxReportLag is how far a report may lag behind the engine. A report that comes
	// sooner after an order is no evidence that a model is missing.
	maxReportLag = 450 * time.Millisecond
	// conflictReportDelay is the delay from a refused order until a report is read.
	conflictReportDelay = 130 * time.Millisecond
	// busyReportInterval is the interval between reports while an order is carried out.
	busyReportInterval = 150 * time.Millisecond
	// reportLeadTime is how long before the expected end of a load reports are first read.
	reportLeadTime = 30 * time.Millisecond
	// initialUnloadEstimate is the estimated duration of the unload of an idle model until
	// the estimate has adapted. An order that the engine refuses because the unload before
	// it isn't done raises the estimate by unloadEstimateIncrease; an order that it takes
	// lowers the estimate by unloadEstimateDecrease. In balance, about one order in thirty is
	// refused. With a fixed estimate, a quarter of the orders were refused by engines that
	// take 36 to 70 ms.
	initialUnloadEstimate  = 25 * time.Millisecond
	unloadEstimateIncrease = 15 * time.Millisecond
	unloadEstimateDecrease = 500 * time.Microsecond
	minUnloadEstimate      = 5 * time.Millisecond
	maxUnloadEstimate      = 150 * time.Millisecond
	// unloadConflictRetry is the delay before an order is sent again that the engine
	// refused because the unload before it isn't done. For unloadConflictWindow after the
	// unload, a refusal is explained by it and needs no report.
	unloadConflictRetry  = 25 * time.Millisecond
	unloadConflictWindow = 300 * time.Millisecond
	// maxEntryLag is the usual upper limit of the delay of a machine's registry entry.
	maxEntryLag = 3 * time.Second
	// firstReportTimeout is how long a machine may take to answer the request for its
	// first report of a term before it counts as busy.
	firstReportTimeout = 40 * time.Millisecond
	// failedReportRetry is the delay before a report is read again after a failed attempt.
	failedReportRetry = 400 * time.Millisecond
)

// Ledger is the account that the lease holder keeps of the engines' orders and replicas.
// It is not safe for concurrent use.
type Ledger struct {
	now time.Time
	// termBegan is when the term began. Reports that may date from before it are not used.
	termBegan time.Time
	holder    cluster.NodeID
	token     cluster.FencingToken
	machines  map[cluster.MachineID]*machine
	// machineIDs lists the machines, sorted.
	machineIDs []cluster.MachineID
	// activeMachines are the machines that wait for an answer, a report or the end of an
	// order.
	activeMachines map[cluster.MachineID]bool
	lastSendNumber uint64
	// unloadEstimate is the adapted estimate of an unload's duration.
	unloadEstimate time.Duration
	effects        []Effect
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		machines: make(map[cluster.MachineID]*machine), activeMachines: make(map[cluster.MachineID]bool), unloadEstimate: initialUnloadEstimate,
	}
}

// Step processes one event and returns the effects that the caller must carry out.
func (l *Ledger) Step(now time.Time, event Event) []Effect {
	l.now, l.effects = now, nil
	switch event := event.(type) {
	case TermBegan:
		l.beginTerm(event)
	case TermEnded:
		l.token = 0
	case MachineSeen:
		l.handleMachineSeen(&event)
	case MachineGone:
		l.removeMachine(event.Machine)
	case OrderRequested:
		l.handleOrderRequested(&event)
	case OrderAnswered:
		l.handleOrderAnswered(&event)
	case ReportRead:
		l.handleReportRead(&event)
	case Tick:
		l.handleTick()
	}
	return l.effects
}

// Holding reports whether a term is in progress.
func (l *Ledger) Holding() bool { return l.token != 0 }

// Count returns the number of machines.
func (l *Ledger) Count() int { return len(l.machineIDs) }

// Token returns the fencing token of the current term, zero for none.
func (l *Ledger) Token() cluster.FencingToken { return l.token }

func (l *Ledger) emit(effect Effect) { l.effects = append(l.effects, effect) }

// beginTerm starts a term. Until an engine reports, its registry entry says what it holds.
func (l *Ledger) beginTerm(event TermBegan) {
	l.holder, l.token, l.termBegan = event.Holder, event.Token, l.now
	clear(l.activeMachines)
	for _, id := range l.machineIDs {
		m := l.machines[id]
		m.hasReported, m.runsUnknownOrder, m.pending, m.conflictOpen, m.busyUntil = false, false, nil, false, time.Time{}
		m.replicas = map[cluster.ModelID]*replica{}
		m.reportRequested, m.nextReportAt, m.reportFailed = false, time.Time{}, false
		l.adoptEntry(m)
	}
}

// adoptEntry adds the models that the machine's registry entry names as held.
func (l *Ledger) adoptEntry(m *machine) {
	for id := range loadedModelIDs(m.worker.Service, m.worker.LoadedModels) {
		if m.replicas[id] == nil {
			_, _, adapter := catalog.Split(id)
			m.replicas[id] = &replica{state: cluster.ReplicaLoaded, adapter: adapter != "", stateSince: l.now}
		}
	}
	m.cacheTiers = cacheTiersOf(m.worker.Service, m.worker.InMemory, m.worker.OnDisk)
}

// removeMachine removes a machine.
func (l *Ledger) removeMachine(id cluster.MachineID) {
	if _, known := l.machines[id]; !known {
		return
	}
	delete(l.machines, id)
	delete(l.activeMachines, id)
	if index, found := slices.BinarySearch(l.machineIDs, id); found {
		l.machineIDs = slices.Delete(l.machineIDs, index, index+1)
	}
}

// handleMachineSeen processes a machine's registry entry. Until the engine has reported,
// the entry says what the engine holds. Afterwards an entry that lacks a loaded model
// causes a report to be read.
func (l *Ledger) handleMachineSeen(event *MachineSeen) {
	id := event.Worker.ID
	m := l.machines[id]
	if m == nil {
		m = &machine{replicas: map[cluster.ModelID]*replica{}}
		l.machines[id] = m
		index, _ := slices.BinarySearch(l.machineIDs, id)
		l.machineIDs = slices.Insert(l.machineIDs, index, id)
	}
	previousWorker := m.worker
	m.worker, m.memoryBytes, m.adapterSlots = event.Worker, event.MemoryBytes, event.AdapterSlots
	if !l.Holding() {
		return
	}
	if !m.hasReported {
		m.replicas = map[cluster.ModelID]*replica{}
		l.adoptEntry(m)
		return
	}
	l.completeLoads(id, m, &previousWorker)
	l.checkMissingModels(id, m)
}

// completeLoads completes the load of a base model that the registry entry names and the
// previous entry didn't: engines write their entry when a load is done, and their reports
// show it later.
func (l *Ledger) completeLoads(id cluster.MachineID, m *machine, previousWorker *catalog.Worker) {
	previouslyHeld := loadedModelIDs(previousWorker.Service, previousWorker.LoadedModels)
	for model := range loadedModelIDs(m.worker.Service, m.worker.LoadedModels) {
		current := m.replicas[model]
		if previouslyHeld[model] || current == nil || current.adapter || current.outcomeUnknown || current.state != cluster.ReplicaLoading {
			continue
		}
		l.setReplicaState(id, m, model, cluster.ReplicaLoaded)
		m.cacheTiers = cacheTiersOf(m.worker.Service, m.worker.InMemory, m.worker.OnDisk)
		m.busyUntil, m.nextReportAt = time.Time{}, time.Time{}
	}
}

// checkMissingModels reads a report when the registry entry lacks a model that has been
// loaded for longer than maxEntryLag. The entry alone is no evidence: while the key-value
// service is down, it may be of any age.
func (l *Ledger) checkMissingModels(id cluster.MachineID, m *machine) {
	if m.pending != nil || l.now.Sub(m.lastOrderAt) < maxEntryLag {
		return
	}
	heldInEntry := loadedModelIDs(m.worker.Service, m.worker.LoadedModels)
	for model, current := range m.replicas {
		if current.state == cluster.ReplicaLoaded && !heldInEntry[model] && l.now.Sub(current.stateSince) > maxEntryLag {
			m.nextReportAt = l.now
			l.requestDueReport(id, m)
			return
		}
	}
}

// setReplicaState sets a replica's state and emits the change.
func (l *Ledger) setReplicaState(id cluster.MachineID, m *machine, model cluster.ModelID, state cluster.ReplicaState) {
	current := m.replicas[model]
	if current == nil {
		current = &replica{stateSince: l.now}
		m.replicas[model] = current
	}
	changed := ReplicaChanged{Machine: id, Model: model, State: state, Took: l.now.Sub(current.stateSince)}
	if state == cluster.ReplicaLoading {
		changed.ReadyIn = current.expectedDoneAt.Sub(l.now)
	}
	current.state, current.stateSince, current.outcomeUnknown = state, l.now, false
	if state == cluster.ReplicaAbsent {
		delete(m.replicas, model)
		l.removeAdaptersOf(id, m, model)
	}
	l.emit(changed)
}

// removeAdaptersOf removes the adapters of a base model that is gone.
func (l *Ledger) removeAdaptersOf(id cluster.MachineID, m *machine, base cluster.ModelID) {
	for _, model := range m.modelIDs() {
		service, name, _ := catalog.Split(model)
		if current := m.replicas[model]; current != nil && current.adapter && catalog.ModelID(service, name) == base {
			delete(m.replicas, model)
			l.emit(ReplicaChanged{Machine: id, Model: model, State: cluster.ReplicaAbsent})
		}
	}
}

// Machines returns the machines as the planner's input, sorted by ID. Size returns a
// model's memory in bytes, zero when it is not known.
func (l *Ledger) Machines(size func(cluster.ModelID) int64) []placement.Machine {
	machines := make([]placement.Machine, 0, len(l.machines))
	for _, id := range l.machineIDs {
		m := l.machines[id]
		machines = append(machines, placement.Machine{
			ID: id, Rack: string(m.worker.Zone), Pool: m.worker.Service, Sealed: !m.runsUnknownOrder, Leaving: m.worker.Draining,
			MemoryBytes: m.memoryBytes, Slots: m.worker.Slots, AdapterSlots: m.adapterSlots, Busy: m.isBlocked(l.now), OrderTimeLeft: m.remainingBusyTime(l.now),
			Replicas: m.plannerSlots(size), Cached: m.cacheTiers,
			Load: cluster.LoadReport{Machine: id, Running: m.runningRequests, Queued: m.waitingRequests},
		})
	}
	return machines
}
