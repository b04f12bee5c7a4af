package explore

import (
	"testing"

	"pgregory.net/rapid"
)

// TestRandomWalksExceedNoLimit takes random walks through deployments that are too large
// to explore exhaustively.
func TestRandomWalksExceedNoLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scenario := Scenario{
			Controllers: rapid.IntRange(2, 3).Draw(t, "controllers"), Machines: rapid.IntRange(1, 4).Draw(t, "machines"),
			Joining: rapid.IntRange(0, 1).Draw(t, "joining"), Limits: []int{1, 2}, Memory: 2,
			KeepTokens: rapid.Bool().Draw(t, "keep tokens"),
			Lapses:     3, Faults: 4, EngineRestarts: 2, NodeRestarts: 2, Outages: 1, Leaves: 1, Unloads: 3,
		}
		s := &takeoverSearch{scenario: scenario, variant: VariantNone}
		state := s.initialState()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			var states []*takeoverState
			var steps []string
			s.successors(state, func(label string, next *takeoverState) {
				states, steps = append(states, next), append(steps, label)
			})
			if len(states) == 0 {
				return
			}
			chosen := rapid.IntRange(0, len(states)-1).Draw(t, "step")
			state = states[chosen]
			if violation := s.findViolation(state); violation != "" {
				t.Fatalf("%s after %s", violation, steps[chosen])
			}
		}
	})
}
