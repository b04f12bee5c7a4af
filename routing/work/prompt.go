package work

// Prompt describes the prefill work of a prompt.
type Prompt struct {
	// Tokens is the length of the whole prompt, and Cached the length of the prefix that the engine
	// is expected to have in its cache.
	Tokens, Cached int
}

// uncached returns the number of tokens to prefill.
func (p Prompt) uncached() float64 { return float64(max(p.Tokens-p.cached(), 0)) }

// cached returns the expected cached length, bounded by the prompt: an engine always computes the
// last token.
func (p Prompt) cached() int { return min(max(p.Cached, 0), max(p.Tokens-1, 0)) }

// pairs returns the number of token pairs that attention computes, in millions: each uncached
// token with all tokens before it.
func (p Prompt) pairs() float64 {
	return p.uncached() * (float64(p.cached()) + p.uncached()/2) / pairsPerUnit
}

// pairsPerUnit is the number of token pairs that the rates count as one, so that the rate for
// pairs is about a millisecond.
const pairsPerUnit = 1e6
