package sequence

import (
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
)

// handleOrderRequested sends the requested order unless the machine can't take one now. Before
// the first order of a term a report is read, and the next plan uses it. The memory of a
// load is reserved before the order is sent.
func (l *Ledger) handleOrderRequested(ordered *OrderRequested) {
	m := l.machines[ordered.Machine]
	if !l.Holding() || m == nil || m.runsUnknownOrder || m.pending != nil || m.conflictOpen || !m.busyUntil.IsZero() {
		return
	}
	if !m.hasReported {
		if m.nextReportAt.IsZero() && !m.reportRequested {
			m.nextReportAt = l.now
			l.requestDueReport(ordered.Machine, m)
		}
		return
	}
	current := m.replicas[ordered.Model]
	if ordered.Kind == cluster.OrderLoad {
		if current != nil {
			return
		}
		m.replicas[ordered.Model] = &replica{
			state: cluster.ReplicaLoading, bytes: ordered.Bytes, adapter: ordered.Adapter, outcomeUnknown: true, stateSince: l.now,
			expectedDoneAt: l.now.Add(ordered.ExpectedTime),
		}
	} else {
		if current == nil || current.state != cluster.ReplicaLoaded {
			return
		}
		l.setReplicaState(ordered.Machine, m, ordered.Model, cluster.ReplicaUnloading)
		current.outcomeUnknown = true
	}
	m.pending = &pendingOrder{request: *ordered, expectedCount: m.orderCount}
	l.sendPending(ordered.Machine, m)
}

// sendPending sends the pending order, for the first time or again.
func (l *Ledger) sendPending(id cluster.MachineID, m *machine) {
	l.lastSendNumber++
	l.activeMachines[id] = true
	pending := m.pending
	pending.sendNumber, pending.awaitsAnswer = l.lastSendNumber, true
	pending.resendAt = l.now.Add(resendBackoff)
	l.emit(SendOrder{Address: m.worker.Address, Number: l.lastSendNumber, Order: Order{
		Machine: id, Kind: pending.request.Kind, Model: pending.request.Model,
		Expected: pending.expectedCount, Holder: l.holder, Token: l.token,
	}})
}

// handleOrderAnswered processes the answer to an order. Only the answer to the last send
// counts: the engine takes each count once, so the last answer shows whether an earlier
// send was taken.
func (l *Ledger) handleOrderAnswered(answer *OrderAnswered) {
	m := l.machines[answer.Machine]
	if m == nil || m.pending == nil || m.pending.sendNumber != answer.Number {
		return
	}
	m.pending.awaitsAnswer = false
	if answer.Err != nil {
		m.pending.resendAt = l.now.Add(resendBackoff << min(m.pending.unansweredSends, maxResendDoublings))
		m.pending.unansweredSends++
		return
	}
	pending := m.pending
	switch answer.Outcome {
	case OutcomeTaken:
		m.pending = nil
		m.orderCount = pending.expectedCount + 1
		l.handleTaken(answer.Machine, m, &pending.request)
	case OutcomeAlreadyDone:
		m.pending = nil
		l.handleAlreadyDone(answer.Machine, m, &pending.request)
	case OutcomeConflict:
		if pending.unansweredSends == 0 && l.now.Sub(m.lastUnloadAt) < unloadConflictWindow {
			// The unload before isn't done, and no earlier send can have been taken.
			pending.resendAt = l.now.Add(unloadConflictRetry)
			if !m.refusedAfterUnload {
				m.refusedAfterUnload = true
				l.unloadEstimate = min(l.unloadEstimate+unloadEstimateIncrease, maxUnloadEstimate)
			}
			return
		}
		m.conflictOpen = true
		m.nextReportAt = l.now.Add(conflictReportDelay)
	case OutcomeStaleToken:
		m.pending = nil
		l.emit(Superseded{Machine: answer.Machine})
	case OutcomeOtherMachine:
		l.removeMachine(answer.Machine)
	default:
		m.pending = nil
		l.revertOrder(answer.Machine, m, &pending.request)
	}
}

