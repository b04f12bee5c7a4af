package settings

import (
	"errors"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// The fields of a level in YAML that are not policy keys.
const (
	fieldKind     = "kind"
	fieldTokens   = "tokens"
	fieldChildren = "children"
)

// maxDepth bounds how deep a YAML tree may nest.
const maxDepth = 32

// ParseYAML reads a whole tree from one YAML document and checks it strictly.
// A level is a mapping of policy keys, `kind`, `tokens` and `children`, the
// levels below by name; the document is the root. The error is a
// ValidationErrors with path, key, line and reason of everything that is wrong.
func ParseYAML(data []byte) (*Tree, error) {
	decoder := yaml.NewDecoder(strings.NewReader(string(data)))
	var top yaml.Node
	if err := decoder.Decode(&top); errors.Is(err, io.EOF) {
		return Empty(), nil
	} else if err != nil {
		return nil, ValidationErrors{{Path: RootPath, Reason: yamlReason(err)}}
	}
	reader := &yamlReader{}
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		reader.fail(nil, RootPath, "", "the tree is one YAML document; a second one begins")
	}
	reader.level(RootPath, top.Content[0], 0)
	if err := reader.problems.orNil(); err != nil {
		return nil, err
	}
	tree := fromLevels(reader.levels)
	if _, err := tree.Compile(Stamp{}); err != nil {
		return nil, reader.withLines(err)
	}
	return tree, nil
}

// yamlReason shortens the library's message.
func yamlReason(err error) string { return strings.TrimPrefix(err.Error(), "yaml: ") }

// yamlReader walks one document.
type yamlReader struct {
	levels   []*Level
	problems ValidationErrors
	// lines gives the line of each key read, by path and key.
	lines map[[2]string]int
}

func (r *yamlReader) fail(at *yaml.Node, path, key, format string, arguments ...any) {
	r.problems.add(path, key, format, arguments...)
	if at != nil {
		r.problems[len(r.problems)-1].Line = at.Line
	}
}

// withLines adds the lines at which the named keys stand.
func (r *yamlReader) withLines(err error) error {
	var problems ValidationErrors
	if !errors.As(err, &problems) {
		return err
	}
	for _, problem := range problems {
		problem.Line = r.lines[[2]string{problem.Path, problem.Key}]
		if problem.Line == 0 {
			problem.Line = r.lines[[2]string{problem.Path, ""}]
		}
	}
	return problems.orNil()
}

func (r *yamlReader) remember(path, key string, at *yaml.Node) {
	if r.lines == nil {
		r.lines = map[[2]string]int{}
	}
	r.lines[[2]string{path, key}] = at.Line
}

// mapping calls visit for each key of a mapping, after checking its form.
func (r *yamlReader) mapping(path string, node *yaml.Node, visit func(key, value *yaml.Node)) {
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		return
	}
	if node.Kind != yaml.MappingNode {
		r.fail(node, path, "", "wants a mapping")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		switch {
		case key.Kind != yaml.ScalarNode || key.Tag == "!!merge":
			r.fail(key, path, "", "wants plain keys; merge keys and aliases are not supported, let levels inherit instead")
		case seen[key.Value]:
			r.fail(key, path, key.Value, "the key is given twice")
		default:
			seen[key.Value] = true
			visit(key, value)
		}
	}
}

// level reads one level and all below it.
func (r *yamlReader) level(path string, node *yaml.Node, depth int) {
	level := &Level{Path: path, Values: map[string]Value{}}
	if path == RootPath {
		level.Kind = KindOrganization
	}
	if depth > maxDepth {
		r.fail(node, path, "", "the tree is nested deeper than %d levels", maxDepth)
		return
	}
	r.levels = append(r.levels, level)
	r.remember(path, "", node)
	r.mapping(path, node, func(key, value *yaml.Node) {
		r.remember(path, key.Value, key)
		switch key.Value {
		case fieldKind:
			r.kind(level, value)
		case fieldTokens:
			r.tokens(level, value)
		case fieldChildren:
			r.children(path, value, depth)
		default:
			r.value(level, key, value)
		}
	})
	if level.Kind == "" {
		r.fail(node, path, fieldKind, "a level wants a kind: organization, team, service, model or adapter")
	}
	level.normaliseForm()
}

func (r *yamlReader) kind(level *Level, value *yaml.Node) {
	level.Kind = Kind(value.Value)
	if value.Kind != yaml.ScalarNode || !knownKind(level.Kind) {
		r.fail(value, level.Path, fieldKind, "wants organization, team, service, model or adapter, got %q", value.Value)
	}
}

func (r *yamlReader) children(path string, node *yaml.Node, depth int) {
	r.mapping(path, node, func(key, value *yaml.Node) {
		below := join(path, key.Value)
		if problem := checkPath(below); problem != "" || strings.Contains(key.Value, "/") {
			r.fail(key, path, fieldChildren, "%q cannot name a level: letters, digits, '.', '_', ':' and '-', 128 at most", key.Value)
			return
		}
		r.level(below, value, depth+1)
	})
}

// value reads one policy key.
func (r *yamlReader) value(level *Level, key, node *yaml.Node) {
	raw, err := yamlValue(node)
	if err != nil {
		r.fail(key, level.Path, key.Value, "%s", err)
		return
	}
	value, err := normalise(key.Value, raw)
	if err != nil {
		r.fail(key, level.Path, key.Value, "%s", err)
		return
	}
	level.Values[key.Value] = value
}

// yamlValue turns a scalar or a list of scalars into JSON.
func yamlValue(node *yaml.Node) (Value, error) {
	if hasAlias(node) {
		return "", eris.New("aliases are not supported; let levels inherit instead")
	}
	var plain any
	if err := node.Decode(&plain); err != nil {
		return "", eris.New(yamlReason(err))
	}
	switch plain.(type) {
	case nil:
		return "", eris.New("wants a value; leave the key out to inherit")
	case string, bool, int, int64, uint64, float64, []any:
		return canonicalYAML(plain)
	default:
		return "", eris.New("wants a plain value or a list")
	}
}

// canonicalYAML encodes a decoded YAML value; infinities have no JSON form.
func canonicalYAML(plain any) (Value, error) {
	value := encodeValue(plain)
	if value == "null" {
		return "", eris.New("wants a plain value or a list of plain values")
	}
	return value, nil
}

func hasAlias(node *yaml.Node) bool {
	if node.Kind == yaml.AliasNode {
		return true
	}
	for _, below := range node.Content {
		if hasAlias(below) {
			return true
		}
	}
	return false
}
