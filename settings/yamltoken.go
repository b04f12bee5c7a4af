package settings

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// readTokens reads the list of tokens of a level.
func (r *yamlReader) readTokens(level *Level, node *yaml.Node) {
	if node.Kind != yaml.SequenceNode {
		r.addProblem(node, level.Path, fieldTokens, "wants a list")
		return
	}
	names := map[string]bool{}
	for _, item := range node.Content {
		token, ok := r.readToken(level.Path, item)
		if !ok {
			continue
		}
		if names[token.Name] {
			r.addProblem(item, level.Path, fieldTokens, "token %s is given twice", token.Name)
		}
		names[token.Name] = true
		level.Tokens = append(level.Tokens, token)
	}
}

// readToken reads and validates one token, and returns false if it is invalid.
func (r *yamlReader) readToken(path string, item *yaml.Node) (AccessToken, bool) {
	before := len(r.problems)
	var token AccessToken
	r.visitMapping(path, item, func(key, value *yaml.Node) {
		if err := token.setYAML(key.Value, value); err != nil {
			r.addProblem(key, path, fieldTokens, "%s", err)
		}
	})
	checkToken(path, &token, &r.problems)
	for _, problem := range r.problems[before:] {
		problem.Line = item.Line
	}
	return token, len(r.problems) == before
}

// setYAML sets one field of the token.
func (t *AccessToken) setYAML(field string, node *yaml.Node) error {
	if node.Kind != yaml.ScalarNode {
		return eris.Errorf("%s wants a plain value", field)
	}
	switch field {
	case "name":
		t.Name = node.Value
	case "sha256":
		t.SHA256 = strings.ToLower(node.Value)
	case "role":
		t.Role = Role(node.Value)
	case "not_after":
		var err error
		t.NotAfter, err = parseYAMLTime(node.Value)
		return err
	default:
		return eris.Errorf("unknown field %s of a token", field)
	}
	return nil
}

// parseYAMLTime parses an RFC 3339 time, such as 2027-01-31T00:00:00Z, or a date, which means its
// start in UTC.
func parseYAMLTime(text string) (time.Time, error) {
	for _, layout := range []string{time.RFC3339, time.DateOnly} {
		if parsed, err := time.Parse(layout, text); err == nil {
			return parsed.UTC(), nil
		}
	}
	return time.Time{}, eris.Errorf("not_after wants a time such as 2027-01-31T00:00:00Z, got %q", text)
}
