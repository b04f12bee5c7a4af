package lending

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// maxTallies bounds the counted classes of all tenants; later classes are counted under their
// tenant and rank with maxSize, which adds at most one entry for each tenant and rank.
const maxTallies = 1024

// Outcome is the result of a request for tokens.
type Outcome uint8

// The outcomes: granted, refused, granted to a caller that returned to its reservation, and refused
// to a caller that returned to its reservation.
const (
	Lent Outcome = iota
	Refused
	LentToReturning
	RefusedReturning
	outcomeCount
)

// String returns the outcome's name in metrics.
func (o Outcome) String() string {
	return [outcomeCount]string{"lent", "refused", "lent on return", "refused on return"}[o]
}

// Tally counts this node's decisions on one class of a tenant's requests by outcome.
type Tally struct {
	Tenant string
	Rank   int
	// SizeBelow is the exclusive upper bound of the amounts in the class.
	SizeBelow float64
	Counts    [outcomeCount]int64
}

// Count returns the number of decisions with an outcome.
func (t *Tally) Count(o Outcome) int64 { return t.Counts[o] }

// tallyID identifies a class of a tenant.
type tallyID struct {
	tenant string
	class  classID
}

// countDecision counts the decision on a request.
func (c *Core) countDecision(tenant string, request tokenRequest, result decision) {
	id := tallyID{tenant: tenant, class: classOf(request.rank, request.amount)}
	if c.tallies[id] == nil {
		if len(c.tallies) >= maxTallies {
			id.class.size = maxSize
		}
		if c.tallies[id] == nil {
			c.tallies[id] = new([outcomeCount]int64)
		}
	}
	c.tallies[id][result.outcome()]++
}

// outcome returns the outcome of a decision.
func (t decision) outcome() Outcome {
	switch {
	case t.granted && t.fromReservation:
		return LentToReturning
	case t.granted:
		return Lent
	case t.fromReservation:
		return RefusedReturning
	}
	return Refused
}

// forgetTallies drops the tallies of tenants without a limit.
func (c *Core) forgetTallies() {
	maps.DeleteFunc(c.tallies, func(id tallyID, _ *[outcomeCount]int64) bool {
		_, limited := c.limits[id.tenant]
		return !limited
	})
}

// Tallies returns this node's decision counts by tenant, rank and size.
func (c *Core) Tallies() []Tally {
	var list []Tally
	for id, counts := range c.tallies {
		list = append(list, Tally{Tenant: id.tenant, Rank: id.class.rank, SizeBelow: math.Pow(sizeFactor, float64(id.class.size+1)), Counts: *counts})
	}
	slices.SortFunc(list, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.SizeBelow, b.SizeBelow))
	})
	return list
}

// TenantState is the state of a tenant whose limit this node lends.
type TenantState struct {
	Tenant string
	Limit  Limit
	LimitState
	// Reserved is the amount kept for callers that were told when to return.
	Reserved float64
}

// Tenants returns the tenants whose limits this node lends, by name, as of the last step.
func (c *Core) Tenants() []TenantState {
	var list []TenantState
	for _, s := range c.shards {
		if !s.lends() {
			continue
		}
		for tenant, b := range s.buckets {
			l := c.limits[tenant]
			b.used.advance(c.now, c.cfg.Window)
			list = append(list, TenantState{Tenant: tenant, Limit: l, LimitState: s.standing(tenant), Reserved: b.reserved.sum()})
		}
	}
	slices.SortFunc(list, func(a, b TenantState) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return list
}
