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

// yamlIndent of written trees, in spaces.
const yamlIndent = 2

// EncodeYAML writes the subtree at path in the form that ParseFragment reads at
// the same path. Tokens whose hash is hidden are left out.
func (t *Tree) EncodeYAML(path string) ([]byte, error) {
	if t.levels[path] == nil {
		return nil, eris.Errorf("there is no level %s", path)
	}
	top, err := t.yamlLevel(path)
	if err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	encoder := yaml.NewEncoder(&buffer)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(top); err != nil {
		return nil, eris.Wrap(err, "write YAML")
	}
	return buffer.Bytes(), encoder.Close()
}

// yamlMapping collects the fields of a mapping in order.
type yamlMapping struct{ node yaml.Node }

func (m *yamlMapping) add(key string, value *yaml.Node) {
	m.node.Content = append(m.node.Content, yamlText(key), value)
}

func yamlText(text string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: text}
}

// yamlLevel returns a level and all below it.
func (t *Tree) yamlLevel(path string) (*yaml.Node, error) {
	level := t.levels[path]
	written := yamlMapping{node: yaml.Node{Kind: yaml.MappingNode}}
	written.add(fieldKind, yamlText(string(level.Kind)))
	for _, key := range level.orderedKeys() {
		value := &yaml.Node{}
		if err := yaml.Unmarshal([]byte(level.Values[key]), value); err != nil {
			return nil, eris.Wrapf(err, "write %s of %s", key, path)
		}
		written.add(key, plainStyle(value.Content[0]))
	}
	if tokens := yamlTokens(level.Tokens); len(tokens.Content) > 0 {
		written.add(fieldTokens, tokens)
	}
	children := yamlMapping{node: yaml.Node{Kind: yaml.MappingNode}}
	for _, below := range t.paths {
		if below == RootPath || parent(below) != path {
			continue
		}
		node, err := t.yamlLevel(below)
		if err != nil {
			return nil, err
		}
		children.add(t.levels[below].Name(), node)
	}
	if len(children.node.Content) > 0 {
		written.add(fieldChildren, &children.node)
	}
	return &written.node, nil
}

// orderedKeys returns the level's keys: the base, those of the registry in its
// order, then those this version does not know.
func (l *Level) orderedKeys() []string {
	rank := func(name string) int {
		if name == KeyBase {
			return -1
		}
		if at := slices.IndexFunc(keys, func(key Key) bool { return key.Name == name }); at >= 0 {
			return at
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

// plainStyle drops the quotes of JSON where YAML needs none.
func plainStyle(node *yaml.Node) *yaml.Node {
	if node.Kind == yaml.ScalarNode {
		node.Style = 0
	}
	for _, below := range node.Content {
		plainStyle(below)
	}
	return node
}

func yamlTokens(tokens []AccessToken) *yaml.Node {
	list := &yaml.Node{Kind: yaml.SequenceNode}
	for _, token := range tokens {
		if token.SHA256 == "" {
			continue
		}
		written := yamlMapping{node: yaml.Node{Kind: yaml.MappingNode}}
		written.add("name", yamlText(token.Name))
		written.add("sha256", yamlText(token.SHA256))
		written.add("role", yamlText(string(token.Role)))
		if !token.NotAfter.IsZero() {
			written.add("not_after", yamlText(token.NotAfter.Format(time.RFC3339)))
		}
		list.Content = append(list.Content, &written.node)
	}
	return list
}
