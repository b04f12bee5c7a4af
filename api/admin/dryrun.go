package admin

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// DryRun describes the effects that an edit would have.
type DryRun struct {
	// Changes are the changes of the edit, with normalised values.
	Changes []settings.Change `json:"changes"`
	Models  []ModelEffect     `json:"models"`
	// Before and After are the totals of the reader's subtree without and with
	// the edit.
	Before Totals `json:"before"`
	After  Totals `json:"after"`
}

// Totals are sums over the models of a subtree. The replica counts and their
// memory are the minimum and maximum that may be loaded.
type Totals struct {
	Models      int   `json:"models"`
	MinReplicas int   `json:"min_replicas"`
	MaxReplicas int   `json:"max_replicas"`
	MinBytes    int64 `json:"min_bytes"`
	MaxBytes    int64 `json:"max_bytes"`
}

// ModelEffect is the effect of an edit on one model.
type ModelEffect struct {
	Model cluster.ModelID `json:"model"`
	Path  string          `json:"path"`
	// Change is "added", "removed" or "changed".
	Change string        `json:"change"`
	Values []ValueEffect `json:"values,omitempty"`
	// Held is the number of replicas that the model has now.
	Held  int             `json:"held"`
	Steps []ReplicaEffect `json:"steps,omitempty"`
}

// ValueEffect is an effective value that would change, before and after the edit,
// with the levels that it is set at.
type ValueEffect struct {
	Key          string         `json:"key"`
	Before       settings.Value `json:"before,omitempty"`
	BeforeSource string         `json:"before_source,omitempty"`
	After        settings.Value `json:"after,omitempty"`
	AfterSource  string         `json:"after_source,omitempty"`
}

// ReplicaEffect is a consequence of an edit for replicas or requests.
type ReplicaEffect struct {
	// Step is "load", "unload", "move", "reload" or "refuse".
	Step  string `json:"step"`
	Count int    `json:"count,omitempty"`
	Text  string `json:"text"`
}

