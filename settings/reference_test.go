package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/sebdah/goldie/v2"
	"go.yaml.in/yaml/v3"
)

// TestReferencePagesMatchKeyRegistry guards against reference pages that lag behind the registry
// of keys. Run it with -update to write the pages.
func TestReferencePagesMatchKeyRegistry(t *testing.T) {
	pages := goldie.New(t, goldie.WithFixtureDir("../docs/operations"), goldie.WithNameSuffix(""))
	pages.Assert(t, "tree-keys.md", []byte(Reference()))
	pages.Assert(t, "tree.schema.json", Schema())
}

// TestSchemaAgreesWithParser guards against a schema that marks accepted trees as invalid in an
// editor, or the reverse. The JSON Schema validator takes the schema as a component of an OpenAPI
// document.
func TestSchemaAgreesWithParser(t *testing.T) {
	schema := strings.ReplaceAll(string(Schema()), `"$ref": "#"`, `"$ref": "#/components/schemas/tree"`)
	document := `{"openapi":"3.1.0","info":{"title":"t","version":"1"},"paths":{},"components":{"schemas":{"tree":` + schema + `}}}`
	loaded, err := openapi3.NewLoader().LoadFromData([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	dental, err := os.ReadFile("testdata/dental.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		yaml     string
		accepted bool
	}{
		// The YAML library decodes an unquoted date as a time, which JSON does not have.
		"a right tree":        {strings.ReplaceAll(string(dental), "2027-06-30", `"2027-06-30"`), true},
		"an unknown key":      {"keep_alvie: 10m", false},
		"a wrong unit":        {"memory: 16GB", false},
		"a wrong deep value":  {"children: {a: {kind: team, children: {b: {kind: model, max_replicas: many}}}}", false},
		"an unknown kind":     {"children: {a: {kind: galaxy}}", false},
		"a token without sha": {"tokens: [{name: a, role: call}]", false},
	} {
		var value any
		if err := yaml.Unmarshal([]byte(test.yaml), &value); err != nil {
			t.Fatal(err)
		}
		_, parseErr := ParseYAML([]byte(test.yaml))
		err := loaded.Components.Schemas["tree"].Value.VisitJSON(value, openapi3.EnableJSONSchema2020())
		if (err == nil) != test.accepted || (parseErr == nil) != test.accepted {
			t.Errorf("%s: schema says %v, parser says %v", name, err, parseErr)
		}
	}
}