// handleTaken updates the replica after the engine has taken an order.
func (l *Ledger) handleTaken(id cluster.MachineID, m *machine, request *OrderRequested) {
	current := m.replicas[request.Model]
	if current == nil {
		return
	}
	if !m.refusedAfterUnload && l.now.Sub(m.lastUnloadAt) < unloadConflictWindow {
		l.unloadEstimate = max(l.unloadEstimate-unloadEstimateDecrease, minUnloadEstimate)
	}
	m.lastOrderAt = l.now
	current.expectedDoneAt = l.now.Add(request.ExpectedTime)
	switch {
	case request.Kind == cluster.OrderLoad:
		l.setReplicaState(id, m, request.Model, cluster.ReplicaLoading)
	case request.Adapter:
		// Engines may take the next order before the unload of an adapter is done, so a
		// taken order is no evidence of the unload's duration. A load that comes too early
		// would exceed the engine's capacity.
		current.expectedDoneAt = l.now.Add(max(l.unloadEstimate, initialUnloadEstimate))
		current.outcomeUnknown = false
	default:
		m.lastUnloadAt, m.refusedAfterUnload = l.now, false
		current.expectedDoneAt = l.now.Add(l.unloadEstimate)
		current.outcomeUnknown = false
	}
	if request.Adapter {
		return
	}
	m.busyUntil = current.expectedDoneAt
	m.nextReportAt = current.expectedDoneAt.Add(-reportLeadTime)
}

// handleAlreadyDone updates the replica after the engine answered that the ordered state
// already holds. The unload of an adapter is done at once and counts as an order.
func (l *Ledger) handleAlreadyDone(id cluster.MachineID, m *machine, request *OrderRequested) {
	state := cluster.ReplicaLoaded
	if request.Kind == cluster.OrderUnload {
		state = cluster.ReplicaAbsent
		if request.Adapter {
			m.orderCount++
		}
	}
	l.setReplicaState(id, m, request.Model, state)
}

// revertOrder restores the replica's state from before an order that the engine will never
// carry out.
func (l *Ledger) revertOrder(id cluster.MachineID, m *machine, request *OrderRequested) {
	state := cluster.ReplicaAbsent
	if request.Kind == cluster.OrderUnload {
		state = cluster.ReplicaLoaded
	}
	l.setReplicaState(id, m, request.Model, state)
}

// handleReportRead processes an engine's report.
func (l *Ledger) handleReportRead(read *ReportRead) {
	m := l.machines[read.Machine]
	if m == nil {
		return
	}
	m.reportRequested, m.reportFailed = false, read.Err != nil
	if read.Err != nil {
		m.nextReportAt = l.now.Add(failedReportRetry)
		return
	}
	m.runningRequests, m.waitingRequests = read.Report.Running, read.Report.Waiting
	m.cacheTiers = cacheTiersOf(m.worker.Service, read.Report.InMemory, read.Report.OnDisk)
	m.nextReportAt = time.Time{}
	if !l.Holding() {
		return
	}
	if reportsCountFrom := l.termBegan.Add(maxReportLag); !m.hasReported && l.now.Before(reportsCountFrom) {
		m.nextReportAt = reportsCountFrom
		return
	}
	if m.hasReported && read.Report.OrderCount < m.orderCount {
		// The report is older than the last order.
		m.nextReportAt = l.now.Add(conflictReportDelay)
		return
	}
	if read.Report.Busy && !m.explainsReport(&read.Report) {
		// The engine may be loading a model that the ledger doesn't know, whose memory no
		// report shows. The machine takes no orders until the load is done.
		if m.pending != nil {
			l.revertOrder(read.Machine, m, &m.pending.request)
		}
		m.hasReported, m.runsUnknownOrder, m.pending, m.conflictOpen = false, true, nil, false
		m.nextReportAt = l.now.Add(busyReportInterval)
		return
	}
	mayRemove := !m.hasReported || l.now.Sub(m.lastOrderAt) >= maxReportLag
	if !l.resolvePending(read.Machine, m, &read.Report) {
		m.conflictOpen = true
		m.nextReportAt = l.now.Add(busyReportInterval)
		return
	}
	if read.Report.OrderCount > m.orderCount {
		// Orders were carried out whose answers were lost.
		m.lastOrderAt, mayRemove = l.now, !m.hasReported
	}
	m.orderCount, m.hasReported, m.runsUnknownOrder, m.conflictOpen = read.Report.OrderCount, true, false, false
	l.addReportedModels(read.Machine, m, &read.Report)
	if mayRemove {
		l.updateUnreportedModels(read.Machine, m, &read.Report)
	}
	l.updateBusy(m, read.Report.Busy)
	if read.Report.Busy {
		m.nextReportAt = l.now.Add(busyReportInterval)
	} else if !mayRemove {
		m.nextReportAt = m.lastOrderAt.Add(maxReportLag)
	}
}

