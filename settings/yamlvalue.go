package settings

import (
	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// readValue reads the value of one policy key.
func (r *yamlReader) readValue(level *Level, key, node *yaml.Node) {
	raw, err := valueFromYAML(node)
	if err != nil {
		r.addProblem(key, level.Path, key.Value, "%s", err)
		return
	}
	value, err := normaliseValue(key.Value, raw)
	if err != nil {
		r.addProblem(key, level.Path, key.Value, "%s", err)
		return
	}
	level.Values[key.Value] = value
}

// valueFromYAML converts a YAML scalar or list of scalars to JSON.
func valueFromYAML(node *yaml.Node) (Value, error) {
	if hasAlias(node) {
		return "", eris.New("aliases are not supported; let levels inherit instead")
	}
	var plain any
	if err := node.Decode(&plain); err != nil {
		return "", eris.New(yamlErrorText(err))
	}
	switch plain.(type) {
	case nil:
		return "", eris.New("wants a value; leave the key out to inherit")
	case string, bool, int, int64, uint64, float64, []any:
		return encodeYAMLValue(plain)
	default:
		return "", eris.New("wants a plain value or a list")
	}
}

// encodeYAMLValue encodes a decoded YAML value as JSON. Values without a JSON form, such as
// infinities, are an error.
func encodeYAMLValue(plain any) (Value, error) {
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
	for _, child := range node.Content {
		if hasAlias(child) {
			return true
		}
	}
	return false
}
