package demo

import (
	"log/slog"
	"testing"
)

// TestRollingRestart guards against a planned restart that fails requests of
// callers that retry on another node, or that puts older settings in force.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	running, err := Start(t.Context(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	outcome, err := running.RollingRestart(t.Context(), slog.New(slog.DiscardHandler), nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(outcome.Broken) > 0 {
		t.Errorf("broken: %v, %v", outcome.Broken, outcome.Load.Examples)
	}
	if outcome.Load.Moved == 0 || outcome.Revisions != len(running.nodes) {
		t.Errorf("%d requests moved on, %d revisions: the restarts did not happen under load", outcome.Load.Moved, outcome.Revisions)
	}
	if err := running.Stop(); err != nil {
		t.Fatal(err)
	}
}
