package check

import (
	"net/http"
	"testing"
	"time"

	"github.com/valveslip/valveslip/standin/worker"
)

// TestStreamRelayedByKilledPeerIsNoBreach guards against a node that is blamed for a stream which another node relayed
// that was killed some milliseconds before it, and against a check that excuses more than that.
func TestStreamRelayedByKilledPeerIsNoBreach(t *testing.T) {
	kill := validHistory().KillsOfAll[0]
	for name, c := range map[string]struct {
		ended    time.Duration
		status   int
		breaches int
	}{
		"between the signals":     {kill.From + 5*time.Millisecond, http.StatusOK, 0},
		"before the first signal": {kill.From - time.Millisecond, http.StatusOK, 1},
		"after the last signal":   {kill.To + time.Millisecond, http.StatusOK, 1},
		"not begun":               {kill.From + 5*time.Millisecond, 0, 1},
	} {
		h := validHistory()
		cut := completedRequest("relayed", RouteOnce, kill.From-600*time.Millisecond)
		cut.Node, cut.Ended, cut.Status, cut.Failure = 9, c.ended, c.status, "unexpected EOF"
		cut.Body = worker.StreamText(cut.ID, 0, 1)
		h.Requests = append(h.Requests, cut)
		h.Runs = append(h.Runs, runOf(cut.ID, "w1", cut.Sent))
		if finding := findingFor(Judge(h), PromiseAnswer); len(finding.Breaches) != c.breaches {
			t.Errorf("%s: %v, want %d breaches", name, finding.Breaches, c.breaches)
		}
	}
}
