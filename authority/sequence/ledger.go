package sequence

import (
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

const (
	// resendInterval spaces the sendings of an order without an answer.
	resendInterval = 120 * time.Millisecond
	// maxDoublings bounds how often that doubles.
	maxDoublings = 3
	// reportLag is how late reports may be: for so long after an order a report
	// does not show that something is missing.
	reportLag = 450 * time.Millisecond
	// conflictPoll is when a refusal is looked into.
	conflictPoll = 130 * time.Millisecond
	// pollInterval spaces reports while an order is carried out.
	pollInterval = 150 * time.Millisecond
	// earlyPoll is how long before the expected end of a load reports begin.
	earlyPoll = 30 * time.Millisecond
	// unloadTime is the expected time of the unload of an idle model until one was seen.
	// Each order that an engine refuses because the unload before it isn't done lengthens
	// what is expected by unloadLonger, each that it takes shortens it by unloadShorter, so
	// that about one in thirty is refused; a quarter of all orders were while the time was
	// fixed and engines took 36 to 70 ms.
	unloadTime    = 25 * time.Millisecond
	unloadLonger  = 15 * time.Millisecond
	unloadShorter = 500 * time.Microsecond
	leastUnload   = 5 * time.Millisecond
	longestUnload = 150 * time.Millisecond
	// unloadRetry spaces the sendings of an order that an engine refuses because the
	// unload before it isn't done; for unloadPatience that needs no report.
	unloadRetry    = 25 * time.Millisecond
	unloadPatience = 300 * time.Millisecond
	// entryLag is how late a machine's entry usually is at most.
	entryLag = 3 * time.Second
	// promptReport is within what time a well engine answers with its report.
	promptReport = 40 * time.Millisecond
	// sealRetry spaces the first reports of a term that are not answered.
	sealRetry = 400 * time.Millisecond
)

// Ledger is what the holder of a lease knows of the engines. It is not safe for
// concurrent use.
type Ledger struct {
	now time.Time
	// began is when the term began: reports that may be of before it are not
	// taken for what engines are now.
	began    time.Time
	holder   cluster.NodeID
	token    cluster.FencingToken
	machines map[cluster.MachineID]*machine
	// order lists the machines by identifier.
	order []cluster.MachineID
	// active lists the machines that wait for something to come or to end.
	active map[cluster.MachineID]bool
	number uint64
	// unload is the learned time of an unload.
	unload  time.Duration
	effects []Effect
}

// machine is one engine.
type machine struct {
	worker       catalog.Worker
	memory       int64
	adapterSlots int
	// counted is set once the engine has reported in this term: until then its
	// entry tells what it holds, and a report is read before the first order.
	counted bool
	// full is set while the engine is busy with an order that is not known.
	full  bool
	count int64
	// pending is the order without a definite answer.
	pending *pendingOrder
	// conflicting is set until a report explains a refusal.
	conflicting bool
	// busyUntil is until when an order for a base model is expected to run; zero
	// when none does.
	busyUntil time.Time
	// ordered is when the engine took an order last, unloaded when it took an unload
	// last.
	ordered  time.Time
	unloaded time.Time
	// refused is set once an engine refused an order because of that unload.
	refused  bool
	replicas map[cluster.ModelID]*replica
	// reportDue is when a report is read, zero for not; asked is set while one is.
	reportDue time.Time
	asked     bool
	askedAt   time.Time
	// silent is set while the last report that was asked for did not come.
	silent  bool
	cached  map[cluster.ModelID]cluster.Tier
	running int
	waiting int
}

// replica is one model on an engine.
type replica struct {
	state   cluster.ReplicaState
	bytes   int64
	adapter bool
	// unknown is true while an order about it has no definite answer.
	unknown bool
	since   time.Time
	readyAt time.Time
}

// pendingOrder is an order that was sent.
type pendingOrder struct {
	order    Ordered
	expected int64
	number   uint64
	resendAt time.Time
	// failures counts the sendings without an answer.
	failures int
	// waiting is true until the last sending is answered or known to have failed.
	waiting bool
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		machines: make(map[cluster.MachineID]*machine), active: make(map[cluster.MachineID]bool), unload: unloadTime,
	}
}

