package authority

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
)

// Defaults of ControllerConfig.
const (
	DefaultAcquireRetry          = 2 * time.Second
	DefaultAcquireInterval       = 250 * time.Millisecond
	DefaultInventoryInterval     = 5 * time.Second
	DefaultBusyInventoryInterval = 500 * time.Millisecond
	DefaultCallTimeout           = 5 * time.Second
	DefaultRetryMin              = 250 * time.Millisecond
	DefaultRetryMax              = time.Second
	DefaultMachineLag            = 30 * time.Second
)

// leaseMarginDivisor takes a part off the lease's end, so that a clock that
// runs slower than the key-value service's still ends it first.
const leaseMarginDivisor = 10

// renewDivisor renews a lease after this part of its time.
const renewDivisor = 3

// ControllerConfig holds the parameters of a Controller. Zero durations take
// the documented defaults.
type ControllerConfig struct {
	Zone cluster.ZoneID
	Node cluster.NodeID
	// AcquireInterval is how often the shell is asked to acquire the lease while
	// no attempt of it has failed; it may hold back as long as it knows a live
	// holder. Default 250 ms.
	AcquireInterval time.Duration
	// AcquireRetry is the time to wait after a failed attempt. Each node adds a
	// fixed part of its own, up to as much again, so that nodes don't ask at the
	// same moment. Default 2 s.
	AcquireRetry time.Duration
	// InventoryInterval is the time between inventories of a machine without
	// work in progress. Default 5 s.
	InventoryInterval time.Duration
	// BusyInventoryInterval is the same while a machine loads or unloads.
	// Default 500 ms.
	BusyInventoryInterval time.Duration
	// CallTimeout is after what time an engine call without any answer counts
	// as unanswered. Default 5 s.
	CallTimeout time.Duration
	// RetryMin and RetryMax bound the doubling time between attempts to reach
	// an engine that does not answer. Defaults 250 ms and 1 s.
	RetryMin, RetryMax time.Duration
	// MachineLag is for how long a machine must be missing from the machine
	// list before its replicas count as gone. It must exceed the list's lag.
	// Default 30 s.
	MachineLag time.Duration
}

// withDefaults replaces zero durations.
func (c ControllerConfig) withDefaults() ControllerConfig {
	set := func(value *time.Duration, standard time.Duration) {
		if *value <= 0 {
			*value = standard
		}
	}
	set(&c.AcquireInterval, DefaultAcquireInterval)
	set(&c.AcquireRetry, DefaultAcquireRetry)
	set(&c.InventoryInterval, DefaultInventoryInterval)
	set(&c.BusyInventoryInterval, DefaultBusyInventoryInterval)
	set(&c.CallTimeout, DefaultCallTimeout)
	set(&c.RetryMin, DefaultRetryMin)
	set(&c.RetryMax, DefaultRetryMax)
	set(&c.MachineLag, DefaultMachineLag)
	return c
}

// acquireDelay is the node's own time between acquisition attempts.
func (c ControllerConfig) acquireDelay() time.Duration {
	own := xxhash.Sum64String(string(c.Node)) % uint64(c.AcquireRetry)
	return c.AcquireRetry + time.Duration(own)
}

// retryDelay doubles with every failure.
func (c ControllerConfig) retryDelay(failures int) time.Duration {
	delay := c.RetryMin
	for i := 1; i < failures && delay < c.RetryMax; i++ {
		delay *= 2
	}
	return min(delay, c.RetryMax)
}
