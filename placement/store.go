package placement

import (
	"math"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

const (
	// loadOverhead is the part of a load that does not depend on its size.
	loadOverhead = 500 * time.Millisecond
	// rateSmoothing is the weight of a new observation in a learned rate.
	rateSmoothing = 0.2
	// slowLoad is how many times its expectation a load takes when the store is
	// taken to be overloaded, and windowDecrease what the window then shrinks
	// to.
	slowLoad       = 1.5
	windowDecrease = 0.7
	// minStoreSpeed bounds the scaling of expectations by the store's speed.
	minStoreSpeed = 0.02
)

// loadKey names one load that a planner ordered.
type loadKey struct {
	machine cluster.MachineID
	model   cluster.ModelID
}

// pendingLoad is an ordered load that was not seen to finish.
type pendingLoad struct {
	tier     cluster.Tier
	bytes    int64
	ordered  time.Time
	expected time.Duration
	// seen is the last round whose ledger still held the load.
	seen uint64
}

// storeModel learns how long loads take from each tier and adapts the number
// of concurrent remote loads, additively up and multiplicatively down, to what
// the weight store bears.
type storeModel struct {
	// rate is bytes a second by tier, remote at the store's full speed.
	rate    [TierCount]float64
	pending map[loadKey]pendingLoad
	// window is the adaptive number of concurrent remote loads.
	window       float64
	windowCut    time.Time
	allowance    float64
	refilled     time.Time
	speed        float64
	limit        int
	startsPerSec float64
	burstLimit   float64
	// assumeStarts begins without an allowance.
	assumeStarts bool
}

func newStoreModel(config Config) storeModel {
	return storeModel{rate: config.BytesPerSecond, pending: make(map[loadKey]pendingLoad), speed: 1, assumeStarts: config.AssumeStarts}
}

// begin takes the store's state for a round and refills the start allowance.
func (s *storeModel) begin(now time.Time, state StoreState) {
	s.speed = state.Speed
	if s.speed <= 0 || s.speed > 1 {
		s.speed = 1
	}
	s.speed = max(s.speed, minStoreSpeed)
	s.limit = state.Concurrency
	s.startsPerSec, s.burstLimit = state.StartsPerSecond, state.Burst
	if s.refilled.IsZero() {
		if !s.assumeStarts {
			s.allowance = s.burst()
		}
		s.window = float64(s.limit)
	} else {
		s.allowance = min(s.burst(), s.allowance+s.startsPerSec*max(now.Sub(s.refilled).Seconds(), 0))
	}
	s.refilled = now
	s.window = min(max(s.window, 1), max(float64(s.limit), 1))
}

// burst is how many starts the allowance holds at most.
func (s *storeModel) burst() float64 {
	if s.burstLimit > 0 {
		return max(1, s.burstLimit)
	}
	return max(1, s.startsPerSec)
}

// withdraw gives back what a load took that was not ordered.
func (s *storeModel) withdraw(key loadKey, counted bool) {
	if _, planned := s.pending[key]; !planned {
		return
	}
	delete(s.pending, key)
	if counted {
		s.allowance = min(s.burst(), s.allowance+1)
	}
}

// concurrency returns how many remote loads may run at once now: the learned
// window, never more than the limit scaled by the store's speed.
func (s *storeModel) concurrency() int {
	bySpeed := math.Ceil(float64(s.limit) * s.speed)
	return min(s.limit, int(min(s.window, bySpeed)))
}

// expected returns how long a load of the given size takes from the tier.
func (s *storeModel) expected(tier cluster.Tier, bytes int64) time.Duration {
	seconds := float64(bytes) / s.rate[tier]
	if tier == cluster.TierRemote {
		seconds /= s.speed
	}
	return loadOverhead + time.Duration(seconds*float64(time.Second))
}

// ordered records a load that the plan contains.
func (s *storeModel) ordered(key loadKey, load pendingLoad) { s.pending[key] = load }

// finished learns from a load seen to be loaded since the given time.
func (s *storeModel) finished(key loadKey, since time.Time) {
	load, ok := s.pending[key]
	if !ok {
		return
	}
	delete(s.pending, key)
	took := since.Sub(load.ordered)
	if took <= 0 || load.bytes <= 0 {
		return
	}
	s.learnRate(load, took)
	if load.tier == cluster.TierRemote {
		s.adapt(load, took, since)
	}
}

// learnRate moves the tier's rate towards the observed one.
func (s *storeModel) learnRate(load pendingLoad, took time.Duration) {
	seconds := max((took - loadOverhead).Seconds(), 0.05)
	observed := float64(load.bytes) / seconds
	if load.tier == cluster.TierRemote {
		observed /= s.speed
	}
	s.rate[load.tier] += rateSmoothing * (observed - s.rate[load.tier])
}

// adapt changes the window after a remote load: one cut for all loads that
// were under way together, one slot more for each window of good ones.
func (s *storeModel) adapt(load pendingLoad, took time.Duration, now time.Time) {
	if took.Seconds() <= slowLoad*load.expected.Seconds() {
		s.window += 1 / max(s.window, 1)
		return
	}
	if load.ordered.After(s.windowCut) {
		s.window = max(1, s.window*windowDecrease)
		s.windowCut = now
	}
}

// remote reports whether a load in the ledger uses the store, as far as known.
func (s *storeModel) remote(key loadKey) bool {
	load, ok := s.pending[key]
	return !ok || load.tier == cluster.TierRemote
}

// keep marks the load as still in the ledger; expire forgets those that are not.
func (s *storeModel) keep(key loadKey, round uint64) {
	if load, ok := s.pending[key]; ok {
		load.seen = round
		s.pending[key] = load
	}
}

// expire forgets loads that the ledger no longer holds.
func (s *storeModel) expire(round uint64) {
	for key, load := range s.pending {
		if load.seen+1 < round {
			delete(s.pending, key)
		}
	}
}
