package decisions

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// Planned records a planning round: for each model the decision when it differs
// from the last one kept, or when actions were ordered for the model.
func (j *Journal) Planned(at time.Time, zone cluster.ZoneID, plan *placement.Plan) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	actions := actionsByModel(plan.Actions)
	for i := range plan.Decisions {
		decision := &plan.Decisions[i]
		ordered := actions[decision.Model]
		delete(actions, decision.Model)
		if len(ordered) == 0 && !j.changed(zone, decision) {
			continue
		}
		j.record(&Decision{At: at, Zone: zone, Decision: boundDecision(*decision), Actions: ordered})
	}
	for i := range plan.Actions {
		model := plan.Actions[i].Model
		if ordered, left := actions[model]; left {
			delete(actions, model)
			j.record(&Decision{At: at, Zone: zone, Decision: placement.Decision{Model: model, Reason: ordered[0].Reason}, Actions: ordered})
		}
	}
}

// actionsByModel groups actions and cuts their reasons.
func actionsByModel(actions []placement.Action) map[cluster.ModelID][]placement.Action {
	if len(actions) == 0 {
		return nil
	}
	grouped := make(map[cluster.ModelID][]placement.Action, len(actions))
	for _, action := range actions {
		action.Reason = boundReason(action.Reason)
		grouped[action.Model] = append(grouped[action.Model], action)
	}
	return grouped
}

// changed reports whether a decision differs from the last one kept in what an
// operator would ask about.
func (j *Journal) changed(zone cluster.ZoneID, decision *placement.Decision) bool {
	entry, held := j.decisions.get(j.decisionsOf[decision.Model])
	if !held || entry.value.Zone != zone {
		return true
	}
	last := &entry.value.Decision
	return last.Wanted != decision.Wanted || last.Allowed != decision.Allowed || last.Held != decision.Held ||
		last.Loaded != decision.Loaded || last.Reason.Cause != decision.Reason.Cause ||
		last.Reason.SettingsRevision != decision.Reason.SettingsRevision || last.Reason.Token != decision.Reason.Token
}

// record stores a decision.
func (j *Journal) record(decision *Decision) {
	model := decision.Decision.Model
	sequence, lost, overwritten := j.decisions.put(decision, j.decisionsOf[model])
	if overwritten {
		old := lost.Decision.Model
		if held, ok := j.decisionsOf[old]; ok && sequence-held >= uint64(len(j.decisions.slots)) {
			delete(j.decisionsOf, old)
		}
	}
	j.decisionsOf[model] = sequence
}

// boundDecision cuts the reasons of a decision to what is kept.
func boundDecision(decision placement.Decision) placement.Decision {
	decision.Reason = boundReason(decision.Reason)
	return decision
}

// boundReason cuts a reason to what is kept.
func boundReason(reason placement.Reason) placement.Reason {
	reason.Candidates = bounded(reason.Candidates, maxCandidates)
	reason.Filtered = bounded(reason.Filtered, maxFiltered)
	return reason
}

// DecisionsOf returns the latest decisions on a model, newest first.
func (j *Journal) DecisionsOf(model cluster.ModelID, limit int) []Decision {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	entries := j.decisions.chain(j.decisionsOf[model], limit)
	found := make([]Decision, len(entries))
	for i, entry := range entries {
		found[i] = *entry
	}
	return found
}
