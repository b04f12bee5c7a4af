package work

import "time"

// Config holds the prior estimates for a service, which apply until its engines were observed.
// Zero fields take their defaults.
type Config struct {
	// TokensPerMillisecond is the prefill rate of an engine.
	TokensPerMillisecond float64
	// PairTime is the additional prefill time for a million token pairs in attention.
	PairTime time.Duration
	// Overhead is the time to the first event apart from prefill.
	Overhead time.Duration
	// MaxEngines and MaxModels bound the engines and models remembered; the least recently
	// observed are evicted first.
	MaxEngines, MaxModels int
}

// Defaults of Config.
const (
	// defaultTokensPerMillisecond lies in the range of 10 to 60 tokens/ms that current
	// accelerators reach with models of 8 to 70 billion parameters. Eight observations outweigh
	// it.
	defaultTokensPerMillisecond = 25
	// defaultPairTime is the cost of attention at the default rate: it takes as long as the rest
	// of prefill at a prompt of about 50,000 tokens.
	defaultPairTime = time.Millisecond
	// defaultOverhead is the default of Config.Overhead: one decoding step and a network round
	// trip.
	defaultOverhead = 10 * time.Millisecond
	// defaultMaxEngines and defaultMaxModels exceed the largest deployments, which have 1,600
	// engines and 1,600 models; each takes at most 2 KB.
	defaultMaxEngines = 2048
	defaultMaxModels  = 2048
)

// ReferenceTokensPerSecond converts prefill time to tokens where prefill work is reported as a
// token count: it is the rate of an engine with a model of about 50 billion parameters.
const ReferenceTokensPerSecond = 35_000

// withDefaults returns the configuration with zero fields set to their defaults.
func (c Config) withDefaults() Config {
	if c.TokensPerMillisecond <= 0 {
		c.TokensPerMillisecond = defaultTokensPerMillisecond
	}
	if c.PairTime <= 0 {
		c.PairTime = defaultPairTime
	}
	if c.Overhead <= 0 {
		c.Overhead = defaultOverhead
	}
	if c.MaxEngines <= 0 {
		c.MaxEngines = defaultMaxEngines
	}
	if c.MaxModels <= 0 {
		c.MaxModels = defaultMaxModels
	}
	return c
}