// dryRun responds with the effects that an edit of the tree would have, without
// committing it.
func (s *server) dryRun(w http.ResponseWriter, r *http.Request, tree *settings.Tree, edit settings.Edit) {
	normalised, after, err := tree.Validate(edit)
	if err != nil {
		s.writeEditError(w, r, edit.ID, err)
		return
	}
	replicas, err := s.Backend.Replicas(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	snapshots := [2]*settings.Snapshot{}
	for i, version := range []*settings.Tree{tree, after} {
		if snapshots[i], err = version.Compile(settings.Stamp{}); err != nil {
			s.writeEditError(w, r, edit.ID, err)
			return
		}
	}
	token := requestToken(r)
	writeJSON(w, http.StatusOK, DryRun{
		Changes: visibleChanges(token, normalised.Changes),
		Models:  modelEffects(snapshots[0], snapshots[1], edit.Changes, replicas),
		Before:  sumModels(snapshots[0], token.Path), After: sumModels(snapshots[1], token.Path),
	})
}

// sumModels returns the totals of the models in a subtree.
func sumModels(snapshot *settings.Snapshot, path string) Totals {
	var total Totals
	for i := range snapshot.Models {
		model := &snapshot.Models[i]
		if !settings.Contains(path, model.Path) {
			continue
		}
		total.Models++
		total.MinReplicas += model.Policy.MinReplicas
		total.MaxReplicas += model.Policy.MaxReplicas
		total.MinBytes += int64(model.Policy.MinReplicas) * model.Policy.Memory
		total.MaxBytes += int64(model.Policy.MaxReplicas) * model.Policy.Memory
	}
	return total
}

// modelEffects compares two snapshots model by model and returns the effects,
// sorted by model. Only models at or below a changed level are compared, because
// no others can differ.
func modelEffects(before, after *settings.Snapshot, changes []settings.Change, replicas []Replica) []ModelEffect {
	affected := func(model *settings.Model) bool {
		return slices.ContainsFunc(changes, func(change settings.Change) bool { return settings.Contains(change.Path, model.Path) })
	}
	replicasByModel := map[cluster.ModelID][]Replica{}
	for _, replica := range replicas {
		replicasByModel[replica.Model] = append(replicasByModel[replica.Model], replica)
	}
	effects := []ModelEffect{}
	for i := range before.Models {
		old := &before.Models[i]
		if !affected(old) {
			continue
		}
		if effect, differs := compareModels(old, after.Model(old.ID), replicasByModel[old.ID]); differs {
			effects = append(effects, effect)
		}
	}
	for i := range after.Models {
		added := &after.Models[i]
		if before.Model(added.ID) == nil {
			effect := ModelEffect{Model: added.ID, Path: added.Path, Change: "added"}
			if added.Policy.MinReplicas > 0 {
				effect.addStep("load", added.Policy.MinReplicas, "min_replicas is %d", added.Policy.MinReplicas)
			}
			effects = append(effects, effect)
		}
	}
	slices.SortStableFunc(effects, func(a, b ModelEffect) int { return cmp.Compare(a.Model, b.Model) })
	return effects
}

// addStep appends a step with a formatted text.
func (e *ModelEffect) addStep(step string, count int, format string, arguments ...any) {
	e.Steps = append(e.Steps, ReplicaEffect{Step: step, Count: count, Text: fmt.Sprintf(format, arguments...)})
}

// compareModels returns the effect of an edit on a model that exists before it.
// It returns false if there is none. After is nil if the edit removes the model.
func compareModels(before, after *settings.Model, replicas []Replica) (ModelEffect, bool) {
	effect := ModelEffect{Model: before.ID, Path: before.Path, Held: len(replicas)}
	if after == nil {
		effect.Change = "removed"
		if len(replicas) > 0 {
			effect.addStep("unload", len(replicas), "the model leaves the tree")
		}
		effect.addStep("refuse", 0, "new calls are refused as not run; the model is not found")
		return effect, true
	}
	effect.Change, effect.Path = "changed", after.Path
	for _, key := range settings.Keys() {
		oldValue, _ := before.Policy.Get(key.Name)
		newValue, _ := after.Policy.Get(key.Name)
		if oldValue != newValue {
			effect.Values = append(effect.Values, ValueEffect{Key: key.Name, Before: oldValue, BeforeSource: before.Sources[key.Name],
				After: newValue, AfterSource: after.Sources[key.Name]})
		}
	}
	if before.Base != after.Base {
		effect.addStep("reload", len(replicas), "the base model changes from %s to %s", before.Base, after.Base)
	}
	effect.addPolicySteps(&before.Policy, &after.Policy, replicas)
	return effect, len(effect.Values)+len(effect.Steps) > 0 || before.Path != after.Path
}

// addPolicySteps appends the consequences of a changed policy for the model's
// present replicas and for requests.
func (e *ModelEffect) addPolicySteps(before, after *settings.Policy, replicas []Replica) {
	count := len(replicas)
	switch {
	case after.MaxReplicas < before.MaxReplicas && count > after.MaxReplicas:
		e.addStep("unload", count-after.MaxReplicas, "max_replicas falls from %d to %d", before.MaxReplicas, after.MaxReplicas)
	case after.MinReplicas > before.MinReplicas && count < after.MinReplicas:
		e.addStep("load", after.MinReplicas-count, "min_replicas rises from %d to %d", before.MinReplicas, after.MinReplicas)
	}
	if after.MaxReplicas == 0 && before.MaxReplicas > 0 {
		e.addStep("refuse", 0, "max_replicas 0 turns the model off")
	}
	if misplaced := countOutsideZones(after.Zones, replicas); misplaced > 0 && !slices.Equal(before.Zones, after.Zones) {
		e.addStep("move", misplaced, "their zone is no longer among zones")
	}
	if before.EnginePool != after.EnginePool && count > 0 {
		e.addStep("move", count, "engine_pool changes from %s to %s", before.EnginePool, after.EnginePool)
	}
	if before.Version != after.Version && count > 0 {
		e.addStep("reload", count, "version changes from %s to %s", before.Version, after.Version)
	}
	if isLowered(float64(before.QueueLength), float64(after.QueueLength)) || after.QueueTime < before.QueueTime {
		e.addStep("refuse", 0, "requests may wait less; some that wait now may be refused as not run")
	}
	if isLimitLowered(float64(before.MaxConcurrency), float64(after.MaxConcurrency)) ||
		isLimitLowered(before.RequestsPerSecond, after.RequestsPerSecond) || isLimitLowered(before.TokensPerSecond, after.TokensPerSecond) {
		e.addStep("refuse", 0, "limits are lower; more requests may be refused as not run")
	}
}

// isLowered reports whether a value became lower.
func isLowered(before, after float64) bool { return after < before }

// isLimitLowered reports whether a limit became lower. Zero means no limit.
func isLimitLowered(before, after float64) bool {
	return after > 0 && (before == 0 || after < before)
}

// countOutsideZones returns the number of replicas in zones that are not listed;
// an empty list means all zones.
func countOutsideZones(zones []cluster.ZoneID, replicas []Replica) int {
	count := 0
	for _, replica := range replicas {
		if len(zones) > 0 && !slices.Contains(zones, replica.Zone) {
			count++
		}
	}
	return count
}
