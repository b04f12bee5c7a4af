package settings

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// document is the JSON form of a tree or of a part of one.
type document struct {
	// Levels is sorted by path.
	Levels []*Level `json:"levels"`
}

// encodeJSON is the canonical JSON form: no spaces, no HTML escapes, map keys
// sorted. The types passed here always encode.
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
	return encodeJSON(document{Levels: t.Levels(RootPath)})
}

// Levels returns the levels of the subtree at path, sorted by path. They must
// not be changed.
func (t *Tree) Levels(path string) []*Level {
	var levels []*Level
	for _, candidate := range t.paths {
		if contains(path, candidate) {
			levels = append(levels, t.levels[candidate])
		}
	}
	return levels
}

// DecodeTree reads what Encode wrote, possibly by a newer version: unknown keys
// and kinds are kept. It checks structure only; Compile checks values.
func DecodeTree(data []byte) (*Tree, error) {
	levels, err := decodeLevels(data)
	if err != nil {
		return nil, err
	}
	return assemble(levels)
}

// decodeLevels reads the levels of one encoded document.
func decodeLevels(data []byte) ([]*Level, error) {
	var decoded document
	if err := json.Unmarshal(data, &decoded); err != nil {
		return nil, eris.Wrap(err, "settings tree is not readable")
	}
	for _, level := range decoded.Levels {
		if level == nil {
			return nil, eris.New("settings tree holds a null level")
		}
		level.normaliseForm()
	}
	return decoded.Levels, nil
}

// normaliseForm makes equal levels have equal encodings.
func (l *Level) normaliseForm() {
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

// assemble builds a tree and checks that paths are well formed, distinct and
// connected.
func assemble(levels []*Level) (*Tree, error) {
	var problems ValidationErrors
	tree := fromLevels(levels)
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
