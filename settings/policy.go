package settings

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Policy holds the effective value of every inheritable key of one model or service. The registry
// of keys defines the defaults.
type Policy struct {
	// MinReplicas is the number of replicas kept loaded even when idle, over all zones.
	MinReplicas int
	// MaxReplicas is the upper bound of replicas over all zones.
	MaxReplicas int
	// Zones that may hold replicas. An empty list means all zones.
	Zones []cluster.ZoneID
	// Memory that one replica occupies, in bytes.
	Memory int64
	// KeepAlive is how long an idle replica stays loaded while the histogram of idle times has too
	// few samples. A time learned from the histogram is at most 16 times as long.
	KeepAlive time.Duration
	// ColdStartWeight weighs tail cold-start time against idle accelerator hours: 1 prefers short
	// cold starts, 0 few idle hours.
	ColdStartWeight float64
	// Priority of queued requests. Requests of higher priority are dispatched first.
	Priority int
	// MaxConcurrency limits the requests admitted at the same time in the whole system. Zero means
	// unlimited.
	MaxConcurrency int
	// RequestsPerSecond limits admissions in the whole system. Zero means unlimited.
	RequestsPerSecond float64
	// TokensPerSecond limits prompt and generated tokens in the whole system. Zero means
	// unlimited.
	TokensPerSecond float64
	// QueueLength limits the queued requests of a model on one node.
	QueueLength int
	// QueueBytes limits the bytes of queued request bodies of a model on one node.
	QueueBytes int64
	// QueueTime limits how long a request may wait for dispatch.
	QueueTime time.Duration
	// Deadline for the whole request if the caller states none.
	Deadline time.Duration
	// RetryAttempts limits the dispatches of one request, including the first.
	RetryAttempts int
	// Repeatable tells whether a request that does not state it may run more than once.
	Repeatable bool
	// EnginePool is the engine pool whose machines may hold the model.
	EnginePool string
	// Version of the checkpoint to load.
	Version string
	// DrainTime limits how long the requests of a replica may continue after its unloading has
	// begun.
	DrainTime time.Duration
}

// Kind is the kind of a level.
type Kind string

// Kinds of levels.
const (
	KindOrganization Kind = "organization"
	KindTeam         Kind = "team"
	KindService      Kind = "service"
	KindModel        Kind = "model"
	KindAdapter      Kind = "adapter"
)

// Model is a servable base model or adapter with its effective policy.
type Model struct {
	ID cluster.ModelID
	// Kind is KindModel or KindAdapter.
	Kind Kind
	// Base is the base model of an adapter. It is empty for base models.
	Base cluster.ModelID
	// Path of the level, such as /dental/after-hours/recall-letters.
	Path string
	// Team is the path of the closest team above the model, or the root.
	Team string
	// Policy in effect for the model.
	Policy Policy
	// Sources maps each key to the path of the level that sets its value, or to SourceDefault.
	Sources map[string]string
}

// Scope holds the limits that one level sets. A request counts against every scope on the paths
// from its model and from its token's subtree up to the root.
type Scope struct {
	Path              string
	MaxConcurrency    int
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// Role of a token.
type Role string

// Roles of tokens. RoleCall may only call models. RoleRead may read the administration API.
// RoleEdit may also edit its subtree. RoleAdminister may also manage tokens in its subtree.
const (
	RoleCall       Role = "call"
	RoleRead       Role = "read"
	RoleEdit       Role = "edit"
	RoleAdminister Role = "administer"
)

// Token is an access token. Only the hash of its secret is stored.
type Token struct {
	// Name of the token in logs and the audit trail.
	Name string
	// SHA256 is the hash of the secret in lower-case hexadecimal.
	SHA256 string
	Role   Role
	// Path of the subtree that the token is bound to.
	Path string
	// NotAfter is when the token expires. Zero means never.
	NotAfter time.Time
}

// Stamp identifies the history, revision and content of a tree. Within one history a larger
// revision is newer.
type Stamp struct {
	// History identifies a sequence of edits. It changes only when the key-value service was
	// restored or replaced.
	History string
	// Revision counts accepted edits from 1.
	Revision int64
	// Digest is the wrapping sum of the xxhash64 values of the tree's levels at Revision.
	Digest uint64
}

// Snapshot is the compiled, immutable form of an accepted tree. All decisions read their policies
// from a snapshot.
type Snapshot struct {
	Stamp Stamp
	// Models is sorted by ID.
	Models []Model
	// Tokens is sorted by SHA256.
	Tokens []Token
	// Scopes maps the path of every level that sets a limit to its limits.
	Scopes map[string]Scope

	models map[cluster.ModelID]int
	tokens map[string]int
	// teams is the set of the models' teams.
	teams map[string]struct{}
}

// NewSnapshot returns a snapshot that indexes models and tokens. Models must be sorted by ID and
// tokens by SHA256.
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

// TeamOf returns the path of the closest team with models at or above path, or path itself if
// there is none.
func (s *Snapshot) TeamOf(path string) string {
	for level := path; level != "/"; level = parent(level) {
		if _, found := s.teams[level]; found {
			return level
		}
	}
	return path
}

// Visible reports whether a token bound to the subtree at path may call the model. It may if the
// model is in the subtree, or if the model's parent is at path or above it, which makes the model
// shared.
func (s *Snapshot) Visible(path string, model *Model) bool {
	return contains(path, model.Path) || contains(parent(model.Path), path)
}

// Contains reports whether the level at inner is in the subtree at outer.
func Contains(outer, inner string) bool { return contains(outer, inner) }

// Parent returns the path of the parent level. The parent of "/" is "/".
func Parent(path string) string { return parent(path) }

// contains reports whether the level at inner is in the subtree at outer.
func contains(outer, inner string) bool {
	if outer == "/" || outer == inner {
		return true
	}
	return len(inner) > len(outer) && inner[:len(outer)] == outer && inner[len(outer)] == '/'
}

// parent returns the path of the parent level. The parent of "/" is "/".
func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '/' {
			return path[:i]
		}
	}
	return "/"
}
