package catalog

import (
	"math"
	"strings"
	"testing"
)

func withTenants(tenants ...Tenant) Configuration {
	c := testConfiguration()
	c.Tenants = tenants
	return c
}

// TestKeysFindTheirTenants: a key finds its tenant by its hash, also where a tenant names it
// twice.
func TestKeysFindTheirTenants(t *testing.T) {
	compiled, err := withTenants(
		Tenant{Name: "b", Keys: []string{"h3", "h1", "h3"}, Ranked: true, Rank: 2},
		Tenant{Name: "a", Keys: []string{"h2"}, Limit: Limit{Rate: 10, Unit: UnitTokens, PlainTokens: 200}},
	).Compile()
	if err != nil {
		t.Fatal(err)
	}
	for hash, want := range map[string]string{"h1": "b", "h2": "a", "h3": "b"} {
		if got := compiled.Holder(hash); got == nil || got.Name != want {
			t.Errorf("%s belongs to %v, want %s", hash, got, want)
		}
	}
	if got := compiled.Holder("h4"); got != nil {
		t.Errorf("an unknown key belongs to %s", got.Name)
	}
	if !compiled.Keyed() || !compiled.Tenant("b").Limit.Unlimited() || compiled.Tenant("a").Limit.Unlimited() {
		t.Error("callers need keys, and only one tenant is limited")
	}
	limit := compiled.Tenant("a").Limit
	if limit.Charge(1540) != 1540 || limit.Charge(0) != 200 || (Limit{Rate: 1}).Charge(1540) != 1 {
		t.Error("a request counts its tokens, without any those of a plain one, and one where requests are counted")
	}
}

// TestWrongTenantsSayWhy: a configuration that can't be meant is refused whole.
func TestWrongTenantsSayWhy(t *testing.T) {
	for want, tenants := range map[string][]Tenant{
		"tenants[1].name: must not be empty": {{Name: "a"}, {}},
		"tenant a: is given twice":           {{Name: "a"}, {Name: "a"}},
		"tenant b: has a key of tenant a":    {{Name: "a", Keys: []string{"h"}}, {Name: "b", Keys: []string{"h"}}},
		"tenant a: its rate":                 {{Name: "a", Limit: Limit{Rate: -1}}},
		"tenant a: its burst":                {{Name: "a", Limit: Limit{Burst: math.NaN()}}},
		"tenant a: the tokens":               {{Name: "a", Limit: Limit{PlainTokens: -1}}},
	} {
		if _, err := withTenants(tenants...).Compile(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
}