// explainsReport reports whether the ledger knows every order up to the report's count,
// and thus the order that the engine is busy with.
func (m *machine) explainsReport(report *catalog.Report) bool {
	if !m.hasReported {
		return false
	}
	explainedCount := m.orderCount
	if m.pending != nil && m.pending.unansweredSends > 0 {
		// A send without an answer may have been taken.
		explainedCount = m.pending.expectedCount + 1
	}
	return report.OrderCount <= explainedCount
}

// resolvePending resolves a pending order that met a conflict or has no answer, and
// reports whether no such order is left open. Once the engine's count has passed the
// order's, the engine took either this order or another holder's in its place. What the
// engine holds when it is done tells which.
func (l *Ledger) resolvePending(id cluster.MachineID, m *machine, report *catalog.Report) bool {
	pending := m.pending
	if pending == nil || pending.awaitsAnswer {
		return true
	}
	if report.OrderCount <= pending.expectedCount {
		pending.resendAt = l.now
		if report.Busy {
			pending.resendAt = l.now.Add(busyReportInterval)
		}
		return true
	}
	if report.Busy {
		return false
	}
	m.pending = nil
	held := reportedModelIDs(m.worker.Service, report)[pending.request.Model]
	state := cluster.ReplicaAbsent
	if held {
		state = cluster.ReplicaLoaded
	}
	l.setReplicaState(id, m, pending.request.Model, state)
	return true
}

// cacheTiersOf returns the storage tier from which the engine would load each of its
// cached models.
func cacheTiersOf(service string, inMemory, onDisk []string) map[cluster.ModelID]cluster.Tier {
	cached := make(map[cluster.ModelID]cluster.Tier, len(onDisk)+len(inMemory))
	for _, name := range onDisk {
		cached[catalog.ModelID(service, name)] = cluster.TierDisk
	}
	for _, name := range inMemory {
		cached[catalog.ModelID(service, name)] = cluster.TierMemory
	}
	return cached
}

// addReportedModels adds the models that the report names as held and completes their
// loads.
func (l *Ledger) addReportedModels(id cluster.MachineID, m *machine, report *catalog.Report) {
	held := reportedModelIDs(m.worker.Service, report)
	for _, model := range slices.Sorted(maps.Keys(held)) {
		current := m.replicas[model]
		if current == nil {
			_, _, adapter := catalog.Split(model)
			m.replicas[model] = &replica{state: cluster.ReplicaLoaded, adapter: adapter != "", stateSince: l.now}
			continue
		}
		if current.state == cluster.ReplicaLoading && !current.outcomeUnknown {
			l.setReplicaState(id, m, model, cluster.ReplicaLoaded)
		}
	}
}

// updateUnreportedModels removes the replicas that the report lacks, and restores those
// that it still names after an unload.
func (l *Ledger) updateUnreportedModels(id cluster.MachineID, m *machine, report *catalog.Report) {
	held := reportedModelIDs(m.worker.Service, report)
	for _, model := range m.modelIDs() {
		current := m.replicas[model]
		if current == nil || current.outcomeUnknown || l.now.Sub(current.stateSince) < maxReportLag {
			continue
		}
		switch {
		case held[model] && current.state == cluster.ReplicaUnloading && !report.Busy:
			l.setReplicaState(id, m, model, cluster.ReplicaLoaded)
		case !held[model] && (current.state != cluster.ReplicaLoading || !report.Busy):
			l.setReplicaState(id, m, model, cluster.ReplicaAbsent)
		}
	}
}

