package node

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/valveslip/valveslip/authority"
)

// ConfigError is one fault of a node's configuration.
type ConfigError struct {
	// Source is the file, or names the flags and environment.
	Source string
	// Line in the file, zero when it has none.
	Line int
	// Key at fault, empty when the whole source is.
	Key    string
	Reason string
}

// Error implements error.
func (e *ConfigError) Error() string {
	place := e.Source
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.Source, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", place, e.Reason)
	}
	return fmt.Sprintf("%s: key %q: %s", place, e.Key, e.Reason)
}

// Override is a value of a flag or an environment variable. It goes before the
// file.
type Override struct {
	Key, Value string
	// Source names where it was set.
	Source string
}

// LoadConfig reads the YAML file at path, applies overrides and defaults and
// validates the outcome. Its error joins a *ConfigError for every fault. An
// empty path means no file.
func LoadConfig(path string, overrides []Override) (Config, error) {
	loader := loader{config: Config{
		DrainTime: DefaultDrainTime, MachineListLag: authority.DefaultMachineLag, MaxBodyBytes: DefaultMaxBodyBytes, LogLevel: DefaultLogLevel,
	}, places: make(map[string]ConfigError)}
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return Config{}, &ConfigError{Source: path, Reason: "cannot be read: " + cause(err)}
		}
		loader.file(path, data)
	}
	for _, override := range overrides {
		loader.override(override)
	}
	loader.validate(path)
	return loader.config, errors.Join(loader.faults...)
}

// cause returns the reason of a file error without the path.
func cause(err error) string {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}

// loader collects a configuration, where each value came from, and the faults.
type loader struct {
	config Config
	places map[string]ConfigError
	faults []error
}

// fault records a fault at the place a key was set.
func (l *loader) fault(key, format string, arguments ...any) {
	place := l.places[key]
	place.Key = key
	place.Reason = fmt.Sprintf(format, arguments...)
	l.faults = append(l.faults, &place)
}

// file reads a YAML document.
func (l *loader) file(path string, data []byte) {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		l.faults = append(l.faults, &ConfigError{Source: path, Reason: strings.TrimPrefix(err.Error(), "yaml: ")})
		return
	}
	if len(document.Content) == 0 {
		return
	}
	l.mapping(path, "", document.Content[0])
}

// mapping reads the keys of one mapping; prefix is the name of the one around.
func (l *loader) mapping(path, prefix string, node *yaml.Node) {
	if node.Kind != yaml.MappingNode {
		l.faults = append(l.faults, &ConfigError{Source: path, Line: node.Line, Key: strings.TrimSuffix(prefix, "."), Reason: "is not a mapping of keys to values"})
		return
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := prefix+node.Content[i].Value, node.Content[i+1]
		l.entry(path, name, node.Content[i].Line, value)
	}
}

// entry reads one key of the file.
func (l *loader) entry(path, name string, line int, value *yaml.Node) {
	place := ConfigError{Source: path, Line: line}
	if _, twice := l.places[name]; twice {
		l.places[name] = place
		l.fault(name, "stands twice")
		return
	}
	l.places[name] = place
	if name == "tls" {
		l.mapping(path, "tls.", value)
		return
	}
	key, known := findKey(name)
	if !known {
		l.fault(name, "is unknown")
		return
	}
	target := key.target(&l.config)
	if err := value.Decode(target); err != nil {
		l.fault(name, "%q is not a %s", value.Value, kindName(target))
	}
}

// override applies a flag or environment variable.
func (l *loader) override(override Override) {
	l.places[override.Key] = ConfigError{Source: override.Source}
	key, known := findKey(override.Key)
	if !known {
		l.fault(override.Key, "is unknown")
		return
	}
	target := key.target(&l.config)
	if list, ok := target.(*[]string); ok {
		*list = splitList(override.Value)
		return
	}
	value := yaml.Node{Kind: yaml.ScalarNode, Value: override.Value}
	if reflect.TypeOf(target).Elem().Kind() == reflect.String {
		value.Tag = "!!str"
	}
	if err := value.Decode(target); err != nil {
		l.fault(override.Key, "%q is not a %s", override.Value, kindName(target))
	}
}

// splitList splits a comma-separated list; an empty text is an empty list.
func splitList(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// kindName names the kind of value a key takes.
func kindName(target any) string {
	switch kind := reflect.TypeOf(target).Elem(); {
	case kind == reflect.TypeFor[[]string]():
		return "list of texts"
	case kind.String() == "time.Duration":
		return "duration such as 30s"
	case kind.Kind() == reflect.Int64:
		return "whole number"
	default:
		return "text"
	}
}
