package settings

import (
	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

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