// Step takes one event and returns the effects.
func (l *Ledger) Step(now time.Time, event Event) []Effect {
	l.now, l.effects = now, nil
	switch event := event.(type) {
	case TermBegan:
		l.begin(event)
	case TermEnded:
		l.token = 0
	case MachineSeen:
		l.seen(&event)
	case MachineGone:
		l.remove(event.Machine)
	case Ordered:
		l.give(&event)
	case Answered:
		l.answered(&event)
	case ReportRead:
		l.reported(&event)
	case Tick:
		l.tick()
	}
	return l.effects
}

// Holding reports whether a term is under way.
func (l *Ledger) Holding() bool { return l.token != 0 }

// Count returns how many machines there are.
func (l *Ledger) Count() int { return len(l.order) }

// Token of the term under way.
func (l *Ledger) Token() cluster.FencingToken { return l.token }

func (l *Ledger) emit(effect Effect) { l.effects = append(l.effects, effect) }

// begin starts a term with what the entries say.
func (l *Ledger) begin(event TermBegan) {
	l.holder, l.token, l.began = event.Holder, event.Token, l.now
	clear(l.active)
	for _, id := range l.order {
		m := l.machines[id]
		m.counted, m.full, m.pending, m.conflicting, m.busyUntil = false, false, nil, false, time.Time{}
		m.replicas = map[cluster.ModelID]*replica{}
		m.asked, m.reportDue, m.silent = false, time.Time{}, false
		l.takeEntry(m)
	}
}

// takeEntry takes over what a machine's entry says it holds.
func (l *Ledger) takeEntry(m *machine) {
	for id := range heldIDs(m.worker.Service, m.worker.Held) {
		if m.replicas[id] == nil {
			_, _, adapter := catalog.Split(id)
			m.replicas[id] = &replica{state: cluster.ReplicaLoaded, adapter: adapter != "", since: l.now}
		}
	}
	m.cached = tiers(m.worker.Service, m.worker.InMemory, m.worker.OnDisk)
}

// remove forgets a machine.
func (l *Ledger) remove(id cluster.MachineID) {
	if _, known := l.machines[id]; !known {
		return
	}
	delete(l.machines, id)
	delete(l.active, id)
	if at, found := slices.BinarySearch(l.order, id); found {
		l.order = slices.Delete(l.order, at, at+1)
	}
}

// seen takes a machine's entry. Until an engine has reported, its entry tells what
// it holds; afterwards an entry that lacks something has a report read.
func (l *Ledger) seen(event *MachineSeen) {
	id := event.Worker.ID
	m := l.machines[id]
	if m == nil {
		m = &machine{replicas: map[cluster.ModelID]*replica{}}
		l.machines[id] = m
		at, _ := slices.BinarySearch(l.order, id)
		l.order = slices.Insert(l.order, at, id)
	}
	before := m.worker
	m.worker, m.memory, m.adapterSlots = event.Worker, event.MemoryBytes, event.AdapterSlots
	if !l.Holding() {
		return
	}
	if !m.counted {
		m.replicas = map[cluster.ModelID]*replica{}
		l.takeEntry(m)
		return
	}
	l.endLoads(id, m, &before)
	l.checkVanished(id, m)
}

// endLoads ends the load of a base model that a machine's entry newly names: engines
// write their entry when a load is done, and their reports show it later.
func (l *Ledger) endLoads(id cluster.MachineID, m *machine, before *catalog.Worker) {
	earlier := heldIDs(before.Service, before.Held)
	for model := range heldIDs(m.worker.Service, m.worker.Held) {
		known := m.replicas[model]
		if earlier[model] || known == nil || known.adapter || known.unknown || known.state != cluster.ReplicaLoading {
			continue
		}
		l.change(id, m, model, cluster.ReplicaLoaded)
		m.cached = tiers(m.worker.Service, m.worker.InMemory, m.worker.OnDisk)
		m.busyUntil, m.reportDue = time.Time{}, time.Time{}
	}
}

// checkVanished reads a report when an entry does not name what has been loaded
// for longer than entries are usually late. The entry alone proves nothing: while
// the store is down it may be of any age.
func (l *Ledger) checkVanished(id cluster.MachineID, m *machine) {
	if m.pending != nil || l.now.Sub(m.ordered) < entryLag {
		return
	}
	named := heldIDs(m.worker.Service, m.worker.Held)
	for model, known := range m.replicas {
		if known.state == cluster.ReplicaLoaded && !named[model] && l.now.Sub(known.since) > entryLag {
			m.reportDue = l.now
			l.poll(id, m)
			return
		}
	}
}

