package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/settings"
)

const second = int64(time.Second)

// TestBucketWaitIsNeitherTooShortNorTooLong checks that an amount may be taken after the returned
// wait and not earlier; a client that follows Retry-After would otherwise be refused again or wait
// too long.
func TestBucketWaitIsNeitherTooShortNorTooLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bucket Bucket
		now := second
		rate := rapid.Float64Range(0.1, 1000).Draw(t, "rate")
		for range 20 {
			amount := rapid.Float64Range(0, 3*rate).Draw(t, "amount")
			wait := bucket.Wait(now, rate, amount)
			if wait > 0 {
				early := bucket
				if early.Wait(now+int64(wait)-int64(wait)/100-1, rate, amount) == 0 && wait > time.Microsecond {
					t.Fatalf("wait of %v, but an earlier time is admitted", wait)
				}
				now += int64(wait)
				if left := bucket.Wait(now, rate, amount); left > time.Microsecond {
					t.Fatalf("waited %v, but another wait of %v remains", wait, left)
				}
			}
			bucket.Take(amount)
		}
	})
}

// TestBucketPaysBackDebtAndAcceptsRefunds checks that an amount above the burst leaves a debt that
// is paid back before more is admitted, and that a refund reduces it.
func TestBucketPaysBackDebtAndAcceptsRefunds(t *testing.T) {
	var bucket Bucket
	if wait := bucket.Wait(second, 10, 50); wait != 0 {
		t.Fatalf("a full bucket admits more than its burst, got %v", wait)
	}
	bucket.Take(50)
	if wait := bucket.Wait(second, 10, 1); wait != 4100*time.Millisecond {
		t.Fatalf("debt of 40 and 1 more at 10/s: got %v", wait)
	}
	bucket.Take(-45)
	if wait := bucket.Wait(second, 10, 5); wait != 0 {
		t.Fatalf("after the refund: got %v", wait)
	}
}

// TestEvenPartsAddUpToLimit checks that the even parts of all routers add up to exactly the
// concurrency limit, remainders included, and to no more than a rate limit.
func TestEvenPartsAddUpToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := settings.Scope{
			Path:           rapid.StringMatching(`/[a-z]{1,6}`).Draw(t, "path"),
			MaxConcurrency: rapid.IntRange(1, 500).Draw(t, "limit"), RequestsPerSecond: 7, TokensPerSecond: 9,
		}
		routers := rapid.IntRange(1, 340).Draw(t, "routers")
		scope := newScope(limits)
		concurrency, requests := 0, 0.0
		for rank := range routers {
			part := scope.allowance(second, Division{Routers: routers, Rank: rank})
			concurrency += part.Concurrency
			requests += part.Requests
		}
		if concurrency != limits.MaxConcurrency || requests > 7.0001 {
			t.Fatalf("parts sum to %d and %f", concurrency, requests)
		}
	})
}

// newTestSet returns a set with the given limits.
func newTestSet(scopes ...settings.Scope) *Set {
	set := NewSet()
	limits := make(map[string]settings.Scope)
	for _, scope := range scopes {
		limits[scope.Path] = scope
	}
	set.Configure(limits)
	return set
}

// TestEveryScopeOfBothPathsLimits checks that a request counts against every limited scope from its
// token's and its model's path up to the root, and against no other.
func TestEveryScopeOfBothPathsLimits(t *testing.T) {
	for _, limited := range []string{"/", "/dental", "/dental/chat", "/school", "/school/nurses"} {
		set := newTestSet(settings.Scope{Path: limited, MaxConcurrency: 1})
		claim, _, admitted := set.Admit(second, "/school/nurses", "/dental/chat", 0)
		if !admitted {
			t.Fatalf("%s: first request refused", limited)
		}
		_, refusal, admitted := set.Admit(second, "/school/nurses", "/dental/chat", 0)
		if admitted || refusal.Kind != Concurrency || refusal.Path != limited || refusal.RetryAfter <= 0 {
			t.Fatalf("%s: got %+v", limited, refusal)
		}
		set.Release(2*second, claim, 0, false)
		if _, _, admitted = set.Admit(2*second, "/school/nurses", "/dental/chat", 0); !admitted {
			t.Fatalf("%s: refused after the release", limited)
		}
	}
	set := newTestSet(settings.Scope{Path: "/other", MaxConcurrency: 1})
	for range 3 {
		if _, refusal, admitted := set.Admit(second, "/school", "/dental/chat", 0); !admitted {
			t.Fatalf("a scope on neither path refused: %+v", refusal)
		}
	}
}

