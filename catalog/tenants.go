package catalog

import (
	"cmp"
	"math"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/settings"
)

// Unit is the unit of a tenant's limit.
type Unit uint8

// The units of a limit.
const (
	// UnitRequests counts each request once.
	UnitRequests Unit = iota
	// UnitTokens counts the tokens that a request states: those of its prompt
	// plus the maximum to be generated.
	UnitTokens
)

// Tenant is a customer whose callers share API keys and a limit.
type Tenant struct {
	Name string
	// Keys are the lower-case hexadecimal SHA-256 hashes of the tenant's API
	// keys. The keys themselves are not stored.
	Keys []string
	// OverridesRank is true if Rank overrides the priority of the route; rank 0 is the
	// highest.
	OverridesRank bool
	Rank          int
	Limit         Limit
}

// Limit bounds the load that a tenant's callers may send through all nodes
// together: Rate units per second, and Burst units beyond that. The zero value
// means no limit.
type Limit struct {
	Rate, Burst float64
	Unit        Unit
	// DefaultTokens is the number of tokens charged for a request that states
	// none.
	DefaultTokens int
}

// Unlimited reports whether the limit is absent.
func (l Limit) Unlimited() bool { return l.Rate <= 0 }

// Charge returns the units that a request with the given number of stated tokens
// consumes. Zero tokens means that the request states none.
func (l Limit) Charge(tokens int) float64 {
	switch {
	case l.Unit == UnitRequests:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(l.DefaultTokens)
}

// tenantsPath is the prefix of the settings paths of tenants.
const tenantsPath = "/tenants/"

// Tenant returns the tenant with the given name, or nil.
func (c *Compiled) Tenant(name string) *Tenant {
	if c == nil {
		return nil
	}
	return c.tenants[name]
}

// RequiresKeys reports whether callers need an API key on routes that are not public.
func (c *Compiled) RequiresKeys() bool { return c != nil && len(c.Tenants) > 0 }

// TenantByKeyHash returns the tenant that has the API key with the given hash, or nil.
func (c *Compiled) TenantByKeyHash(hash string) *Tenant {
	if c == nil {
		return nil
	}
	token := c.Snapshot.Token(hash)
	if token == nil {
		return nil
	}
	return c.tenants[token.Name]
}

// indexTenants validates and indexes the tenants. It returns the tokens of their
// API keys, sorted by hash.
func (c *Compiled) indexTenants() ([]settings.Token, error) {
	c.tenants = make(map[string]*Tenant, len(c.Tenants))
	owners := make(map[string]string)
	var tokens []settings.Token
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		if err := tenant.validate(i); err != nil {
			return nil, err
		}
		if c.tenants[tenant.Name] != nil {
			return nil, eris.Errorf("tenant %s: is defined more than once", tenant.Name)
		}
		c.tenants[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			owner, known := owners[key]
			if known && owner != tenant.Name {
				return nil, eris.Errorf("tenant %s: has an API key that already belongs to tenant %s", tenant.Name, owner)
			}
			if known {
				continue
			}
			owners[key] = tenant.Name
			tokens = append(tokens, settings.Token{
				Name: tenant.Name, SHA256: key, Role: settings.RoleCall, Path: tenantsPath + tenant.Name,
			})
		}
	}
	slices.SortFunc(tokens, func(a, b settings.Token) int { return cmp.Compare(a.SHA256, b.SHA256) })
	return tokens, nil
}

// validate returns an error if a field of the tenant is out of range. The index
// is the tenant's position in the configuration.
func (t *Tenant) validate(index int) error {
	switch {
	case t.Name == "":
		return eris.Errorf("tenants[%d].name: must not be empty", index)
	case !(t.Limit.Rate >= 0) || math.IsInf(t.Limit.Rate, 0):
		return eris.Errorf("tenant %s: rate must be a non-negative finite number", t.Name)
	case !(t.Limit.Burst >= 0) || math.IsInf(t.Limit.Burst, 0):
		return eris.Errorf("tenant %s: burst must be a non-negative finite number", t.Name)
	case t.Limit.DefaultTokens < 0:
		return eris.Errorf("tenant %s: the tokens of a plain request must not be negative", t.Name)
	}
	return nil
}
