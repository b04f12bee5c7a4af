package settings

import (
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RootPath is the path of the level above all others. It always exists.
const RootPath = "/"

// maxPathBytes bounds the length of a level's path.
const maxPathBytes = 1024

// namePattern is what a level, zone, pool or version may be called.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// AccessToken is a token as a level stores it. The secret is never stored.
type AccessToken struct {
	// Name is unique among the tokens of the level.
	Name string `json:"name"`
	// SHA256 is the lower-case hexadecimal hash of the secret.
	SHA256 string `json:"sha256"`
	Role   Role   `json:"role"`
	// NotAfter ends the token; zero means never.
	NotAfter time.Time `json:"not_after,omitzero"`
}

// Level is one node of the tree with what it sets itself. It is immutable once
// part of a Tree.
type Level struct {
	Path string `json:"path"`
	Kind Kind   `json:"kind"`
	// Values by key. Keys this version does not know are kept.
	Values map[string]Value `json:"values,omitempty"`
	// Tokens sorted by name.
	Tokens []AccessToken `json:"tokens,omitempty"`
}

// Name is the last part of the path; for models and adapters it is what callers
// use.
func (l *Level) Name() string { return l.Path[strings.LastIndexByte(l.Path, '/')+1:] }

// clone returns a copy that may be changed.
func (l *Level) clone() *Level {
	copied := *l
	copied.Values = maps.Clone(l.Values)
	copied.Tokens = slices.Clone(l.Tokens)
	return &copied
}

// hash identifies the level's content.
func (l *Level) hash() uint64 { return xxhash.Sum64(encodeJSON(l)) }

// Tree is an immutable raw settings tree: what each level sets itself. Edits
// return a new tree that shares all unchanged levels.
type Tree struct {
	levels map[string]*Level
	// paths is sorted; a level comes after the ones above it.
	paths []string
	// digest is the wrapping sum of the levels' hashes, so that an edit changes
	// it by its own levels alone.
	digest uint64
}

// Empty returns the tree that has only its root.
func Empty() *Tree {
	tree := &Tree{levels: map[string]*Level{}}
	tree.put(&Level{Path: RootPath, Kind: KindOrganization})
	return tree
}

// Digest identifies the content of the tree, whatever edits led to it.
func (t *Tree) Digest() uint64 { return t.digest }

// Len returns the number of levels, the root included.
func (t *Tree) Len() int { return len(t.paths) }

// Paths returns the paths of all levels, sorted.
func (t *Tree) Paths() []string { return slices.Clone(t.paths) }

// Level returns the level at path, or nil. It must not be changed.
func (t *Tree) Level(path string) *Level { return t.levels[path] }

// copy returns a tree that may be changed by put and remove.
func (t *Tree) copy() *Tree {
	return &Tree{levels: maps.Clone(t.levels), paths: t.paths, digest: t.digest}
}

// put adds or replaces a level.
func (t *Tree) put(level *Level) {
	if old := t.levels[level.Path]; old != nil {
		t.digest -= old.hash()
	} else {
		t.paths = slices.Insert(slices.Clone(t.paths), t.position(level.Path), level.Path)
	}
	t.levels[level.Path] = level
	t.digest += level.hash()
}

// remove takes out the level at path and all below it.
func (t *Tree) remove(path string) {
	t.paths = slices.DeleteFunc(slices.Clone(t.paths), func(candidate string) bool {
		if !contains(path, candidate) {
			return false
		}
		t.digest -= t.levels[candidate].hash()
		delete(t.levels, candidate)
		return true
	})
}

func (t *Tree) position(path string) int {
	at, _ := slices.BinarySearch(t.paths, path)
	return at
}

// FromLevels builds a part of a tree from levels that were read from one, for
// comparing. It is not checked.
func FromLevels(levels []*Level) *Tree { return fromLevels(levels) }

// fromLevels builds a tree of levels with distinct paths; a root is added when
// missing.
func fromLevels(levels []*Level) *Tree {
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
		tree.put(&Level{Path: RootPath, Kind: KindOrganization})
	}
	return tree
}

// join returns the path of a level below another.
func join(above, name string) string {
	if above == RootPath {
		return RootPath + name
	}
	return above + "/" + name
}

// checkPath returns what is wrong with a path, or "".
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
