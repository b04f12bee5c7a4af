package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/settings"
)

// recordingRunner records the deadline of its call.
type recordingRunner struct{ deadline time.Time }

func (r *recordingRunner) Run(_ context.Context, call relay.Call, sink relay.Sink) relay.Result {
	r.deadline = call.Request.Deadline
	_ = sink.Start(http.StatusOK, nil)
	return relay.Result{Started: true, Status: http.StatusOK}
}

// oneModelSnapshot returns a snapshot with one model and one token, whose secret is "secret".
func oneModelSnapshot() *settings.Snapshot {
	secret := sha256.Sum256([]byte("secret"))
	policy := settings.Defaults()
	return settings.NewSnapshot(settings.Stamp{History: "h", Revision: 1},
		[]settings.Model{{ID: "m", Kind: settings.KindModel, Path: "/t/m", Team: "/t", Policy: policy}},
		[]settings.Token{{Name: "caller", SHA256: hex.EncodeToString(secret[:]), Role: settings.RoleCall, Path: "/t"}},
		map[string]settings.Scope{"/t": {Path: "/t", MaxConcurrency: policy.MaxConcurrency, RequestsPerSecond: policy.RequestsPerSecond, TokensPerSecond: policy.TokensPerSecond}})
}

// TestCallerDeadlineIsConvertedToDecisionClock guards against deadlines that are far off when the
// clock of decisions differs from the time of day. A deadline must be as far in the future by that
// clock as the caller requested, whether as a duration or as a time.
func TestCallerDeadlineIsConvertedToDecisionClock(t *testing.T) {
	const ahead = 30 * time.Hour
	arrived := time.Now().Add(ahead)
	for name, text := range map[string]string{"from now": "1m", "time of day": time.Now().Add(time.Minute).Format(time.RFC3339Nano)} {
		t.Run(name, func(t *testing.T) {
			runner := &recordingRunner{}
			handler := NewCallers(CallersConfig{
				Runner: runner, Now: func() time.Time { return arrived },
				Settings: oneModelSnapshot,
			})
			request := httptest.NewRequest(http.MethodPost, pathCompletions, strings.NewReader(`{"model":"m","prompt":"x"}`))
			request.Header.Set("Authorization", "Bearer secret")
			request.Header.Set(engine.HeaderDeadline, text)
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, request)
			if answer.Code != http.StatusOK {
				t.Fatalf("status %d: %s", answer.Code, answer.Body)
			}
			if left := runner.deadline.Sub(arrived); left <= 0 || left > time.Minute {
				t.Errorf("the deadline is %s from now by the clock of decisions, want above 0 and at most 1m", left)
			}
		})
	}
}
