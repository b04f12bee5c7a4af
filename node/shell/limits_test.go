package shell_test

import (
	"net/http"
	"testing"

	"github.com/valveslip/valveslip/settings"
)

// TestRateLimitReturns429WithRetryAfter checks the rejection of requests above the
// rate limit.
func TestRateLimitReturns429WithRetryAfter(t *testing.T) {
	f := startFixture(t, fixtureConfig{policy: func(p *settings.Policy) { p.RequestsPerSecond = 0.01 }})
	last := f.post(hello)
	for range 5 {
		last = f.post(hello)
	}
	code, verdict, retry := decodeRejection(t, last)
	if last.StatusCode != http.StatusTooManyRequests || code != "request_rate_limit" || verdict != "not-run" || retry == "" {
		t.Fatalf("status %d, %s, %s, Retry-After %q", last.StatusCode, code, verdict, retry)
	}
}
