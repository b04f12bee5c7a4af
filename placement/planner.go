package placement

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// AdaptivePlanner learns the idle times and load times of each model, and keeps and evicts
// models by the objective of their policies. It is not safe for concurrent use.
type AdaptivePlanner struct{ planner }

// NewPlanner returns the adaptive planner.
func NewPlanner(config Config) *AdaptivePlanner {
	config = config.withDefaults()
	return &AdaptivePlanner{planner: newPlanner(config, adaptiveRetention{config: config})}
}

// retention decides how long idle models stay loaded and which of them is evicted first. It is
// the only difference between the planners.
type retention interface {
	// schedule returns the windows of idle time in which the model should be loaded.
	schedule(track *modelHistory, policy *settings.Policy, cost cost) *keepSchedule
	// expectsWakeUp reports whether a wake-up at the given time is likely enough for the model
	// to be loaded then.
	expectsWakeUp(track *modelHistory, policy *settings.Policy, cost cost, at time.Time) bool
	// alwaysLoadedReplicas returns how many replicas are wanted regardless of demand.
	alwaysLoadedReplicas(policy *settings.Policy) int
	// keepValue returns the value of keeping an idle replica loaded, in the unit of one second
	// of its reload time at the policy's objective. The replica with the smallest value is
	// evicted first.
	keepValue(track *modelHistory, policy *settings.Policy, idle, reload time.Duration) float64
}

// cost describes what a cold start and an idle replica of one model cost.
type cost struct {
	// coldStart is the expected load time.
	coldStart time.Duration
	// acceleratorShare is the part of a machine's accelerators that an idle replica occupies.
	acceleratorShare float64
}

// planner is the part that all planners have in common.
type planner struct {
	config       Config
	retention    retention
	catalogue    catalogue
	store        storeModel
	round        round
	roundCount   uint64
	busyMachines busyShare
	// token is the fencing token of the present controller, and tokenSince the time at which it
	// was first seen.
	token      cluster.FencingToken
	tokenSince time.Time
}

func newPlanner(config Config, rule retention) planner {
	return planner{config: config, retention: rule, store: newStoreModel(config)}
}

// Plan implements Planner.
func (p *planner) Plan(state State) Plan {
	if state.Settings == nil {
		return Plan{}
	}
	p.roundCount++
	if state.Token != p.token || p.tokenSince.IsZero() {
		p.token, p.tokenSince = state.Token, state.Now
	}
	p.catalogue.update(state.Settings, state.Now, state.LoadTime)
	p.store.beginRound(state.Now, state.Store)
	r := &p.round
	r.reset(p, &state)
	r.observeRound()
	r.decideReplicas()
	r.planUnloads()
	if r.awaitsSeals() {
		r.explainUnsealed()
	} else {
		r.planLoads()
	}
	return r.finish()
}

// CancelLoad undoes a load of the last plan whose order was not given.
func (p *planner) CancelLoad(a *Action) {
	if a.Kind != cluster.OrderLoad {
		return
	}
	usesStore := a.Tier == cluster.TierRemote && !(p.config.AdaptersUnlimited && a.Base != "")
	p.store.withdrawLoad(loadKey{machine: a.Machine, model: a.Model}, usesStore)
}

// catalogue indexes the settings snapshot and holds the learned state of each model. Its
// entries are aligned with Snapshot.Models.
type catalogue struct {
	snapshot *settings.Snapshot
	index    map[cluster.ModelID]int32
	entries  []entry
	pools    []string
}

// entry is one model of the catalogue.
type entry struct {
	model *settings.Model
	// base is the index of an adapter's base model, noIndex for base models.
	base int32
	// pool is the index of the policy's engine pool.
	pool    int32
	history *modelHistory
	// statedLoadTimes holds the stated load times by tier. Zero means that none is stated.
	statedLoadTimes [TierCount]time.Duration
}

// noIndex marks an absent index.
const noIndex = int32(-1)

// update rebuilds the index if the snapshot changed. It keeps the learned state of models that
// remain.
func (c *catalogue) update(snapshot *settings.Snapshot, now time.Time, loadTime LoadTime) {
	if c.snapshot == snapshot {
		return
	}
	index := make(map[cluster.ModelID]int32, len(snapshot.Models))
	entries := make([]entry, len(snapshot.Models))
	for i := range snapshot.Models {
		model := &snapshot.Models[i]
		index[model.ID] = int32(i)
		entries[i] = entry{model: model, base: noIndex, pool: c.poolIndex(model.Policy.EnginePool), history: c.historyOf(model.ID, now)}
		for tier := range entries[i].statedLoadTimes {
			if loadTime != nil {
				entries[i].statedLoadTimes[tier] = loadTime(model.ID, cluster.Tier(tier))
			}
		}
	}
	for i := range entries {
		if base, ok := index[entries[i].model.Base]; ok && entries[i].model.Base != "" {
			entries[i].base = base
		}
	}
	c.snapshot, c.index, c.entries = snapshot, index, entries
}

// historyOf returns the history of a known model, or a new one.
func (c *catalogue) historyOf(id cluster.ModelID, now time.Time) *modelHistory {
	if i, ok := c.index[id]; ok {
		history := c.entries[i].history
		history.scheduleStale = true
		return history
	}
	return &modelHistory{model: id, idleSince: now, scheduleStale: true}
}

// poolIndex returns the index of an engine pool by name and adds the pool if it is new.
func (c *catalogue) poolIndex(name string) int32 {
	for i, known := range c.pools {
		if known == name {
			return int32(i)
		}
	}
	c.pools = append(c.pools, name)
	return int32(len(c.pools) - 1)
}

// indexOf returns the index of a model, or noIndex.
func (c *catalogue) indexOf(id cluster.ModelID) int32 {
	if i, ok := c.index[id]; ok {
		return i
	}
	return noIndex
}
