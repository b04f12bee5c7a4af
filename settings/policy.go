package settings

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Policy is the effective value of every inheritable key for one model or
// service. Package documentation lists the keys with their defaults.
type Policy struct {
	// MinReplicas are kept loaded even when idle.
	MinReplicas int
	// MaxReplicas is the decided upper bound over all zones.
	MaxReplicas int
	// Zones that may hold replicas; empty means all.
	Zones []cluster.ZoneID
	// Memory one replica occupies, in bytes.
	Memory int64
	// KeepAlive is how long an idle replica stays loaded while the learned
	// idle-time histogram has too few samples; a learned time is at most 16 of
	// it.
	KeepAlive time.Duration
	// ColdStartWeight between 0 and 1 weighs tail cold-start time against
	// idle accelerator hours: 1 prefers short cold starts.
	ColdStartWeight float64
	// Priority of waiting requests; larger goes first.
	Priority int
	// MaxConcurrency limits requests admitted at once over the whole system;
	// zero means unlimited.
	MaxConcurrency int
	// RequestsPerSecond limits admissions over the whole system; zero means
	// unlimited.
	RequestsPerSecond float64
	// TokensPerSecond limits prompt and generated tokens over the whole
	// system; zero means unlimited.
	TokensPerSecond float64
	// QueueLength bounds the waiting requests of a model on one node.
	QueueLength int
	// QueueBytes bounds the bytes of waiting request bodies of a model on one
	// node.
	QueueBytes int64
	// QueueTime bounds how long a request may wait for dispatch.
	QueueTime time.Duration
	// Deadline for the whole request when the caller states none.
	Deadline time.Duration
	// RetryAttempts bounds dispatches of one request, the first included.
	RetryAttempts int
	// Repeatable is the default for requests that do not say.
	Repeatable bool
	// EnginePool whose machines may hold the model.
	EnginePool string
	// Version of the checkpoint to load.
	Version string
	// DrainTime bounds how long a replica that is unloaded finishes requests.
	DrainTime time.Duration
}

// Kind is the kind of a node in the tree.
type Kind string

// The kinds of tree nodes.
const (
	KindOrganization Kind = "organization"
	KindTeam         Kind = "team"
	KindService      Kind = "service"
	KindModel        Kind = "model"
	KindAdapter      Kind = "adapter"
)

// Model is one servable base model or adapter with its effective policy.
type Model struct {
	ID cluster.ModelID
	// Kind is KindModel or KindAdapter.
	Kind Kind
	// Base is the base model of an adapter, else empty.
	Base cluster.ModelID
	// Path of the tree node, such as /dental/after-hours/recall-letters.
	Path string
	// Team is the path of the closest team above, or the root.
	Team string
	// Policy is effective here.
	Policy Policy
	// Sources gives, by key name, the path of the level each value came from;
	// "default" where the documented default applies.
	Sources map[string]string
}

// Scope is one level on a path at which limits apply: a request counts against
// every scope from its token's subtree and its model up to the root.
type Scope struct {
	Path              string
	MaxConcurrency    int
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// Role of a token.
type Role string

// The roles. RoleCall may only call models; RoleRead may read the
// administration API; RoleEdit may also edit its subtree; RoleAdminister may
// also manage tokens there.
const (
	RoleCall       Role = "call"
	RoleRead       Role = "read"
	RoleEdit       Role = "edit"
	RoleAdminister Role = "administer"
)

// Token is an access token, stored as a hash.
type Token struct {
	// Name for logs and the audit trail.
	Name string
	// SHA256 is the lower-case hexadecimal hash of the secret.
	SHA256 string
	Role   Role
	// Path of the subtree the token is bound to.
	Path string
	// NotAfter ends the token; zero means never.
	NotAfter time.Time
}

// Stamp identifies a configuration: which history, how far, and what content.
// Within one history a larger revision is newer.
type Stamp struct {
	// History identifies one lineage of edits; it changes only when the
	// key-value service was restored or replaced.
	History string
	// Revision counts accepted edits from 1.
	Revision int64
	// Digest is xxhash64 over the canonical tree at Revision.
	Digest uint64
}

// Snapshot is the compiled, immutable form of an accepted tree. All decisions
// read policies from one.
type Snapshot struct {
	Stamp Stamp
	// Models is sorted by ID.
	Models []Model
	// Tokens is sorted by SHA256.
	Tokens []Token
	// Scopes holds every node of the tree that sets a limit, by path.
	Scopes map[string]Scope

	models map[cluster.ModelID]int
	tokens map[string]int
	// teams of the models.
	teams map[string]struct{}
}

// NewSnapshot indexes models and tokens; both must be sorted as documented.
func NewSnapshot(stamp Stamp, models []Model, tokens []Token, scopes map[string]Scope) *Snapshot {
	snapshot := &Snapshot{
		Stamp: stamp, Models: models, Tokens: tokens, Scopes: scopes,
		models: make(map[cluster.ModelID]int, len(models)),
		tokens: make(map[string]int, len(tokens)),
		teams:  make(map[string]struct{}),
	}
	for i := range models {
		snapshot.models[models[i].ID] = i
		snapshot.teams[models[i].Team] = struct{}{}
	}
	for i := range tokens {
		snapshot.tokens[tokens[i].SHA256] = i
	}
	return snapshot
}

// Model returns the model with the given name, or nil.
func (s *Snapshot) Model(id cluster.ModelID) *Model {
	if s == nil {
		return nil
	}
	if i, ok := s.models[id]; ok {
		return &s.Models[i]
	}
	return nil
}

// Token returns the token whose secret has the given hash, or nil.
func (s *Snapshot) Token(sha256Hex string) *Token {
	if s == nil {
		return nil
	}
	if i, ok := s.tokens[sha256Hex]; ok {
		return &s.Tokens[i]
	}
	return nil
}

// TeamOf returns the path of the closest team with models at or above path, or
// path itself without one.
func (s *Snapshot) TeamOf(path string) string {
	for level := path; level != "/"; level = parent(level) {
		if _, found := s.teams[level]; found {
			return level
		}
	}
	return path
}

// Visible reports whether a token bound to the subtree at path may call the
// model: the model lies in the subtree, or is shared by being placed directly
// under a level at or above the subtree that is not inside another team.
func (s *Snapshot) Visible(path string, model *Model) bool {
	return contains(path, model.Path) || contains(parent(model.Path), path)
}

// Contains reports whether the level at inner lies in the subtree at outer.
func Contains(outer, inner string) bool { return contains(outer, inner) }

// Parent returns the path of the level above, "/" at the top.
func Parent(path string) string { return parent(path) }

// contains reports whether the tree node at inner lies in the subtree at outer.
func contains(outer, inner string) bool {
	if outer == "/" || outer == inner {
		return true
	}
	return len(inner) > len(outer) && inner[:len(outer)] == outer && inner[len(outer)] == '/'
}

// parent returns the path of the level above, "/" at the top.
func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '/' {
			return path[:i]
		}
	}
	return "/"
}
