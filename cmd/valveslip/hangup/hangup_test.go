package hangup

import "testing"

// TestOnlyNodeSubcommandHandlesHangup guards against a node that SIGHUP terminates, and
// against a tool that keeps running after its terminal was closed.
func TestOnlyNodeSubcommandHandlesHangup(t *testing.T) {
	for _, arguments := range [][]string{{"node"}, {"node", "--platform"}, {"--version", "node", "--config", "file"}} {
		if !runsNode(arguments) {
			t.Errorf("runsNode(%q) = false, want true", arguments)
		}
	}
	for _, arguments := range [][]string{nil, {"--version"}, {"status", "node"}, {"soak", "--binary", "node"}} {
		if runsNode(arguments) {
			t.Errorf("runsNode(%q) = true, want false", arguments)
		}
	}
}
