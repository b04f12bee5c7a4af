package placement

import (
	"cmp"
	"time"
)

// Config configures a planner. A zero value stands for the default given at the field. Policies
// in the settings tree take precedence.
type Config struct {
	// TargetLoad is the share of a machine's request slots that one replica should fill before
	// another replica is wanted. The default is 0.8.
	TargetLoad float64
	// TargetRunning and SaturatedRunning, if not zero, cap the number of requests that follows
	// from TargetLoad and SaturatedLoad. An engine prefills prompts one after the other,
	// however many requests it can run at once.
	TargetRunning, SaturatedRunning float64
	// ScaleDownDelay is how long the demand must stay lower before a model loses a replica that
	// it needed under load. The default is 30 s.
	ScaleDownDelay time.Duration
	// UnknownGrace is how long a replica with an unanswered order still counts as one that will
	// serve. The default is 10 s.
	UnknownGrace time.Duration
	// MinSamples is how many idle periods a histogram needs before it replaces the fixed
	// keep-alive of the policy. The default is 6.
	MinSamples float64
	// ColdStartExchange is how many idle accelerator seconds equal one second of cold start of
	// one request at a ColdStartWeight of one half. The default is 1.
	ColdStartExchange float64
	// DefaultSlots is the number of request slots assumed for machines that state none. The
	// default is 8.
	DefaultSlots int
	// MaxLoadsPerMachine is the maximum number of concurrent loads on one machine. The default
	// is 2.
	MaxLoadsPerMachine int
	// Candidates is how many scored machines a reason lists. The default is 3.
	Candidates int
	// RetainIdle keeps idle replicas loaded until their memory is needed for another model.
	RetainIdle bool
	// EvictForRunning allows loads for running requests to evict idle replicas. Loads for waiting
	// requests always may.
	EvictForRunning bool
	// UnloadDropsAdapters states that unloading a base model also removes its adapters.
	// Otherwise the planner unloads the adapters first.
	UnloadDropsAdapters bool
	// AdaptersUnlimited states that loads of adapters don't count against the limits of the
	// weight store.
	AdaptersUnlimited bool
	// SerialOrders states that a machine carries out one order at a time, so that a load from the
	// weight store delays loads of models that the machine has cached.
	SerialOrders bool
	// SaturatedLoad, if not zero, is the share of a machine's request slots above which running
	// requests count as waiting, because they slow each other down.
	SaturatedLoad float64
	// GrowthFactor, if not zero, limits the wanted replicas to one more than GrowthFactor times
	// the loaded ones. The queue that builds up before those are loaded does not last.
	GrowthFactor int
	// EmptyStartBucket is set for a planner that replaces another one. Its predecessor may just
	// have started as many loads as the weight store allows at once.
	EmptyStartBucket bool
	// SealGrace is how long after a takeover no loads are planned while some machines are still
	// unsealed, because they are about to report their replicas. The default is 3 s.
	SealGrace time.Duration
	// PrefillTokensPerSecond is the prefill speed of an engine. The default is 35,000 tokens
	// per second.
	PrefillTokensPerSecond float64
	// LongestPause is used for a State that states none. The default is 500 ms.
	LongestPause time.Duration
	// BytesPerSecond is the assumed speed of loads by tier until loads have been observed. The
	// defaults are 0.5 GB/s remote, 2 GB/s disk and 10 GB/s memory.
	BytesPerSecond [TierCount]float64
}

// TierCount is the number of cache tiers.
const TierCount = 3

// Defaults of Config, in the units of its fields: each field's comment describes the effect of
// its value.
const (
	defaultTargetLoad             = 0.8
	defaultScaleDownDelay         = 30 * time.Second
	defaultUnknownGrace           = 10 * time.Second
	defaultMinSamples             = 6
	defaultColdStartExchange      = 1
	defaultSlots                  = 8
	defaultMaxLoadsPerMachine     = 2
	defaultCandidates             = 3
	defaultSealGrace              = 3 * time.Second
	defaultPrefillTokensPerSecond = 35000
	defaultLongestPause           = 500 * time.Millisecond
)

// defaultBytesPerSecond is indexed by cluster.Tier.
var defaultBytesPerSecond = [TierCount]float64{0.5e9, 2e9, 10e9}

// withDefaults returns the configuration with defaults in place of zero values.
func (c Config) withDefaults() Config {
	c.TargetLoad = cmp.Or(c.TargetLoad, defaultTargetLoad)
	c.ScaleDownDelay = cmp.Or(c.ScaleDownDelay, defaultScaleDownDelay)
	c.UnknownGrace = cmp.Or(c.UnknownGrace, defaultUnknownGrace)
	c.MinSamples = cmp.Or(c.MinSamples, defaultMinSamples)
	c.ColdStartExchange = cmp.Or(c.ColdStartExchange, defaultColdStartExchange)
	c.DefaultSlots = cmp.Or(c.DefaultSlots, defaultSlots)
	c.MaxLoadsPerMachine = cmp.Or(c.MaxLoadsPerMachine, defaultMaxLoadsPerMachine)
	c.Candidates = cmp.Or(c.Candidates, defaultCandidates)
	c.SealGrace = cmp.Or(c.SealGrace, defaultSealGrace)
	c.PrefillTokensPerSecond = cmp.Or(c.PrefillTokensPerSecond, defaultPrefillTokensPerSecond)
	c.LongestPause = cmp.Or(c.LongestPause, defaultLongestPause)
	for tier := range c.BytesPerSecond {
		c.BytesPerSecond[tier] = cmp.Or(c.BytesPerSecond[tier], defaultBytesPerSecond[tier])
	}
	return c
}

// targetRunning returns how many requests a replica with the given number of slots should run.
func (c *Config) targetRunning(slots float64) float64 {
	return capAt(slots*c.TargetLoad, c.TargetRunning)
}

// saturatedRunning returns the number of running requests above which they slow each other
// down, for a replica with the given number of slots. Zero means that there is no such number.
func (c *Config) saturatedRunning(slots float64) float64 {
	return capAt(slots*c.SaturatedLoad, c.SaturatedRunning)
}

func capAt(n, limit float64) float64 {
	if limit > 0 {
		return min(n, limit)
	}
	return n
}
