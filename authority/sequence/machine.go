package sequence

import (
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// machine is the state of one engine.
type machine struct {
	worker       catalog.Worker
	memoryBytes  int64
	adapterSlots int
	// hasReported is set once the engine has reported in this term. Until then the
	// machine's registry entry says what the engine holds, and a report is read before the
	// first order.
	hasReported bool
	// runsUnknownOrder is set while the engine is busy with an order that the ledger
	// doesn't know.
	runsUnknownOrder bool
	orderCount       int64
	// pending is the order whose outcome is not known yet, nil for none.
	pending *pendingOrder
	// conflictOpen is set from a refused order until a report explains the refusal.
	conflictOpen bool
	// busyUntil is the expected end of the current order for a base model, zero when there
	// is none.
	busyUntil time.Time
	// lastOrderAt is when the engine last took an order, lastUnloadAt when it last took
	// the unload of a base model.
	lastOrderAt  time.Time
	lastUnloadAt time.Time
	// refusedAfterUnload is set once the engine refused an order because that unload was
	// not done.
	refusedAfterUnload bool
	replicas           map[cluster.ModelID]*replica
	// nextReportAt is when the next report is due, zero for never. reportRequested is set
	// while a report is being read.
	nextReportAt      time.Time
	reportRequested   bool
	reportRequestedAt time.Time
	// reportFailed is set while the last attempt to read a report has failed.
	reportFailed    bool
	cacheTiers      map[cluster.ModelID]cluster.Tier
	runningRequests int
	waitingRequests int
}

// replica is the state of one model on an engine.
type replica struct {
	state   cluster.ReplicaState
	bytes   int64
	adapter bool
	// outcomeUnknown is true while an order for the replica has no known outcome.
	outcomeUnknown bool
	stateSince     time.Time
	expectedDoneAt time.Time
}

// pendingOrder is an order that was sent and has no known outcome.
type pendingOrder struct {
	request       OrderRequested
	expectedCount int64
	sendNumber    uint64
	resendAt      time.Time
	// unansweredSends is the number of sends without an answer.
	unansweredSends int
	// awaitsAnswer is true until the last send is answered or has failed.
	awaitsAnswer bool
}

// loadedModelIDs returns the set of IDs of the held models and adapters.
func loadedModelIDs(service string, held []catalog.LoadedModel) map[cluster.ModelID]bool {
	ids := make(map[cluster.ModelID]bool)
	for _, model := range held {
		ids[catalog.ModelID(service, model.Name)] = true
		for _, adapter := range model.Adapters {
			ids[catalog.AdapterID(service, model.Name, adapter)] = true
		}
	}
	return ids
}

// reportedModelIDs returns the set of IDs that a report names as held or, for adapters, as
// being loaded.
func reportedModelIDs(service string, report *catalog.Report) map[cluster.ModelID]bool {
	ids := loadedModelIDs(service, report.Held)
	for _, coming := range report.LoadingAdapters {
		name, _, _ := strings.Cut(coming, "@")
		if model, adapter, found := strings.Cut(name, "/"); found {
			ids[catalog.AdapterID(service, model, adapter)] = true
		}
	}
	return ids
}

// modelIDs returns the IDs of the machine's replicas, sorted.
func (m *machine) modelIDs() []cluster.ModelID {
	ids := make([]cluster.ModelID, 0, len(m.replicas))
	for id := range m.replicas {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// isBlocked reports whether the machine can't take an order for a base model now, or
// doesn't answer the request for the report that must precede its first order.
func (m *machine) isBlocked(now time.Time) bool {
	withoutReport := m.reportFailed || !m.hasReported && m.reportRequested && now.Sub(m.reportRequestedAt) > firstReportTimeout
	return withoutReport || m.pending != nil || m.conflictOpen || !m.busyUntil.IsZero()
}

// remainingBusyTime returns the expected time until the machine can take an order. It is
// zero when the machine is idle or the ledger can't tell.
func (m *machine) remainingBusyTime(now time.Time) time.Duration {
	switch {
	case m.reportFailed || m.runsUnknownOrder || !m.hasReported:
		return 0
	case !m.busyUntil.IsZero():
		return max(m.busyUntil.Sub(now), 0) + busyReportInterval
	case m.pending != nil && m.pending.unansweredSends == 0:
		return conflictReportDelay
	}
	return 0
}

// plannerSlots returns the replicas for the planner, sorted by model.
func (m *machine) plannerSlots(size func(cluster.ModelID) int64) []placement.Replica {
	slots := make([]placement.Replica, 0, len(m.replicas))
	for _, model := range m.modelIDs() {
		current := m.replicas[model]
		slots = append(slots, placement.Replica{
			Model: model, State: current.state, Unknown: current.outcomeUnknown, Bytes: max(current.bytes, size(model)), Since: current.stateSince,
		})
	}
	return slots
}
