package settings

import (
	"cmp"
	"maps"
	"slices"

	"github.com/valveslip/valveslip/cluster"
)

// SourceDefault is the source of a value that no level sets.
const SourceDefault = "default"

// Effective holds the policy in effect at one level, after inheritance.
type Effective struct {
	Path   string
	Kind   Kind
	Policy Policy
	// Sources maps each key to the path of the level that sets its value, or to SourceDefault. The
	// map is shared between levels and must not be modified.
	Sources map[string]string
	// Team is the path of the closest team at or above the level, or the root.
	Team string
	// model is the closest model at or above the level.
	model cluster.ModelID
}

// defaultEffective returns the defaults, which the root level inherits.
func defaultEffective() *Effective {
	sources := make(map[string]string, len(keys))
	for i := range keys {
		sources[keys[i].Name] = SourceDefault
	}
	return &Effective{Policy: Defaults(), Sources: sources, Team: RootPath}
}

// withLevel returns the policy in effect at the level, given that of its parent as e. Keys that
// this version does not know have no effect.
func (e *Effective) withLevel(level *Level, problems *ValidationErrors) *Effective {
	child := *e
	child.Path, child.Kind = level.Path, level.Kind
	shared := true
	for name, value := range level.Values {
		key, known := keyIndex[name]
		if !known {
			continue
		}
		if err := key.parseInto(&child.Policy, value); err != nil {
			problems.add(level.Path, name, "%s", err)
			continue
		}
		if shared {
			child.Sources, shared = maps.Clone(e.Sources), false
		}
		child.Sources[name] = level.Path
	}
	switch level.Kind {
	case KindTeam:
		child.Team = level.Path
	case KindModel:
		child.model = cluster.ModelID(level.Name())
	}
	return &child
}

// Effective returns the policy in effect at path, and false if there is no such level.
func (t *Tree) Effective(path string) (Effective, bool) {
	if t.levels[path] == nil {
		return Effective{}, false
	}
	var ignored ValidationErrors
	effective := defaultEffective()
	for _, candidate := range pathsFromRoot(path) {
		effective = effective.withLevel(t.levels[candidate], &ignored)
	}
	return *effective, true
}

// pathsFromRoot returns the path and all its ancestors, starting with the root.
func pathsFromRoot(path string) []string {
	paths := []string{path}
	for path != RootPath {
		path = parent(path)
		paths = append(paths, path)
	}
	slices.Reverse(paths)
	return paths
}

// compiler holds the state of one compilation.
type compiler struct {
	tree     *Tree
	resolved map[string]*Effective
	models   []Model
	tokens   []Token
	scopes   map[string]Scope
	problems ValidationErrors
}

// Compile resolves inheritance and validates the tree as a whole. The error is a ValidationErrors
// that lists every problem.
func (t *Tree) Compile(stamp Stamp) (*Snapshot, error) {
	c := &compiler{tree: t, resolved: make(map[string]*Effective, len(t.paths)), scopes: map[string]Scope{}}
	for _, path := range t.paths {
		c.addLevel(t.levels[path])
	}
	slices.SortFunc(c.models, func(a, b Model) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Path, b.Path))
	})
	slices.SortFunc(c.tokens, func(a, b Token) int {
		return cmp.Or(cmp.Compare(a.SHA256, b.SHA256), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Name, b.Name))
	})
	c.checkUnique()
	snapshot := NewSnapshot(stamp, c.models, c.tokens, c.scopes)
	c.checkBases(snapshot)
	if err := c.problems.orNil(); err != nil {
		return nil, err
	}
	return snapshot, nil
}

// addLevel resolves one level. Its parent must be resolved already.
func (c *compiler) addLevel(level *Level) {
	inherited := c.resolved[parent(level.Path)]
	if level.Path == RootPath {
		inherited = defaultEffective()
	}
	effective := inherited.withLevel(level, &c.problems)
	c.resolved[level.Path] = effective
	c.checkKind(level)
	if scope, limited := limitsSetAt(level, &effective.Policy); limited {
		c.scopes[level.Path] = scope
	}
	for _, token := range level.Tokens {
		c.tokens = append(c.tokens, Token{
			Name: token.Name, SHA256: token.SHA256, Role: token.Role,
			Path: level.Path, NotAfter: token.NotAfter,
		})
	}
	if level.Kind == KindModel || level.Kind == KindAdapter {
		c.addModel(level, effective)
	}
}

