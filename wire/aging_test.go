package wire

import (
	"testing"
	"time"
)

// TestEngineMessagesAgeWhileQueued guards against a request that reaches its engine late because
// its message waited 30 ms for a connection and its relative times were not adjusted.
func TestEngineMessagesAgeWhileQueued(t *testing.T) {
	const waited = 30 * time.Millisecond
	request := adjustForDelay(EngineRequest{Work: EngineWork{Objective: 500 * time.Millisecond, Left: time.Second}}, waited).(EngineRequest)
	if request.Work.Objective != 470*time.Millisecond || request.Work.Left != 970*time.Millisecond {
		t.Errorf("%s and %s are left", request.Work.Objective, request.Work.Left)
	}
	for delay, want := range map[time.Duration]time.Duration{100 * time.Millisecond: 70 * time.Millisecond, 20 * time.Millisecond: 0} {
		if got := adjustForDelay(EngineAnswer{Delay: delay}, waited).(EngineAnswer).Delay; got != want {
			t.Errorf("a delay of %s became %s, want %s", delay, got, want)
		}
	}
	news := EngineNews{Attempts: []EngineAttempt{{Sent: time.Second}}}
	if got := adjustForDelay(news, waited).(EngineNews).Attempts[0].Sent; got != time.Second+waited {
		t.Errorf("sent %s ago", got)
	}
	if news.Attempts[0].Sent != time.Second {
		t.Error("the queued message was modified")
	}
}
