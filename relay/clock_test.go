package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// TestAttemptDeadlineFollowsDeciderClock guards against attempts that end too early or too
// late because the Decider's deadline was compared with the wall clock: the two clocks may
// differ by any amount.
func TestAttemptDeadlineFollowsDeciderClock(t *testing.T) {
	for name, offset := range map[string]time.Duration{"same": 0, "ahead": 30 * time.Hour, "behind": -30 * time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := func() time.Time { return time.Now().Add(offset) }
				decider := &fakeDecider{limit: 1}
				engines := &scriptedEngines{steps: []engineStep{{hangs: true}}, cancels: make(chan struct{})}
				runner := NewRunner(decider, engines, Options{Now: now})
				began := time.Now()
				result := runner.Run(t.Context(), Call{Request: routing.Request{ID: "r", Deadline: now().Add(2 * time.Second)}}, &recordingSink{})
				if result.Failure == nil || result.Failure.Code != verdict.CodeDeadlineExceeded {
					t.Errorf("the request ended with %v, want an exceeded deadline", result.Failure)
				}
				if took := time.Since(began); took != 2*time.Second {
					t.Errorf("the attempt was ended after %s, its deadline was 2 s away", took)
				}
				<-engines.cancels
			})
		})
	}
}

// TestEngineDeadlineIsWallClockMinusMargin guards against an engine that reports too late
// that it did not start a request: its deadline lies a margin before the attempt's, unless
// too little time remains.
func TestEngineDeadlineIsWallClockMinusMargin(t *testing.T) {
	now := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	const margin = 50 * time.Millisecond
	for left, want := range map[time.Duration]time.Duration{
		time.Second: time.Second - margin, 2 * margin: 2 * margin, margin / 2: margin / 2, -time.Second: -time.Second,
	} {
		if got := engineDeadline(now, left, margin).Sub(now); got != want {
			t.Errorf("with %s to the attempt's deadline the engine's is in %s, want %s", left, got, want)
		}
	}
}
