package engine

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/valveslip/valveslip/verdict"
)

// TestRefusalOfAnotherAttemptIsNoProof guards against promising that a request did not run because a surplus refusal of
// another request, or of an earlier attempt, arrived in the place of its answer.
func TestRefusalOfAnotherAttemptIsNoProof(t *testing.T) {
	for _, test := range []struct {
		name, request, attempt string
		want                   verdict.Verdict
	}{
		{"own", "r", "2", verdict.NotRun},
		{"earlier attempt", "r", "1", verdict.MayHaveRun},
		{"another request", "s", "2", verdict.MayHaveRun},
		{"no request", "", "", verdict.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderVerdict, verdict.NotRun.String())
				w.Header().Set(HeaderRequestID, test.request)
				w.Header().Set(HeaderAttempt, test.attempt)
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer server.Close()
			client := NewClient()
			defer client.Close()
			_, err := client.Run(context.Background(), Call{Request: "r", Attempt: 2, Address: server.Listener.Addr().String(), Path: "/v1/completions"})
			if got := verdict.Of(err); err == nil || got != test.want {
				t.Errorf("error %v with verdict %s, want %s", err, got, test.want)
			}
			if full := errors.Is(err, ErrEngineFull); full != (test.want == verdict.NotRun) {
				t.Errorf("the engine counts as full: %t", full)
			}
		})
	}
}
