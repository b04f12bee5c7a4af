package settings

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// yamlIndent is the indentation of encoded trees, in spaces.
const yamlIndent = 2

// EncodeYAML encodes the subtree at path in the form that ParseFragment accepts for the same path.
// It omits tokens whose hash is hidden.
func (t *Tree) EncodeYAML(path string) ([]byte, error) {
	if t.levels[path] == nil {
		return nil, eris.Errorf("there is no level %s", path)
	}
	top, err := t.levelToYAML(path)
	if err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	encoder := yaml.NewEncoder(&buffer)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(top); err != nil {
		return nil, eris.Wrap(err, "encode YAML")
	}
	return buffer.Bytes(), encoder.Close()
}

// yamlMapping collects the fields of a YAML mapping in order.
type yamlMapping struct{ node yaml.Node }

func (m *yamlMapping) add(key string, value *yaml.Node) {
	m.node.Content = append(m.node.Content, yamlString(key), value)
}

func yamlString(text string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: text}
}

// levelToYAML returns the YAML node of a level and all levels below it.
func (t *Tree) levelToYAML(path string) (*yaml.Node, error) {
	level := t.levels[path]
	mapping := yamlMapping{node: yaml.Node{Kind: yaml.MappingNode}}
	mapping.add(fieldKind, yamlString(string(level.Kind)))
	for _, key := range level.orderedKeys() {
		value := &yaml.Node{}
		if err := yaml.Unmarshal([]byte(level.Values[key]), value); err != nil {
			return nil, eris.Wrapf(err, "encode %s of level %s", key, path)
		}
		mapping.add(key, clearScalarStyle(value.Content[0]))
	}
	if tokens := tokensToYAML(level.Tokens); len(tokens.Content) > 0 {
		mapping.add(fieldTokens, tokens)
	}
	children := yamlMapping{node: yaml.Node{Kind: yaml.MappingNode}}
	for _, childPath := range t.paths {
		if childPath == RootPath || parent(childPath) != path {
			continue
		}
		node, err := t.levelToYAML(childPath)
		if err != nil {
			return nil, err
		}
		children.add(t.levels[childPath].Name(), node)
	}
	if len(children.node.Content) > 0 {
		mapping.add(fieldChildren, &children.node)
	}
	return &mapping.node, nil
}

// orderedKeys returns the level's keys: the base first, then the registered keys in registry
// order, then unknown keys by name.
func (l *Level) orderedKeys() []string {
	rank := func(name string) int {
		if name == KeyBase {
			return -1
		}
		if index := slices.IndexFunc(keys, func(key Key) bool { return key.Name == name }); index >= 0 {
			return index
		}
		return len(keys)
	}
	return slices.SortedFunc(maps.Keys(l.Values), func(a, b string) int {
		if difference := rank(a) - rank(b); difference != 0 {
			return difference
		}
		return strings.Compare(a, b)
	})
}

// clearScalarStyle drops the quoting style that the scalars have from JSON, so that the encoder
// quotes only where YAML requires it.
func clearScalarStyle(node *yaml.Node) *yaml.Node {
	if node.Kind == yaml.ScalarNode {
		node.Style = 0
	}
	for _, child := range node.Content {
		clearScalarStyle(child)
	}
	return node
}

func tokensToYAML(tokens []AccessToken) *yaml.Node {
	list := &yaml.Node{Kind: yaml.SequenceNode}
	for _, token := range tokens {
		if token.SHA256 == "" {
			continue
		}
		mapping := yamlMapping{node: yaml.Node{Kind: yaml.MappingNode}}
		mapping.add("name", yamlString(token.Name))
		mapping.add("sha256", yamlString(token.SHA256))
		mapping.add("role", yamlString(string(token.Role)))
		if !token.NotAfter.IsZero() {
			mapping.add("not_after", yamlString(token.NotAfter.Format(time.RFC3339)))
		}
		list.Content = append(list.Content, &mapping.node)
	}
	return list
}
