package engine

import (
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Key identifies one attempt of a request.
type Key struct {
	Request cluster.RequestID
	Attempt cluster.Attempt
}

// Fetch asks the caller of State to fetch a checkpoint from the weight store and
// to call FinishFetch with the order's ID.
type Fetch struct {
	Order string
	Model cluster.ModelID
	Bytes int64
}

// Effects are the actions that the caller of State must take after a call.
type Effects struct {
	// Changed has the attempts whose status changed.
	Changed []Key
	// Fetches has the fetches to start, and Aborted the IDs of the orders whose
	// fetch must be cancelled.
	Fetches []Fetch
	Aborted []string
}

// State models one engine. It is not safe for concurrent use.
//
// Invariants: batch has the attempts with a slot and is never longer than Slots;
// a replica's runningAttempts counts those of its model; usedBytes is the sum of
// the bytes of all replicas.
type State struct {
	config Config
	now    time.Time

	epoch uint64
	// tokenEpoch is the epoch in which the token was accepted.
	tokenEpoch uint64
	token      cluster.FencingToken
	// sequence grows with every change of the inventory within an epoch.
	sequence uint64
	pool     string
	// leavingSince is zero unless the machine is leaving.
	leavingSince time.Time

	// replicas is sorted by model.
	replicas          []*replica
	usedBytes         int64
	cachedCheckpoints *checkpointCache
	appliedOrders     *recentSet[string]

	attempts map[Key]*attempt
	// endedAttempts has the attempts whose answers can be resumed, the one that
	// ended first in front.
	endedAttempts []*attempt
	queue         []*attempt
	// batch has the attempts with a slot.
	batch []*attempt
	// arrivals counts the accepted attempts.
	arrivals uint64
	steps    stepClock
	// prefillQueue has the attempts in prefill, the one in progress first.
	prefillQueue []*attempt

	prefixes    *prefixCache
	loadSamples []cluster.LoadReport
	// frozenReport, if not nil, is what Report returns.
	frozenReport *cluster.LoadReport
	effects      Effects
	counters     Counters
}

// Counters has totals over all epochs of the engine.
type Counters struct {
	// Overcommitted counts loads that exceeded the machine's memory.
	Overcommitted int
	// Runs counts attempts that got a slot.
	Runs int
	// StaleOrders counts orders and seals that were refused for a stale token.
	StaleOrders int
	// Loads counts finished loads.
	Loads int
	// LatestStartAfterLeaving is the longest time from the announcement that the
	// machine leaves to the arrival of a new attempt.
	LatestStartAfterLeaving time.Duration
	// IdleAcceleratorSeconds is the accelerator time of replicas without running
	// attempts, in proportion to their share of the machine's memory, and
	// BusyAcceleratorSeconds that of replicas with running attempts.
	IdleAcceleratorSeconds, BusyAcceleratorSeconds float64
}

// NewState returns an engine without replicas.
func NewState(config Config) *State {
	config = config.withDefaults()
	state := &State{config: config, pool: config.Pool, epoch: config.Epoch}
	state.cachedCheckpoints = newCheckpointCache(config)
	state.reset()
	return state
}

// reset begins a new epoch without replicas and attempts.
func (s *State) reset() {
	s.epoch++
	s.sequence = 1
	s.replicas = nil
	s.usedBytes = 0
	s.appliedOrders = newRecentSet[string](maxKeptOrders)
	s.attempts = map[Key]*attempt{}
	s.endedAttempts, s.queue, s.batch = nil, nil, nil
	s.steps = stepClock{}
	s.prefillQueue = nil
	s.prefixes = newPrefixCache(s.config)
	s.loadSamples = nil
}

// Crash simulates a crash and restart of the engine's process. Replicas, attempts
// and checkpoints in host memory are lost; checkpoints on disk and the fencing
// token, which an engine stores on disk, are kept.
func (s *State) Crash(now time.Time) {
	s.Advance(now)
	for _, entry := range s.replicas {
		if entry.fetching {
			s.effects.Aborted = append(s.effects.Aborted, entry.orderID)
		}
	}
	for key := range s.attempts {
		s.effects.Changed = append(s.effects.Changed, key)
	}
	sortKeys(s.effects.Changed)
	s.cachedCheckpoints.dropMemory()
	s.reset()
}

// Take returns the effects since the last call of Take.
func (s *State) Take() Effects {
	effects := s.effects
	s.effects = Effects{}
	return effects
}

// Counters returns the totals so far.
func (s *State) Counters() Counters { return s.counters }

// SetLeaving marks the machine as leaving in the inventory.
func (s *State) SetLeaving(now time.Time) {
	s.Advance(now)
	if s.leavingSince.IsZero() {
		s.leavingSince = now
		s.sequence++
	}
}

// Inventory returns the engine's replicas, capacity, cached checkpoints and
// fencing token.
func (s *State) Inventory(now time.Time) cluster.Inventory {
	s.Advance(now)
	inventory := cluster.Inventory{
		Machine: s.config.Machine, Token: s.token, Sequence: s.sequence, Epoch: s.epoch, TokenEpoch: s.tokenEpoch,
		MemoryBytes: s.config.MemoryBytes, Accelerators: s.config.Accelerators,
		Slots: s.config.Slots, Pool: s.pool, Leaving: !s.leavingSince.IsZero(),
		Cached: s.cachedCheckpoints.tiers(),
	}
	for _, entry := range s.replicas {
		inventory.Replicas = append(inventory.Replicas, entry.Replica)
	}
	return inventory
}

// find returns the replica of model, or nil.
func (s *State) find(model cluster.ModelID) *replica {
	for _, entry := range s.replicas {
		if entry.Model == model {
			return entry
		}
	}
	return nil
}

// Advance moves the engine's clock to now and handles all events up to then in
// the order of their times.
func (s *State) Advance(now time.Time) {
	if s.now.IsZero() {
		s.now = now
	}
	for {
		next := s.nextEvent()
		if next.kind == eventNone || next.dueAt.After(now) {
			break
		}
		s.advanceClock(next.dueAt)
		s.handleEvent(next)
	}
	s.advanceClock(now)
	s.evictEndedAttempts()
	s.recordSample()
}

// Next returns the time of the next event, or false if there is none.
func (s *State) Next() (time.Time, bool) {
	next := s.nextEvent()
	return next.dueAt, next.kind != eventNone
}

// advanceClock moves the clock and adds the elapsed accelerator time to the
// counters.
func (s *State) advanceClock(now time.Time) {
	elapsed := now.Sub(s.now)
	if elapsed <= 0 {
		return
	}
	s.now = now
	if s.config.MemoryBytes <= 0 {
		return
	}
	var idle, busy int64
	for _, entry := range s.replicas {
		if entry.runningAttempts == 0 {
			idle += entry.Bytes
		} else {
			busy += entry.Bytes
		}
	}
	perByte := elapsed.Seconds() * float64(s.config.Accelerators) / float64(s.config.MemoryBytes)
	s.counters.IdleAcceleratorSeconds += float64(idle) * perByte
	s.counters.BusyAcceleratorSeconds += float64(busy) * perByte
}

// eventKind is the type of a scheduled event of a replica or an attempt.
type eventKind uint8

const (
	eventNone eventKind = iota
	eventLoadEnd
	eventUnloadEnd
	eventDrainDeadline
	eventPrefillEnd
	eventDecodeEnd
	eventQueueDeadline
	eventAbandoned
)

// scheduledEvent is an event that occurs at a time without a call.
type scheduledEvent struct {
	dueAt   time.Time
	kind    eventKind
	replica *replica
	attempt *attempt
}

// keepEarlier replaces the event by other if other is earlier. At the same time
// the event that was found first stays.
func (d *scheduledEvent) keepEarlier(other scheduledEvent) {
	if d.kind == eventNone || other.dueAt.Before(d.dueAt) {
		*d = other
	}
}

// nextEvent returns the earliest event. At the same time, events of replicas come
// first, ordered by model, then those of running attempts, then those of queued
// ones.
func (s *State) nextEvent() scheduledEvent {
	var next scheduledEvent
	s.considerReplicaEvents(&next)
	s.considerAttemptEvents(&next)
	return next
}

// handleEvent applies the effect of an event.
func (s *State) handleEvent(next scheduledEvent) {
	switch next.kind {
	case eventLoadEnd:
		s.finishLoad(next.replica)
	case eventUnloadEnd:
		s.dropReplica(next.replica)
	case eventDrainDeadline:
		s.abortRunning(next.replica)
	case eventPrefillEnd:
		s.startDecoding(next.attempt)
	case eventDecodeEnd:
		s.endAttempt(next.attempt, StatusFinished, "")
	case eventQueueDeadline:
		s.abortAttempt(next.attempt, RefusedDeadline)
	case eventAbandoned:
		s.abortAttempt(next.attempt, RefusedCancelled)
	}
}

func sortKeys(keys []Key) {
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Request != keys[j].Request {
			return keys[i].Request < keys[j].Request
		}
		return keys[i].Attempt < keys[j].Attempt
	})
}
