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

// ConfigError is one error in a node's configuration.
type ConfigError struct {
	// Source is the file name, or says that a flag or an environment variable set the
	// value.
	Source string
	// Line is the line in the file, zero if unknown.
	Line int
	// Key is the invalid key, empty if the error concerns the whole source.
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

// Override is a value from a flag or an environment variable. It takes precedence over
// the file.
type Override struct {
	Key, Value string
	// Source names the flag or environment variable.
	Source string
}

// LoadConfig reads the YAML file at path, applies overrides and defaults and validates
// the result. The returned error joins one *ConfigError for each error found. With an
// empty path no file is read.
func LoadConfig(path string, overrides []Override) (Config, error) {
	loader := configLoader{config: Config{
		DrainTime: DefaultDrainTime, MachineListLag: authority.DefaultMachineLag, MaxBodyBytes: DefaultMaxBodyBytes, LogLevel: DefaultLogLevel,
	}, sources: make(map[string]ConfigError)}
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return Config{}, &ConfigError{Source: path, Reason: "cannot be read: " + fileErrorReason(err)}
		}
		loader.readFile(path, data)
	}
	for _, override := range overrides {
		loader.applyOverride(override)
	}
	loader.validate(path)
	return loader.config, errors.Join(loader.errs...)
}

// fileErrorReason returns the message of a file error without the path.
func fileErrorReason(err error) string {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}

// configLoader collects the configuration, the source of each value, and the errors.
type configLoader struct {
	config  Config
	sources map[string]ConfigError
	errs    []error
}

// addError records an error at the source of the key.
func (l *configLoader) addError(key, format string, arguments ...any) {
	source := l.sources[key]
	source.Key = key
	source.Reason = fmt.Sprintf(format, arguments...)
	l.errs = append(l.errs, &source)
}

// readFile reads the keys of a YAML document.
func (l *configLoader) readFile(path string, data []byte) {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		l.errs = append(l.errs, &ConfigError{Source: path, Reason: strings.TrimPrefix(err.Error(), "yaml: ")})
		return
	}
	if len(document.Content) == 0 {
		return
	}
	l.readMapping(path, "", document.Content[0])
}

// readMapping reads the keys of one mapping. prefix is the name of the enclosing key
// followed by a dot, or empty.
func (l *configLoader) readMapping(path, prefix string, node *yaml.Node) {
	if node.Kind != yaml.MappingNode {
		l.errs = append(l.errs, &ConfigError{Source: path, Line: node.Line, Key: strings.TrimSuffix(prefix, "."), Reason: "is not a mapping of keys to values"})
		return
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := prefix+node.Content[i].Value, node.Content[i+1]
		l.readEntry(path, name, node.Content[i].Line, value)
	}
}

// readEntry reads one key of the file.
func (l *configLoader) readEntry(path, name string, line int, value *yaml.Node) {
	source := ConfigError{Source: path, Line: line}
	if _, duplicate := l.sources[name]; duplicate {
		l.sources[name] = source
		l.addError(name, "is set twice")
		return
	}
	l.sources[name] = source
	if name == "tls" {
		l.readMapping(path, "tls.", value)
		return
	}
	key, known := findKey(name)
	if !known {
		l.addError(name, "is unknown")
		return
	}
	target := key.target(&l.config)
	if err := value.Decode(target); err != nil {
		l.addError(name, "%q is not a %s", value.Value, kindName(target))
	}
}

// applyOverride applies a flag or environment variable.
func (l *configLoader) applyOverride(override Override) {
	l.sources[override.Key] = ConfigError{Source: override.Source}
	key, known := findKey(override.Key)
	if !known {
		l.addError(override.Key, "is unknown")
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
		l.addError(override.Key, "%q is not a %s", override.Value, kindName(target))
	}
}

// splitList splits a comma-separated list, dropping empty elements.
func splitList(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// kindName describes the type of a configuration value for error messages.
func kindName(target any) string {
	switch kind := reflect.TypeOf(target).Elem(); {
	case kind == reflect.TypeFor[[]string]():
		return "list of strings"
	case kind.String() == "time.Duration":
		return "duration such as 30s"
	case kind.Kind() == reflect.Int64:
		return "whole number"
	default:
		return "string"
	}
}
