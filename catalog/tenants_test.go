package catalog

import (
	"math"
	"strings"
	"testing"
)

func configurationWithTenants(tenants ...Tenant) Configuration {
	c := testConfiguration()
	c.Tenants = tenants
	return c
}

// A key hash must identify its tenant, also when the tenant lists the key twice.
// Charges must follow the unit of the tenant's limit.
func TestKeyHashIdentifiesTenant(t *testing.T) {
	compiled, err := configurationWithTenants(
		Tenant{Name: "b", Keys: []string{"h3", "h1", "h3"}, OverridesRank: true, Rank: 2},
		Tenant{Name: "a", Keys: []string{"h2"}, Limit: Limit{Rate: 10, Unit: UnitTokens, DefaultTokens: 200}},
	).Compile()
	if err != nil {
		t.Fatal(err)
	}
	for hash, want := range map[string]string{"h1": "b", "h2": "a", "h3": "b"} {
		if got := compiled.TenantByKeyHash(hash); got == nil || got.Name != want {
			t.Errorf("%s belongs to %v, want %s", hash, got, want)
		}
	}
	if got := compiled.TenantByKeyHash("h4"); got != nil {
		t.Errorf("an unknown key belongs to %s", got.Name)
	}
	if !compiled.RequiresKeys() || !compiled.Tenant("b").Limit.Unlimited() || compiled.Tenant("a").Limit.Unlimited() {
		t.Error("want callers to need keys and only tenant a to be limited")
	}
	limit := compiled.Tenant("a").Limit
	if limit.Charge(1540) != 1540 || limit.Charge(0) != 200 || (Limit{Rate: 1}).Charge(1540) != 1 {
		t.Error("want the stated tokens, DefaultTokens without stated ones, and 1 for a limit in requests")
	}
}

// A configuration with one invalid tenant must be rejected as a whole, with an
// error that names the tenant and the reason.
func TestInvalidTenantIsRejectedWithReason(t *testing.T) {
	for want, tenants := range map[string][]Tenant{
		"tenants[1].name: must not be empty":                        {{Name: "a"}, {}},
		"tenant a: is defined more than once":                       {{Name: "a"}, {Name: "a"}},
		"tenant b: has an API key that already belongs to tenant a": {{Name: "a", Keys: []string{"h"}}, {Name: "b", Keys: []string{"h"}}},
		"tenant a: rate":       {{Name: "a", Limit: Limit{Rate: -1}}},
		"tenant a: burst":      {{Name: "a", Limit: Limit{Burst: math.NaN()}}},
		"tenant a: the tokens": {{Name: "a", Limit: Limit{DefaultTokens: -1}}},
	} {
		if _, err := configurationWithTenants(tenants...).Compile(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
}
