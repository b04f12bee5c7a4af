package settings

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Reference returns the operators' reference page of the policy keys, in Markdown. The committed
// copy is in docs/operations.
func Reference() string {
	var page strings.Builder
	page.WriteString(referenceIntroduction)
	page.WriteString("| Key | Type | Default | Bounds | Meaning |\n|---|---|---|---|---|\n")
	for i := range keys {
		key := &keys[i]
		fmt.Fprintf(&page, "| `%s` | %s | `%s` | %s | %s |\n", key.Name, key.Type, key.Default, key.Bounds, key.Doc)
	}
	fmt.Fprintf(&page, "\nAdapters also have `%s` (%s): %s\n", baseKey.Name, baseKey.Type, lowerFirst(baseKey.Doc))
	page.WriteString(referenceDetails)
	return page.String()
}

func lowerFirst(text string) string { return strings.ToLower(text[:1]) + text[1:] }

const referenceIntroduction = `# Keys of the settings tree

A level of the tree sets any of these keys. A level that does not set a key
inherits the value of the closest level above that does; where no level does,
the default holds. ` + "`valveslip tree get --effective PATH`" + ` shows each value with
the level it comes from.

`

const referenceDetails = `
## How values are written

| Type | In YAML | On a command line |
|---|---|---|
| integer, number | ` + "`3`, `0.5`" + ` | the same |
| duration | ` + "`10m`, `1h30m`, `250ms`" + ` | the same |
| bytes | ` + "`512MiB`, `16GiB`" + ` (B, KiB, MiB, GiB, TiB) | the same |
| rate | ` + "`1.5`" + ` a second, or ` + "`90/m`, `20/s`, `100/h`" + ` | the same |
| boolean | ` + "`true`, `false`" + ` | the same |
| name | letters, digits, ` + "`.`, `_`, `:`, `-`" + `, 128 at most | the same |
| list of names | ` + "`[east, west]`" + ` | ` + "`east,west`" + ` |

## Levels

Besides keys, a level has:

| Field | Meaning |
|---|---|
| ` + "`kind`" + ` | organization, team, service, model or adapter. The root is an organization. Below a model only adapters can stand, below an adapter nothing; else levels can be nested as an operator likes. |
| ` + "`tokens`" + ` | access tokens bound to this level and all below it: ` + "`name`, `sha256`" + ` of the secret in hexadecimal, ` + "`role`" + ` (call, read, edit, administer) and, if they end, ` + "`not_after`" + `. |
| ` + "`children`" + ` | the levels below, by name. |

The name of a model or adapter is what callers use, so it is unique in the whole
tree. A model that stands directly below a level can be called by all tokens of
that level and below, and be the base of all adapters there.

Limits (` + "`max_concurrency`, `requests_per_second`, `tokens_per_second`" + `) hold for all
requests below the level that sets them together, and a request must fit within
the limits of every level above it. They, ` + "`priority`, `min_replicas` and\n`max_replicas`" + ` cannot be changed by a token that is bound to the very level that
sets them, and what these three are there is the most that such a token can give
to any level below.
`

// Schema returns a JSON Schema of the YAML documents that ParseYAML accepts, for use in editors.
// It does not replace the validation by ParseYAML.
func Schema() []byte {
	properties := map[string]any{
		fieldKind: map[string]any{"enum": []Kind{KindOrganization, KindTeam, KindService, KindModel, KindAdapter}},
		fieldTokens: map[string]any{"type": "array", "items": map[string]any{
			"type": "object", "additionalProperties": false, "required": []string{"name", "sha256", "role"},
			"properties": map[string]any{
				"name":      nameType.schema,
				"sha256":    map[string]any{"type": "string", "pattern": fmt.Sprintf("^[0-9a-fA-F]{%d}$", sha256HexLength)},
				"role":      map[string]any{"enum": []Role{RoleCall, RoleRead, RoleEdit, RoleAdminister}},
				"not_after": map[string]any{"type": "string"},
			},
		}},
		fieldChildren: map[string]any{"type": "object", "propertyNames": nameType.schema, "additionalProperties": map[string]any{"$ref": "#"}},
		KeyBase:       keySchema(&baseKey),
	}
	for i := range keys {
		properties[keys[i].Name] = keySchema(&keys[i])
	}
	schema, err := json.MarshalIndent(map[string]any{
		"$schema": "https://json-schema.org/draft/2020-12/schema",
		"title":   "valveslip settings tree",
		"type":    []string{"object", "null"}, "additionalProperties": false, "properties": properties,
	}, "", "  ")
	if err != nil {
		panic("settings: " + err.Error())
	}
	return append(schema, '\n')
}

// keySchema returns the schema of a key's values, with the description of the key.
func keySchema(key *Key) map[string]any {
	schema := map[string]any{"description": key.Doc}
	for name, value := range key.schema {
		schema[name] = value
	}
	if key.Default != "" {
		schema["default"] = json.RawMessage(key.Default)
	}
	return schema
}
