package catalog

import (
	"cmp"
	"math"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/settings"
)

// Unit is what a tenant's limit counts.
type Unit uint8

// The units.
const (
	// UnitRequests counts each request once.
	UnitRequests Unit = iota
	// UnitTokens counts the tokens that a request states, of its prompt and at most
	// generated.
	UnitTokens
)

// Tenant is a customer whose callers share keys and a limit.
type Tenant struct {
	Name string
	// Keys are the lower-case hexadecimal SHA-256 hashes of its keys. The keys themselves
	// are not kept.
	Keys []string
	// Ranked is set where Rank goes before that of a route; 0 is the highest.
	Ranked bool
	Rank   int
	Limit  Limit
}

// Limit bounds what a tenant's callers send through all nodes together: Rate units a second
// and Burst beyond that. The zero value limits nothing.
type Limit struct {
	Rate, Burst float64
	Unit        Unit
	// PlainTokens are counted for a request that states none.
	PlainTokens int
}

// Unlimited reports whether nothing is limited.
func (l Limit) Unlimited() bool { return l.Rate <= 0 }

// Charge is what a request with so many stated tokens counts, zero for none stated.
func (l Limit) Charge(tokens int) float64 {
	switch {
	case l.Unit == UnitRequests:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(l.PlainTokens)
}

// tenantsPath is the level above the tenants'.
const tenantsPath = "/tenants/"

// Tenant returns the tenant of a name, or nil.
func (c *Compiled) Tenant(name string) *Tenant {
	if c == nil {
		return nil
	}
	return c.tenants[name]
}

// Keyed reports whether callers need a key, but for public routes.
func (c *Compiled) Keyed() bool { return c != nil && len(c.Tenants) > 0 }

// Holder returns the tenant that holds the key of a hash, or nil.
func (c *Compiled) Holder(hash string) *Tenant {
	if c == nil {
		return nil
	}
	token := c.Snapshot.Token(hash)
	if token == nil {
		return nil
	}
	return c.tenants[token.Name]
}

// indexTenants checks the tenants and returns the tokens of their keys, sorted by hash.
func (c *Compiled) indexTenants() ([]settings.Token, error) {
	c.tenants = make(map[string]*Tenant, len(c.Tenants))
	owners := make(map[string]string)
	var tokens []settings.Token
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		if err := tenant.check(i); err != nil {
			return nil, err
		}
		if c.tenants[tenant.Name] != nil {
			return nil, eris.Errorf("tenant %s: is given twice", tenant.Name)
		}
		c.tenants[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			owner, known := owners[key]
			if known && owner != tenant.Name {
				return nil, eris.Errorf("tenant %s: has a key of tenant %s", tenant.Name, owner)
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

// check reports what is wrong with the tenant at a place of the list.
func (t *Tenant) check(at int) error {
	switch {
	case t.Name == "":
		return eris.Errorf("tenants[%d].name: must not be empty", at)
	case !(t.Limit.Rate >= 0) || math.IsInf(t.Limit.Rate, 0):
		return eris.Errorf("tenant %s: its rate must be a number that isn't negative", t.Name)
	case !(t.Limit.Burst >= 0) || math.IsInf(t.Limit.Burst, 0):
		return eris.Errorf("tenant %s: its burst must be a number that isn't negative", t.Name)
	case t.Limit.PlainTokens < 0:
		return eris.Errorf("tenant %s: the tokens of a plain request must not be negative", t.Name)
	}
	return nil
}
