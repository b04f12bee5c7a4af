package placement

import (
	"cmp"
	"math"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

const (
	// loadOverhead is the part of a load's duration that does not depend on its size. It also
	// keeps the expected time of a small load longer than zero.
	loadOverhead = 500 * time.Millisecond
	// rateSmoothing is the weight of a new observation in a learned rate: the last three make
	// up about half of the rate.
	rateSmoothing = 0.2
	// minStoreSpeed is the lowest store speed, as a share of full speed, by which expected load
	// times are scaled, so that they stay finite if the store is almost stopped.
	minStoreSpeed = 0.02
)

// loadKey identifies one load that a planner ordered.
type loadKey struct {
	machine cluster.MachineID
	model   cluster.ModelID
}

// pendingLoad is an ordered load that has not been seen to finish.
type pendingLoad struct {
	// usesStore reports that the load shares the weight store with others.
	usesStore bool
	tier      cluster.Tier
	bytes     int64
	ordered   time.Time
	// expected is the duration of the load if no other load uses the store.
	expected time.Duration
	// loadSeconds is the value of storeModel.loadSeconds when the load began.
	loadSeconds float64
	// lastSeenRound is the last round in which the ledger contained the load.
	lastSeenRound uint64
}

// storeModel estimates how long loads from each tier take and how many loads the weight store
// serves at once.
type storeModel struct {
	// bytesPerSecond is the load rate by tier; the remote one is at the store's full speed.
	bytesPerSecond [TierCount]float64
	// rateObserved reports by tier that the rate comes from observed loads, not from the
	// configuration.
	rateObserved [TierCount]bool
	pending      map[loadKey]pendingLoad
	sustainable  storeConcurrency
	// runningLoads counts the running remote loads since refilledAt, and loadSeconds is its
	// integral over time. startTokens is the content of the token bucket that limits starts.
	runningLoads int
	loadSeconds  float64
	startTokens  float64
	refilledAt   time.Time
	speed        float64
	limit        int
	startsPerSec float64
	burstLimit   float64
	// assumeStarts begins with an empty token bucket.
	assumeStarts bool
}

func newStoreModel(config Config) storeModel {
	return storeModel{bytesPerSecond: config.BytesPerSecond, pending: make(map[loadKey]pendingLoad), speed: 1, assumeStarts: config.EmptyStartBucket}
}

// beginRound takes over the store's state for a round and refills the token bucket of starts.
func (s *storeModel) beginRound(now time.Time, state StoreState) {
	s.speed = state.Speed
	if s.speed <= 0 || s.speed > 1 {
		s.speed = 1
	}
	s.speed = max(s.speed, minStoreSpeed)
	s.limit = state.Concurrency
	s.startsPerSec, s.burstLimit = state.StartsPerSecond, state.Burst
	if s.refilledAt.IsZero() {
		if !s.assumeStarts {
			s.startTokens = s.startBurst()
		}
		s.sustainable.estimate = float64(cmp.Or(state.InitialConcurrency, s.limit))
	} else {
		passed := max(now.Sub(s.refilledAt).Seconds(), 0)
		s.startTokens = min(s.startBurst(), s.startTokens+s.startsPerSec*passed)
		s.loadSeconds += float64(s.runningLoads) * passed
	}
	s.refilledAt = now
	s.sustainable.estimate = min(max(s.sustainable.estimate, 1), max(float64(s.limit), 1))
}

// startBurst returns the capacity of the token bucket of starts.
func (s *storeModel) startBurst() float64 {
	if s.burstLimit > 0 {
		return max(1, s.burstLimit)
	}
	return max(1, s.startsPerSec)
}

// withdrawLoad removes a load that was not ordered and returns its start token.
func (s *storeModel) withdrawLoad(key loadKey, usesStore bool) {
	if _, planned := s.pending[key]; !planned {
		return
	}
	delete(s.pending, key)
	if usesStore {
		s.startTokens = min(s.startBurst(), s.startTokens+1)
	}
}

// concurrency returns how many remote loads may run at once now: the learned estimate, and at
// most the limit scaled by the store's speed.
func (s *storeModel) concurrency() int {
	bySpeed := int(math.Ceil(float64(s.limit) * s.speed))
	return min(s.limit, s.sustainable.maxConcurrent(), bySpeed)
}

// expectedTime returns the expected duration of a load of the given size from the tier.
func (s *storeModel) expectedTime(tier cluster.Tier, bytes int64) time.Duration {
	seconds := float64(bytes) / s.bytesPerSecond[tier]
	if tier == cluster.TierRemote {
		seconds /= s.speed
	}
	return loadOverhead + time.Duration(seconds*float64(time.Second))
}

// addPending records a load that the plan contains.
func (s *storeModel) addPending(key loadKey, load pendingLoad) {
	load.loadSeconds = s.loadSeconds
	s.pending[key] = load
}

// noteAccepted records the time at which a machine began to carry out a load.
func (s *storeModel) noteAccepted(key loadKey, since time.Time) {
	load, ok := s.pending[key]
	if !ok || !since.After(load.ordered) {
		return
	}
	load.ordered, load.loadSeconds = since, s.loadSeconds
	s.pending[key] = load
}

// observeFinished learns from a load that has been loaded since the given time.
func (s *storeModel) observeFinished(key loadKey, since time.Time) {
	load, ok := s.pending[key]
	if !ok {
		return
	}
	delete(s.pending, key)
	took := since.Sub(load.ordered)
	if took <= 0 || load.bytes <= 0 {
		return
	}
	if !load.usesStore {
		s.learnRate(load, took)
		return
	}
	meanConcurrency := max((s.loadSeconds-load.loadSeconds)/took.Seconds(), 1)
	s.sustainable.observe(loadObservation{fullSpeedTime: load.expected, took: took, meanConcurrency: meanConcurrency})
	if meanConcurrency < sharedStoreLoads || took < load.expected {
		// A load that shared the store shows how many loads the store serves, not its speed.
		s.learnRate(load, took)
	}
}

// learnRate moves the tier's rate towards the rate of the finished load.
func (s *storeModel) learnRate(load pendingLoad, took time.Duration) {
	seconds := max((took - loadOverhead).Seconds(), 0.05)
	observed := float64(load.bytes) / seconds
	if load.tier == cluster.TierRemote {
		observed /= s.speed
	}
	s.rateObserved[load.tier] = true
	s.bytesPerSecond[load.tier] += rateSmoothing * (observed - s.bytesPerSecond[load.tier])
}

// mayUseStore reports whether a load in the ledger uses the store. It returns true for loads
// that the planner doesn't know.
func (s *storeModel) mayUseStore(key loadKey) bool {
	load, ok := s.pending[key]
	return !ok || load.tier == cluster.TierRemote
}

// markSeen records that the ledger still contains the load.
func (s *storeModel) markSeen(key loadKey, round uint64) {
	if load, ok := s.pending[key]; ok {
		load.lastSeenRound = round
		s.pending[key] = load
	}
}

// forgetUnseen removes loads that the ledger no longer contains.
func (s *storeModel) forgetUnseen(round uint64) {
	for key, load := range s.pending {
		if load.lastSeenRound+1 < round {
			delete(s.pending, key)
		}
	}
}