// limitsSetAt returns the limits that the level itself sets, and false if it sets none.
func limitsSetAt(level *Level, policy *Policy) (Scope, bool) {
	scope := Scope{Path: level.Path}
	if _, set := level.Values["max_concurrency"]; set {
		scope.MaxConcurrency = policy.MaxConcurrency
	}
	if _, set := level.Values["requests_per_second"]; set {
		scope.RequestsPerSecond = policy.RequestsPerSecond
	}
	if _, set := level.Values["tokens_per_second"]; set {
		scope.TokensPerSecond = policy.TokensPerSecond
	}
	return scope, scope != Scope{Path: level.Path}
}

// addModel adds a model or adapter and validates the relations between its policy values.
func (c *compiler) addModel(level *Level, effective *Effective) {
	model := Model{
		ID: cluster.ModelID(level.Name()), Kind: level.Kind, Path: level.Path,
		Team: effective.Team, Policy: effective.Policy, Sources: effective.Sources,
	}
	if level.Kind == KindAdapter {
		model.Base = effective.model
		if value, set := level.Values[KeyBase]; set {
			if err := baseKey.parseInto(nil, value); err != nil {
				c.problems.add(level.Path, KeyBase, "%s", err)
			}
			model.Base = cluster.ModelID(value.String())
		}
	}
	c.models = append(c.models, model)
	policy := &effective.Policy
	if policy.MinReplicas > policy.MaxReplicas {
		c.problems.add(level.Path, "min_replicas", "%d from %s is more than max_replicas %d from %s",
			policy.MinReplicas, effective.Sources["min_replicas"],
			policy.MaxReplicas, effective.Sources["max_replicas"])
	}
	if policy.QueueTime > policy.Deadline {
		c.problems.add(level.Path, "queue_time", "%s from %s is longer than deadline %s from %s",
			FormatDuration(policy.QueueTime), effective.Sources["queue_time"],
			FormatDuration(policy.Deadline), effective.Sources["deadline"])
	}
}

// checkKind validates the kind of the level against that of its parent. Kinds that only newer
// versions know are treated as plain levels.
func (c *compiler) checkKind(level *Level) {
	if _, set := level.Values[KeyBase]; set && level.Kind != KindAdapter {
		c.problems.add(level.Path, KeyBase, "only an adapter has a base model, this is %s", withArticle(level.Kind))
	}
	if level.Path == RootPath {
		if level.Kind != KindOrganization {
			c.problems.add(level.Path, "kind", "the root is an organization")
		}
		return
	}
	switch parentKind := c.resolved[parent(level.Path)].Kind; {
	case parentKind == KindAdapter:
		c.problems.add(level.Path, "kind", "nothing can stand below an adapter")
	case parentKind == KindModel && level.Kind != KindAdapter:
		c.problems.add(level.Path, "kind", "only an adapter can stand below a model, this is %s", withArticle(level.Kind))
	}
}

// withArticle returns the kind with its indefinite article.
func withArticle(kind Kind) string {
	switch kind {
	case KindOrganization, KindAdapter:
		return "an " + string(kind)
	default:
		return "a " + string(kind)
	}
}

// checkUnique reports model names and token hashes that occur more than once.
func (c *compiler) checkUnique() {
	for i := 1; i < len(c.models); i++ {
		if c.models[i].ID == c.models[i-1].ID {
			c.problems.addOther(c.models[i].Path, "", c.models[i-1].Path, "the model name %s is already used", c.models[i].ID)
		}
	}
	for i := 1; i < len(c.tokens); i++ {
		if c.tokens[i].SHA256 == c.tokens[i-1].SHA256 {
			c.problems.addOther(c.tokens[i].Path, fieldTokens, c.tokens[i-1].Path,
				"token %s has the same secret as another token", c.tokens[i].Name)
		}
	}
}

// checkBases reports adapters whose base model does not exist or is not visible to them.
func (c *compiler) checkBases(snapshot *Snapshot) {
	for i := range c.models {
		adapter := &c.models[i]
		if adapter.Kind != KindAdapter {
			continue
		}
		base := snapshot.Model(adapter.Base)
		switch {
		case adapter.Base == "":
			c.problems.add(adapter.Path, KeyBase, "an adapter wants a base model")
		case base == nil || base.Kind != KindModel:
			c.problems.add(adapter.Path, KeyBase, "there is no base model %s", adapter.Base)
		case !snapshot.Visible(parent(adapter.Path), base):
			c.problems.addOther(adapter.Path, KeyBase, base.Path, "base model %s belongs to another part of the tree", adapter.Base)
		}
	}
}