// updateBusy updates busyUntil from the report's busy flag.
func (l *Ledger) updateBusy(m *machine, busy bool) {
	switch {
	case !busy && l.now.Sub(m.lastOrderAt) >= maxReportLag:
		m.busyUntil = time.Time{}
	case !busy && m.baseModelInTransition() == nil:
		m.busyUntil = time.Time{}
	case busy && m.busyUntil.IsZero():
		m.busyUntil = l.now.Add(busyReportInterval)
	}
}

// baseModelInTransition returns a base model that is being loaded or unloaded, or nil.
func (m *machine) baseModelInTransition() *replica {
	for _, current := range m.replicas {
		if !current.adapter && current.state != cluster.ReplicaLoaded {
			return current
		}
	}
	return nil
}

// handleTick sends unanswered orders again, completes orders that end by their expected
// time and reads the reports that are due.
func (l *Ledger) handleTick() {
	if !l.Holding() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(l.activeMachines)) {
		m := l.machines[id]
		if m.canResend() && !l.now.Before(m.pending.resendAt) {
			l.sendPending(id, m)
		}
		l.completeExpected(id, m)
		l.requestDueReport(id, m)
		if m.isIdle() {
			delete(l.activeMachines, id)
		}
	}
}

// canResend reports whether the pending order may be sent again.
func (m *machine) canResend() bool {
	return m.pending != nil && !m.pending.awaitsAnswer && !m.conflictOpen
}

// completeExpected completes loads of adapters and unloads of idle models at their
// expected end: both take milliseconds, and a report would come later.
func (l *Ledger) completeExpected(id cluster.MachineID, m *machine) {
	for _, model := range m.modelIDs() {
		current := m.replicas[model]
		if current == nil || current.outcomeUnknown || l.now.Before(current.expectedDoneAt) {
			continue
		}
		switch {
		case current.state == cluster.ReplicaLoading && current.adapter:
			l.setReplicaState(id, m, model, cluster.ReplicaLoaded)
		case current.state == cluster.ReplicaUnloading:
			l.setReplicaState(id, m, model, cluster.ReplicaAbsent)
			m.busyUntil, m.nextReportAt = time.Time{}, time.Time{}
		}
	}
}

// isIdle reports whether the machine waits for nothing.
func (m *machine) isIdle() bool {
	if m.pending != nil || m.reportRequested || !m.nextReportAt.IsZero() || !m.busyUntil.IsZero() {
		return false
	}
	for _, current := range m.replicas {
		if current.state != cluster.ReplicaLoaded {
			return false
		}
	}
	return true
}

// requestDueReport reads a report that is due.
func (l *Ledger) requestDueReport(id cluster.MachineID, m *machine) {
	if !m.nextReportAt.IsZero() {
		l.activeMachines[id] = true
	}
	if m.reportRequested || m.nextReportAt.IsZero() || l.now.Before(m.nextReportAt) {
		return
	}
	m.reportRequested, m.reportRequestedAt = true, l.now
	l.emit(ReadReport{Machine: id, Address: m.worker.Address})
}

// NextDue returns when the next Tick has something to do, false for never.
func (l *Ledger) NextDue() (time.Time, bool) {
	if !l.Holding() {
		return time.Time{}, false
	}
	var next time.Time
	consider := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for id := range l.activeMachines {
		m := l.machines[id]
		if !m.reportRequested && !m.nextReportAt.IsZero() {
			consider(m.nextReportAt)
		}
		if m.canResend() {
			consider(m.pending.resendAt)
		}
		for _, current := range m.replicas {
			endsByTime := current.state == cluster.ReplicaLoading && current.adapter || current.state == cluster.ReplicaUnloading
			if endsByTime && !current.outcomeUnknown {
				consider(current.expectedDoneAt)
			}
		}
	}
	return next, !next.IsZero()
}
