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

// leaseSafetyDivisor is the part of a lease's duration that the holder doesn't rely on
// (1/10), so that a holder's clock that runs slower than that of the key-value service
// still ends the lease first.
const leaseSafetyDivisor = 10

// renewalDivisor is the part of a lease's duration after which it is renewed (1/3).
const renewalDivisor = 3

// ControllerConfig holds the parameters of a Controller. Zero durations take the
// documented defaults.
type ControllerConfig struct {
	Zone cluster.ZoneID
	Node cluster.NodeID
	// AcquireInterval is the interval between requests to acquire the lease as long as no
	// attempt has failed. The caller may skip a request while it knows a live lease
	// holder. Default 250 ms.
	AcquireInterval time.Duration
	// AcquireRetry is the delay after a failed attempt to acquire the lease. Each node
	// adds a fixed delay derived from its ID, smaller than AcquireRetry, so that the nodes
	// don't ask at the same moment. Default 2 s.
	AcquireRetry time.Duration
	// InventoryInterval is the interval between inventory reads of a machine on which no
	// change is expected. Default 5 s.
	InventoryInterval time.Duration
	// BusyInventoryInterval is the interval between inventory reads of a machine that
	// loads or unloads a model. Default 500 ms.
	BusyInventoryInterval time.Duration
	// CallTimeout is the time after which a seal, inventory or order call without an
	// answer counts as unanswered. Default 5 s.
	CallTimeout time.Duration
	// RetryMin and RetryMax bound the exponential back-off between calls to an engine that
	// doesn't answer. Defaults 250 ms and 1 s.
	RetryMin, RetryMax time.Duration
	// MachineLag is how long a machine must be missing from the machine list before its
	// replicas count as gone. It must exceed the delay with which the list is updated.
	// Default 30 s.
	MachineLag time.Duration
}

// withDefaults returns the configuration with zero durations replaced by the defaults.
func (c ControllerConfig) withDefaults() ControllerConfig {
	setDefault := func(value *time.Duration, defaultValue time.Duration) {
		if *value <= 0 {
			*value = defaultValue
		}
	}
	setDefault(&c.AcquireInterval, DefaultAcquireInterval)
	setDefault(&c.AcquireRetry, DefaultAcquireRetry)
	setDefault(&c.InventoryInterval, DefaultInventoryInterval)
	setDefault(&c.BusyInventoryInterval, DefaultBusyInventoryInterval)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.RetryMin, DefaultRetryMin)
	setDefault(&c.RetryMax, DefaultRetryMax)
	setDefault(&c.MachineLag, DefaultMachineLag)
	return c
}

// acquireRetryDelay returns the node's delay after a failed attempt to acquire the lease.
func (c ControllerConfig) acquireRetryDelay() time.Duration {
	nodeDelay := xxhash.Sum64String(string(c.Node)) % uint64(c.AcquireRetry)
	return c.AcquireRetry + time.Duration(nodeDelay)
}

// retryDelay returns the back-off after a number of failures in a row.
func (c ControllerConfig) retryDelay(failures int) time.Duration {
	delay := c.RetryMin
	for i := 1; i < failures && delay < c.RetryMax; i++ {
		delay *= 2
	}
	return min(delay, c.RetryMax)
}
