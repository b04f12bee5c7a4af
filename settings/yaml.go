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

// Fields of a level in YAML that are not policy keys.
const (
	fieldKind     = "kind"
	fieldTokens   = "tokens"
	fieldChildren = "children"
)

// maxYAMLDepth bounds the nesting of levels in a YAML document.
const maxYAMLDepth = 32

// File is one of the YAML documents that make up a tree.
type File struct {
	// Name of the file in error messages.
	Name string
	Data []byte
}

// ParseYAML parses a whole tree from one YAML document, which starts at the root, and validates it
// strictly. A level is a mapping of policy keys and the fields `kind`, `tokens` and `children`,
// which maps names to the levels below. The error is a ValidationErrors with the path, key, line
// and reason of every problem.
func ParseYAML(data []byte) (*Tree, error) { return ParseYAMLFiles([]File{{Data: data}}) }

// ParseYAMLFiles parses a tree from several documents, each of which starts at the root. A level
// may occur in several documents, but its tokens and each of its keys in one only. Its kind must
// be the same wherever it is given.
func ParseYAMLFiles(files []File) (*Tree, error) {
	reader := newYAMLReader(RootPath, files)
	reader.levels[RootPath].Kind = KindOrganization
	reader.checkKinds()
	if err := reader.problems.orNil(); err != nil {
		return nil, err
	}
	tree := treeFromLevels(slices.Collect(maps.Values(reader.levels)))
	if _, err := tree.Compile(Stamp{}); err != nil {
		return nil, reader.withLocations(err)
	}
	return tree, nil
}

// newYAMLReader reads files whose documents start at the level at path.
func newYAMLReader(path string, files []File) *yamlReader {
	reader := &yamlReader{levels: map[string]*Level{}, positions: map[keyRef]sourcePosition{}}
	reader.levelAt(path, nil)
	for _, file := range files {
		reader.file = file.Name
		reader.readDocument(path, file.Data)
	}
	for _, level := range reader.levels {
		level.canonicalise()
	}
	return reader
}

// yamlErrorText returns the message of a YAML library error without the library's prefix.
func yamlErrorText(err error) string { return strings.TrimPrefix(err.Error(), "yaml: ") }

// keyRef identifies a key of a level, or the level itself if key is empty.
type keyRef struct{ path, key string }

// sourcePosition is the file and line in which a key or level was first read.
type sourcePosition struct {
	file string
	line int
}

// yamlReader collects the levels from the documents of one tree.
type yamlReader struct {
	// file is the name of the file being read.
	file      string
	levels    map[string]*Level
	positions map[keyRef]sourcePosition
	problems  ValidationErrors
}

// readDocument reads the document of one file, which starts at the level at path.
func (r *yamlReader) readDocument(path string, data []byte) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var top yaml.Node
	if err := decoder.Decode(&top); errors.Is(err, io.EOF) {
		return
	} else if err != nil {
		r.addProblem(nil, path, "", "%s", yamlErrorText(err))
		return
	}
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		r.addProblem(nil, path, "", "a file holds one YAML document; a second one begins")
	}
	r.readLevel(path, top.Content[0], 0)
}

// levelAt returns the level at path, and adds it if it was not read before.
func (r *yamlReader) levelAt(path string, node *yaml.Node) *Level {
	level := r.levels[path]
	if level == nil {
		level = &Level{Path: path, Values: map[string]Value{}}
		r.levels[path] = level
		r.recordPosition(path, "", node)
	}
	return level
}

// checkKinds reports levels without a kind.
func (r *yamlReader) checkKinds() {
	for path, level := range r.levels {
		if level.Kind == "" {
			r.problems = append(r.problems, r.locate(&ValidationError{Path: path, Key: fieldKind,
				Reason: "a level wants a kind: organization, team, service, model or adapter"}))
		}
	}
}

// locate sets the file and line of a problem to those of its key, or of its level if the key was
// not read.
func (r *yamlReader) locate(problem *ValidationError) *ValidationError {
	at, known := r.positions[keyRef{problem.Path, problem.Key}]
	if !known {
		at = r.positions[keyRef{problem.Path, ""}]
	}
	problem.File, problem.Line = at.file, at.line
	return problem
}

// withLocations adds files and lines to validation errors.
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

func (r *yamlReader) addProblem(at *yaml.Node, path, key, format string, arguments ...any) {
	r.problems.add(path, key, format, arguments...)
	problem := r.problems[len(r.problems)-1]
	problem.File = r.file
	if at != nil {
		problem.Line = at.Line
	}
}

// recordPosition records where a key of a level was first read. If the key was first read in
// another file, it returns that file and true.
func (r *yamlReader) recordPosition(path, key string, at *yaml.Node) (file string, inOtherFile bool) {
	if earlier, known := r.positions[keyRef{path, key}]; known {
		return earlier.file, earlier.file != r.file
	}
	read := sourcePosition{file: r.file}
	if at != nil {
		read.line = at.Line
	}
	r.positions[keyRef{path, key}] = read
	return "", false
}

// visitMapping calls visit for each key of a mapping. It reports nodes of another kind,
// unsupported keys and duplicate keys.
func (r *yamlReader) visitMapping(path string, node *yaml.Node, visit func(key, value *yaml.Node)) {
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		return
	}
	if node.Kind != yaml.MappingNode {
		r.addProblem(node, path, "", "wants a mapping")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		switch {
		case key.Kind != yaml.ScalarNode || key.Tag == "!!merge":
			r.addProblem(key, path, "", "wants plain keys; merge keys and aliases are not supported, let levels inherit instead")
		case seen[key.Value]:
			r.addProblem(key, path, key.Value, "the key is given twice")
		default:
			seen[key.Value] = true
			visit(key, value)
		}
	}
}

// readLevel reads a level and all levels below it.
func (r *yamlReader) readLevel(path string, node *yaml.Node, depth int) {
	if depth > maxYAMLDepth {
		r.addProblem(node, path, "", "the tree is nested deeper than %d levels", maxYAMLDepth)
		return
	}
	level := r.levelAt(path, node)
	r.visitMapping(path, node, func(key, value *yaml.Node) {
		file, inOtherFile := r.recordPosition(path, key.Value, key)
		switch {
		case key.Value == fieldChildren:
			r.readChildren(path, value, depth)
		case key.Value == fieldKind:
			r.readKind(level, value)
		case inOtherFile:
			r.addProblem(key, path, key.Value, "the key is also given in %s", file)
		case key.Value == fieldTokens:
			r.readTokens(level, value)
		default:
			r.readValue(level, key, value)
		}
	})
}

func (r *yamlReader) readKind(level *Level, value *yaml.Node) {
	kind := Kind(value.Value)
	switch {
	case value.Kind != yaml.ScalarNode || !isKnownKind(kind):
		r.addProblem(value, level.Path, fieldKind, "wants organization, team, service, model or adapter, got %q", value.Value)
	case level.Kind != "" && level.Kind != kind:
		r.addProblem(value, level.Path, fieldKind, "the level is already %s", withArticle(level.Kind))
	}
	level.Kind = kind
}

func (r *yamlReader) readChildren(path string, node *yaml.Node, depth int) {
	r.visitMapping(path, node, func(key, value *yaml.Node) {
		childPath := joinPath(path, key.Value)
		if problem := checkPath(childPath); problem != "" || strings.Contains(key.Value, "/") {
			r.addProblem(key, path, fieldChildren, "%q cannot name a level: letters, digits, '.', '_', ':' and '-', 128 at most", key.Value)
			return
		}
		r.readLevel(childPath, value, depth+1)
	})
}