// TestExpiredShareFallsBackToEvenPart checks that a router falls back to its even part when its
// share expires.
func TestExpiredShareFallsBackToEvenPart(t *testing.T) {
	set := newTestSet(settings.Scope{Path: "/dental", RequestsPerSecond: 8})
	set.Divide(Division{Routers: 4})
	set.Grant("/dental", Share{Requests: 6, Expires: 3 * second})
	admitted := func(now int64) int {
		count := 0
		for {
			claim, _, ok := set.Admit(now, "/dental", "/dental/chat", 0)
			if !ok {
				return count
			}
			set.Release(now, claim, 0, false)
			count++
		}
	}
	if got := admitted(second); got != 6 {
		t.Fatalf("with a share of 6: %d admitted", got)
	}
	if got := admitted(10 * second); got != 2 {
		t.Fatalf("with an expired share, a quarter of 8: %d admitted", got)
	}
	_, refusal, _ := set.Admit(10*second, "/dental", "/dental/chat", 0)
	if refusal.Kind != Requests || refusal.RetryAfter != 500*time.Millisecond {
		t.Fatalf("got %+v", refusal)
	}
}

// TestReleaseCorrectsEstimatedTokens checks that Release corrects the estimated tokens by those
// used, and that Report counts the requested amounts, refused ones included.
func TestReleaseCorrectsEstimatedTokens(t *testing.T) {
	set := newTestSet(settings.Scope{Path: "/", TokensPerSecond: 100})
	claim, _, _ := set.Admit(second, "/", "/chat", 10)
	set.Release(second, claim, 300, false)
	_, refusal, admitted := set.Admit(second, "/", "/chat", 10)
	if admitted || refusal.Kind != Tokens || refusal.RetryAfter != 2100*time.Millisecond {
		t.Fatalf("got %v %+v", admitted, refusal)
	}
	usage := set.Report(2 * second)
	if len(usage) != 1 || usage[0].Requests != 2 || usage[0].Tokens != 20 {
		t.Fatalf("usage: %+v", usage)
	}
}

// TestRefundedRequestLeavesNoCharge checks that a refunded request leaves no charge against any
// limit.
func TestRefundedRequestLeavesNoCharge(t *testing.T) {
	set := newTestSet(settings.Scope{Path: "/", RequestsPerSecond: 1, TokensPerSecond: 10, MaxConcurrency: 1})
	for i := range 5 {
		claim, refusal, admitted := set.Admit(second, "/", "/chat", 10)
		if !admitted {
			t.Fatalf("request %d: %+v", i, refusal)
		}
		set.Release(second, claim, 0, true)
	}
}

// TestRemovedLimitStillCountsRunningRequests checks that a limit that is removed and set again
// while requests run still counts those requests.
func TestRemovedLimitStillCountsRunningRequests(t *testing.T) {
	set := newTestSet(settings.Scope{Path: "/", MaxConcurrency: 1})
	claim, _, _ := set.Admit(second, "/", "/chat", 0)
	set.Configure(nil)
	set.Configure(map[string]settings.Scope{"/": {MaxConcurrency: 1}})
	if _, _, admitted := set.Admit(second, "/", "/chat", 0); admitted {
		t.Fatal("a request that was running while the limit was removed is not counted")
	}
	set.Release(second, claim, 0, false)
	if _, _, admitted := set.Admit(second, "/", "/chat", 0); !admitted {
		t.Fatal("refused after the release")
	}
}
