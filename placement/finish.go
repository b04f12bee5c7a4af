package placement

import (
	"github.com/valveslip/valveslip/cluster"
)

// finish completes the plan with the decisions and the wanted counts.
func (r *round) finish() Plan {
	active := 0
	for i := range r.models {
		if r.isReported(int32(i)) {
			active++
		}
	}
	r.plan.Decisions = make([]Decision, 0, active)
	r.plan.Wanted = make(map[cluster.ModelID]int, active)
	for i := range r.models {
		if r.isReported(int32(i)) {
			r.plan.Decisions = append(r.plan.Decisions, r.decision(int32(i)))
		}
		if r.models[i].reported > 0 {
			r.plan.Wanted[r.catalogue.entries[i].model.ID] = r.models[i].reported
		}
		history := r.catalogue.entries[i].history
		history.explainedLast = r.models[i].reported > 0 || r.models[i].held > 0
	}
	r.store.runningLoads = r.remoteLoads
	r.plan.Store = StoreUse{Loading: r.remoteLoads, Limit: r.store.concurrency(), Starts: r.store.startTokens}
	plan := r.plan
	r.plan, r.state = Plan{}, nil
	return plan
}

// isReported reports whether the plan has a decision for the model: its wanted or held count is
// not zero, or was not zero in the last round.
func (r *round) isReported(i int32) bool {
	model := &r.models[i]
	return model.reported > 0 || model.held > 0 || r.catalogue.entries[i].history.explainedLast
}

// decision returns the decision on one model's replica count.
func (r *round) decision(i int32) Decision {
	model, entry := &r.models[i], &r.catalogue.entries[i]
	reason := model.reason
	if reason.Cause == "" {
		reason = r.reason(i, CauseIdle, keyKeepAlive)
		reason.Idle = entry.history.idle(r.state.Now)
	}
	decision := Decision{
		Model: entry.model.ID, Wanted: model.reported, Allowed: model.limit,
		Held: model.held - model.planned, Loaded: model.loaded, Reason: reason,
	}
	if next, ok := entry.history.keepSchedule.nextWindowStart(entry.history.idle(r.state.Now)); ok && !entry.history.busy {
		decision.NextWake = entry.history.idleSince.Add(next)
	}
	return decision
}
