package node_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/valveslip/valveslip/node"
)

const settingsPage = "../docs/operations/node-settings.md"

// TestSettingsPageListsEveryKey checks that the table in the documentation matches the
// configuration keys.
func TestSettingsPageListsEveryKey(t *testing.T) {
	page, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(page), "by a test -->\n")
	table, _, closed := strings.Cut(rest, "<!-- end of table -->")
	if !found || !closed {
		t.Fatal("documentation page has no table of keys")
	}
	var wanted strings.Builder
	wanted.WriteString("| Key | Default | Meaning |\n|---|---|---|\n")
	for _, key := range node.ConfigKeys() {
		value := "`" + key.Default + "`"
		switch {
		case key.Required:
			value = "required"
		case key.Default == "":
			value = "none"
		}
		fmt.Fprintf(&wanted, "| `%s` | %s | %s |\n", key.Name, value, key.Usage)
	}
	if table != wanted.String() {
		t.Errorf("table in the documentation differs from the keys, want:\n%s", wanted.String())
	}
}
