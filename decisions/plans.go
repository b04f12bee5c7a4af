package decisions

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// RecordPlan records a planning round. For each model it records the decision if
// that differs from the last one recorded or if the plan has actions for the
// model.
func (j *Journal) RecordPlan(at time.Time, zone cluster.ZoneID, plan *placement.Plan) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	actions := actionsByModel(plan.Actions)
	for i := range plan.Decisions {
		decision := &plan.Decisions[i]
		modelActions := actions[decision.Model]
		delete(actions, decision.Model)
		if len(modelActions) == 0 && !j.hasChanged(zone, decision) {
			continue
		}
		j.storeDecision(&Decision{At: at, Zone: zone, Decision: truncateDecision(*decision), Actions: modelActions})
	}
	for i := range plan.Actions {
		model := plan.Actions[i].Model
		if modelActions, remaining := actions[model]; remaining {
			delete(actions, model)
			j.storeDecision(&Decision{At: at, Zone: zone, Decision: placement.Decision{Model: model, Reason: modelActions[0].Reason}, Actions: modelActions})
		}
	}
}

// actionsByModel groups actions by model and truncates their reasons.
func actionsByModel(actions []placement.Action) map[cluster.ModelID][]placement.Action {
	if len(actions) == 0 {
		return nil
	}
	grouped := make(map[cluster.ModelID][]placement.Action, len(actions))
	for _, action := range actions {
		action.Reason = truncateReason(action.Reason)
		grouped[action.Model] = append(grouped[action.Model], action)
	}
	return grouped
}

// hasChanged reports whether a decision differs from the last one recorded for
// its model in a field that matters to operators.
func (j *Journal) hasChanged(zone cluster.ZoneID, decision *placement.Decision) bool {
	entry, held := j.decisions.get(j.newestDecision[decision.Model])
	if !held || entry.value.Zone != zone {
		return true
	}
	last := &entry.value.Decision
	return last.Wanted != decision.Wanted || last.Allowed != decision.Allowed || last.Held != decision.Held ||
		last.Loaded != decision.Loaded || last.Reason.Cause != decision.Reason.Cause ||
		last.Reason.SettingsRevision != decision.Reason.SettingsRevision || last.Reason.Token != decision.Reason.Token
}

// storeDecision adds a decision to the ring and the index.
func (j *Journal) storeDecision(decision *Decision) {
	model := decision.Decision.Model
	sequence, evicted, overwritten := j.decisions.put(decision, j.newestDecision[model])
	if overwritten {
		old := evicted.Decision.Model
		if newest, ok := j.newestDecision[old]; ok && sequence-newest >= uint64(len(j.decisions.slots)) {
			delete(j.newestDecision, old)
		}
	}
	j.newestDecision[model] = sequence
}

// truncateDecision limits the reasons of a decision to maxCandidates and
// maxFiltered.
func truncateDecision(decision placement.Decision) placement.Decision {
	decision.Reason = truncateReason(decision.Reason)
	return decision
}

// truncateReason limits a reason to maxCandidates and maxFiltered.
func truncateReason(reason placement.Reason) placement.Reason {
	reason.Candidates = truncate(reason.Candidates, maxCandidates)
	reason.Filtered = truncate(reason.Filtered, maxFiltered)
	return reason
}

// DecisionsOf returns the latest decisions for a model, newest first, at most
// limit.
func (j *Journal) DecisionsOf(model cluster.ModelID, limit int) []Decision {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	entries := j.decisions.newestFirst(j.newestDecision[model], limit)
	found := make([]Decision, len(entries))
	for i, entry := range entries {
		found[i] = *entry
	}
	return found
}
