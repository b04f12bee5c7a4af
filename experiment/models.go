package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/simulation"
)

// The targets of traffic.
const (
	targetModels   = "models"
	targetAdapters = "adapters"
	targetAll      = "all"
)

// Fault is one scheduled fault.
type Fault struct {
	Kind     simulation.FaultKind `yaml:"kind"`
	After    time.Duration        `yaml:"after"`
	Duration time.Duration        `yaml:"duration"`
	Zone     string               `yaml:"zone"`
	Region   string               `yaml:"region"`
}

// FaultRate is a kind of fault at random times.
type FaultRate struct {
	Kind     simulation.FaultKind `yaml:"kind"`
	PerDay   float64              `yaml:"per_day"`
	Duration time.Duration        `yaml:"duration"`
}

// Member is one model or adapter of a scenario.
type Member struct {
	ID    cluster.ModelID
	Base  cluster.ModelID
	Group *ModelGroup
	// Team is the path of the group's level in the tree.
	Team  string
	Bytes int64
}

// Models are the models and adapters of a scenario with their settings tree.
type Models struct {
	Members []*Member
	Tree    *settings.Tree
	// Snapshot is the compiled tree.
	Snapshot *settings.Snapshot
}

// modelSeed draws the models' sizes; they belong to the scenario and do not
// change with the run's seed.
const modelSeed = 20300107

// buildModels draws the models and builds the tree. Override replaces policy
// keys of every group.
func buildModels(scenario *Scenario, override map[string]any) (*Models, error) {
	models := &Models{}
	children := map[string]any{}
	random := rand.New(rand.NewPCG(modelSeed, xxhash.Sum64String(scenario.Name)))
	for i := range scenario.Models {
		group := &scenario.Models[i]
		level := models.addGroup(group, random)
		for key, value := range group.Policy {
			level[key] = value
		}
		for key, value := range override {
			level[key] = value
		}
		children[group.Name] = level
	}
	data, err := yaml.Marshal(map[string]any{"children": children})
	if err != nil {
		return nil, eris.Wrap(err, "encode settings tree")
	}
	if models.Tree, err = settings.ParseYAML(data); err != nil {
		return nil, eris.Wrap(err, "settings tree of the scenario")
	}
	stamp := settings.Stamp{History: "experiment", Revision: 1, Digest: models.Tree.Digest()}
	models.Snapshot, err = models.Tree.Compile(stamp)
	return models, eris.Wrap(err, "compile settings tree")
}

// addGroup draws the models of a group and returns its level of the tree.
func (m *Models) addGroup(group *ModelGroup, random *rand.Rand) map[string]any {
	below := map[string]any{}
	bases := make([]*Member, 0, group.Count)
	adapters := make([]map[string]any, group.Count)
	for i := range group.Count {
		base := &Member{
			ID: cluster.ModelID(fmt.Sprintf("%s-%02d", group.Name, i)), Group: group, Team: "/" + group.Name,
			Bytes: drawSize(random, group.Memory),
		}
		bases = append(bases, base)
		adapters[i] = map[string]any{}
		below[string(base.ID)] = map[string]any{
			"kind": "model", "memory": sizeText(base.Bytes), "engine_pool": group.Pool, "children": adapters[i],
		}
	}
	m.Members = append(m.Members, bases...)
	for i := range group.Adapters {
		base := bases[i%len(bases)]
		adapter := &Member{
			ID:   cluster.ModelID(fmt.Sprintf("%s-adapter-%03d", base.ID, i)),
			Base: base.ID, Group: group, Team: "/" + group.Name, Bytes: drawSize(random, group.AdapterMemory),
		}
		m.Members = append(m.Members, adapter)
		adapters[i%len(bases)][string(adapter.ID)] = map[string]any{"kind": "adapter", "memory": sizeText(adapter.Bytes)}
	}
	return map[string]any{"kind": "team", "children": below}
}

// mebibyte is the unit of drawn sizes.
const mebibyte = 1 << 20

// sizeText writes a size in the settings tree's form.
func sizeText(bytes int64) string { return fmt.Sprintf("%dMiB", bytes/mebibyte) }

// drawSize returns a size of the range, uniform on a log scale, in whole mebibytes.
func drawSize(random *rand.Rand, within ByteRange) int64 {
	least, most := math.Log(float64(within.Least)), math.Log(float64(within.Most))
	return int64(math.Exp(least+random.Float64()*(most-least))) / mebibyte * mebibyte
}

// targets returns the members that a traffic entry goes to.
func (m *Models) targets(traffic *Traffic) []*Member {
	var chosen []*Member
	for _, member := range m.Members {
		if member.Group.Name != traffic.Models {
			continue
		}
		adapter := member.Base != ""
		if traffic.Target == targetAll || adapter == (traffic.Target == targetAdapters) {
			chosen = append(chosen, member)
		}
	}
	return chosen
}
