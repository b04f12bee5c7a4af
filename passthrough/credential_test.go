package passthrough

import (
	"net/http"
	"strings"
	"testing"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/verdict"
)

// TestOnlyOneBearerKeyIsAccepted: exactly one key of valid length under the Bearer scheme is
// accepted, and a refusal must not repeat the key.
func TestOnlyOneBearerKeyIsAccepted(t *testing.T) {
	for _, fields := range [][]string{
		{"Bearer k1"}, {"bearer k1"}, {"Bearer " + strings.Repeat("k", maxKeyBytes)},
	} {
		if hash, failure := readKey(http.Header{authorizationField: fields}); failure != nil || len(hash) != 64 {
			t.Errorf("%.20q: hash %q, failure %v, want a hash", fields, hash, failure)
		}
	}
	for _, fields := range [][]string{
		nil, {""}, {"Bearer"}, {"Bearer "}, {"Bearer  k1"}, {"Basic k1"}, {"k1"}, {"Bearer k1", "Bearer k1"}, {"Bearer k1,k2"},
		{"Bearer k1 k2"}, {"Bearer " + strings.Repeat("k", maxKeyBytes+1)},
	} {
		_, failure := readKey(http.Header{authorizationField: fields})
		if failure == nil || failure.Code != verdict.CodeUnauthorized || failure.Verdict != verdict.NotRun {
			t.Errorf("%.20q: failure %v, want unauthorized and not run", fields, failure)
		}
		if failure != nil && strings.Contains(failure.Error(), "k1") {
			t.Errorf("refusal repeats the key: %v", failure)
		}
	}
}

// FuzzReadKey checks that any input yields either a hash or a refusal.
func FuzzReadKey(f *testing.F) {
	f.Add("Bearer k1", "")
	f.Add("bearer\tk1", "Bearer k2")
	f.Fuzz(func(t *testing.T, first, second string) {
		header := http.Header{authorizationField: {first}}
		if second != "" {
			header.Add(authorizationField, second)
		}
		hash, failure := readKey(header)
		if (failure == nil) != (len(hash) == 64) || failure == nil && second != "" {
			t.Errorf("fields %q and %q: hash %q, failure %v", first, second, hash, failure)
		}
	})
}

// TestTenantRankPrecedesRoutePriority: a request of a higher tenant rank precedes all requests of
// a lower one. The route priority decides between tenants of equal rank.
func TestTenantRankPrecedesRoutePriority(t *testing.T) {
	rank := func(tenant, route int) int {
		return (&exchange{
			route: &catalog.Route{Priority: route}, credential: credential{tenant: &catalog.Tenant{OverridesRank: true, Rank: tenant}},
		}).rank()
	}
	if rank(0, 2) >= rank(1, 0) || rank(1, 1) >= rank(1, 2) || rank(1, 0) >= rank(1, 1) || rank(1, 2) != rank(1, 7) {
		t.Errorf("ranks %d, %d, %d, %d, want the tenant rank before the route priority", rank(0, 2), rank(1, 0), rank(1, 1), rank(1, 2))
	}
	if got := (&exchange{route: &catalog.Route{Priority: 4}}).rank(); got != 4 {
		t.Errorf("rank without a tenant rank is %d, want the route priority 4", got)
	}
}
