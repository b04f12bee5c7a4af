package settings

import (
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RootPath is the path of the root level, which always exists.
const RootPath = "/"

// maxPathBytes bounds the length of a level's path.
const maxPathBytes = 1024

// namePattern matches valid names of levels, tokens, zones, engine pools and versions.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// AccessToken is a token as stored in a level. The secret itself is never stored.
type AccessToken struct {
	// Name is unique among the tokens of the level.
	Name string `json:"name"`
	// SHA256 is the hash of the secret in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
	Role   Role   `json:"role"`
	// NotAfter is when the token expires. Zero means never.
	NotAfter time.Time `json:"not_after,omitzero"`
}

// Level is one level of the tree, with only the values that it sets itself. It is immutable once
// it is part of a Tree.
type Level struct {
	Path string `json:"path"`
	Kind Kind   `json:"kind"`
	// Values by key. Keys that this version does not know are kept.
	Values map[string]Value `json:"values,omitempty"`
	// Tokens is sorted by name.
	Tokens []AccessToken `json:"tokens,omitempty"`
}

// Name returns the last element of the path. Callers address models and adapters by it.
func (l *Level) Name() string { return l.Path[strings.LastIndexByte(l.Path, '/')+1:] }

// clone returns a copy that may be modified.
func (l *Level) clone() *Level {
	copied := *l
	copied.Values = maps.Clone(l.Values)
	copied.Tokens = slices.Clone(l.Tokens)
	return &copied
}

// hash returns the hash of the level's canonical encoding.
func (l *Level) hash() uint64 { return xxhash.Sum64(encodeJSON(l)) }

// Tree is an immutable settings tree before inheritance: each level has only the values that it
// sets itself. Applying an edit returns a new tree that shares all unchanged levels.
type Tree struct {
	levels map[string]*Level
	// paths is sorted, so that a level comes after its ancestors.
	paths []string
	// digest is the wrapping sum of the levels' hashes, so that an edit updates it from the
	// changed levels alone.
	digest uint64
}

// EmptyTree returns a tree with only the root level.
func EmptyTree() *Tree {
	tree := &Tree{levels: map[string]*Level{}}
	tree.putLevel(&Level{Path: RootPath, Kind: KindOrganization})
	return tree
}

// Digest returns a hash of the tree's content. It does not depend on the edits that led to the
// tree.
func (t *Tree) Digest() uint64 { return t.digest }

// Len returns the number of levels, including the root.
func (t *Tree) Len() int { return len(t.paths) }

// Paths returns the paths of all levels, sorted.
func (t *Tree) Paths() []string { return slices.Clone(t.paths) }

// Level returns the level at path, or nil. It must not be modified.
func (t *Tree) Level(path string) *Level { return t.levels[path] }

// copy returns a tree that putLevel and removeSubtree may modify.
func (t *Tree) copy() *Tree {
	return &Tree{levels: maps.Clone(t.levels), paths: t.paths, digest: t.digest}
}

// putLevel adds or replaces a level.
func (t *Tree) putLevel(level *Level) {
	if old := t.levels[level.Path]; old != nil {
		t.digest -= old.hash()
	} else {
		t.paths = slices.Insert(slices.Clone(t.paths), t.insertIndex(level.Path), level.Path)
	}
	t.levels[level.Path] = level
	t.digest += level.hash()
}

// removeSubtree removes the level at path and all levels below it.
func (t *Tree) removeSubtree(path string) {
	t.paths = slices.DeleteFunc(slices.Clone(t.paths), func(candidate string) bool {
		if !contains(path, candidate) {
			return false
		}
		t.digest -= t.levels[candidate].hash()
		delete(t.levels, candidate)
		return true
	})
}

func (t *Tree) insertIndex(path string) int {
	at, _ := slices.BinarySearch(t.paths, path)
	return at
}

// TreeFromLevels builds a tree from some levels of another tree, for comparison. It does not
// validate them.
func TreeFromLevels(levels []*Level) *Tree { return treeFromLevels(levels) }

// treeFromLevels builds a tree from levels with distinct paths, and adds a root if there is none.
func treeFromLevels(levels []*Level) *Tree {
	tree := &Tree{levels: make(map[string]*Level, len(levels)+1)}
	for _, level := range levels {
		if old := tree.levels[level.Path]; old != nil {
			tree.digest -= old.hash()
		}
		tree.levels[level.Path] = level
		tree.digest += level.hash()
	}
	tree.paths = slices.Sorted(maps.Keys(tree.levels))
	if tree.levels[RootPath] == nil {
		tree.putLevel(&Level{Path: RootPath, Kind: KindOrganization})
	}
	return tree
}

// joinPath returns the path of the level with the given name below parentPath.
func joinPath(parentPath, name string) string {
	if parentPath == RootPath {
		return RootPath + name
	}
	return parentPath + "/" + name
}

// checkPath returns the reason why a path is invalid, or "".
func checkPath(path string) string {
	if path == RootPath {
		return ""
	}
	if !strings.HasPrefix(path, "/") {
		return "a path begins with /"
	}
	if len(path) > maxPathBytes {
		return "the path is too long"
	}
	for name := range strings.SplitSeq(path[1:], "/") {
		if !namePattern.MatchString(name) {
			return "a name wants letters, digits, '.', '_', ':' and '-', 128 at most, got " + string(encodeValue(name))
		}
	}
	return ""
}
