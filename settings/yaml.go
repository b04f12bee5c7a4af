package settings

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"slices"
	"strings"

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

// File is one YAML document of a tree that is written in several.
type File struct {
	// Name for error messages.
	Name string
	Data []byte
}

// ParseYAML reads a whole tree from one YAML document and checks it strictly.
// A level is a mapping of policy keys, `kind`, `tokens` and `children`, the
// levels below by name; the document is the root. The error is a
// ValidationErrors with path, key, line and reason of everything that is wrong.
func ParseYAML(data []byte) (*Tree, error) { return ParseYAMLFiles([]File{{Data: data}}) }

// ParseYAMLFiles reads a tree whose levels are spread over several documents,
// each beginning at the root. A level may appear in many; its kind, and each
// key, is given in one or alike, and it has tokens in one at most.
func ParseYAMLFiles(files []File) (*Tree, error) {
	reader := newYAMLReader(RootPath, files)
	reader.levels[RootPath].Kind = KindOrganization
	reader.checkKinds()
	if err := reader.problems.orNil(); err != nil {
		return nil, err
	}
	tree := fromLevels(slices.Collect(maps.Values(reader.levels)))
	if _, err := tree.Compile(Stamp{}); err != nil {
		return nil, reader.withLocations(err)
	}
	return tree, nil
}

// newYAMLReader reads files whose documents begin at the level at path.
func newYAMLReader(path string, files []File) *yamlReader {
	reader := &yamlReader{levels: map[string]*Level{}, places: map[place]location{}}
	reader.add(path, nil)
	for _, file := range files {
		reader.file = file.Name
		reader.document(path, file.Data)
	}
	for _, level := range reader.levels {
		level.normaliseForm()
	}
	return reader
}

// yamlReason shortens the library's message.
func yamlReason(err error) string { return strings.TrimPrefix(err.Error(), "yaml: ") }

// place is a key of a level, or the level itself with an empty key.
type place struct{ path, key string }

// location is where a place was read.
type location struct {
	file string
	line int
}

// yamlReader walks the documents of one tree.
type yamlReader struct {
	// file being read.
	file     string
	levels   map[string]*Level
	places   map[place]location
	problems ValidationErrors
}

// document reads one document.
func (r *yamlReader) document(path string, data []byte) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var top yaml.Node
	if err := decoder.Decode(&top); errors.Is(err, io.EOF) {
		return
	} else if err != nil {
		r.fail(nil, path, "", "%s", yamlReason(err))
		return
	}
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		r.fail(nil, path, "", "a file holds one YAML document; a second one begins")
	}
	r.level(path, top.Content[0], 0)
}

// add returns the level at path, a new one when it was not read before.
func (r *yamlReader) add(path string, node *yaml.Node) *Level {
	level := r.levels[path]
	if level == nil {
		level = &Level{Path: path, Values: map[string]Value{}}
		r.levels[path] = level
		r.remember(path, "", node)
	}
	return level
}

// checkKinds checks that every level was given a kind.
func (r *yamlReader) checkKinds() {
	for path, level := range r.levels {
		if level.Kind == "" {
			r.problems = append(r.problems, r.locate(&ValidationError{Path: path, Key: fieldKind,
				Reason: "a level wants a kind: organization, team, service, model or adapter"}))
		}
	}
}

// locate adds where the named key, or else its level, was read.
func (r *yamlReader) locate(problem *ValidationError) *ValidationError {
	at, known := r.places[place{problem.Path, problem.Key}]
	if !known {
		at = r.places[place{problem.Path, ""}]
	}
	problem.File, problem.Line = at.file, at.line
	return problem
}

// withLocations adds the files and lines at which the named keys stand.
func (r *yamlReader) withLocations(err error) error {
	var problems ValidationErrors
	if !errors.As(err, &problems) {
		return err
	}
	for _, problem := range problems {
		r.locate(problem)
	}
	return problems.orNil()
}

func (r *yamlReader) fail(at *yaml.Node, path, key, format string, arguments ...any) {
	r.problems.add(path, key, format, arguments...)
	problem := r.problems[len(r.problems)-1]
	problem.File = r.file
	if at != nil {
		problem.Line = at.Line
	}
}

// remember notes where a key of a level was read first. It reports whether the
// key was read before in another file, which it names.
func (r *yamlReader) remember(path, key string, at *yaml.Node) (file string, again bool) {
	if earlier, known := r.places[place{path, key}]; known {
		return earlier.file, earlier.file != r.file
	}
	read := location{file: r.file}
	if at != nil {
		read.line = at.Line
	}
	r.places[place{path, key}] = read
	return "", false
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
	if depth > maxDepth {
		r.fail(node, path, "", "the tree is nested deeper than %d levels", maxDepth)
		return
	}
	level := r.add(path, node)
	r.mapping(path, node, func(key, value *yaml.Node) {
		file, again := r.remember(path, key.Value, key)
		switch {
		case key.Value == fieldChildren:
			r.children(path, value, depth)
		case key.Value == fieldKind:
			r.kind(level, value)
		case again:
			r.fail(key, path, key.Value, "the key is also given in %s", file)
		case key.Value == fieldTokens:
			r.tokens(level, value)
		default:
			r.value(level, key, value)
		}
	})
}

func (r *yamlReader) kind(level *Level, value *yaml.Node) {
	kind := Kind(value.Value)
	switch {
	case value.Kind != yaml.ScalarNode || !knownKind(kind):
		r.fail(value, level.Path, fieldKind, "wants organization, team, service, model or adapter, got %q", value.Value)
	case level.Kind != "" && level.Kind != kind:
		r.fail(value, level.Path, fieldKind, "the level is already %s", article(level.Kind))
	}
	level.Kind = kind
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
