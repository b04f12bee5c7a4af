package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// TestDeadlinesGoByTheDecidersClock: an attempt ends at its deadline by the clock of the
// decisions, however far that is from the time of day.
func TestDeadlinesGoByTheDecidersClock(t *testing.T) {
	for name, ahead := range map[string]time.Duration{"same": 0, "ahead": 30 * time.Hour, "behind": -30 * time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := func() time.Time { return time.Now().Add(ahead) }
				deciding := &decider{limit: 1}
				hanging := &engines{steps: []step{{hang: true}}, cancels: make(chan struct{})}
				runner := NewRunner(deciding, hanging, Options{Now: now})
				began := time.Now()
				result := runner.Run(t.Context(), Call{Request: routing.Request{ID: "r", Deadline: now().Add(2 * time.Second)}}, &recorder{})
				if result.Failure == nil || result.Failure.Code != verdict.CodeDeadlineExceeded {
					t.Errorf("the request ended with %v", result.Failure)
				}
				if took := time.Since(began); took != 2*time.Second {
					t.Errorf("the attempt was ended after %s, its deadline was 2 s away", took)
				}
				<-hanging.cancels
			})
		})
	}
}

// TestEngineIsToldTheTimeOfDay: engines give up a margin earlier, by their own clock.
func TestEngineIsToldTheTimeOfDay(t *testing.T) {
	now := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	const margin = 50 * time.Millisecond
	for left, want := range map[time.Duration]time.Duration{
		time.Second: time.Second - margin, 2 * margin: 2 * margin, margin / 2: margin / 2, -time.Second: -time.Second,
	} {
		if got := engineDeadline(now, left, margin).Sub(now); got != want {
			t.Errorf("%s before the deadline the engine is told %s, want %s", left, got, want)
		}
	}
}
