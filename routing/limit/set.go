package limit

import (
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/settings"
)

// Set holds the limited scopes of one router. It is not safe for concurrent use.
type Set struct {
	division Division
	scopes   map[string]*Scope
	// chains caches the scopes that apply to a pair of paths.
	chains map[chainKey][]*Scope
	// used lists the scopes that were used since the last report.
	used       []*Scope
	reportedAt int64
}

// chainKey is a pair of a token's and a model's path.
type chainKey struct{ token, model string }

// maxChains bounds the cache, which is cleared when it is full.
const maxChains = 1 << 14

// NewSet returns a set without scopes.
func NewSet() *Set {
	return &Set{
		division: Division{Routers: 1},
		scopes:   make(map[string]*Scope),
		chains:   make(map[chainKey][]*Scope),
	}
}

// Divide sets how limits are divided among routers without shares.
func (s *Set) Divide(division Division) { s.division = division }

// Configure sets the limits, by path. A scope that remains keeps its usage and share.
func (s *Set) Configure(limits map[string]settings.Scope) {
	clear(s.chains)
	for path, scope := range s.scopes {
		if _, stays := limits[path]; !stays {
			scope.limits = settings.Scope{Path: path}
			if scope.inUse == 0 {
				delete(s.scopes, path)
			}
		}
	}
	for path, scopeLimits := range limits {
		scopeLimits.Path = path
		if known := s.scopes[path]; known != nil {
			known.limits = scopeLimits
		} else {
			s.scopes[path] = newScope(scopeLimits)
		}
	}
}

// Grant sets the share of a scope and replaces an earlier one. It ignores an unknown scope.
func (s *Set) Grant(path string, share Share) {
	if scope := s.scopes[path]; scope != nil {
		scope.share = share
	}
}

// Claim is what one admitted request holds until Release.
type Claim struct {
	scopes []*Scope
	taken  int64
	tokens float64
}

// Admit charges a request to every scope from its token's and its model's path up to the root, or
// to none if one of them refuses it. The tokens are an estimate that Release corrects.
func (s *Set) Admit(nanos int64, tokenPath, modelPath string, tokens float64) (Claim, Refusal, bool) {
	chain := s.chain(tokenPath, modelPath)
	for _, scope := range chain {
		scope.offeredRequests++
		scope.offeredTokens += tokens
		s.markUsed(scope)
	}
	for _, scope := range chain {
		if refusal, refused := scope.check(nanos, tokens, s.division); refused {
			return Claim{}, refusal, false
		}
	}
	for _, scope := range chain {
		scope.charge(tokens)
	}
	return Claim{scopes: chain, taken: nanos, tokens: tokens}, Refusal{}, true
}

// Release ends a claim with the number of tokens used. With refund, the request counts as not
// admitted and leaves no charge against rates.
func (s *Set) Release(nanos int64, claim Claim, tokens float64, refund bool) {
	for _, scope := range claim.scopes {
		scope.release(nanos-claim.taken, tokens-claim.tokens, refund)
		s.markUsed(scope)
	}
}

// markUsed puts a scope on the list for the next report.
func (s *Set) markUsed(scope *Scope) {
	if !scope.listed {
		scope.listed = true
		s.used = append(s.used, scope)
	}
}

// Report returns the usage since the last report, sorted by path, of all scopes that were used or
// have running requests.
func (s *Set) Report(nanos int64) []Usage {
	interval := time.Duration(nanos - s.reportedAt).Seconds()
	if s.reportedAt == 0 || interval <= 0 {
		interval = 1
	}
	s.reportedAt = nanos
	used := s.used
	s.used = nil
	slices.SortFunc(used, func(a, b *Scope) int { return strings.Compare(a.path, b.path) })
	report := make([]Usage, 0, len(used))
	for _, scope := range used {
		scope.listed = false
		report = append(report, Usage{
			Path:     scope.path,
			Requests: scope.offeredRequests / interval, Tokens: scope.offeredTokens / interval,
			Concurrency: scope.inUse + scope.refused,
		})
		scope.offeredRequests, scope.offeredTokens, scope.refused = 0, 0, 0
		if scope.inUse > 0 {
			s.markUsed(scope)
		}
	}
	return report
}

// chain returns the limited scopes that apply to a pair of paths.
func (s *Set) chain(tokenPath, modelPath string) []*Scope {
	if len(s.scopes) == 0 {
		return nil
	}
	key := chainKey{tokenPath, modelPath}
	if chain, cached := s.chains[key]; cached {
		return chain
	}
	var chain []*Scope
	add := func(path string) {
		if scope := s.scopes[path]; scope != nil && !slices.Contains(chain, scope) {
			chain = append(chain, scope)
		}
	}
	visitAncestors(modelPath, add)
	visitAncestors(tokenPath, add)
	if len(s.chains) >= maxChains {
		clear(s.chains)
	}
	s.chains[key] = chain
	return chain
}

// visitAncestors visits a path and each of its ancestors up to the root.
func visitAncestors(path string, visit func(string)) {
	for len(path) > 1 {
		visit(path)
		path = path[:max(strings.LastIndexByte(path, '/'), 0)]
	}
	visit("/")
}
