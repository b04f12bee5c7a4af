package limit

import (
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/settings"
)

// Set holds all limited scopes of one router.
type Set struct {
	division Division
	scopes   map[string]*Scope
	// chains caches the scopes that apply to a pair of paths.
	chains map[chainKey][]*Scope
	// used lists the scopes that were used since the last report.
	used       []*Scope
	reportedAt int64
}

type chainKey struct{ token, model string }

// maxChains bounds the cache; a full one starts anew.
const maxChains = 1 << 14

// NewSet returns a set without scopes.
func NewSet() *Set {
	return &Set{
		division: Division{Routers: 1},
		scopes:   make(map[string]*Scope),
		chains:   make(map[chainKey][]*Scope),
	}
}

// Divide sets how limits are divided without shares.
func (s *Set) Divide(division Division) { s.division = division }

// Configure puts the tree's limits in force. Scopes that stay keep their use
// and shares.
func (s *Set) Configure(bounds map[string]settings.Scope) {
	clear(s.chains)
	for path, scope := range s.scopes {
		if _, stays := bounds[path]; !stays {
			scope.bound = settings.Scope{Path: path}
			if scope.held == 0 {
				delete(s.scopes, path)
			}
		}
	}
	for path, bound := range bounds {
		bound.Path = path
		if known := s.scopes[path]; known != nil {
			known.bound = bound
		} else {
			s.scopes[path] = newScope(bound)
		}
	}
}

// Grant puts a controller's share of a scope in force; the newest one counts.
// Shares of unknown scopes are ignored.
func (s *Set) Grant(path string, share Share) {
	if scope := s.scopes[path]; scope != nil {
		scope.share = share
	}
}

// Claim is what one admitted request holds.
type Claim struct {
	scopes []*Scope
	taken  int64
	tokens float64
}

// Admit takes a request's part of every scope from its token's and its model's
// path up to the root, or of none. The tokens are an estimate that Release
// corrects.
func (s *Set) Admit(nanos int64, tokenPath, modelPath string, tokens float64) (Claim, Refusal, bool) {
	chain := s.chain(tokenPath, modelPath)
	for _, scope := range chain {
		scope.wantedRequests++
		scope.wantedTokens += tokens
		s.use(scope)
	}
	for _, scope := range chain {
		if refusal, refused := scope.check(nanos, tokens, s.division); refused {
			return Claim{}, refusal, false
		}
	}
	for _, scope := range chain {
		scope.take(tokens)
	}
	return Claim{scopes: chain, taken: nanos, tokens: tokens}, Refusal{}, true
}

// Release ends a claim with the tokens that were used in fact. With refund the
// request was not admitted after all and does not count against rates.
func (s *Set) Release(nanos int64, claim Claim, tokens float64, refund bool) {
	for _, scope := range claim.scopes {
		scope.release(nanos-claim.taken, tokens-claim.tokens, refund)
		s.use(scope)
	}
}

func (s *Set) use(scope *Scope) {
	if !scope.listed {
		scope.listed = true
		s.used = append(s.used, scope)
	}
}

// Report returns the use of scopes since the last report, sorted by path, for
// those that were used or hold something.
func (s *Set) Report(nanos int64) []Use {
	interval := time.Duration(nanos - s.reportedAt).Seconds()
	if s.reportedAt == 0 || interval <= 0 {
		interval = 1
	}
	s.reportedAt = nanos
	used := s.used
	s.used = nil
	slices.SortFunc(used, func(a, b *Scope) int { return strings.Compare(a.path, b.path) })
	report := make([]Use, 0, len(used))
	for _, scope := range used {
		scope.listed = false
		report = append(report, Use{
			Path:     scope.path,
			Requests: scope.wantedRequests / interval, Tokens: scope.wantedTokens / interval,
			Concurrency: scope.held + scope.refused,
		})
		scope.wantedRequests, scope.wantedTokens, scope.refused = 0, 0, 0
		if scope.held > 0 {
			s.use(scope)
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
	upward(modelPath, add)
	upward(tokenPath, add)
	if len(s.chains) >= maxChains {
		clear(s.chains)
	}
	s.chains[key] = chain
	return chain
}

// upward visits a path and every level above it up to the root.
func upward(path string, visit func(string)) {
	for len(path) > 1 {
		visit(path)
		path = path[:max(strings.LastIndexByte(path, '/'), 0)]
	}
	visit("/")
}
