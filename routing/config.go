package routing

import (
	"cmp"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/affinity"
	"github.com/valveslip/valveslip/routing/poison"
)

// DefaultDrainRetryAfter is the default of Config.DrainRetryAfter: 1 s, since another node can serve
// the callers at once.
const DefaultDrainRetryAfter = time.Second

// Config holds the node's location and the tuning of the routing core. A zero field takes the
// documented default.
type Config struct {
	// Zone and Region are the node's location. Replicas in the same zone are preferred, then those
	// in the same region.
	Zone   cluster.ZoneID
	Region cluster.RegionID
	// ExpectedRouters is the number of routers among which limits and slots are divided until
	// RoutersChanged states the real number. Default 16.
	ExpectedRouters int
	// RetryRatio is the number of retries that each admitted request adds to its model's retry
	// budget. Default 0.2.
	RetryRatio float64
	// RetryReserve is the capacity of a model's retry budget and its initial content. Default 10.
	RetryReserve float64
	// RetryFloor is the number of retries per second that a model's budget gains without any
	// requests. Default 0.2.
	RetryFloor float64
	// RetryWindow, when not zero, replaces RetryReserve and RetryFloor by a sliding window over
	// each engine pool: within the window, attempts after the first are at most RetryRatio of the
	// pool's requests plus this router's share of RetryExtra. Resends after a refusal by an engine
	// count too.
	RetryWindow time.Duration
	// RetryExtra is the number of attempts per window that all routers together may send beyond
	// RetryRatio.
	RetryExtra float64
	// FirstStart is true if no router ran before this start of the system. Any other router spends
	// nothing of RetryExtra until a RetryWindow has passed since its start.
	FirstStart bool
	// FailurePenalty is multiplied by a machine's recent failure rate and added to its expected
	// wait. Zero ignores failures in the choice.
	FailurePenalty time.Duration
	// Subset, when not zero, is the number of replicas per distance that this router prefers,
	// selected by a hash of the router's seed and the machine. With many machines each router then
	// keeps few connections, while all routers together cover all machines.
	Subset int
	// RefusalBackOff is the time for which a machine that refused a request for lack of a slot gets
	// no more requests than it has in flight. It doubles with each consecutive refusal up to
	// MaxBackOff. Default 25 ms.
	RefusalBackOff time.Duration
	// FailureBackOff is the time for which a machine that failed gets no requests. It doubles with
	// each consecutive failure up to MaxBackOff. Default 100 ms.
	FailureBackOff time.Duration
	// MaxBackOff is the upper bound of RefusalBackOff and FailureBackOff. Default 5 s.
	MaxBackOff time.Duration
	// LoadHalfLife is the time after which a load report counts for half. Default 3 s.
	LoadHalfLife time.Duration
	// DefaultService is the assumed service time of a request before any was measured. Default 1 s.
	DefaultService time.Duration
	// DefaultSlots is the assumed number of slots of an engine that states none. Default 8.
	DefaultSlots int
	// DefaultDeadline applies to requests for which neither the caller nor the policy states a
	// deadline. Default 10 min.
	DefaultDeadline time.Duration
	// RouterLossDelay is the time for which limits stay divided by the previous number of routers
	// after some disappeared, because those may only be partitioned from this node and still admit
	// requests. Default 10 min.
	RouterLossDelay time.Duration
	// RegionPenalty and FarPenalty are added to the expected wait of replicas in another zone of
	// the same region and in another region. Defaults 5 ms and 80 ms.
	RegionPenalty, FarPenalty time.Duration
	// PrefixBlockTime is the time credited per cached prompt block when replicas are compared. It
	// is several times the prefill time that a block saves, because requests queued behind this one
	// save that time too. Default 40 ms.
	PrefixBlockTime time.Duration
	// MinLoadTime returns the minimum load time of a model that no controller has begun to load,
	// given where copies of its weights are; zero when unknown. A nil function knows no load times.
	MinLoadTime func(model cluster.ModelID) time.Duration
	// ListAlternatives reports whether a Dispatch of the model lists the machines that may take the
	// attempt and then waits for AttemptPlaced. A nil function lists none.
	ListAlternatives func(model cluster.ModelID) bool
	// ReleaseOf returns the software release of a start of a machine, UnlistedRelease if its entry is not known. A
	// nil function returns the same for all.
	ReleaseOf func(start cluster.MachineID) string
	// MayBegin reports whether resumable streams may begin at a machine. ReleasesRecorded tells of machines for which
	// that changes. A nil function returns true.
	MayBegin func(machine cluster.MachineID) bool
	// MixedReleases reports whether the machines that serve a model may have several releases. A nil function
	// returns false.
	MixedReleases func(model cluster.ModelID) bool
	// Affinity configures the estimate of the engines' prefix caches.
	Affinity affinity.Config
	// Poison configures when a request whose attempts end machines is refused.
	Poison poison.Config
	// DrainRetryAfter is the retry time that a draining node returns to callers; another node can
	// serve them at once. Default 1 s.
	DrainRetryAfter time.Duration
	// MinRetryAfter and MaxRetryAfter bound the estimated retry times. Defaults 100 ms and 2 min.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// withDefaults returns a copy of the configuration with the defaults in its zero fields.
func (c Config) withDefaults() Config {
	c.ExpectedRouters = cmp.Or(c.ExpectedRouters, 16)
	c.RetryRatio = cmp.Or(c.RetryRatio, 0.2)
	c.RetryReserve = cmp.Or(c.RetryReserve, 10)
	c.RetryFloor = cmp.Or(c.RetryFloor, 0.2)
	c.RefusalBackOff = cmp.Or(c.RefusalBackOff, 25*time.Millisecond)
	c.FailureBackOff = cmp.Or(c.FailureBackOff, 100*time.Millisecond)
	c.MaxBackOff = cmp.Or(c.MaxBackOff, 5*time.Second)
	c.LoadHalfLife = cmp.Or(c.LoadHalfLife, 3*time.Second)
	c.DefaultService = cmp.Or(c.DefaultService, time.Second)
	c.DefaultSlots = cmp.Or(c.DefaultSlots, 8)
	c.DefaultDeadline = cmp.Or(c.DefaultDeadline, 10*time.Minute)
	c.RouterLossDelay = cmp.Or(c.RouterLossDelay, 10*time.Minute)
	c.RegionPenalty = cmp.Or(c.RegionPenalty, 5*time.Millisecond)
	c.FarPenalty = cmp.Or(c.FarPenalty, 80*time.Millisecond)
	c.PrefixBlockTime = cmp.Or(c.PrefixBlockTime, 40*time.Millisecond)
	c.DrainRetryAfter = cmp.Or(c.DrainRetryAfter, DefaultDrainRetryAfter)
	c.MinRetryAfter = cmp.Or(c.MinRetryAfter, 100*time.Millisecond)
	c.MaxRetryAfter = cmp.Or(c.MaxRetryAfter, 2*time.Minute)
	return c
}