// heldIDs lists what a machine holds by identifier.
func heldIDs(service string, held []catalog.HeldModel) map[cluster.ModelID]bool {
	ids := make(map[cluster.ModelID]bool)
	for _, model := range held {
		ids[catalog.ModelID(service, model.Name)] = true
		for _, adapter := range model.Adapters {
			ids[catalog.AdapterID(service, model.Name, adapter)] = true
		}
	}
	return ids
}

// reportedIDs lists what a report says is held or, of adapters, on its way.
func reportedIDs(service string, report *catalog.Report) map[cluster.ModelID]bool {
	ids := heldIDs(service, report.Held)
	for _, coming := range report.Coming {
		name, _, _ := strings.Cut(coming, "@")
		if model, adapter, found := strings.Cut(name, "/"); found {
			ids[catalog.AdapterID(service, model, adapter)] = true
		}
	}
	return ids
}

// change moves a replica to a state and tells so.
func (l *Ledger) change(id cluster.MachineID, m *machine, model cluster.ModelID, state cluster.ReplicaState) {
	known := m.replicas[model]
	if known == nil {
		known = &replica{since: l.now}
		m.replicas[model] = known
	}
	changed := ReplicaChanged{Machine: id, Model: model, State: state, Took: l.now.Sub(known.since)}
	if state == cluster.ReplicaLoading {
		changed.ReadyIn = known.readyAt.Sub(l.now)
	}
	known.state, known.since, known.unknown = state, l.now, false
	if state == cluster.ReplicaAbsent {
		delete(m.replicas, model)
		l.dropAdapters(id, m, model)
	}
	l.emit(changed)
}

// dropAdapters drops the adapters of a base model that is gone.
func (l *Ledger) dropAdapters(id cluster.MachineID, m *machine, base cluster.ModelID) {
	for _, model := range m.models() {
		service, name, _ := catalog.Split(model)
		if known := m.replicas[model]; known != nil && known.adapter && catalog.ModelID(service, name) == base {
			delete(m.replicas, model)
			l.emit(ReplicaChanged{Machine: id, Model: model, State: cluster.ReplicaAbsent})
		}
	}
}

// models lists the machine's replicas by identifier.
func (m *machine) models() []cluster.ModelID {
	ids := make([]cluster.ModelID, 0, len(m.replicas))
	for id := range m.replicas {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Machines returns the machines as the planner sees them, sorted by identifier.
// Size tells what a model takes, zero when it is not known.
func (l *Ledger) Machines(size func(cluster.ModelID) int64) []placement.Machine {
	machines := make([]placement.Machine, 0, len(l.machines))
	for _, id := range l.order {
		m := l.machines[id]
		machines = append(machines, placement.Machine{
			ID: id, Rack: string(m.worker.Zone), Pool: m.worker.Service, Sealed: !m.full, Leaving: m.worker.Draining,
			MemoryBytes: m.memory, Slots: m.worker.Slots, AdapterSlots: m.adapterSlots, Busy: m.blocked(l.now), BusyFor: m.busyFor(l.now),
			Replicas: m.slots(size), Cached: m.cached,
			Load: cluster.LoadReport{Machine: id, Running: m.running, Queued: m.waiting},
		})
	}
	return machines
}

// blocked reports whether the machine takes no order for a base model now, or
// leaves the report open that must come before its first order.
func (m *machine) blocked(now time.Time) bool {
	unheard := m.silent || !m.counted && m.asked && now.Sub(m.askedAt) > promptReport
	return unheard || m.pending != nil || m.conflicting || !m.busyUntil.IsZero()
}

// busyFor is how much longer the machine is expected to carry out its order, zero
// when it carries out none or nothing is known of it.
func (m *machine) busyFor(now time.Time) time.Duration {
	switch {
	case m.silent || m.full || !m.counted:
		return 0
	case !m.busyUntil.IsZero():
		return max(m.busyUntil.Sub(now), 0) + pollInterval
	case m.pending != nil && m.pending.failures == 0:
		return conflictPoll
	}
	return 0
}

// slots lists the replicas for the planner, sorted by model.
func (m *machine) slots(size func(cluster.ModelID) int64) []placement.Slot {
	slots := make([]placement.Slot, 0, len(m.replicas))
	for _, model := range m.models() {
		known := m.replicas[model]
		slots = append(slots, placement.Slot{
			Model: model, State: known.state, Unknown: known.unknown, Bytes: max(known.bytes, size(model)), Since: known.since,
		})
	}
	return slots
}
