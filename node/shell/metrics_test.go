package shell_test

import (
	"os"
	"regexp"
	"slices"
	"testing"
)

// TestMetricsPageListsEveryMetric holds the operators' page equal to what a node
// serves. Metrics that appear only with the composed core are named here.
func TestMetricsPageListsEveryMetric(t *testing.T) {
	f := start(t, fixtureConfig{})
	f.post(hello).Body.Close()
	served := names(`(?m)^# TYPE (valveslip_\w+)`, f.admin("/metrics"))
	served = append(served, "valveslip_call_duration_seconds", "valveslip_cell_machines", "valveslip_cell_machines_sealed", "valveslip_cell_replicas",
		"valveslip_controller", "valveslip_members", "valveslip_peer_bytes_total", "valveslip_peer_messages_total")
	page, err := os.ReadFile("../../docs/operations/metrics-and-alerts.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := names("(?m)^\\| `(valveslip_\\w+)`", string(page))
	slices.Sort(served)
	slices.Sort(listed)
	if !slices.Equal(served, listed) {
		t.Errorf("served %v\nlisted %v", served, listed)
	}
}

// names returns the first group of every match.
func names(pattern, text string) (found []string) {
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	return found
}
