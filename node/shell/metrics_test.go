package shell_test

import (
	"os"
	"regexp"
	"slices"
	"testing"
)

// TestMetricsPageListsEveryMetric checks that the operators' page lists exactly the
// metrics that a node serves. Metrics that only the composed core provides are listed
// here, because the fixture runs another core.
func TestMetricsPageListsEveryMetric(t *testing.T) {
	f := startFixture(t, fixtureConfig{})
	f.post(hello).Body.Close()
	served := firstSubmatches(`(?m)^# TYPE (valveslip_\w+)`, f.readAdmin("/metrics"))
	served = append(served, "valveslip_call_duration_seconds", "valveslip_cell_machines", "valveslip_cell_machines_sealed", "valveslip_cell_replicas",
		"valveslip_controller", "valveslip_members", "valveslip_peer_bytes_total", "valveslip_peer_messages_total")
	page, err := os.ReadFile("../../docs/operations/metrics-and-alerts.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := firstSubmatches("(?m)^\\| `(valveslip_\\w+)`", string(page))
	slices.Sort(served)
	slices.Sort(documented)
	if !slices.Equal(served, documented) {
		t.Errorf("served metrics %v\ndocumented metrics %v", served, documented)
	}
}

// firstSubmatches returns the first group of every match.
func firstSubmatches(pattern, text string) (found []string) {
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	return found
}
