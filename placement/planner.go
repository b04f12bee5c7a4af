package placement

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// AdaptivePlanner learns each model's idle times and loads, keeps and evicts
// models by the policies' objective. It is not safe for concurrent use.
type AdaptivePlanner struct{ planner }

// NewPlanner returns the adaptive planner.
func NewPlanner(config Config) *AdaptivePlanner {
	config = config.withDefaults()
	return &AdaptivePlanner{planner: newPlanner(config, adaptiveRetention{config: config})}
}

// retention decides how long idle models stay loaded and which of them goes
// first when memory is needed. The planners differ only in it.
type retention interface {
	// schedule returns the windows of idle time in which the model is worth
	// being loaded.
	schedule(track *track, policy *settings.Policy, cost cost) *schedule
	// expects reports whether a wake-up is likely enough at a time for the model
	// to be worth being loaded then.
	expects(track *track, policy *settings.Policy, cost cost, at time.Time) bool
	// standing returns how many replicas are wanted whatever the demand.
	standing(policy *settings.Policy) int
	// value of keeping an idle replica loaded, a second of its reload time at
	// the policy's objective being the unit; the smallest is evicted first.
	value(track *track, policy *settings.Policy, idle, reload time.Duration) float64
}

// cost is what a cold start and a second of idleness take for one model.
type cost struct {
	// coldStart is the expected load time.
	coldStart time.Duration
	// share is the part of a machine's accelerators that an idle replica takes.
	share float64
}

// planner is the machinery that all planners share.
type planner struct {
	config    Config
	retention retention
	catalogue catalogue
	store     storeModel
	round     round
	rounds    uint64
	busy      busyShare
	// token and tokenSince tell for how long the present controller has held
	// its cell.
	token      cluster.FencingToken
	tokenSince time.Time
}

func newPlanner(config Config, keep retention) planner {
	return planner{config: config, retention: keep, store: newStoreModel(config)}
}

// Plan implements Planner.
func (p *planner) Plan(state State) Plan {
	if state.Settings == nil {
		return Plan{}
	}
	p.rounds++
	if state.Token != p.token || p.tokenSince.IsZero() {
		p.token, p.tokenSince = state.Token, state.Now
	}
	p.catalogue.follow(state.Settings, state.Now, state.LoadTime)
	p.store.begin(state.Now, state.Store)
	r := &p.round
	r.begin(p, &state)
	r.learn()
	r.want()
	r.release()
	if r.settling() {
		r.waitForSeals()
	} else {
		r.place()
	}
	return r.finish()
}

// Withdraw takes back a load of the last plan whose order was not given.
func (p *planner) Withdraw(a *Action) {
	if a.Kind != cluster.OrderLoad {
		return
	}
	counted := a.Tier == cluster.TierRemote && !(p.config.AdaptersUnlimited && a.Base != "")
	p.store.withdraw(loadKey{machine: a.Machine, model: a.Model}, counted)
}

// catalogue is the planner's index of the settings snapshot with the learned
// state of each model, aligned with Snapshot.Models.
type catalogue struct {
	snapshot *settings.Snapshot
	index    map[cluster.ModelID]int32
	entries  []entry
	pools    []string
}

// entry is one model of the catalogue.
type entry struct {
	model *settings.Model
	// base is the index of an adapter's base model, none for base models.
	base int32
	// pool is the index of the policy's engine pool.
	pool  int32
	track *track
	// stated is how long loads are stated to take, by tier; zero for not.
	stated [TierCount]time.Duration
}

// none marks an absent index.
const none = int32(-1)

// follow rebuilds the index when the snapshot changed and keeps what was
// learned of the models that remain.
func (c *catalogue) follow(snapshot *settings.Snapshot, now time.Time, loadTime LoadTime) {
	if c.snapshot == snapshot {
		return
	}
	index := make(map[cluster.ModelID]int32, len(snapshot.Models))
	entries := make([]entry, len(snapshot.Models))
	for i := range snapshot.Models {
		model := &snapshot.Models[i]
		index[model.ID] = int32(i)
		entries[i] = entry{model: model, base: none, pool: c.pool(model.Policy.EnginePool), track: c.trackOf(model.ID, now)}
		for tier := range entries[i].stated {
			if loadTime != nil {
				entries[i].stated[tier] = loadTime(model.ID, cluster.Tier(tier))
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

// trackOf returns the kept track of a model or a new one.
func (c *catalogue) trackOf(id cluster.ModelID, now time.Time) *track {
	if i, ok := c.index[id]; ok {
		kept := c.entries[i].track
		kept.scheduleStale = true
		return kept
	}
	return &track{model: id, idleSince: now, scheduleStale: true}
}

// pool returns the index of an engine pool's name, adding it when new.
func (c *catalogue) pool(name string) int32 {
	for i, known := range c.pools {
		if known == name {
			return int32(i)
		}
	}
	c.pools = append(c.pools, name)
	return int32(len(c.pools) - 1)
}

// find returns the index of a model, or none.
func (c *catalogue) find(id cluster.ModelID) int32 {
	if i, ok := c.index[id]; ok {
		return i
	}
	return none
}
