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

// Values of Traffic.Target.
const (
	targetModels   = "models"
	targetAdapters = "adapters"
	targetAll      = "all"
)

// Fault is a scheduled fault.
type Fault struct {
	Kind     simulation.FaultKind `yaml:"kind"`
	After    time.Duration        `yaml:"after"`
	Duration time.Duration        `yaml:"duration"`
	Zone     string               `yaml:"zone"`
	Region   string               `yaml:"region"`
}

// FaultRate is a kind of fault that occurs at random times.
type FaultRate struct {
	Kind     simulation.FaultKind `yaml:"kind"`
	PerDay   float64              `yaml:"per_day"`
	Duration time.Duration        `yaml:"duration"`
}

// Member is a model or adapter of a scenario.
type Member struct {
	ID    cluster.ModelID
	Base  cluster.ModelID
	Group *ModelGroup
	// Team is the path of the group's level in the settings tree.
	Team  string
	Bytes int64
}

// Models holds the models and adapters of a scenario and their settings tree.
type Models struct {
	Members []*Member
	Tree    *settings.Tree
	// Snapshot is the compiled tree.
	Snapshot *settings.Snapshot
}

// scenarioSeed is the seed of the random choices that belong to the scenario, such as the sizes of
// models. They do not change with the seed of the run.
const scenarioSeed = 20300107

// buildModels creates the models with random sizes and builds their settings tree. The keys in
// override replace policy keys of every group.
func buildModels(scenario *Scenario, override map[string]any) (*Models, error) {
	models := &Models{}
	children := map[string]any{}
	random := rand.New(rand.NewPCG(scenarioSeed, xxhash.Sum64String(scenario.Name)))
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
		return nil, eris.Wrap(err, "parse the settings tree of the scenario")
	}
	stamp := settings.Stamp{History: "experiment", Revision: 1, Digest: models.Tree.Digest()}
	models.Snapshot, err = models.Tree.Compile(stamp)
	return models, eris.Wrap(err, "compile settings tree")
}

// addGroup creates the models of a group and returns its level of the settings tree.
func (m *Models) addGroup(group *ModelGroup, random *rand.Rand) map[string]any {
	children := map[string]any{}
	bases := make([]*Member, 0, group.Count)
	adapters := make([]map[string]any, group.Count)
	for i := range group.Count {
		base := &Member{
			ID: cluster.ModelID(fmt.Sprintf("%s-%02d", group.Name, i)), Group: group, Team: "/" + group.Name,
			Bytes: randomSize(random, group.Memory),
		}
		bases = append(bases, base)
		adapters[i] = map[string]any{}
		children[string(base.ID)] = map[string]any{
			"kind": "model", "memory": formatSize(base.Bytes), "engine_pool": group.Pool, "children": adapters[i],
		}
	}
	m.Members = append(m.Members, bases...)
	for i := range group.Adapters {
		base := bases[i%len(bases)]
		adapter := &Member{
			ID:   cluster.ModelID(fmt.Sprintf("%s-adapter-%03d", base.ID, i)),
			Base: base.ID, Group: group, Team: "/" + group.Name, Bytes: randomSize(random, group.AdapterMemory),
		}
		m.Members = append(m.Members, adapter)
		adapters[i%len(bases)][string(adapter.ID)] = map[string]any{"kind": "adapter", "memory": formatSize(adapter.Bytes)}
	}
	return map[string]any{"kind": "team", "children": children}
}

// mebibyte is the granularity of random sizes, in bytes.
const mebibyte = 1 << 20

// formatSize formats a size for the settings tree.
func formatSize(bytes int64) string { return fmt.Sprintf("%dMiB", bytes/mebibyte) }

// randomSize returns a random size within the limits, uniform on a logarithmic scale and in whole
// mebibytes.
func randomSize(random *rand.Rand, limits ByteRange) int64 {
	least, most := math.Log(float64(limits.Least)), math.Log(float64(limits.Most))
	return int64(math.Exp(least+random.Float64()*(most-least))) / mebibyte * mebibyte
}

// matchingMembers returns the members that a traffic entry targets.
func (m *Models) matchingMembers(traffic *Traffic) []*Member {
	var matching []*Member
	for _, member := range m.Members {
		if member.Group.Name != traffic.Models {
			continue
		}
		adapter := member.Base != ""
		if traffic.Target == targetAll || adapter == (traffic.Target == targetAdapters) {
			matching = append(matching, member)
		}
	}
	return matching
}
