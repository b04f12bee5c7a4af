package dispatch

import (
	"time"

	"github.com/valveslip/valveslip/wire"
)

const (
	// minFetchTokens is the number of tokens from which an engine fetches a prefix from another
	// engine's cache: a prefill of fewer tokens takes no longer than a transfer can wait behind
	// another one.
	minFetchTokens = 1500
	// fetchDuration is the assumed duration of a transfer: a few GB over links of 100 GB/s and
	// more.
	fetchDuration = 15 * time.Millisecond
	// fetchCostPerMillionTokens is the cost, in late answers, to transfer the cache of a million
	// tokens, about 130 GB. Operators pay for the traffic, so that the usual 6,000 tokens of a
	// prompt cost about a thirteenth of a late answer.
	fetchCostPerMillionTokens = 12
)

// cacheSource is the engine that caches the longest prefix of a prompt.
type cacheSource struct {
	engine *engine
	tokens int
}

// findCacheSource returns the candidate that caches the longest prefix of a prompt, and the zero
// value if none does or engines cannot fetch from each other.
func (t *attemptTracker) findCacheSource(w *wire.EngineWork, candidates []wire.EngineCandidate) cacheSource {
	var best cacheSource
	if !t.cfg.FetchesCachedPrefixes || len(w.Prefixes) == 0 {
		return best
	}
	for i := range candidates {
		known := t.engines[candidates[i].Machine]
		if known == nil {
			continue
		}
		if tokens := known.cache.cachedTokens(w); tokens > best.tokens {
			best = cacheSource{engine: known, tokens: tokens}
		}
	}
	return best
}
