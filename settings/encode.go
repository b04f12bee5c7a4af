package settings

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// treeDocument is the JSON form of a tree or of a part of a tree.
type treeDocument struct {
	// Levels is sorted by path.
	Levels []*Level `json:"levels"`
}

// encodeJSON returns the canonical JSON form of a value: no spaces, no HTML escapes, map keys
// sorted. It panics if the value has no JSON form, which none of its callers pass.
func encodeJSON(plain any) []byte {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(plain); err != nil {
		panic("settings: " + err.Error())
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n"))
}

// Encode returns the canonical JSON form of the whole tree.
func (t *Tree) Encode() []byte {
	return encodeJSON(treeDocument{Levels: t.Levels(RootPath)})
}

// Levels returns the levels of the subtree at path, sorted by path. They must not be modified.
func (t *Tree) Levels(path string) []*Level {
	var levels []*Level
	for _, candidate := range t.paths {
		if contains(path, candidate) {
			levels = append(levels, t.levels[candidate])
		}
	}
	return levels
}

// DecodeTree decodes the output of Encode, which a newer version may have written: unknown keys
// and kinds are kept. It validates the structure only; Compile validates the values.
func DecodeTree(data []byte) (*Tree, error) {
	levels, err := decodeLevels(data)
	if err != nil {
		return nil, err
	}
	return buildCheckedTree(levels)
}

// decodeLevels decodes the levels of one treeDocument.
func decodeLevels(data []byte) ([]*Level, error) {
	var decoded treeDocument
	if err := json.Unmarshal(data, &decoded); err != nil {
		return nil, eris.Wrap(err, "decode the settings tree")
	}
	for _, level := range decoded.Levels {
		if level == nil {
			return nil, eris.New("settings tree contains a null level")
		}
		level.canonicalise()
	}
	return decoded.Levels, nil
}

// canonicalise brings the level into canonical form, so that equal levels have equal encodings.
func (l *Level) canonicalise() {
	for key, value := range l.Values {
		if value == "" || value == "null" {
			delete(l.Values, key)
		}
	}
	if len(l.Values) == 0 {
		l.Values = nil
	}
	if len(l.Tokens) == 0 {
		l.Tokens = nil
	}
	for i := range l.Tokens {
		l.Tokens[i].NotAfter = l.Tokens[i].NotAfter.UTC()
	}
	slices.SortStableFunc(l.Tokens, func(a, b AccessToken) int { return strings.Compare(a.Name, b.Name) })
}

// buildCheckedTree builds a tree from levels, and returns an error if a path is malformed or
// occurs twice, or if a parent is missing.
func buildCheckedTree(levels []*Level) (*Tree, error) {
	var problems ValidationErrors
	tree := treeFromLevels(levels)
	seen := make(map[string]bool, len(levels))
	for _, level := range levels {
		if problem := checkPath(level.Path); problem != "" {
			problems.add(level.Path, "", "%s", problem)
			continue
		}
		if seen[level.Path] {
			problems.add(level.Path, "", "the level is given twice")
		}
		seen[level.Path] = true
		if tree.levels[parent(level.Path)] == nil {
			problems.add(level.Path, "", "no level above it")
		}
	}
	if err := problems.orNil(); err != nil {
		return nil, err
	}
	return tree, nil
}
