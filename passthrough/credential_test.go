package passthrough

import (
	"net/http"
	"strings"
	"testing"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/verdict"
)

// TestOneFormOfKeys: a key is given once, under one scheme, and is neither empty nor
// overlong; anything else is none.
func TestOneFormOfKeys(t *testing.T) {
	for _, fields := range [][]string{
		{"Bearer k1"}, {"bearer k1"}, {"Bearer " + strings.Repeat("k", longestKey)},
	} {
		if hash, failure := readKey(http.Header{authorizationField: fields}); failure != nil || len(hash) != 64 {
			t.Errorf("%.20q: %q, %v", fields, hash, failure)
		}
	}
	for _, fields := range [][]string{
		nil, {""}, {"Bearer"}, {"Bearer "}, {"Bearer  k1"}, {"Basic k1"}, {"k1"}, {"Bearer k1", "Bearer k1"}, {"Bearer k1,k2"},
		{"Bearer k1 k2"}, {"Bearer " + strings.Repeat("k", longestKey+1)},
	} {
		_, failure := readKey(http.Header{authorizationField: fields})
		if failure == nil || failure.Code != verdict.CodeUnauthorized || failure.Verdict != verdict.NotRun {
			t.Errorf("%.20q: %v", fields, failure)
		}
		if failure != nil && strings.Contains(failure.Error(), "k1") {
			t.Errorf("the refusal names a key: %v", failure)
		}
	}
}

// FuzzReadKey: whatever a caller sends, the answer is a hash or a refusal that holds nothing
// of it.
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
			t.Errorf("%q, %q: %q, %v", first, second, hash, failure)
		}
	})
}

// TestTenantsRankGoesBeforeTheRoutes: any request of a higher tenant goes before all of a
// lower one, and among tenants of one rank the route decides.
func TestTenantsRankGoesBeforeTheRoutes(t *testing.T) {
	rank := func(tenant, route int) int {
		return (&exchange{
			route: &catalog.Route{Priority: route}, credential: credential{tenant: &catalog.Tenant{Ranked: true, Rank: tenant}},
		}).rank()
	}
	if rank(0, 2) >= rank(1, 0) || rank(1, 1) >= rank(1, 2) || rank(1, 0) >= rank(1, 1) || rank(1, 2) != rank(1, 7) {
		t.Errorf("ranks %d, %d, %d, %d", rank(0, 2), rank(1, 0), rank(1, 1), rank(1, 2))
	}
	if got := (&exchange{route: &catalog.Route{Priority: 4}}).rank(); got != 4 {
		t.Errorf("without a tenant's rank the route's counts, got %d", got)
	}
}
